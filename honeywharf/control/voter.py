"""An acceptor on its disk: nothing is answered before what it promises is synced."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from honeywharf.control.acceptor import Acceptor, AcceptorState
from honeywharf.control.mesh_state import MemberId, member_ids
from honeywharf.control.messages import Accept, Answer, DecidedMembership, Request

if TYPE_CHECKING:
    from honeywharf.control.store import Store
    from honeywharf.transport.host import Host

DISK_NAME_BYTES = 8  # of randomness in the name of a disk


class Voter:
    """The acceptor of one machine, and its disk. `local_address`: this machine's, "ip:port"."""

    def __init__(self, host: Host, store: Store, local_address: str) -> None:
        self.host, self.store, self.local_address = host, store, local_address
        self.acceptor = Acceptor(AcceptorState(""), store.has_text)
        self.membership_changed_at = 0.0  # when the decided membership was taken over, steady clock

    @property
    def state(self) -> AcceptorState:
        """What the disk holds."""
        return self.acceptor.state

    @property
    def member_id(self) -> MemberId:
        """This machine with its disk."""
        return MemberId(self.local_address, self.state.disk)

    def is_member(self) -> bool:
        """Whether this machine is in the decided membership."""
        return self.member_id in member_ids(self.state.members)

    def load(self, new: AcceptorState) -> None:
        """Load what the disk holds, or begin with `new`. OSError where the disk fails."""
        state = self.store.load()
        if state is None:
            state = new
            self.store.save(state)
        self.acceptor.state = state

    def persist(self, state: AcceptorState) -> None:
        """Sync a state to disk, then hold it; OSError leaves the old one."""
        if state is self.state:
            return
        self.store.save(state)
        if state.epoch != self.state.epoch:
            self.membership_changed_at = self.host.now()
            addresses = " ".join(member.address for member in state.members)
            self.host.log(f"replica: membership {state.epoch}: {addresses}")
        self.acceptor.state = state

    def adopt_membership(self, decided: DecidedMembership) -> None:
        """Take over a decided membership where it is newer; an error of the disk is logged."""
        if decided.epoch <= self.state.epoch:
            return
        try:
            self.persist(replace(self.state, epoch=decided.epoch, members=decided.members))
        except OSError as error:
            self.host.log(f"replica: a membership could not be kept: {error}")

    def discard_vote(self) -> None:
        """This disk gave back an older register: as after a lost disk, it has no vote until admitted anew.

        OSError where the disk fails: the old name is not answered for all the same, until a restart at the
        latest; the new one is persisted with the first promise that it makes.
        """
        name = self.host.random(DISK_NAME_BYTES).hex()
        self.acceptor.state = AcceptorState(name, self.state.epoch, self.state.members)
        self.store.save(self.state)

    def vote(self, request: Request, text: bytes | None) -> Answer | None:
        """The answer to a request, once it is on disk; None where the disk fails.

        `text`: the compressed text of the configuration that the request names, where it came along.
        """
        try:
            if text is not None and isinstance(request, Accept) and request.disk == self.state.disk:
                self.store.put_text(request.state.digest, text)
            state, answer = self.acceptor.answer(request)
            self.persist(state)
        except OSError as error:
            self.host.log(f"replica: the disk fails: {error}")
            return None
        return answer
