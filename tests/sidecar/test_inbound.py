"""Jobs and taps against a scripted backend on a simulated machine: what each end proves, what comes back."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.codecs.heads import UNKNOWN
from honeywharf.sidecar.backend import MAX_REST_UNPROBED_S, PROBE_WAIT_S
from honeywharf.sidecar.gate import READY, UNKNOWN as NOT_KNOWN
from honeywharf.sidecar.inbound import InboundRequest
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
from tests.sidecar.stage import ATTEMPT, LIFE, SERVICE, Answers, Request, Stage, Visit, answer, ask

NOT_EXECUTED = b"X-Honeywharf-Not-Executed: 1\r\n"


def idle(stage: Stage) -> None:
    """Nothing is held any more."""
    assert stage.gate.admission.running == 0
    assert stage.gate.admission.waiting == 0
    assert not stage.inbound.pending_requests
    assert all(tap.user is None for tap in stage.inbound.pool.open_connections)
    assert stage.backend.open == len(stage.inbound.pool.open_connections) == len(stage.inbound.pool.idle)


def test_a_request_reaches_the_backend_unchanged_and_with_what_we_add() -> None:
    stage = Stage()
    _, told = stage.begin(ask(remaining_s=1.5))
    stage.run()
    (request,) = stage.backend.requests
    assert request.line == b"GET /orders/2f?a=1 HTTP/1.1"
    assert request.headers[b"x-honeywharf-attempt-id"] == ATTEMPT
    assert request.headers[b"x-honeywharf-expected-instance"] == LIFE.encode()
    assert request.headers[b"x-honeywharf-caller-service"] == b"tile-vault"
    assert 1400 < int(request.headers[b"x-honeywharf-deadline-remaining"]) <= 1500
    assert b"content-length" not in request.headers
    assert told.events == [("answer", 200, 4, True)]
    assert told.body == b"done"
    idle(stage)


@pytest.mark.parametrize(("length", "size"), [(5, 5), (40_000, 40_000), (UNKNOWN, 0), (UNKNOWN, 300_000)])
def test_bodies_go_on_whole_and_in_windows(length: int, size: int) -> None:
    stage, body, sent = Stage(), Random(2).randbytes(size), 0
    inbound_request, told = stage.begin(ask(kind=2, length=length, remaining_s=5.0))
    assert told.events == [("go",)]
    window = WINDOW_SIZE
    while sent < size:
        piece = body[sent : sent + min(window + told.windows - sent, 16_384)]
        assert piece, "the window was not opened again"
        inbound_request.data(piece)
        sent += len(piece)
        stage.run(0.01)
    inbound_request.end()
    stage.run()
    (request,) = stage.backend.requests
    assert request.body == body
    assert (b"transfer-encoding" in request.headers) == (length == UNKNOWN)
    assert told.events[1:] == [("answer", 200, 4, True)]
    idle(stage)


@pytest.mark.parametrize("length", [2000, 40_000, UNKNOWN])
def test_a_head_is_not_written_before_its_body_has_come(length: int) -> None:
    stage = Stage()
    inbound_request, told = stage.begin(ask(kind=1, length=length, remaining_s=1.0))
    stage.run(0.5)
    assert not stage.backend.visits
    if length == 2000:
        inbound_request.data(bytes(1999))
        stage.run(0.2)
        assert not stage.backend.visits
    stage.run(1.0)
    assert told.events == [("go",), ("fail", NOT_RUN, TIMED_OUT, False)]
    assert not stage.backend.visits
    idle(stage)


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_connections_are_used_again_and_the_one_used_last_first(method: bytes) -> None:
    stage = Stage()

    def serve(visit: Visit, request: Request) -> None:
        whole = answer(request.attempt)
        visit.send(whole[:-4] if request.line.startswith(b"HEAD") else whole)

    stage.backend.serve = serve
    for n in range(3):
        _, told = stage.begin(ask(method=method))
        stage.run()
        assert told.events == [("answer", 200, 4, True)], f"request {n}"
        assert told.body == (b"" if method == b"HEAD" else b"done")
    assert len(stage.backend.visits) == (1 if method == b"GET" else 3)
    idle(stage)


def test_a_connection_is_not_used_when_the_backend_is_about_to_close_it() -> None:
    cases = ((5, 3.5, True), (5, 4.5, False), (1, 0.1, False), (0, 1.5, True), (0, 2.5, False))
    for told_s, rest, again in cases:
        stage = Stage()
        keep = b"Keep-Alive: timeout=%d\r\n" % told_s if told_s else b""

        def serve(visit: Visit, request: Request, keep: bytes = keep) -> None:
            visit.send(answer(request.attempt, more=keep))

        stage.backend.serve = serve
        stage.begin(ask())
        stage.run(rest)
        stage.begin(ask())
        stage.run()
        assert len(stage.backend.requests) == 2
        assert (len(stage.backend.visits) == 1) == again, (told_s, rest)


@pytest.mark.parametrize("kind", [0, 1, 2])
@pytest.mark.parametrize("way", ["reset", "end", "bytes"])
def test_a_connection_that_the_backend_forgot_costs_no_request(kind: int, way: str) -> None:
    stage = Stage()
    size = 3000 if kind else 0
    first, told = stage.begin(ask(kind=kind, length=size))
    first.data(bytes(size))
    first.end()
    stage.run()
    (visit,) = stage.backend.visits

    def forgotten(data: bytes) -> None:
        if way == "bytes":
            visit.send(answer(b"0123456789abcdef"))
        else:
            (visit.connection.abort if way == "reset" else visit.connection.close)()

    visit.received = forgotten  # type: ignore[method-assign]
    stage.run(0.3)
    inbound_request, told = stage.begin(ask(kind=kind, length=size))
    inbound_request.data(b"x" * size)
    inbound_request.end()
    stage.run()
    assert told.events[-1] == ("answer", 200, 4, True)
    assert len(stage.backend.visits) == 2
    assert [len(request.body) for request in stage.backend.requests] == [size, size]
    assert stage.inbound.pool.stale_found == 1
    idle(stage)


def test_nothing_that_could_run_goes_on_a_rested_connection_before_it_is_tried() -> None:
    stage = Stage()
    stage.begin(ask())
    stage.run(MAX_REST_UNPROBED_S + 0.1)
    (visit,) = stage.backend.visits
    before = visit.bytes
    inbound_request, told = stage.begin(ask())
    stage.run(PROBE_WAIT_S / 2)
    assert visit.bytes - before == len(b"GET")
    inbound_request.cancel()
    stage.run()
    assert len(stage.backend.requests) == 1
    assert stage.inbound.pool.stale_found == 0
    assert not told.events
    idle(stage)


def test_a_backend_that_goes_while_a_connection_is_tried_is_found_missing() -> None:
    stage = Stage()
    stage.begin(ask())
    stage.run(0.3)
    _, told = stage.begin(ask(kind=1))
    stage.run(PROBE_WAIT_S / 4)
    stage.app.kill()
    stage.run()
    assert told.events == [("fail", NOT_RUN, NO_BACKEND, False)]
    assert stage.gate.state == NOT_KNOWN


def test_a_connection_is_closed_after_an_answer_that_says_so() -> None:
    stage = Stage()
    stage.backend.serve = lambda visit, request: visit.send(
        answer(request.attempt, more=b"Connection: close\r\n")
    )
    _, told = stage.begin(ask())
    stage.run()
    assert told.events == [("answer", 200, 4, True)]
    assert stage.backend.visits[0].gone is not None
    idle(stage)


# What belongs to nothing.


def test_an_answer_to_another_request_is_skipped_and_the_connection_closed_afterwards() -> None:
    stage = Stage()
    excess = answer(b"old", b"not yours") + answer(b"older", b"x" * 90_000, chunked=True)
    stage.backend.serve = lambda visit, request: visit.send(excess + answer(request.attempt))
    _, told = stage.begin(ask())
    stage.run()
    assert told.events == [("answer", 200, 4, True)]
    assert told.body == b"done"
    assert stage.backend.visits[0].gone is not None
    idle(stage)


@pytest.mark.parametrize(
    "excess", [answer(b"old"), answer(ATTEMPT, b"twice"), b"garbage", b"\r\n\r\nHTTP/1.1 2"]
)
@pytest.mark.parametrize("late", [False, True])
def test_what_comes_behind_an_answer_belongs_to_nothing(excess: bytes, late: bool) -> None:
    stage = Stage()

    def serve(visit: Visit, request: Request) -> None:
        if late:
            visit.send(answer(request.attempt))
            stage.app.after(0.05, lambda: visit.send(excess))
        else:
            visit.send(answer(request.attempt) + excess)

    stage.backend.serve = serve
    for n in range(3):
        _, told = stage.begin(ask(attempt=b"a%d" % n))
        stage.run(0.2)
        assert told.events == [("answer", 200, 4, True)]
        assert told.body == b"done"
    assert len(stage.backend.visits) == 3
    idle(stage)


def test_an_excess_answer_on_a_connection_that_is_used_again_is_not_the_next_ones() -> None:
    stage = Stage(slots=1)

    def serve(visit: Visit, request: Request) -> None:
        visit.send(answer(request.attempt))
        stage.app.after(0.0001, lambda: visit.send(answer(request.attempt, b"excess")))

    stage.backend.serve = serve
    for n in range(50):
        _, told = stage.begin(ask(attempt=b"a%d" % n))
        stage.run(0.001 if n % 2 else 0.01)
        stage.run(0.01)
        assert told.events in ([("answer", 200, 4, True)], [("fail", MAY_HAVE_RUN, CONNECTION_BROKEN, True)])
        assert told.body in (b"done", b"")


# What an end proves.


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_what_the_backend_did_not_run_is_a_proof_that_has_arrived(status: int) -> None:
    stage = Stage()
    more = b"" if status == 421 else NOT_EXECUTED
    stage.backend.serve = lambda visit, request: visit.send(
        answer(request.attempt, b"no", status, seal=False, more=more)
    )
    _, told = stage.begin(ask(kind=1))
    stage.run()
    assert told.events == [("fail", NOT_RUN, REJECTED_BY_BACKEND, True)]
    assert (stage.gate.state == NOT_KNOWN) == (status == 421)
    assert stage.gate.cold_unknown == (status == 421)
    idle(stage)


@pytest.mark.parametrize("status", [200, 404, 500, 503, 504])
def test_what_the_backend_ran_is_its_answer(status: int) -> None:
    stage = Stage()
    stage.backend.serve = lambda visit, request: visit.send(answer(request.attempt, b"own", status))
    _, told = stage.begin(ask(kind=1))
    stage.run()
    assert told.events == [("answer", status, 3, True)]
    idle(stage)


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
    stage = Stage()
    data, why = WRONG[name]
    stage.backend.serve = lambda visit, request: visit.send(data)
    _, told = stage.begin(ask(kind=1))
    stage.run(0.5)
    assert [e[:2] for e in told.events] == [("fail", MAY_HAVE_RUN)]
    assert told.verdict is not None
    assert told.verdict.reached_backend
    assert told.verdict.why in (why, CONNECTION_BROKEN)
    idle(stage)


def test_an_answer_without_end_that_no_client_may_see_is_not_held() -> None:
    stage = Stage()

    def pour(visit: Visit, left: int) -> None:
        if left and visit.gone is None:
            visit.send(bytes(50_000))
            stage.app.after(0.005, lambda: pour(visit, left - 1))

    def serve(visit: Visit, request: Request) -> None:
        visit.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\nX-Honeywharf-Attempt-Id: %b\r\n\r\n"
            % request.attempt
        )
        pour(visit, 40)

    stage.backend.serve = serve
    inbound_request, told = stage.begin(ask(kind=1, remaining_s=5.0))
    stage.run(1.0)
    assert sum(map(len, inbound_request.answer_parts)) <= 200_000
    assert [e[:2] for e in told.events] == [("fail", MAY_HAVE_RUN)]
    idle(stage)


@pytest.mark.parametrize("cut", ["none", "head", "body"])
@pytest.mark.parametrize("reset", [False, True])
def test_a_connection_that_ends_early_may_have_run(cut: str, reset: bool) -> None:
    stage = Stage()

    def serve(visit: Visit, request: Request) -> None:
        whole = answer(request.attempt, b"x" * 1000)
        visit.send({"none": b"", "head": whole[:30], "body": whole[:-1]}[cut])
        stage.app.after(0.01, visit.connection.abort if reset else visit.connection.close)

    stage.backend.serve = serve
    _, told = stage.begin(ask(kind=1))
    stage.run()
    assert told.events == [
        ("fail", MAY_HAVE_RUN, MALFORMED_ANSWER if cut == "body" else CONNECTION_BROKEN, True)
    ]
    idle(stage)


def test_an_answer_too_long_to_hold_that_breaks_off_fails_after_its_head() -> None:
    stage = Stage()

    def serve(visit: Visit, request: Request) -> None:
        visit.send(answer(request.attempt, bytes(200_000))[:-1])
        stage.app.after(0.05, visit.connection.close)

    stage.backend.serve = serve
    inbound_request, told = stage.begin(ask())
    stage.run(0.02)
    inbound_request.window(1 << 20)
    stage.run(1.0)
    assert [e[0] for e in told.events] == ["answer", "fail"]
    assert told.verdict is not None
    assert told.verdict.ran == MAY_HAVE_RUN
    idle(stage)


def test_a_refused_connection_proves_that_nothing_ran_and_that_nobody_is_there() -> None:
    stage = Stage()
    stage.app.end()
    _, told = stage.begin(ask(kind=1))
    stage.run()
    assert told.events == [("fail", NOT_RUN, NO_BACKEND, False)]
    assert stage.gate.state == NOT_KNOWN
    assert stage.gate.cold_unknown
    assert stage.gate.admission.running == 0


def test_a_backend_that_says_nothing_is_given_up_after_its_deadline_and_not_before() -> None:
    stage = Stage()
    stage.backend.serve = lambda visit, request: None
    _, told = stage.begin(ask(kind=1, remaining_s=0.5))
    stage.run(0.5)
    assert told.events == []
    stage.run(0.1)
    assert told.events == [("fail", MAY_HAVE_RUN, TIMED_OUT, True)]
    assert stage.backend.visits[0].gone is not None
    idle(stage)


@pytest.mark.parametrize("when", ["at once", "connecting", "at work"])
def test_a_cancelled_job_gives_all_back_and_tells_nothing(when: str) -> None:
    stage = Stage()
    stage.backend.serve = lambda visit, request: None
    inbound_request, told = stage.begin(ask())
    stage.run({"at once": 0.0, "connecting": 0.00005, "at work": 0.1}[when])
    inbound_request.cancel()
    inbound_request.cancel()
    stage.run()
    assert told.events == []
    assert stage.inbound.cancelled == 1
    assert [v.gone is None for v in stage.backend.visits] in ([], [False])
    idle(stage)


# Answers in parts.


def test_a_long_answer_goes_on_as_the_window_allows_and_the_backend_is_held_up() -> None:
    stage, body = Stage(), Random(5).randbytes(1_000_000)
    stage.backend.serve = lambda visit, request: visit.send(answer(request.attempt, body))
    inbound_request, told = stage.begin(ask(remaining_s=60.0))
    stage.run(1.0)
    assert told.events == [("answer", 200, 1_000_000, False)]
    assert len(told.body) == WINDOW_SIZE
    assert sum(map(len, inbound_request.answer_parts)) <= 2 * WINDOW_SIZE
    assert stage.backend.visits[0].connection.unsent > 700_000
    while not told.ends:
        passed = len(told.body)
        inbound_request.window(50_000)
        stage.run(0.05)
        assert len(told.body) > passed
    assert told.body == body
    idle(stage)


def test_a_connection_whose_last_answer_outran_its_window_still_serves_the_next() -> None:
    stage = Stage()
    stage.backend.serve = lambda visit, request: visit.send(answer(request.attempt, bytes(72_000)))
    inbound_request, told = stage.begin(ask())  # its end comes in the read in which the window runs out
    stage.run(1.0)
    inbound_request.window(10_000)
    assert told.ends == 1
    assert len(told.body) == 72_000
    _, told = stage.begin(ask())
    stage.run(1.0)
    assert told.ends == 1
    assert told.verdict is None
    assert len(told.body) == 72_000


# Judged.


def test_what_must_not_run_is_refused_before_the_backend_sees_a_byte() -> None:
    stage = Stage()
    cases = [(ask(service="another"), OTHER_SERVICE), (ask(remaining_s=0.001), TOO_LATE)]
    for asked, why in cases:
        assert stage.begin(asked)[1].events == [("fail", NOT_RUN, why, False)]
    stage.inbound.shutting_down = True
    assert stage.begin(ask())[1].events == [("fail", NOT_RUN, SHUTTING_DOWN, False)]
    stage.inbound.shutting_down = False
    stage.inbound.end_at = stage.sidecar.now() + 0.9  # the request may take 1.0 s
    assert stage.begin(ask())[1].events == [("fail", NOT_RUN, SHUTTING_DOWN, False)]
    stage.inbound.end_at = float("inf")
    stage.gate.heartbeat(stage.sidecar.now(), LIFE, 2, True, 4, 0.0)
    assert stage.begin(ask())[1].events == [("fail", NOT_RUN, DRAINING, False)]
    stage.run()
    assert not stage.backend.visits
    idle(stage)


def test_what_has_no_slot_waits_as_long_as_it_may_and_is_then_refused() -> None:
    stage = Stage(slots=2)
    stage.gate.admission.mean_s = 0.01
    stage.backend.serve = lambda visit, request: None
    stage.begin(ask(remaining_s=3.0))
    stage.begin(ask(remaining_s=3.0))
    assert stage.begin(ask())[1].events == [("fail", NOT_RUN, FULL, False)]
    patient = stage.begin(ask(patience_s=0.8, remaining_s=3.0))[1]
    stage.run(0.1)
    hasty = stage.begin(ask(patience_s=0.1, remaining_s=3.0))[1]
    stage.run(0.15)
    assert hasty.events == [("fail", NOT_RUN, FULL, False)], "it waited past its patience"
    assert patient.events == []
    stage.run(0.7)  # it is next to run: it waits once more
    assert patient.events == []
    stage.run(0.7)
    assert patient.events == [("fail", NOT_RUN, FULL, False)]
    stage.run(3.0)
    idle(stage)


def test_those_who_wait_run_when_a_slot_is_free_by_rank() -> None:
    stage = Stage(slots=1)
    stage.gate.admission.mean_s = 0.01

    def serve(visit: Visit, request: Request) -> None:
        stage.app.after(0.05, lambda: visit.send(answer(request.attempt)))

    stage.backend.serve = serve
    for name, priority in ((b"a", 1), (b"low", 2), (b"high", 0), (b"b", 1)):
        stage.begin(ask(patience_s=1.0, priority=priority, attempt=name, remaining_s=3.0))
    stage.run(1.0)
    assert [r.attempt for r in stage.backend.requests] == [b"a", b"high", b"b", b"low"]
    idle(stage)


def test_no_more_connections_than_the_backend_takes() -> None:
    stage = Stage(slots=30, connections=5)
    stage.backend.serve = lambda visit, request: None
    told = [stage.begin(ask(remaining_s=0.3))[1] for _ in range(12)]
    stage.run(0.1)
    assert len(stage.backend.visits) == 5
    assert [t.events for t in told[5:]] == [[("fail", NOT_RUN, FULL, False)]] * 7
    stage.run(1.0)
    idle(stage)


def test_a_backend_that_began_to_leave_while_a_body_was_awaited_gets_nothing() -> None:
    stage = Stage()
    inbound_request, told = stage.begin(ask(kind=1, length=2000, remaining_s=9.0))
    stage.run(0.5)
    stage.gate.heartbeat(stage.sidecar.now(), LIFE, 2, True, 4, 0.0)
    stage.run(2.5)  # a slow client: `drain-timeout` is over
    inbound_request.data(bytes(2000))
    inbound_request.end()
    stage.run()
    assert not stage.backend.requests
    assert told.events == [("go",), ("fail", NOT_RUN, DRAINING, False)]
    idle(stage)


def test_a_cold_backend_gets_no_burst_of_bodies_that_were_awaited() -> None:
    stage = Stage(slots=60, connections=80)
    now = stage.sidecar.now()
    stage.gate.heartbeat(now, LIFE, 2, False, 60, 30.0)
    jobs = []
    for _ in range(3):
        while (inbound_request := stage.begin(ask(kind=1, length=100, remaining_s=9.0)))[1].events == [
            ("go",)
        ]:
            jobs.append(inbound_request[0])
        stage.run(1.2)
    assert 40 < len(jobs) <= 60
    for waiting in jobs:
        waiting.data(bytes(100))
        waiting.end()
    stage.run(0.5)
    assert len(stage.backend.requests) <= 22 * 1.5 + 5
    stage.run(20.0)
    idle(stage)


@pytest.mark.parametrize("seed", range(6))
def test_a_storm_gives_each_slot_and_each_connection_back(seed: int) -> None:
    rng = Random(seed)
    stage = Stage(seed, slots=5, connections=8)
    stage.gate.admission.mean_s = 0.01

    def serve(visit: Visit, request: Request) -> None:
        whole = answer(request.attempt, bytes(rng.choice((4, 4, 2000, 150_000))), chunked=rng.random() < 0.5)
        draw = rng.random()
        if draw < 0.1:
            visit.connection.abort()
        elif draw < 0.2:
            visit.send(whole[: rng.randrange(len(whole))])
            visit.connection.close()
        elif draw < 0.25:
            visit.send(b"nonsense\r\n\r\n")
        elif draw < 0.3:
            visit.send(answer(b"old", b"late") + whole)
        elif draw < 0.35:
            visit.send(whole + b"HTTP/1.1 200 OK\r\n")
        elif draw < 0.45:
            visit.send(answer(request.attempt, b"", 503, seal=False, more=NOT_EXECUTED))
        elif draw < 0.9:
            stage.app.after(rng.expovariate(50.0), lambda: visit.send(whole))

    stage.backend.serve = serve
    jobs: list[tuple[InboundRequest, Answers, int]] = []
    cancelled: set[InboundRequest] = set()
    for n in range(400):
        if rng.random() < 0.01 and stage.app.alive:
            stage.app.kill()
        if rng.random() < 0.03:
            stage.gate.heartbeat(stage.sidecar.now(), LIFE, 10 + n, False, 5, 0.0)
        length = rng.choice((0, 0, 300, 50_000, UNKNOWN))
        inbound_request, told = stage.begin(
            ask(
                kind=rng.randrange(3),
                length=length,
                remaining_s=rng.uniform(0.02, 0.6),
                patience_s=rng.choice((0.0, 0.1)),
                attempt=b"a%d" % n,
            )
        )
        jobs.append((inbound_request, told, length))
        for _ in range(3):
            inbound_request, told, length = rng.choice(jobs[-8:])
            if inbound_request.is_over:
                continue
            if rng.random() < 0.15:
                inbound_request.cancel()
                cancelled.add(inbound_request)
            elif length and ("go",) in told.events and not inbound_request.body_complete:
                left = (length if length > 0 else 70_000) - inbound_request.bytes_received
                inbound_request.data(bytes(min(left, 16_384)))
                if left <= 16_384:
                    inbound_request.end()
            else:
                inbound_request.window(1 << 20)
        stage.run(rng.expovariate(100.0))
        if not stage.app.alive:
            stage.run(0.5)
            stage.backend.serve = serve
    stage.run(3.0)
    assert stage.inbound.served > 10
    for inbound_request, told, _ in jobs:
        assert inbound_request.is_over
        assert told.ends == (0 if inbound_request in cancelled else 1)
    assert stage.gate.admission.running == 0
    assert stage.gate.admission.waiting == 0
    assert not stage.inbound.pending_requests
    assert all(tap.user is None for tap in stage.inbound.pool.open_connections)
    assert set(stage.inbound.pool.open_connections) == set(stage.inbound.pool.idle)
    assert stage.gate.state in (READY, NOT_KNOWN)


def test_a_new_life_is_asked_for_by_its_own_name() -> None:
    stage = Stage()
    stage.begin(ask())
    stage.run()
    stage.gate.heartbeat(stage.sidecar.now(), "i-2", 0, False, 4, 0.0)
    stage.begin(ask())
    stage.run()
    assert [r.headers[b"x-honeywharf-expected-instance"] for r in stage.backend.requests] == [
        LIFE.encode(),
        b"i-2",
    ]
    assert stage.gate.service == SERVICE


def test_a_body_on_its_way_holds_no_slot_and_a_lookup_goes_before_it() -> None:
    stage = Stage(slots=1)
    stage.inbound.set_link_rate(2.7)
    far = ask(kind=2, length=40_000, remaining_s=5.0)
    far.peer = "10.1.0.9"
    inbound_request, told = stage.begin(far)
    assert told.events == [("go",)]
    inbound_request.data(bytes(8192))
    _, lookup = stage.begin(ask())
    stage.run(0.1)
    assert lookup.events == [("answer", 200, 4, True)]
    assert stage.gate.admission.running == 0
    sent = 8192
    while sent < 40_000:
        assert told.windows + 8192 > sent, "the window was not opened again"
        piece = min(told.windows + 8192, 40_000) - sent
        inbound_request.data(bytes(piece))
        sent += piece
    assert not any(b"POST" in request.line for request in stage.backend.requests)
    inbound_request.end()
    stage.run()
    assert told.events[1:] == [("answer", 200, 4, True)]
    assert (stage.inbound.receiving, stage.inbound.intake.held) == (0, 0)
    idle(stage)


def test_a_choked_link_refuses_bodies_before_a_byte_and_nothing_else() -> None:
    stage = Stage(slots=50)
    stage.inbound.set_link_rate(2.7)
    jobs = []
    for n in range(12):
        far = ask(kind=2, length=60_000, remaining_s=5.0, attempt=b"%016x" % n)
        far.peer = "10.1.0.9"
        jobs.append(stage.begin(far))
    refused = [told for _, told in jobs if told.verdict is not None]
    assert [told.events for told in refused] == [[("fail", NOT_RUN, LINK_SATURATED, False)]] * len(refused)
    assert 12 - len(refused) == 1  # the next one's first byte would wait 0.18 s of an aim of 0.5
    assert refused[0].verdict is not None
    assert refused[0].verdict.retry_after_s > 0.15
    _, lookup = stage.begin(ask())
    stage.run(0.1)
    assert lookup.events == [("answer", 200, 4, True)]
    jobs[0][0].cancel()
    stage.run(0.1)
    assert (stage.inbound.receiving, stage.inbound.intake.held) == (0, 0)


def test_a_body_that_never_ends_is_given_up_with_a_proof() -> None:
    stage = Stage()
    far = ask(kind=2, length=40_000, remaining_s=1.0)
    far.peer = "10.1.0.9"
    inbound_request, told = stage.begin(far)
    inbound_request.data(bytes(8192))
    stage.run(1.2)
    assert told.events == [("go",), ("fail", NOT_RUN, TIMED_OUT, False)]
    assert not stage.backend.visits
    assert (stage.inbound.receiving, stage.inbound.intake.held) == (0, 0)


def test_what_was_allowed_at_the_head_is_judged_again_when_the_body_is_here() -> None:
    stage = Stage()
    inbound_request, told = stage.begin(ask(kind=2, length=40_000, remaining_s=5.0))
    inbound_request.data(bytes(40_000))
    stage.gate.heartbeat(stage.inbound.host.now(), LIFE, 2, True, 4, 0.0)  # it drains
    inbound_request.end()
    stage.run()
    assert told.events == [("go",), ("fail", NOT_RUN, DRAINING, False)]
    assert not stage.backend.visits
    idle(stage)


def test_a_process_that_ends_tells_what_is_known_of_each_job() -> None:
    stage = Stage(slots=1)
    stage.backend.serve = lambda visit, request: None
    _, running = stage.begin(ask(kind=1, attempt=b"a1"))
    stage.run(0.05)
    _, waiting = stage.begin(ask(kind=1, attempt=b"a2", patience_s=0.9))
    stage.run(0.05)
    assert len(stage.backend.requests) == 1
    stage.inbound.finish()
    assert running.events == [("fail", MAY_HAVE_RUN, SHUTTING_DOWN, True)]
    assert waiting.events == [("fail", NOT_RUN, SHUTTING_DOWN, False)]
    assert not stage.inbound.pending_requests
    stage.run(0.5)
    assert len(stage.backend.requests) == 1  # what was refused never runs
    assert stage.gate.admission.running == 0


def test_a_connection_with_half_a_request_on_it_carries_no_other() -> None:
    """A backend that answers before it has read the body: the next request would be read as its rest."""
    stage = Stage()
    heads: list[bytes] = []

    def early(visit: Visit, data: bytes) -> None:
        if data.startswith(b"POST"):
            heads.append(data)
            visit.send(answer(b"a1", b"", 503, False, NOT_EXECUTED))

    stage.backend.read = early
    inbound_request, told = stage.begin(ask(kind=2, length=1 << 20, attempt=b"a1"))
    inbound_request.data(b"x" * 40_000)
    stage.run(0.05)
    assert told.events[-1] == ("fail", NOT_RUN, REJECTED_BY_BACKEND, True)
    assert len(heads) == 1
    assert stage.backend.open == 0
    stage.backend.read = None
    inbound_request, told = stage.begin(ask(kind=1, length=3, attempt=b"a2"))
    inbound_request.data(b"abc")
    inbound_request.end()
    stage.run(0.05)
    assert [request.attempt for request in stage.backend.requests] == [b"a2"]
    assert told.body == b"done"


def test_a_late_repeat_of_a_refusal_is_no_proof_for_the_next_try_of_the_same_request() -> None:
    stage = Stage()
    refusal = answer(b"a1", b"", 503, False, NOT_EXECUTED)

    def twice(visit: Visit, request: Request) -> None:
        if len(stage.backend.requests) == 1:
            visit.send(refusal)
            stage.app.after(0.01, lambda: visit.send(refusal))

    stage.backend.serve = twice
    _, told = stage.begin(ask(kind=1, attempt=b"a1"))
    stage.run(0.005)
    assert told.events == [("fail", NOT_RUN, REJECTED_BY_BACKEND, True)]
    _, again = stage.begin(ask(kind=1, attempt=b"a1"))
    stage.run(0.05)
    assert len(stage.backend.requests) == 2
    assert again.events == []  # the backend is at work on it
