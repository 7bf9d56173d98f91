"""Clients' connections: answers in order, bounds and times, early refusals, breaks, leaving."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.codecs.mesh import INTERIM_RESPONSE
from honeywharf.sidecar.client_connection import MAX_HELD_BODY, MAX_PIPELINED
from honeywharf.sidecar.outbound import RESTART_S
from honeywharf.transport.stream import WINDOW_SIZE
from honeywharf.verdict import CONNECTION_BROKEN, DRAINING, MAY_HAVE_RUN, NOT_RUN, Verdict
from tests.sidecar.stage import Channel, Front

PERHAPS = Verdict(MAY_HAVE_RUN, CONNECTION_BROKEN, True)
REFUSED = Verdict(NOT_RUN, DRAINING)


def request(
    kind: str = "read_only",
    attempt: bytes = b"a1",
    more: bytes = b"",
    body: bytes | None = None,
    method: bytes = b"",
) -> bytes:
    """One request; with a body's length where it has one."""
    if body is not None:
        more += b"Content-Length: %d\r\n" % len(body)
    return (
        b"%b /%b/x HTTP/1.1\r\nHost: shop.example\r\nX-Honeywharf-Attempt-Id: %b\r\n"
        b"X-Honeywharf-Deadline-Remaining: 2000\r\n%b\r\n%b"
        % (method or (b"GET" if body is None else b"POST"), kind.encode(), attempt, more, body or b"")
    )


def give(front: Front, channel: Channel, body: bytes, status: int = 200) -> None:
    """A gate's whole answer."""
    channel.outbound_request.answered(status, b"X-Honeywharf-Server-Seal: s\r\n", len(body), body)
    front.run()


def test_one_request_and_its_answer() -> None:
    front = Front()
    caller = front.call(request("mutating", body=b"hello"))
    (channel,) = front.channels
    assert channel.ask.method == b"POST"
    assert (channel.ask.target, channel.ask.length, channel.ask.kind) == (b"/mutating/x", 5, 1)
    assert (channel.ask.service, channel.ask.caller) == ("order-desk", "order-desk")
    channel.outbound_request.gate_admitted()
    assert (bytes(channel.body), channel.ends) == (b"hello", 1)
    give(front, channel, b"done")
    ((status, top, body),) = caller.answers()
    assert (status, body) == (200, b"done")
    assert b"X-Honeywharf-Server-Seal: s" in top
    assert caller.gone is None


def test_answers_to_pipelined_requests_come_in_their_order() -> None:
    front = Front()
    caller = front.call(b"".join(request(attempt=b"a%d" % n) for n in range(6)))
    assert len(front.channels) == 6
    for n in (3, 1, 5, 0, 4, 2):
        give(front, front.channels[n], b"body %d" % n)
    assert [body for _, _, body in caller.answers()] == [b"body %d" % n for n in range(6)]


def test_a_long_answer_waits_in_its_window_until_those_before_it_have_gone() -> None:
    front = Front()
    caller = front.call(request(attempt=b"a") + request(attempt=b"b"))
    first, second = front.channels
    second.outbound_request.answered(200, b"", 100_000, None)
    second.outbound_request.answer_data(b"x" * WINDOW_SIZE)
    front.run()
    assert caller.data == b""
    assert second.passed == 0
    give(front, first, b"first")
    assert second.passed == WINDOW_SIZE
    second.outbound_request.answer_data(b"x" * (100_000 - WINDOW_SIZE))
    second.outbound_request.whole()
    front.run()
    assert [len(body) for _, _, body in caller.answers()] == [5, 100_000]


def test_only_so_many_requests_are_under_way_and_the_rest_is_read_as_they_end() -> None:
    front = Front()
    caller = front.call()
    for n in range(40):
        caller.send(request(attempt=b"a%d" % n))
        front.run(0.001)
    assert len(front.channels) == MAX_PIPELINED
    for n in range(40):
        assert n < len(front.channels) <= n + MAX_PIPELINED
        give(front, front.channels[n], b"body %d" % n)
        if n == 0:
            assert len(front.channels) > MAX_PIPELINED, "the next was not read when the first had ended"
    assert [body for _, _, body in caller.answers()] == [b"body %d" % n for n in range(40)]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request("none"), 404),
        (b"GET /read_only/ HTTP/1.1\r\nHost: else.example\r\n\r\n", 404),
        (b"GET /read_only/ HTTP/1.1\r\n\r\n", 404),
        (b"GET /read_only/x HTTP/1.1\r\nHost: shop.example\r\n\r\n", 400),
    ],
)
def test_what_has_no_route_or_no_id_is_answered_here_and_the_connection_stays(
    data: bytes, status: int
) -> None:
    front = Front()
    caller = front.call(data)
    assert caller.statuses() == [status]
    assert not front.channels
    caller.send(request())
    front.run()
    give(front, front.channels[0], b"ok")
    assert caller.statuses() == [status, 200]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (request(more=b"X: " + b"y" * 20_000 + b"\r\n"), 431),
        (request("upload", more=b"Content-Length: 9000000\r\n"), 413),
    ],
)
def test_what_breaks_the_protocol_or_a_bound_is_answered_and_ends_the_connection(
    data: bytes, status: int
) -> None:
    front = Front()
    caller = front.call(request() + data)
    give(front, front.channels[0], b"ok")
    front.run(0.1)
    (first, _, _), (second, top, _) = caller.answers()
    assert (first, second) == (200, status)
    assert b"Connection: close" in top
    assert caller.gone is not None
    assert not front.outbound.clients


def test_a_head_that_does_not_end_is_408() -> None:
    front = Front()
    caller = front.call(request()[:-4])
    front.run(0.9)
    assert caller.data == b""
    front.run(0.3)
    assert caller.statuses() == [408]
    assert b"Connection: close" in caller.data
    assert caller.gone is not None


@pytest.mark.parametrize(("went", "status"), [(False, 408), (True, 502)])
def test_a_body_that_does_not_end_is_408_only_if_none_of_it_has_gone_on(went: bool, status: int) -> None:
    front = Front()
    caller = front.call(request("mutating", body=bytes(1000))[:-1].replace(b": 2000", b": 9000"))
    if went:
        front.channels[0].outbound_request.gate_admitted()
    front.run(1.9)
    assert caller.data == b""
    front.run(0.2)
    assert caller.statuses() == [status]
    assert caller.gone is not None
    assert front.channels[0].cancelled


def test_an_idle_connection_is_closed_after_its_time_and_without_a_word() -> None:
    front = Front()
    caller = front.call(request())
    give(front, front.channels[0], b"ok")
    front.run(1.8)
    assert caller.gone is None
    front.run(0.4)
    assert caller.gone is not None
    assert caller.statuses() == [200]


# Bodies.


def test_no_more_of_a_body_is_held_than_its_bound_while_nobody_asks_for_it() -> None:
    front = Front()
    caller = front.call(request("upload", body=bytes(1_000_000)), seconds=0.5)
    outbound_request = front.channels[0].outbound_request
    assert MAX_HELD_BODY < outbound_request.pending_bytes <= MAX_HELD_BODY + 64 * 1024
    assert caller.connection.unsent > 500_000
    outbound_request.gate_admitted()
    while not front.channels[0].ends:
        outbound_request.window(30_000)
        front.run()
        assert outbound_request.pending_bytes <= MAX_HELD_BODY + 64 * 1024
    assert len(front.channels[0].body) == 1_000_000
    give(front, front.channels[0], b"ok")
    assert caller.statuses() == [200]


@pytest.mark.parametrize("end", ["refused", "answered", "late"])
def test_the_rest_of_an_upload_that_is_answered_early_is_read_and_the_connection_goes_on(end: str) -> None:
    front = Front()
    caller = front.call(request("upload", body=bytes(1_000_000)) + request(attempt=b"a2"), seconds=0.2)
    outbound_request = front.channels[0].outbound_request
    if end == "refused":
        while not outbound_request.is_over:
            outbound_request.failed(REFUSED)
    elif end == "answered":
        outbound_request.gate_admitted()
        give(front, front.channels[0], b"early", status=403)
    else:
        front.run(2.0)
    front.run(1.0)
    if end == "refused":  # every gate has just refused: the second is refused unasked
        assert caller.statuses() == [503, 503], "what stands behind the upload was never read"
        return
    assert front.channels[-1].ask.attempt_id == b"a2", "what stands behind the upload was never read"
    give(front, front.channels[-1], b"second")
    first = {"refused": 503, "answered": 403, "late": 503}[end]
    assert caller.statuses() == [first, 200]


def test_an_upload_too_long_to_be_read_for_nothing_closes_the_connection() -> None:
    front = Front()
    caller = front.call(request("upload", body=bytes(6 << 20)), seconds=0.1)
    front.channels[0].outbound_request.failed(REFUSED)
    front.channels[1].outbound_request.failed(REFUSED)
    front.run(1.0)
    assert caller.gone is not None
    assert not front.outbound.clients


def test_a_client_that_expects_a_word_before_its_body_gets_it() -> None:
    front = Front()
    caller = front.call(request("mutating", more=b"Expect: 100-continue\r\nContent-Length: 5\r\n"))
    assert caller.data == b"HTTP/1.1 100 Continue\r\n\r\n"
    caller.send(b"hello")
    front.run()
    front.channels[0].outbound_request.gate_admitted()
    assert bytes(front.channels[0].body) == b"hello"


def test_an_answer_to_head_has_no_body_and_one_in_chunks_has_its_end() -> None:
    front = Front()
    caller = front.call(request(method=b"HEAD") + request(attempt=b"a2"))
    front.channels[0].outbound_request.answered(200, b"", 1234, b"")
    front.channels[1].outbound_request.answered(200, b"", -1, None)
    front.channels[1].outbound_request.answer_data(b"abc")
    front.channels[1].outbound_request.answer_data(b"defg")
    front.channels[1].outbound_request.whole()
    front.run()
    top, _, rest = caller.data.partition(b"\r\n\r\n")
    assert b"Content-Length: 1234" in top
    caller.data = rest
    assert [(status, body) for status, _, body in caller.answers()] == [(200, b"abcdefg")]


# Breaks.


def test_an_answer_that_breaks_off_does_not_look_whole() -> None:
    for length in (100, -1):
        front = Front()
        caller = front.call(request() + request(attempt=b"a2"))
        front.channels[0].outbound_request.answered(200, b"", length, None)
        front.channels[0].outbound_request.answer_data(b"abc")
        front.run()
        front.channels[0].outbound_request.failed(PERHAPS)
        front.run()
        assert caller.gone is not None
        assert not caller.data.endswith(b"0\r\n\r\n")
        assert caller.data.count(b"HTTP/1.1") == 1
        assert front.channels[1].cancelled
        assert not front.source.active_requests


def test_a_break_behind_another_answer_ends_the_connection_in_its_turn() -> None:
    front = Front()
    caller = front.call(request() + request(attempt=b"a2"))
    second = front.channels[1]
    second.outbound_request.answered(200, b"", 100_000, None)
    second.outbound_request.answer_data(b"abc")
    second.outbound_request.failed(PERHAPS)
    front.run()
    assert caller.gone is None
    give(front, front.channels[0], b"first")
    front.run(0.1)
    assert caller.statuses() == [200]
    assert caller.gone is not None


@pytest.mark.parametrize("rest", [b"zz\r\n", b""])
def test_a_fault_in_an_upload_whose_answer_has_begun_adds_no_second_answer(rest: bytes) -> None:
    front = Front()
    caller = front.call(request("upload", more=b"Transfer-Encoding: chunked\r\n") + b"3\r\nabc\r\n")
    outbound_request = front.channels[0].outbound_request
    outbound_request.deadline += 60.0
    outbound_request.gate_admitted()
    outbound_request.answered(200, b"", 100_000, None)
    outbound_request.answer_data(b"x" * 1000)
    front.run()
    assert outbound_request.deadline_timer is not None
    outbound_request.deadline_timer.cancel()
    if rest:
        caller.send(rest)
    front.run(5.0)
    assert caller.data.count(b"HTTP/1.1") == 1
    assert caller.gone is not None
    assert front.channels[0].cancelled


@pytest.mark.parametrize("how", ["close", "abort"])
def test_a_client_that_leaves_takes_its_requests_with_it(how: str) -> None:
    front = Front()
    caller = front.call(request("mutating", body=bytes(1000))[:-500] if how == "close" else request() * 3)
    (caller.connection.close if how == "close" else caller.connection.abort)()
    front.run()
    assert all(channel.cancelled for channel in front.channels)
    assert not front.source.active_requests
    assert not front.outbound.clients


def test_a_client_that_only_ends_its_sending_gets_its_answers() -> None:
    front = Front()
    caller = front.call(request() + request(attempt=b"a2"))
    caller.connection.finish()
    front.run()
    assert caller.data == INTERIM_RESPONSE, "it was not asked whether it still waits"
    caller.data = b""
    for channel in front.channels:
        assert not channel.cancelled
        give(front, channel, b"ok")
    front.run()
    assert caller.statuses() == [200, 200]
    assert caller.gone is not None


# Leaving.


def test_a_leaving_sidecar_answers_what_it_holds_and_closes() -> None:
    front = Front()
    at_work, idle, begun = front.call(request()), front.call(), front.call(request()[:30])
    front.outbound.drain()
    front.outbound.close_idle()
    front.run(0.1)
    assert idle.gone is not None
    assert begun.gone is None
    assert at_work.gone is None
    give(front, front.channels[0], b"ok")
    front.run(0.1)
    assert at_work.statuses() == [200]
    assert b"Connection: close" in at_work.data
    assert at_work.gone is not None
    begun.send(request()[30:])
    front.run()
    give(front, front.channels[1], b"ok")
    front.run(0.1)
    assert begun.statuses() == [200]
    assert begun.gone is not None
    front.outbound.close()
    late = front.call(request())
    assert late.gone == "refused"
    assert not front.outbound.clients


@pytest.mark.parametrize("seed", range(5))
def test_a_storm_answers_each_request_in_order_with_its_own_answer(seed: int) -> None:
    rng, front = Random(seed), Front(seed)
    callers = [front.call() for _ in range(6)]
    wanted: list[list[bytes]] = [[] for _ in callers]
    queues = [b"" for _ in callers]
    for n in range(300):
        who = rng.randrange(6)
        if rng.random() < 0.5:
            name = b"c%d-%d" % (who, n)
            body = bytes(rng.choice((0, 10, 90_000))) if rng.random() < 0.4 else None
            queues[who] += request(rng.choice(("read_only", "mutating", "upload")), name, body=body)
            wanted[who].append(name)
        step = rng.choice((1, 50, 100_000))
        callers[who].send(queues[who][:step])
        queues[who] = queues[who][step:]
        front.run(0.001)
        for channel in front.channels:
            outbound_request = channel.outbound_request
            if outbound_request.is_over or outbound_request.channel is not channel:
                continue
            draw = rng.random()
            if draw < 0.3 and channel.ask.length and not outbound_request.is_admitted:
                outbound_request.gate_admitted()
            elif draw < 0.5 and outbound_request.is_admitted:
                outbound_request.window(50_000)
            elif draw < 0.6:
                outbound_request.answered(200, b"", len(channel.ask.attempt_id), channel.ask.attempt_id)
            elif draw < 0.65:
                outbound_request.answered(200, b"", -1, None)
                outbound_request.answer_data(channel.ask.attempt_id)
                outbound_request.whole()
            elif draw < 0.7:
                outbound_request.failed(REFUSED)
    for who, caller in enumerate(callers):
        caller.send(queues[who])
    for _ in range(80):
        front.run(0.05)
        for channel in front.channels:
            if not channel.outbound_request.is_over and channel.outbound_request.channel is channel:
                channel.outbound_request.answered(
                    200, b"", len(channel.ask.attempt_id), channel.ask.attempt_id
                )
    for names, caller in zip(wanted, callers, strict=True):
        answers = caller.answers()
        assert len(answers) == len(names)
        for name, (status, _, body) in zip(names, answers, strict=True):
            assert (status == 200 and body == name) or status in (503, 504)
    assert not front.source.active_requests


def test_a_leaving_sidecar_answers_all_that_is_at_work_on_a_connection() -> None:
    front = Front()
    caller = front.call(request() + request(attempt=b"a2") + request(attempt=b"a3"))
    front.outbound.drain()
    front.outbound.close_idle()
    give(front, front.channels[1], b"two")
    give(front, front.channels[0], b"one")
    assert [body for _, _, body in caller.answers()] == [b"one", b"two"]
    assert not front.channels[2].cancelled
    give(front, front.channels[2], b"three")
    front.run(0.1)
    assert [body for _, _, body in caller.answers()] == [b"one", b"two", b"three"]
    assert [b"Connection: close" in top for _, top, _ in caller.answers()] == [False, False, True]
    assert caller.gone is not None


def test_what_comes_behind_an_answer_that_closes_is_not_begun() -> None:
    front = Front()
    caller = front.call(request() + request(attempt=b"a2"))
    front.outbound.drain()
    give(front, front.channels[1], b"two")  # it waits, and says that the connection closes
    caller.send(request("mutating", b"a3") + request("mutating", b"a4", body=b"abc"))
    front.run()
    assert len(front.channels) == 2
    give(front, front.channels[0], b"one")
    front.run(0.1)
    assert [body for _, _, body in caller.answers()] == [b"one", b"two"]
    assert caller.gone is not None
    assert not front.source.active_requests


def test_what_can_not_be_answered_before_the_end_is_refused_with_a_time_to_return() -> None:
    front = Front()
    held = front.call(request(attempt=b"a0"))
    front.outbound.drain(front.sidecar.now() + 2.0)
    front.run(1.4)  # the routes' aim is 0.5 s
    at_work = front.call(request("mutating", b"a1", body=b"abc"))
    assert len(front.channels) == 2
    front.run(0.15)
    late = front.call(request("mutating", b"a2", body=b"abc"))
    assert len(front.channels) == 2
    ((status, top, _),) = late.answers()
    assert status == 503
    assert b"Connection: close" in top
    retry_after_s = float(top.partition(b"Retry-After: ")[2].partition(b"\r\n")[0])
    assert 0.4 < retry_after_s - RESTART_S <= 0.45
    front.run(0.1)
    assert late.gone is not None
    front.outbound.finish()
    front.run(0.1)
    assert held.statuses() == [503]  # read_only
    assert at_work.statuses() == [503]  # its body was not asked for
    assert not front.source.active_requests


def test_a_route_with_a_long_aim_is_not_refused_for_most_of_the_grace_period() -> None:
    front = Front()
    front.outbound.drain(front.sidecar.now() + 1.0)
    front.run(0.6)
    front.call(request())
    assert len(front.channels) == 1
    front.run(0.2)
    assert front.call(request(attempt=b"a2")).statuses() == [503]
