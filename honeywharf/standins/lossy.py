"""A bad network for datagrams on loopback: it loses, doubles and delays them, and so changes their order."""

from __future__ import annotations

import asyncio
import random

MAX_OUT = 100_000  # datagrams on their way at a time; what comes beyond that is lost
Peer = tuple[str, int]


class Lossy:
    """Carries datagrams to `target` and back, each client by a socket of its own; `seed` draws their fates.

    `loss` and `double` are parts of all datagrams, `delay_s` the longest time on the way.
    """

    def __init__(
        self,
        target: Peer,
        seed: int,
        *,
        loss: float = 0.0,
        double: float = 0.0,
        delay_s: float = 0.0,
    ) -> None:
        self.target, self.loss, self.double, self.delay_s = target, loss, double, delay_s
        self.random = random.Random(seed)
        self.clients: dict[Peer, asyncio.DatagramTransport] = {}
        self.waiting: dict[Peer, list[bytes]] = {}  # until a client's socket is open
        self.tasks: set[asyncio.Task[None]] = set()
        self.front: asyncio.DatagramTransport | None = None
        self.out = self.carried = self.lost = 0
        self.port = 0

    async def start(self) -> Lossy:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.front, _ = await loop.create_datagram_endpoint(
            lambda: Side(self, None), local_addr=("127.0.0.1", 0)
        )
        self.port = self.front.get_extra_info("sockname")[1]
        return self

    def there(self, data: bytes, client: Peer) -> None:
        """A client's datagram."""
        if client in self.clients:
            self._carry(self.clients[client], data, self.target)
            return
        self.waiting.setdefault(client, []).append(data)
        if len(self.waiting[client]) == 1:
            task = asyncio.get_running_loop().create_task(self._open(client))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _open(self, client: Peer) -> None:
        loop = asyncio.get_running_loop()
        made, _ = await loop.create_datagram_endpoint(lambda: Side(self, client), local_addr=("127.0.0.1", 0))
        self.clients[client] = made
        for data in self.waiting.pop(client):
            self._carry(made, data, self.target)

    def back(self, data: bytes, client: Peer) -> None:
        """A datagram for a client."""
        if self.front is not None:
            self._carry(self.front, data, client)

    def _carry(self, by: asyncio.DatagramTransport, data: bytes, to: Peer) -> None:
        times = 2 if self.random.random() < self.double else 1
        for _ in range(times):
            if self.random.random() < self.loss or self.out >= MAX_OUT:
                self.lost += 1
                continue
            self.out += 1
            asyncio.get_running_loop().call_later(
                self.random.uniform(0.0, self.delay_s), self._arrive, by, data, to
            )

    def _arrive(self, by: asyncio.DatagramTransport, data: bytes, to: Peer) -> None:
        self.out -= 1
        self.carried += 1
        if not by.is_closing():
            by.sendto(data, to)

    def rebind(self) -> None:
        """Give each client a new address towards the target, as a NAT does that has forgotten it."""
        for made in self.clients.values():
            made.close()
        self.clients.clear()

    def stop(self) -> None:
        """Carry nothing more."""
        self.rebind()
        if self.front is not None:
            self.front.close()


class Side(asyncio.DatagramProtocol):
    """The side towards the clients, or one client's side towards the target."""

    def __init__(self, network: Lossy, client: Peer | None) -> None:
        self.network, self.client = network, client

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Carry it on."""
        if self.client is None:
            self.network.there(data, addr[:2])
        else:
            self.network.back(data, self.client)
