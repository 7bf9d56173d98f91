"""What is kept of a request: its attempts, and what they prove of its effect."""

from __future__ import annotations

from dataclasses import dataclass, field

from honeywharf.policy import interface as api
from honeywharf.policy.endpoints import Attempt


@dataclass(slots=True, eq=False)
class Request:
    """A request taken and not yet forgotten: it is kept until its last attempt has ended."""

    id: str
    cls: api.RequestClass
    key: str  # of its line; empty where no order is asked
    deadline: float
    worth: float
    room: float = 1.0  # part of a zone's limit that is open to it
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False
    coming: api.Coming = api.Coming.FIRST
    code: int = 0  # of what its tries have in common, where storms are watched
    arriving: bool = False  # its body is still to come
    earlier: api.Earlier | None = None  # of another request of its key, which may have run

    def may_have_run(self) -> api.Earlier | None:
        """The first attempt that is not proven never to have run."""
        if self.earlier is not None:
            return self.earlier
        for a in self.attempts:
            if a.ran:
                return api.Earlier(a.server.endpoint.zone, a.server.endpoint.cell, a.sent_ms)
        return None

    def may_send_to(self, endpoint: api.Endpoint, now: float) -> bool:
        """Whether a further attempt there could not have an effect twice."""
        first, cls = self.may_have_run(), self.cls
        if first is None or cls.effect is api.Effect.REPEATABLE:
            return True
        if cls.effect is api.Effect.ONCE or now >= first.sent_ms + cls.window_ms:
            return False
        return (cls.scope is api.DedupeScope.ALL or first.zone == endpoint.zone) and (
            cls.scope is not api.DedupeScope.CELL or first.cell == endpoint.cell
        )

    def may_refuse(self) -> bool:
        """Whether a refusal, which tells the client that a repeat is harmless, would be true."""
        cls = self.cls
        if self.earlier is not None:
            return False  # guards against a promise made for an attempt of which this request knows no end
        return (
            cls.effect is api.Effect.REPEATABLE
            or self.may_have_run() is None
            or (cls.effect is api.Effect.KEYED and cls.scope is api.DedupeScope.ALL)
        )
