"""Heartbeats and deregistration over HTTP, and health checks where no heartbeat comes."""

from __future__ import annotations

import json
from typing import Any, cast

import pytest

from honeywharf.admission.departures import DEREGISTERED, backend_key
from honeywharf.sidecar.gate import DRAINING, ENDED, READY, UNKNOWN, Gate
from honeywharf.sidecar.heartbeat_api import MAX_ID, HeartbeatApi
from honeywharf.sidecar.probe import (
    FIRST_DELAY_S,
    MAX_FAILED_CHECKS,
    MAX_RETRY_DELAY_S,
    TIMEOUT_S,
    Probe,
)
from honeywharf.simulation.deployment import APPLICATION, CONTROL
from honeywharf.simulation.machine import Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport.http_server import HttpServer
from tests.sidecar.fixtures import (
    INSTANCE,
    IP,
    SERVICE,
    ZONE,
    HttpClient,
    ReceivedRequest,
    ScriptedBackend,
    ScriptedConnection,
)


class GateSetup:
    """A gate with its heartbeat API, and a health probe of a scripted backend."""

    def __init__(self) -> None:
        self.world = World(1)
        self.world.strict = True
        self.machine = Machine(Network(self.world), IP, ZONE)
        self.gate_changes = 0
        self.sidecar = Process(self.machine, "sidecar", self._sidecar)
        self.app = Process(self.machine, "app", ScriptedBackend)
        self.sidecar.start()
        self.app.start()
        self.run()

    def _sidecar(self, host: Process) -> object:
        self.gate = Gate(host.now(), SERVICE, 1.5, 5.0)
        self.heartbeat_api = HeartbeatApi(host, self.gate, self._tell, (IP, CONTROL))
        self.http_server = HttpServer(host, (IP, CONTROL), self.heartbeat_api.handle, 1 << 20)
        self.probe = Probe(host, (IP, APPLICATION), self.gate, self._tell)
        return self.gate

    def _tell(self) -> None:
        self.gate_changes += 1

    @property
    def backend(self) -> ScriptedBackend:
        """The scripted backend."""
        return cast("ScriptedBackend", self.app.program)

    def run(self, seconds: float = 0.02) -> None:
        """Let time pass; a fault of a program fails the test."""
        self.world.run(self.world.now + seconds)
        assert not self.world.crashes, self.world.crashes[0][2]

    def call(self, path: str, body: object = None, method: str = "POST") -> int:
        """Makes one call to the heartbeat API; returns its status."""
        caller = HttpClient(self.app, (IP, CONTROL))
        data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        top = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
        caller.send(top.encode() + data)
        self.run()
        ((status, _, _),) = caller.answers()
        return status

    def send_heartbeat(self, sequence: int = 4, instance_id: str = INSTANCE, **changes: Any) -> int:
        """Sends a heartbeat; `changes` replace fields of its status or its details."""
        body: dict[str, dict[str, Any]] = {
            "details": {
                "target-service": SERVICE,
                "config-version": "v1",
                "zone": ZONE,
                "capacity-slots": 12,
            },
            "status": {"state": "ready", "call-sequence": sequence, "cold-remaining": "0ms"},
        }
        for name, value in changes.items():
            key = name.replace("_", "-")
            body["details" if key in body["details"] else "status"][key] = value
        return self.call(
            f"/api/instances/{instance_id}/heartbeat", {"address": f"{IP}:{APPLICATION}", **body}
        )


def test_a_heartbeat_sets_state_slots_and_cold_time() -> None:
    setup = GateSetup()
    setup.gate.warmup.needs_check = False  # as after a first health check
    assert setup.send_heartbeat(cold_remaining="2.5s") == 200
    gate = setup.gate
    assert (gate.state, gate.instance, gate.admission.slots, gate.sequence) == (READY, INSTANCE, 12, 4)
    assert gate.warmup.is_warming_up(setup.sidecar.now() + 2.4)
    assert not gate.warmup.is_warming_up(setup.sidecar.now() + 3.0)
    assert setup.gate_changes == 1


def test_an_acknowledged_heartbeat_is_in_force_and_a_late_one_changes_nothing() -> None:
    setup = GateSetup()
    setup.send_heartbeat(4)
    assert setup.send_heartbeat(5, state="draining") == 200
    assert setup.gate.state == DRAINING
    assert setup.send_heartbeat(4) == 200
    assert setup.gate.state == DRAINING
    assert (setup.heartbeat_api.received, setup.heartbeat_api.late) == (3, 1)
    assert setup.call(f"/api/instances/{INSTANCE}/deregister") == 200
    assert setup.gate.state == ENDED
    assert setup.send_heartbeat(9) == 200
    assert setup.gate.state == ENDED
    assert setup.send_heartbeat(1, instance_id="i-next") == 200
    assert (setup.gate.state, setup.gate.instance) == (READY, "i-next")


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "well"},
        {"state": None},
        {"call_sequence": "x"},
        {"call_sequence": None},
        {"capacity_slots": -1},
        {"cold_remaining": "soon"},
        {"cold_remaining": 5},
        {"capacity_slots": "many"},
    ],
)
def test_an_invalid_heartbeat_is_rejected_and_changes_nothing(changes: dict[str, Any]) -> None:
    setup = GateSetup()
    assert setup.send_heartbeat(**changes) == 400
    assert (setup.gate.state, setup.gate_changes) == (UNKNOWN, 0)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b"7",
        b'{"status":[]}',
        b'{"status":{}}',
        b"\xff\xfe",
        b'{"details":7,"status":{}}',
        b'{"status":{"state":"ready","call-sequence":1e999}}',
        b"[" * 100_000,
    ],
)
def test_a_body_that_is_no_heartbeat_is_400(body: bytes) -> None:
    setup = GateSetup()
    assert setup.call(f"/api/instances/{INSTANCE}/heartbeat", body) == 400
    assert setup.gate.state == UNKNOWN


def test_a_heartbeat_of_another_service_is_not_acknowledged() -> None:
    setup = GateSetup()
    assert setup.send_heartbeat(target_service="another") == 409
    assert setup.gate.state == UNKNOWN


def test_a_heartbeat_of_another_machines_backend_is_redirected_there_and_changes_nothing() -> None:
    """Guards against a statement of another machine's backend that displaces the one here."""
    setup = GateSetup()
    setup.send_heartbeat()
    caller = HttpClient(setup.app, (IP, CONTROL))
    body = json.dumps(
        {
            "address": "10.1.0.77:8301",
            "status": {"state": "ready", "call-sequence": 3, "cold-remaining": "0ms"},
        }
    ).encode()
    path = f"/api/instances/i-other/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    caller.send(f"POST {path}".encode() + body)
    setup.run()
    ((status, top, _),) = caller.answers()
    assert status == 307
    assert (
        f"Location: http://10.1.0.77:{CONTROL}/api/instances/i-other/heartbeat\r\n".encode() in top + b"\r\n"
    )
    assert (setup.gate.instance, setup.gate.state) == (INSTANCE, READY)


@pytest.mark.parametrize("what", ["draining", "deregister"])
def test_a_departure_is_acknowledged_only_once_it_is_recorded_elsewhere(what: str) -> None:
    setup = GateSetup()
    setup.send_heartbeat(4)
    waiting: list[Any] = []
    setup.heartbeat_api.recorded = lambda departures, done: waiting.append((departures, done))
    caller = HttpClient(setup.app, (IP, CONTROL))
    body = b"" if what == "deregister" else b'{"status":{"state":"draining","call-sequence":5}}'
    name = "deregister" if what == "deregister" else "heartbeat"
    top = f"POST /api/instances/{INSTANCE}/{name} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    caller.send(top.encode() + body)
    setup.run()
    assert caller.data == b""
    assert setup.gate.state == (ENDED if what == "deregister" else DRAINING)  # in force at once
    ((departures, done),) = waiting
    assert departures == {backend_key(INSTANCE): DEREGISTERED if what == "deregister" else 5}
    done()
    setup.run()
    assert caller.statuses() == [200]


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", f"/api/instances/{INSTANCE}/heartbeat", 405),
        ("POST", "/api/instances", 404),
        ("POST", "/", 404),
        ("POST", "/api/instances/" + "i" * (MAX_ID + 1) + "/deregister", 400),
    ],
)
def test_other_calls_of_the_heartbeat_api_are_rejected(method: str, path: str, status: int) -> None:
    setup = GateSetup()
    assert setup.call(path, method=method) == status


# Health checks.


def healthy(
    scripted: ScriptedConnection,
    request: ReceivedRequest,
    status: int = 200,
    cold: bytes = b"",
    instance_id: str = INSTANCE,
) -> None:
    scripted.send(
        b"HTTP/1.1 %d OK\r\nX-Honeywharf-Instance-Id: %b\r\nX-Honeywharf-Instance-Load: 1,0,9\r\n"
        b"%bContent-Length: 0\r\n\r\n" % (status, instance_id.encode(), cold)
    )


def probed(setup: GateSetup, seconds: float) -> int:
    """Schedules a health check, and counts those that arrive."""
    setup.probe.path = b"/health"
    before = len(setup.backend.requests)
    setup.probe.schedule()
    setup.run(seconds)
    return len(setup.backend.requests) - before


def test_a_new_process_sends_one_health_check() -> None:
    setup = GateSetup()
    cold = b"X-Honeywharf-Cold-Remaining: 700\r\n"
    setup.backend.serve = lambda scripted, request: healthy(scripted, request, cold=cold)
    assert probed(setup, 5.0) == 1
    assert setup.backend.requests[0].line == b"GET /health HTTP/1.1"
    assert (setup.gate.state, setup.gate.instance, setup.gate.admission.slots) == (READY, INSTANCE, 9)
    assert setup.backend.open == 0
    assert setup.gate.warmup.until > 0


def test_after_a_heartbeat_in_time_one_health_check_asks_for_the_cold_time() -> None:
    """Guards against a late heartbeat's cold time that nothing corrects (FAILBACK)."""
    setup = GateSetup()
    cold = b"X-Honeywharf-Cold-Remaining: 3000\r\n"
    setup.backend.serve = lambda scripted, request: healthy(scripted, request, cold=cold)
    setup.probe.path = b"/health"
    setup.probe.schedule()
    setup.run(FIRST_DELAY_S / 4)
    setup.send_heartbeat()
    assert setup.gate.state == READY
    assert setup.backend.requests == []
    setup.run(1.0)
    assert len(setup.backend.requests) == 1
    assert setup.gate.warmup.is_warming_up(setup.sidecar.now())
    setup.run(5.0)
    assert not setup.gate.warmup.is_warming_up(setup.sidecar.now())
    assert probed(setup, 5.0) == 0


def test_after_a_first_health_check_a_heartbeat_in_time_makes_another_one_unnecessary() -> None:
    setup = GateSetup()
    setup.backend.serve = healthy
    assert probed(setup, 1.0) == 1
    setup.send_heartbeat()
    setup.gate.backend_missing()
    setup.probe.schedule()
    setup.run(FIRST_DELAY_S / 4)
    setup.send_heartbeat(5)
    setup.run(5.0)
    assert len(setup.backend.requests) == 1
    assert probed(setup, 5.0) == 0


@pytest.mark.parametrize("how", ["turned away", "without instance", "silent"])
def test_health_checks_without_an_answer_leave_the_cold_time_to_heartbeats(how: str) -> None:
    """Guards against a turned-away check that was taken for a statement of the backend."""
    setup = GateSetup()

    def serve(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        if how == "turned away":
            healthy(scripted, request, 503, b"X-Honeywharf-Not-Executed: 1\r\n")
        elif how == "without instance":
            healthy(scripted, request, 404, instance_id="")

    setup.backend.serve = serve
    setup.probe.path = b"/health"
    setup.send_heartbeat()
    setup.probe.schedule()
    setup.run(0.5)
    assert setup.gate.state == READY
    assert setup.gate.warmup.is_unknown
    setup.send_heartbeat(5)
    assert setup.gate.warmup.is_unknown
    setup.run(MAX_FAILED_CHECKS * (MAX_RETRY_DELAY_S + TIMEOUT_S))
    setup.send_heartbeat(6)
    assert not setup.gate.warmup.is_unknown
    assert not setup.gate.is_denied


def test_no_health_check_is_sent_before_a_configuration_gives_the_path() -> None:
    setup = GateSetup()
    setup.probe.schedule()
    setup.run(5.0)
    assert not setup.backend.accepted


@pytest.mark.parametrize("how", ["ill", "silent", "garbage", "close"])
def test_an_unhealthy_backend_is_checked_again_with_growing_delays(how: str) -> None:
    setup = GateSetup()

    def serve(scripted: ScriptedConnection, request: ReceivedRequest) -> None:
        if how == "ill":
            healthy(scripted, request, 503)
        elif how == "garbage":
            scripted.send(b"nonsense\r\n\r\n")
        elif how == "close":
            scripted.connection.close()

    setup.backend.serve = serve
    setup.probe.path = b"/health"
    setup.probe.schedule()
    setup.run(30.0)
    asked = len(setup.backend.requests)
    assert 30.0 / (MAX_RETRY_DELAY_S + TIMEOUT_S + 0.1) - 1 <= asked <= 30.0 / MAX_RETRY_DELAY_S + 4
    assert setup.gate.state == UNKNOWN
    assert setup.backend.open <= 1
    setup.backend.serve = healthy
    setup.run(MAX_RETRY_DELAY_S + TIMEOUT_S + 0.1)
    assert setup.gate.state == READY


def test_a_backend_is_checked_for_being_cold_after_an_evacuation() -> None:
    setup = GateSetup()
    cold = b"X-Honeywharf-Cold-Remaining: 3000\r\n"
    setup.backend.serve = lambda scripted, request: healthy(scripted, request, cold=cold)
    setup.send_heartbeat()
    now = setup.sidecar.now()
    setup.gate.set_evacuated(now, on=True)
    setup.gate.set_evacuated(now + 0.001, on=False)
    setup.run(0.002)
    assert probed(setup, 1.0) == 1
    assert not setup.gate.warmup.is_unknown
    assert setup.gate.warmup.is_warming_up(setup.sidecar.now())


def test_only_checks_that_fail_in_a_row_leave_the_cold_time_to_heartbeats() -> None:
    setup = GateSetup()

    def fail_checks() -> None:
        for _ in range(MAX_FAILED_CHECKS - 1):
            setup.probe.answered(None, setup.sidecar.now())

    setup.backend.serve = healthy
    fail_checks()
    assert probed(setup, 5.0) == 1
    setup.gate.set_evacuated(setup.sidecar.now(), on=True)
    setup.gate.set_evacuated(setup.sidecar.now(), on=False)
    fail_checks()
    setup.send_heartbeat()
    assert setup.gate.warmup.is_unknown


def test_a_health_answer_does_not_undo_draining() -> None:
    setup = GateSetup()
    setup.backend.serve = healthy
    setup.probe.path = b"/health"
    setup.probe.schedule()
    setup.run(FIRST_DELAY_S / 2)
    setup.send_heartbeat(state="draining")
    setup.run(5.0)
    assert setup.gate.state == DRAINING
