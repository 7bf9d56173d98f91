"""A backend that does not read for a while, over real sockets."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

import pytest

from honeywharf.codecs.heads import ResponseHead
from honeywharf.sidecar.backend import BackendConnectionPool
from honeywharf.transport import event_loop
from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.host import Connection, Handler

LOCAL = "127.0.0.1"
USER_TIMEOUT_MS = 200
UPLOAD_BYTES = 16 << 20  # More than the buffers of both sockets hold.
POLL_S = 0.002
TEST_TIMEOUT_S = 20.0


class Upload:
    """A request with a long body: the user of a connection of the pool, or the handler of one beside it."""

    attempt, bodiless, method = b"a1", False, b"POST"

    def __init__(self) -> None:
        self.events: list[str] = []

    def ready(self) -> None:
        self.events.append("ready")

    def answered(self, answer: ResponseHead) -> None:
        self.events.append("answered")

    def opened(self) -> None:
        self.events.append("opened")

    def received(self, data: bytes) -> None:
        self.events.append("received")

    def data(self, data: bytes) -> None:
        self.events.append("data")

    def whole(self) -> None:
        self.events.append("whole")

    def broken(self, why: str, sent: bool, answer_begun: bool) -> None:
        self.events.append(f"broken {why}")

    def drained(self) -> None:
        self.events.append("drained")

    def ended(self) -> None:
        self.events.append("ended")

    def closed(self, reason: str) -> None:
        self.events.append(f"closed {reason}")


@pytest.fixture
def loop(monkeypatch: pytest.MonkeyPatch) -> Iterator[EventLoop]:
    """An event loop that takes peers for lost soon."""
    monkeypatch.setattr(event_loop, "USER_TIMEOUT_MS", USER_TIMEOUT_MS)
    made = EventLoop()
    yield made
    for connection in list(made.connections.values()):
        connection.socket.close()
    made.epoll.close()


def run_until(loop: EventLoop, is_reached: Callable[[], bool]) -> None:
    """Runs the loop until a condition holds."""
    end = loop.now() + TEST_TIMEOUT_S

    def check() -> None:
        if is_reached() or loop.now() > end:
            loop.exit(0)
        else:
            loop.after(POLL_S, check)

    loop.status = None
    check()
    loop.run()
    assert loop.now() <= end, "the condition did not hold in time"


def test_an_upload_waits_for_a_backend_that_does_not_read(loop: EventLoop) -> None:
    """Guards against LOST: 502 for an upload whose backend was alive and busy for some seconds."""
    with socket.create_server((LOCAL, 0)) as listener:
        upload, other = Upload(), Upload()
        connection = BackendConnectionPool(loop, listener.getsockname(), lambda: None).take(upload)
        assert connection is not None
        run_until(loop, lambda: "ready" in upload.events)
        backend, _ = listener.accept()

        def handle(connection: Connection) -> Handler:
            return other

        beside = loop.connect(listener.getsockname(), handle)
        run_until(loop, lambda: "opened" in other.events)
        connection.write(bytes(UPLOAD_BYTES), last=True)
        beside.send(bytes(UPLOAD_BYTES))
        run_until(
            loop, lambda: "closed timeout" in other.events
        )  # The time has passed at which peers are lost.
        received = 0

        def read() -> bool:
            nonlocal received
            try:
                received += len(backend.recv(1 << 20))
            except BlockingIOError:
                return False
            return received == UPLOAD_BYTES or any("broken" in event for event in upload.events)

        backend.setblocking(False)
        run_until(loop, read)
        backend.close()
    assert received == UPLOAD_BYTES
    assert upload.events == ["ready", "drained"]
