"""Logs and counts what becomes of admissions: a machine's own, and those that this member decides."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from honeywharf.control.mesh_state import Admission
    from honeywharf.transport.host import Host

MAX_JOINERS = 64  # The last outcome is stored for this many joiners.


class AdmissionLog:
    """The admissions that one control node takes part in.

    `outcomes` counts attempts by outcome. Repeated outcomes of one joiner are logged once.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.outcomes: dict[str, int] = {}
        self.started_at = host.now()
        self.requests = 0  # The requests of this machine for its own admission.
        self._last_outcomes: dict[str, Admission] = {}

    def requested(self) -> None:
        """Counts a request of this machine for its own admission."""
        if self.requests == 0:
            self.host.log(f"admission: first request, {self._elapsed():.2f} s after the start")
        self.requests += 1

    def joined(self) -> None:
        """Logs that this machine, which had requested its admission, has become a member."""
        if self.requests:
            self.host.log(
                f"admission: this machine has a vote, {self._elapsed():.2f} s after the start,"
                f" {self.requests} requests"
            )
            self.requests = 0

    def _elapsed(self) -> float:
        return self.host.now() - self.started_at

    def decided(self, joiner: str, outcome: Admission) -> None:
        """Records the outcome of an attempt to admit the machine at an address, "ip:port"."""
        self.outcomes[outcome.value] = self.outcomes.get(outcome.value, 0) + 1
        if self._last_outcomes.get(joiner) is outcome:
            return
        if joiner not in self._last_outcomes and len(self._last_outcomes) >= MAX_JOINERS:
            del self._last_outcomes[next(iter(self._last_outcomes))]
        self._last_outcomes[joiner] = outcome
        self.host.log(f"admission: {joiner}: {outcome.value}")
