"""The table of outcomes in the design note: how often a request runs and which outcome its client gets."""

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
from honeywharf.verdict import CONNECTION_BROKEN, FULL, MAY_HAVE_RUN, NOT_RUN, RAN_NAMES, Verdict
from tests.sessions.network import SessionNetwork

NOTE = Path(__file__).parents[2] / "docs" / "design" / "gateway.md"
BODY, LONG = b"one print order", bytes(400_000)
Case = tuple[SessionNetwork, int]  # A finished network, and the index of the source that is checked.


def run_until(
    network: SessionNetwork, condition: Callable[[], bool], max_steps: int = 4000
) -> SessionNetwork:
    while not condition() and network.steps < max_steps:
        network.step()
    assert condition()
    return network


def run_until_partly_received(network: SessionNetwork) -> SessionNetwork:
    return run_until(
        network,
        lambda: any(0 < each.body_received < len(LONG) for each in network.receivers.sessions.values()),
    )


def run_until_executing(network: SessionNetwork) -> SessionNetwork:
    return run_until(network, lambda: bool(network.running))


def cut_both_sources(network: SessionNetwork) -> None:
    network.cut("a", "source")
    network.cut("b", "source")


def head_in_flight_gateway_killed() -> Case:
    network = SessionNetwork(BODY)
    network.step()
    network.kill("a")
    return network.run(), 0


def partial_body_gateway_killed() -> Case:
    network = run_until_partly_received(SessionNetwork(LONG))
    network.kill("a")
    return network.run(), 0


def partial_body_destination_restarted() -> Case:
    network = run_until_partly_received(SessionNetwork(LONG))
    network.restart()
    return network.run(), 0


def partial_body_without_path() -> Case:
    network = run_until_partly_received(SessionNetwork(LONG))
    cut_both_sources(network)
    deadline = network.now + DETACHED_TIMEOUT_S + 1.0
    run_until(network, lambda: network.now > deadline)
    network.heal()
    return network.run(), 0


def partial_body_deadline_passed() -> Case:
    network = run_until_partly_received(SessionNetwork(LONG))
    cut_both_sources(network)
    return network.run(), 0


def executing_gateway_killed() -> Case:
    network = run_until_executing(SessionNetwork(BODY))
    network.kill("a")
    return network.run(), 0


def executing_destination_restarted() -> Case:
    network = run_until_executing(SessionNetwork(BODY))
    network.restart()
    return network.run(), 0


def end_sent_destination_restarted() -> Case:
    network = SessionNetwork(BODY)
    run_until(network, lambda: network.sources[0][0].end_sent)
    network.restart()
    return network.run(), 0


def executing_deadline_passed() -> Case:
    network = run_until_executing(SessionNetwork(BODY))
    cut_both_sources(network)
    return network.run(), 0


def partial_answer(fault: Callable[[SessionNetwork], None]) -> Case:
    network = SessionNetwork(b"", answer=LONG)
    run_until(network, lambda: 0 < network.sources[0][0].answer_received < len(LONG))
    fault(network)
    return network.run(), 0


def verdict_lost_with_gateway(verdict: Verdict) -> Case:
    """The verdict of the sidecar is lost with the gateway."""
    network = run_until_executing(SessionNetwork(BODY))
    receiver = network.running.pop()
    if verdict.ran == NOT_RUN:
        network.executions.pop()  # Rejected before a backend saw it.
    network.receivers.failed(receiver, verdict)
    network.kill("a")
    return network.run(), 0


def repeat_attempt(network: SessionNetwork, body: bytes = BODY) -> Case:
    network.add(body, b"attempt-1", network.receivers.incarnation, len(body))
    return network.run(), 1


def repeat_attempt_answer_discarded() -> Case:
    network = SessionNetwork(BODY).run()
    network.receivers.max_kept_answer_bytes = 0
    network.receivers._discard_answer(next(iter(network.receivers.kept_answers)))
    return repeat_attempt(network)


def quota_exhausted() -> Case:
    network = SessionNetwork(LONG)
    network.receivers.body_quota = BodyQuota(max_bytes=len(LONG) - 1, tenant_share=1.0)
    return network.run(), 0


def request_expired() -> Case:
    network = SessionNetwork(BODY)
    network.sources[0][0].request.expires_ms = -6000
    return network.run(), 0


def region_not_allowed() -> Case:
    network = SessionNetwork(BODY)
    network.sources[0][0].request.allowed_regions = ("elsewhere",)
    network.sources[0][0].request.origin = "r"  # The gateway lets it pass, and the destination decides.
    return network.run(), 0


def no_gateway_accepts() -> Case:
    network = SessionNetwork(LONG)
    network.drain("a")
    network.drain("b")
    return network.run(), 0


CASES: dict[tuple[str, str], Callable[[], Case]] = {
    ("head on its way", "same life"): head_in_flight_gateway_killed,
    ("body half way", "same life"): partial_body_gateway_killed,
    ("body half way", "destination restarted"): partial_body_destination_restarted,
    ("body half way", "no way for 5 s"): partial_body_without_path,
    ("body half way", "deadline passed"): partial_body_deadline_passed,
    ("body's end sent", "destination restarted"): end_sent_destination_restarted,
    ("backend at work", "same life"): executing_gateway_killed,
    ("backend at work", "destination restarted"): executing_destination_restarted,
    ("backend at work", "deadline passed"): executing_deadline_passed,
    ("answer half way", "same life"): lambda: partial_answer(lambda network: network.kill("a")),
    ("answer half way", "destination restarted"): lambda: partial_answer(SessionNetwork.restart),
    ("refused by the gate", "same life"): lambda: verdict_lost_with_gateway(Verdict(NOT_RUN, FULL)),
    ("failed at the backend", "same life"): lambda: verdict_lost_with_gateway(
        Verdict(MAY_HAVE_RUN, CONNECTION_BROKEN, True)
    ),
    ("attempt comes again, first at work", "same request"): lambda: repeat_attempt(
        run_until_executing(SessionNetwork(BODY))
    ),
    ("attempt comes again, first answered", "answer kept"): lambda: repeat_attempt(
        SessionNetwork(BODY).run()
    ),
    ("attempt comes again, first answered", "answer forgotten"): repeat_attempt_answer_discarded,
    ("attempt comes again", "another request"): lambda: repeat_attempt(
        run_until_executing(SessionNetwork(BODY)), b"another"
    ),
    ("head at the destination", "no room"): quota_exhausted,
    ("head at the destination", "past its time by the wall clock"): request_expired,
    ("head at the destination", "not a home"): region_not_allowed,
    ("head at the source", "no gateway takes it"): no_gateway_accepts,
}


def table() -> dict[tuple[str, str], tuple[str, str]]:
    found = {}
    for line in NOTE.read_text("utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 5 and re.fullmatch(r"[01]", cells[3]):
            found[cells[0], cells[1]] = (cells[3], cells[4])
    return found


def test_the_table_and_the_cases_are_the_same() -> None:
    assert set(table()) == set(CASES)


@pytest.mark.parametrize("row", CASES, ids=" / ".join)
def test_each_case(row: tuple[str, str]) -> None:
    network, which = CASES[row]()
    outcomes = network.sources[which][1].outcomes
    assert len(outcomes) == 1
    outcome = "answer" if outcomes[0] == 200 else RAN_NAMES[getattr(outcomes[0], "ran")]  # noqa: B009
    assert (str(len(network.executions)), outcome) == table()[row]


# Bounds.


def new_receivers(**bounds: int) -> tuple[Receivers, list[list[object]]]:
    sent: list[list[object]] = []
    receivers = Receivers(
        b"life",
        "r",
        BodyQuota(1 << 20, 8, 0.5),
        lambda link, frame: sent.append(frame),
        lambda receiver: None,
        lambda receiver: None,
        lambda receiver, size: None,
        **bounds,
    )
    return receivers, sent


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
    receivers, sent = new_receivers()
    for number in range(12):
        receivers.receive(0.0, 0, "link", head(number, 200_000, f"t{number}"))
    assert receivers.body_quota.reserved_bytes <= 1 << 20
    assert receivers.rejected == 7
    assert [frame[3:5] for frame in sent if frame[0] == 10] == [[NOT_RUN, FULL]] * 7
    receivers.expire(DETACHED_TIMEOUT_S + 0.1)
    assert (
        receivers.body_quota.reserved_bytes,
        receivers.body_quota.count,
        receivers.body_quota.by_tenant,
    ) == (0, 0, {})


def test_a_body_of_unknown_length_reserves_as_it_arrives_and_waits_for_quota() -> None:
    receivers, sent = new_receivers()
    receivers.receive(0.0, 0, "link", head(1, -1))
    session_id, have = (1).to_bytes(16, "big"), 0
    while have < (2 << 20):
        granted = sent[-1][5]
        assert isinstance(granted, int)
        if granted <= have:
            break
        receivers.receive(0.0, 0, "link", [1, session_id, 1, have, bytes(granted - have)])
        have = granted
    assert have <= 1 << 19  # The tenant's share.
    assert receivers.body_quota.reserved_bytes <= 1 << 19
    receivers.receive(0.0, 0, "link", [1, session_id, 1, have, b"more than was granted"])
    assert receivers.body_quota.reserved_bytes == 0
    assert have >= WINDOW_BYTES


def test_a_full_idempotency_table_rejects_rather_than_forgets() -> None:
    receivers, sent = new_receivers(max_sessions=3)
    for number in range(4):
        receivers.receive(0.0, 0, "link", head(number))
    assert len(receivers.sessions) == 3
    assert sent[-1][3:5] == [NOT_RUN, FULL]
    receivers.expire(1.0 + IDEMPOTENCY_RETENTION_S - 0.1)
    assert len(receivers.sessions) == 3
    receivers.expire(1.0 + IDEMPOTENCY_RETENTION_S + 0.1)
    assert not receivers.sessions
    assert not receivers.idempotency_table


def test_no_more_than_a_few_join_one_attempt() -> None:
    receivers, sent = new_receivers()
    receivers.receive(0.0, 0, "link", head(0, attempt=b"same"))
    receivers.receive(0.0, 0, "link", [2, (0).to_bytes(16, "big"), 1, 0])
    for number in range(1, MAX_JOINED + 3):
        receivers.receive(0.0, 0, "link", head(number, attempt=b"same"))
    first = receivers.idempotency_table[b"same"]
    assert (first.state, len(first.joined), receivers.joined_sessions) == (RUNNING, MAX_JOINED, MAX_JOINED)
    assert sent[-1][3] == MAY_HAVE_RUN


def test_answers_kept_for_repeated_attempts_are_bounded() -> None:
    receivers, _ = new_receivers(max_kept_answer_bytes=10_000)
    for number in range(8):
        session_id = number.to_bytes(16, "big")
        receivers.receive(0.0, 0, "link", head(number))
        receivers.receive(0.0, 0, "link", [2, session_id, 1, 0])
        receiver: Receiver = receivers.sessions[session_id]
        receivers.answer_started(receiver, 200, b"", 3000)
        receivers.answer_data(receiver, bytes(3000))
        receivers.answer_completed(receiver)
        receivers.receive(0.0, 0, "link", [4, session_id, 1])
    assert (
        receivers.kept_answer_bytes
        == sum(len(each.kept_answer) for each in receivers.sessions.values())
        == 9000
    )


def test_a_forged_session_changes_nothing() -> None:
    """An unknown id begins nothing, and a known id with another attempt does not take the session over."""
    network = SessionNetwork(LONG)
    run_until_partly_received(network)
    destination = network.receivers
    session_id = network.sources[0][0].session_id
    existing = destination.sessions[session_id]
    link, epoch = existing.link, existing.epoch
    destination.receive(network.now, 0, "stranger", [1, b"\xff" * 16, 9, 0, b"x"])
    destination.receive(network.now, 0, "stranger", [5, b"\xff" * 16, 9])
    assert len(destination.sessions) == 1
    network.queues["stranger", "back"] = deque()
    forged = [OPEN, session_id, 99, "d", b"", 0, 0, b"other", 0, 1000, 10**9, "", "", [], None, 0]
    destination.receive(network.now, 0, "stranger", forged)
    assert (existing.link, existing.epoch) == (link, epoch)
    assert network.run().violations() == []


def test_a_source_buffers_at_most_a_window() -> None:
    network = SessionNetwork(bytes(2_000_000))
    max_steps = 0
    sender = network.sources[0][0]
    while sender.state != FINISHED and network.steps < 5000:
        network.step()
        max_steps = max(max_steps, sender.buffered_bytes)
    assert network.violations() == []
    assert max_steps <= WINDOW_BYTES
    assert isinstance(sender.request, Request)
