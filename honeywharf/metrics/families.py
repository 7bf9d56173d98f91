"""What a proxy has counted, as Prometheus' families, on `prometheus_client`. Without sockets.

Names follow Prometheus' and OpenTelemetry's conventions: base units, `_total`, one prefix. Counts of the
proxy's own line become `honeywharf_events_total` by `event`, refusals and failures families of their own.
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

from honeywharf.metrics.durations import BOUNDS_S, Answers

OPEN_METRICS = exposition.CONTENT_TYPE_LATEST
PLAIN = "text/plain; version=0.0.4; charset=utf-8"
REASONS = (
    ("refused:", "honeywharf_refusals", "Requests refused, by the decision module's reason"),
    ("failed:", "honeywharf_failures", "Requests failed, by the decision module's reason"),
)
ZONES = (
    ("limit", "Calls that this proxy may hold in the zone"),
    ("in_flight", "Calls that it holds there"),
    ("ready", "Servers that are ready"),
    ("ejected", "Servers that are out"),
)


class Families:
    """A collector for a registry of `prometheus_client`; it asks when it is asked."""

    def __init__(
        self,
        name: str,
        zone: str,
        version: str,
        counts: Callable[[], Mapping[str, int]],
        status: Callable[[], Mapping[str, Any]],
        answers: Answers,
    ) -> None:
        self.name, self.zone, self.version = name, zone, version
        self.counts, self.status, self.answers = counts, status, answers

    def collect(self) -> Iterable[Metric]:
        """All families, as they are now."""
        info = InfoMetricFamily("honeywharf_build", "This proxy")
        info.add_metric((), {"name": self.name, "zone": self.zone, "version": self.version})
        yield info
        yield from self._counted(dict(self.counts()))
        yield from self._gauges(self.status())
        yield self._durations()

    def _counted(self, counts: dict[str, int]) -> Iterable[Metric]:
        for head, name, words in REASONS:
            family = CounterMetricFamily(name, words, labels=("reason",))
            for key in [k for k in counts if k.startswith(head)]:
                family.add_metric((key.removeprefix(head),), counts.pop(key))
            yield family
        family = CounterMetricFamily("honeywharf_events", "What was done since the start", labels=("event",))
        for key, number in sorted(counts.items()):
            family.add_metric((key,), number)
        yield family

    def _gauges(self, status: Mapping[str, Any]) -> Iterable[Metric]:
        for field, words in ZONES:
            family = GaugeMetricFamily(f"honeywharf_zone_{field}", words, labels=("zone",))
            for zone in status["zones"]:
                family.add_metric((zone["zone"],), zone[field])
            yield family
        endpoints = GaugeMetricFamily("honeywharf_endpoints", "Servers by state", labels=("state",))
        for state, number in sorted(status["endpoints"].items()):
            endpoints.add_metric((state,), number)
        yield endpoints
        for name, words, value in (
            ("honeywharf_requests_open", "Requests that are owed an answer", status["open"]),
            ("honeywharf_retry_budget", "Further attempts that are left", status["retry_budget"]),
            ("honeywharf_ready", "Whether clients may come", float(status["ready"])),
        ):
            yield GaugeMetricFamily(name, words, value=value)

    def _durations(self) -> Metric:
        family = HistogramMetricFamily(
            "honeywharf_request_duration_seconds",
            "From a request's arrival to its final answer",
            labels=("class", "end"),
        )
        for (cls, how), found in sorted(self.answers.series.items()):
            buckets: list[Any] = []
            total = 0
            for i, number in enumerate(found.buckets):
                total += number
                bound = floatToGoString(BOUNDS_S[i]) if i < len(BOUNDS_S) else "+Inf"
                exemplar = found.exemplars.get(i)
                buckets.append(
                    (bound, total, None)
                    if exemplar is None
                    else (bound, total, Exemplar({"trace_id": exemplar[0]}, exemplar[1], exemplar[2]))
                )
            family.add_metric((cls, how), buckets, found.sum_s)
        return family


def exposed(families: Families, open_metrics: bool) -> bytes:
    """The text that is scraped: OpenMetrics with exemplars, or Prometheus' plain text, which has none."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(families)
    return bytes(exposition.generate_latest(registry) if open_metrics else generate_latest(registry))
