"""The programs' event loop, with the traffic between machines counted and with simulated partitions.

A connection is counted at the machine that opens it to another machine, and at the internal port that accepts
it. Traffic of a machine with itself (its backend, its clients) and the bench's own calls are not counted.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from bench.scale.reach import TIMEOUT, Reach, Unreachable
from bench.scale.traffic import CountedLink, Traffic
from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.tcp_connection import TcpConnection

if TYPE_CHECKING:
    from honeywharf.transport.host import Address, Connection, Handler


class CountedLoop(EventLoop):
    """An event loop for one machine, whose `ip` and `internal_port` select the counted connections.

    A partition closes each connection between machines at the end that opened it.
    """

    def __init__(
        self,
        directory: str | None,
        ip: str = "",
        internal_port: int = 0,
        reach: Reach | None = None,
    ) -> None:
        super().__init__(directory)
        self.reach = reach or Reach(lambda ip: "")
        #: The remote IP of each open connection that this machine opened.
        self.outgoing: dict[TcpConnection, str] = {}
        self.ip, self.internal_port = ip, internal_port
        self.traffic = Traffic()
        self.links: dict[TcpConnection, CountedLink] = {}

    def count(self, connection: TcpConnection, traffic: Traffic) -> None:
        """Starts to count a connection's traffic for a machine."""
        self.links[connection] = CountedLink(connection.socket, traffic)

    def read_links(self) -> None:
        """Updates the counts of all open connections."""
        for link in self.links.values():
            link.read()

    def drop(self, connection: TcpConnection, reason: str) -> None:
        """Reads the last counts of a connection before it is closed."""
        self.outgoing.pop(connection, None)
        link = self.links.pop(connection, None)
        if link is not None:
            link.read()
        super().drop(connection, reason)

    def log(self, line: str) -> None:
        """Writes a line with the time of the monotonic clock, which all processes of the bench share."""
        sys.stderr.write(f"{self.now():.6f} {line}\n")
        sys.stderr.flush()

    # The following methods count one machine. A process of many hollow nodes counts by node in `NodeHost`.

    def connect(
        self, to: Address, handler: Callable[[Connection], Handler], within: float = 1.0
    ) -> TcpConnection:
        """Opens a connection, which is counted if it leads to another machine."""
        if self.ip and self.reach.separates(self.ip, to[0]):
            return cast(TcpConnection, Unreachable(self.after, to, handler, within))
        connection = super().connect(to, handler, within)
        if self.ip and to[0] != self.ip:
            self.count(connection, self.traffic)
            self.outgoing[connection] = to[0]
        return connection

    def drop_separated(self) -> None:
        """Closes the connections that the partition separates."""
        for connection, ip in list(self.outgoing.items()):
            if self.reach.separates(self.ip, ip):
                self.drop(connection, TIMEOUT)

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Accepts connections, which are counted at the internal port."""
        if at[1] != self.internal_port:
            super().listen(at, accept)
            return

        def accept_counted(connection: Connection) -> Handler:
            assert isinstance(connection, TcpConnection)
            self.count(connection, self.traffic)
            return accept(connection)

        super().listen(at, accept_counted)

    def listen_datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        """Receives and counts datagrams."""

        def received_counted(sender: Address, data: bytes) -> None:
            if not self.reach.separates(self.ip, sender[0]):
                self.traffic.received_datagram(len(data))
                received(sender, data)

        super().listen_datagrams(at, received_counted)

    def send_datagram(self, to: Address, data: bytes) -> None:
        """Counts and sends a datagram."""
        self.traffic.sent_datagram(len(data))
        if not self.reach.separates(self.ip, to[0]):
            super().send_datagram(to, data)
