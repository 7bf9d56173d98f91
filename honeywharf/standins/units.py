"""A CoAP client (RFC 7252) that retransmits orders until acknowledged and gives up at their deadline."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

from honeywharf.coap import options
from honeywharf.codecs import coap

GIVEN_UP = 408  # Status of an order without a final answer before its deadline.
STATUSES = {
    coap.CONTENT: 200,
    coap.CHANGED: 200,
    coap.SERVICE_UNAVAILABLE: 503,
    coap.CONFLICT: 409,
    coap.UNPROCESSABLE_ENTITY: 422,
}
MAX_IN_FLIGHT = 32  # Further requests of the unit wait.


class Unit(asyncio.DatagramProtocol):
    """The socket of one unit. `seed` draws its first message id and the spread of its time-outs."""

    def __init__(self, seed: int, timeout_s: float = 0.3, max_transmissions: int = 5) -> None:
        self.random, self.timeout_s, self.max_transmissions = (
            random.Random(seed),
            timeout_s,
            max_transmissions,
        )
        self.mid, self.echo, self.serial = self.random.randrange(65536), b"", 0
        self.answers: dict[bytes, asyncio.Future[coap.Message]] = {}  # Keys are tokens.
        self.acknowledged: dict[bytes, asyncio.Event] = {}  # Keys are tokens. An answer sets the event, too.
        self.tokens: dict[int, bytes] = {}  # Keys are message ids.
        self.in_flight_slots = asyncio.Semaphore(MAX_IN_FLIGHT)
        self.transport: asyncio.DatagramTransport | None = None
        self.sent = 0

    async def connect(self, port: int) -> Unit:
        """Opens the socket towards a port of 127.0.0.1."""
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, remote_addr=("127.0.0.1", port)
        )
        return self

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a separate or piggybacked answer and acknowledges each confirmable message."""
        try:
            message = coap.decode(data)
        except coap.MalformedError:
            return
        if message.mtype == coap.CON:
            self._send(coap.Message(coap.ACK, coap.EMPTY, message.mid))
        token = self.tokens.get(message.mid, b"") if message.mtype == coap.ACK else message.token
        if token in self.acknowledged:
            self.acknowledged[token].set()
        answered = self.answers.get(message.token)
        if message.code != coap.EMPTY and answered is not None and not answered.done():
            answered.set_result(message)

    def _send(self, message: coap.Message) -> None:
        self.sent += 1
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(coap.encode(message))

    async def order(self, name: str, key: str, left_ms: int, repeat: bool) -> tuple[int, bytes]:
        """Sends one keyed request. Returns its status as in HTTP (or GIVEN_UP) and the body."""
        fields = [
            (coap.URI_PATH, b"api"),
            (coap.URI_PATH, b"order"),
            (options.CLASS, b"order"),
            (options.KEY, key.encode()),
            (options.TIME_LEFT, coap.uint_bytes(left_ms * 1000)),
        ]
        if repeat:
            fields.append((options.REPEAT, b""))
        deadline = asyncio.get_running_loop().time() + left_ms / 1000.0
        async with self.in_flight_slots:
            for attempt in range(3):  # The proxy validates a new peer by an Echo (RFC 9175).
                identity = [(options.ID, f"{name}-{attempt}".encode() if attempt else name.encode())]
                answer = await self._request(fields + identity, deadline)
                if answer is None:
                    return GIVEN_UP, b""
                if answer.code != coap.UNAUTHORIZED:
                    return STATUSES.get(answer.code, 502), answer.payload
                self.echo = answer.option(coap.ECHO) or b""
        return GIVEN_UP, b""

    async def _request(self, fields: list[tuple[int, bytes]], deadline: float) -> coap.Message | None:
        """Retransmits until acknowledged or answered (RFC 7252 4.2) and waits. None at the deadline."""
        self.mid, self.serial = (self.mid + 1) & 0xFFFF, self.serial + 1
        mid, token, loop = self.mid, self.serial.to_bytes(4, "big"), asyncio.get_running_loop()
        echo = [(coap.ECHO, self.echo)] if self.echo else []
        message = coap.Message(coap.CON, coap.POST, mid, token, fields + echo, b"x")
        answered, acknowledged = self.answers.setdefault(token, loop.create_future()), asyncio.Event()
        self.acknowledged[token], self.tokens[mid] = acknowledged, token
        retransmit_s = self.timeout_s * self.random.uniform(1.0, 1.5)
        try:
            for _ in range(self.max_transmissions):
                if acknowledged.is_set() or loop.time() >= deadline:
                    break
                self._send(message)
                with suppress(TimeoutError):  # An answer sets it too.
                    await asyncio.wait_for(
                        acknowledged.wait(), min(retransmit_s, max(0.001, deadline - loop.time()))
                    )
                retransmit_s *= 2.0
            with suppress(TimeoutError):
                return await asyncio.wait_for(asyncio.shield(answered), max(0.001, deadline - loop.time()))
            return None
        finally:
            answered.cancel()
            del self.answers[token], self.acknowledged[token]
            self.tokens.pop(mid, None)
