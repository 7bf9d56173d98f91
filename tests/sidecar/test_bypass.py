"""Requests handed on by a sidecar in doubt, at both ends: whole, once, never with a second chance to run."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from honeywharf.mesh_config.routes import RoutingTable
from honeywharf.sidecar import bypass
from honeywharf.sidecar.course import ASIDE, MAX_HELPERS, Course
from honeywharf.transport.stream import DELEGATED, INITIAL_WINDOW, ForwardedRequest
from honeywharf.verdict import (
    BROKEN_OFF,
    DRIFT,
    FULL,
    LEAVING,
    LOST,
    MAY_HAVE_RUN,
    NOT_RUN,
    TIMED_OUT,
    Verdict,
)
from tests.sidecar.stage import ATTEMPT, SERVICE, TABLE, Channel, Client, Clock, Scripted, head

DOUBTS = Verdict(NOT_RUN, DRIFT, False, 0.05)


class Doubting:
    """A sidecar in doubt with two helpers, and one request of its client."""

    def __init__(self, length: int = 0, helpers: tuple[str, ...] = ("10.1.0.30", "10.1.0.31")) -> None:
        self.clock, self.client = Clock(), Client()
        self.source = Scripted(self.clock)
        self.source.helper = lambda passed: next((key for key in helpers if key not in passed), None)
        self.course = Course(self.source, self.client, head(length), ASIDE, self.clock.now() + 2.0)
        self.source.courses[self.course] = None
        self.course.start()

    @property
    def last(self) -> Channel:
        return self.source.channels[-1]


def test_what_is_handed_on_says_whose_it_is_and_decides_nothing() -> None:
    play = Doubting(length=5)
    ask = play.last.ask
    assert (play.last.key, ask.kind, ask.service, ask.rule) == ("10.1.0.30", DELEGATED, "", b"")
    assert (ask.attempt_id, ask.caller, ask.length) == (ATTEMPT, SERVICE, 5)
    assert ask.fields == b"".join(head(5).fields)
    assert ask.remaining_s < 2.0
    again = ForwardedRequest.unpack([0, 1, *_frame(ask)])
    assert (again.kind, again.caller, again.fields) == (DELEGATED, SERVICE, ask.fields)
    play.course.data(b"hello")
    play.course.end()
    assert bytes(play.last.body) == b""
    play.course.go()
    assert (bytes(play.last.body), play.last.ends) == (b"hello", 1)
    play.course.answered(201, b"", 2, b"ok")
    assert play.client.events == [("answer", 201)]
    assert play.source.handed == 1


def _frame(ask: ForwardedRequest) -> list[Any]:
    return [
        ask.service,
        ask.attempt_id,
        ask.kind,
        int(ask.remaining_s * 1000),
        0,
        ask.priority,
        0,
        ask.caller,
        ask.method,
        ask.target,
        ask.fields,
        ask.length,
        ask.revision,
        ask.rule,
    ]


def test_who_doubts_too_or_is_not_there_is_followed_by_one_more() -> None:
    for first in (DOUBTS, Verdict(NOT_RUN, DRIFT), Verdict(NOT_RUN, LEAVING), Verdict(NOT_RUN, LOST)):
        play = Doubting()
        play.course.failed(first)
        assert play.last.key == "10.1.0.31"
        play.course.failed(DOUBTS)
        assert len(play.source.channels) == MAX_HELPERS
        assert play.client.events[0][:2] == ("final", 503)
        assert float(str(play.client.events[0][2])) > 0
        assert play.client.ends == 1


@pytest.mark.parametrize(
    ("verdict", "wanted"),
    [
        (Verdict(NOT_RUN, FULL, False, 0.7), ("final", 503, 0.7)),
        (Verdict(MAY_HAVE_RUN, TIMED_OUT, True), ("final", 504, 0.0)),
        (Verdict(MAY_HAVE_RUN, BROKEN_OFF, True), ("final", 502, 0.0)),
        (Verdict(MAY_HAVE_RUN, LOST), ("final", 502, 0.0)),
    ],
)
def test_a_helpers_last_word_is_the_last_word(verdict: Verdict, wanted: tuple[object, ...]) -> None:
    play = Doubting()
    play.course.failed(verdict)
    assert play.client.events == [wanted]
    assert len(play.source.channels) == 1


def test_without_a_helper_it_is_refused_with_a_time_to_return() -> None:
    play = Doubting(helpers=())
    assert play.client.events[0][:2] == ("final", 503)
    assert play.source.handed == 0


class DriftMonitor:
    """The part that courses call."""

    def __init__(self) -> None:
        self.disagreeing_peers: dict[str, object] = {}
        self.again_s = 0.0

    def refresh_and_retry(self, course: Course, key: str) -> None:
        course.decide()

    def rule_digest(self, route: object) -> bytes:
        return b"12345678"

    def check_service(self, route: Any, draw: float, service: str) -> str:
        return service

    def check_route(self, host: bytes, path: bytes, route: Any) -> tuple[Any, float]:
        return route, self.again_s


def judged(caller: str | None = None, arrived: bool = False) -> Any:
    """A course whose gates all hold another rule, to its end."""
    clock, client = Clock(), Client()
    source: Any = Scripted(clock)
    source.word.table, source.drift_monitor = RoutingTable(TABLE), DriftMonitor()
    source.list_gates("10.1.0.20", "10.1.0.21")
    source.helper = lambda passed: None if "10.1.0.30" in passed else "10.1.0.30"
    made = head(0)
    made.target = b"/mutating/1"
    course = Course(source, client, made, source.word.find(made.host, made.target), clock.now() + 2.0, caller)
    source.courses[course] = None
    course.start()
    if arrived:
        course.failed(Verdict(NOT_RUN, FULL, True))
    for _ in range(4):
        if not course.over and course.route is not ASIDE:
            course.failed(Verdict(NOT_RUN, DRIFT))
    return source


def test_where_every_gate_holds_another_rule_another_sidecar_decides() -> None:
    source = judged()
    assert source.handed == 1
    assert source.channels[-1].key == "10.1.0.30"
    assert source.channels[-1].ask.kind == DELEGATED


def test_nothing_is_handed_on_twice_nor_once_a_backend_has_seen_it() -> None:
    assert judged(caller="tile-vault").handed == 0
    assert judged(arrived=True).handed == 0


class Answers:
    """The stream back to the sidecar in doubt."""

    def __init__(self) -> None:
        self.told: list[tuple[object, ...]] = []
        self.granted = 0

    def admit(self) -> None:
        self.told.append(("go",))
        self.granted += INITIAL_WINDOW

    def window(self, size: int) -> None:
        self.granted += size

    def answer(self, status: int, fields: bytes, length: int, load: object, body: bytes | None) -> None:
        self.told.append(("answer", status, body))

    def data(self, data: bytes) -> None:
        self.told.append(("data", data))

    def complete(self) -> None:
        self.told.append(("whole",))

    def fail(self, verdict: Verdict, load: object) -> None:
        self.told.append(("fail", verdict.ran, verdict.why, verdict.again_s))


class Helping:
    """A sidecar that is well, and one request that was handed on to it."""

    def __init__(self, length: int = 0, target: bytes = b"/mutating/1", revision: int = 7) -> None:
        self.clock = Clock()
        source: Any = Scripted(self.clock)
        self.source = source
        self.source.word.table, self.source.word.ready, self.source.word.revision = (
            RoutingTable(TABLE),
            True,
            7,
        )
        source.inbound = SimpleNamespace(leaving=False)
        self.source.helper = lambda passed: "10.1.0.30"
        self.source.list_gates("10.1.0.20")
        self.answers: Any = Answers()
        made = head(length)
        self.ask = ForwardedRequest(
            service="",
            attempt_id=ATTEMPT,
            kind=DELEGATED,
            remaining_s=1.5,
            max_queue_wait_s=0.0,
            priority=0,
            latency_target_s=1.0,
            caller="tile-vault",
            method=made.method,
            target=target,
            fields=b"".join(made.fields),
            length=length,
            revision=revision,
        )

    def take(self) -> Any:
        return bypass.take(self.source, self.ask, b"shop.example", self.answers)


def test_it_is_decided_by_the_helpers_rules_in_the_callers_name() -> None:
    play = Helping(length=3)
    work = play.take()
    ask = play.source.channels[-1].ask
    assert (ask.kind, ask.service, ask.caller, ask.attempt_id) == (1, SERVICE, "tile-vault", ATTEMPT)
    assert ask.fields == play.ask.fields
    assert ask.remaining_s <= 1.5
    work.data(b"abc")
    work.end()
    course = next(iter(play.source.courses))
    course.go()
    assert bytes(play.source.channels[-1].body) == b"abc"
    course.answered(200, b"", 2, b"ok")
    assert play.answers.told == [("go",), ("answer", 200, b"ok")]
    assert (play.source.passing, play.source.courses) == ({}, {})


@pytest.mark.parametrize(
    ("status", "told"),
    [
        (503, ("fail", NOT_RUN, FULL, 0.3)),
        (504, ("fail", MAY_HAVE_RUN, TIMED_OUT, 0.0)),
        (502, ("fail", MAY_HAVE_RUN, BROKEN_OFF, 0.0)),
        (404, ("answer", 404, b"words")),
    ],
)
def test_what_the_mesh_says_itself_goes_back_as_what_it_proves(status: int, told: tuple[object, ...]) -> None:
    play = Helping()
    play.take()
    passing = next(iter(play.source.passing))
    passing.final(passing.course, status, 0.3 if status == 503 else 0.0, b"words")
    assert play.answers.told == [told]
    assert play.source.passing == {}


def test_who_can_not_help_says_so_at_once() -> None:
    older = Helping(revision=8)
    assert older.take() is None
    assert older.answers.told == [("fail", NOT_RUN, DRIFT, bypass.REFUSED_S)]
    leaving = Helping()
    leaving.source.inbound.leaving = True
    assert leaving.take() is None
    assert leaving.answers.told[0][2] == LEAVING
    doubting = Helping()
    doubting.source.drift_monitor = DriftMonitor()
    doubting.source.drift_monitor.again_s = 0.4
    assert doubting.take() is None
    assert doubting.answers.told == [("fail", NOT_RUN, DRIFT, 0.4)]
    nowhere = Helping(target=b"/nowhere/1")
    assert nowhere.take() is None
    assert nowhere.answers.told == [("answer", 404, b"no route")]
    assert nowhere.source.courses == {}


def test_requests_of_others_and_their_bodies_are_bounded() -> None:
    play = Helping(length=1 << 20)
    works = [play.take() for _ in range(bypass.MAX_PASSING + 1)]
    assert works[-1] is None
    assert len(play.source.passing) == bypass.MAX_PASSING
    works[0].cancel()
    assert len(play.source.passing) == bypass.MAX_PASSING - 1
    assert play.take() is not None
    one = Helping(length=1 << 20)
    work = one.take()
    course, most, sent = next(iter(one.source.courses)), 0, 0
    course.go()
    while sent < 1 << 20 and one.answers.granted > sent:
        step = min(one.answers.granted - sent, (1 << 20) - sent)
        work.data(bytes(step))
        sent += step
        most = max(most, course.held)
        course.window(INITIAL_WINDOW)
    assert most <= bypass.AHEAD_BYTES
    assert sent == 1 << 20


def test_an_answer_in_parts_goes_back_in_parts() -> None:
    play = Helping()
    work = play.take()
    course = next(iter(play.source.courses))
    course.answered(200, b"", 9, None)
    course.answer_data(b"abc")
    work.window(3)
    assert play.source.channels[-1].passed == 3
    course.failed(Verdict(MAY_HAVE_RUN, BROKEN_OFF, True))
    assert play.answers.told == [
        ("answer", 200, None),
        ("data", b"abc"),
        ("fail", MAY_HAVE_RUN, BROKEN_OFF, 0.0),
    ]
