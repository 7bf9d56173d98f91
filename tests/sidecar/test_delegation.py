"""Delegated requests at both ends: sent complete, delegated once, never run twice."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from honeywharf.mesh_config.routes import RoutingTable
from honeywharf.sidecar import delegation
from honeywharf.sidecar.outbound_request import DELEGATED_ROUTE, MAX_DELEGATES, OutboundRequest
from honeywharf.transport.stream import DELEGATED, INITIAL_WINDOW, ForwardedRequest
from honeywharf.verdict import (
    CONNECTION_BROKEN,
    DRIFT,
    FULL,
    LINK_LOST,
    MAY_HAVE_RUN,
    NOT_RUN,
    SHUTTING_DOWN,
    TIMED_OUT,
    Verdict,
)
from tests.sidecar.fixtures import (
    ATTEMPT,
    SERVICE,
    TABLE,
    FakeChannel,
    FakeSource,
    ManualClock,
    RecordingClient,
    head,
)

DRIFT_REJECTION = Verdict(NOT_RUN, DRIFT, False, 0.05)


class DelegatingSetup:
    """A sidecar that suspects its rules, with two delegates and one request of its client."""

    def __init__(self, length: int = 0, delegates: tuple[str, ...] = ("10.1.0.30", "10.1.0.31")) -> None:
        self.clock, self.client = ManualClock(), RecordingClient()
        self.source = FakeSource(self.clock)
        self.source.pick_delegate = lambda tried: next((key for key in delegates if key not in tried), None)
        self.request = OutboundRequest(
            self.source, self.client, head(length), DELEGATED_ROUTE, self.clock.now() + 2.0
        )
        self.source.active_requests[self.request] = None
        self.request.start()

    @property
    def last(self) -> FakeChannel:
        return self.source.channels[-1]


def test_a_delegated_request_names_its_caller_and_carries_no_rule() -> None:
    setup = DelegatingSetup(length=5)
    forwarded = setup.last.forwarded
    assert (setup.last.key, forwarded.kind, forwarded.service, forwarded.rule) == (
        "10.1.0.30",
        DELEGATED,
        "",
        b"",
    )
    assert (forwarded.attempt_id, forwarded.caller, forwarded.length) == (ATTEMPT, SERVICE, 5)
    assert forwarded.fields == b"".join(head(5).fields)
    assert forwarded.remaining_s < 2.0
    again = ForwardedRequest.unpack([0, 1, *_frame(forwarded)])
    assert (again.kind, again.caller, again.fields) == (DELEGATED, SERVICE, forwarded.fields)
    setup.request.data(b"hello")
    setup.request.end()
    assert bytes(setup.last.body) == b""
    setup.request.gate_admitted()
    assert (bytes(setup.last.body), setup.last.ends) == (b"hello", 1)
    setup.request.answered(201, b"", 2, b"ok")
    assert setup.client.events == [("answer", 201)]
    assert setup.source.delegated == 1


def _frame(forwarded: ForwardedRequest) -> list[Any]:
    return [
        forwarded.service,
        forwarded.attempt_id,
        forwarded.kind,
        int(forwarded.remaining_s * 1000),
        0,
        forwarded.priority,
        0,
        forwarded.caller,
        forwarded.method,
        forwarded.target,
        forwarded.fields,
        forwarded.length,
        forwarded.revision,
        forwarded.rule,
    ]


def test_one_more_delegate_is_tried_where_the_first_rejects_or_is_lost() -> None:
    for first in (
        DRIFT_REJECTION,
        Verdict(NOT_RUN, DRIFT),
        Verdict(NOT_RUN, SHUTTING_DOWN),
        Verdict(NOT_RUN, LINK_LOST),
    ):
        setup = DelegatingSetup()
        setup.request.failed(first)
        assert setup.last.key == "10.1.0.31"
        setup.request.failed(DRIFT_REJECTION)
        assert len(setup.source.channels) == MAX_DELEGATES
        assert setup.client.events[0][:2] == ("final", 503)
        assert float(str(setup.client.events[0][2])) > 0
        assert setup.client.ends == 1


@pytest.mark.parametrize(
    ("verdict", "wanted"),
    [
        (Verdict(NOT_RUN, FULL, False, 0.7), ("final", 503, 0.7)),
        (Verdict(MAY_HAVE_RUN, TIMED_OUT, True), ("final", 504, 0.0)),
        (Verdict(MAY_HAVE_RUN, CONNECTION_BROKEN, True), ("final", 502, 0.0)),
        (Verdict(MAY_HAVE_RUN, LINK_LOST), ("final", 502, 0.0)),
    ],
)
def test_a_helpers_last_word_is_the_last_word(verdict: Verdict, wanted: tuple[object, ...]) -> None:
    setup = DelegatingSetup()
    setup.request.failed(verdict)
    assert setup.client.events == [wanted]
    assert len(setup.source.channels) == 1


def test_without_a_delegate_the_answer_is_503_with_retry_after() -> None:
    setup = DelegatingSetup(delegates=())
    assert setup.client.events[0][:2] == ("final", 503)
    assert setup.source.delegated == 0


class DriftMonitor:
    """The part of the drift monitor that outbound requests call."""

    def __init__(self) -> None:
        self.disagreeing_peers: dict[str, object] = {}
        self.retry_after_s = 0.0

    def refresh_and_retry(self, request: OutboundRequest, key: str) -> None:
        request.reroute()

    def rule_digest(self, route: object) -> bytes:
        return b"12345678"

    def check_service(self, route: Any, draw: float, service: str) -> str:
        return service

    def check_route(self, host: bytes, path: bytes, route: Any) -> tuple[Any, float]:
        return route, self.retry_after_s


def request_rejected_for_drift(caller: str | None = None, reached_backend: bool = False) -> Any:
    """Runs a request whose gates all hold another rule, and returns its source."""
    clock, client = ManualClock(), RecordingClient()
    source: Any = FakeSource(clock)
    source.mesh_state.table, source.drift_monitor = RoutingTable(TABLE), DriftMonitor()
    source.list_gates("10.1.0.20", "10.1.0.21")
    source.pick_delegate = lambda tried: None if "10.1.0.30" in tried else "10.1.0.30"
    made = head(0)
    made.target = b"/mutating/1"
    request = OutboundRequest(
        source, client, made, source.mesh_state.find(made.host, made.target), clock.now() + 2.0, caller
    )
    source.active_requests[request] = None
    request.start()
    if reached_backend:
        request.failed(Verdict(NOT_RUN, FULL, True))
    for _ in range(4):
        if not request.is_over and request.route is not DELEGATED_ROUTE:
            request.failed(Verdict(NOT_RUN, DRIFT))
    return source


def test_a_request_is_delegated_where_every_gate_holds_another_rule() -> None:
    source = request_rejected_for_drift()
    assert source.delegated == 1
    assert source.channels[-1].key == "10.1.0.30"
    assert source.channels[-1].forwarded.kind == DELEGATED


def test_no_request_is_delegated_twice_or_after_it_has_reached_a_backend() -> None:
    assert request_rejected_for_drift(caller="tile-vault").delegated == 0
    assert request_rejected_for_drift(reached_backend=True).delegated == 0


class RecordingResponder:
    """Records what is sent back to the delegating sidecar."""

    def __init__(self) -> None:
        self.events: list[tuple[object, ...]] = []
        self.requested_bytes = 0

    def admit(self) -> None:
        self.events.append(("go",))
        self.requested_bytes += INITIAL_WINDOW

    def window(self, size: int) -> None:
        self.requested_bytes += size

    def answer(self, status: int, fields: bytes, length: int, load: object, body: bytes | None) -> None:
        self.events.append(("answer", status, body))

    def data(self, data: bytes) -> None:
        self.events.append(("data", data))

    def complete(self) -> None:
        self.events.append(("whole",))

    def fail(self, verdict: Verdict, load: object) -> None:
        self.events.append(("fail", verdict.ran, verdict.why, verdict.retry_after_s))


class DelegateSetup:
    """A healthy sidecar, and one request delegated to it."""

    def __init__(self, length: int = 0, target: bytes = b"/mutating/1", revision: int = 7) -> None:
        self.clock = ManualClock()
        source: Any = FakeSource(self.clock)
        self.source = source
        self.source.mesh_state.table, self.source.mesh_state.ready, self.source.mesh_state.revision = (
            RoutingTable(TABLE),
            True,
            7,
        )
        source.inbound = SimpleNamespace(shutting_down=False)
        self.source.pick_delegate = lambda tried: "10.1.0.30"
        self.source.list_gates("10.1.0.20")
        self.responder: Any = RecordingResponder()
        made = head(length)
        self.forwarded = ForwardedRequest(
            service="",
            attempt_id=ATTEMPT,
            kind=DELEGATED,
            remaining_s=1.5,
            max_queue_wait_s=0.0,
            priority=0,
            latency_target_s=1.0,
            caller="tile-vault",
            method=made.method,
            target=target,
            fields=b"".join(made.fields),
            length=length,
            revision=revision,
        )

    def begin(self) -> Any:
        return delegation.begin_delegated(self.source, self.forwarded, b"shop.example", self.responder)


def test_a_delegated_request_is_decided_by_the_delegates_rules_for_its_caller() -> None:
    setup = DelegateSetup(length=3)
    work = setup.begin()
    forwarded = setup.source.channels[-1].forwarded
    assert (forwarded.kind, forwarded.service, forwarded.caller, forwarded.attempt_id) == (
        1,
        SERVICE,
        "tile-vault",
        ATTEMPT,
    )
    assert forwarded.fields == setup.forwarded.fields
    assert forwarded.remaining_s <= 1.5
    work.data(b"abc")
    work.end()
    request = next(iter(setup.source.active_requests))
    request.gate_admitted()
    assert bytes(setup.source.channels[-1].body) == b"abc"
    request.answered(200, b"", 2, b"ok")
    assert setup.responder.events == [("go",), ("answer", 200, b"ok")]
    assert (setup.source.accepted_delegations, setup.source.active_requests) == ({}, {})


@pytest.mark.parametrize(
    ("status", "events"),
    [
        (503, ("fail", NOT_RUN, FULL, 0.3)),
        (504, ("fail", MAY_HAVE_RUN, TIMED_OUT, 0.0)),
        (502, ("fail", MAY_HAVE_RUN, CONNECTION_BROKEN, 0.0)),
        (404, ("answer", 404, b"words")),
    ],
)
def test_a_local_answer_is_passed_back_with_its_verdict(status: int, events: tuple[object, ...]) -> None:
    setup = DelegateSetup()
    setup.begin()
    delegated_request = next(iter(setup.source.accepted_delegations))
    delegated_request.final(delegated_request.request, status, 0.3 if status == 503 else 0.0, b"words")
    assert setup.responder.events == [events]
    assert setup.source.accepted_delegations == {}


def test_a_delegate_that_can_not_decide_rejects_at_once() -> None:
    older = DelegateSetup(revision=8)
    assert older.begin() is None
    assert older.responder.events == [("fail", NOT_RUN, DRIFT, delegation.REJECTION_RETRY_AFTER_S)]
    leaving = DelegateSetup()
    leaving.source.inbound.shutting_down = True
    assert leaving.begin() is None
    assert leaving.responder.events[0][2] == SHUTTING_DOWN
    ending = DelegateSetup()
    now = ending.clock.now()
    ending.source.lifetime.plan_end(now + 1.4, now + 0.7)  # the request may take 1.5 s
    assert ending.begin() is None
    assert ending.responder.events[0][:3] == ("fail", NOT_RUN, SHUTTING_DOWN)
    doubting = DelegateSetup()
    doubting.source.drift_monitor = DriftMonitor()
    doubting.source.drift_monitor.retry_after_s = 0.4
    assert doubting.begin() is None
    assert doubting.responder.events == [("fail", NOT_RUN, DRIFT, 0.4)]
    nowhere = DelegateSetup(target=b"/nowhere/1")
    assert nowhere.begin() is None
    assert nowhere.responder.events == [("answer", 404, b"no route")]
    assert nowhere.source.active_requests == {}


def test_delegated_requests_and_their_bodies_are_bounded() -> None:
    setup = DelegateSetup(length=1 << 20)
    works = [setup.begin() for _ in range(delegation.MAX_DELEGATED + 1)]
    assert works[-1] is None
    assert len(setup.source.accepted_delegations) == delegation.MAX_DELEGATED
    works[0].cancel()
    assert len(setup.source.accepted_delegations) == delegation.MAX_DELEGATED - 1
    assert setup.begin() is not None
    one = DelegateSetup(length=1 << 20)
    work = one.begin()
    request, most, sent = next(iter(one.source.active_requests)), 0, 0
    request.gate_admitted()
    while sent < 1 << 20 and one.responder.requested_bytes > sent:
        step = min(one.responder.requested_bytes - sent, (1 << 20) - sent)
        work.data(bytes(step))
        sent += step
        most = max(most, request.pending_bytes)
        request.window(INITIAL_WINDOW)
    assert most <= delegation.READ_AHEAD_BYTES
    assert sent == 1 << 20


def test_an_answer_in_parts_is_passed_on_in_parts() -> None:
    setup = DelegateSetup()
    work = setup.begin()
    request = next(iter(setup.source.active_requests))
    request.answered(200, b"", 9, None)
    request.answer_data(b"abc")
    work.window(3)
    assert setup.source.channels[-1].answer_bytes_forwarded == 3
    request.failed(Verdict(MAY_HAVE_RUN, CONNECTION_BROKEN, True))
    assert setup.responder.events == [
        ("answer", 200, None),
        ("data", b"abc"),
        ("fail", MAY_HAVE_RUN, CONNECTION_BROKEN, 0.0),
    ]
