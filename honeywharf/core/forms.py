"""Arrival: whether a request has the form of its class, how long it may take, and what its tries share."""

from __future__ import annotations

from honeywharf.core.messages import Request
from honeywharf.policy import interface as api

# The final answer has to be on its way before the client gives up: its time ran from its sending, so part of
# it was gone when the request was read, and the timer may run late.
ANSWER_MARGIN_MS = 10.0


def tries_name(request: Request) -> bytes:
    """What all tries of one thing have in common: its idempotency key, or who asks for what; else nothing."""
    if request.idempotency_key:
        return b"%b %b" % (request.account.encode("latin-1"), request.idempotency_key)
    if request.sid:
        return b"%b %b %b" % (
            request.account.encode("latin-1"),
            request.sid.encode("latin-1"),
            request.target,
        )
    return b""


class Forms:
    """The classes of requests that are served. `former`: those that were less strict until just now."""

    __slots__ = ("classes", "former")

    def __init__(self, settings: api.Settings, former: dict[str, api.RequestClass] | None = None) -> None:
        self.classes = {c.name: c for c in settings.classes}
        self.former: dict[str, api.RequestClass] = former or {}

    def fault_of(self, request: Request) -> str | None:
        """Why the request can't be given to the module, if so."""
        cls = self.classes.get(request.class_name)
        if cls is None:
            return "unknown class"
        if not request.id:
            return "no id"
        if request.left_ms is None:
            return "no time left"
        fault = self._misfit(request, cls)
        former = self.former.get(request.class_name)
        if fault is not None and former is not None:
            # It was written before the class became stricter, under whose rules it is served.
            fault = self._misfit(request, former)
        return fault

    def _misfit(self, request: Request, cls: api.RequestClass) -> str | None:
        """Why the request has not the form of its class, if so."""
        if request.method != (b"GET" if cls.effect is api.Effect.REPEATABLE else b"POST"):
            return "a method that is not the class's"
        if request.method == b"GET" and (request.body or request.pipe is not None):
            return "a body where none belongs"
        if (cls.effect is api.Effect.KEYED) != bool(request.idempotency_key):
            return "an idempotency key where none belongs, or none where one does"
        return None

    def left_ms(self, request: Request) -> float:
        """The time in which the answer has to be written, from when the request was read or is whole.

        Guards against a time left of years: no client of the class waits longer than its deadline.
        """
        left = request.left_ms or 0.0
        cls = self.classes.get(request.class_name)
        return max(0.0, (min(left, cls.deadline_ms) if cls is not None else left) - ANSWER_MARGIN_MS)
