"""A network on loopback that loses, duplicates, delays and so reorders datagrams."""

from __future__ import annotations

import asyncio
import random

MAX_IN_FLIGHT = 100_000  # Datagrams beyond this number are lost.
Peer = tuple[str, int]


class LossyNetwork:
    """Forwards datagrams between `target` and the clients. Each client gets a socket of its own.

    `loss` and `duplicate` are shares of all datagrams, `delay_s` is the maximum delay. `seed` makes the draws
    reproducible.
    """

    def __init__(
        self,
        target: Peer,
        seed: int,
        *,
        loss: float = 0.0,
        duplicate: float = 0.0,
        delay_s: float = 0.0,
    ) -> None:
        self.target, self.loss, self.duplicate, self.delay_s = target, loss, duplicate, delay_s
        self.random = random.Random(seed)
        self.clients: dict[Peer, asyncio.DatagramTransport] = {}
        self.pending: dict[Peer, list[bytes]] = {}  # Datagrams of clients whose socket is not open yet.
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener: asyncio.DatagramTransport | None = None
        self.in_flight = self.delivered = self.lost = 0
        self.port = 0

    async def start(self) -> LossyNetwork:
        """Listens on 127.0.0.1."""
        loop = asyncio.get_running_loop()
        self.listener, _ = await loop.create_datagram_endpoint(
            lambda: _Endpoint(self, None), local_addr=("127.0.0.1", 0)
        )
        self.port = self.listener.get_extra_info("sockname")[1]
        return self

    def from_client(self, data: bytes, client: Peer) -> None:
        """Forwards a datagram of a client to the target."""
        if client in self.clients:
            self._forward(self.clients[client], data, self.target)
            return
        self.pending.setdefault(client, []).append(data)
        if len(self.pending[client]) == 1:
            task = asyncio.get_running_loop().create_task(self._open(client))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _open(self, client: Peer) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Endpoint(self, client), local_addr=("127.0.0.1", 0)
        )
        self.clients[client] = transport
        for data in self.pending.pop(client):
            self._forward(transport, data, self.target)

    def from_target(self, data: bytes, client: Peer) -> None:
        """Forwards a datagram of the target to a client."""
        if self.listener is not None:
            self._forward(self.listener, data, client)

    def _forward(self, transport: asyncio.DatagramTransport, data: bytes, to: Peer) -> None:
        copies = 2 if self.random.random() < self.duplicate else 1
        for _ in range(copies):
            if self.random.random() < self.loss or self.in_flight >= MAX_IN_FLIGHT:
                self.lost += 1
                continue
            self.in_flight += 1
            asyncio.get_running_loop().call_later(
                self.random.uniform(0.0, self.delay_s), self._deliver, transport, data, to
            )

    def _deliver(self, transport: asyncio.DatagramTransport, data: bytes, to: Peer) -> None:
        self.in_flight -= 1
        self.delivered += 1
        if not transport.is_closing():
            transport.sendto(data, to)

    def rebind(self) -> None:
        """Gives each client a new source address, as a NAT does whose mapping has expired."""
        for transport in self.clients.values():
            transport.close()
        self.clients.clear()

    def stop(self) -> None:
        """Stops forwarding."""
        self.rebind()
        if self.listener is not None:
            self.listener.close()


class _Endpoint(asyncio.DatagramProtocol):
    """The socket for all clients, or the socket of one client towards the target."""

    def __init__(self, network: LossyNetwork, client: Peer | None) -> None:
        self.network, self.client = network, client

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forwards the datagram."""
        if self.client is None:
            self.network.from_client(data, addr[:2])
        else:
            self.network.from_target(data, self.client)
