"""The interface of retry storm control, as the decision module uses it."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class Coming(Enum):
    """Whether a request is a repeat, and whether it respects the time to return that a refusal announced."""

    FIRST = "first"
    AS_TOLD = "as told"  # a repeat at or after the announced time
    EARLY = "early"  # a repeat before the announced time
    UNTOLD = "untold"  # a repeat of a request that, as far as is known, was not refused here


class StormControl(Protocol):
    """Classifies requests, and spreads the times at which refused clients return (`honeywharf.storms`)."""

    def connected(self, now: float, number: int) -> bool:
        """Counts new client connections; returns whether the state has changed."""

    def arrived(self, now: float, name: bytes, tenant: str, marked: bool) -> tuple[Coming, int, bool]:
        """Classifies a request; returns its kind, a code for its name, and whether the state has changed."""

    def admits(self, now: float, tenant: str, coming: Coming) -> bool:
        """Whether the budget for repeats admits the request."""

    def limit_factor(self, coming: Coming) -> float:
        """Returns the factor on the part of a limit that is open to a first request."""

    def refused(self, now: float, code: int, coming: Coming, short: bool) -> float:
        """Records a refusal, `short` if for lack of capacity; returns the ms after which to return."""

    def words(self) -> str:
        """Returns the state and its reason, for the operator."""

    def pace(self) -> float:
        """Returns how many connections per second may be accepted; 0 for no bound."""
