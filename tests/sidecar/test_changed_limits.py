"""Limits of clients' requests that change while clients keep their connections open."""

from __future__ import annotations

import json

import pytest

from honeywharf.mesh_config.routes import RoutingTable
from tests.sidecar.fixtures import TABLE, HttpClient, OutboundSetup
from tests.sidecar.test_outbound import give, request

SMALL, LARGE = 1000, 8 << 20
BODY = b"x" * 2000
LONG_FIELD = b"X-Long: " + b"y" * 7000 + b"\r\n"


def configure(setup: OutboundSetup, **limits: int) -> None:
    """Puts a configuration with other limits in force."""
    configuration = json.loads(TABLE)
    configuration["limits"] |= {name.replace("_", "-"): limit for name, limit in limits.items()}
    setup.source.mesh_state.table = RoutingTable(json.dumps(configuration).encode())


def answer_all(setup: OutboundSetup) -> None:
    """Lets the gates admit and answer the attempts that have none yet."""
    for channel in setup.channels:
        if not channel.outbound_request.is_over:
            channel.outbound_request.gate_admitted()
            give(setup, channel, b"done")


def kept_connection(setup: OutboundSetup) -> HttpClient:
    """Returns a client with one request answered on its connection."""
    caller = setup.call(request())
    answer_all(setup)
    assert caller.statuses() == [200]
    return caller


@pytest.mark.parametrize("pieces", [1, 7])
def test_a_kept_connection_takes_bodies_by_the_limit_in_force(pieces: int) -> None:
    """Guards against 413 for a body that the configuration allows, on connections older than it."""
    setup = OutboundSetup()
    configure(setup, max_body_bytes=SMALL)
    caller = kept_connection(setup)
    configure(setup, max_body_bytes=LARGE)
    upload = request("upload", body=BODY)
    step = -(-len(upload) // pieces)
    for start in range(0, len(upload), step):
        caller.send(upload[start : start + step])
        setup.run()
    answer_all(setup)
    assert caller.statuses() == [200, 200]


def test_a_kept_connection_rejects_what_a_newer_limit_forbids() -> None:
    setup = OutboundSetup()
    caller = kept_connection(setup)
    configure(setup, max_body_bytes=SMALL)
    caller.send(request("upload", body=BODY))
    setup.run()
    assert caller.statuses() == [200, 413]


def test_a_kept_connection_takes_heads_by_the_limit_in_force() -> None:
    """Guards against 431 for a head that the configuration allows, on connections older than it."""
    setup = OutboundSetup()
    configure(setup, max_header_bytes=SMALL)
    caller = kept_connection(setup)
    configure(setup, max_header_bytes=8192)
    caller.send(request(more=LONG_FIELD))
    setup.run()
    answer_all(setup)
    assert caller.statuses() == [200, 200]


def test_a_request_that_is_being_read_keeps_its_limit_and_the_next_has_the_new_one() -> None:
    setup = OutboundSetup()
    upload = request("upload", body=BODY)
    caller = setup.call(upload[:-1000])
    configure(setup, max_body_bytes=SMALL)
    caller.send(upload[-1000:] + upload)
    setup.run()
    answer_all(setup)
    assert caller.statuses() == [200, 413]
