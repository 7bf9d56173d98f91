"""The `Host` of one hollow node: its addresses, sockets and counts on a shared event loop."""

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
    """The `Host` of a hollow node's program. `exited` is called when the program exits."""

    def __init__(self, loop: CountedLoop, ip: str, internal_port: int, reach: Reach) -> None:
        self.loop, self.ip, self.internal_port, self.reach = loop, ip, internal_port, reach
        self.traffic = Traffic()
        self.stopped = False
        self.exited: Callable[[], None] = self.stop
        self._socket: socket.socket | None = None
        self._listening: list[Address] = []
        self._connections: dict[TcpConnection, Address] = {}  # Open connections and their peers.
        self.now, self.wall_time, self.random = loop.now, loop.wall_time, loop.random

    def after(self, seconds: float, call: Callable[[], None]) -> EventLoopTimer:
        """Schedules one call after a delay; a node that has stopped by then ignores it."""
        return self.loop.after(seconds, lambda: None if self.stopped else call())

    def connect(
        self,
        to: Address,
        handler: Callable[[Connection], Handler],
        within: float = 1.0,
    ) -> Connection:
        """Opens a connection, which times out if a partition separates the machines."""
        if self.stopped or self.reach.separates(self.ip, to[0]):
            return Unreachable(self.after, to, handler, within)
        connection = self.loop.connect(to, handler, within)
        if to[0] != self.ip:
            self.loop.count(connection, self.traffic)
        self._connections = {old: peer for old, peer in self._connections.items() if old.handler is not None}
        self._connections[connection] = to
        return connection

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Accepts connections, which are counted at the internal port."""

        def accept_counted(connection: Connection) -> Handler:
            assert isinstance(connection, TcpConnection)
            if at[1] == self.internal_port:
                self.loop.count(connection, self.traffic)
            self._connections[connection] = (self.ip, 0)  # The peer is unknown.
            return accept(connection)

        self.loop.listen(at, accept_counted)
        self._listening.append(at)

    def stop_listening(self, at: Address) -> None:
        """Accepts no further connections at an address."""
        self.loop.stop_listening(at)

    def listen_datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        """Receives and counts datagrams."""

        def received_counted(sender: Address, data: bytes) -> None:
            if self.stopped or self.reach.separates(self.ip, sender[0]):
                return
            self.traffic.received_datagram(len(data))
            received(sender, data)

        self.loop.listen_datagrams(at, received_counted)
        self._socket = self.loop.send_socket

    def send_datagram(self, to: Address, data: bytes) -> None:
        """Counts and sends a datagram; a partition drops it."""
        self.traffic.sent_datagram(len(data))
        if self._socket is None or self.stopped or self.reach.separates(self.ip, to[0]):
            return
        try:
            self._socket.sendto(data, to)
        except OSError:
            return  # The queue is full or the peer is unreachable; the datagram counts as lost.

    def drop_separated(self) -> None:
        """Closes the connections that the partition separates."""
        for connection, peer in list(self._connections.items()):
            if self.reach.separates(self.ip, peer[0]):
                self.loop.drop(connection, TIMEOUT)

    def log(self, line: str) -> None:
        """Ignores the line: the log of a hollow node is not kept."""

    def exit(self, status: int) -> None:
        """Handles the exit of the program."""
        self.loop.after(0.0, self.exited)

    def stop(self) -> None:
        """Closes all sockets and connections at once, like the death of a process."""
        if self.stopped:
            return
        self.stopped = True
        for at in self._listening:
            self.loop.stop_listening(at)
        if self._socket is not None:
            self.loop.epoll.unregister(self._socket.fileno())
            del self.loop.datagram_sockets[self._socket.fileno()]
            self._socket.close()
        for connection in list(self._connections):
            self.loop.drop(connection, "reset")
