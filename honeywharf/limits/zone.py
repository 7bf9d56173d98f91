"""The calls of one balancer in one zone: what a limit and nodes' reports leave open, and what teaches it."""

from __future__ import annotations

from dataclasses import dataclass

from honeywharf.limits.base import Limiter

SLIVER = 1.0  # call over the limit, by worth: a limit of about one turns a third away by chance alone
SLIVERS = 0.5  # calls for each server that all balancers' slivers may come to: more of them keep jams full
AWAY_HOLD = 0.25  # of the calls that a balancer may hold for a server, in each zone but its own
CHANCE = 1.0  # roots of the calls that it may hold on the mean, that a balancer may hold by chance over them
WORTH_POWER = 0.4  # a request may use its worth over the mean request's, to this power, of a limit


@dataclass(slots=True, eq=False)
class Zone:
    """How many calls of this balancer a zone may hold for each usable server, learned from late answers."""

    limiter: Limiter
    in_flight: int = 0
    beside: int = 0  # calls of the other process of this proxy, while one takes the other's place
    capacity: float = 0.0  # usable servers, each counted by its share
    ready: int = 0
    spare: int = 0  # usable servers, less two for each that is ejected
    sliver: float = SLIVER  # this balancer's
    open: float = -1.0  # the part of its own calls that nodes' reports let in, of others', and the calls held
    away: float = -1.0  # at most for each unit of capacity; under 0 where they tell nothing
    hold: float = 0.0
    bound: bool = False  # that has kept a call out since it was last asked

    def has_room(self, part: float, odds: float, away: bool = False) -> bool:
        """Whether one more call fits into the part of the limit that is open to it; a fraction by chance."""
        held = self.in_flight + self.beside + odds
        told, hold = (self.away, AWAY_HOLD * self.hold) if away else (self.open, self.hold)
        if told >= 0.0:
            fit = hold * self.capacity  # on the mean; by chance a balancer of little traffic needs more
            most: float = (fit + CHANCE * fit**0.5) * told * part
            if held >= most:
                self.bound = True  # it would hold more, if it were open to more
                return False
            # What nodes say closes, and does not open: where answers come late both bind.
        sliver: float = self.sliver * part ** (1.0 / WORTH_POWER)
        return held < self.limiter.limit * self.capacity * part + sliver

    def share_sliver(self, balancers: int) -> None:
        """Renew this balancer's part of what may be over the limit, as one of so many at the same servers."""
        shared = min(SLIVER, SLIVERS * self.ready / balancers)
        self.sliver = shared if self.limiter.crowded() else SLIVER

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
        """Teach the limit by how one call ended, if that tells of the servers. `reached`: it left for one.

        `base_ms` is the time of an answer at ease, `target_ms` the longest that is no crowd's.
        """
        # Guards against taking what failed early (a refused connection, a fault, little time left) for a zone
        # at ease: only an answer shows ease, the rest at most that it came so late.
        if answered or rejected or (reached and latency_ms > min(target_ms, base_ms)):
            one = 1.0 / max(self.capacity, 1e-3)
            in_flight = (self.in_flight + self.beside + 1) * one
            self.limiter.learn(now, latency_ms, base_ms, target_ms, in_flight, one=one, dropped=rejected)
