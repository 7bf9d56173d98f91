"""The load of the latency bench: its rate, its bound of lanes, and what it counts, against a real backend."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest

from bench.scale.backend_process import Served, attempt_of
from bench.scale.load import Load
from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.host import Address, Connection, Handler


class Silent(Served):
    """A backend that never answers."""

    def received(self, data: bytes) -> None:
        """Nothing."""


def serve(loop: EventLoop, handler: type[Served]) -> Address:
    """Listen on loopback; where."""

    def accept(connection: Connection) -> Handler:
        return handler(connection)

    loop.listen(("127.0.0.1", 0), accept)
    ((sock, _, _),) = loop.listeners.values()
    return "127.0.0.1", sock.getsockname()[1]


def run_until(loop: EventLoop, reached: Callable[[], bool]) -> None:
    """Let the loop run until something holds, twenty seconds at most."""

    def look() -> None:
        if reached():
            loop.exit(0)
        else:
            loop.after(0.005, look)

    loop.after(20.0, partial(loop.exit, 1))
    look()
    assert loop.run() == 0


def run_until_over(loop: EventLoop, load: Load) -> None:
    """Let the loop run until all is answered."""
    run_until(loop, lambda: load.over)


def test_requests_go_out_at_the_rate_and_are_timed() -> None:
    loop = EventLoop(None)
    begun = loop.now()
    load = Load(loop, serve(loop, Served), "a.example", "/b/", rate=200.0, lanes=4, seconds=20.0)

    def due() -> int:
        return len(load.answers.times) + len(load.busy) + load.skipped

    run_until(loop, lambda: due() >= 40)
    assert due() <= 200.0 * (loop.now() - begun) + 1, "never faster than its rate, however busy the machine"
    assert load.answers.failed == 0
    assert 0.0 < load.answers.percentile_ms(0.5) <= load.answers.percentile_ms(0.99)


def test_without_a_rate_each_lane_sends_as_soon_as_it_is_answered() -> None:
    loop = EventLoop(None)
    load = Load(loop, serve(loop, Served), "a.example", "/b/", rate=0.0, lanes=3, seconds=0.1)
    run_until_over(loop, load)
    assert len(load.answers.times) > 3
    assert load.answers.failed == load.skipped == 0


def test_what_finds_no_lane_is_counted() -> None:
    loop = EventLoop(None)
    load = Load(loop, serve(loop, Silent), "a.example", "/b/", rate=200.0, lanes=2, seconds=20.0)
    run_until(loop, lambda: load.skipped >= 10)
    assert len(load.busy) == 2
    assert not load.over


@pytest.mark.parametrize(
    ("head", "attempt"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nX-Honeywharf-Attempt-Id:  a-1 ", b"a-1"),
        (b"GET / HTTP/1.1\r\nx-honeywharf-attempt-id: b", b"b"),
        (b"GET / HTTP/1.1\r\nHost: a", b""),
    ],
)
def test_the_backend_reads_the_attempt(head: bytes, attempt: bytes) -> None:
    assert attempt_of(head) == attempt
