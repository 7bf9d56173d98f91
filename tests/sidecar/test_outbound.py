"""Clients' connections: order of answers, limits and time-outs, early rejections, faults, shutdown."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.codecs.mesh import INTERIM_RESPONSE
from honeywharf.sidecar.client_connection import MAX_HELD_BODY_BYTES, MAX_PIPELINED
from honeywharf.sidecar.lifetime import RESTART_S
from honeywharf.transport.stream import WINDOW_SIZE
from honeywharf.verdict import CONNECTION_BROKEN, DRAINING, MAY_HAVE_RUN, NOT_RUN, Verdict
from tests.sidecar.fixtures import FakeChannel, OutboundSetup

MAYBE_RUN = Verdict(MAY_HAVE_RUN, CONNECTION_BROKEN, True)
REJECTED = Verdict(NOT_RUN, DRAINING)


def request(
    kind: str = "read_only",
    attempt: bytes = b"a1",
    more: bytes = b"",
    body: bytes | None = None,
    method: bytes = b"",
) -> bytes:
    """Returns the bytes of a request."""
    if body is not None:
        more += b"Content-Length: %d\r\n" % len(body)
    return (
        b"%b /%b/x HTTP/1.1\r\nHost: shop.example\r\nX-Honeywharf-Attempt-Id: %b\r\n"
        b"X-Honeywharf-Deadline-Remaining: 2000\r\n%b\r\n%b"
        % (method or (b"GET" if body is None else b"POST"), kind.encode(), attempt, more, body or b"")
    )


def give(setup: OutboundSetup, channel: FakeChannel, body: bytes, status: int = 200) -> None:
    """Gives a gate's complete answer."""
    channel.outbound_request.answered(status, b"X-Honeywharf-Server-Seal: s\r\n", len(body), body)
    setup.run()


def test_one_request_and_its_answer() -> None:
    setup = OutboundSetup()
    caller = setup.call(request("mutating", body=b"hello"))
    (channel,) = setup.channels
    assert channel.forwarded.method == b"POST"
    assert (channel.forwarded.target, channel.forwarded.length, channel.forwarded.kind) == (
        b"/mutating/x",
        5,
        1,
    )
    assert (channel.forwarded.service, channel.forwarded.caller) == ("order-desk", "order-desk")
    channel.outbound_request.gate_admitted()
    assert (bytes(channel.body), channel.ends) == (b"hello", 1)
    give(setup, channel, b"done")
    ((status, top, body),) = caller.answers()
    assert (status, body) == (200, b"done")
    assert b"X-Honeywharf-Server-Seal: s" in top
    assert caller.close_reason is None


def test_answers_to_pipelined_requests_come_in_their_order() -> None:
    setup = OutboundSetup()
    caller = setup.call(b"".join(request(attempt=b"a%d" % n) for n in range(6)))
    assert len(setup.channels) == 6
    for n in (3, 1, 5, 0, 4, 2):
        give(setup, setup.channels[n], b"body %d" % n)
    assert [body for _, _, body in caller.answers()] == [b"body %d" % n for n in range(6)]


def test_a_long_answer_is_held_within_its_window_until_earlier_answers_are_sent() -> None:
    setup = OutboundSetup()
    caller = setup.call(request(attempt=b"a") + request(attempt=b"b"))
    first, second = setup.channels
    second.outbound_request.answered(200, b"", 100_000, None)
    second.outbound_request.answer_data(b"x" * WINDOW_SIZE)
    setup.run()
    assert caller.data == b""
    assert second.answer_bytes_forwarded == 0
    give(setup, first, b"first")
    assert second.answer_bytes_forwarded == WINDOW_SIZE
    second.outbound_request.answer_data(b"x" * (100_000 - WINDOW_SIZE))
    second.outbound_request.whole()
    setup.run()
    assert [len(body) for _, _, body in caller.answers()] == [5, 100_000]


def test_an_answer_that_a_gate_ends_from_within_takes_no_other_request_with_it() -> None:
    """Guards against LOST: the writing of an answer came back into itself and dropped the next request."""
    setup = OutboundSetup()
    caller = setup.call(request(attempt=b"a") + request(attempt=b"b"))
    first, second = setup.channels

    def end() -> None:
        first.on_window = lambda: None
        first.outbound_request.answer_data(b"last")
        first.outbound_request.whole()

    first.on_window = end
    first.outbound_request.answered(200, b"", 9, None)
    first.outbound_request.answer_data(b"first")
    give(setup, second, b"second")
    assert [body for _, _, body in caller.answers()] == [b"firstlast", b"second"]
    assert not setup.source.active_requests


def test_pipelined_requests_are_bounded_and_read_on_as_earlier_ones_end() -> None:
    setup = OutboundSetup()
    caller = setup.call()
    for n in range(40):
        caller.send(request(attempt=b"a%d" % n))
        setup.run(0.001)
    assert len(setup.channels) == MAX_PIPELINED
    for n in range(40):
        assert n < len(setup.channels) <= n + MAX_PIPELINED
        give(setup, setup.channels[n], b"body %d" % n)
        if n == 0:
            assert len(setup.channels) > MAX_PIPELINED, "the next was not read when the first had ended"
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
def test_a_request_without_route_or_id_is_answered_and_the_connection_stays(data: bytes, status: int) -> None:
    setup = OutboundSetup()
    caller = setup.call(data)
    assert caller.statuses() == [status]
    assert not setup.channels
    caller.send(request())
    setup.run()
    give(setup, setup.channels[0], b"ok")
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
    setup = OutboundSetup()
    caller = setup.call(request() + data)
    give(setup, setup.channels[0], b"ok")
    setup.run(0.1)
    (first, _, _), (second, top, _) = caller.answers()
    assert (first, second) == (200, status)
    assert b"Connection: close" in top
    assert caller.close_reason is not None
    assert not setup.outbound.clients


def test_an_incomplete_head_is_408() -> None:
    setup = OutboundSetup()
    caller = setup.call(request()[:-4])
    setup.run(0.9)
    assert caller.data == b""
    setup.run(0.3)
    assert caller.statuses() == [408]
    assert b"Connection: close" in caller.data
    assert caller.close_reason is not None


@pytest.mark.parametrize(("went", "status"), [(False, 408), (True, 502)])
def test_a_body_that_does_not_end_is_408_only_if_none_of_it_has_gone_on(went: bool, status: int) -> None:
    setup = OutboundSetup()
    caller = setup.call(request("mutating", body=bytes(1000))[:-1].replace(b": 2000", b": 9000"))
    if went:
        setup.channels[0].outbound_request.gate_admitted()
    setup.run(1.9)
    assert caller.data == b""
    setup.run(0.2)
    assert caller.statuses() == [status]
    assert caller.close_reason is not None
    assert setup.channels[0].cancelled


def test_an_idle_connection_is_closed_after_its_timeout_without_an_answer() -> None:
    setup = OutboundSetup()
    caller = setup.call(request())
    give(setup, setup.channels[0], b"ok")
    setup.run(1.8)
    assert caller.close_reason is None
    setup.run(0.4)
    assert caller.close_reason is not None
    assert caller.statuses() == [200]


# Bodies.


def test_a_body_is_held_up_to_its_bound_until_a_gate_admits_the_request() -> None:
    setup = OutboundSetup()
    caller = setup.call(request("upload", body=bytes(1_000_000)), seconds=0.5)
    outbound_request = setup.channels[0].outbound_request
    assert MAX_HELD_BODY_BYTES < outbound_request.pending_bytes <= MAX_HELD_BODY_BYTES + 64 * 1024
    assert caller.connection.unsent > 500_000
    outbound_request.gate_admitted()
    while not setup.channels[0].ends:
        outbound_request.window(30_000)
        setup.run()
        assert outbound_request.pending_bytes <= MAX_HELD_BODY_BYTES + 64 * 1024
    assert len(setup.channels[0].body) == 1_000_000
    give(setup, setup.channels[0], b"ok")
    assert caller.statuses() == [200]


@pytest.mark.parametrize("end", ["refused", "answered", "late"])
def test_the_rest_of_an_upload_answered_early_is_read_and_the_connection_is_kept(end: str) -> None:
    setup = OutboundSetup()
    caller = setup.call(request("upload", body=bytes(1_000_000)) + request(attempt=b"a2"), seconds=0.2)
    outbound_request = setup.channels[0].outbound_request
    if end == "refused":
        while not outbound_request.is_over:
            outbound_request.failed(REJECTED)
    elif end == "answered":
        outbound_request.gate_admitted()
        give(setup, setup.channels[0], b"early", status=403)
    else:
        setup.run(2.0)
    setup.run(1.0)
    if end == "refused":  # every gate has just rejected, so the second request is rejected without an attempt
        assert caller.statuses() == [503, 503], "what stands behind the upload was never read"
        return
    assert setup.channels[-1].forwarded.attempt_id == b"a2", "what stands behind the upload was never read"
    give(setup, setup.channels[-1], b"second")
    first = {"refused": 503, "answered": 403, "late": 503}[end]
    assert caller.statuses() == [first, 200]


def test_an_upload_too_long_to_be_discarded_closes_the_connection() -> None:
    setup = OutboundSetup()
    caller = setup.call(request("upload", body=bytes(6 << 20)), seconds=0.1)
    setup.channels[0].outbound_request.failed(REJECTED)
    setup.channels[1].outbound_request.failed(REJECTED)
    setup.run(1.0)
    assert caller.close_reason is not None
    assert not setup.outbound.clients


def test_a_client_that_expects_100_continue_gets_it() -> None:
    setup = OutboundSetup()
    caller = setup.call(request("mutating", more=b"Expect: 100-continue\r\nContent-Length: 5\r\n"))
    assert caller.data == b"HTTP/1.1 100 Continue\r\n\r\n"
    caller.send(b"hello")
    setup.run()
    setup.channels[0].outbound_request.gate_admitted()
    assert bytes(setup.channels[0].body) == b"hello"


def test_an_answer_to_head_has_no_body_and_a_chunked_one_its_last_chunk() -> None:
    setup = OutboundSetup()
    caller = setup.call(request(method=b"HEAD") + request(attempt=b"a2"))
    setup.channels[0].outbound_request.answered(200, b"", 1234, b"")
    setup.channels[1].outbound_request.answered(200, b"", -1, None)
    setup.channels[1].outbound_request.answer_data(b"abc")
    setup.channels[1].outbound_request.answer_data(b"defg")
    setup.channels[1].outbound_request.whole()
    setup.run()
    top, _, rest = caller.data.partition(b"\r\n\r\n")
    assert b"Content-Length: 1234" in top
    caller.data = rest
    assert [(status, body) for status, _, body in caller.answers()] == [(200, b"abcdefg")]


# Lost connections.


def test_an_answer_that_breaks_off_does_not_look_whole() -> None:
    for length in (100, -1):
        setup = OutboundSetup()
        caller = setup.call(request() + request(attempt=b"a2"))
        setup.channels[0].outbound_request.answered(200, b"", length, None)
        setup.channels[0].outbound_request.answer_data(b"abc")
        setup.run()
        setup.channels[0].outbound_request.failed(MAYBE_RUN)
        setup.run()
        assert caller.close_reason is not None
        assert not caller.data.endswith(b"0\r\n\r\n")
        assert caller.data.count(b"HTTP/1.1") == 1
        assert setup.channels[1].cancelled
        assert not setup.source.active_requests


def test_a_break_behind_another_answer_ends_the_connection_in_its_turn() -> None:
    setup = OutboundSetup()
    caller = setup.call(request() + request(attempt=b"a2"))
    second = setup.channels[1]
    second.outbound_request.answered(200, b"", 100_000, None)
    second.outbound_request.answer_data(b"abc")
    second.outbound_request.failed(MAYBE_RUN)
    setup.run()
    assert caller.close_reason is None
    give(setup, setup.channels[0], b"first")
    setup.run(0.1)
    assert caller.statuses() == [200]
    assert caller.close_reason is not None


@pytest.mark.parametrize("rest", [b"zz\r\n", b""])
def test_a_fault_in_an_upload_whose_answer_has_begun_adds_no_second_answer(rest: bytes) -> None:
    setup = OutboundSetup()
    caller = setup.call(request("upload", more=b"Transfer-Encoding: chunked\r\n") + b"3\r\nabc\r\n")
    outbound_request = setup.channels[0].outbound_request
    outbound_request.deadline += 60.0
    outbound_request.gate_admitted()
    outbound_request.answered(200, b"", 100_000, None)
    outbound_request.answer_data(b"x" * 1000)
    setup.run()
    assert outbound_request.deadline_timer is not None
    outbound_request.deadline_timer.cancel()
    if rest:
        caller.send(rest)
    setup.run(5.0)
    assert caller.data.count(b"HTTP/1.1") == 1
    assert caller.close_reason is not None
    assert setup.channels[0].cancelled


@pytest.mark.parametrize("how", ["close", "abort"])
def test_a_client_that_leaves_takes_its_requests_with_it(how: str) -> None:
    setup = OutboundSetup()
    caller = setup.call(request("mutating", body=bytes(1000))[:-500] if how == "close" else request() * 3)
    (caller.connection.close if how == "close" else caller.connection.abort)()
    setup.run()
    assert all(channel.cancelled for channel in setup.channels)
    assert not setup.source.active_requests
    assert not setup.outbound.clients


def test_a_client_that_half_closes_gets_its_answers() -> None:
    setup = OutboundSetup()
    caller = setup.call(request() + request(attempt=b"a2"))
    caller.connection.finish()
    setup.run()
    assert caller.data == INTERIM_RESPONSE, "it was not asked whether it still waits"
    caller.data = b""
    for channel in setup.channels:
        assert not channel.cancelled
        give(setup, channel, b"ok")
    setup.run()
    assert caller.statuses() == [200, 200]
    assert caller.close_reason is not None


# Shutdown.


def test_a_sidecar_that_shuts_down_answers_what_is_under_way_and_closes() -> None:
    setup = OutboundSetup()
    with_request, idle, begun = setup.call(request()), setup.call(), setup.call(request()[:30])
    setup.outbound.drain()
    setup.outbound.close_idle()
    setup.run(0.1)
    assert idle.close_reason is not None
    assert begun.close_reason is None
    assert with_request.close_reason is None
    give(setup, setup.channels[0], b"ok")
    setup.run(0.1)
    assert with_request.statuses() == [200]
    assert b"Connection: close" in with_request.data
    assert with_request.close_reason is not None
    begun.send(request()[30:])
    setup.run()
    give(setup, setup.channels[1], b"ok")
    setup.run(0.1)
    assert begun.statuses() == [200]
    assert begun.close_reason is not None
    setup.outbound.close()
    late = setup.call(request())
    assert late.close_reason == "refused"
    assert not setup.outbound.clients


@pytest.mark.parametrize("seed", range(5))
def test_random_clients_get_each_answer_in_order(seed: int) -> None:
    rng, setup = Random(seed), OutboundSetup(seed)
    callers = [setup.call() for _ in range(6)]
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
        setup.run(0.001)
        for channel in setup.channels:
            outbound_request = channel.outbound_request
            if outbound_request.is_over or outbound_request.channel is not channel:
                continue
            draw = rng.random()
            if draw < 0.3 and channel.forwarded.length and not outbound_request.is_admitted:
                outbound_request.gate_admitted()
            elif draw < 0.5 and outbound_request.is_admitted:
                outbound_request.window(50_000)
            elif draw < 0.6:
                outbound_request.answered(
                    200, b"", len(channel.forwarded.attempt_id), channel.forwarded.attempt_id
                )
            elif draw < 0.65:
                outbound_request.answered(200, b"", -1, None)
                outbound_request.answer_data(channel.forwarded.attempt_id)
                outbound_request.whole()
            elif draw < 0.7:
                outbound_request.failed(REJECTED)
    for who, caller in enumerate(callers):
        caller.send(queues[who])
    for _ in range(80):
        setup.run(0.05)
        for channel in setup.channels:
            if not channel.outbound_request.is_over and channel.outbound_request.channel is channel:
                channel.outbound_request.answered(
                    200, b"", len(channel.forwarded.attempt_id), channel.forwarded.attempt_id
                )
    for names, caller in zip(wanted, callers, strict=True):
        answers = caller.answers()
        assert len(answers) == len(names)
        for name, (status, _, body) in zip(names, answers, strict=True):
            assert (status == 200 and body == name) or status in (503, 504)
    assert not setup.source.active_requests


def test_a_leaving_sidecar_answers_all_that_is_at_work_on_a_connection() -> None:
    setup = OutboundSetup()
    caller = setup.call(request() + request(attempt=b"a2") + request(attempt=b"a3"))
    setup.outbound.drain()
    setup.outbound.close_idle()
    give(setup, setup.channels[1], b"two")
    give(setup, setup.channels[0], b"one")
    assert [body for _, _, body in caller.answers()] == [b"one", b"two"]
    assert not setup.channels[2].cancelled
    give(setup, setup.channels[2], b"three")
    setup.run(0.1)
    assert [body for _, _, body in caller.answers()] == [b"one", b"two", b"three"]
    assert [b"Connection: close" in top for _, top, _ in caller.answers()] == [False, False, True]
    assert caller.close_reason is not None


def test_what_comes_behind_an_answer_that_closes_is_not_begun() -> None:
    setup = OutboundSetup()
    caller = setup.call(request() + request(attempt=b"a2"))
    setup.outbound.drain()
    give(setup, setup.channels[1], b"two")  # the answer is buffered, and closes the connection
    caller.send(request("mutating", b"a3") + request("mutating", b"a4", body=b"abc"))
    setup.run()
    assert len(setup.channels) == 2
    give(setup, setup.channels[0], b"one")
    setup.run(0.1)
    assert [body for _, _, body in caller.answers()] == [b"one", b"two"]
    assert caller.close_reason is not None
    assert not setup.source.active_requests


def test_what_may_outlast_the_process_is_refused_with_a_time_to_return() -> None:
    setup = OutboundSetup()
    pipelined = setup.call(request(attempt=b"a0"))
    setup.shut_down(ends_after_s=2.0, accepts_all_for_s=1.0)
    setup.run(0.95)
    with_request = setup.call(request("mutating", b"a1", body=b"abc"))
    assert len(setup.channels) == 2
    setup.run(0.5)
    # The deadline is 2 s, the latency target 0.5 s.
    late = setup.call(request("mutating", b"a2", body=b"abc"))
    assert len(setup.channels) == 2
    ((status, top, _),) = late.answers()
    assert status == 503
    assert b"Connection: close" in top
    retry_after_s = float(top.partition(b"Retry-After: ")[2].partition(b"\r\n")[0])
    assert 0.5 < retry_after_s - RESTART_S <= 0.55
    setup.run(0.1)
    assert late.close_reason is not None
    setup.outbound.finish()
    setup.run(0.1)
    assert pipelined.statuses() == [503]  # read_only
    assert with_request.statuses() == [503]  # no gate asked for the body, so it has not run
    assert not setup.source.active_requests


@pytest.mark.parametrize(("remaining_ms", "is_taken"), [(900, True), (1100, False), (None, False)])
def test_once_the_platform_has_noticed_only_what_ends_in_time_is_accepted(
    remaining_ms: int | None, is_taken: bool
) -> None:
    """Guards against an order that is taken by a stopping sidecar and broken off at its end (review/6)."""
    setup = OutboundSetup()
    setup.shut_down(ends_after_s=2.0, accepts_all_for_s=0.9)
    setup.run(0.95)
    field = b"" if remaining_ms is None else b"X-Honeywharf-Deadline-Remaining: %d\r\n" % remaining_ms
    caller = setup.call(
        b"POST /mutating/1 HTTP/1.1\r\nHost: shop.example\r\nX-Honeywharf-Attempt-Id: a1\r\n"
        b"%bContent-Length: 0\r\n\r\n" % field
    )
    assert len(setup.channels) == is_taken
    assert caller.statuses() == ([] if is_taken else [503])


def test_a_stopping_sidecar_asks_for_no_body_that_it_refuses() -> None:
    setup = OutboundSetup()
    setup.shut_down(ends_after_s=2.0, accepts_all_for_s=0.0)
    setup.run(0.05)
    head = request("upload", b"a1", more=b"Expect: 100-continue\r\n", body=b"b" * 3_000_000)[:-3_000_000]
    caller = setup.call(head)
    assert caller.statuses() == [503]
    setup.run(0.1)
    assert caller.close_reason is not None


def test_a_refused_body_on_its_way_is_read_so_that_no_reset_destroys_the_refusal() -> None:
    setup = OutboundSetup()
    setup.shut_down(ends_after_s=2.0, accepts_all_for_s=0.0)
    setup.run(0.05)
    whole = request("upload", b"a1", body=b"b" * 100_000)
    caller = setup.call(whole[:40_000])
    assert caller.statuses() == [503]
    assert caller.close_reason is None
    assert not caller.half
    caller.send(whole[40_000:])
    setup.run(0.2)
    assert caller.half
    assert not setup.channels


def test_a_refused_body_that_does_not_come_ends_the_connection() -> None:
    setup = OutboundSetup()
    setup.shut_down(ends_after_s=20.0, accepts_all_for_s=0.0)
    setup.run(0.05)
    caller = setup.call(request("upload", b"a1", body=b"b" * 100_000)[:40_000])
    setup.run(2.2)  # `idle-timeout` is 2 s
    assert caller.statuses() == [503]
    assert caller.close_reason is not None
