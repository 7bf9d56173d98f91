"""Whether a request may have run: the one thing that every end of an attempt has to say.

`NOT_RUN` is a proof: no backend has begun to work on it and none will. It alone allows 429, 503, 408 and a
second backend for what must not run twice. `MAY_HAVE_RUN` is what silence, a reset or a lost link leaves.
`RAN` comes with a backend's own answer. Source: RULES, "Requests and answers" (TWICE, REFUSED).
"""

from __future__ import annotations

NOT_RUN, MAY_HAVE_RUN, RAN = 0, 1, 2
NAMES = ("not run", "may have run", "ran")

# Why a gate refuses, or an attempt failed. Small numbers: they travel with each refusal.
FULL, COLD, DRAINING, EVACUATED, NOBODY, OTHER_SERVICE, TURNED_AWAY, LEAVING, LATE, UNREADY = range(10)
LOST, GARBLED, BROKEN_OFF, REFUSED, TIMED_OUT, CANCELLED, DRIFT, CHOKED = range(10, 18)
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
    """How an attempt without an answer ended.

    `ran`: one of the three. `why`: one of the reasons. `arrived`: whether the backend's socket saw it, which
    is what the retry budget counts. `again_s`: seconds after which another try there may do better; 0: none.
    """

    __slots__ = ("again_s", "arrived", "ran", "why")

    def __init__(self, ran: int, why: int, arrived: bool = False, again_s: float = 0.0) -> None:
        if not NOT_RUN <= ran <= RAN or not 0 <= why < len(WORDS):
            raise ValueError(f"found verdict {ran} for reason {why}, wanted 0 to 2 and 0 to {len(WORDS) - 1}")
        self.ran, self.why, self.arrived, self.again_s = ran, why, arrived, again_s

    def __repr__(self) -> str:
        """For logs and tests."""
        return f"Verdict({NAMES[self.ran]}, {WORDS[self.why]}{', arrived' if self.arrived else ''})"

    def may_repeat(self, repeatable: bool) -> bool:
        """Whether the request may be sent to a second backend as far as running twice goes."""
        return repeatable or self.ran == NOT_RUN

    def status(self, repeatable: bool) -> int:
        """What the client is told when nothing further is tried: 503 is a promise, 502 and 504 are none.

        A repeatable request may always be told 503: that it ran once already harms nobody.
        """
        if self.ran == NOT_RUN or repeatable:
            return 503
        return 504 if self.why == TIMED_OUT else 502
