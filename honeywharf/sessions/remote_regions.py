"""What a sidecar needs of this package where its settings name gateways; without them none of it is made.

The program makes it by `joined`; the source asks `far` of the zone before it takes a link of its own region.
"""

from __future__ import annotations

from honeywharf.sessions.body_quota import Hold
from honeywharf.sessions.destination import Landing
from honeywharf.sessions.gateway_location import Place
from honeywharf.sessions.send_scheduler import LINK_MBPS
from honeywharf.sessions.session_client import Conveyor

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any, Protocol

    from honeywharf.sessions.session_client import Carriage
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.stream import ForwardedRequest, RequestHandler, ResponseHandler

    class Settings(Protocol):
        """What is read of a sidecar's settings."""

        gateways: list[tuple[Address, str, str]]
        ip: str
        link_mbps: float
        memory_mb: float
        internal_ports: tuple[int, int]
        zone: str
        zones: dict[str, str]


HOLD_SHARE = 0.25  # of a sidecar's memory, for half-finished bodies


class Abroad:
    """The other regions, as one sidecar reaches them and is reached.

    `port`: the first of the internal ports; sessions land at the next. `zones`: region by zone. `begin`: as
    `sidecar.inbound.Inbound.begin`.
    """

    def __init__(
        self,
        host: Host,
        ip: str,
        port: int,
        zone: str,
        zones: dict[str, str],
        gateways: list[Place],
        begin: Callable[[ForwardedRequest, Any], RequestHandler | None],
        draw: Callable[[], float],
        memory_mb: float = 300.0,
        link_mbps: float = LINK_MBPS,
    ) -> None:
        self.zones, self.region = zones, zones.get(zone, "")
        self.landing = Landing(
            host, (ip, port + 1), self.region, begin, Hold(int(memory_mb * HOLD_SHARE) << 20), link_mbps
        )
        self.conveyor = Conveyor(host, self.region, zone, gateways, draw, link_mbps=link_mbps)

    def far(self, zone: str) -> bool:
        """Whether a zone is of another region; one that is not known is taken as near."""
        return self.zones.get(zone, self.region) != self.region

    def open(
        self,
        key: str,
        ask: ForwardedRequest,
        replies: ResponseHandler,
        homes: tuple[str, ...] = (),
    ) -> Carriage | None:
        """The way to a sidecar of another region; None where there is no room for one more.

        `homes`: the regions that may run it and hold its body; none: any.
        """
        return self.conveyor.open(key, ask, replies, ask.caller, homes)


def joined(
    host: Host,
    settings: Settings,
    begin: Callable[[ForwardedRequest, Any], RequestHandler | None],
    draw: Callable[[], float],
) -> Abroad:
    """The other regions by the gateways of a sidecar's settings."""
    return Abroad(
        host,
        settings.ip,
        settings.internal_ports[0],
        settings.zone,
        settings.zones,
        [Place(*each) for each in settings.gateways],
        begin,
        draw,
        settings.memory_mb,
        link_mbps=settings.link_mbps,
    )
