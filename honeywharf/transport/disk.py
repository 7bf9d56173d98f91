"""The disk of an `EventLoop`: files of one directory, written and synced for durability."""

from __future__ import annotations

import os

FILE_MODE = 0o600


class Disk:
    """The disk methods of `host.Host`. `directory` is None if this machine has no disk.

    Every method raises OSError if the disk fails or there is none.
    """

    def __init__(self, directory: str | None = None) -> None:
        self.directory = directory

    def _file_path(self, name: str) -> str:
        if self.directory is None:
            raise OSError("no disk on this machine")
        return os.path.join(self.directory, name)

    def read(self, name: str) -> bytes | None:
        """Returns a file's bytes; None if it does not exist."""
        try:
            with open(self._file_path(name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, name: str, data: bytes) -> None:
        """Writes a complete file and syncs it."""
        file = os.open(self._file_path(name), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(file, rest) :]
            os.fsync(file)
        finally:
            os.close(file)

    def sync_names(self) -> None:
        """Syncs the directory."""
        folder = os.open(self._file_path("."), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def rename(self, name: str, to: str) -> None:
        """Renames a file and syncs the directory."""
        os.rename(self._file_path(name), self._file_path(to))
        self.sync_names()

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        try:
            os.unlink(self._file_path(name))
        except FileNotFoundError:
            return

    def names(self) -> list[str]:
        """Returns the names of all files."""
        os.makedirs(self._file_path("."), exist_ok=True)
        return os.listdir(self._file_path("."))
