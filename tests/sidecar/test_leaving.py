"""A sidecar that is told to end: its backend is of use until shortly before, and nothing is cut off."""

from __future__ import annotations

from honeywharf.programs.sidecar import GATE_S, UNTIL_QUIET_S, Sidecar
from honeywharf.sidecar.gate import DRAINING, READY
from honeywharf.simulation.days import Day
from honeywharf.simulation.field import TERM, Field
from honeywharf.simulation.run import real_control_node, real_sidecar


def test_the_gate_of_one_that_leaves_takes_requests_until_shortly_before_its_end() -> None:
    field = Field(31, real_sidecar, real_control_node, until=16.0)
    world, side = field.world, field.sides[0]
    Day(field, [])
    world.run(9.0)
    sidecar = side.proxy.program
    assert isinstance(sidecar, Sidecar)
    told, other = sidecar.inbound, field.sides[1].proxy.program
    assert isinstance(other, Sidecar)
    at_term = told.served
    side.proxy.signal(TERM)
    world.run(9.0 + UNTIL_QUIET_S - GATE_S - 0.05)
    assert not told.leaving
    assert other.source.list[side.ip].state == READY
    open_for = told.served
    assert open_for - at_term > 10
    world.run(9.0 + UNTIL_QUIET_S - 0.1)
    assert other.source.list[side.ip].state == DRAINING
    closed = told.served
    world.run(9.0 + 6.0)
    assert side.proxy.program is not sidecar
    assert told.served - closed <= 1
    assert not told.jobs
    assert field.book.found == []
