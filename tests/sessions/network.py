"""One source, two gateways and one destination without sockets: each frame is delivered by itself.

A step delivers one frame, lets the backend answer, or lets time pass. Faults come after a given number of
steps. Frames on a cut link are kept and delivered once it heals, as from a kernel's buffers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from honeywharf.sessions.body_quota import BodyQuota
from honeywharf.sessions.frames import OPEN
from honeywharf.sessions.receiver import Receiver, Receivers
from honeywharf.sessions.relay import Relay
from honeywharf.sessions.sender import FINISHED, IDLE, LEAVE_TIMEOUT_S, Request, Sender
from honeywharf.verdict import MAY_HAVE_RUN, NOT_RUN, Verdict

STEP_S, SILENCE_TIMEOUT_S, STALL_TIMEOUT_S, DEADLINE_S = 0.01, 0.3, 1.0, 20.0
GATEWAYS = ("a", "b")
DIRECTIONS = tuple(
    (gateway_name, direction) for gateway_name in GATEWAYS for direction in ("up", "over", "back", "down")
)
#: up: source to gateway; over: gateway to destination; back: destination to gateway; down: gateway to source


class SourceClient:
    """The client at the source: its body, and the outcomes that it was given."""

    def __init__(self, body: bytes) -> None:
        self.body, self.position, self.sender = body, 0, None  # type: tuple[bytes, int, Sender | None]
        self.outcomes: list[object] = []
        self.answer = b""

    def body_requested(self) -> None:
        self.window(256 * 1024)

    def window(self, size: int) -> None:
        if self.sender is not None and self.position < len(self.body):
            piece = self.body[self.position : self.position + size]
            self.position += len(piece)
            self.sender.data(piece)
            if self.position == len(self.body):
                self.sender.end()

    def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        if body is not None:
            self.answer = body
            self.outcomes.append(status)

    def data(self, data: bytes) -> None:
        self.answer += data
        assert self.sender is not None
        self.sender.window(len(data))

    def answer_completed(self) -> None:
        self.outcomes.append(200)

    def failed(self, verdict: Verdict) -> None:
        self.outcomes.append(verdict)


class SessionNetwork:
    """The network. `answer`: the backend's answer to each complete body."""

    client_class: type[SourceClient] = SourceClient
    receivers_class: type[Receivers] = Receivers
    relay_class: type[Relay] = Relay
    sender_class: type[Sender] = Sender

    def __init__(
        self,
        body: bytes,
        answer: bytes = b"done",
        known: bool = False,
        length: int | None = None,
    ) -> None:
        self.now, self.steps, self.turn = 0.0, 0, 0
        self.answer = answer
        self.queues: dict[tuple[str, str], deque[Any]] = {direction: deque() for direction in DIRECTIONS}
        self.cut_directions: set[tuple[str, str]] = set()  # Queues that deliver nothing now.
        self.cut_since: dict[str, float] = {}
        self.alive = set(GATEWAYS)
        self.relays = {gateway_name: self._gateway(gateway_name) for gateway_name in GATEWAYS}
        self.executions: list[tuple[bytes, bytes]] = []  # Attempt and body.
        self.running: list[Receiver] = []
        self.incarnations = 0
        self.restart()
        self.sources: list[tuple[Sender, SourceClient]] = []
        self.gateway_of: dict[bytes, str] = {}
        self.last_progress: dict[bytes, tuple[int, float]] = {}
        self.leaving_since: dict[bytes, float] = {}
        incarnation = self.receivers.incarnation if known else b""
        self.add(body, b"attempt-1", incarnation, len(body) if length is None else length)

    def add(self, body: bytes, attempt: bytes, incarnation: bytes, length: int) -> Sender:
        session_id = bytes([len(self.sources) + 1]) * 16
        client = self.client_class(body)
        request = Request("d", attempt, length, self.now + DEADLINE_S, int((self.now + DEADLINE_S) * 1000))
        sender = self.sender_class(session_id, request, client, incarnation)
        client.sender = sender
        self.sources.append((sender, client))
        return sender

    def _gateway(self, gateway_name: str) -> Relay:
        def send(link: Any, frame: list[Any]) -> None:
            self.queues[gateway_name, "down" if link == "source" else "over"].append(frame)

        return self.relay_class("r", send)

    def restart(self) -> None:
        """Restarts the destination; its backend keeps running, and may still be executing requests."""
        self.incarnations += 1
        self.running = []
        for gateway_name in GATEWAYS:
            self.queues[gateway_name, "over"].clear()
            self.queues[gateway_name, "back"].clear()
            if gateway_name in self.alive and self.incarnations > 1:
                self.relays[gateway_name].link_lost("destination")
        self.receivers = self.receivers_class(
            bytes([self.incarnations]) * 8,
            "r",
            BodyQuota(),
            self._back,
            self._run,
            lambda receiver: None,
            lambda receiver, size: None,
        )

    def _back(self, link: Any, frame: list[Any]) -> None:
        self.queues[link, "back"].append(frame)

    def _run(self, receiver: Receiver) -> None:
        self.executions.append((receiver.attempt, receiver.body()))
        self.running.append(receiver)

    # Faults.

    def kill(self, gateway_name: str) -> None:
        """Restarts a gateway without its state; what it had sent still arrives."""
        self.queues[gateway_name, "up"].clear()
        self.queues[gateway_name, "back"].clear()
        self.relays[gateway_name] = self._gateway(gateway_name)
        self.queues[gateway_name, "down"].append("lost")
        self.queues[gateway_name, "over"].append("lost")

    def drain(self, gateway_name: str) -> None:
        """Makes a gateway reject new sessions and send LEAVE to the present ones."""
        relay = self.relays[gateway_name]
        relay.accepts_sessions = False
        for session in list(relay.relayed_sessions.values()):
            relay.ask_to_leave(session)

    def cut(self, gateway_name: str, side: str) -> None:
        """Cuts a gateway off from the source or the destination, until `heal`."""
        self.cut_directions |= {
            (gateway_name, direction)
            for direction in (("up", "down") if side == "source" else ("over", "back"))
        }
        self.cut_since[gateway_name] = self.now

    def heal(self) -> None:
        """Heals all cuts: what was kept is delivered now."""
        self.cut_directions.clear()
        self.cut_since.clear()

    # Time.

    def step(self) -> bool:
        """Delivers one frame or answer, or lets time pass; False once all sessions are finished."""
        self.steps += 1
        self.now += STEP_S
        self._drive_sources()
        for _ in DIRECTIONS:
            self.turn += 1
            direction = DIRECTIONS[self.turn % len(DIRECTIONS)]
            if self.queues[direction] and direction not in self.cut_directions:
                self._deliver(*direction, self.queues[direction].popleft())
                self._drive_sources()
                return True
        if self.running:
            self._answer(self.running.pop(0))
            return True
        self.receivers.expire(self.now)
        self._detect_silence()
        for sender, _ in self.sources:
            if sender.state != FINISHED and self.now >= sender.request.deadline:
                sender.give_up()
        return any(sender.state != FINISHED for sender, _ in self.sources)

    def _detect_silence(self) -> None:
        """Drops links that have been silent for too long."""
        for gateway_name, at in list(self.cut_since.items()):
            if self.now - at >= SILENCE_TIMEOUT_S:
                if (gateway_name, "down") in self.cut_directions:
                    self._source_lost(gateway_name)
                    self.relays[gateway_name].link_lost("source")
                else:
                    self.relays[gateway_name].link_lost("destination")
                    self.receivers.link_lost(self.now, gateway_name)

    def _source_lost(self, gateway_name: str) -> None:
        for sender, _ in self.sources:
            if self.gateway_of.get(sender.session_id) == gateway_name:
                sender.detach()

    def _drive_sources(self) -> None:
        """Sends the frames of the senders, and moves sessions to another gateway where needed."""
        for sender, _ in self.sources:
            current = self.gateway_of.get(sender.session_id)
            if sender.state == IDLE:
                others = [
                    gateway_name
                    for gateway_name in GATEWAYS
                    if gateway_name != current and self._usable(gateway_name)
                ]
                if not others and current is not None and self._usable(current):
                    others = [current]
                if others:
                    self.gateway_of[sender.session_id] = others[0]
                    sender.attach(self.now)
                    self.last_progress[sender.session_id] = (sender.frames_received, self.now)
            elif sender.state == 3:
                since = self.leaving_since.setdefault(sender.session_id, self.now)
                if sender.has_nothing_in_flight() or self.now - since >= LEAVE_TIMEOUT_S:
                    del self.leaving_since[sender.session_id]
                    sender.detach()
            elif sender.awaits_destination:
                received, since = self.last_progress.get(sender.session_id, (-1, 0.0))
                if received != sender.frames_received:
                    self.last_progress[sender.session_id] = (sender.frames_received, self.now)
                elif self.now - since >= STALL_TIMEOUT_S:
                    sender.detach()
            frames, sender.outgoing = sender.outgoing, []
            if frames:
                self.queues[self.gateway_of[sender.session_id], "up"].extend(frames)

    def _usable(self, gateway_name: str) -> bool:
        return self.relays[gateway_name].accepts_sessions and (gateway_name, "up") not in self.cut_directions

    def _deliver(self, gateway_name: str, direction: str, frame: Any) -> None:
        relay = self.relays[gateway_name]
        if direction == "up":
            if frame[0] == OPEN:
                relay.open_session(self.now, "source", frame, lambda to, priority_class: "destination")
            else:
                relay.from_source("source", frame)
        elif direction == "over":
            if frame == "lost":
                self.receivers.link_lost(self.now, gateway_name)
            else:
                self.receivers.receive(self.now, int(self.now * 1000), gateway_name, frame)
        elif direction == "back":
            relay.from_destination("destination", frame)
        elif frame == "lost":
            self._source_lost(gateway_name)
        else:
            for sender, _ in self.sources:
                if sender.session_id == frame[1]:
                    sender.receive(frame)

    def _answer(self, receiver: Receiver) -> None:
        self.receivers.answer_started(receiver, 200, b"", len(self.answer))
        if self.answer:
            self.receivers.answer_data(receiver, self.answer)
        self.receivers.answer_completed(receiver)

    def run(
        self, faults_by_step: dict[int, Callable[[SessionNetwork], None]] | None = None, max_steps: int = 6000
    ) -> SessionNetwork:
        """Runs until all sessions are finished; a fault comes before the step of its number."""
        faults_by_step = faults_by_step or {}
        while self.steps < max_steps:
            fault = faults_by_step.get(self.steps)
            if fault is not None:
                fault(self)
            if not self.step() and self.steps > max(faults_by_step, default=0):
                break
        return self

    # Invariants.

    def violations(self, must_finish: bool = True) -> list[str]:
        """The invariants that were violated."""
        found = []
        attempts = [attempt for attempt, _ in self.executions]
        for attempt in dict.fromkeys(attempts):  # In a deterministic order.
            if attempts.count(attempt) > 1:
                found.append(f"{attempt!r} ran {attempts.count(attempt)} times")
        for sender, client in self.sources:
            bodies = [body for attempt, body in self.executions if attempt == sender.request.attempt]
            found += self._violations_of(client, bodies, must_finish)
        return found

    def _violations_of(self, client: SourceClient, bodies: list[bytes], must_finish: bool) -> list[str]:
        if len(client.outcomes) != 1:
            return [f"the client got {len(client.outcomes)} outcomes"]
        end = client.outcomes[0]
        if any(body != client.body for body in bodies):
            return ["the backend got a different body"]
        if end == 200:
            if not bodies:
                return ["reported as done, but never ran"]
            return [] if client.answer == self.answer else ["the client got a different answer"]
        assert isinstance(end, Verdict)
        if end.ran == NOT_RUN and bodies:
            return ["reported as not run, but ran"]
        if must_finish:
            return [f"not finished: {end!r}"]
        assert end.ran in (NOT_RUN, MAY_HAVE_RUN)
        return []
