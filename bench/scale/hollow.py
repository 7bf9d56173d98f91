"""A hollow node: the sidecar program on a shared event loop, with a backend that only sends heartbeats.

Nothing of the program is replaced: its gossip, failure detector, configuration, heartbeat endpoint and data
path are the objects that a sidecar process creates. The node is hollow because it shares its process and its
parsed configurations (`shared_readings`) with other nodes, and because no client sends it a request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from bench.scale.counted_loop import CountedLoop
from bench.scale.heartbeats import Heartbeats
from bench.scale.node_host import NodeHost
from bench.scale.plan import Node, Plan
from bench.scale.reach import Reach
from bench.scale.traffic import Traffic
from honeywharf.mesh_config.settings import parse
from honeywharf.programs.sidecar import Sidecar
from honeywharf.simulation import deployment

if TYPE_CHECKING:
    from honeywharf.transport.host import Host

CHECK_INTERVAL_S = 0.02  # Interval of the check whether a starting node knows all others.


class HollowNode:
    """A hollow node. Times are seconds on the monotonic clock."""

    def __init__(self, loop: CountedLoop, plan: Plan, node: Node, reach: Reach) -> None:
        self.loop, self.plan, self.node, self.reach = loop, plan, node, reach
        self.incarnation = 0
        self.applied: dict[int, float] = {}  # Times of application by version, since the last start.
        self.started = self.ready = self.complete = 0.0
        self.host: NodeHost | None = None
        self.earlier_traffic = Traffic()  # Traffic of the earlier incarnations.
        self.program: Sidecar | None = None
        self.backend: Heartbeats | None = None

    def start(self, known: int) -> None:
        """Starts the node, which is complete once it knows `known` machines."""
        self.incarnation += 1
        self.started, self.ready, self.complete = self.loop.now(), 0.0, 0.0
        self.applied = {}
        if self.host is not None:
            self.earlier_traffic += self.host.traffic
        port = self.plan.port(deployment.INTERNAL)
        self.host = host = NodeHost(self.loop, self.node.ip, port, self.reach)
        host.exited = self.kill
        settings = parse(self.plan.node_settings(self.node), self.node.ip)
        self.program = program = Sidecar(cast("Host", host), settings)
        changed = program.mesh_state.changed

        def on_changed() -> None:
            changed()
            self._applied(program)

        program.mesh_state.changed = on_changed
        control = (self.node.ip, self.plan.port(deployment.CONTROL))
        instance = f"i-{self.node.index}-{self.incarnation}"
        self.backend = Heartbeats(self.loop, control, instance, self.node.service, self.node.zone)
        host.after(CHECK_INTERVAL_S, lambda: self._check_complete(program, known))

    def _applied(self, program: Sidecar) -> None:
        now = self.loop.now()
        self.ready = self.ready or now
        self.applied[program.mesh_state.version] = now

    def _check_complete(self, program: Sidecar, known: int) -> None:
        if self.host is None or self.program is not program:
            return
        if self.ready and len(program.membership.entries()) >= known:
            self.complete = self.loop.now()
        else:
            self.host.after(CHECK_INTERVAL_S, lambda: self._check_complete(program, known))

    def kill(self) -> None:
        """Stops the node and its backend at once, like the loss of a machine."""
        if self.host is None or self.program is None or self.backend is None:
            return
        self.backend.stop()
        self.program.membership.stop()
        self.host.stop()
        self.program = self.backend = None

    def traffic(self) -> Traffic:
        """Returns the traffic of all incarnations with other machines."""
        return self.earlier_traffic if self.host is None else self.earlier_traffic + self.host.traffic

    def unreachable(self) -> int:
        """Returns the number of nodes that this one considers unreachable."""
        return 0 if self.program is None else len(self.program.membership.failure_detector.down)

    def known(self) -> int:
        """Returns the number of entries in the membership table."""
        return 0 if self.program is None else len(self.program.membership.entries())
