"""The balancer's interface: settings in, events in, actions (`actions`) out.

All times are milliseconds on the caller's clock. Nothing here decides anything: an embedding proxy (or
the host of simulated ones, simhost.py) builds these values and carries the actions out.
"""

from __future__ import annotations

from dataclasses import dataclass
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
    """How a list event relates to the list already held."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


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
