"""Admission of members: a machine requests its admission, and a member submits the membership change."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from honeywharf import rpc_methods
from honeywharf.control import mesh_state
from honeywharf.control.contacts import SUSPECT_AFTER_S, UNREACHABLE_AFTER_S
from honeywharf.control.member_removal import CHANGE_TIMEOUT_S
from honeywharf.control.mesh_state import Member, MemberId, member_ids
from honeywharf.control.messages import DecidedMembership
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


class Joining:
    """Both sides of an admission.

    `zone` is this machine's zone; `is_initial_start` is set when the system starts for the first time;
    `other_addresses` returns the addresses of other control nodes, "ip:port"; `text_digest` returns the
    digest of the newest configuration whose text is on this disk, or an empty string.
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
        self.zone, self.is_initial_start = "", False
        self.other_addresses: Callable[[], list[str]] = list
        self.text_digest: Callable[[], str] = str

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
        joiner = request.joiner
        answer = partial(self._answer_decided_membership, args, reply, peer)
        members = self.voter.state.members
        if (
            not self.voter.is_member()
            or joiner.id in member_ids(members)
            or (not joiner.is_initial and self._should_retry_soon(joiner.address))
        ):
            answer()
            return
        unreachable = self.contacts.unreachable(UNREACHABLE_AFTER_S)
        change = mesh_state.require_text(mesh_state.admit(joiner, unreachable), request.digest)
        replaces_disk = joiner.address in [member.address for member in members]
        if joiner.is_initial or replaces_disk:
            timeout = CHANGE_TIMEOUT_S - CALL_TIMEOUT_S
            self.changes.submit(change, timeout, lambda result, admission: answer())
        elif unreachable:
            self.removal.submit_under_lease(change, answer)  # The joiner replaces an unreachable member.
        else:
            answer()  # The joiner stays a standby.

    def _should_retry_soon(self, address: str) -> bool:
        """Returns whether a joiner should retry, because a member may be about to become unreachable."""
        members = [member.address for member in self.voter.state.members]
        return (
            address not in members
            and not self.contacts.unreachable(UNREACHABLE_AFTER_S)
            and bool(self.contacts.unreachable(SUSPECT_AFTER_S))
        )
