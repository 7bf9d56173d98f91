"""The socket of notes: one for hearing peers and for telling them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from honeywharf.core.transport import Address
from honeywharf.traces.notes import Notes


class Line(asyncio.DatagramProtocol):
    """The socket: one for listening and telling."""

    def __init__(
        self,
        notes: Notes,
        peers: frozenset[Address],
        now: Callable[[], float],
        note: Callable[[float, str], None],
    ) -> None:
        self.notes, self.peers, self.now, self.note = notes, peers, now, note
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def open(self, at: Address) -> Address:
        """Listen; the address that it has."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=at)
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port

    def tell(self, trace_id: str) -> None:
        """This hop keeps the trace: its peers are to know."""
        self.notes.add(self.now(), trace_id)
        self._arm()

    def _arm(self) -> None:
        if self.timer is None and self.notes.due_ms < float("inf"):
            wait = max(0.0, self.notes.due_ms - self.now()) / 1000.0
            self.timer = asyncio.get_running_loop().call_later(wait + 0.001, self._send)

    def _send(self) -> None:
        self.timer = None
        for datagram in self.notes.datagrams(self.now()):
            for peer in self.peers:
                if self.transport is not None:
                    self.transport.sendto(datagram, peer)
        self._arm()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """A peer tells; or somebody else, who is not heard."""
        if addr[:2] not in self.peers:
            self.notes.counts["strange"] += 1
            return
        now = self.now()
        for trace_id in self.notes.heard(data):
            self.note(now, trace_id)

    def error_received(self, exc: Exception) -> None:
        """A peer is not there: it holds nothing either."""

    def close(self) -> None:
        """Tell no more."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
