"""Signals of the process as bytes of a pipe, so that an event loop handles each in its turn."""

from __future__ import annotations

import os
import signal

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PENDING = 64  # signals read at once


class SignalPipe:
    """Which call is made for which signal. `reader`: a descriptor that is readable when a signal has come."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        for end in (self.reader, self.writer):
            os.set_blocking(end, False)
        self.calls: dict[int, Callable[[], None]] = {}
        signal.set_wakeup_fd(self.writer, warn_on_full_buffer=False)

    def on(self, number: int, call: Callable[[], None]) -> None:
        """Have `handle` make this call after the process was sent the signal."""
        self.calls[number] = call
        signal.signal(number, lambda *_: None)  # what is to be done is done in its turn

    def handle(self) -> None:
        """Make the calls of the signals that have come."""
        try:
            numbers = os.read(self.reader, MAX_PENDING)
        except BlockingIOError:
            return
        for number in numbers:
            if number in self.calls:
                self.calls[number]()

    def close(self) -> None:
        """Give the descriptors back."""
        signal.set_wakeup_fd(-1)
        os.close(self.reader)
        os.close(self.writer)
