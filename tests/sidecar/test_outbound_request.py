"""Outbound requests: retries by verdict, kind and budget, bodies sent again, exactly one final answer."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.codecs.heads import UNKNOWN
from honeywharf.sidecar.outbound_request import (
    MAX_GATES_TRIED,
    MAX_QUEUE_WAIT_SHARE,
    MAX_QUEUES_TRIED,
    MAX_RETAINED_BODY_BYTES,
    OutboundRequest,
)
from honeywharf.transport.stream import INITIAL_WINDOW, WINDOW_SIZE
from honeywharf.verdict import (
    CONNECTION_BROKEN,
    DRAINING,
    FULL,
    LINK_LOST,
    MAY_HAVE_RUN,
    NOT_RUN,
    REJECTED_BY_BACKEND,
    SLOW_START,
    TIMED_OUT,
    TOO_LATE,
    Verdict,
)
from tests.sidecar.fixtures import SERVICE, FakeChannel, FakeSource, ManualClock, RecordingClient, head, route

REJECTED = Verdict(NOT_RUN, DRAINING)
NO_ROOM = Verdict(NOT_RUN, FULL, retry_after_s=0.02)
REJECTED_AT_BACKEND = Verdict(NOT_RUN, REJECTED_BY_BACKEND, reached_backend=True)
MAYBE_RUN = Verdict(MAY_HAVE_RUN, CONNECTION_BROKEN, reached_backend=True)
LOST_LINK = Verdict(MAY_HAVE_RUN, LINK_LOST)
KINDS = ("read_only", "mutating", "upload")


class Scenario:
    """One outbound request over fake gates."""

    def __init__(
        self,
        kind: str = "read_only",
        gates: int = 3,
        attempts: int = 2,
        length: int = 0,
        within: float = 2.0,
        target_s: float = 0.5,
    ) -> None:
        self.clock = ManualClock()
        self.source = FakeSource(self.clock)
        self.source.list_gates(*(f"10.1.0.{n}" for n in range(20, 20 + gates)))
        self.client = RecordingClient()
        self.length = length
        self.request = OutboundRequest(
            self.source, self.client, head(length), route(kind, attempts, target_s), self.clock.now() + within
        )
        self.source.active_requests[self.request] = None

    def start(self, body: bytes = b"") -> FakeChannel:
        """Starts the request with its complete body; returns the first gate's channel."""
        self.request.start()
        if body:
            self.request.data(body)
        if self.length:
            self.request.end()
        return self.last

    @property
    def last(self) -> FakeChannel:
        """The channel of the last attempt."""
        return self.source.channels[-1]

    @property
    def asked(self) -> int:
        """The number of attempts so far."""
        return len(self.source.channels)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("verdict", "spends"), [(REJECTED, []), (NO_ROOM, []), (REJECTED_AT_BACKEND, [True])]
)
def test_a_proof_leads_to_another_gate_and_the_budget_is_asked_only_for_arrivals(
    kind: str, verdict: Verdict, spends: list[bool]
) -> None:
    scenario = Scenario(kind)
    first = scenario.start()
    scenario.request.failed(verdict)
    assert scenario.asked == 2
    assert scenario.last.key != first.key
    assert scenario.source.retry_decisions == spends
    scenario.request.answered(200, b"", 2, b"ok")
    assert scenario.client.events == [("answer", 200)]
    assert scenario.request.is_over
    assert not scenario.source.active_requests
    assert scenario.clock.pending() == 0


@pytest.mark.parametrize("verdict", [MAYBE_RUN, LOST_LINK])
def test_what_may_have_run_is_repeated_only_where_it_may_run_twice(verdict: Verdict) -> None:
    for kind in KINDS:
        scenario = Scenario(kind)
        scenario.start()
        scenario.request.failed(verdict)
        if kind == "read_only":
            assert (scenario.asked, scenario.source.retry_decisions) == (2, [True])
            assert not scenario.request.is_over
        else:
            assert (scenario.asked, scenario.source.retry_decisions) == (1, [])
            assert scenario.client.events == [("final", 502, pytest.approx(scenario.client.events[0][2]))]


@pytest.mark.parametrize(
    ("kind", "verdict", "status"),
    [
        ("read_only", REJECTED_AT_BACKEND, 503),
        ("mutating", REJECTED_AT_BACKEND, 503),
        ("upload", REJECTED_AT_BACKEND, 503),
        ("read_only", MAYBE_RUN, 503),
    ],
)
def test_without_retry_budget_no_second_backend_is_reached(kind: str, verdict: Verdict, status: int) -> None:
    scenario = Scenario(kind)
    scenario.source.allow_retries = False
    scenario.start()
    scenario.request.failed(verdict)
    assert (scenario.asked, scenario.source.retry_decisions) == (1, [False])
    assert [e[:2] for e in scenario.client.events] == [("final", status)]
    assert float(str(scenario.client.events[0][2])) > 0  # Retry-After


@pytest.mark.parametrize(("attempts", "arrivals"), [(1, 1), (2, 2), (3, 3)])
def test_max_attempts_bounds_the_backends_that_one_request_reaches(attempts: int, arrivals: int) -> None:
    scenario = Scenario("read_only", gates=9, attempts=attempts)
    scenario.start()
    while not scenario.request.is_over:
        scenario.request.failed(REJECTED_AT_BACKEND)
    assert scenario.asked == arrivals
    assert len(scenario.source.retry_decisions) == arrivals - 1


def test_a_proof_after_what_may_have_run_does_not_make_it_a_promise() -> None:
    scenario = Scenario("read_only", gates=2, attempts=3)
    scenario.start()
    scenario.request.failed(MAYBE_RUN)
    scenario.request.failed(REJECTED)
    assert [e[:2] for e in scenario.client.events] == [("final", 503)]
    for kind in ("mutating", "upload"):
        scenario = Scenario(kind, gates=3)
        scenario.start()
        scenario.request.failed(REJECTED)
        scenario.request.failed(MAYBE_RUN)
        assert [e[:2] for e in scenario.client.events] == [("final", 502)]


@pytest.mark.parametrize("kind", KINDS)
def test_each_gate_is_tried_once_and_then_the_answer_is_503_with_retry_after(kind: str) -> None:
    scenario = Scenario(kind, gates=5)
    scenario.start()
    for _ in range(5):
        assert not scenario.request.is_over
        scenario.request.failed(REJECTED)
    assert len({c.key for c in scenario.source.channels}) == scenario.asked == 5
    assert [e[:2] for e in scenario.client.events] == [("final", 503)]
    assert scenario.source.retry_decisions == []


def test_the_number_of_gates_tried_is_bounded() -> None:
    scenario = Scenario("mutating", gates=MAX_GATES_TRIED + 20)
    scenario.start()
    while not scenario.request.is_over:
        scenario.request.failed(REJECTED)
    assert scenario.asked == MAX_GATES_TRIED


def test_where_all_gates_are_full_the_shortest_queues_are_tried_within_the_wait_limit() -> None:
    scenario = Scenario("mutating", gates=5, target_s=1.0)
    scenario.start()
    waits = (0.2, 0.02, 0.21, 0.22, 0.23)
    for again in waits:
        assert scenario.last.forwarded.max_queue_wait_s == 0.0
        scenario.request.failed(Verdict(NOT_RUN, FULL, retry_after_s=again))
    order = [c.key for c in scenario.source.channels[:5]]
    asked: list[str] = []
    for turn in range(MAX_QUEUES_TRIED):
        asked.append(scenario.last.key)
        left = scenario.request.arrived_at + MAX_QUEUE_WAIT_SHARE * 1.0 - scenario.clock.now()
        assert 0.0 < scenario.last.forwarded.max_queue_wait_s <= left
        assert turn or asked == [order[1]], "the shortest wait by far"
        scenario.request.failed(Verdict(NOT_RUN, FULL, retry_after_s=0.2))
    assert scenario.request.is_over
    assert len(set(asked)) == MAX_QUEUES_TRIED
    assert scenario.asked == 5 + MAX_QUEUES_TRIED
    assert [e[:2] for e in scenario.client.events] == [("final", 503)]


def test_a_rejection_comes_within_a_quarter_of_the_latency_target() -> None:
    scenario = Scenario("read_only", gates=2, target_s=1.0)
    scenario.start()
    scenario.request.failed(NO_ROOM)
    scenario.clock.move(0.24)
    scenario.request.failed(Verdict(NOT_RUN, SLOW_START, retry_after_s=0.5))
    assert [e[:2] for e in scenario.client.events] == [("final", 503)]


def test_a_link_without_room_is_no_ask() -> None:
    scenario = Scenario("mutating", gates=3)
    scenario.source.script = lambda channel: len(scenario.source.channels) > 1
    scenario.start()
    assert scenario.asked == 2
    assert not scenario.request.is_over
    assert scenario.source.retry_decisions == []


def test_without_any_gate_the_answer_is_503_at_once() -> None:
    scenario = Scenario("mutating", gates=0)
    scenario.request.start()
    assert [e[:2] for e in scenario.client.events] == [("final", 503)]


@pytest.mark.parametrize(
    ("kind", "length", "went", "status"),
    [
        ("read_only", 0, False, 504),
        ("mutating", 0, False, 504),
        ("mutating", 5, False, 503),
        ("mutating", 5, True, 504),
        ("upload", 5, False, 503),
        ("upload", 5, True, 504),
    ],
)
def test_at_the_deadline_only_a_body_not_asked_for_proves_anything(
    kind: str, length: int, went: bool, status: int
) -> None:
    scenario = Scenario(kind, length=length)
    channel = scenario.start(b"x" * length)
    if went:
        scenario.request.gate_admitted()
    scenario.clock.move(3.0)
    assert channel.cancelled
    assert [e[:2] for e in scenario.client.events] == [("final", status)]
    assert scenario.clock.now() - scenario.request.arrived_at >= 2.0


def test_a_trial_ended_by_the_deadline_is_followed_by_another_one() -> None:
    scenario = Scenario("mutating", gates=1, length=5)
    levels = scenario.source.levels_of(SERVICE)
    levels.record_failure(scenario.clock.now(), "10.1.0.20", unreachable=True)
    scenario.clock.move(1.0)
    scenario.request.deadline = scenario.clock.now() + 0.5
    scenario.start(b"12345")
    assert scenario.asked == 1
    scenario.clock.move(1.0)  # the deadline passes before the gate requests the body
    assert scenario.request.is_over
    scenario.clock.move(60.0)
    assert levels.pick(scenario.clock.now()) == "10.1.0.20"


def test_an_answer_that_breaks_off_is_told_and_not_repeated() -> None:
    scenario = Scenario("read_only")
    scenario.start()
    scenario.request.answered(200, b"", 100, None)
    scenario.request.answer_data(b"abc")
    scenario.request.failed(MAYBE_RUN)
    assert scenario.client.events == [("answer", 200), ("broken",)]
    assert scenario.asked == 1
    scenario = Scenario("read_only")
    scenario.start()
    scenario.request.answered(200, b"", 100, None)
    scenario.clock.move(5.0)
    assert scenario.client.events == [("answer", 200), ("broken",)]
    assert scenario.last.cancelled


def test_a_client_that_disconnected_gets_no_answer() -> None:
    scenario = Scenario("mutating", length=5)
    channel = scenario.start(b"abcde")
    scenario.request.cancel()
    scenario.request.cancel()
    assert channel.cancelled
    scenario.clock.move(10.0)
    assert scenario.client.events == []
    assert not scenario.source.active_requests


# Bodies.


def pieces(seed: int, size: int) -> list[bytes]:
    rng, made = Random(seed), []
    while size > 0:
        made.append(rng.randbytes(min(size, rng.choice((1, 700, 9000, 30_000)))))
        size -= len(made[-1])
    return made


@pytest.mark.parametrize("length", [40_000, UNKNOWN])
def test_a_second_gate_is_sent_the_whole_body(length: int) -> None:
    scenario, body = Scenario("upload", length=length), Random(3).randbytes(40_000)
    first = scenario.start(body)
    assert not first.body, "sent without being asked for"
    scenario.request.gate_admitted()
    scenario.request.window(len(body))
    assert (bytes(first.body), first.ends) == (body, 1)
    scenario.request.failed(Verdict(NOT_RUN, SLOW_START))
    second = scenario.last
    assert not second.body
    scenario.request.gate_admitted()
    scenario.request.window(len(body))
    assert (bytes(second.body), second.ends) == (body, 1)


def test_a_second_gate_that_admits_from_within_is_sent_the_body_too() -> None:
    scenario = Scenario("mutating", length=2000)
    scenario.start(b"x" * 2000)

    def at_once(channel: FakeChannel) -> bool:
        channel.outbound_request.gate_admitted()
        return True

    scenario.source.script = at_once
    scenario.request.failed(REJECTED)
    assert (bytes(scenario.last.body), scenario.last.ends) == (b"x" * 2000, 1)


def test_no_more_of_a_body_is_sent_than_the_window_allows() -> None:
    scenario = Scenario("upload", length=UNKNOWN)
    channel = scenario.start(b"x" * 300_000)
    scenario.request.gate_admitted()
    assert len(channel.body) == INITIAL_WINDOW
    assert scenario.request.pending_bytes == 300_000 - INITIAL_WINDOW
    for _ in range(1000):
        if channel.ends:
            break
        scenario.request.window(1000)
    assert len(channel.body) == 300_000
    assert channel.ends == 1
    assert scenario.client.taken_times > 100


@pytest.mark.parametrize("seed", range(8))
def test_a_gate_in_this_process_that_calls_back_from_within_gets_the_body_once_and_whole(seed: int) -> None:
    rng, parts = Random(seed), pieces(seed, 900_000)
    scenario = Scenario("upload", length=UNKNOWN, within=100.0)
    scenario.request.start()
    channel, unacknowledged = scenario.last, 0

    def take(data: bytes) -> None:
        nonlocal unacknowledged
        unacknowledged += len(data)
        if rng.random() < 0.7:
            size, unacknowledged = unacknowledged, 0
            scenario.request.window(size)

    channel.on_data = take
    late = len(parts) if seed % 2 else rng.randrange(len(parts))
    for n, part in enumerate(parts):
        if n == late:
            scenario.request.gate_admitted()
        scenario.request.data(part)
    scenario.request.end()
    if late == len(parts):
        scenario.request.gate_admitted()
    while unacknowledged:
        size, unacknowledged = unacknowledged, 0
        scenario.request.window(size)
    assert bytes(channel.body) == b"".join(parts)
    assert channel.ends == 1


def test_the_retained_body_is_bounded_and_a_request_without_it_is_not_retried() -> None:
    scenario = Scenario("upload", length=UNKNOWN, within=100.0)
    scenario.request.start()
    scenario.request.gate_admitted()
    for part in pieces(4, 3 << 20):
        scenario.request.data(part)
        scenario.request.window(len(part))
        assert scenario.request.retained_bytes <= MAX_RETAINED_BODY_BYTES + 30_000 + WINDOW_SIZE
    assert scenario.request.body_dropped
    scenario.request.failed(REJECTED_AT_BACKEND)
    assert [e[:2] for e in scenario.client.events] == [("final", 503)]
    assert scenario.asked == 1


@pytest.mark.parametrize("seed", range(20))
def test_random_outcomes_end_each_request_once_and_promise_nothing_false(seed: int) -> None:
    rng = Random(seed)
    clock = ManualClock()
    source = FakeSource(clock, seed)
    source.list_gates(*(f"10.1.0.{n}" for n in range(20, 26)))
    verdicts = (
        REJECTED,
        NO_ROOM,
        REJECTED_AT_BACKEND,
        MAYBE_RUN,
        LOST_LINK,
        Verdict(NOT_RUN, LINK_LOST),
        Verdict(NOT_RUN, TOO_LATE),
        Verdict(MAY_HAVE_RUN, TIMED_OUT, True),
    )
    ran: dict[OutboundRequest, bool] = {}

    def within(channel: FakeChannel) -> bool:
        """Sometimes calls back from within, as the gate in this process does."""
        if rng.random() < 0.1:
            channel.outbound_request.failed(rng.choice((REJECTED, NO_ROOM)))
        elif rng.random() < 0.1 and channel.forwarded.length:
            channel.outbound_request.gate_admitted()
        return rng.random() < 0.95 or channel.outbound_request.channel is not None

    source.script = within
    scenarios: list[tuple[OutboundRequest, RecordingClient, str, list[bytes]]] = []
    for _ in range(60):
        clock.move(rng.expovariate(50.0))
        source.allow_retries = rng.random() < 0.7
        kind, length = rng.choice(KINDS), rng.choice((0, 100, UNKNOWN))
        client = RecordingClient()
        request = OutboundRequest(
            source, client, head(length), route(kind, 3), clock.now() + rng.uniform(0.0, 1.0)
        )
        source.active_requests[request] = None
        scenarios.append((request, client, kind, pieces(seed, 9000) if length else []))
        request.start()
        for _ in range(20):
            request, client, kind, body = rng.choice(scenarios)
            draw = rng.random()
            if request.is_over or request.channel is None:
                continue
            if draw < 0.3 and body:
                request.data(body.pop())
                if not body:
                    request.end()
            elif draw < 0.45 and request.head.length:
                request.gate_admitted()
            elif draw < 0.6:
                request.failed(verdict := rng.choice(verdicts))
                ran[request] = ran.get(request, False) or verdict.ran == MAY_HAVE_RUN
            elif draw < 0.7:
                request.answered(200, b"", UNKNOWN, None)
                request.answer_data(b"abc")
                request.whole()
            elif draw < 0.75:
                request.answered(200, b"", 3, b"abc")
            elif draw < 0.78:
                request.cancel()
                client.ends += 1
    clock.move(5.0)
    assert not source.active_requests
    assert clock.pending() == 0
    for request, client, kind, _ in scenarios:
        assert client.ends == 1, (kind, client.events)
        if kind != "read_only" and ran.get(request):
            assert ("final", 503) not in [e[:2] for e in client.events]


@pytest.mark.parametrize(
    ("kind", "length", "went", "ran", "told"),
    [
        ("read_only", 0, True, True, 503),  # idempotent
        ("mutating", 0, False, False, 502),  # a gate may have begun a request without a body at once
        ("mutating", 5, True, False, 502),
        ("mutating", 5, False, False, 503),  # no byte of its body was sent, so it has not run
        ("mutating", 5, False, True, 502),  # another gate may have run it before
        ("upload", 20_000, False, False, 503),
    ],
)
def test_a_process_that_ends_promises_only_what_it_can_prove(
    kind: str, length: int, went: bool, ran: bool, told: int
) -> None:
    scenario = Scenario(kind, length=length)
    gate = scenario.start(b"x" * length)
    scenario.request.may_have_run = ran
    if went and length:
        scenario.request.gate_admitted()
    scenario.request.finish(1.25)
    assert gate.cancelled
    assert scenario.client.events == [("final", told, 1.25 if told == 503 else 0.0)]
    assert scenario.request not in scenario.source.active_requests
    scenario.request.finish(1.25)
    assert scenario.client.ends == 1


def test_an_answer_that_has_begun_breaks_off_when_the_process_ends() -> None:
    scenario = Scenario()
    gate = scenario.start()
    scenario.request.answered(200, b"", 9, None)
    scenario.request.finish(1.0)
    assert gate.cancelled
    assert scenario.client.events == [("answer", 200), ("broken",)]


def test_no_gate_gets_a_deadline_after_the_end_of_this_process() -> None:
    scenario = Scenario(within=2.0)
    scenario.source.lifetime.plan_end(scenario.clock.now() + 0.7, scenario.clock.now() + 0.3)
    assert scenario.start().forwarded.remaining_s == pytest.approx(0.7)


@pytest.mark.parametrize(
    ("verdict", "kind", "status"),
    [
        (REJECTED, "mutating", 503),
        (REJECTED_AT_BACKEND, "mutating", 503),
        (MAYBE_RUN, "read_only", 503),
        (MAYBE_RUN, "mutating", 502),
    ],
)
def test_a_stopping_sidecar_begins_no_further_attempt_that_may_outlast_it(
    verdict: Verdict, kind: str, status: int
) -> None:
    """Guards against a retry at the end of a process, which breaks it off at the backend."""
    scenario = Scenario(kind, within=2.0)
    scenario.start()
    now = scenario.clock.now()
    scenario.source.lifetime.plan_end(now + 1.0, now + 0.5)
    scenario.clock.move(0.6)
    scenario.request.failed(verdict)
    assert scenario.asked == 1
    assert [event[:2] for event in scenario.client.events] == [("final", status)]
    assert scenario.source.lifetime.refused == (verdict is not MAYBE_RUN or kind == "read_only")
