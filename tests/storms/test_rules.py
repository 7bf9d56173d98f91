"""The parts of storm control against plain models: sketches, states, budget and return times."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping

import pytest
from hypothesis import given, settings, strategies as st

from honeywharf.core.messages import whole_seconds
from honeywharf.policy.interface import Coming
from honeywharf.storms import Rules, Storms, detector as detection
from honeywharf.storms.budget import MIN_BURST, RepeatBudget
from honeywharf.storms.detector import TRANSITIONS, Detector, State, Window
from honeywharf.storms.return_schedule import MIN_RETURN_MS, SLOT_MS, ReturnSchedule
from honeywharf.storms.sketch import Promises, RecentNames, digest

HOUR = 3_600_000.0
Steps = st.lists(st.tuples(st.integers(0, 40), st.floats(0.0, 400.0)), max_size=300)


# Sketches.


@settings(max_examples=60, deadline=None)
@given(Steps)
def test_names_are_known_within_the_span_and_forgotten_after_twice_that(steps: object) -> None:
    seen, last, now = RecentNames(1000.0, 1000), dict[int, float](), 0.0
    for name, passed in steps:  # type: ignore[attr-defined]
        now += passed
        known = seen.add(now, digest(b"%d" % name, b"s"))
        if name in last and now - last[name] < 1000.0:
            assert known
        if name not in last or now - last[name] > 3000.0:
            assert not known
        last[name] = now


def test_made_up_names_take_no_more_memory_and_are_counted_as_early_rotations() -> None:
    seen = RecentNames(10_000.0, 2000)
    before = seen.size_bytes
    assert not seen.add(0.0, digest(b"mine", b"s"))
    wrong = sum(seen.add(1.0 + i / 100.0, digest(b"made up %d" % i, b"s")) for i in range(50_000))
    assert seen.size_bytes == before < 20_000
    assert seen.early_rotations >= 20  # rotations by a full filter
    assert wrong < 50_000 * 0.004
    # Another secret gives other digests: collisions cannot be prepared.
    assert digest(b"mine", b"s") != digest(b"mine", b"t")


@pytest.mark.parametrize("jump", [-1e7, 1e7, -3000.0])
def test_the_sketches_work_on_after_a_clock_jump(jump: float) -> None:
    seen, promises, now = RecentNames(1000.0, 100), Promises(100.0, 2000.0, 1500.0, 50), 5e7
    for _ in range(2):
        seen.add(now, 1)
        promises.promise(now, 1, now + 500.0)
        now += jump
    assert seen.add(now, 2) is False
    assert seen.add(now + 1.0, 2) is True
    promises.promise(now, 3, now + 700.0)
    due = promises.due(now, 3)
    assert due is not None
    assert abs(due - now - 700.0) <= 100.0


@settings(max_examples=60, deadline=None)
@given(Steps)
def test_promises_match_a_plain_table(steps: object) -> None:
    promises, table, now = Promises(100.0, 2000.0, 1500.0, 20), dict[int, float](), 1e6
    for name, passed in steps:  # type: ignore[attr-defined]
        now += passed
        if name % 3 and name not in table:
            due = now + 200.0 + name * 40.0
            if promises.promised(now, due) < 20:
                promises.promise(now, name, due)
                table[name] = due
        found = promises.due(now, name)
        if name in table and now < table[name] + 1400.0:
            assert found == table[name] // 100.0 * 100.0
        if name not in table or now > table[name] + 1700.0:
            assert found is None
            table.pop(name, None)
        assert max(promises.counts) <= 20


# States.


def feed(d: Detector, begin: float, ms: float, rates: Mapping[int, float]) -> list[State]:
    """Feeds events at `rates` per second by kind; returns the states passed through."""
    passed = [d.state]
    for step in range(int(ms // 10)):
        now = begin + step * 10.0
        for kind, rate in rates.items():
            number = int(rate * (step + 1) / 100.0) - int(rate * step / 100.0)
            if number:
                d.count(now, kind, number)
            else:
                d.advance(now)
            if d.state is not passed[-1]:
                passed.append(d.state)
    return passed


def test_a_storm_rises_and_ebbs_by_the_transition_table() -> None:
    d = Detector()
    assert feed(d, 0.0, 20_000.0, {detection.FIRST: 100}) == [State.CALM]
    assert feed(d, 20_000.0, 5000.0, {detection.FIRST: 100, detection.REPEAT: 80}) == [
        State.CALM,
        State.RISING,
        State.STORM,
    ]
    assert feed(d, 25_000.0, 10_000.0, {detection.FIRST: 100, detection.REPEAT: 2}) == [
        State.STORM,
        State.EBBING,
        State.CALM,
    ]
    assert d.reason == "quiet"


def test_overlapping_storms_are_one_storm_that_ends_once() -> None:
    d = Detector()
    feed(d, 0.0, 5000.0, {detection.FIRST: 100})
    feed(d, 5000.0, 4000.0, {detection.FIRST: 100, detection.REPEAT: 90})
    ebbed = feed(d, 9000.0, 4000.0, {detection.FIRST: 100, detection.REPEAT: 5})
    assert ebbed[-1] is State.EBBING
    assert feed(d, 13_000.0, 4000.0, {detection.FIRST: 100, detection.REPEAT: 90}) == [
        State.EBBING,
        State.STORM,
    ]
    assert feed(d, 17_000.0, 9000.0, {detection.FIRST: 100}) == [State.STORM, State.EBBING, State.CALM]


def test_a_flood_of_first_attempts_is_no_storm() -> None:
    d = Detector()
    feed(d, 0.0, 20_000.0, {detection.FIRST: 50, detection.REPEAT: 2, detection.REFUSED: 1})
    flood = {detection.FIRST: 1500, detection.REPEAT: 60, detection.REFUSED: 300}
    assert feed(d, 20_000.0, 30_000.0, flood) == [State.CALM]


def test_reconnects_are_a_storm_only_while_requests_are_refused() -> None:
    for refused, wanted in ((0, [State.CALM, State.RISING]), (20, [State.CALM, State.RISING, State.STORM])):
        d = Detector()
        feed(d, 0.0, 20_000.0, {detection.FIRST: 100, detection.CONNECTION: 10})
        found = feed(
            d, 20_000.0, 3000.0, {detection.FIRST: 100, detection.CONNECTION: 400, detection.REFUSED: refused}
        )
        assert found == wanted


def test_the_baseline_is_kept_for_each_hour() -> None:
    d = Detector()
    feed(d, 0.0, 40_000.0, {detection.FIRST: 100, detection.CONNECTION: 300})
    assert feed(d, 40_000.0, 5000.0, {detection.FIRST: 100, detection.CONNECTION: 600}) == [State.CALM]
    d = Detector()
    feed(d, 5 * HOUR, 40_000.0, {detection.FIRST: 100, detection.CONNECTION: 10})
    assert State.RISING in feed(
        d, 5 * HOUR + 40_000.0, 5000.0, {detection.FIRST: 100, detection.CONNECTION: 600}
    )
    assert len(d.baseline_ratios) == len(d.baseline_connects) == 24


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(detection.KINDS), st.integers(0, 60), st.floats(-3000.0, 2000.0)),
        max_size=200,
    )
)
def test_no_other_transition_is_possible(steps: list[tuple[int, int, float]]) -> None:
    d, now, allowed = Detector(), 1e6, {(a, b) for a, _, b, _ in TRANSITIONS}
    for kind, number, passed in steps:
        now += passed  # the clock may jump
        before = d.state
        changed = d.count(now, kind, number)
        assert changed == (d.state is not before)
        assert not changed or (before, d.state) in allowed
        assert len(d.slots) == detection.WINDOW_SLOTS


def test_every_row_of_the_table_can_be_reached_and_names_its_reason() -> None:
    windows = [
        Window(first=f, repeats=r, connections=c, refused=x, baseline_connections=10.0, quiet_ms=q)
        for f in (100,)
        for r in (0, 30, 90)
        for c in (0, 100)
        for x in (0, 5)
        for q in (0.0, 5000.0)
    ]
    reached = set()
    for state in State:
        for w in windows:
            row = next((i for i, (s, sign, _, _) in enumerate(TRANSITIONS) if s is state and sign(w)), None)
            reached.add(row)
    assert reached >= set(range(len(TRANSITIONS)))
    assert all(reason for *_, reason in TRANSITIONS)


# Budget.


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from(("first", "told", "early")), st.floats(0.0, 30.0)),
        max_size=400,
    )
)
def test_each_tenants_repeats_are_paid_by_its_own_first_attempts(steps: list[tuple[str, str, float]]) -> None:
    budget, now = RepeatBudget(0.2), 0.0
    first, begun = Counter[str](), Counter[str]()
    for tenant, kind, passed in steps:
        now += passed
        if kind == "first":
            budget.record_first(now, tenant)
            first[tenant] += 1
        else:
            begun[tenant] += budget.admits_repeat(now, tenant, kind == "told")
        assert begun[tenant] <= 0.2 * first[tenant] + MIN_BURST


def test_one_tenants_storm_takes_nothing_from_the_others() -> None:
    budget, begun = RepeatBudget(), Counter[str]()
    for ms in range(5000):
        budget.record_first(ms, "loud")
        begun["loud"] += sum(budget.admits_repeat(ms, "loud", False) for _ in range(5))
        if ms % 10 == 0:
            budget.record_first(ms, "calm")
        if ms % 100 == 0:
            begun["calm"] += budget.admits_repeat(ms, "calm", False)
    assert begun["calm"] == 50
    assert 0.15 * 5000 < begun["loud"] <= 0.2 * 5000 + MIN_BURST


def test_made_up_tenants_evict_no_active_tenant_and_share_one_bucket() -> None:
    budget = RepeatBudget(max_tenants=4)
    for i in range(4):
        budget.record_first(0.0, f"real{i}")
    begun = sum(budget.admits_repeat(1.0, f"made up {i}", True) for i in range(1000))
    assert len(budget.buckets) == 4
    assert begun <= MIN_BURST
    budget.record_first(10_000.0, "new")  # idle tenants are evicted
    assert "new" in budget.buckets
    assert len(budget.buckets) == 4


def test_the_reserved_part_serves_only_repeats_at_their_return_time() -> None:
    budget = RepeatBudget()
    for ms in range(2000):
        budget.record_first(ms, "t")
    early = sum(budget.admits_repeat(2000.0, "t", False) for _ in range(1000))
    told = sum(budget.admits_repeat(2000.0, "t", True) for _ in range(1000))
    assert early > 20
    assert told > 0.8 * early


def test_the_budget_is_widened_in_steps_and_narrowed_at_once() -> None:
    budget, seen = RepeatBudget(0.2), []
    for ms in range(0, 5000, 100):
        budget.widen(ms)
        seen.append(budget.widened)
    assert seen == sorted(seen)
    assert len(set(seen)) >= 4
    assert seen[-1] == pytest.approx(1 / 0.2)
    budget.narrow()
    assert budget.widened == 1.0
    with pytest.raises(ValueError, match=r"ratio: expected over 0 and up to 1, got 2\.0"):
        RepeatBudget(2.0)


# Return times.


def test_no_slot_before_the_horizon_is_promised_to_more_than_can_be_admitted() -> None:
    schedule, told = ReturnSchedule(random.Random(1), 2000.0, 800.0), Counter[int]()
    for i in range(3000):
        ms = schedule.assign(1e6, i, repeats_per_ms=0.5)
        assert MIN_RETURN_MS <= ms <= 2000.0
        due = schedule.promises.due(1e6, i)
        assert due is not None  # every return time is known again, before the horizon or past it
        assert due <= 1e6 + ms <= due + SLOT_MS + 1e-6
        told[int(due - 1e6)] += 1
    useful = {slot: number for slot, number in told.items() if slot < 800}
    assert max(useful.values()) <= 50
    assert 250 <= sum(useful.values()) <= 400  # 600 ms at 0.5 per ms
    assert abs(schedule.past_horizon - (3000 - sum(useful.values()))) <= 50
    with pytest.raises(ValueError, match=r"max_return_ms: expected at least 200\.0 ms, got 100"):
        ReturnSchedule(random.Random(1), 100.0, 50.0)


def test_return_times_of_two_proxies_differ() -> None:
    first, second = (ReturnSchedule(random.Random(seed), 2000.0, 800.0) for seed in (1, 2))
    pairs = [(first.assign(0.0, i, 10.0), second.assign(0.0, i, 10.0)) for i in range(200)]
    assert sum(abs(a - b) < 1.0 for a, b in pairs) < 10


def test_whole_seconds_keep_the_mean_and_are_never_zero_for_a_wait() -> None:
    draw = random.Random(1)
    for ms in (1200.0, 2500.0, 3999.0):
        told = [whole_seconds(ms, draw.random()) for _ in range(20_000)]
        assert abs(sum(told) / len(told) - ms / 1000.0) < 0.02
        assert len(set(told)) == 2  # neighbouring seconds are both drawn
    assert whole_seconds(100.0, 0.0) == 1
    assert whole_seconds(0.0, 0.9) == 0


# All together.


def storms_in_storm() -> tuple[Storms, float]:
    """Returns storm control during a storm, and the time."""
    s, now = Storms(Rules(), random.Random(1), b"secret"), 1e6
    for i in range(3000):
        now += 2.0
        s.arrived(now, b"first %d" % i, "t", False)
        coming, code, _ = s.arrived(now, b"again %d" % (i % 40), "t", False)
        s.refused(now, code, coming, True)
    assert s.state is State.STORM
    return s, now


def test_repeats_are_recognized_without_a_mark_and_classified_by_their_return_time() -> None:
    s, now = storms_in_storm()
    coming, code, _ = s.arrived(now, b"new", "t", False)
    assert coming is Coming.FIRST
    while (ms := s.refused(now, code, coming, True)) > 800.0:  # repeated until the time is before the horizon
        now += 100.0
    assert s.arrived(now + ms / 3, b"new", "t", False)[0] is Coming.EARLY
    assert s.arrived(now + ms + SLOT_MS, b"new", "t", False)[0] is Coming.AS_TOLD
    assert s.arrived(now, b"", "t", True)[0] is Coming.UNTOLD
    assert s.arrived(now, b"", "t", False)[0] is Coming.FIRST


def test_an_early_repeat_keeps_its_return_time_and_gains_nothing() -> None:
    s, now = storms_in_storm()
    coming, code, _ = s.arrived(now, b"new", "t", False)
    while s.refused(now, code, coming, True) > 800.0:
        now += 100.0
    promised = s.schedule.promises.outstanding(now)
    due = s.schedule.promises.due(now, code)
    assert due is not None
    for _ in range(5):
        now += 20.0
        early, code, _ = s.arrived(now, b"new", "t", False)
        again = s.refused(now, code, early, True)
        assert abs(now + again - due) <= SLOT_MS
    assert s.schedule.promises.outstanding(now) <= promised
    assert s.limit_factor(Coming.EARLY) < s.limit_factor(Coming.FIRST) < s.limit_factor(Coming.AS_TOLD)


def test_first_attempts_are_always_admitted_and_repeats_are_limited_while_room_is_short() -> None:
    s, now = storms_in_storm()
    assert all(s.admits(now, "t", Coming.FIRST) for _ in range(1000))
    assert sum(s.admits(now, "t", Coming.EARLY) for _ in range(1000)) < 200
    assert s.refused_repeats > 800
    later = now + 600.0  # no request was refused for lack of room for a while
    assert all(s.admits(later, "t", Coming.EARLY) for _ in range(1000))


def test_connections_are_paced_by_the_baseline_and_not_before_it_is_known() -> None:
    s, now = Storms(Rules(), random.Random(1), b"secret"), 1e6
    s.detector.state = State.STORM
    assert s.pace() == 0.0  # nothing is evaluated yet
    s.connected(now, 500)
    assert s.detector.window.baseline_connections == float("inf")
    assert s.pace() == 0.0  # a first connection is not a reconnect
    s.detector.state = State.CALM
    for _ in range(600):
        now += 100.0
        s.connected(now, 40)  # a baseline of 400 per second
    assert s.pace() == 0.0
    s.detector.state = State.STORM
    assert 700.0 < s.pace() < 900.0


def test_a_storm_does_not_feed_itself() -> None:
    s, now = storms_in_storm()
    s.detector.window.refused = 0
    for _ in range(3000):
        now += 2.0
        s.refused(now, 7, Coming.EARLY, False)  # refused by storm control alone
        s.arrived(now, b"first %f" % now, "t", False)
    assert s.detector.window.refused == 0
    assert s.state is State.CALM


def test_the_sketches_do_not_grow() -> None:
    s, now = storms_in_storm()
    before = s.size_bytes
    for i in range(30_000):
        now += 0.1
        coming, code, _ = s.arrived(now, b"made up %d" % i, f"tenant {i}", False)
        s.refused(now, code, coming, True)
    assert s.size_bytes == before < 400_000
    assert len(s.budget.buckets) <= s.budget.max_tenants
