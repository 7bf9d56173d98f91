"""The `outbound` address: clients' connections, and their end when this process shuts down.

Source: PROTOCOL, "How clients arrive"; RULES, LOST.
"""

from __future__ import annotations

from honeywharf.sidecar.client_connection import ClientConnection
from honeywharf.sidecar.disconnects import DisconnectCounters

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.sidecar.mesh_state import MeshStateReplica
    from honeywharf.sidecar.source import Source
    from honeywharf.transport.host import Address, Connection, Handler, Host

MAX_CONNECTIONS = 3000


class Outbound:
    """Listens at the `outbound` address and keeps clients' connections."""

    def __init__(self, host: Host, address: Address, mesh_state: MeshStateReplica, source: Source) -> None:
        self.host, self.address, self.mesh_state, self.source = host, address, mesh_state, source
        self.clients: dict[ClientConnection, None] = {}
        self.disconnects = DisconnectCounters()
        self.draining = False
        host.listen(address, self._accept)

    def _accept(self, connection: Connection) -> Handler:
        client = ClientConnection(self, connection)
        self.clients[client] = None
        if len(self.clients) > MAX_CONNECTIONS:
            connection.abort()
        return client

    def drain(self) -> None:
        """Starts shutting down: answers close their connections from now on."""
        self.draining = True

    def finish(self) -> None:
        """Gives every request under way its final answer, as this process ends now."""
        retry_after_s = self.source.lifetime.restart_wait_s(self.host.now())
        for request in list(self.source.active_requests):
            request.finish(retry_after_s)

    def close_idle(self) -> None:
        """Closes connections without a request under way."""
        for client in list(self.clients):
            client.close_idle()

    def close(self) -> None:
        """Stops listening."""
        self.host.stop_listening(self.address)
