"""The departures that a control node knows, on its disk: they outlive a kill of all processes at once.

Theory of operation. One file, `departures`, holds the departures of all machines (`admission.departures`),
with the header of `store`. It is written under another name and then renamed, so that a kill or a power
failure leaves the old file or the new one. A missing or damaged file counts as empty: departures merge in any
order, and other processes hold them too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgpack  # type: ignore[import-untyped]

from honeywharf.control.store import DEPARTURES, DEPARTURES_NEW, decode_file, encode_file

if TYPE_CHECKING:
    from honeywharf.control.store import Disk
    from honeywharf.sidecar.departures import DepartureRow


class DepartureFile:
    """The file of one control node. Each method raises OSError if the disk fails."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    def load(self) -> object:
        """Returns the rows as they were saved; None without an intact file."""
        body = decode_file(self.disk.read(DEPARTURES))
        try:
            return None if body is None else msgpack.unpackb(body)
        except (ValueError, msgpack.UnpackException):
            return None

    def save(self, rows: list[DepartureRow]) -> None:
        """Replaces the file; it is synced when this returns."""
        self.disk.write(DEPARTURES_NEW, encode_file(msgpack.packb(rows)))
        self.disk.rename(DEPARTURES_NEW, DEPARTURES)
