"""Machines, connections and disks in virtual time, with partitions and losses of power."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from random import Random

from honeywharf.transport.host import Address, Connection, Handler

DELAY = (0.0005, 0.004)  # s, one way


class VirtualTimer:
    """A timer."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class VirtualConnection:
    """One end of a connection."""

    def __init__(self, machine: Machine, peer: Address) -> None:
        self.machine, self.peer, self.unsent = machine, peer, 0
        self.handler: Handler | None = None
        self.far: VirtualConnection | None = None
        self.life = machine.life
        self.up = self.gone = False
        self.early: list[bytes] = []
        self.arrives = 0.0  # when the last piece sent is there: pieces keep their order

    def send(self, data: bytes) -> None:
        if self.gone:
            return
        if not self.up:
            self.early.append(data)
            return
        self.machine.network.carry(self, partial(VirtualConnection.get, data=data))

    def get(self, data: bytes) -> None:
        if not self.gone and self.handler is not None:
            for at in range(0, len(data), 65536):
                if not self.gone:
                    self.handler.received(data[at : at + 65536])

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if not self.gone:
            self.machine.network.carry(self, VirtualConnection.reset)
            self.machine.after(0.0, partial(self.end, ""))

    def reset(self) -> None:
        self.end("reset")

    def end(self, why: str) -> None:
        if not self.gone:
            self.gone = True
            self.machine.wires.discard(self)
            if self.handler is not None:
                self.handler.closed(why)

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass

    def watch_end(self, call: Callable[[], None]) -> None:
        pass


class Disk:
    """Files; what a loss of power leaves of them."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.fail_at = 0  # the number of the operation that loses power, 0 for none
        self.torn = False  # a write that loses power leaves half of itself
        self.unnamed: set[str] = set()  # files made since the folder was synced
        self.count = 0


class PowerLostError(Exception):
    """The machine went off in the middle of a disk operation."""


class Machine:
    """One machine and the process on it: a `Host`."""

    def __init__(self, network: VirtualNetwork, ip: str, disk: Disk | None = None) -> None:
        self.network, self.ip = network, ip
        self.disk = disk or Disk()
        self.life = 0
        self.on = False
        self.frozen = False
        self.slow = 0.004  # s that each sync takes, on top of an operation's own time
        self.listening: dict[Address, Callable[[Connection], Handler]] = {}
        self.ears: dict[Address, Callable[[Address, bytes], None]] = {}
        self.wires: set[VirtualConnection] = set()
        self.lines: list[str] = []
        self.exited: int | None = None
        self.late: list[Callable[[], None]] = []
        self.busy = 0.0  # until then the process waits on its disk
        self.clock_step = 0.0  # s by which the time of day is wrong

    def now(self) -> float:
        return self.network.time

    def wall(self) -> float:
        return 1.7e9 + self.network.time + self.clock_step

    def after(self, seconds: float, call: Callable[[], None]) -> VirtualTimer:
        due = VirtualTimer(call)
        life = self.life

        def run() -> None:
            if self.on and self.life == life and due.call is not None:
                if self.network.time < self.busy:
                    self.network.at(self.busy, run)
                elif self.frozen:
                    self.late.append(run)
                else:
                    self.guard(due.call)

        late = self.network.rng.random() * 0.0002 if seconds else 0.0
        self.network.at(self.network.time + seconds + late, run)
        return due

    def guard(self, call: Callable[[], None]) -> None:
        try:
            call()
        except PowerLostError:
            self.off(power=True)

    def connect(
        self, to: Address, handler: Callable[[Connection], Handler], within: float = 1.0
    ) -> VirtualConnection:
        wire = VirtualConnection(self, to)
        wire.handler = handler(wire)
        self.wires.add(wire)
        self.after(within, lambda: None if wire.up else wire.end("timeout"))
        self.network.carry(wire, lambda _: self.network.arrive(wire, to), to[0])
        return wire

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        if at in self.listening:
            raise OSError("address in use")
        self.listening[at] = accept

    def unlisten(self, at: Address) -> None:
        self.listening.pop(at, None)

    def datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        self.ears[at] = received

    def send_datagram(self, to: Address, data: bytes) -> None:
        here, network = next(iter(self.ears)), self.network

        def get() -> None:
            far = network.machines.get(to[0])
            if far is not None and far.on and to in far.ears and not network.cut(self.ip, to[0]):
                far.after(0.0, lambda: far.ears[to](here, data))

        if network.rng.random() > 0.02:
            network.at(network.time + network.rng.uniform(*DELAY), get)

    def _spend(self) -> None:
        self.busy = max(self.busy, self.network.time) + self.slow

    def read(self, name: str) -> bytes | None:
        return self.disk.files.get(name)

    def write(self, name: str, data: bytes) -> None:
        self._spend()
        self.disk.count += 1
        if self.disk.count == self.disk.fail_at:
            if self.disk.torn:
                self.disk.files[name] = data[: len(data) // 2]
            raise PowerLostError
        if name not in self.disk.files:
            self.disk.unnamed.add(name)
        self.disk.files[name] = data

    def sync_names(self) -> None:
        self._spend()
        self.disk.unnamed.clear()

    def rename(self, name: str, to: str) -> None:
        self._spend()
        self.disk.count += 1
        if self.disk.count == self.disk.fail_at:
            if self.disk.torn:  # the name may have persisted
                self.disk.files[to] = self.disk.files.pop(name)
            raise PowerLostError
        self.disk.files[to] = self.disk.files.pop(name)
        self.disk.unnamed.clear()

    def remove(self, name: str) -> None:
        self.disk.count += 1
        if self.disk.count == self.disk.fail_at:
            if self.disk.torn:
                self.disk.files.pop(name, None)
            raise PowerLostError
        self.disk.files.pop(name, None)

    def names(self) -> list[str]:
        return list(self.disk.files)

    def random(self, size: int) -> bytes:
        return self.network.rng.randbytes(size)

    def log(self, line: str) -> None:
        self.lines.append(line)

    def exit(self, status: int) -> None:
        self.exited = status
        self.after(0.0, partial(self.off, power=False))

    def start(self, program: Callable[[Machine], object]) -> object:
        """Start a process."""
        self.life += 1
        self.on, self.frozen, self.late = True, False, []
        self.busy, self.exited = 0.0, None
        made: list[object] = []
        self.guard(lambda: made.append(program(self)))
        return made[0] if made else None

    def off(self, power: bool, names_lost: bool = False) -> None:
        """End the process: with the machine's power (connections fall silent) or alone (they are reset).

        `names_lost`: files that were made since the folder was synced are gone with the power.
        """
        self.on = False
        for name in self.disk.unnamed if power and names_lost else ():
            self.disk.files.pop(name, None)
        for wire in list(self.wires):
            if not power and wire.up and not wire.gone:
                self.network.carry(wire, VirtualConnection.reset)
            wire.gone = True
        self.wires.clear()
        self.listening.clear()
        self.ears.clear()

    def thaw(self) -> None:
        """Go on after a freeze: everything that was due, at once."""
        self.frozen = False
        late, self.late = self.late, []
        for call in late:
            self.network.at(self.network.time, call)


class VirtualNetwork:
    """Machines, the wires between them, and the time."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.time = 0.0
        self.serial = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.machines: dict[str, Machine] = {}
        self.cuts: set[tuple[str, str]] = set()  # one way each

    def machine(self, ip: str) -> Machine:
        """A new machine with an empty disk."""
        self.machines[ip] = made = Machine(self, ip)
        return made

    def cut(self, source: str, target: str) -> bool:
        """Whether nothing gets through this way."""
        return (source, target) in self.cuts

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Put an event."""
        self.serial += 1
        heappush(self.events, (when, self.serial, call))

    def carry(self, wire: VirtualConnection, what: Callable[[VirtualConnection], None], to: str = "") -> None:
        """Bring something to the far end; held up while there is a cut, in order."""
        source, target = wire.machine, to or wire.peer[0]
        wire.arrives = max(wire.arrives, self.time + self.rng.uniform(*DELAY))

        def arrive() -> None:
            if self.cut(source.ip, target) or (to and self.cut(target, source.ip)):
                if not wire.gone:
                    self.at(self.time + 0.1, arrive)
                return
            if to:
                what(wire)
                return
            far = wire.far
            if far is not None and far.machine.on and far.machine.life == far.life:
                far.machine.after(0.0, partial(what, far))

        self.at(wire.arrives, arrive)
        wire.arrives += 1e-7

    def arrive(self, wire: VirtualConnection, to: Address) -> None:
        """A connection is asked for at its far end."""
        far = self.machines.get(to[0])
        if wire.gone or far is None or not far.on:
            return
        accept = far.listening.get(to)
        if accept is None:
            wire.machine.after(0.002, partial(wire.end, "refused"))
            return
        other = VirtualConnection(far, (wire.machine.ip, 40000))
        other.far, wire.far, other.up = wire, other, True
        far.wires.add(other)
        other.handler = accept(other)
        wire.machine.after(0.002, partial(self._opened, wire))

    def _opened(self, wire: VirtualConnection) -> None:
        if wire.gone:
            return
        wire.up = True
        if wire.handler is not None:
            wire.handler.opened()
        for data in wire.early:
            wire.send(data)
        wire.early = []

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.events and self.events[0][0] <= until:
            when, _, call = heappop(self.events)
            self.time = max(self.time, when)
            call()
        self.time = until
