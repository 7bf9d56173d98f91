"""What a gateway lets pass: its bounds, homes, and the operator's door."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any, cast

from honeywharf.programs.gateway import GatewayNode
from honeywharf.sessions.frames import ACK, DATA, END, GONE, HAVE, OPEN, PIECE, WINDOW
from honeywharf.sessions.relay import Passages
from honeywharf.simulation.regions import Day
from honeywharf.verdict import DRAINING, FULL, OTHER_SERVICE

Sent = list[tuple[Any, list[Any]]]


def gateway(most_bytes: int = 1 << 20, most_sessions: int = 64) -> tuple[Passages, Sent]:
    sent: Sent = []
    return Passages("b", lambda path, frame: sent.append((path, frame)), most_bytes, most_sessions), sent


def opens(
    one: Passages,
    number: int,
    epoch: int = 1,
    length: int = -1,
    life: bytes = b"",
    origin: str = "a",
    homes: tuple[str, ...] = (),
) -> bytes:
    sid = number.to_bytes(16, "big")
    frame = [
        OPEN,
        sid,
        epoch,
        "d",
        life,
        0,
        0,
        b"x",
        length,
        1000,
        1000,
        "t",
        origin,
        list(homes),
        None,
        1 << 17,
        2,
    ]
    one.opens(0.0, "source", frame, lambda to, lane: "there")
    return sid


def test_what_may_be_on_its_way_is_bounded_and_counted_exactly() -> None:
    for seed in range(40):
        draw = random.Random(seed)
        one, sent = gateway(200_000, 24)
        have: dict[bytes, int] = {}
        for step in range(400):
            sid = draw.choice([*have, b""])
            row = one.rows.get(sid)
            if row is None:
                have.pop(sid, None)
                length, life = draw.choice((-1, 0, 500, 300_000)), draw.choice((b"", b"l"))
                sid = opens(one, step + 1, length=length, life=life)
                if sid in one.rows:
                    have[sid] = 0
            elif draw.random() < 0.1:
                one.lose(row, FULL)
            elif draw.random() < 0.2:
                one.from_source("source", [ACK, sid, row.epoch, 100, 100 + (1 << 17), 0])
            elif draw.random() < 0.1:
                one.from_source("source", [END, sid, row.epoch, row.body.given])
            else:
                have[sid] = min(row.body.given, have[sid] + draw.randrange(40_000))
                one.from_destination("there", [HAVE, sid, row.epoch, b"l", have[sid], have[sid] + WINDOW, 0])
            assert one.granted == sum(each.body.out + each.answer.out for each in one.rows.values())
            assert one.granted <= one.most_bytes
            assert len(one.rows) <= 24
        assert any(frame[0] == GONE and frame[3] == FULL for _, frame in sent)
        for row in list(one.rows.values()):
            one.lose(row, FULL)
        assert (one.granted, one.starved) == (0, {})


def test_who_waits_for_room_gets_it_when_others_are_done() -> None:
    one, sent = gateway(400_000)
    first, second = opens(one, 1), opens(one, 2)
    one.from_destination("there", [HAVE, first, 1, b"l", 0, WINDOW, 0])
    one.from_destination("there", [HAVE, second, 1, b"l", 0, WINDOW, 0])
    third = opens(one, 3)
    one.from_destination("there", [HAVE, third, 1, b"l", 0, WINDOW, 0])
    assert one.rows[third].body.given < PIECE
    sent.clear()
    one.path_lost("nobody")
    one.lose(one.rows[first], FULL)
    assert one.rows[third].body.given >= PIECE
    assert ("source", [HAVE, third, 1, b"l", 0, one.rows[third].body.given, 0]) in sent


def test_a_source_that_sends_more_than_it_was_let_loses_its_way() -> None:
    one, sent = gateway()
    sid = opens(one, 1)
    one.from_source("source", [DATA, sid, 1, 0, b"x"])
    assert not one.rows
    assert sent[-2:] == [("source", [GONE, sid, 1, FULL]), ("there", [GONE, sid, 1, FULL])]


def test_homes_drains_and_other_peoples_links() -> None:
    one, sent = gateway()
    sid = opens(one, 1, homes=("c",))
    assert sent.pop() == ("source", [GONE, sid, 1, OTHER_SERVICE])
    assert (one.forbidden, one.rows) == (1, {})
    opens(one, 2, homes=("c",), origin="b")  # the client's own region may hold it
    sid = opens(one, 3, homes=("b", "c"))
    assert len(one.rows) == 2
    one.from_source("another source", [END, sid, 1, 0])
    one.from_destination("elsewhere", [HAVE, sid, 1, b"l", 0, 5, 0])
    assert one.rows[sid].body.given == 0
    one.taking = False
    sid = opens(one, 4)
    assert sent[-1] == ("source", [GONE, sid, 1, DRAINING])


def test_a_link_that_is_lost_is_told_at_the_other_end_of_each_session() -> None:
    one, sent = gateway()
    sids = [opens(one, number) for number in (1, 2)]
    sent.clear()
    one.path_lost("there")
    assert [(path, frame[0], frame[1]) for path, frame in sent] == [("source", GONE, sid) for sid in sids]
    assert not one.rows


def test_the_operators_door() -> None:
    day = Day(1, troubles="", uploads=0)
    day.world.run(2.0)
    keeper = cast(GatewayNode, day.keepers[0].program)
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
