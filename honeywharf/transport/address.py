"""Addresses in the text form that memberships, leases and backends use, "ip:port"."""

from __future__ import annotations

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywharf.transport.host import Address


def format_address(address: Address) -> str:
    """Formats an address as "ip:port"."""
    return f"{address[0]}:{address[1]}"


def parse_address(text: str) -> Address:
    """Parses the result of `format_address`. Raises ValueError if the text is not an address."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)


def ipv4_of(address: object) -> str:
    """Returns the IPv4 address in a received "ip:port"; empty for anything else."""
    ip = address.rpartition(":")[0] if isinstance(address, str) else ""
    return ip if ip.count(".") == 3 and ip.replace(".", "").isdigit() else ""


def redirect_line(ip: str, port: int, path: bytes) -> bytes:
    """Returns the header line of a 307 that sends a caller to the same path at another machine."""
    return f"Location: http://{ip}:{port}".encode() + path + b"\r\n"


def format_addresses(addresses: Iterable[Address]) -> list[str]:
    """Formats several addresses as "ip:port"."""
    return [format_address(address) for address in addresses]
