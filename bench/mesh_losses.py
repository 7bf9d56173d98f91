"""What the loss of many machines costs the others, in virtual time: a rack, a zone, and a region for a while.

    python -m bench.mesh_losses [--nodes 30,100,300] [--seed 1]

The real classes of gossip and failure detection on a simulated network of three zones, `tests/gossip/net.py`.
A rack is a thirtieth of the nodes, all of one zone; a zone is a third of them; the region is one zone that
cannot reach the two others for 45 s. Printed for each size: seconds until all hold the lost ones unreachable
and until all know all again, and the bytes that a node sends meanwhile, headers included; for the region the
bytes a second in windows of 5 s. Status 1 where something did not come about.
"""

from __future__ import annotations

import argparse
import sys

from tests.gossip.net import Net

LOSS = 0.01  # share of datagrams that are lost
RACKS = 30
WINDOW_S = 6.0  # in which the bytes of a loss are counted
PART_S, STEP_S = 45.0, 5.0  # how long the region is lost, and the windows of its bytes
KNOWN_S, BACK_S = 20.0, 60.0  # that noticing and returning may take
ZONE = "10.3."  # beginning of the addresses of the zone that is lost


def settled(seed: int, nodes: int) -> Net:
    """A network whose nodes know one another."""
    net = Net(seed, nodes, LOSS)
    net.start_all(0.5)
    net.run(0.6)
    net.run(30.0, net.all_know)
    net.run(3.0)
    return net


def spent(net: Net) -> float:
    """Bytes that a live node sent since the last call."""
    total = sum(net.bytes.values()) / len(net.live())
    net.bytes = dict.fromkeys(net.bytes, 0)
    return total


def loss(net: Net, lost: list[str]) -> tuple[str, bool]:
    """Machines end at once, and come back."""
    spent(net)
    begun = net.now
    for node in lost:
        net.kill(node)
    noticed = net.run(KNOWN_S, lambda: all(len(each.watch.down) >= len(lost) for each in net.live()))
    known = net.now - begun
    net.run(max(0.0, WINDOW_S - known))
    cost = spent(net)
    begun = net.now
    for node in lost:
        net.start(node, 2)
    returned = net.run(BACK_S, net.all_know)
    back = net.now - begun
    net.run(max(0.0, WINDOW_S - back))
    figures = (
        f"known after {known:.1f} s, {cost:,.0f} bytes; back after {back:.1f} s, {spent(net):,.0f} bytes"
    )
    return figures, noticed and returned


def region(net: Net) -> tuple[str, bool]:
    """One zone loses the others, and finds them again."""
    inside = [node for node in net.names if node.startswith(ZONE)]
    spent(net)
    net.cut(inside, [node for node in net.names if node not in inside])
    windows = []
    for _ in range(round(PART_S / STEP_S)):
        net.run(STEP_S)
        windows.append(f"{spent(net) / STEP_S:,.0f}")
    net.cuts.clear()
    begun = net.now
    joined = net.run(BACK_S, net.all_know)
    return (
        f"bytes/s {' '.join(windows)}; joined after {net.now - begun:.1f} s, {spent(net):,.0f} bytes",
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
        net = settled(asked.seed, nodes)
        zone = [node for node in net.names if node.startswith(ZONE)]
        rack = [node for node in zone if node not in net.seeds][: max(1, nodes // RACKS)]
        for name, lost in (("rack", rack), ("zone", zone)):
            line, came = loss(settled(asked.seed, nodes), lost)
            print(f"{nodes} nodes, {name}, {len(lost)} lost: {line}", flush=True)
            well = well and came
        line, came = region(net)
        print(f"{nodes} nodes, region: {line}", flush=True)
        well = well and came
    return 0 if well else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
