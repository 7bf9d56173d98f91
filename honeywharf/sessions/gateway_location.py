"""A gateway as settings name it."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.transport.host import Address


class GatewayLocation:
    """The listen address, region and zone of one gateway."""

    __slots__ = ("address", "node", "region", "zone")

    def __init__(self, address: Address, region: str, zone: str) -> None:
        self.address, self.region, self.zone = address, region, zone
        self.node = f"{address[0]}:{address[1]}"
