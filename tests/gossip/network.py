"""A simulated network of memberships, with delay and loss of datagrams, partitions and frozen machines."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, cast

from honeywharf.gossip.entry import Entry
from honeywharf.gossip.membership import Membership
from honeywharf.gossip.table import DROPPED_RETENTION_S, INACTIVE_RETENTION_S
from honeywharf.transport.host import Address, Host

PORT = 7620
ZONES = ("east", "north", "west")
HEADERS = 28  # Bytes of the IP and UDP headers.


class ScheduledCall:
    """A scheduled call."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Machine:
    """The part of a host that `Membership` uses."""

    def __init__(self, network: GossipNetwork, ip: str, zone: str) -> None:
        self.network, self.ip, self.zone = network, ip, zone
        self.is_frozen = False
        self.is_off = False
        self.deferred_calls: list[Callable[[], None]] = []
        self.on_datagram: Callable[[Address, bytes], None] | None = None

    def now(self) -> float:
        return self.network.now

    def after(self, seconds: float, call: Callable[[], None]) -> ScheduledCall:
        scheduled = ScheduledCall(call)
        self.network.at(seconds, lambda: self.run(lambda: scheduled.call() if scheduled.call else None))
        return scheduled

    def run(self, call: Callable[[], None]) -> None:
        if self.is_off:
            return
        if self.is_frozen:
            self.deferred_calls.append(call)
        else:
            call()

    def resume(self) -> None:
        self.is_frozen = False
        deferred_calls, self.deferred_calls = self.deferred_calls, []
        for call in deferred_calls:
            self.network.at(0.0, lambda call=call: self.run(call))  # type: ignore[misc]

    def listen_datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        self.on_datagram = received

    def send_datagram(self, to: Address, data: bytes) -> None:
        assert len(data) <= 1400
        self.network.transmit(self, to[0], data)

    def random(self, size: int) -> bytes:
        return self.network.rng.randbytes(size)

    def log(self, line: str) -> None:
        self.network.lines.append(f"{self.ip} {line}")


class GossipNetwork:
    """`nodes` machines. The first three are seeds, one in each zone."""

    def __init__(self, seed: int, nodes: int, loss: float = 0.05) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 100.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.cuts: set[tuple[str, str]] = set()
        self.bytes = {"within": 0, "between": 0}
        self.sent = 0
        self.lines: list[str] = []
        self.machines: dict[str, Machine] = {}
        self.memberships: dict[str, Membership] = {}
        self.last_versions: dict[tuple[str, str], tuple[tuple[int, int, bool], float]] = {}
        self.down_reports: list[tuple[float, str, str]] = []
        self.names = [f"10.{at % 3 + 1}.{at // 250}.{at % 250 + 1}" for at in range(nodes)]
        self.seeds = self.names[:3]

    def at(self, seconds: float, call: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + seconds, self.event_count, call))

    def transmit(self, machine: Machine, to: str, data: bytes) -> None:
        target = self.machines.get(to)
        between = target is not None and target.zone != machine.zone
        self.bytes["between" if between else "within"] += len(data) + HEADERS
        self.sent += 1
        if target is None or (machine.ip, to) in self.cuts or self.rng.random() < self.loss:
            return
        delay = self.rng.uniform(0.001, 0.004) if between else self.rng.uniform(0.0002, 0.001)
        self.at(delay, lambda: self.deliver(machine.ip, target, data))

    def deliver(self, sender: str, target: Machine, data: bytes) -> None:
        if (sender, target.ip) not in self.cuts and target.on_datagram:
            on_datagram = target.on_datagram
            target.run(lambda: on_datagram((sender, PORT), data))

    def start(self, name: str, incarnation: int = 1, **attributes: Any) -> Membership:
        """Starts or restarts a node."""
        if name in self.machines:
            self.machines[name].is_off = True
            self.last_versions = {
                pair: version for pair, version in self.last_versions.items() if pair[0] != name
            }
        zone = ZONES[int(name.split(".")[1]) - 1]
        machine = self.machines[name] = Machine(self, name, zone)
        membership = Membership(
            cast("Host", machine), name, PORT, zone, self.seeds, {"rev": 0, **attributes}, incarnation
        )
        membership.on_change = lambda node, entry, old: self.check_version(name, node, entry, old)
        membership.on_down = lambda node: self.down_reports.append((self.now, name, node))
        self.memberships[name] = membership
        return membership

    def start_all(self, spread: float = 0.5) -> None:
        for name in self.names:
            self.at(self.rng.uniform(0.0, spread), partial(self.join, name))

    def join(self, name: str) -> None:
        self.start(name, **sample_attributes(name))

    def check_version(self, name: str, node: str, entry: Entry | None, old: Entry | None) -> None:
        """Checks that no entry goes back to an older version, not even after it was dropped."""
        if entry is None:
            return
        seen, at = self.last_versions.get((name, node), ((-1, -1, False), 0.0))
        # After this time the node has forgotten the dropped entry and may accept an older one.
        if old or self.now - at < INACTIVE_RETENTION_S + DROPPED_RETENTION_S:
            assert entry.version > seen, f"{name} took over {entry.version} of {node} after {seen}"
        self.last_versions[name, node] = entry.version, self.now

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Runs for a time, or until `until` is true, checked every 20 ms. Returns whether it became true."""
        end, next_check_at = self.now + seconds, self.now
        while self.events and self.events[0][0] <= end:
            if until and self.events[0][0] >= next_check_at:
                if until():
                    return True
                next_check_at = self.events[0][0] + 0.02
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = end
        return until is not None and until()

    def cut(self, one: Iterable[str], other: Iterable[str], both: bool = True) -> None:
        pairs = [(a, b) for a in one for b in other]
        self.cuts |= {*pairs, *((b, a) for a, b in pairs if both)}

    def live(self) -> list[Membership]:
        return [self.memberships[name] for name, machine in self.machines.items() if not machine.is_off]

    def kill(self, name: str) -> None:
        self.machines[name].is_off = True

    def all_know(self) -> bool:
        """Returns whether every live node knows the current entry of every live node."""
        truth = {membership.local_node: membership.gossip.table.own.version for membership in self.live()}
        return all(knows(membership, truth) for membership in self.live())


def converged_network(nodes: int, seed: int = 1, loss: float = 0.05) -> GossipNetwork:
    """Returns a network whose nodes all know each other."""
    network = GossipNetwork(seed, nodes, loss)
    network.start_all()
    network.run(0.6)
    assert network.run(10.0, network.all_know)
    return network


def knows(membership: Membership, truth: dict[str, tuple[int, int, bool]]) -> bool:
    table = membership.gossip.table.entries
    return all(node in table and table[node].version == version for node, version in truth.items())


def sample_attributes(name: str) -> dict[str, Any]:
    """Returns attributes like those that a sidecar publishes."""
    backend = {"service": "huvo11a", "id": f"i-{name}", "state": "ready", "slots": 12}
    return {"kind": "sidecar", "port": 8300, **backend}


def attribute(membership: Membership, node: str, name: str) -> Any:
    """Returns a node's attribute as another node knows it; None if it has none."""
    return (membership.entries()[node].attributes or {}).get(name)
