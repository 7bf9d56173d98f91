"""Links on a simulated network: windows, cancellation, time-outs, and the verdicts of a lost link."""

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
from honeywharf.verdict import FULL, LINK_LOST, MALFORMED_ANSWER, MAY_HAVE_RUN, NOT_RUN, Verdict

SOURCE_IP, DESTINATION_IP, PORT = "10.1.0.8", "10.2.0.9", 7620
LOAD = (3, 1, 8)


class RecordingRequestHandler:
    """The destination's handler of one stream, recorded for the test to answer."""

    def __init__(self, request: ForwardedRequest, responder: StreamResponder) -> None:
        self.request, self.responder = request, responder
        self.body = b""
        self.windows = self.ends = 0
        self.cancelled = False

    def data(self, data: bytes) -> None:
        """Records a part of the body."""
        assert len(data) <= MAX_CHUNK
        self.body += data

    def end(self) -> None:
        """Counts the end of the body."""
        self.ends += 1

    def window(self, size: int) -> None:
        """Counts the bytes that may be sent."""
        self.windows += size

    def cancel(self) -> None:
        """Records the cancellation."""
        assert not self.cancelled
        self.cancelled = True


class RecordingResponseHandler:
    """The source's handler of one stream, which records the events."""

    def __init__(self) -> None:
        self.events: list[tuple[Any, ...]] = []
        self.body = b""
        self.windows = 0
        self.has_ended = False

    def admitted(self) -> None:
        """Records the admission."""
        self._record("went")

    def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        """Records the response head."""
        self._record("answered", status, fields, length, body)
        self.has_ended = body is not None

    def data(self, data: bytes) -> None:
        """Records a part of the response body."""
        assert not self.has_ended
        self.body += data

    def completed(self) -> None:
        """Records the end of the response."""
        self._record("whole")
        self.has_ended = True

    def window(self, size: int) -> None:
        """Counts the bytes that may be sent."""
        self.windows += size

    def failed(self, verdict: Verdict) -> None:
        """Records the failure."""
        self._record("failed", verdict.ran, verdict.why, verdict.reached_backend, verdict.retry_after_s)
        self.has_ended = True

    def load(self, load: tuple[int, int, int]) -> None:
        """Records the load of the destination."""
        self._record("load", *load)

    def _record(self, *event: Any) -> None:
        assert not self.has_ended, f"{event} after the end"
        self.events.append(event)


class LinkFixture:
    """A source on one machine and a destination on another."""

    def __init__(self, seed: int = 1) -> None:
        self.world = World(seed)
        self.world.strict = True
        self.network = Network(self.world)
        self.request_handlers: list[RecordingRequestHandler] = []
        self.rejects_at_once = False
        self.source_process = Process(
            Machine(self.network, SOURCE_IP, "a"), "here", lambda host: LinkPool(host, PORT)
        )
        self.destination_process = Process(
            Machine(self.network, DESTINATION_IP, "b"), "there", self._start_destination
        )
        self.source_process.start()
        self.destination_process.start()
        self.run()

    def _start_destination(self, host: Process) -> object:
        host.listen((DESTINATION_IP, PORT), RpcServer({}, self._streams).accept)
        return None

    def _streams(self, connection: Connection, reader: FrameReader, frames: list[Any]) -> Handler:
        return LinkServer(connection, reader, frames, self._begin)

    def _begin(self, request: ForwardedRequest, responder: StreamResponder) -> RecordingRequestHandler:
        request_handler = RecordingRequestHandler(request, responder)
        self.request_handlers.append(request_handler)
        if self.rejects_at_once:
            responder.fail(Verdict(NOT_RUN, FULL, retry_after_s=0.05), LOAD)
        return request_handler

    @property
    def link_pool(self) -> LinkPool:
        """Returns the source's links."""
        assert isinstance(self.source_process.program, LinkPool)
        return self.source_process.program

    @property
    def link(self) -> Link:
        """Returns the source's link to the destination."""
        return self.link_pool.link_to(DESTINATION_IP)

    def open(self, length: int = 0) -> tuple[ClientStream, RecordingResponseHandler]:
        """Opens one stream."""
        response = RecordingResponseHandler()
        stream = self.link.open(sample_request(length), response)
        assert stream is not None
        return stream, response

    def run(self, seconds: float = 0.05) -> None:
        """Runs the simulation; an exception in a program fails the test."""
        self.world.run(self.world.now + seconds)
        assert not self.world.crashes, self.world.crashes[0][2]

    def cut(self) -> None:
        """Cuts the network in both directions."""
        self.network.cut([(SOURCE_IP, DESTINATION_IP), (DESTINATION_IP, SOURCE_IP)])


def sample_request(length: int = 0) -> ForwardedRequest:
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


def test_a_forwarded_request_arrives_unchanged() -> None:
    fixture = LinkFixture()
    fixture.open(5)
    fixture.run()
    (request_handler,) = fixture.request_handlers
    for name in ForwardedRequest.__slots__:
        expected = "10.1.0.8" if name == "peer" else getattr(sample_request(5), name)
        assert getattr(request_handler.request, name) == expected, name


def test_request_bodies_and_responses_arrive_complete() -> None:
    for parts in (False, True):
        fixture = LinkFixture()
        stream, response = fixture.open(40_000)
        fixture.run()
        (request_handler,) = fixture.request_handlers
        request_handler.responder.admit()
        fixture.run()
        assert response.events == [("went",)]
        stream.data(b"x" * 40_000)
        stream.end()
        fixture.run()
        assert (request_handler.body, request_handler.ends) == (b"x" * 40_000, 1)
        request_handler.responder.window(40_000)
        if parts:
            request_handler.responder.answer(200, b"S: 1\r\n", 50_000, LOAD, None)
            request_handler.responder.data(b"y" * 50_000)
            request_handler.responder.complete()
        else:
            request_handler.responder.answer(200, b"S: 1\r\n", 3, LOAD, b"yes")
        fixture.run()
        assert response.windows == 40_000
        assert response.events[1:] == [
            ("load", *LOAD),
            *(
                [("answered", 200, b"S: 1\r\n", 50_000, None), ("whole",)]
                if parts
                else [("answered", 200, b"S: 1\r\n", 3, b"yes")]
            ),
        ]
        assert response.body == (b"y" * 50_000 if parts else b"")
        assert not fixture.link.streams
        stream.window(5)
        stream.cancel()
        fixture.run()
        assert not request_handler.cancelled


@pytest.mark.parametrize(
    "verdict",
    [
        Verdict(NOT_RUN, FULL, retry_after_s=0.25),
        Verdict(NOT_RUN, MALFORMED_ANSWER, True),
        Verdict(MAY_HAVE_RUN, MALFORMED_ANSWER, True),
    ],
)
def test_a_verdict_arrives_unchanged(verdict: Verdict) -> None:
    fixture = LinkFixture()
    _, response = fixture.open()
    fixture.run()
    fixture.request_handlers[0].responder.fail(verdict, LOAD)
    fixture.run()
    failed = ("failed", verdict.ran, verdict.why, verdict.reached_backend, verdict.retry_after_s)
    assert response.events == [("load", *LOAD), failed]
    assert not fixture.link.streams


def test_a_rejection_within_the_handler_ends_the_stream() -> None:
    fixture = LinkFixture()
    fixture.rejects_at_once = True
    for _ in range(3):
        _, response = fixture.open()
        fixture.run()
        assert response.events[-1][:3] == ("failed", NOT_RUN, FULL)
    assert not fixture.link.streams


def test_a_cancel_reaches_the_destination_and_silences_the_source() -> None:
    fixture = LinkFixture()
    stream, response = fixture.open()
    other, other_response = fixture.open()
    fixture.run()
    stream.cancel()
    fixture.request_handlers[0].responder.answer(
        200, b"", 2, LOAD, b"no"
    )  # The response crosses the cancellation.
    fixture.run()
    assert response.events == []
    assert other_response.events == []
    stream, response = fixture.open()
    fixture.run()
    stream.cancel()
    fixture.run()
    assert [w.cancelled for w in fixture.request_handlers] == [False, False, True]
    other.cancel()
    fixture.run()
    assert fixture.request_handlers[1].cancelled
    assert not fixture.link.streams


# Verdicts of a lost link.


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
@pytest.mark.parametrize("failure", ["cut", "reset"])
def test_a_lost_link_reports_whether_the_request_may_have_run(
    length: int, state: str, ran: int, failure: str
) -> None:
    fixture = LinkFixture()
    if state == "never up":
        if failure == "cut":
            fixture.cut()
        else:
            fixture.destination_process.end()
    _, response = fixture.open(length)
    if state != "never up":
        fixture.run()
        if state == "went":
            fixture.request_handlers[0].responder.admit()
            fixture.run()
        if failure == "cut":
            fixture.cut()
        else:
            fixture.destination_process.end()
    fixture.run(LINK_TIMEOUT_S + 0.6)
    assert response.events[-1] == ("failed", ran, LINK_LOST, False, 0.0)
    assert fixture.link_pool.lost == 1
    assert not fixture.link_pool.links


def test_a_request_whose_admission_was_lost_has_not_run() -> None:
    fixture = LinkFixture()
    _, response = fixture.open(5)
    fixture.run()
    fixture.cut()
    fixture.request_handlers[0].responder.admit()
    fixture.run(4.0)
    assert response.events == [("failed", NOT_RUN, LINK_LOST, False, 0.0)]
    assert fixture.request_handlers[0].body == b""


def test_a_silent_peer_times_out_and_a_slow_backend_does_not() -> None:
    fixture = LinkFixture()
    _, response = fixture.open()
    fixture.run(5 * LINK_TIMEOUT_S)
    assert response.events == []
    assert fixture.link.round_trip_s == pytest.approx(2 * fixture.network.cross_zone_delay_s, rel=0.5)
    fixture.destination_process.freeze()
    fixture.run(LINK_TIMEOUT_S + 0.6)
    assert response.events == [("failed", MAY_HAVE_RUN, LINK_LOST, False, 0.0)]


def test_the_time_out_starts_when_a_stream_is_opened() -> None:
    fixture = LinkFixture()
    fixture.open()[0].cancel()
    fixture.run(20 * LINK_TIMEOUT_S)
    link = fixture.link
    _, response = fixture.open()
    fixture.run(0.3)
    assert response.events == []
    assert fixture.link is link


def test_idempotent_requests_time_out_before_the_link() -> None:
    fixture = LinkFixture()
    requests, response = (
        [sample_request(), sample_request()],
        [RecordingResponseHandler(), RecordingResponseHandler()],
    )
    requests[0].kind = 0
    assert all(
        fixture.link.open(request, replies) is not None
        for request, replies in zip(requests, response, strict=True)
    )
    fixture.run()
    fixture.cut()
    fixture.run(STREAM_TIMEOUT_S + 0.6)
    assert [t.events for t in response] == [[("failed", MAY_HAVE_RUN, LINK_LOST, False, 0.0)], []]
    fixture.run(LINK_TIMEOUT_S)
    assert response[1].events == [("failed", MAY_HAVE_RUN, LINK_LOST, False, 0.0)]


def test_an_idle_link_is_closed_and_reopened_on_demand() -> None:
    fixture = LinkFixture()
    fixture.open()[0].cancel()
    fixture.run(IDLE_TIMEOUT_S + 1.0)
    assert not fixture.link_pool.links
    _, response = fixture.open()
    fixture.run()
    fixture.request_handlers[-1].responder.answer(200, b"", 0, LOAD, b"")
    fixture.run()
    assert response.events[-1][0] == "answered"


def test_a_lost_link_cancels_requests_at_the_destination() -> None:
    fixture = LinkFixture()
    for _ in range(3):
        fixture.open(5)
    fixture.run()
    fixture.source_process.end()
    fixture.run()
    assert [w.cancelled for w in fixture.request_handlers] == [True] * 3
    for request_handler in fixture.request_handlers:
        request_handler.responder.fail(
            Verdict(MAY_HAVE_RUN, MALFORMED_ANSWER), LOAD
        )  # The link is closed, so nothing is sent.
    fixture.run()


# Bounds.


def test_the_streams_of_a_link_are_bounded() -> None:
    fixture = LinkFixture()
    for _ in range(MAX_STREAMS):
        fixture.open()
    assert fixture.link.open(sample_request(), RecordingResponseHandler()) is None
    fixture.run(0.2)
    assert len(fixture.request_handlers) == MAX_STREAMS


def test_a_link_with_too_many_buffered_bytes_opens_no_stream(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(link, "MAX_UNSENT_BYTES", 100_000)
    fixture = LinkFixture()
    stream, _ = fixture.open(-1)
    fixture.run()
    fixture.destination_process.freeze()
    stream.data(bytes(300_000))
    assert fixture.link.open(sample_request(), RecordingResponseHandler()) is None


def test_a_source_that_opens_too_many_streams_loses_the_link(monkeypatch: pytest.MonkeyPatch) -> None:
    fixture = LinkFixture()
    response = [fixture.open()[1] for _ in range(5)]
    monkeypatch.setattr(link_server, "MAX_STREAMS", 3)
    fixture.run()
    assert len(fixture.request_handlers) == 3
    assert all(w.cancelled for w in fixture.request_handlers)
    assert all(t.events[-1][0] == "failed" for t in response)


@pytest.mark.parametrize(
    "frame", [7, [], [1], ["x", 1], [stream.OPEN, 1, "short"], [stream.OPEN, 1] + [None] * 13, {"a": 1}]
)
def test_a_malformed_frame_closes_only_the_link(frame: object) -> None:
    fixture = LinkFixture()
    fixture.open()
    fixture.run()
    fixture.link.connection.send(encode_frame(frame))
    fixture.run()
    if frame in (["x", 1],):
        return  # A frame of an unknown kind for an unknown stream is ignored.
    assert fixture.request_handlers[0].cancelled
    assert not fixture.link_pool.links


def test_a_slow_stream_does_not_block_others() -> None:
    fixture = LinkFixture()
    _, slow_response = fixture.open()
    fixture.run()
    fixture.request_handlers[0].responder.answer(200, b"", 1 << 20, LOAD, None)
    fixture.request_handlers[0].responder.data(
        bytes(WINDOW_SIZE)
    )  # The complete window, which the source does not extend.
    for _ in range(20):
        begun = fixture.world.now
        _, response = fixture.open()
        while not response.has_ended:
            fixture.run(0.0005)
            if len(fixture.request_handlers) > 1 and not fixture.request_handlers[-1].responder.is_over:
                fixture.request_handlers[-1].responder.answer(200, b"", 3, LOAD, b"yes")
        assert fixture.world.now - begun < 6 * fixture.network.cross_zone_delay_s
    assert len(slow_response.body) == WINDOW_SIZE


@pytest.mark.parametrize("seed", range(4))
def test_many_random_streams_keep_their_bytes_apart(seed: int) -> None:
    rng, fixture = Random(seed), LinkFixture(seed)
    opened: list[tuple[ClientStream, RecordingResponseHandler, bytes]] = []
    cancelled: set[int] = set()
    for _ in range(500):
        draw = rng.random()
        if draw < 0.2 and len(opened) < 60:
            stream, response = fixture.open(-1)
            opened.append((stream, response, b""))
        elif opened:
            n = rng.randrange(len(opened))
            stream, response, sent = opened[n]
            if draw < 0.5 and stream.link is not None and len(sent) < WINDOW_SIZE:
                piece = rng.randbytes(rng.choice((1, 100, 30_000)))
                stream.data(piece)
                opened[n] = (stream, response, sent + piece)
            elif draw < 0.55:
                stream.cancel()
                cancelled.add(n)
        for n, request_handler in enumerate(fixture.request_handlers):
            if (
                not request_handler.responder.is_over
                and not request_handler.cancelled
                and rng.random() < 0.02
            ):
                request_handler.responder.answer(200, b"%d" % n, 4, LOAD, request_handler.body[:4])
        fixture.run(0.001)
    fixture.run(1.0)
    assert len(fixture.request_handlers) == len(opened)
    for n, (request_handler, (_, response, sent)) in enumerate(
        zip(fixture.request_handlers, opened, strict=True)
    ):
        assert sent.startswith(request_handler.body)
        if response.has_ended:
            assert response.events[-1][:3] == ("answered", 200, b"%d" % n)
        elif n not in cancelled:
            assert request_handler.body == sent
    assert set(fixture.link.streams) == {
        s.number for n, (s, t, _) in enumerate(opened) if not t.has_ended and n not in cancelled
    }


@pytest.mark.parametrize("over", [False, True])
def test_a_reused_stream_number_closes_the_link(over: bool) -> None:
    fixture = LinkFixture()
    _, response = fixture.open()
    fixture.run()
    (request_handler,) = fixture.request_handlers
    if over:
        request_handler.responder.answer(200, b"", 2, LOAD, b"ok")
        fixture.run()
    fixture.link.connection.send(sample_request(0).pack(1))
    fixture.run()
    assert len(fixture.request_handlers) == 1
    assert not fixture.link_pool.links
    assert response.events[-1][0] == ("answered" if over else "failed")


@pytest.mark.parametrize(
    "frames",
    [
        [[stream.DATA, 1, b"body"]],
        [[stream.END, 1]],
        [[stream.ANSWER, 1, 200, b"", 4, LOAD, None], [stream.ANSWER, 1, 200, b"", 2, LOAD, b"ok"]],
    ],
)
def test_response_frames_out_of_order_close_the_link(frames: list[list[Any]]) -> None:
    fixture = LinkFixture()
    _, response = fixture.open()
    fixture.run()
    for frame in frames:
        fixture.request_handlers[0].responder.link.send(frame)
    fixture.run()
    assert not fixture.link_pool.links
    assert response.body == b""
    assert response.events[-1] == ("failed", MAY_HAVE_RUN, LINK_LOST, False, 0.0)
    assert sum(event[0] == "answered" for event in response.events) == len(frames) - 1
