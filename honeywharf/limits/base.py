"""The interface of a concurrency limiter, and Little's law."""

from __future__ import annotations

#: The highest limit, in calls in flight per unit of capacity; it stands for no limit at all.
MAX_LIMIT = 100_000.0


def littles_law(target_ms: float, base_ms: float) -> float:
    """Returns how many calls in flight one server can still answer within `target_ms`; at least 1.

    Little (1961): in flight = rate x time. A server with a known unloaded answer time completes at least one
    call per `base_ms`, so the last of `target_ms / base_ms` calls is in time.
    """
    return max(1.0, target_ms / base_ms) if base_ms > 0 else MAX_LIMIT


class Limiter:
    """Decides how many calls a pool may have in flight per unit of its capacity.

    `proxy_share`: the part of a server's calls that are this proxy's own (1 for a single proxy; 1/n where n
    proxies share the servers evenly).
    """

    __slots__ = ("first_limit", "limit", "proxy_share")

    def __init__(self, first_limit: float, proxy_share: float = 1.0) -> None:
        if not first_limit > 0:
            raise ValueError(f"first limit: expected more than 0 calls, got {first_limit!r}")
        self.limit = self.first_limit = first_limit
        self.proxy_share = proxy_share

    def min_limit(self, base_ms: float, on_time_ms: float) -> float:
        """Returns the limit that is safe where only `base_ms` is known, for answers in up to `on_time_ms`."""
        return min(MAX_LIMIT, littles_law(on_time_ms, base_ms) * self.proxy_share)

    def learn(
        self,
        now_ms: float,
        latency_ms: float,
        base_ms: float,
        target_ms: float,
        in_flight: float,
        *,
        per_call: float = 0.0,
        dropped: bool = False,
    ) -> None:
        """Adjusts the limit by one answer.

        `in_flight`: calls per unit of capacity while this call was in flight, itself included. `per_call`:
        one call in this unit, so that `in_flight - per_call` is the mean number of calls at any time.
        `dropped`: a full server rejected the call, or it timed out; `latency_ms` is then the time until that.
        """
        raise NotImplementedError

    def congested(self) -> bool:
        """Whether the mean of the latest answers was late."""
        return self.limit < self.first_limit

    def use_first_limit(self) -> None:
        """Lowers the limit to its first value, as no answer has come yet and the servers may be slow."""
        self.limit = min(self.limit, self.first_limit)

    def set_limit(self, limit: float, least: float) -> None:
        """Sets a new limit, clamped to `least` and `MAX_LIMIT`."""
        self.limit = min(MAX_LIMIT, max(least, limit))
