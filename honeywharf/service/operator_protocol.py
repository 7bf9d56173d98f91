"""The line protocol of the operators' listener: one request and one reply per connection. Without I/O.

    request  NAME [ID] LF        UTF-8, at most `MAX_LINE_BYTES` with its LF; CR before LF is ignored
    reply    OK [text] LF  or  ERR text LF

A request with further data behind its line is rejected.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_LINE_BYTES = 512
#: Each command, and whether it takes the id of a backend.
COMMANDS = {"readyz": False, "exclude": True, "include": True, "evacuate": False, "activate": False}


class OperatorRequestError(ValueError):
    """The line is not a valid request; the message says what was found and what is expected."""


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """One request; `endpoint_id` is empty if the command takes no backend."""

    command: str
    endpoint_id: str = ""


def is_complete(data: bytes) -> bool:
    """Whether the data contains a full line or has reached the length limit, so that it can be parsed."""
    return b"\n" in data or len(data) >= MAX_LINE_BYTES


def parse_request(data: bytes) -> OperatorRequest:
    """Parses the data of one connection. Raises OperatorRequestError."""
    line, end, rest = data.partition(b"\n")
    if not end or len(line) >= MAX_LINE_BYTES:
        raise OperatorRequestError(
            f"found {len(data)} bytes and no end of a line, wanted one within {MAX_LINE_BYTES}"
        )
    if rest.strip():
        raise OperatorRequestError(
            f"found {len(rest)} bytes behind the line, wanted one line to a connection"
        )
    try:
        words = line.decode("utf-8").split()
    except UnicodeDecodeError as fault:
        raise OperatorRequestError(
            f"found byte {line[fault.start]:#04x} at {fault.start}, wanted UTF-8"
        ) from None
    if any(not word.isprintable() for word in words):
        raise OperatorRequestError("found a character that can't be shown, wanted a name and an id")
    if not words or words[0] not in COMMANDS:
        raise OperatorRequestError(
            f"found {words[0][:64] if words else 'nothing'!r}, wanted one of {', '.join(COMMANDS)}"
        )
    expected_words = 2 if COMMANDS[words[0]] else 1
    if len(words) != expected_words:
        raise OperatorRequestError(
            f"found {len(words) - 1} words after {words[0]}, wanted {expected_words - 1}"
        )
    return OperatorRequest(*words)


def encode_reply(ok: bool, message: str = "") -> bytes:
    """Encodes the reply as one line; characters that can't be printed become spaces."""
    text = "".join(c if c.isprintable() else " " for c in message)
    return f"{'OK' if ok else 'ERR'}{' ' + text if text else ''}\n".encode()
