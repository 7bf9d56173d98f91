"""Explores all orders of writes, syncs, power losses and messages of the register, and counts its states.

    python -m bench.mesh_explore [--most 200000] [--only WORDS,...] [--wrong]

Each case starts proposers and readers (the classes that the program runs) among three or five acceptors and
takes every possible step, visiting each state once; tests/control/explore.py has the steps and the rules.
Prints for each case the number of states, whether they are all, and seconds; then for each faulty register
(`--wrong`: only these) the number of states until it is detected. Status 1 where a rule was broken or a
faulty register was not detected.
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
    QuorumResult,
    QuorumWrite,
)
from honeywharf.control.register_read import QuorumRead
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
MAX_FAULTY_STATES = 400  # States of a faulty register that are visited for each seed.
ORDER_SEEDS = range(1, 201)  # Seeds of the order of steps.


@dataclass
class Case:
    """A start state in a world. `patch` makes a register faulty while the case is explored."""

    name: str
    start: Callable[[], Node]
    world: dict[str, Any] = field(default_factory=dict)
    patch: tuple[type, str, Any] | None = None


def membership_of(count: int) -> Membership:
    """Returns a membership of members with their first disks."""
    return members([MemberId(name, "first") for name in NAMES[:count]])


def start_state(count: int, *actors: Actor, non_members: str = "") -> Node:
    """Returns a state with `count` empty members, and machines that are not members."""
    votes = {}
    for name in NAMES[:count]:
        state = AcceptorState("first", 1, membership_of(count))
        votes[name] = Vote(state, state)
    for name in non_members:
        state = AcceptorState(f"disk-{name}")
        votes[name] = Vote(state, state)
    return Node(votes, actors, (), {}, 0)


def configuration_proposer(
    count: int,
    version: int,
    name: str,
    counter: int = 0,
    actor_name: str = "p",
    change: Callable[[int, str], Change] = mesh_state.replace_configuration,
    made: type[QuorumWrite] = QuorumWrite,
) -> Actor:
    """Returns a proposer of a configuration."""
    return proposer(actor_name, change(version, name), 1, membership_of(count), counter, made)


def competing_proposers(count: int, made: type[QuorumWrite] = QuorumWrite) -> Node:
    """Returns two proposers of different contents of one version."""
    return start_state(
        count,
        configuration_proposer(count, 1, "one", made=made),
        configuration_proposer(count, 1, "other", 1, "q", made=made),
    )


def accepted_value(count: int, *actors: Actor, version: int = 3, world: World | None = None) -> Node:
    """Returns a state with a value that a bare majority has acknowledged, and actors that start later."""
    start = start_state(count, configuration_proposer(count, version, "three", actor_name="r"))
    state = run_to_end(world or World(), start, 0, set(NAMES[: count // 2 + 1]))
    state.actors = actors
    return state


def proposer_and_reader(count: int) -> Node:
    """Returns a proposer and a reader."""
    return start_state(count, configuration_proposer(count, 1, "one"), reader(1, membership_of(count)))


def accepted_and_proposer(count: int, version: int) -> Node:
    """Returns an accepted value of version 3, a proposer that does not know it, and a reader."""
    return accepted_value(
        count, configuration_proposer(count, version, "other", 3, "q"), reader(1, membership_of(count))
    )


def accepted_and_conflicting(count: int) -> Node:
    """Returns an accepted value of version 3, and two proposers of different contents of version 2."""
    return accepted_value(
        count,
        configuration_proposer(count, 2, "two", 3, "q"),
        configuration_proposer(count, 2, "other", 4, "s"),
    )


def dead_proposer(count: int, read_type: type[QuorumRead] = QuorumRead) -> Node:
    """Returns a proposer that died when one member had accepted, one that writes back, and two readers."""
    start = start_state(count, configuration_proposer(count, 1, "one"))
    crashed = run_until(
        World(),
        start,
        0,
        set(NAMES[: count // 2 + 1]),
        lambda node: any(vote.state.value is not None for vote in node.votes.values()),
    )
    write_back = proposer("q", mesh_state.no_change, 1, membership_of(count), 1)
    readers = [reader(1, membership_of(count), read_type) for _ in range(2)]
    return Node(
        crashed.votes, (*readers, write_back) if read_type is QuorumRead else tuple(readers), (), {}, 0
    )


def proposer_with_promises(count: int) -> Node:
    """Returns two proposers; one of them already has its promises."""
    return run_until(
        World(),
        competing_proposers(count),
        0,
        set(NAMES[: count // 2 + 1]),
        lambda node: getattr(node.actors[0].operation, "phase", None) is Phase.ACCEPT,
    )


def member_replacements(made: type[QuorumWrite] = QuorumWrite) -> Node:
    """Returns two replacements of silent members, and a proposer that knows only the old membership."""
    actors = [configuration_proposer(3, 1, "one", actor_name="s", made=made)]
    for actor_name, joiner, replaced in (("p", "d", "c"), ("q", "e", "a")):
        change = mesh_state.admit(Member(joiner, f"disk-{joiner}", "", False), [MemberId(replaced, "first")])
        actors.append(proposer(actor_name, change, 1, membership_of(3), made=made))
    return start_state(3, *actors, non_members="de")


def wiped_state(state: AcceptorState) -> AcceptorState:
    """Returns the state of a disk that was given up or wiped: no vote under the old name."""
    return AcceptorState("new", state.epoch, state.members)


def disk_readmission(count: int) -> Node:
    """Returns an accepted value, a proposer, a reader, and a new disk for the first member."""
    joins = proposer("s", mesh_state.admit(Member("a", "new", "", False), []), 1, membership_of(count), 5)
    return accepted_value(
        count, joins, configuration_proposer(count, 4, "four", 3, "q"), reader(1, membership_of(count))
    )


def acknowledged_before_sync(count: int) -> Node:
    """Returns a value that was acknowledged before its sync, and a reader."""
    return accepted_value(
        count, reader(1, membership_of(count)), world=World(split=True, late_sync=("accepted",))
    )


SPLIT = {"split": True, "alike": True}
CASES = [
    *(
        case
        for count in (3, 5)
        for case in (
            Case(
                f"{count}: a proposer and a reader, power lost once",
                partial(proposer_and_reader, count),
                {**SPLIT, "faults": 1},
            ),
            Case(f"{count}: two proposers", partial(competing_proposers, count), SPLIT),
            Case(
                f"{count}: a held word, a proposer and a reader, power lost once",
                partial(accepted_and_proposer, count, 4),
                {**SPLIT, "faults": 1},
            ),
            Case(
                f"{count}: a held word, two contents of an overtaken version, power lost once",
                partial(accepted_and_conflicting, count),
                {**SPLIT, "faults": 1},
            ),
            Case(
                f"{count}: a held word, an older version and a reader, messages twice",
                partial(accepted_and_proposer, count, 2),
                {**SPLIT, "faults": 1, "twice": True},
            ),
            Case(
                f"{count}: a proposer that died half-way, two readers, one that writes back",
                partial(dead_proposer, count),
                SPLIT,
            ),
            Case(
                f"{count}: two proposers, of whom one has its promises, power lost once",
                partial(proposer_with_promises, count),
                {**SPLIT, "faults": 1},
            ),
            Case(
                f"{count}: a held word, a disk given up, its admission, a proposer, a reader",
                partial(disk_readmission, count),
                {"faults": 1, "wiped": wiped_state},
            ),
        )
    ),
    Case(
        "3: two proposers that try twice, power lost once",
        partial(competing_proposers, 3),
        {**SPLIT, "tries": 2, "faults": 1},
    ),
    Case("3: two changes of the roster and a proposer that knows neither", member_replacements, {"tries": 2}),
]


# Faulty registers.


def replace_by_arrival(version: int, digest: str) -> Change:
    """Applies whatever arrives last."""
    return lambda value: (value.with_changes(version=version, digest=digest), True)


def replace_without_history(version: int, digest: str) -> Change:
    """Confirms whatever is not above the current version without comparing its content."""
    replace = mesh_state.replace_configuration(version, digest)

    def change(state: MeshState) -> tuple[MeshState | None, Any]:
        if version > state.version:
            return replace(state)
        return None, Confirmation(Outcome.CONFIRMED, version, digest, digest)

    return change


def conflict_without_history(count: int) -> Node:
    """Proposes different content under the current version, without the version history."""
    return accepted_value(count, configuration_proposer(count, 3, "other", 3, "q", replace_without_history))


def overtaken_without_history(count: int) -> Node:
    """Proposes a second content of an overtaken version, without the version history."""
    start = accepted_value(count, configuration_proposer(count, 2, "two", 3, "q", replace_without_history))
    state = run_to_end(World(), start, 0, set(NAMES[: count // 2 + 1]))
    state.actors = (configuration_proposer(count, 2, "other", 5, "s", replace_without_history),)
    return state


def majority_of_answers(self: Quorums, answers: Any) -> bool:
    """Returns whether a majority of those that answer is covered."""
    answered = set(answers)
    return all(any(key in answered for key in membership) for membership in self.memberships)


class ReaderWithoutWriteBack(QuorumRead):
    """Returns the highest value that a majority reports, and does not write it back."""

    def received(self, now: float, key: mesh_state.MemberId, answer: Answer) -> OutgoingRequests:
        """Handles a member's answer."""
        if self.result is None and isinstance(answer, CurrentValue):
            self.answers[key] = AcceptedValue(answer.accepted, answer.state)
            if self.quorums.covered(self.answers):
                highest = max(self.answers.values(), key=lambda answer_value: answer_value[0])[1]
                self.result, self.value = (
                    QuorumResult.OK,
                    highest or mesh_state.initial_state(self.decided.members),
                )
        return []


class ForgetfulAcceptor(Acceptor):
    """Accepts a proposal regardless of later promises."""

    def _accept(
        self, state: AcceptorState, number: ProposalNumber, value: MeshState
    ) -> tuple[AcceptorState, Answer]:
        return super()._accept(replace(state, promised=NO_PROPOSAL), number, value)


class BlindProposer(QuorumWrite):
    """Proposes its own value regardless of what others have accepted."""

    def _propose_when_promised(self) -> OutgoingRequests:
        if self.quorums.covered(self.promises):
            self.promises = {key: AcceptedValue(NO_PROPOSAL, None) for key in self.promises}
        return super()._propose_when_promised()


def accepted_and_blind_proposer(count: int) -> Node:
    """Returns an accepted value and a faulty proposer."""
    return accepted_value(count, configuration_proposer(count, 3, "other", 3, "q", made=BlindProposer))


def accepted_and_older_version(count: int) -> Node:
    """Returns an accepted value, and a proposer and a reader of an older version."""
    return accepted_value(count, configuration_proposer(count, 2, "two", 3, "q", replace_by_arrival))


FAULTY_REGISTERS = [
    case
    for count in (3, 5)
    for case in (
        Case(
            f"{count}: accepted before the sync",
            partial(acknowledged_before_sync, count),
            {**SPLIT, "faults": 1, "late_sync": ("accepted",)},
        ),
        Case(
            f"{count}: promise not synced",
            partial(proposer_with_promises, count),
            {**SPLIT, "faults": 1, "late_sync": ("promised",)},
        ),
        Case(
            f"{count}: majority of the living",
            partial(competing_proposers, count),
            SPLIT,
            (Quorums, "covered", majority_of_answers),
        ),
        Case(f"{count}: version by arrival", partial(accepted_and_older_version, count), SPLIT),
        Case(f"{count}: one version, two contents", partial(conflict_without_history, count), SPLIT),
        Case(
            f"{count}: an overtaken version, two contents", partial(overtaken_without_history, count), SPLIT
        ),
        Case(
            f"{count}: reader without write back",
            partial(dead_proposer, count, ReaderWithoutWriteBack),
            SPLIT,
        ),
        Case(
            f"{count}: promise forgotten",
            partial(competing_proposers, count),
            {**SPLIT, "acceptor": ForgetfulAcceptor},
        ),
        Case(
            f"{count}: what others accepted is not taken over",
            partial(accepted_and_blind_proposer, count),
            SPLIT,
        ),
        Case(
            f"{count}: a wiped disk keeps its name",
            partial(accepted_and_proposer, count, 4),
            {
                "alike": True,
                "faults": 1,
                "wiped": lambda state: AcceptorState(state.disk, state.epoch, state.members),
            },
        ),
    )
]


def explore_case(case: Case, max_states: int, seed: int | None = None) -> tuple[int, bool, str]:
    """Returns the number of visited states, whether they are all, and the broken rule."""
    visited_counts: list[int] = []
    original = getattr(case.patch[0], case.patch[1]) if case.patch else None
    if case.patch:
        setattr(*case.patch)
    try:
        count, is_complete = explore(World(**case.world), case.start(), max_states, seed, visited_counts)
        return count, is_complete, ""
    except BrokenError as error:
        return visited_counts[-1], False, str(error)
    finally:
        if case.patch:
            setattr(case.patch[0], case.patch[1], original)


def main(arguments: list[str]) -> int:
    """Explores all cases, then all faulty registers."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--most", type=int, default=200_000)
    parser.add_argument("--only", default="")
    parser.add_argument("--wrong", action="store_true")
    options = parser.parse_args(arguments)
    words, total, failure_count = options.only.split(","), 0, 0
    for case in [] if options.wrong else CASES:
        if any(word in case.name for word in words):
            started_at = time.monotonic()
            count, is_complete, violation = explore_case(case, options.most)
            total, failure_count = total + count, failure_count + bool(violation)
            result = f"BROKEN: {violation}" if violation else "all" if is_complete else "the first of more"
            print(
                f"{case.name:72} {count:8} states, {result}, {time.monotonic() - started_at:.0f} s",
                flush=True,
            )
    for case in FAULTY_REGISTERS:
        if any(word in case.name for word in words):
            state_count, is_detected = 0, False
            for seed in ORDER_SEEDS:
                count, _, violation = explore_case(case, MAX_FAULTY_STATES, seed)
                state_count, is_detected = state_count + count, bool(violation)
                if is_detected:
                    break
            failure_count += not is_detected
            result = f"{'found out' if is_detected else 'NOT FOUND OUT'} after {state_count} states"
            print(f"wrong register, {case.name:57} {result}", flush=True)
    print(f"{total} states in all; {failure_count} cases not as wanted")
    return 1 if failure_count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
