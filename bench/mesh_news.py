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

from honeywharf.gossip.table import News
from tests.gossip.net import Net, sample


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
    net = Net(seed, nodes, loss)
    net.start_all(0.5)
    net.run(0.5)
    net.run(60.0, net.all_know)
    out = {"all know all after the first start, s": net.now - 100.0, **spent(net, "start", nodes)}
    net.run(3.0)
    spent(net, "", nodes)
    net.run(10.0)
    out |= {f"idle, {name}/s": value / 10.0 for name, value in spent(net, "", nodes).items()}
    out |= reach(net, "change", nodes)
    out |= reach(net, "word", nodes)
    vain = len(net.downs)
    ended = net.names[nodes // 2]
    began = net.now
    net.kill(ended)
    net.run(20.0, lambda: all(not membership.alive(ended) for membership in net.live()))
    out["all hold an ended node down, s"] = net.now - began
    out["held down in vain"] = vain + sum(node != ended for _, _, node in net.downs[vain:])
    return out


def spent(net: Net, name: str, nodes: int) -> dict[str, float]:
    """Bytes a node sent since the last call."""
    out = {f"{name} {place} zones, bytes a node".strip(): count / nodes for place, count in net.bytes.items()}
    net.bytes = dict.fromkeys(net.bytes, 0)
    return out


def reach(net: Net, what: str, nodes: int) -> dict[str, float]:
    """Let one node change or shout, and see when the others hear of it."""
    began, heard, first = net.now, dict[str, float](), net.names[nodes // 3]
    for membership in net.live():
        listen(net, membership.news.me, what, first, heard)
    spent(net, "", nodes)
    if what == "word":
        net.societies[first].shout_word(7)
    else:
        net.societies[first].tell(state="draining")
    net.run(20.0, lambda: len(heard) >= nodes - 1)
    times = [at - began for at in heard.values()]
    return {
        f"{what}, median, s": statistics.median(times),
        f"{what}, most, s": max(times) if len(times) == nodes - 1 else float("inf"),
        **spent(net, what, nodes),
    }


def listen(net: Net, name: str, what: str, first: str, heard: dict[str, float]) -> None:
    """Note when a node hears of the change or the word, and let it take the word."""
    membership = net.societies[name]

    def changed(node: str, *_: object) -> None:
        if what == "change" and node == first:
            heard.setdefault(name, net.now)

    def word(revision: int, _: str) -> None:
        if what == "word":
            heard.setdefault(name, net.now)
            membership.tell(rev=revision)

    membership.on_change = changed
    membership.on_word = word


def memory() -> float:
    """Bytes that an entry of a sidecar takes in a table of a thousand."""
    told: list[bytes] = []
    for at in range(1000):
        name = f"10.1.{at >> 8}.{at & 255}"
        other = News(name, "east", NoChance(), sample(name), 1, ["10.9.0.1"])
        told.append(next(data for _, data in other.tick(0.0) if data[:1] == b"h"))
    table = News("10.9.0.1", "east", NoChance(), {}, 1)
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
