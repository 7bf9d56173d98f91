"""What an order key costs: time added to a request, claims a second, bytes a key.

    python -m bench.orderkeys_cost [--number 2000] [--rounds 6] [--cores 1,2,3,4,5,6]

Three proxies, without the feature, with a table in the process and with Redis (our stand-in), each on a
core of its own (the first three), before servers that answer at once (the next two); one client asks them
in turn, in an order drawn anew each time, for a key that is new: p50, and what is added to that without the
feature. Once with proxies that do nothing else, and once while a caller keeps one read at a time going at
each (from the last core): a proxy that idles has to fetch its own code from memory first. Then the table
alone, and one proxy's side of the shared store: what a claim costs there hangs on the stand-in as well,
which is not as fast as the server that operators run.
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
from honeywharf.standins.keyday import KEPT_MS, ORDER, PROCESS, REQUEST, SHARED
from honeywharf.standins.messages import row
from honeywharf.standins.redis import Redis


def launch(cores: list[str], folder: Path, store: Redis, stack: contextlib.ExitStack) -> list[int]:
    """Start the servers and the three proxies; the proxies' ports."""
    proxies = node.free_ports(3)
    servers = stack.enter_context(backends(cores[3:5]))
    discovery = stack.enter_context(registry([row(f"n{i}", p, cell=i) for i, p in enumerate(servers)]))
    for port, core, features in zip(proxies, cores, ("", PROCESS, SHARED % store.url), strict=False):
        stack.enter_context(
            proxy(HERE, core, port, discovery, servers, folder, features=features, classes=(ORDER, READ))
        )
    for port in proxies:
        wait_for(port)
    return proxies


def ask(connection: socket.socket, name: str) -> float:
    """Ask for a new key; what it took in ms. RuntimeError where it was not served."""
    request = REQUEST % (name.encode(), 1400, name.encode(), b"")
    begun = time.perf_counter()
    connection.sendall(request)
    answer = connection.recv(65536)
    took = (time.perf_counter() - begun) * 1000.0
    if not answer.startswith(b"HTTP/1.1 200") or not answer.endswith(b"tile"):
        raise RuntimeError(f"found {answer[:60]!r}, wanted a tile")
    return took


def new_keys(ports: list[int], number: int, name: str) -> list[list[float]]:
    """What each new key took at each proxy, in ms, sorted; the first fifth is left out."""
    connections = [socket.create_connection(("127.0.0.1", port), 5.0) for port in ports]
    took: list[list[float]] = [[] for _ in ports]
    draw, order = random.Random(1), list(range(len(ports)))
    for i in range(number):
        draw.shuffle(order)
        for which in order:
            took[which].append(ask(connections[which], f"{name}-{which}-{i}"))
    for connection in connections:
        connection.close()
    return [sorted(times[number // 5 :]) for times in took]


def one_round(number: int, cores: list[str], folder: Path) -> dict[str, list[float]]:
    """p50 of a new key in ms, off, in the process and in Redis, by the state of the proxies."""
    found: dict[str, list[float]] = {}
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
                found[state] = [statistics.median(times) for times in new_keys(ports, number, state)]
    finally:
        store.kill()
    return found


def side_by_side(number: int, rounds: int, cores: list[str]) -> None:
    """Play and print; in each round the three proxies change cores, as no two are equally quiet."""
    found = []
    for turn in range(rounds):
        mine = [cores[(i + turn) % 3] for i in range(3)] + cores[3:]
        with tempfile.TemporaryDirectory() as folder:
            found.append(one_round(number, mine, Path(folder)))
    for state in ("idle", "busy"):
        off = [one[state][0] for one in found]
        words = f"{state}: p50 {statistics.median(off):.4f} ms off"
        for which, name in ((1, "in the process"), (2, "in Redis")):
            more = sorted((one[state][which] - one[state][0]) * 1000.0 for one in found)
            words += f"; {name} {statistics.median(more):+.1f} us ({more[0]:+.1f} to {more[-1]:+.1f})"
        print(words, flush=True)


class Neighbour:
    """The driver's transport and its requests' caller, in one: keeps the call that was started last."""

    def __init__(self) -> None:
        self.call: UpstreamRequest | None = None
        self.answered = 0

    def known(self, endpoint: str) -> bool:
        """All are."""
        return True

    def start(self, call: UpstreamRequest) -> None:
        """Keep it."""
        self.call = call

    def abort(self, call: UpstreamRequest) -> None:
        """Nothing is ever given up here."""

    def close_idle(self, endpoint: str) -> None:
        """There is none."""

    def answer(
        self,
        status: Status,
        body: bytes = b"",
        *,
        retry_after_ms: float = 0.0,
        kind: bytes = b"",
    ) -> None:
        """Count the final answer."""
        self.answered += status == Status.SERVED


async def stages(keys: bool, number: int = 20_000) -> list[float]:
    """us (p50) for a new key's arrival, the decision on it and its answer, here and without sockets."""
    loop, clock, near = asyncio.get_running_loop(), Clock(), Neighbour()
    settings = wire.settings(node.settings([ORDER]))
    driver = Driver(settings, Balancer(settings, 1), near, loop, clock)
    if keys:
        driver.hooks.request_deduplicator = KeyDeduplicator(
            driver, Table(number, 32 * 1024 * 1024, 16384), {"order": KEPT_MS}
        )
    driver.start(
        api.EndpointsListed(
            api.ListKind.FULL, tuple(api.Endpoint(f"n{i}", "z", cell=i % 4) for i in range(8))
        )
    )
    took: list[list[float]] = [[], [], []]
    response = http1.Response()
    response.body = b"tile"
    for i in range(number):
        request = http1.Request()
        request.method, request.target, request.body = b"POST", b"/api/order", b"x"
        request.id, request.class_name, request.left_ms = f"p{i}", "order", 1400.0
        request.idempotency_key, request.read_ms = b"p%d" % i, clock.now()
        laps = [time.perf_counter()]
        driver.accept(request, near)
        laps.append(time.perf_counter())
        await asyncio.sleep(0)  # the decision is made in the loop's next turn
        laps.append(time.perf_counter())
        assert near.call is not None
        near.call.ended(api.Outcome.OK, response)
        laps.append(time.perf_counter())
        for times, begun, ended in zip(took, laps, laps[1:], strict=False):
            times.append((ended - begun) * 1e6)
        await asyncio.sleep(0)
    if near.answered != number:
        raise RuntimeError(f"{near.answered} of {number} answered")
    return [statistics.median(times) for times in took]


def alone(number: int = 100_000) -> tuple[float, float]:
    """The table alone: us for a claim and its end, and bytes for each key, of so many new keys."""
    names = [b"%016d" % i for i in range(number)]
    table, place, answer = Table(number, 10**9, 1000), api.Earlier("a", 1, 1.0), Answer(b"ok")
    begun = time.perf_counter()
    for name in names:
        table.finish(name, table.claim(name, "t", b"p", 0.0).fence, answer, place, 1e9)
    took = (time.perf_counter() - begun) / number * 1e6
    tracemalloc.start()
    table = Table(number, 10**9, 1000)
    for name in names:
        table.finish(name, table.claim(name, "t", b"p", 0.0).fence, answer, api.Earlier("a", 1, 1.0), 1e9)
    used = tracemalloc.get_traced_memory()[0] / number
    tracemalloc.stop()
    return took, used


class Claimer:
    """Claims and ends new keys in a shared store, `most` at a time, as fast as a proxy's side goes."""

    def __init__(self, store: RedisLink, number: int, most: int) -> None:
        self.store, self.left, self.most = store, number, most
        self.out, self.done = 0, asyncio.get_running_loop().create_future()
        self.serial = 0
        self.refused: Counter[str] = Counter()

    def fill(self) -> None:
        """Ask for as many as may be asked for."""
        while self.left and self.out < self.most:
            self.left, self.out, self.serial = self.left - 1, self.out + 1, self.serial + 1
            one = Claiming(self, b"%016d" % self.serial)
            if not self.store.shared.claim(one.name, "tenant", b"p" * 16, 1000.0, KEPT_MS, 0.0, one):
                one.claimed(Claim(Verdict.STORE_UNAVAILABLE))
        if not self.left and not self.out and not self.done.done():
            self.done.set_result(None)


class Claiming:
    """One key of these."""

    def __init__(self, owner: Claimer, name: bytes) -> None:
        self.owner, self.name = owner, name

    def claimed(self, claim: Claim) -> None:
        """Note a place, and end it with a short answer."""
        owner, place = self.owner, api.Earlier("z", 1, time.time() * 1000.0)
        owner.out -= 1
        if claim.verdict is Verdict.RUN:
            owner.store.shared.note(self.name, claim.fence, place)
            owner.store.shared.end(
                self.name, claim.fence, "tenant", b"p" * 16, Answer(b"tile for one"), place, KEPT_MS
            )
        else:
            owner.refused[claim.verdict.value] += 1
        asyncio.get_running_loop().call_soon(owner.fill)


async def shared_alone(number: int = 10_000) -> tuple[float, Counter[str]]:
    """Keys claimed, noted and ended a second by one proxy's side."""
    server = await Redis().start()
    store = RedisLink(
        asyncio.get_running_loop(),
        server.url,
        "",
        "bench",
        StoreRules(10 * number, 10**9, 16384, wait_ms=1000.0, trust_empty=True),
        lambda: time.time() * 1000.0,
        lambda what: None,
    )
    try:
        store.start()
        while not store.shared.available():
            await asyncio.sleep(0.01)
        claimer, begun = Claimer(store, number, 64), time.perf_counter()
        claimer.fill()
        await claimer.done
        while store.shared.unconfirmed_ends:
            await asyncio.sleep(0.001)
        return number / (time.perf_counter() - begun), claimer.refused
    finally:
        server.kill()


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(description="what an order key costs")
    parser.add_argument("--number", type=int, default=2000)
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument("--cores", default="1,2,3,4,5,6")
    args = parser.parse_args()
    side_by_side(args.number, args.rounds, args.cores.split(","))
    for words, keys in (("off", False), ("on", True)):
        arrival, decision, answer = uvloop.run(stages(keys))
        print(
            f"without sockets, {words}: {arrival:.1f} us arrival, {decision:.1f} us decision and a turn of"
            f" the loop, {answer:.1f} us answer"
        )
    took, used = alone()
    print(f"table: {took:.2f} us for a claim and its end, {1e6 / took:.0f} a second, {used:.0f} bytes each")
    rate, refused = uvloop.run(shared_alone())
    print(
        f"shared: {rate:.0f} keys a second claimed, noted and ended by one proxy's side, refused"
        f" {dict(refused)}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
