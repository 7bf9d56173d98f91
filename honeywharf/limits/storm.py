"""What the decision module asks of storms, where they are watched: the interface alone."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class Coming(Enum):
    """How a request comes, as far as storms are concerned."""

    FIRST = "first"
    AS_TOLD = "as told"  # a repeat, not before the time that its refusal gave
    EARLY = "early"  # before it
    UNTOLD = "untold"  # a repeat of what was not refused here, as far as is known


class StormControl(Protocol):
    """What `honeywharf.storms` offers, where that is on: a judgement of each request, and times to return."""

    def connected(self, now: float, number: int) -> bool:
        """So many clients have connected; whether the state has changed."""

    def arrived(self, now: float, name: bytes, tenant: str, marked: bool) -> tuple[Coming, int, bool]:
        """How a request comes, a code for its name, whether the state has changed."""

    def admits(self, now: float, tenant: str, coming: Coming) -> bool:
        """Whether it may be begun, as far as repeats go."""

    def room(self, coming: Coming) -> float:
        """The part of what is open to a first try that is open to it."""

    def refused(self, now: float, code: int, coming: Coming, short: bool) -> float:
        """It is refused, for want of room or not: in how many ms to return."""

    def words(self) -> str:
        """The state and why, for the operator."""

    def pace(self) -> float:
        """Connections a second that may be accepted; 0 where there is no bound."""
