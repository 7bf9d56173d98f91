"""CoAP as a component of a running proxy: for clients, nodes, or both."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from honeywharf.core.components import Component, ProxyContext
from honeywharf.core.transport import address

if TYPE_CHECKING:
    from honeywharf.coap.backend import Pool
    from honeywharf.coap.front import Front
    from honeywharf.config.features import Coap


class CoapPart(Component):
    """The front for CoAP clients and the transport to CoAP nodes, as far as configured."""

    def __init__(self, proxy: ProxyContext, features: Coap) -> None:
        self.front: Front | None = None
        self.pool: Pool | None = None
        if features.nodes:
            from honeywharf.coap.backend import Pool

            self.pool = pool = Pool(proxy.loop, proxy.clock, features.nstart, features.probing_rate)
            proxy.add_transport("coap", pool, pool)
        if features.listen:
            from honeywharf.coap.front import Front

            self.front, self.listen_address = (
                Front(proxy.loop, proxy.clock, proxy.driver),
                address(features.listen),
            )

    async def start(self) -> str:
        """Opens the socket of the front."""
        if self.front is None:
            return ""
        host, port = await self.front.listen(self.listen_address)
        return f"listens for CoAP on {host}:{port}"

    def drain(self) -> None:
        """Rejects new requests from now on."""
        if self.front is not None:
            self.front.draining = True

    def has_pending_answers(self) -> bool:
        """Returns whether an exchange is open."""
        return self.front is not None and bool(self.front.layer.open_count_by_peer)

    def counts(self) -> Mapping[str, int]:
        """Returns the counters of the message layers: those of the clients, and the sums over the nodes."""
        counts = dict(self.front.layer.counts) if self.front is not None else {}
        if self.pool is not None:
            counts["coap:node starts"] = self.pool.process_starts
            counts["coap:probes held back"] = sum(n.client.probes_held_back for n in self.pool.nodes.values())
        return counts

    def close(self) -> None:
        """Closes the socket of the front."""
        if self.front is not None:
            self.front.close()
