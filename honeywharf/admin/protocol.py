"""The protocol of a proxy's admin socket: frames of MessagePack, version 1. Without I/O.

    frame     4 bytes of length, big-endian, then one value of that length
    request   {"v": 1, "do": NAME, "who": TEXT, "yes": BOOL, "of": {NAME: TEXT}}
    response  {"v": 1, "fault": TEXT or "", "data": VALUE}

A connection carries one request and one response. The response to a frame that is too long, invalid or of
another version says what was found and what is expected.
"""

from __future__ import annotations

from typing import Any

import msgspec

VERSION = 1
MAX_REQUEST_BYTES = 4 * 1024
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
LENGTH_BYTES = 4


class ProtocolError(ValueError):
    """The data is not a valid frame; the message says what was found and what is expected."""


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request for the command `do` with the arguments `of`.

    `who` is the operator's name, for the log; `yes` confirms a command that changes something.
    """

    do: str
    who: str = ""
    yes: bool = False
    of: dict[str, str] = {}
    v: int = VERSION


class Response(msgspec.Struct, frozen=True):
    """The result of a command; `fault` is empty if it succeeded."""

    fault: str = ""
    data: Any = None
    v: int = VERSION


def encode_frame(value: Request | Response) -> bytes:
    """Encodes a frame; a response over the limit is replaced by one with a fault."""
    data = msgspec.msgpack.encode(value)
    if len(data) > MAX_RESPONSE_BYTES:
        message = f"found an answer of {len(data)} bytes, wanted {MAX_RESPONSE_BYTES} at most"
        data = msgspec.msgpack.encode(Response(message))
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode_length(prefix: bytes, maximum: int) -> int:
    """Returns the length of a frame's value. Raises ProtocolError if it is over the limit."""
    size = int.from_bytes(prefix, "big")
    if not 0 < size <= maximum:
        raise ProtocolError(f"found a frame of {size} bytes, wanted 1 to {maximum}")
    return size


def decode_request(data: bytes) -> Request:
    """Decodes a request. Raises ProtocolError."""
    try:
        raw = msgspec.msgpack.decode(data)
        version = raw.get("v") if isinstance(raw, dict) else None
        if version != VERSION:
            raise ProtocolError(f"found version {version!r}, wanted {VERSION}")
        return msgspec.convert(raw, Request)
    except (msgspec.DecodeError, msgspec.ValidationError) as fault:
        raise ProtocolError(f"found no question: {fault}") from None


def decode_response(data: bytes) -> Response:
    """Decodes a response. Raises ProtocolError."""
    try:
        return msgspec.msgpack.decode(data, type=Response)
    except (msgspec.DecodeError, msgspec.ValidationError) as fault:
        raise ProtocolError(f"found no answer: {fault}") from None
