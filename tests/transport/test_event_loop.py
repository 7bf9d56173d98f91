"""The loop on real sockets of this machine: what `transport/host.py` promises to programs."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from honeywharf.standins.node import free_ports
from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.host import Address, Connection, Handler

LOCAL = "127.0.0.1"
GUARD_S = 20.0  # after which a test that waits for something has failed


class Log:
    """A handler that keeps what it is told; `on` is called after each event."""

    def __init__(self, connection: Connection, on: Callable[[Log], None] | None = None) -> None:
        self.connection, self.on = connection, on
        self.data = bytearray()
        self.told: list[str] = []

    def _tell(self, what: str) -> None:
        assert not self.told or not self.told[-1].startswith("closed"), f"{what} after {self.told[-1]}"
        self.told.append(what)
        if self.on is not None:
            self.on(self)

    def opened(self) -> None:
        """Up."""
        self._tell("opened")

    def received(self, data: bytes) -> None:
        """Bytes."""
        assert data
        self.data += data
        if self.told[-1:] == ["received"]:
            self.told.pop()
        self._tell("received")

    def ended(self) -> None:
        """Half closed."""
        self._tell("ended")

    def drained(self) -> None:
        """All gone."""
        self._tell("drained")

    def closed(self, why: str) -> None:
        """Gone."""
        self._tell(f"closed {why}")


class Bed:
    """A loop with one listener on a free port, and a guard against tests that hang."""

    def __init__(self) -> None:
        self.loop = EventLoop()
        self.taken: list[Log] = []
        self.on: Callable[[Log], None] | None = None
        self.loop.listen((LOCAL, 0), self._accept)
        self.at = self.port()

    def port(self) -> Address:
        """Where it listens."""
        sock = next(iter(self.loop.listeners.values()))[0]
        return LOCAL, int(sock.getsockname()[1])

    def _accept(self, connection: Connection) -> Handler:
        log = Log(connection, self.on)
        self.taken.append(log)
        return log

    def ask(
        self,
        to: Address | None = None,
        on: Callable[[Log], None] | None = None,
        within: float = 1.0,
    ) -> Log:
        """Connect."""
        made: list[Log] = []

        def handler(connection: Connection) -> Handler:
            made.append(Log(connection, on))
            return made[0]

        self.loop.connect(to or self.at, handler, within)
        return made[0]

    def until(self, done: Callable[[], bool]) -> None:
        """Run until something is so."""
        late: list[bool] = []

        def look() -> None:
            if done():
                self.loop.exit(0)
            elif self.loop.now() > end:
                late.append(True)
                self.loop.exit(1)
            else:
                self.loop.after(0.001, look)

        end = self.loop.now() + GUARD_S
        self.loop.status = None
        look()
        self.loop.run()
        assert not late, "it did not come"
        assert not self.loop.errors


@pytest.fixture
def bed() -> Iterator[Bed]:
    made = Bed()
    yield made
    for wire in list(made.loop.connections.values()):
        wire.socket.close()
    for sock, _, _ in made.loop.listeners.values():
        sock.close()
    for ear, _ in made.loop.datagram_sockets.values():
        ear.close()
    made.loop.epoll.close()


def free_port() -> Address:
    """A port at which nobody listens or will, but who is told of it."""
    (port,) = free_ports(1)
    return LOCAL, port


def test_a_refused_connection_is_told_later_and_once(bed: Bed) -> None:
    log = bed.ask(free_port())
    log.connection.send(b"held")
    assert log.told == []
    bed.until(lambda: bool(log.told))
    assert log.told == ["closed refused"]
    log.connection.send(b"nothing")
    log.connection.close()
    log.connection.abort()
    bed.until(lambda: not bed.loop.ready)
    assert log.told == ["closed refused"]


def test_a_connection_that_is_not_up_in_time_is_given_up(bed: Bed) -> None:
    full = socket.socket()
    full.bind((LOCAL, 0))
    full.listen(0)
    at = (LOCAL, int(full.getsockname()[1]))
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:  # the queue of connections is full: opening packets are dropped
        filler.setblocking(False)
        filler.connect_ex(at)
    log = bed.ask(at, within=0.05)
    begun = bed.loop.now()
    bed.until(lambda: bool(log.told))
    assert log.told == ["closed timeout"]
    assert 0.04 < bed.loop.now() - begun < GUARD_S
    for sock in (full, *fillers):
        sock.close()


def test_megabytes_go_both_ways_at_once_whole_and_in_order(bed: Bed) -> None:
    sent = os.urandom(1 << 20) * 6
    answered: list[Log] = []

    def there(log: Log) -> None:
        if not answered:
            answered.append(log)
            log.connection.send(sent[::-1])

    bed.on = there
    log = bed.ask()
    for at in range(0, len(sent), 300_000):
        log.connection.send(sent[at : at + 300_000])
    assert log.connection.unsent == len(sent)
    bed.until(lambda: len(log.data) == len(sent) and bool(bed.taken) and len(bed.taken[0].data) == len(sent))
    assert bytes(bed.taken[0].data) == sent
    assert bytes(log.data) == sent[::-1]
    assert log.connection.unsent == bed.taken[0].connection.unsent == 0
    assert "drained" in log.told
    assert "drained" in bed.taken[0].told


def test_a_paused_reader_holds_the_writer_and_goes_on_when_resumed(bed: Bed) -> None:
    log = bed.ask()
    bed.until(lambda: bool(bed.taken))
    there = bed.taken[0]
    there.connection.pause()
    log.connection.send(bytes(16 << 20))
    last = [-1, -1, -1]

    def still() -> bool:
        last.append(log.connection.unsent)
        return len(set(last[-30:])) == 1 and len(last) > 30

    bed.until(still)
    held = log.connection.unsent
    assert held > 4 << 20
    assert there.data == b""
    assert "drained" not in log.told
    there.connection.resume()
    bed.until(lambda: len(there.data) == 16 << 20)
    bed.until(lambda: "drained" in log.told)
    assert log.connection.unsent == 0


def test_a_pause_from_within_a_read_is_heeded_at_once(bed: Bed) -> None:
    bed.on = lambda log: log.connection.pause()
    log = bed.ask()
    log.connection.send(bytes(4 << 20))
    bed.until(lambda: bool(bed.taken) and bool(bed.taken[0].data))
    before = len(bed.taken[0].data)
    turns = bed.loop.iterations
    bed.until(lambda: bed.loop.iterations > turns + 20)
    assert len(bed.taken[0].data) == before <= 64 * 1024


def test_half_close_leaves_the_other_way_open(bed: Bed) -> None:
    peer = socket.create_connection(bed.at)
    peer.sendall(b"all of it")
    peer.shutdown(socket.SHUT_WR)
    bed.until(lambda: bool(bed.taken) and "ended" in bed.taken[0].told)
    there = bed.taken[0]
    assert there.told == ["received", "ended"]
    there.connection.send(b"answer" * 1000)
    there.connection.close()
    bed.until(lambda: there.told[-1] == "closed ")
    peer.settimeout(GUARD_S)
    got = b""
    while data := peer.recv(65_536):
        got += data
    assert got == b"answer" * 1000
    peer.close()


@pytest.mark.parametrize("unread", [b"", b"not read yet"])
def test_the_end_of_a_paused_connection_is_told_and_its_bytes_stay(bed: Bed, unread: bytes) -> None:
    peer = socket.create_connection(bed.at)
    peer.sendall(b"first")
    bed.until(lambda: bool(bed.taken) and bool(bed.taken[0].data))
    there, seen = bed.taken[0], list[bytes]()
    there.connection.pause()
    there.connection.watch_half_close(lambda: seen.append(bytes(there.data)))
    peer.sendall(unread)
    peer.shutdown(socket.SHUT_WR)
    bed.until(lambda: bool(seen))
    turns = bed.loop.iterations
    bed.until(lambda: bed.loop.iterations > turns + 20)
    assert seen == [b"first"], "it is told once, and nothing is read"
    assert "ended" not in there.told
    there.connection.resume()
    bed.until(lambda: "ended" in there.told)
    assert there.data == b"first" + unread
    there.connection.close()
    peer.close()


def test_a_peer_that_has_closed_resets_what_is_sent_to_it_though_nothing_is_read(bed: Bed) -> None:
    peer = socket.create_connection(bed.at)
    peer.sendall(b"first")
    bed.until(lambda: bool(bed.taken) and bool(bed.taken[0].data))
    there = bed.taken[0]
    there.connection.pause()
    there.connection.watch_half_close(lambda: there.connection.send(b"are you there?"))
    peer.sendall(b"not read yet")
    peer.close()
    bed.until(lambda: there.told[-1].startswith("closed"))
    assert there.told[-1] == "closed reset"
    assert there.data == b"first"


def test_a_peer_that_has_closed_resets_what_is_sent_to_it_after_its_end(bed: Bed) -> None:
    peer = socket.create_connection(bed.at)
    peer.sendall(b"first")
    peer.close()
    bed.until(lambda: bool(bed.taken) and "ended" in bed.taken[0].told)
    there = bed.taken[0]
    there.connection.send(b"are you there?")
    bed.until(lambda: there.told[-1].startswith("closed"))
    assert there.told == ["received", "ended", "closed reset"]


def test_a_connection_that_is_read_has_no_watcher_called(bed: Bed) -> None:
    peer = socket.create_connection(bed.at)
    bed.until(lambda: bool(bed.taken))
    there, seen = bed.taken[0], list[int]()
    there.connection.watch_half_close(lambda: seen.append(1))
    peer.close()
    bed.until(lambda: "ended" in there.told)
    assert not seen
    there.connection.close()


def test_close_sends_what_is_held_and_abort_drops_it(bed: Bed) -> None:
    for end, whole in (("close", True), ("abort", False)):
        bed.taken.clear()
        log = bed.ask()
        bed.until(lambda: bool(bed.taken))
        there = bed.taken[0]
        there.connection.pause()
        log.connection.send(bytes(16 << 20))
        if end == "close":
            log.connection.close()
        else:
            log.connection.abort()
        assert not log.told[-1].startswith("closed"), "told from within the call"
        log.connection.send(b"behind the end")
        there.connection.resume()
        bed.until(lambda: there.told[-1:] == ["ended"])  # noqa: B023
        assert (len(there.data) == 16 << 20) == whole
        assert log.told[-1] == "closed "
        there.connection.close()
        bed.until(lambda: there.told[-1] == "closed ")  # noqa: B023


@pytest.mark.parametrize("paused", [False, True])
def test_a_reset_is_told_even_to_one_that_does_not_read(bed: Bed, paused: bool) -> None:
    peer = socket.create_connection(bed.at)
    bed.until(lambda: bool(bed.taken))
    if paused:
        bed.taken[0].connection.pause()
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    peer.close()
    bed.until(lambda: bool(bed.taken[0].told))
    assert bed.taken[0].told == ["closed reset"]


def test_writing_to_one_that_is_gone_is_told_as_a_reset(bed: Bed) -> None:
    peer = socket.create_connection(bed.at)
    bed.until(lambda: bool(bed.taken))
    there = bed.taken[0]
    there.connection.pause()
    peer.close()
    for _ in range(3):
        there.connection.send(bytes(1000))
        bed.until(lambda: not bed.loop.ready)
    bed.until(lambda: bool(there.told))
    assert there.told == ["closed reset"]


def test_what_is_sent_before_it_is_up_goes_first_and_a_close_waits_for_it(bed: Bed) -> None:
    log = bed.ask()
    log.connection.send(b"one ")
    log.connection.send(b"two")
    log.connection.close()
    bed.until(lambda: bool(bed.taken) and bed.taken[0].told[-1:] == ["ended"])
    assert bytes(bed.taken[0].data) == b"one two"
    assert log.told == ["opened", "closed "]


def test_a_connection_may_be_aborted_before_it_is_up_and_from_within_opened(bed: Bed) -> None:
    early = bed.ask()
    early.connection.abort()
    within = bed.ask(on=lambda log: log.connection.abort() if log.told == ["opened"] else None)
    bed.until(lambda: bool(early.told) and within.told[-1:] == ["closed "])
    assert early.told == ["closed "]
    assert within.told == ["opened", "closed "]


def test_unlisten_takes_no_further_ones_and_keeps_those_that_are_there() -> None:
    bed = Bed()
    at = free_port()
    bed.loop.listen(at, bed._accept)
    with pytest.raises(OSError, match="in use"):
        bed.loop.listen(at, bed._accept)
    first = bed.ask(at)
    bed.until(lambda: bool(bed.taken))
    bed.loop.stop_listening(at)
    second = bed.ask(at)
    first.connection.send(b"still")
    bed.until(lambda: bool(second.told) and bool(bed.taken[0].data))
    assert second.told == ["closed refused"]
    assert bytes(bed.taken[0].data) == b"still"


def test_timers_fire_in_their_order_once_and_not_when_cancelled(bed: Bed) -> None:
    fired: list[str] = []
    begun = bed.loop.now()
    bed.loop.after(0.02, lambda: fired.append("late"))
    bed.loop.after(0.01, lambda: fired.append("early"))
    bed.loop.after(0.01, lambda: fired.append("second"))
    cancelled = bed.loop.after(0.005, lambda: fired.append("cancelled"))

    def outer() -> None:
        bed.loop.after(0.0, lambda: fired.append("inner"))

    bed.loop.after(0.0, outer)
    cancelled.cancel()
    cancelled.cancel()
    bed.until(lambda: len(fired) == 4)
    assert fired == ["inner", "early", "second", "late"]
    assert bed.loop.now() - begun >= 0.02


def test_datagrams_carry_the_address_they_are_sent_from(bed: Bed) -> None:
    heard: list[tuple[Address, bytes]] = []
    mine, theirs = free_port(), free_port()
    other = EventLoop()

    def answer(sender: Address, data: bytes) -> None:
        other.send_datagram(sender, data[::-1])
        other.exit(0)

    other.listen_datagrams(theirs, answer)
    bed.loop.listen_datagrams(mine, lambda sender, data: heard.append((sender, data)))
    bed.loop.send_datagram(theirs, b"abc")
    bed.loop.send_datagram(free_port(), b"to nobody")
    other.after(GUARD_S, lambda: other.exit(1))
    other.run()
    bed.until(lambda: bool(heard))
    assert heard == [(theirs, b"cba")]
    next(iter(other.datagram_sockets.values()))[0].close()


def test_a_fault_in_a_call_ends_its_connection_and_the_process_goes_on(
    bed: Bed, capfd: pytest.CaptureFixture[str]
) -> None:
    def fail(log: Log) -> None:
        if log.told == ["received"]:
            raise RuntimeError("a fault of the program")

    bed.on = fail
    log = bed.ask()
    log.connection.send(b"x")
    nothing: dict[str, None] = {}
    bed.loop.after(0.0, lambda: nothing["none"])
    with pytest.raises(AssertionError, match="assert not 2"):
        bed.until(lambda: log.told[-1:] == ["ended"])
    said = capfd.readouterr().err
    assert "a fault of the program" in said
    assert "KeyError" in said
    bed.loop.errors, bed.on = 0, None
    again = bed.ask()
    again.connection.send(b"y")
    bed.until(lambda: bytes(bed.taken[-1].data) == b"y")


def test_signals_are_called_in_the_loops_own_turn(bed: Bed) -> None:
    before = {number: signal.getsignal(number) for number in (signal.SIGUSR1, signal.SIGHUP)}
    told: list[int] = []
    try:
        for number in before:
            bed.loop.on_signal(number, lambda number=number: told.append(number))  # type: ignore[misc]
        bed.loop.after(0.0, lambda: os.kill(os.getpid(), signal.SIGUSR1))
        bed.loop.after(0.005, lambda: os.kill(os.getpid(), signal.SIGHUP))
        bed.until(lambda: len(told) == 2)
        assert told == [signal.SIGUSR1, signal.SIGHUP]
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
        assert bed.loop.signals is not None
        bed.loop.signals.close()


def test_run_gives_the_status_it_was_ended_with() -> None:
    loop = EventLoop()
    loop.after(0.0, lambda: loop.exit(7))
    assert loop.run() == 7
    loop.epoll.close()


def test_files_are_written_whole_renamed_and_listed(tmp_path: Path) -> None:
    loop = EventLoop(str(tmp_path / "data"))
    assert loop.names() == []
    assert loop.read("a") is None
    loop.write("a", b"one")
    loop.write("b", bytes(100_000))
    loop.write("a", b"2")
    assert loop.read("a") == b"2"
    loop.rename("a", "b")
    assert (loop.read("a"), loop.read("b"), loop.names()) == (None, b"2", ["b"])
    loop.remove("b")
    loop.remove("b")
    assert loop.names() == []
    loop.epoll.close()
    bare = EventLoop(None)
    with pytest.raises(OSError, match="no disk"):
        bare.write("a", b"")
    bare.epoll.close()
