"""The `Host` of one hollow node: its addresses, sockets and counts on an event loop that many nodes share."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from bench.scale.counted_loop import CountedLoop
from bench.scale.reach import TIMEOUT, Reach, Unreachable
from bench.scale.traffic import Traffic
from honeywharf.transport.event_loop import EventLoopTimer
from honeywharf.transport.tcp_connection import TcpConnection

if TYPE_CHECKING:
    from honeywharf.transport.host import Address, Connection, Handler


class NodeHost:
    """What a program is given of its machine (`Host`). `exited` is called when the program ends itself."""

    def __init__(self, loop: CountedLoop, ip: str, internal_port: int, reach: Reach) -> None:
        self.loop, self.ip, self.internal_port, self.reach = loop, ip, internal_port, reach
        self.traffic = Traffic()
        self.stopped = False
        self.exited: Callable[[], None] = self.stop
        self._socket: socket.socket | None = None
        self._listening: list[Address] = []
        self._wires: dict[TcpConnection, Address] = {}  # open connections that this node asked for
        self.now, self.wall_time, self.random = loop.now, loop.wall_time, loop.random

    def after(self, seconds: float, call: Callable[[], None]) -> EventLoopTimer:
        """Call once, so much later, unless the node has stopped by then."""
        return self.loop.after(seconds, lambda: None if self.stopped else call())

    def connect(
        self,
        to: Address,
        handler: Callable[[Connection], Handler],
        within: float = 1.0,
    ) -> Connection:
        """Ask for a connection; none comes up through a partition."""
        if self.stopped or self.reach.separates(self.ip, to[0]):
            return Unreachable(self.after, to, handler, within)
        wire = self.loop.connect(to, handler, within)
        if to[0] != self.ip:
            self.loop.count(wire, self.traffic)
        self._wires = {old: peer for old, peer in self._wires.items() if old.handler is not None}
        self._wires[wire] = to
        return wire

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Take connections; those at the internal port are counted."""

        def accept_counted(connection: Connection) -> Handler:
            assert isinstance(connection, TcpConnection)
            if at[1] == self.internal_port:
                self.loop.count(connection, self.traffic)
            self._wires[connection] = (self.ip, 0)  # where it comes from is not known
            return accept(connection)

        self.loop.listen(at, accept_counted)
        self._listening.append(at)

    def stop_listening(self, at: Address) -> None:
        """Take no further connections."""
        self.loop.stop_listening(at)

    def listen_datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        """Take datagrams."""

        def received_counted(sender: Address, data: bytes) -> None:
            if self.stopped or self.reach.separates(self.ip, sender[0]):
                return
            self.traffic.received_datagram(len(data))
            received(sender, data)

        self.loop.listen_datagrams(at, received_counted)
        self._socket = self.loop.send_socket

    def send_datagram(self, to: Address, data: bytes) -> None:
        """Send; what goes into a partition is sent, and lost."""
        self.traffic.sent_datagram(len(data))
        if self._socket is None or self.stopped or self.reach.separates(self.ip, to[0]):
            return
        try:
            self._socket.sendto(data, to)
        except OSError:
            return  # a full queue, or nobody there: as if it had been lost on the way

    def part(self) -> None:
        """Lose the connections that lead through the partition."""
        for wire, peer in list(self._wires.items()):
            if self.reach.separates(self.ip, peer[0]):
                self.loop.drop(wire, TIMEOUT)

    def log(self, line: str) -> None:
        """Nobody reads the log of a hollow node."""

    def exit(self, status: int) -> None:
        """The program has ended."""
        self.loop.after(0.0, self.exited)

    def stop(self) -> None:
        """Close everything at once, as the death of a process does."""
        if self.stopped:
            return
        self.stopped = True
        for at in self._listening:
            self.loop.stop_listening(at)
        if self._socket is not None:
            self.loop.epoll.unregister(self._socket.fileno())
            del self.loop.datagram_sockets[self._socket.fileno()]
            self._socket.close()
        for wire in list(self._wires):
            self.loop.drop(wire, "reset")
