"""What daily operation has to show, on loopback, with the program as operators run it.

    python -m bench.operations evacuations [--number 100]
    python -m bench.operations bans [--number 1000]
    python -m bench.operations calls [--number 1000]
    python -m bench.operations bodies [--number 200] [--mb 32]

`evacuations`: a proxy behind a front that asks its health ten times a second is emptied and brought back
under load; lost requests are counted, and what is still open four seconds after the call. `bans`: backends
are taken out under load, and what reaches one later than 500 ms after the yes is counted. `calls`:
operators' calls while clients keep the proxy's core full and some callers finish no call; how long each
answer took. `bodies`: long uploads and downloads at unlike speeds at once; each digest is checked, and the
proxy's peak memory printed. `--build` plays what `deploy/build.sh` installed in `.venv` in place of the
sources. Status 1 where a rule broke.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from bench.processes import HERE
from honeywharf.standins import node
from honeywharf.standins.backend import Backend, now_ms
from honeywharf.standins.messages import read_message, reply, row
from honeywharf.standins.platform import Load, Platform, send_command
from honeywharf.standins.registry import Registry

ORDER = {
    "name": "order",
    "aimMs": 1000.0,
    "deadlineMs": 2000.0,
    "idempotency": "by_key",
    "group": "cell",
    "windowMs": 7500.0,
}
GRACE_MS = 500.0
PIECE = bytes(range(256)) * 256  # 64 KiB


class Counting(Backend):
    """Notes when it was asked, while it is out."""

    def __init__(self) -> None:
        super().__init__(max_recorded=0)
        self.default_reply = reply(200, b"tile")
        self.out_ms = float("inf")  # since the yes
        self.late = self.seen = 0

    async def _scripted_reply(self, message: Any) -> bytes | str | None:
        self.seen += 1
        self.late += now_ms() > self.out_ms + GRACE_MS
        return await super()._scripted_reply(message)


@asynccontextmanager
async def place(
    rows: list[dict[str, Any]],
    built: bool,
    memory_mb: float = 80.0,
) -> AsyncIterator[Platform]:
    """A proxy in service before these backends."""
    registry = await Registry().start()
    await registry.put(*rows)
    with tempfile.TemporaryDirectory() as folder:
        told = node.configuration(node.settings([ORDER]), registry.port)
        told["limits"]["memory_mb"] = memory_mb
        python = str(HERE / ".venv" / "bin" / "python") if built else sys.executable
        platform = Platform(Path(folder), told, python=python)
        try:
            await platform.start()
            yield platform
        finally:
            platform.close()
            await registry.stop()


class Front:
    """Asks a proxy's health ten times a second, and lets nobody connect 0.2 s after a no."""

    def __init__(self, port: int) -> None:
        self.port, self.open, self.said = port, True, 200
        self.task = asyncio.create_task(self._look())

    async def _look(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                async with asyncio.timeout(1.0):
                    self.said = int((await read_message(reader))[0].split()[1])
                writer.close()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self.said = 0
            if self.said == 200:
                self.open = True
            else:
                asyncio.get_running_loop().call_later(0.2, self._shut)
            await asyncio.sleep(0.1)

    def _shut(self) -> None:
        self.open = self.said == 200


async def evacuations(number: int, built: bool) -> int:
    """Evacuate and activate, again and again."""
    backends = [await Counting().start() for _ in range(4)]
    async with place([b.row(f"n{i}") for i, b in enumerate(backends)], built) as platform:
        front = Front(platform.port)
        load = Load(platform.port, 500.0, 64, may_connect=lambda: front.open)
        load.begin()
        open_late = not_back = 0
        slowest = 0.0
        for _ in range(number):
            begun = time.monotonic()
            assert (await send_command(platform.operator, "evacuate")).startswith("OK")
            while "empty" not in await send_command(platform.operator, "readyz"):
                await asyncio.sleep(0.02)
                if time.monotonic() - begun > 4.0:
                    open_late += 1
                    break
            slowest = max(slowest, time.monotonic() - begun)
            begun = time.monotonic()
            await send_command(platform.operator, "activate")
            while front.said != 200 and time.monotonic() - begun < 5.0:
                await asyncio.sleep(0.01)
            not_back += time.monotonic() - begun > 2.0
            front.open = True
            await asyncio.sleep(0.1)
        await load.end()
        front.task.cancel()
    print(
        f"{number} evacuations and back: {dict(sorted(load.outcomes.items()))};"
        f" still open after 4 s {open_late}"
        f" times (slowest empty after {slowest:.2f} s), not back within 2 s {not_back} times"
    )
    return int(bool(open_late or not_back or load.outcomes["lost"] or load.outcomes["given up"]))


async def bans(number: int, built: bool) -> int:
    """Take backends out and back, several at once."""
    backends = [await Counting().start() for _ in range(12)]
    async with place([b.row(f"n{i}") for i, b in enumerate(backends)], built) as platform:
        load = Load(platform.port, 1000.0, 64)
        load.begin()
        left, unused, rng = number, 0, random.Random(1)

        async def staff(mine: list[int]) -> None:
            nonlocal left, unused
            while left > 0:
                left -= 1
                one = rng.choice(mine)
                assert (await send_command(platform.operator, f"exclude n{one}")).startswith("OK")
                backends[one].out_ms = now_ms()
                await asyncio.sleep((GRACE_MS + 100.0) / 1000.0)
                backends[one].out_ms, before = float("inf"), backends[one].seen
                assert (await send_command(platform.operator, f"include n{one}")).startswith("OK")
                until = time.monotonic() + 5.0
                while backends[one].seen == before and time.monotonic() < until:
                    await asyncio.sleep(0.01)
                unused += backends[one].seen == before

        await asyncio.gather(*(staff([i, i + 4]) for i in range(4)))
        await load.end()
    late = sum(b.late for b in backends)
    print(
        f"{number} bans under load: {late} late sends, {unused} not used again within 5 s;"
        f" clients met {dict(sorted(load.outcomes.items()))}"
    )
    return int(bool(late or unused or set(load.outcomes) != {"200"}))


async def calls(number: int, built: bool) -> int:
    """Ask while the proxy's core is full."""
    backends = [await Counting().start() for _ in range(4)]
    async with place([b.row(f"n{i}") for i, b in enumerate(backends)], built) as platform:
        load = Load(platform.port, 1e9, 256)
        load.begin()
        idle = [await asyncio.open_connection("127.0.0.1", platform.operator) for _ in range(8)]
        took, failed = [], 0
        stat = Path(f"/proc/{platform.processes[-1].pid}/stat")
        spent = [int(x) for x in stat.read_text().rsplit(")", 1)[1].split()[11:13]]
        begun = time.monotonic()
        for i in range(number):
            at = time.monotonic()
            try:
                line = ("readyz", "exclude n1", "include n1", "exclude nobody")[i % 4]
                said = await send_command(platform.operator, line)
                failed += said.startswith("OK") == (i % 4 == 3)
            except (OSError, TimeoutError):
                failed += 1
            took.append((time.monotonic() - at) * 1000.0)
        now = [int(x) for x in stat.read_text().rsplit(")", 1)[1].split()[11:13]]
        busy = (sum(now) - sum(spent)) / 100.0 / (time.monotonic() - begun)
        for _, writer in idle:
            writer.close()
        await load.end()
    took.sort()
    print(
        f"{number} calls with the proxy at {busy:.0%} of a core: p50 {took[len(took) // 2]:.1f} ms, p99"
        f" {took[int(0.99 * len(took))]:.1f} ms, most {took[-1]:.1f} ms; {failed} wrong or unanswered"
    )
    return int(bool(failed or took[-1] > 1000.0))


async def _uploads(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, size: int) -> None:
    """A backend: takes an upload and says its digest, or gives `size` bytes."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = next(
                (
                    int(line.split(b":")[1])
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length")
                ),
                0,
            )
            seen, digest = 0, hashlib.sha256()
            while seen < length:
                piece = await reader.read(min(262_144, length - seen))
                if not piece:
                    return
                seen += len(piece)
                digest.update(piece)
            if length > 1:
                writer.write(reply(200, digest.hexdigest().encode()))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for _ in range(size // len(PIECE)):
                writer.write(PIECE)
                await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


TRIES = 5


async def bodies(number: int, built: bool, mb: int) -> int:
    """Uploads and downloads at once, each at a speed of its own."""
    size = mb * 1024 * 1024
    server = await asyncio.start_server(lambda r, w: _uploads(r, w, size), "127.0.0.1", 0)
    rows = [row(f"n{i}", server.sockets[0].getsockname()[1]) for i in range(4)]
    whole = hashlib.sha256(PIECE * (size // len(PIECE))).hexdigest()
    rng = random.Random(1)
    async with place(rows, built) as platform:

        async def one(number: int, up: bool, per_s: float) -> str:
            reader, writer = await asyncio.open_connection("127.0.0.1", platform.port)
            writer.write(
                (
                    f"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: b{number}\r\n"
                    f"X-Service-Class: order\r\n"
                    f"Idempotency-Key: k{number}\r\nX-Time-Left: 2000m\r\n"
                    f"Content-Length: {size if up else 1}\r\n\r\n"
                ).encode()
                + (b"" if up else b"x")
            )
            begun, moved, digest = time.monotonic(), 0, hashlib.sha256()
            try:
                coming = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
                while up and moved < size and not coming.done():  # an early answer ends the upload
                    writer.write(PIECE)
                    await writer.drain()
                    moved += len(PIECE)
                    await asyncio.sleep(max(0.0, begun + moved / per_s - time.monotonic()))
                head = await coming
                if not head.startswith(b"HTTP/1.1 200 "):
                    return head[9:12].decode()
                if up:
                    return "right" if (await reader.readexactly(64)).decode() == whole else "wrong digest"
                while moved < size:
                    piece = await reader.read(65_536)
                    if not piece:
                        return "broken off"
                    moved += len(piece)
                    digest.update(piece)
                    await asyncio.sleep(max(0.0, begun + moved / per_s - time.monotonic()))
                return "right" if digest.hexdigest() == whole else "wrong digest"
            except (OSError, asyncio.IncompleteReadError) as fault:
                return f"{'upload' if up else 'download'} {type(fault).__name__}"
            finally:
                writer.close()

        async def tried(number: int, up: bool, per_s: float) -> str:
            """Again after a refusal, which promises that it is harmless."""
            for _ in range(TRIES):
                end = await one(number, up, per_s)
                if end != "503":
                    return end
                refusals[0] += 1
                await asyncio.sleep(0.5)
            return end

        begun, refusals = time.monotonic(), [0]
        ends = await asyncio.gather(
            *(tried(i, i % 2 == 0, rng.uniform(1.0, 16.0) * 1024 * 1024) for i in range(number))
        )
        took = time.monotonic() - begun
        status = Path(f"/proc/{platform.processes[-1].pid}/status").read_text()
        peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    server.close()
    print(
        f"{number} bodies of {mb} MB at 1 to 16 MB/s, half of them up: {dict(Counter(ends))},"
        f" {refusals[0]} refusals; peak memory of the proxy {peak / 1024:.1f} MB of 80; {took:.0f} s"
    )
    return int(set(ends) != {"right"} or peak > 80 * 1024)


def main() -> int:
    """Exit status."""
    parse = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parse.add_argument("what", choices=["evacuations", "bans", "calls", "bodies"])
    parse.add_argument("--number", type=int)
    parse.add_argument("--mb", type=int, default=32)
    parse.add_argument("--build", action="store_true")
    told = parse.parse_args()
    plays: dict[str, Callable[[], Coroutine[Any, Any, int]]] = {
        "evacuations": lambda: evacuations(told.number or 100, told.build),
        "bans": lambda: bans(told.number or 1000, told.build),
        "calls": lambda: calls(told.number or 1000, told.build),
        "bodies": lambda: bodies(told.number or 200, told.build, told.mb),
    }
    return asyncio.run(plays[told.what]())


if __name__ == "__main__":
    sys.exit(main())
