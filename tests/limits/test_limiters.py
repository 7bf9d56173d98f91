"""Each limiter by itself, and the guarantees of all of them."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings, strategies as st

from honeywharf import limits

TARGET = 800.0


def after_first_answer(first: float = 2.0) -> limits.LatenessLimiter:
    """Returns the default limiter after one answer of an unloaded server with little in flight."""
    limiter = limits.LatenessLimiter(first)
    limiter.learn(0.001, 100.0, 100.0, TARGET, 1.0)
    return limiter


def teach(
    limiter: limits.Limiter,
    seconds: float,
    latency_ms: float,
    *,
    base_ms: float = 100.0,
    utilization: float = 1.0,
    start_ms: float = 1000.0,
    dropped: bool = False,
) -> None:
    """Feeds equal answers, one per 10 ms, with `utilization` of the limit in flight."""
    for i in range(int(seconds * 100)):
        limiter.learn(
            start_ms + 10.0 * i, latency_ms, base_ms, TARGET, limiter.limit * utilization, dropped=dropped
        )


def test_littles_law_gives_the_calls_that_end_in_time() -> None:
    assert limits.littles_law(800.0, 0.2) == pytest.approx(4000.0)
    assert limits.littles_law(800.0, 200.0) == 4.0
    assert limits.littles_law(800.0, 1000.0) == 1.0  # one call is always allowed
    assert limits.littles_law(800.0, 0.0) == limits.MAX_LIMIT


def test_an_answer_far_within_the_target_is_never_late() -> None:
    """Guards against refusing most requests to servers without load (0.2 ms answers, target 2000 ms)."""
    strict, default = limits.base_time_only(1.0), after_first_answer(1.0)
    for limiter in (strict, default):
        teach(limiter, 10.0, 0.5, base_ms=0.2)
    assert strict.limit == 0.25  # the minimum, as an answer of 0.5 ms counts as very late
    assert default.limit >= 200.0 / 0.2


def test_a_single_proxys_limit_is_open_until_the_first_answer() -> None:
    shared = limits.LatenessLimiter(1.0, 0.5)
    assert shared.limit == 1.0  # the others' calls are unknown, and may already fill the servers
    limiter = limits.LatenessLimiter(1.0)
    assert limiter.limit == 64.0
    limiter.learn(1.0, 100.0, 100.0, TARGET, 8.0)
    assert limiter.limit == pytest.approx(10.0, rel=1e-3)
    quiet = limits.LatenessLimiter(1.0)
    quiet.learn(1.0, 100.0, 100.0, TARGET, 0.1)
    assert quiet.limit == pytest.approx(200.0 / 100.0)  # Little's law, without load


def test_servers_slow_without_load_are_not_kept_at_the_minimum() -> None:
    """Guards against a zone that answers in 1000 ms of the allowed 2000, and always counts as overloaded."""
    strict, default = limits.base_time_only(2.0), after_first_answer(2.0)
    for limiter in (strict, default):
        teach(limiter, 10.0, 1000.0, base_ms=1000.0)
    assert strict.limit == 0.5
    assert default.limit > 2.0


def test_late_answers_lower_the_limit_within_seconds_and_good_ones_raise_it() -> None:
    limiter = after_first_answer()
    teach(limiter, 3.0, 100.0)
    high = limiter.limit
    teach(limiter, 3.0, 1600.0, start_ms=4000.0)
    minimum = limiter.limit
    assert minimum == 0.25 * limiter.first_limit < high / 4.0
    teach(limiter, 3.0, 100.0, start_ms=7000.0)
    assert limiter.limit >= limiter.first_limit


def test_the_limit_grows_only_while_in_use_and_only_slowly() -> None:
    """Answers show a limit one round trip late, and the calls admitted by then must not overload servers."""
    limiter = after_first_answer(4.0)
    teach(limiter, 2.0, 100.0, utilization=0.5)
    assert limiter.limit == 4.0
    limiter.limit = 8.0
    teach(limiter, 1.0, 100.0, start_ms=3000.0)
    assert 8.0 < limiter.limit < 12.0
    teach(limiter, 1.0, 400.0, start_ms=4000.0)
    assert limiter.limit < 4.0  # lowering is faster


def test_a_full_server_may_drain_below_littles_law() -> None:
    """The bound by Little's law does not apply to servers that drop calls."""
    limiter = after_first_answer(2.0)
    teach(limiter, 2.0, 100.0, base_ms=1.0, dropped=True)
    assert limiter.limit == 0.5


def test_the_limit_moves_with_time_not_with_the_number_of_answers() -> None:
    sparse, dense = after_first_answer(8.0), after_first_answer(8.0)
    for limiter, step in ((sparse, 100.0), (dense, 5.0)):
        now = 1000.0
        limiter.lateness = 2.0
        while now < 1600.0:
            now += step
            limiter.learn(now, 400.0, 100.0, TARGET, 8.0)
    assert sparse.limit == pytest.approx(dense.limit, rel=0.35)


def test_vegas_keeps_few_calls_waiting() -> None:
    limiter = limits.VegasLimiter(4.0)
    for i in range(2000):  # a server takes 10 calls per 100 ms, and further calls wait
        latency = 100.0 * max(1.0, limiter.limit / 10.0)
        limiter.learn(float(i), latency, 100.0, TARGET, limiter.limit)
    assert 10.0 < limiter.limit < 20.0


def test_aimd_lowers_once_per_round_trip() -> None:
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


def test_codel_reacts_to_standing_queues_not_to_bursts() -> None:
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
        assert 0.0 < limiter.limit <= limits.MAX_LIMIT


def test_invalid_arguments_are_rejected() -> None:
    with pytest.raises(ValueError, match=r"first limit: expected more than 0 calls, got -1"):
        limits.VegasLimiter(-1.0)
    with pytest.raises(ValueError, match=r"limiter: expected one of aimd, .*, got 'red'"):
        limits.make("red", 1.0)
    with pytest.raises(ValueError, match="aim: expected more than 0 ms, got 0"):
        limits.LoopLimiter(0)


def test_the_loop_limiter_sheds_while_every_turn_is_long_and_recovers() -> None:
    loop = limits.LoopLimiter(2000.0)  # the target is turns of 100 ms
    for i in range(200):  # single long turns among short ones do not count
        loop.learn(25.0 * i, 400.0 if i % 3 else 1.0)
    assert loop.share == 1.0
    for i in range(50):
        loop.learn(6000.0 + 150.0 * i, 150.0)
    assert loop.share == pytest.approx(0.1)
    assert sum(loop.accepts(i / 100.0) for i in range(100)) == 10
    for i in range(40):
        loop.learn(20000.0 + 100.0 * i, 1.0)
    assert loop.share == 1.0
