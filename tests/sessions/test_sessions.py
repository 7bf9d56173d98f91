"""Sessions under drains, kills and cuts at every frame, for requests of each kind."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from honeywharf.sessions.frames import HAVE, OPEN
from honeywharf.sessions.receiver import Receiver, Receivers
from honeywharf.sessions.relay import Relay, RelayedSession
from honeywharf.sessions.sender import Sender
from honeywharf.verdict import FULL, NOT_RUN, SHUTTING_DOWN, Verdict
from tests.sessions.network import GATEWAYS, SessionNetwork

UPLOAD = bytes(range(256)) * 520  # 133,120 bytes: nine chunks.
ORDER = b"one print order"
Fault = Callable[[SessionNetwork], None]


def faults() -> dict[str, Fault]:
    found: dict[str, Fault] = {}
    for name in GATEWAYS:
        found[f"kill {name}"] = lambda network, name=name: network.kill(name)  # type: ignore[misc]
        found[f"drain {name}"] = lambda network, name=name: network.drain(name)  # type: ignore[misc]
        for side in ("source", "destination"):
            found[f"cut {name} {side}"] = lambda network, name=name, side=side: network.cut(name, side)  # type: ignore[misc]
    return found


FAULTS = faults()


def networks(make: type[SessionNetwork] = SessionNetwork) -> list[tuple[str, Callable[[], SessionNetwork]]]:
    return [
        ("upload", lambda: make(UPLOAD)),
        ("chunked", lambda: make(UPLOAD, length=-1)),
        ("order", lambda: make(ORDER, known=True)),
        ("deletion", lambda: make(b"", known=True)),
        ("pull", lambda: make(b"", answer=UPLOAD)),
    ]


def violations_with(
    make: Callable[[], SessionNetwork], name: str, at: int, healed: int | None = None
) -> list[str]:
    plan: dict[int, Fault] = {at: FAULTS[name]}
    if healed is not None:
        plan[healed] = SessionNetwork.heal
    return make().run(plan).violations()


@pytest.mark.parametrize("name", FAULTS)
def test_one_fault_at_every_frame(name: str) -> None:
    for what, make in networks():
        for at in range(make().run().steps + 1):
            for healed in (None, at + 12, at + 45) if "cut" in name else (None,):
                assert violations_with(make, name, at, healed) == [], (what, name, at, healed)


def test_two_faults_at_any_two_frames() -> None:
    """A gateway is killed during its drain, or the target of a move is drained, killed or cut off."""
    for what, make in networks():
        if what not in ("upload", "order"):
            continue
        steps = make().run().steps
        for first in ("drain a", "kill a", "cut a source", "cut a destination"):
            for second in ("kill a", "kill b", "cut b source", "cut b destination"):
                for at in range(0, steps + 1, 1 if what == "order" else 3):
                    for later in range(at + 1, steps + 12, 1 if what == "order" else 5):
                        plan: dict[int, Fault] = {
                            at: FAULTS[first],
                            later: FAULTS[second],
                            later + 40: SessionNetwork.heal,
                        }
                        assert make().run(plan).violations() == [], (what, first, at, second, later)


def test_a_request_that_ran_is_never_reported_as_not_run_when_the_destination_restarts_at_any_frame() -> None:
    for what, make in networks():
        for at in range(make().run().steps + 1):
            for also in (None, "kill a", "drain a", "cut a source"):
                plan: dict[int, Fault] = {at: SessionNetwork.restart}
                if also is not None:
                    plan[max(0, at - 3)] = FAULTS[also]
                    plan[at + 40] = SessionNetwork.heal
                assert make().run(plan).violations(must_finish=False) == [], (what, at, also)


def test_repeated_and_swapped_frames_change_nothing() -> None:
    def disorder(seed: int) -> Fault:
        def do(network: SessionNetwork) -> None:
            draw = random.Random(seed)
            direction = draw.choice(
                [direction for direction, queue in network.queues.items() if queue] or [None]
            )
            if direction is None:
                return
            queue = network.queues[direction]
            if draw.random() < 0.5:
                queue.insert(draw.randrange(len(queue) + 1), queue[0])
            elif len(queue) > 1:
                queue[0], queue[1] = queue[1], queue[0]

        return do

    for seed in range(600):
        draw = random.Random(seed)
        what, make = draw.choice(networks())
        plan = {draw.randrange(make().run().steps): disorder(seed + k) for k in range(3)}
        assert make().run(plan).violations() == [], (what, seed)


def test_the_same_attempt_by_another_session_joins_the_first_at_every_frame() -> None:
    for what, make in networks():
        for at in range(make().run().steps + 8):

            def again(network: SessionNetwork) -> None:
                first = network.sources[0][0].request
                network.gateway_of[b"\x02" * 16] = "a"
                network.add(
                    network.sources[0][1].body, first.attempt, network.receivers.incarnation, first.length
                )

            network = make().run({at: again})
            assert network.violations() == [], (what, at)
            assert len(network.executions) == 1


def test_a_drain_retransmits_nothing_and_a_kill_at_most_a_window() -> None:
    steps = SessionNetwork(UPLOAD).run().steps
    for at in range(steps):
        drained = SessionNetwork(UPLOAD).run({at: FAULTS["drain a"]})
        assert drained.sources[0][0].retransmitted_bytes == 0, at
        killed = SessionNetwork(UPLOAD).run({at: FAULTS["kill a"]})
        assert killed.sources[0][0].retransmitted_bytes <= 256 * 1024
    assert any(
        SessionNetwork(UPLOAD).run({at: FAULTS["kill a"]}).sources[0][0].retransmitted_bytes
        for at in range(steps)
    )


def test_data_sent_while_a_path_is_opened_waits_for_have() -> None:
    """Guards against sending more than the new gateway has granted, which retransmits a window."""
    network = SessionNetwork(UPLOAD)
    sender = network.sources[0][0]
    while sender.body_acked < 40_000:
        network.step()
    sender.detach()
    sender.attach(network.now)
    sender.data(b"more of it")
    assert [frame[0] for frame in sender.outgoing] == [OPEN]


def test_the_senders_destination_done_is_set_by_have_or_a_verdict_on_any_path() -> None:
    """Guards against ignoring HAVE or a verdict of a second path, which delays the next short request."""
    for what, make in networks():
        for at in range(make().run().steps):
            sender = make().run({at: FAULTS["kill a"]}).sources[0][0]
            assert sender.destination_done, (what, at)
    network = SessionNetwork(ORDER, known=True)
    while not network.running:
        network.step()
    network.receivers.failed(network.running.pop(), Verdict(NOT_RUN, FULL))
    assert network.run().sources[0][0].destination_done


# Faulty implementations: each must be detected.


class UnfencedReceivers(Receivers):
    def _is_fenced(self, receiver: Receiver, epoch: int) -> bool:
        return False

    def _is_newer(self, receiver: Receiver, epoch: int) -> bool:
        return True


class UnfencedSender(Sender):
    def _is_fenced(self, epoch: int) -> bool:
        return False


class LateIdempotencyRecord(Receivers):
    """Records an attempt only once its answer begins."""

    def _start(self, receiver: Receiver) -> None:
        self.sessions.pop(receiver.session_id, None)
        self.idempotency_table.pop(receiver.attempt, None)
        super()._start(receiver)

    def answer_started(self, receiver: Receiver, status: int, fields: bytes, length: int) -> None:
        self._register(receiver)
        super().answer_started(receiver, status, fields, length)


class AnswerBeforeExecution(Receivers):
    """Answers as soon as the body is complete, before the backend has run the request."""

    def _start(self, receiver: Receiver) -> None:
        self.answer_started(receiver, 200, b"", 4)
        receiver.state, receiver.answer_head = 2, (200, b"", 4)
        self.answer_data(receiver, b"done")
        self.answer_completed(receiver)
        self.pending: list[Receiver] = [*getattr(self, "pending", []), receiver]

    def expire(self, now: float) -> None:
        waiting, self.pending = getattr(self, "pending", []), []
        for receiver in waiting:
            self.run(receiver)
        super().expire(now)


class AcknowledgingGateway(Relay):
    """Acknowledges what it has relayed, before the destination has received it."""

    def from_source(self, source: object, frame: list[Any]) -> None:
        super().from_source(source, frame)
        session: RelayedSession | None = self.relayed_sessions.get(frame[1])
        if frame[0] == 1 and session is not None and session.incarnation:
            have = frame[3] + len(frame[4])
            self.send(
                session.source,
                [HAVE, session.session_id, session.epoch, session.incarnation, have, have + 65536, 0],
            )


def finds_violation(make: type[SessionNetwork]) -> bool:
    """Whether a fault at some frame violates an invariant."""
    for _, each in networks(make):
        steps = each().run(max_steps=1500).steps
        for at in range(min(steps, 80)):
            for name in ("kill a", "drain a", "cut a source", "cut a destination"):
                for healed in (at + 12, at + 45):
                    plan: dict[int, Fault] = {at: FAULTS[name], healed: SessionNetwork.heal}
                    if each().run(plan, max_steps=3500).violations():
                        return True
            plan = {at: SessionNetwork.restart}
            if each().run(plan, max_steps=3500).violations(must_finish=False):
                return True
    return False


@pytest.mark.parametrize("part", ["receivers", "idempotency", "answer", "gateway"])
def test_faulty_implementations_are_detected(part: str) -> None:
    class Wrong(SessionNetwork):
        receivers_class = {
            "receivers": UnfencedReceivers,
            "idempotency": LateIdempotencyRecord,
            "answer": AnswerBeforeExecution,
        }.get(part, Receivers)
        relay_class = AcknowledgingGateway if part == "gateway" else Relay

    assert finds_violation(Wrong)


def paths_taken(make: Callable[[], SessionNetwork]) -> int:
    """The most paths that an upload takes if its first gateway is cut off, drained, and healed later."""
    found = 0
    for at in range(make().run().steps):
        for healed in (at + 32, at + 40, at + 60):
            plan: dict[int, Fault] = {
                at: FAULTS["cut a source"],
                at + 5: FAULTS["drain a"],
                healed: SessionNetwork.heal,
            }
            found = max(found, make().run(plan).sources[0][0].epoch)
    return found


def test_a_frame_of_an_old_path_moves_no_session() -> None:
    """A sender that does not fence loses nothing, but its sessions move more often."""

    class Wrong(SessionNetwork):
        sender_class = UnfencedSender

    def slow(make: type[SessionNetwork]) -> Callable[[], SessionNetwork]:
        return lambda: make(UPLOAD * 4)

    assert paths_taken(slow(SessionNetwork)) == 2
    assert paths_taken(slow(Wrong)) > 2


def test_a_destination_that_ends_before_the_deadline_asks_for_no_body() -> None:
    """Guards against a body that is sent to another region and rejected there when it is complete."""
    network = SessionNetwork(UPLOAD)
    network.receivers.is_outlasted = lambda deadline: True
    network.run()
    ((_, client),) = network.sources
    (outcome,) = client.outcomes
    assert isinstance(outcome, Verdict)
    assert (outcome.ran, outcome.why) == (NOT_RUN, SHUTTING_DOWN)
    assert client.position == 0


def test_a_second_session_of_an_attempt_is_not_rejected_as_not_run_by_a_destination_that_ends() -> None:
    """Guards against REFUSED: the first session of the attempt may have run its request."""
    network = SessionNetwork(ORDER, known=True)
    network.run()
    assert len(network.executions) == 1
    network.receivers.is_outlasted = lambda deadline: True
    network.add(ORDER, b"attempt-1", network.receivers.incarnation, len(ORDER))
    network.run()
    (_, first), (_, second) = network.sources
    assert second.outcomes == first.outcomes
    assert len(network.executions) == 1
