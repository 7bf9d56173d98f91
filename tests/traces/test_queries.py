"""Expressions and their errors, causes, and the commands that read traces."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner

from honeywharf.cli import main
from honeywharf.traces import causes, language, store
from tests.traces.model import day


def row(**changes: object) -> dict[str, object]:
    texts = {k: frozenset[str]() for k, v in language.FIELDS.items() if v == language.TEXT}
    flags = {k: False for k, v in language.FIELDS.items() if v == language.BOOL}
    numbers = {k: 0.0 for k, v in language.FIELDS.items() if v == language.NUMBER}
    return {**texts, **flags, **numbers, **changes}


ROW = row(
    failed=True,
    attempts=2.0,
    duration=1500.0,
    zone=frozenset(("tartu", "parnu")),
    server=frozenset(("s1",)),
    **{"class": frozenset(("read",))},
)


@pytest.mark.parametrize(
    ("expression", "holds"),
    [
        ("failed", True),
        ("not failed", False),
        ('failed and attempts > 1 and zone = "tartu"', True),
        ("refused or served or attempts = 2", True),
        ('zone != "tartu"', False),  # One of the texts is equal.
        ('zone != "tallinn"', True),
        ('zone in ["tallinn", "parnu"]', True),
        ("attempts in [1, 3]", False),
        ("duration > 1 s and duration < 1500.5ms", True),
        ("duration >= 2 * 500 + 1000 / 2", True),
        ("duration / 0 > 1", True),
        ("not (failed or slow) or attempts - 1 = 1", True),
        ("failed = slow", False),
        ("duration > 2 * p50(class)", True),
        ("duration > p99(class)", False),
        ('reason = "crowded"', False),
    ],
)
def test_expression_selects_rows(expression: str, holds: bool) -> None:
    others = [row(duration=float(d), **{"class": frozenset(("read",))}) for d in range(1, 100)]
    found = language.compile_expression(expression).select([*others, ROW])
    assert (ROW in found) is holds


@pytest.mark.parametrize(
    ("expression", "position", "message"),
    [
        ("failed and", 10, ", got the end"),
        ("failed or or slow", 10, ", got 'or'"),
        ("attempts >", 10, ", got the end"),
        ('attempts > "2"', 11, "expected a number, got a text"),
        ('zone > "a"', 5, "expected = or != between a text and another, got '>'"),
        ("attempts", 0, "expected a boolean, got a number"),
        (
            'zona = "tartu"',
            0,
            "field: expected one of attempts, class, copied, duration, errors, failed, hop, hops,"
            " kept, late, node, outcome, reason, refused, request, retried, served,"
            " server, slow, tenant, trace, zone, got 'zona'",
        ),
        ("duration > p42(class)", 11, "function: expected p50, p90, p99, got 'p42'"),
        ("duration > p50(attempts)", 15, "expected a text, got a number"),
        ("failed % slow", 7, ", got '%'"),
        ("failed and attempts", 11, "expected a boolean, got a number"),
        (" and ".join(["slow"] * 201), 0, "expected at most 200 parts, got more"),
        ("failed" + " " * 2000, 0, "expected at most 2000 characters, got 2006"),
    ],
)
def test_error_gives_position_and_expectation(expression: str, position: int, message: str) -> None:
    with pytest.raises(language.ExpressionError, match=r"expected .*, got ") as fault:
        language.compile_expression(expression)
    assert message in str(fault.value)
    assert fault.value.position == position
    assert str(fault.value).splitlines()[2].index("^") == position + 2


def test_sampler_rule_allows_only_single_hop_fields() -> None:
    for expression in ("hops > 2", 'node = "n"', "duration > p50(class)"):
        with pytest.raises(language.ExpressionError):
            language.compile_expression(expression, language.SINGLE_HOP_FIELDS, allow_quantiles=False)
    assert (
        language.compile_expression(
            "duration > 5 ms", language.SINGLE_HOP_FIELDS, allow_quantiles=False
        ).needed_quantiles
        == ()
    )


PLANTED = {"server": "store-tartu-2", "zone": "tartu (store)", "tenant": "forest", "node": "store-1"}


@pytest.mark.parametrize("planted", PLANTED)
def test_planted_cause_is_reported_first(planted: str) -> None:
    hits = 0
    for seed in range(5):
        rows = list(store.rows_by_trace(day(seed, 3000, planted)))
        bad = [r for r in rows if r["failed"] or r["slow"]]
        found = causes.by_kind(bad, [r for r in rows if r["kept"] == {"ordinary"}])["unserved"]
        hits += bool(found) and (found[0].field, found[0].text) == (planted, PLANTED[planted])
    assert hits == 5


def test_no_cause_is_reported_without_faults() -> None:
    for seed in range(10):
        rows = list(store.rows_by_trace(day(seed, 3000)))
        bad = [r for r in rows if r["failed"] or r["slow"]]
        assert len(bad) >= causes.MIN_BAD_TRACES
        found = causes.by_kind(bad, [r for r in rows if r["kept"] == {"ordinary"}])
        assert found == {"unserved": [], "late": []}


def test_hops_are_sorted_without_comparing_clocks() -> None:
    hops = [h for h in day(1, 400) if h["kept"] == ["ordinary"]]
    complete = [r for r in store.rows_by_trace(hops) if r["hops"] == 3.0]
    assert len(complete) > 5
    for found in complete:
        spans = found["spans"]
        spans[0]["start_ms"] += 2000.0  # This hop's clock is 2 s ahead.
        again = store.callers_first([spans[2], spans[0], spans[1]])
        assert [h["hop"] for h in again] == ["front", "render", "store"]
        own = causes.own_times(found)
        assert sum(own.values()) == pytest.approx(found["duration"])


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "traces.jsonl"
    lines = [orjson.dumps(h) for h in day(5, 3000, "zone")]
    path.write_bytes(b"\n".join(lines) + b"\n" + lines[0][:50])  # The last line is truncated.
    return path


def test_commands_read_files(file: Path) -> None:
    def run_command(*arguments: str) -> tuple[int, str]:
        done = CliRunner().invoke(main, [*arguments])
        return done.exit_code, done.output

    status, printed = run_command("traces", "failed", str(file))
    assert status == 0
    assert "1 lines are no traces" in printed
    assert "failed" in printed
    assert run_command("traces", "duration > 1000 s", str(file))[0] == 1
    status, printed = run_command("traces", "zona", str(file))
    assert status == 2
    assert "server, slow, tenant, trace, zone, got 'zona'" in printed
    status, printed = run_command("traces", "failed", str(file), "--by", "zone", "--json")
    assert status == 0
    assert orjson.loads(printed[printed.index("[") :])[0]["zone"] == "tartu"
    assert run_command("traces", "failed", str(file), "--by", "duration")[0] == 2
    status, printed = run_command("causes", str(file), "--bad", "failed")
    assert status == 0
    assert "zone tartu" in printed
    assert "first fail at store" in printed
    status, printed = run_command("causes", str(file), "--json", "--bad", "failed")
    assert status == 0
    assert orjson.loads(printed[printed.index("{") :])["causes"][0]["text"] == "tartu (store)"
    hops, _ = store.read([file])
    name = next(h["request"] for h in hops if h["end"] == "failed" and h["hop"] == "front")
    status, printed = run_command("explain", name, str(file))
    assert status == 0
    assert "error after" in printed
    assert run_command("explain", "nobody", str(file))[0] == 1
