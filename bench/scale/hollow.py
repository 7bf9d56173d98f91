"""One hollow node: the sidecar program itself on a shared event loop, with a backend that only beats.

Nothing of the program is replaced: its gossip, failure detector, configuration holder, heartbeat intake and
even its data path are the objects that a sidecar process makes. It is hollow in that it shares its process
and its readings of configurations (`shared_readings`) with others, and that no client sends it a request.
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

CHECK_S = 0.02  # between looks at whether a starting node knows all others


class HollowNode:
    """See the module. Times are seconds on the steady clock."""

    def __init__(self, loop: CountedLoop, plan: Plan, node: Node, reach: Reach) -> None:
        self.loop, self.plan, self.node, self.reach = loop, plan, node, reach
        self.lives = 0
        self.applied: dict[int, float] = {}  # by version, when it came into force in this life
        self.started = self.ready = self.complete = 0.0
        self.host: NodeHost | None = None
        self.earlier = Traffic()  # of the lives before this one
        self.program: Sidecar | None = None
        self.backend: Heartbeats | None = None

    def start(self, known: int) -> None:
        """Begin a life; it is complete once it knows `known` machines."""
        self.lives += 1
        self.started, self.ready, self.complete = self.loop.now(), 0.0, 0.0
        self.applied = {}
        if self.host is not None:
            self.earlier += self.host.traffic
        port = self.plan.port(deployment.INTERNAL)
        self.host = host = NodeHost(self.loop, self.node.ip, port, self.reach)
        host.exited = self.kill
        settings = parse(self.plan.node_settings(self.node), self.node.ip)
        self.program = program = Sidecar(cast("Host", host), settings)
        changed = program.mesh_state.changed

        def noted() -> None:
            changed()
            self._applied(program)

        program.mesh_state.changed = noted
        control = (self.node.ip, self.plan.port(deployment.CONTROL))
        instance = f"i-{self.node.index}-{self.lives}"
        self.backend = Heartbeats(self.loop, control, instance, self.node.service, self.node.zone)
        host.after(CHECK_S, lambda: self._look(program, known))

    def _applied(self, program: Sidecar) -> None:
        now = self.loop.now()
        self.ready = self.ready or now
        self.applied[program.mesh_state.version] = now

    def _look(self, program: Sidecar, known: int) -> None:
        if self.host is None or self.program is not program:
            return
        if self.ready and len(program.membership.entries()) >= known:
            self.complete = self.loop.now()
        else:
            self.host.after(CHECK_S, lambda: self._look(program, known))

    def kill(self) -> None:
        """End at once, backend and all, as machines do that are removed."""
        if self.host is None or self.program is None or self.backend is None:
            return
        self.backend.stop()
        self.program.membership.stop()
        self.host.stop()
        self.program = self.backend = None

    def traffic(self) -> Traffic:
        """What all lives have exchanged with other machines."""
        return self.earlier if self.host is None else self.earlier + self.host.traffic

    def held_down(self) -> int:
        """Nodes that this one holds unreachable."""
        return 0 if self.program is None else len(self.program.membership.failure_detector.down)

    def known(self) -> int:
        """Entries of its table."""
        return 0 if self.program is None else len(self.program.membership.entries())
