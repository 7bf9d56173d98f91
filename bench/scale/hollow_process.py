"""A process of many hollow nodes, which the bench controls by remote calls.

    python -m bench.scale.hollow_process PLAN PROCESS LIMIT_S

PLAN is the plan's fields as JSON, PROCESS the number of this process. It ends after LIMIT_S seconds at the
latest. Garbage collection is off, because a pass over hundreds of tables in one heap would stop all nodes for
longer than a process of one node ever stops. The nodes share their parsed configurations.
"""

from __future__ import annotations

import gc
import json
import sys
from functools import partial
from typing import Any

from bench.scale import messages, shared_readings
from bench.scale.counted_loop import CountedLoop
from bench.scale.heartbeats import Heartbeats
from bench.scale.hollow import HollowNode
from bench.scale.messages import NodeSample, Start
from bench.scale.plan import MANAGEMENT, Plan
from bench.scale.reach import Reach
from honeywharf.simulation import deployment
from honeywharf.transport.host import Address
from honeywharf.transport.rpc_server import RpcServer

Reply = Any  # The function that sends the answer of a call.


class HollowProcess:
    """The hollow nodes of one process."""

    def __init__(self, loop: CountedLoop, plan: Plan, process: int) -> None:
        self.loop, self.plan = loop, plan
        self.reach = Reach(plan.zone_of)
        self.nodes: dict[int, HollowNode] = {}
        self.backends: list[Heartbeats] = []
        server = RpcServer(
            {
                messages.START: self._start,
                messages.KILL: self._kill,
                messages.SAMPLE: self._sample,
                messages.APPLIED: self._applied,
                messages.PARTITION: self._partition,
            },
            log=loop.log,
        )
        loop.listen((plan.management_ip(process), plan.port(MANAGEMENT)), server.accept)

    def _start(self, args: Any, reply: Reply, peer: Address) -> None:
        start = Start.unpacked(args)
        for rank, index in enumerate(start.indexes):
            node = self.nodes.get(index)
            if node is None:
                node = HollowNode(self.loop, self.plan, self.plan.node(index), self.reach)
                self.nodes[index] = node
            delay = start.spread_s * rank / max(1, len(start.indexes))
            self.loop.after(delay, partial(node.start, start.known))
        for index in start.backends_only:
            machine = self.plan.node(index)
            control = (machine.ip, self.plan.port(deployment.CONTROL))
            self.backends.append(Heartbeats(self.loop, control, f"i-{index}", machine.service, machine.zone))
        reply(len(start.indexes))

    def _kill(self, args: Any, reply: Reply, peer: Address) -> None:
        for index in args:
            self.nodes[index].kill()
        reply(len(args))

    def _sample(self, args: Any, reply: Reply, peer: Address) -> None:
        self.loop.read_links()
        reply([self._sample_of(node).packed() for node in self.nodes.values() if node.incarnation])

    @staticmethod
    def _sample_of(node: HollowNode) -> NodeSample:
        return NodeSample(
            node.node.index,
            node.traffic(),
            node.started,
            node.ready,
            node.complete,
            node.known(),
            node.unreachable(),
            max(node.applied, default=0),
        )

    def _applied(self, args: Any, reply: Reply, peer: Address) -> None:
        """Replies when each node applied a revision or a newer one."""
        reply([self._applied_at(node, args) for node in self.nodes.values() if node.program is not None])

    @staticmethod
    def _applied_at(node: HollowNode, revision: int) -> float:
        return min(
            (applied_at for version, applied_at in node.applied.items() if version >= revision), default=0.0
        )

    def _partition(self, args: Any, reply: Reply, peer: Address) -> None:
        first, second = args
        self.reach.separate(frozenset(first), frozenset(second))
        for node in self.nodes.values():
            if node.host is not None:
                node.host.drop_separated()
        reply(True)


def main(arguments: list[str]) -> int:
    """Runs until the time limit, or until the process is killed."""
    gc.disable()
    shared_readings.share_parsers()
    plan = Plan(**json.loads(arguments[0]))
    loop = CountedLoop(None)
    HollowProcess(loop, plan, int(arguments[1]))
    loop.after(float(arguments[2]), lambda: loop.exit(0))
    return loop.run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
