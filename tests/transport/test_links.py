"""Links on a simulated network: windows, cancels, silence, and what a lost link proves."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from honeywharf.simulation.machine import Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport import link, link_server, stream
from honeywharf.transport.framing import FrameReader, encode_frame
from honeywharf.transport.host import Connection, Handler
from honeywharf.transport.link import (
    IDLE_TIMEOUT_S,
    LINK_TIMEOUT_S,
    STREAM_TIMEOUT_S,
    ClientStream,
    Link,
    LinkPool,
)
from honeywharf.transport.link_server import LinkServer, StreamResponder
from honeywharf.transport.rpc_server import RpcServer
from honeywharf.transport.stream import MAX_CHUNK, MAX_STREAMS, WINDOW_SIZE, ForwardedRequest
from honeywharf.verdict import FULL, GARBLED, LOST, MAY_HAVE_RUN, NOT_RUN, Verdict

HERE, THERE, PORT = "10.1.0.8", "10.2.0.9", 7620
LOAD = (3, 1, 8)


class Work:
    """The destination's part of one stream: kept, and answered by the test."""

    def __init__(self, ask: ForwardedRequest, answers: StreamResponder) -> None:
        self.ask, self.answers = ask, answers
        self.body = b""
        self.windows = self.ends = 0
        self.cancelled = False

    def data(self, data: bytes) -> None:
        """A part of the body."""
        assert len(data) <= MAX_CHUNK
        self.body += data

    def end(self) -> None:
        """The body is whole."""
        self.ends += 1

    def window(self, size: int) -> None:
        """More may be sent."""
        self.windows += size

    def cancel(self) -> None:
        """Nobody waits."""
        assert not self.cancelled
        self.cancelled = True


class Told:
    """What a source's attempt is told."""

    def __init__(self) -> None:
        self.events: list[tuple[Any, ...]] = []
        self.body = b""
        self.windows = 0
        self.over = False

    def admitted(self) -> None:
        """It is admitted."""
        self._note("went")

    def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """The answer's head."""
        self._note("answered", status, fields, length, body)
        self.over = body is not None

    def data(self, data: bytes) -> None:
        """A part."""
        assert not self.over
        self.body += data

    def completed(self) -> None:
        """Whole."""
        self._note("whole")
        self.over = True

    def window(self, size: int) -> None:
        """More may be sent."""
        self.windows += size

    def failed(self, verdict: Verdict) -> None:
        """No answer."""
        self._note("failed", verdict.ran, verdict.why, verdict.arrived, verdict.again_s)
        self.over = True

    def load(self, load: tuple[int, int, int]) -> None:
        """What the backend holds."""
        self._note("load", *load)

    def _note(self, *what: Any) -> None:
        assert not self.over, f"told {what} behind the end"
        self.events.append(what)


class Pair:
    """A source on one machine, a destination on another."""

    def __init__(self, seed: int = 1) -> None:
        self.world = World(seed)
        self.world.strict = True
        self.network = Network(self.world)
        self.works: list[Work] = []
        self.over_at_once = False
        self.here = Process(Machine(self.network, HERE, "a"), "here", lambda host: LinkPool(host, PORT))
        self.there = Process(Machine(self.network, THERE, "b"), "there", self._there)
        self.here.start()
        self.there.start()
        self.run()

    def _there(self, host: Process) -> object:
        host.listen((THERE, PORT), RpcServer({}, self._streams).accept)
        return None

    def _streams(self, connection: Connection, reader: FrameReader, frames: list[Any]) -> Handler:
        return LinkServer(connection, reader, frames, self._begin)

    def _begin(self, ask: ForwardedRequest, answers: StreamResponder) -> Work:
        work = Work(ask, answers)
        self.works.append(work)
        if self.over_at_once:
            answers.fail(Verdict(NOT_RUN, FULL, again_s=0.05), LOAD)
        return work

    @property
    def links(self) -> LinkPool:
        """The source's links."""
        assert isinstance(self.here.program, LinkPool)
        return self.here.program

    @property
    def link(self) -> Link:
        """The source's link."""
        return self.links.link_to(THERE)

    def open(self, length: int = 0) -> tuple[ClientStream, Told]:
        """Open one stream."""
        told = Told()
        stream = self.link.open(made(length), told)
        assert stream is not None
        return stream, told

    def run(self, seconds: float = 0.05) -> None:
        """Let time pass; a fault of a program fails the test."""
        self.world.run(self.world.now + seconds)
        assert not self.world.crashes, self.world.crashes[0][2]

    def cut(self) -> None:
        """Let nothing pass either way."""
        self.network.cut([(HERE, THERE), (THERE, HERE)])


def made(length: int = 0) -> ForwardedRequest:
    return ForwardedRequest(
        service="order-desk",
        attempt_id=b"9c41",
        kind=1,
        remaining_s=1.5,
        max_queue_wait_s=0.25,
        priority=2,
        latency_target_s=0.5,
        caller="tile-vault",
        method=b"POST",
        target=b"/a?b",
        fields=b"X: 1\r\n",
        length=length,
        revision=7,
    )


def test_an_ask_comes_as_it_was_sent() -> None:
    pair = Pair()
    pair.open(5)
    pair.run()
    (work,) = pair.works
    for name in ForwardedRequest.__slots__:
        wanted = "10.1.0.8" if name == "peer" else getattr(made(5), name)
        assert getattr(work.ask, name) == wanted, name


def test_a_body_goes_and_an_answer_comes_whole_or_in_parts() -> None:
    for parts in (False, True):
        pair = Pair()
        stream, told = pair.open(40_000)
        pair.run()
        (work,) = pair.works
        work.answers.admit()
        pair.run()
        assert told.events == [("went",)]
        stream.data(b"x" * 40_000)
        stream.end()
        pair.run()
        assert (work.body, work.ends) == (b"x" * 40_000, 1)
        work.answers.window(40_000)
        if parts:
            work.answers.answer(200, b"S: 1\r\n", 50_000, LOAD, None)
            work.answers.data(b"y" * 50_000)
            work.answers.complete()
        else:
            work.answers.answer(200, b"S: 1\r\n", 3, LOAD, b"yes")
        pair.run()
        assert told.windows == 40_000
        assert told.events[1:] == [
            ("load", *LOAD),
            *(
                [("answered", 200, b"S: 1\r\n", 50_000, None), ("whole",)]
                if parts
                else [("answered", 200, b"S: 1\r\n", 3, b"yes")]
            ),
        ]
        assert told.body == (b"y" * 50_000 if parts else b"")
        assert not pair.link.streams
        stream.window(5)
        stream.cancel()
        pair.run()
        assert not work.cancelled


@pytest.mark.parametrize(
    "verdict",
    [
        Verdict(NOT_RUN, FULL, again_s=0.25),
        Verdict(NOT_RUN, GARBLED, True),
        Verdict(MAY_HAVE_RUN, GARBLED, True),
    ],
)
def test_a_verdict_comes_as_it_was_given(verdict: Verdict) -> None:
    pair = Pair()
    _, told = pair.open()
    pair.run()
    pair.works[0].answers.fail(verdict, LOAD)
    pair.run()
    failed = ("failed", verdict.ran, verdict.why, verdict.arrived, verdict.again_s)
    assert told.events == [("load", *LOAD), failed]
    assert not pair.link.streams


def test_a_refusal_from_within_the_call_ends_the_stream() -> None:
    pair = Pair()
    pair.over_at_once = True
    for _ in range(3):
        _, told = pair.open()
        pair.run()
        assert told.events[-1][:3] == ("failed", NOT_RUN, FULL)
    assert not pair.link.streams


def test_a_cancelled_stream_is_told_nothing_more_and_the_work_is_told() -> None:
    pair = Pair()
    stream, told = pair.open()
    other, heard = pair.open()
    pair.run()
    stream.cancel()
    pair.works[0].answers.answer(200, b"", 2, LOAD, b"no")  # it crosses the cancel
    pair.run()
    assert told.events == []
    assert heard.events == []
    stream, told = pair.open()
    pair.run()
    stream.cancel()
    pair.run()
    assert [w.cancelled for w in pair.works] == [False, False, True]
    other.cancel()
    pair.run()
    assert pair.works[1].cancelled
    assert not pair.link.streams


# What a lost link proves.


@pytest.mark.parametrize(
    ("length", "state", "ran"),
    [
        (0, "never up", NOT_RUN),
        (5, "never up", NOT_RUN),
        (0, "sent", MAY_HAVE_RUN),
        (5, "sent", NOT_RUN),
        (-1, "sent", NOT_RUN),
        (5, "went", MAY_HAVE_RUN),
        (-1, "went", MAY_HAVE_RUN),
    ],
)
@pytest.mark.parametrize("how", ["cut", "reset"])
def test_what_a_lost_link_proves(length: int, state: str, ran: int, how: str) -> None:
    pair = Pair()
    if state == "never up":
        if how == "cut":
            pair.cut()
        else:
            pair.there.end()
    _, told = pair.open(length)
    if state != "never up":
        pair.run()
        if state == "went":
            pair.works[0].answers.admit()
            pair.run()
        if how == "cut":
            pair.cut()
        else:
            pair.there.end()
    pair.run(LINK_TIMEOUT_S + 0.6)
    assert told.events[-1] == ("failed", ran, LOST, False, 0.0)
    assert pair.links.lost == 1
    assert not pair.links.links


def test_a_proof_holds_when_the_word_to_send_the_body_was_lost() -> None:
    pair = Pair()
    _, told = pair.open(5)
    pair.run()
    pair.cut()
    pair.works[0].answers.admit()
    pair.run(4.0)
    assert told.events == [("failed", NOT_RUN, LOST, False, 0.0)]
    assert pair.works[0].body == b""


def test_silence_is_counted_while_streams_wait_and_a_slow_backend_is_no_silence() -> None:
    pair = Pair()
    _, told = pair.open()
    pair.run(5 * LINK_TIMEOUT_S)
    assert told.events == []
    assert pair.link.round_trip_s == pytest.approx(2 * pair.network.cross_zone_delay_s, rel=0.5)
    pair.there.freeze()
    pair.run(LINK_TIMEOUT_S + 0.6)
    assert told.events == [("failed", MAY_HAVE_RUN, LOST, False, 0.0)]


def test_silence_from_before_a_stream_was_opened_does_not_count() -> None:
    pair = Pair()
    pair.open()[0].cancel()
    pair.run(20 * LINK_TIMEOUT_S)
    link = pair.link
    _, told = pair.open()
    pair.run(0.3)
    assert told.events == []
    assert pair.link is link


def test_what_may_run_twice_is_not_waited_for_in_silence_and_what_must_not_is_longer() -> None:
    pair = Pair()
    asks, told = [made(), made()], [Told(), Told()]
    asks[0].kind = 0
    assert all(pair.link.open(ask, replies) is not None for ask, replies in zip(asks, told, strict=True))
    pair.run()
    pair.cut()
    pair.run(STREAM_TIMEOUT_S + 0.6)
    assert [t.events for t in told] == [[("failed", MAY_HAVE_RUN, LOST, False, 0.0)], []]
    pair.run(LINK_TIMEOUT_S)
    assert told[1].events == [("failed", MAY_HAVE_RUN, LOST, False, 0.0)]


def test_an_unused_link_is_closed_and_another_opened_when_one_is_wanted() -> None:
    pair = Pair()
    pair.open()[0].cancel()
    pair.run(IDLE_TIMEOUT_S + 1.0)
    assert not pair.links.links
    _, told = pair.open()
    pair.run()
    pair.works[-1].answers.answer(200, b"", 0, LOAD, b"")
    pair.run()
    assert told.events[-1][0] == "answered"


def test_a_destination_that_loses_the_link_gives_its_work_up() -> None:
    pair = Pair()
    for _ in range(3):
        pair.open(5)
    pair.run()
    pair.here.end()
    pair.run()
    assert [w.cancelled for w in pair.works] == [True] * 3
    for work in pair.works:
        work.answers.fail(Verdict(MAY_HAVE_RUN, GARBLED), LOAD)  # nobody hears it
    pair.run()


# Bounds.


def test_the_streams_of_a_link_are_bounded() -> None:
    pair = Pair()
    for _ in range(MAX_STREAMS):
        pair.open()
    assert pair.link.open(made(), Told()) is None
    pair.run(0.2)
    assert len(pair.works) == MAX_STREAMS


def test_a_link_that_holds_too_much_takes_no_further_stream(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(link, "MAX_UNSENT_BYTES", 100_000)
    pair = Pair()
    stream, _ = pair.open(-1)
    pair.run()
    pair.there.freeze()
    stream.data(bytes(300_000))
    assert pair.link.open(made(), Told()) is None


def test_a_source_that_opens_too_many_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    pair = Pair()
    told = [pair.open()[1] for _ in range(5)]
    monkeypatch.setattr(link_server, "MAX_STREAMS", 3)
    pair.run()
    assert len(pair.works) == 3
    assert all(w.cancelled for w in pair.works)
    assert all(t.events[-1][0] == "failed" for t in told)


@pytest.mark.parametrize(
    "frame", [7, [], [1], ["x", 1], [stream.OPEN, 1, "short"], [stream.OPEN, 1] + [None] * 13, {"a": 1}]
)
def test_nonsense_ends_the_link_and_nothing_else(frame: object) -> None:
    pair = Pair()
    pair.open()
    pair.run()
    pair.link.connection.send(encode_frame(frame))
    pair.run()
    if frame in (["x", 1],):
        return  # a kind that is not known, of a stream that is not: ignored
    assert pair.works[0].cancelled
    assert not pair.links.links


def test_a_slow_stream_does_not_hold_the_others() -> None:
    pair = Pair()
    _, slow = pair.open()
    pair.run()
    pair.works[0].answers.answer(200, b"", 1 << 20, LOAD, None)
    pair.works[0].answers.data(bytes(WINDOW_SIZE))  # all that it may without a word from the source
    for _ in range(20):
        begun = pair.world.now
        _, told = pair.open()
        while not told.over:
            pair.run(0.0005)
            if len(pair.works) > 1 and not pair.works[-1].answers.is_over:
                pair.works[-1].answers.answer(200, b"", 3, LOAD, b"yes")
        assert pair.world.now - begun < 6 * pair.network.cross_zone_delay_s
    assert len(slow.body) == WINDOW_SIZE


@pytest.mark.parametrize("seed", range(4))
def test_a_storm_of_streams_brings_each_its_own_bytes(seed: int) -> None:
    rng, pair = Random(seed), Pair(seed)
    opened: list[tuple[ClientStream, Told, bytes]] = []
    cancelled: set[int] = set()
    for _ in range(500):
        draw = rng.random()
        if draw < 0.2 and len(opened) < 60:
            stream, told = pair.open(-1)
            opened.append((stream, told, b""))
        elif opened:
            n = rng.randrange(len(opened))
            stream, told, sent = opened[n]
            if draw < 0.5 and stream.link is not None and len(sent) < WINDOW_SIZE:
                piece = rng.randbytes(rng.choice((1, 100, 30_000)))
                stream.data(piece)
                opened[n] = (stream, told, sent + piece)
            elif draw < 0.55:
                stream.cancel()
                cancelled.add(n)
        for n, work in enumerate(pair.works):
            if not work.answers.is_over and not work.cancelled and rng.random() < 0.02:
                work.answers.answer(200, b"%d" % n, 4, LOAD, work.body[:4])
        pair.run(0.001)
    pair.run(1.0)
    assert len(pair.works) == len(opened)
    for n, (work, (_, told, sent)) in enumerate(zip(pair.works, opened, strict=True)):
        assert sent.startswith(work.body)
        if told.over:
            assert told.events[-1][:3] == ("answered", 200, b"%d" % n)
        elif n not in cancelled:
            assert work.body == sent
    assert set(pair.link.streams) == {
        s.number for n, (s, t, _) in enumerate(opened) if not t.over and n not in cancelled
    }


@pytest.mark.parametrize("over", [False, True])
def test_a_number_that_was_used_opens_no_second_stream(over: bool) -> None:
    pair = Pair()
    _, told = pair.open()
    pair.run()
    (work,) = pair.works
    if over:
        work.answers.answer(200, b"", 2, LOAD, b"ok")
        pair.run()
    pair.link.connection.send(made(0).pack(1))
    pair.run()
    assert len(pair.works) == 1
    assert not pair.links.links
    assert told.events[-1][0] == ("answered" if over else "failed")


@pytest.mark.parametrize(
    "frames",
    [
        [[stream.DATA, 1, b"body"]],
        [[stream.END, 1]],
        [[stream.ANSWER, 1, 200, b"", 4, LOAD, None], [stream.ANSWER, 1, 200, b"", 2, LOAD, b"ok"]],
    ],
)
def test_an_answer_out_of_its_order_ends_the_link_and_shows_nothing(frames: list[list[Any]]) -> None:
    pair = Pair()
    _, told = pair.open()
    pair.run()
    for frame in frames:
        pair.works[0].answers.link.send(frame)
    pair.run()
    assert not pair.links.links
    assert told.body == b""
    assert told.events[-1] == ("failed", MAY_HAVE_RUN, LOST, False, 0.0)
    assert sum(event[0] == "answered" for event in told.events) == len(frames) - 1
