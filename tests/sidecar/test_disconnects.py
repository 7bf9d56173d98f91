"""Clients that disconnect with requests under way: detection, cancellation, counters."""

from __future__ import annotations

import pytest

from honeywharf.codecs.mesh import INTERIM_RESPONSE
from honeywharf.sidecar.client_connection import MAX_PIPELINED
from honeywharf.sidecar.disconnects import FIRST_INTERVAL_S, MAX_INTERVAL_S, DisconnectCounters
from tests.sidecar.fixtures import HttpClient, OutboundSetup
from tests.sidecar.test_outbound import give, request


def test_a_client_that_disconnects_with_nothing_under_way_is_not_counted() -> None:
    setup = OutboundSetup()
    caller = setup.call(request())
    give(setup, setup.channels[0], b"ok")
    caller.connection.close()
    setup.run()
    assert setup.outbound.disconnects.counters() == DisconnectCounters().counters()


@pytest.mark.parametrize(
    ("how", "counted"), [("close", "closed=1 reset=0 requests=2"), ("abort", "closed=0 reset=1 requests=2")]
)
def test_a_disconnect_is_counted_with_its_requests(how: str, counted: str) -> None:
    setup = OutboundSetup()
    caller = setup.call(request() + request(attempt=b"a2"))
    (caller.connection.close if how == "close" else caller.connection.abort)()
    setup.run()
    assert f"clients disconnected {counted}" in setup.outbound.disconnects.counters()


def test_a_connection_whose_reading_is_paused_is_counted() -> None:
    setup = OutboundSetup()
    setup.call(b"".join(request(attempt=b"a%d" % n) for n in range(MAX_PIPELINED)))
    assert "paused=1" in setup.outbound.disconnects.counters()


def test_requests_of_a_client_that_closes_in_order_are_cancelled() -> None:
    setup, requests = OutboundSetup(), 3
    caller = setup.call(b"".join(request(attempt=b"a%d" % n) for n in range(requests)))
    assert len(setup.channels) == requests
    caller.connection.close()
    setup.run()
    assert [channel.cancelled for channel in setup.channels] == [True] * requests
    assert not setup.source.active_requests
    assert not setup.outbound.clients


def half_closed(probes: int, seconds: float) -> tuple[OutboundSetup, HttpClient]:
    """Returns a client that has half-closed with a request under way, after `probes` interim responses."""
    setup = OutboundSetup()
    caller = setup.call(request())
    caller.connection.finish()
    setup.run(seconds)
    assert caller.data == INTERIM_RESPONSE * probes
    assert not setup.channels[0].cancelled
    return setup, caller


def test_a_half_closed_client_is_probed_again_and_may_disconnect_later() -> None:
    setup, caller = half_closed(probes=3, seconds=FIRST_INTERVAL_S * 3.5)
    caller.connection.close()  # sends nothing, as its FIN was sent before
    setup.run(FIRST_INTERVAL_S * 2)
    assert not setup.channels[0].cancelled
    setup.run(FIRST_INTERVAL_S * 2)
    assert setup.channels[0].cancelled, "it was not probed again"


def test_probes_become_rarer_and_stop_once_the_client_has_its_answer() -> None:
    setup, caller = half_closed(probes=4, seconds=FIRST_INTERVAL_S * 7.5)
    give(setup, setup.channels[0], b"ok")
    setup.run(3 * MAX_INTERVAL_S)
    assert caller.data.count(INTERIM_RESPONSE) == 4
    assert caller.data.endswith(b"ok")
    assert caller.close_reason is not None


def test_no_interim_response_is_sent_within_an_answer() -> None:
    setup = OutboundSetup()
    caller = setup.call(request() + request(attempt=b"a2"))
    first, second = setup.channels
    first.outbound_request.answered(200, b"", 10, None)
    first.outbound_request.answer_data(b"01234")
    caller.connection.finish()
    setup.run(1.0)
    assert INTERIM_RESPONSE not in caller.data
    first.outbound_request.answer_data(b"56789")
    first.outbound_request.whole()
    setup.run(FIRST_INTERVAL_S * 3)
    assert caller.data.endswith(b"0123456789" + INTERIM_RESPONSE), (
        "the client is not probed for the second request"
    )
    give(setup, second, b"ok")
    assert caller.data.endswith(b"ok")


def test_an_http_1_0_client_is_not_probed_and_gets_its_answer() -> None:
    setup = OutboundSetup()
    caller = setup.call(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
    caller.connection.finish()
    setup.run(1.0)
    assert caller.data == b""
    give(setup, setup.channels[0], b"ok")
    assert caller.statuses() == [200]


def test_a_client_that_leaves_in_the_middle_of_an_answer_is_found_out_by_its_next_bytes() -> None:
    setup = OutboundSetup()
    caller = setup.call(request())
    (channel,) = setup.channels
    channel.outbound_request.answered(200, b"", 100_000, None)
    channel.outbound_request.answer_data(b"x" * 1000)
    setup.run()
    caller.connection.close()
    setup.run()
    channel.outbound_request.answer_data(b"x" * 1000)
    setup.run()
    assert channel.cancelled


@pytest.mark.parametrize("more", [0, 1], ids=["read to its end", "with a request unread"])
def test_a_client_that_closes_while_reading_is_paused_has_its_requests_cancelled(more: int) -> None:
    setup = OutboundSetup()
    caller = setup.call(b"".join(request(attempt=b"a%d" % n) for n in range(MAX_PIPELINED)))
    caller.send(request(attempt=b"late") * more)
    setup.run()
    assert setup.outbound.disconnects.paused == 1
    caller.connection.close()
    setup.run()
    assert [channel.cancelled for channel in setup.channels] == [True] * MAX_PIPELINED
    assert not setup.outbound.clients


def test_a_client_that_half_closes_while_reading_is_paused_gets_its_answers() -> None:
    setup = OutboundSetup()
    caller = setup.call(b"".join(request(attempt=b"a%d" % n) for n in range(MAX_PIPELINED)))
    caller.send(request(attempt=b"late"))
    caller.connection.finish()
    setup.run()
    for n in range(MAX_PIPELINED + 1):
        give(setup, setup.channels[n], b"body %d" % n)
    assert caller.data.count(b"HTTP/1.1 200") == MAX_PIPELINED + 1
    assert caller.data.startswith(INTERIM_RESPONSE + b"HTTP/1.1 200")
    assert caller.data.count(INTERIM_RESPONSE) == 1
    assert caller.close_reason is not None
