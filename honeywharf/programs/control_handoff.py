"""Hinted handoff between control nodes: what an unreachable member missed, handed over on its return.

The `KEEPERS` members that follow an unreachable one on the ring keep a hint that the state has changed.
When it is in contact again, they send it the newest committed state. It then knows that state at once, and
fetches its text, instead of after its own first heartbeat. Its vote is not touched: it accepts what it
missed by a write of its own after some heartbeats (`MembershipManager`). A write at once was tried and
dropped: a register whose disk has gone back was then repaired before its peers had told three heartbeats of
it (`drift.gather`).
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

KEEPERS = 2  # members that keep hints for an unreachable one
LOOK_S = 0.3  # between looks at who is unreachable
STATE_BYTES = 512  # that a state takes, nearly
STATE_HINT = "word"  # the one hint that there is: the state has changed


class ControlHandoff:
    """See the module. `is_enabled` is switched off to measure what it brings."""

    def __init__(self, program: ControlProgram) -> None:
        self.program, self.host, self.replica = program, program.host, program.replica
        self.hints = HintStore(self.host.log)
        self.is_enabled = True
        self.newer_received = 0  # states that were newer than this node's, on its own return
        self.replica.membership.contacts.on_restored = self._restored
        self.replica.methods[rpc_methods.HINTED_HANDOFF] = self._answer_handoff

    def start(self) -> None:
        """Begin to look."""
        self.host.after(LOOK_S, self._look)

    def keeps_for(self, address: str) -> bool:
        """Whether this node keeps hints for a member, by its address."""
        ring = Ring()
        for member in mesh_state.member_ids(self.replica.state.members):
            ring.add(member.address)
        return self.replica.local_address in ring.after(address, KEEPERS)

    def _look(self) -> None:
        now = self.host.now()
        self.host.after(LOOK_S, self._look)
        self.hints.sweep(now)
        unreachable = [member.address for member in self.replica.unreachable_members(UNREACHABLE_AFTER_S)]
        for address in [one for one in self.hints.by_machine if one not in unreachable]:
            self.hints.drop(address)  # it is no member any more
        for address in unreachable:
            is_new = self.is_enabled and address not in self.hints.by_machine and self.keeps_for(address)
            if is_new and self.hints.begin(address, now):
                self._add_hint([address])

    def state_changed(self, state: MeshState) -> None:
        """A newer state is in force: those who are unreachable should have it."""
        self._add_hint(self.hints.by_machine)

    def _add_hint(self, addresses: Iterable[str]) -> None:
        state = self.replica.known_state
        if state is not None:
            self.hints.add(STATE_HINT, STATE_BYTES + len(state.digest), addresses)

    def _restored(self, member: MemberId) -> None:
        """A member is in contact again: hand over at once, before its own heartbeats ask."""
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
        """What this node should have had while it was away."""
        known = self.replica.known_state
        self.newer_received += known is None or args["rev"] > known.revision
        self.replica.committed.adopt(args)
        reply(True)

    def view(self) -> dict[str, Any]:
        """Figures for operators, as JSON (docs/operators/duties.md)."""
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
