"""Load control by the nodes' load reports. Rules without I/O.

Theory of operation. Each answer may carry its node's load, which is the sum over all proxies and more than
any of them can see by itself.

    fields       interprets a report's fields as waiting calls or as a time
    node         one node's wait between reports, and whether its reports are trusted
    age          how old a zone's reports are, by the lag with which they follow answer times
    zone_load    one zone: the wait of a call there, and the factor on the calls admitted to it
    reports      joins these parts for the decision module

A zone's factor multiplies the calls that this proxy may hold there, its even share of what fits by Little's
law. Every proxy that sees the same wait changes its factor alike, and all together act as one proxy would,
whatever their number, without knowing each other. This avoids the known harm of stale reports, that all
proxies fill the same gap at once (Mitzenmacher 2000, Dahlin 1999). A proportional and an integral term on the
wait change the factor, as in PIE's drop probability (RFC 8033, 4.2).

Reports only lower limits. They never rank servers, and never admit calls that a limit learned from answers
refuses: nodes whose reports are seconds late would be overloaded (docs/design/reports.md). The servers of a
level are picked evenly at random, as without reports. If answer times contradict the reports, or no reports
come, the factor is negative and the decision module works as without reports.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from honeywharf.core.components import Component
from honeywharf.reports.reports import LoadReports

if TYPE_CHECKING:
    from honeywharf.core.components import ProxyContext

__all__ = ["LoadReports", "ReportsPart", "attach"]


class ReportsPart(Component):
    """The load reports that one proxy receives."""

    def __init__(self, loads: LoadReports) -> None:
        self.loads = loads

    def counts(self) -> Mapping[str, int]:
        """Returns counts of the reports that were received, that showed no load, were distrusted, or late."""
        return {f"reports:{k}": v for k, v in self.loads.counts.items()}


def attach(proxy: ProxyContext) -> Component:
    """Attaches load control to the proxy's decision module; ValueError if no report field shows load."""
    settings = proxy.driver.settings
    loads = LoadReports(settings)
    if not loads.reader.useful:
        fields = ", ".join(settings.report_fields) or "no fields"
        raise ValueError(
            f"reports.on: expected one of queue, in_flight, service_ms, utilization, got {fields}"
        )
    proxy.balancer.choice.loads = loads
    return ReportsPart(loads)
