"""Addresses as memberships and leases hold them: "ip:port"."""

from __future__ import annotations

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywharf.transport.host import Address


def format_address(address: Address) -> str:
    """An address as memberships hold it."""
    return f"{address[0]}:{address[1]}"


def parse_address(text: str) -> Address:
    """From `format_address`. ValueError where it is none."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)


def format_addresses(addresses: Iterable[Address]) -> list[str]:
    """Several addresses as memberships hold them."""
    return [format_address(address) for address in addresses]
