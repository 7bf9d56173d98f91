"""Selects the gateway for a session.

Gateways of regions that may not store the body are excluded. Of the others, those that are advertised,
connected and near are preferred, and of two equal ones the one with less load. Only machines of the allowed
regions of a request, if it has any, and of the client's own region may store its body.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

SUSPECT_S = 2.0  # A gateway that failed ranks last for this time.
MAX_GATEWAYS = 256


class Gateway:
    """A gateway as a source knows it. `load` is its number of sessions by its last STATE frame."""

    __slots__ = ("is_advertised", "is_connected", "load", "node", "region", "suspect_until", "zone")

    def __init__(self, node: str, region: str, zone: str) -> None:
        self.node, self.region, self.zone = node, region, zone
        self.load = 0
        self.is_connected = False  # True once a STATE frame has arrived on the present link.
        self.is_advertised = True
        self.suspect_until = 0.0


def may_hold_body(region: str, origin: str, allowed_regions: Iterable[str]) -> bool:
    """Returns whether a machine of a region may hold a body from a client in region `origin`."""
    allowed_regions = tuple(allowed_regions)
    return not allowed_regions or region in allowed_regions or region == origin


def rank(gateway: Gateway, now: float, zone: str, region: str) -> tuple[bool, bool, int]:
    """Ranks a gateway, smaller is better: advertised, not suspect, near (own zone, own region, other)."""
    distance = 0 if gateway.zone == zone else 1 if gateway.region == region else 2
    return (not gateway.is_advertised, now < gateway.suspect_until or not gateway.is_connected, distance)


def choose(
    gateways: Iterable[Gateway],
    now: float,
    zone: str,
    region: str,
    allowed_regions: Iterable[str],
    avoid: str,
    draw: Callable[[], float],
) -> Gateway | None:
    """Returns the gateway for a session's next path; None if the allowed regions exclude all.

    `avoid` is the gateway just left: it is used again only if there is no other. Of the gateways of the
    best rank two are drawn at random, and the one with less load is returned. `draw` returns uniform random
    numbers in [0, 1).
    """
    usable = [each for each in gateways if may_hold_body(each.region, region, allowed_regions)]
    if not usable:
        return None
    ranks = {each.node: (each.node == avoid, rank(each, now, zone, region)) for each in usable}
    # A draining or suspect gateway ranks behind the one just left, if that one is neither.
    best = min(ranks.values(), key=lambda r: (r[1][:2], r[0], r[1][2]))
    same = [each for each in usable if ranks[each.node] == best]
    first, second = same[int(draw() * len(same))], same[int(draw() * len(same))]
    return first if first.load <= second.load else second
