"""Bodies and answers that are longer than a datagram, in blocks (RFC 7959), without sockets or clock.

A transfer is known by its peer and by what its requests have in common: code, path, query, class, key, tenant
and Request-Tag (RFC 9175, 3): a unit that sends two bodies at a time tells them apart by that. A body is
assembled in order; its first block begins it anew. An answer is kept whole and given out by number, with an
ETag, so that blocks of two answers are never put together.

Bounds: `most` transfers in each direction and `most_bytes` of both, the oldest going first, and LIFETIME_MS.
What is forgotten, also by a restart, is told as 4.08: the unit begins again, and the key of its order has it
answered as before.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict

from honeywharf.coap import options
from honeywharf.codecs import coap
from honeywharf.core.messages import MAX_BUFFERED_BODY

Peer = tuple[str, int]
Key = tuple[Peer, bytes]

MAX_SZX = 6  # blocks of 2 ** (6 + 4) = 1024 bytes; 7 is for other transports (2.2)
LIFETIME_MS = 247_000.0  # EXCHANGE_LIFETIME: RFC 7959, 2.4, leaves it to the server
ETAG = 4
#: What differs between the requests of one transfer.
VARYING = frozenset(
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
    """The value of a Block1 or Block2 option: number, whether more follow, exponent of the size (2.2)."""

    __slots__ = ("more", "number", "szx")

    def __init__(self, number: int, more: bool, szx: int) -> None:
        self.number, self.more, self.szx = number, more, szx

    @property
    def size(self) -> int:
        """Bytes of a block."""
        return 1 << (self.szx + 4)

    def value(self) -> bytes:
        """As the option has it."""
        return coap.uint_bytes(self.number << 4 | self.more << 3 | self.szx)


def block_of(message: coap.Message, number: int) -> Block | None:
    """A request's Block1 or Block2; OptionError where it is none, None where it is absent."""
    value = message.option(number)
    if value is None:
        return None
    figure = coap.uint(value)
    if len(value) > 3 or figure & 7 > MAX_SZX:
        raise options.OptionError(coap.BAD_REQUEST, "found a block of a size that there is not")
    return Block(figure >> 4, bool(figure & 8), figure & 7)


def key_of(message: coap.Message, peer: Peer) -> Key:
    """What the requests of one transfer have in common."""
    hashed = hashlib.blake2b(bytes((message.code,)), digest_size=16)
    for number, value in message.options:
        if number not in VARYING:
            hashed.update(b"%d:%d:%b" % (number, len(value), value))
    return peer, hashed.digest()


class Transfers:
    """All transfers on one socket."""

    def __init__(self, most: int = 256, most_bytes: int = 16 * 1024 * 1024) -> None:
        self.most, self.most_bytes = most, most_bytes
        # When each began, and what there is of it; the one that began longest ago first.
        self.bodies: OrderedDict[Key, tuple[float, bytearray]] = OrderedDict()
        self.answers: OrderedDict[Key, tuple[float, bytes, list[tuple[int, bytes]]]] = OrderedDict()
        self.held_bytes = 0

    def body(self, key: Key, block: Block, payload: bytes, now: float) -> bytes | None:
        """Add a block; the whole body with its last one, None while more follow.

        OptionError 4.08 for one that is not next, 4.13 for what grows beyond MAX_BUFFERED_BODY.
        """
        if block.more and len(payload) != block.size:
            raise options.OptionError(
                coap.BAD_REQUEST, f"found a block of {len(payload)} bytes, wanted {block.size}"
            )
        if block.number == 0:
            self._forget_body(key)
            self.bodies[key] = (now, bytearray())
        begun = self.bodies.get(key)
        if begun is None or len(begun[1]) != block.number * block.size:
            self._forget_body(key)
            raise options.OptionError(
                coap.REQUEST_ENTITY_INCOMPLETE, f"found block {block.number}, wanted the one that is next"
            )
        if len(begun[1]) + len(payload) > MAX_BUFFERED_BODY:
            self._forget_body(key)
            raise options.OptionError(
                coap.REQUEST_ENTITY_TOO_LARGE, f"wanted {MAX_BUFFERED_BODY} bytes at most"
            )
        begun[1].extend(payload)
        self.held_bytes += len(payload)
        if not block.more:
            self._forget_body(key)
            return bytes(begun[1])
        self._bound(now)
        return None

    def _forget_body(self, key: Key) -> None:
        begun = self.bodies.pop(key, None)
        if begun is not None:
            self.held_bytes -= len(begun[1])

    def keep(
        self,
        key: Key,
        answer: bytes,
        now: float,
        told: list[tuple[int, bytes]] | None = None,
    ) -> None:
        """Keep an answer, and options that go with each block, for the requests that ask for the others."""
        self._forget_answer(key)
        self.answers[key] = (now, answer, told or [])
        self.held_bytes += len(answer)
        self._bound(now)

    def _forget_answer(self, key: Key) -> None:
        known = self.answers.pop(key, None)
        if known is not None:
            self.held_bytes -= len(known[1])

    def kept(self, key: Key, now: float) -> tuple[bytes, list[tuple[int, bytes]]]:
        """The answer, with its options, that another block is asked of.

        OptionError 4.08 where it is not known any more.
        """
        self._bound(now)
        known = self.answers.get(key)
        if known is None:
            raise options.OptionError(
                coap.REQUEST_ENTITY_INCOMPLETE, "found no answer, wanted its first block"
            )
        return known[1], known[2]

    def _bound(self, now: float) -> None:
        """Forget what is over, and the oldest where there is too much."""
        while self.bodies:
            key, (begun, _) = next(iter(self.bodies.items()))
            if begun > now - LIFETIME_MS and len(self.bodies) <= self.most:
                break
            self._forget_body(key)
        while self.answers:
            key, (kept, _, _) = next(iter(self.answers.items()))
            if kept > now - LIFETIME_MS and len(self.answers) <= self.most:
                break
            self._forget_answer(key)
        while self.held_bytes > self.most_bytes:  # answers first: of those the node's is not the only one
            if self.answers:
                self._forget_answer(next(iter(self.answers)))
            else:
                self._forget_body(next(iter(self.bodies)))


def part(answer: bytes, block: Block) -> tuple[list[tuple[int, bytes]], bytes]:
    """One block of an answer with its options; OptionError 4.00 where the answer does not reach so far."""
    begin = block.number * block.size
    if block.number and begin >= len(answer):
        raise options.OptionError(
            coap.BAD_REQUEST, f"found block {block.number}, which the answer doesn't have"
        )
    more = begin + block.size < len(answer)
    told = [
        (coap.BLOCK2, Block(block.number, more, block.szx).value()),
        (ETAG, hashlib.blake2b(answer, digest_size=8).digest()),
    ]
    if block.number == 0:
        told.append((coap.SIZE2, coap.uint_bytes(len(answer))))
    return told, answer[begin : begin + block.size]
