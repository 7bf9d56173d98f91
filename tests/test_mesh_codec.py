"""HTTP/1.1 of the mesh: events do not depend on how bytes are split, nothing is smuggled, and limits hold."""

from __future__ import annotations

import pytest

from honeywharf.codecs.heads import UNKNOWN, RequestHead, ResponseHead
from honeywharf.codecs.mesh import (
    MAX_ATTEMPT_ID_BYTES,
    MAX_INTERIM_RESPONSES,
    RequestReader,
    ResponseReader,
    full_response,
    parse_duration,
    parse_milliseconds,
    response_head,
)
from honeywharf.codecs.reader import MalformedError

Event = tuple[object, ...]


class RecordingSink:
    """A sink that records events; the parts of a body are joined."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.heads: list[RequestHead] = []

    def head(self, head: RequestHead) -> None:
        self.heads.append(head)
        self.events.append(
            (
                "head",
                head.method,
                head.target,
                head.host,
                head.attempt,
                tuple(head.fields),
                head.remaining_s,
                head.length,
                head.keep,
                head.expects,
            )
        )

    def answer(self, answer: ResponseHead) -> None:
        self.events.append(
            (
                "answer",
                answer.status,
                answer.attempt,
                tuple(answer.fields),
                answer.length,
                answer.keep,
                answer.sealed,
                answer.encoded,
                answer.not_executed,
                answer.idle_s,
                answer.cold_s,
                answer.load,
                answer.instance,
            )
        )

    def data(self, data: bytes) -> None:
        if self.events[-1][0] == "data":
            data = bytes(self.events.pop()[1]) + data  # type: ignore[call-overload]
        self.events.append(("data", data))

    def whole(self) -> None:
        self.events.append(("whole",))


def feed(reader: RequestReader | ResponseReader, *pieces: bytes) -> None:
    for piece in pieces:
        reader.feed(piece)


def read_requests(*pieces: bytes, max_body: int = 1 << 20, max_head: int = 1 << 14) -> RecordingSink:
    sink = RecordingSink()
    reader = RequestReader(sink, max_body, max_head)
    feed(reader, *pieces)
    return sink


def read_responses(*pieces: bytes, max_body: int = 1 << 20) -> RecordingSink:
    sink = RecordingSink()
    reader = ResponseReader(sink, max_body)
    feed(reader, *pieces)
    return sink


LINE = b"POST /a/b?c=%20d HTTP/1.1\r\nHost: a.example\r\nX-Honeywharf-Attempt-Id: 9c41\r\n"
GET = b"GET /a/ HTTP/1.1\r\nHost: a.example\r\nX-Honeywharf-Attempt-Id: 9c42\r\n"
REQUESTS = (
    LINE
    + b"X-Honeywharf-Deadline-Remaining: 1500.5\r\nContent-Length: 5\r\n\r\nhello"
    + LINE
    + b"Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n"
    + b"3\r\nabc\r\n4;e=1\r\ndefg\r\n0\r\nX-T: 1\r\n\r\n"
    + GET
    + b"X-Two: 1\r\nX-Two: 2\r\nExpect: 100-continue\r\n\r\n"
    + GET
    + b"\r\n"
)
RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Honeywharf-Attempt-Id: 9c41\r\nX-Honeywharf-Server-Seal: 3e.1\r\n"
    b"X-Honeywharf-Instance-Load: 3,0,8\r\nX-Honeywharf-Instance-Id: i-7\r\n"
)
RESPONSES = (
    b"HTTP/1.1 100 Continue\r\n\r\n"
    + RESPONSE_HEAD
    + b"Keep-Alive: max=3, timeout=7\r\nContent-Length: 5\r\n\r\nhello"
    + RESPONSE_HEAD
    + b"X-Honeywharf-Cold-Remaining: 250\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    + b"HTTP/1.1 503 No\r\nX-Honeywharf-Not-Executed: 1\r\nContent-Encoding: gzip\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


def test_requests_are_parsed() -> None:
    sink = read_requests(REQUESTS)
    assert [e[0] for e in sink.events] == ["head", "data", "whole"] * 2 + ["head", "whole"] * 2
    first, second, third, fourth = sink.heads
    assert (first.method, first.target, first.path) == (b"POST", b"/a/b?c=%20d", b"/a/b")
    assert (first.host, first.attempt, first.remaining_s) == (b"a.example", b"9c41", 1.5005)
    assert (first.length, second.length, third.length) == (5, UNKNOWN, 0)
    assert third.fields[2:] == [b"X-Two: 1\r\n", b"X-Two: 2\r\n"]
    assert [h.expects for h in sink.heads] == [False, False, True, False]
    assert [h.keep for h in sink.heads] == [True] * 4
    assert [e[1] for e in sink.events if e[0] == "data"] == [b"hello", b"abcdefg"]
    assert fourth.fields == [b"Host: a.example\r\n", b"X-Honeywharf-Attempt-Id: 9c42\r\n"]


def test_responses_are_parsed() -> None:
    sink = read_responses(RESPONSES)
    heads = [e for e in sink.events if e[0] == "answer"]
    assert [(e[1], e[2], e[4], e[5]) for e in heads] == [
        (200, b"9c41", 5, True),
        (200, b"9c41", UNKNOWN, True),
        (503, b"", 0, False),
    ]
    assert [(e[6], e[7], e[8]) for e in heads] == [(True, False, False)] * 2 + [(False, True, True)]
    assert [e[9:] for e in heads[:2]] == [(7.0, None, b"3,0,8", b"i-7"), (0.0, 0.25, b"3,0,8", b"i-7")]
    assert [e[1] for e in sink.events if e[0] == "data"] == [b"hello", b"abc"]


@pytest.mark.parametrize(("parse", "data"), [(read_requests, REQUESTS), (read_responses, RESPONSES)])
def test_splitting_at_any_byte_yields_the_same_events(parse: object, data: bytes) -> None:
    assert callable(parse)
    expected = parse(data).events
    for position in range(1, len(data)):
        assert parse(data[:position], data[position:]).events == expected, f"split at {position}"
    assert parse(*(data[n : n + 1] for n in range(len(data)))).events == expected


AMBIGUOUS = {
    "length and chunks": LINE + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunks and length": LINE + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    "two lengths": LINE + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
    "two equal lengths": LINE + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    "a list of lengths": LINE + b"Content-Length: 5, 5\r\n\r\nhello",
    "a signed length": LINE + b"Content-Length: +5\r\n\r\nhello",
    "a negative length": LINE + b"Content-Length: -5\r\n\r\nhello",
    "a length in hex": LINE + b"Content-Length: 0x5\r\n\r\nhello",
    "an empty length": LINE + b"Content-Length: \r\n\r\n",
    "a space in a length": LINE + b"Content-Length: 1 0\r\n\r\nhellohello",
    "a coding before chunked": LINE + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "a coding after chunked": LINE + b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    "an odd coding": LINE + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "two codings": LINE + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
    "a coding twice": LINE + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a tab before a coding": LINE + b"Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
    "a space before a colon": LINE + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
    "a folded line": LINE + b"X-A: 1\r\n Content-Length: 5\r\n\r\nhello",
    "a folded coding": LINE + b"Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
    "bare LF in a head": LINE + b"X-A: 1\nContent-Length: 5\r\n\r\nhello",
    "bare LF at its end": LINE + b"X-A: 1\n\n",
    "bare CR in a head": LINE + b"X-A: 1\rContent-Length: 5\r\n\r\nhello",
    "a NUL": LINE + b"X-A: 1\x002\r\n\r\n",
    "a line without a colon": LINE + b"Content-Length\r\n\r\n",
    "an empty name": LINE + b": 1\r\n\r\n",
    "a chunk's size with a sign": LINE + b"Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
    "a chunk's size in 0x": LINE + b"Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
    "a huge chunk": LINE + b"Transfer-Encoding: chunked\r\n\r\n1ffffffffffffffff\r\nabc",
    "a chunk longer than told": LINE + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
    "bare LF after a chunk's size": LINE + b"Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
    "bare LF after a chunk": LINE + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\n0\r\n\r\n",
    "two hosts": GET + b"Host: b.example\r\n\r\n",
    "two attempt ids": GET + b"X-Honeywharf-Attempt-Id: 2\r\n\r\n",
    "an empty attempt id": b"GET / HTTP/1.1\r\nHost: a\r\nX-Honeywharf-Attempt-Id: \r\n\r\n",
    "a long attempt id": b"GET / HTTP/1.1\r\nX-Honeywharf-Attempt-Id: "
    + b"a" * (MAX_ATTEMPT_ID_BYTES + 1)
    + b"\r\n\r\n",
    "a senseless time": GET + b"X-Honeywharf-Deadline-Remaining: soon\r\n\r\n",
    "a negative time": GET + b"X-Honeywharf-Deadline-Remaining: -1\r\n\r\n",
    "HTTP/2": b"GET / HTTP/2.0\r\nHost: a\r\n\r\n",
    "HTTP/0.9": b"GET /\r\n\r\n",
    "an enormous length": LINE + b"Content-Length: 99999999999999999999999\r\n\r\n",
    "no method": b"/ HTTP/1.1\r\nHost: a\r\n\r\n",
    "a whole address": b"GET http://b.example/ HTTP/1.1\r\nHost: a.example\r\n\r\n",
    "a control byte in the target": b"GET /a\x01b HTTP/1.1\r\nHost: a\r\n\r\n",
    "TLS": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(40),
    "the preface of HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
}


@pytest.mark.parametrize("name", AMBIGUOUS)
def test_ambiguous_requests_are_400(name: str) -> None:
    data = AMBIGUOUS[name]
    for pieces in ((data,), tuple(data[n : n + 1] for n in range(len(data)))):
        sink = RecordingSink()
        reader = RequestReader(sink, 1 << 20, 1 << 14)
        with pytest.raises(MalformedError) as fault:
            feed(reader, *pieces, b"GET /smuggled HTTP/1.1\r\n\r\n")
        assert fault.value.status == 400
        assert b"/smuggled" not in [h.target for h in sink.heads]
        assert ("whole",) not in sink.events


def test_hop_by_hop_headers_and_headers_of_the_mesh_are_removed() -> None:
    sink = read_requests(
        GET + b"Connection: keep-alive, X-Mine, Host, x-honeywharf-attempt-id\r\nX-Mine: 1\r\n"
        b"Keep-Alive: 5\r\n"
        b"TE: trailers\r\nProxy-Connection: x\r\nProxy-Authorization: x\r\nHTTP2-Settings: x\r\n"
        b"X-Honeywharf-Expected-Instance: i-0\r\nX-Honeywharf-Caller-Service: them\r\nX-Yours: 2\r\n\r\n"
    )
    assert sink.heads[0].fields == [
        b"Host: a.example\r\n",
        b"X-Honeywharf-Attempt-Id: 9c42\r\n",
        b"X-Yours: 2\r\n",
    ]


def test_an_upgrade_offer_is_ignored() -> None:
    sink = read_requests(
        LINE + b"Connection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 5\r\n\r\nhello", GET + b"\r\n"
    )
    assert [e[0] for e in sink.events] == ["head", "data", "whole", "head", "whole"]
    assert sink.heads[0].length == 5
    assert not [f for f in sink.heads[0].fields if f.lower().startswith((b"upgrade", b"connection"))]


@pytest.mark.parametrize(
    ("line", "keep"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\n", True),
        (b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n", False),
        (b"GET / HTTP/1.0\r\nHost: a\r\n", False),
    ],
)
def test_whether_the_connection_is_kept(line: bytes, keep: bool) -> None:
    assert read_requests(line + b"\r\n").heads[0].keep is keep


def status_of(data: bytes, max_body: int, max_head: int) -> int:
    with pytest.raises(MalformedError) as fault:
        read_requests(data, max_body=max_body, max_head=max_head)
    return fault.value.status


@pytest.mark.parametrize(
    "data",
    [
        LINE + b"Content-Length: 101\r\n\r\n",
        LINE
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"32\r\n"
        + b"a" * 50
        + b"\r\n"
        + b"33\r\n"
        + b"a" * 51,
    ],
)
def test_a_body_over_the_limit_is_413(data: bytes) -> None:
    assert status_of(data, 100, 1 << 14) == 413


def test_a_body_at_the_limit_is_accepted() -> None:
    sink = read_requests(LINE + b"Content-Length: 100\r\n\r\n" + b"a" * 100, max_body=100)
    assert sink.events[1:] == [("data", b"a" * 100), ("whole",)]


@pytest.mark.parametrize(
    "data",
    [
        b"GET /" + b"a" * 9000,
        LINE + b"X-A: " + b"a" * 9000,
        LINE + b"X-A: 1\r\n" * 1500,
        LINE + b"a" * 9000,
        LINE + b"Transfer-Encoding: chunked\r\n\r\n3;" + b"e" * 9000,
        LINE + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"X-A: 1\r\n" * 1500,
    ],
)
def test_a_head_or_a_line_over_the_limit_is_431(data: bytes) -> None:
    assert status_of(data, 1 << 20, 8192) == 431


def test_an_excess_response_is_reported() -> None:
    body = b"Content-Length: 1\r\n\r\nx"
    sink = read_responses(
        RESPONSE_HEAD + body + b"HTTP/1.1 200 OK\r\nX-Honeywharf-Attempt-Id: old\r\n" + body
    )
    assert [e[2] for e in sink.events if e[0] == "answer"] == [b"9c41", b"old"]


@pytest.mark.parametrize(
    "data",
    [
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 abc OK\r\n\r\n",
        b"\x00" * 100,
        RESPONSE_HEAD + b"no colon\r\n\r\n",
        RESPONSE_HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        RESPONSE_HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
        RESPONSE_HEAD + b"X-Honeywharf-Cold-Remaining: \xb2s\r\nContent-Length: 0\r\n\r\nHTTP/1.1 garbage",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nabc",
        b"HTTP/1.1 102 Processing\r\n\r\n" * (MAX_INTERIM_RESPONSES + 1),
    ],
)
def test_malformed_responses_are_rejected(data: bytes) -> None:
    with pytest.raises(MalformedError):
        read_responses(data)


def test_close_releases_the_parser() -> None:
    reader = RequestReader(RecordingSink(), 100, 8192)
    reader.feed(GET)
    reader.close()
    assert reader.idle
    assert not hasattr(reader, "parser")


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        (b"1500", 1.5),
        (b" 7.5 ", 0.0075),
        (b"0", 0.0),
        (b"", None),
        (b".", None),
        (b"1.2.3", None),
        (b"-1", None),
        (b"1e3", None),
        (b"inf", None),
        (b"nan", None),
        (b"1" * 17, None),
    ],
)
def test_milliseconds(text: bytes, seconds: float | None) -> None:
    assert parse_milliseconds(text) == seconds


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("1500ms", 1.5),
        ("2.5s", 2.5),
        ("0s", 0.0),
        ("5", None),
        ("s", None),
        ("ms", None),
        ("-1s", None),
        ("1e3s", None),
        ("1.2.3s", None),
        ("\xb2s", None),
        ("1 s", None),
    ],
)
def test_durations(text: str, seconds: float | None) -> None:
    assert parse_duration(text) == seconds


def test_encoded_responses_can_be_parsed() -> None:
    sink = read_responses(
        full_response(503, b"full", retry_delay_s=0.25, lines=b"X-A: 1\r\n", kind=b"text/plain"),
        response_head(200, b"X-B: 2\r\n", 3, keep=True),
        b"abc",
        response_head(200, b"", UNKNOWN, keep=True),
        b"3\r\nabc\r\n0\r\n\r\n",
        response_head(204, b"", 0, keep=True, bodiless=True),
        full_response(404, b"", keep=False),
    )
    heads = [e for e in sink.events if e[0] == "answer"]
    assert [(e[1], e[4], e[5]) for e in heads] == [
        (503, 4, True),
        (200, 3, True),
        (200, UNKNOWN, True),
        (204, 0, True),
        (404, 0, False),
    ]
    assert heads[0][3] == (b"Content-Type: text/plain\r\n", b"Retry-After: 0.250\r\n", b"X-A: 1\r\n")
    assert [e[1] for e in sink.events if e[0] == "data"] == [b"full", b"abc", b"abc"]
    assert full_response(200, b"abc", head_only=True).endswith(b"Content-Length: 3\r\n\r\n")
