"""Cost of an order key: added latency, claims per second, and bytes per key.

    python -m bench.orderkeys_cost [--number 2000] [--rounds 6] [--cores 1,2,3,4,5,6]

Three proxies, without order keys, with a table in the process and with a Redis stand-in, run on the first
three cores, and servers on the next two. One client sends each a new key in random order; p50 and the added
time are printed for idle proxies, whose code has left the caches, and for proxies that serve another client
from the last core. Then the table alone, and one proxy's side of the shared store, which includes the cost of
the Redis stand-in.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import socket
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from pathlib import Path

import uvloop

from bench.processes import HERE, READ, backends, peer, proxy, registry, running_process, wait_for
from honeywharf import wire
from honeywharf.codecs import http1
from honeywharf.core.driver import Driver
from honeywharf.core.messages import Status
from honeywharf.core.transport import Clock, UpstreamRequest
from honeywharf.orderkeys.deduplicator import KeyDeduplicator
from honeywharf.orderkeys.redis import RedisLink
from honeywharf.orderkeys.shared_store import StoreRules
from honeywharf.orderkeys.table import Answer, Claim, Table, Verdict
from honeywharf.policy import interface as api
from honeywharf.policy.balancer import Balancer
from honeywharf.standins import node
from honeywharf.standins.messages import row
from honeywharf.standins.order_key_scenario import (
    KEY_RETENTION_MS,
    ORDER_CLASS,
    PROCESS_STORE,
    REDIS_STORE,
    REQUEST_FORMAT,
)
from honeywharf.standins.redis import Redis


def launch(cores: list[str], folder: Path, store: Redis, stack: contextlib.ExitStack) -> list[int]:
    """Starts the servers and the three proxies; returns the proxies' ports."""
    proxies = node.free_ports(3)
    servers = stack.enter_context(backends(cores[3:5]))
    discovery = stack.enter_context(registry([row(f"n{i}", p, cell=i) for i, p in enumerate(servers)]))
    for port, core, features in zip(
        proxies, cores, ("", PROCESS_STORE, REDIS_STORE % store.url), strict=False
    ):
        stack.enter_context(
            proxy(
                HERE, core, port, discovery, servers, folder, features=features, classes=(ORDER_CLASS, READ)
            )
        )
    for port in proxies:
        wait_for(port)
    return proxies


def request_duration_ms(connection: socket.socket, name: str) -> float:
    """Requests a new key; returns the duration in ms. RuntimeError if it was not served."""
    request = REQUEST_FORMAT % (name.encode(), 1400, name.encode(), b"")
    started_at = time.perf_counter()
    connection.sendall(request)
    answer = connection.recv(65536)
    duration_ms = (time.perf_counter() - started_at) * 1000.0
    if not answer.startswith(b"HTTP/1.1 200") or not answer.endswith(b"tile"):
        raise RuntimeError(f"answer: expected a tile, got {answer[:60]!r}")
    return duration_ms


def new_key_durations_ms(ports: list[int], number: int, name: str) -> list[list[float]]:
    """Returns the sorted durations of new keys in ms for each proxy, without the first fifth."""
    connections = [socket.create_connection(("127.0.0.1", port), 5.0) for port in ports]
    durations_ms: list[list[float]] = [[] for _ in ports]
    rng, order = random.Random(1), list(range(len(ports)))
    for i in range(number):
        rng.shuffle(order)
        for proxy_index in order:
            durations_ms[proxy_index].append(
                request_duration_ms(connections[proxy_index], f"{name}-{proxy_index}-{i}")
            )
    for connection in connections:
        connection.close()
    return [sorted(times[number // 5 :]) for times in durations_ms]


def run_round(number: int, cores: list[str], folder: Path) -> dict[str, list[float]]:
    """Returns p50 of a new key in ms for each proxy, by the state of the proxies."""
    medians_ms: dict[str, list[float]] = {}
    store = asyncio.run(Redis().start())
    try:
        with contextlib.ExitStack() as stack:
            ports = launch(cores, folder, store, stack)
            time.sleep(1.0)
            for state in ("idle", "busy"):
                if state == "busy":
                    for port in ports:
                        stack.enter_context(
                            running_process(
                                peer("load", "--port", str(port), "--seconds", "600", "--name", str(port)),
                                cores[-1],
                                cwd=HERE,
                            )
                        )
                    time.sleep(1.0)
                medians_ms[state] = [
                    statistics.median(times) for times in new_key_durations_ms(ports, number, state)
                ]
    finally:
        store.kill()
    return medians_ms


def compare_proxies(number: int, rounds: int, cores: list[str]) -> None:
    """Runs and prints the rounds; the proxies change cores each round, because cores differ."""
    medians = []
    for round_number in range(rounds):
        cores_of_round = [cores[(i + round_number) % 3] for i in range(3)] + cores[3:]
        with tempfile.TemporaryDirectory() as folder:
            medians.append(run_round(number, cores_of_round, Path(folder)))
    for state in ("idle", "busy"):
        off = [medians_of_round[state][0] for medians_of_round in medians]
        line = f"{state}: p50 {statistics.median(off):.4f} ms off"
        for proxy_index, name in ((1, "in the process"), (2, "in Redis")):
            added_us = sorted(
                (medians_of_round[state][proxy_index] - medians_of_round[state][0]) * 1000.0
                for medians_of_round in medians
            )
            line += (
                f"; {name} {statistics.median(added_us):+.1f} us ({added_us[0]:+.1f} to {added_us[-1]:+.1f})"
            )
        print(line, flush=True)


class InMemoryTransport:
    """The driver's transport and its requests' caller; keeps the call that was started last."""

    def __init__(self) -> None:
        self.call: UpstreamRequest | None = None
        self.answered = 0

    def known(self, endpoint: str) -> bool:
        """Returns True for every endpoint."""
        return True

    def start(self, call: UpstreamRequest) -> None:
        """Keeps the call."""
        self.call = call

    def abort(self, call: UpstreamRequest) -> None:
        """Does nothing: no call is aborted here."""

    def close_idle(self, endpoint: str) -> None:
        """Does nothing: there are no connections."""

    def answer(
        self,
        status: Status,
        body: bytes = b"",
        *,
        retry_after_ms: float = 0.0,
        kind: bytes = b"",
    ) -> None:
        """Counts the final answer."""
        self.answered += status == Status.SERVED


async def phase_durations_us(keys: bool, number: int = 20_000) -> list[float]:
    """Returns us (p50) for a new key's arrival, the decision on it and its answer, without sockets."""
    loop, clock, transport = asyncio.get_running_loop(), Clock(), InMemoryTransport()
    settings = wire.settings(node.settings([ORDER_CLASS]))
    driver = Driver(settings, Balancer(settings, 1), transport, loop, clock)
    if keys:
        driver.hooks.request_deduplicator = KeyDeduplicator(
            driver, Table(number, 32 * 1024 * 1024, 16384), {"order": KEY_RETENTION_MS}
        )
    driver.start(
        api.EndpointsListed(
            api.ListKind.FULL, tuple(api.Endpoint(f"n{i}", "z", cell=i % 4) for i in range(8))
        )
    )
    durations_us: list[list[float]] = [[], [], []]
    response = http1.Response()
    response.body = b"tile"
    for i in range(number):
        request = http1.Request()
        request.method, request.target, request.body = b"POST", b"/api/order", b"x"
        request.id, request.class_name, request.left_ms = f"p{i}", "order", 1400.0
        request.idempotency_key, request.read_ms = b"p%d" % i, clock.now()
        timestamps = [time.perf_counter()]
        driver.accept(request, transport)
        timestamps.append(time.perf_counter())
        await asyncio.sleep(0)  # The decision is made in the next turn of the loop.
        timestamps.append(time.perf_counter())
        assert transport.call is not None
        transport.call.ended(api.Outcome.OK, response)
        timestamps.append(time.perf_counter())
        for times, started_at, ended in zip(durations_us, timestamps, timestamps[1:], strict=False):
            times.append((ended - started_at) * 1e6)
        await asyncio.sleep(0)
    if transport.answered != number:
        raise RuntimeError(f"answers: expected {number}, got {transport.answered}")
    return [statistics.median(times) for times in durations_us]


def measure_table(number: int = 100_000) -> tuple[float, float]:
    """Returns us for a claim and its end in the table, and the bytes of each key."""
    names = [b"%016d" % i for i in range(number)]
    table, place, answer = Table(number, 10**9, 1000), api.Earlier("a", 1, 1.0), Answer(b"ok")
    started_at = time.perf_counter()
    for name in names:
        table.finish(name, table.claim(name, "t", b"p", 0.0).fence, answer, place, 1e9)
    duration_us = (time.perf_counter() - started_at) / number * 1e6
    tracemalloc.start()
    table = Table(number, 10**9, 1000)
    for name in names:
        table.finish(name, table.claim(name, "t", b"p", 0.0).fence, answer, api.Earlier("a", 1, 1.0), 1e9)
    bytes_per_key = tracemalloc.get_traced_memory()[0] / number
    tracemalloc.stop()
    return duration_us, bytes_per_key


class ClaimLoad:
    """Claims and ends new keys in a shared store, with up to `max_pending` at once."""

    def __init__(self, store: RedisLink, number: int, max_pending: int) -> None:
        self.store, self.remaining, self.max_outstanding = store, number, max_pending
        self.outstanding, self.done = 0, asyncio.get_running_loop().create_future()
        self.serial = 0
        self.refused: Counter[str] = Counter()

    def fill(self) -> None:
        """Starts as many claims as allowed."""
        while self.remaining and self.outstanding < self.max_outstanding:
            self.remaining, self.outstanding, self.serial = (
                self.remaining - 1,
                self.outstanding + 1,
                self.serial + 1,
            )
            key_claim = KeyClaim(self, b"%016d" % self.serial)
            if not self.store.shared.claim(
                key_claim.name, "tenant", b"p" * 16, 1000.0, KEY_RETENTION_MS, 0.0, key_claim
            ):
                key_claim.claimed(Claim(Verdict.STORE_UNAVAILABLE))
        if not self.remaining and not self.outstanding and not self.done.done():
            self.done.set_result(None)


class KeyClaim:
    """Claims one key and ends its claim."""

    def __init__(self, owner: ClaimLoad, name: bytes) -> None:
        self.owner, self.name = owner, name

    def claimed(self, claim: Claim) -> None:
        """Records the server and ends the claim with a short answer."""
        owner, place = self.owner, api.Earlier("z", 1, time.time() * 1000.0)
        owner.outstanding -= 1
        if claim.verdict is Verdict.RUN:
            owner.store.shared.note(self.name, claim.fence, place)
            owner.store.shared.end(
                self.name, claim.fence, "tenant", b"p" * 16, Answer(b"tile for one"), place, KEY_RETENTION_MS
            )
        else:
            owner.refused[claim.verdict.value] += 1
        asyncio.get_running_loop().call_soon(owner.fill)


async def shared_keys_per_s(number: int = 10_000) -> tuple[float, Counter[str]]:
    """Returns the keys that one proxy's side claims, notes and ends per second."""
    server = await Redis().start()
    store = RedisLink(
        asyncio.get_running_loop(),
        server.url,
        "",
        "bench",
        StoreRules(10 * number, 10**9, 16384, wait_ms=1000.0, trust_empty=True),
        lambda: time.time() * 1000.0,
        lambda message: None,
    )
    try:
        store.start()
        while not store.shared.available():
            await asyncio.sleep(0.01)
        claimer, started_at = ClaimLoad(store, number, 64), time.perf_counter()
        claimer.fill()
        await claimer.done
        while store.shared.unconfirmed_ends:
            await asyncio.sleep(0.001)
        return number / (time.perf_counter() - started_at), claimer.refused
    finally:
        server.kill()


def main() -> int:
    """Runs the measurements and prints them."""
    parser = argparse.ArgumentParser(description="cost of an order key")
    parser.add_argument("--number", type=int, default=2000)
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument("--cores", default="1,2,3,4,5,6")
    args = parser.parse_args()
    compare_proxies(args.number, args.rounds, args.cores.split(","))
    for state, keys in (("off", False), ("on", True)):
        arrival, decision, answer = uvloop.run(phase_durations_us(keys))
        print(
            f"without sockets, {state}: {arrival:.1f} us arrival, {decision:.1f} us decision and a turn of"
            f" the loop, {answer:.1f} us answer"
        )
    claim_us, bytes_per_key = measure_table()
    print(
        f"table: {claim_us:.2f} us for a claim and its end, {1e6 / claim_us:.0f} a second,"
        f" {bytes_per_key:.0f} bytes each"
    )
    rate, refused = uvloop.run(shared_keys_per_s())
    print(
        f"shared: {rate:.0f} keys a second claimed, noted and ended by one proxy's side, refused"
        f" {dict(refused)}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
