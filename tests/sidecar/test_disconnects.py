"""Clients that leave while requests of theirs are under way: what is counted of it."""

from __future__ import annotations

import pytest

from honeywharf.codecs.mesh import INTERIM_RESPONSE
from honeywharf.sidecar.client_connection import MAX_PIPELINED
from honeywharf.sidecar.disconnects import FIRST_INTERVAL_S, MAX_INTERVAL_S, DisconnectCounters
from tests.sidecar.stage import Caller, Front
from tests.sidecar.test_outbound import give, request


def test_a_client_that_leaves_with_nothing_under_way_is_not_counted() -> None:
    front = Front()
    caller = front.call(request())
    give(front, front.channels[0], b"ok")
    caller.connection.close()
    front.run()
    assert front.outbound.disconnects.counters() == DisconnectCounters().counters()


@pytest.mark.parametrize(
    ("how", "counted"), [("close", "closed=1 reset=0 requests=2"), ("abort", "closed=0 reset=1 requests=2")]
)
def test_it_is_counted_how_a_client_left_and_what_it_left_behind(how: str, counted: str) -> None:
    front = Front()
    caller = front.call(request() + request(attempt=b"a2"))
    (caller.connection.close if how == "close" else caller.connection.abort)()
    front.run()
    assert f"clients disconnected {counted}" in front.outbound.disconnects.counters()


def test_a_connection_that_is_no_longer_read_is_counted() -> None:
    front = Front()
    front.call(b"".join(request(attempt=b"a%d" % n) for n in range(MAX_PIPELINED)))
    assert "paused=1" in front.outbound.disconnects.counters()


def test_requests_of_a_client_that_closes_in_order_are_cancelled() -> None:
    front, requests = Front(), 3
    caller = front.call(b"".join(request(attempt=b"a%d" % n) for n in range(requests)))
    assert len(front.channels) == requests
    caller.connection.close()
    front.run()
    assert [channel.cancelled for channel in front.channels] == [True] * requests
    assert not front.source.active_requests
    assert not front.outbound.clients


def half_closed(asked: int, seconds: float) -> tuple[Front, Caller]:
    """A client that ended its side with a request under way, and how often it was asked since."""
    front = Front()
    caller = front.call(request())
    caller.connection.finish()
    front.run(seconds)
    assert caller.data == INTERIM_RESPONSE * asked
    assert not front.channels[0].cancelled
    return front, caller


def test_a_client_that_waits_with_its_own_side_closed_is_asked_again_and_may_leave_later() -> None:
    front, caller = half_closed(asked=3, seconds=FIRST_INTERVAL_S * 3.5)
    caller.connection.close()  # which sends nothing: its end is known already
    front.run(FIRST_INTERVAL_S * 2)
    assert not front.channels[0].cancelled
    front.run(FIRST_INTERVAL_S * 2)
    assert front.channels[0].cancelled, "it was not asked again"


def test_it_is_asked_less_and_less_often_and_not_at_all_once_it_is_answered() -> None:
    front, caller = half_closed(asked=4, seconds=FIRST_INTERVAL_S * 7.5)
    give(front, front.channels[0], b"ok")
    front.run(3 * MAX_INTERVAL_S)
    assert caller.data.count(INTERIM_RESPONSE) == 4
    assert caller.data.endswith(b"ok")
    assert caller.gone is not None


def test_nothing_is_put_into_an_answer_that_has_begun() -> None:
    front = Front()
    caller = front.call(request() + request(attempt=b"a2"))
    first, second = front.channels
    first.outbound_request.answered(200, b"", 10, None)
    first.outbound_request.answer_data(b"01234")
    caller.connection.finish()
    front.run(1.0)
    assert INTERIM_RESPONSE not in caller.data
    first.outbound_request.answer_data(b"56789")
    first.outbound_request.whole()
    front.run(FIRST_INTERVAL_S * 3)
    assert caller.data.endswith(b"0123456789" + INTERIM_RESPONSE), "the second request's client is not asked"
    give(front, second, b"ok")
    assert caller.data.endswith(b"ok")


def test_a_client_of_http_1_0_is_not_asked_and_gets_its_answer() -> None:
    front = Front()
    caller = front.call(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
    caller.connection.finish()
    front.run(1.0)
    assert caller.data == b""
    give(front, front.channels[0], b"ok")
    assert caller.statuses() == [200]


def test_a_client_that_leaves_in_the_middle_of_an_answer_is_found_out_by_its_next_bytes() -> None:
    front = Front()
    caller = front.call(request())
    (channel,) = front.channels
    channel.outbound_request.answered(200, b"", 100_000, None)
    channel.outbound_request.answer_data(b"x" * 1000)
    front.run()
    caller.connection.close()
    front.run()
    channel.outbound_request.answer_data(b"x" * 1000)
    front.run()
    assert channel.cancelled


@pytest.mark.parametrize("more", [0, 1], ids=["read to its end", "with a request unread"])
def test_a_client_that_closes_while_its_connection_is_not_read_takes_its_requests_with_it(more: int) -> None:
    front = Front()
    caller = front.call(b"".join(request(attempt=b"a%d" % n) for n in range(MAX_PIPELINED)))
    caller.send(request(attempt=b"late") * more)
    front.run()
    assert front.outbound.disconnects.paused == 1
    caller.connection.close()
    front.run()
    assert [channel.cancelled for channel in front.channels] == [True] * MAX_PIPELINED
    assert not front.outbound.clients


def test_a_client_that_ends_its_side_while_it_is_not_read_gets_its_answers() -> None:
    front = Front()
    caller = front.call(b"".join(request(attempt=b"a%d" % n) for n in range(MAX_PIPELINED)))
    caller.send(request(attempt=b"late"))
    caller.connection.finish()
    front.run()
    for n in range(MAX_PIPELINED + 1):
        give(front, front.channels[n], b"body %d" % n)
    assert caller.data.count(b"HTTP/1.1 200") == MAX_PIPELINED + 1
    assert caller.data.startswith(INTERIM_RESPONSE + b"HTTP/1.1 200")
    assert caller.data.count(INTERIM_RESPONSE) == 1
    assert caller.gone is not None
