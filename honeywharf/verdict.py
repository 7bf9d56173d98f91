"""The verdict on an attempt: whether its request has run, which every end of an attempt has to tell.

`NOT_RUN` is a proof: no backend has begun to work on the request and none will. It alone allows 429, 503, 408
and a second backend for a request that must not run twice. `MAY_HAVE_RUN` follows from a time-out, a reset or
a lost link. `RAN` comes with a backend's own answer. Source: RULES, "Requests and answers" (TWICE, REFUSED).
"""

from __future__ import annotations

NOT_RUN, MAY_HAVE_RUN, RAN = 0, 1, 2
RAN_NAMES = ("not run", "may have run", "ran")

# Reasons why a gate rejects a request, or an attempt fails. The numbers are sent with each verdict.
(
    FULL,
    SLOW_START,
    DRAINING,
    EVACUATED,
    NO_BACKEND,
    OTHER_SERVICE,
    REJECTED_BY_BACKEND,
    SHUTTING_DOWN,
    TOO_LATE,
    NOT_READY,
) = range(10)
(
    LINK_LOST,
    MALFORMED_ANSWER,
    CONNECTION_BROKEN,
    CONNECTION_FAILED,
    TIMED_OUT,
    CANCELLED,
    DRIFT,
    LINK_SATURATED,
) = range(10, 18)
WORDS = (
    "full",
    "cold",
    "draining",
    "evacuated",
    "nobody",
    "other service",
    "turned away",
    "leaving",
    "late",
    "unready",
    "link lost",
    "garbled answer",
    "broken off",
    "connection refused",
    "timed out",
    "cancelled",
    "drift",
    "choked",
)


class Verdict:
    """The end of an attempt without an answer.

    `ran` is `NOT_RUN`, `MAY_HAVE_RUN` or `RAN`; `why` is one of the reasons. `reached_backend` tells whether
    a backend's socket received the request, which the retry budget counts. `retry_after_s` is the time after
    which a retry there may succeed; 0 where none is known.
    """

    __slots__ = ("ran", "reached_backend", "retry_after_s", "why")

    def __init__(self, ran: int, why: int, reached_backend: bool = False, retry_after_s: float = 0.0) -> None:
        if not NOT_RUN <= ran <= RAN or not 0 <= why < len(WORDS):
            raise ValueError(f"ran, why: expected 0 to 2 and 0 to {len(WORDS) - 1}, got {ran} and {why}")
        self.ran, self.why, self.reached_backend, self.retry_after_s = (
            ran,
            why,
            reached_backend,
            retry_after_s,
        )

    def __repr__(self) -> str:
        """Returns the verdict in words, for logs and tests."""
        return (
            f"Verdict({RAN_NAMES[self.ran]}, {WORDS[self.why]}{', arrived' if self.reached_backend else ''})"
        )

    def may_retry(self, idempotent: bool) -> bool:
        """Whether a second backend may be tried without the risk of running a mutating request twice."""
        return idempotent or self.ran == NOT_RUN

    def status(self, idempotent: bool) -> int:
        """Returns the status for the client where no retry follows.

        503 promises that nothing has run; 502 and 504 promise nothing. An idempotent request is always
        answered 503: running it a second time does no harm.
        """
        if self.ran == NOT_RUN or idempotent:
            return 503
        return 504 if self.why == TIMED_OUT else 502
