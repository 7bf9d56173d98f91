"""The register's file grows by one record for each change, up to its limit."""

from __future__ import annotations

from bench.store_size import format_row, state_after
from honeywharf.control.version_history import MAX_VERSIONS, RECORD_SIZE


def test_the_file_grows_by_a_record_per_change_up_to_its_limit() -> None:
    sizes = [int(format_row(changes).split()[2]) for changes in (100, 200, MAX_VERSIONS, MAX_VERSIONS + 500)]
    assert 100 * RECORD_SIZE <= sizes[1] - sizes[0] <= 100 * RECORD_SIZE + 8
    assert sizes[3] - sizes[2] < 16
    assert len(state_after(MAX_VERSIONS + 500).history) == MAX_VERSIONS
