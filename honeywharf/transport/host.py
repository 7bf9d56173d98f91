"""One machine as a program of the mesh sees it. `event_loop` is it on sockets, `simulation` in virtual time.

Theory of operation. A program is one object, made with a `Host`; the host calls it, one call at a time on
one thread, and nothing blocks but the disk. All times are seconds on the steady clock. Bytes given to
`send` belong to the host; what the peer does not take yet is buffered, and `unsent` tells how much: who
sends bounds it. After `closed` has been called nothing more is called on a connection, and `send` to a
closed one does nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

Address = tuple[str, int]  # IPv4 address in dots, port


class Timer(Protocol):
    """A call that is due."""

    def cancel(self) -> None:
        """Do not call; harmless when it has been called."""


class Handler(Protocol):
    """What is called for one connection."""

    def opened(self) -> None:
        """It is up (only on connections that this side asked for)."""

    def received(self, data: bytes) -> None:
        """Bytes came; never empty."""

    def ended(self) -> None:
        """The far side sends nothing more (half close). The connection is still open for sending."""

    def drained(self) -> None:
        """All that was held unsent has gone, after some was held."""

    def closed(self, why: str) -> None:
        """It is gone: "" (closed here), "refused", "reset", "timeout", "lost". Called once, last."""


class Connection(Protocol):
    """One TCP connection."""

    unsent: int  # bytes held
    peer: Address

    def send(self, data: bytes) -> None:
        """Send, later if need be."""

    def close(self) -> None:
        """Send what is held, then close. `closed("")` follows."""

    def abort(self) -> None:
        """Close at once and drop what is held. `closed("")` follows, not from within this call."""

    def pause(self) -> None:
        """Read nothing more."""

    def resume(self) -> None:
        """Read again."""

    def watch_end(self, call: Callable[[], None]) -> None:
        """Call once if the far side ends its bytes while reading is paused, though they are not read yet."""


class Host(Protocol):
    """One machine, as one process sees it."""

    def now(self) -> float:
        """Seconds on the steady clock."""

    def wall(self) -> float:
        """Seconds of the time of day; differs a little from machine to machine."""

    def after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Call once, so much later."""

    def connect(
        self,
        to: Address,
        handler: Callable[[Connection], Handler],
        within: float = 1.0,
    ) -> Connection:
        """Ask for a connection; `closed("timeout")` when it is not up in time."""

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Take connections. OSError where the address is taken."""

    def unlisten(self, at: Address) -> None:
        """Take no further ones."""

    def datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        """Take datagrams at an address; those sent from here carry it."""

    def send_datagram(self, to: Address, data: bytes) -> None:
        """Send at most 1,400 bytes; they may be lost."""

    # The disk. Paths are names within the data directory. Each call may block; OSError where the disk fails.

    def read(self, name: str) -> bytes | None:
        """A file's bytes; None where there is none."""

    def write(self, name: str, data: bytes) -> None:
        """Write a new file whole, or write over an old one, and sync it.

        The name of a new file is safe once the folder has been synced: by `sync_names`, or a rename.
        """

    def sync_names(self) -> None:
        """Sync the folder: names that were made, changed or removed are safe from then on."""

    def rename(self, name: str, to: str) -> None:
        """Give a file another name, over what was there, and sync the folder."""

    def remove(self, name: str) -> None:
        """Remove a file if it is there. Not synced."""

    def names(self) -> list[str]:
        """All files."""

    def random(self, size: int) -> bytes:
        """Random bytes."""

    def log(self, line: str) -> None:
        """One line for the operator: a change of state, or counters."""

    def exit(self, status: int) -> None:
        """End the process after this call."""
