"""Messages between the bench and its processes, packed as lists into the programs' own frames."""

from __future__ import annotations

from dataclasses import astuple, dataclass, field
from typing import Any

from bench.scale.traffic import Traffic

#: The remote methods of the bench's processes.
START = "scale.start"
KILL = "scale.kill"
SAMPLE = "scale.sample"
APPLIED = "scale.applied"
PARTITION = "scale.partition"


@dataclass(frozen=True)
class NodeSample:
    """The state of one node. Times are seconds on the monotonic clock, 0 for what has not happened."""

    index: int
    traffic: Traffic
    started: float = 0.0
    ready: float = 0.0
    complete: float = 0.0
    known: int = 0
    unreachable: int = 0
    revision: int = 0

    def packed(self) -> list[Any]:
        """Returns the fields as a list."""
        return list(astuple(self))

    @staticmethod
    def unpacked(values: list[Any]) -> NodeSample:
        """Returns the sample of such a list."""
        index, traffic, *rest = values
        return NodeSample(index, Traffic(*traffic), *rest)


@dataclass(frozen=True)
class Start:
    """Starts nodes, spread over `spread_s`; each is complete once it knows `known` machines."""

    indexes: list[int]
    spread_s: float = 0.0
    known: int = 0
    #: Machines whose sidecar is a separate process.
    backends_only: list[int] = field(default_factory=list)

    def packed(self) -> list[Any]:
        """Returns the fields as a list."""
        return list(astuple(self))

    @staticmethod
    def unpacked(values: list[Any]) -> Start:
        """Returns the message of such a list."""
        return Start(*values)
