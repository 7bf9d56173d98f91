"""One body between the connection that reads it and the one that writes it.

Theory of operation. The source pushes what it has read. The sink, once there is one, writes it at once and
reports when it buffers too much, upon which the source stops reading. While there is no sink the pipe itself
buffers up to `REPLAY_BYTES`. A request's pipe can be replayed to another sink while all of it is still
buffered, which is until more than `REPLAY_BYTES` have arrived and some have been forwarded (`replay_lost`).

A pipe ends once: completed by its source (`finish`), aborted by its source (`fail`), or cancelled by the side
of its sink (`cancel`).
"""

from __future__ import annotations

from collections.abc import Callable

from mypy_extensions import mypyc_attr

from honeywharf.flow.buffer_budget import BufferBudget

REPLAY_BYTES = 64 * 1024  # A longer body is not kept for a retry.


@mypyc_attr(allow_interpreted_subclasses=True)
class Source:
    """The side that reads a body."""

    def set_paused(self, paused: bool) -> None:
        """Stops or resumes reading."""
        raise NotImplementedError

    def body_cancelled(self) -> None:
        """Called when the recipient needs no more of the body."""
        raise NotImplementedError


@mypyc_attr(allow_interpreted_subclasses=True)
class Sink:
    """The side that writes a body."""

    def take(self, data: bytes) -> None:
        """Writes a part of the body; calls `Pipe.set_full` while it buffers too much."""
        raise NotImplementedError

    def completed(self) -> None:
        """Called when the body is complete."""
        raise NotImplementedError

    def aborted(self) -> None:
        """Called when the rest of the body will not arrive."""
        raise NotImplementedError


class Pipe:
    """A body of `length` bytes, or of unknown length where that is None."""

    __slots__ = (
        "buffer_budget",
        "buffered",
        "cancelled",
        "ended",
        "failed",
        "has_slot",
        "is_full",
        "length",
        "on_complete",
        "received_bytes",
        "replay_lost",
        "sink",
        "slot_ticket",
        "source",
    )

    def __init__(self, buffer_budget: BufferBudget, length: int | None, *, has_slot: bool) -> None:
        self.buffer_budget, self.length = buffer_budget, length
        self.has_slot = has_slot  # Whether the pipe has a slot in the buffer budget.
        self.slot_ticket = 0  # The ticket of a pipe that waits for a slot, else 0.
        self.source: Source | None = None
        self.sink: Sink | None = None
        self.is_full = False  # Whether the sink buffers too much, as it has reported.
        self.buffered: list[bytes] = []
        self.received_bytes = 0
        self.replay_lost = self.ended = self.failed = self.cancelled = False
        self.on_complete: Callable[[], None] | None = None

    @property
    def is_finished(self) -> bool:
        """Whether the body is completed, aborted or cancelled."""
        return self.ended or self.failed or self.cancelled

    # The source's side.

    def push(self, data: bytes) -> None:
        """Forwards or buffers a part of the body."""
        if self.is_finished:
            return
        self.received_bytes += len(data)
        self.buffer_budget.transferred_bytes += len(data)
        if not self.replay_lost:
            self.buffered.append(data)
            if self.received_bytes > REPLAY_BYTES and self.sink is not None:
                self.replay_lost, self.buffered = True, []
        if self.sink is not None:
            self.sink.take(data)
        elif self.received_bytes >= REPLAY_BYTES and self.source is not None:
            self.source.set_paused(True)

    def finish(self) -> None:
        """Ends the pipe: the body is complete."""
        if self.is_finished:
            return
        self.ended = True
        if self.on_complete is not None:
            self.on_complete()
        if self.sink is not None:
            self.sink.completed()
        self._release_slot()

    def fail(self) -> None:
        """Ends the pipe: the rest of the body will not arrive."""
        if self.is_finished:
            return
        self.failed = True
        if self.sink is not None:
            self.sink.aborted()
        self._release_slot()

    # The sink's side.

    def attach(self, sink: Sink) -> None:
        """Gives a sink all that is buffered, and what arrives from now on."""
        if self.replay_lost or self.cancelled:
            raise ValueError(
                "body: expected one that is still buffered completely, got one partly forwarded or cancelled"
            )
        self.sink = sink
        for data in list(self.buffered):
            sink.take(data)
        if self.received_bytes > REPLAY_BYTES:
            self.replay_lost, self.buffered = True, []
        if self.ended:
            sink.completed()
        elif self.failed:
            sink.aborted()
        elif self.source is not None:
            self.source.set_paused(self.is_full)  # The sink may have reported it from within `take`.

    def detach(self, sink: Sink) -> None:
        """Removes a failed sink; another may be attached unless `replay_lost`."""
        if self.sink is not sink:
            return
        self.sink, self.is_full = None, False
        if self.received_bytes >= REPLAY_BYTES and not self.is_finished and self.source is not None:
            self.source.set_paused(True)

    def set_full(self, is_full: bool) -> None:
        """Pauses the source while the sink buffers too much, and resumes it afterwards."""
        self.is_full = is_full
        if self.source is not None and not self.is_finished:
            self.source.set_paused(is_full)

    def cancel(self) -> None:
        """Ends the pipe: the rest of the body is not wanted."""
        if self.is_finished:
            self.cancelled, self.buffered = True, []
            return
        self.cancelled = True
        self.sink, self.buffered = None, []
        if self.source is not None:
            self.source.body_cancelled()
        self._release_slot()

    def _release_slot(self) -> None:
        if self.slot_ticket:
            self.buffer_budget.cancel_wait(self.slot_ticket)
            self.slot_ticket = 0
        if self.has_slot:
            self.has_slot = False
            self.buffer_budget.release()
