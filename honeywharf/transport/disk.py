"""Files of one folder, written and synced as the mesh needs it: the disk of an `EventLoop`."""

from __future__ import annotations

import os

FILE_MODE = 0o600


class Disk:
    """The disk's part of `host.Host`. `directory`: the folder; None where this machine has no disk.

    Every method raises OSError where the disk fails, or there is none.
    """

    def __init__(self, directory: str | None = None) -> None:
        self.directory = directory

    def _file_path(self, name: str) -> str:
        if self.directory is None:
            raise OSError("no disk on this machine")
        return os.path.join(self.directory, name)

    def read(self, name: str) -> bytes | None:
        """A file's bytes; None where there is none."""
        try:
            with open(self._file_path(name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, name: str, data: bytes) -> None:
        """Write a file whole and sync it."""
        file = os.open(self._file_path(name), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(file, rest) :]
            os.fsync(file)
        finally:
            os.close(file)

    def sync_names(self) -> None:
        """Sync the folder."""
        folder = os.open(self._file_path("."), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def rename(self, name: str, to: str) -> None:
        """Give a file another name, and sync the folder."""
        os.rename(self._file_path(name), self._file_path(to))
        self.sync_names()

    def remove(self, name: str) -> None:
        """Remove a file if it is there."""
        try:
            os.unlink(self._file_path(name))
        except FileNotFoundError:
            return

    def names(self) -> list[str]:
        """All files."""
        os.makedirs(self._file_path("."), exist_ok=True)
        return os.listdir(self._file_path("."))
