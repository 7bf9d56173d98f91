"""What goes out first on a machine's link: short frames at once, bodies as the link has room for them.

Theory of operation. All frames of one program leave by one link, whatever connections they take, and what has
been given to a socket can't be overtaken. So bodies are let out here: at `SHARE` of the link's rate, at most
`ahead` bytes in one go, and by no connection that still holds bytes unsent. Whatever is no body passes by at
once and is charged to the same account, so that bodies make room for it. A short frame then waits for at most
`ahead` bytes of bodies and a frame more on its own machine's link, however many bodies there are.

Sessions that wait take turns, a frame each. Within one session what must keep its order (`ORDERED`) queues
behind what waits; what acknowledges, or moves a session, does not. What waits is bounded by what gateways
have granted; past `MAX_WAITING` bytes the link that was to take it is lost.
"""

from __future__ import annotations

from collections import deque

from honeywharf.sessions.frames import CLOSE, DATA, DROP, END, HEAD, OPEN, PART, PIECE, WHOLE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

LINK_MBPS = 1000.0  # where settings tell none
SHARE = 0.9  # of the link, for bodies
AHEAD, AHEAD_S = 2 * PIECE, 0.002  # of bodies before a short frame: bytes, or seconds if more
MIN_DELAY_S = 0.0005  # between two looks
BLOCKED_S = 0.005  # the same where only full links wait
ORDERED = frozenset((OPEN, DATA, END, CLOSE, DROP, HEAD, PART, WHOLE))
MAX_WAITING = 128 << 20


class Spillway:
    """One machine's link. `rate`: bytes a second; `after(seconds, call)`: of the host; `now()`: seconds."""

    __slots__ = ("_filled", "_ticking", "after", "ahead", "credit", "now", "rate", "waiting", "waiting_bytes")

    def __init__(
        self,
        now: Callable[[], float],
        after: Callable[[float, Callable[[], None]], object],
        rate: float,
    ) -> None:
        if not rate > 0.0:
            raise ValueError(f"found a link of {rate} bytes a second, wanted more than 0")
        self.now, self.after, self.rate = now, after, rate * SHARE
        self.ahead = max(AHEAD, AHEAD_S * self.rate)
        self.credit, self._filled = self.ahead, now()
        self.waiting: dict[tuple[Any, bytes], deque[list[Any]]] = {}
        self.waiting_bytes = 0
        self._ticking = False

    def send(self, line: Any, frame: list[Any]) -> None:
        """Send a frame by a link (`line.Line` or `line.Caught`), at once or in its turn."""
        kind = frame[0]
        if kind in ORDERED and self.waiting:
            queue = self.waiting.get((line, frame[1]))
            if queue is not None:
                self._queue(queue, line, frame)
                return
        if self._is_body(line, frame):
            self._fill()
            if self.credit <= 0.0 or self.waiting or line.unsent:
                self._queue(self.waiting.setdefault((line, frame[1]), deque()), line, frame)
                self._look()
                return
        self._charge(line.send(frame))

    @staticmethod
    def _is_body(line: Any, frame: list[Any]) -> bool:
        """A body of a request that is not short, or of an answer beyond its first piece."""
        return (frame[0] == DATA and not line.short) or (frame[0] == PART and frame[3] >= PIECE)

    def _queue(self, queue: deque[list[Any]], line: Any, frame: list[Any]) -> None:
        queue.append(frame)
        self.waiting_bytes += _size(frame)
        if self.waiting_bytes > MAX_WAITING:
            line.lose()

    def _fill(self) -> None:
        now = self.now()
        self.credit = min(self.ahead, self.credit + (now - self._filled) * self.rate)
        self._filled = now

    def _charge(self, size: int) -> None:
        self.credit = max(-4.0 * self.ahead, self.credit - size)  # what passes by never stops bodies for long

    # Turns.

    def pump(self) -> None:
        """Let out what there is room for: a link has taken what it held, or time has passed."""
        self._fill()
        blocked = 0
        while self.waiting and self.credit > 0.0 and blocked < len(self.waiting):
            key, queue = next(iter(self.waiting.items()))
            del self.waiting[key]
            line = key[0]
            if line.dead:
                self.waiting_bytes -= sum(map(_size, queue))
            elif line.unsent:
                self.waiting[key] = queue
                blocked += 1
            else:
                blocked = 0
                frame = queue.popleft()
                self.waiting_bytes -= _size(frame)
                self._charge(line.send(frame))
                if queue:
                    self.waiting[key] = queue
        if self.waiting:
            self._look()

    def _look(self) -> None:
        """Come back when there is credit, or to see whether full links have room."""
        if not self._ticking:
            self._ticking = True
            wait = BLOCKED_S if self.credit > 0.0 else (1.0 - self.credit) / self.rate
            self.after(max(MIN_DELAY_S, wait), self._ticked)

    def _ticked(self) -> None:
        self._ticking = False
        self.pump()


def _size(frame: list[Any]) -> int:
    return len(frame[4]) if frame[0] in (DATA, PART) else 0
