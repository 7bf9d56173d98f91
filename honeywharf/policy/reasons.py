"""Explanations of decisions: why a request was given up, and the state that a choice was made from."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Reason(Enum):
    """The reason for giving a request up."""

    NONE = ""
    CROWDED = "crowded"  # no zone has room under its limit
    NO_SERVER = "no server"  # no listed server is ready and allowed for the request
    PROXY = "proxy"  # this proxy's event loop is overloaded, or it has no connection left
    BUDGET = "budget"  # the attempts or the retry budget are used up
    TIME = "time"  # the client's deadline has passed
    UNKNOWN_CLASS = "unknown class"
    STORM = "storm"  # a repeat beyond the budget for repeats during a retry storm


@dataclass(slots=True, frozen=True)
class Why:
    """The state that a choice was made from. `level`: 0 own zone, 1 every zone, 2 every ready server."""

    level: int
    usable: int
    ready: int
    limit: float  # the limit on calls in the server's zone, or in all zones where no server was found
    in_flight: int  # the calls in flight there, without this one
    budget: float  # tokens left in the retry budget
    room: float = 1.0  # part of the limit that was open to the request
