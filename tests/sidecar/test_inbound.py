"""Inbound requests and backend connections against a scripted backend: verdicts, answers, release."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.codecs.heads import UNKNOWN
from honeywharf.sidecar.backend import MAX_IDLE_UNPROBED_S, PROBE_WAIT_S
from honeywharf.sidecar.gate import READY, UNKNOWN as NOT_KNOWN
from honeywharf.sidecar.inbound import InboundRequest
from honeywharf.sidecar.lifetime import NEVER
from honeywharf.transport.stream import WINDOW_SIZE
from honeywharf.verdict import (
    CONNECTION_BROKEN,
    DRAINING,
    FULL,
    LINK_SATURATED,
    MALFORMED_ANSWER,
    MAY_HAVE_RUN,
    NO_BACKEND,
    NOT_RUN,
    OTHER_SERVICE,
    REJECTED_BY_BACKEND,
    SHUTTING_DOWN,
    TIMED_OUT,
    TOO_LATE,
)
from tests.sidecar.fixtures import (
    ATTEMPT,
    INSTANCE,
    SERVICE,
    InboundSetup,
    ReceivedRequest,
    RecordingResponder,
    ScriptedConnection,
    answer,
    forwarded_request,
)

NOT_EXECUTED = b"X-Honeywharf-Not-Executed: 1\r\n"


def idle(setup: InboundSetup) -> None:
    """Asserts that every slot and connection was given back."""
    assert setup.gate.admission.running == 0
    assert setup.gate.admission.waiting == 0
    assert not setup.inbound.pending_requests
    assert all(one.user is None for one in setup.inbound.pool.open_connections)
    assert setup.backend.open == len(setup.inbound.pool.open_connections) == len(setup.inbound.pool.idle)


@pytest.mark.parametrize("length", [0, 5, 200_000])
def test_a_shutdown_after_the_admission_keeps_a_long_request_from_the_backend(
    length: int,
) -> None:
    """Guards against work that a backend begins for a sidecar that ends before it is done."""
    setup = InboundSetup()
    request, responder = setup.begin(forwarded_request(remaining_s=1.0, length=length, method=b"POST"))
    now = setup.sidecar.now()
    setup.inbound.lifetime.plan_end(now + 0.9, now + 0.5)
    if length:
        request.data(b"b" * length)
        request.end()
    setup.run()
    assert responder.events[-1] == ("fail", NOT_RUN, SHUTTING_DOWN, False)
    assert setup.inbound.lifetime.refused == 1
    assert not setup.backend.requests
    idle(setup)


def test_a_request_reaches_the_backend_unchanged_with_the_added_header_lines() -> None:
    setup = InboundSetup()
    _, responder = setup.begin(forwarded_request(remaining_s=1.5))
    setup.run()
    (request,) = setup.backend.requests
    assert request.line == b"GET /orders/2f?a=1 HTTP/1.1"
    assert request.headers[b"x-honeywharf-attempt-id"] == ATTEMPT
    assert request.headers[b"x-honeywharf-expected-instance"] == INSTANCE.encode()
    assert request.headers[b"x-honeywharf-caller-service"] == b"tile-vault"
    assert 1400 < int(request.headers[b"x-honeywharf-deadline-remaining"]) <= 1500
    assert b"content-length" not in request.headers
    assert responder.events == [("answer", 200, 4, True)]
    assert responder.body == b"done"
    idle(setup)


@pytest.mark.parametrize(("length", "size"), [(5, 5), (40_000, 40_000), (UNKNOWN, 0), (UNKNOWN, 300_000)])
def test_bodies_are_forwarded_whole_and_within_the_window(length: int, size: int) -> None:
    setup, body, sent = InboundSetup(), Random(2).randbytes(size), 0
    inbound_request, responder = setup.begin(forwarded_request(kind=2, length=length, remaining_s=5.0))
    assert responder.events == [("go",)]
    window = WINDOW_SIZE
    while sent < size:
        piece = body[sent : sent + min(window + responder.windows - sent, 16_384)]
        assert piece, "the window was not opened again"
        inbound_request.data(piece)
        sent += len(piece)
        setup.run(0.01)
    inbound_request.end()
    setup.run()
    (request,) = setup.backend.requests
    assert request.body == body
    assert (b"transfer-encoding" in request.headers) == (length == UNKNOWN)
    assert responder.events[1:] == [("answer", 200, 4, True)]
    idle(setup)


@pytest.mark.parametrize("length", [2000, 40_000, UNKNOWN])
def test_a_head_is_not_written_before_its_body_has_come(length: int) -> None:
    setup = InboundSetup()
    inbound_request, responder = setup.begin(forwarded_request(kind=1, length=length, remaining_s=1.0))
    setup.run(0.5)
    assert not setup.backend.accepted
    if length == 2000:
        inbound_request.data(bytes(1999))
        setup.run(0.2)
        assert not setup.backend.accepted
    setup.run(1.0)
    assert responder.events == [("go",), ("fail", NOT_RUN, TIMED_OUT, False)]
    assert not setup.backend.accepted
    idle(setup)


class LeavingResponder(RecordingResponder):
    """A source that cancels its request from within the call that brings a given part of the answer.

    `widens`: it widens the window first.
    """

    def __init__(self, parts: int, widens: bool) -> None:
        super().__init__()
        self.parts, self.widens = parts, widens
        self.inbound_request: InboundRequest

    def data(self, data: bytes) -> None:
        """Takes a part, and cancels at the last one that it wants."""
        super().data(data)
        self.parts -= 1
        if self.widens:
            self.inbound_request.window(len(data))
        if not self.parts:
            self.inbound_request.cancel()


@pytest.mark.parametrize(("parts", "widens"), [(1, False), (1, True), (2, False)])
def test_a_request_that_is_cancelled_from_within_its_answer_is_released_once(
    parts: int, widens: bool
) -> None:
    """Guards against a slot that is given back twice: the answer is complete when its source leaves."""
    setup = InboundSetup()
    body = bytes(
        WINDOW_SIZE + 2000
    )  # More than one read, so that its end comes with the part that starts it.
    setup.backend.serve = lambda scripted, request: scripted.send(answer(request.attempt, body))
    responder = LeavingResponder(parts, widens)
    responder.inbound_request, _ = setup.begin(forwarded_request(), responder)
    setup.run()
    assert not responder.parts
    assert [event[0] for event in responder.events] == ["answer"]
    assert setup.inbound.served == 0
    idle(setup)


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_connections_are_reused_and_the_one_used_last_first(method: bytes) -> None:
    setup = InboundSetup()

    def serve(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        whole = answer(request.attempt)
        scripted.send(whole[:-4] if request.line.startswith(b"HEAD") else whole)

    setup.backend.serve = serve
    for n in range(3):
        _, responder = setup.begin(forwarded_request(method=method))
        setup.run()
        assert responder.events == [("answer", 200, 4, True)], f"request {n}"
        assert responder.body == (b"" if method == b"HEAD" else b"done")
    assert len(setup.backend.accepted) == (1 if method == b"GET" else 3)
    idle(setup)


def test_a_connection_is_not_used_when_the_backend_is_about_to_close_it() -> None:
    cases = ((5, 3.5, True), (5, 4.5, False), (1, 0.1, False), (0, 1.5, True), (0, 2.5, False))
    for told_s, rest, again in cases:
        setup = InboundSetup()
        keep = b"Keep-Alive: timeout=%d\r\n" % told_s if told_s else b""

        def serve(scripted: ScriptedConnection, request: ReceivedRequest, keep: bytes = keep) -> None:
            scripted.send(answer(request.attempt, more=keep))

        setup.backend.serve = serve
        setup.begin(forwarded_request())
        setup.run(rest)
        setup.begin(forwarded_request())
        setup.run()
        assert len(setup.backend.requests) == 2
        assert (len(setup.backend.accepted) == 1) == again, (told_s, rest)


@pytest.mark.parametrize("kind", [0, 1, 2])
@pytest.mark.parametrize("way", ["reset", "end", "bytes"])
def test_a_connection_that_the_backend_forgot_costs_no_request(kind: int, way: str) -> None:
    setup = InboundSetup()
    size = 3000 if kind else 0
    first, responder = setup.begin(forwarded_request(kind=kind, length=size))
    first.data(bytes(size))
    first.end()
    setup.run()
    (scripted,) = setup.backend.accepted

    def forgotten(data: bytes) -> None:
        if way == "bytes":
            scripted.send(answer(b"0123456789abcdef"))
        else:
            (scripted.connection.abort if way == "reset" else scripted.connection.close)()

    scripted.received = forgotten  # type: ignore[method-assign]
    setup.run(0.3)
    inbound_request, responder = setup.begin(forwarded_request(kind=kind, length=size))
    inbound_request.data(b"x" * size)
    inbound_request.end()
    setup.run()
    assert responder.events[-1] == ("answer", 200, 4, True)
    assert len(setup.backend.accepted) == 2
    assert [len(request.body) for request in setup.backend.requests] == [size, size]
    assert setup.inbound.pool.stale_found == 1
    idle(setup)


def test_no_whole_request_is_sent_on_an_idle_connection_before_it_is_probed() -> None:
    setup = InboundSetup()
    setup.begin(forwarded_request())
    setup.run(MAX_IDLE_UNPROBED_S + 0.1)
    (scripted,) = setup.backend.accepted
    before = scripted.bytes
    inbound_request, responder = setup.begin(forwarded_request())
    setup.run(PROBE_WAIT_S / 2)
    assert scripted.bytes - before == len(b"GET")
    inbound_request.cancel()
    setup.run()
    assert len(setup.backend.requests) == 1
    assert setup.inbound.pool.stale_found == 0
    assert not responder.events
    idle(setup)


def test_a_backend_that_ends_while_a_connection_is_probed_is_found_missing() -> None:
    setup = InboundSetup()
    setup.begin(forwarded_request())
    setup.run(0.3)
    _, responder = setup.begin(forwarded_request(kind=1))
    setup.run(PROBE_WAIT_S / 4)
    setup.app.kill()
    setup.run()
    assert responder.events == [("fail", NOT_RUN, NO_BACKEND, False)]
    assert setup.gate.state == NOT_KNOWN


def test_a_connection_is_closed_after_an_answer_that_says_so() -> None:
    setup = InboundSetup()
    setup.backend.serve = lambda scripted, request: scripted.send(
        answer(request.attempt, more=b"Connection: close\r\n")
    )
    _, responder = setup.begin(forwarded_request())
    setup.run()
    assert responder.events == [("answer", 200, 4, True)]
    assert setup.backend.accepted[0].close_reason is not None
    idle(setup)


# Bytes that belong to no request.


def test_an_answer_to_another_request_is_skipped_and_the_connection_closed_afterwards() -> None:
    setup = InboundSetup()
    excess = answer(b"old", b"not yours") + answer(b"older", b"x" * 90_000, chunked=True)
    setup.backend.serve = lambda scripted, request: scripted.send(excess + answer(request.attempt))
    _, responder = setup.begin(forwarded_request())
    setup.run()
    assert responder.events == [("answer", 200, 4, True)]
    assert responder.body == b"done"
    assert setup.backend.accepted[0].close_reason is not None
    idle(setup)


@pytest.mark.parametrize(
    "excess", [answer(b"old"), answer(ATTEMPT, b"twice"), b"garbage", b"\r\n\r\nHTTP/1.1 2"]
)
@pytest.mark.parametrize("late", [False, True])
def test_what_comes_behind_an_answer_belongs_to_nothing(excess: bytes, late: bool) -> None:
    setup = InboundSetup()

    def serve(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        if late:
            scripted.send(answer(request.attempt))
            setup.app.after(0.05, lambda: scripted.send(excess))
        else:
            scripted.send(answer(request.attempt) + excess)

    setup.backend.serve = serve
    for n in range(3):
        _, responder = setup.begin(forwarded_request(attempt=b"a%d" % n))
        setup.run(0.2)
        assert responder.events == [("answer", 200, 4, True)]
        assert responder.body == b"done"
    assert len(setup.backend.accepted) == 3
    idle(setup)


def test_an_excess_answer_on_a_connection_that_is_used_again_is_not_the_next_ones() -> None:
    setup = InboundSetup(slots=1)

    def serve(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        scripted.send(answer(request.attempt))
        setup.app.after(0.0001, lambda: scripted.send(answer(request.attempt, b"excess")))

    setup.backend.serve = serve
    for n in range(50):
        _, responder = setup.begin(forwarded_request(attempt=b"a%d" % n))
        setup.run(0.001 if n % 2 else 0.01)
        setup.run(0.01)
        assert responder.events in (
            [("answer", 200, 4, True)],
            [("fail", MAY_HAVE_RUN, CONNECTION_BROKEN, True)],
        )
        assert responder.body in (b"done", b"")


# Verdicts.


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_what_the_backend_did_not_run_is_a_proof_that_has_arrived(status: int) -> None:
    setup = InboundSetup()
    more = b"" if status == 421 else NOT_EXECUTED
    setup.backend.serve = lambda scripted, request: scripted.send(
        answer(request.attempt, b"no", status, seal=False, more=more)
    )
    _, responder = setup.begin(forwarded_request(kind=1))
    setup.run()
    assert responder.events == [("fail", NOT_RUN, REJECTED_BY_BACKEND, True)]
    assert (setup.gate.state == NOT_KNOWN) == (status == 421)
    assert setup.gate.warmup.is_unknown == (status == 421)
    idle(setup)


@pytest.mark.parametrize("status", [200, 404, 500, 503, 504])
def test_what_the_backend_ran_is_its_answer(status: int) -> None:
    setup = InboundSetup()
    setup.backend.serve = lambda scripted, request: scripted.send(answer(request.attempt, b"own", status))
    _, responder = setup.begin(forwarded_request(kind=1))
    setup.run()
    assert responder.events == [("answer", status, 3, True)]
    idle(setup)


WRONG = {
    "not an answer": (b"garbage\r\n\r\n", MALFORMED_ANSWER),
    "no seal": (answer(ATTEMPT, seal=False), MALFORMED_ANSWER),
    "encoded": (answer(ATTEMPT, more=b"Content-Encoding: gzip\r\n"), MALFORMED_ANSWER),
    "two lengths": (answer(ATTEMPT, more=b"Content-Length: 9\r\n"), MALFORMED_ANSWER),
    "a bad chunk": (answer(ATTEMPT, chunked=True)[:-12] + b"zz\r\n", MALFORMED_ANSWER),
    "no seal, long": (answer(ATTEMPT, bytes(200_000), seal=False), MALFORMED_ANSWER),
}


@pytest.mark.parametrize("name", WRONG)
def test_what_is_no_whole_answer_may_have_run_and_shows_the_client_nothing(name: str) -> None:
    setup = InboundSetup()
    data, why = WRONG[name]
    setup.backend.serve = lambda scripted, request: scripted.send(data)
    _, responder = setup.begin(forwarded_request(kind=1))
    setup.run(0.5)
    assert [e[:2] for e in responder.events] == [("fail", MAY_HAVE_RUN)]
    assert responder.verdict is not None
    assert responder.verdict.reached_backend
    assert responder.verdict.why in (why, CONNECTION_BROKEN)
    idle(setup)


def test_an_endless_answer_that_no_client_may_see_is_not_held() -> None:
    setup = InboundSetup()

    def pour(scripted: ScriptedConnection, left: int) -> None:
        if left and scripted.close_reason is None:
            scripted.send(bytes(50_000))
            setup.app.after(0.005, lambda: pour(scripted, left - 1))

    def serve(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        scripted.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\nX-Honeywharf-Attempt-Id: %b\r\n\r\n"
            % request.attempt
        )
        pour(scripted, 40)

    setup.backend.serve = serve
    inbound_request, responder = setup.begin(forwarded_request(kind=1, remaining_s=5.0))
    setup.run(1.0)
    assert sum(map(len, inbound_request.answer_parts)) <= 200_000
    assert [e[:2] for e in responder.events] == [("fail", MAY_HAVE_RUN)]
    idle(setup)


@pytest.mark.parametrize("cut", ["none", "head", "body"])
@pytest.mark.parametrize("reset", [False, True])
def test_a_connection_that_ends_early_may_have_run(cut: str, reset: bool) -> None:
    setup = InboundSetup()

    def serve(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        whole = answer(request.attempt, b"x" * 1000)
        scripted.send({"none": b"", "head": whole[:30], "body": whole[:-1]}[cut])
        setup.app.after(0.01, scripted.connection.abort if reset else scripted.connection.close)

    setup.backend.serve = serve
    _, responder = setup.begin(forwarded_request(kind=1))
    setup.run()
    assert responder.events == [
        ("fail", MAY_HAVE_RUN, MALFORMED_ANSWER if cut == "body" else CONNECTION_BROKEN, True)
    ]
    idle(setup)


def test_an_answer_forwarded_in_parts_that_breaks_off_fails_after_its_head() -> None:
    setup = InboundSetup()

    def serve(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        scripted.send(answer(request.attempt, bytes(200_000))[:-1])
        setup.app.after(0.05, scripted.connection.close)

    setup.backend.serve = serve
    inbound_request, responder = setup.begin(forwarded_request())
    setup.run(0.02)
    inbound_request.window(1 << 20)
    setup.run(1.0)
    assert [e[0] for e in responder.events] == ["answer", "fail"]
    assert responder.verdict is not None
    assert responder.verdict.ran == MAY_HAVE_RUN
    idle(setup)


def test_a_refused_connection_proves_that_nothing_ran_and_that_nobody_is_there() -> None:
    setup = InboundSetup()
    setup.app.end()
    _, responder = setup.begin(forwarded_request(kind=1))
    setup.run()
    assert responder.events == [("fail", NOT_RUN, NO_BACKEND, False)]
    assert setup.gate.state == NOT_KNOWN
    assert setup.gate.warmup.is_unknown
    assert setup.gate.admission.running == 0


def test_a_backend_that_says_nothing_is_given_up_after_its_deadline_and_not_before() -> None:
    setup = InboundSetup()
    setup.backend.serve = lambda scripted, request: None
    _, responder = setup.begin(forwarded_request(kind=1, remaining_s=0.5))
    setup.run(0.5)
    assert responder.events == []
    setup.run(0.1)
    assert responder.events == [("fail", MAY_HAVE_RUN, TIMED_OUT, True)]
    assert setup.backend.accepted[0].close_reason is not None
    idle(setup)


@pytest.mark.parametrize("when", ["at once", "connecting", "at work"])
def test_a_cancelled_request_gives_everything_back_and_reports_nothing(when: str) -> None:
    setup = InboundSetup()
    setup.backend.serve = lambda scripted, request: None
    inbound_request, responder = setup.begin(forwarded_request())
    setup.run({"at once": 0.0, "connecting": 0.00005, "at work": 0.1}[when])
    inbound_request.cancel()
    inbound_request.cancel()
    setup.run()
    assert responder.events == []
    assert setup.inbound.cancelled == 1
    assert [v.close_reason is None for v in setup.backend.accepted] in ([], [False])
    idle(setup)


# Answers in parts.


def test_a_long_answer_is_forwarded_as_the_window_allows_and_reading_is_paused() -> None:
    setup, body = InboundSetup(), Random(5).randbytes(1_000_000)
    setup.backend.serve = lambda scripted, request: scripted.send(answer(request.attempt, body))
    inbound_request, responder = setup.begin(forwarded_request(remaining_s=60.0))
    setup.run(1.0)
    assert responder.events == [("answer", 200, 1_000_000, False)]
    assert len(responder.body) == WINDOW_SIZE
    assert sum(map(len, inbound_request.answer_parts)) <= 2 * WINDOW_SIZE
    assert setup.backend.accepted[0].connection.unsent > 700_000
    while not responder.ends:
        passed = len(responder.body)
        inbound_request.window(50_000)
        setup.run(0.05)
        assert len(responder.body) > passed
    assert responder.body == body
    idle(setup)


def test_a_connection_whose_last_answer_exceeded_its_window_serves_the_next_request() -> None:
    setup = InboundSetup()
    setup.backend.serve = lambda scripted, request: scripted.send(answer(request.attempt, bytes(72_000)))
    inbound_request, responder = setup.begin(
        forwarded_request()
    )  # the last bytes arrive in the read that uses up the window
    setup.run(1.0)
    inbound_request.window(10_000)
    assert responder.ends == 1
    assert len(responder.body) == 72_000
    _, responder = setup.begin(forwarded_request())
    setup.run(1.0)
    assert responder.ends == 1
    assert responder.verdict is None
    assert len(responder.body) == 72_000


# Admission.


def test_a_request_that_must_not_run_is_rejected_before_the_backend_sees_a_byte() -> None:
    setup = InboundSetup()
    cases = [
        (forwarded_request(service="another"), OTHER_SERVICE),
        (forwarded_request(remaining_s=0.001), TOO_LATE),
    ]
    for asked, why in cases:
        assert setup.begin(asked)[1].events == [("fail", NOT_RUN, why, False)]
    setup.inbound.shutting_down = True
    assert setup.begin(forwarded_request())[1].events == [("fail", NOT_RUN, SHUTTING_DOWN, False)]
    setup.inbound.shutting_down = False
    setup.inbound.lifetime.plan_end(setup.sidecar.now() + 0.9, NEVER)  # the request may take 1.0 s
    assert setup.begin(forwarded_request())[1].events == [("fail", NOT_RUN, SHUTTING_DOWN, False)]
    setup.inbound.lifetime.plan_end(NEVER, NEVER)
    setup.gate.heartbeat(setup.sidecar.now(), INSTANCE, 2, True, 4, 0.0)
    assert setup.begin(forwarded_request())[1].events == [("fail", NOT_RUN, DRAINING, False)]
    setup.run()
    assert not setup.backend.accepted
    idle(setup)


def test_a_request_without_a_slot_is_queued_up_to_its_limit_and_then_rejected() -> None:
    setup = InboundSetup(slots=2)
    setup.gate.admission.mean_s = 0.01
    setup.backend.serve = lambda scripted, request: None
    setup.begin(forwarded_request(remaining_s=3.0))
    setup.begin(forwarded_request(remaining_s=3.0))
    assert setup.begin(forwarded_request())[1].events == [("fail", NOT_RUN, FULL, False)]
    patient = setup.begin(forwarded_request(queue_wait_s=0.8, remaining_s=3.0))[1]
    setup.run(0.1)
    hasty = setup.begin(forwarded_request(queue_wait_s=0.1, remaining_s=3.0))[1]
    setup.run(0.15)
    assert hasty.events == [("fail", NOT_RUN, FULL, False)], "it waited past its patience"
    assert patient.events == []
    setup.run(0.7)  # the wait of the next to run is extended once
    assert patient.events == []
    setup.run(0.7)
    assert patient.events == [("fail", NOT_RUN, FULL, False)]
    setup.run(3.0)
    idle(setup)


def test_queued_requests_run_by_rank_when_a_slot_is_free() -> None:
    setup = InboundSetup(slots=1)
    setup.gate.admission.mean_s = 0.01

    def serve(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        setup.app.after(0.05, lambda: scripted.send(answer(request.attempt)))

    setup.backend.serve = serve
    for name, priority in ((b"a", 1), (b"low", 2), (b"high", 0), (b"b", 1)):
        setup.begin(forwarded_request(queue_wait_s=1.0, priority=priority, attempt=name, remaining_s=3.0))
    setup.run(1.0)
    assert [r.attempt for r in setup.backend.requests] == [b"a", b"high", b"b", b"low"]
    idle(setup)


def test_no_more_connections_are_opened_than_configured() -> None:
    setup = InboundSetup(slots=30, connections=5)
    setup.backend.serve = lambda scripted, request: None
    responder = [setup.begin(forwarded_request(remaining_s=0.3))[1] for _ in range(12)]
    setup.run(0.1)
    assert len(setup.backend.accepted) == 5
    assert [t.events for t in responder[5:]] == [[("fail", NOT_RUN, FULL, False)]] * 7
    setup.run(1.0)
    idle(setup)


def test_a_backend_that_drains_while_a_body_is_awaited_gets_no_request() -> None:
    setup = InboundSetup()
    inbound_request, responder = setup.begin(forwarded_request(kind=1, length=2000, remaining_s=9.0))
    setup.run(0.5)
    setup.gate.heartbeat(setup.sidecar.now(), INSTANCE, 2, True, 4, 0.0)
    setup.run(2.5)  # a slow client: `drain-timeout` is over
    inbound_request.data(bytes(2000))
    inbound_request.end()
    setup.run()
    assert not setup.backend.requests
    assert responder.events == [("go",), ("fail", NOT_RUN, DRAINING, False)]
    idle(setup)


def test_a_cold_backend_gets_no_burst_of_requests_whose_bodies_were_awaited() -> None:
    setup = InboundSetup(slots=60, connections=80)
    now = setup.sidecar.now()
    setup.gate.heartbeat(now, INSTANCE, 2, False, 60, 30.0)
    begun = []
    for _ in range(3):
        while (inbound_request := setup.begin(forwarded_request(kind=1, length=100, remaining_s=9.0)))[
            1
        ].events == [("go",)]:
            begun.append(inbound_request[0])
        setup.run(1.2)
    assert 40 < len(begun) <= 60
    for waiting in begun:
        waiting.data(bytes(100))
        waiting.end()
    setup.run(0.5)
    assert len(setup.backend.requests) <= 22 * 1.5 + 5
    setup.run(20.0)
    idle(setup)


@pytest.mark.parametrize("seed", range(6))
def test_random_requests_give_each_slot_and_connection_back(seed: int) -> None:
    rng = Random(seed)
    setup = InboundSetup(seed, slots=5, connections=8)
    setup.gate.admission.mean_s = 0.01

    def serve(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        whole = answer(request.attempt, bytes(rng.choice((4, 4, 2000, 150_000))), chunked=rng.random() < 0.5)
        draw = rng.random()
        if draw < 0.1:
            scripted.connection.abort()
        elif draw < 0.2:
            scripted.send(whole[: rng.randrange(len(whole))])
            scripted.connection.close()
        elif draw < 0.25:
            scripted.send(b"nonsense\r\n\r\n")
        elif draw < 0.3:
            scripted.send(answer(b"old", b"late") + whole)
        elif draw < 0.35:
            scripted.send(whole + b"HTTP/1.1 200 OK\r\n")
        elif draw < 0.45:
            scripted.send(answer(request.attempt, b"", 503, seal=False, more=NOT_EXECUTED))
        elif draw < 0.9:
            setup.app.after(rng.expovariate(50.0), lambda: scripted.send(whole))

    setup.backend.serve = serve
    begun: list[tuple[InboundRequest, RecordingResponder, int]] = []
    cancelled: set[InboundRequest] = set()
    for n in range(400):
        if rng.random() < 0.01 and setup.app.alive:
            setup.app.kill()
        if rng.random() < 0.03:
            setup.gate.heartbeat(setup.sidecar.now(), INSTANCE, 10 + n, False, 5, 0.0)
        length = rng.choice((0, 0, 300, 50_000, UNKNOWN))
        inbound_request, responder = setup.begin(
            forwarded_request(
                kind=rng.randrange(3),
                length=length,
                remaining_s=rng.uniform(0.02, 0.6),
                queue_wait_s=rng.choice((0.0, 0.1)),
                attempt=b"a%d" % n,
            )
        )
        begun.append((inbound_request, responder, length))
        for _ in range(3):
            inbound_request, responder, length = rng.choice(begun[-8:])
            if inbound_request.is_over:
                continue
            if rng.random() < 0.15:
                inbound_request.cancel()
                cancelled.add(inbound_request)
            elif length and ("go",) in responder.events and not inbound_request.body_complete:
                left = (length if length > 0 else 70_000) - inbound_request.bytes_received
                inbound_request.data(bytes(min(left, 16_384)))
                if left <= 16_384:
                    inbound_request.end()
            else:
                inbound_request.window(1 << 20)
        setup.run(rng.expovariate(100.0))
        if not setup.app.alive:
            setup.run(0.5)
            setup.backend.serve = serve
    setup.run(3.0)
    assert setup.inbound.served > 10
    for inbound_request, responder, _ in begun:
        assert inbound_request.is_over
        assert responder.ends == (0 if inbound_request in cancelled else 1)
    assert setup.gate.admission.running == 0
    assert setup.gate.admission.waiting == 0
    assert not setup.inbound.pending_requests
    assert all(one.user is None for one in setup.inbound.pool.open_connections)
    assert set(setup.inbound.pool.open_connections) == set(setup.inbound.pool.idle)
    assert setup.gate.state in (READY, NOT_KNOWN)


def test_a_request_to_a_new_instance_names_that_instance() -> None:
    setup = InboundSetup()
    setup.begin(forwarded_request())
    setup.run()
    setup.gate.heartbeat(setup.sidecar.now(), "i-2", 0, False, 4, 0.0)
    setup.begin(forwarded_request())
    setup.run()
    assert [r.headers[b"x-honeywharf-expected-instance"] for r in setup.backend.requests] == [
        INSTANCE.encode(),
        b"i-2",
    ]
    assert setup.gate.service == SERVICE


def test_a_body_being_received_holds_no_slot_and_a_short_request_runs_before_it() -> None:
    setup = InboundSetup(slots=1)
    setup.inbound.set_link_speed(2.7)
    far = forwarded_request(kind=2, length=40_000, remaining_s=5.0)
    far.peer = "10.1.0.9"
    inbound_request, responder = setup.begin(far)
    assert responder.events == [("go",)]
    inbound_request.data(bytes(8192))
    _, lookup = setup.begin(forwarded_request())
    setup.run(0.1)
    assert lookup.events == [("answer", 200, 4, True)]
    assert setup.gate.admission.running == 0
    sent = 8192
    while sent < 40_000:
        assert responder.windows + 8192 > sent, "the window was not opened again"
        piece = min(responder.windows + 8192, 40_000) - sent
        inbound_request.data(bytes(piece))
        sent += piece
    assert not any(b"POST" in request.line for request in setup.backend.requests)
    inbound_request.end()
    setup.run()
    assert responder.events[1:] == [("answer", 200, 4, True)]
    assert (setup.inbound.receiving, setup.inbound.body_flow_control.reserved_bytes) == (0, 0)
    idle(setup)


def test_a_saturated_link_rejects_only_large_bodies_before_their_first_byte() -> None:
    setup = InboundSetup(slots=50)
    setup.inbound.set_link_speed(2.7)
    begun = []
    for n in range(12):
        far = forwarded_request(kind=2, length=60_000, remaining_s=5.0, attempt=b"%016x" % n)
        far.peer = "10.1.0.9"
        begun.append(setup.begin(far))
    rejected = [responder for _, responder in begun if responder.verdict is not None]
    assert [responder.events for responder in rejected] == [[("fail", NOT_RUN, LINK_SATURATED, False)]] * len(
        rejected
    )
    assert 12 - len(rejected) == 1  # the next one's first byte would wait 0.18 s of a latency target of 0.5 s
    assert rejected[0].verdict is not None
    assert rejected[0].verdict.retry_after_s > 0.15
    _, lookup = setup.begin(forwarded_request())
    setup.run(0.1)
    assert lookup.events == [("answer", 200, 4, True)]
    begun[0][0].cancel()
    setup.run(0.1)
    assert (setup.inbound.receiving, setup.inbound.body_flow_control.reserved_bytes) == (0, 0)


def test_a_body_that_never_ends_is_given_up_as_not_run() -> None:
    setup = InboundSetup()
    far = forwarded_request(kind=2, length=40_000, remaining_s=1.0)
    far.peer = "10.1.0.9"
    inbound_request, responder = setup.begin(far)
    inbound_request.data(bytes(8192))
    setup.run(1.2)
    assert responder.events == [("go",), ("fail", NOT_RUN, TIMED_OUT, False)]
    assert not setup.backend.accepted
    assert (setup.inbound.receiving, setup.inbound.body_flow_control.reserved_bytes) == (0, 0)


def test_the_gate_is_asked_again_when_the_body_is_received() -> None:
    setup = InboundSetup()
    inbound_request, responder = setup.begin(forwarded_request(kind=2, length=40_000, remaining_s=5.0))
    inbound_request.data(bytes(40_000))
    setup.gate.heartbeat(setup.inbound.host.now(), INSTANCE, 2, True, 4, 0.0)  # the backend drains
    inbound_request.end()
    setup.run()
    assert responder.events == [("go",), ("fail", NOT_RUN, DRAINING, False)]
    assert not setup.backend.accepted
    idle(setup)


def test_a_process_that_ends_tells_what_is_known_of_each_job() -> None:
    setup = InboundSetup(slots=1)
    setup.backend.serve = lambda scripted, request: None
    _, running = setup.begin(forwarded_request(kind=1, attempt=b"a1"))
    setup.run(0.05)
    _, waiting = setup.begin(forwarded_request(kind=1, attempt=b"a2", queue_wait_s=0.9))
    setup.run(0.05)
    assert len(setup.backend.requests) == 1
    setup.inbound.finish()
    assert running.events == [("fail", MAY_HAVE_RUN, SHUTTING_DOWN, True)]
    assert waiting.events == [("fail", NOT_RUN, SHUTTING_DOWN, False)]
    assert not setup.inbound.pending_requests
    setup.run(0.5)
    assert len(setup.backend.requests) == 1  # a rejected request never runs
    assert setup.gate.admission.running == 0


def test_a_connection_with_half_a_request_on_it_carries_no_other() -> None:
    """Guards against a request read as the rest of an earlier body that the backend answered early."""
    setup = InboundSetup()
    heads: list[bytes] = []

    def early(scripted: ScriptedConnection, data: bytes) -> None:
        if data.startswith(b"POST"):
            heads.append(data)
            scripted.send(answer(b"a1", b"", 503, False, NOT_EXECUTED))

    setup.backend.read = early
    inbound_request, responder = setup.begin(forwarded_request(kind=2, length=1 << 20, attempt=b"a1"))
    inbound_request.data(b"x" * 40_000)
    setup.run(0.05)
    assert responder.events[-1] == ("fail", NOT_RUN, REJECTED_BY_BACKEND, True)
    assert len(heads) == 1
    assert setup.backend.open == 0
    setup.backend.read = None
    inbound_request, responder = setup.begin(forwarded_request(kind=1, length=3, attempt=b"a2"))
    inbound_request.data(b"abc")
    inbound_request.end()
    setup.run(0.05)
    assert [request.attempt for request in setup.backend.requests] == [b"a2"]
    assert responder.body == b"done"


def test_a_late_repeat_of_a_refusal_is_no_proof_for_the_next_try_of_the_same_request() -> None:
    setup = InboundSetup()
    refusal = answer(b"a1", b"", 503, False, NOT_EXECUTED)

    def twice(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        if len(setup.backend.requests) == 1:
            scripted.send(refusal)
            setup.app.after(0.01, lambda: scripted.send(refusal))

    setup.backend.serve = twice
    _, responder = setup.begin(forwarded_request(kind=1, attempt=b"a1"))
    setup.run(0.005)
    assert responder.events == [("fail", NOT_RUN, REJECTED_BY_BACKEND, True)]
    _, again = setup.begin(forwarded_request(kind=1, attempt=b"a1"))
    setup.run(0.05)
    assert len(setup.backend.requests) == 2
    assert again.events == []  # the backend is still working on it
