"""The table of outcomes in the design note: how often a request runs and what its client is told."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from pathlib import Path

import pytest

from honeywharf.sessions.body_quota import BodyQuota
from honeywharf.sessions.frames import OPEN, WINDOW_BYTES
from honeywharf.sessions.receiver import (
    DETACHED_TIMEOUT_S,
    IDEMPOTENCY_RETENTION_S,
    MAX_JOINED,
    RUNNING,
    Receiver,
    Receivers,
)
from honeywharf.sessions.sender import FINISHED, Request
from honeywharf.verdict import BROKEN_OFF, FULL, MAY_HAVE_RUN, NAMES, NOT_RUN, Verdict
from tests.sessions.network import SessionNetwork

NOTE = Path(__file__).parents[2] / "docs" / "design" / "gateway.md"
BODY, LONG = b"one print order", bytes(400_000)
Case = tuple[SessionNetwork, int]  # A finished network, and the index of the source that is checked.


def until(network: SessionNetwork, reached: Callable[[], bool], max_steps: int = 4000) -> SessionNetwork:
    while not reached() and network.steps < max_steps:
        network.step()
    assert reached()
    return network


def half(network: SessionNetwork) -> SessionNetwork:
    return until(
        network,
        lambda: any(0 < each.body_received < len(LONG) for each in network.receivers.sessions.values()),
    )


def at_work(network: SessionNetwork) -> SessionNetwork:
    return until(network, lambda: bool(network.running))


def both_cut(network: SessionNetwork) -> None:
    network.cut("a", "source")
    network.cut("b", "source")


def head_lost() -> Case:
    network = SessionNetwork(BODY)
    network.step()
    network.kill("a")
    return network.run(), 0


def half_kept() -> Case:
    network = half(SessionNetwork(LONG))
    network.kill("a")
    return network.run(), 0


def half_restart() -> Case:
    network = half(SessionNetwork(LONG))
    network.restart()
    return network.run(), 0


def half_apart() -> Case:
    network = half(SessionNetwork(LONG))
    both_cut(network)
    gone = network.now + DETACHED_TIMEOUT_S + 1.0
    until(network, lambda: network.now > gone)
    network.heal()
    return network.run(), 0


def half_late() -> Case:
    network = half(SessionNetwork(LONG))
    both_cut(network)
    return network.run(), 0


def work_kept() -> Case:
    network = at_work(SessionNetwork(BODY))
    network.kill("a")
    return network.run(), 0


def work_restart() -> Case:
    network = at_work(SessionNetwork(BODY))
    network.restart()
    return network.run(), 0


def end_restart() -> Case:
    network = SessionNetwork(BODY)
    until(network, lambda: network.sources[0][0].end_sent)
    network.restart()
    return network.run(), 0


def work_late() -> Case:
    network = at_work(SessionNetwork(BODY))
    both_cut(network)
    return network.run(), 0


def answer_half(fault: Callable[[SessionNetwork], None]) -> Case:
    network = SessionNetwork(b"", answer=LONG)
    until(network, lambda: 0 < network.sources[0][0].answer_received < len(LONG))
    fault(network)
    return network.run(), 0


def ended(verdict: Verdict) -> Case:
    """The verdict of the sidecar is lost with the gateway."""
    network = at_work(SessionNetwork(BODY))
    receiver = network.running.pop()
    if verdict.ran == NOT_RUN:
        network.executions.pop()  # Rejected before a backend saw it.
    network.receivers.failed(receiver, verdict)
    network.kill("a")
    return network.run(), 0


def again(network: SessionNetwork, body: bytes = BODY) -> Case:
    network.add(body, b"attempt-1", network.receivers.incarnation, len(body))
    return network.run(), 1


def again_evicted() -> Case:
    network = SessionNetwork(BODY).run()
    network.receivers.max_kept_answer_bytes = 0
    network.receivers._discard_answer(next(iter(network.receivers.kept_answers)))
    return again(network)


def no_room() -> Case:
    network = SessionNetwork(LONG)
    network.receivers.body_quota = BodyQuota(max_bytes=len(LONG) - 1, tenant_share=1.0)
    return network.run(), 0


def too_late() -> Case:
    network = SessionNetwork(BODY)
    network.sources[0][0].request.expires_ms = -6000
    return network.run(), 0


def no_home() -> Case:
    network = SessionNetwork(BODY)
    network.sources[0][0].request.allowed_regions = ("elsewhere",)
    network.sources[0][0].request.origin = "r"  # The gateway lets it pass, and the destination decides.
    return network.run(), 0


def no_way() -> Case:
    network = SessionNetwork(LONG)
    network.drain("a")
    network.drain("b")
    return network.run(), 0


ROWS: dict[tuple[str, str], Callable[[], Case]] = {
    ("head on its way", "same life"): head_lost,
    ("body half way", "same life"): half_kept,
    ("body half way", "destination restarted"): half_restart,
    ("body half way", "no way for 5 s"): half_apart,
    ("body half way", "deadline passed"): half_late,
    ("body's end sent", "destination restarted"): end_restart,
    ("backend at work", "same life"): work_kept,
    ("backend at work", "destination restarted"): work_restart,
    ("backend at work", "deadline passed"): work_late,
    ("answer half way", "same life"): lambda: answer_half(lambda network: network.kill("a")),
    ("answer half way", "destination restarted"): lambda: answer_half(SessionNetwork.restart),
    ("refused by the gate", "same life"): lambda: ended(Verdict(NOT_RUN, FULL)),
    ("failed at the backend", "same life"): lambda: ended(Verdict(MAY_HAVE_RUN, BROKEN_OFF, True)),
    ("attempt comes again, first at work", "same request"): lambda: again(at_work(SessionNetwork(BODY))),
    ("attempt comes again, first answered", "answer kept"): lambda: again(SessionNetwork(BODY).run()),
    ("attempt comes again, first answered", "answer forgotten"): again_evicted,
    ("attempt comes again", "another request"): lambda: again(at_work(SessionNetwork(BODY)), b"another"),
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
    network, which = ROWS[row]()
    ends = network.sources[which][1].outcomes
    assert len(ends) == 1
    told = "answer" if ends[0] == 200 else NAMES[getattr(ends[0], "ran")]  # noqa: B009
    assert (str(len(network.executions)), told) == table()[row]


# Bounds.


def receivers(**bounds: int) -> tuple[Receivers, list[list[object]]]:
    said: list[list[object]] = []
    made = Receivers(
        b"life",
        "r",
        BodyQuota(1 << 20, 8, 0.5),
        lambda link, frame: said.append(frame),
        lambda receiver: None,
        lambda receiver: None,
        lambda receiver, size: None,
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


def test_the_quota_bounds_each_tenant_and_all_together() -> None:
    body_quota = BodyQuota(max_bytes=100, max_bodies=8, tenant_share=0.5)
    assert body_quota.reserve("a", 50)
    assert not body_quota.reserve("a", 1)
    assert body_quota.reserve("b", 40)
    assert not body_quota.reserve("c", 11)
    assert body_quota.extend("c", 10) is True
    assert not body_quota.extend("c", 1)
    body_quota.release("a", 50)
    assert body_quota.reserve("c", 40)
    assert BodyQuota(100, 0).reserve("a", 1) is False
    with pytest.raises(ValueError, match="share"):
        BodyQuota(tenant_share=0.0)


def test_bodies_beyond_the_quota_are_rejected_and_the_quota_is_released() -> None:
    made, said = receivers()
    for number in range(12):
        made.receive(0.0, 0, "way", head(number, 200_000, f"t{number}"))
    assert made.body_quota.reserved_bytes <= 1 << 20
    assert made.rejected == 7
    assert [frame[3:5] for frame in said if frame[0] == 10] == [[NOT_RUN, FULL]] * 7
    made.expire(DETACHED_TIMEOUT_S + 0.1)
    assert (made.body_quota.reserved_bytes, made.body_quota.count, made.body_quota.by_tenant) == (0, 0, {})


def test_a_body_of_unknown_length_reserves_as_it_arrives_and_waits_for_quota() -> None:
    made, said = receivers()
    made.receive(0.0, 0, "way", head(1, -1))
    session_id, have = (1).to_bytes(16, "big"), 0
    while have < (2 << 20):
        granted = said[-1][5]
        assert isinstance(granted, int)
        if granted <= have:
            break
        made.receive(0.0, 0, "way", [1, session_id, 1, have, bytes(granted - have)])
        have = granted
    assert have <= 1 << 19  # The tenant's share.
    assert made.body_quota.reserved_bytes <= 1 << 19
    made.receive(0.0, 0, "way", [1, session_id, 1, have, b"more than was granted"])
    assert made.body_quota.reserved_bytes == 0
    assert have >= WINDOW_BYTES


def test_a_full_idempotency_table_rejects_rather_than_forgets() -> None:
    made, said = receivers(max_sessions=3)
    for number in range(4):
        made.receive(0.0, 0, "way", head(number))
    assert len(made.sessions) == 3
    assert said[-1][3:5] == [NOT_RUN, FULL]
    made.expire(1.0 + IDEMPOTENCY_RETENTION_S - 0.1)
    assert len(made.sessions) == 3
    made.expire(1.0 + IDEMPOTENCY_RETENTION_S + 0.1)
    assert not made.sessions
    assert not made.idempotency_table


def test_no_more_than_a_few_join_one_attempt() -> None:
    made, said = receivers()
    made.receive(0.0, 0, "way", head(0, attempt=b"same"))
    made.receive(0.0, 0, "way", [2, (0).to_bytes(16, "big"), 1, 0])
    for number in range(1, MAX_JOINED + 3):
        made.receive(0.0, 0, "way", head(number, attempt=b"same"))
    first = made.idempotency_table[b"same"]
    assert (first.state, len(first.joined), made.joined_sessions) == (RUNNING, MAX_JOINED, MAX_JOINED)
    assert said[-1][3] == MAY_HAVE_RUN


def test_answers_kept_for_repeated_attempts_are_bounded() -> None:
    made, _ = receivers(max_kept_answer_bytes=10_000)
    for number in range(8):
        session_id = number.to_bytes(16, "big")
        made.receive(0.0, 0, "way", head(number))
        made.receive(0.0, 0, "way", [2, session_id, 1, 0])
        receiver: Receiver = made.sessions[session_id]
        made.answer_started(receiver, 200, b"", 3000)
        made.answer_data(receiver, bytes(3000))
        made.answer_completed(receiver)
        made.receive(0.0, 0, "way", [4, session_id, 1])
    assert made.kept_answer_bytes == sum(len(each.kept_answer) for each in made.sessions.values()) == 9000


def test_a_forged_session_changes_nothing() -> None:
    """An unknown id begins nothing, and a known id with another attempt does not take the session over."""
    network = SessionNetwork(LONG)
    half(network)
    held = network.receivers
    session_id = network.sources[0][0].session_id
    true = held.sessions[session_id]
    link, epoch = true.link, true.epoch
    held.receive(network.now, 0, "stranger", [1, b"\xff" * 16, 9, 0, b"x"])
    held.receive(network.now, 0, "stranger", [5, b"\xff" * 16, 9])
    assert len(held.sessions) == 1
    network.queues["stranger", "back"] = deque()
    forged = [OPEN, session_id, 99, "d", b"", 0, 0, b"other", 0, 1000, 10**9, "", "", [], None, 0]
    held.receive(network.now, 0, "stranger", forged)
    assert (true.link, true.epoch) == (link, epoch)
    assert network.run().violations() == []


def test_a_source_holds_no_more_than_a_window() -> None:
    network = SessionNetwork(bytes(2_000_000))
    max_steps = 0
    sender = network.sources[0][0]
    while sender.state != FINISHED and network.steps < 5000:
        network.step()
        max_steps = max(max_steps, sender.buffered_bytes)
    assert network.violations() == []
    assert max_steps <= WINDOW_BYTES
    assert isinstance(sender.request, Request)
