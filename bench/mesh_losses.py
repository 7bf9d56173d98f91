"""What the loss of many machines costs the others, in virtual time: a rack, a zone, and a region for a while.

    python -m bench.mesh_losses [--nodes 30,100,300] [--seed 1]

The real classes of gossip and failure detection on a simulated network of three zones,
`tests/gossip/network.py`. A rack is a thirtieth of the nodes, all of one zone; a zone is a third of them;
the region is one zone that cannot reach the two others for 45 s. Printed for each size: seconds until all
hold the lost ones unreachable and until all know all again, and the bytes that a node sends meanwhile,
headers included; for the region the bytes a second in windows of 5 s. Status 1 where something did not come
about.
"""

from __future__ import annotations

import argparse
import sys

from tests.gossip.network import GossipNetwork

LOSS = 0.01  # share of datagrams that are lost
RACKS = 30
WINDOW_S = 6.0  # in which the bytes of a loss are counted
PART_S, STEP_S = 45.0, 5.0  # how long the region is lost, and the windows of its bytes
KNOWN_S, BACK_S = 20.0, 60.0  # that noticing and returning may take
ZONE = "10.3."  # beginning of the addresses of the zone that is lost


def settled(seed: int, nodes: int) -> GossipNetwork:
    """A network whose nodes know one another."""
    network = GossipNetwork(seed, nodes, LOSS)
    network.start_all(0.5)
    network.run(0.6)
    network.run(30.0, network.all_know)
    network.run(3.0)
    return network


def spent(network: GossipNetwork) -> float:
    """Bytes that a live node sent since the last call."""
    total = sum(network.bytes.values()) / len(network.live())
    network.bytes = dict.fromkeys(network.bytes, 0)
    return total


def loss(network: GossipNetwork, lost: list[str]) -> tuple[str, bool]:
    """Machines end at once, and come back."""
    spent(network)
    begun = network.now
    for node in lost:
        network.kill(node)
    noticed = network.run(
        KNOWN_S, lambda: all(len(each.failure_detector.down) >= len(lost) for each in network.live())
    )
    known = network.now - begun
    network.run(max(0.0, WINDOW_S - known))
    cost = spent(network)
    begun = network.now
    for node in lost:
        network.start(node, 2)
    returned = network.run(BACK_S, network.all_know)
    back = network.now - begun
    network.run(max(0.0, WINDOW_S - back))
    figures = (
        f"known after {known:.1f} s, {cost:,.0f} bytes; back after {back:.1f} s, {spent(network):,.0f} bytes"
    )
    return figures, noticed and returned


def region(network: GossipNetwork) -> tuple[str, bool]:
    """One zone loses the others, and finds them again."""
    inside = [node for node in network.names if node.startswith(ZONE)]
    spent(network)
    network.cut(inside, [node for node in network.names if node not in inside])
    windows = []
    for _ in range(round(PART_S / STEP_S)):
        network.run(STEP_S)
        windows.append(f"{spent(network) / STEP_S:,.0f}")
    network.cuts.clear()
    begun = network.now
    joined = network.run(BACK_S, network.all_know)
    return (
        f"bytes/s {' '.join(windows)}; joined after {network.now - begun:.1f} s, {spent(network):,.0f} bytes",
        joined,
    )


def main(given: list[str]) -> int:
    """Print a line for each size and loss."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--nodes", default="30,100,300")
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args(given)
    well = True
    for nodes in map(int, asked.nodes.split(",")):
        network = settled(asked.seed, nodes)
        zone = [node for node in network.names if node.startswith(ZONE)]
        rack = [node for node in zone if node not in network.seeds][: max(1, nodes // RACKS)]
        for name, lost in (("rack", rack), ("zone", zone)):
            line, came = loss(settled(asked.seed, nodes), lost)
            print(f"{nodes} nodes, {name}, {len(lost)} lost: {line}", flush=True)
            well = well and came
        line, came = region(network)
        print(f"{nodes} nodes, region: {line}", flush=True)
        well = well and came
    return 0 if well else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
