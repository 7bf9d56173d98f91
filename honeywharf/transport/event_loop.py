"""A `host.Host` on sockets: one thread, one `epoll`, timers in a heap.

Theory of operation. `run` waits for the next timer or the next ready descriptor, and makes the calls that are
due. A connection with unsent bytes waits until it is writable. A paused connection does not wait for data;
after `watch_half_close` it waits for the peer's half-close, which `epoll` reports before the remaining bytes
are read. `TCP_USER_TIMEOUT` detects an unreachable peer while bytes are unacknowledged, and keep-alive probes
while none are. The socket options are described in tcp(7), the interface and its contracts in `host`.
"""

from __future__ import annotations

import os
import select
import socket
import sys
import time
from errno import EINPROGRESS
from heapq import heappop, heappush

from honeywharf.transport.disk import Disk
from honeywharf.transport.signal_pipe import SignalPipe
from honeywharf.transport.tcp_connection import TcpConnection

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.transport.host import Address, Connection, Handler

READ_BYTES = 64 * 1024
MAX_READS_PER_EVENT = 4  # This bounds the reads of one connection before others are served.
LISTEN_BACKLOG = 512
USER_TIMEOUT_MS = 3000  # A peer is lost after this time without an acknowledgement.
KEEPALIVE_INTERVAL_S = 1  # Between probes of a connection that carries nothing.
MAX_DATAGRAMS_PER_EVENT = 64

_IN, _OUT, _HALF_CLOSED = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
_FAILED = select.EPOLLHUP | select.EPOLLERR


class EventLoopTimer:
    """A scheduled call; `call` is None once it has been cancelled or made."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancels the call."""
        self.call = None


class EventLoop(Disk):
    """A `host.Host` on sockets. `directory` is that of the disk; None if there is no disk."""

    def __init__(self, directory: str | None = None) -> None:
        super().__init__(directory)
        self.epoll = select.epoll()
        self.connections: dict[int, TcpConnection] = {}
        self.listeners: dict[int, tuple[socket.socket, Address, Callable[[Connection], Handler]]] = {}
        self.datagram_sockets: dict[int, tuple[socket.socket, Callable[[Address, bytes], None]]] = {}
        self.send_socket: socket.socket | None = None
        self.timers: list[tuple[float, int, EventLoopTimer]] = []
        self.timer_count = 0
        self.ready: list[Callable[[], None]] = []
        self.status: int | None = None
        self.signals: SignalPipe | None = None
        self.iterations = self.errors = 0

    # Clocks and timers.

    def now(self) -> float:
        """Returns seconds on the steady clock."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Returns the time of day in seconds since the epoch."""
        return time.time()

    def after(self, seconds: float, call: Callable[[], None]) -> EventLoopTimer:
        """Schedules one call after a delay."""
        timer = EventLoopTimer(call)
        self.timer_count += 1
        heappush(self.timers, (time.monotonic() + seconds, self.timer_count, timer))
        return timer

    def soon(self, call: Callable[[], None]) -> None:
        """Schedules a call for after the current one returns."""
        self.ready.append(call)

    # Connections.

    def connect(
        self, to: Address, handler: Callable[[Connection], Handler], within: float = 1.0
    ) -> TcpConnection:
        """Opens a connection."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = TcpConnection(self, sock, to, connecting=True)
        self._set_options(sock)
        connection.handler = handler(connection)
        error_number = sock.connect_ex(to)
        if error_number not in (0, EINPROGRESS):
            self.soon(lambda: self.drop(connection, "refused"))
            return connection
        connection.connect_timer = self.after(
            within, lambda: self.drop(connection, "timeout") if connection.is_connecting else None
        )
        self._register(connection)
        return connection

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Accepts connections at an address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(at)
        sock.listen(LISTEN_BACKLOG)
        self.listeners[sock.fileno()] = (sock, at, accept)
        self.epoll.register(sock.fileno(), _IN)

    def stop_listening(self, at: Address) -> None:
        """Stops accepting connections at an address."""
        for number, (sock, address, _) in list(self.listeners.items()):
            if address == at:
                self.epoll.unregister(number)
                del self.listeners[number]
                sock.close()

    def listen_datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        """Receives datagrams at an address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(at)
        self.datagram_sockets[sock.fileno()] = (sock, received)
        self.send_socket = sock
        self.epoll.register(sock.fileno(), _IN)

    def send_datagram(self, to: Address, data: bytes) -> None:
        """Sends a datagram, which is lost if the send fails."""
        if self.send_socket is not None:
            try:
                self.send_socket.sendto(data, to)
            except OSError:
                return  # The queue is full or the peer is unreachable; the datagram counts as lost.

    @staticmethod
    def _set_options(sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def _register(self, connection: TcpConnection) -> None:
        self.connections[connection.socket.fileno()] = connection
        connection.mask = _OUT if connection.is_connecting else _IN
        self.epoll.register(connection.socket.fileno(), connection.mask)

    def update_interest(self, connection: TcpConnection) -> None:
        """Registers the events that the connection waits for."""
        if connection.socket.fileno() not in self.connections:
            return
        interest = 0 if connection.is_paused or connection.is_read_closed or connection.is_connecting else _IN
        if connection.is_paused and connection.end_callback is not None and not connection.is_read_closed:
            interest |= _HALF_CLOSED
        if connection.buffer or connection.is_connecting:
            interest |= _OUT
        if interest != connection.mask:
            connection.mask = interest
            self.epoll.modify(connection.socket.fileno(), interest)

    def fail(self, connection: TcpConnection, error: OSError) -> None:
        """Ends a failed connection. Its handler is called later, not from within a call of its own."""
        reason = "timeout" if isinstance(error, TimeoutError) else "reset"
        connection.buffer.clear()
        connection.unsent = 0
        self.soon(lambda: self.drop(connection, reason))

    def drop(self, connection: TcpConnection, reason: str) -> None:
        """Closes the socket and calls the handler's `closed`, once."""
        handler, connection.handler = connection.handler, None
        if handler is None:
            return
        connection.is_closing, connection.is_connecting = True, False
        connection.buffer.clear()
        connection.unsent = 0
        if connection.connect_timer is not None:
            connection.connect_timer.cancel()
        number = connection.socket.fileno()
        if self.connections.get(number) is connection:
            del self.connections[number]
            self.epoll.unregister(number)
        connection.socket.close()
        handler.closed(reason)

    def _accept(self, number: int) -> None:
        listener = self.listeners.get(number)
        for _ in range(LISTEN_BACKLOG):
            if listener is None:
                return
            try:
                sock, peer = listener[0].accept()
            except BlockingIOError:
                return
            except OSError as error:  # No free descriptor; the accept is retried on the next event.
                self.log(f"could not accept a connection: {error}")
                return
            self._set_options(sock)
            connection = TcpConnection(self, sock, peer, connecting=False)
            connection.handler = listener[2](connection)
            self._register(connection)
            listener = self.listeners.get(number)

    def _connection_ready(self, connection: TcpConnection, events: int) -> None:
        if connection.is_connecting:
            self._connected(connection)
            return
        if events & _OUT:
            self._write(connection)
        if events & _HALF_CLOSED and connection.end_callback is not None:
            self._half_closed(connection, connection.end_callback)
        if connection.handler is not None and events & (_IN | _FAILED):
            if connection.mask & _IN:
                self._read(connection)
            elif events & _FAILED:
                self.drop(connection, "reset")

    def _half_closed(self, connection: TcpConnection, call: Callable[[], None]) -> None:
        """Reports the peer's half-close on a paused connection; its remaining bytes stay unread."""
        connection.end_callback = None
        self.update_interest(connection)
        call()

    def _connected(self, connection: TcpConnection) -> None:
        error = connection.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.drop(connection, "refused")
            return
        try:
            connection.socket.getpeername()
        except OSError:
            return  # The event belongs to an earlier descriptor of the same number.
        connection.is_connecting = False
        if connection.connect_timer is not None:
            connection.connect_timer.cancel()
        if connection.handler is not None and (connection.buffer or not connection.is_closing):
            connection.handler.opened()
        self.update_interest(connection)
        if connection.buffer:
            self._write(connection)

    def _write(self, connection: TcpConnection) -> None:
        try:
            while connection.buffer:
                data = connection.buffer[0]
                sent = connection.socket.send(data)
                connection.unsent -= sent
                if sent < len(data):
                    connection.buffer[0] = memoryview(data)[sent:]
                    return
                del connection.buffer[0]
        except BlockingIOError:
            return
        except OSError as error:
            self.fail(connection, error)
            return
        self.update_interest(connection)
        if connection.is_closing:
            self.drop(connection, "")
        elif connection.handler is not None:
            connection.handler.drained()

    def _read(self, connection: TcpConnection) -> None:
        for _ in range(MAX_READS_PER_EVENT):
            try:
                data = connection.socket.recv(READ_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self.drop(connection, "timeout" if isinstance(error, TimeoutError) else "reset")
                return
            if connection.handler is None:
                return
            if not data:
                connection.is_read_closed = True
                self.update_interest(connection)
                if not connection.is_closing:
                    connection.handler.ended()
                return
            if not connection.is_closing:
                connection.handler.received(data)
            if len(data) < READ_BYTES or connection.is_paused or connection.handler is None:
                return

    def _datagrams_ready(self, number: int) -> None:
        sock, received = self.datagram_sockets[number]
        for _ in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data, sender = sock.recvfrom(2048)
            except OSError:  # No datagram is left, or an ICMP error reports an unreachable peer.
                return
            received(sender, data)

    # The process.

    def random(self, size: int) -> bytes:
        """Returns random bytes."""
        return os.urandom(size)

    def log(self, line: str) -> None:
        """Writes one line to standard error."""
        try:
            sys.stderr.write(line + "\n")
            sys.stderr.flush()
        except OSError:
            return  # Standard error is closed; the program continues without logging.

    def exit(self, status: int) -> None:
        """Ends `run` after the current call."""
        self.status = status

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Sets the call for a signal."""
        if self.signals is None:
            self.signals = SignalPipe()
            self.epoll.register(self.signals.reader, _IN)
        self.signals.on(number, call)

    def run(self) -> int:
        """Runs until `exit`, and returns its status."""
        poll = self.epoll.poll
        while self.status is None:
            for number, events in poll(self._wait()):
                connection = self.connections.get(number)
                try:
                    if connection is not None:
                        self._connection_ready(connection, events)
                    elif number in self.datagram_sockets:
                        self._datagrams_ready(number)
                    elif number in self.listeners:
                        self._accept(number)
                    elif self.signals is not None and number == self.signals.reader:
                        self.signals.handle()
                except Exception:  # noqa: BLE001 - one call's error must not end the process; it is logged
                    self._failed(connection)
            self._call_due_timers()
            self._call_ready()
            self.iterations += 1
        return self.status

    def _failed(self, connection: TcpConnection | None) -> None:
        """Logs an unexpected exception of a call, closes the call's connection and continues."""
        import traceback

        self.errors += 1
        self.log(f"fault {self.errors}: {traceback.format_exc()}")
        if connection is not None:
            connection.abort()

    def _wait(self) -> float:
        if self.ready:
            return 0.0
        while self.timers and self.timers[0][2].call is None:
            heappop(self.timers)
        return max(0.0, self.timers[0][0] - time.monotonic()) if self.timers else 1.0

    def _call_due_timers(self) -> None:
        now = time.monotonic()
        while self.timers and self.timers[0][0] <= now:
            timer = heappop(self.timers)[2]
            call, timer.call = timer.call, None
            if call is not None:
                self._call_safely(call)

    def _call_safely(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception:  # noqa: BLE001 - one call's error must not end the process; it is logged
            self._failed(None)

    def _call_ready(self) -> None:
        while self.ready:
            ready, self.ready = self.ready, []
            for call in ready:
                self._call_safely(call)
