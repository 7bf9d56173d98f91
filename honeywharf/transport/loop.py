"""A machine carried out with sockets: one thread, one `epoll`, timers in a heap.

Theory of operation. `run` waits for the next timer or the next ready descriptor, and calls what is due. A
connection that has bytes unsent asks to be told when it is writable, one that is paused asks for nothing to
read. A silent peer is noticed by `TCP_USER_TIMEOUT` while bytes are out, and by keep-alive probes while none
are. Source of the options: tcp(7). The interface and its promises are in `host`.
"""

from __future__ import annotations

import os
import select
import signal
import socket
import sys
import time
from errno import EINPROGRESS
from heapq import heappop, heappush

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.transport.host import Address, Connection, Handler

READ = 64 * 1024  # bytes of one read
ROUNDS = 4  # reads of one connection before others have their turn
BACKLOG = 512
SILENT_MS = 3000  # a peer that acknowledges nothing for so long is lost
PROBE_S = 1  # between keep-alive probes of a connection that says nothing
MAX_DATAGRAMS = 64  # read before others have their turn

_IN, _OUT = select.EPOLLIN, select.EPOLLOUT
_GONE = select.EPOLLHUP | select.EPOLLERR


class LoopTimer:
    """A call that is due; `call` is None once it is cancelled or made."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Do not call."""
        self.call = None


class Wire:
    """One TCP connection of a loop (`host.Connection`)."""

    __slots__ = (
        "closing",
        "connecting",
        "due",
        "ended",
        "handler",
        "held",
        "loop",
        "mask",
        "paused",
        "peer",
        "sock",
        "unsent",
    )

    def __init__(self, loop: Loop, sock: socket.socket, peer: Address, connecting: bool) -> None:
        self.loop, self.sock, self.peer, self.connecting = loop, sock, peer, connecting
        self.handler: Handler | None = None
        self.held: list[bytes | memoryview] = []
        self.unsent = 0
        self.closing = self.paused = self.ended = False
        self.mask = 0
        self.due: LoopTimer | None = None

    def send(self, data: bytes) -> None:
        """Send, later if need be."""
        if self.closing or (self.handler is None and not self.connecting):
            return
        if not self.held and not self.connecting:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError as fault:
                self.loop.lose(self, fault)
                return
            if sent == len(data):
                return
            self.held.append(memoryview(data)[sent:] if sent else data)
            self.unsent += len(data) - sent
        else:
            self.held.append(data)
            self.unsent += len(data)
        self.loop.watch(self)

    def close(self) -> None:
        """Send what is held, then close."""
        if self.closing:
            return
        self.closing = True
        if not self.held:
            self.loop.soon(self._shut)

    def abort(self) -> None:
        """Close at once and drop what is held."""
        self.closing = True
        self.held.clear()
        self.unsent = 0
        self.loop.soon(self._shut)

    def _shut(self) -> None:
        self.loop.drop(self, "")

    def pause(self) -> None:
        """Read nothing more."""
        if not self.paused:
            self.paused = True
            self.loop.watch(self)

    def resume(self) -> None:
        """Read again."""
        if self.paused:
            self.paused = False
            self.loop.watch(self)


class Loop:
    """A `host.Host` on sockets. `directory`: the disk's folder; None where there is no disk."""

    def __init__(self, directory: str | None = None) -> None:
        self.directory = directory
        self.epoll = select.epoll()
        self.wires: dict[int, Wire] = {}
        self.listeners: dict[int, tuple[socket.socket, Address, Callable[[Connection], Handler]]] = {}
        self.ears: dict[int, tuple[socket.socket, Callable[[Address, bytes], None]]] = {}
        self.mouth: socket.socket | None = None
        self.timers: list[tuple[float, int, LoopTimer]] = []
        self.serial = 0
        self.ready: list[Callable[[], None]] = []
        self.status: int | None = None
        self.signals: dict[int, Callable[[], None]] = {}
        self.woken, self.waker = -1, -1
        self.turns = self.faults = 0

    # Clocks and timers.

    def now(self) -> float:
        """Seconds on the steady clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Seconds of the time of day."""
        return time.time()

    def after(self, seconds: float, call: Callable[[], None]) -> LoopTimer:
        """Call once, so much later."""
        timer = LoopTimer(call)
        self.serial += 1
        heappush(self.timers, (time.monotonic() + seconds, self.serial, timer))
        return timer

    def soon(self, call: Callable[[], None]) -> None:
        """Call when what is under way has returned."""
        self.ready.append(call)

    # Connections.

    def connect(self, to: Address, handler: Callable[[Connection], Handler], within: float = 1.0) -> Wire:
        """Ask for a connection."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        wire = Wire(self, sock, to, connecting=True)
        self._tune(sock)
        wire.handler = handler(wire)
        found = sock.connect_ex(to)
        if found not in (0, EINPROGRESS):
            self.soon(lambda: self.drop(wire, "refused"))
            return wire
        wire.due = self.after(within, lambda: self.drop(wire, "timeout") if wire.connecting else None)
        self._enter(wire)
        return wire

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Take connections."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(at)
        sock.listen(BACKLOG)
        self.listeners[sock.fileno()] = (sock, at, accept)
        self.epoll.register(sock.fileno(), _IN)

    def unlisten(self, at: Address) -> None:
        """Take no further ones."""
        for number, (sock, where, _) in list(self.listeners.items()):
            if where == at:
                self.epoll.unregister(number)
                del self.listeners[number]
                sock.close()

    def datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        """Take datagrams at an address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(at)
        self.ears[sock.fileno()] = (sock, received)
        self.mouth = sock
        self.epoll.register(sock.fileno(), _IN)

    def send_datagram(self, to: Address, data: bytes) -> None:
        """Send; lost where that fails."""
        if self.mouth is not None:
            try:
                self.mouth.sendto(data, to)
            except OSError:
                return  # a full queue, or nobody there: as if it had been lost on the way

    @staticmethod
    def _tune(sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)

    def _enter(self, wire: Wire) -> None:
        self.wires[wire.sock.fileno()] = wire
        wire.mask = _OUT if wire.connecting else _IN
        self.epoll.register(wire.sock.fileno(), wire.mask)

    def watch(self, wire: Wire) -> None:
        """Ask for what the connection waits for."""
        if wire.sock.fileno() not in self.wires:
            return
        wanted = 0 if wire.paused or wire.ended or wire.connecting else _IN
        if wire.held or wire.connecting:
            wanted |= _OUT
        if wanted != wire.mask:
            wire.mask = wanted
            self.epoll.modify(wire.sock.fileno(), wanted)

    def lose(self, wire: Wire, fault: OSError) -> None:
        """The connection broke off: told later, not from within a call of its user's."""
        why = "timeout" if isinstance(fault, TimeoutError) else "reset"
        wire.held.clear()
        wire.unsent = 0
        self.soon(lambda: self.drop(wire, why))

    def drop(self, wire: Wire, why: str) -> None:
        """Close the socket and tell, once."""
        handler, wire.handler = wire.handler, None
        if handler is None:
            return
        wire.closing, wire.connecting = True, False
        wire.held.clear()
        wire.unsent = 0
        if wire.due is not None:
            wire.due.cancel()
        number = wire.sock.fileno()
        if self.wires.get(number) is wire:
            del self.wires[number]
            self.epoll.unregister(number)
        wire.sock.close()
        handler.closed(why)

    def _accepted(self, number: int) -> None:
        listener = self.listeners.get(number)
        for _ in range(BACKLOG):
            if listener is None:
                return
            try:
                sock, peer = listener[0].accept()
            except BlockingIOError:
                return
            except OSError as fault:  # descriptors used up: they are tried again when some are free
                self.log(f"a connection was not taken: {fault}")
                return
            self._tune(sock)
            wire = Wire(self, sock, peer, connecting=False)
            wire.handler = listener[2](wire)
            self._enter(wire)
            listener = self.listeners.get(number)

    def _wire_ready(self, wire: Wire, events: int) -> None:
        if wire.connecting:
            self._connected(wire)
            return
        if events & _OUT:
            self._write(wire)
        if wire.handler is not None and events & (_IN | _GONE):
            if wire.mask & _IN:
                self._read(wire)
            elif events & _GONE:
                self.drop(wire, "reset")

    def _connected(self, wire: Wire) -> None:
        fault = wire.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if fault:
            self.drop(wire, "refused")
            return
        try:
            wire.sock.getpeername()
        except OSError:
            return  # word of an earlier descriptor of the same number
        wire.connecting = False
        if wire.due is not None:
            wire.due.cancel()
        if wire.handler is not None and (wire.held or not wire.closing):
            wire.handler.opened()
        self.watch(wire)
        if wire.held:
            self._write(wire)

    def _write(self, wire: Wire) -> None:
        try:
            while wire.held:
                data = wire.held[0]
                sent = wire.sock.send(data)
                wire.unsent -= sent
                if sent < len(data):
                    wire.held[0] = memoryview(data)[sent:]
                    return
                del wire.held[0]
        except BlockingIOError:
            return
        except OSError as fault:
            self.lose(wire, fault)
            return
        self.watch(wire)
        if wire.closing:
            self.drop(wire, "")
        elif wire.handler is not None:
            wire.handler.drained()

    def _read(self, wire: Wire) -> None:
        for _ in range(ROUNDS):
            try:
                data = wire.sock.recv(READ)
            except BlockingIOError:
                return
            except OSError as fault:
                self.drop(wire, "timeout" if isinstance(fault, TimeoutError) else "reset")
                return
            if wire.handler is None:
                return
            if not data:
                wire.ended = True
                self.watch(wire)
                if not wire.closing:
                    wire.handler.ended()
                return
            if not wire.closing:
                wire.handler.received(data)
            if len(data) < READ or wire.paused or wire.handler is None:
                return

    def _heard(self, number: int) -> None:
        sock, received = self.ears[number]
        for _ in range(MAX_DATAGRAMS):
            try:
                data, sender = sock.recvfrom(2048)
            except OSError:  # none left, or an answer that nobody listens where one was sent
                return
            received(sender, data)

    # Disk.

    def _path(self, name: str) -> str:
        if self.directory is None:
            raise OSError("no disk on this machine")
        return os.path.join(self.directory, name)

    def read(self, name: str) -> bytes | None:
        """A file's bytes; None where there is none."""
        try:
            with open(self._path(name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, name: str, data: bytes) -> None:
        """Write a file whole and sync it."""
        file = os.open(self._path(name), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(file, rest) :]
            os.fsync(file)
        finally:
            os.close(file)

    def sync_names(self) -> None:
        """Sync the folder."""
        folder = os.open(self._path("."), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def rename(self, name: str, to: str) -> None:
        """Give a file another name, and sync the folder."""
        os.rename(self._path(name), self._path(to))
        self.sync_names()

    def remove(self, name: str) -> None:
        """Remove a file if it is there."""
        try:
            os.unlink(self._path(name))
        except FileNotFoundError:
            return

    def names(self) -> list[str]:
        """All files."""
        os.makedirs(self._path("."), exist_ok=True)
        return os.listdir(self._path("."))

    # The process.

    def random(self, size: int) -> bytes:
        """Random bytes."""
        return os.urandom(size)

    def log(self, line: str) -> None:
        """One line on standard error."""
        try:
            sys.stderr.write(line + "\n")
            sys.stderr.flush()
        except OSError:
            return  # nobody reads: the program goes on

    def exit(self, status: int) -> None:
        """End `run` after this call."""
        self.status = status

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Call when the process is sent a signal."""
        if self.woken < 0:
            self.woken, self.waker = os.pipe()
            for end in (self.woken, self.waker):
                os.set_blocking(end, False)
            signal.set_wakeup_fd(self.waker, warn_on_full_buffer=False)
            self.epoll.register(self.woken, _IN)
        self.signals[number] = call
        signal.signal(number, lambda *_: None)  # what is to be done is done in its turn

    def _signalled(self) -> None:
        try:
            numbers = os.read(self.woken, 64)
        except BlockingIOError:
            return
        for number in numbers:
            if number in self.signals:
                self.signals[number]()

    def run(self) -> int:
        """Serve until `exit`; the status."""
        poll = self.epoll.poll
        while self.status is None:
            for number, events in poll(self._wait()):
                wire = self.wires.get(number)
                try:
                    if wire is not None:
                        self._wire_ready(wire, events)
                    elif number in self.ears:
                        self._heard(number)
                    elif number in self.listeners:
                        self._accepted(number)
                    elif number == self.woken:
                        self._signalled()
                except Exception:
                    self._fault(wire)
            self._due()
            self._readied()
            self.turns += 1
        return self.status

    def _fault(self, wire: Wire | None) -> None:
        """A call has failed, by a fault of this program's.

        It is told, its connection ends, the process goes on.
        """
        import traceback

        self.faults += 1
        self.log(f"fault {self.faults}: {traceback.format_exc()}")
        if wire is not None:
            wire.abort()

    def _wait(self) -> float:
        if self.ready:
            return 0.0
        while self.timers and self.timers[0][2].call is None:
            heappop(self.timers)
        return max(0.0, self.timers[0][0] - time.monotonic()) if self.timers else 1.0

    def _due(self) -> None:
        now = time.monotonic()
        while self.timers and self.timers[0][0] <= now:
            timer = heappop(self.timers)[2]
            call, timer.call = timer.call, None
            if call is not None:
                self._guarded(call)

    def _guarded(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception:
            self._fault(None)

    def _readied(self) -> None:
        while self.ready:
            ready, self.ready = self.ready, []
            for call in ready:
                self._guarded(call)
