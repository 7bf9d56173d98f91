"""One proxy's side of a shared store, without a store: its limits, circuit breaker and unconfirmed ends."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from honeywharf.orderkeys import shared_store
from honeywharf.orderkeys.shared_store import UNKNOWN_PLACE, SharedStore, StoreRules
from honeywharf.orderkeys.table import Answer, Claim, Table, Verdict
from honeywharf.policy import interface as api

V = Verdict
PLACE = api.Earlier("a", 3, 900.0)


class RecordingLink:
    """Records the written commands."""

    def __init__(self) -> None:
        self.written: list[tuple[str, tuple[Any, ...]]] = []
        self.resets = 0

    def send(self, script: str, arguments: tuple[object, ...]) -> None:
        self.written.append((script, arguments))

    def reset(self) -> None:
        self.resets += 1


class RecordingRequester:
    def __init__(self) -> None:
        self.got: list[Claim] = []

    def claimed(self, claim: Claim) -> None:
        self.got.append(claim)


class ProxySide:
    """One proxy's side with a manual clock; the store's clock is 5,000,000 ms ahead."""

    def __init__(self, **rules: Any) -> None:
        self.now, self.link = 1000.0, RecordingLink()
        self.counts: Counter[str] = Counter()
        self.settled_keys: list[bytes] = []

        def count(what: str) -> None:
            self.counts[what] += 1

        self.shared = SharedStore(
            StoreRules(100, 10**6, 1000, **{"wait_ms": 100.0, **rules}),
            self.link,
            lambda: self.now,
            self.settled_keys.append,
            count,
        )
        assert self.shared.opened(5_001_000.0, "noeviction") == ""

    def ask(self, name: bytes = b"k") -> RecordingRequester:
        requester = RecordingRequester()
        assert self.shared.claim(name, "t", b"p", 500.0, 9000.0, 0.0, requester)
        return requester

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


def test_claims_are_answered_in_the_order_in_which_they_were_sent() -> None:
    s = ProxySide()
    requesters = [s.ask(b"%d" % i) for i in range(5)]
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
    got = [a.got for a in requesters]
    assert [g[0].verdict for g in got] == [V.RUN, V.RUN, V.RUN, V.JOIN, V.ANSWER]
    assert got[0][0].earlier is None
    earlier = got[1][0].earlier
    # The time is counted back from the send of the claim, not from the reply.
    assert earlier == api.Earlier("b", 7, 960.0)
    assert got[2][0].earlier == UNKNOWN_PLACE
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
        ([b"young", 1, 50], V.STORE_UNAVAILABLE),
        ([b"late", 1], V.STORE_UNAVAILABLE),
        ("OOM command not allowed", V.FULL),
        ("READONLY You can't write against a read only replica.", V.STORE_UNAVAILABLE),
        ([b"answer", 1, None], V.STORE_UNAVAILABLE),
    ],
)
def test_each_reply_other_than_a_grant_has_its_verdict(reply: Any, verdict: Verdict) -> None:
    s = ProxySide()
    requester = s.ask()
    s.shared.reply(reply)
    assert [c.verdict for c in requester.got] == [verdict]


def test_the_first_claim_that_waits_too_long_opens_the_breaker_until_all_commands_are_answered() -> None:
    s = ProxySide()
    first, second = s.ask(b"a"), s.ask(b"b")
    s.now += 99.0
    s.shared.check_timeouts()
    assert not first.got
    s.now += 1.0
    s.shared.check_timeouts()
    assert [a.got[0].verdict for a in (first, second)] == [V.STORE_UNAVAILABLE, V.STORE_UNAVAILABLE]
    assert not s.shared.claim(b"c", "t", b"p", 500.0, 9000.0, 0.0, RecordingRequester())
    s.shared.reply([b"run", 5_001_100])
    assert not s.shared.available()  # the second claim is still pending
    assert s.link.written[-1][0] == "end"  # a granted claim that nobody waits for is given back
    assert s.link.written[-1][1][2] == "none"
    s.shared.reply([b"join", 5_001_100, 10])
    s.shared.reply([1, 5_001_100])
    assert s.shared.available()
    assert [len(a.got) for a in (first, second)] == [1, 1]
    assert not s.shared.unconfirmed_ends


def test_the_connection_to_a_silent_store_is_replaced_once_a_second() -> None:
    s = ProxySide()
    s.ask()
    s.now += 100.0
    s.shared.check_timeouts()
    assert s.shared.next_check_ms() == s.now + shared_store.SILENCE_TIMEOUT_MS
    s.now += 999.0
    s.shared.check_timeouts()
    assert s.link.resets == 0
    s.now += 1.0
    s.shared.check_timeouts()
    assert s.link.resets == 1


def test_a_lost_connection_answers_waiting_claims_and_later_gives_back_pending_ones() -> None:
    s = ProxySide()
    requester, confirmations = s.ask(b"a"), list[bool]()
    assert s.shared.note(b"b", 7, PLACE, confirmations.append)
    s.end(b"c", 8, Answer(b"tile"), PLACE)
    s.shared.closed()
    assert requester.got[0].verdict is V.STORE_UNAVAILABLE
    assert confirmations == [False]
    assert not s.shared.note(b"b", 7, PLACE)
    assert s.shared.has_unconfirmed_run(b"c")
    assert not s.shared.has_unconfirmed_run(b"a")
    s.link.written.clear()
    s.shared.opened(5_001_000.0, "noeviction")
    assert [(a[0], a[2]) for _, a in s.link.written] == [(b"c", "answer"), (b"a", "none")]
    for _ in range(2):
        s.shared.reply([1, 5_001_000])
    assert not s.shared.unconfirmed_ends
    assert not s.shared.unconfirmed_runs
    assert s.shared.unconfirmed_bytes == 0


def test_an_end_that_the_store_rejects_stays_unconfirmed() -> None:
    s = ProxySide()
    s.end(b"a", 1, None, PLACE)
    s.shared.reply("NOSCRIPT No matching script.")
    assert s.shared.has_unconfirmed_run(b"a")
    s.shared.closed()
    s.shared.opened(5_001_000.0, "noeviction")
    s.shared.reply([0, 5_001_000])  # another holder has the key now
    assert s.counts["keys:claim lost"] == 1
    assert not s.shared.unconfirmed_ends


def test_times_are_converted_to_the_stores_clock_rather_too_early_than_too_late() -> None:
    s = ProxySide()
    s.shared.note(b"a", 1, PLACE)
    assert s.link.written[-1][1] == (b"a", b"1", b"a", 3, 5_000_900)
    s.ask()
    assert s.link.written[-1][1][-2] == 5_001_000 + 100 + shared_store.LATE_CLAIM_MS


def test_claims_beyond_the_limit_on_open_claims_are_rejected_at_once() -> None:
    s = ProxySide()
    requesters = [s.ask(b"%d" % i) for i in range(shared_store.MAX_OPEN_CLAIMS)]
    assert not s.shared.claim(b"x", "t", b"p", 500.0, 9000.0, 0.0, RecordingRequester())
    s.shared.reply([b"run", 5_001_000])
    assert requesters[0].got
    assert s.shared.claim(b"x", "t", b"p", 500.0, 9000.0, 0.0, RecordingRequester())


def test_unconfirmed_ends_are_bounded_while_the_store_is_unavailable() -> None:
    s = ProxySide()
    s.shared.closed()
    for i in range(shared_store.MAX_UNCONFIRMED_ENDS + 10):
        s.end(b"%d" % i, i, None, PLACE)
    assert (
        len(s.shared.unconfirmed_ends) == len(s.shared.unconfirmed_runs) == shared_store.MAX_UNCONFIRMED_ENDS
    )
    assert s.counts["keys:unsaid"] == 10
    assert not s.shared.has_unconfirmed_run(b"9")
    assert s.shared.has_unconfirmed_run(b"10")
    big = ProxySide(wait_ms=100.0)
    big.shared.rules = StoreRules(100, 10**6, 10**6)
    big.shared.closed()
    for i in range(40):
        big.end(b"%d" % i, i, Answer(b"x" * 500_000), PLACE)
    assert big.shared.unconfirmed_bytes <= shared_store.MAX_UNCONFIRMED_BYTES
    assert 0 < len(big.shared.unconfirmed_ends) < 40


def test_pending_commands_are_bounded() -> None:
    s = ProxySide()
    for i in range(shared_store.MAX_PENDING_COMMANDS):
        assert s.shared.note(b"%d" % i, i, PLACE)
    assert not s.shared.available()
    assert not s.shared.note(b"x", 1, PLACE)
    s.end(b"y", 2, Answer(b"tile"), PLACE)  # queued, not written
    assert len(s.shared.pending) == shared_store.MAX_PENDING_COMMANDS
    assert s.shared.has_unconfirmed_run(b"y")
    s.link.written.clear()
    for _ in range(shared_store.MAX_PENDING_COMMANDS):
        s.shared.reply([1, 5_001_000])
    assert s.scripts() == ["end"]  # written once there is room


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
    assert t.finish(b"runs", kept, Answer(b"tile"), PLACE, 30_000.0)  # a running key is never dropped
