"""Callback interfaces of the mesh's readers, for type checkers only: no program imports this."""

from __future__ import annotations

from typing import Protocol

from honeywharf.codecs.heads import RequestHead, ResponseHead


class RequestSink(Protocol):
    """Receives the requests that a reader parses."""

    def head(self, head: RequestHead) -> None:
        """Called when a head is complete."""

    def data(self, data: bytes) -> None:
        """Called with each part of the body."""

    def whole(self) -> None:
        """Called when the request is complete."""


class ResponseSink(Protocol):
    """Receives the responses that a reader parses."""

    def answer(self, answer: ResponseHead) -> None:
        """Called when the head of a final response is complete; interim responses are skipped."""

    def data(self, data: bytes) -> None:
        """Called with each part of the body."""

    def whole(self) -> None:
        """Called when the response is complete."""
