"""The control plane's program: the operators' HTTP API, the quorum register, and gossip of its decisions."""

from __future__ import annotations

import signal
import sys
from functools import partial
from typing import TYPE_CHECKING

from honeywharf.control.mesh_state import MeshState
from honeywharf.control.operator_api import OperatorApi
from honeywharf.control.replica import Replica, ReplicaSettings
from honeywharf.control.store import DepartureFile, Store
from honeywharf.drift.aggregator import DriftAggregator
from honeywharf.gossip.membership import Membership
from honeywharf.programs.control_handoff import ControlHandoff
from honeywharf.programs.control_leases import ControlLeases
from honeywharf.programs.start import load_settings
from honeywharf.sidecar.departures import DepartureRegistry
from honeywharf.transport.host import Address, Host
from honeywharf.transport.http_server import HttpServer
from honeywharf.transport.rpc_client import RpcClient
from honeywharf.transport.rpc_server import RpcServer

if TYPE_CHECKING:
    from honeywharf.gossip.entry import Entry
    from honeywharf.mesh_config.settings import Settings

DEFAULT_SETTINGS = "/etc/honeywharf/boot.yaml"
MAX_BODY_BYTES = 65 << 20  # The largest body is a configuration.
SHUTDOWN_TIMEOUT_S = 0.9  # Pending calls get this time after SIGTERM.
# Time for a standby to take this machine's place; at most half of `grace-period` is used.
HANDOVER_TIMEOUT_S = 2.0
# The first requests after the start are answered before the preload.
PRELOAD_DELAY_S = 0.5
DISK_RETRY_INTERVAL_S = 0.2  # A disk that fails at the start is retried at this interval.
EXIT_DELAY_S = 0.02  # The last answers are sent in this time.


class ControlNode:
    """One control node on its host: connects its parts, starts them, and stops them on SIGTERM."""

    def __init__(self, host: Host, settings: Settings) -> None:
        self.host, self.settings = host, settings
        self.local_address: Address = (settings.ip, settings.internal_ports[0])
        self.caller = RpcClient(host)
        self.replica = Replica(
            host,
            Store(host),
            self.caller,
            ReplicaSettings(
                self.local_address,
                settings.zone,
                [(ip, settings.internal_ports[0]) for ip, _ in settings.seeds],
                settings.initial_start,
            ),
            self._state_changed,
            self._other_control_nodes,
        )
        self.membership: Membership | None = None
        self.http_server: HttpServer | None = None
        self.replica.client.set_link_rate(settings.link_mbps)
        self.operator = OperatorApi(
            self.replica, settings.zones, settings.listen_addresses["control-plane"][1]
        )
        self.is_stopping = self.is_handing_over = False
        self.drift_aggregator = DriftAggregator(self)
        self.leases = ControlLeases(self)
        self.hinted_handoff = ControlHandoff(self)
        self._start()

    def _start(self) -> None:
        """Starts the parts once the disk can be read."""
        if self.is_stopping:
            return
        try:
            self.replica.start()
        except OSError as error:
            self.host.log(f"control node: the disk fails: {error}")
            self.host.after(DISK_RETRY_INTERVAL_S, self._start)
            return
        settings, host = self.settings, self.host
        self.drift_aggregator.start()
        self.hinted_handoff.start()
        host.listen(self.local_address, RpcServer(self.replica.methods, log=host.log).accept)
        self.membership = self._start_gossip()
        self.departures = DepartureRegistry(host, self.caller, self.local_address[1], self.membership)
        self.departures.use_storage(DepartureFile(host))
        self.replica.methods.update(self.departures.methods())
        control_plane = settings.listen_addresses["control-plane"]
        self.http_server = HttpServer(host, control_plane, self.operator.handle, MAX_BODY_BYTES)
        host.after(PRELOAD_DELAY_S, self.operator.preload)
        state = self.replica.state
        host.log(
            f"control node: {settings.node_name} at {settings.ip}, disk {state.disk}, epoch {state.epoch}"
        )

    def _start_gossip(self) -> Membership:
        settings, host = self.settings, self.host
        revision = max(0, self.replica.committed.announced_revision)
        membership = Membership(
            host,
            settings.ip,
            settings.internal_ports[0],
            settings.zone,
            [ip for ip, _ in settings.seeds],
            {"core": True, "disk": self.replica.state.disk, "rev": revision},
            int(host.wall_time() * 1000),
        )
        membership.on_newer_revision = self._newer_revision
        membership.on_change = self._entry_changed
        return membership

    def _entry_changed(self, node: str, entry: Entry | None, old: Entry | None) -> None:
        self.departures.entry_changed(node, entry)

    def _state_changed(self, state: MeshState) -> None:
        """Announces a newer committed state, whose text is present."""
        self.host.log(f"control node: revision {state.revision}, configuration r{state.version}")
        self.drift_aggregator.add_revision(state)
        self.hinted_handoff.state_changed(state)
        if self.membership is not None:
            self.membership.broadcast_revision(state.revision)

    def _newer_revision(self, revision: int, node: str) -> None:
        """Fetches a newer revision from the node that gossip reports for it."""
        if revision > self.replica.committed.revision:
            self.replica.committed.fetch((node, self.local_address[1]))

    def _other_control_nodes(self) -> list[Address]:
        """Returns the other control nodes known by gossip."""
        if self.membership is None:
            return []
        return [
            (node, self.local_address[1])
            for node, entry in self.membership.entries().items()
            if node != self.local_address[0] and entry.attributes is not None and entry.attributes.get("core")
        ]

    def stop(self) -> None:
        """Shuts down on SIGTERM: rejects new calls, hands over the place, ends pending calls, and exits."""
        if self.is_stopping:
            return
        self.is_stopping = True
        self.operator.is_shutting_down = True
        if self.http_server is not None:
            self.http_server.close()
        if self.membership is not None:
            self.membership.leave()
            self.membership.stop()
        self.is_handing_over = True
        timeout = min(HANDOVER_TIMEOUT_S, self.settings.bound("grace-period", 2 * HANDOVER_TIMEOUT_S) / 2)
        self.host.after(max(SHUTDOWN_TIMEOUT_S, timeout), partial(self.host.exit, 0))
        self.replica.hand_over(timeout, self._handed_over)
        self._exit_when_idle()

    def _handed_over(self) -> None:
        """Gives pending calls time to end, once the place is taken or nobody can take it."""
        self.is_handing_over = False
        self.host.after(SHUTDOWN_TIMEOUT_S, partial(self.host.exit, 0))

    def _exit_when_idle(self) -> None:
        if self.operator.pending_calls or self.is_handing_over:
            self.host.after(EXIT_DELAY_S, self._exit_when_idle)
        else:
            self.host.after(EXIT_DELAY_S, partial(self.host.exit, 0))


def main() -> int:
    """Runs a control node; 2 if its settings file cannot be used."""
    from honeywharf.transport.event_loop import EventLoop

    settings = load_settings(DEFAULT_SETTINGS)
    if settings is None:
        return 2
    loop = EventLoop(settings.data_directory)
    program = ControlNode(loop, settings)
    loop.on_signal(signal.SIGTERM, program.stop)
    loop.on_signal(signal.SIGHUP, lambda: None)
    return loop.run()


if __name__ == "__main__":
    sys.exit(main())
