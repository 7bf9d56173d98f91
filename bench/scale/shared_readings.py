"""One reading of each configuration for all hollow nodes of a process.

A sidecar reads the text of a configuration twice, into a table of routes and into a second, independent
form. On machines of their own all do so at the same time; a hundred nodes of one process would do it one
after the other, and the last one would have the change in force a second late. So each text is read once in
each way and the result is shared: neither is changed after it was made. What the reading costs is measured at
the sidecar processes, which share nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from typing import Any, cast

from honeywharf.drift import monitor
from honeywharf.drift.reference_parser import ReferenceTable
from honeywharf.mesh_config.routes import RoutingTable
from honeywharf.sidecar import mesh_state

READINGS = 4  # of the latest texts that are kept


def once(read: Callable[[bytes], Any]) -> Callable[[bytes], Any]:
    """The same, read once for each text."""
    return lru_cache(READINGS)(read)


def share() -> None:
    """From now on all nodes of this process share their readings."""
    cast(Any, mesh_state).Table = once(RoutingTable)
    cast(Any, monitor).ReferenceTable = once(ReferenceTable)
