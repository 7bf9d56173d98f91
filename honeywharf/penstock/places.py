"""Gateways as settings name them."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.mains.host import Address

MOST = 256


class Place:
    """One gateway: where it listens, its region and its zone."""

    __slots__ = ("address", "node", "region", "zone")

    def __init__(self, address: Address, region: str, zone: str) -> None:
        self.address, self.region, self.zone = address, region, zone
        self.node = f"{address[0]}:{address[1]}"


def places(found: object) -> list[Place]:
    """Out of a list of `{address: "IP:PORT", region: NAME, zone: NAME}`. ValueError names what is wrong."""
    if not isinstance(found, list) or len(found) > MOST:
        raise ValueError(f"gateways: found {type(found).__name__}, wanted a list of at most {MOST}")
    return [_place(number, each) for number, each in enumerate(found)]


def _place(number: int, each: object) -> Place:
    where = f"gateways[{number}]"
    if not isinstance(each, dict):
        raise ValueError(f"{where}: found {each!r}, wanted address, region and zone")
    texts = [each.get(key) for key in ("address", "region", "zone")]
    for key, text in zip(("address", "region", "zone"), texts, strict=True):
        if not isinstance(text, str) or not text:
            raise ValueError(f"{where}.{key}: found {text!r}, wanted text")
    ip, _, port = str(texts[0]).rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{where}.address: found {texts[0]!r}, wanted an address such as '10.1.0.8:7640'")
    return Place((ip, int(port)), str(texts[1]), str(texts[2]))
