"""A process of many hollow nodes, asked by the run over the programs' own calls.

    python -m bench.scale.hollow_process PLAN PROCESS LIMIT_S

PLAN: the plan's fields as JSON. PROCESS: which of the run's processes it is. It ends after LIMIT_S seconds in
any case. Garbage collection is off: one pass over hundreds of tables in one heap would stop all its nodes for
longer than any process of one node is ever stopped. Its nodes share their readings of configurations.
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

Reply = Any  # the way back of one call


class HollowProcess:
    """The nodes of one process."""

    def __init__(self, loop: CountedLoop, plan: Plan, process: int) -> None:
        self.loop, self.plan = loop, plan
        self.reach = Reach(plan.zone_of)
        self.nodes: dict[int, HollowNode] = {}
        self.backends: list[Heartbeats] = []
        answerer = RpcServer(
            {
                messages.START: self._start,
                messages.KILL: self._kill,
                messages.SAMPLE: self._sample,
                messages.APPLIED: self._applied,
                messages.PARTITION: self._partition,
            },
            log=loop.log,
        )
        loop.listen((plan.management_ip(process), plan.port(MANAGEMENT)), answerer.accept)

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
        reply([self._sampled(node).packed() for node in self.nodes.values() if node.lives])

    @staticmethod
    def _sampled(node: HollowNode) -> NodeSample:
        return NodeSample(
            node.node.index,
            node.traffic(),
            node.started,
            node.ready,
            node.complete,
            node.known(),
            node.held_down(),
            max(node.applied, default=0),
        )

    def _applied(self, args: Any, reply: Reply, peer: Address) -> None:
        """When each node had a revision in force, or a newer one that overtook it."""
        reply([self._since(node, args) for node in self.nodes.values() if node.program is not None])

    @staticmethod
    def _since(node: HollowNode, revision: int) -> float:
        return min((at for held, at in node.applied.items() if held >= revision), default=0.0)

    def _partition(self, args: Any, reply: Reply, peer: Address) -> None:
        one, other = args
        self.reach.part(frozenset(one), frozenset(other))
        for node in self.nodes.values():
            if node.host is not None:
                node.host.part()
        reply(True)


def main(arguments: list[str]) -> int:
    """Run until the time is over, or the run ends this process."""
    gc.disable()
    shared_readings.share()
    plan = Plan(**json.loads(arguments[0]))
    loop = CountedLoop(None)
    HollowProcess(loop, plan, int(arguments[1]))
    loop.after(float(arguments[2]), lambda: loop.exit(0))
    return loop.run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
