"""A backend that answers every request at once, in a process of its own.

python -m bench.scale.backend_process IP PORT LIMIT_S
"""

from __future__ import annotations

import sys

from honeywharf.transport.event_loop import EventLoop
from honeywharf.transport.host import Connection, Handler

END = b"\r\n\r\n"
ATTEMPT = b"x-honeywharf-attempt-id"
BODY = bytes(512)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n"
    b"X-Honeywharf-Attempt-Id: %b\r\nX-Honeywharf-Server-Seal: seal.%b\r\n\r\n%b"
)


class Served:
    """One connection; requests have no body."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.held = b""

    def opened(self) -> None:
        """Not called on connections that came in."""

    def received(self, data: bytes) -> None:
        """Answer each whole request."""
        *heads, self.held = (self.held + data).split(END)
        for head in heads:
            attempt = attempt_of(head)
            self.connection.send(ANSWER % (len(BODY), attempt, attempt, BODY))

    def ended(self) -> None:
        """The caller asks nothing more."""
        self.connection.close()

    def drained(self) -> None:
        """All has gone."""

    def closed(self, why: str) -> None:
        """It is gone."""


def attempt_of(head: bytes) -> bytes:
    """The id of the attempt that a head names; empty without one."""
    for field in head.split(b"\r\n"):
        name, _, value = field.partition(b":")
        if name.lower() == ATTEMPT:
            return value.strip()
    return b""


def main(arguments: list[str]) -> int:
    """Answer until the time is over."""
    ip, port, limit_s = arguments[0], int(arguments[1]), float(arguments[2])
    loop = EventLoop(None)

    def accept(connection: Connection) -> Handler:
        return Served(connection)

    loop.listen((ip, port), accept)
    loop.after(limit_s, lambda: loop.exit(0))
    return loop.run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
