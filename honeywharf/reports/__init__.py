"""What nodes say of themselves: load reports as room in zones, the same for all proxies. Rules without I/O.

Theory of operation. Each answer may carry what its node holds, which is the sum over all proxies and more
than any of them can see by itself. From it three things are formed:

    fields     what the fields of a report come to: calls that wait, or a time
    node       one node's figure between reports, and whether its reports are to be believed
    age        how old a zone's reports are, by how they follow its answers' times
    room       one zone: the time that a call waits there, and which part of the arrivals it is open to
    reports    all of one proxy: the decision module's one place to ask and to tell

What a zone is open to is a factor on the calls that this proxy may hold there, its even part of what fits by
Little's law. Every proxy that sees the same wait moves by the same factor, so that all together move as one
would, whatever their number: nobody has to know the others (the known harm of stale reports is that all fill
the same gap at once: Mitzenmacher 2000, Dahlin 1999). The factor is moved by a proportional and an integral
term on the wait, as PIE moves its drop probability (RFC 8033, 4.2).

Reports bound; they never rank, and never let in what a limit learned from answers keeps out: opened by what
nodes say alone, fleets whose reports come seconds late are overrun (docs/design/reports.md). A level's
servers are chosen from evenly at random as without them. Where the answers' own times do not bear the
reports out, or none come, nothing is said, and the decision module does what it does without (`open` is
under 0).
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
    """The load reports that one proxy hears."""

    def __init__(self, loads: LoadReports) -> None:
        self.loads = loads

    def counts(self) -> Mapping[str, int]:
        """Reports heard, those that say nothing, and those that are not believed."""
        return {f"reports:{k}": v for k, v in self.loads.counts.items()}


def attach(proxy: ProxyContext) -> Component:
    """Let the proxy's decision module read what nodes say; ValueError where they say nothing of load."""
    settings = proxy.driver.settings
    loads = LoadReports(settings)
    if not loads.reader.useful:
        told = ", ".join(settings.report_fields) or "no fields"
        raise ValueError(
            f"reports.on: found reports with {told}, wanted one of queue, in_flight, service_ms, utilization"
        )
    proxy.balancer.choice.loads = loads
    return ReportsPart(loads)
