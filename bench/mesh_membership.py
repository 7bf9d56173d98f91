"""Membership under trouble, by size: who is held down in vain, how soon a real end is known, and the bytes.

    python -m bench.mesh_membership [--nodes 13,100,1000] [--span 6] [--seed 1]

One network of three zones for each size, in virtual time with the real classes (`tests/gossip/net.py`), goes
through the troubles below, one after another with a pause between. In each, a node ends after a third of the
span. Printed: seconds until all others hold that node down; how many (observer, node) held a node down that
ran; doubts that were raised against nodes that ran; bytes a second that a node sends within its zone and to
others.

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

from honeywharf.failure_detector.watch import Watch
from honeywharf.gossip.entry import node_of
from tests.gossip.net import ZONES, Machine, Net

PAUSE = 8.0  # seconds between troubles: what was doubted has time to be forgiven
PERIOD, SHARE, CALL = 0.1, 0.43, 0.0014  # seconds, share of them, seconds that a call takes at that share
FROZEN = 1.2  # seconds


def slowed(net: Net, machine: Machine) -> Callable[[], None]:
    """Let a machine run only in a part of each period, one call after another; gives what undoes it."""
    run, free = machine.run, 0.0

    def later(call: Callable[[], None]) -> None:
        nonlocal free
        begin = max(net.now, free)
        if begin % PERIOD > PERIOD * SHARE:
            begin = (math.floor(begin / PERIOD) + 1) * PERIOD
        free = begin + CALL
        net.at(free - net.now, lambda: run(call))

    machine.run = later  # type: ignore[method-assign]
    return lambda: setattr(machine, "run", run)


def zone_of(node: str) -> str:
    """By its address."""
    return ZONES[int(node.split(".")[1]) - 1]


class Troubles:
    """What is done to a network; each method gives what ends it."""

    def __init__(self, net: Net) -> None:
        self.net = net

    def some(self, share: float) -> list[str]:
        """Live nodes, none of them a seed."""
        live = [
            membership.news.me for membership in self.net.live() if membership.news.me not in self.net.seeds
        ]
        return self.net.rng.sample(live, max(1, round(share * len(live))))

    def quiet(self) -> Callable[[], None]:
        """Nothing more."""
        return lambda: None

    def loss(self) -> Callable[[], None]:
        """Many datagrams are lost."""
        self.net.loss = 0.2
        return lambda: setattr(self.net, "loss", 0.01)

    def freezes(self) -> Callable[[], None]:
        """Watchers stand still, by turns."""
        for turn in range(3):
            for node in self.some(1 / 30):
                machine = self.net.machines[node]
                self.net.at(1.3 * turn, lambda machine=machine: setattr(machine, "frozen", True))  # type: ignore[misc]
                self.net.at(1.3 * turn + FROZEN, machine.thaw)
        return lambda: None

    def one_way(self) -> Callable[[], None]:
        """Some are not heard elsewhere."""
        for node in self.some(0.1):
            zone = self.net.rng.choice([zone for zone in ZONES if zone != zone_of(node)])
            self.net.cut([node], [other for other in self.net.names if zone_of(other) == zone], both=False)
        return self.net.cuts.clear

    def slow(self) -> Callable[[], None]:
        """Some have little of a processor."""
        undo = [slowed(self.net, self.net.machines[node]) for node in self.some(1 / 3)]

        def over() -> None:
            for end in undo:
                end()

        return over

    def zone_cut(self) -> Callable[[], None]:
        """Two zones do not hear each other."""
        names = {zone: [node for node in self.net.names if zone_of(node) == zone] for zone in ZONES}
        self.net.cut(names[ZONES[0]], names[ZONES[1]])
        return self.net.cuts.clear


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

    def __init__(self, net: Net) -> None:
        self.raised: list[tuple[str, str]] = []
        for membership in net.live():
            self._heed(membership.news.me, membership.watch)

    def _heed(self, me: str, watch: Watch) -> None:
        told = watch.tell
        before: set[str] = set()

        def tell(doubts: list[tuple[int, int, int]]) -> None:
            nodes = {node_of(key) for key, _, _ in doubts}
            self.raised.extend((me, node) for node in nodes - before)
            before.clear()
            before.update(nodes)
            if told is not None:
                told(doubts)

        watch.tell = tell


def played(
    net: Net, doubts: Doubts, trouble: Callable[[Troubles], Callable[[], None]], span: float
) -> dict[str, float]:
    """One trouble: what it showed."""
    downs, raised, nodes = len(net.downs), len(doubts.raised), len(net.live())
    net.bytes = dict.fromkeys(net.bytes, 0)
    began = net.now
    undo = trouble(Troubles(net))
    net.run(span / 3)
    ended = Troubles(net).some(0.0)[0]
    while net.machines[ended].frozen:
        ended = Troubles(net).some(0.0)[0]
    net.kill(ended)
    at = net.now
    known = net.run(span * 2 / 3, lambda: all(not membership.alive(ended) for membership in net.live()))
    took = net.now - at if known else float("inf")
    net.run(max(0.0, began + span - net.now))
    spent = {place: count / nodes / span for place, count in net.bytes.items()}
    undo()
    return {
        "an end is known to all, s": took,
        "held down in vain": sum(node != ended for _, _, node in net.downs[downs:]),
        "doubts in vain": sum(node != ended for _, node in doubts.raised[raised:]),
        "bytes/s within": spent["within"],
        "bytes/s between": spent["between"],
    }


def measured(nodes: int, seed: int, span: float) -> dict[str, dict[str, float]]:
    """All troubles of one network."""
    net = Net(seed, nodes, 0.01)
    net.start_all(0.5)
    net.run(0.6)
    net.run(30.0, net.all_know)
    net.run(3.0)
    doubts, out = Doubts(net), {}
    for name, trouble in TROUBLES:
        out[name] = played(net, doubts, trouble, span)
        net.run(PAUSE)
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
