"""Days in virtual time: real decision modules, model nodes, clients; thousands of seconds in seconds of CPU.

A `Day` says what there is and what happens; `play` plays it and returns a `Result`. Everything random comes
from the day's seed, so that two limiters are compared on the same arrivals, works and troubles.
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

REPLY_MS = 0.1  # one way between a proxy and a node of its zone, and
CROSS_MS = 3.0  # of another
CLIENT_MS = 0.05  # in which a client that has its answer asks again
TICK_MS = 20.0  # in which a population's clients are looked for
WINDOW_MS = 500.0
IDLE_CORES = 0.3  # a fleet with so many of its cores idle has room


@dataclass(frozen=True)
class Trouble:
    """What happens to nodes, or to proxies, at a time.

    `crash`: nodes die and are back cold after `for_ms`; `slow`: they turn slower by `factor`; `drain`: they
    are listed as draining, and take nothing more after `for_ms`. `restart`: the proxies that were restarted
    longest ago die, the front still sends to them for `front_ms`, and new ones are there after `for_ms`;
    `descriptors`: proxies take no connections over those that they hold, for `for_ms`.
    """

    at_ms: float
    kind: str
    zone: str = ""  # any
    part: float = 0.15
    for_ms: float = 4000.0
    factor: float = 1.0
    front_ms: float = 0.0


@dataclass(frozen=True)
class Reporting:
    """How nodes report the calls that wait with their answers.

    A snapshot, renewed after a time evenly random between two, and told so late; `noise` is the deviation of
    its factor. The `liars`, a part of the nodes, always say `lie`.
    """

    period_ms: tuple[float, float] = (69.0, 450.0)
    late_ms: float = 80.0
    noise: float = 0.1
    liars: float = 0.0
    lie: float = 0.0
    silent: float = 0.0  # a part of the nodes that report nothing
    swing_ms: float = 0.0  # how much later in the middle third of the day


@dataclass(frozen=True)
class Day:
    """One day.

    `rate_per_s`: arrivals by zone and time, whatever becomes of them. `connections`: clients for each zone
    that ask again as soon as they have an answer. `retries`: how often a client that was refused, or failed
    where that is harmless, tries again. `clients`: a population of so many, each of which thinks `think_ms`
    on the mean, in place of arrivals by rate. `accept_ms`, `request_ms`: what a connection and a request take
    of a proxy's core.
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
    troubles: tuple[Trouble, ...] = ()
    proxies: int = 3
    notice_ms: float = 1000.0  # until the registry has told the proxies
    answer_delay_ms: float = 0.0  # by which answers come late, whoever gave them
    aim_ms: float = 2000.0
    deadline_ms: float = 5000.0
    spread: float = 0.3  # of works, as a standard deviation of their logarithm
    retries: int = 0
    effect: api.Effect = api.Effect.REPEATABLE
    limiter: str = limits.DEFAULT
    habits: tuple[tuple[str, float], ...] = ()  # of clients, and their weights; without any, as told
    marks: float = 1.0  # part of repeats that are marked
    storms: bool = False
    clients: int = 0
    think_ms: float = 1000.0
    accept_ms: float = 0.0
    request_ms: float = 0.0
    keep_ms: float = 10_000.0  # for which a population's connections are kept idle
    reports: bool = False  # whether the proxies read nodes' load reports
    load: Reporting | None = None  # how nodes report


@dataclass
class Result:
    """What came of a day. Times in ms; shares of first tries."""

    asked: int = 0
    served: int = 0
    good: int = 0  # within the aim
    refused: int = 0
    failed: int = 0
    refused_with_room: int = 0
    told_and_refused: int = 0  # obedient tries that came as told and were refused again
    as_told: int = 0
    begun: dict[int, list[int]] = field(default_factory=dict)  # by WINDOW_MS: first tries and repeats sent on
    states: list[tuple[float, int, str]] = field(default_factory=list)  # of storms: when, whose, what
    connected: dict[int, int] = field(default_factory=dict)  # connections accepted, by WINDOW_MS
    cut: int = 0  # tries that ended with their proxy, or found none
    for_gone: int = 0  # attempts begun for clients whose patience had ended
    fell: int = 0
    double_charges: int = 0
    late_drains: int = 0
    latencies: list[tuple[float, float]] = field(default_factory=list)  # first asked, and how long it took
    windows: dict[int, list[int]] = field(default_factory=dict)  # by WINDOW_MS: asked, good, refused
    reasons: dict[str, int] = field(default_factory=dict)

    def quantile(self, part: float, from_ms: float = 0.0) -> float:
        """Of the served answers' times, of requests that began at or after `from_ms`."""
        ordered = sorted(took for begun, took in self.latencies if begun >= from_ms)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0

    def goodput(self, from_ms: float = 0.0, to_ms: float = float("inf")) -> float:
        """The share of what was asked in that time that was answered within the aim."""
        rows = [w for k, w in self.windows.items() if from_ms <= k * WINDOW_MS < to_ms]
        asked = sum(w[0] for w in rows)
        return sum(w[1] for w in rows) / asked if asked else 1.0


@dataclass(slots=True)
class _Ask:
    """A client's request, with its tries."""

    zone: str
    begun_ms: float
    works: float
    key: str
    tries: int = 0
    habit: str = ""
    told: bool = False  # this try comes as its refusal said
    client: int = -1  # of the population
    out: int = 0  # of this try's copies, those without an answer
    done: bool = False
    wait_ms: float = 0.0  # the longest that a refused copy was told
    how: str = ""


@dataclass(slots=True)
class _Flight:
    """An attempt on its way, or at a node."""

    proxy: int
    request: str
    number: int
    endpoint: str
    sent_ms: float
    back_ms: float
    key: str
    work_ms: float


class Simulation:
    """One day being played."""

    def __init__(self, day: Day) -> None:
        self.day, self.random, self.now = day, random.Random(day.seed), 0.0
        self.result = Result()
        self.heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.serial = 0
        self.zones = tuple(day.nodes)
        self.nodes: dict[str, Node] = {}
        self.endpoints: dict[str, api.Endpoint] = {}
        self.racks: dict[int, Rack] = {}
        self.asks: dict[str, _Ask] = {}
        self.owner: dict[str, int] = {}
        self.attempts: dict[str, int] = {}
        self.flights: dict[str, _Flight] = {}
        self.wakes: dict[str, float] = {}
        self.drained: dict[str, float] = {}  # when the proxies were told
        #: By node: when its next snapshot is due, and those that are told in time, the oldest first.
        self.snapshots: dict[str, tuple[float, deque[tuple[float, float]]]] = {}
        for number, zone in enumerate(self.zones):
            for i in range(day.nodes[zone]):
                name = f"{zone}{i}"
                factor = day.slow_factor if zone == day.slow_zone else 1.0
                self.nodes[name] = Node(replace(day.spec, speed=day.spec.speed / factor))
                self.endpoints[name] = api.Endpoint(name, zone, cell=number * 100 + i // 4)
        shape = api.RequestClass(
            "read",
            day.aim_ms,
            day.deadline_ms,
            effect=day.effect,
            scope=api.DedupeScope.CELL,
            window_ms=7500.0,
        )
        self.homes = [self.zones[i % len(self.zones)] for i in range(day.proxies)]
        self.of_zone = {z: [i for i, home in enumerate(self.homes) if home == z] for z in self.zones}
        self.shape = shape
        self.proxies = [self.balancer(i) for i in range(day.proxies)]
        self.servers = [HttpServer(day.accept_ms, day.request_ms) for _ in range(day.proxies)]
        self.population: Population | None = None
        if day.clients:
            self.population = Population(
                day.clients, day.think_ms, len(self.zones), day.habits or (("obedient", 1.0),), day.seed
            )

    def balancer(self, i: int) -> Balancer:
        """The decisions of a proxy that has just started."""
        day = self.day
        settings = api.Settings(
            zone=self.homes[i],
            classes=(self.shape,),
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
        seed = int(self.now)  # 0 for those of the day's begin
        made = Balancer(settings, day.seed * 101 + i + seed, day.limiter)
        if day.reports:
            from honeywharf.reports import LoadReports

            made.choice.loads = LoadReports(settings)
        if day.storms:
            from honeywharf.storms import Rules, Storms

            made.storms = Storms(
                Rules(span_ms=day.deadline_ms), random.Random(day.seed * 103 + i + seed), b"%d" % i
            )
        return made

    def at(self, when: float, call: Callable[..., None], *args: object) -> None:
        """Call back at that time."""
        self.serial += 1
        heapq.heappush(self.heap, (when, self.serial, call, args))

    def play(self) -> Result:
        """Play the day to its end."""
        for i in range(len(self.proxies)):
            self.begin(i)
        if self.population is not None:
            self.at(0.0, self.tick)
        for zone in self.zones if self.population is None else ():
            self.at(0.0, self.next_ask, zone)
            for _ in range(self.day.connections):
                self.at(0.0, self.ask, zone)
        for trouble in self.day.troubles:
            self.at(trouble.at_ms, self.strike, trouble)
        while self.heap:
            when, _, call, args = heapq.heappop(self.heap)
            self.now = when
            call(*args)
        charges: Counter[str] = Counter()  # over all racks: one does not know another's keys
        for rack in self.racks.values():
            charges.update(rack.charges)
        self.result.double_charges = sum(n > 1 for n in charges.values())
        return self.result

    def begin(self, proxy: int) -> None:
        """A proxy starts: it is told of every endpoint."""
        self.feed(proxy, api.Started())
        self.feed(proxy, api.EndpointsListed(api.ListKind.FULL, tuple(self.endpoints.values())))

    # Clients.

    def tick(self) -> None:
        """Those of the population whose turn comes before the next tick."""
        if self.population is None or self.now >= self.day.length_ms:
            return
        for due in self.population.take_due(min(self.now + TICK_MS, self.day.length_ms)):
            self.at(max(self.now, due.when_ms), self.population_attempt, due)
        self.at(self.now + TICK_MS, self.tick)

    def population_attempt(self, due: ClientAttempt) -> None:
        """A client of the population makes a try."""
        assert self.population is not None
        work = self.day.work_ms * self.random.lognormvariate(0.0, self.day.spread)
        ask = _Ask(
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
            ask.begun_ms = self.now
            self.window(self.now)[0] += 1
            self.result.asked += 1
        self.try_(ask)

    def next_ask(self, zone: str) -> None:
        """Draw when the zone's next request comes."""
        if self.now >= self.day.length_ms:
            return
        rate = self.day.rate_per_s(zone, self.now)
        if rate > 0.0:
            self.at(self.now + self.random.expovariate(rate) * 1000.0, self.arrive, zone)
        else:
            self.at(self.now + 50.0, self.next_ask, zone)

    def arrive(self, zone: str) -> None:
        """A new request comes."""
        if self.now >= self.day.length_ms:
            return
        self.next_ask(zone)
        self.ask(zone)

    def ask(self, zone: str) -> None:
        """A client makes its first try."""
        if self.now >= self.day.length_ms:
            return
        work = self.day.work_ms * self.random.lognormvariate(0.0, self.day.spread)
        self.window(self.now)[0] += 1
        self.result.asked += 1
        ask = _Ask(zone, self.now, work, f"k{self.result.asked}")
        if self.day.habits:
            ask.habit = habits.choose_habit(self.day.habits, self.random)
        self.try_(ask)

    def try_(self, ask: _Ask) -> None:
        """A client tries, or tries again; some make several tries at once of that."""
        ask.tries += 1
        ask.out = habits.PARALLEL_COPIES.get(ask.habit, 1) if ask.tries > 1 else 1
        ask.wait_ms, ask.how = 0.0, ""
        self.result.as_told += ask.told
        for copy in range(ask.out):
            self.serial += 1
            name = f"r{self.serial}"
            proxy, kept = self.choose(ask, copy)
            self.asks[name], self.owner[name], self.attempts[name] = ask, proxy, 0
            marked = ask.tries > 1 and (self.day.marks >= 1.0 or self.random.random() < self.day.marks)
            left = self.day.deadline_ms - (self.now - ask.begun_ms if ask.habit else 0.0)
            request = api.RequestArrived(name, "read", left, is_retry=marked, name=ask.key.encode())
            if self.population is None and self.servers[proxy].up:
                self.feed(proxy, request)
            elif kept:
                self.enter(proxy, self.proxies[proxy], request)
            else:
                self.connect(proxy, request)

    def choose(self, ask: _Ask, copy: int) -> tuple[int, bool]:
        """A proxy, and whether the client holds a connection to it."""
        if self.population is not None and not copy and (held := int(self.population.proxy[ask.client])) >= 0:
            return held, True
        homes = self.of_zone[ask.zone]
        listed = [i for i in homes if self.servers[i].listed] if self.day.troubles else homes
        among = listed or homes
        return among[int(self.random.random() * len(among))], False

    def connect(self, proxy: int, request: api.RequestArrived) -> None:
        """A client connects: it waits in the proxy's queue, or finds nobody there."""
        server = self.servers[proxy]
        if request.id not in self.asks:  # cut while it waited for a descriptor
            return
        if not server.up:
            self.at(self.now + REPLY_MS, self.cut, request.id)
            return
        when = server.accept(self.now)
        if when != http_server.FULL:
            server.queued += 1
            self.at(when, self.accepted, proxy, self.proxies[proxy], request)
        elif self.now + http_server.ACCEPT_RETRY_MS < self.asks[request.id].begun_ms + self.day.deadline_ms:
            self.at(self.now + http_server.ACCEPT_RETRY_MS, self.connect, proxy, request)
        else:
            self.cut(request.id)

    def accepted(self, proxy: int, balancer: Balancer, request: api.RequestArrived) -> None:
        """The proxy accepts a connection, and reads what came on it meanwhile."""
        if self.proxies[proxy] is not balancer or not self.servers[proxy].up:
            self.cut(request.id)
            return
        server, ask = self.servers[proxy], self.asks[request.id]
        server.queued -= 1
        # As the paced listener does, which reads from TCP_INFO how long it waited.
        request.remaining_ms = self.day.deadline_ms - (self.now - ask.begun_ms)
        window = int(self.now // WINDOW_MS)
        self.result.connected[window] = self.result.connected.get(window, 0) + 1
        if self.population is not None and self.population.proxy[ask.client] < 0:  # a copy's is closed again
            self.population.proxy[ask.client] = proxy
            server.open_connections += 1
        self.feed(proxy, api.ClientsConnected(1))
        self.enter(proxy, balancer, request)

    def enter(self, proxy: int, balancer: Balancer, request: api.RequestArrived) -> None:
        """The proxy has read a request, and comes to it when its core is free."""
        cost = self.servers[proxy].request_ms
        if cost > 0.0:
            self.at(self.servers[proxy].work(self.now, cost), self.read, proxy, balancer, request)
        else:
            self.read(proxy, balancer, request)

    def read(self, proxy: int, balancer: Balancer, request: api.RequestArrived) -> None:
        """The decisions have the request, unless their proxy has died."""
        if self.proxies[proxy] is balancer and self.servers[proxy].up:
            self.feed(proxy, request)
        else:
            self.cut(request.id)

    def cut(self, request: str) -> None:
        """A try ends without an answer: its proxy is gone, or takes no connection."""
        if request in self.asks:
            self.result.cut += 1
            self.answered(request, "failed")

    def window(self, when: float) -> list[int]:
        """The counts of that time: asked, good, refused."""
        return self.result.windows.setdefault(int(when // WINDOW_MS), [0, 0, 0])

    def answered(self, request: str, how: str, wait_ms: float = 0.0) -> None:
        """A try has its final answer; some clients try again."""
        ask = self.asks.pop(request)
        ask.out -= 1
        if ask.done:  # a copy of what was served
            return
        took = self.now - ask.begun_ms
        if self.day.connections:
            self.at(self.now + CLIENT_MS, self.ask, ask.zone)
        if how == "served":
            ask.done = True
            self.result.served += 1
            self.result.latencies.append((ask.begun_ms, took))
            if took <= self.day.aim_ms:
                self.result.good += 1
                self.window(ask.begun_ms)[1] += 1
            self.rest(ask)
            return
        if how == "refused":
            self.result.refused += 1
            self.window(self.now)[2] += 1
            if self.has_room():
                self.result.refused_with_room += 1
        else:
            self.result.failed += 1
        ask.wait_ms, ask.how = max(ask.wait_ms, wait_ms), "refused" if how == "refused" else ask.how
        if ask.out:
            return
        self.result.told_and_refused += ask.told and ask.how == "refused"
        if ask.tries <= self.day.retries and (
            ask.how == "refused" or self.day.effect is api.Effect.REPEATABLE
        ):
            pause = max(ask.wait_ms, 50.0)
            if ask.habit:
                pause, ask.told = habits.backoff_ms(ask.habit, ask.tries, ask.wait_ms, self.random)
                if self.now + pause >= ask.begun_ms + self.day.deadline_ms:
                    self.rest(ask)  # it has given up by then
                    return
            if self.population is not None:
                self.population.retry_at(ask.client, self.now + pause, ask.told)
            else:
                self.at(self.now + pause, self.try_, ask)
        else:
            self.rest(ask)

    def rest(self, ask: _Ask) -> None:
        """A client of the population thinks of what it wants next."""
        if self.population is not None:
            self.population.think(ask.client, self.now)
            self.at(self.now + self.day.keep_ms, self.idle, ask.client, self.population.due[ask.client])

    def idle(self, client: int, due: float) -> None:
        """A client that still has the same pause before it has held its connection idle for long enough."""
        assert self.population is not None
        proxy = int(self.population.proxy[client])
        if proxy >= 0 and self.population.due[client] == due:
            self.population.proxy[client] = UNCONNECTED
            self.servers[proxy].open_connections -= 1

    def has_room(self) -> bool:
        """Whether so many cores of the nodes that proxies may use are idle that no one need be refused."""
        cores = busy = 0
        for name, node in self.nodes.items():
            if node.alive and not node.draining and not node.fallen and name in self.endpoints:
                cores += node.spec.cores
                busy += min(node.spec.cores, node.in_flight)
        return busy < (1.0 - IDLE_CORES) * cores

    # Proxies.

    def feed(self, proxy: int, event: api.Event) -> None:
        """Hand a proxy an event and carry its actions out."""
        for action in self.proxies[proxy].handle(self.now, event):
            if isinstance(action, api.Send):
                self.send(proxy, action)
            elif isinstance(action, api.SetTimer):
                self.at(action.at_ms, self.timer, proxy, self.proxies[proxy], action.token)
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
        """A timer fires, unless the proxy that set it has died."""
        if self.proxies[proxy] is balancer and self.servers[proxy].up:
            self.feed(proxy, api.TimerFired(token))

    def send(self, proxy: int, action: api.Send) -> None:
        """An attempt leaves its proxy."""
        number = self.attempts[action.request]
        self.attempts[action.request] = number + 1
        if not number:
            begun = self.result.begun.setdefault(int(self.now // WINDOW_MS), [0, 0])
            begun[self.asks[action.request].tries > 1] += 1
        way = REPLY_MS if action.endpoint.rstrip("0123456789") == self.homes[proxy] else CROSS_MS
        ask = self.asks[action.request]
        self.result.for_gone += self.now > ask.begun_ms + self.day.deadline_ms and bool(ask.habit)
        flight = _Flight(proxy, action.request, number, action.endpoint, self.now, way, ask.key, ask.works)
        self.serial += 1
        name = f"f{self.serial}"
        self.flights[name] = flight
        told = self.drained.get(action.endpoint)
        if told is not None and self.now > told + 500.0:
            self.result.late_drains += 1
        self.at(self.now + way, self.reach, name)
        self.at(self.now + action.timeout_ms, self.end, name, api.Outcome.TIMEOUT)

    def reach(self, name: str) -> None:
        """An attempt arrives at its node."""
        flight = self.flights.get(name)
        if flight is None:
            return
        node = self.nodes[flight.endpoint]
        if not node.alive or node.fallen:
            self.at(self.now + flight.back_ms, self.end, name, api.Outcome.CONNECT_FAILED)
            return
        if not node.offer(self.now, name, flight.work_ms):
            self.at(self.now + flight.back_ms, self.end, name, api.Outcome.REJECTED)
            return
        if self.day.effect is api.Effect.KEYED:
            self.racks.setdefault(self.endpoints_cell(flight.endpoint), Rack()).charge(flight.key, self.now)
        self.wake(flight.endpoint)

    def wake(self, endpoint: str) -> None:
        """Come back when the node's next call ends: once, however many it holds."""
        due = self.nodes[endpoint].due()
        if due < self.wakes.get(endpoint, float("inf")):
            self.wakes[endpoint] = due
            self.at(due, self.work, endpoint, due)

    def endpoints_cell(self, name: str) -> int:
        """The rack of a node."""
        zone = name.rstrip("0123456789")
        return self.zones.index(zone) * 100 + int(name[len(zone) :]) // 4

    def work(self, endpoint: str, due: float) -> None:
        """A node has ended calls, unless it died or was looked at sooner."""
        node = self.nodes[endpoint]
        if self.wakes.get(endpoint) == due:
            del self.wakes[endpoint]
        for name in node.finish(self.now):
            flight = self.flights.get(name)
            if flight is not None:
                back = flight.back_ms + self.day.answer_delay_ms
                self.at(self.now + back, self.end, name, api.Outcome.OK)
        self.wake(endpoint)

    def end(self, name: str, outcome: api.Outcome) -> None:
        """An attempt's outcome reaches its proxy; only the first counts."""
        flight = self.flights.pop(name, None)
        if flight is None:
            return
        over = flight.request not in self.asks
        if outcome is api.Outcome.OK and not over:
            self.answered(flight.request, "served")
            over = True
        told = self.report(flight.endpoint) if outcome in (api.Outcome.OK, api.Outcome.REJECTED) else None
        self.feed(
            flight.proxy,
            api.AttemptEnded(
                flight.request, flight.number, outcome, self.now - flight.sent_ms, over, told, flight.endpoint
            ),
        )

    def report(self, endpoint: str) -> tuple[float, ...] | None:
        """What a node says of itself with an answer, which is a snapshot of some time ago."""
        shape = self.day.load
        if shape is None:
            return None
        place = list(self.nodes).index(endpoint) / len(self.nodes)
        if place >= 1.0 - shape.silent:
            return None
        if place < shape.liars:
            return (shape.lie,)
        due, kept = self.snapshots.get(endpoint, (-1.0, deque()))
        if self.now >= due:
            factor = max(0.0, 1.0 + self.random.gauss(0.0, shape.noise))
            kept.append((self.now, round(len(self.nodes[endpoint].waiting) * factor)))
            due = self.now + self.random.uniform(*shape.period_ms)
            self.snapshots[endpoint] = (due, kept)
        third = self.day.length_ms / 3.0
        late = shape.late_ms + (shape.swing_ms if third <= self.now < 2.0 * third else 0.0)
        while len(kept) > 1 and kept[1][0] <= self.now - late:
            kept.popleft()
        return (kept[0][1],)

    # Troubles.

    def strike(self, trouble: Trouble) -> None:
        """A trouble begins."""
        if trouble.kind in ("restart", "descriptors"):
            self.strike_proxies(trouble)
            return
        names = [n for n in self.nodes if not trouble.zone or self.endpoints[n].zone == trouble.zone]
        hit = self.random.sample(names, max(1, round(len(names) * trouble.part)))
        for name in hit:
            if trouble.kind == "crash":
                for lost in self.nodes[name].crash():
                    self.at(self.now + REPLY_MS, self.end, lost, api.Outcome.RESET)
                self.at(self.now + trouble.for_ms, self.revive, name)
            elif trouble.kind == "slow":
                node = self.nodes[name]
                node.spec = replace(node.spec, speed=node.spec.speed / trouble.factor)
            elif trouble.kind == "drain":
                self.tell(replace(self.endpoints[name], state=api.EndpointState.DRAINING))
                self.at(self.now + trouble.for_ms, self.stop, name)
            else:
                raise ValueError(
                    f"trouble: wanted crash, slow, drain, restart or descriptors, found {trouble.kind!r}"
                )

    def strike_proxies(self, trouble: Trouble) -> None:
        """A trouble of proxies begins."""
        among = [i for i, zone in enumerate(self.homes) if trouble.zone in ("", zone)]
        among.sort(key=lambda i: self.servers[i].restarted_ms)
        for i in among[: max(1, round(len(among) * trouble.part))]:
            server = self.servers[i]
            if trouble.kind == "descriptors":
                server.max_connections, max_connections = (
                    max(1, server.open_connections),
                    server.max_connections,
                )
                self.at(self.now + trouble.for_ms, setattr, server, "max_connections", max_connections)
                continue
            server.crash(self.now)
            for name in [name for name, flight in self.flights.items() if flight.proxy == i]:
                del self.flights[name]  # its node finds nobody to answer to
            for name in [name for name in self.asks if self.owner[name] == i]:
                self.at(self.now + REPLY_MS, self.cut, name)
            self.reconnect(i)
            if trouble.front_ms < trouble.for_ms:
                self.at(self.now + trouble.front_ms, setattr, server, "listed", False)
            self.at(self.now + trouble.for_ms, self.restart, i)

    def reconnect(self, proxy: int) -> None:
        """Connections to a proxy are cut; eager clients come again at once, to another or to the same."""
        if self.population is None:
            return
        eager = [habits.NAMES.index(name) for name in sorted(habits.EAGER)]
        for client in self.population.disconnect(proxy).tolist():
            if self.population.habit[client] in eager and self.population.due[client] < float("inf"):
                self.population.due[client] = self.now + self.random.uniform(0.0, 100.0)

    def restart(self, proxy: int) -> None:
        """A new process serves in a proxy's place."""
        self.proxies[proxy] = self.balancer(proxy)
        self.servers[proxy].start(self.now)
        self.servers[proxy].listed = True
        self.begin(proxy)

    def revive(self, name: str) -> None:
        """A node comes back, and the registry learns of it later."""
        self.nodes[name].restart(self.now)
        self.at(self.now + self.day.notice_ms, self.tell, replace(self.endpoints[name], started_ms=self.now))

    def stop(self, name: str) -> None:
        """A drained node takes nothing any more."""
        self.nodes[name].draining = True

    def tell(self, endpoint: api.Endpoint) -> None:
        """The registry tells every proxy."""
        self.endpoints[endpoint.id] = endpoint
        if endpoint.state is api.EndpointState.DRAINING:
            self.drained[endpoint.id] = self.now
        for i in range(len(self.proxies)):
            self.feed(i, api.EndpointsListed(api.ListKind.CHANGES, (endpoint,)))


def play(day: Day) -> Result:
    """Play a day and count what fell over."""
    simulation = Simulation(day)
    result = simulation.play()
    result.fell = sum(node.fallen for node in simulation.nodes.values())
    return result


def capacity(day: Day, zone: str = "") -> float:
    """Calls a second that the warm nodes of a zone, or of all, can do."""
    mean = day.work_ms * math.exp(day.spread**2 / 2.0)
    total = 0.0
    for name, count in day.nodes.items():
        if not zone or name == zone:
            speed = day.spec.speed / (day.slow_factor if name == day.slow_zone else 1.0)
            total += count * day.spec.cores * speed * 1000.0 / mean
    return total
