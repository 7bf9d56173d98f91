"""The buffer budget, pipes and transfer rates, without sockets."""

from __future__ import annotations

import pytest
from hypothesis import example, given, strategies as st

from honeywharf.flow import buffer_budget, pipe, transfer_rate
from honeywharf.flow.buffer_budget import MAX_READ, MIN_SHARE_BYTES, BufferBudget
from honeywharf.flow.pipe import REPLAY_BYTES, Pipe, Sink, Source


class RecordingSource(Source):
    def __init__(self) -> None:
        self.paused, self.is_cancelled = False, False

    def set_paused(self, paused: bool) -> None:
        self.paused = paused

    def body_cancelled(self) -> None:
        self.is_cancelled = True


class RecordingSink(Sink):
    def __init__(self) -> None:
        self.got, self.end = b"", ""

    def take(self, data: bytes) -> None:
        assert not self.end
        self.got += data

    def completed(self) -> None:
        assert not self.end
        self.end = "whole"

    def aborted(self) -> None:
        assert not self.end
        self.end = "broken"


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.integers(1, REPLAY_BYTES)),
        st.tuples(st.just("attach"), st.just(0)),
        st.tuples(st.just("detach"), st.just(0)),
        st.tuples(st.sampled_from(("finish", "fail", "cancel")), st.just(0)),
    ),
    max_size=24,
)


@given(STEPS)
def test_a_pipe_gives_each_sink_all_or_nothing_and_ends_once(steps: list[tuple[str, int]]) -> None:
    """Compares the pipe with a model that keeps all that was pushed."""
    budget = BufferBudget(1 << 22)
    made, recording_source = Pipe(budget, None, has_slot=budget.acquire()), RecordingSource()
    made.source = recording_source
    pushed, recording_sink, end = b"", RecordingSink(), ""
    attached = False
    for number, (step, size) in enumerate(steps):
        if step == "push" and not recording_source.paused:
            data = bytes([number]) * size
            pushed += b"" if end else data
            made.push(data)
            assert end or attached or len(pushed) < REPLAY_BYTES or recording_source.paused
        elif step == "attach" and not attached:
            recording_sink = RecordingSink()
            if made.replay_lost or made.cancelled:
                with pytest.raises(ValueError, match="still buffered completely"):
                    made.attach(recording_sink)
            else:
                made.attach(recording_sink)
                attached = True
                # A sink gets all from the first byte on, however often the body is replayed.
                assert recording_sink.got == pushed
        elif step == "detach":
            made.detach(recording_sink)
            attached = False
        elif step in ("finish", "fail", "cancel"):
            getattr(made, step)()
            end = end or step
            attached = attached and step != "cancel"
        if attached:
            assert recording_sink.got == pushed
            assert recording_sink.end == {"": "", "finish": "whole", "fail": "broken"}[end]
        assert sum(map(len, made.buffered)) <= 2 * REPLAY_BYTES  # One push may exceed what is kept.
        assert budget.open_pipes == (0 if end else 1)
        assert recording_source.is_cancelled == (end == "cancel")


class BoundedSink(RecordingSink):
    """A sink that reports once when it becomes full, from within `take`, like a transport."""

    def __init__(self, made: Pipe, capacity: int) -> None:
        super().__init__()
        self.pipe, self.capacity, self.unsent, self.is_full = made, capacity, 0, False

    def take(self, data: bytes) -> None:
        super().take(data)
        self.unsent += len(data)
        if self.unsent > self.capacity and not self.is_full:
            self.is_full = True
            self.pipe.set_full(True)

    def send(self) -> None:
        """Sends all that is buffered."""
        self.unsent = 0
        if self.is_full:
            self.is_full = False
            self.pipe.set_full(False)


FLOW_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.integers(1, REPLAY_BYTES)),
        st.tuples(st.just("attach"), st.integers(0, 2 * REPLAY_BYTES)),
        st.tuples(st.sampled_from(("detach", "send")), st.just(0)),
    ),
    max_size=24,
)


@given(FLOW_STEPS)
@example([("push", 1), ("attach", 0), ("detach", 0), ("attach", 1)])
def test_a_source_is_paused_exactly_while_its_sink_is_full(steps: list[tuple[str, int]]) -> None:
    """Guards against a body that is buffered without a bound: a sink became full while it was attached."""
    budget = BufferBudget(1 << 22)
    made, source = Pipe(budget, None, has_slot=budget.acquire()), RecordingSource()
    made.source = source
    sink: BoundedSink | None = None
    for step, size in steps:
        if step == "push" and not source.paused:
            made.push(bytes(size))
        elif step == "attach" and sink is None and not made.replay_lost:
            sink = BoundedSink(made, capacity=size)
            made.attach(sink)
        elif step == "detach" and sink is not None:
            made.detach(sink)
            sink = None
        elif step == "send" and sink is not None:
            sink.send()
        if sink is not None:
            assert source.paused == sink.is_full
            assert sink.unsent <= sink.capacity + 2 * REPLAY_BYTES  # What is replayed, and one push.


def test_a_ticket_is_that_of_its_caller_even_if_a_callback_takes_another() -> None:
    """Guards against a wait that is cancelled by somebody else's ticket."""
    budget = BufferBudget(MIN_SHARE_BYTES + MAX_READ)
    tickets: list[int] = []
    ticket = budget.wait_for_slot(lambda: tickets.append(budget.wait_for_slot(lambda: None)))
    assert (ticket, tickets) == (1, [2])
    assert list(budget.waiting) == [2]


@given(st.lists(st.sampled_from(("enter", "wait", "leave", "forget")), max_size=60))
def test_a_budget_never_grants_more_slots_than_it_has(steps: list[str]) -> None:
    made = BufferBudget(5 * (MIN_SHARE_BYTES + MAX_READ))
    slots, queued = 0, []
    gone: list[int] = []
    for step in steps:
        if step == "enter":
            slots += made.acquire()
        elif step == "wait":
            queued.append(made.wait_for_slot(lambda: gone.append(1)))
        elif step == "leave" and slots + len(gone) > 0:
            if slots:
                slots -= 1
            else:
                gone.pop()
            made.release()
        elif step == "forget" and queued:
            made.cancel_wait(queued.pop())
        assert made.open_pipes == slots + len(gone) <= made.max_pipes == 5
        assert not made.waiting or made.open_pipes == made.max_pipes  # Nobody waits while a slot is free.
        assert MIN_SHARE_BYTES <= made.share() <= buffer_budget.MAX_SHARE_BYTES
        assert made.open_pipes * (made.share() + MAX_READ) <= max(
            made.max_bytes, made.open_pipes * (MIN_SHARE_BYTES + MAX_READ)
        )
    with pytest.raises(ValueError, match="max_bytes: expected at least"):
        BufferBudget(MIN_SHARE_BYTES)


def test_a_body_of_64_kb_per_second_is_fast_enough_and_a_trickle_is_too_slow() -> None:
    fast, trickle, paused = (
        transfer_rate.TransferRate(0.0),
        transfer_rate.TransferRate(0.0),
        transfer_rate.TransferRate(0.0),
    )
    for second in range(1, 60):
        fast.bytes += 64_000
        trickle.bytes += 1_000
        assert not fast.is_too_slow(second * 1000.0)
        assert trickle.is_too_slow(second * 1000.0) == (second > 2)
    paused.set_paused(1000.0, True)
    assert not paused.is_too_slow(60_000.0)  # This side has paused the peer.
    paused.set_paused(60_000.0, False)
    assert not paused.is_too_slow(61_000.0)
    assert paused.is_too_slow(63_000.0)
    assert pipe.REPLAY_BYTES <= buffer_budget.MAX_READ
