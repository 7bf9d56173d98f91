"""The interface of load control by the nodes' reports, as the decision module uses it."""

from __future__ import annotations

from typing import Protocol


class LoadControl(Protocol):
    """Bounds the calls in flight by the nodes' load reports (`honeywharf.reports`)."""

    def listed(self, started: dict[str, float | None]) -> None:
        """Takes the listed endpoints with their start times; the reports of others are dropped."""

    def record_report(
        self,
        now: float,
        endpoint: str,
        zone: str,
        report: tuple[float, ...],
        elapsed_ms: float,
        base_ms: float,
        target_ms: float,
    ) -> None:
        """Records a report; `elapsed_ms`: the time of the answer that it came with, negative without one."""

    def note_limited(self, zone: str, binds: bool) -> None:
        """Notes whether the zone's bound has rejected a call since the last note."""

    def admitted_factor(self, now: float, zone: str, away: bool) -> float:
        """Returns the factor on `hold` for calls of the own zone, or of others if `away`.

        The factor is negative where nothing is known.
        """

    def hold(self) -> float:
        """Returns the calls that this balancer may have in flight per unit of a zone's capacity."""

    def share(self, now: float, endpoint: str) -> float:
        """Returns the factor on an endpoint's weight."""

    def drain_ms(self, now: float) -> float:
        """Returns how long the shortest queue takes to drain."""
