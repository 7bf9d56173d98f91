"""The byte account of all bodies that are passed on as they arrive.

Theory of operation. The proxy may hold `most` bytes of such bodies over all. Each open pipe has an even
share of it, less what one read may bring; a share is at least `LEAST` and at most `EACH`. Where there are
so many pipes that shares would be smaller, no further one is opened: a body that comes then is refused
before anything of it has left, and an answer waits at its node until a place is free (its reader does not
read on).
"""

from __future__ import annotations

from collections.abc import Callable

from mypy_extensions import mypyc_attr

# Bytes that one read of a connection that carries a long body may bring (`http.pieces`).
READ = 64 * 1024
LEAST, EACH = 16 * 1024, 256 * 1024
PART = 0.3  # of the memory limit, for all bodies; the rest is the process's own, and the kernel's


@mypyc_attr(allow_interpreted_subclasses=True)
class Account:
    """How many pipes are open, and what each may hold. `most`: bytes over all."""

    def __init__(self, most: int) -> None:
        if most < LEAST + READ:
            raise ValueError(f"found {most} bytes for bodies, wanted {LEAST + READ} at least")
        self.whole = self.most = most
        self.places = most // (LEAST + READ)
        self.open = 0
        self.waiting: dict[int, Callable[[], None]] = {}  # by serial: who waits for a place, the first first
        self.serial = 0
        self.bytes = 0  # passed on since the start
        self.refused = 0

    def share(self) -> int:
        """Bytes that one pipe may hold now, beyond one read."""
        return max(LEAST, min(EACH, self.most // max(1, self.open) - READ))

    def room(self, part: float) -> None:
        """Hold so much of what this process may hold alone; what is open stays so."""
        self.most = max(LEAST + READ, int(self.whole * part))
        self.places = self.most // (LEAST + READ)
        self._next()

    def enter(self) -> bool:
        """Take a place; False where there is none."""
        if self.open >= self.places:
            self.refused += 1
            return False
        self.open += 1
        return True

    def wait(self, go: Callable[[], None]) -> int:
        """Be called with a place, at once or later; a number to leave the queue with."""
        self.serial += 1
        self.waiting[self.serial] = go
        self._next()
        return self.serial

    def forget(self, number: int) -> None:
        """Wait no longer."""
        self.waiting.pop(number, None)

    def leave(self) -> None:
        """Give a place back."""
        self.open -= 1
        self._next()

    def _next(self) -> None:
        while self.waiting and self.open < self.places:
            self.open += 1
            self.waiting.pop(next(iter(self.waiting)))()
