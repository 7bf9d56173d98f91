"""Which machines reach each other, and what a connection through a partition is."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from honeywharf.transport.host import Address, Connection, Handler, Timer

Zones = frozenset[str]
TIMEOUT = "timeout"


class Reach:
    """All machines reach each other, but for those of two groups of zones that a partition separates.

    `zone_of` gives the zone of an address of the fleet.
    """

    def __init__(self, zone_of: Callable[[str], str]) -> None:
        self._zone_of = zone_of
        self._sides: tuple[Zones, Zones] | None = None

    def part(self, one: Zones, other: Zones) -> None:
        """Separate two groups of zones; nothing is separated where one of them is empty."""
        self._sides = (one, other) if one and other else None

    def separates(self, ip: str, other: str) -> bool:
        """Whether the partition lies between two machines."""
        if self._sides is None:
            return False
        one, two = self._sides
        here, there = self._zone_of(ip), self._zone_of(other)
        return (here in one and there in two) or (here in two and there in one)


class Unreachable:
    """A connection through a partition: nothing is heard until the time for connecting is over."""

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
        """It is lost."""

    def close(self) -> None:
        """Give up."""
        self.abort()

    def abort(self) -> None:
        """Give up; `closed` follows."""
        self._timer.cancel()
        self._after(0.0, lambda: self._handler.closed(""))

    def pause(self) -> None:
        """Nothing comes anyway."""

    def resume(self) -> None:
        """Nothing comes anyway."""

    def watch_half_close(self, call: Callable[[], None]) -> None:
        """Nothing ever comes."""
