"""Delivers the signals of the process through a pipe, so that an event loop handles them in order."""

from __future__ import annotations

import os
import signal

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PENDING = 64  # At most this many signals are read at once.


class SignalPipe:
    """Maps signals to calls. `reader` is a descriptor that is readable when a signal has arrived."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        for end in (self.reader, self.writer):
            os.set_blocking(end, False)
        self.calls: dict[int, Callable[[], None]] = {}
        signal.set_wakeup_fd(self.writer, warn_on_full_buffer=False)

    def on(self, number: int, call: Callable[[], None]) -> None:
        """Sets the call that `handle` makes after this signal."""
        self.calls[number] = call
        signal.signal(number, lambda *_: None)  # `handle` makes the call.

    def handle(self) -> None:
        """Makes the calls for the signals that have arrived."""
        try:
            numbers = os.read(self.reader, MAX_PENDING)
        except BlockingIOError:
            return
        for number in numbers:
            if number in self.calls:
                self.calls[number]()

    def close(self) -> None:
        """Closes the descriptors."""
        signal.set_wakeup_fd(-1)
        os.close(self.reader)
        os.close(self.writer)
