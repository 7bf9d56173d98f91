"""Bodies of requests and answers in parts of any size, over the own gate and over a link, at any pace.

The sidecars' own classes run in the simulated network. A gate in the same process calls back from within the
calls that it gets, a gate behind a link later; clients and backends read and write by drawn steps.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import pytest
from hypothesis import example, given, settings, strategies as st

from honeywharf.mesh_config.routes import RoutingTable
from honeywharf.sidecar import inbound
from honeywharf.sidecar.client_connection import MAX_HELD_BODY_BYTES
from honeywharf.sidecar.inbound import InboundRequest
from honeywharf.sidecar.mesh_state import MeshStateReplica
from honeywharf.sidecar.outbound import Outbound
from honeywharf.sidecar.outbound_request import MAX_RETAINED_BODY_BYTES
from honeywharf.sidecar.source import Source
from honeywharf.simulation.deployment import OUTBOUND
from honeywharf.simulation.machine import Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport.event_loop import READ_BYTES
from honeywharf.transport.framing import FrameReader
from honeywharf.transport.host import Connection, Handler
from honeywharf.transport.link_server import LinkServer, StreamResponder
from honeywharf.transport.rpc_server import RpcServer
from honeywharf.transport.stream import WINDOW_SIZE, ForwardedRequest
from tests.sidecar.fixtures import (
    ATTEMPT,
    INSTANCE,
    IP,
    SERVICE,
    TABLE,
    ZONE,
    HttpClient,
    ReceivedRequest,
    ScriptedBackend,
    ScriptedConnection,
    make_inbound,
    settings as sidecar_settings,
)

OTHER_IP = "10.1.0.20"
PAUSE_S = 0.002  # Between two steps of a client or a backend; more than a round trip.
DEADLINE_MS = 2500


@dataclass(frozen=True)
class Body:
    """A body that is written in parts of the given sizes, used in turn."""

    size: int
    parts: tuple[int, ...] = (1,)
    is_chunked: bool = False

    @property
    def data(self) -> bytes:
        """Returns the whole body."""
        return bytes(n % 251 for n in range(251)) * (self.size // 251) + bytes(range(self.size % 251))

    @property
    def framing(self) -> bytes:
        """Returns the header line that frames the body."""
        return b"Transfer-Encoding: chunked" if self.is_chunked else b"Content-Length: %d" % self.size

    def pieces(self) -> list[bytes]:
        """Returns the bytes to write, one element for each write."""
        pieces, at, turn = list[bytes](), 0, 0
        while at < self.size:
            pieces.append(self.data[at : at + self.parts[turn % len(self.parts)]])
            at, turn = at + len(pieces[-1]), turn + 1
        if not self.is_chunked:
            return pieces
        return [*(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces), b"0\r\n\r\n"]

    def write(self, host: Process, send: Callable[[bytes], None], pause_s: float) -> None:
        """Writes the body, with pauses between its parts."""
        pieces = deque(self.pieces())

        def step() -> None:
            if pieces:
                send(pieces.popleft())
                host.after(pause_s, step)

        step()


PARTS = st.lists(st.sampled_from((1_000, 8_000, 8_192, 16_384, 65_535, 65_536, 65_537, 200_000)), min_size=1)
LARGE_PARTS = st.lists(st.sampled_from((16_384, 65_535, 65_536, 65_537, 200_000)), min_size=1, max_size=6)
SIZES = st.sampled_from((0, 1, 8_193, 65_536, 65_537, 72_000, 131_073, 200_000, 700_000))
BODIES = st.builds(
    lambda size, parts, is_chunked: Body(size, tuple(parts), is_chunked), SIZES, PARTS, st.booleans()
)


class Gated:
    """The inbound side of one machine: a gate with slots, its backend, and the address of its links."""

    def __init__(self, network: Network, ip: str) -> None:
        self.machine = Machine(network, ip, ZONE)
        self.sidecar = Process(self.machine, f"sidecar-{ip}", self._sidecar)
        self.app = Process(self.machine, f"app-{ip}", ScriptedBackend)
        self.outbound: Outbound

    def _sidecar(self, host: Process) -> object:
        own = sidecar_settings(self.machine.ip)
        self.inbound = make_inbound(host)
        host.listen((self.machine.ip, own.internal_ports[0]), RpcServer({}, self._accept_link).accept)
        mesh_state = MeshStateReplica(host, cast("Any", None), list, lambda: None)
        mesh_state.ready, mesh_state.table = True, RoutingTable(TABLE)
        source = Source(host, own, mesh_state, self.inbound, lambda: 0.5, self.inbound.lifetime)
        self.outbound = Outbound(host, (self.machine.ip, OUTBOUND), mesh_state, source)
        return self.outbound

    def _accept_link(self, connection: Connection, reader: FrameReader, frames: list[Any]) -> Handler:
        return LinkServer(connection, reader, frames, self._begin)

    def _begin(self, request: ForwardedRequest, responder: StreamResponder) -> InboundRequest:
        return self.inbound.begin(request, responder)

    def start(self) -> None:
        """Starts sidecar and backend."""
        self.sidecar.start()
        self.app.start()


class Trial:
    """A client of the first machine; the backend is on the same machine, or behind a link."""

    def __init__(self, is_local: bool) -> None:
        self.world = World(1)
        self.world.strict = True
        network = Network(self.world)
        self.first, self.other = Gated(network, IP), Gated(network, OTHER_IP)
        self.client_process = Process(self.first.machine, "client", lambda host: None)
        self.served = self.first if is_local else self.other
        for each in (self.first, self.other):
            each.start()
        self.client_process.start()
        self.run(2.0)
        self.first.outbound.source.update_backend(
            self.served.machine.ip, {"s": SERVICE, "b": INSTANCE, "st": 1, "sl": 4}, ZONE
        )

    def run(self, seconds: float) -> None:
        """Lets time pass; an exception in a program fails the test."""
        self.world.run(self.world.now + seconds)
        assert not self.world.crashes, self.world.crashes[0][2]

    def serve(self, answer: Body, pause_s: float) -> list[ReceivedRequest]:
        """Lets the backend answer each request in parts; returns the requests that it will have read."""
        backend = cast("ScriptedBackend", self.served.app.program)

        def respond(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
            scripted.send(
                b"HTTP/1.1 200 OK\r\nX-Honeywharf-Attempt-Id: %b\r\n"
                b"X-Honeywharf-Server-Seal: 3e\r\n%b\r\n\r\n" % (request.attempt, answer.framing)
            )
            answer.write(self.served.app, scripted.send, pause_s)

        backend.serve = respond
        return backend.requests

    def send(self, kind: str, body: Body, pause_s: float = PAUSE_S) -> HttpClient:
        """Sends a request in parts."""
        client = HttpClient(self.client_process, (IP, OUTBOUND))
        client.send(
            b"POST /%b/1 HTTP/1.1\r\nHost: shop.example\r\nX-Honeywharf-Attempt-Id: %b\r\n"
            b"X-Honeywharf-Deadline-Remaining: %d\r\n%b\r\n\r\n"
            % (kind.encode(), ATTEMPT, DEADLINE_MS, body.framing)
        )
        body.write(self.client_process, client.send, pause_s)
        return client

    def check_released(self) -> None:
        """Checks that no slot, no request and no buffered byte is left."""
        for each in (self.first, self.other):
            assert each.inbound.gate.admission.running == 0
            assert not each.inbound.pending_requests
            assert not each.outbound.source.active_requests


def check_whole(is_local: bool, kind: str, body: Body, answer: Body, pause_s: float) -> None:
    """Checks that a request and its answer arrive whole, and that all is released."""
    trial = Trial(is_local)
    requests = trial.serve(answer, pause_s)
    client = trial.send(kind, body)
    trial.run(DEADLINE_MS / 1000 - 0.1)
    assert [request.body for request in requests] == [body.data]
    assert [(status, data) for status, _, data in client.answers()] == [(200, answer.data)]
    trial.check_released()


@pytest.mark.parametrize("is_local", [True, False])
@settings(max_examples=120, deadline=None)
@given(answer=BODIES, pause_s=st.sampled_from((0.0, PAUSE_S)))
@example(answer=Body(200_000, (8_000,)), pause_s=PAUSE_S)
def test_an_answer_in_parts_arrives_whole(is_local: bool, answer: Body, pause_s: float) -> None:
    """Guards against LOST: answers over 64 KiB in parts from the own backend stood still for ever."""
    check_whole(is_local, "read_only", Body(0), answer, pause_s)


@pytest.mark.parametrize("is_local", [True, False])
@settings(max_examples=120, deadline=None)
@given(body=BODIES)
def test_a_body_in_parts_arrives_whole(is_local: bool, body: Body) -> None:
    """Guards against bodies that stand still, or whose parts are lost or sent twice, at a paused client."""
    check_whole(is_local, "upload", body, Body(4, (4,)), 0.0)


@pytest.mark.parametrize("is_local", [True, False])
@settings(max_examples=60, deadline=None)
@given(
    answer=BODIES.filter(lambda body: body.size > inbound.MAX_WHOLE_ANSWER_BYTES),
    reads=st.lists(st.booleans(), min_size=1, max_size=12),
)
def test_an_answer_waits_for_a_client_that_stops_reading_and_arrives_whole(
    is_local: bool, answer: Body, reads: list[bool]
) -> None:
    """Guards against answers that stand still, or are buffered without a bound, at a slow client."""
    trial = Trial(is_local)
    trial.serve(answer, 0.0)
    client = trial.send("read_only", Body(0))
    for is_reading in reads:
        client.connection.resume() if is_reading else client.connection.pause()
        trial.run(0.01)
        for request in trial.served.inbound.pending_requests:
            assert sum(map(len, request.answer_parts)) <= 2 * WINDOW_SIZE
    client.connection.resume()
    trial.run(2.0)
    assert [data for _, _, data in client.answers()] == [answer.data]
    trial.check_released()


@pytest.mark.parametrize("is_local", [True, False])
@settings(max_examples=20, deadline=None)
@given(
    parts=LARGE_PARTS,
    is_chunked=st.booleans(),
    reads=st.lists(st.booleans(), min_size=2, max_size=16).filter(any),
)
def test_a_long_upload_is_held_within_its_bounds_at_a_slow_backend(
    is_local: bool, parts: list[int], is_chunked: bool, reads: list[bool]
) -> None:
    """Guards against a sidecar that runs out of memory: long uploads were read without a bound."""
    trial = Trial(is_local)
    body = Body(700_000 if is_chunked else 2 << 20, tuple(parts), is_chunked)
    requests = trial.serve(Body(4, (4,)), 0.0)
    client = trial.send("upload", body, pause_s=0.0)
    backend = cast("ScriptedBackend", trial.served.app.program)
    for turn in range(100):
        for scripted in backend.accepted:
            scripted.connection.resume() if reads[turn % len(reads)] else scripted.connection.pause()
        trial.run(0.01)
        for request in trial.first.outbound.source.active_requests:
            assert request.pending_bytes <= MAX_HELD_BODY_BYTES + READ_BYTES
            assert request.retained_bytes <= MAX_RETAINED_BODY_BYTES + MAX_HELD_BODY_BYTES + 2 * READ_BYTES
        for inbound_request in trial.served.inbound.pending_requests:
            assert sum(map(len, inbound_request.body)) <= inbound.MAX_HELD_BODY_BYTES + 2 * WINDOW_SIZE
    for scripted in backend.accepted:
        scripted.connection.resume()
    trial.run(1.0)
    assert [request.body for request in requests] == [body.data]
    assert [status for status, _, _ in client.answers()] == [200]
    trial.check_released()
