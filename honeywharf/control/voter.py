"""An acceptor with its disk: an answer is sent only after the state that it depends on is synced."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from honeywharf.control.acceptor import Acceptor, AcceptorState
from honeywharf.control.mesh_state import MemberId, member_ids
from honeywharf.control.messages import Accept, Answer, DecidedMembership, DiskMismatch, Request

if TYPE_CHECKING:
    from honeywharf.control.store import Store
    from honeywharf.transport.host import Host

DISK_NAME_BYTES = 8


class Voter:
    """The acceptor of one machine, and its disk. `local_address` is this machine's "ip:port"."""

    def __init__(self, host: Host, store: Store, local_address: str) -> None:
        self.host, self.store, self.local_address = host, store, local_address
        self.acceptor = Acceptor(AcceptorState(""), store.has_text)
        self.membership_changed_at = 0.0  # When the decided membership was adopted, on the steady clock.
        self.is_leaving = False  # Set when the process shuts down: it does not become a member any more.
        # Called once the state is loaded, and with each decided membership that is adopted.
        self.on_membership: Callable[[], None] = lambda: None

    @property
    def state(self) -> AcceptorState:
        """Returns the acceptor's state, as it is on disk."""
        return self.acceptor.state

    @property
    def member_id(self) -> MemberId:
        """Returns the identity of this machine with its disk."""
        return MemberId(self.local_address, self.state.disk)

    def is_member(self) -> bool:
        """Returns whether this machine is in the decided membership."""
        return self.member_id in member_ids(self.state.members)

    def is_staying_member(self) -> bool:
        """Returns whether this machine is a member and is not shutting down."""
        return self.is_member() and not self.is_leaving

    def load(self, new: AcceptorState) -> None:
        """Loads the state from disk, or saves `new` on an empty disk. Raises OSError if the disk fails."""
        state = self.store.load()
        if state is None:
            state = new
            self.store.save(state)
        self.acceptor.state = state
        self.on_membership()

    def persist(self, state: AcceptorState) -> None:
        """Syncs a state to disk, then makes it the current one; an OSError leaves the old state current."""
        if state is self.state:
            return
        self.store.save(state)
        has_new_membership = state.epoch != self.state.epoch
        self.acceptor.state = state
        if has_new_membership:
            self.membership_changed_at = self.host.now()
            addresses = " ".join(member.address for member in state.members)
            self.host.log(f"replica: membership {state.epoch}: {addresses}")
            self.on_membership()

    def adopt_membership(self, decided: DecidedMembership) -> None:
        """Adopts a decided membership if it is newer; a disk error is logged."""
        if decided.epoch <= self.state.epoch:
            return
        try:
            self.persist(replace(self.state, epoch=decided.epoch, members=decided.members))
        except OSError as error:
            self.host.log(f"replica: could not save membership {decided.epoch}: {error}")

    def discard_vote(self) -> None:
        """Gives up this disk's vote, because the disk returned an older register.

        As after the loss of a disk, the machine has no vote until it is admitted again. Raises OSError if the
        disk fails; requests for the old disk name are rejected even then, at least until a restart, and the
        new name is persisted with the first promise made under it.
        """
        name = self.host.random(DISK_NAME_BYTES).hex()
        self.acceptor.state = AcceptorState(name, self.state.epoch, self.state.members)
        self.store.save(self.state)

    def vote(self, request: Request, text: bytes | None) -> Answer | None:
        """Returns the answer to a request after the new state is on disk; None if the disk fails.

        `text` is the compressed text of the configuration that the request names, if it came with the
        request. A machine that shuts down declines its own admission.
        """
        if self.is_leaving and self._admits_this_machine(request):
            return DiskMismatch(self.state.decided)
        try:
            if text is not None and isinstance(request, Accept) and request.disk == self.state.disk:
                self.store.put_text(request.state.digest, text)
            state, answer = self.acceptor.answer(request)
            self.persist(state)
        except OSError as error:
            self.host.log(f"replica: the disk fails, request not answered: {error}")
            return None
        return answer

    def _admits_this_machine(self, request: Request) -> bool:
        """Returns whether a request would make this machine, which is no member, a member."""
        is_proposed = isinstance(request, Accept) and self.member_id in member_ids(request.state.members)
        return is_proposed and not self.is_member()
