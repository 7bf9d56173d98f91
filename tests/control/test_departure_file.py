"""The file of departures on a control node's disk."""

from __future__ import annotations

import pytest

from honeywharf.control.repair import check
from honeywharf.control.store import DEPARTURES, DEPARTURES_NEW, DepartureFile
from tests.control.test_store import machine
from tests.control.virtual_network import PowerLostError

STORED = [("10.1.0.8", [[5, 3]]), ("10.1.0.9", [[7, 1], [6, 2]])]
LOADED = [list(row) for row in STORED]


def test_departures_are_read_as_they_were_saved_in_their_order() -> None:
    disk = machine()
    assert DepartureFile(disk).load() is None
    DepartureFile(disk).save(STORED)
    assert DepartureFile(disk).load() == LOADED
    assert disk.names() == [DEPARTURES]
    assert f"{DEPARTURES}: departed backends, no vote depends on it" in check(disk).lines


@pytest.mark.parametrize("torn", [False, True])
def test_a_power_failure_at_any_operation_leaves_the_old_file_or_the_new_one(torn: bool) -> None:
    """Guards against a file that is overwritten in place, and lost with the power."""
    for at in (1, 2):
        disk = machine()
        DepartureFile(disk).save(STORED[:1])
        disk.disk.fail_at, disk.disk.torn = disk.disk.count + at, torn
        with pytest.raises(PowerLostError):
            DepartureFile(disk).save(STORED)
        assert DepartureFile(disk).load() in (LOADED[:1], LOADED)


def test_a_write_that_was_cut_off_or_damaged_costs_no_more_than_its_content() -> None:
    disk = machine()
    DepartureFile(disk).save(STORED)
    whole = disk.read(DEPARTURES)
    assert whole is not None
    disk.write(DEPARTURES_NEW, whole[: len(whole) // 2])
    assert DepartureFile(disk).load() == LOADED
    for at in range(len(whole)):
        disk.write(DEPARTURES, whole[:at])
        assert DepartureFile(disk).load() is None
