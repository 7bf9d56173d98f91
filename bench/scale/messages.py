"""What the run and its processes say to each other, packed as lists by the programs' own frames."""

from __future__ import annotations

from dataclasses import astuple, dataclass, field
from typing import Any

from bench.scale.traffic import Traffic

#: Methods that the processes of a run answer.
START = "scale.start"
KILL = "scale.kill"
SAMPLE = "scale.sample"
APPLIED = "scale.applied"
PARTITION = "scale.partition"


@dataclass(frozen=True)
class NodeSample:
    """One node at one moment; times are seconds on the steady clock, 0 for what has not come yet."""

    index: int
    traffic: Traffic
    started: float = 0.0
    ready: float = 0.0
    complete: float = 0.0
    known: int = 0
    held_down: int = 0
    revision: int = 0

    def packed(self) -> list[Any]:
        """As a list."""
        return list(astuple(self))

    @staticmethod
    def unpacked(values: list[Any]) -> NodeSample:
        """From such a list."""
        index, traffic, *rest = values
        return NodeSample(index, Traffic(*traffic), *rest)


@dataclass(frozen=True)
class Start:
    """Begin a life of some nodes, spread over `spread_s`; each is complete once it knows `known` machines."""

    indexes: list[int]
    spread_s: float = 0.0
    known: int = 0
    backends_only: list[int] = field(default_factory=list)  # machines whose sidecar is a process of its own

    def packed(self) -> list[Any]:
        """As a list."""
        return list(astuple(self))

    @staticmethod
    def unpacked(values: list[Any]) -> Start:
        """From such a list."""
        return Start(*values)
