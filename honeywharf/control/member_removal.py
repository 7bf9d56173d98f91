"""Takes unreachable members out of the membership, under a lease, so that two do not judge at once."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from honeywharf.control import mesh_state
from honeywharf.control.contacts import REMOVE_S
from honeywharf.control.mesh_state import Change, MemberId
from honeywharf.control.quorum_client import CALL_TIMEOUT_S

if TYPE_CHECKING:
    from honeywharf.control.contacts import ContactTracker
    from honeywharf.control.register_queues import ChangeQueue
    from honeywharf.control.voter import Voter

CHANGE_TIMEOUT_S = 1.5  # of a change of the membership, or of a write that changes nothing


class RemovalLease(Protocol):
    """A lease to take members out, which one control node has at a time. The register is safe without it."""

    def begin(self, done: Callable[[bool], None]) -> None:
        """Ask for it; `done` is called once, now or later. False at once while it is asked for or held."""

    def holds(self) -> bool:
        """Whether it is held now."""

    def end(self) -> None:
        """Give it back."""


class AlwaysGranted:
    """The lease of a control node that has no leases: always granted."""

    def begin(self, done: Callable[[bool], None]) -> None:
        """Granted."""
        done(True)

    def holds(self) -> bool:
        """Always."""
        return True

    def end(self) -> None:
        """Nothing to give back."""


class MemberRemoval:
    """Changes of the membership that cost a member its place."""

    def __init__(self, voter: Voter, changes: ChangeQueue, contacts: ContactTracker) -> None:
        self.voter, self.changes, self.contacts = voter, changes, contacts
        self.lease: RemovalLease = AlwaysGranted()

    def remove_unreachable(self, members: list[MemberId]) -> None:
        """Have an unreachable member leave a membership that is too large.

        The first reachable one does it.
        """
        unreachable = self.contacts.unreachable(REMOVE_S)
        value = self.voter.state.value
        target_size = value.target_size if value is not None else len(members)
        if len(members) <= target_size or not unreachable or self.changes.current is not None:
            return
        first_reachable = next((member for member in members if member not in unreachable), None)
        if self.voter.member_id == first_reachable:
            self.submit_under_lease(mesh_state.remove_unreachable(unreachable), lambda: None)

    def submit_under_lease(self, change: Change, done: Callable[[], None]) -> None:
        """Make a change under the lease; without it nothing is changed, and who wants it asks again."""
        self.lease.begin(partial(self._submit, change, self.voter.state.epoch, done))

    def _submit(self, change: Change, epoch: int, done: Callable[[], None], granted: bool) -> None:
        if not granted:
            done()
            return
        fenced = mesh_state.fenced(change, epoch, self.lease.holds)
        self.changes.submit(fenced, CHANGE_TIMEOUT_S - CALL_TIMEOUT_S, partial(self._finished, done))

    def _finished(self, done: Callable[[], None], result: object, answer: Any) -> None:
        self.lease.end()
        done()
