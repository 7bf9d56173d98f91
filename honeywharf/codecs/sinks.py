"""What the mesh's readers tell of messages, for type checkers alone: no program loads this."""

from __future__ import annotations

from typing import Protocol

from honeywharf.codecs.heads import Answer, Head


class Sink(Protocol):
    """What is told of requests as they come."""

    def head(self, head: Head) -> None:
        """A head is whole."""

    def data(self, data: bytes) -> None:
        """A part of its body."""

    def whole(self) -> None:
        """The message is whole."""


class AnswerSink(Protocol):
    """What is told of answers as they come."""

    def answer(self, answer: Answer) -> None:
        """A head is whole; not of interim answers."""

    def data(self, data: bytes) -> None:
        """A part of its body."""

    def whole(self) -> None:
        """The answer is whole."""
