"""One control node's replica of the quorum register, on a `Host`: its vote, changes, reads and membership.

Theory of operation. Changes that arrive while a write is in progress are batched into the next one, and reads
likewise (`register_queues`). A peer is answered only after the state that the answer depends on is synced
(`voter`). A committed state is sent to the members; a node that misses it learns of it from heartbeats
(`committed_state`, `membership`).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from honeywharf import rpc_methods
from honeywharf.control import mesh_state, messages
from honeywharf.control.acceptor import AcceptorState
from honeywharf.control.committed_state import CommittedState
from honeywharf.control.configuration_texts import ConfigurationTexts
from honeywharf.control.contacts import UNREACHABLE_AFTER_S
from honeywharf.control.member_removal import CHANGE_TIMEOUT_S
from honeywharf.control.membership import MembershipManager
from honeywharf.control.mesh_state import MemberId, MeshState
from honeywharf.control.precedence import Precedence
from honeywharf.control.quorum_client import QuorumClient
from honeywharf.control.register_queues import ChangeQueue, ReadQueue
from honeywharf.control.voter import DISK_NAME_BYTES, Voter
from honeywharf.transport.address import format_address, format_addresses

if TYPE_CHECKING:
    from honeywharf.control.store import Store
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient
    from honeywharf.transport.rpc_server import Method, Reply

READ_TIMEOUT_S = 0.8  # The time-out of a read for another process.
SEED_BYTES = 16  # The size of the seed for backoff and jitter.


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """The settings of this control node.

    `address` is its internal address; `seeds` are the addresses of the first members; `is_initial_start` is
    set when the system starts for the first time, so that a seed with an empty disk has a vote.
    """

    address: Address
    zone: str
    seeds: Sequence[Address]
    is_initial_start: bool


class Replica:
    """A replica of the register. `methods` are the RPC methods that peers may call.

    `start` is called once the disk can be read. `on_state` is called with each newer committed state;
    `other_control_nodes` returns the addresses of the control nodes that gossip knows.
    """

    def __init__(
        self,
        host: Host,
        store: Store,
        caller: RpcClient,
        settings: ReplicaSettings,
        on_state: Callable[[MeshState], None] = lambda state: None,
        other_control_nodes: Callable[[], list[Address]] = list,
    ) -> None:
        self.host, self.store, self.settings = host, store, settings
        self.other_control_nodes = other_control_nodes
        self.local_address = format_address(settings.address)
        self.seeds = format_addresses(settings.seeds)
        rng = Random(host.random(SEED_BYTES))
        self.voter = Voter(host, store, self.local_address)
        self.texts = ConfigurationTexts(host, store, caller, self._text_sources)
        self.client = QuorumClient(host, caller, self.voter, self.texts, self._record_contact)
        self.committed = CommittedState(host, caller, store, self.voter, self.texts, on_state)
        self.precedence = Precedence(host, caller, self.voter)
        self.changes = ChangeQueue(
            host,
            self.voter,
            self.texts,
            self.client,
            rng,
            self.precedence,
            self.committed.local_write_committed,
        )
        self.reads = ReadQueue(host, self.voter, self.client, self.changes, rng, self.committed.advance)
        self.membership = MembershipManager(
            host, caller, self.voter, self.changes, rng, self.committed.summary, self.committed.fetch
        )
        self.membership.configure(settings.zone, settings.is_initial_start, self._other_addresses)
        self.changes.silent_members = lambda: self.unreachable_members(UNREACHABLE_AFTER_S)
        self.submit, self.read, self.get_text = self.changes.submit, self.reads.read, self.texts.get
        self.methods: dict[str, Method] = {
            **self.membership.methods(),
            **self.precedence.methods(),
            rpc_methods.REGISTER_REQUEST: self._answer_register_request,
            rpc_methods.STATE_COMMITTED: self._state_committed,
            rpc_methods.READ_STATE: self._answer_read,
            rpc_methods.KNOWN_STATE: self._answer_known_state,
            rpc_methods.CONFIGURATION_TEXT: self._answer_text,
        }

    def start(self) -> None:
        """Loads the state from disk and starts. Raises OSError if the disk fails; the caller tries again."""
        self.voter.load(self._new_acceptor_state())
        self.changes.counter = self.state.promised.counter
        self.membership.start()
        self.committed.start()
        self.read(CHANGE_TIMEOUT_S, lambda state: None)

    def _new_acceptor_state(self) -> AcceptorState:
        """Returns the state for an empty disk: an initial member at the first start, else without a vote."""
        is_initial = self.settings.is_initial_start
        is_seed = is_initial and self.local_address in self.seeds and self.store.is_unused()
        disk = mesh_state.INITIAL_DISK if is_seed else self.host.random(DISK_NAME_BYTES).hex()
        if is_initial and self.seeds:
            return AcceptorState(disk, 1, mesh_state.initial_membership(self.seeds))
        return AcceptorState(disk)

    @property
    def state(self) -> AcceptorState:
        """Returns the acceptor's state, as it is on disk."""
        return self.voter.state

    @property
    def known_state(self) -> MeshState | None:
        """Returns the newest committed state that this node knows; it may be old."""
        return self.committed.known

    @property
    def member_id(self) -> MemberId:
        """Returns the identity of this machine with its disk."""
        return self.voter.member_id

    def is_member(self) -> bool:
        """Returns whether this machine is in the decided membership."""
        return self.voter.is_member()

    def discard_vote(self) -> None:
        """Gives up this disk's vote, because it returned an older register; see `Voter.discard_vote`."""
        self.voter.discard_vote()

    def unreachable_members(self, duration: float) -> list[MemberId]:
        """Returns members without contact for `duration` seconds in which this process ran."""
        return self.membership.contacts.unreachable(duration)

    def reaches_majority(self) -> bool:
        """Returns whether a majority was in contact recently; see `ContactTracker.reaches_majority`."""
        return self.membership.contacts.reaches_majority()

    def hand_over(self, timeout: float, done: Callable[[], None]) -> None:
        """Hands this member's place to a standby, if there is one, before a planned end; then calls `done()`.

        The handover takes at most `timeout` seconds.
        """
        self.voter.is_leaving = True
        self.membership.handover.begin(timeout, done)

    def _record_contact(self, member: MemberId) -> None:
        self.membership.contacts.record(member)

    def _other_addresses(self) -> list[str]:
        return format_addresses(self.other_control_nodes()) + self.seeds

    def _text_sources(self) -> list[str]:
        members = [member.address for member in self.state.members]
        sources = dict.fromkeys([*members, *format_addresses(self.other_control_nodes())])
        return [address for address in sources if address != self.local_address]

    def _answer_register_request(self, args: Any, reply: Reply, peer: Address) -> None:
        packed, text = args
        answer = self.voter.vote(messages.unpack_request(packed), text)
        if answer is not None:
            reply(messages.pack(answer))

    def _state_committed(self, args: Any, reply: Reply, peer: Address) -> None:
        self.committed.adopt(args)
        reply(True)

    def _answer_read(self, args: Any, reply: Reply, peer: Address) -> None:
        if self.reaches_majority():
            self.read(READ_TIMEOUT_S, lambda state: reply(None if state is None else state.pack_public()))
        else:
            reply(None)

    def _answer_known_state(self, args: Any, reply: Reply, peer: Address) -> None:
        reply(None if self.known_state is None else self.known_state.pack_public())

    def _answer_text(self, args: Any, reply: Reply, peer: Address) -> None:
        reply(self.texts.local(args))
