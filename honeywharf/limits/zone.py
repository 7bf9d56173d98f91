"""The calls of one balancer in one zone, bounded by its limiter and by load reports."""

from __future__ import annotations

from dataclasses import dataclass

from honeywharf.limits.base import Limiter

MAX_OVERAGE = 1.0  # calls over the limit; without them a limit of about one call rejects a third by chance
# Calls over the limits of all balancers together; more would keep overloaded servers full.
MAX_OVERAGE_PER_SERVER = 0.5
REMOTE_PART = 0.25  # the part of the calls per server that a balancer may have in flight in each other zone
BURST_STD_DEVIATIONS = 1.0  # the calls in flight may exceed their mean by this many standard deviations
WORTH_POWER = 0.4  # a request may use this power of its value over the mean value as a part of the limit


@dataclass(slots=True, eq=False)
class Zone:
    """Decides how many calls of this balancer a zone may have in flight, learned from late answers."""

    limiter: Limiter
    in_flight: int = 0
    handover_in_flight: int = 0  # calls of this proxy's other process during a handover
    capacity: float = 0.0  # sum of the weights of the usable servers
    ready: int = 0
    ejection_headroom: int = 0  # usable servers, less two for each ejected one
    overage: float = MAX_OVERAGE  # calls that this balancer may have in flight over the limit
    # The factor on `calls_per_server` for calls of the own zone; negative if unknown.
    local_factor: float = -1.0
    # The factor on `calls_per_server` for calls of other zones; negative if unknown.
    remote_factor: float = -1.0
    calls_per_server: float = 0.0  # calls in flight per unit of capacity, by load reports
    reports_limited: bool = False  # the bound by load reports has rejected a call since it was last read

    def has_room(self, part: float, fraction: float, remote: bool = False) -> bool:
        """Whether one more call fits into the part of the limit that is open to it.

        `fraction`: a uniform random number from 0 to 1, which rounds the limit to an integer at random.
        """
        held = self.in_flight + self.handover_in_flight + fraction
        factor, per_server = (
            (self.remote_factor, REMOTE_PART * self.calls_per_server)
            if remote
            else (self.local_factor, self.calls_per_server)
        )
        if factor >= 0.0:
            mean = per_server * self.capacity  # a balancer of little traffic exceeds its mean by chance
            most: float = (mean + BURST_STD_DEVIATIONS * mean**0.5) * factor * part
            if held >= most:
                self.reports_limited = True
                return False
            # Load reports can only lower the limit: where answers come late, the limiter binds as well.
        overage: float = self.overage * part ** (1.0 / WORTH_POWER)
        return held < self.limiter.limit * self.capacity * part + overage

    def update_overage(self, balancers: int) -> None:
        """Recomputes this balancer's part of the calls over the limit, as one of `balancers`."""
        shared = min(MAX_OVERAGE, MAX_OVERAGE_PER_SERVER * self.ready / balancers)
        self.overage = shared if self.limiter.congested() else MAX_OVERAGE

    def learn(
        self,
        now: float,
        latency_ms: float,
        base_ms: float,
        target_ms: float,
        answered: bool,
        rejected: bool,
        reached: bool,
    ) -> None:
        """Adjusts the limit by the end of one call, if that says something about the servers.

        `reached`: the call was sent to a server. `base_ms` is the answer time of unloaded servers,
        `target_ms` the longest answer time without congestion.
        """
        # Guards against taking early failures (a refused connection, a fault, little time left) for a lack of
        # load: only an answer shows that, and other outcomes show at most that the call took so long.
        if answered or rejected or (reached and latency_ms > min(target_ms, base_ms)):
            per_call = 1.0 / max(self.capacity, 1e-3)
            in_flight = (self.in_flight + self.handover_in_flight + 1) * per_call
            self.limiter.learn(
                now, latency_ms, base_ms, target_ms, in_flight, per_call=per_call, dropped=rejected
            )
