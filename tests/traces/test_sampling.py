"""Trace context, and the decisions and limits of the sampler."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings, strategies as st

from honeywharf.policy import interface as api
from honeywharf.traces import context
from honeywharf.traces.sampler import MAX_FURTHER_PARTS, MIN_ANSWERS, Sampler, Sampling
from honeywharf.traces.spans import HopTrace
from tests.traces.model import attempt, day, hop

ID, SPAN = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
GOOD = f"00-{ID}-{SPAN}-01".encode()


@pytest.mark.parametrize(
    ("parents", "found", "fault"),
    [
        ([], False, ""),
        ([GOOD], True, ""),
        ([b" " + GOOD + b"\t"], True, ""),
        ([GOOD, GOOD], False, "twice"),
        ([GOOD.upper()], False, "parent"),
        ([GOOD[:-1]], False, "parent"),
        ([GOOD + b"-more"], False, "parent"),
        ([b"cc" + GOOD[2:] + b"-what comes later"], True, ""),  # A later version is read by its first fields.
        ([b"cc" + GOOD[2:] + b"."], False, "parent"),
        ([b"ff" + GOOD[2:]], False, "parent"),
        ([f"00-{'0' * 32}-{SPAN}-01".encode()], False, "parent"),
        ([f"00-{ID}-{'0' * 16}-01".encode()], False, "parent"),
        ([b"x" * 10_000], False, "parent"),
        ([b"\xff\x00"], False, "parent"),
    ],
)
def test_invalid_context_begins_a_new_trace(parents: list[bytes], found: bool, fault: str) -> None:
    parsed, wrong = context.parse(parents, [b"a=1"])
    assert (parsed is not None, wrong) == (found, fault)
    if parsed is not None:
        assert (parsed.trace_id, parsed.parent_id, parsed.trace_state) == (ID, SPAN, "a=1")


@pytest.mark.parametrize(
    ("states", "kept", "bad", "fault"),
    [
        ([b"a=1,b=2"], "a=1,b=2", False, ""),
        ([b"a=1", b" b=2 ,"], "a=1,b=2", False, ""),
        ([b"hw=bad,a=1"], "a=1", True, ""),
        ([b"a=1,hw=good"], "a=1", False, ""),
        ([b"a=1,a=2"], "", False, "state"),
        ([b"A=1"], "", False, "state"),
        ([b",".join(b"k%d=1" % i for i in range(33))], "", False, "state"),
        ([b"a=" + b"x" * 200 + b",b=1"], "a=" + "x" * 200 + ",b=1", False, ""),
        ([b"a=" + b"x" * 200 + b",b=" + b"y" * 200 + b",c=" + b"z" * 120], "c=" + "z" * 120, False, "state"),
        ([b"a=" + b"x" * 10_000], "", False, "state"),
    ],
)
def test_tracestate_is_propagated_within_its_limit(
    states: list[bytes],
    kept: str,
    bad: bool,
    fault: str,
) -> None:
    parsed, wrong = context.parse([GOOD], states, trusts=True)
    assert parsed is not None
    assert (parsed.trace_state, parsed.bad, wrong) == (kept, bad, fault)
    assert len(parsed.trace_state) <= context.MAX_TRACE_STATE_CHARS


@given(st.lists(st.binary(max_size=80), max_size=3), st.lists(st.binary(max_size=80), max_size=3))
@settings(deadline=None)
def test_parsed_context_is_propagated_as_a_valid_one(parents: list[bytes], states: list[bytes]) -> None:
    for given_parents in (parents, [GOOD]):
        parsed, _ = context.parse(given_parents, states, trusts=True)
        if parsed is None:
            continue
        lines = context.request_header_lines(
            parsed.trace_id, SPAN, parsed.flags, parsed.trace_state, bad=True
        ).split(b"\r\n")
        values = dict(line.split(b": ", 1) for line in lines if line)
        again, fault = context.parse([values[b"traceparent"]], [values[b"tracestate"]], trusts=True)
        assert again is not None
        assert (again.trace_id, again.trace_state, again.bad, fault) == (
            parsed.trace_id,
            parsed.trace_state,
            True,
            "",
        )


FORGED = f"00-{ID[:18]}{'f' * 14}-{SPAN}-03".encode()


@pytest.mark.parametrize(
    ("trusts", "states", "randomness", "propagated"),
    [
        (True, [], "f" * 14, ""),
        (True, [b"ot=rv:00000000000001,a=1"], "00000000000001", "ot=rv:00000000000001,a=1"),
        (True, [b"ot=th:0;rv:00000000000001"], "00000000000001", "ot=th:0;rv:00000000000001"),
        (True, [b"ot=rv:0001,a=1"], "f" * 14, "a=1"),  # The member is invalid.
        (False, [], "", ""),
        (False, [b"ot=rv:ffffffffffffff,a=1", b"hw=bad"], "", "a=1"),
    ],
)
def test_randomness_is_accepted_only_from_trusted_callers(
    trusts: bool,
    states: list[bytes],
    randomness: str,
    propagated: str,
) -> None:
    parsed, fault = context.parse([FORGED], states, trusts=trusts)
    assert parsed is not None
    assert (parsed.randomness, parsed.trace_state, parsed.bad, fault) == (randomness, propagated, False, "")


def test_trusted_trace_id_without_random_flag_has_no_randomness() -> None:
    parsed, _ = context.parse([FORGED[:-2] + b"01"], [], trusts=True)
    assert parsed is not None
    assert parsed.randomness == ""


@given(st.floats(1e-18, 1.0), st.integers(0, 2**56 - 1))
@settings(deadline=None)
def test_hex_digits_compare_with_the_threshold_as_numbers_do(rate: float, number: int) -> None:
    assert (f"{number:014x}" >= context.threshold(rate)) == (number >= round((1.0 - rate) * 2**56))


@pytest.mark.parametrize("first", ["held", "bad"])
def test_one_bad_part_keeps_a_limited_number_of_other_parts(first: str) -> None:
    found: list[HopTrace] = []
    s, bad = sampler(found, trusts=False), hop(ID, "failed")
    s.answered(bad)
    if first == "bad":
        s.settled(0.0, bad)
    for i in range(10 * MAX_FURTHER_PARTS):
        s.settled(1.0 + i / 10.0, hop(ID, at=float(i)))
    if first == "held":
        s.settled(400.0, bad)
    assert len(found) == 1 + MAX_FURTHER_PARTS
    assert s.counts["told over"] == 9 * MAX_FURTHER_PARTS
    assert sum(h.weight for h in found) == len(found)  # No weight is above 1.


def test_traceresponse_counts_only_for_its_own_trace() -> None:
    for bad in (False, True):
        line = context.response_header_line(ID, SPAN, bad=bad).strip().split(b": ")[1]
        assert context.kept_below(line, ID) is bad
        assert not context.kept_below(line, "1" * 32)
    assert not context.kept_below(b"nonsense", ID)


def sampler(kept: list[HopTrace], trusts: bool = True, *, changes: dict[str, int] | None = None) -> Sampler:
    rules = Sampling(**{"rate": 1e-9, "hold_ms": 1000.0, **(changes or {})})  # type: ignore[arg-type]
    return Sampler(rules, {"read": 100.0}, kept.append, trusts=trusts)


def retried(h: HopTrace) -> None:
    h.attempts += [attempt(api.Outcome.TIMEOUT), attempt(api.Outcome.OK, 1)]


def late(h: HopTrace) -> None:
    h.attempts.append(attempt(api.Outcome.RESET))
    h.attempts[0].after_answer = True


@pytest.mark.parametrize(
    ("how", "took", "what", "kept"),
    [
        ("served", 10.0, None, []),
        ("gone", 10.0, None, []),
        ("served", 101.0, None, ["slow"]),
        ("refused", 1.0, None, ["refused"]),
        ("failed", 1.0, None, ["failed"]),
        ("overdue", 1.0, None, ["failed"]),
        ("served", 10.0, retried, ["retried"]),
        ("served", 10.0, late, ["late attempt"]),
    ],
)
def test_bad_traces_are_kept_and_ordinary_ones_are_pending(
    how: str,
    took: float,
    what: object,
    kept: list[str],
) -> None:
    found: list[HopTrace] = []
    s, h = sampler(found), hop("00" * 16, how, took)
    if callable(what):
        what(h)
    s.answered(h)
    s.settled(took, h)
    assert h.kept == kept
    assert found == ([h] if kept else [])
    assert len(s.pending) == (0 if kept else 1)


def test_answer_beyond_the_learned_quantile_is_slow() -> None:
    found: list[HopTrace] = []
    s, rng = sampler(found), random.Random(1)
    for i in range(4 * MIN_ANSWERS):
        h = hop(f"{i:032x}", "served", rng.uniform(9.0, 11.0))
        s.answered(h)
    latency_quantile = s.latency_quantiles["read"]
    assert 10.5 < latency_quantile.slow_threshold_ms < 11.8
    h = hop("f" * 32, "served", 20.0)
    assert s.answered(h)
    assert h.kept == ["slow"]


def test_answers_of_equal_duration_are_not_slow() -> None:
    s = sampler([])
    late = sum(s.answered(hop(f"{i:032x}", "served", 15.0)) for i in range(10 * MIN_ANSWERS))
    assert late == 0


@pytest.mark.parametrize("after", [False, True])
def test_note_exports_pending_and_later_parts(after: bool) -> None:
    found: list[HopTrace] = []
    s, h = sampler(found), hop("00" * 16)
    for step in (0, 1) if after else (1, 0):
        if step:
            s.settled(10.0, h)
        else:
            s.keep_trace(10.0, h.trace_id)
    assert found == [h]
    assert h.kept == ["told"]
    assert (len(s.pending), s.pending_bytes) == (0, 0)


def test_untrusted_client_cannot_force_traces_to_be_kept() -> None:
    for trusts in (False, True):
        found: list[HopTrace] = []
        s = sampler(found, trusts)
        for i in range(100):
            h = hop(f"{i:032x}", at=float(i))
            s.began(float(i), h, True, h.trace_id[-context.RANDOM_DIGITS :])
            s.answered(h)
            s.settled(float(i), h)
        assert len(found) == (100 if trusts else 0)


@pytest.mark.parametrize("bound", [{"max_pending": 50}, {"max_pending_bytes": 50 * 1600}])
def test_pending_traces_are_limited_and_dropped_ones_counted(bound: dict[str, int]) -> None:
    found: list[HopTrace] = []
    s = sampler(found, changes=bound)
    for i in range(500):
        h = hop(f"{i:032x}", at=0.0)
        h.attempts.append(attempt(api.Outcome.OK))
        s.settled(0.0, h)
        s.keep_trace(0.0, f"{i + 10_000:032x}")
        assert len(s.pending) <= len(s.queue) <= 50
        assert s.pending_bytes <= 50 * 1600
        assert len(s.kept_traces) <= s.settings.max_pending
    assert s.counts["no room"] == 450
    assert f"{499:032x}" in s.pending
    s.expire(10_000.0)
    assert (len(s.pending), len(s.queue), s.pending_bytes, len(s.kept_traces), s.counts["held out"]) == (
        0,
        0,
        0,
        0,
        50,
    )


def test_hops_keep_the_same_ordinary_traces_with_unbiased_weights() -> None:
    kept = day(3, 20_000)
    by: dict[str, set[str]] = {}
    for h in kept:
        if h["kept"] == ["ordinary"]:
            by.setdefault(h["hop"], set()).add(h["trace_id"])
    fronts = [h for h in kept if h["hop"] == "front"]
    # A trace that is slow at one hop alone is kept there as a bad one.
    assert by["front"] <= by["render"] <= by["store"]
    estimated = sum(h["weight"] for h in fronts if h["kept"] == ["ordinary"])
    bad = sum(h["kept"] != ["ordinary"] for h in fronts)
    assert abs(estimated + bad - 20_000) < 4 * (20_000 / 0.05) ** 0.5


def test_downstream_failure_is_kept_at_every_upstream_hop() -> None:
    kept = day(4, 5000)
    failed = {h["trace_id"] for h in kept if h["end"] == "failed"}
    assert len(failed) > 3
    for name in ("front", "render", "store"):
        assert failed <= {h["trace_id"] for h in kept if h["hop"] == name}
