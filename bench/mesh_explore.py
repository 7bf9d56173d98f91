"""The register explored: every order of write, sync, loss of power, message and loss of one; states counted.

    python -m bench.mesh_explore [--most 200000] [--only WORDS,...] [--wrong]

Each case starts some proposers and readers (the classes that the program runs) among three or five acceptors
and takes every step that may come next, each state once: an actor begins, a message arrives, a write is
synced, the power goes before that with the write kept or lost, a message comes twice, a disk is given up. A
message that never arrives is a lost one, an actor that never goes on is a dead one. After each step what was
told as in force must not be older than what was told before it was asked for, no revision may have two
contents, and no version may go back. Where a roster never changes its members are alike: states that differ
by their names count once. Printed for each case: states, whether these are all, seconds; then for each wrong
register (`--wrong` alone: only these) after how many states it was found out. Status 1 where a rule was
broken or a wrong register was not found out.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from honeywharf.control import mesh_state
from honeywharf.control.acceptor import Acceptor, AcceptorState
from honeywharf.control.mesh_state import (
    Change,
    Confirmation,
    Member,
    MemberId,
    Membership,
    MeshState,
    Outcome,
)
from honeywharf.control.messages import NO_PROPOSAL, Answer, CurrentValue, ProposalNumber
from honeywharf.control.quorum import Quorums
from honeywharf.control.register import (
    AcceptedValue,
    OutgoingRequests,
    Phase,
    QuorumRead,
    QuorumResult,
    QuorumWrite,
)
from tests.control.explore import (
    Actor,
    BrokenError,
    Node,
    Vote,
    World,
    explore,
    members,
    proposer,
    reader,
    run_to_end,
    run_until,
)

NAMES = "abcde"
TELLS = 400  # states of a wrong register that are met in one order
ORDERS = range(1, 201)  # of steps, by seed


@dataclass
class Case:
    """What is explored: a start in a world. `broken` of a wrong register: a patch that is on meanwhile."""

    name: str
    start: Callable[[], Node]
    world: dict[str, Any] = field(default_factory=dict)
    patch: tuple[type, str, Any] | None = None


def roster(count: int) -> Membership:
    """Members by their first disks."""
    return members([MemberId(name, "first") for name in NAMES[:count]])


def node(count: int, *actors: Actor, more: str = "") -> Node:
    """So many members that hold nothing yet, and machines that are not members."""
    votes = {}
    for name in NAMES[:count]:
        state = AcceptorState("first", 1, roster(count))
        votes[name] = Vote(state, state)
    for name in more:
        state = AcceptorState(f"disk-{name}")
        votes[name] = Vote(state, state)
    return Node(votes, actors, (), {}, 0)


def put(
    count: int,
    version: int,
    name: str,
    counter: int = 0,
    who: str = "p",
    change: Callable[[int, str], Change] = mesh_state.replace_configuration,
    made: type[QuorumWrite] = QuorumWrite,
) -> Actor:
    """A proposer of a configuration."""
    return proposer(who, change(version, name), 1, roster(count), counter, made)


def two(count: int, made: type[QuorumWrite] = QuorumWrite) -> Node:
    """Two contents of one version at once."""
    return node(count, put(count, 1, "one", made=made), put(count, 1, "other", 1, "q", made=made))


def held(count: int, *actors: Actor, version: int = 3, world: World | None = None) -> Node:
    """A word that was acknowledged by a bare majority; then others come."""
    first = node(count, put(count, version, "three", who="r"))
    made = run_to_end(world or World(), first, 0, set(NAMES[: count // 2 + 1]))
    made.actors = actors
    return made


def one(count: int) -> Node:
    """A proposer and a reader."""
    return node(count, put(count, 1, "one"), reader(1, roster(count)))


def contested(count: int, version: int) -> Node:
    """A held word of version 3; a proposer that knows nothing of it, and a reader."""
    return held(count, put(count, version, "other", 3, "q"), reader(1, roster(count)))


def overtaken_twice(count: int) -> Node:
    """A held word of version 3; two contents of version 2 come."""
    return held(count, put(count, 2, "two", 3, "q"), put(count, 2, "other", 4, "s"))


def dead(count: int, survey: type[QuorumRead] = QuorumRead) -> Node:
    """A proposer that died when one member had accepted; one that writes back, and two readers."""
    first = node(count, put(count, 1, "one"))
    made = run_until(
        World(),
        first,
        0,
        set(NAMES[: count // 2 + 1]),
        lambda node: any(vote.state.value is not None for vote in node.votes.values()),
    )
    back = proposer("q", mesh_state.no_change, 1, roster(count), 1)
    readers = [reader(1, roster(count), survey) for _ in range(2)]
    return Node(made.votes, (*readers, back) if survey is QuorumRead else tuple(readers), (), {}, 0)


def promised(count: int) -> Node:
    """Two proposers, of whom one has its promises already."""
    return run_until(
        World(),
        two(count),
        0,
        set(NAMES[: count // 2 + 1]),
        lambda node: getattr(node.actors[0].operation, "phase", None) is Phase.ACCEPT,
    )


def swaps(made: type[QuorumWrite] = QuorumWrite) -> Node:
    """Two put machines in the places of silent members, and a third proposes under the roster it knew."""
    actors = [put(3, 1, "one", who="s", made=made)]
    for who, joiner, gone in (("p", "d", "c"), ("q", "e", "a")):
        change = mesh_state.admit(Member(joiner, f"disk-{joiner}", "", False), [MemberId(gone, "first")])
        actors.append(proposer(who, change, 1, roster(3), made=made))
    return node(3, *actors, more="de")


def renamed(state: AcceptorState) -> AcceptorState:
    """What giving a name up leaves, or a wiped disk: no vote under the old name."""
    return AcceptorState("new", state.epoch, state.members)


def readmitted(count: int) -> Node:
    """A held word; one proposes, one reads, one puts a new disk name in the place of the first member."""
    joins = proposer("s", mesh_state.admit(Member("a", "new", "", False), []), 1, roster(count), 5)
    return held(count, joins, put(count, 4, "four", 3, "q"), reader(1, roster(count)))


def after(count: int) -> Node:
    """A word that was acknowledged before it was synced, and a reader."""
    return held(count, reader(1, roster(count)), world=World(split=True, late_sync=("accepted",)))


SPLIT = {"split": True, "alike": True}
CASES = [
    *(
        case
        for count in (3, 5)
        for case in (
            Case(
                f"{count}: a proposer and a reader, power lost once",
                partial(one, count),
                {**SPLIT, "faults": 1},
            ),
            Case(f"{count}: two proposers", partial(two, count), SPLIT),
            Case(
                f"{count}: a held word, a proposer and a reader, power lost once",
                partial(contested, count, 4),
                {**SPLIT, "faults": 1},
            ),
            Case(
                f"{count}: a held word, two contents of an overtaken version, power lost once",
                partial(overtaken_twice, count),
                {**SPLIT, "faults": 1},
            ),
            Case(
                f"{count}: a held word, an older version and a reader, messages twice",
                partial(contested, count, 2),
                {**SPLIT, "faults": 1, "twice": True},
            ),
            Case(
                f"{count}: a proposer that died half-way, two readers, one that writes back",
                partial(dead, count),
                SPLIT,
            ),
            Case(
                f"{count}: two proposers, of whom one has its promises, power lost once",
                partial(promised, count),
                {**SPLIT, "faults": 1},
            ),
            Case(
                f"{count}: a held word, a disk given up, its admission, a proposer, a reader",
                partial(readmitted, count),
                {"faults": 1, "wiped": renamed},
            ),
        )
    ),
    Case(
        "3: two proposers that try twice, power lost once",
        partial(two, 3),
        {**SPLIT, "tries": 2, "faults": 1},
    ),
    Case("3: two changes of the roster and a proposer that knows neither", swaps, {"tries": 2}),
]


# Wrong registers.


def by_arrival(version: int, digest: str) -> Change:
    """Takes whatever came last."""
    return lambda value: (value.with_changes(version=version, digest=digest), True)


def unremembered(version: int, digest: str) -> Change:
    """Confirms whatever is not above the version in force, without a look at its content."""
    right = mesh_state.replace_configuration(version, digest)

    def change(state: MeshState) -> tuple[MeshState | None, Any]:
        if version > state.version:
            return right(state)
        return None, Confirmation(Outcome.CONFIRMED, version, digest, digest)

    return change


def one_version_unremembered(count: int) -> Node:
    """Another content under the version in force, where the memory of versions is left out."""
    return held(count, put(count, 3, "other", 3, "q", unremembered))


def overtaken_unremembered(count: int) -> Node:
    """One content of an overtaken version was confirmed, another comes; the memory is left out."""
    start = held(count, put(count, 2, "two", 3, "q", unremembered))
    made = run_to_end(World(), start, 0, set(NAMES[: count // 2 + 1]))
    made.actors = (put(count, 2, "other", 5, "s", unremembered),)
    return made


def living(self: Quorums, by: Any) -> bool:
    """A majority of those that answer."""
    there = set(by)
    return all(any(key in there for key in one) for one in self.memberships)


class Hasty(QuorumRead):
    """Tells the highest that a majority told of, and writes nothing back."""

    def received(self, now: float, key: mesh_state.MemberId, answer: Answer) -> OutgoingRequests:
        """A member has answered."""
        if self.result is None and isinstance(answer, CurrentValue):
            self.answers[key] = AcceptedValue(answer.accepted, answer.state)
            if self.quorums.covered(self.answers):
                highest = max(self.answers.values(), key=lambda told: told[0])[1]
                self.result, self.value = (
                    QuorumResult.OK,
                    highest or mesh_state.initial_state(self.decided.members),
                )
        return []


class Forgetful(Acceptor):
    """Accepts whatever it has promised since."""

    def _accept(
        self, state: AcceptorState, ballot: ProposalNumber, value: MeshState
    ) -> tuple[AcceptorState, Answer]:
        return super()._accept(replace(state, promised=NO_PROPOSAL), ballot, value)


class Blind(QuorumWrite):
    """Proposes its own value whatever the others have accepted."""

    def _propose_when_promised(self) -> OutgoingRequests:
        if self.quorums.covered(self.promises):
            self.promises = {key: AcceptedValue(NO_PROPOSAL, None) for key in self.promises}
        return super()._propose_when_promised()


def blind(count: int) -> Node:
    """The wrong proposer, after a word is held."""
    return held(count, put(count, 3, "other", 3, "q", made=Blind))


def overtaken(count: int) -> Node:
    """An older version and a reader of it, after a newer one is held."""
    return held(count, put(count, 2, "two", 3, "q", by_arrival))


WRONG = [
    case
    for count in (3, 5)
    for case in (
        Case(
            f"{count}: accepted before the sync",
            partial(after, count),
            {**SPLIT, "faults": 1, "late_sync": ("accepted",)},
        ),
        Case(
            f"{count}: promise not synced",
            partial(promised, count),
            {**SPLIT, "faults": 1, "late_sync": ("promised",)},
        ),
        Case(f"{count}: majority of the living", partial(two, count), SPLIT, (Quorums, "covered", living)),
        Case(f"{count}: version by arrival", partial(overtaken, count), SPLIT),
        Case(f"{count}: one version, two contents", partial(one_version_unremembered, count), SPLIT),
        Case(f"{count}: an overtaken version, two contents", partial(overtaken_unremembered, count), SPLIT),
        Case(f"{count}: reader without write back", partial(dead, count, Hasty), SPLIT),
        Case(f"{count}: promise forgotten", partial(two, count), {**SPLIT, "acceptor": Forgetful}),
        Case(f"{count}: what others accepted is not taken over", partial(blind, count), SPLIT),
        Case(
            f"{count}: a wiped disk keeps its name",
            partial(contested, count, 4),
            {
                "alike": True,
                "faults": 1,
                "wiped": lambda state: AcceptorState(state.disk, state.epoch, state.members),
            },
        ),
    )
]


def played(case: Case, most: int, seed: int | None = None) -> tuple[int, bool, str]:
    """States met, whether they are all, and what was broken."""
    seen: list[int] = []
    saved = getattr(case.patch[0], case.patch[1]) if case.patch else None
    if case.patch:
        setattr(*case.patch)
    try:
        count, whole = explore(World(**case.world), case.start(), most, seed, seen)
        return count, whole, ""
    except BrokenError as broken:
        return seen[-1], False, str(broken)
    finally:
        if case.patch:
            setattr(case.patch[0], case.patch[1], saved)


def main(arguments: list[str]) -> int:
    """Explore all cases, then all wrong registers."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--most", type=int, default=200_000)
    parser.add_argument("--only", default="")
    parser.add_argument("--wrong", action="store_true")
    asked = parser.parse_args(arguments)
    words, total, bad = asked.only.split(","), 0, 0
    for case in [] if asked.wrong else CASES:
        if any(one in case.name for one in words):
            begun = time.monotonic()
            count, whole, broken = played(case, asked.most)
            total, bad = total + count, bad + bool(broken)
            told = f"BROKEN: {broken}" if broken else "all" if whole else "the first of more"
            print(f"{case.name:72} {count:8} states, {told}, {time.monotonic() - begun:.0f} s", flush=True)
    for case in WRONG:
        if any(one in case.name for one in words):
            met, found = 0, False
            for seed in ORDERS:
                count, _, broken = played(case, TELLS, seed)
                met, found = met + count, bool(broken)
                if found:
                    break
            bad += not found
            told = f"{'found out' if found else 'NOT FOUND OUT'} after {met} states"
            print(f"wrong register, {case.name:57} {told}", flush=True)
    print(f"{total} states in all; {bad} cases not as wanted")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
