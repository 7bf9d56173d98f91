"""Keeps the membership of the register up to date, by heartbeats.

Theory of operation. Members send heartbeats to one another every `HEARTBEAT_INTERVAL_S`, which show who is
unreachable (`contacts`), who knows a newer decided membership or state, and who has not accepted the newest
state: such a member makes a write that changes nothing, and so brings itself up to date. A machine that is
not a member sends heartbeats to the members too (`joining`); while no place is free it is a standby
(`standby`). The members replace an unreachable member by a standby (`replacement`). An unreachable member is
replaced or removed only under a lease (`member_removal`).
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from honeywharf import rpc_methods
from honeywharf.control import mesh_state
from honeywharf.control.contacts import ContactTracker
from honeywharf.control.joining import Joining
from honeywharf.control.member_removal import CHANGE_TIMEOUT_S, MemberRemoval
from honeywharf.control.mesh_state import MemberId, member_ids
from honeywharf.control.messages import NO_PROPOSAL, Heartbeat
from honeywharf.control.quorum_client import CALL_TIMEOUT_S
from honeywharf.control.replacement import MemberReplacement
from honeywharf.control.standby import Handover, Standbys
from honeywharf.transport.address import parse_address

if TYPE_CHECKING:
    from honeywharf.control.register_queues import ChangeQueue
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient
    from honeywharf.transport.rpc_server import Method, Reply

HEARTBEAT_INTERVAL_S = 0.3  # The mean interval of heartbeats.
HEARTBEAT_JITTER = (0.9, 0.2)  # The lowest factor of the interval, and the width of its range.
STALL_THRESHOLD_S = 0.5  # A local heartbeat that is later than this shows a stall, and resets the contacts.
CATCH_UP_HEARTBEATS = 3  # A member that is behind waits for one to two times as many heartbeats.


class KnownState(NamedTuple):
    """The committed state that this node knows.

    `revision` is -1 without one; `digest` names its configuration if the text is on disk, else it is empty.
    """

    revision: int
    digest: str


class MembershipManager:
    """Maintains the membership on one control node.

    `known_state` returns the committed state that this node knows; `fetch_state` requests a newer one from a
    peer. `on_heartbeat` is called with each heartbeat of another machine.
    """

    def __init__(
        self,
        host: Host,
        caller: RpcClient,
        voter: Voter,
        changes: ChangeQueue,
        rng: Random,
        known_state: Callable[[], KnownState],
        fetch_state: Callable[[Address], None],
    ) -> None:
        self.host, self.caller, self.voter, self.changes = host, caller, voter, changes
        self.rng, self.known_state, self.fetch_state = rng, known_state, fetch_state
        self.contacts = ContactTracker(host, voter)
        self.removal = MemberRemoval(voter, changes, self.contacts)
        self.standbys = Standbys()
        self.replacement = MemberReplacement(host, voter, changes, self.contacts, self.removal, self.standbys)
        self.joining = Joining(host, caller, voter, changes, self.replacement)
        self.joining.text_digest = lambda: known_state().digest
        self.joining.on_membership = self._membership_learned
        self.handover = Handover(host, voter, changes, self.standbys)
        self.last_heartbeat_at = host.now()
        self.highest_accepted = NO_PROPOSAL  # The highest number that any machine reports as accepted.
        self.heartbeats_behind = 0  # The number of consecutive heartbeats at which this member was behind.
        self.on_heartbeat: Callable[[Heartbeat], None] = lambda heartbeat: None

    def configure(self, zone: str, is_initial_start: bool, other_addresses: Callable[[], list[str]]) -> None:
        """Sets the parameters of `Joining`. Called before `start`."""
        self.joining.zone = self.handover.zone = zone
        self.joining.is_initial_start = is_initial_start
        self.joining.other_addresses = other_addresses

    def methods(self) -> dict[str, Method]:
        """Returns the RPC methods that peers may call."""
        return {rpc_methods.HEARTBEAT: self._answer_heartbeat, **self.joining.methods()}

    def start(self) -> None:
        """Starts to send heartbeats."""
        self.host.after(0.0, self._send_heartbeats)

    def own_heartbeat(self) -> Heartbeat:
        """Returns this machine's report about itself."""
        state = self.voter.state
        known = self.known_state()
        zone = self.joining.zone
        return Heartbeat(
            *self.voter.member_id, state.epoch, known.revision, state.accepted, zone, known.digest
        )

    def _send_heartbeats(self) -> None:
        """Sends the heartbeats, and maintains the membership."""
        now = self.host.now()
        least, width = HEARTBEAT_JITTER
        self.host.after(HEARTBEAT_INTERVAL_S * (least + width * self.rng.random()), self._send_heartbeats)
        self._detect_stall(now)
        members = member_ids(self.voter.state.members)
        if self.voter.is_member():
            self.joining.log.joined()
            # A member that is replaced later does not enlarge the membership when it returns.
            self.joining.is_initial_start = False
        elif not self.voter.is_leaving:
            self.joining.request_admission(members)
        self._call_members()
        self.removal.remove_unreachable(members)
        self.replacement.check()
        self._catch_up()

    def _call_members(self) -> None:
        """Sends a heartbeat to each member that this machine calls.

        A machine that has handed its place over and shuts down is no standby, and calls nobody.
        """
        is_member = self.voter.is_member()
        if not is_member and self.voter.is_leaving:
            return
        for member in member_ids(self.voter.state.members):
            if self._initiates_heartbeat(member, is_member):
                self._send_heartbeat(member)

    def _membership_learned(self) -> None:
        """Shows a machine that is no member to the members that it has just learned of."""
        if not self.voter.is_member():
            self._call_members()

    def _detect_stall(self, now: float) -> None:
        stall = now - self.last_heartbeat_at
        if stall > HEARTBEAT_INTERVAL_S + STALL_THRESHOLD_S:
            self.contacts.reset_after_stall(now)
            self.host.log(f"replica: this process was stalled for {stall:.1f} s")
        self.last_heartbeat_at = now

    def _initiates_heartbeat(self, member: MemberId, is_member: bool) -> bool:
        """Returns whether this machine calls a member; of two members, the lower address calls."""
        local = self.voter.local_address
        return member.address != local and (local < member.address or not is_member)

    def _send_heartbeat(self, member: MemberId) -> None:
        self.caller.call(
            parse_address(member.address),
            rpc_methods.HEARTBEAT,
            self.own_heartbeat(),
            CALL_TIMEOUT_S,
            self._heartbeat_answered,
        )

    def _answer_heartbeat(self, args: Any, reply: Reply, peer: Address) -> None:
        self._record(Heartbeat.unpack(args))
        reply(self.own_heartbeat())

    def _heartbeat_answered(self, packed: Any) -> None:
        if packed is None:
            return
        try:
            self._record(Heartbeat.unpack(packed))
        except (ValueError, TypeError) as error:
            self.host.log(f"replica: invalid heartbeat from a peer: {error}")

    def _record(self, heartbeat: Heartbeat) -> None:
        """Records a machine's report about itself, and requests from it what is newer there."""
        self.contacts.record(heartbeat.sender)
        self.contacts.heartbeats[heartbeat.sender] = heartbeat
        if heartbeat.sender not in member_ids(self.voter.state.members):
            is_new = self.standbys.record(heartbeat, self.host.now())
            if is_new:
                self.host.after(0.0, self.replacement.check)
        self.on_heartbeat(heartbeat)
        if heartbeat.epoch > self.voter.state.epoch:
            self.joining.request_decided_membership(heartbeat.address)
        if heartbeat.revision > self.known_state().revision:
            self.fetch_state(parse_address(heartbeat.address))
        self.highest_accepted = max(self.highest_accepted, heartbeat.accepted)

    def _catch_up(self) -> None:
        """Submits a write that changes nothing, if a value stays open for some heartbeats.

        Either other members have accepted a value that this one has not accepted, or this one has accepted a
        value that it does not know to be committed: the proposer may have died right after, and a membership
        is not decided until the commit is known.
        """
        state = self.voter.state
        is_open = state.value is not None and state.value.revision > self.known_state().revision
        is_behind = self.voter.is_member() and (is_open or self.highest_accepted > state.accepted)
        self.heartbeats_behind = self.heartbeats_behind + 1 if is_behind else 0
        limit = CATCH_UP_HEARTBEATS * (1.0 + self.rng.random())
        if self.heartbeats_behind >= limit:
            self.heartbeats_behind = 0
            self.changes.submit(mesh_state.no_change, CHANGE_TIMEOUT_S, lambda result, answer: None)
