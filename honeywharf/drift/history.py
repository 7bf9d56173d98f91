"""A control node's history of configuration revisions and drift reports, on its disk and bounded.

Theory of operation. One file, `drift-history`, holds the last committed revisions, the drift reports of the
sidecars, and the progress of this machine's own acceptor. The texts of the last configurations are stored
beside it, so that two versions can be compared later. The file is written shortly after a change, first under
another name and then renamed, so a power failure loses at most the last second of history. A checksum is
verified on reading; a damaged history counts as empty. The mesh depends on it in one case only: an acceptor
whose state is older than the history records is on a disk that has returned an older state.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Any

import msgpack  # type: ignore[import-untyped]

from honeywharf.mesh_config import changes
from honeywharf.mesh_config.routes import RoutingTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.control.mesh_state import MeshState
    from honeywharf.transport.host import Host

FILE, NEW_FILE, TEXT_PREFIX = "drift-history", "drift-history.new", "drift-text-"
MAGIC = b"hwa1"
MAX_REVISIONS, MAX_DRIFT_REPORTS = 64, 256
MAX_TEXTS, MAX_TEXT_BYTES = 8, 1 << 20  # Bounds on the stored configuration texts, compressed.
MAX_CAUSE_LENGTH = 200
WRITE_DELAY_S = 0.7  # The delay between a change and the write.
MAX_DIFF_LINES = 2000


class History:
    """The history of one control node. An OSError of the disk is logged and not raised."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.revisions: list[list[Any]] = []  # Wall time, revision, version, digest, evacuated zones.
        self.drift_reports: list[list[Any]] = []  # Wall time, node, method, cause, revision.
        self.acceptor_progress: list[Any] = []  # This machine's disk, promised and accepted proposals.
        self.texts: list[list[Any]] = []  # Version, digest, size in bytes.
        self.unwritten_texts: list[tuple[MeshState, bytes]] = []  # Not yet on disk.
        self.write_pending = False

    def load(self) -> None:
        """Reads the file. A missing or damaged file leaves the history empty."""
        try:
            data = self.host.read(FILE)
            if data is None or data[:4] != MAGIC or zlib.crc32(data[8:]).to_bytes(4, "big") != data[4:8]:
                return
            self.revisions, self.drift_reports, self.acceptor_progress, self.texts = msgpack.unpackb(data[8:])
        except (OSError, ValueError, TypeError) as fault:
            self.host.log(f"history: reading the file failed: {fault!r}")

    # Additions.

    def add_revision(self, state: MeshState, packed: bytes | None) -> None:
        """Adds a committed revision. `packed` is its compressed text, if this machine has it."""
        evacuated = sorted(zone for zone, on in state.evacuations.items() if on)
        row = [self.host.wall_time(), state.revision, state.version, state.digest, evacuated]
        self.revisions = [*self.revisions[1 - MAX_REVISIONS :], row]
        if packed is not None and all(state.digest != text[1] for text in self.texts):
            self.unwritten_texts = [*self.unwritten_texts[1 - MAX_TEXTS :], (state, packed)]
        self._schedule_write()

    def _store_text(self, state: MeshState, packed: bytes) -> None:
        if len(packed) > MAX_TEXT_BYTES:
            return
        try:
            self.host.write(TEXT_PREFIX + state.digest, packed)
            self.texts.append([state.version, state.digest, len(packed)])
            while len(self.texts) > MAX_TEXTS or sum(text[2] for text in self.texts) > MAX_TEXT_BYTES:
                self.host.remove(TEXT_PREFIX + self.texts.pop(0)[1])
        except OSError as fault:
            self.host.log(f"history: storing a configuration text failed: {fault}")

    def add_drift_report(self, node: object, method: object, cause: object, revision: object) -> None:
        """Adds a sidecar's drift report."""
        row = [
            self.host.wall_time(),
            str(node)[:64],
            str(method)[:16],
            str(cause)[:MAX_CAUSE_LENGTH],
            int(str(revision)),
        ]
        self.drift_reports = [*self.drift_reports[1 - MAX_DRIFT_REPORTS :], row]
        self._schedule_write()

    def record_acceptor(self, disk: str, promised: tuple[Any, ...], accepted: tuple[Any, ...]) -> None:
        """Records the progress of this machine's own acceptor."""
        progress = [disk, list(promised), list(accepted)]
        if progress != self.acceptor_progress:
            self.acceptor_progress = progress
            self._schedule_write()

    def has_regressed(self, disk: str, promised: tuple[Any, ...], accepted: tuple[Any, ...]) -> bool:
        """Whether an acceptor state is older than the recorded one of the same disk."""
        return (
            bool(self.acceptor_progress)
            and self.acceptor_progress[0] == disk
            and (
                tuple(promised) < tuple(self.acceptor_progress[1])
                or tuple(accepted) < tuple(self.acceptor_progress[2])
            )
        )

    def _schedule_write(self) -> None:
        if not self.write_pending:
            self.write_pending = True
            self.host.after(WRITE_DELAY_S, self._write)

    def _write(self) -> None:
        self.write_pending = False
        unwritten, self.unwritten_texts = self.unwritten_texts, []
        for state, packed in unwritten:
            self._store_text(state, packed)
        body = msgpack.packb([self.revisions, self.drift_reports, self.acceptor_progress, self.texts])
        try:
            self.host.write(NEW_FILE, MAGIC + zlib.crc32(body).to_bytes(4, "big") + body)
            self.host.rename(NEW_FILE, FILE)
        except OSError as fault:
            self.host.log(f"history: writing the file failed: {fault}")

    # Queries.

    def differences(self, before: int, after: int, stored_text: Callable[[str], bytes | None]) -> list[str]:
        """Returns a line for each change from one version to another. LookupError: a version is not stored.

        `stored_text` returns the compressed text of a digest from elsewhere on this disk, or None.
        """
        tables = [RoutingTable(self._read_text(version, stored_text)) for version in (before, after)]
        lines = [str(line) for line in changes.changes(*tables)]
        line_count = len(lines)
        return lines[:MAX_DIFF_LINES] + (
            [f"and {line_count - MAX_DIFF_LINES} more"] if line_count > MAX_DIFF_LINES else []
        )

    def _read_text(self, version: int, stored_text: Callable[[str], bytes | None]) -> bytes:
        digest = next((row[3] for row in reversed(self.revisions) if row[2] == version), None)
        if digest is None:
            raise LookupError(f"r{version} is not in the history")
        packed = stored_text(digest) or self.host.read(TEXT_PREFIX + digest)
        if packed is None:
            raise LookupError(f"the text of r{version} is no longer stored")
        return zlib.decompress(packed)
