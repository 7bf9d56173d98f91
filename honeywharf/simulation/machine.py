"""Simulated machines, processes and the network between them: `transport/host.py` in virtual time.

Theory of operation. A `Process` is the `Host` of one program. All calls into the program go through
`Process.call`: they wait while the process is frozen or blocked by its disk, and are dropped when it has
ended. A disk operation advances the process's own clock. What the process sends afterwards leaves only at
that time, and not at all if the process ends before.

A connection consists of two `End`s. An end transmits bytes, acknowledgements of bytes that were *read*
(numbers) and the marks below, in order. At most `WINDOW_BYTES` are unread or in flight; the sender buffers
the rest (`unsent`). While the path is cut or the peer has no power, items stay undelivered at their sender
until the path is restored. A peer that is silent for `SILENCE_TIMEOUT_S` is lost (`closed("timeout")`), as
with keep-alive probes and `TCP_USER_TIMEOUT`. A reset drops what is unread at both ends.
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

WINDOW_BYTES = 65_536  # The limit of bytes unread or in flight, in each direction.
MAX_SEGMENT_BYTES = 16_384
SILENCE_TIMEOUT_S = 3.0  # After this time without a sign of the peer a connection is lost.
LISTEN_BACKLOG = 512  # Connections to be accepted; further opening packets are dropped.
MAX_DATAGRAM_BYTES = 1_400
MAX_PENDING_DATAGRAMS = 256  # Datagrams that wait for a process; further ones are lost.
MAX_LOG_LINES = 2_000
ESTABLISHED, END, RESET = "up", "end", "reset"  # The marks between ends.


class ProcessDied(BaseException):
    """The process ended within a call, by an injected crash at a disk operation."""


class Network:
    """The paths between machines, their delays and cuts."""

    def __init__(
        self,
        world: World,
        in_zone_delay_s: float = 2e-4,
        cross_zone_delay_s: float = 1.4e-3,
        loss: float = 2e-3,
    ) -> None:
        self.world, self.in_zone_delay_s, self.cross_zone_delay_s, self.loss = (
            world,
            in_zone_delay_s,
            cross_zone_delay_s,
            loss,
        )
        self.window = WINDOW_BYTES  # The limit of unread and in-flight bytes of each connection.
        self.machines: dict[str, Machine] = {}
        self.bytes_between: dict[tuple[str, str], int] = {}  # Bytes sent by (zone, zone).
        self._cuts: dict[tuple[str, str], int] = {}
        self._ends: dict[End, None] = {}

    def delay(self, a: Machine, b: Machine) -> float:
        """Returns the delay between two machines in seconds, with random jitter."""
        base = 0.00005 if a is b else self.in_zone_delay_s if a.zone == b.zone else self.cross_zone_delay_s
        return base * (1 + 0.2 * self.world.random.random())

    def cut(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Blocks the path from the first to the second address of each pair; cuts of a pair are counted."""
        for pair in pairs:
            self._cuts[pair] = self._cuts.get(pair, 0) + 1
        self.watch_silent_peers()

    def remove_cuts(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Removes one cut of each pair."""
        for pair in pairs:
            self._cuts[pair] -= 1
            if not self._cuts[pair]:
                del self._cuts[pair]
        self.resume_delivery()

    def blocked(self, a: Machine, b: Machine) -> bool:
        """Whether nothing from `a` arrives at `b` now."""
        return not b.power or (bool(self._cuts) and (a.ip, b.ip) in self._cuts)

    def watch_silent_peers(self) -> None:
        """Starts the time-outs of connections whose peers have become silent."""
        for end in list(self._ends):
            end.watch()

    def resume_delivery(self) -> None:
        """Stops the time-outs of connections whose paths are restored, and resends undelivered items."""
        for end in list(self._ends):
            if end.silence_timer is not None and not end.is_peer_silent():
                end.silence_timer.cancel()
                end.silence_timer = None
            self.world.at(self.world.now + self.world.random.uniform(0.05, 0.5), end.resend)

    def add(self, end: End) -> None:
        """Registers an open end."""
        self._ends[end] = None

    def forget(self, end: End) -> None:
        """Unregisters a closed end."""
        self._ends.pop(end, None)


class End:
    """One end of a connection, which implements `host.Connection`."""

    __slots__ = (
        "delivery_callbacks",
        "end_callback",
        "finished",
        "handler",
        "in_flight",
        "incarnation",
        "is_blocked",
        "last_arrival",
        "other",
        "paused",
        "peer",
        "process",
        "receive_buffer",
        "send_buffer",
        "silence_timer",
        "state",
        "undelivered",
        "unsent",
    )

    def __init__(self, process: Process, peer: Address, state: str) -> None:
        self.process, self.peer, self.state, self.incarnation = process, peer, state, process.incarnation
        self.other: End | None = None
        self.handler: Handler | None = None
        self.unsent = self.in_flight = 0
        self.send_buffer: deque[bytes] = deque()
        self.receive_buffer: deque[bytes | str] = deque()
        self.undelivered: list[bytes | int | str] = []
        self.paused = self.is_blocked = False
        self.finished = 0  # 1 when nothing more will be sent, 2 when the end mark was sent.
        self.last_arrival = 0.0
        self.silence_timer: Event | None = None
        self.end_callback: Callable[[], None] | None = None
        self.delivery_callbacks: list[Callable[[], None]] = []
        process.machine.network.add(self)
        process.ends[self] = None

    # The interface for programs.

    def send(self, data: bytes) -> None:
        """Sends bytes, or buffers them while the window is full."""
        if self.state in ("closed", "closing") or self.finished or not data:
            return
        self.send_buffer.append(bytes(data))
        self.unsent += len(data)
        self.process.after_disk(self._send_buffered)

    def finish(self) -> None:
        """Closes the sending direction only; clients and backends outside the mesh use it."""
        self.finished = 1
        self.process.after_disk(self._send_buffered)

    def close(self) -> None:
        """Sends the buffered bytes, then closes."""
        if self.state == "opening":
            self.abort()
        elif self.state == "open":
            self.state = "closing"
            self.process.after_disk(self._send_buffered)

    def abort(self) -> None:
        """Resets the connection and drops the buffered bytes."""
        if self.state != "closed":
            self.state = "closing"
            self._clear_send_buffer()
            self.undelivered.clear()
            self.process.after_disk(self._reset_and_report)

    def pause(self) -> None:
        """Stops reading."""
        self.paused = True

    def resume(self) -> None:
        """Resumes reading."""
        if self.paused:
            self.paused = False
            self.process.world.at(self.process.process_now(), self.process.call, self.incarnation, self._read)

    def watch_half_close(self, call: Callable[[], None]) -> None:
        """Calls once if the peer closes its sending half while reading is paused."""
        self.end_callback = call
        self.process.world.at(
            self.process.process_now(), self.process.call, self.incarnation, self._notify_end_watcher
        )

    def tolerate_unread(self) -> None:
        """Does nothing: only an unreachable peer is lost here, not one that does not read."""

    def watch_delivery(self, call: Callable[[], None]) -> None:
        """Calls once when the peer has read all bytes sent so far."""
        self.delivery_callbacks.append(call)
        self.process.after_disk(self._notify_delivery)

    # Delivery by the network.

    def _notify_delivery(self) -> None:
        """Notifies the watchers of delivery, if nothing is unread at the peer or in flight."""
        if self.state == "open" and not self.send_buffer and not self.in_flight:
            calls, self.delivery_callbacks = self.delivery_callbacks, []
            for call in calls:
                self.process.call(self.incarnation, call)

    def _notify_end_watcher(self) -> None:
        """Notifies the watcher of an unread end mark."""
        if (
            self.paused
            and self.state == "open"
            and self.end_callback is not None
            and END in self.receive_buffer
        ):
            call, self.end_callback = self.end_callback, None
            call()

    def is_peer_silent(self) -> bool:
        """Whether the peer is frozen or unreachable now."""
        if self.other is None:
            return False
        here, destination = self.process.machine, self.other.process
        network = here.network
        return here is not destination.machine and (
            (destination.frozen and not destination.kernel_runs)
            or network.blocked(here, destination.machine)
            or network.blocked(destination.machine, here)
        )

    def watch(self) -> None:
        """Starts the time-out if the peer is silent."""
        if self.silence_timer is None and self.is_peer_silent():
            world = self.process.world
            self.silence_timer = world.at(world.now + SILENCE_TIMEOUT_S, self.close_if_silent)

    def close_if_silent(self) -> None:
        """Closes the connection if the peer was silent until the time-out."""
        self.silence_timer = None
        if self.is_peer_silent():
            self.process.call(self.incarnation, self.report_closed, "timeout")

    def resend(self) -> None:
        """Resends undelivered items; a machine that came back without the connection resets it."""
        undelivered, self.undelivered = self.undelivered, []
        for item in undelivered:
            self._deliver(item)
        if self.state in ("closed", "lost"):
            self._unregister()
        elif self.other is not None and self.other.state == "lost" and not self.is_peer_silent():
            self.receive(RESET)

    def reset_both_ends(self) -> None:
        """Resets the connection at both ends, as a middlebox does; items in flight are lost."""
        for end in (self, self.other):
            if end is not None:
                end.undelivered.clear()
                end.receive(RESET)

    def lose_power(self) -> None:
        """Drops the connection without any notification, as a power loss does."""
        self.state = "lost"
        self._clear_send_buffer()
        self.receive_buffer.clear()
        self.undelivered.clear()
        self._unregister()

    def reset_or_close(self) -> None:
        """Closes the connection of a process that has ended, with a reset if bytes are unread."""
        self._clear_send_buffer()
        if self.state in ("open", "closing") and self.other is not None:
            self._transmit(RESET if self._has_unread() else END)
        self.state = "closed"
        self._unregister()

    def report_closed(self, why: str) -> None:
        """Reports the end of the connection to the program, once."""
        if self.state not in ("closed", "lost"):
            self.state = "lost" if why == "timeout" else "closed"
            self._clear_send_buffer()
            self.receive_buffer.clear()
            self._unregister()
            self.process.world.record(self.process.name, "closed", self.peer[1], why)
            if self.handler is not None:
                self.handler.closed(why)

    def _unregister(self) -> None:
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self.process.ends.pop(self, None)
        if not self.undelivered:  # Otherwise undelivered items may still arrive.
            self.process.machine.network.forget(self)

    def _has_unread(self) -> bool:
        return any(isinstance(item, bytes) for item in self.receive_buffer)

    def _clear_send_buffer(self) -> None:
        self.send_buffer.clear()
        self.unsent = 0

    def _reset_and_report(self) -> None:
        if self.other is not None:
            self._transmit(RESET)
        self._report_closed_soon()

    def _report_closed_soon(self) -> None:
        self.process.world.at(
            self.process.world.now, self.process.call, self.incarnation, self.report_closed, ""
        )

    def _send_buffered(self) -> None:
        """Transmits what the window admits, and reports when the buffer is empty."""
        if self.state not in ("open", "closing") or self.process.frozen or self.other is None:
            return
        window = self.process.machine.network.window
        while self.send_buffer and self.in_flight < window:
            room, data = min(MAX_SEGMENT_BYTES, window - self.in_flight), self.send_buffer.popleft()
            if len(data) > room:
                self.send_buffer.appendleft(data[room:])
                data = data[:room]
            self.in_flight += len(data)
            self.unsent -= len(data)
            self._transmit(data)
        if self.send_buffer:
            self.is_blocked = True
            return
        if self.state == "closing":
            self._send_end()
            self._report_closed_soon()
        elif self.finished == 1:
            self.finished = 2
            self._transmit(END)
        elif self.is_blocked:
            self.is_blocked = False
            if self.handler is not None:
                self.process.call(self.incarnation, self.handler.drained)

    def _send_end(self) -> None:
        """Transmits a reset if bytes are unread, or else the end mark unless it was sent."""
        if self._has_unread():
            self._transmit(RESET)
        elif self.finished != 2:
            self._transmit(END)

    def _transmit(self, item: bytes | int | str) -> None:
        assert self.other is not None
        here, destination = self.process.machine, self.other.process.machine
        size = len(item) + 60 if isinstance(item, bytes) else 60
        self.last_arrival = max(
            self.last_arrival + 1e-9, here.depart(size, destination) + here.network.delay(here, destination)
        )
        self.process.world.at(self.last_arrival, self._deliver, item)

    def _deliver(self, item: bytes | int | str) -> None:
        """Passes an item to the peer, or keeps it while the path is cut."""
        assert self.other is not None
        here, destination = self.process.machine, self.other.process.machine
        if self.state == "lost" and here.network.blocked(here, destination):
            return
        if self.undelivered or here.network.blocked(here, destination):
            self.undelivered.append(item)
            here.network.add(self)
            self.watch()
            self.other.watch()
        elif self.other.state in ("closed", "lost"):
            if (isinstance(item, bytes) or item == ESTABLISHED) and not here.network.blocked(
                destination, here
            ):
                world = self.process.world
                world.at(world.now + here.network.delay(destination, here), self.receive, RESET)
        else:
            self.other.receive(item)

    def receive(self, item: bytes | int | str) -> None:
        """Handles an item that has arrived."""
        if isinstance(item, int):
            self.in_flight -= item
            self.process.call(self.incarnation, self._send_buffered)
            self.process.call(self.incarnation, self._notify_delivery)
        elif item == RESET:
            self.receive_buffer.clear()
            self.process.call(
                self.incarnation, self.report_closed, "refused" if self.state == "opening" else RESET
            )
        elif item == ESTABLISHED:
            self.process.call(self.incarnation, self._establish)
        else:
            self.receive_buffer.append(item)
            self.process.call(self.incarnation, self._read)
            self.process.call(self.incarnation, self._notify_end_watcher)

    def _establish(self) -> None:
        if self.state == "opening":
            self.state = "open"
            if self.handler is not None:
                self.handler.opened()
            self._send_buffered()
        else:
            self._transmit(RESET)  # The connection was abandoned before.

    def _read(self) -> None:
        while self.receive_buffer and not self.paused and self.handler and self.state in ("open", "closing"):
            item = self.receive_buffer.popleft()
            if isinstance(item, bytes):
                self._transmit(len(item))
                self.process.world.record(self.process.name, "read", len(item), self.peer[1])
            if self.state == "closing":
                continue  # Bytes are read and dropped while the last ones are sent.
            if isinstance(item, bytes):
                self.handler.received(item)
            else:
                self.handler.ended()


class Machine:
    """A machine with an address, a network link, power, and maybe a disk."""

    def __init__(
        self, network: Network, ip: str, zone: str, disk: Disk | None = None, mbps: float = 1e3
    ) -> None:
        self.network, self.ip, self.zone, self.disk, self.per_byte = network, ip, zone, disk, 8e-6 / mbps
        self.power = True
        self.processes: list[Process] = []
        self.listeners: dict[int, tuple[Process, Callable[[Connection], Handler]]] = {}
        self.datagram_receivers: dict[int, tuple[Process, Callable[[Address, bytes], None]]] = {}
        self.link_free_at = 0.0  # The time when the link has sent all its bytes.
        self.clock_skew_s = network.world.random.uniform(-0.05, 0.05)
        self.clock_start_s = network.world.random.uniform(100.0, 1000.0)
        self.last_port = 32_768
        network.machines[ip] = self

    def depart(self, size: int, to: Machine) -> float:
        """Returns the time when that many bytes have left for another machine."""
        now = self.network.world.now
        if to is self:
            return now
        key = (self.zone, to.zone)
        self.network.bytes_between[key] = self.network.bytes_between.get(key, 0) + size
        self.link_free_at = max(now, self.link_free_at) + size * self.per_byte
        return self.link_free_at

    def power_off(self) -> None:
        """Cuts the power: connections become silent, and unsynced writes are kept or lost at random."""
        self.power = False
        for process in self.processes:
            process.end(quiet=True)
        if self.disk is not None:
            self.disk.crash(self.network.world.now, True, self.network.world.random)
        self.network.watch_silent_peers()

    def power_on(self) -> None:
        """Restores the power; processes start after their delay."""
        self.power = True
        self.network.resume_delivery()
        for process in self.processes:
            process.restart_later()


class Process:
    """One process of a machine: the `Host` of one program, which `make` creates at each start."""

    def __init__(
        self, machine: Machine, name: str, make: Callable[[Process], object], restart_delay_s: float = 0.3
    ) -> None:
        self.machine, self.name, self.make, self.restart_delay_s = machine, name, make, restart_delay_s
        self.world, self.incarnation = machine.network.world, 0
        self.alive, self.frozen, self.is_restarted = False, False, True
        self.kernel_runs = False  # While frozen: whether the machine still accepts and receives.
        self.program: object = None
        self.disk_busy_until = 0.0  # The end of its disk operation.
        self.ends: dict[End, None] = {}
        self.waiting: deque[tuple[int, Callable[..., None], tuple[Any, ...]]] = deque()
        self.lines: deque[str] = deque(maxlen=MAX_LOG_LINES)
        self.signals: dict[int, Callable[[], None]] = {}
        self.datagram_source: Address | None = None
        self.status: int | None = None
        self.dropped_datagrams = 0
        machine.processes.append(self)

    # Start and end of the process.

    def start(self) -> None:
        """Starts the program if it is not running and the machine has power."""
        if not self.alive and self.machine.power and self.is_restarted:
            self.incarnation += 1
            self.alive, self.frozen, self.status, self.disk_busy_until = True, False, None, self.world.now
            self.world.record_event(self.name, "starts")
            self.call(self.incarnation, self._create_program)

    def _create_program(self) -> None:
        self.program = self.make(self)

    def restart_later(self) -> None:
        """Starts the process after its restart delay."""
        self.world.at(self.world.now + self.restart_delay_s, self.start)

    def end(self, quiet: bool = False) -> None:
        """Ends the process; `quiet` is a power loss, which sends nothing to peers."""
        if not self.alive:
            return
        self.alive, self.frozen, self.program = False, False, None
        self.world.record_event(self.name, "ends")
        self.waiting.clear()
        self.signals.clear()
        for table in (self.machine.listeners, self.machine.datagram_receivers):
            for port in [port for port, (process, _) in table.items() if process is self]:
                del table[port]
        for end in list(self.ends):
            end.lose_power() if quiet else end.reset_or_close()
        if not quiet and self.machine.disk is not None:
            self.machine.disk.crash(self.world.now, False, self.world.random)

    def kill(self) -> None:
        """Kills the process, which then restarts."""
        if self.alive:
            self.end()
            self.restart_later()

    def signal(self, number: int) -> None:
        """Sends a signal, which kills the process if it has no handler."""
        if self.alive and number in self.signals:
            self.call(self.incarnation, self.signals[number])
        else:
            self.kill()

    def freeze(self, kernel_runs: bool = False) -> None:
        """Stops the process: no events, no timers, no sending.

        `kernel_runs`: as by SIGSTOP, connections are still accepted and bytes received; else the machine is
        silent.
        """
        self.frozen, self.kernel_runs = True, kernel_runs
        self.machine.network.watch_silent_peers()

    def thaw(self) -> None:
        """Continues the process; all due calls run at once."""
        if self.frozen:
            self.frozen = False
            self._run_waiting()
            for end in list(self.ends):
                self.call(self.incarnation, end._send_buffered)
            self.machine.network.resume_delivery()

    # Calls into the program.

    def call(self, incarnation: int, do: Callable[..., None], *args: Any) -> None:
        """Calls within the process, in order, when it can run; drops calls for an earlier incarnation."""
        if not self.alive or incarnation != self.incarnation:
            return
        if self.frozen or self.waiting or self.world.now < self.disk_busy_until:
            self.waiting.append((incarnation, do, args))
            if len(self.waiting) == 1 and not self.frozen:
                self.world.at(self.disk_busy_until, self._run_waiting)
        else:
            self._run(do, args)

    def _run_waiting(self) -> None:
        while self.waiting and not self.frozen:
            if self.world.now < self.disk_busy_until:
                self.world.at(self.disk_busy_until, self._run_waiting)
                return
            _, do, args = self.waiting.popleft()
            self._run(do, args)

    def _run(self, do: Callable[..., None], args: tuple[Any, ...]) -> None:
        try:
            do(*args)
        except ProcessDied:
            return
        except Exception:
            self.world.record_crash(self.name, traceback.format_exc(limit=-4))
            self.status = 1
        if self.status is not None and self.alive:
            self.world.at(self.process_now(), self._end_exited, self.incarnation)

    def _end_exited(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.kill()

    def process_now(self) -> float:
        """Returns the virtual time of the process, after its disk operations."""
        now, disk_busy_until = self.world.now, self.disk_busy_until
        return disk_busy_until if disk_busy_until > now else now

    def after_disk(self, do: Callable[[], None]) -> None:
        """Runs a call now, or after the disk operation if the process still runs then."""
        here = self.process_now()
        if here <= self.world.now:
            do()
        else:
            incarnation = self.incarnation
            self.world.at(here, lambda: do() if self.alive and incarnation == self.incarnation else None)

    # The interface of `Host`.

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.machine.clock_start_s + self.process_now()

    def wall_time(self) -> float:
        """Returns the time of day in seconds."""
        return 1.7e9 + self.machine.clock_skew_s + self.process_now()

    def after(self, seconds: float, call: Callable[[], None]) -> Event:
        """Calls once after the given time and a small random delay."""
        late = self.world.random.uniform(0.00005, 0.001)
        timer = Event(call)
        self.world.at(
            self.process_now() + max(0.0, seconds) + late, self.call, self.incarnation, _fire, timer
        )
        return timer

    def connect(self, to: Address, handler: Callable[[Connection], Handler], within: float = 1.0) -> End:
        """Opens a connection."""
        end = End(self, to, "opening")
        end.handler = handler(end)
        self.after_disk(lambda: self._send_syn(end, 1.0))
        self.after(within, lambda: end.report_closed("timeout") if end.state == "opening" else None)
        return end

    def _send_syn(self, end: End, pause: float) -> None:
        """Sends the opening packet, with retries and backoff while the peer is unreachable."""
        destination = self.machine.network.machines.get(end.peer[0])
        if end.state != "opening" or self.frozen:
            return
        if destination is None or self.machine.network.blocked(self.machine, destination):
            self.world.at(self.world.now + pause, self._send_syn, end, 2 * pause)
            return
        arrival = self.machine.depart(60, destination) + self.machine.network.delay(self.machine, destination)
        self.world.at(arrival, self._answer_syn, end, destination)

    def _answer_syn(self, end: End, destination: Machine) -> None:
        network = self.machine.network
        if network.blocked(self.machine, destination):
            return
        listener = destination.listeners.get(end.peer[1])
        if listener is None:
            if not network.blocked(destination, self.machine):
                self.world.at(self.world.now + network.delay(destination, self.machine), end.receive, RESET)
            return
        process, accept = listener
        if process.frozen and not process.kernel_runs:
            self.world.at(self.world.now + 1.0, self._send_syn, end, 2.0)
            return
        if sum(1 for _, do, _ in process.waiting if do == process.accept_connection) < LISTEN_BACKLOG:
            self.machine.last_port = self.machine.last_port + 1 if self.machine.last_port < 60_999 else 32_768
            far = End(process, (self.machine.ip, self.machine.last_port), "open")
            far.other, end.other = end, far
            far._transmit(ESTABLISHED)
            process.call(process.incarnation, process.accept_connection, far, accept)

    def accept_connection(self, far: End, accept: Callable[[Connection], Handler]) -> None:
        """Passes a queued connection to the program."""
        far.handler = accept(far)
        far._read()

    def listen(self, at: Address, accept: Callable[[Connection], Handler]) -> None:
        """Accepts connections at an address."""
        if at[1] in self.machine.listeners or at[0] != self.machine.ip:
            raise OSError(f"address is in use or belongs to another machine: {at}")
        self.machine.listeners[at[1]] = (self, accept)

    def stop_listening(self, at: Address) -> None:
        """Stops accepting connections."""
        self.machine.listeners.pop(at[1], None)

    def listen_datagrams(self, at: Address, received: Callable[[Address, bytes], None]) -> None:
        """Receives datagrams at an address."""
        if at[1] in self.machine.datagram_receivers or at[0] != self.machine.ip:
            raise OSError(f"address is in use or belongs to another machine: {at}")
        self.machine.datagram_receivers[at[1]] = (self, received)
        self.datagram_source = at

    def send_datagram(self, to: Address, data: bytes) -> None:
        """Sends a datagram, which may be lost, delayed or reordered."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram: expected at most {MAX_DATAGRAM_BYTES} bytes, got {len(data)}")
        datagram_source = self.datagram_source or (self.machine.ip, 0)
        self.after_disk(lambda: self._transmit_datagram(to, datagram_source, bytes(data)))

    def _transmit_datagram(self, to: Address, datagram_source: Address, data: bytes) -> None:
        network, destination = self.machine.network, self.machine.network.machines.get(to[0])
        if destination is not None:
            arrival = self.machine.depart(len(data) + 28, destination) + network.delay(
                self.machine, destination
            )
            if self.world.random.random() >= network.loss:
                late = 0.004 if self.world.random.random() < 0.02 else 0.0
                self.world.at(
                    arrival + late, self._deliver_datagram, destination, to[1], datagram_source, data
                )

    def _deliver_datagram(
        self, destination: Machine, port: int, datagram_source: Address, data: bytes
    ) -> None:
        receiver = destination.datagram_receivers.get(port)
        if receiver is not None and not self.machine.network.blocked(self.machine, destination):
            if len(receiver[0].waiting) < MAX_PENDING_DATAGRAMS:
                receiver[0].call(receiver[0].incarnation, receiver[1], datagram_source, data)
            else:
                receiver[0].dropped_datagrams += 1

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
        here = self.process_now()
        disk.settle(self.world.now)
        if crash is None or crash[1] != "before":
            self.disk_busy_until = disk.run(kind, name, here, data, to)
        if crash is not None:
            when = self.disk_busy_until if crash[1] == "after" else here
            disk.crash_at, self.disk_busy_until = None, float("inf")
            self.world.at(when, self.machine.power_off)  # Data sent before is transmitted first.
            raise ProcessDied

    def read(self, name: str) -> bytes | None:
        """Returns the bytes of a file, or None."""
        return self._disk().files.get(name)

    def write(self, name: str, data: bytes) -> None:
        """Writes and syncs a file."""
        self._operate("write", name, bytes(data))

    def sync_names(self) -> None:
        """Syncs the directory."""
        self._operate("sync", "")

    def rename(self, name: str, to: str) -> None:
        """Renames a file and syncs the directory."""
        if name not in self._disk().files:
            raise FileNotFoundError(name)
        self._operate("rename", name, to=to)

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        if name in self._disk().files:
            self._operate("remove", name)

    def names(self) -> list[str]:
        """Returns the names of all files."""
        return sorted(self._disk().files)

    def random(self, size: int) -> bytes:
        """Returns random bytes from the seeded generator."""
        return self.world.random.randbytes(size)

    def log(self, line: str) -> None:
        """Stores a log line."""
        self.lines.append(f"{self.world.now:.3f} {line}")

    def exit(self, status: int) -> None:
        """Ends the process after this call."""
        self.status = status

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Registers the handler of a signal."""
        self.signals[number] = call

    def soon(self, call: Callable[[], None]) -> None:
        """Calls once the current call has returned."""
        self.world.at(self.process_now(), self.call, self.incarnation, call)


def _fire(timer: Event) -> None:
    call, timer.call = timer.call, None
    if call is not None:
        call()
