"""Several protocols' transports behind one: each endpoint is known to the one of its scheme."""

from __future__ import annotations

from honeywharf.core.transport import Transport, UpstreamRequest


class Routes:
    """A transport of transports. Discovery tells each of them of the endpoints of its scheme."""

    def __init__(self, *ways: Transport) -> None:
        self.ways = ways

    def _way(self, endpoint: str) -> Transport | None:
        for way in self.ways:
            if way.known(endpoint):
                return way
        return None

    def known(self, endpoint: str) -> bool:
        """Whether a list has named the endpoint."""
        return self._way(endpoint) is not None

    def start(self, call: UpstreamRequest) -> None:
        """Carry the call by the endpoint's way."""
        way = self._way(call.endpoint)
        assert way is not None
        way.start(call)

    def abort(self, call: UpstreamRequest) -> None:
        """Give the call up. Its endpoint may be gone, so each is asked, and that which carries it acts."""
        for way in self.ways:
            way.abort(call)

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""
        way = self._way(endpoint)
        if way is not None:
            way.close_idle(endpoint)
