"""Removes unreachable members from the membership, under a lease, so that only one node decides at a time."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from honeywharf.control import mesh_state
from honeywharf.control.contacts import REMOVE_AFTER_S
from honeywharf.control.mesh_state import Admission, Change, MemberId
from honeywharf.control.quorum_client import CALL_TIMEOUT_S
from honeywharf.control.register import QuorumResult

if TYPE_CHECKING:
    from honeywharf.control.contacts import ContactTracker
    from honeywharf.control.register_queues import ChangeQueue
    from honeywharf.control.voter import Voter

CHANGE_TIMEOUT_S = 1.5  # The time-out of a call that changes the membership, or of an empty write.
WRITE_TIMEOUT_S = CHANGE_TIMEOUT_S - CALL_TIMEOUT_S  # The time-out of the change itself.


def admission_outcome(result: QuorumResult, answer: Admission) -> Admission:
    """Returns the outcome of an admission: its answer, or why the write did not end with one."""
    if result is QuorumResult.OK:
        return answer
    return Admission.NOT_JOINED if result is QuorumResult.NOT_JOINED else Admission.NOT_COMMITTED


class RemovalLease(Protocol):
    """A lease to remove members, granted to one control node at a time. The register is safe without it."""

    def begin(self, done: Callable[[bool], None]) -> None:
        """Requests the lease; `done` is called once, now or later.

        It gets False at once if this node has requested or holds the lease.
        """

    def holds(self) -> bool:
        """Returns whether the lease is valid now."""

    def end(self) -> None:
        """Releases the lease."""


class AlwaysGranted:
    """A lease that is always granted, for a control node without leases."""

    def begin(self, done: Callable[[bool], None]) -> None:
        """Grants the lease at once."""
        done(True)

    def holds(self) -> bool:
        """Returns True."""
        return True

    def end(self) -> None:
        """Does nothing."""


class MemberRemoval:
    """Changes of the membership that remove or replace a member."""

    def __init__(self, voter: Voter, changes: ChangeQueue, contacts: ContactTracker) -> None:
        self.voter, self.changes, self.contacts = voter, changes, contacts
        self.lease: RemovalLease = AlwaysGranted()

    def remove_unreachable(self, members: list[MemberId]) -> None:
        """Removes an unreachable member from a membership that is larger than its target size.

        Only the first reachable member submits the change.
        """
        unreachable = self.contacts.unreachable(REMOVE_AFTER_S)
        value = self.voter.state.value
        target_size = value.target_size if value is not None else len(members)
        if len(members) <= target_size or not unreachable:
            return
        first_reachable = next((member for member in members if member not in unreachable), None)
        if self.voter.member_id == first_reachable:
            change = mesh_state.remove_unreachable(unreachable)
            self.submit_under_lease(change, self.voter.state.epoch, lambda answer: None)

    def submit_under_lease(self, change: Change, epoch: int, done: Callable[[Any], None]) -> None:
        """Submits a change of the membership of `epoch` under the lease.

        `done` gets the change's answer, or why there is none: without the lease nothing has changed.
        """
        self.lease.begin(partial(self._submit, change, epoch, done))

    def _submit(self, change: Change, epoch: int, done: Callable[[Any], None], granted: bool) -> None:
        if not granted:
            done(Admission.NO_LEASE)
            return
        fenced = mesh_state.fenced(change, epoch, self.lease.holds)
        self.changes.submit_with_precedence(fenced, WRITE_TIMEOUT_S, partial(self._finished, done))

    def _finished(self, done: Callable[[Any], None], result: QuorumResult, answer: Any) -> None:
        self.lease.end()
        done(admission_outcome(result, answer))
