"""Block-wise transfers of bodies and responses that exceed a datagram (RFC 7959), without sockets or clock.

A transfer is identified by its peer and by what its requests have in common: code, path, query, class, key,
tenant and Request-Tag (RFC 9175, 3), by which a unit distinguishes two bodies that it sends at the same time.
A body is assembled in order; its first block restarts it. A response is stored completely and served block by
block, with an ETag, so that blocks of two responses are never combined.

Bounds: `max_transfers` in each direction and `max_bytes` of both, the oldest being evicted first, and
TRANSFER_LIFETIME_MS. A request for an evicted transfer, also after a restart, is answered 4.08: the unit
restarts its transfer, and the idempotency key of its order yields the same response as before.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict

from honeywharf.coap import options
from honeywharf.codecs import coap
from honeywharf.core.messages import MAX_BUFFERED_BODY

Peer = tuple[str, int]
Key = tuple[Peer, bytes]

MAX_SZX = 6  # blocks of 2 ** (6 + 4) = 1024 bytes; 7 is reserved (RFC 7959, 2.2)
TRANSFER_LIFETIME_MS = 247_000.0  # EXCHANGE_LIFETIME; RFC 7959, 2.4, leaves the time to the server
ETAG = 4
#: The options that differ between the requests of one transfer.
VARYING_OPTIONS = frozenset(
    (
        coap.BLOCK1,
        coap.BLOCK2,
        coap.SIZE1,
        coap.SIZE2,
        coap.ECHO,
        options.TIME_LEFT,
        options.ID,
        options.REPEAT,
        options.WEIGHT,
    )
)


class Block:
    """A Block1 or Block2 option: number, whether more follow, and size exponent (RFC 7959, 2.2)."""

    __slots__ = ("more", "number", "szx")

    def __init__(self, number: int, more: bool, szx: int) -> None:
        self.number, self.more, self.szx = number, more, szx

    @property
    def size(self) -> int:
        """The size of a block in bytes."""
        return 1 << (self.szx + 4)

    def value(self) -> bytes:
        """Returns the value of the option."""
        return coap.uint_bytes(self.number << 4 | self.more << 3 | self.szx)


def decode_block(message: coap.Message, number: int) -> Block | None:
    """Decodes Block1 or Block2 of a message; None if it is absent, OptionError if it is invalid."""
    value = message.option(number)
    if value is None:
        return None
    encoded = coap.uint(value)
    if len(value) > 3 or encoded & 7 > MAX_SZX:
        raise options.OptionError(coap.BAD_REQUEST, "found a block of a size that there is not")
    return Block(encoded >> 4, bool(encoded & 8), encoded & 7)


def transfer_key(message: coap.Message, peer: Peer) -> Key:
    """Returns the identity of the transfer that a request belongs to."""
    hashed = hashlib.blake2b(bytes((message.code,)), digest_size=16)
    for number, value in message.options:
        if number not in VARYING_OPTIONS:
            hashed.update(b"%d:%d:%b" % (number, len(value), value))
    return peer, hashed.digest()


class Transfers:
    """The transfers on one socket."""

    def __init__(self, max_transfers: int = 256, max_bytes: int = 16 * 1024 * 1024) -> None:
        self.max_transfers, self.max_bytes = max_transfers, max_bytes
        # Start time and content of each transfer, the oldest first.
        self.bodies: OrderedDict[Key, tuple[float, bytearray]] = OrderedDict()
        self.responses: OrderedDict[Key, tuple[float, bytes, list[tuple[int, bytes]]]] = OrderedDict()
        self.held_bytes = 0

    def body(self, key: Key, block: Block, payload: bytes, now: float) -> bytes | None:
        """Adds a block; returns the body with its last block, None before.

        OptionError 4.08 for a block out of order, 4.13 for a body longer than MAX_BUFFERED_BODY.
        """
        if block.more and len(payload) != block.size:
            raise options.OptionError(
                coap.BAD_REQUEST, f"found a block of {len(payload)} bytes, wanted {block.size}"
            )
        if block.number == 0:
            self._forget_body(key)
            self.bodies[key] = (now, bytearray())
        partial = self.bodies.get(key)
        if partial is None or len(partial[1]) != block.number * block.size:
            self._forget_body(key)
            raise options.OptionError(
                coap.REQUEST_ENTITY_INCOMPLETE, f"found block {block.number}, wanted the one that is next"
            )
        if len(partial[1]) + len(payload) > MAX_BUFFERED_BODY:
            self._forget_body(key)
            raise options.OptionError(
                coap.REQUEST_ENTITY_TOO_LARGE, f"wanted {MAX_BUFFERED_BODY} bytes at most"
            )
        partial[1].extend(payload)
        self.held_bytes += len(payload)
        if not block.more:
            self._forget_body(key)
            return bytes(partial[1])
        self._evict(now)
        return None

    def _forget_body(self, key: Key) -> None:
        partial = self.bodies.pop(key, None)
        if partial is not None:
            self.held_bytes -= len(partial[1])

    def store_response(
        self,
        key: Key,
        response: bytes,
        now: float,
        response_options: list[tuple[int, bytes]] | None = None,
    ) -> None:
        """Stores a response, and the options of each block, for the requests of its further blocks."""
        self._forget_response(key)
        self.responses[key] = (now, response, response_options or [])
        self.held_bytes += len(response)
        self._evict(now)

    def _forget_response(self, key: Key) -> None:
        stored = self.responses.pop(key, None)
        if stored is not None:
            self.held_bytes -= len(stored[1])

    def stored_response(self, key: Key, now: float) -> tuple[bytes, list[tuple[int, bytes]]]:
        """Returns a stored response and its options; OptionError 4.08 if it is not stored."""
        self._evict(now)
        stored = self.responses.get(key)
        if stored is None:
            raise options.OptionError(
                coap.REQUEST_ENTITY_INCOMPLETE, "found no answer, wanted its first block"
            )
        return stored[1], stored[2]

    def _evict(self, now: float) -> None:
        """Evicts expired transfers, and the oldest ones beyond the limits."""
        while self.bodies:
            key, (started_ms, _) = next(iter(self.bodies.items()))
            if started_ms > now - TRANSFER_LIFETIME_MS and len(self.bodies) <= self.max_transfers:
                break
            self._forget_body(key)
        while self.responses:
            key, (stored_ms, _, _) = next(iter(self.responses.items()))
            if stored_ms > now - TRANSFER_LIFETIME_MS and len(self.responses) <= self.max_transfers:
                break
            self._forget_response(key)
        while self.held_bytes > self.max_bytes:  # responses first: they also exist elsewhere
            if self.responses:
                self._forget_response(next(iter(self.responses)))
            else:
                self._forget_body(next(iter(self.bodies)))


def response_block(response: bytes, block: Block) -> tuple[list[tuple[int, bytes]], bytes]:
    """Returns one block of a response and its options; OptionError 4.00 for a block beyond its end."""
    begin = block.number * block.size
    if block.number and begin >= len(response):
        raise options.OptionError(
            coap.BAD_REQUEST, f"found block {block.number}, which the answer doesn't have"
        )
    more = begin + block.size < len(response)
    response_options = [
        (coap.BLOCK2, Block(block.number, more, block.szx).value()),
        (ETAG, hashlib.blake2b(response, digest_size=8).digest()),
    ]
    if block.number == 0:
        response_options.append((coap.SIZE2, coap.uint_bytes(len(response))))
    return response_options, response[begin : begin + block.size]
