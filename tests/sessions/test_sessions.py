"""Sessions under drains, kills and cuts at every frame, for one upload and one order."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from honeywharf.sessions.frames import HAVE, OPEN
from honeywharf.sessions.receiver import Outlet, Outlets
from honeywharf.sessions.relay import Passages, Row
from honeywharf.sessions.sender import Inlet
from honeywharf.verdict import FULL, NOT_RUN, Verdict
from tests.sessions.network import PLACES, Town

UPLOAD = bytes(range(256)) * 520  # 133,120 bytes: nine pieces
ORDER = b"one print order"
Trouble = Callable[[Town], None]


def troubles() -> dict[str, Trouble]:
    found: dict[str, Trouble] = {}
    for place in PLACES:
        found[f"kill {place}"] = lambda town, place=place: town.kill(place)  # type: ignore[misc]
        found[f"drain {place}"] = lambda town, place=place: town.drain(place)  # type: ignore[misc]
        for side in ("source", "destination"):
            found[f"cut {place} {side}"] = lambda town, place=place, side=side: town.sever(place, side)  # type: ignore[misc]
    return found


TROUBLES = troubles()


def towns(make: type[Town] = Town) -> list[tuple[str, Callable[[], Town]]]:
    return [
        ("upload", lambda: make(UPLOAD)),
        ("chunked", lambda: make(UPLOAD, length=-1)),
        ("order", lambda: make(ORDER, known=True)),
        ("deletion", lambda: make(b"", known=True)),
        ("pull", lambda: make(b"", answer=UPLOAD)),
    ]


def once(make: Callable[[], Town], name: str, at: int, healed: int | None = None) -> list[str]:
    plan: dict[int, Trouble] = {at: TROUBLES[name]}
    if healed is not None:
        plan[healed] = Town.join
    return make().play(plan).faults()


@pytest.mark.parametrize("name", TROUBLES)
def test_one_trouble_at_every_frame(name: str) -> None:
    for what, make in towns():
        for at in range(make().play().steps + 1):
            for healed in (None, at + 12, at + 45) if "cut" in name else (None,):
                assert once(make, name, at, healed) == [], (what, name, at, healed)


def test_two_troubles_at_any_two_frames() -> None:
    """A gateway dies in its own drain, the target of a move drains, dies or is cut off: any two steps."""
    for what, make in towns():
        if what not in ("upload", "order"):
            continue
        steps = make().play().steps
        for first in ("drain a", "kill a", "cut a source", "cut a destination"):
            for second in ("kill a", "kill b", "cut b source", "cut b destination"):
                for at in range(0, steps + 1, 1 if what == "order" else 3):
                    for later in range(at + 1, steps + 12, 1 if what == "order" else 5):
                        plan: dict[int, Trouble] = {
                            at: TROUBLES[first],
                            later: TROUBLES[second],
                            later + 40: Town.join,
                        }
                        assert make().play(plan).faults() == [], (what, first, at, second, later)


def test_a_destination_that_restarts_at_every_frame_is_never_said_not_to_have_run_when_it_did() -> None:
    for what, make in towns():
        for at in range(make().play().steps + 1):
            for also in (None, "kill a", "drain a", "cut a source"):
                plan: dict[int, Trouble] = {at: Town.restart}
                if also is not None:
                    plan[max(0, at - 3)] = TROUBLES[also]
                    plan[at + 40] = Town.join
                assert make().play(plan).faults(must_finish=False) == [], (what, at, also)


def test_repeated_and_swapped_frames_change_nothing() -> None:
    def disorder(seed: int) -> Trouble:
        def do(town: Town) -> None:
            draw = random.Random(seed)
            way = draw.choice([way for way, queue in town.queues.items() if queue] or [None])
            if way is None:
                return
            queue = town.queues[way]
            if draw.random() < 0.5:
                queue.insert(draw.randrange(len(queue) + 1), queue[0])
            elif len(queue) > 1:
                queue[0], queue[1] = queue[1], queue[0]

        return do

    for seed in range(600):
        draw = random.Random(seed)
        what, make = draw.choice(towns())
        plan = {draw.randrange(make().play().steps): disorder(seed + k) for k in range(3)}
        assert make().play(plan).faults() == [], (what, seed)


def test_the_same_attempt_by_another_session_joins_the_first_at_every_frame() -> None:
    for what, make in towns():
        for at in range(make().play().steps + 8):

            def again(town: Town) -> None:
                first = town.sources[0][0].request
                town.ways[b"\x02" * 16] = "a"
                town.add(town.sources[0][1].body, first.attempt, town.outlets.life, first.length)

            town = make().play({at: again})
            assert town.faults() == [], (what, at)
            assert len(town.runs) == 1


def test_a_drain_repeats_no_byte_and_a_kill_at_most_a_window() -> None:
    steps = Town(UPLOAD).play().steps
    for at in range(steps):
        drained = Town(UPLOAD).play({at: TROUBLES["drain a"]})
        assert drained.sources[0][0].twice == 0, at
        killed = Town(UPLOAD).play({at: TROUBLES["kill a"]})
        assert killed.sources[0][0].twice <= 256 * 1024
    assert any(Town(UPLOAD).play({at: TROUBLES["kill a"]}).sources[0][0].twice for at in range(steps))


def test_what_a_client_sends_while_a_way_is_sought_waits_for_the_destinations_word() -> None:
    """A first version sent it at once, past what the new gateway had granted: a window was sent twice."""
    town = Town(UPLOAD)
    inlet = town.sources[0][0]
    while inlet.acked < 40_000:
        town.step()
    inlet.detach()
    inlet.attach(town.now)
    inlet.data(b"more of it")
    assert [frame[0] for frame in inlet.out] == [OPEN]


def test_a_destination_that_has_all_or_has_refused_is_known_to_live_whatever_way_the_word_came_by() -> None:
    """A first version took the word of a second way for less, and the next short request cost more."""
    for what, make in towns():
        for at in range(make().play().steps):
            inlet = make().play({at: TROUBLES["kill a"]}).sources[0][0]
            assert inlet.complete, (what, at)
    town = Town(ORDER, known=True)
    while not town.working:
        town.step()
    town.outlets.failed(town.working.pop(), Verdict(NOT_RUN, FULL))
    assert town.play().sources[0][0].complete


# Wrong ones: each must be found.


class NoEpochOutlets(Outlets):
    def _fenced(self, outlet: Outlet, epoch: int) -> bool:
        return False

    def _newer(self, outlet: Outlet, epoch: int) -> bool:
        return True


class NoEpochInlet(Inlet):
    def _fenced(self, epoch: int) -> bool:
        return False


class LedgerAfterSend(Outlets):
    """What runs is entered when its answer comes."""

    def _start(self, outlet: Outlet) -> None:
        self.sessions.pop(outlet.sid, None)
        self.ledger.pop(outlet.attempt, None)
        super()._start(outlet)

    def answered(self, outlet: Outlet, status: int, fields: bytes, length: int) -> None:
        self._enter(outlet)
        super().answered(outlet, status, fields, length)


class ToldBeforeRun(Outlets):
    """It says done as soon as the body is whole, before the backend has had it."""

    def _start(self, outlet: Outlet) -> None:
        self.answered(outlet, 200, b"", 4)
        outlet.state, outlet.answer = 2, (200, b"", 4)
        self.answer_data(outlet, b"done")
        self.answer_whole(outlet)
        self.pending: list[Outlet] = [*getattr(self, "pending", []), outlet]

    def due(self, now: float) -> None:
        waiting, self.pending = getattr(self, "pending", []), []
        for outlet in waiting:
            self.run(outlet)
        super().due(now)


class AcknowledgingGateway(Passages):
    """It acknowledges what it has passed on, before the destination has it."""

    def from_source(self, source: object, frame: list[Any]) -> None:
        super().from_source(source, frame)
        row: Row | None = self.rows.get(frame[1])
        if frame[0] == 1 and row is not None and row.life:
            have = frame[3] + len(frame[4])
            self.send(row.source, [HAVE, row.sid, row.epoch, row.life, have, have + 65536, 0])


def broken(make: type[Town]) -> bool:
    """Whether one or two troubles at some frame show a fault."""
    for _, each in towns(make):
        steps = each().play(most=1500).steps
        for at in range(min(steps, 80)):
            for name in ("kill a", "drain a", "cut a source", "cut a destination"):
                for healed in (at + 12, at + 45):
                    plan: dict[int, Trouble] = {at: TROUBLES[name], healed: Town.join}
                    if each().play(plan, most=3500).faults():
                        return True
            plan = {at: Town.restart}
            if each().play(plan, most=3500).faults(must_finish=False):
                return True
    return False


@pytest.mark.parametrize("part", ["outlets", "ledger", "told", "gateway"])
def test_wrong_rules_are_found(part: str) -> None:
    class Wrong(Town):
        outlets_class = {"outlets": NoEpochOutlets, "ledger": LedgerAfterSend, "told": ToldBeforeRun}.get(
            part, Outlets
        )
        passages_class = AcknowledgingGateway if part == "gateway" else Passages

    assert broken(Wrong)


def ways_taken(make: Callable[[], Town]) -> int:
    """The most ways that the upload takes where the first is cut off, drains, and is whole again later."""
    found = 0
    for at in range(make().play().steps):
        for healed in (at + 32, at + 40, at + 60):
            plan: dict[int, Trouble] = {
                at: TROUBLES["cut a source"],
                at + 5: TROUBLES["drain a"],
                healed: Town.join,
            }
            found = max(found, make().play(plan).sources[0][0].epoch)
    return found


def test_a_word_of_an_old_way_moves_no_session() -> None:
    """The source's fence breaks nothing where it is missing: it saves moves, and this is what shows it."""

    class Wrong(Town):
        inlet_class = NoEpochInlet

    def slow(make: type[Town]) -> Callable[[], Town]:
        return lambda: make(UPLOAD * 4)

    assert ways_taken(slow(Town)) == 2
    assert ways_taken(slow(Wrong)) > 2
