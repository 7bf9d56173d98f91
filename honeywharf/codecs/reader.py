"""What every reader of HTTP/1.1 shares: caps on head, line and body, whatever the framing says."""

from __future__ import annotations

import httptools

MAX_HEAD = 16 * 1024
SLICE = 4 * 1024  # bytes of a head given to a parser at once: what it may hold unseen beside the bound


class MalformedError(Exception):
    """A message that is not what the protocol allows; `status` is the answer to it."""

    def __init__(self, status: int, words: str) -> None:
        super().__init__(words)
        self.status = status


def too_long(value: bytes, most: int) -> bool:
    """Whether a Content-Length is more than may come; one that is no number is the parser's to refuse."""
    value = value.strip()
    return value.isdigit() and (len(value) > 18 or int(value) > most)


LAST_CHUNK = b"0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def chunk(data: bytes) -> bytes:
    """One chunk of a body of unknown length (RFC 9112, 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Reader:
    """What both directions share: the caps on head and body, whatever the framing says."""

    __deletable__ = ("parser",)  # of a compiled class: `close` lets go of it

    def __init__(self, max_body: int, max_head: int = MAX_HEAD) -> None:
        self.max_body, self.max_head = max_body, max_head
        self.in_head = self.in_body = False
        self.head_bytes = 0
        self.body_bytes = 0
        self.unsaid = 0  # bytes since the parser last told of anything
        self.parts: list[bytes] = []
        self.parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    @property
    def idle(self) -> bool:
        """Whether nothing of a message has come that has not ended."""
        return not self.in_head and not self.in_body

    def on_message_begin(self) -> None:
        """A message begins."""
        self.in_head, self.head_bytes, self.body_bytes, self.parts = True, 0, 0, []
        self.unsaid = -1

    def _count(self, size: int) -> None:
        self.unsaid = -1
        self.head_bytes += size
        if self.head_bytes > self.max_head:
            raise MalformedError(431, "the head is too long")

    def on_body(self, data: bytes) -> None:
        """A part of the body. MalformedError where it grows too long."""
        self.unsaid = -1
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body:
            raise MalformedError(413, "the body is too long")
        self.parts.append(data)

    def close(self) -> None:
        """Let go of the parser. Guards against memory that waits for the collector: they hold each other."""
        self.in_head = self.in_body = False
        self.parts = []
        del self.parser

    def body(self) -> bytes:
        """What has come of the body."""
        return self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)

    def _feed(self, data: bytes) -> None:
        """Parse what has come. MalformedError where it breaks the protocol or a bound."""
        start, size = 0, len(data)
        while size - start > SLICE:
            end = start + (4 * SLICE if self.in_body else SLICE)
            self._parse(data[start:end])
            start = end
        if start < size:
            self._parse(data[start:] if start else data)

    def _parse(self, data: bytes) -> None:
        while True:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as pause:
                data = self._offered() + data[pause.args[0] :]
                continue
            except httptools.HttpParserError as fault:
                cause: BaseException | None = fault
                while cause is not None and not isinstance(cause, MalformedError):
                    cause = cause.__cause__ or cause.__context__
                if cause is None and isinstance(fault, httptools.HttpParserCallbackError):
                    raise  # not the sender's fault: what was called from here has failed
                raise cause or MalformedError(400, str(fault)) from None
            break
        # Guards against a line of a head, a trailer or a chunk that never ends: the parser keeps it unseen.
        self.unsaid += len(data) if self.unsaid >= 0 else 1
        if self.unsaid > self.max_head - SLICE and not self.idle:
            raise MalformedError(431, "a line is too long")

    def _offered(self) -> bytes:
        """What is put before the bytes behind a message that asked for another protocol."""
        raise MalformedError(400, "no other protocol was asked for")
