"""Asks grantors for the roles that a process wants, renews them while it wants them, and releases them.

`wanted` is a list of groups of roles; the acquisition is granted when it holds one role of each group.
Members are asked all at once; a slot that another holder has is left for the next of its group. Without a
majority in `ACQUIRE_TIMEOUT_S` the acquisition is refused and its votes are released: the role is not taken
then, and nothing else waits for it.
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
    Membership = Callable[[], tuple[int, Sequence[MemberId]]]  # epoch, members

ACQUIRE_TIMEOUT_S = 0.3  # for a first round over all groups
CALL_TIMEOUT_S = 0.2  # for one grantor
MIN_RENEWAL_S = 0.01  # between two renewals
MAX_ROUNDS = 24  # of one acquisition until it is granted or refused


class LeaseAcquisition:
    """See the module. `on_lost()` is called when a lease has ended that was still wanted."""

    def __init__(
        self,
        host: Host,
        call: Call,
        membership: Membership,
        holder: str,
        wanted: Sequence[Sequence[Role]],
        on_lost: Callable[[], None] = lambda: None,
    ) -> None:
        self.host, self.call, self.membership = host, call, membership
        self.holder, self.on_lost = holder, on_lost
        self.wanted = [list(group) for group in wanted]
        self.leases: list[Lease] = []
        self.done: Callable[[bool], None] | None = None  # while it is neither granted nor refused
        self.is_granted = False
        self.rounds = 0
        self.deadline = 0.0
        self.timer: Timer | None = None

    @property
    def is_pending(self) -> bool:
        """Whether it is neither granted nor refused."""
        return self.done is not None

    def holds(self) -> bool:
        """Whether the roles may be acted in now."""
        now = self.host.now()
        return self.is_granted and all(lease.holds(now) for lease in self.leases)

    def numbers(self) -> list[int]:
        """Fencing numbers of the leases, in the order of the groups."""
        return [lease.number for lease in self.leases]

    def begin(self, done: Callable[[bool], None]) -> None:
        """Ask; `done` is called once, later."""
        self.done = done
        self.deadline = self.host.now() + ACQUIRE_TIMEOUT_S
        self.timer = self.host.after(ACQUIRE_TIMEOUT_S, partial(self._refuse, done))
        self._next_group()

    def end(self) -> None:
        """It is not wanted any more: stop, and release the votes."""
        self.is_granted, self.done = False, None
        if self.timer is not None:
            self.timer.cancel()
        leases, self.leases = self.leases, []
        for lease in leases:
            lease.stop()
            self._release(lease)

    # Until it is granted.

    def _next_group(self) -> None:
        """Try the next slot of the group at hand, or be granted."""
        if len(self.leases) == len(self.wanted):
            self._grant()
            return
        group = self.wanted[len(self.leases)]
        if not group or self.rounds >= MAX_ROUNDS:
            self._refuse(self.done)
            return
        lease = Lease(group.pop(0), self.holder, max(self.numbers(), default=0))
        self.leases.append(lease)
        self._ask_members(lease)

    def _ask_members(self, lease: Lease) -> None:
        """Begin a round of a lease."""
        epoch, members = self.membership()
        self.rounds += 1
        grantors = lease.begin(self.host.now(), epoch, members, int(self.host.wall() * 1000))
        if not grantors:
            self._refuse(self.done)
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
        if self.done is None or lease is not self.leases[-1] or round_number != lease.round:
            return
        if lease.holds(now):
            self._next_group()
        elif lease.is_hopeless():
            self._next_slot(lease)

    def _next_slot(self, lease: Lease) -> None:
        """This slot is not to be had, or by a higher number only."""
        self._release(lease)
        if lease.needs_higher_number() and self.rounds < MAX_ROUNDS:
            self._ask_members(lease)
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

    def _refuse(self, done: Callable[[bool], None] | None) -> None:
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

    # While it is held.

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
            self._ask_members(lease)
        left = min(lease.until for lease in self.leases) - self.host.now()
        delay = max(MIN_RENEWAL_S, min(left, self._renewal_interval()))
        self.timer = self.host.after(delay, self._renew)
