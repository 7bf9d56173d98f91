"""The `outbound` address: clients' connections, and how they end when this process does.

Source: PROTOCOL, "How clients arrive"; RULES, LOST.
"""

from __future__ import annotations

from honeywharf.sidecar.client_connection import ClientConnection
from honeywharf.sidecar.disconnects import DisconnectCounters

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.mesh_config.routes import Route
    from honeywharf.sidecar.mesh_state import Word
    from honeywharf.sidecar.source import Source
    from honeywharf.transport.host import Address, Connection, Handler, Host

LAST_PART = 0.25  # of the time from SIGTERM to the end, in which requests are refused at most
SUCCESSOR_S = 1.0  # from the end of one process of this program until the next one serves
MAX_CONNECTIONS = 3000


class Outbound:
    """Where clients come: the `outbound` address."""

    def __init__(self, host: Host, address: Address, word: Word, source: Source) -> None:
        self.host, self.address, self.word, self.source = host, address, word, source
        self.clients: dict[ClientConnection, None] = {}
        self.disconnects = DisconnectCounters()
        self.draining = False
        self.last_s = 0.0  # before the end of this process, in which requests are refused at most
        host.listen(address, self._accept)

    def _accept(self, connection: Connection) -> Handler:
        client = ClientConnection(self, connection)
        self.clients[client] = None
        if len(self.clients) > MAX_CONNECTIONS:
            connection.abort()
        return client

    def drain(self, end_at: float = float("inf")) -> None:
        """This process ends at `end_at`: answers close their connections."""
        self.draining, self.source.end_at = True, end_at
        self.last_s = LAST_PART * (end_at - self.host.now())

    def ends_before(self, now: float, route: Route) -> bool:
        """Whether this process is likely to end before a request that begins now has its answer."""
        return now + min(route.latency_target_s, self.last_s) > self.source.end_at

    def return_s(self, now: float) -> float:
        """Seconds after which the next process of this program may serve a client that returns."""
        return max(0.0, self.source.end_at - now) + SUCCESSOR_S

    def finish(self) -> None:
        """This process ends now: every request under way gets its final answer."""
        again_s = self.return_s(self.host.now())
        for course in list(self.source.courses):
            course.finish(again_s)

    def close_idle(self) -> None:
        """Close connections on which nothing is owed."""
        for client in list(self.clients):
            client.close_idle()

    def close(self) -> None:
        """Take no further connections."""
        self.host.stop_listening(self.address)
