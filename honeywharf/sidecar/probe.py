"""Health checks of the backend, sent only where no heartbeat reports its state, as each costs time there.

Theory of operation. A check is sent when the gate does not know the backend's state (this process is new, a
connection was refused) or whether it is cold (this process is new, its zone's evacuation has ended). A
heartbeat often comes first and tells the state, so a check waits `FIRST_DELAY_S` for one; heartbeats may be
much longer apart. An answer says something of the backend only if it names the instance and was not turned
away, as a busy backend does with any request. Where `MAX_FAILED_CHECKS` in a row bring no such answer,
heartbeats have to do.
"""

from __future__ import annotations

from honeywharf.codecs.heads import ResponseHead
from honeywharf.codecs.mesh import ResponseReader
from honeywharf.codecs.reader import MalformedError
from honeywharf.sidecar.gate import READY, UNKNOWN

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.sidecar.gate import Gate
    from honeywharf.transport.host import Address, Connection, Handler, Host

FIRST_DELAY_S = 0.1
MIN_RETRY_DELAY_S = 0.5  # Between checks of a backend that does not answer.
MAX_RETRY_DELAY_S = 2.0
TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024
MAX_FAILED_CHECKS = 4


class Probe:
    """Sends health checks where they are wanted. `path` is None until a configuration gives it."""

    def __init__(self, host: Host, address: Address, gate: Gate, gate_changed: Callable[[], None]) -> None:
        self.host, self.address, self.gate, self.gate_changed = host, address, gate, gate_changed
        self.path: bytes | None = None
        self.is_scheduled = False
        self.delay_s = FIRST_DELAY_S
        self.sent = self.failed_in_a_row = 0

    def is_wanted(self) -> bool:
        """Whether the gate lacks the state that a health check returns."""
        gate = self.gate
        return self.path is not None and (
            gate.state == UNKNOWN or (gate.warmup.is_unknown and gate.state == READY)
        )

    def schedule(self) -> None:
        """Schedules a health check if one is wanted."""
        if self.is_wanted() and not self.is_scheduled:
            self.is_scheduled = True
            self.host.after(self.delay_s, self._send)

    def _send(self) -> None:
        if not self.is_wanted():
            self.is_scheduled, self.delay_s = False, FIRST_DELAY_S
            return
        self.sent += 1
        _HealthCheck(self)

    def answered(self, answer: ResponseHead | None, sent_at: float) -> None:
        """Takes the answer of a check that was sent at `sent_at`; None where none came."""
        self.is_scheduled = False
        if answer is None or answer.is_not_executed or not answer.instance:
            self._check_failed()
        else:
            self.failed_in_a_row = 0
            load = answer.load.split(b",")
            slots = int(load[2]) if len(load) == 3 and load[2].strip().isdigit() else 0
            self.gate.health_answer(
                self.host.now(),
                answer.instance.decode("latin-1"),
                answer.status == 200,
                slots,
                answer.cold_s,
                sent_at,
            )
        self.delay_s = min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, 2 * self.delay_s))
        self.gate_changed()
        self.schedule()

    def _check_failed(self) -> None:
        self.failed_in_a_row += 1
        if self.failed_in_a_row >= MAX_FAILED_CHECKS:
            self.gate.warmup.checks_failed()


class _HealthCheck:
    """One health check."""

    def __init__(self, probe: Probe) -> None:
        self.probe, self.sent_at = probe, probe.host.now()
        self.answered: ResponseHead | None = None
        self.is_over = False
        self.reader = ResponseReader(self, MAX_ANSWER_BYTES)
        self.connection = probe.host.connect(probe.address, self._made, TIMEOUT_S)
        self.timer = probe.host.after(TIMEOUT_S, self._end)

    def _made(self, connection: Connection) -> Handler:
        return self

    def opened(self) -> None:
        """Sends the request."""
        path = self.probe.path or b"/health"
        self.connection.send(
            b"GET %b HTTP/1.1\r\nHost: %b\r\nConnection: close\r\n\r\n"
            % (path, self.probe.address[0].encode())
        )

    def received(self, data: bytes) -> None:
        """Reads bytes of the answer."""
        try:
            self.reader.feed(data)
        except MalformedError:
            self._end()

    def answer(self, answer: ResponseHead) -> None:
        """Ends the check: the head has all that is needed."""
        self.answered = answer
        self._end()

    def data(self, data: bytes) -> None:
        """Ignores the body."""

    def whole(self) -> None:
        """Called when the answer is complete; the check has ended by then."""

    def ended(self) -> None:
        """Ends the check without an answer: the backend has closed its sending half."""
        self._end()

    def drained(self) -> None:
        """Called when the request is sent; nothing to do."""

    def closed(self, why: str) -> None:
        """Ends the check: the connection is closed."""
        self._end()

    def _end(self) -> None:
        if not self.is_over:
            self.is_over = True
            self.timer.cancel()
            self.connection.abort()
            answered = self.answered
            self.probe.host.after(0.0, lambda: self.probe.answered(answered, self.sent_at))
