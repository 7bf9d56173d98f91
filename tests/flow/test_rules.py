"""The byte account, pipes and paces, without sockets."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from honeywharf.flow import account, pace, pipe
from honeywharf.flow.account import LEAST, READ, Account
from honeywharf.flow.pipe import KEEP, Pipe, Sink, Source


class Reader(Source):
    def __init__(self) -> None:
        self.held, self.dropped = False, False

    def hold(self, held: bool) -> None:
        self.held = held

    def unwanted(self) -> None:
        self.dropped = True


class Writer(Sink):
    def __init__(self) -> None:
        self.got, self.end = b"", ""

    def take(self, data: bytes) -> None:
        assert not self.end
        self.got += data

    def whole(self) -> None:
        assert not self.end
        self.end = "whole"

    def broken(self) -> None:
        assert not self.end
        self.end = "broken"


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.integers(1, KEEP)),
        st.tuples(st.just("attach"), st.just(0)),
        st.tuples(st.just("detach"), st.just(0)),
        st.tuples(st.sampled_from(("finish", "fail", "cancel")), st.just(0)),
    ),
    max_size=24,
)


@given(STEPS)
def test_a_pipe_gives_each_sink_all_or_nothing_and_ends_once(steps: list[tuple[str, int]]) -> None:
    """Against a list of what was pushed: the model of a body that is held for ever."""
    kept = Account(1 << 22)
    made, reader = Pipe(kept, None, place=kept.enter()), Reader()
    made.source = reader
    pushed, writer, end = b"", Writer(), ""
    attached = False
    for number, (step, size) in enumerate(steps):
        if step == "push" and not reader.held:
            data = bytes([number]) * size
            pushed += b"" if end else data
            made.push(data)
            assert end or attached or len(pushed) < KEEP or reader.held
        elif step == "attach" and not attached:
            writer = Writer()
            if made.spent or made.cancelled:
                with pytest.raises(ValueError, match="whole in hand"):
                    made.attach(writer)
            else:
                made.attach(writer)
                attached = True
                assert writer.got == pushed  # all from the first byte on, however often it was tried
        elif step == "detach":
            made.detach(writer)
            attached = False
        elif step in ("finish", "fail", "cancel"):
            getattr(made, step)()
            end = end or step
            attached = attached and step != "cancel"
        if attached:
            assert writer.got == pushed
            assert writer.end == {"": "", "finish": "whole", "fail": "broken"}[end]
        assert sum(map(len, made.held)) <= 2 * KEEP  # what one push may bring beyond what is kept
        assert kept.open == (0 if end else 1)
        assert reader.dropped == (end == "cancel")


@given(st.lists(st.sampled_from(("enter", "wait", "leave", "forget")), max_size=60))
def test_an_account_never_gives_more_places_than_it_has(steps: list[str]) -> None:
    made = Account(5 * (LEAST + READ))
    held, queued = 0, []
    gone: list[int] = []
    for step in steps:
        if step == "enter":
            held += made.enter()
        elif step == "wait":
            queued.append(made.wait(lambda: gone.append(1)))
        elif step == "leave" and held + len(gone) > 0:
            if held:
                held -= 1
            else:
                gone.pop()
            made.leave()
        elif step == "forget" and queued:
            made.forget(queued.pop())
        assert made.open == held + len(gone) <= made.places == 5
        assert not made.waiting or made.open == made.places  # nobody waits while there is a place
        assert LEAST <= made.share() <= account.EACH
        assert made.open * (made.share() + READ) <= max(made.most, made.open * (LEAST + READ))
    with pytest.raises(ValueError, match="for bodies, wanted"):
        Account(LEAST)


def test_a_body_of_64_kb_a_second_is_in_time_and_a_trickle_is_not() -> None:
    fast, trickle, held = pace.Pace(0.0), pace.Pace(0.0), pace.Pace(0.0)
    for second in range(1, 60):
        fast.bytes += 64_000
        trickle.bytes += 1_000
        assert not fast.late(second * 1000.0)
        assert trickle.late(second * 1000.0) == (second > 2)
    held.hold(1000.0, True)
    assert not held.late(60_000.0)  # this side has not let it send
    held.hold(60_000.0, False)
    assert not held.late(61_000.0)
    assert held.late(63_000.0)
    assert pipe.KEEP <= account.READ
