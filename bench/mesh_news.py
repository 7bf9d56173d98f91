"""Gossip and failure detection by size: propagation times, bytes and memory.

    python -m bench.mesh_news [--nodes 13,100,1000] [--seeds 3] [--loss 0.05]

Runs the real classes in virtual time on a simulated network of three zones (delays of 0.2 to 1 ms within,
1 to 4 ms between, datagrams lost at the given share). Prints times in seconds after a start spread over half
a second, a change, a broadcast and an end of a node, and the bytes sent by a node, with headers of 28 bytes.
Status 1 where a live node was marked as down.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tracemalloc

from honeywharf.gossip.gossip import Gossip
from tests.gossip.network import GossipNetwork, sample_attributes


def main() -> int:
    """Prints a table for each size."""
    args = arguments()
    false_detections = 0
    for nodes in [int(text) for text in args.nodes.split(",")]:
        seeds = range(1, 2 if nodes > 500 else args.seeds + 1)
        figures = [measure(nodes, seed, args.loss) for seed in seeds]
        print(f"{nodes} nodes, {len(figures)} seeds, loss {args.loss}")
        for name in figures[0]:
            print(f"  {name:44}{statistics.mean(figures_of_seed[name] for figures_of_seed in figures):12.3f}")
        false_detections += int(sum(figures_of_seed["held down in vain"] for figures_of_seed in figures))
    print(f"memory of an entry, bytes{memory():31.0f}")
    return 1 if false_detections else 0


def arguments() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", default="13,100,1000")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loss", type=float, default=0.05)
    return parser.parse_args()


def measure(nodes: int, seed: int, loss: float) -> dict[str, float]:
    """Runs one network through a start, idle time, a change, a broadcast and an end; returns the figures."""
    network = GossipNetwork(seed, nodes, loss)
    network.start_all(0.5)
    network.run(0.5)
    network.run(60.0, network.all_know)
    figures = {
        "all know all after the first start, s": network.now - 100.0,
        **bytes_per_node(network, "start", nodes),
    }
    network.run(3.0)
    bytes_per_node(network, "", nodes)
    network.run(10.0)
    figures |= {f"idle, {name}/s": value / 10.0 for name, value in bytes_per_node(network, "", nodes).items()}
    figures |= measure_propagation(network, "change", nodes)
    figures |= measure_propagation(network, "word", nodes)
    earlier_downs = len(network.down_reports)
    ended_node = network.names[nodes // 2]
    started_at = network.now
    network.kill(ended_node)
    network.run(20.0, lambda: all(not membership.is_alive(ended_node) for membership in network.live()))
    figures["all hold an ended node down, s"] = network.now - started_at
    figures["held down in vain"] = earlier_downs + sum(
        node != ended_node for _, _, node in network.down_reports[earlier_downs:]
    )
    return figures


def bytes_per_node(network: GossipNetwork, name: str, nodes: int) -> dict[str, float]:
    """Returns the bytes that a node has sent since the last call."""
    figures = {
        f"{name} {place} zones, bytes a node".strip(): count / nodes for place, count in network.bytes.items()
    }
    network.bytes = dict.fromkeys(network.bytes, 0)
    return figures


def measure_propagation(network: GossipNetwork, update: str, nodes: int) -> dict[str, float]:
    """Changes or broadcasts at one node; returns how fast the others receive it."""
    started_at, received_at, first = network.now, dict[str, float](), network.names[nodes // 3]
    for membership in network.live():
        record_arrival(network, membership.local_node, update, first, received_at)
    bytes_per_node(network, "", nodes)
    if update == "word":
        network.memberships[first].broadcast_revision(7)
    else:
        network.memberships[first].publish(state="draining")
    network.run(20.0, lambda: len(received_at) >= nodes - 1)
    times = [at - started_at for at in received_at.values()]
    return {
        f"{update}, median, s": statistics.median(times),
        f"{update}, most, s": max(times) if len(times) == nodes - 1 else float("inf"),
        **bytes_per_node(network, update, nodes),
    }


def record_arrival(
    network: GossipNetwork, name: str, update: str, first: str, received_at: dict[str, float]
) -> None:
    """Records when a node receives the change or the revision; the node then publishes the revision."""
    membership = network.memberships[name]

    def handle_change(node: str, *_: object) -> None:
        if update == "change" and node == first:
            received_at.setdefault(name, network.now)

    def handle_newer_revision(revision: int, _: str) -> None:
        if update == "word":
            received_at.setdefault(name, network.now)
            membership.publish(rev=revision)

    membership.on_change = handle_change
    membership.on_newer_revision = handle_newer_revision


def memory() -> float:
    """Returns the bytes of a sidecar's entry in a table of a thousand."""
    datagrams: list[bytes] = []
    for number in range(1000):
        name = f"10.1.{number >> 8}.{number & 255}"
        gossip = Gossip(name, "east", FixedRandom(), sample_attributes(name), 1, ["10.9.0.1"])
        datagrams.append(next(data for _, data in gossip.tick(0.0) if data[:1] == b"h"))
    table = Gossip("10.9.0.1", "east", FixedRandom(), {}, 1)
    tracemalloc.start()
    for data in datagrams:
        table.received(0.0, "10.9.0.1", b"r" + data[1:])
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes / 1000


class FixedRandom:
    """A random generator with a fixed result."""

    def random(self) -> float:
        """Returns 0."""
        return 0.0


if __name__ == "__main__":
    sys.exit(main())
