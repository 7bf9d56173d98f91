"""What a control node remembers of words and slips, on its disk, bounded.

Theory of operation. One file, `drift-history`, holds the last words as they were settled, what each
sidecar told of its slips, and how far this machine's own register had come; the texts of the last
configurations stand beside it, so that two versions can be compared later. It is written a moment after
something came, whole and beside, so a loss of power costs the last second of history and nothing else. What
the disk gives back is checked by a checksum; a damaged history is an empty one. Nothing in the mesh depends
on it but one thing: a register that is older than the history says is a disk that has gone back.
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

FILE, BESIDE, TEXT = "drift-history", "drift-history.new", "drift-text-"
MARK = b"hwa1"
MAX_WORDS, MAX_SLIPS = 64, 256
MAX_TEXTS, MAX_TEXT_BYTES = 8, 1 << 20  # kept of configurations, compressed
MAX_CAUSE = 200  # characters of a slip
LATER_S = 0.7  # between something new and the file
MAX_LINES = 2000  # of a comparison


class History:
    """See the module. OSError of the disk is logged and goes no further."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.words: list[list[Any]] = []  # wall, revision, version, digest, evacuated zones
        self.slips: list[list[Any]] = []  # wall, node, by, cause, revision
        self.own: list[Any] = []  # this register: disk, promised, accepted
        self.texts: list[list[Any]] = []  # version, digest, bytes
        self.new: list[tuple[MeshState, bytes]] = []  # texts that are not written yet
        self.pending = False

    def load(self) -> None:
        """What the disk holds; nothing where that is damaged."""
        try:
            data = self.host.read(FILE)
            if data is None or data[:4] != MARK or zlib.crc32(data[8:]).to_bytes(4, "big") != data[4:8]:
                return
            self.words, self.slips, self.own, self.texts = msgpack.unpackb(data[8:])
        except (OSError, ValueError, TypeError) as fault:
            self.host.log(f"history: {fault!r}")

    # What comes.

    def word(self, state: MeshState, packed: bytes | None) -> None:
        """A word is settled. `packed`: its text, compressed, where it is here."""
        evacuated = sorted(zone for zone, on in state.evacuations.items() if on)
        row = [self.host.wall_time(), state.revision, state.version, state.digest, evacuated]
        self.words = [*self.words[1 - MAX_WORDS :], row]
        if packed is not None and all(state.digest != text[1] for text in self.texts):
            self.new = [*self.new[1 - MAX_TEXTS :], (state, packed)]
        self._soon()

    def _keep_text(self, state: MeshState, packed: bytes) -> None:
        if len(packed) > MAX_TEXT_BYTES:
            return
        try:
            self.host.write(TEXT + state.digest, packed)
            self.texts.append([state.version, state.digest, len(packed)])
            while len(self.texts) > MAX_TEXTS or sum(text[2] for text in self.texts) > MAX_TEXT_BYTES:
                self.host.remove(TEXT + self.texts.pop(0)[1])
        except OSError as fault:
            self.host.log(f"history: a text could not be kept: {fault}")

    def slip(self, node: object, by: object, cause: object, revision: object) -> None:
        """A sidecar tells of a slip."""
        row = [
            self.host.wall_time(),
            str(node)[:64],
            str(by)[:16],
            str(cause)[:MAX_CAUSE],
            int(str(revision)),
        ]
        self.slips = [*self.slips[1 - MAX_SLIPS :], row]
        self._soon()

    def register(self, disk: str, promised: tuple[Any, ...], accepted: tuple[Any, ...]) -> None:
        """How far this machine's own register has come."""
        now = [disk, list(promised), list(accepted)]
        if now != self.own:
            self.own = now
            self._soon()

    def went_back(self, disk: str, promised: tuple[Any, ...], accepted: tuple[Any, ...]) -> bool:
        """Whether a register that was read is older than one that was here before under the same name."""
        return (
            bool(self.own)
            and self.own[0] == disk
            and (tuple(promised) < tuple(self.own[1]) or tuple(accepted) < tuple(self.own[2]))
        )

    def _soon(self) -> None:
        if not self.pending:
            self.pending = True
            self.host.after(LATER_S, self._write)

    def _write(self) -> None:
        self.pending = False
        new, self.new = self.new, []
        for state, packed in new:
            self._keep_text(state, packed)
        body = msgpack.packb([self.words, self.slips, self.own, self.texts])
        try:
            self.host.write(BESIDE, MARK + zlib.crc32(body).to_bytes(4, "big") + body)
            self.host.rename(BESIDE, FILE)
        except OSError as fault:
            self.host.log(f"history: it could not be kept: {fault}")

    # What is asked.

    def between(self, before: int, after: int, text: Callable[[str], bytes | None]) -> list[str]:
        """What changed from one version to another, a line each. LookupError: a version is not kept.

        `text`: gives the compressed text of a digest from elsewhere on this disk, or None.
        """
        tables = [RoutingTable(self._text(version, text)) for version in (before, after)]
        lines = [str(line) for line in changes.changes(*tables)]
        many = len(lines)
        return lines[:MAX_LINES] + ([f"and {many - MAX_LINES} more"] if many > MAX_LINES else [])

    def _text(self, version: int, text: Callable[[str], bytes | None]) -> bytes:
        digest = next((row[3] for row in reversed(self.words) if row[2] == version), None)
        if digest is None:
            raise LookupError(f"r{version} is not in the history")
        packed = text(digest) or self.host.read(TEXT + digest)
        if packed is None:
            raise LookupError(f"the text of r{version} is not kept any more")
        return zlib.decompress(packed)
