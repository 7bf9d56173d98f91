"""A field unit: a CoAP client (RFC 7252) that sends orders again until acknowledged, and gives up in time."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

from honeywharf.coap import options
from honeywharf.codecs import coap

GAVE_UP = 408  # no final answer came in the unit's own time
STATUSES = {
    coap.CONTENT: 200,
    coap.CHANGED: 200,
    coap.SERVICE_UNAVAILABLE: 503,
    coap.CONFLICT: 409,
    coap.UNPROCESSABLE_ENTITY: 422,
}
MAX_OUT = 32  # requests of one unit that are out; others wait


class Unit(asyncio.DatagramProtocol):
    """One unit's socket. `seed` draws its first message id and the spread of its time-outs."""

    def __init__(self, seed: int, timeout_s: float = 0.3, most_sent: int = 5) -> None:
        self.random, self.timeout_s, self.most_sent = random.Random(seed), timeout_s, most_sent
        self.mid, self.echo, self.serial = self.random.randrange(65536), b"", 0
        self.answers: dict[bytes, asyncio.Future[coap.Message]] = {}  # by token
        self.heard: dict[bytes, asyncio.Event] = {}  # by token: acknowledged or answered
        self.tokens: dict[int, bytes] = {}  # by message id
        self.room = asyncio.Semaphore(MAX_OUT)
        self.transport: asyncio.DatagramTransport | None = None
        self.sent = 0

    async def to(self, port: int) -> Unit:
        """Send to 127.0.0.1 from now on."""
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, remote_addr=("127.0.0.1", port)
        )
        return self

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take an answer, alone or in an ACK; acknowledge what asks for it, however often it comes."""
        try:
            message = coap.decode(data)
        except coap.MalformedError:
            return
        if message.mtype == coap.CON:
            self._send(coap.Message(coap.ACK, coap.EMPTY, message.mid))
        token = self.tokens.get(message.mid, b"") if message.mtype == coap.ACK else message.token
        if token in self.heard:
            self.heard[token].set()
        waits = self.answers.get(message.token)
        if message.code != coap.EMPTY and waits is not None and not waits.done():
            waits.set_result(message)

    def _send(self, message: coap.Message) -> None:
        self.sent += 1
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(coap.encode(message))

    async def order(self, name: str, key: str, left_ms: int, repeat: bool) -> tuple[int, bytes]:
        """One keyed request: the status that HTTP has for its answer, and the body; GAVE_UP without one."""
        told = [
            (coap.URI_PATH, b"api"),
            (coap.URI_PATH, b"order"),
            (options.CLASS, b"order"),
            (options.KEY, key.encode()),
            (options.TIME_LEFT, coap.uint_bytes(left_ms * 1000)),
        ]
        if repeat:
            told.append((options.REPEAT, b""))
        end = asyncio.get_running_loop().time() + left_ms / 1000.0
        async with self.room:
            for attempt in range(3):  # a unit that is not believed yet is asked for an Echo first
                more = [(options.ID, f"{name}-{attempt}".encode() if attempt else name.encode())]
                answer = await self._ask(told + more, end)
                if answer is None:
                    return GAVE_UP, b""
                if answer.code != coap.UNAUTHORIZED:
                    return STATUSES.get(answer.code, 502), answer.payload
                self.echo = answer.option(coap.ECHO) or b""
        return GAVE_UP, b""

    async def _ask(self, told: list[tuple[int, bytes]], end: float) -> coap.Message | None:
        """Send until acknowledged or answered (4.2), then wait; None at the end of the unit's time."""
        self.mid, self.serial = (self.mid + 1) & 0xFFFF, self.serial + 1
        mid, token, loop = self.mid, self.serial.to_bytes(4, "big"), asyncio.get_running_loop()
        echo = [(coap.ECHO, self.echo)] if self.echo else []
        message = coap.Message(coap.CON, coap.POST, mid, token, told + echo, b"x")
        waits, heard = self.answers.setdefault(token, loop.create_future()), asyncio.Event()
        self.heard[token], self.tokens[mid] = heard, token
        pause = self.timeout_s * self.random.uniform(1.0, 1.5)
        try:
            for _ in range(self.most_sent):
                if heard.is_set() or loop.time() >= end:
                    break
                self._send(message)
                with suppress(TimeoutError):  # an answer sets it too
                    await asyncio.wait_for(heard.wait(), min(pause, max(0.001, end - loop.time())))
                pause *= 2.0
            with suppress(TimeoutError):
                return await asyncio.wait_for(asyncio.shield(waits), max(0.001, end - loop.time()))
            return None
        finally:
            waits.cancel()
            del self.answers[token], self.heard[token]
            self.tokens.pop(mid, None)
