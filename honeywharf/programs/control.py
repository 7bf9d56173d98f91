"""The control plane's program.

The operator's HTTP API, the quorum register, and gossip of what it decides.
"""

from __future__ import annotations

import signal
import sys
from functools import partial
from typing import TYPE_CHECKING

from honeywharf.control.mesh_state import MeshState
from honeywharf.control.operator_api import OperatorApi
from honeywharf.control.replica import Replica, ReplicaSettings
from honeywharf.control.store import Store
from honeywharf.drift.aggregator import DriftAggregator
from honeywharf.gossip.membership import Membership
from honeywharf.programs.control_handoff import ControlHandoff
from honeywharf.programs.control_leases import ControlLeases
from honeywharf.programs.start import load_settings
from honeywharf.transport.host import Address, Host
from honeywharf.transport.http_server import HttpServer
from honeywharf.transport.rpc_client import RpcClient
from honeywharf.transport.rpc_server import RpcServer

if TYPE_CHECKING:
    from honeywharf.mesh_config.settings import Settings

DEFAULT_SETTINGS = "/etc/honeywharf/boot.yaml"
MAX_BODY = 65 << 20  # bytes of a configuration
SHUTDOWN_S = 0.9  # that pending calls have after SIGTERM
HANDOVER_S = 2.0  # that a standby has to take this machine's place, and at most half of `grace-period`
PRELOAD_S = 0.5  # after the start, when the HTTP API and the register have answered whoever waited
DISK_RETRY_S = 0.2  # after which a disk that fails at the start is tried again
EXIT_DELAY_S = 0.02  # in which the last answers leave


class ControlNode:
    """One control node on its host: puts the parts together, starts them, and ends them on SIGTERM."""

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
        self._begin()

    def _begin(self) -> None:
        """Start once the disk can be read."""
        if self.is_stopping:
            return
        try:
            self.replica.start()
        except OSError as error:
            self.host.log(f"control node: the disk fails: {error}")
            self.host.after(DISK_RETRY_S, self._begin)
            return
        settings, host = self.settings, self.host
        self.drift_aggregator.start()
        self.hinted_handoff.start()
        host.listen(self.local_address, RpcServer(self.replica.methods, log=host.log).accept)
        self.membership = self._start_gossip()
        control_plane = settings.listen_addresses["control-plane"]
        self.http_server = HttpServer(host, control_plane, self.operator.handle, MAX_BODY)
        host.after(PRELOAD_S, self.operator.preload)
        state = self.replica.state
        host.log(
            f"control node: {settings.node_name} at {settings.ip}, disk {state.disk}, roster {state.epoch}"
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
            int(host.wall() * 1000),
        )
        membership.on_newer_revision = self._newer_revision
        return membership

    def _state_changed(self, state: MeshState) -> None:
        """There is a newer committed state, and its text is here."""
        self.host.log(f"control node: revision {state.revision}, configuration r{state.version}")
        self.drift_aggregator.add_revision(state)
        self.hinted_handoff.state_changed(state)
        if self.membership is not None:
            self.membership.broadcast_revision(state.revision)

    def _newer_revision(self, revision: int, node: str) -> None:
        """Gossip tells of a node that holds a newer revision."""
        if revision > self.replica.committed.revision:
            self.replica.committed.fetch((node, self.local_address[1]))

    def _other_control_nodes(self) -> list[Address]:
        """The other control nodes that gossip knows."""
        if self.membership is None:
            return []
        return [
            (node, self.local_address[1])
            for node, entry in self.membership.entries().items()
            if node != self.local_address[0] and entry.attributes is not None and entry.attributes.get("core")
        ]

    def stop(self) -> None:
        """SIGTERM: take no further calls, hand over this machine's place, end pending calls, and exit."""
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
        timeout = min(HANDOVER_S, self.settings.bound("grace-period", 2 * HANDOVER_S) / 2)
        self.host.after(max(SHUTDOWN_S, timeout), partial(self.host.exit, 0))
        self.replica.hand_over(timeout, self._handed_over)
        self._exit_when_idle()

    def _handed_over(self) -> None:
        """The place has been taken, or nobody can take it: pending calls have a while to end."""
        self.is_handing_over = False
        self.host.after(SHUTDOWN_S, partial(self.host.exit, 0))

    def _exit_when_idle(self) -> None:
        if self.operator.pending_calls or self.is_handing_over:
            self.host.after(EXIT_DELAY_S, self._exit_when_idle)
        else:
            self.host.after(EXIT_DELAY_S, partial(self.host.exit, 0))


def main() -> int:
    """Run by the settings file that the platform names; 2 where it can't be used."""
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
