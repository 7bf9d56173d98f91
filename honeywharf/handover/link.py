"""The socket between an old process and the new one, and the file beside it. Thin: frames in, frames out.

The process in service listens at `PATH` under `$TMPDIR`. One that starts connects there, says HELLO, and is
given the STATE before it opens anything; then it takes the path over for the one after it. The line stays:
READY goes to the old process, operators' words either way, clients' connections to the new one as
descriptors (SCM_RIGHTS).

A peer that is gone, hangs, speaks another version or nonsense costs the new process `WAIT_S` at most: it
begins with the file of operators' words, and with nothing else.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from honeywharf.core.transport import log
from honeywharf.handover import frames, state
from honeywharf.handover.frames import FrameError, Kind

WAIT_S = 0.4  # for the whole state
MAX_LINES = 4  # processes that are linked at once
MAX_QUEUED = 512  # frames that a slow peer has still to read; one that does not is left
AGAIN_S = 0.005  # until a descriptor that the peer's queue had no room for is offered again
MAX_FDS = 1
NAME = "honeywharf-{}-{}.{}"  # host, port, "sock" or "words"


class Line:
    """One link to another process: frames either way, on a socket that keeps messages apart."""

    def __init__(self, loop: asyncio.AbstractEventLoop, made: socket.socket, desk: Desk) -> None:
        self.loop, self.socket, self.desk = loop, made, desk
        self.reader, self.queue = frames.Reader(), deque[bytes]()
        self.ready = self.closed = False
        self.calls: dict[str, int] = {}  # that the other has out
        made.setblocking(False)
        loop.add_reader(made.fileno(), self._readable)

    def say(self, kind: Kind, value: Any) -> None:
        """Queue a value's frames."""
        for frame in frames.encode(kind, value):
            self.queue.append(frame)
        if len(self.queue) > MAX_QUEUED:
            self.close("it does not read")
        else:
            self._write()

    def give(self, descriptor: int) -> bool:
        """Give a connection away; False where there is no room for it now."""
        if self.closed or self.queue:
            return False
        (frame,) = frames.encode(Kind.CONNECTION, None)
        try:
            socket.send_fds(self.socket, [frame], [descriptor], socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError as fault:
            self.close(str(fault))
            return False
        return True

    def _write(self) -> None:
        while self.queue and not self.closed:
            try:
                self.socket.send(self.queue[0], socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
            except BlockingIOError:
                self.loop.add_writer(self.socket.fileno(), self._write)
                return
            except OSError as fault:
                self.close(str(fault))
                return
            self.queue.popleft()
        if not self.closed:
            self.loop.remove_writer(self.socket.fileno())

    def _readable(self) -> None:
        descriptors: list[int] = []
        try:
            data, descriptors, _, _ = socket.recv_fds(
                self.socket, frames.MAX_FRAME_BYTES, MAX_FDS, socket.MSG_DONTWAIT
            )
            if not data:
                self.close("")
                return
            told = self.reader.feed(data)
        except BlockingIOError:
            return
        except (OSError, FrameError) as fault:
            for descriptor in descriptors:
                os.close(descriptor)
            self.close(str(fault))
            return
        if told is not None:
            self.desk.told(self, told[0], told[1], descriptors)
        else:
            for descriptor in descriptors:
                os.close(descriptor)

    def close(self, why: str) -> None:
        """The link is over."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.socket.fileno())
        self.loop.remove_writer(self.socket.fileno())
        self.socket.close()
        if why:
            log(f"handover: the other process is left: {why}", "handover.fault", "warning")
        self.desk.left(self)


class Desk:
    """What one process gives and takes. `state`: what is given now; the callbacks are told what comes."""

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: str, host: str, port: int) -> None:
        self.loop, self.folder = loop, folder
        self.name = NAME.format(host.replace(":", "_"), port, "sock")
        self.file = os.path.join(folder, NAME.format(host.replace(":", "_"), port, "words"))
        self.lines: list[Line] = []
        self.server: socket.socket | None = None
        self.made: tuple[int, int] | None = None  # device and number of the socket's file
        self.state: Callable[[], Any] = dict
        self.words: Callable[[Any], None] = lambda _: None
        self.adopt: Callable[[socket.socket], None] = lambda made: made.close()
        self.calls: Callable[[dict[str, int]], None] = lambda _: None  # those of the others, by zone
        self.changed: Callable[[], None] = lambda: None  # a process has come, or left
        self.waits: asyncio.Future[Any] | None = None
        self.taken: Any = None  # the state, until the module knows what is in it
        self.given = self.adopted = 0  # connections

    # The new process.

    async def take(self) -> Any:
        """What a process in service gives; None where there is none, or none that answers in time."""
        made = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        made.setblocking(False)
        try:
            with self._folder() as path:
                made.connect(path + self.name)
            check_peer(made)
        except (OSError, FrameError) as fault:
            made.close()
            if not isinstance(fault, FileNotFoundError | ConnectionRefusedError):
                log(f"handover: nothing is taken: {fault}", "handover.fault", "warning")
            return None
        line = Line(self.loop, made, self)
        self.waits = self.loop.create_future()
        self.lines.append(line)
        line.say(Kind.HELLO, {"pid": os.getpid()})
        try:
            self.taken = await asyncio.wait_for(self.waits, WAIT_S)
            return self.taken
        except TimeoutError:
            line.close(f"it gave nothing within {WAIT_S:g} s")
            return None
        finally:
            self.waits = None

    def serve(self) -> None:
        """Listen for the process after this one, in place of the one before."""
        made = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        before = os.umask(0o177)
        try:
            with self._folder() as path:
                own = f"{path}{self.name}.{os.getpid()}"
                with suppress(FileNotFoundError):
                    os.unlink(own)
                made.bind(own)
                made.listen(MAX_LINES)
                os.rename(own, path + self.name)  # at once: no moment without one
                found = os.stat(path + self.name)
                self.made = found.st_dev, found.st_ino
        except OSError as fault:
            made.close()
            log(f"handover: no process after this one can ask: {fault}", "handover.fault", "warning")
            return
        finally:
            os.umask(before)
        made.setblocking(False)
        self.server = made
        self.loop.add_reader(made.fileno(), self._accept)

    def say_ready(self) -> None:
        """This process takes clients."""
        for line in self.lines:
            line.say(Kind.READY, None)

    # Both.

    def say_words(self, words: Any) -> None:
        """Operators' words: to the file, whole, and to whoever is linked."""
        whole = b"".join(frames.encode(Kind.WORDS, words))
        beside = f"{self.file}.{os.getpid()}"
        try:
            with open(beside, "wb", opener=lambda p, f: os.open(p, f, 0o600)) as file:
                file.write(whole)
            os.replace(beside, self.file)
        except OSError as fault:
            log(f"handover: words are not kept: {fault}", "handover.fault", "error")
        for line in list(self.lines):
            line.say(Kind.WORDS, words)

    def say_calls(self, zones: dict[str, int]) -> None:
        """This process has so many calls out."""
        for line in list(self.lines):
            line.say(Kind.CALLS, zones)

    def kept_words(self) -> Any:
        """Those that a process before this one has kept; None where there are none."""
        try:
            with open(self.file, "rb") as file:
                kind, value = frames.decode(file.read(2 * frames.MAX_PAYLOAD_BYTES))
        except FileNotFoundError:
            return None
        except (OSError, FrameError) as fault:
            log(f"handover: the file of words is left out: {fault}", "handover.fault", "error")
            return None
        return value if kind is Kind.WORDS else None

    @property
    def heir(self) -> Line | None:
        """The process that takes connections: the last that said that it is ready."""
        ready = [line for line in self.lines if line.ready and not line.closed]
        return ready[-1] if ready else None

    def give(self, descriptor: int) -> bool:
        """Give a client's connection to the heir; False where that is not to be now."""
        heir = self.heir
        if heir is None or not heir.give(descriptor):
            return False
        self.given += 1
        return True

    def told(self, line: Line, kind: Kind, value: Any, descriptors: list[int]) -> None:
        """One value has come on a line."""
        if kind is Kind.CONNECTION and descriptors:
            self.adopted += 1
            self.adopt(socket.socket(fileno=descriptors.pop()))
        for descriptor in descriptors:
            os.close(descriptor)
        if kind is Kind.HELLO:
            line.say(Kind.STATE, self.state())
        elif kind is Kind.STATE and self.waits is not None and not self.waits.done():
            self.waits.set_result(value)
        elif kind is Kind.READY:
            line.ready = True
            self.changed()
        elif kind is Kind.WORDS:
            self.words(value)
        elif kind is Kind.CALLS:
            line.calls = state.parse_calls(value)
            self.count()

    def count(self) -> None:
        """Add up the calls of all others."""
        zones: dict[str, int] = {}
        for line in self.lines:
            for zone, number in line.calls.items():
                zones[zone] = zones.get(zone, 0) + number
        self.calls(zones)

    def left(self, line: Line) -> None:
        """A line is over."""
        if line in self.lines:
            self.lines.remove(line)
        if self.waits is not None and not self.waits.done():
            self.waits.set_result(None)
        self.count()
        self.changed()

    def _accept(self) -> None:
        assert self.server is not None
        try:
            made = self.server.accept()[0]
        except OSError:
            return
        try:
            check_peer(made)
            if len(self.lines) >= MAX_LINES:
                raise FrameError(f"found {MAX_LINES} processes linked, wanted fewer")
        except (OSError, FrameError) as fault:
            made.close()
            log(f"handover: a caller is left: {fault}", "handover.fault", "warning")
            return
        self.lines.append(Line(self.loop, made, self))
        self.changed()

    def _folder(self) -> Folder:
        return Folder(self.folder, len(self.name) + 24)

    def close(self) -> None:
        """Take the path away, unless a process after this one has it."""
        for line in list(self.lines):
            line.close("")
        if self.server is None:
            return
        self.loop.remove_reader(self.server.fileno())
        self.server.close()
        with suppress(OSError), self._folder() as path:
            found = os.stat(path + self.name)
            if (found.st_dev, found.st_ino) == self.made:
                os.unlink(path + self.name)


class Folder:
    """The folder's path with its slash, short enough for a Unix socket's address (108 bytes)."""

    def __init__(self, folder: str, name: int) -> None:
        self.folder, self.name, self.descriptor = folder, name, -1

    def __enter__(self) -> str:
        """The path to put names behind."""
        if len(os.fsencode(self.folder)) + 1 + self.name < 108:
            return self.folder.rstrip("/") + "/"
        self.descriptor = os.open(self.folder, os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.descriptor}/"

    def __exit__(self, *_: object) -> None:
        """Let go of the folder."""
        if self.descriptor >= 0:
            os.close(self.descriptor)


def check_peer(made: socket.socket) -> None:
    """`FrameError` where the other end is another user's process (SO_PEERCRED)."""
    size = struct.calcsize("3i")
    user = struct.unpack("3i", made.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size))[1]
    if user != os.getuid():
        raise FrameError(f"found a process of user {user}, wanted one of {os.getuid()}")
