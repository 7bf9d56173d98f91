"""One proxy's side of the store of keys that proxies share: claims, unconfirmed ends, circuit breaker.

No I/O; all times are ms on the caller's clock, which never goes back. Claims and ends are pipelined and
answered in order, so each costs one round trip and none waits for another. A holder is identified by a number
that no other claim has; the store accepts an end from the holder only, so a proxy that was paused cannot end
a key for another. Backends do not check fencing tokens: a late attempt is harmless because a key whose lease
ran out is sent to its first cell or nowhere (scripts.py, NOTE and lapse).

The breaker opens when a claim waits too long, or when the connection is lost: then claims are answered at
once. It closes when all pending commands have been answered.
"""

from __future__ import annotations

import secrets
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from honeywharf.orderkeys.table import ENTRY_BYTES, Answer, Claim, Verdict, digest
from honeywharf.policy import interface as api

LEASE_MARGIN_MS = 250.0  # added to the holder's deadline, because its timers may fire late
LATE_CLAIM_MS = 500.0  # the store ignores a claim that arrives this long after its proxy stopped waiting
# The place of an attempt that may have run at an unknown place: no retry window is open for it.
UNKNOWN_PLACE = api.Earlier("", -1, float("-inf"))
MAX_OPEN_CLAIMS = 4096  # claims without an answer
# Ends that the store has not confirmed. Beyond either limit the oldest are dropped, and their keys become
# uncertain when their leases end.
MAX_UNCONFIRMED_ENDS = 4096
MAX_UNCONFIRMED_BYTES = 8 * 1024 * 1024
MAX_PENDING_COMMANDS = 16384  # commands without a reply; beyond it the store counts as unavailable
MAX_WAITING_PROXIES = 16  # proxies that wait for one key
SILENCE_TIMEOUT_MS = (
    1000.0  # a connection without replies for this long is replaced while the breaker is open
)


@dataclass(slots=True, frozen=True)
class StoreRules:
    """The operator's settings. Times in ms; `wait_ms` limits how long a claim waits for the store."""

    max_entries: int
    max_bytes: int
    max_answer_bytes: int
    wait_ms: float = 100.0
    trust_empty: bool = False
    durable: bool = False


class StoreLink(Protocol):
    """The connection to the store."""

    def send(self, script: str, arguments: tuple[object, ...]) -> None:
        """Writes one call of a script; only allowed between `opened` and `closed`."""

    def reset(self) -> None:
        """Closes the connection and opens another one later."""


class ClaimRequester(Protocol):
    """Receives the answer to a claim."""

    def claimed(self, claim: Claim) -> None:
        """Handles the single answer to the claim."""


class Command:
    """A command that was written and has no reply yet."""

    __slots__ = (
        "end",
        "fence",
        "name",
        "on_confirmed",
        "on_reply",
        "requester",
        "requester_waits",
        "timeout_at_ms",
        "written_ms",
    )

    def __init__(
        self,
        name: bytes,
        fence: int,
        written_ms: float,
        end: tuple[object, ...] | None = None,
    ) -> None:
        self.name, self.fence, self.written_ms, self.end = name, fence, written_ms, end
        self.requester: ClaimRequester | None = None  # set for a claim
        self.requester_waits = False  # whether the requester still waits for the answer
        self.timeout_at_ms = 0.0  # when it stops waiting
        # set for a note that must be confirmed before the send
        self.on_confirmed: Callable[[bool], None] | None = None
        self.on_reply: Callable[[Any], None] | None = None  # set for an operator's query


class SharedStore:
    """The keys of one site, as one proxy sees them.

    `on_key_settled` is called with each key that this proxy waits for when it settles.
    """

    def __init__(
        self,
        rules: StoreRules,
        link: StoreLink,
        clock: Callable[[], float],
        on_key_settled: Callable[[bytes], None],
        count: Callable[[str], None],
        proxy: str = "",
    ) -> None:
        self.rules, self.link, self.clock, self.on_key_settled, self.count = (
            rules,
            link,
            clock,
            on_key_settled,
            count,
        )
        self.proxy = proxy or secrets.token_hex(8)
        self.last_fence = secrets.randbits(96) << 32
        self.connected = False  # whether the store is opened on a connection
        self.breaker_open = False  # from the first claim that waits too long until no command is pending
        self.pending: deque[Command] = deque()
        self.open_claims: deque[Command] = deque()  # in the order of their time-outs
        self.waiting_claims = 0  # open claims whose requester still waits
        self.unconfirmed_ends: OrderedDict[tuple[bytes, int], tuple[object, ...]] = OrderedDict()
        self.unconfirmed_bytes = 0
        self.has_unwritten_ends = False  # whether some ends are not written on this connection
        # number of unconfirmed ends by key, where something may have run
        self.unconfirmed_runs: dict[bytes, int] = {}
        self.last_reply_ms = 0.0
        # The store's clock was at least `store_time_ms` at `store_time_read_ms` of this proxy's clock.
        self.store_time_ms = self.store_time_read_ms = 0.0

    # Calls of the deduplicator.

    def available(self) -> bool:
        """Whether a claim is sent to the store, instead of answered at once with STORE_UNAVAILABLE."""
        return (
            self.connected
            and not self.breaker_open
            and self.waiting_claims < MAX_OPEN_CLAIMS
            and len(self.pending) < MAX_PENDING_COMMANDS
        )

    def claim(
        self,
        name: bytes,
        tenant: str,
        payload: bytes,
        lease_ms: float,
        keep_ms: float,
        empty_ms: float,
        requester: ClaimRequester,
    ) -> bool:
        """Claims a key for a request that ends within `lease_ms`. Returns False if the store is unavailable.

        `empty_ms`: how long a store that has lost its keys must not grant claims.
        """
        if not self.available():
            return False
        now, rules = self.clock(), self.rules
        self.last_fence += 1
        command = Command(name, self.last_fence, now)
        command.requester, command.requester_waits, command.timeout_at_ms = (
            requester,
            True,
            now + rules.wait_ms,
        )
        self.open_claims.append(command)
        self.waiting_claims += 1
        self._write(
            command,
            "claim",
            (
                name,
                tenant.encode("utf-8", "surrogateescape"),
                payload,
                b"%d" % command.fence,
                int(lease_ms + LEASE_MARGIN_MS),
                int(keep_ms),
                0 if rules.trust_empty else int(empty_ms),
                self.proxy,
                rules.max_entries,
                rules.max_bytes,
                ENTRY_BYTES,
                int(self._store_time_ms(command.timeout_at_ms) + LATE_CLAIM_MS),
                MAX_WAITING_PROXIES,
            ),
        )
        return True

    def note(
        self,
        name: bytes,
        fence: int,
        place: api.Earlier,
        on_confirmed: Callable[[bool], None] | None = None,
    ) -> bool:
        """Notes in the store where an attempt is about to go. Returns False if the store is unavailable.

        `on_confirmed` is called once, with True if the store has the note and the claim still holds.
        """
        if not self.connected or len(self.pending) >= MAX_PENDING_COMMANDS:
            return False
        command = Command(name, fence, self.clock())
        command.on_confirmed = on_confirmed
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
        """Reports a request's end until confirmed: its answer, where it may have run, or that nothing ran."""
        stored: bytes = b""
        how = "none"
        if answer is not None:
            is_short = len(answer.body) + len(answer.kind) <= self.rules.max_answer_bytes
            how, stored = (
                ("answer", answer.kind + b"\n" + answer.body) if is_short else ("digest", digest(answer.body))
            )
        arguments = (
            name,
            b"%d" % fence,
            how,
            stored,
            *(self._place(place) if place is not None else (b"", 0, 0)),
            int(keep_ms),
            tenant.encode("utf-8", "surrogateescape"),
            payload,
            ENTRY_BYTES,
            self.rules.max_entries,
        )
        self.unconfirmed_ends[(name, fence)] = arguments
        if answer is not None or place is not None:
            self.unconfirmed_runs[name] = self.unconfirmed_runs.get(name, 0) + 1
        self.unconfirmed_bytes += ENTRY_BYTES + len(stored)
        while (
            len(self.unconfirmed_ends) > MAX_UNCONFIRMED_ENDS
            or self.unconfirmed_bytes > MAX_UNCONFIRMED_BYTES
        ):
            self._drop_end(next(iter(self.unconfirmed_ends)))
            self.count("keys:unsaid")
        if self.connected and len(self.pending) < MAX_PENDING_COMMANDS:
            self._write(Command(name, fence, self.clock(), arguments), "end", arguments)
        else:
            self.has_unwritten_ends = True

    def query(self, script: str, arguments: tuple[object, ...], on_reply: Callable[[Any], None]) -> bool:
        """Sends an operator's query. Returns False if the store is unavailable.

        `on_reply` is called once with the reply, or with a string if there is none.
        """
        if not self.connected or len(self.pending) >= MAX_PENDING_COMMANDS:
            return False
        command = Command(b"", 0, self.clock())
        command.on_reply = on_reply
        self._write(command, script, arguments)
        return True

    def has_unconfirmed_run(self, name: bytes) -> bool:
        """Whether a run of the key is still unconfirmed, so that a refusal could be wrong."""
        return name in self.unconfirmed_runs

    def next_check_ms(self) -> float:
        """Returns when `check_timeouts` must be called next; infinity if nothing waits."""
        while self.open_claims and not self.open_claims[0].requester_waits:
            self.open_claims.popleft()
        due = self.open_claims[0].timeout_at_ms if self.open_claims else float("inf")
        return min(due, self.last_reply_ms + SILENCE_TIMEOUT_MS) if self.breaker_open else due

    def check_timeouts(self) -> None:
        """Opens the breaker if a claim has waited too long, or replaces a connection that stays silent."""
        now = self.clock()
        if self.next_check_ms() <= now and self.open_claims and self.open_claims[0].timeout_at_ms <= now:
            self.breaker_open, self.last_reply_ms = True, now
            self.count("keys:store late")
            self._answer_all_unavailable()
        elif self.breaker_open and self.last_reply_ms + SILENCE_TIMEOUT_MS <= now:
            self.last_reply_ms = now
            self.link.reset()

    # Calls of the link.

    def opened(self, now_ms: float, policy: str) -> str:
        """Uses a newly opened store, unconfirmed ends first. Returns what is wrong with it, if anything."""
        if policy != "noeviction":
            # A store that evicts keys would let them run twice.
            return f"maxmemory-policy: expected noeviction, got {policy}"
        self.connected, self.breaker_open, self.last_reply_ms = True, False, self.clock()
        self.store_time_ms, self.store_time_read_ms = now_ms, self.last_reply_ms
        self._write_unconfirmed()
        return ""

    def closed(self) -> None:
        """Handles the loss of the connection.

        The store may have granted pending claims: they are given back on the next connection, or their leases
        end.
        """
        was_connected, self.connected = self.connected, False
        unanswered, self.pending = self.pending, deque()
        self._answer_all_unavailable()
        if was_connected:
            self.count("keys:store lost")
        for command in unanswered:
            if command.requester is not None:
                self._return_claim(command)
            elif command.on_confirmed is not None:
                command.on_confirmed(False)
            elif command.on_reply is not None:
                command.on_reply("the connection was lost")

    def reply(self, reply: Any) -> None:
        """Handles the reply to the oldest pending command; a string is an error message."""
        command = self.pending.popleft()
        self.last_reply_ms = self.clock()
        if not isinstance(reply, str):
            self.store_time_ms, self.store_time_read_ms = float(reply[1]), self.last_reply_ms
        if not self.pending:
            self.breaker_open = False
            if self.has_unwritten_ends:
                self._write_unconfirmed()
        if command.requester is not None:
            self._claimed(command, reply)
        elif command.on_reply is not None:
            command.on_reply(reply)
        elif command.on_confirmed is not None:
            command.on_confirmed(not isinstance(reply, str) and reply[0] == 1)
        # after an error the end stays unconfirmed
        elif command.end is not None and not isinstance(reply, str):
            if self.unconfirmed_ends.get((command.name, command.fence)) is command.end:
                self._drop_end((command.name, command.fence))
            if reply[0] != 1:
                self.count("keys:claim lost")

    def key_settled(self, name: bytes) -> None:
        """Handles the notice that a key this proxy waits for is settled."""
        self.on_key_settled(name)

    # Internals.

    def _write(self, command: Command, script: str, arguments: tuple[object, ...]) -> None:
        self.pending.append(command)
        self.link.send(script, arguments)

    def _write_unconfirmed(self) -> None:
        """Writes all unconfirmed ends, because some are not written on this connection."""
        self.has_unwritten_ends = False
        for (name, fence), arguments in self.unconfirmed_ends.items():
            self._write(Command(name, fence, self.last_reply_ms, arguments), "end", arguments)

    def _store_time_ms(self, local_ms: float) -> float:
        """Returns the earliest time of the store's clock at a time of this proxy's clock."""
        return self.store_time_ms + local_ms - self.store_time_read_ms

    def _place(self, place: api.Earlier) -> tuple[object, ...]:
        """Encodes a place for the store; its time may be too early, but not too late."""
        return place.zone.encode(), place.cell, int(self._store_time_ms(place.sent_ms))

    def _drop_end(self, key: tuple[bytes, int]) -> None:
        how, stored, zone = self.unconfirmed_ends.pop(key)[2:5]
        assert isinstance(stored, bytes)
        self.unconfirmed_bytes -= ENTRY_BYTES + len(stored)
        if how != "none" or zone:
            self.unconfirmed_runs[key[0]] -= 1
            if not self.unconfirmed_runs[key[0]]:
                del self.unconfirmed_runs[key[0]]

    def _return_claim(self, command: Command) -> None:
        """Gives back a granted claim that nobody waits for; nothing was sent for it."""
        self.end(command.name, command.fence, "", b"", None, None, 0.0)

    def _answer_all_unavailable(self) -> None:
        """Answers all waiting claims with STORE_UNAVAILABLE."""
        open_claims, self.open_claims, self.waiting_claims = self.open_claims, deque(), 0
        for command in open_claims:
            if command.requester_waits and command.requester is not None:
                command.requester_waits = False
                command.requester.claimed(Claim(Verdict.STORE_UNAVAILABLE))

    def _claimed(self, command: Command, reply: Any) -> None:
        was_waiting, command.requester_waits = command.requester_waits, False
        if not was_waiting:
            if not isinstance(reply, str) and reply[0] == b"run":
                self._return_claim(command)
            return
        self.waiting_claims -= 1
        assert command.requester is not None
        command.requester.claimed(self._verdict(command, reply))

    def _verdict(self, command: Command, reply: Any) -> Claim:
        if isinstance(reply, str):
            # Redis is out of memory: keys that it has end as usual, and new keys are refused.
            return Claim(Verdict.FULL if reply.startswith("OOM") else Verdict.STORE_UNAVAILABLE)
        kind = reply[0]
        if kind == b"run":
            earlier = None
            if len(reply) > 3:
                zone, cell, ago = reply[3].decode(), int(reply[4]), float(reply[5])
                earlier = api.Earlier(zone, cell, command.written_ms - ago)  # rather too early than too late
            elif len(reply) == 3:
                earlier = UNKNOWN_PLACE
            return Claim(Verdict.RUN, command.fence, earlier, digest=reply[2] if len(reply) > 2 else b"")
        if kind == b"answer" and reply[2] is not None:
            answer_kind, _, body = reply[2].partition(b"\n")
            return Claim(Verdict.ANSWER, answer=Answer(body, answer_kind))
        if kind in (b"join", b"young"):
            verdict = Verdict.JOIN if kind == b"join" else Verdict.STORE_UNAVAILABLE
            return Claim(verdict, wait_ms=float(reply[2]))
        return Claim(VERDICTS.get(kind, Verdict.STORE_UNAVAILABLE))


VERDICTS = {b"payload": Verdict.OTHER_PAYLOAD, b"full": Verdict.FULL, b"busy": Verdict.BUSY}
