"""The `outbound` address: clients' connections, and their end when this process shuts down.

Source: PROTOCOL, "How clients arrive"; RULES, LOST.
"""

from __future__ import annotations

from honeywharf.sidecar.client_connection import ClientConnection
from honeywharf.sidecar.disconnects import DisconnectCounters

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.mesh_config.routes import Route
    from honeywharf.sidecar.mesh_state import MeshStateReplica
    from honeywharf.sidecar.source import Source
    from honeywharf.transport.host import Address, Connection, Handler, Host

MAX_REJECTING_SHARE = 0.25  # share of the time from SIGTERM to the end in which requests may be rejected
RESTART_S = 1.0  # from the end of one process of this program until the next one serves
MAX_CONNECTIONS = 3000


class Outbound:
    """Listens at the `outbound` address and keeps clients' connections."""

    def __init__(self, host: Host, address: Address, mesh_state: MeshStateReplica, source: Source) -> None:
        self.host, self.address, self.mesh_state, self.source = host, address, mesh_state, source
        self.clients: dict[ClientConnection, None] = {}
        self.disconnects = DisconnectCounters()
        self.draining = False
        self.rejecting_s = 0.0  # longest time before the end of this process in which requests are rejected
        host.listen(address, self._accept)

    def _accept(self, connection: Connection) -> Handler:
        client = ClientConnection(self, connection)
        self.clients[client] = None
        if len(self.clients) > MAX_CONNECTIONS:
            connection.abort()
        return client

    def drain(self, end_at: float = float("inf")) -> None:
        """Starts shutting down: this process ends at `end_at`, and answers close their connections."""
        self.draining, self.source.end_at = True, end_at
        self.rejecting_s = MAX_REJECTING_SHARE * (end_at - self.host.now())

    def ends_before(self, now: float, route: Route) -> bool:
        """Whether this process is likely to end before a request that begins now has its answer."""
        return now + min(route.latency_target_s, self.rejecting_s) > self.source.end_at

    def restart_wait_s(self, now: float) -> float:
        """Returns the seconds after which the next process of this program is likely to serve."""
        return max(0.0, self.source.end_at - now) + RESTART_S

    def finish(self) -> None:
        """Gives every request under way its final answer, as this process ends now."""
        retry_after_s = self.restart_wait_s(self.host.now())
        for request in list(self.source.active_requests):
            request.finish(retry_after_s)

    def close_idle(self) -> None:
        """Closes connections without a request under way."""
        for client in list(self.clients):
            client.close_idle()

    def close(self) -> None:
        """Stops listening."""
        self.host.stop_listening(self.address)
