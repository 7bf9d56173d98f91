"""The table of keys: its states and limits."""

from __future__ import annotations

import sys
import tracemalloc
from typing import ClassVar

import pytest
from hypothesis import HealthCheck, settings as given_settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from honeywharf.orderkeys.table import (
    ENTRY_BYTES,
    Answer,
    State,
    Table,
    Verdict,
    digest,
    key_name,
    payload_digest,
)
from honeywharf.policy import interface as api

V = Verdict
TILE = Answer(b"tile", b"image/png")
PLACE = api.Earlier("a", 3, 100.0)
P, Q = payload_digest(b"POST", b"/api", b"one"), payload_digest(b"POST", b"/api", b"two")


def table(entries: int = 10, size: int = 10**6, whole: int = 100) -> Table:
    return Table(entries, size, whole)


def test_a_new_key_runs_a_running_key_is_joined_and_a_done_key_has_its_answer() -> None:
    t = table()
    claim = t.claim(b"k", "t", P, 0.0)
    assert (claim.verdict, claim.earlier) == (V.RUN, None)
    assert t.claim(b"k", "t", P, 1.0).verdict is V.JOIN
    assert t.finish(b"k", claim.fence, TILE, PLACE, 500.0)
    again = t.claim(b"k", "t", P, 2.0)
    assert (again.verdict, again.answer) == (V.ANSWER, TILE)
    assert t.claim(b"k", "t", P, 500.0).verdict is V.RUN  # the key has expired


def test_an_uncertain_key_keeps_the_place_of_its_first_attempt() -> None:
    t = table()
    claim = t.claim(b"k", "t", P, 0.0)
    t.settle(b"k", claim.fence, PLACE, 500.0)
    again = t.claim(b"k", "t", P, 1.0)
    assert (again.verdict, again.earlier) == (V.RUN, PLACE)
    t.settle(b"k", again.fence, api.Earlier("b", 9, 200.0), 600.0)
    assert t.claim(b"k", "t", P, 2.0).earlier == PLACE


def test_a_key_without_an_attempt_that_may_have_run_is_free() -> None:
    t = table()
    t.settle(b"k", t.claim(b"k", "t", P, 0.0).fence, None, 500.0)
    assert not t.entries
    assert t.held_bytes == 0


@pytest.mark.parametrize("state", list(State))
def test_another_payload_is_rejected_in_every_state(state: State) -> None:
    t = table()
    claim = t.claim(b"k", "t", P, 0.0)
    if state is State.DONE:
        t.finish(b"k", claim.fence, TILE, PLACE, 500.0)
    elif state is State.UNCERTAIN:
        t.settle(b"k", claim.fence, PLACE, 500.0)
    assert t.claim(b"k", "t", Q, 1.0).verdict is V.OTHER_PAYLOAD


def test_a_long_answer_leaves_its_digest_and_its_place() -> None:
    t = table(whole=3)
    claim = t.claim(b"k", "t", P, 0.0)
    t.finish(b"k", claim.fence, TILE, PLACE, 500.0)
    again = t.claim(b"k", "t", P, 1.0)
    assert (again.verdict, again.earlier) == (V.RUN, PLACE)
    assert again.digest == digest(TILE.body)
    t.settle(b"k", again.fence, None, 900.0)  # no answer this time, but the key stays done
    assert t.entries[b"k"].state is State.DONE


def test_calls_with_an_older_fencing_token_change_nothing() -> None:
    t = table()
    old = t.claim(b"k", "t", P, 0.0)
    t.settle(b"k", old.fence, PLACE, 500.0)
    new = t.claim(b"k", "t", P, 1.0)
    assert not t.finish(b"k", old.fence, TILE, PLACE, 500.0)
    assert not t.settle(b"k", old.fence, None, 500.0)
    assert t.claim(b"k", "t", P, 2.0).verdict is V.JOIN
    assert t.finish(b"k", new.fence, TILE, None, 500.0)
    assert not t.finish(b"k", new.fence, Answer(b"other"), None, 500.0)  # a key is finished only once


def test_tenants_and_classes_have_keys_of_their_own() -> None:
    names = {
        key_name(t, c, k)
        for t, c, k in (
            ("a", "order", b"k"),
            ("b", "order", b"k"),
            ("a", "pay", b"k"),
            ("ao", "rder", b"k"),
            ("a", "orde", b"rk"),
            ("1:a", "order", b"k"),
            ("\udcff", "order", b"k"),
        )
    }
    assert len(names) == 7
    assert all(len(n) == 16 for n in names)
    assert len(key_name("a", "order", b"\x00\xff" * 5000)) == 16


def test_a_full_table_drops_done_keys_and_refuses_new_ones_if_there_are_none() -> None:
    t = table(4)
    for i in range(2):
        t.finish(b"d%d" % i, t.claim(b"d%d" % i, "t", P, 0.0).fence, TILE, PLACE, 500.0)
    t.settle(b"u", t.claim(b"u", "t", P, 0.0).fence, PLACE, 500.0)
    assert t.claim(b"r", "t", P, 0.0).verdict is V.RUN
    assert t.claim(b"n", "u", P, 1.0).verdict is V.RUN  # d0 was dropped
    assert set(t.entries) == {b"d1", b"u", b"r", b"n"}
    assert t.claim(b"m", "v", P, 1.0).verdict is V.RUN  # d1 was dropped
    assert t.claim(b"x", "w", P, 1.0).verdict is V.FULL
    assert t.dropped == 2
    assert t.claim(b"u", "t", P, 1.0).earlier == PLACE  # the uncertain key was kept


def test_one_tenant_cannot_use_all_entries_or_push_out_the_done_keys_of_others() -> None:
    t = table(10)
    t.finish(b"other", t.claim(b"other", "quiet", P, 0.0).fence, TILE, PLACE, 1e9)
    verdicts = [t.claim(b"f%d" % i, "flood", P, 0.0).verdict for i in range(8)]
    assert verdicts == [V.RUN] * 5 + [V.FULL] * 3
    assert t.claim(b"mine", "quiet", P, 0.0).verdict is V.RUN
    for i in range(5):
        t.finish(b"f%d" % i, t.entries[b"f%d" % i].fence, TILE, PLACE, 1e9)
    for i in range(1000):
        t.finish(b"g%d" % i, t.claim(b"g%d" % i, "flood", P, 0.0).fence, TILE, PLACE, 1e9)
    assert t.claim(b"other", "quiet", P, 1.0).verdict is V.ANSWER
    assert len(t.entries) == 10


def test_bytes_are_bounded_and_nothing_is_left_after_a_flood_has_expired() -> None:
    t = table(10**6, 100_000, 1000)
    for i in range(5000):
        name = b"%d" % i
        claim = t.claim(name, "t", P, float(i))
        assert claim.verdict is V.RUN
        t.finish(name, claim.fence, Answer(b"x" * 500), PLACE, i + 100.0)
        assert t.held_bytes <= 100_000
    assert t.held_bytes == sum(e.bytes for e in t.entries.values())
    while t.expire(10**6):
        pass
    assert (t.held_bytes, t.entries, t.done, t.tenants_by_done, t.unsettled, t.expiries) == (
        0,
        {},
        {},
        {},
        {},
        {},
    )


@pytest.mark.skipif(sys.implementation.name != "cpython", reason="counts CPython's bytes")
def test_a_key_uses_no_more_memory_than_it_is_counted_for() -> None:
    names = [b"%016d" % i for i in range(20000)]
    t = table(10**6, 10**9, 1000)
    tracemalloc.start()
    for name in names:
        t.finish(name, t.claim(name, "t", P, 0.0).fence, Answer(b""), api.Earlier("a", 1, 1.0), 1.0)
    used = tracemalloc.get_traced_memory()[0] / len(names)
    tracemalloc.stop()
    assert ENTRY_BYTES / 2 < used <= ENTRY_BYTES


def test_a_table_without_room_for_a_key_is_an_error() -> None:
    with pytest.raises(ValueError, match="got 0 entries"):
        Table(0, 1000, 10)


class TableMachine(RuleBasedStateMachine):
    """Compares the table with a simple record of what has happened to each key."""

    def __init__(self) -> None:
        super().__init__()
        self.table, self.now = Table(4, 4 * ENTRY_BYTES + 200, 10), 0.0
        # The fencing token and earlier place of each running key.
        self.claims: dict[bytes, tuple[int, api.Earlier | None]] = {}
        self.ended_claims: list[tuple[bytes, int]] = []
        self.uncertain: dict[bytes, api.Earlier] = {}  # the place of each uncertain key, kept until `until`
        self.until: dict[bytes, float] = {}

    names = st.sampled_from([b"a", b"b", b"c", b"d", b"e", b"f"])
    tenants: ClassVar = {b"a": "s", b"b": "s", b"c": "s", b"d": "t", b"e": "t", b"f": "u"}

    @rule(name=names)
    def claim(self, name: bytes) -> None:
        got = self.table.claim(name, self.tenants[name], P, self.now)
        if name in self.claims:
            assert got.verdict is V.JOIN  # nobody else may run it
        elif got.verdict is V.RUN:
            if name in self.uncertain and self.until[name] > self.now:
                assert got.earlier == self.uncertain[name]  # never forgotten before it expires
            self.claims[name] = (got.fence, got.earlier)
        elif got.verdict is V.FULL:
            assert name not in self.table.entries
            assert (
                not self.table.max_done
                or not any(self.table.tenants_by_done.values())
                or (self.table.unsettled.get(self.tenants[name], 0) >= 2)
            )
            assert name not in self.uncertain or self.until[name] <= self.now

    @precondition(lambda self: self.claims)
    @rule(data=st.data(), ran=st.booleans(), size=st.integers(0, 30), keep=st.floats(1.0, 50.0))
    def end(self, data: st.DataObject, ran: bool, size: int, keep: float) -> None:
        name = data.draw(st.sampled_from(sorted(self.claims)))
        fence, earlier = self.claims.pop(name)
        place = api.Earlier("z", fence, self.now) if ran else None
        if size > 20 and ran:
            assert self.table.finish(name, fence, Answer(b"x" * size), place, self.now + keep)
            self.uncertain.pop(name, None)
        else:
            assert self.table.settle(name, fence, place, self.now + keep)
            first = earlier or place
            entry = self.table.entries.get(name)
            if first is not None and entry is not None and entry.state is State.UNCERTAIN:
                self.uncertain[name] = first
                self.until[name] = entry.expires_ms
        self.ended_claims.append((name, fence))

    @precondition(lambda self: self.ended_claims)
    @rule(data=st.data())
    def late(self, data: st.DataObject) -> None:
        name, fence = data.draw(st.sampled_from(self.ended_claims))
        assert not self.table.finish(name, fence, TILE, None, 1e9)
        assert not self.table.settle(name, fence, None, 1e9)

    @rule(ms=st.floats(0.0, 40.0))
    def pass_time(self, ms: float) -> None:
        self.now += ms
        self.table.expire(self.now)

    @invariant()
    def within_bounds(self) -> None:
        t = self.table
        assert len(t.entries) <= 4
        assert t.held_bytes <= t.max_bytes
        assert t.held_bytes == sum(e.bytes for e in t.entries.values())
        assert sum(t.unsettled.values()) == sum(e.state is not State.DONE for e in t.entries.values())
        assert sum(map(len, t.done.values())) == sum(e.state is State.DONE for e in t.entries.values())
        assert set(t.expiries) == {n for n, e in t.entries.items() if e.state is not State.RUNNING}
        for name, until in self.until.items():  # an uncertain key stays until it expires
            if name in self.uncertain and until > self.now:
                assert name in t.entries


TestTableMachine = TableMachine.TestCase
TestTableMachine.settings = given_settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
