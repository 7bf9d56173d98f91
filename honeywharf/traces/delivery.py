"""Batches and retries towards a collector. Without I/O.

Theory of operation, after OpenTelemetry protocol 1.x ("OTLP/HTTP Response", "Retryable Response Codes"). 200
accepts a batch or a part of it. After 429, 502, 503, 504 or a failed connection it is retried, either after
the response's `Retry-After` or after an exponential backoff with full jitter, which keeps proxies from
retrying at the same time. A batch with another status is dropped and counted.

    idle -> waiting           a trace is queued; waits for a full batch, up to `MAX_BATCH_WAIT_MS`
    waiting -> in flight      the batch is sent
    in flight -> idle         accepted or dropped
    in flight -> backing off  to be retried, with the batch at the head of the queue
    backing off -> in flight  the backoff is over
"""

from __future__ import annotations

import random
from dataclasses import dataclass

BATCH_TRACES = 256
MAX_BATCH_WAIT_MS = 1000.0
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 1000.0, 30_000.0
RETRYABLE = frozenset({429, 502, 503, 504})
MAX_RETRY_AFTER_MS = 300_000.0  # A collector's Retry-After is followed up to this.


@dataclass(frozen=True)
class CollectorResponse:
    """A collector's response; `status` is 0 if the collector could not be reached.

    `rejected`: number of spans that were rejected in a partial success. `retry_after_s`: the value of
    Retry-After, None without one. `message`: the collector's message, or the error.
    """

    status: int
    rejected: int = 0
    retry_after_s: float | None = None
    message: str = ""


class Delivery:
    """The state of the deliveries to one collector. Times are ms of a clock that never goes back."""

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.failures = 0  # The number of consecutive failures.
        self.not_before_ms = 0.0  # The end of the backoff.
        self.waiting_since_ms: float | None = None  # The time since which a trace is queued.
        self.counts = {"batches": 0, "retried": 0, "refused": 0, "rejected spans": 0}

    def due(self, now: float, queued: int) -> float:
        """Returns the ms until a batch may be sent: 0 for now, infinity if nothing is queued."""
        if not queued:
            self.waiting_since_ms = None
            return float("inf")
        if self.waiting_since_ms is None:
            self.waiting_since_ms = now
        full = queued >= BATCH_TRACES
        return max(
            0.0, self.not_before_ms - now, 0.0 if full else self.waiting_since_ms + MAX_BATCH_WAIT_MS - now
        )

    def response_received(self, now: float, response: CollectorResponse) -> bool:
        """Returns whether the batch is finished; False if it has to be retried."""
        self.waiting_since_ms = None
        if response.status == 200:
            self.failures = 0
            self.counts["batches"] += 1
            self.counts["rejected spans"] += response.rejected
            return True
        if response.status and response.status not in RETRYABLE:
            self.failures = 0
            self.counts["refused"] += 1
            return True
        self.counts["retried"] += 1
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** min(self.failures, 16))
        self.failures += 1
        if response.retry_after_s is not None:
            self.not_before_ms = now + min(MAX_RETRY_AFTER_MS, response.retry_after_s * 1000.0)
        else:
            self.not_before_ms = now + self.random.uniform(0.0, backoff_ms)
        return False
