"""The contents of a disk after a power loss at any moment of a write and a rename."""

from __future__ import annotations

import random

from honeywharf.simulation.disk import Disk
from tests.simulation.toys import TwoMachines


def save(two: TwoMachines, data: bytes) -> None:
    two.there.write("new", data)
    two.there.rename("new", "word")


def after(crash: tuple[int, str], seed: int) -> dict[str, bytes]:
    """Returns the files after a crash at one operation of the second save."""
    two = TwoMachines(seed)
    two.call_in(two.there, lambda: save(two, b"old " * 100))
    two.world.run(0.5)
    disk = two.there.machine.disk
    assert disk is not None
    disk.crash_at = (2 + crash[0], crash[1])
    two.call_in(two.there, lambda: save(two, b"NEW " * 100))
    two.world.run(1.0)
    assert not two.there.machine.power
    return disk.files


def test_a_file_written_beside_and_renamed_is_the_old_or_the_new_one_at_each_crash() -> None:
    seen = {
        (crash, after(crash, seed)["word"])
        for seed in range(40)
        for crash in ((1, "before"), (1, "torn"), (1, "after"), (2, "before"), (2, "torn"), (2, "after"))
    }
    old, new = b"old " * 100, b"NEW " * 100
    assert {data for _, data in seen} == {old, new}
    assert {data for crash, data in seen if crash[0] == 1 or crash == (2, "before")} == {old}
    assert {data for crash, data in seen if crash == (2, "torn")} == {old, new}
    assert {data for crash, data in seen if crash == (2, "after")} == {new}


def test_a_file_written_over_may_be_torn() -> None:
    found = set()
    for seed in range(60):
        disk = Disk()
        disk.run("write", "a", 0.0, b"old " * 100)
        disk.run("sync", "", 0.5)
        disk.settle(1.0)
        disk.run("write", "a", 1.0, b"NEW " * 100)
        disk.crash(1.001, True, random.Random(seed))
        found.add(disk.files["a"])
    assert {b"old " * 100, b"NEW " * 100} < found
    assert len(found) > 10


def test_a_removal_may_come_back_until_the_folder_is_synced() -> None:
    found = set()
    for seed in range(40):
        disk = Disk()
        for name in "ab":
            disk.run("write", name, 0.0, b"1")
        disk.run("sync", "", 0.5)
        disk.settle(1.0)
        disk.run("remove", "a", 1.0)
        disk.crash(5.0, False, random.Random(seed))
        assert sorted(disk.files) == ["b"]  # The end of a process undoes nothing.
        disk.crash(6.0, True, random.Random(seed))
        found.add("".join(sorted(disk.files)))
    assert found == {"ab", "b"}
    disk = Disk()
    for name in "ab":
        disk.run("write", name, 0.0, b"1")
    disk.run("remove", "a", 1.0)
    disk.run("rename", "b", 1.0, to="c")
    disk.crash(2.0, True, random.Random(1))
    assert sorted(disk.files) == ["c"]


def test_a_new_file_may_be_lost_until_its_folder_is_synced() -> None:
    for folder_synced, wanted in ((False, {0, 1, 2}), (True, {2})):
        found = set()
        for seed in range(40):
            disk = Disk()
            for name in "ab":
                disk.run("write", name, 0.0, b"1")
            if folder_synced:
                disk.run("sync", "", 0.5)
            disk.crash(2.0, True, random.Random(seed))
            found.add(len(disk.files))
        assert found == wanted


def test_an_operation_that_had_not_begun_leaves_nothing() -> None:
    for seed in range(20):
        two = TwoMachines(seed)
        two.call_in(two.there, lambda two=two: save(two, b"1"))  # type: ignore[misc]
        two.world.run(0.013)  # This is within the first of the two syncs.
        two.there.kill()
        assert two.there.machine.disk is not None
        assert "word" not in two.there.machine.disk.files
