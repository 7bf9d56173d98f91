"""The interface between a program and its machine.

`event_loop` implements it on sockets, the `simulation` package in virtual time.

Theory of operation. A program is one object, made with a `Host`; the host calls it, one call at a time on
one thread, and only disk operations block. All times are seconds on the steady clock. The host owns the bytes
given to `send`. It buffers the bytes that the peer does not yet accept, and `unsent` is their number: the
sender bounds it. After `closed` no handler method is called for a connection, and `send` on a closed
connection does nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

Address = tuple[str, int]  # IPv4 address and port.


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancels the call; does nothing if it has been made."""


class Handler(Protocol):
    """Receives the events of one connection."""

    def opened(self) -> None:
        """Called when the connection is established; only on the side that opened it."""

    def received(self, data: bytes) -> None:
        """Called with received bytes, never empty."""

    def ended(self) -> None:
        """Called when the peer sends nothing more (half-close). Sending is still possible."""

    def drained(self) -> None:
        """Called when all buffered bytes have been sent, after some were buffered."""

    def closed(self, reason: str) -> None:
        """Called once, last. Reasons: "" (closed here), "refused", "reset", "timeout", "lost"."""


class Connection(Protocol):
    """One TCP connection."""

    unsent: int  # Bytes buffered.
    peer: Address

    def send(self, data: bytes) -> None:
        """Sends bytes, or buffers those that the peer does not yet accept."""

    def close(self) -> None:
        """Sends the buffered bytes, then closes. `closed("")` follows."""

    def abort(self) -> None:
        """Closes at once and drops the buffered bytes. `closed("")` follows, not within this call."""

    def pause(self) -> None:
        """Stops reading."""

    def resume(self) -> None:
        """Starts reading again."""

    def watch_half_close(self, call: Callable[[], None]) -> None:
        """Calls `call` once if the peer half-closes while reading is paused, even with bytes unread."""

    def watch_delivery(self, call: Callable[[], None]) -> None:
        """Calls `call` once the peer's host has acknowledged all bytes sent so far, while the peer is open.

        A peer that has closed the connection acknowledges nothing. Nothing is called if the connection ends
        first.
        """

    def tolerate_unread(self) -> None:
        """Keeps the connection for as long as a peer on this machine does not read what was sent.

        Otherwise such a peer is taken for lost like an unreachable one. The caller bounds the wait.
        """


class Host(Protocol):
    """One machine, as seen by one process."""

    def now(self) -> float:
        """Returns seconds on the steady clock."""

    def wall_time(self) -> float:
        """Returns the time of day in seconds since the epoch, which differs between machines."""

    def after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Schedules one call after a delay."""

    def connect(
        self,
        to: Address,
        handler: Callable[[Connection], Handler],
        within: float = 1.0,
    ) -> Connection:
        """Opens a connection. `closed("timeout")` follows if it is not established within the time."""

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Accepts connections at an address. Raises OSError if the address is in use."""

    def stop_listening(self, at: Address) -> None:
        """Stops accepting connections at an address."""

    def listen_datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        """Receives datagrams at an address, which is also the source address of sent ones."""

    def send_datagram(self, to: Address, data: bytes) -> None:
        """Sends at most 1,400 bytes, which may be lost."""

    # The disk. Names are those of files in the data directory. Each call may block, and raises OSError if the
    # disk fails.

    def read(self, name: str) -> bytes | None:
        """Returns a file's bytes; None if it does not exist."""

    def write(self, name: str, data: bytes) -> None:
        """Writes a complete file, or overwrites an existing one, and syncs it.

        The name of a new file is durable once the directory has been synced, by `sync_names` or `rename`.
        """

    def sync_names(self) -> None:
        """Syncs the directory: earlier creations, renames and removals are durable afterwards."""

    def rename(self, name: str, to: str) -> None:
        """Renames a file, replacing an existing one, and syncs the directory."""

    def remove(self, name: str) -> None:
        """Removes a file if it exists. The directory is not synced."""

    def names(self) -> list[str]:
        """Returns the names of all files."""

    def random(self, size: int) -> bytes:
        """Returns random bytes."""

    def log(self, line: str) -> None:
        """Logs one line for the operator: a change of state, or counters."""

    def exit(self, status: int) -> None:
        """Ends the process after the current call."""
