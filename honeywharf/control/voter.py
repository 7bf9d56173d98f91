"""A replica's vote on its disk: nothing is answered before what it promises is synced."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from honeywharf.control.acceptor import Acceptor, AcceptorState
from honeywharf.control.mesh_state import Key, keys
from honeywharf.control.messages import Accept, Answer, Decided, Request

if TYPE_CHECKING:
    from honeywharf.control.store import Store
    from honeywharf.transport.host import Host


class Voter:
    """The acceptor of one machine, and its disk. `here`: this machine's address as memberships hold it."""

    def __init__(self, host: Host, store: Store, here: str) -> None:
        self.host, self.store, self.here = host, store, here
        self.acceptor = Acceptor(AcceptorState(""), store.has)
        self.membership_at = 0.0  # when the decided membership was taken over

    @property
    def state(self) -> AcceptorState:
        """What the disk holds."""
        return self.acceptor.state

    @property
    def key(self) -> Key:
        """This machine with its disk."""
        return self.here, self.state.disk

    def is_member(self) -> bool:
        """Whether this one is in the decided membership."""
        return self.key in keys(self.state.members)

    def load(self, new: AcceptorState) -> None:
        """Take up what the disk holds, or begin with `new`. OSError where the disk fails."""
        state = self.store.load()
        if state is None:
            state = new
            self.store.save(state)
        self.acceptor.state = state

    def keep(self, state: AcceptorState) -> None:
        """Persist a state, then hold it; OSError leaves the old one."""
        if state is self.state:
            return
        self.store.save(state)
        if state.epoch != self.state.epoch:
            self.membership_at = self.host.now()
            self.host.log(f"replica: membership {state.epoch}: {' '.join(m.address for m in state.members)}")
        self.acceptor.state = state

    def decide(self, decided: Decided) -> None:
        """Take over a decided membership where it is newer."""
        if decided.epoch <= self.state.epoch:
            return
        try:
            self.keep(replace(self.state, epoch=decided.epoch, members=decided.members))
        except OSError as fault:
            self.host.log(f"replica: a membership could not be kept: {fault}")

    def disown(self) -> None:
        """This disk gave back an older register: as after a lost disk, it has no vote until admitted anew.

        OSError where the disk fails: the old name is silent all the same, until a restart at the latest; the
        new one is kept with the first promise that it makes.
        """
        name = self.host.random(8).hex()
        self.acceptor.state = AcceptorState(name, self.state.epoch, self.state.members)
        self.store.save(self.state)

    def vote(self, request: Request, text: bytes | None) -> Answer | None:
        """This one's answer, after it is on disk; None where the disk fails.

        `text`: the compressed text of the configuration that the request names, where it came along.
        """
        try:
            if text is not None and isinstance(request, Accept) and request.disk == self.state.disk:
                self.store.keep(request.state.digest, text)
            state, answer = self.acceptor.answer(request)
            self.keep(state)
        except OSError as fault:
            self.host.log(f"replica: the disk fails: {fault}")
            return None
        return answer
