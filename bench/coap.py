"""CoAP requests per second on one core, beside a datagram echo and other checkouts; and the codec.

    python -m bench.coap [--seconds 3] [--rounds 3] [--cores 1,2,3] [--also PATH]

Each confirmable GET is forwarded to one of four HTTP servers that answer at once (bench.peers). A minimal
client keeps a number of requests outstanding, each from its own socket; p50 and p99 are in ms. The upper
bound is a process that sends every datagram back. Then prints us to decode and to encode a datagram, and the
bytes of each exchange in the message layer.
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


class ClientSocket:
    """One client socket, which has one outstanding request."""

    def __init__(self, port: int, is_echoed: bool) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.connect(("127.0.0.1", port))
        self.socket.settimeout(2.0)
        self.message_id, self.sent_s, self.port, self.refused = 0, 0.0, port, 0
        self.is_echoed = is_echoed  # The peer only echoes datagrams.
        self.request_options = [
            (coap.URI_PATH, b"api"),
            (options.CLASS, b"read"),
            (options.TIME_LEFT, coap.uint_bytes(4_000_000)),
        ]
        if not is_echoed:
            self.send_request()
            echo = coap.decode(self.socket.recv(4096)).option(coap.ECHO)
            assert echo is not None
            self.request_options.append((coap.ECHO, echo))

    def send_request(self) -> None:
        """Sends a request."""
        self.message_id = (self.message_id + 1) & 0xFFFF
        self.sent_s = time.perf_counter()
        self.socket.send(
            coap.encode(coap.Message(coap.CON, coap.GET, self.message_id, b"tk", self.request_options))
        )

    def receive(self) -> bool:
        """Receives a datagram; returns whether it is the response, which an acknowledgement alone is not.

        SystemExit for an unexpected code.
        """
        message = coap.decode(self.socket.recv(4096))
        if self.is_echoed:
            return True
        if message.mtype == coap.CON:
            self.socket.send(coap.encode(coap.Message(coap.ACK, coap.EMPTY, message.mid)))
        if message.code == coap.EMPTY:
            return False
        self.refused += message.code == coap.SERVICE_UNAVAILABLE
        if message.code not in (coap.CONTENT, coap.SERVICE_UNAVAILABLE):
            code = f"{message.code >> 5}.{message.code & 31:02d}"
            raise SystemExit(f"port {self.port}: expected code 2.05, got {code}")
        return True


def run_load(port: int, is_echoed: bool, number: int, seconds: float) -> tuple[float, ...]:
    """Keeps `number` requests outstanding for some seconds.

    Returns answers per second, p50 and p99 in ms, and the percentage of refused answers.
    """
    client_sockets = [ClientSocket(port, is_echoed) for _ in range(number)]
    selector, durations_ms = selectors.DefaultSelector(), list[float]()
    for client_socket in client_sockets:
        selector.register(client_socket.socket, selectors.EVENT_READ, client_socket)
        client_socket.send_request()
    started_at = now = time.perf_counter()
    while now - started_at < seconds:
        ready = selector.select(2.0)
        if not ready:
            raise SystemExit(f"port {port}: no answer for 2 s")
        for key, _ in ready:
            client_socket = key.data
            if client_socket.receive():
                now = time.perf_counter()
                durations_ms.append((now - client_socket.sent_s) * 1000.0)
                client_socket.send_request()
    for client_socket in client_sockets:
        client_socket.socket.close()
    durations_ms.sort()
    refused = 100.0 * sum(client_socket.refused for client_socket in client_sockets) / len(durations_ms)
    return (
        len(durations_ms) / (now - started_at),
        durations_ms[len(durations_ms) // 2],
        durations_ms[int(len(durations_ms) * 0.99)],
        refused,
    )


def launch(args: argparse.Namespace, folder: Path, stack: contextlib.ExitStack) -> dict[str, int]:
    """Starts all processes; returns the UDP ports by name."""
    core, server_core, _ = args.cores.split(",")
    servers = stack.enter_context(backends([server_core]))
    discovery = stack.enter_context(registry([row(f"n{i}", p, cell=i) for i, p in enumerate(servers)]))
    checkout_paths = checkouts(args.also)
    echo, *ports = node.free_ports(1 + 2 * len(checkout_paths))
    stack.enter_context(running_process(peer("echo", "--port", str(echo)), core, cwd=HERE))
    targets = {"echo": echo}
    for (name, checkout), port, coap_port in zip(
        checkout_paths.items(), ports[::2], ports[1::2], strict=True
    ):
        stack.enter_context(
            proxy(
                checkout,
                core,
                port,
                discovery,
                servers,
                folder,
                features=f'[coap]\nlisten = "127.0.0.1:{coap_port}"\n',
            )
        )
        wait_for(port)
        targets[name] = coap_port
    time.sleep(1.0)
    return targets


def measure_codec(number: int = 20_000) -> tuple[float, float]:
    """Returns us to decode and to encode a datagram."""
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
    data, durations_us = coap.encode(message), list[float]()
    operations: tuple[Callable[[], object], ...] = (lambda: coap.decode(data), lambda: coap.encode(message))
    for operation in operations:
        started_at = time.perf_counter()
        for _ in range(number):
            operation()
        durations_us.append((time.perf_counter() - started_at) / number * 1e6)
    return durations_us[0], durations_us[1]


def measure_exchange_bytes(number: int = 8000) -> tuple[float, float, float]:
    """Returns the bytes of an exchange while it is open, once answered with 100 bytes, and as a mark."""
    names = [("127.0.0.1", 1000 + i) for i in range(number)]
    opened: list[Exchange] = []
    tracemalloc.start()
    now = [0.0]
    layer = MessageLayer(lambda: now[0], lambda data, to: None, lambda one, message: opened.append(one), 1)
    base = tracemalloc.get_traced_memory()[0]
    for i, name in enumerate(names):
        message = coap.Message(coap.CON, coap.POST, i & 0xFFFF, b"token678", [(coap.URI_PATH, b"api")])
        layer.received(coap.encode(message), name)
    open_bytes = (tracemalloc.get_traced_memory()[0] - base) / number
    for exchange in opened:
        layer.answer(exchange, coap.CONTENT, payload=b"x" * 100)
    opened.clear()
    answered_bytes = (tracemalloc.get_traced_memory()[0] - base) / number
    now[0] = MAX_TRANSMIT_SPAN + 1.0
    layer.handle_timers()
    mark_bytes = (tracemalloc.get_traced_memory()[0] - base) / number
    tracemalloc.stop()
    return open_bytes, answered_bytes, mark_bytes


def main() -> int:
    """Runs the measurements and prints them; status 1 where honeywharf refused a request."""
    parser = argparse.ArgumentParser(description="CoAP requests a second on one core")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--cores", default="1,2,3", help="one for the proxy, one for the servers, one for the client"
    )
    parser.add_argument("--also", type=Path, action="append", default=[], help="another checkout")
    args = parser.parse_args()
    os.sched_setaffinity(0, {int(args.cores.split(",")[2])})
    results: dict[tuple[int, str], list[tuple[float, ...]]] = {}
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        targets = launch(args, Path(folder), stack)
        for _ in range(args.rounds):
            for outstanding in (1, 16):
                for name, port in targets.items():
                    results.setdefault((outstanding, name), []).append(
                        run_load(port, name == "echo", outstanding, args.seconds)
                    )
    print(
        f"{'out':>4}  {'server':<12}{'answers/s':>10}{'of echo':>9}{'p50 ms':>9}{'p99 ms':>9}"
        f"{'refused %':>11}"
    )
    is_refused = False
    for (outstanding, name), results_of_server in sorted(results.items(), key=lambda item: item[0][0]):
        per_s, p50, p99, refused = (
            statistics.median(result) for result in zip(*results_of_server, strict=True)
        )
        ceiling = statistics.median(result[0] for result in results[outstanding, "echo"])
        print(
            f"{outstanding:>4}  {name:<12}{per_s:>10.0f}{per_s / ceiling:>9.2f}{p50:>9.3f}{p99:>9.3f}"
            f"{refused:>11.2f}"
        )
        is_refused = is_refused or (name == "honeywharf" and refused > 0)
    decoded, encoded = measure_codec()
    print(f"codec: {decoded:.1f} us to decode and {encoded:.1f} to encode")
    open_bytes, answered_bytes, mark_bytes = measure_exchange_bytes()
    print(
        f"an exchange: {open_bytes:.0f} bytes open, {answered_bytes:.0f} answered with 100 bytes,"
        f" {mark_bytes:.0f} as a mark"
    )
    return int(is_refused)


if __name__ == "__main__":
    sys.exit(main())
