"""Admission of members: a machine learns the membership, and requests its admission at the first start.

Theory of operation. A machine that is no member asks for the decided membership, several peers at a time and
each in its turn, so that addresses of machines that are gone cost no time. Its heartbeats (`membership`) show
it to all members, which replace a lost disk or an unreachable member by themselves (`replacement`). A request
for admission, sent to one member after the other, adds a machine of the first start to the membership.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

from honeywharf import rpc_methods
from honeywharf.control import mesh_state
from honeywharf.control.member_removal import CHANGE_TIMEOUT_S, WRITE_TIMEOUT_S, admission_outcome
from honeywharf.control.mesh_state import Admission, Member, MemberId
from honeywharf.control.messages import DecidedMembership
from honeywharf.control.quorum_client import CALL_TIMEOUT_S
from honeywharf.transport.address import parse_address

if TYPE_CHECKING:
    from honeywharf.control.register_queues import ChangeQueue
    from honeywharf.control.replacement import MemberReplacement
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient
    from honeywharf.transport.rpc_server import Method, Reply

MAX_PEERS_ASKED = 6  # The peers that are asked for the membership with one heartbeat.


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
    digest of the newest configuration whose text is on this disk, or an empty string; `on_membership` is
    called when a newer membership was learned from a peer.
    """

    def __init__(
        self,
        host: Host,
        caller: RpcClient,
        voter: Voter,
        changes: ChangeQueue,
        replacement: MemberReplacement,
    ) -> None:
        self.host, self.caller, self.voter, self.changes = host, caller, voter, changes
        self.replacement, self.log = replacement, replacement.log
        self.zone, self.is_initial_start = "", False
        self.heartbeats = 0  # The heartbeats since the start at which this machine was no member.
        self.other_addresses: Callable[[], list[str]] = list
        self.text_digest: Callable[[], str] = str
        self.on_membership: Callable[[], None] = lambda: None

    def methods(self) -> dict[str, Method]:
        """Returns the RPC methods that peers may call."""
        return {
            rpc_methods.DECIDED_MEMBERSHIP: self._answer_decided_membership,
            rpc_methods.ADMIT_MEMBER: self._admit,
        }

    # The joiner's side.

    def request_admission(self, members: list[MemberId]) -> None:
        """Requests the membership from some peers, and the admission of this machine from one member."""
        turn, self.heartbeats = self.heartbeats, self.heartbeats + 1
        local = self.voter.local_address
        voters = [member.address for member in members if member.address != local]
        known = [address for address in dict.fromkeys(voters + self.other_addresses()) if address != local]
        for peer in _in_turn(known, turn * MAX_PEERS_ASKED, MAX_PEERS_ASKED):
            self.request_decided_membership(peer)
        for peer in _in_turn(voters, turn, 1):
            self._request_admission_from(peer)

    def _request_admission_from(self, peer: str) -> None:
        self.log.requested()
        request = AdmissionRequest(
            *self.voter.member_id, self.zone, self.is_initial_start, self.text_digest()
        )
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
        epoch = self.voter.state.epoch
        try:
            self.voter.adopt_membership(DecidedMembership.unpack(packed))
        except (ValueError, TypeError) as error:
            self.host.log(f"replica: invalid membership from a peer: {error}")
        if self.voter.state.epoch > epoch:
            self.on_membership()

    # A member's side.

    def _answer_decided_membership(self, args: Any, reply: Reply, peer: Address) -> None:
        reply(self.voter.state.decided)

    def _admit(self, args: Any, reply: Reply, peer: Address) -> None:
        """Handles a request to be admitted; the answer is the decided membership in any case.

        Only a machine of the first start is added by its request. The epoch supersedes a request that is read
        late, and the joiner accepts the change first, under the disk of its request.
        """
        joiner = AdmissionRequest(*args).joiner
        state = self.voter.state
        answer = partial(self._answer_decided_membership, args, reply, peer)
        if not self.voter.is_staying_member() or joiner.id in mesh_state.member_ids(state.members):
            self.log.decided(joiner.address, Admission.NOT_DECIDED_HERE)
            answer()
        elif mesh_state.enlarges(state.members, joiner) and not self._replaces_disk(joiner):
            change = mesh_state.fenced(mesh_state.admit(joiner, []), state.epoch)
            self.changes.submit_with_precedence(
                change,
                WRITE_TIMEOUT_S,
                lambda result, outcome: self._admitted(joiner, admission_outcome(result, outcome), answer),
            )
        else:
            self.replacement.check()
            answer()

    def _replaces_disk(self, joiner: Member) -> bool:
        return joiner.address in [member.address for member in self.voter.state.members]

    def _admitted(self, joiner: Member, outcome: Admission, answer: Callable[[], None]) -> None:
        self.log.decided(joiner.address, outcome)
        answer()


def _in_turn(items: list[str], start: int, count: int) -> list[str]:
    """Returns up to `count` items from a position on, and from the first item again after the last."""
    return [items[(start + offset) % len(items)] for offset in range(min(count, len(items)))]
