"""Machines, processes and the network between them: `transport/host.py` in virtual time.

Theory of operation. A `Process` is the `Host` of one program. All calls into it go through `Process.call`:
they wait while it is frozen or blocked by its disk, and are dropped when it has died. A disk operation moves
the process's own clock on; what it sends afterwards leaves only then, and not at all if it dies before.

A connection is two `End`s. What flies from one to the other is bytes, acknowledgements of bytes *read*
(numbers), and the marks below, in order. At most `WINDOW` bytes are unread or on the way: the rest is held
by the sender (`unsent`). Where the path is cut or the far side has no power, what arrives is stuck with its
sender until the path is whole; a peer silent for `SILENT` seconds is lost (`closed("timeout")`), as
keep-alive probes and `TCP_USER_TIMEOUT` would tell. A reset drops what is unread at both ends.
"""

from __future__ import annotations

import errno
import os
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from honeywharf.simulation.disk import Disk
from honeywharf.simulation.world import Event, World

if TYPE_CHECKING:
    from honeywharf.transport.host import Address, Connection, Handler

WINDOW = 65_536  # bytes unread or on the way, each direction
PIECE = 16_384  # bytes of one delivery at most
SILENT = 3.0  # seconds without a sign of the peer until a connection is lost
BACKLOG = 512  # connections that a process has not taken yet; further opening packets are dropped
DATAGRAM = 1_400  # bytes
EARS = 256  # datagrams that wait for a process; further ones are lost
LINES = 2_000  # log lines kept of a process
UP, END, RESET = "up", "end", "reset"  # marks


class Dead(BaseException):
    """The process died within a call (a crash at a disk operation)."""


class Network:
    """Who hears whom, and how late."""

    def __init__(
        self, world: World, in_zone: float = 2e-4, cross: float = 1.4e-3, loss: float = 2e-3
    ) -> None:
        self.world, self.in_zone, self.cross, self.loss = world, in_zone, cross, loss
        self.window = WINDOW  # bytes unread or on the way, each direction of a connection
        self.machines: dict[str, Machine] = {}
        self.between: dict[tuple[str, str], int] = {}  # bytes sent, by (zone, zone)
        self._cuts: dict[tuple[str, str], int] = {}
        self._ends: dict[End, None] = {}

    def delay(self, a: Machine, b: Machine) -> float:
        """Seconds from machine to machine, a little different each time."""
        base = 0.00005 if a is b else self.in_zone if a.zone == b.zone else self.cross
        return base * (1 + 0.2 * self.world.random.random())

    def cut(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Let nothing pass from the first to the second address of each pair; cuts add up."""
        for pair in pairs:
            self._cuts[pair] = self._cuts.get(pair, 0) + 1
        self.silence()

    def join(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Take back one cut of each pair."""
        for pair in pairs:
            self._cuts[pair] -= 1
            if not self._cuts[pair]:
                del self._cuts[pair]
        self.heal()

    def blocked(self, a: Machine, b: Machine) -> bool:
        """Whether nothing arrives at `b` from `a` now."""
        return not b.power or (bool(self._cuts) and (a.ip, b.ip) in self._cuts)

    def silence(self) -> None:
        """Something went silent: whoever still waits for it in `SILENT` seconds gives up."""
        for end in list(self._ends):
            end.watch()

    def heal(self) -> None:
        """Something can be heard again: what is stuck is sent once more, after a moment."""
        for end in list(self._ends):
            if end.quiet is not None and not end.silent():
                end.quiet.cancel()
                end.quiet = None
            self.world.at(self.world.now + self.world.random.uniform(0.05, 0.5), end.again)

    def add(self, end: End) -> None:
        """Keep a live end."""
        self._ends[end] = None

    def forget(self, end: End) -> None:
        """An end is gone."""
        self._ends.pop(end, None)


class End:
    """One end of a connection (`host.Connection`). Programs see the methods that the interface names."""

    __slots__ = (
        "end_watcher",
        "finished",
        "flying",
        "handler",
        "held",
        "inbox",
        "last",
        "life",
        "other",
        "paused",
        "peer",
        "process",
        "quiet",
        "short",
        "state",
        "stuck",
        "unsent",
    )

    def __init__(self, process: Process, peer: Address, state: str) -> None:
        self.process, self.peer, self.state, self.life = process, peer, state, process.life
        self.other: End | None = None
        self.handler: Handler | None = None
        self.unsent = self.flying = 0
        self.held: deque[bytes] = deque()
        self.inbox: deque[bytes | str] = deque()
        self.stuck: list[bytes | int | str] = []
        self.paused = self.short = False
        self.finished = 0  # 1 when nothing more is to be sent, 2 when the far side has been told
        self.last = 0.0
        self.quiet: Event | None = None
        self.end_watcher: Callable[[], None] | None = None
        process.machine.network.add(self)
        process.ends[self] = None

    # What programs call.

    def send(self, data: bytes) -> None:
        """Send, later if need be."""
        if self.state in ("closed", "closing") or self.finished or not data:
            return
        self.held.append(bytes(data))
        self.unsent += len(data)
        self.process.out(self._pump)

    def finish(self) -> None:
        """Send nothing more, and read on (half close; only those outside the mesh do it)."""
        self.finished = 1
        self.process.out(self._pump)

    def close(self) -> None:
        """Send what is held, then close."""
        if self.state == "opening":
            self.abort()
        elif self.state == "open":
            self.state = "closing"
            self.process.out(self._pump)

    def abort(self) -> None:
        """Close at once and drop what is held."""
        if self.state != "closed":
            self.state = "closing"
            self._drop()
            self.stuck.clear()
            self.process.out(self._reset_and_go)

    def pause(self) -> None:
        """Read nothing more."""
        self.paused = True

    def resume(self) -> None:
        """Read again."""
        if self.paused:
            self.paused = False
            self.process.world.at(self.process.now_here(), self.process.call, self.life, self._read)

    def watch_end(self, call: Callable[[], None]) -> None:
        """Call once if the far side ends its bytes while reading is paused."""
        self.end_watcher = call
        self.process.world.at(self.process.now_here(), self.process.call, self.life, self._show_end)

    # What the network does.

    def _show_end(self) -> None:
        """Tell who watches that the end has come and is not read."""
        if self.paused and self.state == "open" and self.end_watcher is not None and END in self.inbox:
            call, self.end_watcher = self.end_watcher, None
            call()

    def silent(self) -> bool:
        """Whether the far side gives no sign of life now."""
        if self.other is None:
            return False
        here, there = self.process.machine, self.other.process
        network = here.network
        return here is not there.machine and (
            there.frozen or network.blocked(here, there.machine) or network.blocked(there.machine, here)
        )

    def watch(self) -> None:
        """Give up in `SILENT` seconds, if the far side stays silent until then."""
        if self.quiet is None and self.silent():
            world = self.process.world
            self.quiet = world.at(world.now + SILENT, self.give_up)

    def give_up(self) -> None:
        """The far side was silent all the time."""
        self.quiet = None
        if self.silent():
            self.process.call(self.life, self.gone, "timeout")

    def again(self) -> None:
        """Send again what was stuck; a machine that came back without the connection resets it."""
        stuck, self.stuck = self.stuck, []
        for item in stuck:
            self._arrive(item)
        if self.state in ("closed", "lost"):
            self._leave()
        elif self.other is not None and self.other.state == "lost" and not self.silent():
            self.take(RESET)

    def reset_both_ends(self) -> None:
        """Something on the way resets the connection: both ends are told, what was under way is lost."""
        for end in (self, self.other):
            if end is not None:
                end.stuck.clear()
                end.take(RESET)

    def vanish(self) -> None:
        """The power went: nobody is told."""
        self.state = "lost"
        self._drop()
        self.inbox.clear()
        self.stuck.clear()
        self._leave()

    def die(self) -> None:
        """The process ended: its kernel closes, with a reset where bytes were unread."""
        self._drop()
        if self.state in ("open", "closing") and self.other is not None:
            self._fly(RESET if self._unread() else END)
        self.state = "closed"
        self._leave()

    def gone(self, why: str) -> None:
        """Tell the program, once."""
        if self.state not in ("closed", "lost"):
            self.state = "lost" if why == "timeout" else "closed"
            self._drop()
            self.inbox.clear()
            self._leave()
            self.process.world.note(self.process.name, "closed", self.peer[1], why)
            if self.handler is not None:
                self.handler.closed(why)

    def _leave(self) -> None:
        if self.quiet is not None:
            self.quiet.cancel()
        self.process.ends.pop(self, None)
        if not self.stuck:  # else its last words may still be heard
            self.process.machine.network.forget(self)

    def _unread(self) -> bool:
        return any(isinstance(item, bytes) for item in self.inbox)

    def _drop(self) -> None:
        self.held.clear()
        self.unsent = 0

    def _reset_and_go(self) -> None:
        if self.other is not None:
            self._fly(RESET)
        self._go()

    def _go(self) -> None:
        self.process.world.at(self.process.world.now, self.process.call, self.life, self.gone, "")

    def _pump(self) -> None:
        """Put on the wire what the window takes; tell when the last that was held has gone."""
        if self.state not in ("open", "closing") or self.process.frozen or self.other is None:
            return
        window = self.process.machine.network.window
        while self.held and self.flying < window:
            room, data = min(PIECE, window - self.flying), self.held.popleft()
            if len(data) > room:
                self.held.appendleft(data[room:])
                data = data[:room]
            self.flying += len(data)
            self.unsent -= len(data)
            self._fly(data)
        if self.held:
            self.short = True
            return
        if self.state == "closing":
            self._tell_closed()
            self._go()
        elif self.finished == 1:
            self.finished = 2
            self._fly(END)
        elif self.short:
            self.short = False
            if self.handler is not None:
                self.process.call(self.life, self.handler.drained)

    def _tell_closed(self) -> None:
        """The last on the wire: a reset where bytes are unread, nothing where the end was told before."""
        if self._unread():
            self._fly(RESET)
        elif self.finished != 2:
            self._fly(END)

    def _fly(self, item: bytes | int | str) -> None:
        assert self.other is not None
        here, there = self.process.machine, self.other.process.machine
        size = len(item) + 60 if isinstance(item, bytes) else 60
        self.last = max(self.last + 1e-9, here.depart(size, there) + here.network.delay(here, there))
        self.process.world.at(self.last, self._arrive, item)

    def _arrive(self, item: bytes | int | str) -> None:
        """At the far side, or stuck."""
        assert self.other is not None
        here, there = self.process.machine, self.other.process.machine
        if self.state == "lost" and here.network.blocked(here, there):
            return
        if self.stuck or here.network.blocked(here, there):
            self.stuck.append(item)
            here.network.add(self)
            self.watch()
            self.other.watch()
        elif self.other.state in ("closed", "lost"):
            if (isinstance(item, bytes) or item == UP) and not here.network.blocked(there, here):
                world = self.process.world
                world.at(world.now + here.network.delay(there, here), self.take, RESET)
        else:
            self.other.take(item)

    def take(self, item: bytes | int | str) -> None:
        """Something arrived here."""
        if isinstance(item, int):
            self.flying -= item
            self.process.call(self.life, self._pump)
        elif item == RESET:
            self.inbox.clear()
            self.process.call(self.life, self.gone, "refused" if self.state == "opening" else RESET)
        elif item == UP:
            self.process.call(self.life, self._up)
        else:
            self.inbox.append(item)
            self.process.call(self.life, self._read)
            self.process.call(self.life, self._show_end)

    def _up(self) -> None:
        if self.state == "opening":
            self.state = "open"
            if self.handler is not None:
                self.handler.opened()
            self._pump()
        else:
            self._fly(RESET)  # it was given up before

    def _read(self) -> None:
        while self.inbox and not self.paused and self.handler and self.state in ("open", "closing"):
            item = self.inbox.popleft()
            if isinstance(item, bytes):
                self._fly(len(item))
                self.process.world.note(self.process.name, "read", len(item), self.peer[1])
            if self.state == "closing":
                continue  # read and dropped while the last bytes go
            if isinstance(item, bytes):
                self.handler.received(item)
            else:
                self.handler.ended()


class Machine:
    """A box with an address, a link, power, and maybe a disk."""

    def __init__(
        self, network: Network, ip: str, zone: str, disk: Disk | None = None, mbps: float = 1e3
    ) -> None:
        self.network, self.ip, self.zone, self.disk, self.per_byte = network, ip, zone, disk, 8e-6 / mbps
        self.power = True
        self.processes: list[Process] = []
        self.listeners: dict[int, tuple[Process, Callable[[Connection], Handler]]] = {}
        self.ears: dict[int, tuple[Process, Callable[[Address, bytes], None]]] = {}
        self.free = 0.0  # when the link has sent all that it was given
        self.skew = network.world.random.uniform(-0.05, 0.05)
        self.steady = network.world.random.uniform(100.0, 1000.0)
        self.ports = 32_768
        network.machines[ip] = self

    def depart(self, size: int, to: Machine) -> float:
        """When so many bytes have left for another machine."""
        now = self.network.world.now
        if to is self:
            return now
        key = (self.zone, to.zone)
        self.network.between[key] = self.network.between.get(key, 0) + size
        self.free = max(now, self.free) + size * self.per_byte
        return self.free

    def power_off(self) -> None:
        """All at once: connections go silent, writes that were not synced are as luck has it."""
        self.power = False
        for process in self.processes:
            process.end(quiet=True)
        if self.disk is not None:
            self.disk.stop(self.network.world.now, True, self.network.world.random)
        self.network.silence()

    def power_on(self) -> None:
        """The power is back; processes start again after their delay."""
        self.power = True
        self.network.heal()
        for process in self.processes:
            process.again()


class Process:
    """One process of a machine: the `Host` of one program. `make` builds the program at each start."""

    def __init__(
        self, machine: Machine, name: str, make: Callable[[Process], object], back: float = 0.3
    ) -> None:
        self.machine, self.name, self.make, self.back = machine, name, make, back
        self.world, self.life = machine.network.world, 0
        self.alive, self.frozen, self.kept = False, False, True
        self.program: object = None
        self.busy = 0.0  # its disk has it until then
        self.ends: dict[End, None] = {}
        self.waiting: deque[tuple[int, Callable[..., None], tuple[Any, ...]]] = deque()
        self.lines: deque[str] = deque(maxlen=LINES)
        self.signals: dict[int, Callable[[], None]] = {}
        self.mouth: Address | None = None
        self.status: int | None = None
        self.deaf = 0
        machine.processes.append(self)

    # Its life.

    def start(self) -> None:
        """Start the program, where it does not run and there is power."""
        if not self.alive and self.machine.power and self.kept:
            self.life += 1
            self.alive, self.frozen, self.status, self.busy = True, False, None, self.world.now
            self.world.tell(self.name, "starts")
            self.call(self.life, self._make)

    def _make(self) -> None:
        self.program = self.make(self)

    def again(self) -> None:
        """Start again after the delay of a restart."""
        self.world.at(self.world.now + self.back, self.start)

    def end(self, quiet: bool = False) -> None:
        """The process is gone: by a kill, by itself or (quiet) with the power."""
        if not self.alive:
            return
        self.alive, self.frozen, self.program = False, False, None
        self.world.tell(self.name, "ends")
        self.waiting.clear()
        self.signals.clear()
        for table in (self.machine.listeners, self.machine.ears):
            for port in [port for port, (process, _) in table.items() if process is self]:
                del table[port]
        for end in list(self.ends):
            end.vanish() if quiet else end.die()
        if not quiet and self.machine.disk is not None:
            self.machine.disk.stop(self.world.now, False, self.world.random)

    def kill(self) -> None:
        """SIGKILL; it starts again by itself."""
        if self.alive:
            self.end()
            self.again()

    def signal(self, number: int) -> None:
        """A signal; without somebody who takes it, the process ends."""
        if self.alive and number in self.signals:
            self.call(self.life, self.signals[number])
        else:
            self.kill()

    def freeze(self) -> None:
        """Stand still: no event, no timer, nothing sent."""
        self.frozen = True
        self.machine.network.silence()

    def thaw(self) -> None:
        """Go on: all that was due is done at once."""
        if self.frozen:
            self.frozen = False
            self._go_on()
            for end in list(self.ends):
                self.call(self.life, end._pump)
            self.machine.network.heal()

    # Calls into the program.

    def call(self, life: int, do: Callable[..., None], *args: Any) -> None:
        """Do a thing within the process, in order, when it runs; nothing if that life of it is over."""
        if not self.alive or life != self.life:
            return
        if self.frozen or self.waiting or self.world.now < self.busy:
            self.waiting.append((life, do, args))
            if len(self.waiting) == 1 and not self.frozen:
                self.world.at(self.busy, self._go_on)
        else:
            self._do(do, args)

    def _go_on(self) -> None:
        while self.waiting and not self.frozen:
            if self.world.now < self.busy:
                self.world.at(self.busy, self._go_on)
                return
            _, do, args = self.waiting.popleft()
            self._do(do, args)

    def _do(self, do: Callable[..., None], args: tuple[Any, ...]) -> None:
        try:
            do(*args)
        except Dead:
            return
        except Exception:
            self.world.crashed(self.name, traceback.format_exc(limit=-4))
            self.status = 1
        if self.status is not None and self.alive:
            self.world.at(self.now_here(), self._exited, self.life)

    def _exited(self, life: int) -> None:
        if life == self.life:
            self.kill()

    def now_here(self) -> float:
        """Virtual time as the process has it, after what its disk took."""
        now, busy = self.world.now, self.busy
        return busy if busy > now else now

    def out(self, do: Callable[[], None]) -> None:
        """Let something out of the process: now, or when its disk lets it go on, if it lives then."""
        here = self.now_here()
        if here <= self.world.now:
            do()
        else:
            life = self.life
            self.world.at(here, lambda: do() if self.alive and life == self.life else None)

    # The interface of a machine.

    def now(self) -> float:
        """Seconds on the steady clock."""
        return self.machine.steady + self.now_here()

    def wall(self) -> float:
        """Seconds of the time of day."""
        return 1.7e9 + self.machine.skew + self.now_here()

    def after(self, seconds: float, call: Callable[[], None]) -> Event:
        """Call once, so much later and a little more."""
        late = self.world.random.uniform(0.00005, 0.001)
        timer = Event(call)
        self.world.at(self.now_here() + max(0.0, seconds) + late, self.call, self.life, _fire, timer)
        return timer

    def connect(self, to: Address, handler: Callable[[Connection], Handler], within: float = 1.0) -> End:
        """Ask for a connection."""
        end = End(self, to, "opening")
        end.handler = handler(end)
        self.out(lambda: self._knock(end, 1.0))
        self.after(within, lambda: end.gone("timeout") if end.state == "opening" else None)
        return end

    def _knock(self, end: End, pause: float) -> None:
        """Send the opening packet, again and again while nobody hears it."""
        there = self.machine.network.machines.get(end.peer[0])
        if end.state != "opening" or self.frozen:
            return
        if there is None or self.machine.network.blocked(self.machine, there):
            self.world.at(self.world.now + pause, self._knock, end, 2 * pause)
            return
        arrival = self.machine.depart(60, there) + self.machine.network.delay(self.machine, there)
        self.world.at(arrival, self._answer, end, there)

    def _answer(self, end: End, there: Machine) -> None:
        network = self.machine.network
        if network.blocked(self.machine, there):
            return
        listener = there.listeners.get(end.peer[1])
        if listener is None:
            if not network.blocked(there, self.machine):
                self.world.at(self.world.now + network.delay(there, self.machine), end.take, RESET)
            return
        process, accept = listener
        if process.frozen:
            self.world.at(self.world.now + 1.0, self._knock, end, 2.0)
            return
        if sum(1 for _, do, _ in process.waiting if do == process.taken) < BACKLOG:
            self.machine.ports = self.machine.ports + 1 if self.machine.ports < 60_999 else 32_768
            far = End(process, (self.machine.ip, self.machine.ports), "open")
            far.other, end.other = end, far
            far._fly(UP)
            process.call(process.life, process.taken, far, accept)

    def taken(self, far: End, accept: Callable[[Connection], Handler]) -> None:
        """A connection of the queue is taken by the program."""
        far.handler = accept(far)
        far._read()

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Take connections."""
        if at[1] in self.machine.listeners or at[0] != self.machine.ip:
            raise OSError(f"address in use or not of this machine: {at}")
        self.machine.listeners[at[1]] = (self, accept)

    def unlisten(self, at: Address) -> None:
        """Take no further ones."""
        self.machine.listeners.pop(at[1], None)

    def datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        """Take datagrams."""
        if at[1] in self.machine.ears or at[0] != self.machine.ip:
            raise OSError(f"address in use or not of this machine: {at}")
        self.machine.ears[at[1]] = (self, received)
        self.mouth = at

    def send_datagram(self, to: Address, data: bytes) -> None:
        """Send; it may be lost, late, or overtaken."""
        if len(data) > DATAGRAM:
            raise ValueError(f"found a datagram of {len(data)} bytes, wanted at most {DATAGRAM}")
        mouth = self.mouth or (self.machine.ip, 0)
        self.out(lambda: self._throw(to, mouth, bytes(data)))

    def _throw(self, to: Address, mouth: Address, data: bytes) -> None:
        network, there = self.machine.network, self.machine.network.machines.get(to[0])
        if there is not None:
            arrival = self.machine.depart(len(data) + 28, there) + network.delay(self.machine, there)
            if self.world.random.random() >= network.loss:
                late = 0.004 if self.world.random.random() < 0.02 else 0.0
                self.world.at(arrival + late, self._land, there, to[1], mouth, data)

    def _land(self, there: Machine, port: int, mouth: Address, data: bytes) -> None:
        ear = there.ears.get(port)
        if ear is not None and not self.machine.network.blocked(self.machine, there):
            if len(ear[0].waiting) < EARS:
                ear[0].call(ear[0].life, ear[1], mouth, data)
            else:
                ear[0].deaf += 1

    def _disk(self) -> Disk:
        if self.machine.disk is None:
            raise OSError("no disk on this machine")
        return self.machine.disk

    def _operate(self, kind: str, name: str, data: bytes = b"", to: str = "") -> None:
        disk = self._disk()
        if disk.full and kind == "write":
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC), name)
        disk.operations += 1
        crash = disk.crash_at if disk.crash_at is not None and disk.crash_at[0] == disk.operations else None
        here = self.now_here()
        disk.settle(self.world.now)
        if crash is None or crash[1] != "before":
            self.busy = disk.do(kind, name, here, data, to)
        if crash is not None:
            when = self.busy if crash[1] == "after" else here
            disk.crash_at, self.busy = None, float("inf")
            self.world.at(when, self.machine.power_off)  # after all that it had sent before
            raise Dead

    def read(self, name: str) -> bytes | None:
        """A file's bytes."""
        return self._disk().files.get(name)

    def write(self, name: str, data: bytes) -> None:
        """Write a file whole and sync it."""
        self._operate("write", name, bytes(data))

    def sync_names(self) -> None:
        """Sync the folder."""
        self._operate("sync", "")

    def rename(self, name: str, to: str) -> None:
        """Give a file another name, and sync the folder."""
        if name not in self._disk().files:
            raise FileNotFoundError(name)
        self._operate("rename", name, to=to)

    def remove(self, name: str) -> None:
        """Remove a file if it is there."""
        if name in self._disk().files:
            self._operate("remove", name)

    def names(self) -> list[str]:
        """All files."""
        return sorted(self._disk().files)

    def random(self, size: int) -> bytes:
        """Random bytes, by the seed of the world."""
        return self.world.random.randbytes(size)

    def log(self, line: str) -> None:
        """Keep a line."""
        self.lines.append(f"{self.world.now:.3f} {line}")

    def exit(self, status: int) -> None:
        """End the process after this call."""
        self.status = status

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Call when the process is sent a signal."""
        self.signals[number] = call

    def soon(self, call: Callable[[], None]) -> None:
        """Call when what is under way has returned."""
        self.world.at(self.now_here(), self.call, self.life, call)


def _fire(timer: Event) -> None:
    call, timer.call = timer.call, None
    if call is not None:
        call()
