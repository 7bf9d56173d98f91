"""Simulates days of a fleet in virtual time: real decision modules, with models of nodes and clients.

A `Day` describes the fleet, its load and its faults; `play` simulates it and returns a `Result`. All random
values come from the day's seed, so that limiters are compared on the same arrivals, work and faults.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from honeywharf import limits
from honeywharf.lab import habits, http_server
from honeywharf.lab.http_server import HttpServer
from honeywharf.lab.model import Node, NodeSpec, Rack
from honeywharf.lab.population import UNCONNECTED, ClientAttempt, Population
from honeywharf.policy import interface as api
from honeywharf.policy.balancer import Balancer

SAME_ZONE_DELAY_MS = 0.1  # One way, between a proxy and a node of its zone.
CROSS_ZONE_DELAY_MS = 3.0  # One way, to a node of another zone.
CLIENT_PAUSE_MS = 0.05  # Between an answer and the next request of a `connections` client.
TICK_MS = 20.0  # Interval at which the due attempts of a population are collected.
WINDOW_MS = 500.0
SPARE_CORE_SHARE = 0.3  # Share of idle cores above which a fleet has spare capacity.


@dataclass(frozen=True)
class Fault:
    """A fault of the share `part` of the nodes or the proxies in `zone`.

    `crash`: nodes stop, and return cold after `for_ms`. `slow`: nodes become slower by `factor`. `drain`:
    nodes are listed as draining, and reject calls after `for_ms`. `restart`: the proxies with the oldest
    restart stop, the front still sends connections to them for `front_ms`, and new ones start after `for_ms`.
    `descriptors`: proxies accept no further connections for `for_ms`.
    """

    at_ms: float
    kind: str
    zone: str = ""  # Empty for all zones.
    part: float = 0.15
    for_ms: float = 4000.0
    factor: float = 1.0
    front_ms: float = 0.0


@dataclass(frozen=True)
class Reporting:
    """The load reports that nodes add to their answers: the number of calls that wait.

    A report is a snapshot that is renewed after a random time within `period_ms` and arrives `late_ms` later.
    Its value has a random factor with a standard deviation of `noise`. The share `liars` of the nodes always
    reports `lie`.
    """

    period_ms: tuple[float, float] = (69.0, 450.0)
    late_ms: float = 80.0
    noise: float = 0.1
    liars: float = 0.0
    lie: float = 0.0
    silent: float = 0.0  # Share of the nodes that report nothing.
    swing_ms: float = 0.0  # Added to `late_ms` in the middle third of the day.


@dataclass(frozen=True)
class Day:
    """The description of a simulated day.

    `rate_per_s`: arrivals by zone and time, whatever happens to them. `connections`: clients in each zone
    that send the next request as soon as they have an answer. `retries`: how often a client retries a request
    that was refused, or that failed and may be repeated. `clients`: the size of a population whose clients
    think `think_ms` on average; above 0 it replaces arrivals by rate. `accept_ms` and `request_ms`: what a
    connection and a request take of a proxy's core.
    """

    name: str
    seed: int
    work_ms: float
    nodes: dict[str, int]
    rate_per_s: Callable[[str, float], float]
    length_ms: float = 20000.0
    connections: int = 0
    spec: NodeSpec = field(default_factory=NodeSpec)
    slow_zone: str = ""
    slow_factor: float = 1.0
    faults: tuple[Fault, ...] = ()
    proxies: int = 3
    notice_ms: float = 1000.0  # Delay of the registry's updates about a restarted node.
    answer_delay_ms: float = 0.0  # Added to every answer of a node.
    latency_target_ms: float = 2000.0
    deadline_ms: float = 5000.0
    spread: float = 0.3  # Standard deviation of the logarithm of the work per request.
    retries: int = 0
    effect: api.Effect = api.Effect.REPEATABLE
    limiter: str = limits.DEFAULT
    habits: tuple[tuple[str, float], ...] = ()  # With weights; when empty, clients wait for the advised time.
    marks: float = 1.0  # Share of repeats that carry a mark.
    storms: bool = False
    clients: int = 0
    think_ms: float = 1000.0
    accept_ms: float = 0.0
    request_ms: float = 0.0
    keep_ms: float = 10_000.0  # Time until a population's idle connections are closed.
    reports: bool = False  # Whether the proxies read the load reports of nodes.
    load: Reporting | None = None  # The load reports that nodes send, if any.


@dataclass
class Result:
    """The outcome of a day. Times are in ms; windows are numbered by WINDOW_MS."""

    requests: int = 0
    served: int = 0
    good: int = 0  # Served within the latency target.
    refused: int = 0
    failed: int = 0
    refused_with_spare_capacity: int = 0
    advised_attempts_refused: int = 0  # Attempts at the advised time that were refused.
    advised_attempts: int = 0  # Attempts at the advised time.
    #: Counts of first attempts and repeats, by window.
    forwarded: dict[int, list[int]] = field(default_factory=dict)
    #: Storm control: time, proxy, log line.
    states: list[tuple[float, int, str]] = field(default_factory=list)
    connections_accepted: dict[int, int] = field(default_factory=dict)  # Counts by window.
    disconnected: int = 0  # Attempts whose proxy stopped or accepted no connection.
    sent_past_deadline: int = 0  # Attempts sent to a node after the client's deadline.
    fell: int = 0  # Nodes that fell over while cold.
    double_charges: int = 0  # Keys that were charged more than once.
    late_drains: int = 0  # Attempts sent to a draining node after the grace period.
    #: Time of the first attempt, and time until the answer.
    latencies: list[tuple[float, float]] = field(default_factory=list)
    #: Counts of requests, good and refused, by window.
    windows: dict[int, list[int]] = field(default_factory=dict)
    reasons: dict[str, int] = field(default_factory=dict)

    def quantile(self, part: float, from_ms: float = 0.0) -> float:
        """Returns a quantile of the latencies of served requests that began at or after `from_ms`."""
        ordered = sorted(took for begun, took in self.latencies if begun >= from_ms)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0

    def goodput(self, from_ms: float = 0.0, to_ms: float = float("inf")) -> float:
        """Returns the share of the requests in a span of time that were served within the latency target."""
        rows = [w for k, w in self.windows.items() if from_ms <= k * WINDOW_MS < to_ms]
        requests = sum(w[0] for w in rows)
        return sum(w[1] for w in rows) / requests if requests else 1.0


@dataclass(slots=True)
class _ClientRequest:
    """A client's request over all its attempts."""

    zone: str
    begun_ms: float
    work_ms: float
    key: str
    attempts: int = 0
    habit: str = ""
    as_advised: bool = False  # The current attempt comes at the advised time.
    client: int = -1  # The client's index in the population.
    copies_pending: int = 0  # Copies of the current attempt that have no answer.
    done: bool = False
    retry_after_ms: float = 0.0  # The longest time advised to a copy of the current attempt.
    outcome: str = ""


@dataclass(slots=True)
class _Attempt:
    """A proxy's attempt at a node, from sending until its outcome reaches the proxy."""

    proxy: int
    request: str
    number: int
    endpoint: str
    sent_ms: float
    return_ms: float
    key: str
    work_ms: float


class Simulation:
    """The simulation of a day. Events run in order of time, then of scheduling."""

    def __init__(self, day: Day) -> None:
        self.day, self.random, self.now = day, random.Random(day.seed), 0.0
        self.result = Result()
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.serial = 0
        self.zones = tuple(day.nodes)
        self.nodes: dict[str, Node] = {}
        self.endpoints: dict[str, api.Endpoint] = {}
        self.racks: dict[int, Rack] = {}
        self.client_requests: dict[str, _ClientRequest] = {}
        self.proxy_by_request: dict[str, int] = {}
        self.attempt_counts: dict[str, int] = {}
        self.attempts_in_flight: dict[str, _Attempt] = {}
        self.next_finish_ms: dict[str, float] = {}
        self.drained: dict[str, float] = {}  # Time at which the proxies were notified, by node.
        #: The time of each node's next snapshot, and its snapshots from the reported one on.
        self.snapshots: dict[str, tuple[float, deque[tuple[float, float]]]] = {}
        for number, zone in enumerate(self.zones):
            for i in range(day.nodes[zone]):
                name = f"{zone}{i}"
                factor = day.slow_factor if zone == day.slow_zone else 1.0
                self.nodes[name] = Node(replace(day.spec, speed=day.spec.speed / factor))
                self.endpoints[name] = api.Endpoint(name, zone, cell=number * 100 + i // 4)
        request_class = api.RequestClass(
            "read",
            day.latency_target_ms,
            day.deadline_ms,
            effect=day.effect,
            scope=api.DedupeScope.CELL,
            window_ms=7500.0,
        )
        self.proxy_zones = [self.zones[i % len(self.zones)] for i in range(day.proxies)]
        self.proxies_by_zone = {
            z: [i for i, proxy_zone in enumerate(self.proxy_zones) if proxy_zone == z] for z in self.zones
        }
        self.request_class = request_class
        self.proxies = [self.make_balancer(i) for i in range(day.proxies)]
        self.servers = [HttpServer(day.accept_ms, day.request_ms) for _ in range(day.proxies)]
        self.population: Population | None = None
        if day.clients:
            self.population = Population(
                day.clients, day.think_ms, len(self.zones), day.habits or (("obedient", 1.0),), day.seed
            )

    def make_balancer(self, i: int) -> Balancer:
        """Returns the decision module of a proxy that has just started."""
        day = self.day
        settings = api.Settings(
            zone=self.proxy_zones[i],
            classes=(self.request_class,),
            zones=len(self.zones),
            balancers=day.proxies,
            me=i,
            limits=api.Limits(max_attempts=4, retry_after=True, max_retry_after_ms=2000.0),
            rules=api.Rules(
                drain_grace_ms=500.0,
                cold_share=day.spec.cold_share,
                warm_after_ms=day.spec.warm_ms,
                cold_multiple=day.spec.fall_multiple,
                cold_window_ms=day.spec.fall_ms,
            ),
            report_fields=("queue",) if day.load is not None else (),
            reports=api.Reports.WITH_ANSWERS if day.load is not None else api.Reports.NONE,
        )
        seed = int(self.now)  # 0 for the proxies that start with the day.
        balancer = Balancer(settings, day.seed * 101 + i + seed, day.limiter)
        if day.reports:
            from honeywharf.reports import LoadReports

            balancer.choice.loads = LoadReports(settings)
        if day.storms:
            from honeywharf.storms import Rules, Storms

            balancer.storms = Storms(
                Rules(span_ms=day.deadline_ms), random.Random(day.seed * 103 + i + seed), b"%d" % i
            )
        return balancer

    def call_at(self, when: float, call: Callable[..., None], *args: object) -> None:
        """Schedules a call at a virtual time in ms."""
        self.serial += 1
        heapq.heappush(self.events, (when, self.serial, call, args))

    def play(self) -> Result:
        """Simulates the day to its end."""
        for i in range(len(self.proxies)):
            self.start_proxy(i)
        if self.population is not None:
            self.call_at(0.0, self.tick)
        for zone in self.zones if self.population is None else ():
            self.call_at(0.0, self.schedule_arrival, zone)
            for _ in range(self.day.connections):
                self.call_at(0.0, self.first_attempt, zone)
        for fault in self.day.faults:
            self.call_at(fault.at_ms, self.start_fault, fault)
        while self.events:
            when, _, call, args = heapq.heappop(self.events)
            self.now = when
            call(*args)
        charges: Counter[str] = Counter()  # A key may have been charged by several racks.
        for rack in self.racks.values():
            charges.update(rack.charges)
        self.result.double_charges = sum(n > 1 for n in charges.values())
        return self.result

    def start_proxy(self, proxy: int) -> None:
        """Starts a proxy with a full list of endpoints."""
        self.feed(proxy, api.Started())
        self.feed(proxy, api.EndpointsListed(api.ListKind.FULL, tuple(self.endpoints.values())))

    # Clients.

    def tick(self) -> None:
        """Schedules the attempts of the population that are due before the next tick."""
        if self.population is None or self.now >= self.day.length_ms:
            return
        for due in self.population.take_due(min(self.now + TICK_MS, self.day.length_ms)):
            self.call_at(max(self.now, due.when_ms), self.population_attempt, due)
        self.call_at(self.now + TICK_MS, self.tick)

    def population_attempt(self, due: ClientAttempt) -> None:
        """Makes an attempt of a client of the population."""
        assert self.population is not None
        work = self.day.work_ms * self.random.lognormvariate(0.0, self.day.spread)
        client_request = _ClientRequest(
            self.zones[self.population.zone(due.client)],
            due.begun_ms,
            work,
            f"{due.client}-{due.serial}",
            due.attempts - 1,
            habits.NAMES[self.population.habit[due.client]],
            due.as_advised,
            due.client,
        )
        if due.attempts == 1:
            client_request.begun_ms = self.now
            self.window(self.now)[0] += 1
            self.result.requests += 1
        self.start_attempt(client_request)

    def schedule_arrival(self, zone: str) -> None:
        """Schedules the next request of a zone."""
        if self.now >= self.day.length_ms:
            return
        rate = self.day.rate_per_s(zone, self.now)
        if rate > 0.0:
            self.call_at(self.now + self.random.expovariate(rate) * 1000.0, self.arrive, zone)
        else:
            self.call_at(self.now + 50.0, self.schedule_arrival, zone)

    def arrive(self, zone: str) -> None:
        """Starts a new request of a zone, and schedules the one after it."""
        if self.now >= self.day.length_ms:
            return
        self.schedule_arrival(zone)
        self.first_attempt(zone)

    def first_attempt(self, zone: str) -> None:
        """Makes the first attempt at a new request."""
        if self.now >= self.day.length_ms:
            return
        work = self.day.work_ms * self.random.lognormvariate(0.0, self.day.spread)
        self.window(self.now)[0] += 1
        self.result.requests += 1
        client_request = _ClientRequest(zone, self.now, work, f"k{self.result.requests}")
        if self.day.habits:
            client_request.habit = habits.choose_habit(self.day.habits, self.random)
        self.start_attempt(client_request)

    def start_attempt(self, client_request: _ClientRequest) -> None:
        """Makes an attempt, in several copies for some habits."""
        client_request.attempts += 1
        client_request.copies_pending = (
            habits.PARALLEL_COPIES.get(client_request.habit, 1) if client_request.attempts > 1 else 1
        )
        client_request.retry_after_ms, client_request.outcome = 0.0, ""
        self.result.advised_attempts += client_request.as_advised
        for copy in range(client_request.copies_pending):
            self.serial += 1
            name = f"r{self.serial}"
            proxy, connected = self.choose_proxy(client_request, copy)
            self.client_requests[name], self.proxy_by_request[name], self.attempt_counts[name] = (
                client_request,
                proxy,
                0,
            )
            marked = client_request.attempts > 1 and (
                self.day.marks >= 1.0 or self.random.random() < self.day.marks
            )
            left = self.day.deadline_ms - (
                self.now - client_request.begun_ms if client_request.habit else 0.0
            )
            request = api.RequestArrived(
                name, "read", left, is_retry=marked, name=client_request.key.encode()
            )
            if self.population is None and self.servers[proxy].up:
                self.feed(proxy, request)
            elif connected:
                self.process_request(proxy, self.proxies[proxy], request)
            else:
                self.connect(proxy, request)

    def choose_proxy(self, client_request: _ClientRequest, copy: int) -> tuple[int, bool]:
        """Returns a proxy, and whether the client has a connection to it."""
        if (
            self.population is not None
            and not copy
            and (connected_proxy := int(self.population.proxy[client_request.client])) >= 0
        ):
            return connected_proxy, True
        zone_proxies = self.proxies_by_zone[client_request.zone]
        listed = [i for i in zone_proxies if self.servers[i].listed] if self.day.faults else zone_proxies
        candidates = listed or zone_proxies
        return candidates[int(self.random.random() * len(candidates))], False

    def connect(self, proxy: int, request: api.RequestArrived) -> None:
        """Connects a client, which then waits in the proxy's accept queue."""
        server = self.servers[proxy]
        if request.id not in self.client_requests:  # Disconnected while it waited for a descriptor.
            return
        if not server.up:
            self.call_at(self.now + SAME_ZONE_DELAY_MS, self.disconnect, request.id)
            return
        when = server.accept(self.now)
        if when != http_server.FULL:
            server.queued += 1
            self.call_at(when, self.accepted, proxy, self.proxies[proxy], request)
        elif (
            self.now + http_server.ACCEPT_RETRY_MS
            < self.client_requests[request.id].begun_ms + self.day.deadline_ms
        ):
            self.call_at(self.now + http_server.ACCEPT_RETRY_MS, self.connect, proxy, request)
        else:
            self.disconnect(request.id)

    def accepted(self, proxy: int, balancer: Balancer, request: api.RequestArrived) -> None:
        """Accepts a connection, and reads the request that has arrived on it."""
        if self.proxies[proxy] is not balancer or not self.servers[proxy].up:
            self.disconnect(request.id)
            return
        server, client_request = self.servers[proxy], self.client_requests[request.id]
        server.queued -= 1
        # The proxy's paced listener reads this wait from TCP_INFO.
        request.remaining_ms = self.day.deadline_ms - (self.now - client_request.begun_ms)
        window = int(self.now // WINDOW_MS)
        self.result.connections_accepted[window] = self.result.connections_accepted.get(window, 0) + 1
        # Only one copy of a request keeps its connection.
        if self.population is not None and self.population.proxy[client_request.client] < 0:
            self.population.proxy[client_request.client] = proxy
            server.open_connections += 1
        self.feed(proxy, api.ClientsConnected(1))
        self.process_request(proxy, balancer, request)

    def process_request(self, proxy: int, balancer: Balancer, request: api.RequestArrived) -> None:
        """Handles a request as soon as the proxy's core is free."""
        cost = self.servers[proxy].request_ms
        if cost > 0.0:
            self.call_at(
                self.servers[proxy].work(self.now, cost), self.deliver_request, proxy, balancer, request
            )
        else:
            self.deliver_request(proxy, balancer, request)

    def deliver_request(self, proxy: int, balancer: Balancer, request: api.RequestArrived) -> None:
        """Passes a request to the decision module, unless its proxy has stopped."""
        if self.proxies[proxy] is balancer and self.servers[proxy].up:
            self.feed(proxy, request)
        else:
            self.disconnect(request.id)

    def disconnect(self, request: str) -> None:
        """Ends an attempt without an answer, as its proxy has stopped or accepts no connection."""
        if request in self.client_requests:
            self.result.disconnected += 1
            self.answered(request, "failed")

    def window(self, when: float) -> list[int]:
        """Returns the counts of the window at a time: requests, good, refused."""
        return self.result.windows.setdefault(int(when // WINDOW_MS), [0, 0, 0])

    def answered(self, request: str, outcome: str, retry_after_ms: float = 0.0) -> None:
        """Ends an attempt with its answer, and schedules a retry if the client makes one."""
        client_request = self.client_requests.pop(request)
        client_request.copies_pending -= 1
        if client_request.done:  # Another copy was served.
            return
        took = self.now - client_request.begun_ms
        if self.day.connections:
            self.call_at(self.now + CLIENT_PAUSE_MS, self.first_attempt, client_request.zone)
        if outcome == "served":
            client_request.done = True
            self.result.served += 1
            self.result.latencies.append((client_request.begun_ms, took))
            if took <= self.day.latency_target_ms:
                self.result.good += 1
                self.window(client_request.begun_ms)[1] += 1
            self.think(client_request)
            return
        if outcome == "refused":
            self.result.refused += 1
            self.window(self.now)[2] += 1
            if self.has_spare_capacity():
                self.result.refused_with_spare_capacity += 1
        else:
            self.result.failed += 1
        client_request.retry_after_ms, client_request.outcome = (
            max(client_request.retry_after_ms, retry_after_ms),
            "refused" if outcome == "refused" else client_request.outcome,
        )
        if client_request.copies_pending:
            return
        self.result.advised_attempts_refused += (
            client_request.as_advised and client_request.outcome == "refused"
        )
        if client_request.attempts <= self.day.retries and (
            client_request.outcome == "refused" or self.day.effect is api.Effect.REPEATABLE
        ):
            retry_pause_ms = max(client_request.retry_after_ms, 50.0)
            if client_request.habit:
                retry_pause_ms, client_request.as_advised = habits.backoff_ms(
                    client_request.habit, client_request.attempts, client_request.retry_after_ms, self.random
                )
                if self.now + retry_pause_ms >= client_request.begun_ms + self.day.deadline_ms:
                    self.think(client_request)  # The retry would be past the deadline.
                    return
            if self.population is not None:
                self.population.retry_at(
                    client_request.client, self.now + retry_pause_ms, client_request.as_advised
                )
            else:
                self.call_at(self.now + retry_pause_ms, self.start_attempt, client_request)
        else:
            self.think(client_request)

    def think(self, client_request: _ClientRequest) -> None:
        """Starts the think time of a client of the population, and the time-out of its idle connection."""
        if self.population is not None:
            self.population.think(client_request.client, self.now)
            self.call_at(
                self.now + self.day.keep_ms,
                self.close_idle,
                client_request.client,
                self.population.due[client_request.client],
            )

    def close_idle(self, client: int, due: float) -> None:
        """Closes a client's connection if the client has sent nothing since the time-out was set."""
        assert self.population is not None
        proxy = int(self.population.proxy[client])
        if proxy >= 0 and self.population.due[client] == due:
            self.population.proxy[client] = UNCONNECTED
            self.servers[proxy].open_connections -= 1

    def has_spare_capacity(self) -> bool:
        """Returns whether enough cores of the usable nodes are idle that no request need be refused."""
        cores = busy = 0
        for name, node in self.nodes.items():
            if node.alive and not node.draining and not node.fallen and name in self.endpoints:
                cores += node.spec.cores
                busy += min(node.spec.cores, node.in_flight)
        return busy < (1.0 - SPARE_CORE_SHARE) * cores

    # Proxies.

    def feed(self, proxy: int, event: api.Event) -> None:
        """Passes an event to a proxy, and executes its actions."""
        for action in self.proxies[proxy].handle(self.now, event):
            if isinstance(action, api.Send):
                self.send(proxy, action)
            elif isinstance(action, api.SetTimer):
                self.call_at(action.at_ms, self.timer, proxy, self.proxies[proxy], action.token)
            elif isinstance(action, api.PaceConnections):
                self.servers[proxy].set_accept_rate(self.now, action.per_s)
            elif isinstance(action, api.Refuse):
                self.result.reasons[action.reason.value] = self.result.reasons.get(action.reason.value, 0) + 1
                self.answered(action.request, "refused", action.retry_after_ms)
            elif isinstance(action, api.Fail):
                self.answered(action.request, "failed")
            elif isinstance(action, api.Log):
                self.result.states.append((self.now, proxy, action.words))

    def timer(self, proxy: int, balancer: Balancer, token: str) -> None:
        """Fires a timer, unless the proxy that set it has stopped."""
        if self.proxies[proxy] is balancer and self.servers[proxy].up:
            self.feed(proxy, api.TimerFired(token))

    def send(self, proxy: int, action: api.Send) -> None:
        """Sends an attempt to its node."""
        number = self.attempt_counts[action.request]
        self.attempt_counts[action.request] = number + 1
        if not number:
            forwarded = self.result.forwarded.setdefault(int(self.now // WINDOW_MS), [0, 0])
            forwarded[self.client_requests[action.request].attempts > 1] += 1
        delay_ms = (
            SAME_ZONE_DELAY_MS
            if action.endpoint.rstrip("0123456789") == self.proxy_zones[proxy]
            else CROSS_ZONE_DELAY_MS
        )
        client_request = self.client_requests[action.request]
        self.result.sent_past_deadline += self.now > client_request.begun_ms + self.day.deadline_ms and bool(
            client_request.habit
        )
        attempt = _Attempt(
            proxy,
            action.request,
            number,
            action.endpoint,
            self.now,
            delay_ms,
            client_request.key,
            client_request.work_ms,
        )
        self.serial += 1
        name = f"f{self.serial}"
        self.attempts_in_flight[name] = attempt
        drained_ms = self.drained.get(action.endpoint)
        if drained_ms is not None and self.now > drained_ms + 500.0:
            self.result.late_drains += 1
        self.call_at(self.now + delay_ms, self.deliver_attempt, name)
        self.call_at(self.now + action.timeout_ms, self.end_attempt, name, api.Outcome.TIMEOUT)

    def deliver_attempt(self, name: str) -> None:
        """Offers an attempt to its node."""
        attempt = self.attempts_in_flight.get(name)
        if attempt is None:
            return
        node = self.nodes[attempt.endpoint]
        if not node.alive or node.fallen:
            self.call_at(self.now + attempt.return_ms, self.end_attempt, name, api.Outcome.CONNECT_FAILED)
            return
        if not node.offer(self.now, name, attempt.work_ms):
            self.call_at(self.now + attempt.return_ms, self.end_attempt, name, api.Outcome.REJECTED)
            return
        if self.day.effect is api.Effect.KEYED:
            self.racks.setdefault(self.cell_of(attempt.endpoint), Rack()).charge(attempt.key, self.now)
        self.schedule_finish(attempt.endpoint)

    def schedule_finish(self, endpoint: str) -> None:
        """Schedules one event for the end of a node's next call."""
        due = self.nodes[endpoint].due()
        if due < self.next_finish_ms.get(endpoint, float("inf")):
            self.next_finish_ms[endpoint] = due
            self.call_at(due, self.finish_calls, endpoint, due)

    def cell_of(self, name: str) -> int:
        """Returns the cell of a node, which is its rack."""
        zone = name.rstrip("0123456789")
        return self.zones.index(zone) * 100 + int(name[len(zone) :]) // 4

    def finish_calls(self, endpoint: str, due: float) -> None:
        """Schedules the answers of the calls that a node has finished."""
        node = self.nodes[endpoint]
        if self.next_finish_ms.get(endpoint) == due:
            del self.next_finish_ms[endpoint]
        for name in node.finish(self.now):
            attempt = self.attempts_in_flight.get(name)
            if attempt is not None:
                back = attempt.return_ms + self.day.answer_delay_ms
                self.call_at(self.now + back, self.end_attempt, name, api.Outcome.OK)
        self.schedule_finish(endpoint)

    def end_attempt(self, name: str, outcome: api.Outcome) -> None:
        """Passes the outcome of an attempt to its proxy. Only the first outcome counts."""
        attempt = self.attempts_in_flight.pop(name, None)
        if attempt is None:
            return
        over = attempt.request not in self.client_requests
        if outcome is api.Outcome.OK and not over:
            self.answered(attempt.request, "served")
            over = True
        reported = (
            self.load_report(attempt.endpoint) if outcome in (api.Outcome.OK, api.Outcome.REJECTED) else None
        )
        self.feed(
            attempt.proxy,
            api.AttemptEnded(
                attempt.request,
                attempt.number,
                outcome,
                self.now - attempt.sent_ms,
                over,
                reported,
                attempt.endpoint,
            ),
        )

    def load_report(self, endpoint: str) -> tuple[float, ...] | None:
        """Returns the load report in a node's answer, or None."""
        reporting = self.day.load
        if reporting is None:
            return None
        position = list(self.nodes).index(endpoint) / len(self.nodes)
        if position >= 1.0 - reporting.silent:
            return None
        if position < reporting.liars:
            return (reporting.lie,)
        due, kept = self.snapshots.get(endpoint, (-1.0, deque()))
        if self.now >= due:
            factor = max(0.0, 1.0 + self.random.gauss(0.0, reporting.noise))
            kept.append((self.now, round(len(self.nodes[endpoint].waiting) * factor)))
            due = self.now + self.random.uniform(*reporting.period_ms)
            self.snapshots[endpoint] = (due, kept)
        third = self.day.length_ms / 3.0
        late = reporting.late_ms + (reporting.swing_ms if third <= self.now < 2.0 * third else 0.0)
        while len(kept) > 1 and kept[1][0] <= self.now - late:
            kept.popleft()
        return (kept[0][1],)

    # Faults.

    def start_fault(self, fault: Fault) -> None:
        """Starts a fault."""
        if fault.kind in ("restart", "descriptors"):
            self.start_proxy_fault(fault)
            return
        names = [n for n in self.nodes if not fault.zone or self.endpoints[n].zone == fault.zone]
        hit = self.random.sample(names, max(1, round(len(names) * fault.part)))
        for name in hit:
            if fault.kind == "crash":
                for lost in self.nodes[name].crash():
                    self.call_at(self.now + SAME_ZONE_DELAY_MS, self.end_attempt, lost, api.Outcome.RESET)
                self.call_at(self.now + fault.for_ms, self.restart_node, name)
            elif fault.kind == "slow":
                node = self.nodes[name]
                node.spec = replace(node.spec, speed=node.spec.speed / fault.factor)
            elif fault.kind == "drain":
                self.notify_proxies(replace(self.endpoints[name], state=api.EndpointState.DRAINING))
                self.call_at(self.now + fault.for_ms, self.stop_drained, name)
            else:
                raise ValueError(
                    f"fault.kind: expected crash, slow, drain, restart or descriptors, got {fault.kind!r}"
                )

    def start_proxy_fault(self, fault: Fault) -> None:
        """Starts a fault of proxies."""
        candidates = [i for i, zone in enumerate(self.proxy_zones) if fault.zone in ("", zone)]
        candidates.sort(key=lambda i: self.servers[i].restarted_ms)
        for i in candidates[: max(1, round(len(candidates) * fault.part))]:
            server = self.servers[i]
            if fault.kind == "descriptors":
                server.max_connections, max_connections = (
                    max(1, server.open_connections),
                    server.max_connections,
                )
                self.call_at(self.now + fault.for_ms, setattr, server, "max_connections", max_connections)
                continue
            server.crash(self.now)
            for name in [name for name, attempt in self.attempts_in_flight.items() if attempt.proxy == i]:
                del self.attempts_in_flight[name]  # The answer has no receiver.
            for name in [name for name in self.client_requests if self.proxy_by_request[name] == i]:
                self.call_at(self.now + SAME_ZONE_DELAY_MS, self.disconnect, name)
            self.reconnect(i)
            if fault.front_ms < fault.for_ms:
                self.call_at(self.now + fault.front_ms, setattr, server, "listed", False)
            self.call_at(self.now + fault.for_ms, self.restart_proxy, i)

    def reconnect(self, proxy: int) -> None:
        """Cuts the connections to a proxy. Clients with an eager habit reconnect at once."""
        if self.population is None:
            return
        eager = [habits.NAMES.index(name) for name in sorted(habits.EAGER)]
        for client in self.population.disconnect(proxy).tolist():
            if self.population.habit[client] in eager and self.population.due[client] < float("inf"):
                self.population.due[client] = self.now + self.random.uniform(0.0, 100.0)

    def restart_proxy(self, proxy: int) -> None:
        """Starts a new process in a proxy's place."""
        self.proxies[proxy] = self.make_balancer(proxy)
        self.servers[proxy].start(self.now)
        self.servers[proxy].listed = True
        self.start_proxy(proxy)

    def restart_node(self, name: str) -> None:
        """Restarts a node. The registry publishes it after `notice_ms`."""
        self.nodes[name].restart(self.now)
        self.call_at(
            self.now + self.day.notice_ms,
            self.notify_proxies,
            replace(self.endpoints[name], started_ms=self.now),
        )

    def stop_drained(self, name: str) -> None:
        """Lets a drained node reject all further calls."""
        self.nodes[name].draining = True

    def notify_proxies(self, endpoint: api.Endpoint) -> None:
        """Sends an endpoint from the registry to every proxy."""
        self.endpoints[endpoint.id] = endpoint
        if endpoint.state is api.EndpointState.DRAINING:
            self.drained[endpoint.id] = self.now
        for i in range(len(self.proxies)):
            self.feed(i, api.EndpointsListed(api.ListKind.CHANGES, (endpoint,)))


def play(day: Day) -> Result:
    """Simulates a day, and counts the nodes that fell over."""
    simulation = Simulation(day)
    result = simulation.play()
    result.fell = sum(node.fallen for node in simulation.nodes.values())
    return result


def capacity(day: Day, zone: str = "") -> float:
    """Returns the calls per second that the warm nodes of a zone, or of all zones, can do."""
    mean = day.work_ms * math.exp(day.spread**2 / 2.0)
    total = 0.0
    for name, count in day.nodes.items():
        if not zone or name == zone:
            speed = day.spec.speed / (day.slow_factor if name == day.slow_zone else 1.0)
            total += count * day.spec.cores * speed * 1000.0 / mean
    return total
