"""Membership under trouble, by size: who is held down in vain, how soon a real end is known, and the bytes.

    python -m bench.mesh_membership [--nodes 13,100,1000] [--span 6] [--seed 1]

One network of three zones for each size, in virtual time with the real classes (`tests/gossip/network.py`),
goes through the troubles below, one after another with a pause between. In each, a node ends after a third
of the span. Printed: seconds until all others hold that node down; how many (observer, node) held a node
down that ran; doubts that were raised against nodes that ran; bytes a second that a node sends within its
zone and to others.

    quiet       one datagram of a hundred is lost
    loss        one of five is lost
    freezes     a tenth of the nodes stands still for 1.2 s, by turns: watchers that wake late
    one way     a tenth of the nodes is not heard in one other zone, but hears all of it
    slow        a third of the nodes has 0.43 cores: 1.4 ms for each call, and 57 ms of each 100 ms away
    zone cut    two zones do not hear each other, the third hears both

Status 1 where a node that ran was held down.
"""

from __future__ import annotations

import argparse
import math
import sys
from collections.abc import Callable

from honeywharf.failure_detector.detector import FailureDetector
from honeywharf.gossip.entry import node_of
from tests.gossip.network import ZONES, GossipNetwork, Machine

PAUSE = 8.0  # seconds between troubles: what was doubted has time to be forgiven
PERIOD, SHARE, CALL = 0.1, 0.43, 0.0014  # seconds, share of them, seconds that a call takes at that share
FROZEN = 1.2  # seconds


def slowed(network: GossipNetwork, machine: Machine) -> Callable[[], None]:
    """Let a machine run only in a part of each period, one call after another; gives what undoes it."""
    run, free = machine.run, 0.0

    def later(call: Callable[[], None]) -> None:
        nonlocal free
        begin = max(network.now, free)
        if begin % PERIOD > PERIOD * SHARE:
            begin = (math.floor(begin / PERIOD) + 1) * PERIOD
        free = begin + CALL
        network.at(free - network.now, lambda: run(call))

    machine.run = later  # type: ignore[method-assign]
    return lambda: setattr(machine, "run", run)


def zone_of(node: str) -> str:
    """By its address."""
    return ZONES[int(node.split(".")[1]) - 1]


class Troubles:
    """What is done to a network; each method gives what ends it."""

    def __init__(self, network: GossipNetwork) -> None:
        self.network = network

    def some(self, share: float) -> list[str]:
        """Live nodes, none of them a seed."""
        live = [
            membership.local_node
            for membership in self.network.live()
            if membership.local_node not in self.network.seeds
        ]
        return self.network.rng.sample(live, max(1, round(share * len(live))))

    def quiet(self) -> Callable[[], None]:
        """Nothing more."""
        return lambda: None

    def loss(self) -> Callable[[], None]:
        """Many datagrams are lost."""
        self.network.loss = 0.2
        return lambda: setattr(self.network, "loss", 0.01)

    def freezes(self) -> Callable[[], None]:
        """Watchers stand still, by turns."""
        for turn in range(3):
            for node in self.some(1 / 30):
                machine = self.network.machines[node]
                self.network.at(1.3 * turn, lambda machine=machine: setattr(machine, "frozen", True))  # type: ignore[misc]
                self.network.at(1.3 * turn + FROZEN, machine.resume)
        return lambda: None

    def one_way(self) -> Callable[[], None]:
        """Some are not heard elsewhere."""
        for node in self.some(0.1):
            zone = self.network.rng.choice([zone for zone in ZONES if zone != zone_of(node)])
            self.network.cut(
                [node], [other for other in self.network.names if zone_of(other) == zone], both=False
            )
        return self.network.cuts.clear

    def slow(self) -> Callable[[], None]:
        """Some have little of a processor."""
        undo = [slowed(self.network, self.network.machines[node]) for node in self.some(1 / 3)]

        def over() -> None:
            for end in undo:
                end()

        return over

    def zone_cut(self) -> Callable[[], None]:
        """Two zones do not hear each other."""
        names = {zone: [node for node in self.network.names if zone_of(node) == zone] for zone in ZONES}
        self.network.cut(names[ZONES[0]], names[ZONES[1]])
        return self.network.cuts.clear


TROUBLES: tuple[tuple[str, Callable[[Troubles], Callable[[], None]]], ...] = (
    ("quiet", Troubles.quiet),
    ("loss", Troubles.loss),
    ("freezes", Troubles.freezes),
    ("one way", Troubles.one_way),
    ("slow", Troubles.slow),
    ("zone cut", Troubles.zone_cut),
)


class Doubts:
    """Doubts of others that are raised, by doubter and node."""

    def __init__(self, network: GossipNetwork) -> None:
        self.raised: list[tuple[str, str]] = []
        for membership in network.live():
            self._heed(membership.local_node, membership.failure_detector)

    def _heed(self, me: str, watch: FailureDetector) -> None:
        told = watch.on_suspicions
        before: set[str] = set()

        def tell(doubts: list[tuple[int, int, int]]) -> None:
            nodes = {node_of(key) for key, _, _ in doubts}
            self.raised.extend((me, node) for node in nodes - before)
            before.clear()
            before.update(nodes)
            if told is not None:
                told(doubts)

        watch.on_suspicions = tell


def played(
    network: GossipNetwork, doubts: Doubts, trouble: Callable[[Troubles], Callable[[], None]], span: float
) -> dict[str, float]:
    """One trouble: what it showed."""
    downs, raised, nodes = len(network.down_reports), len(doubts.raised), len(network.live())
    network.bytes = dict.fromkeys(network.bytes, 0)
    began = network.now
    undo = trouble(Troubles(network))
    network.run(span / 3)
    ended = Troubles(network).some(0.0)[0]
    while network.machines[ended].is_frozen:
        ended = Troubles(network).some(0.0)[0]
    network.kill(ended)
    at = network.now
    known = network.run(
        span * 2 / 3, lambda: all(not membership.is_alive(ended) for membership in network.live())
    )
    took = network.now - at if known else float("inf")
    network.run(max(0.0, began + span - network.now))
    spent = {place: count / nodes / span for place, count in network.bytes.items()}
    undo()
    return {
        "an end is known to all, s": took,
        "held down in vain": sum(node != ended for _, _, node in network.down_reports[downs:]),
        "doubts in vain": sum(node != ended for _, node in doubts.raised[raised:]),
        "bytes/s within": spent["within"],
        "bytes/s between": spent["between"],
    }


def measured(nodes: int, seed: int, span: float) -> dict[str, dict[str, float]]:
    """All troubles of one network."""
    network = GossipNetwork(seed, nodes, 0.01)
    network.start_all(0.5)
    network.run(0.6)
    network.run(30.0, network.all_know)
    network.run(3.0)
    doubts, out = Doubts(network), {}
    for name, trouble in TROUBLES:
        out[name] = played(network, doubts, trouble, span)
        network.run(PAUSE)
    return out


def main(arguments: list[str]) -> int:
    """Print a table for each size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--nodes", default="13,100,1000")
    parser.add_argument("--span", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args(arguments)
    vain = 0.0
    for nodes in map(int, asked.nodes.split(",")):
        table = measured(nodes, asked.seed, asked.span)
        print(f"{nodes} nodes" + " " * 24 + "".join(f"{name:>10}" for name in table))
        for name in table["quiet"]:
            print(f"  {name:30}" + "".join(f"{row[name]:10.1f}" for row in table.values()), flush=True)
        vain += sum(row["held down in vain"] for row in table.values())
    return 1 if vain else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
