"""Run every command that `honeywharf --help` leads to; status 1 where one breaks. Needs no test library.

None may end in a traceback, ask for another file of requirements, or with another status than it should. A
command for which nothing stands here fails as well: who adds one says how it is called.
"""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import typing
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import cappa
import click

from honeywharf.cli import drift, main, mesh, simulation, store
from honeywharf.lab.model import NodeSpec  # noqa: F401  (the laboratory is laid too)
from honeywharf.simulation import deployment
from honeywharf.standins import meshdemo, node

MAX_S = 120.0
DAY = """name = "short"
seeds = 2
[day]
length_ms = 2000.0
[fleet]
zones = { a = 2, b = 2 }
proxies = 2
[[sweep]]
name = "storms"
[[sweep.cases]]
label = "no"
set = { "features.storms" = false }
[[sweep.cases]]
label = "yes"
set = { "features.storms" = true }
"""


def leaves(command: click.Command, above: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    """All commands that are no groups, by their words."""
    if isinstance(command, click.Group):
        return [leaf for name, inner in command.commands.items() for leaf in leaves(inner, (*above, name))]
    return [above]


def words_of(group: type) -> set[str]:
    """The commands of a group that another library reads."""
    some = typing.get_args(typing.get_type_hints(group)["command"])
    return {str(cappa.Command.get(one).name) for one in some}


def called(words: tuple[str, ...], wanted: tuple[int, ...], more: dict[str, str] | None = None) -> str:
    """What is wrong with one call; empty where nothing is."""
    done = subprocess.run(
        [sys.executable, "-m", "honeywharf", *words],
        capture_output=True,
        text=True,
        timeout=MAX_S,
        check=False,
        stdin=subprocess.DEVNULL,
        env={**os.environ, **(more or {})},
    )
    told = done.stdout + done.stderr
    fault = ""
    if "Traceback" in told or "No module named" in told:
        fault = "a traceback"
    elif "requirements-" in told:
        fault = "asked for another file of requirements"
    elif done.returncode not in wanted:
        fault = f"status {done.returncode}, wanted one of {wanted}"
    return f"{' '.join(words)}: {fault}\n{told[-2000:]}" if fault else ""


def calls(folder: Path) -> dict[tuple[str, ...], list[tuple[tuple[str, ...], tuple[int, ...]]]]:
    """For each command, how it is called and the statuses that are right."""
    at = ("--socket", str(folder / "s"))
    nobody = ("--socket", str(folder / "nobody"))
    traces, day = str(folder / "t.jsonl"), str(folder / "day.toml")
    results = str(folder / "day.results")
    disk = str(folder / "disk")
    routes, settings, nowhere = str(folder / "r.json"), str(folder / "boot.yaml"), "127.0.0.1:9"
    return {
        ("run",): [((), (2,))],
        ("demo",): [
            (("--seconds", "4"), (0,)),
            (("--keys", "--seconds", "4"), (0,)),
            (("--coap", "--seconds", "4"), (0,)),
            (("--traces",), (0,)),
            (("--storm",), (0,)),
            (("--upgrade", "--seconds", "6"), (0,)),
            (("--mesh", "--seconds", "6", "--rate", "100"), (0,)),
            (("--drift", "--rate", "60"), (0,)),
        ],
        ("check-config",): [((str(folder / "f.toml"), str(folder / "n.json")), (0,)), ((day,), (2,))],
        ("config", "check"): [((str(folder / "f.toml"),), (0,))],
        ("config", "show"): [((*at,), (0,)), ((*at, "--all", "--json"), (0,)), (nobody, (3,))],
        ("config", "diff"): [((*at,), (0,)), (nobody, (3,))],
        ("keys", "show"): [((*at,), (0,)), ((*at, "k", "--json"), (0,)), (nobody, (3,))],
        ("keys", "forget"): [((*at, "k", "--yes"), (1,)), (("k", *nobody, "--yes"), (3,))],
        ("metrics",): [((*at,), (0,)), (nobody, (3,))],
        ("status",): [((*at,), (0,)), ((*at, "--json"), (0,)), (nobody, (3,))],
        ("endpoints",): [((*at, "--out"), (0,)), (nobody, (3,))],
        ("top",): [((*at,), (1,))],  # no terminal here
        ("drain",): [((*at,), (1,)), (nobody, (1,))],
        ("readyz",): [
            ((*at,), (1,)),
            (nobody, (3,)),  # 1: discovery is not up here
            ((), (2,)),
            (("--operator", "127.0.0.1:9"), (3,)),
        ],
        ("exclude",): [((*at, "never-listed"), (1,)), ((*nobody, "s"), (3,))],
        ("include",): [((*at, "never-listed"), (1,)), ((*nobody, "s"), (3,))],
        ("evacuate",): [((*at,), (0,)), (nobody, (3,))],
        ("activate",): [((*at,), (0,)), (nobody, (3,))],
        ("traces",): [
            (("failed", traces), (0,)),
            (("failed", traces, "--by", "server"), (0,)),
            (("no", traces), (2,)),
        ],
        ("causes",): [((traces,), (1,))],
        ("explain",): [(("r1", traces), (0,)), (("r1", traces, "--json"), (0,)), (("r9", traces), (1,))],
        ("lab", "run"): [((day, "--quiet", "--jobs", "1"), (0,))],
        ("lab", "compare"): [((results, "storms", "no", "yes"), (0,))],
        ("lab", "report"): [((results, str(folder / "page.html")), (0,))],
        ("mesh",): [
            (("check", routes), (0,)),
            (("settings", settings), (0,)),
            (("route", routes, "maps.example", "/tiles/1"), (0,)),
            (("diff", routes, routes), (0,)),
            (("describe", nowhere), (2,)),
            (("replace", nowhere, routes), (2,)),
            (("evacuate", nowhere, "z"), (2,)),
            (("activate", nowhere, "z"), (2,)),
            (("duties", nowhere), (2,)),
            (("members", nowhere), (2,)),
        ],
        ("simulation",): [
            (("run", "1"), (0,)),
            (("hunt", "1", "2", "--jobs", "1"), (0,)),
            (("replay", "1"), (0,)),
        ],
        ("drift",): [
            (("show", "--at", nowhere), (2,)),
            (("explain", "10.1.0.8", "--at", nowhere), (2,)),
            (("between", "r7", "r12", "--at", nowhere), (2,)),
        ],
        ("mesh-store",): [
            (("check", disk), (0,)),
            (("repair", disk), (0,)),
            (("backup", disk, str(folder / "backup")), (1,)),  # an empty disk
            (
                ("return", str(folder / "no backup"), disk, "--here", nowhere, "--members", f"{nowhere}/z"),
                (2,),
            ),
        ],
        ("version",): [((), (0,))],
    }


def files(folder: Path) -> None:
    """What the calls read."""
    (folder / "disk").mkdir()
    (folder / "r.json").write_bytes(meshdemo.configuration(7, moved=False).text)
    (folder / "boot.yaml").write_text(
        deployment.settings("10.1.0.8", deployment.ZONES[0], ["10.1.0.9"], True, "s")
    )
    (folder / "day.toml").write_text(DAY)
    (folder / "f.toml").write_text(
        f'[admin]\nsocket = "{folder}/s"\n[order_keys]\nstore = "process"\n[metrics]\non = true\n'
        f'[log]\nformat = "json"\n[traces]\nfile = "{folder}/own.jsonl"\n'
        '[traces.otlp]\nendpoint = "http://127.0.0.1:9/v1/traces"\n'
    )
    settings = node.settings(
        [
            {
                "name": "order",
                "aimMs": 2000.0,
                "deadlineMs": 5000.0,
                "idempotency": "by_key",
                "group": "cell",
                "windowMs": 7500.0,
            }
        ]
    )
    (folder / "n.json").write_text(json.dumps(node.configuration(settings, 9)))
    attempt = {
        "span_id": "1" * 16,
        "start_ms": 0.0,
        "duration_ms": 5.0,
        "server.address": "s",
        "honeywharf.zone": "z",
        "honeywharf.outcome": "error",
        "honeywharf.proof": "ran",
    }
    (folder / "t.jsonl").write_text(
        json.dumps(
            {
                "trace_id": "a" * 32,
                "parent_id": "",
                "span_id": "2" * 16,
                "hop": "t",
                "node": "n",
                "zone": "z",
                "request": "r1",
                "class": "order",
                "tenant": "",
                "start_ms": 0.0,
                "duration_ms": 5.0,
                "end": "failed",
                "reason": "",
                "wait_ms": 0.0,
                "kept": ["failed"],
                "weight": 1.0,
                "attempts": [attempt],
            }
        )
        + "\n"
    )


def every(folder: Path) -> list[str]:
    """All calls; what is wrong."""
    files(folder)
    table, wrong = calls(folder), []
    for name, group in (
        ("mesh", mesh.Mesh),
        ("drift", drift.Drift),
        ("simulation", simulation.Simulation),
        ("mesh-store", store.MeshStore),
    ):
        left = words_of(group) - {more[0] for more, _ in table[name,]}
        wrong += [f"{name} {word}: nothing says how it is called" for word in sorted(left)]
    wrong += [
        f"{' '.join(leaf)}: nothing says how it is called" for leaf in leaves(main) if leaf not in table
    ]
    environ = {"NODE_CONFIG": str(folder / "n.json"), "HONEYWHARF_FEATURES": str(folder / "f.toml")}
    with (folder / "log").open("wb") as log:
        proxy = subprocess.Popen(
            [sys.executable, "-m", "honeywharf", "run"], stdout=log, stderr=log, env={**os.environ, **environ}
        )
    end = time.monotonic() + MAX_S
    while not (folder / "s").exists() and proxy.poll() is None and time.monotonic() < end:
        time.sleep(0.05)
    quick = [
        ((*leaf, *more), wanted)
        for leaf, some in table.items()
        for more, wanted in some
        if leaf[0] not in ("lab", "demo", "evacuate", "activate")
    ]
    with ThreadPoolExecutor(4) as pool:
        wrong += filter(None, pool.map(lambda one: called(*one), quick))
        wrong += filter(None, pool.map(lambda leaf: called((*leaf, "--help"), (0,)), leaves(main)))
    # Each reads what the last one wrote, or takes back what it did.
    for leaf in (("lab", "run"), ("lab", "compare"), ("lab", "report"), ("evacuate",), ("activate",)):
        wrong += filter(None, (called((*leaf, *more), wanted) for more, wanted in table[leaf]))
    with ThreadPoolExecutor(2) as pool:  # two at a time: they are not to crowd each other
        wrong += filter(None, pool.map(lambda one: called(("demo", *one[0]), one[1]), table["demo",]))
    proxy.send_signal(signal.SIGTERM)
    if proxy.wait(20) != 0:
        wrong.append(f"run: status {proxy.returncode}, wanted 0 after SIGTERM")
    lines = (folder / "log").read_text().splitlines()
    wrong += [f"run: found {line!r}, wanted JSON" for line in lines if not re.fullmatch(r"\{.*\}", line)]
    return wrong


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        found = every(Path(name))
    for words in found:
        print(words)
    print(f"{len(leaves(main))} commands run in a fresh environment, {len(found)} faults")
    sys.exit(1 if found else 0)
