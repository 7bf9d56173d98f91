"""A proxy's counters, gauges and histograms as Prometheus' families. Without sockets.

Names follow the conventions of Prometheus and OpenTelemetry: base units, `_total`, one prefix. The proxy's
counters become `honeywharf_events_total` by `event`; refusals and failures have families of their own.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    InfoMetricFamily,
    Metric,
)
from prometheus_client.openmetrics import exposition
from prometheus_client.samples import Exemplar
from prometheus_client.utils import floatToGoString

from honeywharf.metrics.durations import BOUNDS_S, DurationHistograms

OPEN_METRICS_TYPE = exposition.CONTENT_TYPE_LATEST
PLAIN_TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
REASON_FAMILIES = (
    ("refused:", "honeywharf_refusals", "Requests refused, by the decision module's reason"),
    ("failed:", "honeywharf_failures", "Requests failed, by the decision module's reason"),
)
ZONE_GAUGES = (
    ("limit", "Calls that this proxy may hold in the zone"),
    ("in_flight", "Calls that it holds there"),
    ("ready", "Servers that are ready"),
    ("ejected", "Servers that are out"),
)


class Families:
    """A collector for a registry of `prometheus_client`, which reads the values at each scrape."""

    def __init__(
        self,
        name: str,
        zone: str,
        version: str,
        counts: Callable[[], Mapping[str, int]],
        status: Callable[[], Mapping[str, Any]],
        durations: DurationHistograms,
    ) -> None:
        self.name, self.zone, self.version = name, zone, version
        self.counts, self.status, self.durations = counts, status, durations

    def collect(self) -> Iterable[Metric]:
        """Yields all families with their present values."""
        info = InfoMetricFamily("honeywharf_build", "This proxy")
        info.add_metric((), {"name": self.name, "zone": self.zone, "version": self.version})
        yield info
        yield from self._counted(dict(self.counts()))
        yield from self._gauges(self.status())
        yield self._durations()

    def _counted(self, counts: dict[str, int]) -> Iterable[Metric]:
        for prefix, name, help_text in REASON_FAMILIES:
            family = CounterMetricFamily(name, help_text, labels=("reason",))
            for key in [k for k in counts if k.startswith(prefix)]:
                family.add_metric((key.removeprefix(prefix),), counts.pop(key))
            yield family
        family = CounterMetricFamily("honeywharf_events", "What was done since the start", labels=("event",))
        for key, count in sorted(counts.items()):
            family.add_metric((key,), count)
        yield family

    def _gauges(self, status: Mapping[str, Any]) -> Iterable[Metric]:
        for field, help_text in ZONE_GAUGES:
            family = GaugeMetricFamily(f"honeywharf_zone_{field}", help_text, labels=("zone",))
            for zone in status["zones"]:
                family.add_metric((zone["zone"],), zone[field])
            yield family
        endpoints = GaugeMetricFamily("honeywharf_endpoints", "Servers by state", labels=("state",))
        for state, count in sorted(status["endpoints"].items()):
            endpoints.add_metric((state,), count)
        yield endpoints
        for name, help_text, value in (
            ("honeywharf_requests_open", "Requests that are owed an answer", status["open"]),
            ("honeywharf_retry_budget", "Further attempts that are left", status["retry_budget"]),
            ("honeywharf_ready", "Whether clients may come", float(status["ready"])),
        ):
            yield GaugeMetricFamily(name, help_text, value=value)

    def _durations(self) -> Metric:
        family = HistogramMetricFamily(
            "honeywharf_request_duration_seconds",
            "From a request's arrival to its final answer",
            labels=("class", "end"),
        )
        for (cls, how), histogram in sorted(self.durations.series.items()):
            buckets: list[Any] = []
            total = 0
            for i, count in enumerate(histogram.buckets):
                total += count
                bound = floatToGoString(BOUNDS_S[i]) if i < len(BOUNDS_S) else "+Inf"
                exemplar = histogram.exemplars.get(i)
                buckets.append(
                    (bound, total, None)
                    if exemplar is None
                    else (bound, total, Exemplar({"trace_id": exemplar[0]}, exemplar[1], exemplar[2]))
                )
            family.add_metric((cls, how), buckets, histogram.sum_s)
        return family


def exposition_text(families: Families, open_metrics: bool) -> bytes:
    """Returns the metrics as OpenMetrics text with exemplars, or as Prometheus' plain text without."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(families)
    return bytes(exposition.generate_latest(registry) if open_metrics else generate_latest(registry))
