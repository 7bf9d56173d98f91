"""`honeywharf demo --traces`: finds the cause of a failed request with a few commands on the traces."""

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

FAULTY_NODE = "store-3"
REQUESTS, REQUESTS_PER_S = 4000, 400.0


async def play(seed: int, folder: Path) -> TieredFleet:
    """Runs a fleet in which a store node fails 15 % of its requests and only the entry proxies retry."""
    fleet = TieredFleet(
        folder,
        seed=seed,
        faulty_node=FAULTY_NODE,
        faulty_errors=0.15,
        errors=0.0,
        rate=0.05,
        work_ms=4.0,
        rack=1,
        max_attempts=(2, 1, 1),
    )
    try:
        await fleet.start()
        await fleet.send_requests(REQUESTS, REQUESTS_PER_S)
        await asyncio.sleep(0.5)
    finally:
        await fleet.stop()
    return fleet


def command(say: Callable[[str], None], files: tuple[str, ...], *arguments: str) -> int:
    """Runs one command on the trace files and prints its output. Returns its exit status."""
    say(f"$ honeywharf {shlex.join(arguments)} *.jsonl")
    completed = subprocess.run(
        [sys.executable, "-m", "honeywharf", *arguments, *files], capture_output=True, text=True, check=False
    )
    for line in (completed.stdout + completed.stderr).splitlines()[:18]:
        say(f"    {line}")
    say("")
    return completed.returncode


def show(seed: int, say: Callable[[str], None]) -> int:
    """Runs the demo. Returns 0 only if the commands find the faulty node."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        say(f"three tiers, 8 proxies, {REQUESTS} orders; something is wrong somewhere, seed {seed}")
        fleet = asyncio.run(play(seed, folder))
        missing = next(
            (a.id for a in fleet.client_requests if a.status not in (200, 429, 503) and a.status > 0), None
        )
        if missing is None:
            say("no tile went missing: nothing to explain")
            return 1
        files = tuple(map(str, fleet.trace_files()))
        say(f"a customer misses a tile: request {missing} was answered with an error. Where, and why?")
        say("")
        explained = command(say, files, "explain", missing)
        counted = command(say, files, "traces", "errors > 0", "--by", "server", "--most", "4")
        caused = command(say, files, "causes", "--bad", "errors > 0")
        causes_as_json = subprocess.run(
            [sys.executable, "-m", "honeywharf", "causes", "--json", "--bad", "errors > 0", *files],
            capture_output=True,
            text=True,
            check=False,
        )
        found = f'"text": "{FAULTY_NODE}"' in causes_as_json.stdout
    duration_s = time.monotonic() - started
    say(
        f"the cause: server {FAULTY_NODE}, {'as it was planted' if found else 'which was NOT found'};"
        f" {duration_s:.0f} s from the first order to here"
    )
    return 0 if found and not (explained or counted or caused) else 1
