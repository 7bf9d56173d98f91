"""News and watch by size: time until all know, bytes a second, memory.

    python -m bench.mesh_news [--nodes 13,100,1000] [--seeds 3] [--loss 0.05]

All in virtual time with the real classes on a simulated network of three zones (delays of 0.2 to 1 ms
within, 1 to 4 ms between, datagrams lost at the given share). Printed for each size: seconds until all
know all after a start spread over half a second; seconds until a change and a word have reached a node
(median, most) and all; seconds until all hold an ended node down; how many live ones were held down in
vain; bytes a second that an idle node sends within and between zones, headers of 28 bytes included;
bytes of all that a start and a change cost each node; bytes of memory an entry takes. Status 1 where a
live node was held down.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tracemalloc

from honeywharf.gossip.gossip import Gossip
from tests.gossip.network import GossipNetwork, sample_attributes


def main() -> int:
    """Print a table for each size."""
    args = arguments()
    vain = 0
    for nodes in [int(text) for text in args.nodes.split(",")]:
        seeds = range(1, 2 if nodes > 500 else args.seeds + 1)
        measured = [measure(nodes, seed, args.loss) for seed in seeds]
        print(f"{nodes} nodes, {len(measured)} seeds, loss {args.loss}")
        for name in measured[0]:
            print(f"  {name:44}{statistics.mean(one[name] for one in measured):12.3f}")
        vain += int(sum(one["held down in vain"] for one in measured))
    print(f"memory of an entry, bytes{memory():31.0f}")
    return 1 if vain else 0


def arguments() -> argparse.Namespace:
    """From the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", default="13,100,1000")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loss", type=float, default=0.05)
    return parser.parse_args()


def measure(nodes: int, seed: int, loss: float) -> dict[str, float]:
    """One network through a start, idle time, a change, a word and an end."""
    network = GossipNetwork(seed, nodes, loss)
    network.start_all(0.5)
    network.run(0.5)
    network.run(60.0, network.all_know)
    out = {"all know all after the first start, s": network.now - 100.0, **spent(network, "start", nodes)}
    network.run(3.0)
    spent(network, "", nodes)
    network.run(10.0)
    out |= {f"idle, {name}/s": value / 10.0 for name, value in spent(network, "", nodes).items()}
    out |= reach(network, "change", nodes)
    out |= reach(network, "word", nodes)
    vain = len(network.down_reports)
    ended = network.names[nodes // 2]
    began = network.now
    network.kill(ended)
    network.run(20.0, lambda: all(not membership.is_alive(ended) for membership in network.live()))
    out["all hold an ended node down, s"] = network.now - began
    out["held down in vain"] = vain + sum(node != ended for _, _, node in network.down_reports[vain:])
    return out


def spent(network: GossipNetwork, name: str, nodes: int) -> dict[str, float]:
    """Bytes a node sent since the last call."""
    out = {
        f"{name} {place} zones, bytes a node".strip(): count / nodes for place, count in network.bytes.items()
    }
    network.bytes = dict.fromkeys(network.bytes, 0)
    return out


def reach(network: GossipNetwork, what: str, nodes: int) -> dict[str, float]:
    """Let one node change or shout, and see when the others hear of it."""
    began, heard, first = network.now, dict[str, float](), network.names[nodes // 3]
    for membership in network.live():
        listen(network, membership.local_node, what, first, heard)
    spent(network, "", nodes)
    if what == "word":
        network.memberships[first].broadcast_revision(7)
    else:
        network.memberships[first].publish(state="draining")
    network.run(20.0, lambda: len(heard) >= nodes - 1)
    times = [at - began for at in heard.values()]
    return {
        f"{what}, median, s": statistics.median(times),
        f"{what}, most, s": max(times) if len(times) == nodes - 1 else float("inf"),
        **spent(network, what, nodes),
    }


def listen(network: GossipNetwork, name: str, what: str, first: str, heard: dict[str, float]) -> None:
    """Note when a node hears of the change or the word, and let it take the word."""
    membership = network.memberships[name]

    def changed(node: str, *_: object) -> None:
        if what == "change" and node == first:
            heard.setdefault(name, network.now)

    def word(revision: int, _: str) -> None:
        if what == "word":
            heard.setdefault(name, network.now)
            membership.publish(rev=revision)

    membership.on_change = changed
    membership.on_newer_revision = word


def memory() -> float:
    """Bytes that an entry of a sidecar takes in a table of a thousand."""
    told: list[bytes] = []
    for at in range(1000):
        name = f"10.1.{at >> 8}.{at & 255}"
        other = Gossip(name, "east", NoChance(), sample_attributes(name), 1, ["10.9.0.1"])
        told.append(next(data for _, data in other.tick(0.0) if data[:1] == b"h"))
    table = Gossip("10.9.0.1", "east", NoChance(), {}, 1)
    tracemalloc.start()
    for data in told:
        table.received(0.0, "10.9.0.1", b"r" + data[1:])
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / 1000


class NoChance:
    """A generator that draws nothing."""

    def random(self) -> float:
        """Always 0."""
        return 0.0


if __name__ == "__main__":
    sys.exit(main())
