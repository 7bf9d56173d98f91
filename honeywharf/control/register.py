"""The register: one value, kept by a majority of a roster that may itself change. No I/O, no clock.

Theory of operation (after CASPaxos). A round asks the members to promise a ballot, takes the value that was
accepted under the highest one, applies its change, and has the result accepted. It needs majorities, for both
halves, of every roster that it has seen: the one known as decided, the one in the value it found, and the one
that it puts in. What such majorities have accepted is settled, and its roster decided: from then on that
roster alone is enough. Whoever knows an older one meets, in any majority of it, a member that accepted a
value with the newer one, or knows it as decided and says so.

A member is an address with a disk. A machine whose disk was lost has another name, and does not answer in
place of the old one. An acceptor's answer comes with the state that must be on disk before it is sent.

Messages are mappings:
    {"do": "prepare" | "accept" | "read", "disk", "decided": [epoch, roster], "ballot", "value"}
    {"is": "promise" | "accepted" | "told" | "nack" | "newer" | "other disk" | "want body", ...}
and "decided" with each answer. An accept with "carry" wants the configuration's text sent with it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from honeywharf.control.mesh_state import Change, Key, Roster, Value, initial, keys

Ballot = tuple[int, str, int]  # counter, proposer, its incarnation
Message = dict[str, Any]
Sends = list[tuple[Key, Message]]

NONE: Ballot = (0, "", 0)
AGAIN = 0.06  # s after a lost message, until it is sent again
STRAGGLERS = 0.02  # s that a read waits for more answers before it gives up on finding all the same
BACKOFF = 0.02  # s, mean of the first pause after a refusal; doubles up to 16 times that
MOST_COUNTER = 1 << 62


class State:
    """What an acceptor keeps on its disk. Never changed once made."""

    __slots__ = ("accepted", "disk", "epoch", "promised", "roster", "value")

    def __init__(
        self,
        disk: str,
        epoch: int = 0,
        roster: Roster | None = None,
        promised: Ballot = NONE,
        accepted: Ballot = NONE,
        value: Value | None = None,
    ) -> None:
        self.disk = disk
        self.epoch = epoch  # of the newest decided roster known; 0 where none is
        self.roster: Roster = roster or []
        self.promised = promised
        self.accepted = accepted
        self.value = value

    def but(self, **fields: Any) -> State:
        """A copy with other fields."""
        return State(**{name: fields.get(name, getattr(self, name)) for name in self.__slots__})

    def pack(self) -> Message:
        """As msgpack holds it."""
        return {name: getattr(self, name) for name in self.__slots__}

    @staticmethod
    def unpack(packed: Message) -> State:
        """From `pack`. KeyError, TypeError or ValueError where it is something else."""
        return State(
            packed["disk"],
            packed["epoch"],
            packed["roster"],
            ballot(packed["promised"]),
            ballot(packed["accepted"]),
            packed["value"],
        )


def ballot(told: Any) -> Ballot:
    """A ballot as it came; ValueError or TypeError where it is none."""
    counter, node, incarnation = told
    if not (
        isinstance(counter, int)
        and isinstance(node, str)
        and isinstance(incarnation, int)
        and 0 <= counter < MOST_COUNTER
    ):
        raise ValueError(f"found {told!r}, wanted a ballot")
    return counter, node, incarnation


class Acceptor:
    """One member's vote. The caller persists the state given, sets it here, and then sends the answer."""

    def __init__(self, state: State, has_body: Callable[[str], bool] = lambda digest: True) -> None:
        self.state = state
        self.has_body = has_body

    def answer(self, message: Message) -> tuple[State, Message]:
        """The state to keep (the same object where nothing changes) and the answer to give after that."""
        state = self.state
        if message["disk"] != state.disk:
            return self._told(state, {"is": "other disk"})
        epoch, roster = message["decided"]
        if epoch < state.epoch:
            return self._told(state, {"is": "newer"})
        if epoch > state.epoch:
            state = state.but(epoch=epoch, roster=roster)
        do = message["do"]
        if do == "read":
            return self._told(state, {"is": "told", "accepted": state.accepted, "value": state.value})
        asked = ballot(message["ballot"])
        if do == "prepare":
            return self._prepare(state, asked)
        if do == "accept":
            return self._accept(state, asked, message["value"])
        raise ValueError(f"found {do!r}, wanted prepare, accept or read")

    def _prepare(self, state: State, asked: Ballot) -> tuple[State, Message]:
        if asked < state.promised:
            return self._told(state, {"is": "nack", "ballot": asked, "promised": state.promised})
        if asked > state.promised:
            state = state.but(promised=asked)
        return self._told(
            state, {"is": "promise", "ballot": asked, "accepted": state.accepted, "value": state.value}
        )

    def _accept(self, state: State, asked: Ballot, value: Value) -> tuple[State, Message]:
        if asked < state.promised:
            return self._told(state, {"is": "nack", "ballot": asked, "promised": state.promised})
        if value["digest"] and not self.has_body(value["digest"]):
            return self._told(state, {"is": "want body", "ballot": asked})
        if asked != state.accepted:
            state = state.but(promised=asked, accepted=asked, value=value)
        return self._told(state, {"is": "accepted", "ballot": asked})

    @staticmethod
    def _told(state: State, answer: Message) -> tuple[State, Message]:
        answer["decided"] = [state.epoch, state.roster]
        return state, answer


class Quorums:
    """Rosters of which each must be covered by a majority."""

    __slots__ = ("rosters",)

    def __init__(self, rosters: Iterable[Roster]) -> None:
        self.rosters: list[list[Key]] = []
        for roster in rosters:
            self.add(roster)

    def add(self, roster: Roster) -> bool:
        """Ask for one more; False where it is there already."""
        wanted = keys(roster)
        if any(set(wanted) == set(one) for one in self.rosters):
            return False
        self.rosters.append(wanted)
        return True

    def members(self) -> list[Key]:
        """Everybody, once."""
        return list(dict.fromkeys(key for roster in self.rosters for key in roster))

    def covered(self, by: Iterable[Key]) -> bool:
        """Whether `by` has a majority of each."""
        there = set(by)
        return all(2 * sum(key in there for key in roster) > len(roster) for roster in self.rosters)


class Asking:
    """What a round and a survey share: who was asked, whose message was lost, when something is due."""

    def __init__(self, decided: tuple[int, Roster], deadline: float, rng: Random) -> None:
        self.epoch, self.roster = decided
        self.deadline = deadline
        self.rng = rng
        self.quorums = Quorums([self.roster])
        self.result: str | None = None  # "ok", "unsure", "unreachable", "contended"
        self.value: Value | None = None  # of an "ok"
        self.again: dict[Key, float] = {}  # lost messages, and when they go again
        self.wake = deadline  # when something else is due
        self.asked: set[Key] = set()
        self.timer: Any = None  # the driver's

    @property
    def due(self) -> float:
        """When `tick` has something to do at the latest, on the clock of `now`."""
        return min([self.wake, self.deadline, *self.again.values()])

    def message(self, key: Key) -> Message:
        """What a member is asked now."""
        raise NotImplementedError

    def tick(self, now: float) -> Sends:
        """Time has passed."""
        raise NotImplementedError

    def heard(self, now: float, key: Key, reply: Message) -> Sends:
        """A member has answered."""
        raise NotImplementedError

    def ask(self, members: Iterable[Key]) -> Sends:
        """Ask those who were not asked."""
        sends = [(key, self.message(key)) for key in members if key not in self.asked]
        self.asked.update(key for key, _ in sends)
        return sends

    def lost(self, now: float, key: Key) -> None:
        """A message had no answer in time, or could not be sent."""
        if key in self.asked:
            self.again[key] = now + AGAIN * (0.5 + self.rng.random())

    def resend(self, now: float) -> Sends:
        """The lost messages whose time has come."""
        due = [key for key, when in self.again.items() if when <= now]
        for key in due:
            del self.again[key]
        return [(key, self.message(key)) for key in due if key in self.asked]

    def adopt(self, decided: Any) -> bool:
        """Take over a newer decided roster; False where it is none."""
        epoch, roster = decided
        if epoch <= self.epoch:
            return False
        self.epoch, self.roster = epoch, roster
        return True


class Round(Asking):
    """One change of the register, tried until it is settled or the deadline has come.

    `heard`, `lost` and `tick` give the messages to send; `result` tells when it is over: "ok" with `value`
    and `answer`, "unreachable" (no majority), or "contended" (others went before each time). Without an "ok"
    the change may be in force or not.
    """

    def __init__(
        self,
        who: tuple[str, int],
        decided: tuple[int, Roster],
        change: Change,
        deadline: float,
        rng: Random,
        counter: int = 0,
    ) -> None:
        super().__init__(decided, deadline, rng)
        self.who = who
        self.change = change
        self.answer: Any = None
        self.counter = counter
        self.tries = 0
        self.phase = "prepare"  # then "accept"; "pause" between tries
        self.ballot = NONE
        self.promises: dict[Key, tuple[Ballot, Value | None]] = {}
        self.accepts: set[Key] = set()
        self.refused: dict[Key, str] = {}
        self.proposal: Value | None = None
        self.fresh = False  # the proposal names a text that its base did not

    def start(self) -> Sends:
        """Begin, or begin again, with a higher ballot."""
        self.tries += 1
        self.counter += 1
        self.ballot = (self.counter, *self.who)
        self.phase, self.wake = "prepare", self.deadline
        self.quorums = Quorums([self.roster])
        self.promises, self.accepts, self.refused = {}, set(), {}
        self.asked, self.again = set(), {}
        return self.ask(self.quorums.members())

    def message(self, key: Key) -> Message:
        """What a member is asked now."""
        message: Message = {"do": self.phase, "disk": key[1], "decided": [self.epoch, self.roster]}
        message["ballot"] = self.ballot
        if self.phase == "accept":
            message["value"] = self.proposal
            if self.fresh:
                message["carry"] = True
        return message

    def tick(self, now: float) -> Sends:
        """Time has passed."""
        if self.result is not None:
            return []
        if now >= self.deadline:
            self.result = "contended" if "nack" in self.refused.values() else "unreachable"
            return []
        if self.phase == "pause":
            return self.start() if now >= self.wake else []
        return self.resend(now)

    def heard(self, now: float, key: Key, reply: Message) -> Sends:
        """A member has answered."""
        if self.result is not None:
            return []
        kind = reply["is"]
        if self.adopt(reply["decided"]):
            return self.start()
        if kind == "newer":  # this roster is known by now: ask again under it
            self.lost(now, key)
            return []
        if kind == "other disk":
            return self._refusal(now, key, kind)
        if ballot(reply["ballot"]) != self.ballot or self.phase == "pause":
            return []  # of an earlier try
        return self._votes(now, key, kind, reply)

    def _votes(self, now: float, key: Key, kind: str, reply: Message) -> Sends:
        if kind == "nack":
            self.counter = max(self.counter, ballot(reply["promised"])[0])
            return self._refusal(now, key, kind)
        if kind == "promise" and self.phase == "prepare":
            self.promises[key] = (ballot(reply["accepted"]), reply["value"])
            return self._cover()
        if kind == "want body" and self.phase == "accept":
            return [(key, {**self.message(key), "carry": True})]
        if kind == "accepted" and self.phase == "accept":
            self.accepts.add(key)
            if self.quorums.covered(self.accepts):
                self._settled()
        return []

    def _refusal(self, now: float, key: Key, kind: str) -> Sends:
        """One member says no: go on while the others may be enough, else pause and begin again."""
        self.refused[key] = kind
        left = set(self.quorums.members()) - set(self.refused)
        if self.phase != "pause" and not self.quorums.covered(left):
            pause = BACKOFF * (1 << min(self.tries - 1, 4)) * (0.5 + self.rng.random())
            self.phase, self.wake, self.again = "pause", now + pause, {}
        return []

    def _cover(self) -> Sends:
        """Once every roster in question is covered by promises, have the change accepted."""
        sends: Sends = []
        while self.quorums.covered(self.promises):
            base = max(self.promises.values(), key=lambda told: told[0])[1] or initial(self.roster)
            if self.quorums.add(base["roster"]):
                sends += self.ask(self.quorums.members())
                continue
            made, self.answer = self.change(base)
            self.proposal = made or base
            if self.quorums.add(self.proposal["roster"]):
                sends += self.ask(self.quorums.members())
                continue
            self.fresh = self.proposal["digest"] != base["digest"]
            self.phase, self.asked, self.again = "accept", set(), {}
            return self.ask(self.quorums.members())
        return sends

    def _settled(self) -> None:
        """Majorities have accepted: the value is in force, and its roster decided."""
        assert self.proposal is not None
        self.result, self.value = "ok", self.proposal
        self.adopt([self.proposal["epoch"], self.proposal["roster"]])


class Survey(Asking):
    """A read: "ok" with `value` where majorities tell of one acceptance; "unsure" wants a round instead."""

    def __init__(self, decided: tuple[int, Roster], deadline: float, rng: Random) -> None:
        super().__init__(decided, deadline, rng)
        self.told: dict[Key, tuple[Ballot, Value | None]] = {}

    def start(self) -> Sends:
        """Begin."""
        self.quorums, self.told = Quorums([self.roster]), {}
        self.asked, self.again = set(), {}
        return self.ask(self.quorums.members())

    def message(self, key: Key) -> Message:
        """What a member is asked."""
        return {"do": "read", "disk": key[1], "decided": [self.epoch, self.roster]}

    def tick(self, now: float) -> Sends:
        """Time has passed."""
        if self.result is not None:
            return []
        if self.quorums.covered(self.told) and now >= self.wake:
            self.result = "unsure"
        elif now >= self.deadline:
            self.result = "unreachable"
        return [] if self.result is not None else self.resend(now)

    def heard(self, now: float, key: Key, reply: Message) -> Sends:
        """A member has answered."""
        if self.result is not None:
            return []
        if self.adopt(reply["decided"]):
            return self.start()
        if reply["is"] == "newer":
            self.lost(now, key)
        if reply["is"] != "told":
            return []
        self.told[key] = (ballot(reply["accepted"]), reply["value"])
        return self._judge(now)

    def _judge(self, now: float) -> Sends:
        """Look for the same acceptance in majorities of each roster in question."""
        highest, value = max(self.told.values(), key=lambda told: told[0])
        value = value or initial(self.roster)
        sends = self.ask(self.quorums.members()) if self.quorums.add(value["roster"]) else []
        if self.quorums.covered(key for key, (accepted, _) in self.told.items() if accepted == highest):
            self.result, self.value = "ok", value
            self.adopt([value["epoch"], value["roster"]])
        elif self.quorums.covered(self.told) and self.wake >= self.deadline:
            self.wake = min(now + STRAGGLERS, self.deadline)
            if len(self.told) == len(self.quorums.members()):
                self.result = "unsure"
        return sends
