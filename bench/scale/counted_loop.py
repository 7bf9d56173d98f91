"""The programs' event loop, with the traffic between machines counted.

Connections count where this side asked another machine for them, or where they come to the internal port.
What a machine says to itself (its backend, its clients) and the run's own questions are no traffic.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from bench.scale.traffic import CountedLink, Traffic
from honeywharf.mains.loop import Loop, Wire

if TYPE_CHECKING:
    from honeywharf.mains.host import Address, Connection, Handler


class CountedLoop(Loop):
    """A `Loop` for one machine. `ip` and `internal_port` tell which connections are counted."""

    def __init__(self, directory: str | None, ip: str = "", internal_port: int = 0) -> None:
        super().__init__(directory)
        self.ip, self.internal_port = ip, internal_port
        self.traffic = Traffic()
        self.links: dict[Wire, CountedLink] = {}

    def count(self, wire: Wire, traffic: Traffic) -> None:
        """Count a connection for a machine."""
        self.links[wire] = CountedLink(wire.sock, traffic)

    def read_links(self) -> None:
        """Bring the counts of all open connections up to date."""
        for link in self.links.values():
            link.read()

    def drop(self, wire: Wire, why: str) -> None:
        """Take the last counts of a connection before it is closed."""
        link = self.links.pop(wire, None)
        if link is not None:
            link.read()
        super().drop(wire, why)

    def log(self, line: str) -> None:
        """A line with the steady clock's time, which all processes of the run share."""
        sys.stderr.write(f"{self.now():.6f} {line}\n")
        sys.stderr.flush()

    # One machine's traffic; a process of many hollow nodes counts by node in `NodeHost`.

    def connect(self, to: Address, handler: Callable[[Connection], Handler], within: float = 1.0) -> Wire:
        """Ask for a connection, counted where it leads to another machine."""
        wire = super().connect(to, handler, within)
        if self.ip and to[0] != self.ip:
            self.count(wire, self.traffic)
        return wire

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Take connections, counted at the internal port."""
        if at[1] != self.internal_port:
            super().listen(at, accept)
            return

        def accept_counted(connection: Connection) -> Handler:
            assert isinstance(connection, Wire)
            self.count(connection, self.traffic)
            return accept(connection)

        super().listen(at, accept_counted)

    def datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        """Take datagrams, counted."""

        def received_counted(sender: Address, data: bytes) -> None:
            self.traffic.received_datagram(len(data))
            received(sender, data)

        super().datagrams(at, received_counted)

    def send_datagram(self, to: Address, data: bytes) -> None:
        """Send, counted."""
        self.traffic.sent_datagram(len(data))
        super().send_datagram(to, data)
