"""One member's vote in the register. No I/O, no clock: the caller keeps what is to be kept on disk."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from honeywharf.control.mesh_state import Membership, MeshState, unpack_membership
from honeywharf.control.messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Answer,
    Ballot,
    Current,
    Decided,
    NewerMembership,
    OtherDisk,
    Prepare,
    Promised,
    Read,
    Rejected,
    Request,
    TextMissing,
)


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """What an acceptor keeps on its disk.

    `disk` names the disk; `epoch` and `members` are the newest decided membership known, epoch 0 where none
    is; `promised` and `accepted` are ballots, and `value` is what was accepted.
    """

    disk: str
    epoch: int = 0
    members: Membership = ()
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: MeshState | None = None

    @property
    def decided(self) -> Decided:
        """The newest decided membership that is known."""
        return Decided(self.epoch, self.members)

    def pack(self) -> dict[str, Any]:
        """As msgpack holds it."""
        return {
            "disk": self.disk,
            "epoch": self.epoch,
            "roster": [list(member) for member in self.members],
            "promised": list(self.promised),
            "accepted": list(self.accepted),
            "value": None if self.value is None else self.value.pack(),
        }

    @staticmethod
    def unpack(packed: Any) -> AcceptorState:
        """From `pack`. KeyError, TypeError or ValueError where it is something else."""
        value = packed["value"]
        return AcceptorState(
            packed["disk"],
            packed["epoch"],
            unpack_membership(packed["roster"]),
            Ballot.unpack(packed["promised"]),
            Ballot.unpack(packed["accepted"]),
            None if value is None else MeshState.unpack(value),
        )


class Acceptor:
    """One member's vote. The caller persists the state given, sets it here, and then sends the answer."""

    def __init__(self, state: AcceptorState, has_text: Callable[[str], bool] = lambda digest: True) -> None:
        self.state = state
        self.has_text = has_text

    def answer(self, request: Request) -> tuple[AcceptorState, Answer]:
        """The state to keep (the same object where nothing changes) and the answer to give after that."""
        state = self.state
        if request.disk != state.disk:
            return state, OtherDisk(state.decided)
        if request.decided.epoch < state.epoch:
            return state, NewerMembership(state.decided)
        if request.decided.epoch > state.epoch:
            state = replace(state, epoch=request.decided.epoch, members=request.decided.members)
        if isinstance(request, Prepare):
            return self._prepare(state, request.ballot)
        if isinstance(request, Accept):
            return self._accept(state, request.ballot, request.state)
        assert isinstance(request, Read)
        value = None if state.value is None else state.value.without_history()
        return state, Current(state.decided, state.accepted, value)

    def _prepare(self, state: AcceptorState, ballot: Ballot) -> tuple[AcceptorState, Answer]:
        if ballot < state.promised:
            return state, Rejected(state.decided, ballot, state.promised)
        if ballot > state.promised:
            state = replace(state, promised=ballot)
        return state, Promised(state.decided, ballot, state.accepted, state.value)

    def _accept(self, state: AcceptorState, ballot: Ballot, value: MeshState) -> tuple[AcceptorState, Answer]:
        if ballot < state.promised:
            return state, Rejected(state.decided, ballot, state.promised)
        if value.digest and not self.has_text(value.digest):
            return state, TextMissing(state.decided, ballot)
        if ballot != state.accepted:
            state = replace(state, promised=ballot, accepted=ballot, value=value)
        return state, Accepted(state.decided, ballot)
