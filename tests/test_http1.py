"""HTTP/1.1: header codecs, and readers on complete, split and malformed messages."""

from __future__ import annotations

import pytest

from honeywharf.codecs import http1
from honeywharf.core import messages

GOOD = (
    b"POST /api?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f\r\nX-Service-Class: checkout\r\n"
    b"X-Account: acme\r\nCookie: a=b; sid=7f3a; c=d\r\nX-Time-Left: 480m\r\nX-Repeat: 1\r\n"
    b"X-Weight-Hint: 2500\r\nX-Facts: isWrite=1,odd\r\nIdempotency-Key: 5c0f\r\nContent-Length: 3\r\n\r\nabc"
)


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def reader() -> http1.RequestReader:
    return http1.RequestReader()


@pytest.mark.parametrize(
    ("text", "ms"),
    [
        (b"480m", 480.0),
        (b"480000u", 480.0),
        (b"1.5m", 1.5),
        (b"0m", 0.0),
        (b" 7u ", 0.007),
        (b"480", None),
        (b"480s", None),
        (b"-1m", None),
        (b"nanm", None),
        (b"1e9m", None),
        (b"", None),
    ],
)
def test_durations(text: bytes, ms: float | None) -> None:
    assert http1.parse_duration_ms(text) == ms


def test_the_time_left_reads_back_and_is_never_negative() -> None:
    _, _, value = http1.time_left_header(1234.5678).partition(b":")
    assert http1.parse_duration_ms(value.strip()) == pytest.approx(1234.567)
    assert http1.time_left_header(-3.0) == b"X-Time-Left: 0u\r\n"


def test_a_request_parses_the_same_at_once_and_byte_by_byte() -> None:
    (complete,) = reader().feed(GOOD)
    incremental, split = reader(), []
    for i in range(len(GOOD)):
        split += incremental.feed(GOOD[i : i + 1])
    (rejoined,) = split
    for request in (complete, rejoined):
        assert (request.method, request.target, request.body) == (b"POST", b"/api?x=1", b"abc")
        assert (request.id, request.class_name, request.account, request.session_id) == (
            "9b1f",
            "checkout",
            "acme",
            "7f3a",
        )
        assert (request.left_ms, request.work_hint_ms, request.repeat) == (480.0, 2.5, True)
        assert messages.parse_pairs(request.facts) == {"isWrite": 1.0}
        assert request.idempotency_key == b"5c0f"
    assert complete.head() == rejoined.head()


def test_the_head_for_a_backend_contains_only_known_headers() -> None:
    invalid = b"Connection: close, X-Hop\r\nX-Hop: 1\r\nContent_Length: 9\r\nHost"
    (request,) = reader().feed(GOOD.replace(b"Host", invalid))
    head = request.head()
    assert head.startswith(b"POST /api?x=1 HTTP/1.1\r\n")
    for line in (b"Host: app.svc", b"X-Correlation-Id: 9b1f", b"Idempotency-Key: 5c0f", b"Content-Length: 3"):
        assert head.count(line + b"\r\n") == 1
    for dropped in (b"X-Time-Left", b"Connection", b"X-Hop", b"Content_Length"):
        assert dropped not in head
    assert not request.keep


def test_a_chunked_body_is_forwarded_with_its_length() -> None:
    chunked = GOOD.replace(b"Content-Length: 3\r\n\r\nabc", CHUNKED)
    (request,) = reader().feed(chunked + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
    assert request.body == b"abc"
    assert b"Content-Length: 3\r\n" in request.head()
    assert b"Transfer-Encoding" not in request.head()


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (GOOD.replace(b"480m", b"soon"), 400),
        (GOOD.replace(b"X-Account: acme", b"X-Correlation-Id: 2"), 400),
        (GOOD.replace(b"Content-Length: 3", b"Content-Length: 2000000000"), 413),
        (GOOD.replace(b"acme", b"a" * 20000), 431),
        (b"GET /" + b"a" * 20000, 431),
        (b"GET / HTTP/1.1\r\nX-Endless: " + b"a" * 20000, 431),
        *(
            (GOOD.replace(b"Content-Length: 3", invalid), 400)
            for invalid in (
                b"Content-Length: 3\r\nTransfer-Encoding: chunked",
                b"Transfer-Encoding: chunked\r\nContent-Length: 3",
                b"Content-Length: 3\r\nContent-Length: 3",
                b"Content-Length: 3\r\nContent-Length: 4",
                b"Content-Length: -3",
                b"Content-Length: +3",
                b"Content-Length: 3,3",
                b"Content-Length: 0x3",
                b"Content-Length: 1_0",
                b"Content-Length:",
                b"Content-Length : 3",
                b"Transfer-Encoding: identity",
                b"Transfer-Encoding: gzip, chunked",
                b"Transfer-Encoding: chunked, gzip",
                b"Transfer-Encoding: xchunked",
                b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                b"Transfer-Encoding:\x0bchunked",
                b"X-A: b\r\n folded",
                b"X-A: b\rContent-Length: 3",
                b"X-A: b\nContent-Length: 3",
                b"X-A : b",
                b"X-A: b\0c",
                b": x",
                b"X-Time-Left: 9m",
                b"X-Service-Class: b",
                b"Idempotency-Key: b",
            )
        ),
        (GOOD.replace(b"Content-Length: 3", b"Content-Length: " + b"9" * 17), 413),
        (GOOD.replace(b"Content-Length: 3", b"Content-Length: " + b"9" * 40), 400),
        (GOOD.replace(b"Correlation-Id: 9b1f", b"Correlation-Id: 9b 1f"), 400),
        (GOOD.replace(b"Correlation-Id: 9b1f", b"Correlation-Id: " + b"a" * 129), 400),
        (GOOD.replace(b"HTTP/1.1", b"HTTP/2.0"), 400),
        (GOOD.replace(b" HTTP/1.1", b""), 400),
        (GOOD.replace(b"/api?", b"/a pi?"), 400),
        (GOOD.replace(b"/api?", b"/api\xff?"), 400),
        (GOOD.replace(b"POST", b"FOO"), 400),
        (GOOD.replace(b"POST", b"CONNECT"), 400),
    ],
)
def test_malformed_requests_get_their_status(raw: bytes, status: int) -> None:
    parser = reader()
    for i in range(0, len(raw), 4096):
        assert parser.feed(raw[i : i + 4096]) == []
        if parser.fault is not None:
            break
    assert parser.fault is not None
    assert parser.fault.status == status


def test_a_valid_request_before_a_malformed_one_is_returned() -> None:
    parser = reader()
    (request,) = parser.feed(GOOD + b"nonsense\r\n\r\n")
    assert request.id == "9b1f"
    assert parser.fault is not None


def test_a_response_and_its_load_report_are_parsed() -> None:
    parser = http1.ResponseReader()
    raw = b"HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nX-Backend-Load: queue=2\r\nContent-Length: 2\r\n\r\nno"
    assert parser.feed(raw[:-1]) is None
    assert not parser.idle
    response = parser.feed(raw[-1:])
    assert response is not None
    assert (response.status, response.unprocessed, response.load, response.body, response.keep) == (
        503,
        True,
        b"queue=2",
        b"no",
        True,
    )
    assert parser.idle


def test_an_interim_response_is_skipped() -> None:
    raw = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx"
    response = http1.ResponseReader().feed(raw)
    assert response is not None
    assert (response.status, response.body, response.keep) == (200, b"x", False)


OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "excess",
    [
        OK + b"Content-Length: 1\r\n\r\ny",
        b"noise",
        b"\x00\xff",
        b"H",
        OK + b"Content-Length: 9\r\n\r\nhalf",
    ],
)
@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 1\r\n\r\nx",
        b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    ],
)
def test_a_valid_response_is_returned_despite_bytes_after_it(framing: bytes, excess: bytes) -> None:
    parser = http1.ResponseReader()
    response = parser.feed(OK + framing + excess)
    assert response is not None
    assert response.body == b"x"
    assert parser.has_excess_bytes


def test_interim_responses_leave_no_state_and_are_limited() -> None:
    interim = b"HTTP/1.1 103 Early\r\nX-Backend-Load: queue=9\r\nX-Unprocessed: 1\r\n\r\n"
    response = http1.ResponseReader().feed(interim * 2 + OK + b"Content-Length: 1\r\n\r\nx")
    assert response is not None
    assert (response.body, response.load, response.unprocessed) == (b"x", None, False)
    with pytest.raises(http1.MalformedError):
        http1.ResponseReader().feed(interim * 50)


@pytest.mark.parametrize(
    "text",
    [
        b"nan",
        b"inf",
        b"-inf",
        b"1_0",
        b"-1",
        b"+1",
        b"0x1",
        b"1e3",
        b"",
        b" ",
        b"1.",
        b".5",
        b"9" * 400,
        b"\xb2",
    ],
)
def test_an_invalid_number_is_none(text: bytes) -> None:
    assert messages.parse_number(text) is None
    assert messages.parse_pairs(b"a=" + text + b",b=2") == {"b": 2.0}
    (request,) = reader().feed(GOOD.replace(b"2500", text))
    assert request.work_hint_ms is None


def test_an_idle_reader_keeps_nothing_of_the_last_request() -> None:
    parser = reader()
    parser.feed(GOOD)
    assert parser.request is http1.NO_REQUEST
    assert parser.parts == []


@pytest.mark.parametrize(
    "raw",
    [
        b"garbage\r\n\r\n",
        OK + b"Transfer-Encoding: chunked\r\n\r\n100001\r\n" + b"x" * 0x100001 + b"\r\n0\r\n\r\n",
        OK + b"Content-Length: 3000000000\r\n\r\n",  # rejected at the head, before the limit is reached
        OK + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n",
        OK + b"Content-Length: -1\r\nContent-Length: 1\r\n\r\nx",
        OK + b"Content-Length: 3\r\nContent-Length: 1\r\n\r\nxxx",
        OK + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        OK + b"Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
        OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        OK + b"X-Pad: pppp\r\n" * 2000,
        OK + b"X-Pad: " + b"p" * 30000,
    ],
)
def test_malformed_responses(raw: bytes) -> None:
    with pytest.raises(http1.MalformedError):
        http1.ResponseReader().feed(raw)


def test_retry_after_is_in_decimal_seconds() -> None:
    text = http1.full_response(503, retry_after_ms=250.0, keep=False)
    assert b"Retry-After: 0.250\r\n" in text
    assert b"Connection: close\r\n" in text
    assert b"Retry-After" not in http1.full_response(503)
