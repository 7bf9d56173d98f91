"""The rules of a process's life, of bans and of operators' calls, without sockets."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from honeywharf.policy import interface as api
from honeywharf.service import bans, lifecycle, operator_protocol
from honeywharf.service.lifecycle import (
    STATE_PROPERTIES,
    TRANSITIONS,
    Event,
    InvalidTransitionError,
    Lifecycle,
    State,
    Step,
)
from tests.helpers import Driver, endpoint

EVENTS = st.lists(st.tuples(st.sampled_from(Event), st.floats(0.0, 5000.0)), max_size=30)


@given(EVENTS, st.sampled_from((800.0, 5000.0)))
def test_a_life_follows_its_table_and_steps_come_once_in_order(
    events: list[tuple[Event, float]],
    longest_deadline_ms: float,
) -> None:
    made, now, ended = Lifecycle(longest_deadline_ms), 0.0, False
    for event, ms in events:
        now += ms
        before = made.state
        if (before, event) in TRANSITIONS:
            changed = made.handle_event(now, event)
            assert changed == (made.state is not before)
        else:
            with pytest.raises(InvalidTransitionError, match=before.value):
                made.handle_event(now, event)
            assert made.state is before
        assert not ended or made.state is State.ENDED  # nothing leads back from the end
        ended = made.state is State.ENDED
        assert made.state is not State.READY or made.is_listening
        due = [at for at, _ in made.due]
        assert due == sorted(due)
        while made.pop_due_step(now) is not None:
            pass
        assert made.next_step_ms() is None or made.next_step_ms() > now  # type: ignore[operator]


def test_every_state_is_in_the_tables_and_nothing_but_the_end_is_a_dead_end() -> None:
    assert set(STATE_PROPERTIES) == set(State)
    for state in set(State) - {State.ENDED}:
        assert any(s is state and after is not state for (s, _), after in TRANSITIONS.items()), state


@pytest.mark.parametrize("longest_deadline_ms", [300.0, 2000.0, 5000.0])
def test_all_is_answered_before_the_platform_kills(longest_deadline_ms: float) -> None:
    """SIGKILL comes the longest deadline, or 3 s, and 0.7 s after SIGTERM."""
    for state in (State.ENDING, State.HANDING_OVER):
        told = {step: ms for ms, step in lifecycle.steps(state, longest_deadline_ms)}
        assert told[Step.ANSWER_ALL] < told[Step.END] < min(longest_deadline_ms, 3000.0) + 700.0
        assert told[Step.CLOSE_WITHOUT_REQUEST] <= told[Step.ANSWER_ALL] or state is State.ENDING


def test_an_evacuated_proxy_holds_no_young_request_when_it_has_to_be_empty() -> None:
    """The operators' figures: 4 s after the call no connection idle, none with a request of the last 2 s."""
    told = [(step, ms) for ms, step in lifecycle.steps(State.EVACUATING, 5000.0)]
    reject_ms = dict(told)[Step.REJECT]
    assert reject_ms < lifecycle.EMPTY_WITHIN_MS - lifecycle.YOUNG_REQUEST_MS
    assert dict(told)[Step.CLOSE_IDLE] <= reject_ms


def test_evacuated_refuses_late_calls_until_it_is_activated() -> None:
    made = Lifecycle(5000.0)
    made.handle_event(0.0, Event.LISTENING)
    made.handle_event(10.0, Event.EVACUATE)
    assert not made.handle_event(1000.0, Event.EVACUATE)  # said again: the clock does not begin anew
    steps = [made.pop_due_step(lifecycle.REJECT_AFTER_MS + 10.0) for _ in range(3)]
    assert steps == [Step.CLOSE_IDLE, Step.REJECT, Step.CLOSE_WITHOUT_REQUEST]
    assert made.rejects_requests
    made.handle_event(2500.0, Event.ACTIVATE)
    assert made.state is State.READY
    assert not made.rejects_requests
    assert made.next_step_ms() is None


# Bans.

IDS = ["a", "b", "c", "d"]
ACTS = st.lists(
    st.one_of(
        st.tuples(st.just("saw"), st.frozensets(st.sampled_from(IDS))),
        st.tuples(st.sampled_from(("exclude", "include")), st.sampled_from([*IDS, "x"])),
    ),
    max_size=40,
)


@given(ACTS)
def test_bans_are_what_was_said_last_of_ids_that_were_listed(
    acts: list[tuple[str, frozenset[str] | str]],
) -> None:
    made, out = bans.Bans(), set[str]()
    ever: set[str] = set()
    for i, (act, what) in enumerate(acts):
        if isinstance(what, frozenset):
            made.set_listed(what)
            ever |= what
        elif what not in ever:
            with pytest.raises(bans.BanError, match="no list has named"):
                made.exclude(what, 0.0) if act == "exclude" else made.include(what, 0.0)
        elif act == "exclude":
            assert made.exclude(what, float(i)) == (what not in out)
            out.add(what)
        else:
            assert made.include(what, float(i)) == (what in out)
            out.discard(what)
        assert set(made.excluded_ms) == out
        assert all(made.is_known(name) for name in ever)


def test_the_tables_of_bans_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bans, "MAX_BANS", 3)
    monkeypatch.setattr(bans, "MAX_FORMERLY_LISTED", 5)
    made = bans.Bans()
    made.set_listed([f"n{i}" for i in range(20)])
    made.set_listed(["last"])
    assert sum(made.is_known(f"n{i}") for i in range(20)) == 5
    made.set_listed(["n1", "n2", "n3", "n4"])
    for i in (1, 2, 3):
        made.exclude(f"n{i}", 0.0)
    with pytest.raises(bans.BanError, match="found 3 backends out by hand, wanted fewer"):
        made.exclude("n4", 0.0)
    for i in range(1, 4):
        made.include(f"n{i}", 1.0)
    made.merge({f"m{i}": float(i) for i in range(9)}, {f"k{i}": float(i) for i in range(9)})
    assert sorted(made.excluded_ms) == ["m0", "m1", "m2"]
    assert len(made.included_ms) == 3
    assert made.is_known("n1")


# What the module makes of a ban.


def sent(driver: Driver, calls: int = 60) -> set[str]:
    return set(driver.fill(calls))


@pytest.mark.parametrize("word", ["listed again", "gone and back", "started anew", "moved"])
def test_nothing_goes_to_a_banned_endpoint_whatever_discovery_says(word: str) -> None:
    driver = Driver()
    names = [endpoint("a1"), endpoint("a2"), endpoint("b1", "b")]
    driver.list(names)
    assert "a1" in sent(driver)
    driver.feed(api.EndpointsExcluded(frozenset({"a1"})))
    if word == "listed again":
        driver.list(names)
    elif word == "gone and back":
        driver.list(names[1:])
        assert "a1" not in sent(driver)
        driver.list(names)
    elif word == "started anew":
        driver.list([endpoint("a1", started_ms=driver.now)], api.ListKind.CHANGES)
    else:
        driver.list([endpoint("a1", "b")], api.ListKind.CHANGES)
    assert "a1" not in sent(driver)
    driver.now += 20000.0
    driver.feed(api.EndpointsExcluded(frozenset()))
    driver.list(names)
    driver.now += 20000.0
    assert "a1" in sent(driver, 200)


def test_one_that_comes_back_is_cold_unless_it_is_known_to_have_started_since() -> None:
    driver = Driver()
    driver.now = 100000.0
    driver.list([endpoint("a1"), endpoint("a2"), endpoint("a3", started_ms=50000.0)])
    servers = driver.balancer.endpoints.servers
    driver.feed(api.EndpointsExcluded(frozenset({"a1", "a3"})))
    driver.now += 1000.0
    driver.list([endpoint("a3", started_ms=100500.0)], api.ListKind.CHANGES)
    driver.now += 20000.0
    driver.feed(api.EndpointsExcluded(frozenset()))
    assert (servers["a1"].cold, servers["a3"].cold) == (True, False)  # a3 has had its time to warm up
    assert servers["a1"].weight == pytest.approx(0.2)
    driver.list([endpoint("a1")], api.ListKind.CHANGES)  # discovery repeats what it knew before
    assert servers["a1"].cold
    driver.now += 10000.0
    driver.list([])
    driver.list([endpoint("a1", started_ms=driver.now - 10000.0)], api.ListKind.CHANGES)
    assert not servers["a1"].cold


def test_all_banned_is_told_not_overruled() -> None:
    driver = Driver()
    driver.list([endpoint("a1"), endpoint("b1", "b")])
    driver.feed(api.EndpointsExcluded(frozenset({"a1"})))
    (action,) = driver.request()
    assert isinstance(action, api.Send)
    assert action.endpoint == "b1"
    driver.end(api.Outcome.OK)
    driver.feed(api.EndpointsExcluded(frozenset({"a1", "b1"})))
    (action,) = driver.request()
    assert isinstance(action, api.Refuse)
    assert action.reason is api.Reason.NO_SERVER


# What is said at the second address.


@pytest.mark.parametrize(
    ("line", "wanted"),
    [
        (b"readyz\n", operator_protocol.OperatorRequest("readyz")),
        (b"exclude s-1\r\n", operator_protocol.OperatorRequest("exclude", "s-1")),
        (b"  include   s-1  \n", operator_protocol.OperatorRequest("include", "s-1")),
        (b"evacuate\n\n", operator_protocol.OperatorRequest("evacuate")),
    ],
)
def test_a_sound_call(line: bytes, wanted: operator_protocol.OperatorRequest) -> None:
    assert operator_protocol.is_complete(line)
    assert operator_protocol.parse_request(line) == wanted


@pytest.mark.parametrize(
    ("line", "words"),
    [
        (b"\n", "found 'nothing', wanted one of readyz"),
        (b"READYZ\n", "found 'READYZ'"),
        (b"exclude\n", "found 0 words after exclude, wanted 1"),
        (b"readyz now\n", "found 1 words"),
        (b"exclude a b\n", "found 2 words"),
        (b"exclude a\ninclude a\n", "one line to a connection"),
        (b"exclude \xff\n", "found byte 0xff at 8, wanted UTF-8"),
        (b"exclude a\0b\n", "can't be shown"),
        (b"exclude a", "no end of a line"),
        (b"x" * 600, "no end of a line"),
        (b"x" * 600 + b"\n", "no end"),
    ],
)
def test_what_is_no_call_is_told_with_what_was_found(line: bytes, words: str) -> None:
    with pytest.raises(operator_protocol.OperatorRequestError, match=words):
        operator_protocol.parse_request(line)


@given(st.binary(max_size=700), st.text(max_size=80))
def test_whatever_is_said_is_one_call_or_one_fault_and_answers_are_one_line(data: bytes, text: str) -> None:
    try:
        said = operator_protocol.parse_request(data).command
    except operator_protocol.OperatorRequestError as fault:
        said = str(fault)
    assert said in operator_protocol.COMMANDS or said.startswith("found ")
    for yes in (True, False):
        told = operator_protocol.encode_reply(yes, text)
        assert told.startswith(b"OK" if yes else b"ERR")
        assert told.count(b"\n") == 1
        assert told.endswith(b"\n")


def test_what_can_happen_in_a_state_is_told_where_something_else_was_asked() -> None:
    made = Lifecycle(5000.0)
    made.handle_event(0.0, Event.LISTENING)
    made.handle_event(0.0, Event.TERMINATE)
    for event in (Event.EVACUATE, Event.ACTIVATE):
        with pytest.raises(
            InvalidTransitionError, match=f"found {event.value!r} while ending, wanted one of"
        ):
            made.handle_event(1.0, event)
    assert made.pop_due_step(1.0) is Step.CLOSE_IDLE
