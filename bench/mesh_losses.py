"""Cost of the loss of many machines for the others, in virtual time: a rack, a zone, and a region.

    python -m bench.mesh_losses [--nodes 30,100,300] [--seed N]

Runs the real classes of gossip and failure detection on a simulated network of three zones
(`tests/gossip/network.py`). A rack is a thirtieth of the nodes, all in one zone; a zone is a third of them;
the region is one zone that cannot reach the two others for 45 s. Prints for each size the seconds until the
loss is detected and until all nodes know each other again, and the bytes that a node sends meanwhile, headers
included. Status 1 where either is too late.
"""

from __future__ import annotations

import argparse
import sys

from tests.gossip.network import GossipNetwork

LOSS_SHARE = 0.01  # Share of lost datagrams.
RACK_COUNT = 30
WINDOW_S = 6.0  # Time in which the bytes of a loss are counted.
PARTITION_S, STEP_S = 45.0, 5.0  # Duration of the partition, and of the windows of its bytes.
DETECTION_TIMEOUT_S, RECOVERY_TIMEOUT_S = 20.0, 60.0  # Time limits of detection and recovery.
ZONE_PREFIX = "10.3."  # Address prefix of the zone that is lost.


def start_network(seed: int, nodes: int) -> GossipNetwork:
    """Returns a network whose nodes know one another."""
    network = GossipNetwork(seed, nodes, LOSS_SHARE)
    network.start_all(0.5)
    network.run(0.6)
    network.run(30.0, network.all_know)
    network.run(3.0)
    return network


def bytes_sent(network: GossipNetwork) -> float:
    """Returns the bytes that a live node has sent since the last call."""
    total = sum(network.bytes.values()) / len(network.live())
    network.bytes = dict.fromkeys(network.bytes, 0)
    return total


def lose_machines(network: GossipNetwork, lost: list[str]) -> tuple[str, bool]:
    """Kills machines and starts them again; returns the figures, and whether both were noticed in time."""
    bytes_sent(network)
    started_at = network.now
    for node in lost:
        network.kill(node)
    is_detected = network.run(
        DETECTION_TIMEOUT_S,
        lambda: all(len(each.failure_detector.down) >= len(lost) for each in network.live()),
    )
    detection_s = network.now - started_at
    network.run(max(0.0, WINDOW_S - detection_s))
    loss_bytes = bytes_sent(network)
    started_at = network.now
    for node in lost:
        network.start(node, 2)
    is_recovered = network.run(RECOVERY_TIMEOUT_S, network.all_know)
    recovery_s = network.now - started_at
    network.run(max(0.0, WINDOW_S - recovery_s))
    figures = (
        f"known after {detection_s:.1f} s, {loss_bytes:,.0f} bytes;"
        f" back after {recovery_s:.1f} s, {bytes_sent(network):,.0f} bytes"
    )
    return figures, is_detected and is_recovered


def lose_region(network: GossipNetwork) -> tuple[str, bool]:
    """Separates one zone for a while; returns the figures, and whether all nodes know each other again."""
    inside = [node for node in network.names if node.startswith(ZONE_PREFIX)]
    bytes_sent(network)
    network.cut(inside, [node for node in network.names if node not in inside])
    windows = []
    for _ in range(round(PARTITION_S / STEP_S)):
        network.run(STEP_S)
        windows.append(f"{bytes_sent(network) / STEP_S:,.0f}")
    network.cuts.clear()
    started_at = network.now
    is_recovered = network.run(RECOVERY_TIMEOUT_S, network.all_know)
    return (
        f"bytes/s {' '.join(windows)}; joined after {network.now - started_at:.1f} s,"
        f" {bytes_sent(network):,.0f} bytes",
        is_recovered,
    )


def main(command_line: list[str]) -> int:
    """Prints a line for each size and loss."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--nodes", default="30,100,300")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(command_line)
    all_in_time = True
    for nodes in map(int, options.nodes.split(",")):
        network = start_network(options.seed, nodes)
        zone = [node for node in network.names if node.startswith(ZONE_PREFIX)]
        rack = [node for node in zone if node not in network.seeds][: max(1, nodes // RACK_COUNT)]
        for name, lost in (("rack", rack), ("zone", zone)):
            line, is_in_time = lose_machines(start_network(options.seed, nodes), lost)
            print(f"{nodes} nodes, {name}, {len(lost)} lost: {line}", flush=True)
            all_in_time = all_in_time and is_in_time
        line, is_in_time = lose_region(network)
        print(f"{nodes} nodes, region: {line}", flush=True)
        all_in_time = all_in_time and is_in_time
    return 0 if all_in_time else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
