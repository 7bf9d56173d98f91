"""What tells the decision module of the load that nodes report, beside the limits learned from answers."""

from __future__ import annotations

from typing import Protocol


class LoadControl(Protocol):
    """What `honeywharf.reports` offers, where nodes' reports are read: the room that they tell of."""

    def listed(self, started: dict[str, float | None]) -> None:
        """Those that are listed, and when they started: what others said is forgotten."""

    def heard(
        self,
        now: float,
        endpoint: str,
        zone: str,
        report: tuple[float, ...],
        took_ms: float,
        base_ms: float,
        target_ms: float,
    ) -> None:
        """A report, with an answer that took so long, or under 0 without one."""

    def bound(self, zone: str, binds: bool) -> None:
        """Whether what a zone is open to has kept a call out since this was told last."""

    def open(self, now: float, zone: str, away: bool) -> float:
        """The factor on `hold` for a zone's own calls, or for others'; under 0 where nothing is known."""

    def hold(self) -> float:
        """Calls that this balancer may hold for each unit of a zone's capacity."""

    def share(self, now: float, endpoint: str) -> float:
        """The part of the even choice that an endpoint may get."""

    def drain_ms(self, now: float) -> float:
        """How long the shortest queue takes to come down."""
