"""The event loop on real sockets, against the contracts of `transport/host.py`."""

from __future__ import annotations

import os
import select
import signal
import socket
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from honeywharf.standins.node import free_ports
from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.host import Address, Connection, Handler
from honeywharf.transport.tcp_connection import TcpConnection, is_all_acknowledged

LOCAL = "127.0.0.1"
TEST_TIMEOUT_S = 20.0
BUFFER_BYTES = {socket.SO_RCVBUF: 4096, socket.SO_SNDBUF: 1 << 20}


class RecordingHandler:
    """A handler that records its events and calls `on_event` after each."""

    def __init__(self, connection: Connection, on: Callable[[RecordingHandler], None] | None = None) -> None:
        self.connection, self.on_event = connection, on
        self.data = bytearray()
        self.events: list[str] = []

    def _record(self, event: str) -> None:
        assert not self.events or not self.events[-1].startswith("closed"), f"{event} after {self.events[-1]}"
        self.events.append(event)
        if self.on_event is not None:
            self.on_event(self)

    def opened(self) -> None:
        """Records the opening."""
        self._record("opened")

    def received(self, data: bytes) -> None:
        """Records received bytes; consecutive ones count as one event."""
        assert data
        self.data += data
        if self.events[-1:] == ["received"]:
            self.events.pop()
        self._record("received")

    def ended(self) -> None:
        """Records the half-close."""
        self._record("ended")

    def drained(self) -> None:
        """Records that the buffer is empty."""
        self._record("drained")

    def closed(self, why: str) -> None:
        """Records the close and its reason."""
        self._record(f"closed {why}")


class LoopFixture:
    """An event loop with one listener on a free port, and a time-out against hanging tests."""

    def __init__(self) -> None:
        self.loop = EventLoop()
        self.accepted: list[RecordingHandler] = []
        self.on_event: Callable[[RecordingHandler], None] | None = None
        self.loop.listen((LOCAL, 0), self._accept)
        self.address = self.port()

    def port(self) -> Address:
        """Returns the address of the listener."""
        sock = next(iter(self.loop.listeners.values()))[0]
        return LOCAL, int(sock.getsockname()[1])

    def _accept(self, connection: Connection) -> Handler:
        client = RecordingHandler(connection, self.on_event)
        self.accepted.append(client)
        return client

    def connect_to_listener(
        self,
        to: Address | None = None,
        on: Callable[[RecordingHandler], None] | None = None,
        within: float = 1.0,
    ) -> RecordingHandler:
        """Opens a connection."""
        made: list[RecordingHandler] = []

        def handler(connection: Connection) -> Handler:
            made.append(RecordingHandler(connection, on))
            return made[0]

        self.loop.connect(to or self.address, handler, within)
        return made[0]

    def run_until(self, done: Callable[[], bool]) -> None:
        """Runs the loop until `done` is true."""
        timed_out: list[bool] = []

        def check() -> None:
            if done():
                self.loop.exit(0)
            elif self.loop.now() > end:
                timed_out.append(True)
                self.loop.exit(1)
            else:
                self.loop.after(0.001, check)

        end = self.loop.now() + TEST_TIMEOUT_S
        self.loop.status = None
        check()
        self.loop.run()
        assert not timed_out, "the condition did not become true in time"
        assert not self.loop.errors


@pytest.fixture
def loop_fixture() -> Iterator[LoopFixture]:
    made = LoopFixture()
    yield made
    for connection in list(made.loop.connections.values()):
        connection.socket.close()
    for sock, _, _ in made.loop.listeners.values():
        sock.close()
    for datagram_socket, _ in made.loop.datagram_sockets.values():
        datagram_socket.close()
    made.loop.epoll.close()


def free_port() -> Address:
    """Returns a free port that no other test uses."""
    (port,) = free_ports(1)
    return LOCAL, port


def test_a_refused_connection_is_reported_later_and_once(loop_fixture: LoopFixture) -> None:
    client = loop_fixture.connect_to_listener(free_port())
    client.connection.send(b"held")
    assert client.events == []
    loop_fixture.run_until(lambda: bool(client.events))
    assert client.events == ["closed refused"]
    client.connection.send(b"nothing")
    client.connection.close()
    client.connection.abort()
    loop_fixture.run_until(lambda: not loop_fixture.loop.ready)
    assert client.events == ["closed refused"]


def test_connecting_times_out(loop_fixture: LoopFixture) -> None:
    full = socket.socket()
    full.bind((LOCAL, 0))
    full.listen(0)
    at = (LOCAL, int(full.getsockname()[1]))
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:  # Fills the listen queue, so that further SYN packets are dropped.
        filler.setblocking(False)
        filler.connect_ex(at)
    client = loop_fixture.connect_to_listener(at, within=0.05)
    begun = loop_fixture.loop.now()
    loop_fixture.run_until(lambda: bool(client.events))
    assert client.events == ["closed timeout"]
    assert 0.04 < loop_fixture.loop.now() - begun < TEST_TIMEOUT_S
    for sock in (full, *fillers):
        sock.close()


def test_large_transfers_in_both_directions_keep_all_bytes_in_order(loop_fixture: LoopFixture) -> None:
    sent = os.urandom(1 << 20) * 6
    answered: list[RecordingHandler] = []

    def server(client: RecordingHandler) -> None:
        if not answered:
            answered.append(client)
            client.connection.send(sent[::-1])

    loop_fixture.on_event = server
    client = loop_fixture.connect_to_listener()
    for at in range(0, len(sent), 300_000):
        client.connection.send(sent[at : at + 300_000])
    assert client.connection.unsent == len(sent)
    loop_fixture.run_until(
        lambda: (
            len(client.data) == len(sent)
            and bool(loop_fixture.accepted)
            and len(loop_fixture.accepted[0].data) == len(sent)
        )
    )
    assert bytes(loop_fixture.accepted[0].data) == sent
    assert bytes(client.data) == sent[::-1]
    assert client.connection.unsent == loop_fixture.accepted[0].connection.unsent == 0
    assert "drained" in client.events
    assert "drained" in loop_fixture.accepted[0].events


def test_a_paused_reader_stops_the_writer_until_it_resumes(loop_fixture: LoopFixture) -> None:
    client = loop_fixture.connect_to_listener()
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted))
    server = loop_fixture.accepted[0]
    server.connection.pause()
    client.connection.send(bytes(16 << 20))
    last = [-1, -1, -1]

    def still() -> bool:
        last.append(client.connection.unsent)
        return len(set(last[-30:])) == 1 and len(last) > 30

    loop_fixture.run_until(still)
    held = client.connection.unsent
    assert held > 4 << 20
    assert server.data == b""
    assert "drained" not in client.events
    server.connection.resume()
    loop_fixture.run_until(lambda: len(server.data) == 16 << 20)
    loop_fixture.run_until(lambda: "drained" in client.events)
    assert client.connection.unsent == 0


def test_a_pause_within_a_read_takes_effect_at_once(loop_fixture: LoopFixture) -> None:
    loop_fixture.on_event = lambda client: client.connection.pause()
    client = loop_fixture.connect_to_listener()
    client.connection.send(bytes(4 << 20))
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted) and bool(loop_fixture.accepted[0].data))
    before = len(loop_fixture.accepted[0].data)
    iterations_before = loop_fixture.loop.iterations
    loop_fixture.run_until(lambda: loop_fixture.loop.iterations > iterations_before + 20)
    assert len(loop_fixture.accepted[0].data) == before <= 64 * 1024


def test_sending_continues_after_a_half_close(loop_fixture: LoopFixture) -> None:
    peer = socket.create_connection(loop_fixture.address)
    peer.sendall(b"all of it")
    peer.shutdown(socket.SHUT_WR)
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted) and "ended" in loop_fixture.accepted[0].events)
    server = loop_fixture.accepted[0]
    assert server.events == ["received", "ended"]
    server.connection.send(b"answer" * 1000)
    server.connection.close()
    loop_fixture.run_until(lambda: server.events[-1] == "closed ")
    peer.settimeout(TEST_TIMEOUT_S)
    got = b""
    while data := peer.recv(65_536):
        got += data
    assert got == b"answer" * 1000
    peer.close()


@pytest.mark.parametrize("unread", [b"", b"not read yet"])
def test_a_half_close_on_a_paused_connection_is_reported_without_reading(
    loop_fixture: LoopFixture, unread: bytes
) -> None:
    peer = socket.create_connection(loop_fixture.address)
    peer.sendall(b"first")
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted) and bool(loop_fixture.accepted[0].data))
    server, seen = loop_fixture.accepted[0], list[bytes]()
    server.connection.pause()
    server.connection.watch_half_close(lambda: seen.append(bytes(server.data)))
    peer.sendall(unread)
    peer.shutdown(socket.SHUT_WR)
    loop_fixture.run_until(lambda: bool(seen))
    iterations_before = loop_fixture.loop.iterations
    loop_fixture.run_until(lambda: loop_fixture.loop.iterations > iterations_before + 20)
    assert seen == [b"first"], "it is reported once, and nothing is read"
    assert "ended" not in server.events
    server.connection.resume()
    loop_fixture.run_until(lambda: "ended" in server.events)
    assert server.data == b"first" + unread
    server.connection.close()
    peer.close()


def test_sending_to_a_closed_peer_reports_a_reset_while_paused(loop_fixture: LoopFixture) -> None:
    peer = socket.create_connection(loop_fixture.address)
    peer.sendall(b"first")
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted) and bool(loop_fixture.accepted[0].data))
    server = loop_fixture.accepted[0]
    server.connection.pause()
    server.connection.watch_half_close(lambda: server.connection.send(b"are you there?"))
    peer.sendall(b"not read yet")
    peer.close()
    loop_fixture.run_until(lambda: server.events[-1].startswith("closed"))
    assert server.events[-1] == "closed reset"
    assert server.data == b"first"


def test_sending_to_a_closed_peer_reports_a_reset_after_its_end(loop_fixture: LoopFixture) -> None:
    peer = socket.create_connection(loop_fixture.address)
    peer.sendall(b"first")
    peer.close()
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted) and "ended" in loop_fixture.accepted[0].events)
    server = loop_fixture.accepted[0]
    server.connection.send(b"are you there?")
    loop_fixture.run_until(lambda: server.events[-1].startswith("closed"))
    assert server.events == ["received", "ended", "closed reset"]


def test_a_half_close_is_not_watched_on_a_reading_connection(loop_fixture: LoopFixture) -> None:
    peer = socket.create_connection(loop_fixture.address)
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted))
    server, seen = loop_fixture.accepted[0], list[int]()
    server.connection.watch_half_close(lambda: seen.append(1))
    peer.close()
    loop_fixture.run_until(lambda: "ended" in server.events)
    assert not seen
    server.connection.close()


def test_close_sends_buffered_bytes_and_abort_drops_them(loop_fixture: LoopFixture) -> None:
    for end, whole in (("close", True), ("abort", False)):
        loop_fixture.accepted.clear()
        client = loop_fixture.connect_to_listener()
        loop_fixture.run_until(lambda: bool(loop_fixture.accepted))
        server = loop_fixture.accepted[0]
        server.connection.pause()
        client.connection.send(bytes(16 << 20))
        if end == "close":
            client.connection.close()
        else:
            client.connection.abort()
        assert not client.events[-1].startswith("closed"), "reported within the call"
        client.connection.send(b"behind the end")
        server.connection.resume()
        loop_fixture.run_until(lambda: server.events[-1:] == ["ended"])  # noqa: B023
        assert (len(server.data) == 16 << 20) == whole
        assert client.events[-1] == "closed "
        server.connection.close()
        loop_fixture.run_until(lambda: server.events[-1] == "closed ")  # noqa: B023


@pytest.mark.parametrize("paused", [False, True])
def test_a_reset_is_reported_even_while_paused(loop_fixture: LoopFixture, paused: bool) -> None:
    peer = socket.create_connection(loop_fixture.address)
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted))
    if paused:
        loop_fixture.accepted[0].connection.pause()
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    peer.close()
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted[0].events))
    assert loop_fixture.accepted[0].events == ["closed reset"]


def test_repeated_sends_to_a_closed_peer_report_one_reset(loop_fixture: LoopFixture) -> None:
    peer = socket.create_connection(loop_fixture.address)
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted))
    server = loop_fixture.accepted[0]
    server.connection.pause()
    peer.close()
    for _ in range(3):
        server.connection.send(bytes(1000))
        loop_fixture.run_until(lambda: not loop_fixture.loop.ready)
    loop_fixture.run_until(lambda: bool(server.events))
    assert server.events == ["closed reset"]


def test_bytes_sent_before_the_connection_opens_arrive_before_a_close(loop_fixture: LoopFixture) -> None:
    client = loop_fixture.connect_to_listener()
    client.connection.send(b"one ")
    client.connection.send(b"two")
    client.connection.close()
    loop_fixture.run_until(
        lambda: bool(loop_fixture.accepted) and loop_fixture.accepted[0].events[-1:] == ["ended"]
    )
    assert bytes(loop_fixture.accepted[0].data) == b"one two"
    assert client.events == ["opened", "closed "]


def test_abort_works_before_and_within_opened(loop_fixture: LoopFixture) -> None:
    early = loop_fixture.connect_to_listener()
    early.connection.abort()
    within = loop_fixture.connect_to_listener(
        on=lambda client: client.connection.abort() if client.events == ["opened"] else None
    )
    loop_fixture.run_until(lambda: bool(early.events) and within.events[-1:] == ["closed "])
    assert early.events == ["closed "]
    assert within.events == ["opened", "closed "]


@pytest.mark.parametrize("end", ["waits", "half-closes", "closes", "resets"])
def test_delivery_is_reported_only_while_the_peer_is_open(loop_fixture: LoopFixture, end: str) -> None:
    """Guards against EVAC: an order took effect though its caller had closed the connection."""
    delivered: list[str] = []
    with socket.create_connection(loop_fixture.address) as caller:
        caller.send(b"order")
        loop_fixture.run_until(lambda: bool(loop_fixture.accepted and loop_fixture.accepted[0].data))
        server = loop_fixture.accepted[0]
        if end == "half-closes":
            caller.shutdown(socket.SHUT_WR)
        elif end == "closes":
            caller.close()
        elif end == "resets":
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            caller.close()
        server.connection.send(b"interim")
        server.connection.watch_delivery(lambda: delivered.append(end))
        is_open = end in ("waits", "half-closes")
        loop_fixture.run_until(lambda: bool(delivered) if is_open else "closed reset" in server.events)
        loop_fixture.run_until(lambda: True)
    assert delivered == ([end] if is_open else [])


@pytest.mark.parametrize("is_buffered", [False, True])
def test_delivery_is_not_reported_while_bytes_are_unacknowledged(
    loop_fixture: LoopFixture, is_buffered: bool
) -> None:
    """Guards against EVAC: bytes in the kernel's buffer, or in the loop's, are no proof of anything."""
    delivered: list[bool] = []
    client = loop_fixture.connect_to_listener()
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted))
    server = loop_fixture.accepted[0]
    client.connection.pause()
    size = 32 << 20 if is_buffered else 150_000
    if not is_buffered:
        for handler, option in ((client, socket.SO_RCVBUF), (server, socket.SO_SNDBUF)):
            assert isinstance(handler.connection, TcpConnection)
            handler.connection.socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES[option])
    server.connection.send(b"x" * size)
    server.connection.watch_delivery(lambda: delivered.append(True))
    assert bool(server.connection.unsent) == is_buffered
    polls = loop_fixture.loop.iterations + 50
    loop_fixture.run_until(lambda: loop_fixture.loop.iterations > polls)
    assert not delivered
    client.connection.resume()
    loop_fixture.run_until(lambda: bool(delivered))
    loop_fixture.run_until(lambda: len(client.data) == size)


def test_a_connection_that_was_reset_has_acknowledged_nothing(loop_fixture: LoopFixture) -> None:
    """Guards against EVAC: the kernel reports an empty queue of a connection that was reset."""
    with socket.create_server((LOCAL, 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
        with server:
            caller.send(b"order")
            assert server.recv(16) == b"order"
            assert is_all_acknowledged(server)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            caller.close()
            lost = select.poll()
            lost.register(server, 0)
            assert lost.poll(1000 * TEST_TIMEOUT_S)
            assert not is_all_acknowledged(server)


def test_delivery_waits_for_bytes_that_the_loop_has_not_written(loop_fixture: LoopFixture) -> None:
    """Guards against EVAC: the kernel's queue is empty, but the loop still has bytes to write."""
    delivered: list[bool] = []
    loop_fixture.connect_to_listener()
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted))
    connection = loop_fixture.accepted[0].connection
    assert isinstance(connection, TcpConnection)
    connection.buffer.append(b"interim")
    connection.watch_delivery(lambda: delivered.append(True))
    polls = loop_fixture.loop.iterations + 20
    loop_fixture.run_until(lambda: loop_fixture.loop.iterations > polls)
    assert not delivered
    connection.buffer.clear()
    loop_fixture.run_until(lambda: bool(delivered))


def test_stop_listening_keeps_open_connections() -> None:
    loop_fixture = LoopFixture()
    at = free_port()
    loop_fixture.loop.listen(at, loop_fixture._accept)
    with pytest.raises(OSError, match="in use"):
        loop_fixture.loop.listen(at, loop_fixture._accept)
    first = loop_fixture.connect_to_listener(at)
    loop_fixture.run_until(lambda: bool(loop_fixture.accepted))
    loop_fixture.loop.stop_listening(at)
    second = loop_fixture.connect_to_listener(at)
    first.connection.send(b"still")
    loop_fixture.run_until(lambda: bool(second.events) and bool(loop_fixture.accepted[0].data))
    assert second.events == ["closed refused"]
    assert bytes(loop_fixture.accepted[0].data) == b"still"


def test_timers_fire_once_in_order_unless_cancelled(loop_fixture: LoopFixture) -> None:
    fired: list[str] = []
    begun = loop_fixture.loop.now()
    loop_fixture.loop.after(0.02, lambda: fired.append("late"))
    loop_fixture.loop.after(0.01, lambda: fired.append("early"))
    loop_fixture.loop.after(0.01, lambda: fired.append("second"))
    cancelled = loop_fixture.loop.after(0.005, lambda: fired.append("cancelled"))

    def outer() -> None:
        loop_fixture.loop.after(0.0, lambda: fired.append("inner"))

    loop_fixture.loop.after(0.0, outer)
    cancelled.cancel()
    cancelled.cancel()
    loop_fixture.run_until(lambda: len(fired) == 4)
    assert fired == ["inner", "early", "second", "late"]
    assert loop_fixture.loop.now() - begun >= 0.02


def test_datagrams_carry_their_source_address(loop_fixture: LoopFixture) -> None:
    datagrams: list[tuple[Address, bytes]] = []
    local_address, peer_address = free_port(), free_port()
    other = EventLoop()

    def answer(sender: Address, data: bytes) -> None:
        other.send_datagram(sender, data[::-1])
        other.exit(0)

    other.listen_datagrams(peer_address, answer)
    loop_fixture.loop.listen_datagrams(local_address, lambda sender, data: datagrams.append((sender, data)))
    loop_fixture.loop.send_datagram(peer_address, b"abc")
    loop_fixture.loop.send_datagram(free_port(), b"to nobody")
    other.after(TEST_TIMEOUT_S, lambda: other.exit(1))
    other.run()
    loop_fixture.run_until(lambda: bool(datagrams))
    assert datagrams == [(peer_address, b"cba")]
    next(iter(other.datagram_sockets.values()))[0].close()


def test_an_exception_in_a_call_closes_only_its_connection(
    loop_fixture: LoopFixture, capfd: pytest.CaptureFixture[str]
) -> None:
    def fail(client: RecordingHandler) -> None:
        if client.events == ["received"]:
            raise RuntimeError("a fault of the program")

    loop_fixture.on_event = fail
    client = loop_fixture.connect_to_listener()
    client.connection.send(b"x")
    nothing: dict[str, None] = {}
    loop_fixture.loop.after(0.0, lambda: nothing["none"])
    with pytest.raises(AssertionError, match="assert not 2"):
        loop_fixture.run_until(lambda: client.events[-1:] == ["ended"])
    error_output = capfd.readouterr().err
    assert "a fault of the program" in error_output
    assert "KeyError" in error_output
    loop_fixture.loop.errors, loop_fixture.on_event = 0, None
    again = loop_fixture.connect_to_listener()
    again.connection.send(b"y")
    loop_fixture.run_until(lambda: bytes(loop_fixture.accepted[-1].data) == b"y")


def test_signals_are_handled_by_the_event_loop(loop_fixture: LoopFixture) -> None:
    before = {number: signal.getsignal(number) for number in (signal.SIGUSR1, signal.SIGHUP)}
    events: list[int] = []
    try:
        for number in before:
            loop_fixture.loop.on_signal(number, lambda number=number: events.append(number))  # type: ignore[misc]
        loop_fixture.loop.after(0.0, lambda: os.kill(os.getpid(), signal.SIGUSR1))
        loop_fixture.loop.after(0.005, lambda: os.kill(os.getpid(), signal.SIGHUP))
        loop_fixture.run_until(lambda: len(events) == 2)
        assert events == [signal.SIGUSR1, signal.SIGHUP]
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
        assert loop_fixture.loop.signals is not None
        loop_fixture.loop.signals.close()


def test_run_returns_the_exit_status() -> None:
    loop = EventLoop()
    loop.after(0.0, lambda: loop.exit(7))
    assert loop.run() == 7
    loop.epoll.close()


def test_files_are_written_renamed_and_listed(tmp_path: Path) -> None:
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
