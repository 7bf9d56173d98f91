"""The budget of buffered bytes for all bodies that are forwarded as they arrive.

Theory of operation. The proxy may buffer `max_bytes` of such bodies over all. Each open pipe has an even
share of that, less what one read may bring; a share is at least `MIN_SHARE_BYTES` and at most
`MAX_SHARE_BYTES`. Where more pipes would make the shares smaller than that, no further pipe is opened: a
request body that arrives then is rejected before any of it is forwarded, and an answer waits at its backend,
unread, until there is a slot.
"""

from __future__ import annotations

from collections.abc import Callable

from mypy_extensions import mypyc_attr

# The size limit of one read from a connection that carries a long body (`http.body_streams`).
MAX_READ = 64 * 1024
MIN_SHARE_BYTES, MAX_SHARE_BYTES = 16 * 1024, 256 * 1024
MEMORY_SHARE = 0.3  # The part of the memory limit for all bodies; the rest is for the process and the kernel.


@mypyc_attr(allow_interpreted_subclasses=True)
class BufferBudget:
    """The number of open pipes, and what each may buffer. `max_bytes` is the sum over all pipes."""

    def __init__(self, max_bytes: int) -> None:
        if max_bytes < MIN_SHARE_BYTES + MAX_READ:
            raise ValueError(f"max_bytes: expected at least {MIN_SHARE_BYTES + MAX_READ}, got {max_bytes}")
        self.total_bytes = self.max_bytes = max_bytes
        self.max_pipes = max_bytes // (MIN_SHARE_BYTES + MAX_READ)
        self.open_pipes = 0
        self.waiting: dict[int, Callable[[], None]] = {}  # The callbacks by ticket, in the order of arrival.
        self.last_ticket = 0
        self.transferred_bytes = 0  # The number of bytes forwarded since the start.
        self.rejected = 0

    def share(self) -> int:
        """The bytes that one pipe may buffer now, beyond one read."""
        return max(
            MIN_SHARE_BYTES, min(MAX_SHARE_BYTES, self.max_bytes // max(1, self.open_pipes) - MAX_READ)
        )

    def scale(self, share: float) -> None:
        """Limits the budget to a share of the total, while two processes share it; open pipes stay open."""
        self.max_bytes = max(MIN_SHARE_BYTES + MAX_READ, int(self.total_bytes * share))
        self.max_pipes = self.max_bytes // (MIN_SHARE_BYTES + MAX_READ)
        self._grant_waiting()

    def acquire(self) -> bool:
        """Takes a slot; returns False if none is free."""
        if self.open_pipes >= self.max_pipes:
            self.rejected += 1
            return False
        self.open_pipes += 1
        return True

    def wait_for_slot(self, on_slot: Callable[[], None]) -> int:
        """Calls back with a slot, at once or later; returns a ticket for `cancel_wait`."""
        self.last_ticket += 1
        ticket = self.last_ticket  # A callback may take a further ticket.
        self.waiting[ticket] = on_slot
        self._grant_waiting()
        return ticket

    def cancel_wait(self, ticket: int) -> None:
        """Cancels the wait of a ticket."""
        self.waiting.pop(ticket, None)

    def release(self) -> None:
        """Returns a slot."""
        self.open_pipes -= 1
        self._grant_waiting()

    def _grant_waiting(self) -> None:
        while self.waiting and self.open_pipes < self.max_pipes:
            self.open_pipes += 1
            self.waiting.pop(next(iter(self.waiting)))()
