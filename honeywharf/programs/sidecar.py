"""The data plane's program: creates and connects the parts of a sidecar."""

from __future__ import annotations

import os
import sys

if __name__ == "__main__":  # Run by its path: the package is found in the directory above it.
    sys.path[0] = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from honeywharf import rpc_methods
from honeywharf.drift.destination_check import host_of
from honeywharf.drift.monitor import DriftMonitor
from honeywharf.drift.remediation import matches_digest
from honeywharf.gossip.membership import Membership, XorShift
from honeywharf.programs.start import load_settings
from honeywharf.sidecar.backend import BackendConnectionPool
from honeywharf.sidecar.departures import DepartureRegistry, Replication
from honeywharf.sidecar.gate import DRAINING, READY, STATES, UNKNOWN, Gate
from honeywharf.sidecar.heartbeat_api import HeartbeatApi
from honeywharf.sidecar.inbound import Inbound
from honeywharf.sidecar.lifetime import Lifetime
from honeywharf.sidecar.mesh_state import MeshStateReplica
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
    from honeywharf.transport.rpc_server import Reply
    from honeywharf.transport.stream import ForwardedRequest, RequestHandler

COUNTERS_INTERVAL_S = 10.0  # The counters are logged at this interval.
DEFAULT_GRACE_PERIOD_S = 5.0
MAX_HEARTBEAT_BODY_BYTES, MAX_READINESS_BODY_BYTES = 1 << 20, 1 << 16
NO_APPLICATION = ("127.0.0.1", 0)
SEED_BYTES = 8


class Sidecar:
    """One running sidecar: creates its parts and passes events between them.

    The order in `__init__` matters: a part that sends at once is created after the parts that answer it.
    """

    def __init__(self, host: Host, settings: Settings) -> None:
        self.host, self.settings = host, settings
        self.gate = Gate(
            host.now(),
            settings.service or "",
            settings.bound("cold-overage", 1.0),
            settings.bound("cold-slack", 0.0),
        )
        application = settings.application or NO_APPLICATION
        self.handshakes = 0
        self.backend_connections = BackendConnectionPool(host, application, self._count_handshake)
        self.lifetime = Lifetime()
        self.inbound = Inbound(host, self.gate, self.backend_connections, self.lifetime)
        self.inbound.set_link_speed(settings.link_mbps)
        self.caller = RpcClient(host)
        self.mesh_state = MeshStateReplica(host, self.caller, self.control_nodes, self._mesh_state_changed)
        self.mesh_state.has_digest = matches_digest
        self.membership = self._start_gossip()
        self.source = self._make_source()
        self.departures = DepartureRegistry(host, self.caller, settings.internal_ports[0], self.membership)
        self._watch_membership()
        self.probe = Probe(host, application, self.gate, self._gate_changed)
        self.drift_monitor = self.source.drift_monitor = self.inbound.drift_monitor = DriftMonitor(self)
        self._listen_for_peers()
        self.announced_changes = (0, 0)  # The numbers of the gate's last announced changes.
        self.logged_state = UNKNOWN
        self.replication = Replication(host, self.caller, settings.ip, self.control_nodes)
        self.heartbeats = self._make_heartbeat_api()
        self.http_servers = self._start_http_servers()
        outbound_address = settings.listen_addresses["outbound"]
        self.outbound = Outbound(host, outbound_address, self.mesh_state, self.source)
        self.shutdown = self._make_shutdown()
        self.source.update_backend(settings.ip, self.gate.gossip_attributes(), settings.zone)
        self.mesh_state.start()
        host.after(COUNTERS_INTERVAL_S, self._log_counters_periodically)

    def _start_gossip(self) -> Membership:
        settings, host = self.settings, self.host
        attributes = {**self.gate.gossip_attributes(), "rev": 0}
        seeds = [ip for ip, _ in settings.seeds]
        port = settings.internal_ports[0]
        incarnation = int(host.wall_time() * 1000.0)
        return Membership(host, settings.ip, port, settings.zone, seeds, attributes, incarnation)

    def _watch_membership(self) -> None:
        """Sets the callbacks of gossip and of the failure detector."""
        self.membership.on_change = self._entry_changed
        self.membership.on_newer_revision = self._newer_revision
        self.membership.on_down = lambda node: self.source.set_suspected(node, True)
        self.membership.on_up = lambda node: self.source.set_suspected(node, False)

    def _make_heartbeat_api(self) -> HeartbeatApi:
        settings = self.settings
        local_address = (settings.ip, settings.listen_addresses["control-plane"][1])
        return HeartbeatApi(self.host, self.gate, self._gate_changed, local_address, self.replication.record)

    def _make_shutdown(self) -> Shutdown:
        return Shutdown(
            self.host,
            self.settings.bound("grace-period", DEFAULT_GRACE_PERIOD_S),
            self.source,
            self.inbound,
            self.outbound,
            gate_closed=self._gate_changed,
            ended=self._shut_down,
        )

    def _make_source(self) -> Source:
        draw = XorShift(self.host.random(SEED_BYTES)).random
        source = Source(self.host, self.settings, self.mesh_state, self.inbound, draw, self.lifetime)
        source.count_sidecars, source.pick_delegate = self._count_sidecars, self.choose_delegate
        if self.settings.gateways:
            # Imported here, so that a mesh of one region does not load the module.
            from honeywharf.sessions.remote_regions import regions_from_settings

            regions = regions_from_settings(self.host, self.settings, self.inbound.begin, draw)
            regions.reject_outlasting(self.lifetime.is_outlasted)
            source.remote_regions = regions
        return source

    def _listen_for_peers(self) -> None:
        """Accepts the calls and links of other processes."""
        methods = {
            **self.mesh_state.methods(),
            **self.drift_monitor.methods(),
            **self.departures.methods(),
            rpc_methods.DEPARTURES_MISSED: self._departures_missed,
        }
        server = RpcServer(methods, self._serve_link, log=self.host.log)
        self.host.listen((self.settings.ip, self.settings.internal_ports[0]), server.accept)

    def _departures_missed(self, args: object, reply: Reply, peer: Address) -> None:
        """Takes departures of the backend here that this process has forgotten by a restart."""
        state = self.gate.state
        self.gate.note_departures(args)
        if self.gate.state != state:
            self.host.log(f"departed before this start: backend {self.gate.instance}, says {peer[0]}")
        self._gate_changed()
        reply(True)

    def _start_http_servers(self) -> list[HttpServer]:
        """Starts the servers for the backend's heartbeats and the platform's readiness probe."""
        addresses = self.settings.listen_addresses
        return [
            HttpServer(
                self.host, addresses["control-plane"], self.heartbeats.handle, MAX_HEARTBEAT_BODY_BYTES
            ),
            HttpServer(self.host, addresses["readiness"], self._readiness, MAX_READINESS_BODY_BYTES),
        ]

    # Other nodes.

    def _count_sidecars(self) -> int:
        return max(1, len(self.source.backends))

    def control_nodes(self) -> list[Address]:
        """Returns the control nodes' internal addresses, those of the own zone first.

        These are the live control nodes known by gossip, or the seeds if there is none.
        """
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

    def _entry_changed(self, node: str, entry: Entry | None, old: Entry | None) -> None:
        if node != self.settings.ip:
            say = None if entry is None else entry.attributes
            self.departures.entry_changed(node, entry)
            self.source.update_backend(node, say, entry.zone if entry is not None else "")

    def _newer_revision(self, revision: int, node: str) -> None:
        self.mesh_state.revision_announced(revision, (node, self.settings.internal_ports[0]))

    def _mesh_state_changed(self) -> None:
        self.apply()
        self._gate_changed()
        self.membership.broadcast_revision(self.mesh_state.revision)
        self.drift_monitor.configuration_changed()

    def apply(self) -> None:
        """Applies the current mesh state to every part."""
        now, state = self.host.now(), self.mesh_state
        self.gate.set_evacuated(now, self.settings.zone in state.evacuated)
        if state.table is not None:
            service = state.table.services.get(self.gate.service)
            if service is not None:
                self.gate.set_slow_start(service.slow_start_requests_per_s)
                self.backend_connections.most = max(1, service.max_connections - 2)
                self.probe.path = service.health_check_path.encode()
        self.source.update_usable()

    # The gate of the backend beside this sidecar.

    def _count_handshake(self) -> None:
        self.handshakes += 1

    def _gate_changed(self) -> None:
        """Publishes a changed state of the gate to other nodes."""
        gate = self.gate
        self.probe.schedule()
        changes = (gate.changes, gate.departure_changes)
        if changes == self.announced_changes and not self.inbound.shutting_down:
            return
        self.announced_changes = changes
        attributes = gate.gossip_attributes()
        if self.inbound.shutting_down and gate.state == READY:
            attributes["st"] = DRAINING
        if gate.state != self.logged_state:
            self.logged_state = gate.state
            self.host.log(f"backend {gate.instance or '-'} is {STATES[gate.state]}")
        self.source.update_backend(self.settings.ip, attributes, self.settings.zone)
        self.membership.publish(**attributes)

    def _serve_link(self, connection: Connection, reader: FrameReader, frames: list[Any]) -> Handler:
        reader.max_frame = MAX_FRAME
        return LinkServer(connection, reader, frames, self._handle_forwarded_request)

    def _handle_forwarded_request(
        self, request: ForwardedRequest, responder: Responder
    ) -> RequestHandler | None:
        """Handles a request of another sidecar: for the backend here, or to be routed from here."""
        if request.kind != DELEGATED:
            return self.inbound.begin(request, responder)
        # Imported here, because it is needed only if another sidecar is suspected of drift.
        from honeywharf.sidecar.delegation import begin_delegated

        return begin_delegated(self.source, request, host_of(request.fields), responder)

    def choose_delegate(self, excluded: Container[str]) -> str | None:
        """Returns a healthy sidecar of this region, preferably of this zone; None if there is none."""
        settings, near, far = self.settings, [], []
        for node, entry in self.membership.entries().items():
            attributes = entry.attributes
            if (
                attributes is None
                or not attributes.get("s")
                or attributes.get("q")
                or attributes.get("st") == DRAINING
                or (node == settings.ip or node in excluded or not self.membership.is_alive(node))
            ):
                continue
            if entry.zone == settings.zone:
                near.append(node)
            elif settings.zones.get(entry.zone) == settings.zones.get(settings.zone):
                far.append(node)
        healthy = near or far
        return healthy[int(self.source.draw() * len(healthy))] if healthy else None

    # The platform.

    def _readiness(self, call: HttpRequest) -> None:
        if call.path != b"/api/readiness":
            call.answer(404)
        elif self.mesh_state.ready and not self.shutdown.begun and not self.drift_monitor.is_quarantined:
            call.answer(200, b"ready")
        else:
            call.answer(503, b"leaving" if self.shutdown.begun else b"no word yet")

    def terminate(self) -> None:
        """Starts a graceful shutdown on SIGTERM.

        Clients are sent elsewhere from now on. The backend stays in service until shortly
        before the end, because a rolling restart loses each backend's capacity while its gate is closed.
        """
        self.shutdown.begin()

    def _shut_down(self) -> None:
        self.membership.leave()
        self.counters()

    # Counters.

    def counters(self) -> None:
        """Logs one line with all counters."""
        inbound = self.inbound
        rejected = " ".join(
            f"{WORDS[reason].replace(' ', '-')}={n}" for reason, n in sorted(inbound.rejections.items())
        )
        self.host.log(
            f"{self.source.counters()}; {self.outbound.disconnects.counters()}; "
            f"{self.drift_monitor.summary()}; "
            f"gate served={inbound.served} failed={inbound.failed} "
            f"cancelled={inbound.cancelled} handshakes={self.handshakes} refused {rejected or 'none'}; "
            f"beats={self.heartbeats.received} late={self.heartbeats.late} "
            f"unrecorded={self.replication.unconfirmed} notified={self.departures.notifications}; "
            f"word={self.mesh_state.revision} "
            f"known={len(self.membership.entries())}"
        )

    def _log_counters_periodically(self) -> None:
        self.counters()
        self.host.after(COUNTERS_INTERVAL_S, self._log_counters_periodically)


def main() -> int:
    """Runs until the platform ends the process, and returns the exit status."""
    from signal import SIGHUP, SIGTERM

    from honeywharf.transport.event_loop import EventLoop

    settings = load_settings()
    if settings is None:
        return 2
    loop = EventLoop(None)
    sidecar = Sidecar(loop, settings)
    loop.on_signal(SIGTERM, sidecar.terminate)
    loop.on_signal(SIGHUP, lambda: loop.log("SIGHUP has no effect: settings are read only at the start"))
    return loop.run()


if __name__ == "__main__":
    sys.exit(main())
