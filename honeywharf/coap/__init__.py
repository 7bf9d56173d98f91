"""CoAP (RFC 7252) beside HTTP, on the same core, under the same rules.

Theory of operation, from below: `codecs.coap` turns datagrams into messages, `options` into the core's
requests and back, `blocks` puts long ones together (RFC 7959). `messages` is the message layer of a
server: it tells a request that is new from one that it has had, acknowledges what takes long, and sends
again what got lost. `client` is that of a client towards one node, and knows what each end of a request
proves. None of them has a socket or a clock, and all have their bounds. `front` and `backend` are the
sockets round them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from honeywharf.config.features import Coap
    from honeywharf.core.components import Component, ProxyContext


def attach(proxy: ProxyContext, features: Coap) -> Component:
    """What the file of features asks for, at work in that proxy; ValueError where the address is none."""
    from honeywharf.coap.part import CoapPart

    return CoapPart(proxy, features)
