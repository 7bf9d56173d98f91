"""The Unix socket between an old and a new process of a proxy, and the file with the operator state.

The process in service listens on a socket under `$TMPDIR`. A new process connects to it, sends HELLO, and
receives the STATE before it opens its listeners. Then it replaces the socket's path, for its own successor.
The link stays open: READY goes to the old process, the operator state and the calls in flight go either way,
and client connections go to the new process as descriptors (SCM_RIGHTS).

If the peer has ended, hangs, or sends another version or invalid data, the new process waits for at most
`STATE_TIMEOUT_S` and starts with only the operator state from the file.
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

STATE_TIMEOUT_S = 0.4
MAX_LINKS = 4
MAX_QUEUED_FRAMES = 512  # A link with more unsent frames is closed.
# A descriptor that the peer's queue had no room for is offered again after this time.
DESCRIPTOR_RETRY_S = 0.005
MAX_FDS = 1
FILE_NAME_FORMAT = "honeywharf-{}-{}.{}"  # The fields are host, port, and "sock" or "words".


class Link:
    """One link to another process, which carries frames in both directions on a SOCK_SEQPACKET socket."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, peer_socket: socket.socket, manager: LinkManager
    ) -> None:
        self.loop, self.socket, self.manager = loop, peer_socket, manager
        self.reader, self.queue = frames.Reader(), deque[bytes]()
        self.ready = self.closed = False
        self.calls_in_flight: dict[str, int] = {}  # The calls are those of the other process, by zone.
        peer_socket.setblocking(False)
        loop.add_reader(peer_socket.fileno(), self._readable)

    def send(self, kind: Kind, value: Any) -> None:
        """Queues the frames of a value."""
        for frame in frames.encode(kind, value):
            self.queue.append(frame)
        if len(self.queue) > MAX_QUEUED_FRAMES:
            self.close("it does not read its frames")
        else:
            self._write()

    def send_descriptor(self, descriptor: int) -> bool:
        """Sends a client connection's descriptor; False if the socket has no capacity now."""
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
            value = self.reader.feed(data)
        except BlockingIOError:
            return
        except (OSError, FrameError) as fault:
            for descriptor in descriptors:
                os.close(descriptor)
            self.close(str(fault))
            return
        if value is not None:
            self.manager.handle_value(self, value[0], value[1], descriptors)
        else:
            for descriptor in descriptors:
                os.close(descriptor)

    def close(self, reason: str) -> None:
        """Closes the link; a reason is logged."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.socket.fileno())
        self.loop.remove_writer(self.socket.fileno())
        self.socket.close()
        if reason:
            log(f"handover: closed the link to the other process: {reason}", "handover.fault", "warning")
        self.manager.link_closed(self)


class LinkManager:
    """The links of one process. `export_state` returns the state to send; other callbacks take values."""

    def __init__(self, loop: asyncio.AbstractEventLoop, directory: str, host: str, port: int) -> None:
        self.loop, self.directory = loop, directory
        self.socket_name = FILE_NAME_FORMAT.format(host.replace(":", "_"), port, "sock")
        self.operator_state_path = os.path.join(
            directory, FILE_NAME_FORMAT.format(host.replace(":", "_"), port, "words")
        )
        self.links: list[Link] = []
        self.server: socket.socket | None = None
        self.socket_file_id: tuple[int, int] | None = None  # The device and inode of the socket's file.
        self.export_state: Callable[[], Any] = dict
        self.on_operator_state: Callable[[Any], None] = lambda _: None
        self.adopt: Callable[[socket.socket], None] = lambda peer_socket: peer_socket.close()
        # Called with the calls in flight of all linked processes, by zone.
        self.on_sibling_calls: Callable[[dict[str, int]], None] = lambda _: None
        self.on_links_changed: Callable[[], None] = lambda: None
        self.pending_state: asyncio.Future[Any] | None = None
        self.received_state: Any = None  # Kept until the balancer has imported it.
        self.handed_over_count = self.adopted_count = 0  # The counts are of client connections.

    async def request_state(self) -> Any:
        """Requests the state of the process in service; None if there is none, or no answer in time."""
        peer_socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        peer_socket.setblocking(False)
        try:
            with self._socket_directory() as path:
                peer_socket.connect(path + self.socket_name)
            check_peer(peer_socket)
        except (OSError, FrameError) as fault:
            peer_socket.close()
            if not isinstance(fault, FileNotFoundError | ConnectionRefusedError):
                log(f"handover: can't request the state: {fault}", "handover.fault", "warning")
            return None
        link = Link(self.loop, peer_socket, self)
        self.pending_state = self.loop.create_future()
        self.links.append(link)
        link.send(Kind.HELLO, {"pid": os.getpid()})
        try:
            self.received_state = await asyncio.wait_for(self.pending_state, STATE_TIMEOUT_S)
            return self.received_state
        except TimeoutError:
            link.close(f"it sent no state within {STATE_TIMEOUT_S:g} s")
            return None
        finally:
            self.pending_state = None

    def serve(self) -> None:
        """Listens for a successor, in place of the previous process."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        old_umask = os.umask(0o177)
        try:
            with self._socket_directory() as path:
                temporary_path = f"{path}{self.socket_name}.{os.getpid()}"
                with suppress(FileNotFoundError):
                    os.unlink(temporary_path)
                listener.bind(temporary_path)
                listener.listen(MAX_LINKS)
                os.rename(temporary_path, path + self.socket_name)  # Replaces the old socket atomically.
                status = os.stat(path + self.socket_name)
                self.socket_file_id = status.st_dev, status.st_ino
        except OSError as fault:
            listener.close()
            log(f"handover: can't listen for a successor: {fault}", "handover.fault", "warning")
            return
        finally:
            os.umask(old_umask)
        listener.setblocking(False)
        self.server = listener
        self.loop.add_reader(listener.fileno(), self._accept)

    def send_ready(self) -> None:
        """Tells the linked processes that this one accepts clients."""
        for link in self.links:
            link.send(Kind.READY, None)

    def publish_operator_state(self, operator_state: Any) -> None:
        """Writes the operator state to the file and sends it to the linked processes."""
        data = b"".join(frames.encode(Kind.WORDS, operator_state))
        temporary_path = f"{self.operator_state_path}.{os.getpid()}"
        try:
            with open(temporary_path, "wb", opener=lambda p, f: os.open(p, f, 0o600)) as file:
                file.write(data)
            os.replace(temporary_path, self.operator_state_path)
        except OSError as fault:
            log(f"handover: can't save the operator state: {fault}", "handover.fault", "error")
        for link in list(self.links):
            link.send(Kind.WORDS, operator_state)

    def send_calls_in_flight(self, zones: dict[str, int]) -> None:
        """Sends this process's calls in flight, by zone, to the linked processes."""
        for link in list(self.links):
            link.send(Kind.CALLS, zones)

    def load_operator_state(self) -> Any:
        """Loads the operator state from the file of a previous process; None if there is no valid one."""
        try:
            with open(self.operator_state_path, "rb") as file:
                kind, value = frames.decode(file.read(2 * frames.MAX_PAYLOAD_BYTES))
        except FileNotFoundError:
            return None
        except (OSError, FrameError) as fault:
            log(f"handover: ignored the saved operator state: {fault}", "handover.fault", "error")
            return None
        return value if kind is Kind.WORDS else None

    @property
    def successor(self) -> Link | None:
        """The link to the process that takes over connections: the newest one that is ready."""
        ready = [link for link in self.links if link.ready and not link.closed]
        return ready[-1] if ready else None

    def hand_over_connection(self, descriptor: int) -> bool:
        """Hands a client connection over to the successor; False if that is not possible now."""
        successor = self.successor
        if successor is None or not successor.send_descriptor(descriptor):
            return False
        self.handed_over_count += 1
        return True

    def handle_value(self, link: Link, kind: Kind, value: Any, descriptors: list[int]) -> None:
        """Handles a value that has arrived on a link."""
        if kind is Kind.CONNECTION and descriptors:
            self.adopted_count += 1
            self.adopt(socket.socket(fileno=descriptors.pop()))
        for descriptor in descriptors:
            os.close(descriptor)
        if kind is Kind.HELLO:
            link.send(Kind.STATE, self.export_state())
        elif kind is Kind.STATE and self.pending_state is not None and not self.pending_state.done():
            self.pending_state.set_result(value)
        elif kind is Kind.READY:
            link.ready = True
            self.on_links_changed()
        elif kind is Kind.WORDS:
            self.on_operator_state(value)
        elif kind is Kind.CALLS:
            link.calls_in_flight = state.parse_calls(value)
            self.update_sibling_calls()

    def update_sibling_calls(self) -> None:
        """Reports the sum of the other processes' calls in flight, by zone."""
        zones: dict[str, int] = {}
        for link in self.links:
            for zone, count in link.calls_in_flight.items():
                zones[zone] = zones.get(zone, 0) + count
        self.on_sibling_calls(zones)

    def link_closed(self, link: Link) -> None:
        """Removes a closed link."""
        if link in self.links:
            self.links.remove(link)
        if self.pending_state is not None and not self.pending_state.done():
            self.pending_state.set_result(None)
        self.update_sibling_calls()
        self.on_links_changed()

    def _accept(self) -> None:
        assert self.server is not None
        try:
            peer_socket = self.server.accept()[0]
        except OSError:
            return
        try:
            check_peer(peer_socket)
            if len(self.links) >= MAX_LINKS:
                raise FrameError(f"links: expected fewer than {MAX_LINKS}, got one more")
        except (OSError, FrameError) as fault:
            peer_socket.close()
            log(f"handover: rejected a connection: {fault}", "handover.fault", "warning")
            return
        self.links.append(Link(self.loop, peer_socket, self))
        self.on_links_changed()

    def _socket_directory(self) -> SocketDirectory:
        return SocketDirectory(self.directory, len(self.socket_name) + 24)

    def close(self) -> None:
        """Closes the links, and removes the socket's path unless a successor has replaced it."""
        for link in list(self.links):
            link.close("")
        if self.server is None:
            return
        self.loop.remove_reader(self.server.fileno())
        self.server.close()
        with suppress(OSError), self._socket_directory() as path:
            status = os.stat(path + self.socket_name)
            if (status.st_dev, status.st_ino) == self.socket_file_id:
                os.unlink(path + self.socket_name)


class SocketDirectory:
    """The path of a directory, shortened if a Unix socket's address (108 bytes) in it would be too long."""

    def __init__(self, directory: str, name_bytes: int) -> None:
        self.directory, self.name_bytes, self.descriptor = directory, name_bytes, -1

    def __enter__(self) -> str:
        """Returns the path with a trailing slash."""
        if len(os.fsencode(self.directory)) + 1 + self.name_bytes < 108:
            return self.directory.rstrip("/") + "/"
        self.descriptor = os.open(self.directory, os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.descriptor}/"

    def __exit__(self, *_: object) -> None:
        """Closes the directory's descriptor."""
        if self.descriptor >= 0:
            os.close(self.descriptor)


def check_peer(peer_socket: socket.socket) -> None:
    """Raises FrameError if the peer is a process of another user (SO_PEERCRED)."""
    size = struct.calcsize("3i")
    user_id = struct.unpack("3i", peer_socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size))[1]
    if user_id != os.getuid():
        raise FrameError(f"peer: expected a process of user {os.getuid()}, got one of user {user_id}")
