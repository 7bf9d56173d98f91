"""Asks grantors for what a machine wants to do, renews it while it is wanted, and gives it back. On a `Host`.

`wanted` is a list of groups; the acquisition is granted when it holds one place of each group. Members are
asked all at once; a place that another one has is left for the next of its group. Without a majority in
`WITHIN_S` the acquisition is refused and its votes are given back: the duty is not done then, and nothing
else waits for it.
"""

from __future__ import annotations

from functools import partial

from honeywharf.lease.lease import Lease

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from typing import Any

    from honeywharf.lease.grants import Duty
    from honeywharf.lease.lease import Key
    from honeywharf.transport.host import Address, Host, Timer

    Call = Callable[[Address, str, object, float, Callable[[Any], None]], None]
    Roster = Callable[[], tuple[int, Sequence[Key]]]

WITHIN_S = 0.3  # for the whole of a first round over all groups
CALL_S = 0.2  # for one grantor
SOONEST_S = 0.01  # between two looks at a lease
MAX_TRIES = 24  # rounds of one acquisition until it is granted or refused


class LeaseAcquisition:
    """See the module. `lost()` is called when a lease has ended that was still wanted."""

    def __init__(
        self,
        host: Host,
        call: Call,
        roster: Roster,
        holder: str,
        wanted: Sequence[Sequence[Duty]],
        lost: Callable[[], None] = lambda: None,
    ) -> None:
        self.host, self.call, self.roster, self.holder, self.lost = host, call, roster, holder, lost
        self.wanted = [list(group) for group in wanted]
        self.leases: list[Lease] = []
        self.done: Callable[[bool], None] | None = None  # while it is neither granted nor refused
        self.granted = False
        self.tries = 0
        self.deadline = 0.0
        self.timer: Timer | None = None

    @property
    def asking(self) -> bool:
        """Whether it is neither granted nor refused."""
        return self.done is not None

    def holds(self) -> bool:
        """Whether the duty may be done now."""
        now = self.host.now()
        return self.granted and all(lease.holds(now) for lease in self.leases)

    def numbers(self) -> list[int]:
        """Of the leases, in the order of the groups."""
        return [lease.number for lease in self.leases]

    def begin(self, done: Callable[[bool], None]) -> None:
        """Ask; `done` is told once, later."""
        self.done = done
        self.deadline = self.host.now() + WITHIN_S
        self.timer = self.host.after(WITHIN_S, partial(self._refuse, done))
        self._group()

    def end(self) -> None:
        """It is not wanted any more: stop, and give the votes back."""
        self.granted, self.done = False, None
        if self.timer is not None:
            self.timer.cancel()
        leases, self.leases = self.leases, []
        for lease in leases:
            lease.stop()
            self._free(lease)

    # Until it is granted.

    def _group(self) -> None:
        """Try the next place of the group at hand, or be granted."""
        if len(self.leases) == len(self.wanted):
            self._grant()
            return
        group = self.wanted[len(self.leases)]
        if not group or self.tries >= MAX_TRIES:
            self._refuse(self.done)
            return
        lease = Lease(group.pop(0), self.holder, max(self.numbers(), default=0))
        self.leases.append(lease)
        self._round(lease)

    def _round(self, lease: Lease) -> None:
        epoch, members = self.roster()
        self.tries += 1
        now = self.host.now()
        asked = lease.begin(now, epoch, members, int(self.host.wall() * 1000))
        if not asked:
            self._refuse(self.done)
            return
        number = lease.round
        for key in asked:
            told = [*lease.duty, lease.holder, lease.number, epoch, key[1]]
            self.call(
                _address(key[0]), "lease.ask", told, CALL_S, partial(self._answered, lease, number, key)
            )

    def _answered(self, lease: Lease, number: int, key: Key, answer: Any) -> None:
        if lease not in self.leases:
            return
        now = self.host.now()
        if not isinstance(answer, (list, tuple)) or len(answer) != 2:
            lease.lost(number, key)
        else:
            lease.heard(now, number, key, answer[0], answer[1])
        if self.done is None or lease is not self.leases[-1] or number != lease.round:
            return
        if lease.holds(now):
            self._group()
        elif lease.hopeless():
            self._next_place(lease)

    def _next_place(self, lease: Lease) -> None:
        """This place is not to be had, or by a higher number only."""
        self._free(lease)
        if lease.raised() and self.tries < MAX_TRIES:
            self._round(lease)
            return
        self.leases.remove(lease)
        self._group()

    def _free(self, lease: Lease) -> None:
        for where, disk in lease.members:
            told = [*lease.duty, lease.holder, lease.number, disk]
            self.call(_address(where), "lease.free", told, CALL_S, lambda answer: None)

    def _refuse(self, done: Callable[[bool], None] | None) -> None:
        if done is not None and self.done is done:
            self.end()
            self.host.after(0.0, partial(done, False))

    def _grant(self) -> None:
        done, self.done = self.done, None
        if self.timer is not None:
            self.timer.cancel()
        self.granted = True
        self.timer = self.host.after(min(lease.every() for lease in self.leases), self._renew)
        if done is not None:
            done(True)

    # While it is held.

    def _renew(self) -> None:
        if not self.granted:
            return
        if not self.holds():
            self.end()
            self.lost()
            return
        for lease in self.leases:
            self._round(lease)
        now = self.host.now()
        left = min(lease.until for lease in self.leases) - now
        soon = min(left, min(lease.every() for lease in self.leases))
        self.timer = self.host.after(max(SOONEST_S, soon), self._renew)


def _address(told: str) -> Address:
    ip, _, port = told.rpartition(":")
    return ip, int(port)
