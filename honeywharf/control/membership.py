"""Keeps the membership of the register up to date: heartbeats, and what follows from them.

Theory of operation. Members call one another every `HEARTBEAT_S`, which tells who is unreachable
(`contacts`), who knows a newer decided membership or state, and who has not accepted what others have: such
a one makes a write that changes nothing, and so brings itself up to date. Who is not a member calls them
too, and asks to be admitted (`joining`); while no place is free it is a standby (`standby`). An unreachable
member loses its place only under a lease (`member_removal`).
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
from honeywharf.control.standby import Handover, Standbys
from honeywharf.transport.address import parse_address

if TYPE_CHECKING:
    from honeywharf.control.register_queues import ChangeQueue
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient
    from honeywharf.transport.rpc_server import Method, Reply

HEARTBEAT_S = 0.3  # between two heartbeats, on average
HEARTBEAT_JITTER = (0.9, 0.2)  # of that: the least, and the width of the range
STALL_S = 0.5  # that our own heartbeat may be late before the judgement of others begins anew
CATCH_UP_HEARTBEATS = 3  # and up to as many more, for which a member that is behind waits for others


class KnownState(NamedTuple):
    """The committed state that this node knows.

    `revision`: -1 for none; `digest`: of its configuration where the text is on disk, else empty.
    """

    revision: int
    digest: str


class MembershipManager:
    """The membership as one control node keeps it.

    `known_state`: what this node knows of the committed state; `fetch_state`: asks a peer for a newer one.
    `on_heartbeat` is called with each heartbeat of another machine.
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
        self.joining = Joining(host, caller, voter, changes, self.contacts, self.removal, rng)
        self.joining.text_digest = lambda: known_state().digest
        self.standbys = Standbys()
        self.handover = Handover(host, voter, changes, self.standbys)
        self.is_leaving = False  # this process ends: it asks for no place any more
        self.last_heartbeat_at = host.now()
        self.highest_accepted = NO_PROPOSAL  # that any machine says it has accepted
        self.heartbeats_behind = 0  # in a row, at which that was above our own
        self.on_heartbeat: Callable[[Heartbeat], None] = lambda heartbeat: None

    def configure(self, zone: str, is_initial_start: bool, other_addresses: Callable[[], list[str]]) -> None:
        """How this machine joins, see `Joining`. To be called before `start`."""
        self.joining.zone = self.handover.zone = zone
        self.joining.is_initial_start = is_initial_start
        self.joining.other_addresses = other_addresses

    def methods(self) -> dict[str, Method]:
        """What others may call."""
        return {rpc_methods.HEARTBEAT: self._answer_heartbeat, **self.joining.methods()}

    def start(self) -> None:
        """Begin to send heartbeats."""
        self.host.after(0.0, self._send_heartbeats)

    def own_heartbeat(self) -> Heartbeat:
        """What this machine reports about itself."""
        state = self.voter.state
        known = self.known_state()
        zone = self.joining.zone
        return Heartbeat(
            *self.voter.member_id, state.epoch, known.revision, state.accepted, zone, known.digest
        )

    def _send_heartbeats(self) -> None:
        """Call the others, and see to the membership."""
        now = self.host.now()
        least, width = HEARTBEAT_JITTER
        self.host.after(HEARTBEAT_S * (least + width * self.rng.random()), self._send_heartbeats)
        self._notice_stall(now)
        members = member_ids(self.voter.state.members)
        is_member = self.voter.is_member()
        if is_member:
            # Who was a member once, and was replaced, adds no place when it returns.
            self.joining.is_initial_start = False
        elif not self.is_leaving:
            self.joining.ask(members)
        for member in members:
            if self._calls(member, is_member):
                self._send_heartbeat(member)
        self.removal.remove_unreachable(members)
        self._catch_up()

    def _notice_stall(self, now: float) -> None:
        stall = now - self.last_heartbeat_at
        if stall > HEARTBEAT_S + STALL_S:
            self.contacts.stood_still(now)
            self.host.log(f"replica: this process stood still for {stall:.1f} s")
        self.last_heartbeat_at = now

    def _calls(self, member: MemberId, is_member: bool) -> bool:
        """Whether this machine calls a member: of two members, the one with the lower address does."""
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
            self.host.log(f"replica: {error}")

    def _record(self, heartbeat: Heartbeat) -> None:
        """A machine has reported about itself: note it, and ask it for what is newer than here."""
        self.contacts.record(heartbeat.sender)
        self.contacts.heartbeats[heartbeat.sender] = heartbeat
        if heartbeat.sender not in member_ids(self.voter.state.members):
            self.standbys.record(heartbeat, self.host.now())
        self.on_heartbeat(heartbeat)
        if heartbeat.epoch > self.voter.state.epoch:
            self.joining.ask_decided_membership(heartbeat.address)
        if heartbeat.revision > self.known_state().revision:
            self.fetch_state(parse_address(heartbeat.address))
        self.highest_accepted = max(self.highest_accepted, heartbeat.accepted)

    def _catch_up(self) -> None:
        """Make a write that changes nothing where something is left open for some heartbeats.

        Either others have accepted what this one has not; or this one has accepted what nobody has told to be
        committed: its proposer may have died right after, and a membership is not decided until it is known.
        """
        state = self.voter.state
        is_open = state.value is not None and state.value.revision > self.known_state().revision
        is_behind = self.voter.is_member() and (is_open or self.highest_accepted > state.accepted)
        self.heartbeats_behind = self.heartbeats_behind + 1 if is_behind else 0
        limit = CATCH_UP_HEARTBEATS * (1.0 + self.rng.random())
        if self.heartbeats_behind >= limit and self.changes.current is None:
            self.heartbeats_behind = 0
            self.changes.submit(mesh_state.no_change, CHANGE_TIMEOUT_S, lambda result, answer: None)
