"""The programs' event loop, with the traffic between machines counted, and partitions between them.

Connections count where this side asked another machine for them, or where they come to the internal port.
What a machine says to itself (its backend, its clients) and the run's own questions are no traffic.
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
    """A `Loop` for one machine. `ip` and `internal_port` tell which connections are counted.

    Each connection between machines has an end that asked for it, which is the end that a partition breaks.
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
        self.asked: dict[
            TcpConnection, str
        ] = {}  # open connections that this machine asked for, and where they lead
        self.ip, self.internal_port = ip, internal_port
        self.traffic = Traffic()
        self.links: dict[TcpConnection, CountedLink] = {}

    def count(self, wire: TcpConnection, traffic: Traffic) -> None:
        """Count a connection for a machine."""
        self.links[wire] = CountedLink(wire.socket, traffic)

    def read_links(self) -> None:
        """Bring the counts of all open connections up to date."""
        for link in self.links.values():
            link.read()

    def drop(self, wire: TcpConnection, why: str) -> None:
        """Take the last counts of a connection before it is closed."""
        self.asked.pop(wire, None)
        link = self.links.pop(wire, None)
        if link is not None:
            link.read()
        super().drop(wire, why)

    def log(self, line: str) -> None:
        """A line with the steady clock's time, which all processes of the run share."""
        sys.stderr.write(f"{self.now():.6f} {line}\n")
        sys.stderr.flush()

    # One machine's traffic; a process of many hollow nodes counts by node in `NodeHost`.

    def connect(
        self, to: Address, handler: Callable[[Connection], Handler], within: float = 1.0
    ) -> TcpConnection:
        """Ask for a connection, counted where it leads to another machine."""
        if self.ip and self.reach.separates(self.ip, to[0]):
            return cast(TcpConnection, Unreachable(self.after, to, handler, within))
        wire = super().connect(to, handler, within)
        if self.ip and to[0] != self.ip:
            self.count(wire, self.traffic)
            self.asked[wire] = to[0]
        return wire

    def part(self) -> None:
        """Lose the connections that lead through the partition."""
        for wire, ip in list(self.asked.items()):
            if self.reach.separates(self.ip, ip):
                self.drop(wire, TIMEOUT)

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Take connections, counted at the internal port."""
        if at[1] != self.internal_port:
            super().listen(at, accept)
            return

        def accept_counted(connection: Connection) -> Handler:
            assert isinstance(connection, TcpConnection)
            self.count(connection, self.traffic)
            return accept(connection)

        super().listen(at, accept_counted)

    def listen_datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        """Take datagrams, counted."""

        def received_counted(sender: Address, data: bytes) -> None:
            if not self.reach.separates(self.ip, sender[0]):
                self.traffic.received_datagram(len(data))
                received(sender, data)

        super().listen_datagrams(at, received_counted)

    def send_datagram(self, to: Address, data: bytes) -> None:
        """Send, counted."""
        self.traffic.sent_datagram(len(data))
        if not self.reach.separates(self.ip, to[0]):
            super().send_datagram(to, data)
