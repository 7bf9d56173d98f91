"""The invariants (RULES.md), checked at each event that clients, backends and operators observe.

The simulated clients, backends and operators notify an `InvariantChecker` of each event. The checker calls
every invariant that has a method of the event's name: `sent`, `answered`, `client_left`, `connection_lost`
and `unexpected_bytes` (clients); `arrived`, `ran` and `heartbeat_acked` (backends); `ordered`, `acked`,
`refused` and `read_back` (operators); `terminated`, `successor_judged` and `closing` (the fault schedule and
the run). An invariant records what it needs and calls `report_violation`. The name of an invariant's class,
in capitals, is the name of its rule in RULES.md; ADMISSION is this project's own.

A machine is undisturbed if it had no fault within the bound `contact`, and no control node had one either.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from honeywharf.simulation.world import World

NOT_RUN_STATUSES = (408, 421, 429, 503)  # These promise that the request has not run.
TRANSIT_S = 0.02  # The time that a request may be in flight to a backend, in addition to every bound.
CANCELLATION_S = 0.5  # The time within which work for a client that has disconnected has to end.
MAX_LATE_CANCELLATIONS = 3  # The number of requests that may end or arrive late for any reason.
# What was sent at most this long after SIGTERM may be broken off in the last part of `grace-period`.
EXCUSED_SENT_WITHIN_S, EXCUSED_LAST_SHARE = 3.0, 1 / 6
MAX_EARLY_TIMEOUT_S = 0.005  # A time-out is answered so early that the answer is there in time.
MAX_LATE_CANCELLATION_SHARE = 0.25  # The same as a share of the requests that would still be running.


class Attempt:
    """One attempt of a request; times are in seconds; `arrivals`, `runs` and `ends` are (time, backend)."""

    __slots__ = (
        "abandoned_at",
        "answer_corrupted",
        "answers",
        "arrivals",
        "body",
        "deadline",
        "ends",
        "host",
        "id",
        "incarnation",
        "is_pipelined",
        "kind",
        "machine",
        "method",
        "path",
        "runs",
        "sent",
        "service",
        "status",
    )

    def __init__(
        self, id_: str, machine: str, service: str, method: str, host: str, path: str, kind: str
    ) -> None:
        self.id, self.machine, self.service, self.method = id_, machine, service, method
        self.host, self.path, self.kind = host, path, kind
        self.body, self.incarnation, self.sent, self.deadline, self.status = b"", 0, 0.0, 0.0, 0
        self.arrivals: list[tuple[float, Any]] = []
        self.runs: list[tuple[float, Any]] = []
        self.ends: list[tuple[float, Any]] = []  # The time at which each run ends unless it is cancelled.
        self.abandoned_at = float("inf")  # The time at which the client closed the connection.
        self.answers: dict[str, tuple[int, bytes]] = {}  # Backends' answers (status, body) by seal.
        # `is_pipelined`: It was sent behind another request on the same connection.
        # `answer_corrupted`: A backend corrupted or broke off its answer.
        self.is_pipelined = self.answer_corrupted = False

    def history(self) -> list[str]:
        """Returns the events of this attempt, one a line."""
        lines = [f"{self.sent:.6f} {self.id} {self.kind} sent at {self.machine} to {self.host}{self.path}"]
        lines += [f"{when:.6f} {self.id} came to {at.id} at {at.machine}" for when, at in self.arrivals]
        lines += [f"{when:.6f} {self.id} ran there" for when, at in self.runs]
        return [
            *lines,
            f"{self.id} received {self.status}" if self.status else f"{self.id} received no answer",
        ]

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind == "read_only"


class Order:
    """An operator's order: "config" with its routes, or "start" or "complete" of the evacuation of a zone."""

    __slots__ = ("acked", "kind", "routes", "sent", "text", "timeout_s", "valid", "version", "zone")

    def __init__(
        self, kind: str, version: int = 0, zone: str = "", text: bytes = b"", valid: bool = True
    ) -> None:
        self.kind, self.version, self.zone, self.text, self.valid = kind, version, zone, text, valid
        self.routes: dict[tuple[str, str], frozenset[str]] = {}
        self.timeout_s = float("inf")  # The time-out of its routes.
        self.sent, self.acked = float("inf"), float("inf")

    def __str__(self) -> str:
        """Returns the description in the history of a run."""
        what = f"r{self.version}{'' if self.valid else ', not valid'}" if self.kind == "config" else self.zone
        return f"{self.kind} {what}"

    def services(self, host: str, path: str) -> frozenset[str]:
        """Returns the services of the route with the longest matching prefix; empty without a route."""
        fits = [prefix for at, prefix in self.routes if at == host and path.startswith(prefix)]
        return self.routes[host, max(fits, key=len)] if fits else frozenset()


class InvariantChecker:
    """Records the observed events; `violations` are (rule, seconds, description)."""

    def __init__(self, world: World, bounds: dict[str, float]) -> None:
        self.world, self.bounds = world, bounds
        self.attempts: dict[str, Attempt] = {}
        self.orders: list[Order] = []
        self.violations: list[tuple[str, float, str]] = []
        self.active_faults: dict[str, int] = {}
        self.last_fault_at: dict[str, float] = {}
        self.last_core_fault_at = -1e9
        self.last_any_fault_at = -1e9
        self.invariants = [rule(self) for rule in INVARIANTS]
        self._listeners: dict[str, list[Callable[..., None]]] = {}

    def notify(self, event: str, *args: Any) -> None:
        """Passes an event to all invariants that have a method of its name."""
        if event not in self._listeners:
            found = [getattr(rule, event, None) for rule in self.invariants]
            self._listeners[event] = [listener for listener in found if listener is not None]
        for listener in self._listeners[event]:
            listener(*args)

    def mark_fault(self, machine: str, change: int, core: bool = False) -> None:
        """Records that a fault begins (1) or ends (-1) at a machine, or that it is momentary (0)."""
        self.active_faults[machine] = self.active_faults.get(machine, 0) + change
        self.last_fault_at[machine] = self.last_any_fault_at = self.world.now
        if core:
            self.last_core_fault_at = self.world.now

    def is_undisturbed(self, machine: str, when: float) -> bool:
        """Whether the machine and the control nodes had no fault from `contact` before `when` until now."""
        quiet = when - self.bounds["contact"]
        return (
            not self.active_faults.get(machine)
            and self.last_fault_at.get(machine, -1e9) < quiet > self.last_core_fault_at
        )

    def configs(self) -> list[Order]:
        """Returns the valid configurations that were sent."""
        return [order for order in self.orders if order.kind == "config" and order.valid]

    def configs_since(self, acked_by: float) -> list[Order]:
        """Returns the configurations that may be in force where those acknowledged by a time (in s) are."""
        configs = [order for order in self.configs() if order.sent <= self.world.now]
        newest = max((order.version for order in configs if order.acked <= acked_by), default=0)
        return [order for order in configs if order.version >= newest]


class Invariant:
    """The base of an invariant; the name of the subclass is the name of the rule."""

    def __init__(self, invariant_checker: InvariantChecker) -> None:
        self.invariant_checker = invariant_checker
        self.bound = invariant_checker.bounds
        self.reset()

    def reset(self) -> None:
        """Creates the state of the invariant."""

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return self.invariant_checker.world.now

    def report_violation(self, what: str) -> None:
        """Records the first violation and halts the simulation."""
        if not self.invariant_checker.violations:
            self.invariant_checker.violations.append((type(self).__name__.upper(), self.now, what))
            self.invariant_checker.world.record_event("BROKEN", type(self).__name__.upper(), what)
            self.invariant_checker.world.halted = True


class Mixed(Invariant):
    """A client must not receive anything but the complete answer to its own request."""

    def answered(self, attempt: Attempt, status: int, headers: dict[str, str], body: bytes) -> None:
        """A client has received an answer."""
        echo = headers.get("x-honeywharf-attempt-id", attempt.id)
        seal = headers.get("x-honeywharf-server-seal", "")
        if echo != attempt.id or (seal and seal not in attempt.answers):
            self.report_violation(f"{attempt.id} received the answer to {echo}, seal {seal}")
        elif 200 <= status < 300 and attempt.answers.get(seal) != (status, body):
            self.report_violation(
                f"{attempt.id} received {status} with {len(body)} bytes, seal {seal!r}: no backend sent this"
            )

    def unexpected_bytes(self, what: str) -> None:
        """Bytes arrived that belong to no request or are no valid message."""
        self.report_violation(what)


class Unasked(Invariant):
    """A backend must not run a request that no client sent."""

    def ran(self, backend: Any, id_: str, request: tuple[str, str, str, bytes, str]) -> None:
        """A backend has started a request."""
        attempt = self.invariant_checker.attempts.get(id_)
        if attempt is None:
            self.report_violation(f"no client sent {id_}")
        elif (attempt.method, attempt.host, attempt.path, attempt.body) != request[:4]:
            self.report_violation(f"{id_} was changed in transit: {request[:3]}")
        elif request[4] != attempt.service:
            self.report_violation(f"{id_}: expected caller {attempt.service}, got {request[4]}")


class Twice(Invariant):
    """A request that is not repeatable must not run twice."""

    def ran(self, backend: Any, id_: str, request: object) -> None:
        """A backend has started a request."""
        attempt = self.invariant_checker.attempts.get(id_)
        if attempt is not None and not attempt.repeatable and len(attempt.runs) > 1:
            self.report_violation(f"{id_} ran more than once: {[(when, at.id) for when, at in attempt.runs]}")


class Refused(Invariant):
    """A request that was refused as not run must not have run and must not run later."""

    def answered(self, attempt: Attempt, status: int, headers: dict[str, str], body: bytes) -> None:
        """A client has received an answer."""
        if status in NOT_RUN_STATUSES and attempt.runs and not attempt.repeatable:
            self.report_violation(f"{attempt.id} received {status} and had run")

    def ran(self, backend: Any, id_: str, request: object) -> None:
        """A backend has started a request."""
        attempt = self.invariant_checker.attempts.get(id_)
        if attempt is not None and attempt.status in NOT_RUN_STATUSES and not attempt.repeatable:
            self.report_violation(f"{id_} had received {attempt.status} and ran at {backend.id}")


class Route(Invariant):
    """A service must not run a request that no configuration ever routed to it."""

    def ran(self, backend: Any, id_: str, request: object) -> None:
        """A backend has started a request."""
        attempt = self.invariant_checker.attempts.get(id_)
        if attempt is not None:
            ever = [order.services(attempt.host, attempt.path) for order in self.invariant_checker.configs()]
            if all(backend.service not in services for services in ever):
                self.report_violation(f"{backend.service} ran {attempt.path} without a route to it")


class Drain(Invariant):
    """A backend must not get requests later than `drain-timeout` after its drain was acknowledged."""

    def reset(self) -> None:
        """Creates the table of draining backends with the times of the acknowledgements."""
        self.departing_backends: dict[str, float] = {}

    def heartbeat_acked(self, backend: Any, state: str) -> None:
        """A heartbeat of a backend was acknowledged."""
        if state != "ready" and self.invariant_checker.is_undisturbed(backend.machine, self.now):
            self.departing_backends.setdefault(backend.id, self.now)

    def arrived(self, backend: Any, id_: str) -> None:
        """A request arrived at a backend and was not refused with 421."""
        attempt, since = (
            self.invariant_checker.attempts.get(id_),
            self.departing_backends.get(backend.id, 1e9),
        )
        if (
            attempt is not None
            and self.now > since + self.bound["drain-timeout"] + TRANSIT_S
            and all(
                self.invariant_checker.is_undisturbed(machine, self.now)
                for machine in (attempt.machine, backend.machine)
            )
        ):
            self.report_violation(
                f"{id_} came to {backend.id} {self.now - since:.3f} s after its drain began"
            )


class Lost(Invariant):
    """A planned shutdown must not lose a request that a process had read."""

    def reset(self) -> None:
        """Creates the table of the times at which machines were sent SIGTERM."""
        self.terminated_at: dict[str, float] = {}

    def terminated(self, machine: str) -> None:
        """The sidecar of a machine was sent SIGTERM."""
        self.terminated_at[machine] = self.now

    def is_planned_work(self, attempt: Attempt) -> bool:
        """Whether the attempt fell into a planned shutdown without any fault."""
        since = self.now - self.terminated_at.get(attempt.machine, -1e9)
        calm = self.invariant_checker.last_any_fault_at < attempt.sent - self.bound["contact"] and not any(
            self.invariant_checker.active_faults.values()
        )
        until = min(attempt.deadline, attempt.sent + self.shortest_timeout_s(attempt)) - MAX_EARLY_TIMEOUT_S
        fair = self.now < until and not attempt.answer_corrupted
        return since < self.bound["grace-period"] + 1 and calm and fair

    def shortest_timeout_s(self, attempt: Attempt) -> float:
        """Returns the shortest time-out of the configurations by which the attempt may be handled."""
        configs = self.invariant_checker.configs_since(attempt.sent - self.bound["config-apply"])
        return min((order.timeout_s for order in configs), default=float("inf"))

    def is_excused(self, attempt: Attempt) -> bool:
        """Whether a request that its backend is at work on may be broken off now (NEWS-22)."""
        since = self.terminated_at.get(attempt.machine, -1e9)
        last_part_s = (1.0 - EXCUSED_LAST_SHARE) * self.bound["grace-period"]
        at_work = bool(attempt.runs) and not attempt.answers
        return at_work and attempt.sent - since <= EXCUSED_SENT_WITHIN_S and self.now - since >= last_part_s

    def connection_lost(self, attempt: Attempt) -> None:
        """The connection ended before a complete answer."""
        if self.is_excused(attempt):
            return
        late = self.now - attempt.sent > self.bound["loss-slack"] and not attempt.is_pipelined
        if self.is_planned_work(attempt) and (attempt.arrivals or late):
            place = (
                f"{'pipelined ' * attempt.is_pipelined}at {attempt.machine}, arrivals {len(attempt.arrivals)}"
            )
            self.report_violation(
                f"{attempt.id} {place}, lost its connection {self.now - attempt.sent:.3f} s after it was sent"
            )

    def answered(self, attempt: Attempt, status: int, headers: dict[str, str], body: bytes) -> None:
        """A client has received an answer."""
        own = "x-honeywharf-server-seal" not in headers and status >= 500
        broken_off = own and attempt.runs and not attempt.answers
        if broken_off and self.is_planned_work(attempt) and not self.is_excused(attempt):
            self.report_violation(f"{attempt.id} received {status} from the mesh while it was running")


class Config(Invariant):
    """A request must not be handled by a configuration that is too old or invalid."""

    def reset(self) -> None:
        """Creates the table of observed versions by machine and incarnation: (time at a backend, version)."""
        self.effects: dict[tuple[str, int], list[tuple[float, int]]] = {}

    def applicable_configs(self, attempt: Attempt) -> list[Order]:
        """Returns the configurations by which the attempt may be handled."""
        is_undisturbed = self.invariant_checker.is_undisturbed(attempt.machine, attempt.sent)
        return self.invariant_checker.configs_since(
            attempt.sent - self.bound["config-apply"] if is_undisturbed else float("-inf")
        )

    def ran(self, backend: Any, id_: str, request: object) -> None:
        """A backend has started a request."""
        attempt = self.invariant_checker.attempts.get(id_)
        if attempt is None:
            return
        if not any(
            backend.service in order.services(attempt.host, attempt.path)
            for order in self.applicable_configs(attempt)
        ):
            self.report_violation(f"{backend.service} ran {attempt.path} by an older configuration")
        matching = [
            order.version
            for order in self.invariant_checker.configs()
            if backend.service in order.services(attempt.host, attempt.path)
        ]
        seen = self.effects.setdefault((attempt.machine, attempt.incarnation), [])
        before = [version for when, version in seen if when < attempt.sent - self.bound["rollback-slack"]]
        if matching and before and max(matching) < max(before):
            self.report_violation(f"{attempt.machine} rolled back from r{max(before)} to r{max(matching)}")
        if matching and (not seen or min(matching) > seen[-1][1]):
            seen.append((self.now, min(matching)))

    def answered(self, attempt: Attempt, status: int, headers: dict[str, str], body: bytes) -> None:
        """A client has received an answer."""
        own = "x-honeywharf-server-seal" not in headers
        matching = self.applicable_configs(attempt)
        known = any(order.acked <= attempt.sent - self.bound["config-apply"] for order in matching)
        if (
            status == 404
            and own
            and known
            and self.invariant_checker.is_undisturbed(attempt.machine, attempt.sent)
            and all(order.services(attempt.host, attempt.path) for order in matching)
        ):
            self.report_violation(f"{attempt.path} was refused at {attempt.machine} although a route exists")

    def acked(self, order: Order) -> None:
        """An operator received a 2xx."""
        if not order.valid:
            self.report_violation(f"acknowledged although invalid: {order.text[:60]!r}")
        for other in self._acknowledged(order.version) if order.kind == "config" else ():
            if other.text != order.text:
                self.report_violation(f"two contents were acknowledged as r{order.version}")

    def refused(self, order: Order, status: int) -> None:
        """An operator received a 4xx, which must not follow an acknowledgement of the same content."""
        for other in self._acknowledged(order.version) if order.kind == "config" else ():
            if other.text == order.text:
                self.report_violation(f"r{order.version} was acknowledged and is now refused with {status}")

    def _acknowledged(self, version: int) -> list[Order]:
        """Returns the configurations of a version that have been acknowledged."""
        return [
            order
            for order in self.invariant_checker.configs()
            if order.version == version and order.acked <= self.now
        ]

    def read_back(self, text: bytes) -> None:
        """The operator has read the configuration at the end of the run."""
        newest = max(
            (order.version for order in self.invariant_checker.configs() if order.acked < 1e9), default=0
        )
        if not any(
            order.text == text and order.version >= newest for order in self.invariant_checker.configs()
        ):
            self.report_violation(f"read back: expected r{newest} or later, got {text[:40]!r}")


class Budget(Invariant):
    """Arrivals beyond the first of each request must stay within the retry budget."""

    def reset(self) -> None:
        """Creates the tables of the times of first attempts and of further arrivals by service."""
        self.requests: dict[str, list[float]] = {}
        self.extra: dict[str, list[float]] = {}

    def sent(self, attempt: Attempt) -> None:
        """A client sent a request, which counts for each service that any configuration routes it to."""
        ever = [order.services(attempt.host, attempt.path) for order in self.invariant_checker.configs()]
        for service in frozenset().union(*ever):
            self.requests.setdefault(service, []).append(self.now)

    def arrived(self, backend: Any, id_: str) -> None:
        """A request arrived at a backend."""
        attempt = self.invariant_checker.attempts.get(id_)
        if attempt is None or len(attempt.arrivals) < 2:
            return
        extra = self.extra.setdefault(backend.service, [])
        extra.append(self.now)
        span, times = self.bound["retry-window"], self.requests.get(backend.service, [])
        count = len(extra) - bisect_left(extra, self.now - span)
        ends = [self.now - back for back in (0.0, span / 2, span)]
        limit = max(bisect_left(times, end) - bisect_left(times, end - span) for end in ends)
        if count > self.bound["retry-budget-ratio"] * limit + self.bound["retry-budget-slack"]:
            self.report_violation(f"{count} retries at {backend.service} for {limit} requests")


class Failback(Invariant):
    """A cold backend must not get more requests than its limit."""

    def reset(self) -> None:
        """Creates the table of arrivals at cold backends: (time of arrival, time of sending)."""
        self.times: dict[str, list[tuple[float, float]]] = {}

    def arrived(self, backend: Any, id_: str) -> None:
        """A request arrived; only requests that were sent and arrived within the last second count."""
        attempt = self.invariant_checker.attempts.get(id_)
        if attempt is not None and self.now < backend.cold_until:
            times, begin = self.times.setdefault(backend.id, []), self.now - 1.0
            times.append((self.now, attempt.sent))
            count = sum(sent >= begin for _, sent in times[bisect_left(times, (begin, 0.0)) :])
            limit = backend.cold_per_s * self.bound["cold-overage"] + self.bound["cold-slack"]
            if count > limit:
                self.report_violation(f"{count} requests/s at cold {backend.id}: expected at most {limit}")


class Evac(Invariant):
    """An evacuated zone must not get requests."""

    def reset(self) -> None:
        """Creates the table of the times at which evacuations of zones were acknowledged."""
        self.since: dict[str, float] = {}

    def ordered(self, order: Order) -> None:
        """An operator has sent an order."""
        if order.kind == "complete":
            self.since.pop(order.zone, None)

    def acked(self, order: Order) -> None:
        """An operator received a 2xx."""
        later = self.invariant_checker.orders[self.invariant_checker.orders.index(order) + 1 :]
        if order.kind == "start" and all(other.zone != order.zone for other in later):
            self.since[order.zone] = self.now

    def arrived(self, backend: Any, id_: str) -> None:
        """A request arrived at a backend."""
        attempt, since = self.invariant_checker.attempts.get(id_), self.since.get(backend.zone, 1e9)
        if (
            attempt is not None
            and self.now > since + self.bound["evacuation"] + TRANSIT_S
            and all(
                self.invariant_checker.is_undisturbed(machine, self.now)
                for machine in (attempt.machine, backend.machine)
            )
        ):
            self.report_violation(f"{id_} came to {backend.id} {self.now - since:.2f} s after its evacuation")


class Gone(Invariant):
    """Backends must not go on working for clients that have disconnected."""

    def reset(self) -> None:
        """Creates the counters of late arrivals, and of long runs and those not cancelled in time."""
        self.late_arrivals = self.long_runs = self.still_at_work = 0

    def client_left(self, attempt: Attempt) -> None:
        """A client closed the connection on which it waited for an answer."""
        self.invariant_checker.world.at(self.now + CANCELLATION_S, self._check_cancelled, attempt)

    def _are_undisturbed(self, attempt: Attempt, backend: Any) -> bool:
        return all(
            self.invariant_checker.is_undisturbed(machine, self.now)
            for machine in (attempt.machine, backend.machine)
        )

    def _check_cancelled(self, attempt: Attempt) -> None:
        backends = {at for ends, at in attempt.ends if ends > self.now and self._are_undisturbed(attempt, at)}
        if not attempt.repeatable or not backends:
            return
        self.long_runs += 1
        self.still_at_work += any(at.is_running(attempt.id) for at in backends)
        if self.still_at_work > max(MAX_LATE_CANCELLATIONS, MAX_LATE_CANCELLATION_SHARE * self.long_runs):
            runs = f"{self.still_at_work} of {self.long_runs}"
            self.report_violation(f"{attempt.id} and others, {runs}, ran on after a disconnect")

    def arrived(self, backend: Any, id_: str) -> None:
        """A request arrived at a backend."""
        attempt = self.invariant_checker.attempts.get(id_)
        if (
            attempt is not None
            and self.now > attempt.abandoned_at + CANCELLATION_S
            and self._are_undisturbed(attempt, backend)
        ):
            self.late_arrivals += 1
            if self.late_arrivals > MAX_LATE_CANCELLATIONS:
                self.report_violation(
                    f"{id_} came to {backend.id} {self.now - attempt.abandoned_at:.3f} s after a disconnect"
                )


class Recover(Invariant):
    """Enough requests must be served once all machines have recovered."""

    def closing(self, end: float) -> None:
        """A quarter of what was sent later than `recovery` after the last fault must have been served."""
        begin = self.invariant_checker.last_any_fault_at + self.bound["recovery"]
        late = [attempt for attempt in self.invariant_checker.attempts.values() if begin < attempt.sent < end]
        served = sum(200 <= attempt.status < 300 for attempt in late)
        if served < len(late) / 4:
            self.report_violation(f"{served} of {len(late)} requests served after recovery")


class Admission(Invariant):
    """A successor of a lost control node must have its vote within the bound of docs/design/admission.md."""

    def successor_judged(self, machine: str, has_vote: bool) -> None:
        """The bound has passed since a successor's start, and no other control node had a fault."""
        if not has_vote:
            self.report_violation(f"{machine} has no vote within the bound")


INVARIANTS: tuple[type[Invariant], ...] = (
    Mixed,
    Unasked,
    Twice,
    Refused,
    Route,
    Drain,
    Lost,
    Config,
    Budget,
    Failback,
    Evac,
    Gone,
    Recover,
    Admission,
)
