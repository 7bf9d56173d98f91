"""One parsed copy of each configuration for all hollow nodes of a process.

A sidecar parses the text of a configuration twice, into a table of routes and into a second, independent
form. On separate machines all sidecars do so at the same time; a hundred nodes of one process would do it
one after the other, and the last one would apply the change a second late. Each text is therefore parsed
once in each way, and the result, which is never changed, is shared. The sidecar processes share nothing and
show the cost of parsing.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from typing import Any, cast

from honeywharf.drift import monitor
from honeywharf.drift.reference_parser import ReferenceTable
from honeywharf.mesh_config.routes import RoutingTable
from honeywharf.sidecar import mesh_state

MAX_CACHED_TEXTS = 4


def cached(parse: Callable[[bytes], Any]) -> Callable[[bytes], Any]:
    """Returns a parser that caches the result for each text."""
    return lru_cache(MAX_CACHED_TEXTS)(parse)


def share_parsers() -> None:
    """Shares the parsed configurations between all nodes of this process."""
    cast(Any, mesh_state).Table = cached(RoutingTable)
    cast(Any, monitor).ReferenceTable = cached(ReferenceTable)
