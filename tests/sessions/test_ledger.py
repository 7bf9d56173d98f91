"""The table of the design note: where a request was caught, what is known, what is done, what is told."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from pathlib import Path

import pytest

from honeywharf.sessions.hold import Hold
from honeywharf.sessions.inlet import OVER, Request
from honeywharf.sessions.kinds import OPEN, WINDOW
from honeywharf.sessions.outlet import APART_S, LEDGER_S, MAX_JOINED, RUNNING, Outlet, Outlets
from honeywharf.verdict import CONNECTION_BROKEN, FULL, MAY_HAVE_RUN, NOT_RUN, RAN_NAMES, Verdict
from tests.sessions.town import Town

NOTE = Path(__file__).parents[2] / "docs" / "design" / "gateway.md"
BODY, LONG = b"one print order", bytes(400_000)
Row = tuple[Town, int]  # a town at its end, and which of its sources is asked


def until(town: Town, reached: Callable[[], bool], most: int = 4000) -> Town:
    while not reached() and town.steps < most:
        town.step()
    assert reached()
    return town


def half(town: Town) -> Town:
    return until(town, lambda: any(0 < each.have < len(LONG) for each in town.outlets.sessions.values()))


def at_work(town: Town) -> Town:
    return until(town, lambda: bool(town.working))


def both_cut(town: Town) -> None:
    town.sever("a", "source")
    town.sever("b", "source")


def head_lost() -> Row:
    town = Town(BODY)
    town.step()
    town.kill("a")
    return town.play(), 0


def half_kept() -> Row:
    town = half(Town(LONG))
    town.kill("a")
    return town.play(), 0


def half_restart() -> Row:
    town = half(Town(LONG))
    town.restart()
    return town.play(), 0


def half_apart() -> Row:
    town = half(Town(LONG))
    both_cut(town)
    gone = town.now + APART_S + 1.0
    until(town, lambda: town.now > gone)
    town.join()
    return town.play(), 0


def half_late() -> Row:
    town = half(Town(LONG))
    both_cut(town)
    return town.play(), 0


def work_kept() -> Row:
    town = at_work(Town(BODY))
    town.kill("a")
    return town.play(), 0


def work_restart() -> Row:
    town = at_work(Town(BODY))
    town.restart()
    return town.play(), 0


def end_restart() -> Row:
    town = Town(BODY)
    until(town, lambda: town.sources[0][0].finished)
    town.restart()
    return town.play(), 0


def work_late() -> Row:
    town = at_work(Town(BODY))
    both_cut(town)
    return town.play(), 0


def answer_half(trouble: Callable[[Town], None]) -> Row:
    town = Town(b"", answer=LONG)
    until(town, lambda: 0 < town.sources[0][0].got < len(LONG))
    trouble(town)
    return town.play(), 0


def ended(verdict: Verdict) -> Row:
    """The gate's verdict is lost with the gateway."""
    town = at_work(Town(BODY))
    outlet = town.working.pop()
    if verdict.ran == NOT_RUN:
        town.runs.pop()  # the gate refused: no backend saw it
    town.outlets.failed(outlet, verdict)
    town.kill("a")
    return town.play(), 0


def again(town: Town, body: bytes = BODY) -> Row:
    town.add(body, b"attempt-1", town.outlets.life, len(body))
    return town.play(), 1


def again_evicted() -> Row:
    town = Town(BODY).play()
    town.outlets.most_answers = 0
    town.outlets._forget_told(next(iter(town.outlets.told)))
    return again(town)


def no_room() -> Row:
    town = Town(LONG)
    town.outlets.hold = Hold(most_bytes=len(LONG) - 1, share=1.0)
    return town.play(), 0


def too_late() -> Row:
    town = Town(BODY)
    town.sources[0][0].request.expires_ms = -6000
    return town.play(), 0


def no_home() -> Row:
    town = Town(BODY)
    town.sources[0][0].request.homes = ("elsewhere",)
    town.sources[0][0].request.origin = "r"  # so that the gateway is allowed and the destination is asked
    return town.play(), 0


def no_way() -> Row:
    town = Town(LONG)
    town.drain("a")
    town.drain("b")
    return town.play(), 0


ROWS: dict[tuple[str, str], Callable[[], Row]] = {
    ("head on its way", "same life"): head_lost,
    ("body half way", "same life"): half_kept,
    ("body half way", "destination restarted"): half_restart,
    ("body half way", "no way for 5 s"): half_apart,
    ("body half way", "deadline passed"): half_late,
    ("body's end sent", "destination restarted"): end_restart,
    ("backend at work", "same life"): work_kept,
    ("backend at work", "destination restarted"): work_restart,
    ("backend at work", "deadline passed"): work_late,
    ("answer half way", "same life"): lambda: answer_half(lambda town: town.kill("a")),
    ("answer half way", "destination restarted"): lambda: answer_half(Town.restart),
    ("refused by the gate", "same life"): lambda: ended(Verdict(NOT_RUN, FULL)),
    ("failed at the backend", "same life"): lambda: ended(Verdict(MAY_HAVE_RUN, CONNECTION_BROKEN, True)),
    ("attempt comes again, first at work", "same request"): lambda: again(at_work(Town(BODY))),
    ("attempt comes again, first answered", "answer kept"): lambda: again(Town(BODY).play()),
    ("attempt comes again, first answered", "answer forgotten"): again_evicted,
    ("attempt comes again", "another request"): lambda: again(at_work(Town(BODY)), b"another"),
    ("head at the destination", "no room"): no_room,
    ("head at the destination", "past its time by the wall clock"): too_late,
    ("head at the destination", "not a home"): no_home,
    ("head at the source", "no gateway takes it"): no_way,
}


def table() -> dict[tuple[str, str], tuple[str, str]]:
    found = {}
    for line in NOTE.read_text("utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 5 and re.fullmatch(r"[01]", cells[3]):
            found[cells[0], cells[1]] = (cells[3], cells[4])
    return found


def test_the_table_and_the_rows_are_the_same() -> None:
    assert set(table()) == set(ROWS)


@pytest.mark.parametrize("row", ROWS, ids=" / ".join)
def test_each_row(row: tuple[str, str]) -> None:
    town, which = ROWS[row]()
    ends = town.sources[which][1].ends
    assert len(ends) == 1
    told = "answer" if ends[0] == 200 else RAN_NAMES[getattr(ends[0], "ran")]  # noqa: B009
    assert (str(len(town.runs)), told) == table()[row]


# Bounds.


def outlets(**bounds: int) -> tuple[Outlets, list[list[object]]]:
    said: list[list[object]] = []
    made = Outlets(
        b"life",
        "r",
        Hold(1 << 20, 8, 0.5),
        lambda path, frame: said.append(frame),
        lambda outlet: None,
        lambda outlet: None,
        lambda outlet, size: None,
        **bounds,
    )
    return made, said


def head(number: int, size: int = 0, tenant: str = "t", attempt: bytes | None = None) -> list[object]:
    return [
        OPEN,
        number.to_bytes(16, "big"),
        1,
        "d",
        b"",
        0,
        0,
        attempt or b"%d" % number,
        size,
        1000,
        1000,
        tenant,
        "",
        [],
        None,
        0,
    ]


def test_a_tenant_has_its_share_and_no_more_and_all_together_have_the_whole() -> None:
    hold = Hold(most_bytes=100, most_count=8, share=0.5)
    assert hold.enter("a", 50)
    assert not hold.enter("a", 1)
    assert hold.enter("b", 40)
    assert not hold.enter("c", 11)
    assert hold.grow("c", 10) is True
    assert not hold.grow("c", 1)
    hold.leave("a", 50)
    assert hold.enter("c", 40)
    assert Hold(100, 0).enter("a", 1) is False
    with pytest.raises(ValueError, match="share"):
        Hold(share=0.0)


def test_bodies_are_refused_at_the_head_where_there_is_no_room_and_room_comes_back() -> None:
    made, said = outlets()
    for number in range(12):
        made.take(0.0, 0, "way", head(number, 200_000, f"t{number}"))
    assert made.hold.bytes <= 1 << 20
    assert made.refused == 7
    assert [frame[3:5] for frame in said if frame[0] == 10] == [[NOT_RUN, FULL]] * 7
    made.due(APART_S + 0.1)
    assert (made.hold.bytes, made.hold.count, made.hold.by_tenant) == (0, 0, {})


def test_a_body_of_unknown_length_reserves_as_it_comes_and_waits_where_there_is_no_room() -> None:
    made, said = outlets()
    made.take(0.0, 0, "way", head(1, -1))
    sid, have = (1).to_bytes(16, "big"), 0
    while have < (2 << 20):
        granted = said[-1][5]
        assert isinstance(granted, int)
        if granted <= have:
            break
        made.take(0.0, 0, "way", [1, sid, 1, have, bytes(granted - have)])
        have = granted
    assert have <= 1 << 19  # the tenant's share
    assert made.hold.bytes <= 1 << 19
    made.take(0.0, 0, "way", [1, sid, 1, have, b"more than was granted"])
    assert made.hold.bytes == 0
    assert have >= WINDOW


def test_the_ledger_refuses_rather_than_forgets() -> None:
    made, said = outlets(most_entries=3)
    for number in range(4):
        made.take(0.0, 0, "way", head(number))
    assert len(made.sessions) == 3
    assert said[-1][3:5] == [NOT_RUN, FULL]
    made.due(1.0 + LEDGER_S - 0.1)
    assert len(made.sessions) == 3
    made.due(1.0 + LEDGER_S + 0.1)
    assert not made.sessions
    assert not made.ledger


def test_no_more_than_a_few_join_one_attempt() -> None:
    made, said = outlets()
    made.take(0.0, 0, "way", head(0, attempt=b"same"))
    made.take(0.0, 0, "way", [2, (0).to_bytes(16, "big"), 1, 0])
    for number in range(1, MAX_JOINED + 3):
        made.take(0.0, 0, "way", head(number, attempt=b"same"))
    first = made.ledger[b"same"]
    assert (first.state, len(first.joined), made.joins) == (RUNNING, MAX_JOINED, MAX_JOINED)
    assert said[-1][3] == MAY_HAVE_RUN


def test_answers_kept_for_one_who_asks_again_are_bounded() -> None:
    made, _ = outlets(most_answers=10_000)
    for number in range(8):
        sid = number.to_bytes(16, "big")
        made.take(0.0, 0, "way", head(number))
        made.take(0.0, 0, "way", [2, sid, 1, 0])
        outlet: Outlet = made.sessions[sid]
        made.answered(outlet, 200, b"", 3000)
        made.answer_data(outlet, bytes(3000))
        made.answer_whole(outlet)
        made.take(0.0, 0, "way", [4, sid, 1])
    assert made.told_bytes == sum(len(each.kept) for each in made.sessions.values()) == 9000


def test_a_strangers_session_moves_nothing() -> None:
    """Made up ids begin nothing, and a right id with another attempt takes nothing over."""
    town = Town(LONG)
    half(town)
    held = town.outlets
    sid = town.sources[0][0].sid
    true = held.sessions[sid]
    path, epoch = true.path, true.epoch
    held.take(town.now, 0, "stranger", [1, b"\xff" * 16, 9, 0, b"x"])
    held.take(town.now, 0, "stranger", [5, b"\xff" * 16, 9])
    assert len(held.sessions) == 1
    town.queues["stranger", "back"] = deque()
    forged = [OPEN, sid, 99, "d", b"", 0, 0, b"other", 0, 1000, 10**9, "", "", [], None, 0]
    held.take(town.now, 0, "stranger", forged)
    assert (true.path, true.epoch) == (path, epoch)
    assert town.play().faults() == []


def test_a_source_holds_no_more_than_a_window() -> None:
    town = Town(bytes(2_000_000))
    most = 0
    inlet = town.sources[0][0]
    while inlet.state != OVER and town.steps < 5000:
        town.step()
        most = max(most, inlet.held)
    assert town.faults() == []
    assert most <= WINDOW
    assert isinstance(inlet.request, Request)
