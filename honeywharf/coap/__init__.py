"""CoAP (RFC 7252) next to HTTP, on the same core.

Theory of operation, from the bottom up: `codecs.coap` decodes datagrams into messages, `options` converts
messages to requests of the core and back, and `blocks` handles block-wise transfers (RFC 7959). `messages` is
the message layer of a server: it detects duplicates, acknowledges requests that take long, and retransmits
lost responses. `client` is the message layer of a client towards one node, and knows what each end of a
request proves. None of these has a socket or a clock, and all are bounded. `front` and `backend` add the
sockets.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from honeywharf.config.features import Coap
    from honeywharf.core.components import Component, ProxyContext


def attach(proxy: ProxyContext, features: Coap) -> Component:
    """Attaches CoAP to a proxy as configured; ValueError if the address is invalid."""
    from honeywharf.coap.part import CoapPart

    return CoapPart(proxy, features)
