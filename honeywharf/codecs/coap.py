"""Decodes and encodes CoAP datagrams (RFC 7252, section 3), without sockets or state.

Codes and options are plain numbers under the RFCs' names. The decoder is strict: a message that violates the
format is rejected with a reason. A message with more than `MAX_OPTIONS` options is rejected as well, as each
option costs the receiver work.
"""

from __future__ import annotations

CON, NON, ACK, RST = 0, 1, 2, 3  # message types (RFC 7252, section 3)
EMPTY, GET, POST = 0x00, 0x01, 0x02  # codes: class in the upper 3 bits, detail in the lower 5
CREATED, CHANGED, CONTENT, CONTINUE = 0x41, 0x44, 0x45, 0x5F
BAD_REQUEST, UNAUTHORIZED, BAD_OPTION, NOT_FOUND, METHOD_NOT_ALLOWED = 0x80, 0x81, 0x82, 0x84, 0x85
REQUEST_ENTITY_INCOMPLETE, CONFLICT, REQUEST_ENTITY_TOO_LARGE, UNPROCESSABLE_ENTITY = 0x88, 0x89, 0x8D, 0x96
BAD_GATEWAY, SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT = 0xA2, 0xA3, 0xA4
URI_HOST, URI_PORT, URI_PATH, CONTENT_FORMAT, MAX_AGE, URI_QUERY = 3, 7, 11, 12, 14, 15
BLOCK2, BLOCK1, SIZE2, SIZE1, ECHO, REQUEST_TAG = 23, 27, 28, 60, 252, 292

MAX_DATAGRAM_BYTES = 2048  # bytes: a block of 1024 and room for the options
MAX_OPTIONS = 48
MAX_TOKEN = 8
PAYLOAD_MARKER = 0xFF
VERSION = 1


class MalformedError(Exception):
    """A malformed datagram. `mid` and `mtype` are -1 where unreadable; a CON is answered with an RST."""

    def __init__(self, reason: str, mtype: int = -1, mid: int = -1) -> None:
        super().__init__(reason)
        self.mtype, self.mid = mtype, mid


class Message:
    """One message; `options` holds numbers and values in the order of the datagram."""

    __slots__ = ("code", "mid", "mtype", "options", "payload", "size", "token")

    def __init__(
        self,
        mtype: int,
        code: int,
        mid: int,
        token: bytes = b"",
        options: list[tuple[int, bytes]] | None = None,
        payload: bytes = b"",
    ) -> None:
        self.mtype, self.code, self.mid, self.token = mtype, code, mid, token
        self.options = options if options is not None else []
        self.payload = payload
        self.size = 0  # bytes of the datagram it was decoded from

    def option(self, number: int) -> bytes | None:
        """Returns the first value of an option, or None if it is absent."""
        for found, value in self.options:
            if found == number:
                return value
        return None

    def is_request(self) -> bool:
        """Returns whether the code is a method (0.01 to 0.31)."""
        return 0 < self.code < 0x20


def uint(value: bytes) -> int:
    """Decodes an option value of format uint (RFC 7252, 3.2)."""
    return int.from_bytes(value, "big")


def uint_bytes(number: int) -> bytes:
    """Encodes a uint in its shortest form, which is empty for 0 (RFC 7252, 3.2)."""
    return number.to_bytes((number.bit_length() + 7) // 8, "big")


def is_critical(number: int) -> bool:
    """Returns whether a receiver that does not know the option must reject the message (RFC 7252, 5.4.1)."""
    return bool(number & 1)


def decode(data: bytes) -> Message:
    """Decodes a datagram; MalformedError names the rule of RFC 7252, section 3, that it violates."""
    if len(data) < 4:
        raise MalformedError(f"datagram: expected at least 4 bytes, got {len(data)}")
    first, code, mid = data[0], data[1], data[2] << 8 | data[3]
    mtype, size = first >> 4 & 3, first & 15
    if first >> 6 != VERSION:
        # RFC 7252, 3: a message of another version is silently ignored.
        raise MalformedError(f"version: expected {VERSION}, got {first >> 6}")
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedError(
            f"datagram: expected at most {MAX_DATAGRAM_BYTES} bytes, got {len(data)}", mtype, mid
        )
    if size > MAX_TOKEN:
        raise MalformedError(f"token: expected at most {MAX_TOKEN} bytes, got {size}", mtype, mid)
    at = 4 + size
    if code == EMPTY and len(data) > 4:
        raise MalformedError("empty message: expected 4 bytes, got more", mtype, mid)
    if at > len(data):
        raise MalformedError("token: expected all its bytes, got the end of the datagram", mtype, mid)
    message, number = Message(mtype, code, mid, data[4:at]), 0
    message.size = len(data)
    while at < len(data):
        head = data[at]
        at += 1
        if head == PAYLOAD_MARKER:
            if at == len(data):
                raise MalformedError(
                    "payload: expected at least 1 byte after the marker, got none", mtype, mid
                )
            message.payload = data[at:]
            break
        delta, at = _decode_nibble(head >> 4, data, at, mtype, mid)
        length, at = _decode_nibble(head & 15, data, at, mtype, mid)
        number += delta
        if number > 0xFFFF or at + length > len(data):
            raise MalformedError("option: expected its end within the datagram, got one beyond", mtype, mid)
        if len(message.options) == MAX_OPTIONS:
            raise MalformedError(f"options: expected at most {MAX_OPTIONS}, got more", mtype, mid)
        message.options.append((number, data[at : at + length]))
        at += length
    return message


def _decode_nibble(nibble: int, data: bytes, at: int, mtype: int, mid: int) -> tuple[int, int]:
    """Returns an option's delta or length (RFC 7252, 3.1) and the offset of the byte after it."""
    if nibble < 13:
        return nibble, at
    more = nibble - 12  # 13 is extended by one byte, 14 by two
    if nibble == 15 or at + more > len(data):
        raise MalformedError(
            "option: expected a valid delta and length, got a reserved or truncated one", mtype, mid
        )
    return int.from_bytes(data[at : at + more], "big") + (13 if nibble == 13 else 269), at + more


def encode(message: Message) -> bytes:
    """Encodes a message as a datagram; `options` may be in any order."""
    if len(message.token) > MAX_TOKEN:
        raise ValueError(f"token: expected at most {MAX_TOKEN} bytes, got {len(message.token)}")
    parts = [
        bytes(
            (
                VERSION << 6 | message.mtype << 4 | len(message.token),
                message.code,
                message.mid >> 8,
                message.mid & 255,
            )
        ),
        message.token,
    ]
    last = 0
    for number, value in sorted(message.options, key=_option_number):
        delta, delta_more = _encode_nibble(number - last)
        length, length_more = _encode_nibble(len(value))
        parts += (bytes((delta << 4 | length,)), delta_more, length_more, value)
        last = number
    if message.payload:
        parts += (b"\xff", message.payload)
    return b"".join(parts)


def _option_number(option: tuple[int, bytes]) -> int:
    return option[0]


def _encode_nibble(number: int) -> tuple[int, bytes]:
    if number < 13:
        return number, b""
    if number < 269:
        return 13, bytes((number - 13,))
    return 14, (number - 269).to_bytes(2, "big")
