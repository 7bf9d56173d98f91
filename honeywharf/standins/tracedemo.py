"""`honeywharf demo --traces`: a customer misses a tile; from the complaint to its cause in a few commands."""

from __future__ import annotations

import asyncio
import shlex
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from honeywharf.standins.tiers import TieredFleet

SICK = "store-3"
REQUESTS, PER_S = 4000, 400.0


async def play(seed: int, folder: Path) -> TieredFleet:
    """A short day on which one store node fails one order in seven, and one tier alone tries again."""
    house = TieredFleet(
        folder,
        seed=seed,
        faulty_node=SICK,
        faulty_errors=0.15,
        errors=0.0,
        rate=0.05,
        work_ms=4.0,
        rack=1,
        max_attempts=(2, 1, 1),
    )
    try:
        await house.start()
        await house.send_requests(REQUESTS, PER_S)
        await asyncio.sleep(0.5)
    finally:
        await house.stop()
    return house


def command(say: Callable[[str], None], files: tuple[str, ...], *words: str) -> int:
    """One of the operators' commands on the proxies' files, as an operator would type it; its exit status."""
    say(f"$ honeywharf {shlex.join(words)} *.jsonl")
    done = subprocess.run(
        [sys.executable, "-m", "honeywharf", *words, *files], capture_output=True, text=True, check=False
    )
    for line in (done.stdout + done.stderr).splitlines()[:18]:
        say(f"    {line}")
    say("")
    return done.returncode


def show(seed: int, say: Callable[[str], None]) -> int:
    """Play and walk; 0 only where the walk ends at what is really the matter."""
    begun = time.monotonic()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        say(f"three tiers, 8 proxies, {REQUESTS} orders; something is wrong somewhere, seed {seed}")
        house = asyncio.run(play(seed, folder))
        missing = next(
            (a.id for a in house.client_requests if a.status not in (200, 429, 503) and a.status > 0), None
        )
        if missing is None:
            say("no tile went missing: nothing to explain")
            return 1
        files = tuple(map(str, house.trace_files()))
        say(f"a customer misses a tile: request {missing} was answered with an error. Where, and why?")
        say("")
        explained = command(say, files, "explain", missing)
        counted = command(say, files, "traces", "errors > 0", "--by", "server", "--most", "4")
        caused = command(say, files, "causes", "--bad", "errors > 0")
        told = subprocess.run(
            [sys.executable, "-m", "honeywharf", "causes", "--json", "--bad", "errors > 0", *files],
            capture_output=True,
            text=True,
            check=False,
        )
        found = f'"text": "{SICK}"' in told.stdout
    took = time.monotonic() - begun
    say(
        f"the cause: server {SICK}, {'as it was planted' if found else 'which was NOT found'};"
        f" {took:.0f} s from the first order to here"
    )
    return 0 if found and not (explained or counted or caused) else 1
