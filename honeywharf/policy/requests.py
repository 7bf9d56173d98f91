"""The state kept for a request: its attempts, and what they prove of its effect."""

from __future__ import annotations

from dataclasses import dataclass, field

from honeywharf.policy import interface as api
from honeywharf.policy.endpoints import Attempt


@dataclass(slots=True, eq=False)
class Request:
    """A request that was received, kept until its last attempt has ended."""

    id: str
    cls: api.RequestClass
    key: str  # the order key; empty where order does not matter
    deadline: float
    worth: float
    limit_share: float = 1.0  # the part of a zone's limit that is open to the request
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False
    coming: api.Coming = api.Coming.FIRST
    code: int = 0  # a code for the name that all repeats share, where retry storms are watched
    arriving: bool = False  # the body is not complete yet
    earlier: api.Earlier | None = None  # an attempt of another request of the same key that may have run

    def first_possible_run(self) -> api.Earlier | None:
        """Returns the first attempt that is not proven never to have run, or None."""
        if self.earlier is not None:
            return self.earlier
        for a in self.attempts:
            if a.possibly_ran:
                return api.Earlier(a.server.endpoint.zone, a.server.endpoint.cell, a.sent_ms)
        return None

    def may_send_to(self, endpoint: api.Endpoint, now: float) -> bool:
        """Whether a further attempt at the endpoint cannot cause the effect a second time."""
        first, cls = self.first_possible_run(), self.cls
        if first is None or cls.effect is api.Effect.REPEATABLE:
            return True
        if cls.effect is api.Effect.ONCE or now >= first.sent_ms + cls.window_ms:
            return False
        return (cls.scope is api.DedupeScope.ALL or first.zone == endpoint.zone) and (
            cls.scope is not api.DedupeScope.CELL or first.cell == endpoint.cell
        )

    def may_refuse(self) -> bool:
        """Whether the request may be refused, which promises the client that a repeat is harmless."""
        cls = self.cls
        if self.earlier is not None:
            return False  # guards against a promise about an attempt whose end this request does not know
        return (
            cls.effect is api.Effect.REPEATABLE
            or self.first_possible_run() is None
            or (cls.effect is api.Effect.KEYED and cls.scope is api.DedupeScope.ALL)
        )
