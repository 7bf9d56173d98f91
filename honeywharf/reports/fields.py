"""Interprets the fields of a load report as a call's wait at the node. Without I/O.

Six fields are known (`policy.interface`, Settings.report_fields): `queue` counts the waiting calls;
`in_flight` counts waiting and running calls, and with `served_per_s` gives a time by Little's law (calls in
flight = rate x time); `service_ms` is the time of recent answers; `utilization` alone shows only that no call
waits, if it is under `FULL_UTILIZATION`; `errors_per_s` shows nothing of a wait.
"""

from __future__ import annotations

MAX_VALUE = 1e6  # calls or ms; a larger value is invalid
FULL_UTILIZATION = 0.9  # part of a node's cores; under it, no call waits for long
MIN_RATE_PER_S = 0.1  # a smaller rate is too uncertain for a time by Little's law


class ReportedLoad:
    """The load in one report: waiting calls, or the ms that a call takes; -1 where not reported."""

    __slots__ = ("call_ms", "waiting")

    def __init__(self, waiting: float = -1.0, call_ms: float = -1.0) -> None:
        self.waiting, self.call_ms = waiting, call_ms

    @property
    def informative(self) -> bool:
        """Whether the report shows the load."""
        return self.waiting >= 0.0 or self.call_ms >= 0.0


class ReportReader:
    """Reads reports with the given fields; `useful` is False if none of them shows a wait."""

    def __init__(self, fields: tuple[str, ...]) -> None:
        place = {name: i for i, name in enumerate(fields)}
        self.size = len(fields)
        self.queue, self.in_flight = place.get("queue", -1), place.get("in_flight", -1)
        self.rate, self.service = place.get("served_per_s", -1), place.get("service_ms", -1)
        self.utilization = place.get("utilization", -1)
        self.useful = max(self.queue, self.in_flight, self.service, self.utilization) >= 0

    def read(self, report: tuple[float, ...], cores: float) -> ReportedLoad:
        """Returns the load in a report; `cores`: how many calls the node is estimated to run at once.

        A report of another length, or with an invalid value (NaN, infinite, negative, over MAX_VALUE), gives
        no load.
        """
        if len(report) != self.size:
            return ReportedLoad()
        for value in report:
            if not 0.0 <= value <= MAX_VALUE:  # NaN is in no range
                return ReportedLoad()
        if self.queue >= 0:
            return ReportedLoad(report[self.queue])
        if self.in_flight >= 0:
            held = report[self.in_flight]
            if self.rate >= 0 and report[self.rate] >= MIN_RATE_PER_S and held > 0.0:
                return ReportedLoad(call_ms=1000.0 * held / report[self.rate])
            return ReportedLoad(max(0.0, held - cores))
        if self.service >= 0:
            return ReportedLoad(call_ms=report[self.service])
        if self.utilization >= 0 and report[self.utilization] < FULL_UTILIZATION:
            return ReportedLoad(0.0)
        return ReportedLoad()
