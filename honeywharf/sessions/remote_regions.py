"""The sessions of a sidecar whose settings name gateways; other sidecars do not load this package.

The program creates them with `regions_from_settings`. The sidecar's source calls `is_remote` for a zone
before it uses a direct link.
"""

from __future__ import annotations

from honeywharf.sessions.body_quota import BodyQuota
from honeywharf.sessions.destination import Destination
from honeywharf.sessions.gateway_location import GatewayLocation
from honeywharf.sessions.send_scheduler import LINK_MBPS
from honeywharf.sessions.session_client import SessionClient

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any, Protocol

    from honeywharf.sessions.session_client import ClientSession
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.stream import ForwardedRequest, RequestHandler, ResponseHandler

    class Settings(Protocol):
        """The settings of a sidecar that this module reads."""

        gateways: list[tuple[Address, str, str]]
        ip: str
        link_mbps: float
        memory_mb: float
        internal_ports: tuple[int, int]
        zone: str
        zones: dict[str, str]


BODY_MEMORY_SHARE = 0.25  # The part of a sidecar's memory for incomplete bodies.


class RemoteRegions:
    """Sends requests of one sidecar to other regions, and receives those of other regions.

    `port`: the first of the internal ports; sessions are accepted at the next. `zones`: region by zone.
    `begin`: as `sidecar.inbound.Inbound.begin`.
    """

    def __init__(
        self,
        host: Host,
        ip: str,
        port: int,
        zone: str,
        zones: dict[str, str],
        gateways: list[GatewayLocation],
        begin: Callable[[ForwardedRequest, Any], RequestHandler | None],
        draw: Callable[[], float],
        memory_mb: float = 300.0,
        link_mbps: float = LINK_MBPS,
    ) -> None:
        self.zones, self.region = zones, zones.get(zone, "")
        self.destination = Destination(
            host,
            (ip, port + 1),
            self.region,
            begin,
            BodyQuota(int(memory_mb * BODY_MEMORY_SHARE) << 20),
            link_mbps,
        )
        self.session_client = SessionClient(host, self.region, zone, gateways, draw, link_mbps=link_mbps)

    def reject_outlasting(self, is_outlasted: Callable[[float], bool]) -> None:
        """Rejects new sessions here with a deadline for which `is_outlasted` holds (in s, steady clock)."""
        self.destination.receivers.is_outlasted = is_outlasted

    def is_remote(self, zone: str) -> bool:
        """Returns whether a zone is in another region; an unknown zone counts as local."""
        return self.zones.get(zone, self.region) != self.region

    def open(
        self,
        key: str,
        forwarded: ForwardedRequest,
        response_handler: ResponseHandler,
        allowed_regions: tuple[str, ...] = (),
    ) -> ClientSession | None:
        """Opens a session to a sidecar of another region; None where there are too many.

        `allowed_regions`: the regions that may run the request and hold its body; any may if it is empty.
        """
        return self.session_client.open(key, forwarded, response_handler, forwarded.caller, allowed_regions)


def regions_from_settings(
    host: Host,
    settings: Settings,
    begin: Callable[[ForwardedRequest, Any], RequestHandler | None],
    draw: Callable[[], float],
) -> RemoteRegions:
    """Creates the sessions of a sidecar from its settings."""
    return RemoteRegions(
        host,
        settings.ip,
        settings.internal_ports[0],
        settings.zone,
        settings.zones,
        [GatewayLocation(*each) for each in settings.gateways],
        begin,
        draw,
        settings.memory_mb,
        link_mbps=settings.link_mbps,
    )
