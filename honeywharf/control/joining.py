"""Admission of members: a machine requests its admission, and a member submits the membership change."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from honeywharf import rpc_methods
from honeywharf.control import mesh_state
from honeywharf.control.admission_log import AdmissionLog, AdmissionOutcome
from honeywharf.control.contacts import SUSPECT_AFTER_S, UNREACHABLE_AFTER_S
from honeywharf.control.member_removal import CHANGE_TIMEOUT_S, membership_outcome
from honeywharf.control.mesh_state import Member, MemberId, member_ids
from honeywharf.control.messages import DecidedMembership, Heartbeat
from honeywharf.control.quorum_client import CALL_TIMEOUT_S
from honeywharf.transport.address import parse_address

if TYPE_CHECKING:
    from honeywharf.control.contacts import ContactTracker
    from honeywharf.control.member_removal import MemberRemoval
    from honeywharf.control.register_queues import ChangeQueue
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient
    from honeywharf.transport.rpc_server import Method, Reply

OUTCOMES = {
    mesh_state.Admission.MEMBER: AdmissionOutcome.ADMITTED,
    mesh_state.Admission.STANDBY: AdmissionOutcome.NO_PLACE,
    mesh_state.Admission.FULL: AdmissionOutcome.FULL,
    mesh_state.Admission.CHANGED: AdmissionOutcome.SUPERSEDED,
    mesh_state.Admission.NOT_JOINED: AdmissionOutcome.NOT_JOINED,
    mesh_state.Admission.NO_LEASE: AdmissionOutcome.NO_LEASE,
}
# The probability that a joiner that knows the membership requests it again, at each heartbeat.
REFRESH_PROBABILITY = 0.2


class AdmissionRequest(NamedTuple):
    """A joiner's request to be admitted. `digest` names the configuration whose text it has, or is empty."""

    address: str
    disk: str
    zone: str
    is_initial: bool
    digest: str

    @property
    def joiner(self) -> Member:
        """Returns the joiner as a member."""
        return Member(self.address, self.disk, self.zone, bool(self.is_initial))


class _PendingAdmission(NamedTuple):
    """A request to be admitted that a member handles until `deadline`; `answer` answers the joiner."""

    request: AdmissionRequest
    deadline: float
    answer: Callable[[], None]


class Joining:
    """Both sides of an admission.

    `zone` is this machine's zone; `is_initial_start` is set when the system starts for the first time;
    `other_addresses` returns the addresses of other control nodes, "ip:port"; `text_digest` returns the
    digest of the newest configuration whose text is on this disk, or an empty string; `own_heartbeat` returns
    this machine's report about itself.
    """

    def __init__(
        self,
        host: Host,
        caller: RpcClient,
        voter: Voter,
        changes: ChangeQueue,
        contacts: ContactTracker,
        removal: MemberRemoval,
        rng: Random,
    ) -> None:
        self.host, self.caller, self.voter, self.changes = host, caller, voter, changes
        self.contacts, self.removal, self.rng = contacts, removal, rng
        self.log = AdmissionLog(host)
        self.zone, self.is_initial_start = "", False
        self.other_addresses: Callable[[], list[str]] = list
        self.text_digest: Callable[[], str] = str
        self.own_heartbeat: Callable[[], Heartbeat]

    def methods(self) -> dict[str, Method]:
        """Returns the RPC methods that peers may call."""
        return {
            rpc_methods.DECIDED_MEMBERSHIP: self._answer_decided_membership,
            rpc_methods.ADMIT_MEMBER: self._admit,
        }

    # The joiner's side.

    def request_admission(self, members: list[MemberId]) -> None:
        """Requests the admission of this machine, or first the membership if that is unknown."""
        known = [member.address for member in members] + self.other_addresses()
        peers = [address for address in dict.fromkeys(known) if address != self.voter.local_address]
        if not peers:
            return
        peer = self.rng.choice(peers)
        if not self.voter.state.epoch or self.rng.random() < REFRESH_PROBABILITY:
            self.request_decided_membership(peer)
        if self.voter.state.epoch:
            self.log.requested()
            member_id = self.voter.member_id
            request = AdmissionRequest(*member_id, self.zone, self.is_initial_start, self.text_digest())
            self.caller.call(
                parse_address(peer),
                rpc_methods.ADMIT_MEMBER,
                request,
                CHANGE_TIMEOUT_S,
                self._received_membership,
            )

    def request_decided_membership(self, peer: str) -> None:
        """Requests the decided membership from a peer, and adopts it if it is newer."""
        self.caller.call(
            parse_address(peer),
            rpc_methods.DECIDED_MEMBERSHIP,
            None,
            CALL_TIMEOUT_S,
            self._received_membership,
        )

    def _received_membership(self, packed: Any) -> None:
        if packed is None:
            return
        try:
            self.voter.adopt_membership(DecidedMembership.unpack(packed))
        except (ValueError, TypeError) as error:
            self.host.log(f"replica: invalid membership from a peer: {error}")

    # A member's side.

    def _answer_decided_membership(self, args: Any, reply: Reply, peer: Address) -> None:
        reply(self.voter.state.decided)

    def _admit(self, args: Any, reply: Reply, peer: Address) -> None:
        """Handles a request to be admitted; the answer is the decided membership in either case."""
        request = AdmissionRequest(*args)
        answer = partial(self._answer_decided_membership, args, reply, peer)
        deadline = self.host.now() + CHANGE_TIMEOUT_S - CALL_TIMEOUT_S
        self._confirm_joiner(_PendingAdmission(request, deadline, answer))

    def _may_be_admitted(self, request: AdmissionRequest) -> bool:
        joiner = request.joiner
        if not self.voter.is_member() or joiner.id in member_ids(self.voter.state.members):
            self.log.decided(joiner.address, AdmissionOutcome.NOT_DECIDED_HERE)
            return False
        if not self._enlarges(joiner) and self._should_retry_soon(joiner.address):
            self.log.decided(joiner.address, AdmissionOutcome.MAY_BE_REACHABLE)
            return False
        return True

    def _enlarges(self, joiner: Member) -> bool:
        """Returns whether a joiner is added to the members, as one of the first start."""
        return mesh_state.enlarges(self.voter.state.members, joiner)

    def _confirm_joiner(self, admission: _PendingAdmission) -> None:
        """Asks the joiner whether it still has the disk of its request, which may be read late.

        The epoch is read before: a later change of the membership supersedes the admission.
        """
        if not self._may_be_admitted(admission.request):
            admission.answer()
            return
        epoch = self.voter.state.epoch
        self.caller.call(
            parse_address(admission.request.address),
            rpc_methods.HEARTBEAT,
            self.own_heartbeat(),
            CALL_TIMEOUT_S,
            partial(self._joiner_answered, admission, epoch),
        )

    def _joiner_answered(self, admission: _PendingAdmission, epoch: int, packed: Any) -> None:
        request = admission.request
        if not self._is_confirmed(request, packed):
            self.log.decided(request.address, AdmissionOutcome.UNCONFIRMED)
            admission.answer()
        elif self._may_be_admitted(request):
            self._submit_admission(admission, epoch)
        else:
            admission.answer()

    def _is_confirmed(self, request: AdmissionRequest, packed: Any) -> bool:
        """Returns whether a joiner's heartbeat shows the disk of its request."""
        if packed is None:
            return False
        try:
            heartbeat = Heartbeat.unpack(packed)
        except (ValueError, TypeError) as error:
            self.host.log(f"replica: invalid heartbeat from a joiner: {error}")
            return False
        return heartbeat.sender == request.joiner.id

    def _submit_admission(self, admission: _PendingAdmission, epoch: int) -> None:
        joiner, remaining = admission.request.joiner, admission.deadline - self.host.now()
        unreachable = self.contacts.unreachable(UNREACHABLE_AFTER_S)
        change = mesh_state.admit(joiner, unreachable)
        replaces_disk = joiner.address in [member.address for member in self.voter.state.members]
        done = partial(self._admission_done, admission)
        if self._enlarges(joiner) or replaces_disk:
            fenced = mesh_state.fenced(change, epoch)
            self.changes.submit_membership_change(
                fenced, max(0.0, remaining), lambda result, answer: done(membership_outcome(result, answer))
            )
        elif unreachable:
            self.removal.submit_under_lease(change, epoch, done)  # It replaces an unreachable member.
        else:
            self.log.decided(joiner.address, AdmissionOutcome.NO_PLACE)
            admission.answer()  # The joiner stays a standby.

    def _admission_done(self, admission: _PendingAdmission, outcome: Any) -> None:
        """Answers the joiner, or starts again if the membership has changed meanwhile."""
        self.log.decided(admission.request.address, OUTCOMES.get(outcome, AdmissionOutcome.NOT_COMMITTED))
        if outcome is mesh_state.Admission.CHANGED and self.host.now() < admission.deadline:
            self._confirm_joiner(admission)
        else:
            admission.answer()

    def _should_retry_soon(self, address: str) -> bool:
        """Returns whether a joiner should retry, because a member may be about to become unreachable."""
        members = [member.address for member in self.voter.state.members]
        return (
            address not in members
            and not self.contacts.unreachable(UNREACHABLE_AFTER_S)
            and bool(self.contacts.unreachable(SUSPECT_AFTER_S))
        )
