"""One source, two gateways, one destination, without sockets: each frame is delivered by itself.

A step delivers one frame, or lets the backend answer, or lets time pass. Trouble comes after a given number
of steps. What was cut off is held and comes later, as from a kernel's buffers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from honeywharf.sessions.body_quota import Hold
from honeywharf.sessions.frames import OPEN
from honeywharf.sessions.receiver import Outlet, Outlets
from honeywharf.sessions.relay import Passages
from honeywharf.sessions.sender import IDLE, OVER, QUIET_S, Inlet, Request
from honeywharf.verdict import MAY_HAVE_RUN, NOT_RUN, Verdict

STEP_S, SILENT_S, STALL_S, DEADLINE_S = 0.01, 0.3, 1.0, 20.0
PLACES = ("a", "b")
WAYS = tuple((place, way) for place in PLACES for way in ("up", "over", "back", "down"))
#: up: source to gateway; over: gateway to destination; back: destination to gateway; down: gateway to source


class Told:
    """Who waits at the source: a client with a body, and what it was told."""

    def __init__(self, body: bytes) -> None:
        self.body, self.at, self.inlet = body, 0, None  # type: tuple[bytes, int, Inlet | None]
        self.ends: list[object] = []
        self.answer = b""

    def went(self) -> None:
        self.window(256 * 1024)

    def window(self, size: int) -> None:
        if self.inlet is not None and self.at < len(self.body):
            piece = self.body[self.at : self.at + size]
            self.at += len(piece)
            self.inlet.data(piece)
            if self.at == len(self.body):
                self.inlet.end()

    def answered(self, status: int, fields: bytes, length: int, body: bytes | None) -> None:
        if body is not None:
            self.answer = body
            self.ends.append(status)

    def data(self, data: bytes) -> None:
        self.answer += data
        assert self.inlet is not None
        self.inlet.window(len(data))

    def whole(self) -> None:
        self.ends.append(200)

    def failed(self, verdict: Verdict) -> None:
        self.ends.append(verdict)


class Town:
    """All of it. `answer`: what the backend says to each whole body."""

    outlets_class: type[Outlets] = Outlets
    passages_class: type[Passages] = Passages
    inlet_class: type[Inlet] = Inlet

    def __init__(
        self,
        body: bytes,
        answer: bytes = b"done",
        known: bool = False,
        length: int | None = None,
    ) -> None:
        self.now, self.steps, self.turn = 0.0, 0, 0
        self.answer = answer
        self.queues: dict[tuple[str, str], deque[Any]] = {way: deque() for way in WAYS}
        self.cut: set[tuple[str, str]] = set()  # queues that deliver nothing now
        self.cut_at: dict[str, float] = {}
        self.alive = set(PLACES)
        self.gateways = {place: self._gateway(place) for place in PLACES}
        self.runs: list[tuple[bytes, bytes]] = []  # attempt, body
        self.working: list[Outlet] = []
        self.lives = 0
        self.restart()
        self.sources: list[tuple[Inlet, Told]] = []
        self.ways: dict[bytes, str] = {}
        self.still: dict[bytes, tuple[int, float]] = {}
        self.left_at: dict[bytes, float] = {}
        life = self.outlets.life if known else b""
        self.add(body, b"attempt-1", life, len(body) if length is None else length)

    def add(self, body: bytes, attempt: bytes, life: bytes, length: int) -> Inlet:
        sid = bytes([len(self.sources) + 1]) * 16
        told = Told(body)
        request = Request("d", attempt, length, self.now + DEADLINE_S, int((self.now + DEADLINE_S) * 1000))
        inlet = self.inlet_class(sid, request, told, life)
        told.inlet = inlet
        self.sources.append((inlet, told))
        return inlet

    def _gateway(self, place: str) -> Passages:
        def send(path: Any, frame: list[Any]) -> None:
            self.queues[place, "down" if path == "source" else "over"].append(frame)

        return self.passages_class("r", send)

    def restart(self) -> None:
        """The destination dies and begins again: its backend lives on, and may still be at work."""
        self.lives += 1
        self.working = []
        for place in PLACES:
            self.queues[place, "over"].clear()
            self.queues[place, "back"].clear()
            if place in self.alive and self.lives > 1:
                self.gateways[place].path_lost("destination")
        self.outlets = self.outlets_class(
            bytes([self.lives]) * 8,
            "r",
            Hold(),
            self._back,
            self._run,
            lambda outlet: None,
            lambda outlet, size: None,
        )

    def _back(self, path: Any, frame: list[Any]) -> None:
        self.queues[path, "back"].append(frame)

    def _run(self, outlet: Outlet) -> None:
        self.runs.append((outlet.attempt, outlet.body()))
        self.working.append(outlet)

    # Trouble.

    def kill(self, place: str) -> None:
        """A gateway is gone; what it had sent still arrives. It is back at once, empty."""
        self.queues[place, "up"].clear()
        self.queues[place, "back"].clear()
        self.gateways[place] = self._gateway(place)
        self.queues[place, "down"].append("lost")
        self.queues[place, "over"].append("lost")

    def drain(self, place: str) -> None:
        """A gateway takes nothing more and asks its sessions to leave."""
        gateway = self.gateways[place]
        gateway.taking = False
        for row in list(gateway.rows.values()):
            gateway.ask_to_leave(row)

    def sever(self, place: str, side: str) -> None:
        """Between a gateway and the source or the destination nothing passes, until `join`."""
        self.cut |= {(place, way) for way in (("up", "down") if side == "source" else ("over", "back"))}
        self.cut_at[place] = self.now

    def join(self) -> None:
        """All is whole again: what was held comes now."""
        self.cut.clear()
        self.cut_at.clear()

    # Time.

    def step(self) -> bool:
        """One frame, one answer or a moment; False when all is over."""
        self.steps += 1
        self.now += STEP_S
        self._ways()
        for _ in WAYS:
            self.turn += 1
            way = WAYS[self.turn % len(WAYS)]
            if self.queues[way] and way not in self.cut:
                self._deliver(*way, self.queues[way].popleft())
                self._ways()
                return True
        if self.working:
            self._answer(self.working.pop(0))
            return True
        self.outlets.due(self.now)
        self._silence()
        for inlet, _ in self.sources:
            if inlet.state != OVER and self.now >= inlet.request.deadline:
                inlet.late()
        return any(inlet.state != OVER for inlet, _ in self.sources)

    def _silence(self) -> None:
        """Links on which nothing comes are lost."""
        for place, at in list(self.cut_at.items()):
            if self.now - at >= SILENT_S:
                if (place, "down") in self.cut:
                    self._source_lost(place)
                    self.gateways[place].path_lost("source")
                else:
                    self.gateways[place].path_lost("destination")
                    self.outlets.path_lost(self.now, place)

    def _source_lost(self, place: str) -> None:
        for inlet, _ in self.sources:
            if self.ways.get(inlet.sid) == place:
                inlet.detach()

    def _ways(self) -> None:
        """The source sends what waits, and takes another way where there is none."""
        for inlet, _ in self.sources:
            way = self.ways.get(inlet.sid)
            if inlet.state == IDLE:
                others = [place for place in PLACES if place != way and self._usable(place)]
                if not others and way is not None and self._usable(way):
                    others = [way]
                if others:
                    self.ways[inlet.sid] = others[0]
                    inlet.attach(self.now)
                    self.still[inlet.sid] = (inlet.taken, self.now)
            elif inlet.state == 3:
                since = self.left_at.setdefault(inlet.sid, self.now)
                if inlet.quiet() or self.now - since >= QUIET_S:
                    del self.left_at[inlet.sid]
                    inlet.detach()
            elif inlet.owed:
                taken, since = self.still.get(inlet.sid, (-1, 0.0))
                if taken != inlet.taken:
                    self.still[inlet.sid] = (inlet.taken, self.now)
                elif self.now - since >= STALL_S:
                    inlet.detach()
            frames, inlet.out = inlet.out, []
            if frames:
                self.queues[self.ways[inlet.sid], "up"].extend(frames)

    def _usable(self, place: str) -> bool:
        return self.gateways[place].taking and (place, "up") not in self.cut

    def _deliver(self, place: str, way: str, frame: Any) -> None:
        gateway = self.gateways[place]
        if way == "up":
            if frame[0] == OPEN:
                gateway.opens(self.now, "source", frame, lambda to, lane: "destination")
            else:
                gateway.from_source("source", frame)
        elif way == "over":
            if frame == "lost":
                self.outlets.path_lost(self.now, place)
            else:
                self.outlets.take(self.now, int(self.now * 1000), place, frame)
        elif way == "back":
            gateway.from_destination("destination", frame)
        elif frame == "lost":
            self._source_lost(place)
        else:
            for inlet, _ in self.sources:
                if inlet.sid == frame[1]:
                    inlet.take(frame)

    def _answer(self, outlet: Outlet) -> None:
        self.outlets.answered(outlet, 200, b"", len(self.answer))
        if self.answer:
            self.outlets.answer_data(outlet, self.answer)
        self.outlets.answer_whole(outlet)

    def play(self, troubles: dict[int, Callable[[Town], None]] | None = None, most: int = 6000) -> Town:
        """Run to the end; trouble comes before the step of its number."""
        troubles = troubles or {}
        while self.steps < most:
            trouble = troubles.get(self.steps)
            if trouble is not None:
                trouble(self)
            if not self.step() and self.steps > max(troubles, default=0):
                break
        return self

    # What must hold.

    def faults(self, must_finish: bool = True) -> list[str]:
        """What was broken."""
        found = []
        attempts = [attempt for attempt, _ in self.runs]
        for attempt in dict.fromkeys(attempts):  # in the order of the runs, not of a hash
            if attempts.count(attempt) > 1:
                found.append(f"{attempt!r} ran {attempts.count(attempt)} times")
        for inlet, told in self.sources:
            bodies = [body for attempt, body in self.runs if attempt == inlet.request.attempt]
            found += self._judge(told, bodies, must_finish)
        return found

    def _judge(self, told: Told, bodies: list[bytes], must_finish: bool) -> list[str]:
        if len(told.ends) != 1:
            return [f"told {len(told.ends)} times"]
        end = told.ends[0]
        if any(body != told.body for body in bodies):
            return ["the backend saw another body"]
        if end == 200:
            if not bodies:
                return ["told done, and never ran"]
            return [] if told.answer == self.answer else ["another answer"]
        assert isinstance(end, Verdict)
        if end.ran == NOT_RUN and bodies:
            return ["told not run, and ran"]
        if must_finish:
            return [f"not finished: {end!r}"]
        assert end.ran in (NOT_RUN, MAY_HAVE_RUN)
        return []
