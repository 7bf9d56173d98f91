"""A transport that passes each call to the protocol's transport that knows its endpoint."""

from __future__ import annotations

from honeywharf.core.transport import Transport, UpstreamRequest


class TransportRouter:
    """Routes calls to transports. Discovery gives each transport the endpoints of its scheme."""

    def __init__(self, *transports: Transport) -> None:
        self.transports = transports

    def _transport_of(self, endpoint: str) -> Transport | None:
        for transport in self.transports:
            if transport.known(endpoint):
                return transport
        return None

    def known(self, endpoint: str) -> bool:
        """Whether a list from discovery has named the endpoint."""
        return self._transport_of(endpoint) is not None

    def start(self, call: UpstreamRequest) -> None:
        """Sends the call by the transport that knows its endpoint."""
        transport = self._transport_of(call.endpoint)
        assert transport is not None
        transport.start(call)

    def abort(self, call: UpstreamRequest) -> None:
        """Aborts the call at every transport, as discovery may have removed its endpoint by now."""
        for transport in self.transports:
            transport.abort(call)

    def close_idle(self, endpoint: str) -> None:
        """Closes the idle connections to an endpoint."""
        transport = self._transport_of(endpoint)
        if transport is not None:
            transport.close_idle(endpoint)
