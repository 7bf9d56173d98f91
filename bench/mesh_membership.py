"""Membership under faults, by size: false detections, detection times, and bytes.

    python -m bench.mesh_membership [--nodes 13,100,1000] [--span 6] [--seed N]

Runs one network of three zones for each size in virtual time through the faults below. In each, a node
ends after a third of the span.

    quiet       one datagram of a hundred is lost
    loss        one of five is lost
    freezes     a tenth of the nodes freezes for 1.2 s, by turns
    one way     one zone does not receive from a tenth of the nodes
    slow        a third of the nodes has 0.43 cores: 1.4 ms for each call
    zone cut    two zones cannot reach each other

Status 1 where a running node was marked as down.
"""

from __future__ import annotations

import argparse
import math
import sys
from collections.abc import Callable

from honeywharf.failure_detector.detector import FailureDetector
from honeywharf.gossip.entry import node_of
from tests.gossip.network import ZONES, GossipNetwork, Machine

PAUSE_S = 8.0  # Pause between faults, in which suspicions expire.
#: A slow machine runs for a share of each period and takes some seconds for each call.
PERIOD_S, RUNNING_SHARE, CALL_S = 0.1, 0.43, 0.0014
FREEZE_S = 1.2


def slow_down(network: GossipNetwork, machine: Machine) -> Callable[[], None]:
    """Lets a machine run only in a part of each period; returns a function that reverts it."""
    run, free_at = machine.run, 0.0

    def later(call: Callable[[], None]) -> None:
        nonlocal free_at
        begin = max(network.now, free_at)
        if begin % PERIOD_S > PERIOD_S * RUNNING_SHARE:
            begin = (math.floor(begin / PERIOD_S) + 1) * PERIOD_S
        free_at = begin + CALL_S
        network.at(free_at - network.now, lambda: run(call))

    machine.run = later  # type: ignore[method-assign]
    return lambda: setattr(machine, "run", run)


def zone_of(node: str) -> str:
    """Returns the zone of a node's address."""
    return ZONES[int(node.split(".")[1]) - 1]


class FaultInjector:
    """Faults of a network; each method injects one and returns a function that ends it."""

    def __init__(self, network: GossipNetwork) -> None:
        self.network = network

    def sample_nodes(self, share: float) -> list[str]:
        """Returns a random share of the live nodes that are not seeds."""
        live = [
            membership.local_node
            for membership in self.network.live()
            if membership.local_node not in self.network.seeds
        ]
        return self.network.rng.sample(live, max(1, round(share * len(live))))

    def quiet(self) -> Callable[[], None]:
        """Injects nothing."""
        return lambda: None

    def loss(self) -> Callable[[], None]:
        """Drops many datagrams."""
        self.network.loss = 0.2
        return lambda: setattr(self.network, "loss", 0.01)

    def freezes(self) -> Callable[[], None]:
        """Freezes nodes by turns."""
        for round_number in range(3):
            for node in self.sample_nodes(1 / 30):
                machine = self.network.machines[node]
                self.network.at(1.3 * round_number, lambda machine=machine: setattr(machine, "frozen", True))  # type: ignore[misc]
                self.network.at(1.3 * round_number + FREEZE_S, machine.resume)
        return lambda: None

    def one_way(self) -> Callable[[], None]:
        """Drops the datagrams from some nodes to one other zone."""
        for node in self.sample_nodes(0.1):
            zone = self.network.rng.choice([zone for zone in ZONES if zone != zone_of(node)])
            self.network.cut(
                [node], [other for other in self.network.names if zone_of(other) == zone], both=False
            )
        return self.network.cuts.clear

    def slow(self) -> Callable[[], None]:
        """Gives some nodes little processor time."""
        undo_functions = [
            slow_down(self.network, self.network.machines[node]) for node in self.sample_nodes(1 / 3)
        ]

        def undo_all() -> None:
            for end in undo_functions:
                end()

        return undo_all

    def zone_cut(self) -> Callable[[], None]:
        """Separates two zones."""
        names = {zone: [node for node in self.network.names if zone_of(node) == zone] for zone in ZONES}
        self.network.cut(names[ZONES[0]], names[ZONES[1]])
        return self.network.cuts.clear


FAULTS: tuple[tuple[str, Callable[[FaultInjector], Callable[[], None]]], ...] = (
    ("quiet", FaultInjector.quiet),
    ("loss", FaultInjector.loss),
    ("freezes", FaultInjector.freezes),
    ("one way", FaultInjector.one_way),
    ("slow", FaultInjector.slow),
    ("zone cut", FaultInjector.zone_cut),
)


class SuspicionRecorder:
    """Records suspicions, by observer and node."""

    def __init__(self, network: GossipNetwork) -> None:
        self.raised: list[tuple[str, str]] = []
        for membership in network.live():
            self._subscribe(membership.local_node, membership.failure_detector)

    def _subscribe(self, observer: str, detector: FailureDetector) -> None:
        original_callback = detector.on_suspicions
        earlier_nodes: set[str] = set()

        def record(suspicions: list[tuple[int, int, int]]) -> None:
            nodes = {node_of(key) for key, _, _ in suspicions}
            self.raised.extend((observer, node) for node in nodes - earlier_nodes)
            earlier_nodes.clear()
            earlier_nodes.update(nodes)
            if original_callback is not None:
                original_callback(suspicions)

        detector.on_suspicions = record


def run_fault(
    network: GossipNetwork,
    recorder: SuspicionRecorder,
    inject_fault: Callable[[FaultInjector], Callable[[], None]],
    span: float,
) -> dict[str, float]:
    """Runs one fault; returns its figures."""
    earlier_downs, earlier_suspicions, nodes = (
        len(network.down_reports),
        len(recorder.raised),
        len(network.live()),
    )
    network.bytes = dict.fromkeys(network.bytes, 0)
    started_at = network.now
    undo = inject_fault(FaultInjector(network))
    network.run(span / 3)
    ended_node = FaultInjector(network).sample_nodes(0.0)[0]
    while network.machines[ended_node].is_frozen:
        ended_node = FaultInjector(network).sample_nodes(0.0)[0]
    network.kill(ended_node)
    ended_at = network.now
    is_detected = network.run(
        span * 2 / 3, lambda: all(not membership.is_alive(ended_node) for membership in network.live())
    )
    detection_s = network.now - ended_at if is_detected else float("inf")
    network.run(max(0.0, started_at + span - network.now))
    bytes_by_place = {place: count / nodes / span for place, count in network.bytes.items()}
    undo()
    return {
        "an end is known to all, s": detection_s,
        "held down in vain": sum(node != ended_node for _, _, node in network.down_reports[earlier_downs:]),
        "doubts in vain": sum(node != ended_node for _, node in recorder.raised[earlier_suspicions:]),
        "bytes/s within": bytes_by_place["within"],
        "bytes/s between": bytes_by_place["between"],
    }


def measure(nodes: int, seed: int, span: float) -> dict[str, dict[str, float]]:
    """Runs all faults on one network; returns their figures."""
    network = GossipNetwork(seed, nodes, 0.01)
    network.start_all(0.5)
    network.run(0.6)
    network.run(30.0, network.all_know)
    network.run(3.0)
    recorder, figures_by_fault = SuspicionRecorder(network), {}
    for name, inject_fault in FAULTS:
        figures_by_fault[name] = run_fault(network, recorder, inject_fault, span)
        network.run(PAUSE_S)
    return figures_by_fault


def main(arguments: list[str]) -> int:
    """Prints a table for each size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--nodes", default="13,100,1000")
    parser.add_argument("--span", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    false_detections = 0.0
    for nodes in map(int, options.nodes.split(",")):
        table = measure(nodes, options.seed, options.span)
        print(f"{nodes} nodes" + " " * 24 + "".join(f"{name:>10}" for name in table))
        for name in table["quiet"]:
            print(f"  {name:30}" + "".join(f"{row[name]:10.1f}" for row in table.values()), flush=True)
        false_detections += sum(row["held down in vain"] for row in table.values())
    return 1 if false_detections else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
