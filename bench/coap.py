"""CoAP requests a second on one core, beside an echo of datagrams and earlier checkouts; and the codec.

    python -m bench.coap [--seconds 3] [--rounds 3] [--cores 1,2,3] [--also PATH]

Each confirmable GET is passed to one of four HTTP servers that answer at once (bench.peers). One client,
which knows no more of CoAP than it needs, keeps so many requests out, each from a socket of its own, and
counts answers; p50 and p99 in ms. The ceiling is a process on the same kind of loop that sends every datagram
back unread. Then us for a datagram decoded and encoded, and bytes for each exchange that the message layer
remembers.
"""

from __future__ import annotations

import argparse
import contextlib
import os
import selectors
import socket
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from bench.processes import HERE, backends, checkouts, peer, proxy, registry, running_process, wait_for
from honeywharf.coap import options
from honeywharf.coap.messages import MAX_TRANSMIT_SPAN, Exchange, MessageLayer
from honeywharf.codecs import coap
from honeywharf.standins import node
from honeywharf.standins.messages import row


class Unit:
    """One client's socket: one request at a time."""

    def __init__(self, port: int, echoed: bool) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.connect(("127.0.0.1", port))
        self.socket.settimeout(2.0)
        self.mid, self.sent_s, self.port, self.refused = 0, 0.0, port, 0
        self.echoed = echoed  # nothing of CoAP is on the other side
        self.told = [
            (coap.URI_PATH, b"api"),
            (options.CLASS, b"read"),
            (options.TIME_LEFT, coap.uint_bytes(4_000_000)),
        ]
        if not echoed:
            self.ask()
            echo = coap.decode(self.socket.recv(4096)).option(coap.ECHO)
            assert echo is not None
            self.told.append((coap.ECHO, echo))

    def ask(self) -> None:
        """Send a request."""
        self.mid = (self.mid + 1) & 0xFFFF
        self.sent_s = time.perf_counter()
        self.socket.send(coap.encode(coap.Message(coap.CON, coap.GET, self.mid, b"tk", self.told)))

    def take(self) -> bool:
        """Whether this is the answer to what was asked; an acknowledgement alone is none."""
        message = coap.decode(self.socket.recv(4096))
        if self.echoed:
            return True
        if message.mtype == coap.CON:
            self.socket.send(coap.encode(coap.Message(coap.ACK, coap.EMPTY, message.mid)))
        if message.code == coap.EMPTY:
            return False
        self.refused += message.code == coap.SERVICE_UNAVAILABLE
        if message.code not in (coap.CONTENT, coap.SERVICE_UNAVAILABLE):
            code = f"{message.code >> 5}.{message.code & 31:02d}"
            raise SystemExit(f"port {self.port}: found code {code}, wanted 2.05")
        return True


def play(port: int, echoed: bool, number: int, seconds: float) -> tuple[float, ...]:
    """Answers a second, p50 and p99 in ms, parts refused in 100, with so many requests out."""
    units = [Unit(port, echoed) for _ in range(number)]
    waits, took = selectors.DefaultSelector(), list[float]()
    for unit in units:
        waits.register(unit.socket, selectors.EVENT_READ, unit)
        unit.ask()
    begun = now = time.perf_counter()
    while now - begun < seconds:
        ready = waits.select(2.0)
        if not ready:
            raise SystemExit(f"port {port}: no answer for 2 s")
        for key, _ in ready:
            unit = key.data
            if unit.take():
                now = time.perf_counter()
                took.append((now - unit.sent_s) * 1000.0)
                unit.ask()
    for unit in units:
        unit.socket.close()
    took.sort()
    refused = 100.0 * sum(unit.refused for unit in units) / len(took)
    return len(took) / (now - begun), took[len(took) // 2], took[int(len(took) * 0.99)], refused


def launch(args: argparse.Namespace, folder: Path, stack: contextlib.ExitStack) -> dict[str, int]:
    """Start all of it; the ports that datagrams go to."""
    core, server_core, _ = args.cores.split(",")
    servers = stack.enter_context(backends([server_core]))
    discovery = stack.enter_context(registry([row(f"n{i}", p, cell=i) for i, p in enumerate(servers)]))
    wheres = checkouts(args.also)
    echo, *ports = node.free_ports(1 + 2 * len(wheres))
    stack.enter_context(running_process(peer("echo", "--port", str(echo)), core, cwd=HERE))
    targets = {"echo": echo}
    for (name, where), port, own in zip(wheres.items(), ports[::2], ports[1::2], strict=True):
        stack.enter_context(
            proxy(
                where,
                core,
                port,
                discovery,
                servers,
                folder,
                features=f'[coap]\nlisten = "127.0.0.1:{own}"\n',
            )
        )
        wait_for(port)
        targets[name] = own
    time.sleep(1.0)
    return targets


def codec(number: int = 20_000) -> tuple[float, float]:
    """us for a datagram decoded and encoded."""
    message = coap.Message(
        coap.CON,
        coap.POST,
        7,
        b"token",
        [
            (coap.URI_PATH, b"api"),
            (coap.URI_QUERY, b"q=1"),
            (options.CLASS, b"order"),
            (options.KEY, b"k" * 32),
            (options.TIME_LEFT, b"\x01\x02\x03"),
        ],
        b"x" * 100,
    )
    data, found = coap.encode(message), list[float]()
    works: tuple[Callable[[], object], ...] = (lambda: coap.decode(data), lambda: coap.encode(message))
    for work in works:
        begun = time.perf_counter()
        for _ in range(number):
            work()
        found.append((time.perf_counter() - begun) / number * 1e6)
    return found[0], found[1]


def remembered(number: int = 8000) -> tuple[float, float, float]:
    """Bytes for each exchange while it is open, once answered with 100 bytes, and as a mark."""
    names = [("127.0.0.1", 1000 + i) for i in range(number)]
    opened: list[Exchange] = []
    tracemalloc.start()
    now = [0.0]
    layer = MessageLayer(lambda: now[0], lambda data, to: None, lambda one, message: opened.append(one), 1)
    base = tracemalloc.get_traced_memory()[0]
    for i, name in enumerate(names):
        message = coap.Message(coap.CON, coap.POST, i & 0xFFFF, b"token678", [(coap.URI_PATH, b"api")])
        layer.received(coap.encode(message), name)
    held = (tracemalloc.get_traced_memory()[0] - base) / number
    for exchange in opened:
        layer.answer(exchange, coap.CONTENT, payload=b"x" * 100)
    opened.clear()
    kept = (tracemalloc.get_traced_memory()[0] - base) / number
    now[0] = MAX_TRANSMIT_SPAN + 1.0
    layer.handle_timers()
    marked = (tracemalloc.get_traced_memory()[0] - base) / number
    tracemalloc.stop()
    return held, kept, marked


def main() -> int:
    """Play and print; status 1 where honeywharf refused anything, as nothing here is crowded."""
    parser = argparse.ArgumentParser(description="CoAP requests a second on one core")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--cores", default="1,2,3", help="of the proxy, of the servers, of the client")
    parser.add_argument("--also", type=Path, action="append", default=[], help="another checkout")
    args = parser.parse_args()
    os.sched_setaffinity(0, {int(args.cores.split(",")[2])})
    found: dict[tuple[int, str], list[tuple[float, ...]]] = {}
    with tempfile.TemporaryDirectory() as text, contextlib.ExitStack() as stack:
        targets = launch(args, Path(text), stack)
        for _ in range(args.rounds):
            for number in (1, 16):
                for name, port in targets.items():
                    found.setdefault((number, name), []).append(
                        play(port, name == "echo", number, args.seconds)
                    )
    print(
        f"{'out':>4}  {'server':<12}{'answers/s':>10}{'of echo':>9}{'p50 ms':>9}{'p99 ms':>9}"
        f"{'refused %':>11}"
    )
    broken = False
    for (number, name), plays in sorted(found.items(), key=lambda item: item[0][0]):
        per_s, p50, p99, refused = (statistics.median(one) for one in zip(*plays, strict=True))
        ceiling = statistics.median(one[0] for one in found[number, "echo"])
        print(
            f"{number:>4}  {name:<12}{per_s:>10.0f}{per_s / ceiling:>9.2f}{p50:>9.3f}{p99:>9.3f}"
            f"{refused:>11.2f}"
        )
        broken = broken or (name == "honeywharf" and refused > 0)
    decoded, encoded = codec()
    print(f"codec: {decoded:.1f} us to decode and {encoded:.1f} to encode")
    held, kept, marked = remembered()
    print(f"an exchange: {held:.0f} bytes open, {kept:.0f} answered with 100 bytes, {marked:.0f} as a mark")
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
