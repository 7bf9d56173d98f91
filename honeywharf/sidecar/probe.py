"""Health probes: only where nothing else tells, as each has its price.

Theory of operation. Asked for when the gate does not know what is there (this process is new, a connection
was refused) or doubts whether it is cold (its zone was taken back). A beat often tells first; the probe waits
`PATIENT_S` for one, except at the start, where a beat may be a whole interval away.
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

PATIENT_S = 0.1
AGAIN_S = 0.5
LONGEST_S = 2.0  # between probes of one that does not answer
WITHIN_S = 1.0
MAX_ANSWER = 64 * 1024


class Probe:
    """Asks the backend's health. `path` is None until a configuration tells it."""

    def __init__(self, host: Host, address: Address, gate: Gate, told: Callable[[], None]) -> None:
        self.host, self.address, self.gate, self.told = host, address, gate, told
        self.path: bytes | None = None
        self.waiting = False
        self.pause = PATIENT_S
        self.sent = 0

    def wanted(self) -> bool:
        """Whether nothing else has told what matters."""
        gate = self.gate
        return self.path is not None and (gate.state == UNKNOWN or (gate.doubted and gate.state == READY))

    def look(self) -> None:
        """Ask, soon, if there is reason to."""
        if self.wanted() and not self.waiting:
            self.waiting = True
            self.host.after(self.pause, self._ask)

    def _ask(self) -> None:
        if not self.wanted():
            self.waiting, self.pause = False, PATIENT_S
            return
        self.sent += 1
        _Asking(self)

    def answered(self, answer: ResponseHead | None, asked: float) -> None:
        """What came back; None where nothing did."""
        self.waiting = False
        if answer is not None:
            load = answer.load.split(b",")
            slots = int(load[2]) if len(load) == 3 and load[2].strip().isdigit() else 0
            self.gate.health(
                self.host.now(),
                answer.instance.decode("latin-1"),
                answer.status == 200,
                slots,
                answer.cold_s,
                asked,
            )
        self.pause = min(LONGEST_S, max(AGAIN_S, 2 * self.pause))
        self.told()
        self.look()


class _Asking:
    """One probe."""

    def __init__(self, probe: Probe) -> None:
        self.probe, self.asked = probe, probe.host.now()
        self.answered: ResponseHead | None = None
        self.over = False
        self.reader = ResponseReader(self, MAX_ANSWER)
        self.connection = probe.host.connect(probe.address, self._made, WITHIN_S)
        self.timer = probe.host.after(WITHIN_S, self._end)

    def _made(self, connection: Connection) -> Handler:
        return self

    def opened(self) -> None:
        """It is up."""
        path = self.probe.path or b"/health"
        self.connection.send(
            b"GET %b HTTP/1.1\r\nHost: %b\r\nConnection: close\r\n\r\n"
            % (path, self.probe.address[0].encode())
        )

    def received(self, data: bytes) -> None:
        """Bytes of the answer."""
        try:
            self.reader.feed(data)
        except MalformedError:
            self._end()

    def answer(self, answer: ResponseHead) -> None:
        """The head is all that is wanted."""
        self.answered = answer
        self._end()

    def data(self, data: bytes) -> None:
        """Its body is not."""

    def whole(self) -> None:
        """It is whole."""

    def ended(self) -> None:
        """The backend sends nothing more."""
        self._end()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone."""
        self._end()

    def _end(self) -> None:
        if not self.over:
            self.over = True
            self.timer.cancel()
            self.connection.abort()
            answered = self.answered
            self.probe.host.after(0.0, lambda: self.probe.answered(answered, self.asked))
