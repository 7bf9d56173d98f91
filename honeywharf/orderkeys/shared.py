"""One proxy's side of a store of keys that proxies share: what it is owed, what it owes, its breaker.

No I/O; all times are ms on the caller's clock, which never goes back. Claims and ends are written one behind
the other and answered in that order, so each costs one round trip and none waits for another. A holder is a
number that no other claim has; the store takes an end from the holder only, so a proxy that paused cannot end
a key for another. Racks know no fences: what keeps a late attempt harmless is that a key whose lease ran out
is sent to its first cell or nowhere (scripts.py, NOTE and lapse).

The breaker opens with the first claim that waits too long, and with the connection: then claims are answered
at once. It closes when all that was written has been answered.
"""

from __future__ import annotations

import secrets
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from honeywharf.orderkeys.table import ENTRY_BYTES, Answer, Claim, Verdict, digest
from honeywharf.policy import interface as api

LEASE_GRACE_MS = 250.0  # past the holder's own time: its timers run late
LATE_MS = 500.0  # a claim that is carried out so long after its proxy stopped waiting is not
UNKNOWN = api.Earlier("", -1, float("-inf"))  # it may have run, nobody knows where: no window is open for it
ASKED_MOST = 4096  # claims without an answer
OWED_MOST = 4096  # ends that the store has not taken yet; beyond it the oldest are dropped, and their keys
OWED_BYTES = 8 * 1024 * 1024  # become uncertain when their leases end
PENDING_MOST = 16384  # commands without a reply; beyond it the store counts as away
WAITERS_MOST = 16  # proxies that wait for one key
DEAD_MS = 1000.0  # with the breaker open and nothing heard for so long, the connection is made anew


@dataclass(slots=True, frozen=True)
class Rules:
    """What the operator has set. Times in ms; `wait_ms` is how long a claim waits for the store."""

    entries: int
    most_bytes: int
    whole_bytes: int
    wait_ms: float = 100.0
    trust_empty: bool = False
    durable: bool = False


class Link(Protocol):
    """The connection to the store."""

    def send(self, script: str, arguments: tuple[object, ...]) -> None:
        """Write one call of a script; only between `opened` and `closed`."""

    def reset(self) -> None:
        """Close the connection, and open another in time."""


class Asker(Protocol):
    """Who has asked for a claim."""

    def claimed(self, claim: Claim) -> None:
        """The one answer to it."""


class Command:
    """What was written and has no reply yet."""

    __slots__ = ("asker", "end", "ends_ms", "fence", "name", "sure", "told", "waits", "wrote_ms")

    def __init__(
        self,
        name: bytes,
        fence: int,
        wrote_ms: float,
        end: tuple[object, ...] | None = None,
    ) -> None:
        self.name, self.fence, self.wrote_ms, self.end = name, fence, wrote_ms, end
        self.asker: Asker | None = None  # a claim's
        self.waits = False  # its asker is still owed an answer
        self.ends_ms = 0.0  # until then
        self.sure: Callable[[bool], None] | None = None  # a note's that has to be sure
        self.told: Callable[[Any], None] | None = None  # an operator's


class Shared:
    """The keys of one site, as one proxy sees them. `notice` is called with a key that it waits for."""

    def __init__(
        self,
        rules: Rules,
        link: Link,
        clock: Callable[[], float],
        notice: Callable[[bytes], None],
        count: Callable[[str], None],
        proxy: str = "",
    ) -> None:
        self.rules, self.link, self.clock, self.notice, self.count = rules, link, clock, notice, count
        self.proxy = proxy or secrets.token_hex(8)
        self.fences = secrets.randbits(96) << 32
        self.up = False  # there is a connection, and the store on it has been opened
        self.behind = False  # a claim has waited too long; until all that was written has been answered
        self.pending: deque[Command] = deque()
        self.asked: deque[Command] = deque()  # claims in the order in which their time ends
        self.waits = 0  # of these, those that are owed an answer
        self.owed: OrderedDict[tuple[bytes, int], tuple[object, ...]] = OrderedDict()
        self.owed_bytes = 0
        self.unwritten = False  # some of these have not been written on this connection
        self.ran: dict[bytes, int] = {}  # keys of these of which something may have run
        self.heard_ms = 0.0
        self.redis_ms = self.at_ms = 0.0  # the store's clock had that time at that time of ours, or later

    # Towards the edge.

    def available(self) -> bool:
        """Whether a claim would be asked for, rather than answered at once as AWAY."""
        return self.up and not self.behind and self.waits < ASKED_MOST and len(self.pending) < PENDING_MOST

    def claim(
        self,
        name: bytes,
        tenant: str,
        payload: bytes,
        lease_ms: float,
        keep_ms: float,
        empty_ms: float,
        asker: Asker,
    ) -> bool:
        """Ask for a key for a request that ends in `lease_ms`; False where the store can't be asked.

        `empty_ms`: how long a store that has lost its keys is not believed to know them.
        """
        if not self.available():
            return False
        now, rules = self.clock(), self.rules
        self.fences += 1
        command = Command(name, self.fences, now)
        command.asker, command.waits, command.ends_ms = asker, True, now + rules.wait_ms
        self.asked.append(command)
        self.waits += 1
        self._write(
            command,
            "claim",
            (
                name,
                tenant.encode("utf-8", "surrogateescape"),
                payload,
                b"%d" % command.fence,
                int(lease_ms + LEASE_GRACE_MS),
                int(keep_ms),
                0 if rules.trust_empty else int(empty_ms),
                self.proxy,
                rules.entries,
                rules.most_bytes,
                ENTRY_BYTES,
                int(self._earliest(command.ends_ms) + LATE_MS),
                WAITERS_MOST,
            ),
        )
        return True

    def note(
        self,
        name: bytes,
        fence: int,
        place: api.Earlier,
        sure: Callable[[bool], None] | None = None,
    ) -> bool:
        """Tell the store where an attempt is about to go; False where it can't be told.

        `sure` is called once, with whether the store has it and the claim still holds.
        """
        if not self.up or len(self.pending) >= PENDING_MOST:
            return False
        command = Command(name, fence, self.clock())
        command.sure = sure
        self._write(command, "note", (name, b"%d" % fence, *self._place(place)))
        return True

    def end(
        self,
        name: bytes,
        fence: int,
        tenant: str,
        payload: bytes,
        answer: Answer | None,
        place: api.Earlier | None,
        keep_ms: float,
    ) -> None:
        """A request's end: its answer, or where it may have run, or that nothing has; told until taken."""
        kept: bytes = b""
        how = "none"
        if answer is not None:
            whole = len(answer.body) + len(answer.kind) <= self.rules.whole_bytes
            how, kept = (
                ("answer", answer.kind + b"\n" + answer.body) if whole else ("digest", digest(answer.body))
            )
        arguments = (
            name,
            b"%d" % fence,
            how,
            kept,
            *(self._place(place) if place is not None else (b"", 0, 0)),
            int(keep_ms),
            tenant.encode("utf-8", "surrogateescape"),
            payload,
            ENTRY_BYTES,
            self.rules.entries,
        )
        self.owed[(name, fence)] = arguments
        if answer is not None or place is not None:
            self.ran[name] = self.ran.get(name, 0) + 1
        self.owed_bytes += ENTRY_BYTES + len(kept)
        while len(self.owed) > OWED_MOST or self.owed_bytes > OWED_BYTES:
            self._paid(next(iter(self.owed)))
            self.count("keys:unsaid")
        if self.up and len(self.pending) < PENDING_MOST:
            self._write(Command(name, fence, self.clock(), arguments), "end", arguments)
        else:
            self.unwritten = True

    def ask(self, script: str, arguments: tuple[object, ...], told: Callable[[Any], None]) -> bool:
        """An operator's question; `told` is called once with the reply, a string where there is none.

        False where the store can't be asked.
        """
        if not self.up or len(self.pending) >= PENDING_MOST:
            return False
        command = Command(b"", 0, self.clock())
        command.told = told
        self._write(command, script, arguments)
        return True

    def knows_of(self, name: bytes) -> bool:
        """Whether the store is still to be told of a key's end: a refusal of it would be a guess."""
        return name in self.ran

    def next_ms(self) -> float:
        """When `woken` is to be called next; infinity where nothing waits."""
        while self.asked and not self.asked[0].waits:
            self.asked.popleft()
        due = self.asked[0].ends_ms if self.asked else float("inf")
        return min(due, self.heard_ms + DEAD_MS) if self.behind else due

    def woken(self) -> None:
        """Time has passed."""
        now = self.clock()
        if self.next_ms() <= now and self.asked and self.asked[0].ends_ms <= now:
            self.behind, self.heard_ms = True, now
            self.count("keys:store late")
            self._answer_all()
        elif self.behind and self.heard_ms + DEAD_MS <= now:
            self.heard_ms = now
            self.link.reset()

    # From the link.

    def opened(self, now_ms: float, policy: str) -> str:
        """The store is there; what is wrong with it, if so. What is owed to it is told first."""
        if policy != "noeviction":
            # Guards against a store that forgets a key in silence: it would run twice.
            return f"found maxmemory-policy {policy}, wanted noeviction"
        self.up, self.behind, self.heard_ms = True, False, self.clock()
        self.redis_ms, self.at_ms = now_ms, self.heard_ms
        self._write_owed()
        return ""

    def closed(self) -> None:
        """The connection is gone. Claims in flight may have been taken: they are given back when it is there
        again, or their leases end.
        """
        was, self.up = self.up, False
        lost, self.pending = self.pending, deque()
        self._answer_all()
        if was:
            self.count("keys:store lost")
        for command in lost:
            if command.asker is not None:
                self._give_back(command)
            elif command.sure is not None:
                command.sure(False)
            elif command.told is not None:
                command.told("the connection was lost")

    def reply(self, reply: Any) -> None:
        """The reply to the oldest command that has none; a string is an error's words."""
        command = self.pending.popleft()
        self.heard_ms = self.clock()
        if not isinstance(reply, str):
            self.redis_ms, self.at_ms = float(reply[1]), self.heard_ms
        if not self.pending:
            self.behind = False
            if self.unwritten:
                self._write_owed()
        if command.asker is not None:
            self._claimed(command, reply)
        elif command.told is not None:
            command.told(reply)
        elif command.sure is not None:
            command.sure(not isinstance(reply, str) and reply[0] == 1)
        elif command.end is not None and not isinstance(reply, str):  # an error: it stays owed
            if self.owed.get((command.name, command.fence)) is command.end:
                self._paid((command.name, command.fence))
            if reply[0] != 1:
                self.count("keys:claim lost")

    def pushed(self, name: bytes) -> None:
        """A key that this proxy waits for is settled."""
        self.notice(name)

    # Within.

    def _write(self, command: Command, script: str, arguments: tuple[object, ...]) -> None:
        self.pending.append(command)
        self.link.send(script, arguments)

    def _write_owed(self) -> None:
        """Tell the store all that is owed to it, where it was told nothing of it yet."""
        self.unwritten = False
        for (name, fence), arguments in self.owed.items():
            self._write(Command(name, fence, self.heard_ms, arguments), "end", arguments)

    def _earliest(self, ours_ms: float) -> float:
        """The store's time, at the earliest, at a time of ours."""
        return self.redis_ms + ours_ms - self.at_ms

    def _place(self, place: api.Earlier) -> tuple[object, ...]:
        """A place as the store keeps it: its time is told too early rather than too late."""
        return place.zone.encode(), place.cell, int(self._earliest(place.sent_ms))

    def _paid(self, key: tuple[bytes, int]) -> None:
        how, kept, zone = self.owed.pop(key)[2:5]
        assert isinstance(kept, bytes)
        self.owed_bytes -= ENTRY_BYTES + len(kept)
        if how != "none" or zone:
            self.ran[key[0]] -= 1
            if not self.ran[key[0]]:
                del self.ran[key[0]]

    def _give_back(self, command: Command) -> None:
        """Of a claim that nobody waits for, nothing was sent."""
        self.end(command.name, command.fence, "", b"", None, None, 0.0)

    def _answer_all(self) -> None:
        """Answer all who wait for a claim: the store can't be asked now."""
        asked, self.asked, self.waits = self.asked, deque(), 0
        for command in asked:
            if command.waits and command.asker is not None:
                command.waits = False
                command.asker.claimed(Claim(Verdict.AWAY))

    def _claimed(self, command: Command, reply: Any) -> None:
        waited, command.waits = command.waits, False
        if not waited:
            if not isinstance(reply, str) and reply[0] == b"run":
                self._give_back(command)
            return
        self.waits -= 1
        assert command.asker is not None
        command.asker.claimed(self._verdict(command, reply))

    def _verdict(self, command: Command, reply: Any) -> Claim:
        if isinstance(reply, str):
            # Redis has no memory left: what is taken there ends as it should, and nothing new is taken.
            return Claim(Verdict.FULL if reply.startswith("OOM") else Verdict.AWAY)
        kind = reply[0]
        if kind == b"run":
            earlier = None
            if len(reply) > 3:
                zone, cell, ago = reply[3].decode(), int(reply[4]), float(reply[5])
                earlier = api.Earlier(zone, cell, command.wrote_ms - ago)  # too early rather than too late
            elif len(reply) == 3:
                earlier = UNKNOWN
            return Claim(Verdict.RUN, command.fence, earlier, digest=reply[2] if len(reply) > 2 else b"")
        if kind == b"answer" and reply[2] is not None:
            answer_kind, _, body = reply[2].partition(b"\n")
            return Claim(Verdict.ANSWER, answer=Answer(body, answer_kind))
        if kind in (b"join", b"young"):
            verdict = Verdict.JOIN if kind == b"join" else Verdict.AWAY
            return Claim(verdict, wait_ms=float(reply[2]))
        return Claim(VERDICTS.get(kind, Verdict.AWAY))


VERDICTS = {b"payload": Verdict.OTHER_PAYLOAD, b"full": Verdict.FULL, b"busy": Verdict.BUSY}
