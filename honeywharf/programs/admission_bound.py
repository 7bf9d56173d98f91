"""The longest time from the start of a machine that replaces a lost member to its vote.

The machine that it replaces is lost by then, a majority of the members runs and is connected, and nothing
else happens to them. The bound includes a lost call in each step, and other changes of any number.
docs/design/admission.md has the argument, and the cases in which more than that happens.
"""

from __future__ import annotations

from honeywharf.control.contacts import UNREACHABLE_AFTER_S
from honeywharf.control.member_removal import WRITE_TIMEOUT_S
from honeywharf.control.membership import HEARTBEAT_INTERVAL_S, HEARTBEAT_JITTER
from honeywharf.control.quorum_client import CALL_TIMEOUT_S
from honeywharf.control.replacement import RETRY_INTERVAL_S
from honeywharf.lease.acquisition import ACQUIRE_TIMEOUT_S

MAX_HEARTBEAT_INTERVAL_S = HEARTBEAT_INTERVAL_S * sum(HEARTBEAT_JITTER)
# The first queries for the membership are lost; later ones, and the heartbeats that follow, are late.
PRESENT_AFTER_S = MAX_HEARTBEAT_INTERVAL_S + 2 * CALL_TIMEOUT_S
# The lost member has been silent for long enough, and a member looks.
NEEDED_AFTER_S = UNREACHABLE_AFTER_S + MAX_HEARTBEAT_INTERVAL_S
LOST_LEASE_S = ACQUIRE_TIMEOUT_S + RETRY_INTERVAL_S
LOST_ADMISSION_S = ACQUIRE_TIMEOUT_S + CALL_TIMEOUT_S + RETRY_INTERVAL_S
SUCCESSFUL_ATTEMPT_S = ACQUIRE_TIMEOUT_S + WRITE_TIMEOUT_S

ADMISSION_BOUND_S = (
    max(PRESENT_AFTER_S, NEEDED_AFTER_S) + LOST_LEASE_S + LOST_ADMISSION_S + SUCCESSFUL_ATTEMPT_S
)
