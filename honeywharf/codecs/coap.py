"""CoAP datagrams to messages and back (RFC 7252, section 3), strict and bounded. No sockets, no state.

Codes and options are plain numbers under the RFCs' names. A message that breaks a rule of the format is
refused with its reason; so is one with more options than any of ours, as each costs the receiver work.
"""

from __future__ import annotations

CON, NON, ACK, RST = 0, 1, 2, 3  # types (RFC 7252, 3)
EMPTY, GET, POST = 0x00, 0x01, 0x02  # codes: class in the upper 3 bits, detail in the lower 5
CREATED, CHANGED, CONTENT, CONTINUE = 0x41, 0x44, 0x45, 0x5F
BAD_REQUEST, UNAUTHORIZED, BAD_OPTION, NOT_FOUND, METHOD_NOT_ALLOWED = 0x80, 0x81, 0x82, 0x84, 0x85
REQUEST_ENTITY_INCOMPLETE, CONFLICT, REQUEST_ENTITY_TOO_LARGE, UNPROCESSABLE_ENTITY = 0x88, 0x89, 0x8D, 0x96
BAD_GATEWAY, SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT = 0xA2, 0xA3, 0xA4
URI_HOST, URI_PORT, URI_PATH, CONTENT_FORMAT, MAX_AGE, URI_QUERY = 3, 7, 11, 12, 14, 15
BLOCK2, BLOCK1, SIZE2, SIZE1, ECHO, REQUEST_TAG = 23, 27, 28, 60, 252, 292

MAX_DATAGRAM = 2048  # a block of 1024 bytes, and room for options
MAX_OPTIONS = 48
MAX_TOKEN = 8
PAYLOAD_MARKER = 0xFF
VERSION = 1


class MalformedError(Exception):
    """A datagram that is no message. `mid` and `mtype` where they could be read: a CON is answered by RST."""

    def __init__(self, words: str, mtype: int = -1, mid: int = -1) -> None:
        super().__init__(words)
        self.mtype, self.mid = mtype, mid


class Message:
    """One message: `options` are numbers and values in the order of the datagram."""

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
        self.size = 0  # bytes of the datagram that it came in

    def option(self, number: int) -> bytes | None:
        """The first value of an option; None where it is absent."""
        for found, value in self.options:
            if found == number:
                return value
        return None

    def is_request(self) -> bool:
        """Whether the code is a method (0.01 to 0.31)."""
        return 0 < self.code < 0x20


def uint(value: bytes) -> int:
    """An option of format uint (3.2)."""
    return int.from_bytes(value, "big")


def uint_bytes(number: int) -> bytes:
    """The shortest form of a uint: none at all for 0."""
    return number.to_bytes((number.bit_length() + 7) // 8, "big")


def is_critical(number: int) -> bool:
    """Whether a receiver that doesn't know the option has to refuse the message (5.4.1)."""
    return bool(number & 1)


def decode(data: bytes) -> Message:
    """A datagram as a message; MalformedError says which rule of RFC 7252, section 3, it breaks."""
    if len(data) < 4:
        raise MalformedError(f"found {len(data)} bytes, wanted 4 at least")
    first, code, mid = data[0], data[1], data[2] << 8 | data[3]
    mtype, size = first >> 4 & 3, first & 15
    if first >> 6 != VERSION:
        raise MalformedError(f"found version {first >> 6}, wanted {VERSION}")  # 3: ignored in silence
    if len(data) > MAX_DATAGRAM:
        raise MalformedError(f"found {len(data)} bytes, wanted {MAX_DATAGRAM} at most", mtype, mid)
    if size > MAX_TOKEN:
        raise MalformedError(f"found a token of {size} bytes, wanted {MAX_TOKEN} at most", mtype, mid)
    at = 4 + size
    if code == EMPTY and len(data) > 4:
        raise MalformedError("found bytes behind an empty message", mtype, mid)
    if at > len(data):
        raise MalformedError("found the end within the token", mtype, mid)
    message, number = Message(mtype, code, mid, data[4:at]), 0
    message.size = len(data)
    while at < len(data):
        head = data[at]
        at += 1
        if head == PAYLOAD_MARKER:
            if at == len(data):
                raise MalformedError("found a payload marker and no payload", mtype, mid)
            message.payload = data[at:]
            break
        delta, at = _extended(head >> 4, data, at, mtype, mid)
        length, at = _extended(head & 15, data, at, mtype, mid)
        number += delta
        if number > 0xFFFF or at + length > len(data):
            raise MalformedError("found an option that goes beyond the message", mtype, mid)
        if len(message.options) == MAX_OPTIONS:
            raise MalformedError(f"found more than {MAX_OPTIONS} options", mtype, mid)
        message.options.append((number, data[at : at + length]))
        at += length
    return message


def _extended(nibble: int, data: bytes, at: int, mtype: int, mid: int) -> tuple[int, int]:
    """An option's delta or length (3.1), and where what follows begins."""
    if nibble < 13:
        return nibble, at
    more = nibble - 12  # one byte or two
    if nibble == 15 or at + more > len(data):
        raise MalformedError("found an option's head that is none", mtype, mid)
    return int.from_bytes(data[at : at + more], "big") + (13 if nibble == 13 else 269), at + more


def encode(message: Message) -> bytes:
    """The datagram of a message; its options in any order."""
    if len(message.token) > MAX_TOKEN:
        raise ValueError(f"a token of {MAX_TOKEN} bytes at most is wanted, not of {len(message.token)}")
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
    for number, value in sorted(message.options, key=_number):
        delta, delta_more = _nibble(number - last)
        length, length_more = _nibble(len(value))
        parts += (bytes((delta << 4 | length,)), delta_more, length_more, value)
        last = number
    if message.payload:
        parts += (b"\xff", message.payload)
    return b"".join(parts)


def _number(option: tuple[int, bytes]) -> int:
    return option[0]


def _nibble(figure: int) -> tuple[int, bytes]:
    if figure < 13:
        return figure, b""
    if figure < 269:
        return 13, bytes((figure - 13,))
    return 14, (figure - 269).to_bytes(2, "big")
