"""A working day of two regions in virtual time: uploads, short requests, drains or kills at some hours.

What is measured is what the machines' links and the distance cost: no processor is busy here, so the same
seed gives the same figures on any machine. Shapes of traffic come from an experiment file
(`bench/days/gateway.toml`), as `ScenarioPlan` reads it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from honeywharf.programs.gateway import GatewayNode, granted_bytes
from honeywharf.sessions.send_scheduler import SendScheduler
from honeywharf.simulation.machine import Process
from honeywharf.simulation.regions import READ, UPLOAD, Client, Day, Source

BACK_S = 2.5  # after its order a drained gateway is taken back
WINDOWS = (("before", -2.0, 0.0), ("during", 0.0, 1.0), ("after", 1.0, 2.5))  # seconds from a trouble
PATIENCE_S, UPLOAD_S = 5.0, 60.0
SAMPLE_S = 0.1
MEMORY_MB = 300.0
WIDE = 1 << 20  # of a connection's window: what kernels grow to on a long way


class RequestShape:
    """One kind of request; `body` and `answer` are (least, most) bytes."""

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
    """An experiment file's table, checked. ValueError names what was found and wanted."""

    def __init__(self, table: dict[str, Any]) -> None:
        try:
            self.hour_s, self.rate, self.mbps = (float(table[key]) for key in ("hour_s", "rate", "mbps"))
            self.uploads, self.sources = int(table["uploads"]), int(table["sources"])
            self.hours = [float(hour) for hour in table["hours"]]
            self.troubled = [int(hour) for hour in table["troubled"]]
            self.shapes = [RequestShape(**shape) for shape in table["shape"]]
        except (KeyError, TypeError) as fault:
            raise ValueError(f"found {fault}, wanted an experiment of gateways") from None
        if not self.hours or not all(0 <= hour < len(self.hours) for hour in self.troubled):
            raise ValueError(f"found troubles at {self.troubled}, wanted hours below {len(self.hours)}")
        for kind in (READ, UPLOAD):
            if not any(shape.kind == kind for shape in self.shapes):
                raise ValueError(f"found no shape of kind {kind}, wanted one")

    def of(self, uploads: bool) -> list[RequestShape]:
        """The shapes of uploads, or of all others."""
        return [shape for shape in self.shapes if (shape.kind == UPLOAD) == uploads]


class ScenarioRequest(Client):
    """One request of the plan's."""

    def __init__(self, day: GatewayScenario, source: Source, shape: RequestShape) -> None:
        self.name, self.bulk = shape.name, shape.kind == UPLOAD
        size = day.world.random.randint(*(shape.answer if shape.kind == READ else shape.body))
        super().__init__(day, source, shape.kind, size, UPLOAD_S if self.bulk else PATIENCE_S)

    def _over(self, end: str) -> None:
        super()._over(end)
        if self.bulk and isinstance(self.day, GatewayScenario):
            self.day.next_upload()


class GatewayScenario(Day):
    """The day. `trouble`: "drain" or "kill". `lanes=False`: bodies go out as they come, for comparison."""

    def __init__(
        self,
        seed: int,
        plan: ScenarioPlan,
        trouble: str,
        sessions: bool = True,
        lanes: bool = True,
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
        self.network.window = WIDE
        self.plan, self.trouble, self.lanes = plan, trouble, lanes
        self.refuse, self.work_s, self.slow_s = 0.0, (0.002, 0.01), 0.03
        self.at: list[float] = []  # of troubles
        self.up = 0  # uploads under way
        self.samples: list[tuple[float, list[int]]] = []  # when; uploads by gateway
        self.empty_s: list[float] = []  # from a drain's order until the gateway was empty
        self.ends_at = 1.0 + plan.hour_s * len(plan.hours)

    @property
    def hour(self) -> float:
        """How busy it is now; 0 when the day is over."""
        number = int((self.world.now - 1.0) / self.plan.hour_s)
        return self.plan.hours[number] if number < len(self.plan.hours) else 0.0

    def work(self) -> GatewayScenario:
        """Play it, to the end of what was begun, and judge it."""
        self.world.run(1.0)
        if not self.lanes:
            for process in (*self.sources, *self.keepers, *self.quarries):
                self._open_lanes(process.program)
        for number in self.plan.troubled:
            self.world.at(1.0 + number * self.plan.hour_s, self._strike, number)
        self._ask()
        self._sample()
        self.next_upload()
        self.seconds = self.ends_at + 10.0
        self.play()
        return self

    @staticmethod
    def _open_lanes(program: Any) -> None:
        """Let everything out at once, as without a spillway."""
        part = getattr(program, "session_client", None) or getattr(program, "destination", None) or program
        part.send_scheduler.__class__ = UnscheduledSender

    # Traffic.

    def _here(self) -> Source | None:
        """A source of region a that runs."""
        mine = [one for one in self.sources if one.machine.zone[0] == "a"]
        program = self.world.random.choice(mine).program
        return program if isinstance(program, Source) else None

    def _begin(self, uploads: bool) -> bool:
        shapes, source = self.plan.of(uploads), self._here()
        if source is None:
            return False
        shape = self.world.random.choices(shapes, [each.share for each in shapes])[0]
        ScenarioRequest(self, source, shape)
        return True

    def _ask(self) -> None:
        if self.hour:
            self._begin(False)
            self.world.at(
                self.world.now + self.world.random.expovariate(self.plan.rate * self.hour), self._ask
            )

    def next_upload(self) -> None:
        """Keep as many uploads under way as the hour has."""
        if self.hour:
            self.world.at(self.world.now + 0.02, self._fill_up)

    def _fill_up(self) -> None:
        under_way = sum(
            isinstance(one, ScenarioRequest) and one.bulk and one.end is None for one in self.clients
        )
        if under_way < self.plan.uploads * self.hour and self._begin(True):
            self.next_upload()

    def _sample(self) -> None:
        """Note how many uploads each gateway carries."""
        self.samples.append(
            (
                self.world.now,
                [
                    sum(
                        not 0 <= row.length <= 32768 for row in keeper.program.relay.relayed_sessions.values()
                    )
                    if isinstance(keeper.program, GatewayNode)
                    else 0
                    for keeper in self.keepers
                ],
            )
        )
        if self.hour:
            self.next_upload()
            self.world.at(self.world.now + SAMPLE_S, self._sample)

    # Troubles.

    def _strike(self, number: int) -> None:
        """Drain or kill the one of region a's gateways that has more uploads."""
        self.at.append(self.world.now)
        mine = [
            keeper
            for keeper in self.keepers
            if isinstance(keeper.program, GatewayNode) and keeper.machine.zone[0] == "a"
        ]
        keeper = max(mine, key=lambda each: len(each.program.relay.relayed_sessions))  # type: ignore[attr-defined]
        if self.trouble == "kill":
            keeper.kill()
        else:
            keeper.program.order_drain()  # type: ignore[attr-defined]
            self._look(keeper, self.world.now)
            self.world.at(self.world.now + BACK_S, self._back, keeper)

    def _look(self, keeper: Process, since: float) -> None:
        if isinstance(keeper.program, GatewayNode) and keeper.program.relay.relayed_sessions:
            self.world.at(self.world.now + 0.01, self._look, keeper, since)
        else:
            self.empty_s.append(self.world.now - since)

    # Figures.

    def took(self, name: str) -> dict[str, list[float]]:
        """Seconds of the requests of a shape that began before, during and after troubles."""
        calls = [
            one
            for one in self.clients
            if isinstance(one, ScenarioRequest) and one.name == name and one.end == "done"
        ]
        return {
            window: [
                one.ended_at - one.began
                for one in calls
                if any(low <= one.began - at < high for at in self.at)
            ]
            for window, low, high in WINDOWS
        }


class UnscheduledSender(SendScheduler):
    """Without turns: everything goes out as it comes."""

    __slots__ = ()

    def send(self, line: Any, frame: list[Any]) -> None:
        """Send at once."""
        line.send(frame)


def quantile(values: list[float], part: float) -> float:
    """Of a list that is not sorted; 0.0 of an empty one."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))] if ordered else 0.0
