"""Hinted handoff between control nodes: sends a returning member the state that it missed.

The `HINT_REPLICAS` members that follow an unreachable member on the ring keep a hint that the state has
changed. When the member is in contact again, they send it the newest committed state. It then knows that
state at once and fetches its text, instead of after its own first heartbeat. The handoff does not touch the
member's vote: the member accepts what it missed by a write of its own after some heartbeats
(`MembershipManager`). A write at once would be unsafe: it would repair a register whose disk has gone back
before its peers have reported three heartbeats of it (`drift.gather`).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from honeywharf import rpc_methods
from honeywharf.control import mesh_state
from honeywharf.control.contacts import UNREACHABLE_AFTER_S
from honeywharf.control.quorum_client import CALL_TIMEOUT_S
from honeywharf.failure_detector.ring import Ring
from honeywharf.hinted_handoff.hints import HintStore
from honeywharf.transport.address import parse_address

if TYPE_CHECKING:
    from honeywharf.control.interfaces import ControlProgram
    from honeywharf.control.mesh_state import MemberId, MeshState
    from honeywharf.transport.host import Address
    from honeywharf.transport.rpc_server import Reply

HINT_REPLICAS = 2  # This number of members keep hints for an unreachable one.
CHECK_INTERVAL_S = 0.3
STATE_HINT_BYTES = 512  # This approximates the size of a state without its digest.
STATE_HINT = "word"  # The only hint: the state has changed.


class ControlHandoff:
    """Keeps hints for unreachable members and hands them over. `is_enabled` set to False stops new hints."""

    def __init__(self, program: ControlProgram) -> None:
        self.program, self.host, self.replica = program, program.host, program.replica
        self.hints = HintStore(self.host.log)
        self.is_enabled = True
        self.newer_received = 0  # States received after a return that were newer than this node's.
        self.replica.membership.contacts.on_restored = self._restored
        self.replica.methods[rpc_methods.HINTED_HANDOFF] = self._answer_handoff

    def start(self) -> None:
        """Starts to check for unreachable members."""
        self.host.after(CHECK_INTERVAL_S, self._check_unreachable)

    def keeps_hints_for(self, address: str) -> bool:
        """Returns whether this node keeps hints for the member at an address."""
        ring = Ring()
        for member in mesh_state.member_ids(self.replica.state.members):
            ring.add(member.address)
        return self.replica.local_address in ring.after(address, HINT_REPLICAS)

    def _check_unreachable(self) -> None:
        now = self.host.now()
        self.host.after(CHECK_INTERVAL_S, self._check_unreachable)
        self.hints.sweep(now)
        unreachable = [member.address for member in self.replica.unreachable_members(UNREACHABLE_AFTER_S)]
        for address in [machine for machine in self.hints.by_machine if machine not in unreachable]:
            self.hints.drop(address)  # The address belongs to no current member.
        for address in unreachable:
            is_new = (
                self.is_enabled and address not in self.hints.by_machine and self.keeps_hints_for(address)
            )
            if is_new and self.hints.begin(address, now):
                self._add_hint([address])

    def state_changed(self, state: MeshState) -> None:
        """Adds a hint about a newer state for the unreachable members."""
        self._add_hint(self.hints.by_machine)

    def _add_hint(self, addresses: Iterable[str]) -> None:
        state = self.replica.known_state
        if state is not None:
            self.hints.add(STATE_HINT, STATE_HINT_BYTES + len(state.digest), addresses)

    def _restored(self, member: MemberId) -> None:
        """Hands over to a member that is in contact again, before it requests the state itself."""
        state = self.replica.known_state
        if self.hints.take(member.address) and state is not None:
            self.program.caller.call(
                parse_address(member.address),
                rpc_methods.HINTED_HANDOFF,
                state.pack_public(),
                CALL_TIMEOUT_S,
                lambda answer: None,
            )

    def _answer_handoff(self, args: Any, reply: Reply, peer: Address) -> None:
        """Takes the state that this node missed while it was unreachable."""
        known = self.replica.known_state
        self.newer_received += known is None or args["rev"] > known.revision
        self.replica.committed.adopt(args)
        reply(True)

    def view(self) -> dict[str, Any]:
        """Returns the counters for operators, as JSON (docs/operators/duties.md)."""
        hints = self.hints
        return {
            "missing": len(hints.by_machine),
            "entries": hints.total_entries,
            "bytes": hints.total_bytes,
            "handed": hints.handed_over,
            "spilled": hints.rejected,
            "stale": hints.expired,
            "taken": self.newer_received,
        }
