"""A node returns after a freeze, a cut or a restart: how soon it knows all, with the hinted handoff and
without.

    python -m bench.hinted_handoff [--nodes 13,100,300] [--seeds 10] [--away 6] [--changes 8] [--loss 0.02]
        [--hows freeze,cut,restart]

In virtual time, with the real classes on the simulated network of three zones of tests/gossip/network.py.
While one node is away, `changes` others change what they say, one of them settles a word, and one ends.
Printed: seconds from the return until the node holds the newest entry of every live node (median, most),
until it has heard of the word, until all hold it alive; bytes that all nodes sent in the first 2 s after
the return, above those of 2 s without a return; names handed over. Status 1 where a node does not know all
within 20 s.
"""

from __future__ import annotations

import argparse
import statistics
import sys
from collections.abc import Callable

from honeywharf.gossip.membership import Membership
from tests.gossip.network import GossipNetwork, knows, sample_attributes

HOWS = ("freeze", "cut", "restart")


def main() -> int:
    """Print a line for each size, kind and side."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", default="13,100,300")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--away", type=float, default=6.0)
    parser.add_argument("--changes", type=int, default=8)
    parser.add_argument("--loss", type=float, default=0.02)
    parser.add_argument("--hows", default=",".join(HOWS))
    args = parser.parse_args()
    late = 0
    print(
        "nodes  how      hinted handoff   all known, s    word, s         held alive, s   bytes more  handed"
    )
    for nodes in [int(text) for text in args.nodes.split(",")]:
        for how in args.hows.split(","):
            for keeps in (False, True):
                seeds = range(1, args.seeds + 1)
                runs = [measure(nodes, seed, how, keeps, args) for seed in seeds]
                late += sum(one["known"] >= 20.0 for one in runs)
                spans = "  ".join(
                    f"{statistics.median(one[name] for one in runs):6.3f}/"
                    f"{max(one[name] for one in runs):6.3f} "
                    for name in ("known", "word", "alive")
                )
                more, handed = (statistics.mean(one[name] for one in runs) for name in ("bytes", "handed"))
                print(
                    f"{nodes:5}  {how:8} {'with' if keeps else 'without':8} {spans} {more:10.0f} "
                    f"{handed:7.1f}",
                    flush=True,
                )
    return 1 if late else 0


def measure(nodes: int, seed: int, how: str, keeps: bool, args: argparse.Namespace) -> dict[str, float]:
    """One return."""
    network = GossipNetwork(seed, nodes, args.loss)
    network.start_all(0.5)
    network.run(0.6)
    network.run(30.0, network.all_know)
    for membership in network.live():
        membership.keeps_hints = keeps
    network.run(3.0)
    gone = network.names[nodes // 2]
    others = [name for name in network.names if name != gone]
    back = leave(network, gone, how, others)
    network.run(args.away / 2)
    trouble(network, others, args.changes, seed)
    network.run(args.away / 2)
    quiet = sum(network.bytes.values())
    network.run(2.0)
    quiet = sum(network.bytes.values()) - quiet
    begun, spent = network.now, sum(network.bytes.values())
    back()
    found = {"known": 20.0, "word": 20.0, "alive": 20.0}
    heard: list[float] = []
    network.memberships[gone].on_newer_revision = lambda revision, _: heard.append(network.now)

    def look() -> bool:
        membership = network.memberships[gone]
        truth = {one.local_node: one.gossip.table.own.version for one in network.live()}
        if found["known"] == 20.0 and knows(membership, truth):
            found["known"] = network.now - begun
        if found["alive"] == 20.0 and all(one.is_alive(gone) for one in network.live()):
            found["alive"] = network.now - begun
        return "bytes" in found and found["known"] < 20.0 and found["alive"] < 20.0 and bool(heard)

    network.run(2.0, look)
    found["bytes"] = sum(network.bytes.values()) - spent - quiet
    network.run(18.0, look)
    found["word"] = heard[0] - begun if heard else 20.0
    found["handed"] = sum(one.hints.hints.handed_over for one in network.live() if one.hints is not None)
    return found


def leave(network: GossipNetwork, gone: str, how: str, others: list[str]) -> Callable[[], object]:
    """Have a node go; what brings it back."""
    if how == "freeze":
        network.machines[gone].is_frozen = True
        return network.machines[gone].resume
    if how == "cut":
        network.cut([gone], others)
        return network.cuts.clear
    network.kill(gone)
    return lambda: restart(network, gone)


def restart(network: GossipNetwork, gone: str) -> Membership:
    """Start it anew, with a higher incarnation."""
    return network.start(gone, 2, **sample_attributes(gone))


def trouble(network: GossipNetwork, others: list[str], changes: int, seed: int) -> None:
    """Others change, one settles a word, one ends."""
    chosen = network.rng.sample(others, min(changes + 1, len(others)))
    for name in chosen[:-1]:
        network.memberships[name].publish(state="draining", turn=seed)
    for membership in network.live():
        if membership.local_node in others:
            membership.publish(rev=7)  # as if each had taken it
    network.memberships[chosen[0]].broadcast_revision(7)
    network.kill(chosen[-1])


if __name__ == "__main__":
    sys.exit(main())
