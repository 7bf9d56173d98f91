"""The base of all HTTP/1.1 readers: limits on head, line and body, whatever the framing says."""

from __future__ import annotations

import httptools

MAX_HEAD_BYTES = 16 * 1024
PARSE_SLICE_BYTES = 4 * 1024  # bytes given to the parser at once: it may hold as many beyond the limit


class MalformedError(Exception):
    """A message that violates the protocol or a limit; `status` is the status code of the response to it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def too_long(value: bytes, limit: int) -> bool:
    """Returns whether a Content-Length exceeds the limit; the parser rejects a value that is no number."""
    value = value.strip()
    return value.isdigit() and (len(value) > 18 or int(value) > limit)


LAST_CHUNK = b"0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def chunk(data: bytes) -> bytes:
    """Encodes one chunk of a body of unknown length (RFC 9112, 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Reader:
    """Parses either direction of HTTP/1.1 within limits on head and body, whatever the framing says."""

    __deletable__ = ("parser",)  # a compiled class allows `del` only of these attributes

    def __init__(self, max_body: int, max_head: int = MAX_HEAD_BYTES) -> None:
        self.max_body, self.max_head = max_body, max_head
        self.in_head = self.in_body = False
        self.head_bytes = 0
        self.body_bytes = 0
        self.unreported_bytes = 0  # bytes since the parser last called back
        self.parts: list[bytes] = []
        self.parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    @property
    def idle(self) -> bool:
        """Whether no message is partly read."""
        return not self.in_head and not self.in_body

    def on_message_begin(self) -> None:
        """Called by the parser when a message begins."""
        self.in_head, self.head_bytes, self.body_bytes, self.parts = True, 0, 0, []
        self.unreported_bytes = -1

    def _count(self, size: int) -> None:
        self.unreported_bytes = -1
        self.head_bytes += size
        if self.head_bytes > self.max_head:
            raise MalformedError(431, "the head is too long")

    def on_body(self, data: bytes) -> None:
        """Called by the parser with a part of the body; MalformedError if the body is too long."""
        self.unreported_bytes = -1
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body:
            raise MalformedError(413, "the body is too long")
        self.parts.append(data)

    def close(self) -> None:
        """Releases the parser: the two refer to each other, and would wait for the garbage collector."""
        self.in_head = self.in_body = False
        self.parts = []
        del self.parser

    def body(self) -> bytes:
        """Returns the part of the body that has been read."""
        return self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)

    def _feed(self, data: bytes) -> None:
        """Parses received bytes; MalformedError if they violate the protocol or a limit."""
        start, size = 0, len(data)
        while size - start > PARSE_SLICE_BYTES:
            end = start + (4 * PARSE_SLICE_BYTES if self.in_body else PARSE_SLICE_BYTES)
            self._parse(data[start:end])
            start = end
        if start < size:
            self._parse(data[start:] if start else data)

    def _parse(self, data: bytes) -> None:
        while True:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as pause:
                data = self._head_after_upgrade() + data[pause.args[0] :]
                continue
            except httptools.HttpParserError as error:
                cause: BaseException | None = error
                while cause is not None and not isinstance(cause, MalformedError):
                    cause = cause.__cause__ or cause.__context__
                if cause is None and isinstance(error, httptools.HttpParserCallbackError):
                    raise  # an error in a callback, not in the message
                raise cause or MalformedError(400, str(error)) from None
            break
        # Guards against an endless line of a head, trailer or chunk: the parser buffers it and calls nothing.
        self.unreported_bytes += len(data) if self.unreported_bytes >= 0 else 1
        if self.unreported_bytes > self.max_head - PARSE_SLICE_BYTES and not self.idle:
            raise MalformedError(431, "a line is too long")

    def _head_after_upgrade(self) -> bytes:
        """Returns the bytes to parse ahead of those after a message that offers a protocol upgrade."""
        raise MalformedError(400, "no other protocol was asked for")
