"""The balancer's interface: settings and events in, `actions` out; times in ms on the caller's clock.

The embedding proxy, or a simulator's adapter (`simhost.py`), builds these values and carries the actions out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from honeywharf.limits.storm_control import Coming as Coming
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
from honeywharf.terms.site import (
    DedupeScope as DedupeScope,
    Effect as Effect,
    Endpoint as Endpoint,
    EndpointState as EndpointState,
    Goal as Goal,
    Limits as Limits,
    Prices as Prices,
    Reports as Reports,
    RequestClass as RequestClass,
    Rules as Rules,
    Settings as Settings,
    Sizes as Sizes,
    Tenant as Tenant,
)


class ListKind(Enum):
    """How a list event relates to the current list."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended."""

    __hash__ = object.__hash__  # Enum's own is slower, and each answer looks outcomes up

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
#: Outcomes after which the endpoint may still be at work on the attempt.
STILL_RUNS = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})


# Events. They and the actions are not frozen, as that triples the time to build one.


@dataclass(slots=True)
class Started:
    """The balancer has started."""


@dataclass(slots=True)
class EndpointsListed:
    """Discovery has answered. A FAILED event carries no endpoints, and the current list stays in use."""

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()
    serial: int = 0


@dataclass(slots=True)
class EndpointsExcluded:
    """The complete set of endpoints that an operator has excluded: they get no new calls, whatever is listed.

    A reinstated endpoint is treated as cold, unless it is listed as started after it was excluded.
    """

    names: frozenset[str]


@dataclass(slots=True)
class SettingsChanged:
    """The complete new settings. Pending requests keep their class; zone and tier do not change."""

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

    `earlier`: the rules on repeats apply as if that attempt had been this request's first. `name`: shared by
    a request and its repeats, if known.
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
    # The body is incomplete; the time limits of the request and its attempts start with `RequestWhole`.
    arriving: bool = False


@dataclass(slots=True)
class RequestWhole:
    """The last byte of an arriving request has been forwarded, or is ready to be forwarded."""

    request: str
    remaining_ms: float


@dataclass(slots=True)
class CallsBeside:
    """The calls in flight of this proxy's other process during a handover, by zone."""

    zones: dict[str, int]


@dataclass(slots=True)
class AnswerBroken:
    """An answer that already counted as a success has broken off, by its server's fault."""

    endpoint: str


@dataclass(slots=True)
class ClientsConnected:
    """The number of clients that have connected since the last such event."""

    number: int


@dataclass(slots=True)
class AttemptOpened:
    """A streamed answer has begun, and the attempt is forwarded to the client."""

    request: str
    attempt: int
    endpoint: str = ""
    elapsed_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """The single outcome of an attempt. `request_over`: the request does not need a final answer.

    `proxy_ms`: the part of `elapsed_ms` for which the outcome may have waited in the proxy itself.
    """

    request: str
    attempt: int
    outcome: Outcome
    elapsed_ms: float
    request_over: bool = False
    report: tuple[float, ...] | None = None
    endpoint: str = ""
    proxy_ms: float = 0.0
    last: bool = False  # no further attempt can be made, as part of the request's body is gone


@dataclass(slots=True)
class RequestExpired:
    """The client has disconnected, so the request does not need an answer."""

    request: str


@dataclass(slots=True)
class ProbeEnded:
    """The result of a probe of an endpoint."""

    endpoint: str
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class TimerFired:
    """A timer set by SetTimer has fired."""

    token: str


@dataclass(slots=True)
class LoopTurned:
    """The last turn of the proxy's event loop took `turn_ms`, for which arrivals had to wait."""

    turn_ms: float


@dataclass(slots=True)
class PeerMessage:
    """A message from another balancer of the tier."""

    sender: int
    payload: bytes


Event = (
    Started
    | EndpointsListed
    | RequestArrived
    | AttemptOpened
    | AttemptEnded
    | RequestExpired
    | ProbeEnded
    | TimerFired
    | LoopTurned
    | PeerMessage
    | ClientsConnected
    | EndpointsExcluded
    | SettingsChanged
    | RequestWhole
    | AnswerBroken
    | CallsBeside
)
