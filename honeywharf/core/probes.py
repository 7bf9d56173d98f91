"""Health checks of backends on behalf of the decision module, each with a time-out."""

from __future__ import annotations

from collections.abc import Callable

from honeywharf.core.messages import Response
from honeywharf.core.transport import Clock, Loop, Timer, Transport, UpstreamRequest
from honeywharf.policy import interface as api

PROBE_TIMEOUT_MS = 250.0


class Probe(UpstreamRequest):
    """One health check of a backend."""

    __slots__ = ("live", "probes", "sent_ms", "timer")

    def __init__(self, probes: Probes, endpoint: str, now: float, reports: bool) -> None:
        super().__init__(endpoint, None, now + PROBE_TIMEOUT_MS, report=reports)
        self.probes, self.sent_ms, self.live = probes, now, True
        self.timer: Timer | None = None

    def ended(self, outcome: api.Outcome, response: Response | None) -> None:
        """Passes the result on."""
        self.probes.ended(self, outcome, response)


class Probes:
    """The health checks of one driver.

    `enqueue` takes the results as events; `parse_report` parses a load report in the order of the settings.
    """

    __slots__ = ("clock", "enqueue", "loop", "parse_report", "transport")

    def __init__(
        self,
        transport: Transport,
        loop: Loop,
        clock: Clock,
        enqueue: Callable[[api.Event], None],
        parse_report: Callable[[bytes | None], tuple[float, ...] | None],
    ) -> None:
        self.transport, self.loop, self.clock, self.enqueue, self.parse_report = (
            transport,
            loop,
            clock,
            enqueue,
            parse_report,
        )

    def start(self, endpoint: str, reports: bool) -> None:
        """Starts a health check of an endpoint; `reports`: also requests its load report."""
        if not self.transport.known(endpoint):
            self.enqueue(api.ProbeEnded(endpoint, api.Outcome.NOT_SENT, 0.0))
            return
        probe = Probe(self, endpoint, self.clock.now(), reports)
        probe.timer = self.loop.call_later(PROBE_TIMEOUT_MS / 1000.0, self._time_out, probe)
        self.transport.start(probe)

    def ended(self, probe: Probe, outcome: api.Outcome, response: Response | None) -> None:
        """Reports the result of a health check to the decision module."""
        if not probe.live:
            return
        probe.live = False
        if probe.timer is not None:
            probe.timer.cancel()
        report = self.parse_report(response.load or response.body) if response is not None else None
        self.enqueue(api.ProbeEnded(probe.endpoint, outcome, self.clock.now() - probe.sent_ms, report))

    def _time_out(self, probe: Probe) -> None:
        if probe.live:
            self.transport.abort(probe)
            self.ended(probe, api.Outcome.TIMEOUT, None)
