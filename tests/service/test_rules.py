"""The lifecycle of a process, the bans and the operators' line protocol, without sockets."""

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
def test_a_lifecycle_follows_its_table_and_steps_are_due_once_in_order(
    events: list[tuple[Event, float]],
    longest_deadline_ms: float,
) -> None:
    process, now, ended = Lifecycle(longest_deadline_ms), 0.0, False
    for event, ms in events:
        now += ms
        before = process.state
        if (before, event) in TRANSITIONS:
            changed = process.handle_event(now, event)
            assert changed == (process.state is not before)
        else:
            with pytest.raises(InvalidTransitionError, match=before.value):
                process.handle_event(now, event)
            assert process.state is before
        assert not ended or process.state is State.ENDED  # `ENDED` is final.
        ended = process.state is State.ENDED
        assert process.state is not State.READY or process.is_listening
        due = [at for at, _ in process.due]
        assert due == sorted(due)
        while process.pop_due_step(now) is not None:
            pass
        assert process.next_step_ms() is None or process.next_step_ms() > now  # type: ignore[operator]


def test_every_state_is_in_the_tables_and_only_ended_is_final() -> None:
    assert set(STATE_PROPERTIES) == set(State)
    for state in set(State) - {State.ENDED}:
        assert any(s is state and after is not state for (s, _), after in TRANSITIONS.items()), state


@pytest.mark.parametrize("longest_deadline_ms", [300.0, 2000.0, 5000.0])
def test_all_requests_are_answered_before_sigkill(longest_deadline_ms: float) -> None:
    """SIGKILL follows SIGTERM after 0.7 s plus the longest deadline or 3 s, whichever is less."""
    for state in (State.ENDING, State.HANDING_OVER):
        step_times = {step: ms for ms, step in lifecycle.steps(state, longest_deadline_ms)}
        assert step_times[Step.ANSWER_ALL] < step_times[Step.END] < min(longest_deadline_ms, 3000.0) + 700.0
        assert step_times[Step.CLOSE_WITHOUT_REQUEST] <= step_times[Step.ANSWER_ALL] or state is State.ENDING


@pytest.mark.parametrize(
    ("event", "from_ms"), [(Event.TERMINATE, lifecycle.STOP_ACCEPTING_AFTER_MS), (Event.HAND_OVER, 0.0)]
)
def test_a_process_that_ends_refuses_what_may_outlast_it_once_its_clients_have_others(
    event: Event, from_ms: float
) -> None:
    process = Lifecycle(5000.0)
    process.handle_event(0.0, Event.LISTENING)
    assert process.answer_all_ms == float("inf")
    process.handle_event(10.0, event)
    assert process.answer_all_ms == 10.0 + lifecycle.KILL_AFTER_MS + lifecycle.ANSWER_ALL_DELAY_MS
    assert (10.0 + from_ms, Step.REJECT_OUTLASTING) in process.due


def test_an_evacuated_proxy_holds_no_young_request_at_the_time_limit() -> None:
    """4 s after the command, no connection is idle or has a request of the last 2 s."""
    step_times = [(step, ms) for ms, step in lifecycle.steps(State.EVACUATING, 5000.0)]
    reject_ms = dict(step_times)[Step.REJECT]
    assert reject_ms < lifecycle.EMPTY_WITHIN_MS - lifecycle.YOUNG_REQUEST_MS
    assert dict(step_times)[Step.CLOSE_IDLE] <= reject_ms


def test_an_evacuated_proxy_rejects_late_requests_until_it_is_activated() -> None:
    process = Lifecycle(5000.0)
    process.handle_event(0.0, Event.LISTENING)
    process.handle_event(10.0, Event.EVACUATE)
    assert not process.handle_event(1000.0, Event.EVACUATE)  # A repeated command does not restart the timers.
    steps = [process.pop_due_step(lifecycle.REJECT_AFTER_MS + 10.0) for _ in range(3)]
    assert steps == [Step.CLOSE_IDLE, Step.REJECT, Step.CLOSE_WITHOUT_REQUEST]
    assert process.rejects_requests
    process.handle_event(2500.0, Event.ACTIVATE)
    assert process.state is State.READY
    assert not process.rejects_requests
    assert process.next_step_ms() is None


# Bans.

IDS = ["a", "b", "c", "d"]
ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("saw"), st.frozensets(st.sampled_from(IDS))),
        st.tuples(st.sampled_from(("exclude", "include")), st.sampled_from([*IDS, "x"])),
    ),
    max_size=40,
)


@given(ACTIONS)
def test_the_last_command_applies_to_ids_that_were_ever_listed(
    actions: list[tuple[str, frozenset[str] | str]],
) -> None:
    table, banned = bans.Bans(), set[str]()
    ever_listed: set[str] = set()
    for i, (action, target) in enumerate(actions):
        if isinstance(target, frozenset):
            table.set_listed(target)
            ever_listed |= target
        elif target not in ever_listed:
            with pytest.raises(bans.BanError, match="no list has named"):
                table.exclude(target, 0.0) if action == "exclude" else table.include(target, 0.0)
        elif action == "exclude":
            assert table.exclude(target, float(i)) == (target not in banned)
            banned.add(target)
        else:
            assert table.include(target, float(i)) == (target in banned)
            banned.discard(target)
        assert set(table.excluded_ms) == banned
        assert all(table.is_known(name) for name in ever_listed)


def test_the_tables_of_bans_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bans, "MAX_BANS", 3)
    monkeypatch.setattr(bans, "MAX_FORMERLY_LISTED", 5)
    table = bans.Bans()
    table.set_listed([f"n{i}" for i in range(20)])
    table.set_listed(["last"])
    assert sum(table.is_known(f"n{i}") for i in range(20)) == 5
    table.set_listed(["n1", "n2", "n3", "n4"])
    for i in (1, 2, 3):
        table.exclude(f"n{i}", 0.0)
    with pytest.raises(bans.BanError, match="found 3 backends out by hand, wanted fewer"):
        table.exclude("n4", 0.0)
    for i in range(1, 4):
        table.include(f"n{i}", 1.0)
    table.merge({f"m{i}": float(i) for i in range(9)}, {f"k{i}": float(i) for i in range(9)})
    assert sorted(table.excluded_ms) == ["m0", "m1", "m2"]
    assert len(table.included_ms) == 3
    assert table.is_known("n1")


# The balancer's handling of bans.


def chosen_endpoints(driver: Driver, calls: int = 60) -> set[str]:
    return set(driver.fill(calls))


@pytest.mark.parametrize("change", ["listed again", "gone and back", "started anew", "moved"])
def test_a_banned_endpoint_gets_no_calls_whatever_discovery_lists(change: str) -> None:
    driver = Driver()
    names = [endpoint("a1"), endpoint("a2"), endpoint("b1", "b")]
    driver.list(names)
    assert "a1" in chosen_endpoints(driver)
    driver.feed(api.EndpointsExcluded(frozenset({"a1"})))
    if change == "listed again":
        driver.list(names)
    elif change == "gone and back":
        driver.list(names[1:])
        assert "a1" not in chosen_endpoints(driver)
        driver.list(names)
    elif change == "started anew":
        driver.list([endpoint("a1", started_ms=driver.now)], api.ListKind.CHANGES)
    else:
        driver.list([endpoint("a1", "b")], api.ListKind.CHANGES)
    assert "a1" not in chosen_endpoints(driver)
    driver.now += 20000.0
    driver.feed(api.EndpointsExcluded(frozenset()))
    driver.list(names)
    driver.now += 20000.0
    assert "a1" in chosen_endpoints(driver, 200)


def test_an_included_endpoint_is_cold_unless_it_has_restarted_since() -> None:
    driver = Driver()
    driver.now = 100000.0
    driver.list([endpoint("a1"), endpoint("a2"), endpoint("a3", started_ms=50000.0)])
    servers = driver.balancer.endpoints.servers
    driver.feed(api.EndpointsExcluded(frozenset({"a1", "a3"})))
    driver.now += 1000.0
    driver.list([endpoint("a3", started_ms=100500.0)], api.ListKind.CHANGES)
    driver.now += 20000.0
    driver.feed(api.EndpointsExcluded(frozenset()))
    assert (servers["a1"].cold, servers["a3"].cold) == (True, False)  # a3 has had its time to warm up.
    assert servers["a1"].weight == pytest.approx(0.2)
    driver.list([endpoint("a1")], api.ListKind.CHANGES)  # The list repeats the old start time.
    assert servers["a1"].cold
    driver.now += 10000.0
    driver.list([])
    driver.list([endpoint("a1", started_ms=driver.now - 10000.0)], api.ListKind.CHANGES)
    assert not servers["a1"].cold


def test_requests_are_rejected_if_all_endpoints_are_banned() -> None:
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


# The operators' line protocol.


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (b"readyz\n", operator_protocol.OperatorRequest("readyz")),
        (b"exclude s-1\r\n", operator_protocol.OperatorRequest("exclude", "s-1")),
        (b"  include   s-1  \n", operator_protocol.OperatorRequest("include", "s-1")),
        (b"evacuate\n\n", operator_protocol.OperatorRequest("evacuate")),
    ],
)
def test_a_valid_request(line: bytes, expected: operator_protocol.OperatorRequest) -> None:
    assert operator_protocol.is_complete(line)
    assert operator_protocol.parse_request(line) == expected


@pytest.mark.parametrize(
    ("line", "message"),
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
def test_an_invalid_request_is_reported_with_what_was_found(line: bytes, message: str) -> None:
    with pytest.raises(operator_protocol.OperatorRequestError, match=message):
        operator_protocol.parse_request(line)


@given(st.binary(max_size=700), st.text(max_size=80))
def test_any_data_is_one_request_or_one_error_and_replies_are_one_line(data: bytes, text: str) -> None:
    try:
        outcome = operator_protocol.parse_request(data).command
    except operator_protocol.OperatorRequestError as fault:
        outcome = str(fault)
    assert outcome in operator_protocol.COMMANDS or outcome.startswith("found ")
    for ok in (True, False):
        reply_line = operator_protocol.encode_reply(ok, text)
        assert reply_line.startswith(b"OK" if ok else b"ERR")
        assert reply_line.count(b"\n") == 1
        assert reply_line.endswith(b"\n")


def test_an_impossible_command_is_reported_with_the_possible_events() -> None:
    process = Lifecycle(5000.0)
    process.handle_event(0.0, Event.LISTENING)
    process.handle_event(0.0, Event.TERMINATE)
    for event in (Event.EVACUATE, Event.ACTIVATE):
        with pytest.raises(
            InvalidTransitionError, match=f"found {event.value!r} while ending, wanted one of"
        ):
            process.handle_event(1.0, event)
    assert process.pop_due_step(1.0) is Step.CLOSE_IDLE
