"""Load control of one proxy by load reports, behind the decision module's interface. Without I/O.

Two values relate calls to times and are learned from answers: `wait_per_call_ms`, the wait that each waiting
call adds for the next one (a node's service time over its cores), and from it the number of calls that a node
runs at once. The calls that a node can hold without a wait past the reference follow by Little's law. `hold`
is this proxy's share of them, times `HOLD_MARGIN`; it bounds the calls that a proxy may send before the next
report can show them.
"""

from __future__ import annotations

from honeywharf.policy import interface as api
from honeywharf.reports.fields import ReportReader
from honeywharf.reports.node import NodeReports
from honeywharf.reports.zone_load import ZoneLoad

INITIAL_CORES = 2.0  # a node's assumed cores until their number is learned from answers
MAX_CORES = 64.0
MIN_SAMPLE_WEIGHT = 0.02  # the least weight of one answer in `wait_per_call_ms`
PRIOR_SAMPLES = 3  # the weight of the initial estimate, in answers
MIN_WAITING = 1.0  # waiting calls from which an answer gives a sample of `wait_per_call_ms`
HOLD_MARGIN = 1.0  # factor on a proxy's even share of the calls in flight
# Answers averaged for the service time, and answers over which the base time rises.
SERVICE_SAMPLES, BASE_RISE_SAMPLES = 30, 300.0
IDLE_WAIT_PART = 0.25  # a node counts as idle if its wait is under this part of `wait_per_call_ms`
MAX_WAIT_AGE_MS = 4000.0  # an older wait of a node does not reduce its share
MIN_SHARE = 0.1
# The answer time without overload, in base times and in latency targets.
UNLOADED_BASE_TIMES, MIN_TARGET_PART = 1.35, 0.3
MIN_REFERENCE_MS = 5.0


class LoadReports:
    """Load control of one proxy. Times are ms on a monotonic clock."""

    def __init__(self, settings: api.Settings) -> None:
        self.reader = ReportReader(settings.report_fields)
        self.proxy_share = min(1.0, settings.zones / settings.balancers)
        self.nodes: dict[str, NodeReports] = {}  # bounded: `listed` removes endpoints that are not listed
        self.zone_loads: dict[str, ZoneLoad] = {}  # as many as there are zones
        self.started: dict[str, float | None] = {}
        self.wait_per_call_ms = self.base_ms = self.reference_ms = self.service_ms = 0.0
        self.wait_samples = 0
        self.service_samples = 0  # answers that `service_ms` is the mean of
        self.counts = {"heard": 0, "no figure": 0, "doubted": 0, "late": 0}

    def listed(self, started: dict[str, float | None]) -> None:
        """Drops endpoints that left the list or have restarted; `started`: start times by endpoint."""
        for name in [n for n in self.nodes if n not in started or started[n] != self.started.get(n)]:
            del self.nodes[name]
        self.started = started

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
        """Records a report; `elapsed_ms`: the time of the answer that it came with, negative without one.

        `base_ms`: the answer time of unloaded servers; `target_ms`: the time that a zone's answers may take.
        """
        if not base_ms > 0.0:
            return
        if self.wait_per_call_ms == 0.0:
            self.wait_per_call_ms = base_ms / INITIAL_CORES
        if self.service_samples < SERVICE_SAMPLES:
            self.base_ms = base_ms
        base_ms = self.base_ms
        self.reference_ms = max(
            MIN_REFERENCE_MS, UNLOADED_BASE_TIMES * base_ms - base_ms, MIN_TARGET_PART * target_ms - base_ms
        )
        load = self.reader.read(report, base_ms / self.wait_per_call_ms)
        if not load.informative:
            self.counts["no figure"] += 1
            return
        self.counts["heard"] += 1
        value = load.waiting if load.waiting >= 0.0 else load.call_ms
        wait = load.waiting * self.wait_per_call_ms if load.waiting >= 0.0 else max(0.0, value - base_ms)
        node = self.nodes.get(endpoint)
        if node is None:
            node = self.nodes[endpoint] = NodeReports()
        if elapsed_ms >= 0.0 and value == 0.0 and node.wait_ms < IDLE_WAIT_PART * self.wait_per_call_ms:
            # The answer time of an idle node is the service time.
            self.service_samples += 1
            self.service_ms += (elapsed_ms - self.service_ms) / min(SERVICE_SAMPLES, self.service_samples)
            if self.service_samples == SERVICE_SAMPLES:
                self.base_ms = self.service_ms
            elif self.service_samples > SERVICE_SAMPLES:
                risen = self.base_ms + (self.service_ms - self.base_ms) / BASE_RISE_SAMPLES
                self.base_ms = min(self.service_ms, risen)
        if elapsed_ms >= 0.0:
            # The call met an earlier queue than the reported one: the mean of both waits is expected.
            before = node.wait_ms if node.weight(now) > 0.0 else wait
            node.compare(elapsed_ms / (base_ms + 0.5 * (before + wait)))
            if load.waiting >= MIN_WAITING and node.trusted:
                sample_ms = min(base_ms, max(base_ms / MAX_CORES, (elapsed_ms - base_ms) / load.waiting))
                self.wait_samples += 1
                self.wait_per_call_ms += (sample_ms - self.wait_per_call_ms) * max(
                    MIN_SAMPLE_WEIGHT, 1.0 / (self.wait_samples + PRIOR_SAMPLES)
                )
        node.record_report(now, value, wait)
        zone_load = self.zone_loads.get(zone)
        if zone_load is None:
            zone_load = self.zone_loads[zone] = ZoneLoad(self.proxy_share)
        if elapsed_ms >= 0.0:
            zone_load.age.add(now, max(0.0, elapsed_ms - base_ms), wait, self.reference_ms)
        weight = node.weight(now)
        self.counts["late"] += zone_load.age.late
        self.counts["doubted"] += weight == 0.0
        zone_load.record_report(now, wait, self.reference_ms, weight)

    def note_limited(self, zone: str, binds: bool) -> None:
        """Notes whether the zone's bound has rejected a call since the last note."""
        zone_load = self.zone_loads.get(zone)
        if zone_load is not None and binds:
            zone_load.binds = True

    def admitted_factor(self, now: float, zone: str, away: bool) -> float:
        """Returns the factor on `hold` for calls of the own zone, or of others if `away`.

        The factor is negative where nothing is known of the zone.
        """
        zone_load = self.zone_loads.get(zone)
        if zone_load is None or not zone_load.known(now):
            return -1.0
        return zone_load.away.value if away else zone_load.own.value

    def share(self, now: float, endpoint: str) -> float:
        """Returns the factor on an endpoint's weight: under 1 if its own queue is far too long."""
        node = self.nodes.get(endpoint)
        if node is None or node.wait_ms <= 2.0 * self.reference_ms or not node.trusted:
            return 1.0
        age = now - node.at_ms
        if age > MAX_WAIT_AGE_MS:
            return 1.0
        return max(MIN_SHARE, 2.0 * self.reference_ms / node.wait_ms)

    def hold(self) -> float:
        """Returns the calls that this proxy may hold for each warm server of a zone with known load."""
        if self.wait_per_call_ms == 0.0:
            return 0.0
        return HOLD_MARGIN * self.proxy_share * (self.base_ms + self.reference_ms) / self.wait_per_call_ms

    def drain_ms(self, now: float) -> float:
        """Returns how long the shortest known queue takes to drain to its reference."""
        waits = [zone_load.wait_ms for zone_load in self.zone_loads.values() if zone_load.known(now)]
        return max(0.0, min(waits) - self.reference_ms) if waits else 0.0
