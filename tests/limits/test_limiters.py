"""Each limiter by itself, and what all of them promise."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings, strategies as st

from honeywharf import limits

TARGET = 800.0


def settled(first: float = 2.0) -> limits.LatenessLimiter:
    """The limiter in use after one answer at ease, which found little in flight."""
    limiter = limits.LatenessLimiter(first)
    limiter.learn(0.001, 100.0, 100.0, TARGET, 1.0)
    return limiter


def teach(
    limiter: limits.Limiter,
    seconds: float,
    latency_ms: float,
    *,
    base_ms: float = 100.0,
    use: float = 1.0,
    start_ms: float = 1000.0,
    dropped: bool = False,
) -> None:
    """Answers all alike, one each 10 ms, with such a part of the limit in flight."""
    for i in range(int(seconds * 100)):
        limiter.learn(start_ms + 10.0 * i, latency_ms, base_ms, TARGET, limiter.limit * use, dropped=dropped)


def test_littles_law_counts_calls_that_end_in_time() -> None:
    assert limits.littles_law(800.0, 0.2) == pytest.approx(4000.0)
    assert limits.littles_law(800.0, 200.0) == 4.0
    assert limits.littles_law(800.0, 1000.0) == 1.0  # one call is always taken
    assert limits.littles_law(800.0, 0.0) == limits.MOST


def test_a_fast_answer_is_never_late_however_it_compares_with_the_fastest() -> None:
    """Guards against refusing nine of ten requests where nothing is crowded (0.2 ms answers, aim 2000 ms)."""
    old, new = limits.formerly(1.0), settled(1.0)
    for limiter in (old, new):
        teach(limiter, 10.0, 0.5, base_ms=0.2)
    assert old.limit == 0.25  # its floor: an answer of 0.5 ms counted as very late
    assert new.limit >= 200.0 / 0.2


def test_alone_the_limit_is_open_until_the_first_answer_and_then_what_was_in_flight() -> None:
    shared = limits.LatenessLimiter(1.0, 0.5)
    assert shared.limit == 1.0  # what the others hold is not known, and may jam the servers already
    limiter = limits.LatenessLimiter(1.0)
    assert limiter.limit == 64.0
    limiter.learn(1.0, 100.0, 100.0, TARGET, 8.0)
    assert limiter.limit == pytest.approx(10.0, rel=1e-3)
    quiet = limits.LatenessLimiter(1.0)
    quiet.learn(1.0, 100.0, 100.0, TARGET, 0.1)
    assert quiet.limit == pytest.approx(200.0 / 100.0)  # Little's law, at ease


def test_servers_slow_at_ease_are_not_held_at_the_floor() -> None:
    """Guards against a zone that answers in 1000 ms of the 2000 wanted, and counts as a crowd for ever."""
    old, new = limits.formerly(2.0), settled(2.0)
    for limiter in (old, new):
        teach(limiter, 10.0, 1000.0, base_ms=1000.0)
    assert old.limit == 0.5
    assert new.limit > 2.0


def test_late_answers_lower_it_within_seconds_and_good_ones_raise_it_from_the_floor() -> None:
    limiter = settled()
    teach(limiter, 3.0, 100.0)
    high = limiter.limit
    teach(limiter, 3.0, 1600.0, start_ms=4000.0)
    floor = limiter.limit
    assert floor == 0.25 * limiter.first < high / 4.0
    teach(limiter, 3.0, 100.0, start_ms=7000.0)
    assert limiter.limit >= limiter.first


def test_it_grows_only_where_it_is_used_and_does_not_run_away() -> None:
    """Answers tell of a limit a round trip late: what is let in by then must not jam the servers."""
    limiter = settled(4.0)
    teach(limiter, 2.0, 100.0, use=0.5)
    assert limiter.limit == 4.0
    limiter.limit = 8.0
    teach(limiter, 1.0, 100.0, start_ms=3000.0)
    assert 8.0 < limiter.limit < 12.0
    teach(limiter, 1.0, 400.0, start_ms=4000.0)
    assert limiter.limit < 4.0  # lowering is the faster way


def test_a_jam_is_let_drain_below_littles_law() -> None:
    """What Little's law allows holds only where nothing bad is known: dropped calls are known."""
    limiter = settled(2.0)
    teach(limiter, 2.0, 100.0, base_ms=1.0, dropped=True)
    assert limiter.limit == 0.5


def test_the_pace_is_by_time_not_by_answers() -> None:
    sparse, dense = settled(8.0), settled(8.0)
    for limiter, step in ((sparse, 100.0), (dense, 5.0)):
        now = 1000.0
        limiter.lateness = 2.0
        while now < 1600.0:
            now += step
            limiter.learn(now, 400.0, 100.0, TARGET, 8.0)
    assert sparse.limit == pytest.approx(dense.limit, rel=0.35)


def test_vegas_keeps_few_calls_waiting() -> None:
    limiter = limits.VegasLimiter(4.0)
    for i in range(2000):  # a server of 10 calls in 100 ms, beyond which calls wait
        latency = 100.0 * max(1.0, limiter.limit / 10.0)
        limiter.learn(float(i), latency, 100.0, TARGET, limiter.limit)
    assert 10.0 < limiter.limit < 20.0


def test_aimd_lowers_once_in_a_round_trip() -> None:
    limiter = limits.AimdLimiter(10.0)
    for i in range(50):
        limiter.learn(float(i), 900.0, 100.0, TARGET, 10.0)
    assert limiter.limit == pytest.approx(9.0)


def test_gradient_follows_a_ten_times_slower_server_and_back() -> None:
    limiter = limits.GradientLimiter(20.0)
    teach(limiter, 2.0, 10.0)
    high = limiter.limit
    teach(limiter, 0.5, 100.0, start_ms=3000.0)
    low = limiter.limit
    teach(limiter, 3.0, 10.0, start_ms=4000.0)
    assert low < high / 2.0 < limiter.limit


def test_codel_heeds_standing_queues_not_bursts() -> None:
    burst, standing = limits.CodelLimiter(10.0), limits.CodelLimiter(10.0)
    for i in range(200):
        burst.learn(10.0 * i, 100.0 if i % 10 == 0 else 700.0, 100.0, TARGET, burst.limit)
        standing.learn(10.0 * i, 700.0, 100.0, TARGET, standing.limit)
    assert burst.limit >= 10.0
    assert standing.limit < 8.0


@pytest.mark.parametrize("name", sorted(limits.LIMITERS))
@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 5000.0),
            st.floats(0.0, 30000.0),
            st.floats(0.0, 5000.0),
            st.floats(0.0, 1e6),
            st.booleans(),
        ),
        max_size=60,
    )
)
@settings(max_examples=60, deadline=None)
def test_every_limit_stays_finite_positive_and_bounded(
    name: str,
    answers: list[tuple[float, float, float, float, bool]],
) -> None:
    limiter, now = limits.make(name, 2.0, 0.5), 1000.0
    for wait, latency, base, held, dropped in answers:
        now += wait
        limiter.learn(now, latency, base, TARGET, held, dropped=dropped)
        assert math.isfinite(limiter.limit)
        assert 0.0 < limiter.limit <= limits.MOST


def test_bad_figures_are_told() -> None:
    with pytest.raises(ValueError, match=r"first limit: more than 0 calls are wanted, not -1"):
        limits.VegasLimiter(-1.0)
    with pytest.raises(ValueError, match=r"limiter: one of aimd, .* is wanted, not 'red'"):
        limits.make("red", 1.0)
    with pytest.raises(ValueError, match="aim: more than 0 ms is wanted, not 0"):
        limits.LoopLimiter(0)


def test_the_loops_limit_sheds_while_every_turn_is_long_and_opens_again() -> None:
    loop = limits.LoopLimiter(2000.0)  # turns of 100 ms are the bound
    for i in range(200):  # single long turns among short ones are none of its business
        loop.learn(25.0 * i, 400.0 if i % 3 else 1.0)
    assert loop.share == 1.0
    for i in range(50):
        loop.learn(6000.0 + 150.0 * i, 150.0)
    assert loop.share == pytest.approx(0.1)
    assert sum(loop.takes(i / 100.0) for i in range(100)) == 10
    for i in range(40):
        loop.learn(20000.0 + 100.0 * i, 1.0)
    assert loop.share == 1.0
