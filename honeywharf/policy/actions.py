"""What the decision module asks its embedding proxy to do at once, in order. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from honeywharf.policy.reasons import Reason, Why


@dataclass(slots=True)
class Send:
    """Start the request's next attempt (they count from 0) at an endpoint; 0: until the client gives up."""

    request: str
    endpoint: str
    timeout_ms: float
    zone: str = field(default="", compare=False)  # of the endpoint
    cell: int = field(default=0, compare=False)
    why: Why | None = field(default=None, compare=False)  # where the module explains itself


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: not run; trying again is harmless, after `retry_after_ms` where it is given."""

    request: str
    retry_after_ms: float = 0.0
    reason: Reason = field(default=Reason.NONE, compare=False)
    why: Why | None = field(default=None, compare=False)  # over all zones


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about the effect."""

    request: str
    reason: Reason = field(default=Reason.NONE, compare=False)
    why: Why | None = field(default=None, compare=False)


@dataclass(slots=True)
class Probe:
    """Check on an endpoint."""

    endpoint: str


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired with this token at `at_ms` or soon after."""

    at_ms: float
    token: str


@dataclass(slots=True)
class WatchEndpoints:
    """Ask discovery for changes from now on."""


@dataclass(slots=True)
class FetchEndpoints:
    """Ask discovery for the whole list, once."""


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class PaceConnections:
    """Accept so many connections a second from now on; without bound where it is 0."""

    per_s: float


@dataclass(slots=True)
class Log:
    """A line for the operator."""

    words: str


Action = (
    Send
    | Cancel
    | Refuse
    | Fail
    | Probe
    | SetTimer
    | WatchEndpoints
    | FetchEndpoints
    | CloseIdle
    | PaceConnections
    | Log
)
