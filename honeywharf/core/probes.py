"""Health checks of backends that the decision module asks for, each bounded in time."""

from __future__ import annotations

from collections.abc import Callable

from honeywharf.core.messages import Response
from honeywharf.core.transport import Clock, Loop, Timer, Transport, UpstreamRequest
from honeywharf.policy import interface as api

PROBE_TIMEOUT_MS = 250.0


class Probe(UpstreamRequest):
    """A health check of a backend."""

    __slots__ = ("live", "probes", "sent_ms", "timer")

    def __init__(self, probes: Probes, endpoint: str, now: float, reports: bool) -> None:
        super().__init__(endpoint, None, now + PROBE_TIMEOUT_MS, report=reports)
        self.probes, self.sent_ms, self.live = probes, now, True
        self.timer: Timer | None = None

    def ended(self, outcome: api.Outcome, response: Response | None) -> None:
        """Pass the finding on."""
        self.probes.ended(self, outcome, response)


class Probes:
    """Those of one driver. `feed` takes what was found, `read` a load report as the settings order it."""

    __slots__ = ("clock", "feed", "loop", "read", "transport")

    def __init__(
        self,
        transport: Transport,
        loop: Loop,
        clock: Clock,
        feed: Callable[[api.Event], None],
        read: Callable[[bytes | None], tuple[float, ...] | None],
    ) -> None:
        self.transport, self.loop, self.clock, self.feed, self.read = transport, loop, clock, feed, read

    def start(self, endpoint: str, reports: bool) -> None:
        """Check on an endpoint. `reports`: its load is asked for too."""
        if not self.transport.known(endpoint):
            self.feed(api.ProbeEnded(endpoint, api.Outcome.NOT_SENT, 0.0))
            return
        probe = Probe(self, endpoint, self.clock.now(), reports)
        probe.timer = self.loop.call_later(PROBE_TIMEOUT_MS / 1000.0, self._time_out, probe)
        self.transport.start(probe)

    def ended(self, probe: Probe, outcome: api.Outcome, response: Response | None) -> None:
        """Tell the module what a probe found."""
        if not probe.live:
            return
        probe.live = False
        if probe.timer is not None:
            probe.timer.cancel()
        report = self.read(response.load or response.body) if response is not None else None
        self.feed(api.ProbeEnded(probe.endpoint, outcome, self.clock.now() - probe.sent_ms, report))

    def _time_out(self, probe: Probe) -> None:
        if probe.live:
            self.transport.abort(probe)
            self.ended(probe, api.Outcome.TIMEOUT, None)
