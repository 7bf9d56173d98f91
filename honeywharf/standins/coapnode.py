"""A CoAP backend with the modelled node and rack of `Backend`, behind a CoAP message layer."""

from __future__ import annotations

import asyncio
from typing import Any

from honeywharf.coap import options
from honeywharf.coap.messages import Exchange, MessageLayer, Peer
from honeywharf.codecs import coap
from honeywharf.standins.backend import Backend, now_ms
from honeywharf.standins.messages import Message
from honeywharf.standins.node import free_ports


class CoapBackend(Backend):
    """Serves by CoAP what `Backend` serves by HTTP. A crash closes the socket and loses all exchanges."""

    layer: MessageLayer
    transport: asyncio.DatagramTransport | None = None
    tasks: set[asyncio.Task[None]]
    timer_handle: asyncio.TimerHandle | None = None

    async def start(self) -> CoapBackend:
        """Listens on 127.0.0.1, on the same port again after a crash."""
        self.tasks = set()
        seed = self.random.getrandbits(32)
        self.layer = MessageLayer(now_ms, self._write, self._request, seed, max_exchanges_per_peer=8192)
        if not self.port:
            (self.port,) = free_ports(1)
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Socket(self), local_addr=("127.0.0.1", self.port)
        )
        return self

    def row(self, name: str, zone: str = "z", lifecycle: str = "up", **more: Any) -> dict[str, Any]:
        """Returns the entry of this backend in the registry."""
        return super().row(name, zone, lifecycle, scheme="coap", **more)

    def _write(self, data: bytes, peer: Peer) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, peer)

    def received(self, data: bytes, peer: Peer) -> None:
        """Handles a datagram."""
        self.layer.received(data, peer)
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        if self.timer_handle is not None:
            self.timer_handle.cancel()
            self.timer_handle = None
        if self.layer.next_timer_ms() < float("inf"):
            delay = max(0.0, self.layer.next_timer_ms() - now_ms()) / 1000.0
            self.timer_handle = asyncio.get_running_loop().call_later(delay, self._handle_timers)

    def _handle_timers(self) -> None:
        self.timer_handle = None
        self.layer.handle_timers()
        self._schedule_timer()

    def _request(self, exchange: Exchange, message: coap.Message) -> None:
        task = asyncio.get_running_loop().create_task(self._answer(exchange, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, exchange: Exchange, message: coap.Message) -> None:
        layer, request = self.layer, options.decode_request(message)
        headers = {b"x-correlation-id": request.id.encode("latin-1")}
        if request.idempotency_key:
            headers[b"idempotency-key"] = request.idempotency_key
        http_request: Message = (b"%b %b HTTP/1.1" % (request.method, request.target), headers, request.body)
        if self.node is None:
            answer = await self._scripted_reply(http_request)
        else:
            answer = await self._node_reply(self.node, http_request)
        if not isinstance(answer, bytes):
            return
        head, _, body = answer.partition(b"\r\n\r\n")
        status, unprocessed = int(head.split()[1]), b"X-Unprocessed: 1" in head
        if status == 200:
            layer.answer(exchange, coap.CHANGED if message.code == coap.POST else coap.CONTENT, payload=body)
        elif status == 503:
            response_options = [(options.UNPROCESSED, b"")] if unprocessed else []
            layer.answer(exchange, coap.SERVICE_UNAVAILABLE, response_options)
        else:
            layer.answer(exchange, coap.BAD_GATEWAY)
        self._schedule_timer()

    async def stop(self) -> None:
        """Closes the socket and cancels all requests."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        if self.timer_handle is not None:
            self.timer_handle.cancel()
            self.timer_handle = None
        for task in list(self.tasks):
            task.cancel()


class _Socket(asyncio.DatagramProtocol):
    """The UDP socket of a CoapBackend."""

    def __init__(self, owner: CoapBackend) -> None:
        self.owner = owner

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes the datagram to the backend."""
        self.owner.received(data, addr[:2])
