"""Simulated partitions: which machines reach each other, and a connection between separated machines."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from honeywharf.transport.host import Address, Connection, Handler, Timer

Zones = frozenset[str]
TIMEOUT = "timeout"


class Reach:
    """Machines reach each other unless they are in two groups of zones that a partition separates.

    `zone_of` returns the zone of an address of the fleet.
    """

    def __init__(self, zone_of: Callable[[str], str]) -> None:
        self._zone_of = zone_of
        self._sides: tuple[Zones, Zones] | None = None

    def separate(self, first: Zones, second: Zones) -> None:
        """Separates two groups of zones; removes the partition where one of them is empty."""
        self._sides = (first, second) if first and second else None

    def separates(self, ip: str, other: str) -> bool:
        """Returns whether the partition separates two machines."""
        if self._sides is None:
            return False
        first, second = self._sides
        zone, other_zone = self._zone_of(ip), self._zone_of(other)
        return (zone in first and other_zone in second) or (zone in second and other_zone in first)


class Unreachable:
    """A connection between separated machines, which is closed after the connect time-out."""

    unsent = 0

    def __init__(
        self,
        after: Callable[[float, Callable[[], None]], Timer],
        to: Address,
        handler: Callable[[Connection], Handler],
        within: float,
    ) -> None:
        self.peer = to
        self._after = after
        self._handler = handler(self)
        self._timer = after(within, lambda: self._handler.closed(TIMEOUT))

    def send(self, data: bytes) -> None:
        """Drops the data."""

    def close(self) -> None:
        """Cancels the connection attempt."""
        self.abort()

    def abort(self) -> None:
        """Cancels the connection attempt; `closed` is called afterwards."""
        self._timer.cancel()
        self._after(0.0, lambda: self._handler.closed(""))

    def pause(self) -> None:
        """Does nothing: no data arrives."""

    def resume(self) -> None:
        """Does nothing: no data arrives."""

    def watch_half_close(self, call: Callable[[], None]) -> None:
        """Does nothing: no data arrives."""

    def tolerate_unread(self) -> None:
        """Does nothing: nothing is sent."""

    def watch_delivery(self, call: Callable[[], None]) -> None:
        """Does nothing: nothing is sent."""
