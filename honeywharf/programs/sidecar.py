"""The data plane's program: put together here, and nowhere else."""

from __future__ import annotations

import os
import sys

if __name__ == "__main__":  # run by its path: the folder above the package is where the package is found
    sys.path[0] = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from honeywharf.drift.judge import host_of
from honeywharf.drift.requests import DriftMonitor
from honeywharf.drift.watch import is_named
from honeywharf.gossip.membership import Membership, XorShift
from honeywharf.programs.start import load_settings
from honeywharf.sidecar.backend import Taps
from honeywharf.sidecar.beats import Beats
from honeywharf.sidecar.gate import DRAINING, READY, STATES, UNKNOWN, Gate
from honeywharf.sidecar.inbound import Inbound
from honeywharf.sidecar.mesh_state import Word
from honeywharf.sidecar.outbound import Outbound
from honeywharf.sidecar.probe import Probe
from honeywharf.sidecar.shutdown import Shutdown
from honeywharf.sidecar.source import Source
from honeywharf.transport.http_server import HttpRequest, HttpServer
from honeywharf.transport.link_server import LinkServer
from honeywharf.transport.rpc_client import RpcClient
from honeywharf.transport.rpc_server import RpcServer
from honeywharf.transport.stream import DELEGATED, MAX_FRAME
from honeywharf.verdict import WORDS

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Container
    from typing import Any

    from honeywharf.gossip.entry import Entry
    from honeywharf.mesh_config.settings import Settings
    from honeywharf.sidecar.inbound import Responder
    from honeywharf.transport.framing import FrameReader
    from honeywharf.transport.host import Address, Connection, Handler, Host
    from honeywharf.transport.stream import ForwardedRequest, RequestHandler

COUNTERS_S = 10.0


class Sidecar:
    """One running sidecar."""

    def __init__(self, host: Host, settings: Settings) -> None:
        self.host, self.settings = host, settings
        now = host.now()
        self.gate = Gate(
            now,
            settings.service or "",
            settings.bound("cold-overage", 1.0),
            settings.bound("cold-slack", 0.0),
        )
        application = settings.application or ("127.0.0.1", 0)
        self.handshakes = 0
        self.taps = Taps(host, application, self._handshake)
        self.inbound = Inbound(host, self.gate, self.taps)
        self.inbound.linked(settings.link_mbps)
        self.caller = RpcClient(host)
        self.word = Word(host, self.caller, self.cores, self._word_changed)
        self.word.named = is_named
        port = settings.internal_ports[0]
        say = {**self.gate.say(), "rev": 0}
        seeds = [seed[0] for seed in settings.seeds]
        self.membership = Membership(
            host, settings.ip, port, settings.zone, seeds, say, int(host.wall() * 1000.0)
        )
        draw = XorShift(host.random(8)).random
        self.source = Source(host, settings, self.word, self.inbound, draw)
        self.source.proxies, self.source.helper = self._proxies, self.helper
        if settings.gateways:
            from honeywharf.sessions.abroad import joined  # one region alone does not pay for it

            self.source.abroad = joined(host, settings, self.inbound.begin, draw)
        self.membership.on_change = self._news
        self.membership.on_newer_revision = self._word_news
        self.membership.on_down = lambda node: self.source.doubt(node, True)
        self.membership.on_up = lambda node: self.source.doubt(node, False)
        self.probe = Probe(host, application, self.gate, self._gate_changed)
        self.drift_monitor = self.source.drift_monitor = self.inbound.drift_monitor = DriftMonitor(self)
        answerer = RpcServer(
            {**self.word.methods(), **self.drift_monitor.methods()}, self._streams, log=host.log
        )
        host.listen((settings.ip, port), answerer.accept)
        self.told = 0
        self.said = UNKNOWN
        self.beats = Beats(host, self.gate, self._gate_changed)
        self.doors = [
            HttpServer(host, settings.listen_addresses["control-plane"], self.beats.take, 1 << 20),
            HttpServer(host, settings.listen_addresses["readiness"], self._readiness, 1 << 16),
        ]
        self.outbound = Outbound(host, settings.listen_addresses["outbound"], self.word, self.source)
        self.shutdown = Shutdown(
            host,
            settings.bound("grace-period", 5.0),
            self.source,
            self.inbound,
            self.outbound,
            gate_closed=self._gate_changed,
            ended=self._ended,
        )
        self.source.told(settings.ip, self.gate.say(), settings.zone)
        self.word.start()
        host.after(COUNTERS_S, self._counters)

    # Who is there.

    def _proxies(self) -> int:
        return max(1, len(self.source.list))

    def cores(self) -> list[Address]:
        """Control nodes' internal addresses: those that news tell of, else the seeds."""
        port = self.settings.internal_ports[0]
        known = [
            (node, port)
            for node, entry in self.membership.entries().items()
            if entry.attributes is not None
            and entry.attributes.get("core")
            and self.membership.is_alive(node)
        ]
        near = [a for a in known if self.membership.entries()[a[0]].zone == self.settings.zone]
        return near + [a for a in known if a not in near] or [(seed[0], port) for seed in self.settings.seeds]

    def _news(self, node: str, entry: Entry | None, old: Entry | None) -> None:
        if node != self.settings.ip:
            say = None if entry is None else entry.attributes
            self.source.told(node, say, entry.zone if entry is not None else "")

    def _word_news(self, revision: int, holder: str) -> None:
        self.word.heard(revision, (holder, self.settings.internal_ports[0]))

    def _word_changed(self) -> None:
        self.apply()
        self._gate_changed()
        self.membership.broadcast_revision(self.word.revision)
        self.drift_monitor.word_changed()

    def apply(self) -> None:
        """Have everything here decide by the word in force."""
        now, word = self.host.now(), self.word
        self.gate.evacuate(now, self.settings.zone in word.evacuated)
        if word.table is not None:
            service = word.table.services.get(self.gate.service)
            if service is not None:
                self.gate.bound(service.slow_start_requests_per_s, service.slow_start_s)
                self.taps.most = max(1, service.max_connections - 2)
                self.probe.path = service.health_check_path.encode()
        self.source.relist()

    # The gate beside this proxy.

    def _handshake(self) -> None:
        self.handshakes += 1

    def _gate_changed(self) -> None:
        """Something is known of the backend: others are told if it matters to them."""
        gate = self.gate
        self.probe.look()
        if gate.changes == self.told and not self.inbound.leaving:
            return
        self.told = gate.changes
        say = gate.say()
        if self.inbound.leaving and gate.state == READY:
            say["st"] = DRAINING
        if gate.state != self.said:
            self.said = gate.state
            self.host.log(f"backend {gate.instance or '-'} is {STATES[gate.state]}")
        self.source.told(self.settings.ip, say, self.settings.zone)
        self.membership.publish(**say)

    def _streams(self, connection: Connection, reader: FrameReader, frames: list[Any]) -> Handler:
        reader.max_frame = MAX_FRAME
        return LinkServer(connection, reader, frames, self._begin)

    def _begin(self, ask: ForwardedRequest, answers: Responder) -> RequestHandler | None:
        """A request of another sidecar: for the gate here, or to be decided here."""
        if ask.kind != DELEGATED:
            return self.inbound.begin(ask, answers)
        from honeywharf.sidecar.bypass import take  # only where another one is in doubt

        return take(self.source, ask, host_of(ask.fields), answers)

    def helper(self, passed: Container[str]) -> str | None:
        """A sidecar of this region that is well, of this zone where there is one; None without one."""
        settings, near, far = self.settings, [], []
        for node, entry in self.membership.entries().items():
            say = entry.attributes
            if (
                say is None
                or not say.get("s")
                or say.get("q")
                or say.get("st") == DRAINING
                or (node == settings.ip or node in passed or not self.membership.is_alive(node))
            ):
                continue
            if entry.zone == settings.zone:
                near.append(node)
            elif settings.zones.get(entry.zone) == settings.zones.get(settings.zone):
                far.append(node)
        well = near or far
        return well[int(self.source.draw() * len(well))] if well else None

    # The platform.

    def _readiness(self, call: HttpRequest) -> None:
        if call.path != b"/api/readiness":
            call.answer(404)
        elif self.word.ready and not self.shutdown.begun and not self.drift_monitor.unfit:
            call.answer(200, b"ready")
        else:
            call.answer(503, b"leaving" if self.shutdown.begun else b"no word yet")

    def terminate(self) -> None:
        """SIGTERM: finish what is held, tell others, end when nothing is left.

        Clients are sent elsewhere from now on; the backend behind the gate is needed until shortly before the
        end, as a fleet that is rolled lacks each one for the time that its gate is closed.
        """
        self.shutdown.begin()

    def _ended(self) -> None:
        self.membership.leave()
        self.counters()

    # Counters.

    def counters(self) -> None:
        """One line of what was done so far."""
        inbound = self.inbound
        refused = " ".join(
            f"{WORDS[why].replace(' ', '-')}={n}" for why, n in sorted(inbound.refused.items())
        )
        self.host.log(
            f"{self.source.counters()}; {self.drift_monitor.counters()}; "
            f"gate served={inbound.served} failed={inbound.failed} "
            f"cancelled={inbound.cancelled} handshakes={self.handshakes} refused {refused or 'none'}; "
            f"beats={self.beats.taken} late={self.beats.late}; word={self.word.revision} "
            f"known={len(self.membership.entries())}"
        )

    def _counters(self) -> None:
        self.counters()
        self.host.after(COUNTERS_S, self._counters)


def main() -> int:
    """Run until the platform ends it; the exit status."""
    from signal import SIGHUP, SIGTERM

    from honeywharf.transport.event_loop import EventLoop

    settings = load_settings()
    if settings is None:
        return 2
    loop = EventLoop(None)
    sidecar = Sidecar(loop, settings)
    loop.on_signal(SIGTERM, sidecar.terminate)
    loop.on_signal(SIGHUP, lambda: loop.log("settings may have changed; they are read at the start"))
    return loop.run()


if __name__ == "__main__":
    sys.exit(main())
