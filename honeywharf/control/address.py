"""Addresses as memberships hold them: "ip:port"."""

from __future__ import annotations

from honeywharf.transport.host import Address


def text_of(address: Address) -> str:
    """An address as memberships hold it."""
    return f"{address[0]}:{address[1]}"


def address_of(text: str) -> Address:
    """From `text_of`. ValueError where it is none."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)
