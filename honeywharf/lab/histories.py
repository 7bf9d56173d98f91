"""Records requests, answers and charges in order, and checks the rules on idempotent requests.

The method is that of Jepsen (Kingsbury): the history is recorded outside the system under test, and its
verdicts follow from the history alone. Times are in ms of one clock, that of the process with the clients and
the backends.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

MAX_EVENTS = 2_000_000
LOST = 0  # The status of a request whose connection ended without an answer.


@dataclass(slots=True)
class Request:
    """One request of a key. `repeat` says whether its client marked it as a repeat."""

    key: str
    repeat: bool
    began_ms: float
    ended_ms: float = float("inf")
    status: int = -1  # -1 until it ends.
    body: bytes = b""
    answers: int = 0
    late_until_ms: float = 0.0  # The time until which it may still run after its client gave up.


@dataclass(slots=True)
class History:
    """The history of one run. Recording more than `max_events` events raises MemoryError."""

    max_events: int = MAX_EVENTS
    requests_by_id: dict[str, Request] = field(default_factory=dict)
    charges: dict[str, list[tuple[float, str]]] = field(default_factory=lambda: defaultdict(list))
    outages: list[tuple[float, float]] = field(
        default_factory=list
    )  # Times at which a proxy was killed and was back.
    events: int = 0

    def _count(self) -> None:
        self.events += 1
        if self.events > self.max_events:
            raise MemoryError(f"history: expected up to {self.max_events} events, got {self.events}")

    def requested(self, name: str, key: str, now_ms: float, repeat: bool) -> None:
        """Records that a client sends a request. Raises ValueError if its id is in use."""
        self._count()
        if name in self.requests_by_id:
            raise ValueError(f"history: expected a new request id, got {name!r} again")
        self.requests_by_id[name] = Request(key, repeat, now_ms)

    def answered(
        self,
        name: str,
        now_ms: float,
        status: int,
        body: bytes = b"",
        late_ms: float = 0.0,
    ) -> None:
        """Records that a client got an answer, lost its connection (LOST), or gave up.

        `late_ms`: time for which a request may still arrive and run after its client gave up.
        """
        self._count()
        request = self.requests_by_id[name]
        request.late_until_ms = now_ms + late_ms
        request.answers += 1
        request.ended_ms, request.status, request.body = now_ms, status, body

    def charged(self, key: str, name: str, now_ms: float) -> None:
        """Records that a rack charged a key for a request."""
        self._count()
        self.charges[key].append((now_ms, name))

    def outage(self, killed_ms: float, back_ms: float) -> None:
        """Records that a proxy was killed, and that another listened in its place later."""
        self.outages.append((killed_ms, back_ms))

    def violations(self, kept_ms: float) -> dict[str, list[str]]:
        """Returns the keys or request ids that break each rule. Keys are kept for `kept_ms`."""
        return {
            "one answer": [n for n, a in self.requests_by_id.items() if not self._ended_once(a)],
            "one charge": [
                k
                for k, times in self.charges.items()
                if any(later[0] - first[0] < kept_ms for first, later in pairwise(times))
            ],
            "same answer": self._keys_with_different_answers(kept_ms),
            "served means charged": [
                n
                for n, a in self.requests_by_id.items()
                if a.status == 200 and not any(at <= a.ended_ms for at, _ in self.charges.get(a.key, ()))
            ],
            "refused means no charge": [
                n for n, a in self.requests_by_id.items() if a.status == 503 and self._is_false_refusal(n, a)
            ],
        }

    def events_of(self, key: str) -> list[str]:
        """Returns the events of a key in order, one per line."""
        rows = [(at, f"charged for {by}") for at, by in self.charges.get(key, ())]
        for name, request in self.requests_by_id.items():
            if request.key == key:
                rows.append((request.began_ms, f"{name} asks{' again' if request.repeat else ''}"))
                rows.append((request.ended_ms, f"{name} ends with {request.status}"))
        return [f"{at:.1f} {event}" for at, event in sorted(rows)]

    def _ended_once(self, request: Request) -> bool:
        """Returns whether a request ended once, and lost its connection only while a proxy was killed."""
        if request.answers != 1:
            return False
        return request.status != LOST or any(
            killed <= request.ended_ms and request.began_ms <= back for killed, back in self.outages
        )

    def _keys_with_different_answers(self, kept_ms: float) -> list[str]:
        """Returns the keys whose repeats got another answer while the first one was kept."""
        served: dict[str, list[Request]] = defaultdict(list)
        for request in self.requests_by_id.values():
            if request.status == 200:
                served[request.key].append(request)
        return [
            key
            for key, requests in served.items()
            if any(a.body != b.body and abs(b.ended_ms - a.ended_ms) < kept_ms for a, b in pairwise(requests))
        ]

    def _is_false_refusal(self, name: str, request: Request) -> bool:
        """Returns whether a refusal is false.

        A refusal says that neither this request nor one that ended before it has an effect, now or later. It
        says nothing about concurrent requests of the key, which have answers of their own. A request of a
        client that gave up is concurrent for as long as its datagrams may arrive.
        """
        for at, by in self.charges.get(request.key, ()):
            other = self.requests_by_id.get(by)
            if by == name or (
                other is not None
                and at <= request.ended_ms
                and max(other.ended_ms, other.late_until_ms) < request.began_ms
            ):
                return True
        return False
