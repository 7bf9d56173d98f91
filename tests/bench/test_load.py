"""The load generator: its rate, its limit of connections and its counts, against a real backend."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest

from bench.scale.backend_process import BackendConnection, attempt_id_of
from bench.scale.load import Load
from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.host import Address, Connection, Handler


class UnresponsiveConnection(BackendConnection):
    """A backend connection that never answers."""

    def received(self, data: bytes) -> None:
        """Ignores the request."""


def serve(loop: EventLoop, handler: type[BackendConnection]) -> Address:
    """Listens on loopback; returns the address."""

    def accept(connection: Connection) -> Handler:
        return handler(connection)

    loop.listen(("127.0.0.1", 0), accept)
    ((sock, _, _),) = loop.listeners.values()
    return "127.0.0.1", sock.getsockname()[1]


def run_until(loop: EventLoop, condition: Callable[[], bool]) -> None:
    """Runs the loop until a condition holds, for 20 s at most."""

    def check() -> None:
        if condition():
            loop.exit(0)
        else:
            loop.after(0.005, check)

    loop.after(20.0, partial(loop.exit, 1))
    check()
    assert loop.run() == 0


def run_until_over(loop: EventLoop, load: Load) -> None:
    """Runs the loop until all requests have been answered."""
    run_until(loop, lambda: load.over)


def test_requests_go_out_at_the_rate_and_are_timed() -> None:
    loop = EventLoop(None)
    started_at = loop.now()
    load = Load(
        loop, serve(loop, BackendConnection), "a.example", "/b/", rate=200.0, connections=4, seconds=20.0
    )

    def due_count() -> int:
        return len(load.answers.times) + len(load.busy) + load.skipped

    run_until(loop, lambda: due_count() >= 40)
    assert due_count() <= 200.0 * (loop.now() - started_at) + 1, (
        "never faster than its rate, however busy the machine"
    )
    assert load.answers.failed == 0
    assert 0.0 < load.answers.percentile_ms(0.5) <= load.answers.percentile_ms(0.99)


def test_without_a_rate_each_connection_sends_after_each_answer() -> None:
    loop = EventLoop(None)
    load = Load(
        loop, serve(loop, BackendConnection), "a.example", "/b/", rate=0.0, connections=3, seconds=0.1
    )
    run_until_over(loop, load)
    assert len(load.answers.times) > 3
    assert load.answers.failed == load.skipped == 0


def test_requests_without_an_idle_connection_are_counted() -> None:
    loop = EventLoop(None)
    load = Load(
        loop, serve(loop, UnresponsiveConnection), "a.example", "/b/", rate=200.0, connections=2, seconds=20.0
    )
    run_until(loop, lambda: load.skipped >= 10)
    assert len(load.busy) == 2
    assert not load.over


@pytest.mark.parametrize(
    ("head", "attempt_id"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nX-Honeywharf-Attempt-Id:  a-1 ", b"a-1"),
        (b"GET / HTTP/1.1\r\nx-honeywharf-attempt-id: b", b"b"),
        (b"GET / HTTP/1.1\r\nHost: a", b""),
    ],
)
def test_the_backend_reads_the_attempt_id(head: bytes, attempt_id: bytes) -> None:
    assert attempt_id_of(head) == attempt_id
