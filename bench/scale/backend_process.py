"""A backend process that answers every request at once.

python -m bench.scale.backend_process IP PORT LIMIT_S
"""

from __future__ import annotations

import sys

from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.host import Connection, Handler

HEAD_END = b"\r\n\r\n"
ATTEMPT_ID_FIELD = b"x-honeywharf-attempt-id"
BODY = bytes(512)
RESPONSE_FORMAT = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n"
    b"X-Honeywharf-Attempt-Id: %b\r\nX-Honeywharf-Server-Seal: seal.%b\r\n\r\n%b"
)


class BackendConnection:
    """One accepted connection, whose requests have no body."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.buffer = b""

    def opened(self) -> None:
        """Does nothing: this is called only for outgoing connections."""

    def received(self, data: bytes) -> None:
        """Answers each complete request."""
        *heads, self.buffer = (self.buffer + data).split(HEAD_END)
        for head in heads:
            attempt_id = attempt_id_of(head)
            self.connection.send(RESPONSE_FORMAT % (len(BODY), attempt_id, attempt_id, BODY))

    def ended(self) -> None:
        """Closes the connection after the caller has closed its side."""
        self.connection.close()

    def drained(self) -> None:
        """Does nothing."""

    def closed(self, reason: str) -> None:
        """Does nothing."""


def attempt_id_of(head: bytes) -> bytes:
    """Returns the attempt id in a request's header fields; empty without one."""
    for field in head.split(b"\r\n"):
        name, _, value = field.partition(b":")
        if name.lower() == ATTEMPT_ID_FIELD:
            return value.strip()
    return b""


def main(arguments: list[str]) -> int:
    """Answers requests until the time limit."""
    ip, port, limit_s = arguments[0], int(arguments[1]), float(arguments[2])
    loop = EventLoop(None)

    def accept(connection: Connection) -> Handler:
        return BackendConnection(connection)

    loop.listen((ip, port), accept)
    loop.after(limit_s, lambda: loop.exit(0))
    return loop.run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
