"""Acquires leases on the roles that a process needs, renews them while it needs them, and releases them.

The roles are given in groups; the acquisition is granted when it holds a lease on one role of each group. All
members are asked at once; if another holder has a slot, the next slot of the group is tried. Without a
majority within `ACQUIRE_TIMEOUT_S` the acquisition is rejected and its votes are released: the role is not
taken then, and nothing else waits for it.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from honeywharf import rpc_methods
from honeywharf.lease.lease import Lease
from honeywharf.transport.address import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from typing import Any

    from honeywharf.lease.grantor import Role
    from honeywharf.lease.lease import MemberId
    from honeywharf.transport.host import Address, Host, Timer

    Call = Callable[[Address, str, object, float, Callable[[Any], None]], None]
    Membership = Callable[[], tuple[int, Sequence[MemberId]]]  # Returns the epoch and the members.

ACQUIRE_TIMEOUT_S = 0.3  # The time-out of an acquisition, over all groups.
CALL_TIMEOUT_S = 0.2  # The time-out of a call to one grantor.
MIN_RENEWAL_S = 0.01  # The shortest time between two renewals.
MAX_ROUNDS = 24  # An acquisition takes at most this many rounds until it is granted or rejected.


class LeaseAcquisition:
    """An acquisition of leases on one role of each group.

    `on_lost()` is called when a lease has expired although it was still needed.
    """

    def __init__(
        self,
        host: Host,
        call: Call,
        membership: Membership,
        holder: str,
        role_groups: Sequence[Sequence[Role]],
        on_lost: Callable[[], None] = lambda: None,
    ) -> None:
        self.host, self.call, self.membership = host, call, membership
        self.holder, self.on_lost = holder, on_lost
        self.role_groups = [list(group) for group in role_groups]
        self.leases: list[Lease] = []
        self.done: Callable[[bool], None] | None = None  # Set while the acquisition is pending.
        self.is_granted = False
        self.rounds = 0
        self.rejections: set[str] = set()  # The grantors' rejecting answers.
        self.deadline = 0.0
        self.timer: Timer | None = None

    @property
    def is_pending(self) -> bool:
        """Returns whether the acquisition is neither granted nor rejected."""
        return self.done is not None

    def holds(self) -> bool:
        """Returns whether the process holds valid leases on the roles now."""
        now = self.host.now()
        return self.is_granted and all(lease.holds(now) for lease in self.leases)

    def numbers(self) -> list[int]:
        """Returns the fencing tokens of the leases, in the order of the groups."""
        return [lease.number for lease in self.leases]

    def begin(self, done: Callable[[bool], None]) -> None:
        """Starts the acquisition; `done` is called once, later, with whether it is granted."""
        self.done = done
        self.deadline = self.host.now() + ACQUIRE_TIMEOUT_S
        self.timer = self.host.after(ACQUIRE_TIMEOUT_S, partial(self._reject, done))
        self._next_group()

    def end(self) -> None:
        """Ends the acquisition: stops its leases, and releases their votes."""
        self.is_granted, self.done = False, None
        if self.timer is not None:
            self.timer.cancel()
        leases, self.leases = self.leases, []
        for lease in leases:
            lease.stop()
            self._release(lease)

    # The acquisition, until it is granted or rejected.

    def _next_group(self) -> None:
        """Tries the next slot of the current group; the acquisition is granted after the last group."""
        if len(self.leases) == len(self.role_groups):
            self._grant()
            return
        group = self.role_groups[len(self.leases)]
        if not group or self.rounds >= MAX_ROUNDS:
            self._reject(self.done)
            return
        lease = Lease(group.pop(0), self.holder, max(self.numbers(), default=0))
        self.leases.append(lease)
        self._begin_round(lease)

    def _begin_round(self, lease: Lease) -> None:
        """Starts a round of a lease: requests the votes of all members."""
        epoch, members = self.membership()
        self.rounds += 1
        grantors = lease.begin(self.host.now(), epoch, members, int(self.host.wall_time() * 1000))
        if not grantors:
            self._reject(self.done)
            return
        round_number = lease.round
        for address, disk in grantors:
            self.call(
                parse_address(address),
                rpc_methods.LEASE_REQUEST,
                [*lease.role, lease.holder, lease.number, epoch, disk],
                CALL_TIMEOUT_S,
                partial(self._answered, lease, round_number, (address, disk)),
            )

    def _answered(self, lease: Lease, round_number: int, member: MemberId, answer: Any) -> None:
        if lease not in self.leases:
            return
        now = self.host.now()
        if not isinstance(answer, (list, tuple)) or len(answer) != 2:
            lease.timed_out(round_number, member)
        else:
            lease.received(now, round_number, member, answer[0], answer[1])
            self.rejections |= lease.rejections
        if self.done is None or lease is not self.leases[-1] or round_number != lease.round:
            return
        if lease.holds(now):
            self._next_group()
        elif lease.cannot_reach_majority():
            self._next_slot(lease)

    def _next_slot(self, lease: Lease) -> None:
        """Retries with a higher number if only that is missing; else tries the next slot."""
        self._release(lease)
        if lease.needs_higher_number() and self.rounds < MAX_ROUNDS:
            self._begin_round(lease)
            return
        self.leases.remove(lease)
        self._next_group()

    def _release(self, lease: Lease) -> None:
        for address, disk in lease.members:
            self.call(
                parse_address(address),
                rpc_methods.LEASE_RELEASE,
                [*lease.role, lease.holder, lease.number, disk],
                CALL_TIMEOUT_S,
                lambda answer: None,
            )

    def _reject(self, done: Callable[[bool], None] | None) -> None:
        if done is not None and self.done is done:
            self.end()
            self.host.after(0.0, partial(done, False))

    def _grant(self) -> None:
        done, self.done = self.done, None
        if self.timer is not None:
            self.timer.cancel()
        self.is_granted = True
        self.timer = self.host.after(self._renewal_interval(), self._renew)
        if done is not None:
            done(True)

    # Renewal of granted leases.

    def _renewal_interval(self) -> float:
        return min(lease.renewal_interval() for lease in self.leases)

    def _renew(self) -> None:
        if not self.is_granted:
            return
        if not self.holds():
            self.end()
            self.on_lost()
            return
        for lease in self.leases:
            self._begin_round(lease)
        remaining = min(lease.expires_at for lease in self.leases) - self.host.now()
        delay = max(MIN_RENEWAL_S, min(remaining, self._renewal_interval()))
        self.timer = self.host.after(delay, self._renew)
