"""Minimal clients and servers for the measurements, each a process on one core.

    python -m bench.peers backend --port P           answers every request with four bytes
    python -m bench.peers relay --port P --to P1,P2  relays bytes to these ports
    python -m bench.peers load --port P --connections N --seconds S --name X
    python -m bench.peers echo --port P              sends every datagram back

`load` is a closed loop: a connection sends its next request, with a new id, once the last is answered. Its
standard output is one line with the counts of refused and unexpected answers, then the duration of each
request in us as four bytes in native order. Status 1 if a connection breaks.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import sys
import time
from array import array
from typing import cast

import uvloop

HEAD_END = b"\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntile"
REQUEST_FORMAT = (
    b"GET /api/tile HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %b-%d\r\nX-Service-Class: read\r\n"
    b"X-Time-Left: 5000m\r\n\r\n"
)
MAX_ANSWERS = 4_000_000  # Maximum number of durations that a load process records before it ends.


class Backend(asyncio.Protocol):
    """One connection of a server that parses only the ends of heads."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport, self.last_bytes = cast(asyncio.Transport, transport), b""

    def data_received(self, data: bytes) -> None:
        """Answers each complete head."""
        pending = self.last_bytes + data
        head_count = pending.count(HEAD_END)
        self.last_bytes = pending[-3:]
        if head_count:
            self.transport.write(RESPONSE * head_count)


class RelaySide(asyncio.Protocol):
    """One of the two connections of a relay."""

    def __init__(self) -> None:
        self.other: RelaySide | None = None
        self.unsent_data = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Forwards data that the other side received before this connection was open."""
        self.transport = cast(asyncio.Transport, transport)
        if self.other is not None and self.other.unsent_data:
            self.transport.write(self.other.unsent_data)

    def data_received(self, data: bytes) -> None:
        """Forwards the data."""
        if self.other is None or self.other.transport is None:
            self.unsent_data += data
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the other side."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class CallerSide(RelaySide):
    """The caller's side of a relay."""

    def __init__(self, to: int) -> None:
        super().__init__()
        self.to = to

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Opens the connection to the server."""
        self.other = RelaySide()
        self.other.other = self
        super().connection_made(transport)
        loop, other = asyncio.get_running_loop(), self.other
        self.connect_task = loop.create_task(loop.create_connection(lambda: other, "127.0.0.1", self.to))


class Load:
    """The state of all connections of one load process, with the durations of their requests."""

    def __init__(self, name: str, seconds: float) -> None:
        self.name, self.ends_at = name.encode(), time.perf_counter() + seconds
        self.serial, self.refused, self.unexpected, self.open = 0, 0, 0, 0
        self.durations_us = array("I")
        self.done = asyncio.get_running_loop().create_future()
        self.is_broken = False


class LoadConnection(asyncio.Protocol):
    """One connection, which sends its next request once the last is answered."""

    def __init__(self, load: Load) -> None:
        self.load, self.buffer = load, b""
        load.open += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the first request."""
        self.transport = cast(asyncio.Transport, transport)
        self._send_request()

    def _send_request(self) -> None:
        load = self.load
        load.serial += 1
        self.sent_at = time.perf_counter()
        self.transport.write(REQUEST_FORMAT % (load.name, load.serial))

    def data_received(self, data: bytes) -> None:
        """Records a complete answer and sends the next request."""
        self.buffer += data
        head, end, body = self.buffer.partition(HEAD_END)
        if not end or len(body) < int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]):
            return
        now, load = time.perf_counter(), self.load
        load.durations_us.append(int((now - self.sent_at) * 1e6))
        status = head[9:12]
        if status != b"200":
            load.refused += status in (b"503", b"429")
            load.unexpected += status not in (b"503", b"429")
        self.buffer = b""
        if now < load.ends_at and len(load.durations_us) < MAX_ANSWERS:
            self._send_request()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the run with the last connection."""
        load = self.load
        load.is_broken = load.is_broken or (
            exc is not None or (time.perf_counter() < load.ends_at and len(load.durations_us) < MAX_ANSWERS)
        )
        load.open -= 1
        if not load.open:
            load.done.set_result(None)


class Echo(asyncio.DatagramProtocol):
    """Sends each datagram back."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Sends the datagram back."""
        self.transport.sendto(data, addr)


async def run_program(args: argparse.Namespace) -> int:
    """Serves until the process is ended, or sends load for its time; returns the exit status."""
    loop = asyncio.get_running_loop()
    if args.kind == "load":
        load = Load(args.name, args.seconds)
        for _ in range(args.connections):
            await loop.create_connection(lambda: LoadConnection(load), "127.0.0.1", args.port)
        await load.done
        sys.stdout.buffer.write(b"%d %d\n" % (load.refused, load.unexpected) + load.durations_us.tobytes())
        return int(load.is_broken)
    if args.kind == "echo":
        await loop.create_datagram_endpoint(Echo, ("127.0.0.1", args.port))
        await asyncio.Event().wait()
    ports = itertools.cycle(int(port) for port in args.to.split(",") if port)
    server = await loop.create_server(
        Backend if args.kind == "backend" else lambda: CallerSide(next(ports)),
        "127.0.0.1",
        args.port,
        backlog=512,
    )
    await server.serve_forever()
    return 0


def main() -> int:
    """Runs one of the programs; returns the exit status."""
    parser = argparse.ArgumentParser(description="clients and servers for the measurements")
    parser.add_argument("kind", choices=("backend", "relay", "load", "echo"))
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--to", default="", help="ports of a relay, separated by commas")
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=1.0)
    parser.add_argument("--name", default="l")
    return uvloop.run(run_program(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
