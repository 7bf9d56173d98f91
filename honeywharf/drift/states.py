r"""The state machine of one node under suspicion of drift. No I/O; times are seconds on the monotonic clock.

    state \ event  announced  applied   scan     drift    renewal       stable
                                        passed   found    failed
    told           told       applying  told     doubted  -             -
    applying       applying   applying  agreed   doubted  -             -
    agreed         told       applying  agreed   doubted  -             agreed
    doubted        doubted    doubted   healed   doubted  quarantined*  -
    quarantined    -"-        -"-       healed   -"-      quarantined   -
    healed         healed     applying  healed   doubted  -             agreed

`*` Only after `MAX_FAILED_RENEWALS` and only if there is capacity: at most `MAX_QUARANTINED_FRACTION` of a
zone's proxies, and fewer than half of all, are quarantined at once. A majority of the control nodes grants a
lease for each (`lease/`), so that two nodes do not use the last capacity at once. Without capacity a node
stays doubted and refuses only the requests for which its two parsers disagree. While its lease is requested
or held, a doubted node refuses `mutating` and `upload` requests with a time to retry, and serves reads on
which both parsers agree; a quarantined node also reports that it is not ready. An event that is not in a
state's row raises ValueError.
"""

from __future__ import annotations

TOLD, APPLYING, AGREED, DOUBTED, QUARANTINED, HEALED = range(6)
STATE_NAMES = ("told", "applying", "agreed", "doubted", "quarantined", "healed")
ANNOUNCED, APPLIED, SCAN_PASSED, DRIFT_FOUND, RENEWAL_FAILED, STABLE = range(6)
EVENT_NAMES = ("heard", "applied", "matched", "slipped", "vain", "calm")

TRANSITIONS = {
    TOLD: {ANNOUNCED: TOLD, APPLIED: APPLYING, SCAN_PASSED: TOLD, DRIFT_FOUND: DOUBTED},
    APPLYING: {ANNOUNCED: APPLYING, APPLIED: APPLYING, SCAN_PASSED: AGREED, DRIFT_FOUND: DOUBTED},
    AGREED: {ANNOUNCED: TOLD, APPLIED: APPLYING, SCAN_PASSED: AGREED, DRIFT_FOUND: DOUBTED, STABLE: AGREED},
    DOUBTED: {
        ANNOUNCED: DOUBTED,
        APPLIED: DOUBTED,
        SCAN_PASSED: HEALED,
        DRIFT_FOUND: DOUBTED,
        RENEWAL_FAILED: QUARANTINED,
    },
    QUARANTINED: {
        ANNOUNCED: QUARANTINED,
        APPLIED: QUARANTINED,
        SCAN_PASSED: HEALED,
        DRIFT_FOUND: QUARANTINED,
        RENEWAL_FAILED: QUARANTINED,
    },
    HEALED: {ANNOUNCED: HEALED, APPLIED: APPLYING, SCAN_PASSED: HEALED, DRIFT_FOUND: DOUBTED, STABLE: AGREED},
}
MAX_QUARANTINED_FRACTION = 0.25  # A fraction of a zone's proxies; one may always be quarantined.
STABLE_S = 5.0  # A healed node becomes agreed after this time without drift.
MAX_FAILED_RENEWALS = 3  # A node counts as unable to heal after this many failed renewals.
RENEWAL_BACKOFF_S = (0.1, 5.0)  # Initial and maximum delay before the next renewal.


class NodeState:
    """The state of one node: since when and why, failed renewals, and the number of transitions."""

    __slots__ = ("current", "failed_renewals", "since", "transitions", "why")

    def __init__(self, now: float) -> None:
        self.current, self.since, self.why, self.failed_renewals, self.transitions = TOLD, now, "", 0, 0

    def handle(self, now: float, event: int, why: str = "", may_quarantine: bool = True) -> bool:
        """Handles an event. Returns whether the state changed; ValueError for an event not in its row."""
        to = TRANSITIONS[self.current].get(event)
        if to is None:
            raise ValueError(
                f"event: expected one of state {STATE_NAMES[self.current]}, got {EVENT_NAMES[event]}"
            )
        if event == DRIFT_FOUND and self.current not in (DOUBTED, QUARANTINED):
            self.failed_renewals = 0
        if event == RENEWAL_FAILED:
            self.failed_renewals += 1
            if self.failed_renewals < MAX_FAILED_RENEWALS or not may_quarantine:
                to = self.current
        if event == STABLE and now - self.since < STABLE_S:
            to = self.current
        if why:
            self.why = why
        if to == self.current:
            return False
        self.current, self.since = to, now
        self.transitions += 1
        return True

    @property
    def is_suspect(self) -> bool:
        """Whether the node is doubted or quarantined."""
        return self.current in (DOUBTED, QUARANTINED)

    def retry_delay_s(self) -> float:
        """Returns the seconds until the next renewal, which are also a refused client's time to retry."""
        initial, maximum = RENEWAL_BACKOFF_S
        return min(maximum, initial * float(1 << min(self.failed_renewals, 8)))


def zone_quarantine_limit(nodes: int) -> int:
    """Returns how many of a zone's nodes may be quarantined at once."""
    return max(1, int(MAX_QUARANTINED_FRACTION * nodes))


def total_quarantine_limit(nodes: int) -> int:
    """Returns how many of all nodes may be quarantined at once, which is fewer than half."""
    return (max(3, nodes) - 1) // 2


def has_quarantine_capacity(quarantined: int, zone: int, all_quarantined: int, nodes: int) -> bool:
    """Whether one more node of a zone may be quarantined. Quarantined nodes are counted without that one."""
    return quarantined < zone_quarantine_limit(zone) and all_quarantined < total_quarantine_limit(nodes)
