"""One proxy's side of a shared store, without a store: its bounds, its breaker, what it owes."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from honeywharf.orderkeys import shared
from honeywharf.orderkeys.shared import UNKNOWN, Rules, Shared
from honeywharf.orderkeys.table import Answer, Claim, Table, Verdict
from honeywharf.policy import interface as api

V = Verdict
PLACE = api.Earlier("a", 3, 900.0)


class Link:
    """Notes what is written."""

    def __init__(self) -> None:
        self.written: list[tuple[str, tuple[Any, ...]]] = []
        self.resets = 0

    def send(self, script: str, arguments: tuple[object, ...]) -> None:
        self.written.append((script, arguments))

    def reset(self) -> None:
        self.resets += 1


class Asker:
    def __init__(self) -> None:
        self.got: list[Claim] = []

    def claimed(self, claim: Claim) -> None:
        self.got.append(claim)


class Side:
    """One side, its clock set by hand; the store's clock is 5,000,000 ms ahead."""

    def __init__(self, **rules: Any) -> None:
        self.now, self.link = 1000.0, Link()
        self.counts: Counter[str] = Counter()
        self.noticed: list[bytes] = []

        def count(what: str) -> None:
            self.counts[what] += 1

        self.shared = Shared(
            Rules(100, 10**6, 1000, **{"wait_ms": 100.0, **rules}),
            self.link,
            lambda: self.now,
            self.noticed.append,
            count,
        )
        assert self.shared.opened(5_001_000.0, "noeviction") == ""

    def ask(self, name: bytes = b"k") -> Asker:
        asker = Asker()
        assert self.shared.claim(name, "t", b"p", 500.0, 9000.0, 0.0, asker)
        return asker

    def end(
        self,
        name: bytes,
        fence: int,
        answer: Answer | None = None,
        place: api.Earlier | None = None,
    ) -> None:
        self.shared.end(name, fence, "t", b"p", answer, place, 9000.0)

    def scripts(self) -> list[str]:
        return [script for script, _ in self.link.written]


def test_each_claim_has_its_own_answer_in_the_order_of_asking() -> None:
    s = Side()
    askers = [s.ask(b"%d" % i) for i in range(5)]
    s.now += 20.0
    store = 5_001_020
    for reply in (
        [b"run", store],
        [b"run", store, b"", b"b", b"7", 40],
        [b"run", store, b""],
        [b"join", store, 300],
        [b"answer", store, b"image/png\nti\nle"],
    ):
        s.shared.reply(reply)
    got = [a.got for a in askers]
    assert [g[0].verdict for g in got] == [V.RUN, V.RUN, V.RUN, V.JOIN, V.ANSWER]
    assert got[0][0].earlier is None
    earlier = got[1][0].earlier
    assert earlier == api.Earlier("b", 7, 960.0)  # counted back from the asking, not from the reply
    assert got[2][0].earlier == UNKNOWN
    assert got[3][0].wait_ms == 300.0
    answer = got[4][0].answer
    assert answer is not None
    assert (answer.kind, answer.body) == (b"image/png", b"ti\nle")
    assert len({got[i][0].fence for i in range(3)}) == 3


@pytest.mark.parametrize(
    ("reply", "verdict"),
    [
        ([b"payload", 1], V.OTHER_PAYLOAD),
        ([b"full", 1], V.FULL),
        ([b"busy", 1], V.BUSY),
        ([b"young", 1, 50], V.AWAY),
        ([b"late", 1], V.AWAY),
        ("OOM command not allowed", V.FULL),
        ("READONLY You can't write against a read only replica.", V.AWAY),
        ([b"answer", 1, None], V.AWAY),
    ],
)
def test_what_is_no_claim_is_told_as_what_it_is(reply: Any, verdict: Verdict) -> None:
    s = Side()
    asker = s.ask()
    s.shared.reply(reply)
    assert [c.verdict for c in asker.got] == [verdict]


def test_the_first_claim_that_waits_too_long_opens_the_breaker_and_nothing_is_asked_until_it_closes() -> None:
    s = Side()
    first, second = s.ask(b"a"), s.ask(b"b")
    s.now += 99.0
    s.shared.woken()
    assert not first.got
    s.now += 1.0
    s.shared.woken()
    assert [a.got[0].verdict for a in (first, second)] == [V.AWAY, V.AWAY]
    assert not s.shared.claim(b"c", "t", b"p", 500.0, 9000.0, 0.0, Asker())
    s.shared.reply([b"run", 5_001_100])
    assert not s.shared.available()  # the second is still out
    assert s.link.written[-1][0] == "end"  # what nobody waits for is given back
    assert s.link.written[-1][1][2] == "none"
    s.shared.reply([b"join", 5_001_100, 10])
    s.shared.reply([1, 5_001_100])
    assert s.shared.available()
    assert [len(a.got) for a in (first, second)] == [1, 1]
    assert not s.shared.owed


def test_a_store_that_stays_silent_is_connected_to_anew_once_a_second() -> None:
    s = Side()
    s.ask()
    s.now += 100.0
    s.shared.woken()
    assert s.shared.next_ms() == s.now + shared.DEAD_MS
    s.now += 999.0
    s.shared.woken()
    assert s.link.resets == 0
    s.now += 1.0
    s.shared.woken()
    assert s.link.resets == 1


def test_a_connection_that_is_lost_answers_who_waits_and_gives_back_what_may_have_been_taken() -> None:
    s = Side()
    asker, sure = s.ask(b"a"), list[bool]()
    assert s.shared.note(b"b", 7, PLACE, sure.append)
    s.end(b"c", 8, Answer(b"tile"), PLACE)
    s.shared.closed()
    assert asker.got[0].verdict is V.AWAY
    assert sure == [False]
    assert not s.shared.note(b"b", 7, PLACE)
    assert s.shared.knows_of(b"c")
    assert not s.shared.knows_of(b"a")
    s.link.written.clear()
    s.shared.opened(5_001_000.0, "noeviction")
    assert [(a[0], a[2]) for _, a in s.link.written] == [(b"c", "answer"), (b"a", "none")]
    for _ in range(2):
        s.shared.reply([1, 5_001_000])
    assert not s.shared.owed
    assert not s.shared.ran
    assert s.shared.owed_bytes == 0


def test_an_end_that_the_store_refuses_stays_owed() -> None:
    s = Side()
    s.end(b"a", 1, None, PLACE)
    s.shared.reply("NOSCRIPT No matching script.")
    assert s.shared.knows_of(b"a")
    s.shared.closed()
    s.shared.opened(5_001_000.0, "noeviction")
    s.shared.reply([0, 5_001_000])  # another has the key now
    assert s.counts["keys:claim lost"] == 1
    assert not s.shared.owed


def test_times_are_told_on_the_stores_clock_too_early_rather_than_too_late() -> None:
    s = Side()
    s.shared.note(b"a", 1, PLACE)
    assert s.link.written[-1][1] == (b"a", b"1", b"a", 3, 5_000_900)
    s.ask()
    assert s.link.written[-1][1][-2] == 5_001_000 + 100 + shared.LATE_MS


def test_the_latest_of_many_claims_is_refused_at_once() -> None:
    s = Side()
    askers = [s.ask(b"%d" % i) for i in range(shared.ASKED_MOST)]
    assert not s.shared.claim(b"x", "t", b"p", 500.0, 9000.0, 0.0, Asker())
    s.shared.reply([b"run", 5_001_000])
    assert askers[0].got
    assert s.shared.claim(b"x", "t", b"p", 500.0, 9000.0, 0.0, Asker())


def test_what_is_owed_to_a_store_that_is_gone_has_its_bound() -> None:
    s = Side()
    s.shared.closed()
    for i in range(shared.OWED_MOST + 10):
        s.end(b"%d" % i, i, None, PLACE)
    assert len(s.shared.owed) == len(s.shared.ran) == shared.OWED_MOST
    assert s.counts["keys:unsaid"] == 10
    assert not s.shared.knows_of(b"9")
    assert s.shared.knows_of(b"10")
    big = Side(wait_ms=100.0)
    big.shared.rules = Rules(100, 10**6, 10**6)
    big.shared.closed()
    for i in range(40):
        big.end(b"%d" % i, i, Answer(b"x" * 500_000), PLACE)
    assert big.shared.owed_bytes <= shared.OWED_BYTES
    assert 0 < len(big.shared.owed) < 40


def test_commands_without_a_reply_have_their_bound() -> None:
    s = Side()
    for i in range(shared.PENDING_MOST):
        assert s.shared.note(b"%d" % i, i, PLACE)
    assert not s.shared.available()
    assert not s.shared.note(b"x", 1, PLACE)
    s.end(b"y", 2, Answer(b"tile"), PLACE)  # kept, not written
    assert len(s.shared.pending) == shared.PENDING_MOST
    assert s.shared.knows_of(b"y")
    s.link.written.clear()
    for _ in range(shared.PENDING_MOST):
        s.shared.reply([1, 5_001_000])
    assert s.scripts() == ["end"]  # now that there is room


def test_a_flood_of_a_hundred_thousand_new_keys_stays_within_the_tables_bounds() -> None:
    t, verdicts = Table(1000, 10**6, 1000), Counter[Verdict]()
    kept = t.claim(b"runs", "other", b"p", 0.0).fence
    for i in range(100_000):  # within one second
        claim = t.claim(b"%d" % i, "flood", b"p", i / 100.0)
        verdicts[claim.verdict] += 1
        if i % 2 and claim.verdict is V.RUN:
            t.finish(b"%d" % i, claim.fence, Answer(b"tile"), PLACE, 30_000.0)
        assert len(t.entries) <= 1000
        assert t.held_bytes <= 10**6
    assert set(verdicts) == {V.RUN, V.FULL}
    assert t.finish(b"runs", kept, Answer(b"tile"), PLACE, 30_000.0)  # what runs was not pushed out
