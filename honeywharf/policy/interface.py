"""The balancer's interface: settings in, events in, actions (`actions`) out.

All times are milliseconds on the caller's clock. Nothing here decides anything: an embedding proxy (or
the host of simulated ones, simhost.py) builds these values and carries the actions out.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from honeywharf.limits.storm import Coming as Coming
from honeywharf.policy.actions import (
    Action as Action,
    Cancel as Cancel,
    CloseIdle as CloseIdle,
    Fail as Fail,
    FetchEndpoints as FetchEndpoints,
    Log as Log,
    PaceConnections as PaceConnections,
    Probe as Probe,
    Refuse as Refuse,
    Send as Send,
    SetTimer as SetTimer,
    WatchEndpoints as WatchEndpoints,
)
from honeywharf.policy.reasons import Reason as Reason, Why as Why


class EndpointState(Enum):
    """What discovery says of an endpoint's process."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list event relates to the list already held."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


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


class Outcome(Enum):
    """How an attempt ended."""

    __hash__ = object.__hash__  # the inherited one is no C code, and outcomes are looked up for each answer

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


#: Outcomes that prove the attempt did not run.
NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
#: Outcomes after which the attempt may still be at work.
STILL_RUNS = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})


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
        require(min(self.rules.warm_after_ms, self.rules.answer_grace_ms, self.rules.drain_grace_ms) >= 0,
                "negative time")
        require(self.rules.turn_gap_ms >= 0, "negative turn gap")
        require(self.rules.cold_multiple > 0, "cold multiple is not positive")
        require(not self.polled_discovery or self.rules.ask_every_ms > 0, "polled discovery without a period")


# Events: what happened. They and the actions are not frozen: that triples the time to make one.


@dataclass(slots=True)
class Started:
    """The balancer runs from now on."""


@dataclass(slots=True)
class EndpointsListed:
    """Word from discovery. A FAILED event carries no endpoints: the list held stands."""

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()
    serial: int = 0


@dataclass(slots=True)
class EndpointsExcluded:
    """Those that an operator has taken out, and no others: nothing new goes there, whatever is listed.

    One that comes back is taken for cold, unless it is listed as started since it was taken out.
    """

    names: frozenset[str]


@dataclass(slots=True)
class SettingsChanged:
    """New settings, as a whole. Requests under way keep their class; zone and tier do not change."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class Earlier:
    """An attempt that may have run, made for an earlier request of the same idempotency key."""

    zone: str
    cell: int
    sent_ms: float


@dataclass(slots=True)
class RequestArrived:
    """A request to answer exactly once within `remaining_ms`; `key` is empty where it has none.

    `earlier`: the rules on repeats hold as if that attempt had been this request's first. `name`: what all
    tries of one thing have in common; empty where nothing tells.
    """

    id: str
    class_name: str
    remaining_ms: float
    tenant: str = ""
    is_retry: bool = False
    key: str = ""
    is_write: bool = False
    work_hint_ms: float | None = None
    earlier: Earlier | None = None
    name: bytes = b""
    # Its body is still to come: its time, and that of attempts, runs from RequestWhole.
    arriving: bool = False


@dataclass(slots=True)
class RequestWhole:
    """The last byte of a request that was arriving has left for where it was sent, or waits to be sent."""

    request: str
    remaining_ms: float


@dataclass(slots=True)
class CallsBeside:
    """Calls that the other process of this proxy has out, by zone, while one takes the other's place."""

    zones: dict[str, int]


@dataclass(slots=True)
class AnswerBroken:
    """An answer that had begun, and counted as one, has broken off, by its server's fault."""

    endpoint: str


@dataclass(slots=True)
class ClientsConnected:
    """So many clients have connected since the last such event."""

    number: int


@dataclass(slots=True)
class AttemptOpened:
    """A streamed answer has begun: the attempt is the client's now."""

    request: str
    attempt: int
    endpoint: str = ""
    elapsed_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt's one outcome. `request_over`: no final answer is owed any more.

    `proxy_ms`: the part of `elapsed_ms` for which the outcome may have waited for the proxy itself.
    """

    request: str
    attempt: int
    outcome: Outcome
    elapsed_ms: float
    request_over: bool = False
    report: tuple[float, ...] | None = None
    endpoint: str = ""
    proxy_ms: float = 0.0
    last: bool = False  # no further attempt can be made: part of its body has gone


@dataclass(slots=True)
class RequestExpired:
    """The client has left: nothing is owed any more."""

    request: str


@dataclass(slots=True)
class ProbeEnded:
    """What a probe of an endpoint found."""

    endpoint: str
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class TimerFired:
    """A timer set by SetTimer has come due."""

    token: str


@dataclass(slots=True)
class LoopTurned:
    """The proxy's own event loop took `turn_ms` for its last turn: what came meanwhile had to wait for it."""

    turn_ms: float


@dataclass(slots=True)
class PeerMessage:
    """A message from another balancer of the tier."""

    sender: int
    payload: bytes


Event = (
    Started | EndpointsListed | RequestArrived | AttemptOpened | AttemptEnded | RequestExpired | ProbeEnded
    | TimerFired | LoopTurned | PeerMessage | ClientsConnected | EndpointsExcluded | SettingsChanged
    | RequestWhole | AnswerBroken | CallsBeside
)
