"""The fields of a load report, alone or together, as what they say of a call's wait at the node. Without I/O.

Six fields are known (`policy.interface`, Settings.report_fields): `queue` counts the calls that wait;
`in_flight` these and those that run; with `served_per_s` Little's law makes a time of it (held = rate x
time); `service_ms` is a time already, of answers lately; `utilization` alone says only that nothing waits,
where it is under `FULL`; `errors_per_s` says nothing of a wait.
"""

from __future__ import annotations

MOST = 1e6  # calls, or ms: what is beyond is no node's
FULL = 0.9  # of a node's cores: under that, nothing waits for long
MIN_RATE = 0.1  # answers a second, under which no time is made of a rate


class Figure:
    """What one report comes to: calls that wait, or ms that a call takes there; -1 for what is not told."""

    __slots__ = ("took_ms", "waiting")

    def __init__(self, waiting: float = -1.0, took_ms: float = -1.0) -> None:
        self.waiting, self.took_ms = waiting, took_ms

    @property
    def said(self) -> bool:
        """Whether anything was told."""
        return self.waiting >= 0.0 or self.took_ms >= 0.0


class Reader:
    """Reads reports with these fields; `useful` is False where none of them tells of a wait."""

    def __init__(self, fields: tuple[str, ...]) -> None:
        place = {name: i for i, name in enumerate(fields)}
        self.size = len(fields)
        self.queue, self.in_flight = place.get("queue", -1), place.get("in_flight", -1)
        self.rate, self.service = place.get("served_per_s", -1), place.get("service_ms", -1)
        self.utilization = place.get("utilization", -1)
        self.useful = max(self.queue, self.in_flight, self.service, self.utilization) >= 0

    def read(self, report: tuple[float, ...], cores: float) -> Figure:
        """What a report says; `cores`: how many calls such a node runs at once, as far as is known.

        One of another length, or with a figure that no node has (NaN, infinite, negative, beyond MOST), says
        nothing.
        """
        if len(report) != self.size:
            return Figure()
        for value in report:
            if not 0.0 <= value <= MOST:  # NaN is in no range
                return Figure()
        if self.queue >= 0:
            return Figure(report[self.queue])
        if self.in_flight >= 0:
            held = report[self.in_flight]
            if self.rate >= 0 and report[self.rate] >= MIN_RATE and held > 0.0:
                return Figure(took_ms=1000.0 * held / report[self.rate])
            return Figure(max(0.0, held - cores))
        if self.service >= 0:
            return Figure(took_ms=report[self.service])
        if self.utilization >= 0 and report[self.utilization] < FULL:
            return Figure(0.0)
        return Figure()
