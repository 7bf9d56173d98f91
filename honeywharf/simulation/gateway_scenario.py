"""A working day of two regions in virtual time: uploads and short requests, drains or kills.

The result shows the costs of the links and of the distance. Processors are never busy in the simulation, so
the same seed gives the same figures on any machine. The shapes of requests come from an experiment file
(`bench/days/gateway.toml`), which `ScenarioPlan` reads.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from honeywharf.programs.gateway import GatewayNode, granted_bytes
from honeywharf.sessions.send_scheduler import SendScheduler
from honeywharf.simulation.machine import Process
from honeywharf.simulation.regions import READ, UPLOAD, Client, Day, Source

DRAIN_CANCEL_DELAY_S = 2.5  # A drain is cancelled after this time.
WINDOWS = (("before", -2.0, 0.0), ("during", 0.0, 1.0), ("after", 1.0, 2.5))  # Seconds relative to a fault.
REQUEST_TIMEOUT_S, UPLOAD_TIMEOUT_S = 5.0, 60.0
SAMPLE_INTERVAL_S = 0.1
MEMORY_MB = 300.0
WIDE_WINDOW_BYTES = 1 << 20  # Kernels grow the window of a distant connection to this size.


class RequestShape:
    """One kind of request; `body` and `answer` are the (smallest, largest) sizes in bytes."""

    __slots__ = ("answer", "body", "kind", "name", "share")

    def __init__(
        self,
        name: str,
        kind: int,
        share: float,
        body: Iterable[int],
        answer: Iterable[int],
    ) -> None:
        self.name, self.kind, self.share = name, kind, share
        self.body, self.answer = tuple(body), tuple(answer)


class ScenarioPlan:
    """The checked table of an experiment file; raises ValueError for an invalid one."""

    def __init__(self, table: dict[str, Any]) -> None:
        try:
            self.hour_s, self.rate, self.mbps = (float(table[key]) for key in ("hour_s", "rate", "mbps"))
            self.uploads, self.sources = int(table["uploads"]), int(table["sources"])
            self.hours = [float(hour) for hour in table["hours"]]
            self.troubled = [int(hour) for hour in table["troubled"]]
            self.shapes = [RequestShape(**shape) for shape in table["shape"]]
        except (KeyError, TypeError) as fault:
            raise ValueError(f"experiment: wanted the keys of a gateway experiment, got {fault}") from None
        if not self.hours or not all(0 <= hour < len(self.hours) for hour in self.troubled):
            raise ValueError(f"troubled: wanted hours below {len(self.hours)}, got {self.troubled}")
        for kind in (READ, UPLOAD):
            if not any(shape.kind == kind for shape in self.shapes):
                raise ValueError(f"shape: wanted one of kind {kind}, got none")

    def shapes_of(self, uploads: bool) -> list[RequestShape]:
        """Returns the shapes of uploads, or of all other requests."""
        return [shape for shape in self.shapes if (shape.kind == UPLOAD) == uploads]


class ScenarioRequest(Client):
    """One request of the scenario."""

    def __init__(self, day: GatewayScenario, source: Source, shape: RequestShape) -> None:
        self.name, self.is_upload = shape.name, shape.kind == UPLOAD
        size = day.world.random.randint(*(shape.answer if shape.kind == READ else shape.body))
        super().__init__(
            day, source, shape.kind, size, UPLOAD_TIMEOUT_S if self.is_upload else REQUEST_TIMEOUT_S
        )

    def _finish(self, end: str) -> None:
        super()._finish(end)
        if self.is_upload and isinstance(self.day, GatewayScenario):
            self.day.next_upload()


class GatewayScenario(Day):
    """The run with "drain" or "kill" faults; without `schedules_sending`, bodies are sent unscheduled."""

    def __init__(
        self,
        seed: int,
        plan: ScenarioPlan,
        fault_kind: str,
        sessions: bool = True,
        schedules_sending: bool = True,
    ) -> None:
        super().__init__(
            seed,
            2,
            sessions,
            "",
            plan.mbps,
            0.0,
            uploads=0,
            sources=plan.sources,
            most_bytes=granted_bytes(MEMORY_MB, plan.mbps),
        )
        self.network.window = WIDE_WINDOW_BYTES
        self.plan, self.fault, self.schedules_sending = plan, fault_kind, schedules_sending
        self.refusal_share, self.work_range_s, self.client_delay_s = 0.0, (0.002, 0.01), 0.03
        self.fault_times: list[float] = []  # The times of faults.
        self.uploads_in_flight = 0
        self.samples: list[tuple[float, list[int]]] = []  # (time, uploads by gateway)
        self.empty_s: list[float] = []  # The times from the orders to drain until the gateways were empty.
        self.ends_at = 1.0 + plan.hour_s * len(plan.hours)

    @property
    def load_factor(self) -> float:
        """The load of the current hour; 0 after the last hour."""
        number = int((self.world.now - 1.0) / self.plan.hour_s)
        return self.plan.hours[number] if number < len(self.plan.hours) else 0.0

    def run_scenario(self) -> GatewayScenario:
        """Runs until all requests have ended, and checks the outcomes."""
        self.world.run(1.0)
        if not self.schedules_sending:
            for process in (*self.sources, *self.gateways, *self.destinations):
                self._disable_scheduling(process.program)
        for number in self.plan.troubled:
            self.world.at(1.0 + number * self.plan.hour_s, self._inject, number)
        self._send_requests()
        self._sample()
        self.next_upload()
        self.seconds = self.ends_at + 10.0
        self.play()
        return self

    @staticmethod
    def _disable_scheduling(program: Any) -> None:
        """Sends everything at once, as without a send scheduler."""
        part = getattr(program, "session_client", None) or getattr(program, "destination", None) or program
        part.send_scheduler.__class__ = UnscheduledSender

    # Traffic.

    def _choose_source(self) -> Source | None:
        """Returns a running source in region a."""
        mine = [one for one in self.sources if one.machine.zone[0] == "a"]
        program = self.world.random.choice(mine).program
        return program if isinstance(program, Source) else None

    def _begin(self, uploads: bool) -> bool:
        shapes, source = self.plan.shapes_of(uploads), self._choose_source()
        if source is None:
            return False
        shape = self.world.random.choices(shapes, [each.share for each in shapes])[0]
        ScenarioRequest(self, source, shape)
        return True

    def _send_requests(self) -> None:
        if self.load_factor:
            self._begin(False)
            self.world.at(
                self.world.now + self.world.random.expovariate(self.plan.rate * self.load_factor),
                self._send_requests,
            )

    def next_upload(self) -> None:
        """Keeps the number of uploads in flight at that of the hour."""
        if self.load_factor:
            self.world.at(self.world.now + 0.02, self._start_upload)

    def _start_upload(self) -> None:
        under_way = sum(
            isinstance(one, ScenarioRequest) and one.is_upload and one.outcome is None for one in self.clients
        )
        if under_way < self.plan.uploads * self.load_factor and self._begin(True):
            self.next_upload()

    def _sample(self) -> None:
        """Records the number of uploads of each gateway."""
        self.samples.append(
            (
                self.world.now,
                [
                    sum(
                        not 0 <= row.length <= 32768
                        for row in gateway.program.relay.relayed_sessions.values()
                    )
                    if isinstance(gateway.program, GatewayNode)
                    else 0
                    for gateway in self.gateways
                ],
            )
        )
        if self.load_factor:
            self.next_upload()
            self.world.at(self.world.now + SAMPLE_INTERVAL_S, self._sample)

    # Faults.

    def _inject(self, number: int) -> None:
        """Drains or kills the gateway of region a with the most uploads."""
        self.fault_times.append(self.world.now)
        mine = [
            gateway
            for gateway in self.gateways
            if isinstance(gateway.program, GatewayNode) and gateway.machine.zone[0] == "a"
        ]
        gateway = max(mine, key=lambda each: len(each.program.relay.relayed_sessions))  # type: ignore[attr-defined]
        if self.fault == "kill":
            gateway.kill()
        else:
            gateway.program.order_drain()  # type: ignore[attr-defined]
            self._check_empty(gateway, self.world.now)
            self.world.at(self.world.now + DRAIN_CANCEL_DELAY_S, self._cancel_drain, gateway)

    def _check_empty(self, gateway: Process, since: float) -> None:
        if isinstance(gateway.program, GatewayNode) and gateway.program.relay.relayed_sessions:
            self.world.at(self.world.now + 0.01, self._check_empty, gateway, since)
        else:
            self.empty_s.append(self.world.now - since)

    # Results.

    def durations_s(self, name: str) -> dict[str, list[float]]:
        """Returns the durations of the requests of a shape that began before, during and after faults."""
        calls = [
            one
            for one in self.clients
            if isinstance(one, ScenarioRequest) and one.name == name and one.outcome == "done"
        ]
        return {
            window: [
                one.ended_at - one.begun_at
                for one in calls
                if any(low <= one.begun_at - at < high for at in self.fault_times)
            ]
            for window, low, high in WINDOWS
        }


class UnscheduledSender(SendScheduler):
    """A scheduler that sends everything at once."""

    __slots__ = ()

    def send(self, line: Any, frame: list[Any]) -> None:
        """Sends at once."""
        line.send(frame)


def quantile(values: list[float], part: float) -> float:
    """Returns a quantile of an unsorted list; 0.0 for an empty list."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))] if ordered else 0.0
