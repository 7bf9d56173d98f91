"""Starts the requests that wait for a slot of the backend when their turn comes, and expires them."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.admission.admission_queue import Admission
    from honeywharf.transport.host import Host, Timer


class QueueRunner:
    """The timers of one `Admission`, whose waiters it starts or rejects."""

    def __init__(self, host: Host, admission: Admission) -> None:
        self.host, self.admission = host, admission
        self.expiry_timer: Timer | None = None
        self.expiry_at = 0.0
        self.start_scheduled = False

    def start_soon(self) -> None:
        """Starts waiting requests once the calls in progress have returned."""
        if not self.start_scheduled:
            self.start_scheduled = True
            self.host.after(0.0, self._start_waiting)

    def _start_waiting(self) -> None:
        self.start_scheduled = False
        while True:
            waiter = self.admission.pop_next(self.host.now())
            if waiter is None:
                return
            waiter.start()

    def schedule_expiry(self) -> None:
        """Schedules the rejection of requests that wait too long."""
        expires_at = self.admission.next_expiry()
        if expires_at is None or (self.expiry_timer is not None and self.expiry_at <= expires_at):
            return
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        self.expiry_at = expires_at
        self.expiry_timer = self.host.after(max(0.0, expires_at - self.host.now()), self._expire_waiting)

    def _expire_waiting(self) -> None:
        self.expiry_timer = None
        for waiter in self.admission.pop_expired(self.host.now()):
            waiter.refuse()
        self.schedule_expiry()
