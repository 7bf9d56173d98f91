"""Recovery of a node after a freeze, a partition or a restart, with and without the hinted handoff.

    python -m bench.hinted_handoff [--nodes 13,100,300] [--seeds 10] [--away 6] [--changes 8] [--loss 0.02]
        [--hows freeze,cut,restart]

Runs the real classes in virtual time on a simulated network (tests/gossip/network.py). While one node is
away, `changes` others change their entries, one broadcasts a revision, and one ends. Prints the median and
maximum seconds until the node has all newest entries, knows the revision, and is alive for all; the
additional bytes of the first 2 s; and the hints handed over. Status 1 where a node needs 20 s or more.
"""

from __future__ import annotations

import argparse
import statistics
import sys
from collections.abc import Callable

from honeywharf.gossip.membership import Membership
from tests.gossip.network import GossipNetwork, knows, sample_attributes

ABSENCE_KINDS = ("freeze", "cut", "restart")


def main() -> int:
    """Prints a line for each size, kind of absence and mode."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", default="13,100,300")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--away", type=float, default=6.0)
    parser.add_argument("--changes", type=int, default=8)
    parser.add_argument("--loss", type=float, default=0.02)
    parser.add_argument("--hows", default=",".join(ABSENCE_KINDS))
    args = parser.parse_args()
    late_returns = 0
    print(
        "nodes  how      hinted handoff   all known, s    word, s         held alive, s   bytes more  handed"
    )
    for nodes in [int(text) for text in args.nodes.split(",")]:
        for how in args.hows.split(","):
            for with_hints in (False, True):
                seeds = range(1, args.seeds + 1)
                runs = [measure(nodes, seed, how, with_hints, args) for seed in seeds]
                late_returns += sum(figures["known"] >= 20.0 for figures in runs)
                spans = "  ".join(
                    f"{statistics.median(figures[name] for figures in runs):6.3f}/"
                    f"{max(figures[name] for figures in runs):6.3f} "
                    for name in ("known", "word", "alive")
                )
                additional_bytes, handed = (
                    statistics.mean(figures[name] for figures in runs) for name in ("bytes", "handed")
                )
                print(
                    f"{nodes:5}  {how:8} {'with' if with_hints else 'without':8} {spans}"
                    f" {additional_bytes:10.0f} "
                    f"{handed:7.1f}",
                    flush=True,
                )
    return 1 if late_returns else 0


def measure(nodes: int, seed: int, how: str, with_hints: bool, args: argparse.Namespace) -> dict[str, float]:
    """Runs one absence and return; returns the figures."""
    network = GossipNetwork(seed, nodes, args.loss)
    network.start_all(0.5)
    network.run(0.6)
    network.run(30.0, network.all_know)
    for membership in network.live():
        membership.keeps_hints = with_hints
    network.run(3.0)
    absent = network.names[nodes // 2]
    others = [name for name in network.names if name != absent]
    return_node = make_unavailable(network, absent, how, others)
    network.run(args.away / 2)
    change_entries(network, others, args.changes, seed)
    network.run(args.away / 2)
    idle_bytes = sum(network.bytes.values())
    network.run(2.0)
    idle_bytes = sum(network.bytes.values()) - idle_bytes
    returned_at, earlier_bytes = network.now, sum(network.bytes.values())
    return_node()
    figures = {"known": 20.0, "word": 20.0, "alive": 20.0}
    revision_times: list[float] = []
    network.memberships[absent].on_newer_revision = lambda revision, _: revision_times.append(network.now)

    def check_complete() -> bool:
        membership = network.memberships[absent]
        newest_versions = {one.local_node: one.gossip.table.own.version for one in network.live()}
        if figures["known"] == 20.0 and knows(membership, newest_versions):
            figures["known"] = network.now - returned_at
        if figures["alive"] == 20.0 and all(one.is_alive(absent) for one in network.live()):
            figures["alive"] = network.now - returned_at
        return (
            "bytes" in figures
            and figures["known"] < 20.0
            and figures["alive"] < 20.0
            and bool(revision_times)
        )

    network.run(2.0, check_complete)
    figures["bytes"] = sum(network.bytes.values()) - earlier_bytes - idle_bytes
    network.run(18.0, check_complete)
    figures["word"] = revision_times[0] - returned_at if revision_times else 20.0
    figures["handed"] = sum(one.hints.hints.handed_over for one in network.live() if one.hints is not None)
    return figures


def make_unavailable(
    network: GossipNetwork, absent: str, how: str, others: list[str]
) -> Callable[[], object]:
    """Makes a node unavailable; returns a function that brings it back."""
    if how == "freeze":
        network.machines[absent].is_frozen = True
        return network.machines[absent].resume
    if how == "cut":
        network.cut([absent], others)
        return network.cuts.clear
    network.kill(absent)
    return lambda: restart(network, absent)


def restart(network: GossipNetwork, absent: str) -> Membership:
    """Starts the node with a higher incarnation."""
    return network.start(absent, 2, **sample_attributes(absent))


def change_entries(network: GossipNetwork, others: list[str], changes: int, seed: int) -> None:
    """Changes the entries of some nodes, broadcasts a revision from one, and ends one."""
    changed = network.rng.sample(others, min(changes + 1, len(others)))
    for name in changed[:-1]:
        network.memberships[name].publish(state="draining", turn=seed)
    for membership in network.live():
        if membership.local_node in others:
            membership.publish(rev=7)  # All of them have applied the revision.
    network.memberships[changed[0]].broadcast_revision(7)
    network.kill(changed[-1])


if __name__ == "__main__":
    sys.exit(main())
