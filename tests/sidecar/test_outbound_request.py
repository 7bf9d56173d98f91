"""The course of a request at its source: the table of its docstring, bodies sent again, one final answer."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.codecs.heads import UNKNOWN
from honeywharf.sidecar.outbound_request import (
    MAX_GATES_TRIED,
    MAX_QUEUE_WAIT_SHARE,
    MAX_QUEUES_TRIED,
    MAX_RETAINED_BODY,
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
from tests.sidecar.stage import SERVICE, Channel, Client, Clock, Scripted, head, route

REFUSED = Verdict(NOT_RUN, DRAINING)
ROOM = Verdict(NOT_RUN, FULL, retry_after_s=0.02)
PROOF = Verdict(NOT_RUN, REJECTED_BY_BACKEND, reached_backend=True)
PERHAPS = Verdict(MAY_HAVE_RUN, CONNECTION_BROKEN, reached_backend=True)
SILENT = Verdict(MAY_HAVE_RUN, LINK_LOST)
KINDS = ("read_only", "mutating", "upload")


class Play:
    """One course over scripted gates."""

    def __init__(
        self,
        kind: str = "read_only",
        gates: int = 3,
        attempts: int = 2,
        length: int = 0,
        within: float = 2.0,
        aim_s: float = 0.5,
    ) -> None:
        self.clock = Clock()
        self.source = Scripted(self.clock)
        self.source.list_gates(*(f"10.1.0.{n}" for n in range(20, 20 + gates)))
        self.client = Client()
        self.length = length
        self.request = OutboundRequest(
            self.source, self.client, head(length), route(kind, attempts, aim_s), self.clock.now() + within
        )
        self.source.active_requests[self.request] = None

    def start(self, body: bytes = b"") -> Channel:
        """Start it, with its whole body; the first gate's channel."""
        self.request.start()
        if body:
            self.request.data(body)
        if self.length:
            self.request.end()
        return self.last

    @property
    def last(self) -> Channel:
        """The gate asked last."""
        return self.source.channels[-1]

    @property
    def asked(self) -> int:
        """How many gates were asked so far."""
        return len(self.source.channels)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(("verdict", "spends"), [(REFUSED, []), (ROOM, []), (PROOF, [True])])
def test_a_proof_leads_to_another_gate_and_the_budget_is_asked_only_for_arrivals(
    kind: str, verdict: Verdict, spends: list[bool]
) -> None:
    play = Play(kind)
    first = play.start()
    play.request.failed(verdict)
    assert play.asked == 2
    assert play.last.key != first.key
    assert play.source.took_spends == spends
    play.request.answered(200, b"", 2, b"ok")
    assert play.client.events == [("answer", 200)]
    assert play.request.is_over
    assert not play.source.active_requests
    assert play.clock.pending() == 0


@pytest.mark.parametrize("verdict", [PERHAPS, SILENT])
def test_what_may_have_run_is_repeated_only_where_it_may_run_twice(verdict: Verdict) -> None:
    for kind in KINDS:
        play = Play(kind)
        play.start()
        play.request.failed(verdict)
        if kind == "read_only":
            assert (play.asked, play.source.took_spends) == (2, [True])
            assert not play.request.is_over
        else:
            assert (play.asked, play.source.took_spends) == (1, [])
            assert play.client.events == [("final", 502, pytest.approx(play.client.events[0][2]))]


@pytest.mark.parametrize(
    ("kind", "verdict", "status"),
    [
        ("read_only", PROOF, 503),
        ("mutating", PROOF, 503),
        ("upload", PROOF, 503),
        ("read_only", PERHAPS, 503),
    ],
)
def test_without_a_budget_nothing_arrives_twice(kind: str, verdict: Verdict, status: int) -> None:
    play = Play(kind)
    play.source.may_spend = False
    play.start()
    play.request.failed(verdict)
    assert (play.asked, play.source.took_spends) == (1, [False])
    assert [e[:2] for e in play.client.events] == [("final", status)]
    assert float(str(play.client.events[0][2])) > 0  # a time to return


@pytest.mark.parametrize(("attempts", "arrivals"), [(1, 1), (2, 2), (3, 3)])
def test_a_route_bounds_the_backends_that_one_try_arrives_at(attempts: int, arrivals: int) -> None:
    play = Play("read_only", gates=9, attempts=attempts)
    play.start()
    while not play.request.is_over:
        play.request.failed(PROOF)
    assert play.asked == arrivals
    assert len(play.source.took_spends) == arrivals - 1


def test_a_proof_after_what_may_have_run_does_not_make_it_a_promise() -> None:
    play = Play("read_only", gates=2, attempts=3)
    play.start()
    play.request.failed(PERHAPS)
    play.request.failed(REFUSED)
    assert [e[:2] for e in play.client.events] == [("final", 503)]
    for kind in ("mutating", "upload"):
        play = Play(kind, gates=3)
        play.start()
        play.request.failed(REFUSED)
        play.request.failed(PERHAPS)
        assert [e[:2] for e in play.client.events] == [("final", 502)]


@pytest.mark.parametrize("kind", KINDS)
def test_each_gate_is_asked_once_and_then_it_is_503_with_a_time_to_return(kind: str) -> None:
    play = Play(kind, gates=5)
    play.start()
    for _ in range(5):
        assert not play.request.is_over
        play.request.failed(REFUSED)
    assert len({c.key for c in play.source.channels}) == play.asked == 5
    assert [e[:2] for e in play.client.events] == [("final", 503)]
    assert play.source.took_spends == []


def test_no_more_than_so_many_gates_are_asked() -> None:
    play = Play("mutating", gates=MAX_GATES_TRIED + 20)
    play.start()
    while not play.request.is_over:
        play.request.failed(REFUSED)
    assert play.asked == MAX_GATES_TRIED


def test_where_all_lack_room_it_waits_at_a_short_queue_within_its_patience() -> None:
    play = Play("mutating", gates=5, aim_s=1.0)
    play.start()
    waits = (0.2, 0.02, 0.21, 0.22, 0.23)
    for again in waits:
        assert play.last.ask.max_queue_wait_s == 0.0
        play.request.failed(Verdict(NOT_RUN, FULL, retry_after_s=again))
    order = [c.key for c in play.source.channels[:5]]
    asked: list[str] = []
    for turn in range(MAX_QUEUES_TRIED):
        asked.append(play.last.key)
        left = play.request.arrived_at + MAX_QUEUE_WAIT_SHARE * 1.0 - play.clock.now()
        assert 0.0 < play.last.ask.max_queue_wait_s <= left
        assert turn or asked == [order[1]], "the shortest wait by far"
        play.request.failed(Verdict(NOT_RUN, FULL, retry_after_s=0.2))
    assert play.request.is_over
    assert len(set(asked)) == MAX_QUEUES_TRIED
    assert play.asked == 5 + MAX_QUEUES_TRIED
    assert [e[:2] for e in play.client.events] == [("final", 503)]


def test_a_refusal_comes_before_a_quarter_of_the_aim_is_gone() -> None:
    play = Play("read_only", gates=2, aim_s=1.0)
    play.start()
    play.request.failed(ROOM)
    play.clock.move(0.24)
    play.request.failed(Verdict(NOT_RUN, SLOW_START, retry_after_s=0.5))
    assert [e[:2] for e in play.client.events] == [("final", 503)]


def test_a_link_without_room_is_no_ask() -> None:
    play = Play("mutating", gates=3)
    play.source.script = lambda channel: len(play.source.channels) > 1
    play.start()
    assert play.asked == 2
    assert not play.request.is_over
    assert play.source.took_spends == []


def test_without_any_gate_it_is_503_at_once() -> None:
    play = Play("mutating", gates=0)
    play.request.start()
    assert [e[:2] for e in play.client.events] == [("final", 503)]


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
    play = Play(kind, length=length)
    channel = play.start(b"x" * length)
    if went:
        play.request.gate_admitted()
    play.clock.move(3.0)
    assert channel.cancelled
    assert [e[:2] for e in play.client.events] == [("final", status)]
    assert play.clock.now() - play.request.arrived_at >= 2.0


def test_a_trial_that_the_deadline_ends_is_not_the_last_one() -> None:
    play = Play("mutating", gates=1, length=5)
    levels = play.source.levels_of(SERVICE)
    levels.failed(play.clock.now(), "10.1.0.20", certain=True)
    play.clock.move(1.0)
    play.request.deadline = play.clock.now() + 0.5
    play.start(b"12345")
    assert play.asked == 1
    play.clock.move(1.0)  # it was never asked for its body, and the deadline came
    assert play.request.is_over
    play.clock.move(60.0)
    assert levels.pick(play.clock.now()) == "10.1.0.20"


def test_an_answer_that_breaks_off_is_told_and_not_repeated() -> None:
    play = Play("read_only")
    play.start()
    play.request.answered(200, b"", 100, None)
    play.request.answer_data(b"abc")
    play.request.failed(PERHAPS)
    assert play.client.events == [("answer", 200), ("broken",)]
    assert play.asked == 1
    play = Play("read_only")
    play.start()
    play.request.answered(200, b"", 100, None)
    play.clock.move(5.0)
    assert play.client.events == [("answer", 200), ("broken",)]
    assert play.last.cancelled


def test_a_client_that_left_is_told_nothing() -> None:
    play = Play("mutating", length=5)
    channel = play.start(b"abcde")
    play.request.cancel()
    play.request.cancel()
    assert channel.cancelled
    play.clock.move(10.0)
    assert play.client.events == []
    assert not play.source.active_requests


# Bodies.


def pieces(seed: int, size: int) -> list[bytes]:
    rng, made = Random(seed), []
    while size > 0:
        made.append(rng.randbytes(min(size, rng.choice((1, 700, 9000, 30_000)))))
        size -= len(made[-1])
    return made


@pytest.mark.parametrize("length", [40_000, UNKNOWN])
def test_a_second_gate_is_sent_the_whole_body(length: int) -> None:
    play, body = Play("upload", length=length), Random(3).randbytes(40_000)
    first = play.start(body)
    assert not first.body, "sent without being asked for"
    play.request.gate_admitted()
    play.request.window(len(body))
    assert (bytes(first.body), first.ends) == (body, 1)
    play.request.failed(Verdict(NOT_RUN, SLOW_START))
    second = play.last
    assert not second.body
    play.request.gate_admitted()
    play.request.window(len(body))
    assert (bytes(second.body), second.ends) == (body, 1)


def test_a_second_gate_that_asks_from_within_is_sent_the_body_too() -> None:
    play = Play("mutating", length=2000)
    play.start(b"x" * 2000)

    def at_once(channel: Channel) -> bool:
        channel.outbound_request.gate_admitted()
        return True

    play.source.script = at_once
    play.request.failed(REFUSED)
    assert (bytes(play.last.body), play.last.ends) == (b"x" * 2000, 1)


def test_no_more_of_a_body_goes_than_the_window_allows() -> None:
    play = Play("upload", length=UNKNOWN)
    channel = play.start(b"x" * 300_000)
    play.request.gate_admitted()
    assert len(channel.body) == INITIAL_WINDOW
    assert play.request.pending_bytes == 300_000 - INITIAL_WINDOW
    for _ in range(1000):
        if channel.ends:
            break
        play.request.window(1000)
    assert len(channel.body) == 300_000
    assert channel.ends == 1
    assert play.client.taken_times > 100


@pytest.mark.parametrize("seed", range(8))
def test_a_gate_in_this_process_that_takes_from_within_gets_the_body_once_and_whole(seed: int) -> None:
    rng, parts = Random(seed), pieces(seed, 900_000)
    play = Play("upload", length=UNKNOWN, within=100.0)
    play.request.start()
    channel, owed = play.last, 0

    def take(data: bytes) -> None:
        nonlocal owed
        owed += len(data)
        if rng.random() < 0.7:
            size, owed = owed, 0
            play.request.window(size)

    channel.on_data = take
    late = len(parts) if seed % 2 else rng.randrange(len(parts))
    for n, part in enumerate(parts):
        if n == late:
            play.request.gate_admitted()
        play.request.data(part)
    play.request.end()
    if late == len(parts):
        play.request.gate_admitted()
    while owed:
        size, owed = owed, 0
        play.request.window(size)
    assert bytes(channel.body) == b"".join(parts)
    assert channel.ends == 1


def test_what_is_kept_for_a_second_gate_is_bounded_and_nothing_is_sent_without_it() -> None:
    play = Play("upload", length=UNKNOWN, within=100.0)
    play.request.start()
    play.request.gate_admitted()
    for part in pieces(4, 3 << 20):
        play.request.data(part)
        play.request.window(len(part))
        assert play.request.retained_bytes <= MAX_RETAINED_BODY + 30_000 + WINDOW_SIZE
    assert play.request.body_dropped
    play.request.failed(PROOF)
    assert [e[:2] for e in play.client.events] == [("final", 503)]
    assert play.asked == 1


@pytest.mark.parametrize("seed", range(20))
def test_a_storm_ends_each_request_once_and_promises_nothing_that_is_not_so(seed: int) -> None:
    rng = Random(seed)
    clock = Clock()
    source = Scripted(clock, seed)
    source.list_gates(*(f"10.1.0.{n}" for n in range(20, 26)))
    verdicts = (
        REFUSED,
        ROOM,
        PROOF,
        PERHAPS,
        SILENT,
        Verdict(NOT_RUN, LINK_LOST),
        Verdict(NOT_RUN, TOO_LATE),
        Verdict(MAY_HAVE_RUN, TIMED_OUT, True),
    )
    ran: dict[OutboundRequest, bool] = {}

    def within(channel: Channel) -> bool:
        """Sometimes the gate's word comes from within, as from the one in this process."""
        if rng.random() < 0.1:
            channel.outbound_request.failed(rng.choice((REFUSED, ROOM)))
        elif rng.random() < 0.1 and channel.ask.length:
            channel.outbound_request.gate_admitted()
        return rng.random() < 0.95 or channel.outbound_request.channel is not None

    source.script = within
    plays: list[tuple[OutboundRequest, Client, str, list[bytes]]] = []
    for _ in range(60):
        clock.move(rng.expovariate(50.0))
        source.may_spend = rng.random() < 0.7
        kind, length = rng.choice(KINDS), rng.choice((0, 100, UNKNOWN))
        client = Client()
        request = OutboundRequest(
            source, client, head(length), route(kind, 3), clock.now() + rng.uniform(0.0, 1.0)
        )
        source.active_requests[request] = None
        plays.append((request, client, kind, pieces(seed, 9000) if length else []))
        request.start()
        for _ in range(20):
            request, client, kind, body = rng.choice(plays)
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
    for request, client, kind, _ in plays:
        assert client.ends == 1, (kind, client.events)
        if kind != "read_only" and ran.get(request):
            assert ("final", 503) not in [e[:2] for e in client.events]


@pytest.mark.parametrize(
    ("kind", "length", "went", "ran", "told"),
    [
        ("read_only", 0, True, True, 503),  # it may run twice
        ("mutating", 0, False, False, 502),  # without a body a gate may have begun it at once
        ("mutating", 5, True, False, 502),
        ("mutating", 5, False, False, 503),  # no byte of its body has left: a proof
        ("mutating", 5, False, True, 502),  # another gate may have run it before
        ("upload", 20_000, False, False, 503),
    ],
)
def test_a_process_that_ends_promises_only_what_it_can_prove(
    kind: str, length: int, went: bool, ran: bool, told: int
) -> None:
    play = Play(kind, length=length)
    gate = play.start(b"x" * length)
    play.request.ran = ran
    if went and length:
        play.request.gate_admitted()
    play.request.finish(1.25)
    assert gate.cancelled
    assert play.client.events == [("final", told, 1.25 if told == 503 else 0.0)]
    assert play.request not in play.source.active_requests
    play.request.finish(1.25)
    assert play.client.ends == 1


def test_an_answer_that_has_begun_breaks_off_when_the_process_ends() -> None:
    play = Play()
    gate = play.start()
    play.request.answered(200, b"", 9, None)
    play.request.finish(1.0)
    assert gate.cancelled
    assert play.client.events == [("answer", 200), ("broken",)]


def test_no_gate_is_given_longer_than_this_process_has() -> None:
    play = Play(within=2.0)
    play.source.end_at = play.clock.now() + 0.7
    assert play.start().ask.remaining_s == pytest.approx(0.7)
