"""What clients asked and got and what racks charged, in order, and what must hold of it.

After the style of Jepsen (Kingsbury): the history is taken outside the system under test, and its verdicts
follow from it alone. Times are ms of one clock, that of the process which plays clients and backends.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

MAX_EVENTS = 2_000_000
LOST = 0  # the status of a request whose connection ended without an answer


@dataclass(slots=True)
class Ask:
    """One request of a key: when it began and ended, what it got. `repeat`: its client said so."""

    key: str
    repeat: bool
    began_ms: float
    ended_ms: float = float("inf")
    status: int = -1  # none yet
    body: bytes = b""
    answers: int = 0
    late_until_ms: float = 0.0  # its client has gone; until then it may begin, or go on, in spite of that


@dataclass(slots=True)
class History:
    """The record of one run. MemoryError beyond `most` events: nothing is left out in silence."""

    most: int = MAX_EVENTS
    asks: dict[str, Ask] = field(default_factory=dict)  # by request id
    charges: dict[str, list[tuple[float, str]]] = field(default_factory=lambda: defaultdict(list))
    outages: list[tuple[float, float]] = field(default_factory=list)  # of proxies: killed, back
    events: int = 0

    def _count(self) -> None:
        self.events += 1
        if self.events > self.most:
            raise MemoryError(f"history: {self.most} events are the most that are kept")

    def asked(self, name: str, key: str, now_ms: float, repeat: bool) -> None:
        """A client sends a request."""
        self._count()
        if name in self.asks:
            raise ValueError(f"history: a request id of its own is wanted, not {name!r} again")
        self.asks[name] = Ask(key, repeat, now_ms)

    def answered(
        self,
        name: str,
        now_ms: float,
        status: int,
        body: bytes = b"",
        late_ms: float = 0.0,
    ) -> None:
        """A client got an answer, lost its connection (LOST), or gave up.

        `late_ms`: for a client that gave up, how long what it has sent may still be on its way and be begun.
        """
        self._count()
        ask = self.asks[name]
        ask.late_until_ms = now_ms + late_ms
        ask.answers += 1
        ask.ended_ms, ask.status, ask.body = now_ms, status, body

    def charged(self, key: str, name: str, now_ms: float) -> None:
        """A rack charged a key for a request."""
        self._count()
        self.charges[key].append((now_ms, name))

    def outage(self, killed_ms: float, back_ms: float) -> None:
        """A proxy was killed, and one listened in its place again."""
        self.outages.append((killed_ms, back_ms))

    def faults(self, kept_ms: float) -> dict[str, list[str]]:
        """By rule, the keys or requests that broke it. `kept_ms`: how long a key is known after its end."""
        return {
            "one answer": [n for n, a in self.asks.items() if not self._accounted(a)],
            "one charge": [
                k
                for k, times in self.charges.items()
                if any(later[0] - first[0] < kept_ms for first, later in pairwise(times))
            ],
            "same answer": self._differing(kept_ms),
            "served means charged": [
                n
                for n, a in self.asks.items()
                if a.status == 200 and not any(at <= a.ended_ms for at, _ in self.charges.get(a.key, ()))
            ],
            "refused means no charge": [
                n for n, a in self.asks.items() if a.status == 503 and self._false_refusal(n, a)
            ],
        }

    def told(self, key: str) -> list[str]:
        """All that is known of a key, in order, a line each: for who looks for the cause of a fault."""
        rows = [(at, f"charged for {by}") for at, by in self.charges.get(key, ())]
        for name, ask in self.asks.items():
            if ask.key == key:
                rows.append((ask.began_ms, f"{name} asks{' again' if ask.repeat else ''}"))
                rows.append((ask.ended_ms, f"{name} ends with {ask.status}"))
        return [f"{at:.1f} {words}" for at, words in sorted(rows)]

    def _accounted(self, ask: Ask) -> bool:
        """Exactly one end, and a connection lost only where a proxy was killed meanwhile."""
        if ask.answers != 1:
            return False
        return ask.status != LOST or any(
            killed <= ask.ended_ms and ask.began_ms <= back for killed, back in self.outages
        )

    def _differing(self, kept_ms: float) -> list[str]:
        """Keys whose repeats got other answers than the one before, while that was known."""
        served: dict[str, list[Ask]] = defaultdict(list)
        for ask in self.asks.values():
            if ask.status == 200:
                served[ask.key].append(ask)
        return [
            key
            for key, asks in served.items()
            if any(a.body != b.body and abs(b.ended_ms - a.ended_ms) < kept_ms for a, b in pairwise(asks))
        ]

    def _false_refusal(self, name: str, ask: Ask) -> bool:
        """A refusal says that this request has no effect, now or later, nor one that had ended before it.

        Of requests of the key that run beside it, it says nothing: their own answers do. Those of clients
        that gave up run beside it, too, as long as a datagram of theirs may arrive.
        """
        for at, by in self.charges.get(ask.key, ()):
            other = self.asks.get(by)
            if by == name or (
                other is not None
                and at <= ask.ended_ms
                and max(other.ended_ms, other.late_until_ms) < ask.began_ms
            ):
                return True
        return False
