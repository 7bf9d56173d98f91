"""A simulated network of memberships: one heap of events, datagrams with delay and loss, cuts and freezes."""

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
HEADERS = 28  # bytes of IP and UDP


class Due:
    """A call that is due."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Machine:
    """What `Membership` uses of a host."""

    def __init__(self, network: GossipNetwork, ip: str, zone: str) -> None:
        self.network, self.ip, self.zone = network, ip, zone
        self.frozen = False
        self.off = False
        self.late: list[Callable[[], None]] = []
        self.take: Callable[[Address, bytes], None] | None = None

    def now(self) -> float:
        return self.network.now

    def after(self, seconds: float, call: Callable[[], None]) -> Due:
        due = Due(call)
        self.network.at(seconds, lambda: self.run(lambda: due.call() if due.call else None))
        return due

    def run(self, call: Callable[[], None]) -> None:
        if self.off:
            return
        if self.frozen:
            self.late.append(call)
        else:
            call()

    def resume(self) -> None:
        self.frozen = False
        late, self.late = self.late, []
        for call in late:
            self.network.at(0.0, lambda call=call: self.run(call))  # type: ignore[misc]

    def listen_datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        self.take = received

    def send_datagram(self, to: Address, data: bytes) -> None:
        assert len(data) <= 1400
        self.network.carry(self, to[0], data)

    def random(self, size: int) -> bytes:
        return self.network.rng.randbytes(size)

    def log(self, line: str) -> None:
        self.network.lines.append(f"{self.ip} {line}")


class GossipNetwork:
    """`nodes` machines, of which the first three are seeds, one in each zone."""

    def __init__(self, seed: int, nodes: int, loss: float = 0.05) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 100.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.cuts: set[tuple[str, str]] = set()
        self.bytes = {"within": 0, "between": 0}
        self.sent = 0
        self.lines: list[str] = []
        self.machines: dict[str, Machine] = {}
        self.memberships: dict[str, Membership] = {}
        self.seen: dict[tuple[str, str], tuple[tuple[int, int, bool], float]] = {}
        self.downs: list[tuple[float, str, str]] = []
        self.names = [f"10.{at % 3 + 1}.{at // 250}.{at % 250 + 1}" for at in range(nodes)]
        self.seeds = self.names[:3]

    def at(self, seconds: float, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + seconds, self.order, call))

    def carry(self, machine: Machine, to: str, data: bytes) -> None:
        target = self.machines.get(to)
        between = target is not None and target.zone != machine.zone
        self.bytes["between" if between else "within"] += len(data) + HEADERS
        self.sent += 1
        if target is None or (machine.ip, to) in self.cuts or self.rng.random() < self.loss:
            return
        delay = self.rng.uniform(0.001, 0.004) if between else self.rng.uniform(0.0002, 0.001)
        self.at(delay, lambda: self.arrive(machine.ip, target, data))

    def arrive(self, sender: str, target: Machine, data: bytes) -> None:
        if (sender, target.ip) not in self.cuts and target.take:
            take = target.take
            target.run(lambda: take((sender, PORT), data))

    def start(self, name: str, incarnation: int = 1, **say: Any) -> Membership:
        """Start a node, or start it again."""
        if name in self.machines:
            self.machines[name].off = True
            self.seen = {pair: version for pair, version in self.seen.items() if pair[0] != name}
        zone = ZONES[int(name.split(".")[1]) - 1]
        machine = self.machines[name] = Machine(self, name, zone)
        membership = Membership(
            cast("Host", machine), name, PORT, zone, self.seeds, {"rev": 0, **say}, incarnation
        )
        membership.on_change = lambda node, entry, old: self.check(name, node, entry, old)
        membership.on_down = lambda node: self.downs.append((self.now, name, node))
        self.memberships[name] = membership
        return membership

    def start_all(self, spread: float = 0.5) -> None:
        for name in self.names:
            self.at(self.rng.uniform(0.0, spread), partial(self.join, name))

    def join(self, name: str) -> None:
        self.start(name, **sample(name))

    def check(self, name: str, node: str, entry: Entry | None, old: Entry | None) -> None:
        """No entry goes back, not even after it was dropped."""
        if entry is None:
            return
        seen, at = self.seen.get((name, node), ((-1, -1, False), 0.0))
        # After this time the node has forgotten the dropped entry and may accept an older one.
        if old or self.now - at < INACTIVE_RETENTION_S + DROPPED_RETENTION_S:
            assert entry.version > seen, f"{name} took over {entry.version} of {node} after {seen}"
        self.seen[name, node] = entry.version, self.now

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass; stops early when `until` is true, looked at every 20 ms. Whether it became true."""
        end, look = self.now + seconds, self.now
        while self.events and self.events[0][0] <= end:
            if until and self.events[0][0] >= look:
                if until():
                    return True
                look = self.events[0][0] + 0.02
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = end
        return until is not None and until()

    def cut(self, one: Iterable[str], other: Iterable[str], both: bool = True) -> None:
        pairs = [(a, b) for a in one for b in other]
        self.cuts |= {*pairs, *((b, a) for a, b in pairs if both)}

    def live(self) -> list[Membership]:
        return [self.memberships[name] for name, machine in self.machines.items() if not machine.off]

    def kill(self, name: str) -> None:
        self.machines[name].off = True

    def all_know(self) -> bool:
        """Whether every live node knows every live node under its present number, and holds it alive."""
        truth = {membership.local_node: membership.gossip.table.own.version for membership in self.live()}
        return all(knows(membership, truth) for membership in self.live())


def settled(nodes: int, seed: int = 1, loss: float = 0.05) -> GossipNetwork:
    """A network whose nodes have all come to know one another."""
    network = GossipNetwork(seed, nodes, loss)
    network.start_all()
    network.run(0.6)
    assert network.run(10.0, network.all_know)
    return network


def knows(membership: Membership, truth: dict[str, tuple[int, int, bool]]) -> bool:
    table = membership.gossip.table.entries
    return all(node in table and table[node].version == version for node, version in truth.items())


def sample(name: str) -> dict[str, Any]:
    """What a sidecar would say."""
    backend = {"service": "huvo11a", "id": f"i-{name}", "state": "ready", "slots": 12}
    return {"kind": "sidecar", "port": 8300, **backend}


def attribute(membership: Membership, node: str, name: str) -> Any:
    """What a node tells under a name, as another node knows it; None for nothing."""
    return (membership.entries()[node].attributes or {}).get(name)
