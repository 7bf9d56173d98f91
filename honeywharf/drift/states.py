"""What a node does about a doubt, as a table. No I/O; times are seconds on the steady clock.

    state \\ event  heard    applied   matched  slipped   vain          calm
    told           told     applying  told     doubted   -             -
    applying       applying applying  agreed   doubted   -             -
    agreed         told     applying  agreed   doubted   -             agreed
    doubted        doubted  doubted   healed   doubted   quarantined*  -
    quarantined    -"-      -"-       healed   -"-       quarantined   -
    healed         healed   applying  healed   doubted   -             agreed

`*` only where the zone has room: at most `SHARE` of its proxies, and no half of all, stand aside at once; a
majority of the control nodes gives leave for each (`lease/`), so that two do not take the last place at once.
Without room a node stays doubted and refuses request by request, what its two readings disagree on. A doubted
node refuses `mutating` and `upload` with a time to come back and serves reads that both readings agree on; a
quarantined one is not ready too. What is not in the table raises.
"""

from __future__ import annotations

TOLD, APPLYING, AGREED, DOUBTED, QUARANTINED, HEALED = range(6)
NAMES = ("told", "applying", "agreed", "doubted", "quarantined", "healed")
HEARD, APPLIED, MATCHED, SLIPPED, VAIN, CALM = range(6)
EVENTS = ("heard", "applied", "matched", "slipped", "vain", "calm")

TABLE = {
    TOLD: {HEARD: TOLD, APPLIED: APPLYING, MATCHED: TOLD, SLIPPED: DOUBTED},
    APPLYING: {HEARD: APPLYING, APPLIED: APPLYING, MATCHED: AGREED, SLIPPED: DOUBTED},
    AGREED: {HEARD: TOLD, APPLIED: APPLYING, MATCHED: AGREED, SLIPPED: DOUBTED, CALM: AGREED},
    DOUBTED: {HEARD: DOUBTED, APPLIED: DOUBTED, MATCHED: HEALED, SLIPPED: DOUBTED, VAIN: QUARANTINED},
    QUARANTINED: {
        HEARD: QUARANTINED,
        APPLIED: QUARANTINED,
        MATCHED: HEALED,
        SLIPPED: QUARANTINED,
        VAIN: QUARANTINED,
    },
    HEALED: {HEARD: HEALED, APPLIED: APPLYING, MATCHED: HEALED, SLIPPED: DOUBTED, CALM: AGREED},
}
SHARE = 0.25  # of a zone's proxies that may stand aside at once, but always one
CALM_S = 5.0  # without a slip, after which a healed node is an agreed one
VAIN_TRIES = 3  # renewals in vain, after which a node cannot heal
AGAIN_S = (0.1, 5.0)  # pause before the next renewal, at first and at most


class State:
    """The state of one node: since when, why, renewals in vain, and how often it has changed."""

    __slots__ = ("at", "changes", "since", "tries", "why")

    def __init__(self, now: float) -> None:
        self.at, self.since, self.why, self.tries, self.changes = TOLD, now, "", 0, 0

    def event(self, now: float, event: int, why: str = "", room: bool = True) -> bool:
        """Take an event; whether the state is another one. ValueError for what the table has not."""
        to = TABLE[self.at].get(event)
        if to is None:
            raise ValueError(f"found {EVENTS[event]} in state {NAMES[self.at]}, wanted one of its row")
        if event == SLIPPED and self.at not in (DOUBTED, QUARANTINED):
            self.tries = 0
        if event == VAIN:
            self.tries += 1
            if self.tries < VAIN_TRIES or not room:
                to = self.at
        if event == CALM and now - self.since < CALM_S:
            to = self.at
        if why:
            self.why = why
        if to == self.at:
            return False
        self.at, self.since = to, now
        self.changes += 1
        return True

    @property
    def aside(self) -> bool:
        """Whether mutating requests are refused whatever they are."""
        return self.at in (DOUBTED, QUARANTINED)

    def again_s(self) -> float:
        """Seconds until the next renewal, which is also when a refused client may come back."""
        first, most = AGAIN_S
        return min(most, first * float(1 << min(self.tries, 8)))


def zone_places(nodes: int) -> int:
    """How many of a zone's nodes may stand aside at once."""
    return max(1, int(SHARE * nodes))


def all_places(nodes: int) -> int:
    """How many of all nodes may stand aside at once: no half of them."""
    return (max(3, nodes) - 1) // 2


def room(aside: int, zone: int, aside_all: int, all_nodes: int) -> bool:
    """Whether one more node of a zone may stand aside. Counts are of nodes, without the one that asks."""
    return aside < zone_places(zone) and aside_all < all_places(all_nodes)
