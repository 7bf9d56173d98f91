"""The acceptor of the register: one member's vote. No I/O and no clock: the caller persists the state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from honeywharf.control.mesh_state import Membership, MeshState, unpack_membership
from honeywharf.control.messages import (
    NO_PROPOSAL,
    Accept,
    Accepted,
    Answer,
    CurrentValue,
    DecidedMembership,
    DiskMismatch,
    NewerMembership,
    Prepare,
    Promised,
    ProposalNumber,
    Read,
    Rejected,
    Request,
    TextMissing,
)


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """The durable state of an acceptor.

    `disk` names the disk; `epoch` and `members` are the newest decided membership known, epoch 0 where none
    is known; no proposal below `promised` is accepted, and `value` is the state accepted under `accepted`.
    """

    disk: str
    epoch: int = 0
    members: Membership = ()
    promised: ProposalNumber = NO_PROPOSAL
    accepted: ProposalNumber = NO_PROPOSAL
    value: MeshState | None = None

    @property
    def decided(self) -> DecidedMembership:
        """Returns the newest decided membership that is known."""
        return DecidedMembership(self.epoch, self.members)

    def pack(self) -> dict[str, Any]:
        """Returns the form that msgpack stores."""
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
        """Reads the result of `pack`. Raises KeyError, TypeError or ValueError for anything else."""
        value = packed["value"]
        return AcceptorState(
            packed["disk"],
            packed["epoch"],
            unpack_membership(packed["roster"]),
            ProposalNumber.unpack(packed["promised"]),
            ProposalNumber.unpack(packed["accepted"]),
            None if value is None else MeshState.unpack(value),
        )


class Acceptor:
    """One member's vote.

    The caller persists the state that `answer` returns, assigns it to `state`, and only then sends the
    answer: a promise that is lost in a power failure would let two proposers commit different values.
    """

    def __init__(self, state: AcceptorState, has_text: Callable[[str], bool] = lambda digest: True) -> None:
        self.state = state
        self.has_text = has_text

    def answer(self, request: Request) -> tuple[AcceptorState, Answer]:
        """Returns the state to persist (the same object if nothing changes) and the answer to send then."""
        state = self.state
        if request.disk != state.disk:
            return state, DiskMismatch(state.decided)
        if request.decided.epoch < state.epoch:
            return state, NewerMembership(state.decided)
        if request.decided.epoch > state.epoch:
            state = replace(state, epoch=request.decided.epoch, members=request.decided.members)
        if isinstance(request, Prepare):
            return self._prepare(state, request.number)
        if isinstance(request, Accept):
            return self._accept(state, request.number, request.state)
        assert isinstance(request, Read)
        value = None if state.value is None else state.value.without_history()
        return state, CurrentValue(state.decided, state.accepted, value)

    def _prepare(self, state: AcceptorState, number: ProposalNumber) -> tuple[AcceptorState, Answer]:
        if number < state.promised:
            return state, Rejected(state.decided, number, state.promised)
        if number > state.promised:
            state = replace(state, promised=number)
        return state, Promised(state.decided, number, state.accepted, state.value)

    def _accept(
        self, state: AcceptorState, number: ProposalNumber, value: MeshState
    ) -> tuple[AcceptorState, Answer]:
        if number < state.promised:
            return state, Rejected(state.decided, number, state.promised)
        if value.digest and not self.has_text(value.digest):
            return state, TextMissing(state.decided, number)
        if number != state.accepted:
            state = replace(state, promised=number, accepted=number, value=value)
        return state, Accepted(state.decided, number)
