"""Our own ends for the measurements, each a process of one core: as little work as answers the purpose.

    python -m bench.peers backend --port P           answers every request at once with four bytes
    python -m bench.peers relay --port P --to P1,P2  carries bytes to these in turn and reads none of them
    python -m bench.peers load --port P --connections N --seconds S --name X
    python -m bench.peers echo --port P              sends every datagram back

`load` asks for the next tile on a connection as soon as it has the last (closed loop), each request with an
id of its own. Its standard output is one line, answers refused and odd ones, then the us that each answer
took, four bytes each in the machine's order. Status 1 where a connection breaks.
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

END = b"\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntile"
REQUEST = (
    b"GET /api/tile HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %b-%d\r\nX-Service-Class: read\r\n"
    b"X-Time-Left: 5000m\r\n\r\n"
)
MAX_ANSWERS = 4_000_000  # that one load process keeps the times of; it ends there


class Backend(asyncio.Protocol):
    """One connection of a server that reads no more than where a head ends."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A proxy has connected."""
        self.transport, self.tail = cast(asyncio.Transport, transport), b""

    def data_received(self, data: bytes) -> None:
        """Answer each head that has come to its end."""
        came = self.tail + data
        number = came.count(END)
        self.tail = came[-3:]
        if number:
            self.transport.write(ANSWER * number)


class Side(asyncio.Protocol):
    """One of the two connections of a relay."""

    def __init__(self) -> None:
        self.other: Side | None = None
        self.early = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass on what has come before the other side was there."""
        self.transport = cast(asyncio.Transport, transport)
        if self.other is not None and self.other.early:
            self.transport.write(self.other.early)

    def data_received(self, data: bytes) -> None:
        """Pass it on."""
        if self.other is None or self.other.transport is None:
            self.early += data
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close both."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Near(Side):
    """A caller's side of a relay."""

    def __init__(self, to: int) -> None:
        super().__init__()
        self.to = to

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect the other side."""
        self.other = Side()
        self.other.other = self
        super().connection_made(transport)
        loop, other = asyncio.get_running_loop(), self.other
        self.work = loop.create_task(loop.create_connection(lambda: other, "127.0.0.1", self.to))


class Load:
    """All connections of one process, and what their answers took."""

    def __init__(self, name: str, seconds: float) -> None:
        self.name, self.ends = name.encode(), time.perf_counter() + seconds
        self.serial, self.refused, self.odd, self.open = 0, 0, 0, 0
        self.took = array("I")
        self.done = asyncio.get_running_loop().create_future()
        self.broken = False


class Caller(asyncio.Protocol):
    """One connection: the next request as soon as the last is answered."""

    def __init__(self, load: Load) -> None:
        self.load, self.came = load, b""
        load.open += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        self.transport = cast(asyncio.Transport, transport)
        self._ask()

    def _ask(self) -> None:
        load = self.load
        load.serial += 1
        self.sent = time.perf_counter()
        self.transport.write(REQUEST % (load.name, load.serial))

    def data_received(self, data: bytes) -> None:
        """Note an answer that is whole, and ask again."""
        self.came += data
        head, end, body = self.came.partition(END)
        if not end or len(body) < int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]):
            return
        now, load = time.perf_counter(), self.load
        load.took.append(int((now - self.sent) * 1e6))
        status = head[9:12]
        if status != b"200":
            load.refused += status in (b"503", b"429")
            load.odd += status not in (b"503", b"429")
        self.came = b""
        if now < load.ends and len(load.took) < MAX_ANSWERS:
            self._ask()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The last one ends the run."""
        load = self.load
        load.broken = load.broken or (
            exc is not None or (time.perf_counter() < load.ends and len(load.took) < MAX_ANSWERS)
        )
        load.open -= 1
        if not load.open:
            load.done.set_result(None)


class Echo(asyncio.DatagramProtocol):
    """Sends each datagram back."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Back."""
        self.transport.sendto(data, addr)


async def play(args: argparse.Namespace) -> int:
    """Serve until ended, or load for its time; the exit status."""
    loop = asyncio.get_running_loop()
    if args.kind == "load":
        load = Load(args.name, args.seconds)
        for _ in range(args.connections):
            await loop.create_connection(lambda: Caller(load), "127.0.0.1", args.port)
        await load.done
        sys.stdout.buffer.write(b"%d %d\n" % (load.refused, load.odd) + load.took.tobytes())
        return int(load.broken)
    if args.kind == "echo":
        await loop.create_datagram_endpoint(Echo, ("127.0.0.1", args.port))
        await asyncio.Event().wait()
    turn = itertools.cycle(int(port) for port in args.to.split(",") if port)
    server = await loop.create_server(
        Backend if args.kind == "backend" else lambda: Near(next(turn)), "127.0.0.1", args.port, backlog=512
    )
    await server.serve_forever()
    return 0


def main() -> int:
    """Be one of them."""
    parser = argparse.ArgumentParser(description="ends for the measurements")
    parser.add_argument("kind", choices=("backend", "relay", "load", "echo"))
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--to", default="", help="of a relay: ports, by commas")
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=1.0)
    parser.add_argument("--name", default="l")
    return uvloop.run(play(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
