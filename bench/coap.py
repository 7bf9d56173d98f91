"""CoAP requests a second on one core: honeywharf's front, aiocoap's server, libcoap's; and the codecs.

    python -m bench.coap [--seconds 3] [--rounds 3] [--cores 1,2,3,4]

Wants the Debian packages libcoap3-bin and nginx-light, and aiocoap from requirements-dev.txt. Each server
answers a confirmable GET with a short text: honeywharf by asking nginx, as a proxy; the others by
themselves, which is less work. One client, which knows no more of CoAP than it needs, keeps so many
requests out, each from a socket of its own, and counts answers; p50 and p99 in ms. Then us for a datagram
decoded and encoded by our codec and by aiocoap's, what importing each takes in memory, and bytes for each
exchange that the message layer remembers.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import selectors
import shutil
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

import aiocoap

from bench.beside_haproxy import NGINX, command, registry, started, wait_for
from honeywharf.coap import options
from honeywharf.coap.messages import MAX_TRANSMIT_SPAN, Exchange, Layer
from honeywharf.codecs import coap
from honeywharf.standins import node
from honeywharf.standins.messages import row

READ = {"name": "read", "aimMs": 2000.0, "deadlineMs": 5000.0, "idempotency": "repeatable"}
PEER_SERVER = """
import asyncio, sys
import aiocoap, aiocoap.resource

class Tile(aiocoap.resource.Resource):
    async def render_get(self, request):
        return aiocoap.Message(payload=b"tile")

async def main():
    site = aiocoap.resource.Site()
    site.add_resource(["api"], Tile())
    await aiocoap.Context.create_server_context(site, bind=("127.0.0.1", int(sys.argv[1])))
    await asyncio.get_running_loop().create_future()

asyncio.run(main())
"""


class Unit:
    """One client's socket: one request at a time."""

    def __init__(self, port: int, ours: bool, path: bytes) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.connect(("127.0.0.1", port))
        self.socket.settimeout(2.0)
        self.mid, self.sent_s, self.port, self.refused = 0, 0.0, port, 0
        self.told = [(coap.URI_PATH, path)]
        if ours:
            self.told += [(options.CLASS, b"read"), (options.TIME_LEFT, coap.uint_bytes(4_000_000))]
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
        if message.mtype == coap.CON:
            self.socket.send(coap.encode(coap.Message(coap.ACK, coap.EMPTY, message.mid)))
        if message.code == coap.EMPTY:
            return False
        self.refused += message.code == coap.SERVICE_UNAVAILABLE
        if message.code not in (coap.CONTENT, coap.SERVICE_UNAVAILABLE):
            code = f"{message.code >> 5}.{message.code & 31:02d}"
            raise SystemExit(f"port {self.port}: found code {code}, wanted 2.05")
        return True


def play(port: int, ours: bool, path: bytes, number: int, seconds: float) -> tuple[float, ...]:
    """Answers a second, p50 and p99 in ms, parts refused in 100, with so many requests out."""
    units = [Unit(port, ours, path) for _ in range(number)]
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


def launch(cores: list[str], folder: Path, stack: contextlib.ExitStack) -> dict[str, tuple[int, bool, bytes]]:
    """Start all servers: their ports, whether they speak our options, and the path to ask for."""
    here = Path(__file__).resolve().parent.parent
    own, own_coap, theirs, libcoap, *backends = node.free_ports(8)
    (folder / "nginx.conf").write_text(NGINX.format(dir=folder, servers="\n    ".join(
        f"server {{ listen 127.0.0.1:{p} reuseport; location / {{ return 200 'tile'; }} }}"
        for p in backends)))
    stack.enter_context(started(
        ["nginx", "-c", str(folder / "nginx.conf")], cores[2], stderr=subprocess.DEVNULL))
    rows = [row(f"n{p}", p) for p in backends]
    discovery = stack.enter_context(registry(rows))
    conf, features, server = folder / "c.json", folder / "f.toml", folder / "server.py"
    conf.write_text(json.dumps(node.configuration(node.settings([READ]), discovery, rows, port=own)))
    features.write_text(f'[coap]\nlisten = "127.0.0.1:{own_coap}"\n')
    server.write_text(PEER_SERVER)
    stack.enter_context(started(command(here), cores[0], cwd=here, stderr=subprocess.DEVNULL, env={
        **os.environ, "NODE_CONFIG": str(conf), "HONEYWHARF_FEATURES": str(features)}))
    stack.enter_context(started(
        [sys.executable, str(server), str(theirs)], cores[0], stderr=subprocess.DEVNULL))
    stack.enter_context(started(
        ["coap-server-notls", "-A", "127.0.0.1", "-p", str(libcoap)], cores[0], stderr=subprocess.DEVNULL))
    wait_for(own)
    time.sleep(1.5)
    return {"honeywharf": (own_coap, True, b"api"), "aiocoap": (theirs, False, b"api"),
            "libcoap": (libcoap, False, b"time")}


def codecs(number: int = 20_000) -> tuple[float, float, float, float]:
    """us for a datagram decoded and encoded, by us and by aiocoap."""
    message = coap.Message(coap.CON, coap.POST, 7, b"token", [
        (coap.URI_PATH, b"api"), (coap.URI_QUERY, b"q=1"), (options.CLASS, b"order"),
        (options.KEY, b"k" * 32), (options.TIME_LEFT, b"\x01\x02\x03")], b"x" * 100)
    data = coap.encode(message)
    theirs = aiocoap.Message.decode(data)
    theirs = aiocoap.Message(code=theirs.code, payload=theirs.payload, _mtype=0, _mid=7, _token=b"token")
    for option in aiocoap.Message.decode(data).opt.option_list():
        theirs.opt.add_option(option)
    found = []
    works = (lambda: coap.decode(data), lambda: coap.encode(message), lambda: aiocoap.Message.decode(data),
             theirs.encode)
    for work in works:
        begun = time.perf_counter()
        for _ in range(number):
            work()
        found.append((time.perf_counter() - begun) / number * 1e6)
    return found[0], found[1], found[2], found[3]


def imported_kib(module: str) -> int:
    """What importing a module adds to a process, in KiB."""
    code = ("import asyncio, os; r = lambda: int(open('/proc/self/statm').read().split()[1]) * 4;"
            f" a = r(); import {module}; print(r() - a)")
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return int(done.stdout)


def remembered(number: int = 8000) -> tuple[float, float, float]:
    """Bytes for each exchange while it is open, once answered with 100 bytes, and as a mark."""
    names = [("127.0.0.1", 1000 + i) for i in range(number)]
    opened: list[Exchange] = []
    tracemalloc.start()
    now = [0.0]
    layer = Layer(lambda: now[0], lambda data, to: None, lambda one, message: opened.append(one), 1)
    base = tracemalloc.get_traced_memory()[0]
    for i, peer in enumerate(names):
        message = coap.Message(coap.CON, coap.POST, i & 0xFFFF, b"token678", [(coap.URI_PATH, b"api")])
        layer.received(coap.encode(message), peer)
    held = (tracemalloc.get_traced_memory()[0] - base) / number
    for exchange in opened:
        layer.answer(exchange, coap.CONTENT, payload=b"x" * 100)
    opened.clear()
    kept = (tracemalloc.get_traced_memory()[0] - base) / number
    now[0] = MAX_TRANSMIT_SPAN + 1.0
    layer.woken()
    marked = (tracemalloc.get_traced_memory()[0] - base) / number
    tracemalloc.stop()
    return held, kept, marked


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(description="CoAP beside aiocoap and libcoap")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--cores", default="1,2,3,4", help="of servers, none, nginx, client")
    args = parser.parse_args()
    missing = [p for c, p in (("coap-server-notls", "libcoap3-bin"), ("nginx", "nginx-light"))
               if shutil.which(c) is None]
    if missing:
        print(f"missing Debian packages: {' '.join(missing)}; apt-get install them", file=sys.stderr)
        return 2
    cores = args.cores.split(",")
    os.sched_setaffinity(0, {int(cores[3])})
    found: dict[tuple[int, str], list[tuple[float, ...]]] = {}
    with tempfile.TemporaryDirectory() as text, contextlib.ExitStack() as stack:
        targets = launch(cores, Path(text), stack)
        for _ in range(args.rounds):
            for number in (1, 16):
                for name, (port, ours, path) in targets.items():
                    found.setdefault((number, name), []).append(play(port, ours, path, number, args.seconds))
    print(f"{'out':>4}  {'server':<12}{'answers/s':>10}{'p50 ms':>9}{'p99 ms':>9}{'refused %':>11}")
    for (number, name), plays in sorted(found.items()):
        per_s, p50, p99, refused = (statistics.median(one) for one in zip(*plays, strict=True))
        print(f"{number:>4}  {name:<12}{per_s:>10.0f}{p50:>9.3f}{p99:>9.3f}{refused:>11.2f}")
    ours_in, ours_out, theirs_in, theirs_out = codecs()
    print(f"codec: {ours_in:.1f} us to decode and {ours_out:.1f} to encode; aiocoap {theirs_in:.1f} and"
          f" {theirs_out:.1f}")
    print(f"import of aiocoap: {imported_kib('aiocoap')} KiB")
    held, kept, marked = remembered()
    print(f"an exchange: {held:.0f} bytes open, {kept:.0f} answered with 100 bytes, {marked:.0f} as a mark")
    return 0


if __name__ == "__main__":
    sys.exit(main())
