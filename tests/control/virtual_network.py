"""Machines, connections and disks in virtual time, with partitions and power failures."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from random import Random

from honeywharf.transport.host import Address, Connection, Handler

DELAY = (0.0005, 0.004)  # The range of the one-way delay in seconds.


class VirtualTimer:
    """A timer of the virtual network."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class VirtualConnection:
    """One end of a connection."""

    def __init__(self, machine: Machine, peer: Address) -> None:
        self.machine, self.peer, self.unsent = machine, peer, 0
        self.handler: Handler | None = None
        self.peer_end: VirtualConnection | None = None
        self.incarnation = machine.incarnation
        self.is_established = self.is_closed = False
        self.queued: list[bytes] = []
        self.arrives_at = 0.0  # The arrival time of the last data sent, which keeps the data in order.

    def send(self, data: bytes) -> None:
        if self.is_closed:
            return
        if not self.is_established:
            self.queued.append(data)
            return
        self.machine.network.carry(self, partial(VirtualConnection.get, data=data))

    def get(self, data: bytes) -> None:
        if not self.is_closed and self.handler is not None:
            for at in range(0, len(data), 65536):
                if not self.is_closed:
                    self.handler.received(data[at : at + 65536])

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if not self.is_closed:
            self.machine.network.carry(self, VirtualConnection.reset)
            self.machine.after(0.0, partial(self.end, ""))

    def reset(self) -> None:
        self.end("reset")

    def end(self, why: str) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.machine.connections.discard(self)
            if self.handler is not None:
                self.handler.closed(why)

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass

    def watch_half_close(self, call: Callable[[], None]) -> None:
        pass

    def tolerate_unread(self) -> None:
        pass

    def watch_delivery(self, call: Callable[[], None]) -> None:
        pass


class Disk:
    """The files of a machine, with failures of single operations."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.fail_at = 0  # The number of the operation during which the power fails; 0 for none.
        self.torn = False  # Whether a write during a power failure leaves half of the data.
        self.unsynced_names: set[str] = set()  # The files created since the directory was synced.
        self.count = 0


class PowerLostError(Exception):
    """The power failed during a disk operation."""


class Machine:
    """One machine and the process on it: a `Host`."""

    def __init__(self, network: VirtualNetwork, ip: str, disk: Disk | None = None) -> None:
        self.network, self.ip = network, ip
        self.disk = disk or Disk()
        self.incarnation = 0
        self.on = False
        self.frozen = False
        self.sync_s = 0.004  # The duration of each sync in seconds.
        self.listening: dict[Address, Callable[[Connection], Handler]] = {}
        self.datagram_handlers: dict[Address, Callable[[Address, bytes], None]] = {}
        self.connections: set[VirtualConnection] = set()
        self.lines: list[str] = []
        self.exited: int | None = None
        self.held_back: list[Callable[[], None]] = []
        self.busy_until = 0.0  # The time until which the process waits for its disk.
        self.clock_step = 0.0  # The error of the time of day in seconds.

    def now(self) -> float:
        return self.network.time

    def wall_time(self) -> float:
        return 1.7e9 + self.network.time + self.clock_step

    def after(self, seconds: float, call: Callable[[], None]) -> VirtualTimer:
        due = VirtualTimer(call)
        life = self.incarnation

        def run() -> None:
            if self.on and self.incarnation == life and due.call is not None:
                if self.network.time < self.busy_until:
                    self.network.at(self.busy_until, run)
                elif self.frozen:
                    self.held_back.append(run)
                else:
                    self.run_event(due.call)

        late = self.network.rng.random() * 0.0002 if seconds else 0.0
        self.network.at(self.network.time + seconds + late, run)
        return due

    def run_event(self, call: Callable[[], None]) -> None:
        try:
            call()
        except PowerLostError:
            self.off(power=True)

    def connect(
        self, to: Address, handler: Callable[[Connection], Handler], within: float = 1.0
    ) -> VirtualConnection:
        connection = VirtualConnection(self, to)
        connection.handler = handler(connection)
        self.connections.add(connection)
        self.after(within, lambda: None if connection.is_established else connection.end("timeout"))
        self.network.carry(connection, lambda _: self.network.arrive(connection, to), to[0])
        return connection

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        if at in self.listening:
            raise OSError("address in use")
        self.listening[at] = accept

    def stop_listening(self, at: Address) -> None:
        self.listening.pop(at, None)

    def listen_datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        self.datagram_handlers[at] = received

    def send_datagram(self, to: Address, data: bytes) -> None:
        here, network = next(iter(self.datagram_handlers)), self.network

        def get() -> None:
            far = network.machines.get(to[0])
            if far is not None and far.on and to in far.datagram_handlers and not network.cut(self.ip, to[0]):
                far.after(0.0, lambda: far.datagram_handlers[to](here, data))

        if network.rng.random() > 0.02:
            network.at(network.time + network.rng.uniform(*DELAY), get)

    def _spend(self) -> None:
        self.busy_until = max(self.busy_until, self.network.time) + self.sync_s

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
            self.disk.unsynced_names.add(name)
        self.disk.files[name] = data

    def sync_names(self) -> None:
        self._spend()
        self.disk.unsynced_names.clear()

    def rename(self, name: str, to: str) -> None:
        self._spend()
        self.disk.count += 1
        if self.disk.count == self.disk.fail_at:
            if self.disk.torn:  # The rename may have persisted.
                self.disk.files[to] = self.disk.files.pop(name)
            raise PowerLostError
        self.disk.files[to] = self.disk.files.pop(name)
        self.disk.unsynced_names.clear()

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
        """Starts a process."""
        self.incarnation += 1
        self.on, self.frozen, self.held_back = True, False, []
        self.busy_until, self.exited = 0.0, None
        made: list[object] = []
        self.run_event(lambda: made.append(program(self)))
        return made[0] if made else None

    def off(self, power: bool, names_lost: bool = False) -> None:
        """Ends the process: with a power failure its connections fall silent, else they are reset.

        With `names_lost` a power failure also loses the files created since the directory was synced.
        """
        self.on = False
        for name in self.disk.unsynced_names if power and names_lost else ():
            self.disk.files.pop(name, None)
        for connection in list(self.connections):
            if not power and connection.is_established and not connection.is_closed:
                self.network.carry(connection, VirtualConnection.reset)
            connection.is_closed = True
        self.connections.clear()
        self.listening.clear()
        self.datagram_handlers.clear()

    def unfreeze(self) -> None:
        """Ends a freeze: everything that was due runs at once."""
        self.frozen = False
        calls, self.held_back = self.held_back, []
        for call in calls:
            self.network.at(self.network.time, call)


class VirtualNetwork:
    """The machines, the connections between them, and the time."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.time = 0.0
        self.serial = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.machines: dict[str, Machine] = {}
        self.cuts: set[tuple[str, str]] = set()  # Each cut has one direction: (source, target).

    def machine(self, ip: str) -> Machine:
        """Adds a machine with an empty disk."""
        self.machines[ip] = made = Machine(self, ip)
        return made

    def cut(self, source: str, target: str) -> bool:
        """Returns whether messages from source to target are lost."""
        return (source, target) in self.cuts

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedules an event."""
        self.serial += 1
        heappush(self.events, (when, self.serial, call))

    def carry(
        self, connection: VirtualConnection, what: Callable[[VirtualConnection], None], to: str = ""
    ) -> None:
        """Delivers an event to the other end, in order; it is delayed during a cut."""
        source, target = connection.machine, to or connection.peer[0]
        connection.arrives_at = max(connection.arrives_at, self.time + self.rng.uniform(*DELAY))

        def arrive() -> None:
            if self.cut(source.ip, target) or (to and self.cut(target, source.ip)):
                if not connection.is_closed:
                    self.at(self.time + 0.1, arrive)
                return
            if to:
                what(connection)
                return
            far = connection.peer_end
            if far is not None and far.machine.on and far.machine.incarnation == far.incarnation:
                far.machine.after(0.0, partial(what, far))

        self.at(connection.arrives_at, arrive)
        connection.arrives_at += 1e-7

    def arrive(self, connection: VirtualConnection, to: Address) -> None:
        """Handles a connection request at its target."""
        far = self.machines.get(to[0])
        if connection.is_closed or far is None or not far.on:
            return
        accept = far.listening.get(to)
        if accept is None:
            connection.machine.after(0.002, partial(connection.end, "refused"))
            return
        other = VirtualConnection(far, (connection.machine.ip, 40000))
        other.peer_end, connection.peer_end, other.is_established = connection, other, True
        far.connections.add(other)
        other.handler = accept(other)
        connection.machine.after(0.002, partial(self._opened, connection))

    def _opened(self, connection: VirtualConnection) -> None:
        if connection.is_closed:
            return
        connection.is_established = True
        if connection.handler is not None:
            connection.handler.opened()
        for data in connection.queued:
            connection.send(data)
        connection.queued = []

    def run(self, until: float) -> None:
        """Lets time pass."""
        while self.events and self.events[0][0] <= until:
            when, _, call = heappop(self.events)
            self.time = max(self.time, when)
            call()
        self.time = until
