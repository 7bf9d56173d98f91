"""The UDP socket that sends notes to peers and receives theirs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from honeywharf.core.transport import Address
from honeywharf.traces.notes import Notes


class NotesSocket(asyncio.DatagramProtocol):
    """Sends and receives notes. `keep_trace` is called with the time and trace-id of each received one."""

    def __init__(
        self,
        notes: Notes,
        peers: frozenset[Address],
        now: Callable[[], float],
        keep_trace: Callable[[float, str], None],
    ) -> None:
        self.notes, self.peers, self.now, self.keep_trace = notes, peers, now, keep_trace
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def open(self, listen_address: Address) -> Address:
        """Opens the socket. Returns its address."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=listen_address)
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port

    def send_note(self, trace_id: str) -> None:
        """Queues a note to the peers that this hop keeps the trace."""
        self.notes.add(self.now(), trace_id)
        self._schedule_send()

    def _schedule_send(self) -> None:
        if self.timer is None and self.notes.due_ms < float("inf"):
            wait = max(0.0, self.notes.due_ms - self.now()) / 1000.0
            self.timer = asyncio.get_running_loop().call_later(wait + 0.001, self._send)

    def _send(self) -> None:
        self.timer = None
        for datagram in self.notes.datagrams(self.now()):
            for peer in self.peers:
                if self.transport is not None:
                    self.transport.sendto(datagram, peer)
        self._schedule_send()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handles a peer's notes; a datagram from another address is counted and dropped."""
        if addr[:2] not in self.peers:
            self.notes.counts["strange"] += 1
            return
        now = self.now()
        for trace_id in self.notes.received(data):
            self.keep_trace(now, trace_id)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors, as a peer that does not run has no pending traces."""

    def close(self) -> None:
        """Closes the socket; queued notes are dropped."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
