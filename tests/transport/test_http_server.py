"""The door for calls: whole calls one at a time, long bodies one after the other, and what is no call."""

from __future__ import annotations

import pytest

from honeywharf.simulation.machine import Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport.http_server import (
    IDLE_TIMEOUT_S,
    MAX_CONNECTIONS,
    MAX_SMALL_BODY,
    HttpRequest,
    HttpServer,
)

IP, AT = "10.1.0.12", ("10.1.0.12", 8306)


class Visitor:
    """A caller's connection."""

    def __init__(self, host: Process) -> None:
        self.data = b""
        self.gone: str | None = None
        self.connection = host.connect(AT, lambda connection: self)

    def opened(self) -> None:
        """Up."""

    def received(self, data: bytes) -> None:
        """Bytes."""
        self.data += data

    def ended(self) -> None:
        """Half closed."""
        self.connection.close()

    def drained(self) -> None:
        """All gone."""

    def closed(self, why: str) -> None:
        """Gone."""
        self.gone = why

    @property
    def statuses(self) -> list[int]:
        """Statuses of the answers so far."""
        return [int(part[:3]) for part in self.data.split(b"HTTP/1.1 ")[1:]]


class Hall:
    """A door on one machine, callers on another; calls are kept, answers are the test's."""

    def __init__(self, most_body: int = 4 << 20) -> None:
        self.world = World(1)
        self.world.strict = True
        network = Network(self.world)
        self.calls: list[HttpRequest] = []
        self.at_once = False
        self.inside = Process(
            Machine(network, IP, "a"), "door", lambda host: HttpServer(host, AT, self._take, most_body)
        )
        self.outside = Process(Machine(network, "10.1.0.99", "a"), "caller", lambda host: None)
        self.inside.start()
        self.outside.start()
        self.run()

    def _take(self, call: HttpRequest) -> None:
        self.calls.append(call)
        if self.at_once:
            call.answer(200, b"n%d" % len(self.calls))

    @property
    def door(self) -> HttpServer:
        """What is tested."""
        assert isinstance(self.inside.program, HttpServer)
        return self.inside.program

    def visit(self, data: bytes = b"", seconds: float = 0.05) -> Visitor:
        """Connect and send."""
        visitor = Visitor(self.outside)
        visitor.connection.send(data)
        self.run(seconds)
        return visitor

    def run(self, seconds: float = 0.05) -> None:
        """Let time pass; a fault of a program fails the test."""
        self.world.run(self.world.now + seconds)
        assert not self.world.crashes, self.world.crashes[0][2]


def post(path: bytes = b"/a", body: bytes = b"{}", more: bytes = b"") -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: h\r\n%bContent-Length: %d\r\n\r\n%b" % (path, more, len(body), body)


def test_a_call_comes_whole_and_its_answer_goes_once() -> None:
    hall = Hall()
    visitor = hall.visit(post(body=b"x" * 9000))
    (call,) = hall.calls
    assert (call.method, call.path, call.body, call.peer[0]) == (b"POST", b"/a", b"x" * 9000, "10.1.0.99")
    assert visitor.data == b""
    call.answer(201, b'{"a":1}', b"X-A: 1\r\n")
    call.answer(500, b"again")
    hall.run()
    assert visitor.data == (
        b"HTTP/1.1 201 Created\r\nContent-Length: 7\r\nContent-Type: application/json\r\n"
        b'X-A: 1\r\n\r\n{"a":1}'
    )
    assert visitor.gone is None


@pytest.mark.parametrize("together", [True, False])
def test_calls_on_one_connection_are_taken_one_at_a_time_in_order(together: bool) -> None:
    hall = Hall()
    calls = [post(b"/%d" % n, more=b"Connection: close\r\n" if n == 4 else b"") for n in range(5)]
    visitor = hall.visit(b"".join(calls) if together else b"")
    if not together:
        for data in calls:
            visitor.connection.send(data)
            hall.run(0.01)
    for n in range(5):
        assert len(hall.calls) == n + 1, "a call was taken while another was at work"
        assert hall.calls[n].path == b"/%d" % n
        hall.calls[n].answer(200 + n)
        hall.run()
    assert visitor.statuses == [200, 201, 202, 203, 204]
    assert visitor.gone is not None


def test_answers_from_within_the_call_serve_pipelined_calls() -> None:
    hall = Hall()
    hall.at_once = True
    visitor = hall.visit(b"".join(post(b"/%d" % n) for n in range(50)))
    assert visitor.statuses == [200] * 50
    assert [call.path for call in hall.calls] == [b"/%d" % n for n in range(50)]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (post(body=bytes(5 << 20))[:100], 413),
        (b"GET / HTTP/1.1\r\nX: " + b"y" * 40_000, 431),
    ],
)
def test_what_is_no_call_is_answered_and_closed(data: bytes, status: int) -> None:
    hall = Hall()
    visitor = hall.visit(data, seconds=0.5)
    assert visitor.statuses == [status]
    assert b"Connection: close" in visitor.data
    assert visitor.gone is not None
    assert not hall.calls
    assert hall.door.connections == 0


def test_long_bodies_are_held_one_at_a_time() -> None:
    hall = Hall()
    size = 8 * MAX_SMALL_BODY
    first = hall.visit(post(body=b"a" * size)[:-1], seconds=0.5)
    second = hall.visit(post(body=b"b" * size), seconds=0.5)
    third = hall.visit(post(body=b"c" * size), seconds=0.5)
    assert not hall.calls
    for waiting in (second, third):
        assert waiting.connection.unsent > size - MAX_SMALL_BODY - 300_000
    short = hall.visit(post(body=b"s" * MAX_SMALL_BODY), seconds=0.5)
    assert [call.body[:1] for call in hall.calls] == [b"s"]
    hall.calls.pop().answer(200)
    first.connection.send(b"a")
    hall.run(0.5)
    assert [call.body for call in hall.calls] == [b"a" * size]
    hall.calls[0].answer(200)
    hall.run(0.5)
    assert [call.body[:1] for call in hall.calls] == [b"a", b"b"]
    second.connection.abort()  # its caller goes: the next has the place
    hall.run(0.5)
    assert [call.body[:1] for call in hall.calls] == [b"a", b"b", b"c"]
    hall.calls[2].answer(200)
    hall.run(0.5)
    assert third.statuses == first.statuses == short.statuses == [200]
    assert hall.door.long_bodies == []


def test_a_caller_that_goes_silent_in_a_long_body_does_not_keep_the_place() -> None:
    hall = Hall()
    first = hall.visit(post(body=b"a" * 4 * MAX_SMALL_BODY)[:-1], seconds=0.5)
    second = hall.visit(post(body=b"b" * 4 * MAX_SMALL_BODY), seconds=0.5)
    hall.run(IDLE_TIMEOUT_S + 1.0)
    assert first.gone is not None
    hall.run(0.5)
    assert [call.body[:1] for call in hall.calls] == [b"b"]
    hall.calls[0].answer(200)
    hall.run()
    assert second.statuses == [200]


def test_an_idle_connection_is_closed_and_one_at_work_is_not() -> None:
    hall = Hall()
    idle, at_work = hall.visit(), hall.visit(post())
    hall.run(IDLE_TIMEOUT_S + 1.0)
    assert idle.gone is not None
    assert at_work.gone is None
    hall.calls[0].answer(200)
    hall.run()
    assert at_work.statuses == [200]


def test_connections_are_bounded() -> None:
    hall = Hall()
    visitors = [Visitor(hall.outside) for _ in range(MAX_CONNECTIONS + 20)]
    hall.run(1.0)
    assert hall.door.connections <= MAX_CONNECTIONS
    assert sum(v.gone is None for v in visitors) == MAX_CONNECTIONS


def test_a_caller_that_left_is_answered_in_vain() -> None:
    hall = Hall()
    visitor = hall.visit(post(body=bytes(2 * MAX_SMALL_BODY)), seconds=0.5)
    visitor.connection.abort()
    hall.run()
    hall.calls[0].answer(200)
    hall.run()
    assert visitor.data == b""
    assert hall.door.connections == 0
    assert hall.door.long_bodies == []


def test_a_caller_that_expects_a_word_before_its_body_gets_it() -> None:
    hall = Hall()
    visitor = hall.visit(post(body=b"abc", more=b"Expect: 100-continue\r\n")[:-3])
    assert visitor.data == b"HTTP/1.1 100 Continue\r\n\r\n"
    visitor.connection.send(b"abc")
    hall.run()
    assert hall.calls[0].body == b"abc"


def test_a_closed_door_takes_nobody_and_answers_those_inside() -> None:
    hall = Hall()
    visitor = hall.visit(post())
    hall.door.close()
    late = hall.visit(post())
    assert late.gone == "refused"
    hall.calls[0].answer(200)
    hall.run()
    assert visitor.statuses == [200]
    assert b"Connection: close" in visitor.data
    assert visitor.gone is not None


def test_what_is_no_call_behind_one_at_work_is_not_that_calls_answer() -> None:
    hall = Hall()
    visitor = hall.visit(post(b"/1") + post(b"/2") + b"nonsense\r\n\r\n")
    assert visitor.statuses == []
    hall.calls[0].answer(202)
    hall.run()
    assert visitor.statuses == [202]
    hall.calls[1].answer(200)
    hall.run()
    assert visitor.statuses == [202, 200, 400]
    assert visitor.gone is not None


def test_a_word_to_send_a_body_does_not_come_before_the_answer_owed() -> None:
    hall = Hall()
    visitor = hall.visit(post(b"/1") + post(b"/2", more=b"Expect: 100-continue\r\n"))
    assert visitor.statuses == []
    hall.calls[0].answer(202)
    hall.run()
    hall.calls[1].answer(200)
    hall.run()
    assert visitor.statuses == [202, 200]


def test_a_caller_that_leaves_between_two_calls_leaves_nothing_behind() -> None:
    hall = Hall()
    visitor = hall.visit(post(b"/1"))
    visitor.connection.send(post(b"/2"))
    hall.run()
    visitor.connection.abort()
    hall.calls[0].answer(200)  # the second one is read a moment later, after the reset
    hall.run()
    assert len(hall.calls) == 1
    assert hall.door.connections == 0
