"""The actions that the embedding proxy carries out at once, in order. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field

from honeywharf.policy.reasons import Reason, Why


@dataclass(slots=True)
class Send:
    """Start the request's next attempt (counted from 0). `timeout_ms` 0: wait until the client leaves."""

    request: str
    endpoint: str
    timeout_ms: float
    zone: str = field(default="", compare=False)  # the endpoint's zone
    cell: int = field(default=0, compare=False)
    why: Why | None = field(default=None, compare=False)  # set where `Balancer.explains` is


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: the request has not run, and a repeat is harmless, after `retry_after_ms` if above 0."""

    request: str
    retry_after_ms: float = 0.0
    reason: Reason = field(default=Reason.NONE, compare=False)
    why: Why | None = field(default=None, compare=False)  # summed over all zones


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed, and may have had its effect."""

    request: str
    reason: Reason = field(default=Reason.NONE, compare=False)
    why: Why | None = field(default=None, compare=False)


@dataclass(slots=True)
class Probe:
    """Probe the health of an endpoint."""

    endpoint: str


@dataclass(slots=True)
class SetTimer:
    """Send a TimerFired event with this token at `at_ms` or soon after."""

    at_ms: float
    token: str


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to discovery's changes."""


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the complete list from discovery, once."""


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class PaceConnections:
    """Accept at most `per_s` connections per second from now on; 0 means no bound."""

    per_s: float


@dataclass(slots=True)
class Log:
    """Write a log line for the operator."""

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
