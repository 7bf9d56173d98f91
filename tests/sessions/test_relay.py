"""The relay of a gateway: its bounds, allowed regions, and the operator's API."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any, cast

from honeywharf.programs.gateway import GatewayNode
from honeywharf.sessions.frames import ACK, CHUNK_BYTES, DATA, END, GONE, HAVE, OPEN, WINDOW_BYTES
from honeywharf.sessions.relay import Relay
from honeywharf.simulation.regions import Day
from honeywharf.verdict import DRAINING, FULL, OTHER_SERVICE

Sent = list[tuple[Any, list[Any]]]


def gateway(max_bytes: int = 1 << 20, max_sessions: int = 64) -> tuple[Relay, Sent]:
    sent: Sent = []
    return Relay("b", lambda link, frame: sent.append((link, frame)), max_bytes, max_sessions), sent


def open_session(
    one: Relay,
    number: int,
    epoch: int = 1,
    length: int = -1,
    incarnation: bytes = b"",
    origin: str = "a",
    allowed_regions: tuple[str, ...] = (),
) -> bytes:
    session_id = number.to_bytes(16, "big")
    frame = [
        OPEN,
        session_id,
        epoch,
        "d",
        incarnation,
        0,
        0,
        b"x",
        length,
        1000,
        1000,
        "t",
        origin,
        list(allowed_regions),
        None,
        1 << 17,
        2,
    ]
    one.open_session(0.0, "source", frame, lambda to, priority_class: "there")
    return session_id


def test_bytes_in_flight_are_bounded_and_counted_exactly() -> None:
    for seed in range(40):
        draw = random.Random(seed)
        one, sent = gateway(200_000, 24)
        have: dict[bytes, int] = {}
        for step in range(400):
            session_id = draw.choice([*have, b""])
            session = one.relayed_sessions.get(session_id)
            if session is None:
                have.pop(session_id, None)
                length, incarnation = draw.choice((-1, 0, 500, 300_000)), draw.choice((b"", b"l"))
                session_id = open_session(one, step + 1, length=length, incarnation=incarnation)
                if session_id in one.relayed_sessions:
                    have[session_id] = 0
            elif draw.random() < 0.1:
                one.fail(session, FULL)
            elif draw.random() < 0.2:
                one.from_source("source", [ACK, session_id, session.epoch, 100, 100 + (1 << 17), 0])
            elif draw.random() < 0.1:
                one.from_source("source", [END, session_id, session.epoch, session.body.granted])
            else:
                have[session_id] = min(session.body.granted, have[session_id] + draw.randrange(40_000))
                one.from_destination(
                    "there",
                    [
                        HAVE,
                        session_id,
                        session.epoch,
                        b"l",
                        have[session_id],
                        have[session_id] + WINDOW_BYTES,
                        0,
                    ],
                )
            assert one.in_flight_bytes == sum(
                each.body.in_flight + each.answer.in_flight for each in one.relayed_sessions.values()
            )
            assert one.in_flight_bytes <= one.max_bytes
            assert len(one.relayed_sessions) <= 24
        assert any(frame[0] == GONE and frame[3] == FULL for _, frame in sent)
        for session in list(one.relayed_sessions.values()):
            one.fail(session, FULL)
        assert (one.in_flight_bytes, one.waiting_for_grant) == (0, {})


def test_a_session_that_waits_for_capacity_gets_it_when_another_ends() -> None:
    one, sent = gateway(400_000)
    first, second = open_session(one, 1), open_session(one, 2)
    one.from_destination("there", [HAVE, first, 1, b"l", 0, WINDOW_BYTES, 0])
    one.from_destination("there", [HAVE, second, 1, b"l", 0, WINDOW_BYTES, 0])
    third = open_session(one, 3)
    one.from_destination("there", [HAVE, third, 1, b"l", 0, WINDOW_BYTES, 0])
    assert one.relayed_sessions[third].body.granted < CHUNK_BYTES
    sent.clear()
    one.link_lost("nobody")
    one.fail(one.relayed_sessions[first], FULL)
    assert one.relayed_sessions[third].body.granted >= CHUNK_BYTES
    assert ("source", [HAVE, third, 1, b"l", 0, one.relayed_sessions[third].body.granted, 0]) in sent


def test_a_source_that_sends_more_than_granted_loses_its_path() -> None:
    one, sent = gateway()
    session_id = open_session(one, 1)
    one.from_source("source", [DATA, session_id, 1, 0, b"x"])
    assert not one.relayed_sessions
    assert sent[-2:] == [("source", [GONE, session_id, 1, FULL]), ("there", [GONE, session_id, 1, FULL])]


def test_allowed_regions_drains_and_frames_of_other_links() -> None:
    one, sent = gateway()
    session_id = open_session(one, 1, allowed_regions=("c",))
    assert sent.pop() == ("source", [GONE, session_id, 1, OTHER_SERVICE])
    assert (one.forbidden, one.relayed_sessions) == (1, {})
    open_session(one, 2, allowed_regions=("c",), origin="b")  # The client's own region may hold it.
    session_id = open_session(one, 3, allowed_regions=("b", "c"))
    assert len(one.relayed_sessions) == 2
    one.from_source("another source", [END, session_id, 1, 0])
    one.from_destination("elsewhere", [HAVE, session_id, 1, b"l", 0, 5, 0])
    assert one.relayed_sessions[session_id].body.granted == 0
    one.accepts_sessions = False
    session_id = open_session(one, 4)
    assert sent[-1] == ("source", [GONE, session_id, 1, DRAINING])


def test_a_lost_link_is_reported_to_the_other_end_of_each_session() -> None:
    one, sent = gateway()
    sids = [open_session(one, number) for number in (1, 2)]
    sent.clear()
    one.link_lost("there")
    assert [(link, frame[0], frame[1]) for link, frame in sent] == [
        ("source", GONE, session_id) for session_id in sids
    ]
    assert not one.relayed_sessions


def test_the_operators_api() -> None:
    day = Day(1, fault_kinds="", uploads=0)
    day.world.run(2.0)
    keeper = cast(GatewayNode, day.gateways[0].program)
    answers: list[tuple[int, bytes]] = []

    def call(method: bytes, path: bytes) -> Any:
        return SimpleNamespace(
            method=method, path=path, answer=lambda status, body=b"": answers.append((status, body))
        )

    keeper._answer_operator(call(b"GET", b"/api/gateway"))
    keeper._answer_operator(call(b"POST", b"/api/gateway/drain"))
    day.world.run(4.0)
    keeper._answer_operator(call(b"GET", b"/api/gateway"))
    keeper._answer_operator(call(b"POST", b"/api/gateway/back"))
    keeper._answer_operator(call(b"GET", b"/else"))
    assert [status for status, _ in answers] == [200, 200, 200, 200, 404]
    assert answers[0][1].startswith(b"state=serving")
    assert b"last=0" in answers[0][1]
    assert answers[1][1] == b"announced"
    assert answers[2][1].startswith(b"state=empty sessions=0")
    assert answers[3][1] == b"serving"
