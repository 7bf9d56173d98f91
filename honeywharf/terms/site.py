"""The settings of a site, and the endpoints as discovery lists them.

These are values, with checks for contradictions; no decision is made here. All times are milliseconds. The
decision module imports them through its `interface`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class EndpointState(Enum):
    """The state of an endpoint's process, as discovery reports it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Effect(Enum):
    """Whether a request may run more than once."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class DedupeScope(Enum):
    """The group of endpoints that deduplicate a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Reports(Enum):
    """How an endpoint's load reports reach a balancer."""

    WITH_ANSWERS = "with answers"
    BY_PROBE = "by probe"
    NONE = "none"


class Sizes(Enum):
    """The meaning of an endpoint's `size`: none, as registered, approximate, or divided by its load."""

    NONE = "none"
    REGISTERED = "registered"
    ROUGH = "rough"
    LIVE = "live"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One server as discovery lists it. `started_ms` is None where it started long ago.

    `Settings.sizes` gives the meaning of `size`; `kind` is one of `Settings.kinds`.
    """

    id: str
    zone: str
    state: EndpointState = EndpointState.READY
    cell: int = 0
    started_ms: float | None = None
    size: float = 1.0
    kind: str = ""


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its value `worth`, its latency target `aim_ms`, and how often a request may run.

    `in_order`: requests of such classes that share a key run one at a time, in order of arrival.
    `aim_stretch`: the latency target grows by this many times the work of the request itself.
    `late_value`: the part of the value that an answer after the latency target still has.
    """

    name: str
    aim_ms: float
    deadline_ms: float
    effect: Effect = Effect.REPEATABLE
    scope: DedupeScope = DedupeScope.ALL
    window_ms: float = 0.0
    worth: float = 1.0
    late_value: float = 0.0
    in_order: bool = False
    stream: bool = False
    aim_stretch: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant, with its quota of requests per second over all balancers; requests above it lose value."""

    name: str
    quota_per_s: float
    portion: float = 0.0


@dataclass(slots=True, frozen=True)
class Limits:
    """The actions that the site allows a balancer to take, and their bounds."""

    max_attempts: int = 3
    concurrent_attempts: bool = False
    cancel: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    peer_messages: bool = False
    max_open: int = 0  # the bound on pending requests; 0 for none
    streams: int = 1  # the attempts that one connection carries at once
    idle_ms: float = 0.0  # a connection is closed after being idle for this long
    connect_timeout_ms: float = 0.0
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """The parameters of the rules on answers, draining, cold starts, polled discovery and order.

    `turn_gap_ms`: how long a key is blocked after an attempt that may still run (0 where order is not kept).
    """

    answer_grace_ms: float = 0.0
    drain_grace_ms: float = 1000.0
    cold_share: float = 1.0
    warm_after_ms: float = 0.0
    cold_multiple: float = 3.0
    cold_window_ms: float = 2000.0
    ask_every_ms: float = 0.0
    turn_gap_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Prices:
    """The points that each unit costs in the rating of a simulated run."""

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    probe: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0
    discovery: float = 0.0
    fleet: float = 0.0
    moves: float = 0.0
    origin: float = 0.0
    peer: float = 0.0


@dataclass(slots=True, frozen=True)
class Goal:
    """The weights of the parts in the rating of a simulated run."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a balancer.

    `balancers` is the number of balancers of its tier and `me` is this one's number among them; `tier` is the
    index in `tier_names` of the tier it sends to. `passes_deadline`: a call carries the time that its caller
    has left, not the full deadline of its class. `by_work`: value is counted by work, not by request.
    """

    zone: str
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    tier: int = 0
    tiers: int = 1
    balancers: int = 1
    zones: int = 1
    polled_discovery: bool = False
    passes_deadline: bool = True
    report_fields: tuple[str, ...] = ()
    reports: Reports = Reports.NONE
    me: int = 0
    tick_ms: float = 0.0  # the minimum time between two rounds of events
    domain: str = ""
    zone_names: tuple[str, ...] = ()
    tier_names: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    sizes: Sizes = Sizes.REGISTERED
    by_work: bool = False
    clients_mark_retries: bool = False
    warm_keys: bool = False
    goal: Goal = field(default_factory=Goal)
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)

    def __post_init__(self) -> None:
        """Raises ValueError for settings that contradict themselves."""

        def require(holds: bool, fault: str) -> None:
            if not holds:
                raise ValueError(f"settings: {fault}")

        names = [c.name for c in self.classes]
        require(bool(names), "classes: no request class, expected at least one")
        require(len(set(names)) == len(names), "classes: expected different names, got one twice")
        require(
            len({t.name for t in self.tenants}) == len(self.tenants),
            "tenants: expected different names, got one twice",
        )
        for c in self.classes:
            require(
                0 < c.aim_ms <= c.deadline_ms,
                f"class {c.name}: aim outside (0, deadline]",
            )
            require(
                c.worth >= 0 and c.late_value >= 0,
                f"class {c.name}: worth and late value: expected 0 or more, got a negative one",
            )
            require(
                c.effect is not Effect.KEYED or c.window_ms >= 0,
                f"class {c.name}: window: expected 0 or more, got a negative time",
            )
            require(not (c.in_order and c.stream), f"class {c.name}: a stream cannot be in order")
            require(
                c.aim_stretch >= 0, f"class {c.name}: aim stretch: expected 0 or more, got a negative one"
            )
        require(
            all(t.quota_per_s >= 0 for t in self.tenants),
            "tenants: expected quotas of 0 or more, got a negative one",
        )
        require(self.limits.max_attempts >= 1, "max attempts: no attempt allowed, expected 1 or more")
        require(0 <= self.tier < self.tiers, "tier: tier outside the tiers, expected an index of one")
        require(
            len(self.tier_names) in (0, self.tiers),
            "tier names: expected none or one for each tier, got another number",
        )
        require(self.balancers >= 1 and self.zones >= 1, "balancers and zones: expected 1 or more, got less")
        require(self.me >= 0, "me: own number is negative, expected 0 or more")
        require(
            not self.zone_names or self.zone in self.zone_names,
            "zone: own zone is not among the zones",
        )
        require(0 < self.rules.cold_share <= 1, "cold share: expected a part in (0, 1], got one outside")
        require(
            min(self.rules.warm_after_ms, self.rules.answer_grace_ms, self.rules.drain_grace_ms) >= 0,
            "rules: expected times of 0 or more, got a negative one",
        )
        require(self.rules.turn_gap_ms >= 0, "turn gap: negative turn gap, expected 0 or more")
        require(self.rules.cold_multiple > 0, "cold multiple: expected more than 0, got less")
        require(
            not self.polled_discovery or self.rules.ask_every_ms > 0,
            "polled discovery: expected a period of more than 0, got none",
        )
