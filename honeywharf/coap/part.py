"""CoAP as a part of a running proxy: clients, nodes, or both."""

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
    """The front where clients may come, and the transport where nodes may be asked."""

    def __init__(self, proxy: ProxyContext, features: Coap) -> None:
        self.front: Front | None = None
        self.pool: Pool | None = None
        if features.nodes:
            from honeywharf.coap.backend import Pool

            self.pool = pool = Pool(proxy.loop, proxy.clock, features.nstart, features.probing_rate)
            proxy.add_transport("coap", pool, pool)
        if features.listen:
            from honeywharf.coap.front import Front

            self.front, self.where = Front(proxy.loop, proxy.clock, proxy.driver), address(features.listen)

    async def start(self) -> str:
        """Listen."""
        if self.front is None:
            return ""
        host, port = await self.front.listen(self.where)
        return f"listens for CoAP on {host}:{port}"

    def drain(self) -> None:
        """Refuse what is new."""
        if self.front is not None:
            self.front.draining = True

    def has_pending_answers(self) -> bool:
        """Whether an exchange is open."""
        return self.front is not None and bool(self.front.layer.open_of)

    def counts(self) -> Mapping[str, int]:
        """What the message layers have counted: that of clients, and those of nodes together."""
        counts = dict(self.front.layer.counts) if self.front is not None else {}
        if self.pool is not None:
            counts["coap:node starts"] = self.pool.starts
            counts["coap:probes held back"] = sum(n.client.held_back for n in self.pool.nodes.values())
        return counts

    def close(self) -> None:
        """Close the socket."""
        if self.front is not None:
            self.front.close()
