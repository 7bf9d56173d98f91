"""Lets changes that need more steps go first: meanwhile the other members start no other changes.

Theory of operation. The register has no leader, so proposers compete. A change of the membership, which may
admit a machine, needs a step more, and an evacuation needs a moment without changes between its caller's
confirmation and its write: both lose more often than others. Before such a change its proposer claims
precedence from the other members. Each of them starts no other write until the claim is released or has
expired, and a write in progress starts no further attempt: each member can reject the claimer's proposal at
most once. A claim
only decides who waits, so a lost, late or false one costs time and nothing else. Claims in a row end after
`MAX_HOLD_S`, and the next one counts only after `MIN_PAUSE_S`, so that other changes are not held up for ever
either.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from honeywharf import rpc_methods
from honeywharf.control.quorum_client import CALL_TIMEOUT_S
from honeywharf.transport.address import parse_address

if TYPE_CHECKING:
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Address, Host
    from honeywharf.transport.rpc_client import RpcClient
    from honeywharf.transport.rpc_server import Method, Reply

CLAIM_S = 0.5  # A claim that is not released expires after this time.
MAX_HOLD_S = 1.0  # Other changes are held up for at most this long in a row.
MIN_PAUSE_S = 0.3  # The time between two rows of claims.


class Precedence:
    """Both sides of claims. `on_held` is called when the time until which changes are held up changes."""

    def __init__(self, host: Host, caller: RpcClient, voter: Voter) -> None:
        self.host, self.caller, self.voter = host, caller, voter
        self.claims: dict[str, float] = {}  # The end of each claim, by the claimer's IP; of members only.
        self.held_since = self.held_until = 0.0
        self.on_held: Callable[[], None] = lambda: None

    def methods(self) -> dict[str, Method]:
        """Returns the RPC methods that peers may call."""
        return {rpc_methods.CLAIM_PRECEDENCE: self._answer_claim}

    def claim(self, holds_here: bool = False) -> None:
        """Claims precedence from the other members, and with `holds_here` over this node's other changes."""
        self._call_members(CLAIM_S)
        if holds_here:
            self._record(self._local_ip, CLAIM_S, self._member_ips())

    def release(self) -> None:
        """Releases the claim."""
        self._call_members(0.0)
        if self._local_ip in self.claims:
            self._record(self._local_ip, 0.0, self._member_ips())

    @property
    def _local_ip(self) -> str:
        return parse_address(self.voter.local_address)[0]

    def _member_ips(self) -> set[str]:
        return {parse_address(member.address)[0] for member in self.voter.state.members}

    def _call_members(self, seconds: float) -> None:
        state = self.voter.state
        for member in state.members:
            if member.address != self.voter.local_address:
                self.caller.call(
                    parse_address(member.address),
                    rpc_methods.CLAIM_PRECEDENCE,
                    [state.epoch, seconds],
                    CALL_TIMEOUT_S,
                    lambda answer: None,
                )

    def is_held(self) -> bool:
        """Returns whether this node starts no changes now but those that claim precedence themselves."""
        return self.host.now() < self.held_until

    def _answer_claim(self, args: Any, reply: Reply, peer: Address) -> None:
        """Holds other changes up for a member with the same membership, or ends this."""
        epoch, seconds = args
        members = self._member_ips()
        if epoch == self.voter.state.epoch and peer[0] in members:
            self._record(peer[0], min(float(seconds), CLAIM_S), members)
        reply(True)

    def _record(self, claimer: str, seconds: float, members: set[str]) -> None:
        now = self.host.now()
        self.claims = {ip: end for ip, end in self.claims.items() if ip in members and end > now}
        if now >= self.held_until + MIN_PAUSE_S:
            self.held_since = now  # The first claim of a row.
        self.claims[claimer] = min(now + seconds, self.held_since + MAX_HOLD_S)
        ends_at = max(self.claims.values())
        if ends_at > now or self.held_until > now:
            self.held_until = max(now, ends_at)
            self.on_held()
