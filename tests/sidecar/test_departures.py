"""Clients that leave while requests of theirs are under way: what is counted of it."""

from __future__ import annotations

import pytest

from honeywharf.sidecar.departures import Departures
from honeywharf.sidecar.outbound import MAX_AHEAD
from tests.sidecar.stage import Front
from tests.sidecar.test_outbound import give, request


def test_a_client_that_leaves_with_nothing_under_way_is_not_counted() -> None:
    front = Front()
    caller = front.call(request())
    give(front, front.channels[0], b"ok")
    caller.connection.close()
    front.run()
    assert front.outbound.departures.counters() == Departures().counters()


@pytest.mark.parametrize(
    ("how", "counted"), [("close", "closed=1 reset=0 requests=2"), ("abort", "closed=0 reset=1 requests=2")]
)
def test_it_is_counted_how_a_client_left_and_what_it_left_behind(how: str, counted: str) -> None:
    front = Front()
    caller = front.call(request() + request(attempt=b"a2"))
    (caller.connection.close if how == "close" else caller.connection.abort)()
    front.run()
    assert f"clients left {counted}" in front.outbound.departures.counters()


def test_a_connection_that_is_no_longer_read_is_counted() -> None:
    front = Front()
    front.call(b"".join(request(attempt=b"a%d" % n) for n in range(MAX_AHEAD)))
    assert "paused=1" in front.outbound.departures.counters()


def test_requests_of_a_client_that_closes_in_order_are_cancelled() -> None:
    front, requests = Front(), 3
    caller = front.call(b"".join(request(attempt=b"a%d" % n) for n in range(requests)))
    assert len(front.channels) == requests
    caller.connection.close()
    front.run()
    assert [channel.cancelled for channel in front.channels] == [True] * requests
    assert not front.source.courses
    assert not front.outbound.guests
