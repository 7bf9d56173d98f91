"""When a batch leaves for a collector, and what becomes of it. Without I/O.

OTLP/HTTP (OpenTelemetry protocol 1.x, "OTLP/HTTP Response" and "Retryable Response Codes"): 200 takes the
batch, wholly or in part; 429, 502, 503 and 504 and a failed connection mean later, after `Retry-After` where
one is given, else after a wait that doubles, drawn evenly from none to the whole of it ("full jitter"), so
that proxies which lost the same collector do not return together; any other status means never.

    idle -> waiting      something is queued: for a batch to fill, `BATCH_MS` at most
    waiting -> out       the batch left
    out -> idle          taken, or refused for good: what was refused is counted
    out -> backing off   later: the batch is at the queue's head again
    backing off -> out   its time has come
"""

from __future__ import annotations

import random
from dataclasses import dataclass

BATCH = 256  # traces of this hop that leave together
BATCH_MS = 1000.0  # for which one that is not full waits
FIRST_MS, MAX_MS = 1000.0, 30_000.0  # of the wait after failures in a row
RETRYABLE = frozenset({429, 502, 503, 504})
MAX_RETRY_AFTER_MS = 300_000.0  # of a collector's word that is followed


@dataclass(frozen=True)
class Answer:
    """What a collector said; `status` 0 where it could not be reached.

    `rejected`: spans of a partial success. `retry_after_s`: None where it gave none.
    """

    status: int
    rejected: int = 0
    retry_after_s: float | None = None
    words: str = ""


class Delivery:
    """One exporter's state. Times are ms of a clock that never goes back."""

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.failures = 0  # in a row
        self.at_ms = 0.0  # nothing leaves before
        self.first_ms: float | None = None  # since when something waits
        self.counts = {"batches": 0, "retried": 0, "refused": 0, "rejected spans": 0}

    def due(self, now: float, waiting: int) -> float:
        """How many ms until a batch may leave: 0 for now, infinity where nothing waits."""
        if not waiting:
            self.first_ms = None
            return float("inf")
        if self.first_ms is None:
            self.first_ms = now
        full = waiting >= BATCH
        return max(0.0, self.at_ms - now, 0.0 if full else self.first_ms + BATCH_MS - now)

    def answered(self, now: float, answer: Answer) -> bool:
        """Whether the batch is done with; False where it has to be sent again."""
        self.first_ms = None
        if answer.status == 200:
            self.failures = 0
            self.counts["batches"] += 1
            self.counts["rejected spans"] += answer.rejected
            return True
        if answer.status and answer.status not in RETRYABLE:
            self.failures = 0
            self.counts["refused"] += 1
            return True
        self.counts["retried"] += 1
        wait = min(MAX_MS, FIRST_MS * 2.0 ** min(self.failures, 16))
        self.failures += 1
        if answer.retry_after_s is not None:
            self.at_ms = now + min(MAX_RETRY_AFTER_MS, answer.retry_after_s * 1000.0)
        else:
            self.at_ms = now + self.random.uniform(0.0, wait)
        return False
