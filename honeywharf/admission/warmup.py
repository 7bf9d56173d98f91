"""What a sidecar knows of the warm-up of its backend: until when it is cold (caches not filled).

Theory of operation. Slow start applies while the backend warms up, and also while that is not known: for a
new instance, when this process starts, and after an evacuation, as the backend may have become cold
meanwhile. A heartbeat that arrives then may have been sent before, as nothing in it tells when it was sent
(`needs_check`): only the answer to a health check that was sent since then is a proof. For the same reason
no heartbeat shortens a warm-up that is known; it ends by itself, and with the instance. Where health checks
bring no answer, heartbeats have to do.

Source: RULES (FAILBACK), PROTOCOL ("Backends"). Times are in seconds on the steady clock; `remaining_s` is
the rest of the warm-up as the backend states it, in seconds.
"""

from __future__ import annotations

WARMUP_MARGIN_S = 0.25  # added to a stated rest, to cover the delay of the message


class Warmup:
    """The warm-up of the present instance, which ends at `until`."""

    __slots__ = ("is_unknown", "needs_check", "restored_at", "until")

    def __init__(self) -> None:
        self.until = 0.0
        self.is_unknown = True
        self.needs_check = True
        self.restored_at = 0.0  # end of the last evacuation of the zone

    def is_warming_up(self, now: float) -> bool:
        """Whether slow start applies."""
        return self.is_unknown or now < self.until

    def heartbeat(self, now: float, remaining_s: float) -> None:
        """Takes the rest that a heartbeat states, which may be an old one."""
        known_until = self.until
        if not self.needs_check:
            self._set(now, remaining_s)
        elif remaining_s > 0:
            self.until = now + remaining_s + WARMUP_MARGIN_S
        self.until = max(known_until, self.until)

    def health_answer(self, now: float, remaining_s: float, sent_at: float) -> None:
        """Takes the rest that a health answer states; the check was sent at `sent_at`."""
        if sent_at >= self.restored_at:
            self.needs_check = False
            self._set(now, remaining_s)

    def answer(self, now: float, remaining_s: float) -> None:
        """Takes the rest that the answer to a request states."""
        self.until = max(self.until, now + remaining_s)

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

    def _set(self, now: float, remaining_s: float) -> None:
        self.is_unknown = False
        self.until = now + remaining_s + WARMUP_MARGIN_S if remaining_s > 0 else 0.0
