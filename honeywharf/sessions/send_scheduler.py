"""Schedules frames on a machine's network link: short frames at once, bodies as the link has capacity.

Theory of operation. All frames of one program leave by the same network link, whatever connections they use,
and bytes given to a socket can't be overtaken. Bodies are therefore sent from here: at `BODY_SHARE` of the
link's rate, at most `burst` bytes at once, and never on a connection that still has unsent bytes. Other
frames are sent at once and use the same credit, so that bodies give way to them. A short frame then waits for
at most `burst` bytes of bodies and one more frame on its own machine's link, however many bodies there are.

Queued sessions take turns, one frame each. Within a session, frames that have to stay in order (`ORDERED`)
queue behind those that wait; acknowledgements, and frames that move a session, do not. Queued bytes are
bounded by what gateways have granted; beyond `MAX_QUEUED_BYTES` the link concerned is dropped.
"""

from __future__ import annotations

from collections import deque

from honeywharf.sessions.frames import CHUNK_BYTES, CLOSE, DATA, DROP, END, HEAD, OPEN, PART, WHOLE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

LINK_MBPS = 1000.0  # The default rate of the link, in Mbit/s.
BODY_SHARE = 0.9  # The part of the link's rate that bodies may use.
# Bodies sent ahead of a short frame take the larger of this many bytes and this time of the link.
BURST_BYTES, BURST_S = 2 * CHUNK_BYTES, 0.002
MIN_DELAY_S = 0.0005  # The shortest timer.
BLOCKED_POLL_S = 0.005  # The timer where all queued connections have unsent bytes.
ORDERED = frozenset((OPEN, DATA, END, CLOSE, DROP, HEAD, PART, WHOLE))
MAX_QUEUED_BYTES = 128 << 20


class SendScheduler:
    """The network link of one machine. `rate` is in bytes/s; `after` and `now` are methods of the host."""

    __slots__ = (
        "_is_scheduled",
        "_refilled_at",
        "after",
        "burst",
        "credit",
        "now",
        "queued_bytes",
        "queues",
        "rate",
    )

    def __init__(
        self,
        now: Callable[[], float],
        after: Callable[[float, Callable[[], None]], object],
        rate: float,
    ) -> None:
        if not rate > 0.0:
            raise ValueError(f"rate: expected more than 0 bytes/s, got {rate}")
        self.now, self.after, self.rate = now, after, rate * BODY_SHARE
        self.burst = max(BURST_BYTES, BURST_S * self.rate)
        self.credit, self._refilled_at = self.burst, now()
        self.queues: dict[tuple[Any, bytes], deque[list[Any]]] = {}
        self.queued_bytes = 0
        self._is_scheduled = False

    def send(self, link: Any, frame: list[Any]) -> None:
        """Sends a frame on an `OutgoingLink` or `IncomingLink`, at once or in its turn."""
        kind = frame[0]
        if kind in ORDERED and self.queues:
            queue = self.queues.get((link, frame[1]))
            if queue is not None:
                self._enqueue(queue, link, frame)
                return
        if self._is_body(link, frame):
            self._refill()
            if self.credit <= 0.0 or self.queues or link.unsent:
                self._enqueue(self.queues.setdefault((link, frame[1]), deque()), link, frame)
                self._schedule()
                return
        self._charge(link.send(frame))

    @staticmethod
    def _is_body(link: Any, frame: list[Any]) -> bool:
        """Returns whether a frame is part of a long request body, or of an answer beyond its first chunk."""
        return (frame[0] == DATA and not link.carries_short_bodies) or (
            frame[0] == PART and frame[3] >= CHUNK_BYTES
        )

    def _enqueue(self, queue: deque[list[Any]], link: Any, frame: list[Any]) -> None:
        queue.append(frame)
        self.queued_bytes += _size(frame)
        if self.queued_bytes > MAX_QUEUED_BYTES:
            link.drop()

    def _refill(self) -> None:
        now = self.now()
        self.credit = min(self.burst, self.credit + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def _charge(self, size: int) -> None:
        # The bound guards bodies against starvation by other frames.
        self.credit = max(-4.0 * self.burst, self.credit - size)

    # Queued frames.

    def send_queued(self) -> None:
        """Sends queued frames while there is credit and a connection without unsent bytes."""
        self._refill()
        blocked = 0
        while self.queues and self.credit > 0.0 and blocked < len(self.queues):
            key, queue = next(iter(self.queues.items()))
            del self.queues[key]
            link = key[0]
            if link.is_closed:
                self.queued_bytes -= sum(map(_size, queue))
            elif link.unsent:
                self.queues[key] = queue
                blocked += 1
            else:
                blocked = 0
                frame = queue.popleft()
                self.queued_bytes -= _size(frame)
                self._charge(link.send(frame))
                if queue:
                    self.queues[key] = queue
        if self.queues:
            self._schedule()

    def _schedule(self) -> None:
        """Sets a timer for when there is credit again, or to check connections that were blocked."""
        if not self._is_scheduled:
            self._is_scheduled = True
            wait = BLOCKED_POLL_S if self.credit > 0.0 else (1.0 - self.credit) / self.rate
            self.after(max(MIN_DELAY_S, wait), self._wake)

    def _wake(self) -> None:
        self._is_scheduled = False
        self.send_queued()


def _size(frame: list[Any]) -> int:
    return len(frame[4]) if frame[0] in (DATA, PART) else 0
