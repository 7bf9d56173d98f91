"""What the backend tells, and what is asked of its health where nothing else tells."""

from __future__ import annotations

import json
from typing import Any, cast

import pytest

from honeywharf.sidecar.beats import MAX_ID, Beats
from honeywharf.sidecar.gate import DRAINING, ENDED, READY, UNKNOWN, Gate
from honeywharf.sidecar.probe import LONGEST_S, PATIENT_S, WITHIN_S, Probe
from honeywharf.simulation.deployment import APPLICATION, CONTROL
from honeywharf.simulation.machine import Machine, Network, Process
from honeywharf.simulation.world import World
from honeywharf.transport.http_server import HttpServer
from tests.sidecar.stage import IP, LIFE, SERVICE, ZONE, Backend, Caller, Request, Visit


class Desk:
    """A gate that is told by beats over a door, and by a probe of a scripted backend."""

    def __init__(self) -> None:
        self.world = World(1)
        self.world.strict = True
        self.machine = Machine(Network(self.world), IP, ZONE)
        self.told = 0
        self.sidecar = Process(self.machine, "sidecar", self._sidecar)
        self.app = Process(self.machine, "app", Backend)
        self.sidecar.start()
        self.app.start()
        self.run()

    def _sidecar(self, host: Process) -> object:
        self.gate = Gate(host.now(), SERVICE, 1.5, 5.0)
        self.beats = Beats(host, self.gate, self._tell)
        self.door = HttpServer(host, (IP, CONTROL), self.beats.take, 1 << 20)
        self.probe = Probe(host, (IP, APPLICATION), self.gate, self._tell)
        return self.gate

    def _tell(self) -> None:
        self.told += 1

    @property
    def backend(self) -> Backend:
        """The scripted backend."""
        return cast("Backend", self.app.program)

    def run(self, seconds: float = 0.02) -> None:
        """Let time pass; a fault of a program fails the test."""
        self.world.run(self.world.now + seconds)
        assert not self.world.crashes, self.world.crashes[0][2]

    def call(self, path: str, body: object = None, method: str = "POST") -> int:
        """One call to the door; its status."""
        caller = Caller(self.app, (IP, CONTROL))
        data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        top = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
        caller.send(top.encode() + data)
        self.run()
        ((status, _, _),) = caller.answers()
        return status

    def beat(self, sequence: int = 4, life: str = LIFE, **changes: Any) -> int:
        """One beat, as PROTOCOL shows it; `changes` go into its status, or its details."""
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
        return self.call(f"/api/instances/{life}/heartbeat", {"address": f"{IP}:{APPLICATION}", **body})


def test_a_beat_says_that_the_backend_is_ready_how_many_slots_and_how_cold() -> None:
    desk = Desk()
    assert desk.beat(cold_remaining="2.5s") == 200
    gate = desk.gate
    assert (gate.state, gate.instance, gate.admission.slots, gate.sequence) == (READY, LIFE, 12, 4)
    assert gate.is_cold(desk.sidecar.now() + 2.4)
    assert not gate.is_cold(desk.sidecar.now() + 3.0)
    assert desk.told == 1


def test_what_is_acknowledged_is_in_force_and_what_is_late_changes_nothing() -> None:
    desk = Desk()
    desk.beat(4)
    assert desk.beat(5, state="draining") == 200
    assert desk.gate.state == DRAINING
    assert desk.beat(4) == 200
    assert desk.gate.state == DRAINING
    assert (desk.beats.taken, desk.beats.late) == (3, 1)
    assert desk.call(f"/api/instances/{LIFE}/deregister") == 200
    assert desk.gate.state == ENDED
    assert desk.beat(9) == 200
    assert desk.gate.state == ENDED
    assert desk.beat(1, life="i-next") == 200
    assert (desk.gate.state, desk.gate.instance) == (READY, "i-next")


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
def test_a_beat_that_makes_no_sense_is_refused_and_changes_nothing(changes: dict[str, Any]) -> None:
    desk = Desk()
    assert desk.beat(**changes) == 400
    assert (desk.gate.state, desk.told) == (UNKNOWN, 0)


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
def test_a_body_that_is_no_beat_is_400(body: bytes) -> None:
    desk = Desk()
    assert desk.call(f"/api/instances/{LIFE}/heartbeat", body) == 400
    assert desk.gate.state == UNKNOWN


def test_a_beat_of_another_service_is_not_acknowledged() -> None:
    desk = Desk()
    assert desk.beat(target_service="another") == 409
    assert desk.gate.state == UNKNOWN


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", f"/api/instances/{LIFE}/heartbeat", 405),
        ("POST", "/api/instances", 404),
        ("POST", "/", 404),
        ("POST", "/api/instances/" + "i" * (MAX_ID + 1) + "/deregister", 400),
    ],
)
def test_what_is_no_call_of_a_backend(method: str, path: str, status: int) -> None:
    desk = Desk()
    assert desk.call(path, method=method) == status


# Probes.


def healthy(visit: Visit, request: Request, status: int = 200, cold: bytes = b"", life: str = LIFE) -> None:
    visit.send(
        b"HTTP/1.1 %d OK\r\nX-Honeywharf-Instance-Id: %b\r\nX-Honeywharf-Instance-Load: 1,0,9\r\n"
        b"%bContent-Length: 0\r\n\r\n" % (status, life.encode(), cold)
    )


def probed(desk: Desk, seconds: float) -> int:
    """Look, and count the probes that come."""
    desk.probe.path = b"/health"
    before = len(desk.backend.requests)
    desk.probe.look()
    desk.run(seconds)
    return len(desk.backend.requests) - before


def test_a_new_process_asks_once_and_knows_then() -> None:
    desk = Desk()
    cold = b"X-Honeywharf-Cold-Remaining: 700\r\n"
    desk.backend.serve = lambda visit, request: healthy(visit, request, cold=cold)
    assert probed(desk, 5.0) == 1
    assert desk.backend.requests[0].line == b"GET /health HTTP/1.1"
    assert (desk.gate.state, desk.gate.instance, desk.gate.admission.slots) == (READY, LIFE, 9)
    assert desk.backend.open == 0
    assert desk.gate.cold_until > 0


def test_a_beat_in_time_spares_the_probe() -> None:
    desk = Desk()
    desk.probe.path = b"/health"
    desk.probe.look()
    desk.run(PATIENT_S / 4)
    desk.beat()
    desk.run(5.0)
    assert desk.backend.requests == []
    assert probed(desk, 5.0) == 0


def test_nothing_is_asked_before_a_configuration_tells_the_path() -> None:
    desk = Desk()
    desk.probe.look()
    desk.run(5.0)
    assert not desk.backend.visits


@pytest.mark.parametrize("how", ["ill", "silent", "garbage", "close"])
def test_one_that_does_not_answer_well_is_asked_again_with_growing_pauses(how: str) -> None:
    desk = Desk()

    def serve(visit: Visit, request: Request) -> None:
        if how == "ill":
            healthy(visit, request, 503)
        elif how == "garbage":
            visit.send(b"nonsense\r\n\r\n")
        elif how == "close":
            visit.connection.close()

    desk.backend.serve = serve
    desk.probe.path = b"/health"
    desk.probe.look()
    desk.run(30.0)
    asked = len(desk.backend.requests)
    assert 30.0 / (LONGEST_S + WITHIN_S + 0.1) - 1 <= asked <= 30.0 / LONGEST_S + 4
    assert desk.gate.state == UNKNOWN
    assert desk.backend.open <= 1
    desk.backend.serve = healthy
    desk.run(LONGEST_S + WITHIN_S + 0.1)
    assert desk.gate.state == READY


def test_a_zone_taken_back_is_asked_for_what_is_cold_now() -> None:
    desk = Desk()
    cold = b"X-Honeywharf-Cold-Remaining: 3000\r\n"
    desk.backend.serve = lambda visit, request: healthy(visit, request, cold=cold)
    desk.beat()
    now = desk.sidecar.now()
    desk.gate.evacuate(now, on=True)
    desk.gate.evacuate(now + 0.001, on=False)
    desk.run(0.002)
    assert probed(desk, 1.0) == 1
    assert not desk.gate.doubted
    assert desk.gate.is_cold(desk.sidecar.now())


def test_a_health_answer_does_not_undo_that_the_backend_leaves() -> None:
    desk = Desk()
    desk.backend.serve = healthy
    desk.probe.path = b"/health"
    desk.probe.look()
    desk.run(PATIENT_S / 2)
    desk.beat(state="draining")
    desk.run(5.0)
    assert desk.gate.state == DRAINING
