"""A field's shape: how many machines of each kind stand in each zone, and that all of them serve."""

from __future__ import annotations

from collections import Counter

from honeywharf.simulation.days import Day, Fault
from honeywharf.simulation.field import SERVICES, ZONES, Field, Shape
from honeywharf.simulation.run import real_control_node, real_sidecar
from tests.simulation.toymesh import toys


def test_the_machines_of_a_shape_stand_where_they_are_told() -> None:
    shape = Shape.told("400,90,7/5")
    field = Field(1, real_sidecar, real_control_node, shape)
    assert str(shape) == "400,90,7/5"
    assert Counter(side.machine.zone for side in field.sides) == dict(zip(ZONES, (400, 90, 7), strict=True))
    assert Counter(core.machine.zone for core in field.cores) == dict(zip(ZONES, (2, 2, 1), strict=True))
    assert len({machine.ip for machine in field.network.machines.values()}) == 497 + 5 + 1
    assert all(0 <= int(part) < 256 for ip in field.network.machines for part in ip.split("."))


def test_an_uneven_field_with_five_core_machines_serves() -> None:
    field = Field(4, real_sidecar, real_control_node, Shape((3, 1, 2), 5), 3.0, 6.0)
    Day(field, [])
    field.world.run(8.0)
    asks = field.book.asks.values()
    assert (field.book.found, field.world.crashes) == ([], [])
    assert sum(ask.status == 200 for ask in asks) > 0.98 * len(asks) > 150


def test_the_last_backend_of_a_service_stays() -> None:
    for seed in range(3):
        field = Field(seed, *toys(""), until=6.0)
        kinds = ("scale_in", "replace_with_reuse")
        Day(field, [Fault(6.0 + n, kinds[n % 2], "", 7 * seed + n) for n in range(14)])
        field.world.run(30.0)
        left = [side for side in field.sides if side.proxy.kept]
        assert {side.service for side in left} == set(SERVICES), seed
        assert len(left) < len(field.sides)
