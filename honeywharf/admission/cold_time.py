"""What a sidecar knows of the time for which its backend is cold (caches not filled).

Theory of operation. Slow start applies while the backend is cold, and also while that is not known: for a new
instance, when this process starts, and after an evacuation, as the backend may have become cold meanwhile. A
heartbeat that arrives then may have been sent before, as nothing in it tells when it was sent
(`needs_check`): only the answer to a health check that was sent since then is a proof. For the same reason no
heartbeat shortens a cold time that is known; it ends by itself, and with the instance. Where health checks
bring no answer, heartbeats have to do.

Source: RULES (FAILBACK), PROTOCOL ("Backends"). Times are in seconds on the steady clock, cold times in
seconds from now on.
"""

from __future__ import annotations

COLD_MARGIN_S = 0.25  # added to a stated cold time, to cover the delay of the message


class ColdTime:
    """The cold time of the present instance."""

    __slots__ = ("is_unknown", "needs_check", "restored_at", "until")

    def __init__(self) -> None:
        self.until = 0.0
        self.is_unknown = True
        self.needs_check = True
        self.restored_at = 0.0  # end of the last evacuation of the zone

    def is_cold(self, now: float) -> bool:
        """Whether slow start applies."""
        return self.is_unknown or now < self.until

    def heartbeat(self, now: float, cold_s: float) -> None:
        """Takes the cold time of a heartbeat, which may be an old one."""
        known_until = self.until
        if not self.needs_check:
            self._set(now, cold_s)
        elif cold_s > 0:
            self.until = now + cold_s + COLD_MARGIN_S
        self.until = max(known_until, self.until)

    def health_answer(self, now: float, cold_s: float, sent_at: float) -> None:
        """Takes the cold time of a health answer; the check was sent at `sent_at`."""
        if sent_at >= self.restored_at:
            self.needs_check = False
            self._set(now, cold_s)

    def answer(self, now: float, cold_s: float) -> None:
        """Takes the cold time that the answer to a request states."""
        self.until = max(self.until, now + cold_s)

    def checks_failed(self) -> None:
        """Notes that health checks bring no answer, so that heartbeats have to do."""
        self.needs_check = False

    def instance_changed(self) -> None:
        """Notes that another instance is at the backend's address."""
        self.is_unknown, self.until = True, 0.0

    def instance_missing(self) -> None:
        """Notes that the instance was not found: it may be a started one that is found next."""
        self.is_unknown = True

    def evacuation_ended(self, now: float) -> None:
        """Notes that the zone's backends return, which may have become cold shortly before."""
        self.restored_at = now
        self.is_unknown = self.needs_check = True

    def _set(self, now: float, cold_s: float) -> None:
        self.is_unknown = False
        self.until = now + cold_s + COLD_MARGIN_S if cold_s > 0 else 0.0
