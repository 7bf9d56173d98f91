"""The command that tells the register's size: it grows by a record a change up to its bound."""

from __future__ import annotations

from bench.store_size import after, row
from honeywharf.control.version_history import MAX_VERSIONS, RECORD_SIZE


def test_the_file_grows_by_a_record_a_change_and_no_further_than_its_bound() -> None:
    sizes = [int(row(changes).split()[2]) for changes in (100, 200, MAX_VERSIONS, MAX_VERSIONS + 500)]
    assert 100 * RECORD_SIZE <= sizes[1] - sizes[0] <= 100 * RECORD_SIZE + 8
    assert sizes[3] - sizes[2] < 16
    assert len(after(MAX_VERSIONS + 500).history) == MAX_VERSIONS
