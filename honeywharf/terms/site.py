"""What a site tells a balancer: the settings, and what discovery says of an endpoint.

Values, and what of them contradicts itself: nothing here decides. All times are milliseconds. The decision
module is built with them and knows them by its `interface`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class EndpointState(Enum):
    """What discovery says of an endpoint's process."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Effect(Enum):
    """Whether a request may run more than once."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class DedupeScope(Enum):
    """Which endpoints drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Reports(Enum):
    """How an endpoint's load reports reach a balancer."""

    WITH_ANSWERS = "with answers"
    BY_PROBE = "by probe"
    NONE = "none"


class Sizes(Enum):
    """What an endpoint's `size` is: nothing, as registered, about that, or divided by what it holds."""

    NONE = "none"
    REGISTERED = "registered"
    ROUGH = "rough"
    LIVE = "live"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One server as discovery lists it. `started_ms` is None where it started long ago.

    `size` compares endpoints with each other as `Settings.sizes` says; `kind` is one of `Settings.kinds`.
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
    """What a class of requests is worth, when, and how often it may run.

    `in_order`: requests of such classes that share a key run one at a time, in the order taken.
    `aim_stretch`: the aim grows by so many times the work of the request itself.
    `late_value`: the part of the worth that an answer after the aim still has.
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
    """A tenant's requests a second, over all balancers, that count in full."""

    name: str
    quota_per_s: float
    portion: float = 0.0


@dataclass(slots=True, frozen=True)
class Limits:
    """What the site allows a balancer to do."""

    max_attempts: int = 3
    concurrent_attempts: bool = False
    cancel: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    peer_messages: bool = False
    max_open: int = 0  # requests held at once, 0 where nothing is said
    streams: int = 1  # attempts that one connection carries at once
    idle_ms: float = 0.0  # a connection unused for so long is closed
    connect_timeout_ms: float = 0.0
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures of the rules on answers, drains, cold starts, polled lists and order.

    `turn_gap_ms`: how long a key rests after an attempt that may still run (0 where order asks nothing).
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
    """Points of the result that each unit costs."""

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
    """The weights of the parts of the result."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a balancer is told when it starts.

    `balancers` counts the balancers of its tier and `me` is this one's number among them; `tier` is the place
    in `tier_names` of the tier it sends to. `passes_deadline`: a call brings the time that its caller has
    left, not the whole deadline of its class. `by_work`: worth is counted by work, not by request.
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
    tick_ms: float = 0.0  # the least time between two rounds of events
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
        """Refuse settings that contradict themselves."""

        def require(holds: bool, fault: str) -> None:
            if not holds:
                raise ValueError(f"settings: {fault}")

        names = [c.name for c in self.classes]
        require(bool(names), "no request class")
        require(len(set(names)) == len(names), "a request class is named twice")
        require(len({t.name for t in self.tenants}) == len(self.tenants), "a tenant is named twice")
        for c in self.classes:
            require(0 < c.aim_ms <= c.deadline_ms, f"class {c.name}: aim outside (0, deadline]")
            require(c.worth >= 0 and c.late_value >= 0, f"class {c.name}: negative worth")
            require(c.effect is not Effect.KEYED or c.window_ms >= 0, f"class {c.name}: negative window")
            require(not (c.in_order and c.stream), f"class {c.name}: a stream cannot be in order")
            require(c.aim_stretch >= 0, f"class {c.name}: negative aim stretch")
        require(all(t.quota_per_s >= 0 for t in self.tenants), "a tenant's quota is negative")
        require(self.limits.max_attempts >= 1, "no attempt allowed")
        require(0 <= self.tier < self.tiers, "tier outside the tiers")
        require(len(self.tier_names) in (0, self.tiers), "tier names do not match the tiers")
        require(self.balancers >= 1 and self.zones >= 1, "no balancer or no zone")
        require(self.me >= 0, "own number is negative")
        require(not self.zone_names or self.zone in self.zone_names, "own zone is not among the zones")
        require(0 < self.rules.cold_share <= 1, "cold share outside (0, 1]")
        require(
            min(self.rules.warm_after_ms, self.rules.answer_grace_ms, self.rules.drain_grace_ms) >= 0,
            "negative time",
        )
        require(self.rules.turn_gap_ms >= 0, "negative turn gap")
        require(self.rules.cold_multiple > 0, "cold multiple is not positive")
        require(not self.polled_discovery or self.rules.ask_every_ms > 0, "polled discovery without a period")
