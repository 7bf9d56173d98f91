"""One body between the connection that reads it and the one that writes it.

Theory of operation. The source pushes what it has read; the sink, once there is one, takes it at once and
says when it has more than it may hold, upon which the source stops reading. While there is no sink the pipe
itself holds what comes, up to `KEEP` bytes. A request's pipe can be written once more to another sink as
long as all of it is still in hand: that is, until more than `KEEP` bytes have come and begun to leave
(`spent`).

A pipe ends once: whole (`finish`), broken by its source (`fail`), or given up by its sink's side
(`cancel`).
"""

from __future__ import annotations

from collections.abc import Callable

from mypy_extensions import mypyc_attr

from honeywharf.flow.account import Account

KEEP = 64 * 1024  # bytes of a body that are held whole: so much may be sent again


@mypyc_attr(allow_interpreted_subclasses=True)
class Source:
    """Who reads a body."""

    def hold(self, held: bool) -> None:
        """Stop reading, or go on."""
        raise NotImplementedError

    def unwanted(self) -> None:
        """Nobody takes the rest."""
        raise NotImplementedError


@mypyc_attr(allow_interpreted_subclasses=True)
class Sink:
    """Who writes a body."""

    def take(self, data: bytes) -> None:
        """Some more of it; `Pipe.full` is told while too much waits."""
        raise NotImplementedError

    def whole(self) -> None:
        """That was all."""
        raise NotImplementedError

    def broken(self) -> None:
        """The rest will not come."""
        raise NotImplementedError


class Pipe:
    """A body of `length` bytes, or of as many as come where that is None."""

    __slots__ = (
        "account",
        "cancelled",
        "ended",
        "failed",
        "held",
        "length",
        "on_whole",
        "place",
        "queue",
        "sink",
        "source",
        "spent",
        "total",
    )

    def __init__(self, account: Account, length: int | None, *, place: bool) -> None:
        self.account, self.length = account, length
        self.place = place  # in the account
        self.queue = 0  # number in the account's queue, where it waits for a place
        self.source: Source | None = None
        self.sink: Sink | None = None
        self.held: list[bytes] = []
        self.total = 0  # bytes that have come
        self.spent = self.ended = self.failed = self.cancelled = False
        self.on_whole: Callable[[], None] | None = None

    @property
    def over(self) -> bool:
        """Whether nothing more comes, or is wanted."""
        return self.ended or self.failed or self.cancelled

    # The source's side.

    def push(self, data: bytes) -> None:
        """So much more has come."""
        if self.over:
            return
        self.total += len(data)
        self.account.bytes += len(data)
        if not self.spent:
            self.held.append(data)
            if self.total > KEEP and self.sink is not None:
                self.spent, self.held = True, []
        if self.sink is not None:
            self.sink.take(data)
        elif self.total >= KEEP and self.source is not None:
            self.source.hold(True)

    def finish(self) -> None:
        """All has come."""
        if self.over:
            return
        self.ended = True
        if self.on_whole is not None:
            self.on_whole()
        if self.sink is not None:
            self.sink.whole()
        self._leave()

    def fail(self) -> None:
        """The rest will not come."""
        if self.over:
            return
        self.failed = True
        if self.sink is not None:
            self.sink.broken()
        self._leave()

    # The sink's side.

    def attach(self, sink: Sink) -> None:
        """Give all that is held, and what comes from now on, to a sink."""
        if self.spent or self.cancelled:
            raise ValueError("found a body of which part has gone, wanted one that is whole in hand")
        self.sink = sink
        for data in list(self.held):
            sink.take(data)
        if self.total > KEEP:
            self.spent, self.held = True, []
        if self.ended:
            sink.whole()
        elif self.failed:
            sink.broken()
        elif self.source is not None:
            self.source.hold(False)

    def detach(self, sink: Sink) -> None:
        """The sink is of no more use; another one may come where nothing is spent."""
        if self.sink is not sink:
            return
        self.sink = None
        if self.total >= KEEP and not self.over and self.source is not None:
            self.source.hold(True)

    def full(self, is_full: bool) -> None:
        """The sink has more than it may hold, or room again."""
        if self.source is not None and not self.over:
            self.source.hold(is_full)

    def cancel(self) -> None:
        """Nobody takes the rest."""
        if self.over:
            self.cancelled, self.held = True, []
            return
        self.cancelled = True
        self.sink, self.held = None, []
        if self.source is not None:
            self.source.unwanted()
        self._leave()

    def _leave(self) -> None:
        if self.queue:
            self.account.forget(self.queue)
            self.queue = 0
        if self.place:
            self.place = False
            self.account.leave()
