"""Validation of arriving requests: the form that a class demands, the time limit, and the retry group."""

from __future__ import annotations

from honeywharf.core.messages import Request
from honeywharf.policy import interface as api

# The final answer must be on its way before the client gives up. Part of the client's time limit has passed
# when the request is read, as it runs from the send, and the proxy's timer may fire late.
ANSWER_MARGIN_MS = 10.0


def retry_group(request: Request) -> bytes:
    """Returns a value that all retries of one operation share, or an empty value if there is none.

    The value is built from the idempotency key, or else from the client and the target.
    """
    if request.idempotency_key:
        return b"%b %b" % (request.account.encode("latin-1"), request.idempotency_key)
    if request.session_id:
        return b"%b %b %b" % (
            request.account.encode("latin-1"),
            request.session_id.encode("latin-1"),
            request.target,
        )
    return b""


class RequestValidator:
    """Checks requests against the classes that are served.

    `previous`: classes that have just become stricter, in the form that is still accepted.
    """

    __slots__ = ("classes", "previous")

    def __init__(self, settings: api.Settings, previous: dict[str, api.RequestClass] | None = None) -> None:
        self.classes = {c.name: c for c in settings.classes}
        self.previous: dict[str, api.RequestClass] = previous or {}

    def error_of(self, request: Request) -> str | None:
        """Returns what is invalid about a request, None if it is valid."""
        cls = self.classes.get(request.class_name)
        if cls is None:
            return "unknown class"
        if not request.id:
            return "no id"
        if request.left_ms is None:
            return "no time left"
        error = self._class_mismatch(request, cls)
        previous = self.previous.get(request.class_name)
        if error is not None and previous is not None:
            # The request was written before the class became stricter, and is judged by the earlier form.
            error = self._class_mismatch(request, previous)
        return error

    def _class_mismatch(self, request: Request, cls: api.RequestClass) -> str | None:
        """Returns how a request violates its class, None if it fits."""
        if request.method != (b"GET" if cls.effect is api.Effect.REPEATABLE else b"POST"):
            return "a method that is not the class's"
        if request.method == b"GET" and (request.body or request.pipe is not None):
            return "a body where none belongs"
        if (cls.effect is api.Effect.KEYED) != bool(request.idempotency_key):
            return "an idempotency key where none belongs, or none where one does"
        return None

    def answer_time_ms(self, request: Request) -> float:
        """Returns the time within which to answer, counted from when the request is read to its end.

        Guards against a request that claims years: no client waits longer than the deadline of its class.
        """
        remaining_ms = request.left_ms or 0.0
        cls = self.classes.get(request.class_name)
        return max(
            0.0, (min(remaining_ms, cls.deadline_ms) if cls is not None else remaining_ms) - ANSWER_MARGIN_MS
        )
