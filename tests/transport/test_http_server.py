"""The HTTP server: one request at a time, one long body at a time, malformed requests."""

from __future__ import annotations

import pytest

from honeywharf.simulation.machine import Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport.http_server import (
    IDLE_TIMEOUT_S,
    MAX_CONNECTIONS,
    MAX_SMALL_BODY_BYTES,
    HttpRequest,
    HttpServer,
)

SERVER_IP, SERVER_ADDRESS = "10.1.0.12", ("10.1.0.12", 8306)


class RecordingClient:
    """A client connection that records the response."""

    def __init__(self, host: Process) -> None:
        self.data = b""
        self.close_reason: str | None = None
        self.connection = host.connect(SERVER_ADDRESS, lambda connection: self)

    def opened(self) -> None:
        """Does nothing."""

    def received(self, data: bytes) -> None:
        """Records received bytes."""
        self.data += data

    def ended(self) -> None:
        """Closes the connection."""
        self.connection.close()

    def drained(self) -> None:
        """Does nothing."""

    def closed(self, why: str) -> None:
        """Records the reason of the close."""
        self.close_reason = why

    @property
    def statuses(self) -> list[int]:
        """Returns the statuses of the responses so far."""
        return [int(part[:3]) for part in self.data.split(b"HTTP/1.1 ")[1:]]


class ServerFixture:
    """A server on one machine and clients on another; the test answers the recorded requests."""

    def __init__(self, max_body_size: int = 4 << 20) -> None:
        self.world = World(1)
        self.world.strict = True
        network = Network(self.world)
        self.requests: list[HttpRequest] = []
        self.answers_at_once = False
        self.server_process = Process(
            Machine(network, SERVER_IP, "a"),
            "door",
            lambda host: HttpServer(host, SERVER_ADDRESS, self._take, max_body_size),
        )
        self.client_process = Process(Machine(network, "10.1.0.99", "a"), "caller", lambda host: None)
        self.server_process.start()
        self.client_process.start()
        self.run()

    def _take(self, request: HttpRequest) -> None:
        self.requests.append(request)
        if self.answers_at_once:
            request.answer(200, b"n%d" % len(self.requests))

    @property
    def server(self) -> HttpServer:
        """Returns the server under test."""
        assert isinstance(self.server_process.program, HttpServer)
        return self.server_process.program

    def connect(self, data: bytes = b"", seconds: float = 0.05) -> RecordingClient:
        """Connects and sends data."""
        client = RecordingClient(self.client_process)
        client.connection.send(data)
        self.run(seconds)
        return client

    def run(self, seconds: float = 0.05) -> None:
        """Runs the simulation; an exception in a program fails the test."""
        self.world.run(self.world.now + seconds)
        assert not self.world.crashes, self.world.crashes[0][2]


def post_request(path: bytes = b"/a", body: bytes = b"{}", extra_lines: bytes = b"") -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: h\r\n%bContent-Length: %d\r\n\r\n%b" % (
        path,
        extra_lines,
        len(body),
        body,
    )


def test_a_request_is_complete_and_answered_once() -> None:
    fixture = ServerFixture()
    client = fixture.connect(post_request(body=b"x" * 9000))
    (request,) = fixture.requests
    assert (request.method, request.path, request.body, request.peer[0]) == (
        b"POST",
        b"/a",
        b"x" * 9000,
        "10.1.0.99",
    )
    assert client.data == b""
    request.answer(201, b'{"a":1}', b"X-A: 1\r\n")
    request.answer(500, b"again")
    fixture.run()
    assert client.data == (
        b"HTTP/1.1 201 Created\r\nContent-Length: 7\r\nContent-Type: application/json\r\n"
        b'X-A: 1\r\n\r\n{"a":1}'
    )
    assert client.close_reason is None


@pytest.mark.parametrize("is_pipelined", [True, False])
def test_requests_of_one_connection_are_handled_one_at_a_time_in_order(is_pipelined: bool) -> None:
    fixture = ServerFixture()
    requests = [
        post_request(b"/%d" % n, extra_lines=b"Connection: close\r\n" if n == 4 else b"") for n in range(5)
    ]
    client = fixture.connect(b"".join(requests) if is_pipelined else b"")
    if not is_pipelined:
        for data in requests:
            client.connection.send(data)
            fixture.run(0.01)
    for n in range(5):
        assert len(fixture.requests) == n + 1, "a request was handled while another was in progress"
        assert fixture.requests[n].path == b"/%d" % n
        fixture.requests[n].answer(200 + n)
        fixture.run()
    assert client.statuses == [200, 201, 202, 203, 204]
    assert client.close_reason is not None


def test_pipelined_requests_may_be_answered_within_the_handler() -> None:
    fixture = ServerFixture()
    fixture.answers_at_once = True
    client = fixture.connect(b"".join(post_request(b"/%d" % n) for n in range(50)))
    assert client.statuses == [200] * 50
    assert [request.path for request in fixture.requests] == [b"/%d" % n for n in range(50)]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (post_request(body=bytes(5 << 20))[:100], 413),
        (b"GET / HTTP/1.1\r\nX: " + b"y" * 40_000, 431),
    ],
)
def test_a_malformed_request_is_answered_and_the_connection_closed(data: bytes, status: int) -> None:
    fixture = ServerFixture()
    client = fixture.connect(data, seconds=0.5)
    assert client.statuses == [status]
    assert b"Connection: close" in client.data
    assert client.close_reason is not None
    assert not fixture.requests
    assert fixture.server.connections == 0


def test_long_bodies_are_read_one_at_a_time() -> None:
    fixture = ServerFixture()
    size = 8 * MAX_SMALL_BODY_BYTES
    first = fixture.connect(post_request(body=b"a" * size)[:-1], seconds=0.5)
    second = fixture.connect(post_request(body=b"b" * size), seconds=0.5)
    third = fixture.connect(post_request(body=b"c" * size), seconds=0.5)
    assert not fixture.requests
    for waiting in (second, third):
        assert waiting.connection.unsent > size - MAX_SMALL_BODY_BYTES - 300_000
    short = fixture.connect(post_request(body=b"s" * MAX_SMALL_BODY_BYTES), seconds=0.5)
    assert [request.body[:1] for request in fixture.requests] == [b"s"]
    fixture.requests.pop().answer(200)
    first.connection.send(b"a")
    fixture.run(0.5)
    assert [request.body for request in fixture.requests] == [b"a" * size]
    fixture.requests[0].answer(200)
    fixture.run(0.5)
    assert [request.body[:1] for request in fixture.requests] == [b"a", b"b"]
    second.connection.abort()  # The next long body may be read.
    fixture.run(0.5)
    assert [request.body[:1] for request in fixture.requests] == [b"a", b"b", b"c"]
    fixture.requests[2].answer(200)
    fixture.run(0.5)
    assert third.statuses == first.statuses == short.statuses == [200]
    assert fixture.server.long_bodies == []


def test_a_stalled_long_body_does_not_block_the_next_one() -> None:
    fixture = ServerFixture()
    first = fixture.connect(post_request(body=b"a" * 4 * MAX_SMALL_BODY_BYTES)[:-1], seconds=0.5)
    second = fixture.connect(post_request(body=b"b" * 4 * MAX_SMALL_BODY_BYTES), seconds=0.5)
    fixture.run(IDLE_TIMEOUT_S + 1.0)
    assert first.close_reason is not None
    fixture.run(0.5)
    assert [request.body[:1] for request in fixture.requests] == [b"b"]
    fixture.requests[0].answer(200)
    fixture.run()
    assert second.statuses == [200]


def test_only_an_idle_connection_is_closed() -> None:
    fixture = ServerFixture()
    idle_client, busy_client = fixture.connect(), fixture.connect(post_request())
    fixture.run(IDLE_TIMEOUT_S + 1.0)
    assert idle_client.close_reason is not None
    assert busy_client.close_reason is None
    fixture.requests[0].answer(200)
    fixture.run()
    assert busy_client.statuses == [200]


def test_connections_are_bounded() -> None:
    fixture = ServerFixture()
    clients = [RecordingClient(fixture.client_process) for _ in range(MAX_CONNECTIONS + 20)]
    fixture.run(1.0)
    assert fixture.server.connections <= MAX_CONNECTIONS
    assert sum(v.close_reason is None for v in clients) == MAX_CONNECTIONS


def test_an_answer_to_a_closed_connection_has_no_effect() -> None:
    fixture = ServerFixture()
    client = fixture.connect(post_request(body=bytes(2 * MAX_SMALL_BODY_BYTES)), seconds=0.5)
    client.connection.abort()
    fixture.run()
    fixture.requests[0].answer(200)
    fixture.run()
    assert client.data == b""
    assert fixture.server.connections == 0
    assert fixture.server.long_bodies == []


def test_expect_100_continue_is_answered() -> None:
    fixture = ServerFixture()
    client = fixture.connect(post_request(body=b"abc", extra_lines=b"Expect: 100-continue\r\n")[:-3])
    assert client.data == b"HTTP/1.1 100 Continue\r\n\r\n"
    client.connection.send(b"abc")
    fixture.run()
    assert fixture.requests[0].body == b"abc"


@pytest.mark.parametrize("leaves", [False, True])
def test_a_caller_is_confirmed_only_if_it_waits(leaves: bool) -> None:
    """Guards against EVAC: an order took effect though its caller had closed the connection."""
    fixture, confirmed = ServerFixture(), list[bool]()
    client = fixture.connect(post_request())
    (request,) = fixture.requests
    if leaves:
        client.connection.close()
    request.confirm_caller(lambda: confirmed.append(True))
    assert not confirmed
    fixture.run()
    request.answer(200)
    fixture.run()
    assert confirmed == ([] if leaves else [True])
    assert client.statuses == ([] if leaves else [100, 200])


def test_a_caller_without_interim_responses_is_known() -> None:
    fixture = ServerFixture()
    fixture.connect(b"POST /a HTTP/1.0\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
    fixture.connect(post_request())
    assert [request.takes_interim_responses for request in fixture.requests] == [False, True]


def test_a_closed_server_accepts_nobody_and_answers_pending_requests() -> None:
    fixture = ServerFixture()
    client = fixture.connect(post_request())
    fixture.server.close()
    later_client = fixture.connect(post_request())
    assert later_client.close_reason == "refused"
    fixture.requests[0].answer(200)
    fixture.run()
    assert client.statuses == [200]
    assert b"Connection: close" in client.data
    assert client.close_reason is not None


def test_a_malformed_pipelined_request_is_answered_after_the_pending_ones() -> None:
    fixture = ServerFixture()
    client = fixture.connect(post_request(b"/1") + post_request(b"/2") + b"nonsense\r\n\r\n")
    assert client.statuses == []
    fixture.requests[0].answer(202)
    fixture.run()
    assert client.statuses == [202]
    fixture.requests[1].answer(200)
    fixture.run()
    assert client.statuses == [202, 200, 400]
    assert client.close_reason is not None


def test_100_continue_is_not_sent_before_a_pending_answer() -> None:
    fixture = ServerFixture()
    client = fixture.connect(
        post_request(b"/1") + post_request(b"/2", extra_lines=b"Expect: 100-continue\r\n")
    )
    assert client.statuses == []
    fixture.requests[0].answer(202)
    fixture.run()
    fixture.requests[1].answer(200)
    fixture.run()
    assert client.statuses == [202, 200]


def test_a_reset_between_two_requests_releases_the_connection() -> None:
    fixture = ServerFixture()
    client = fixture.connect(post_request(b"/1"))
    client.connection.send(post_request(b"/2"))
    fixture.run()
    client.connection.abort()
    fixture.requests[0].answer(200)  # The second request is read after the reset.
    fixture.run()
    assert len(fixture.requests) == 1
    assert fixture.server.connections == 0
