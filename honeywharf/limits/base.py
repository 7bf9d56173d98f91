"""The interface of a concurrency limiter, and Little's law."""

from __future__ import annotations

#: Calls in flight for each unit of capacity that no limit goes above: beyond it, nothing is limited.
MOST = 100_000.0


def littles_law(target_ms: float, base_ms: float) -> float:
    """Calls in flight that one server can hold and still answer each within `target_ms`.

    Little (1961): in flight = rate x time. A server of which only the time of an answer at ease is known
    does one call in `base_ms` at least, so of `target_ms / base_ms` calls the last is in time. At least 1.
    """
    return max(1.0, target_ms / base_ms) if base_ms > 0 else MOST


class Limiter:
    """How many calls a pool may hold for each unit of its capacity.

    `part`: the share of a server's calls that this proxy may count as its own (1 where it is alone; 1/n where
    n proxies share the servers evenly).
    """

    __slots__ = ("first", "limit", "part")

    def __init__(self, first: float, part: float = 1.0) -> None:
        if not first > 0:
            raise ValueError(f"first limit: more than 0 calls are wanted, not {first!r}")
        self.limit = self.first = first
        self.part = part

    def least(self, base_ms: float, ease_ms: float) -> float:
        """The limit that is safe where only `base_ms` is known, for answers in up to `ease_ms`."""
        return min(MOST, littles_law(ease_ms, base_ms) * self.part)

    def learn(
        self,
        now_ms: float,
        latency_ms: float,
        base_ms: float,
        target_ms: float,
        in_flight: float,
        *,
        one: float = 0.0,
        dropped: bool = False,
    ) -> None:
        """Move the limit by one answer.

        `in_flight`: calls for each unit of capacity while it was out, itself included, which is `one`
        call for each unit; the others are, on the mean, what is in flight at any time. `dropped`: it
        was turned away by a full server, or never came in time; `latency_ms` is then what was waited.
        """
        raise NotImplementedError

    def crowded(self) -> bool:
        """Whether the last answers were later than at ease, on the mean."""
        return self.limit < self.first

    def settle(self) -> None:
        """No answer has come for some time: begin at the first value, as if the servers were slow."""
        self.limit = min(self.limit, self.first)

    def bound(self, limit: float, least: float) -> None:
        """Take a new limit over, held between `least` and `MOST`."""
        self.limit = min(MOST, max(least, limit))
