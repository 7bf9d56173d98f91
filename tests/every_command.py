"""Runs every command of `honeywharf`; exits with status 1 if one fails. Needs no test library.

A command fails by a traceback, by a missing requirements file, or by an unexpected exit status. A command
without an entry in `all_calls` is a failure too.
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
from honeywharf.lab.model import NodeSpec  # noqa: F401  (The laboratory is installed too.)
from honeywharf.simulation import deployment
from honeywharf.standins import meshdemo, node

MAX_S = 120.0
EXPERIMENT = """name = "short"
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


def leaf_commands(command: click.Command, above: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    """Returns the names of all commands that are not groups."""
    if isinstance(command, click.Group):
        return [
            leaf for name, inner in command.commands.items() for leaf in leaf_commands(inner, (*above, name))
        ]
    return [above]


def subcommand_names(group: type) -> set[str]:
    """Returns the names of the subcommands of a cappa command."""
    subcommands = typing.get_args(typing.get_type_hints(group)["command"])
    return {str(cappa.Command.get(subcommand).name) for subcommand in subcommands}


def check_call(
    command_line: tuple[str, ...],
    expected_statuses: tuple[int, ...],
    extra_environment: dict[str, str] | None = None,
) -> str:
    """Runs a command; returns the problem with its output, or an empty string."""
    completed = subprocess.run(
        [sys.executable, "-m", "honeywharf", *command_line],
        capture_output=True,
        text=True,
        timeout=MAX_S,
        check=False,
        stdin=subprocess.DEVNULL,
        env={**os.environ, **(extra_environment or {})},
    )
    output = completed.stdout + completed.stderr
    problem = ""
    if "Traceback" in output or "No module named" in output:
        problem = "a traceback"
    elif "requirements-" in output:
        problem = "asked for another file of requirements"
    elif completed.returncode not in expected_statuses:
        problem = f"expected one of the statuses {expected_statuses}, got {completed.returncode}"
    return f"{' '.join(command_line)}: {problem}\n{output[-2000:]}" if problem else ""


def all_calls(folder: Path) -> dict[tuple[str, ...], list[tuple[tuple[str, ...], tuple[int, ...]]]]:
    """Returns the calls of each command: their arguments and the expected exit statuses."""
    socket = ("--socket", str(folder / "s"))
    unused_socket = ("--socket", str(folder / "nobody"))
    traces, day = str(folder / "t.jsonl"), str(folder / "day.toml")
    results = str(folder / "day.results")
    disk = str(folder / "disk")
    routes, settings, unused_address = str(folder / "r.json"), str(folder / "boot.yaml"), "127.0.0.1:9"
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
        ("config", "show"): [((*socket,), (0,)), ((*socket, "--all", "--json"), (0,)), (unused_socket, (3,))],
        ("config", "diff"): [((*socket,), (0,)), (unused_socket, (3,))],
        ("keys", "show"): [((*socket,), (0,)), ((*socket, "k", "--json"), (0,)), (unused_socket, (3,))],
        ("keys", "forget"): [((*socket, "k", "--yes"), (1,)), (("k", *unused_socket, "--yes"), (3,))],
        ("metrics",): [((*socket,), (0,)), (unused_socket, (3,))],
        ("status",): [((*socket,), (0,)), ((*socket, "--json"), (0,)), (unused_socket, (3,))],
        ("endpoints",): [((*socket, "--out"), (0,)), (unused_socket, (3,))],
        ("top",): [((*socket,), (1,))],  # Standard output is not a terminal.
        ("drain",): [((*socket,), (1,)), (unused_socket, (1,))],
        ("readyz",): [
            ((*socket,), (1,)),
            (unused_socket, (3,)),  # The call before gives 1, because discovery is not running.
            ((), (2,)),
            (("--operator", "127.0.0.1:9"), (3,)),
        ],
        ("exclude",): [((*socket, "never-listed"), (1,)), ((*unused_socket, "s"), (3,))],
        ("include",): [((*socket, "never-listed"), (1,)), ((*unused_socket, "s"), (3,))],
        ("evacuate",): [((*socket,), (0,)), (unused_socket, (3,))],
        ("activate",): [((*socket,), (0,)), (unused_socket, (3,))],
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
            (("describe", unused_address), (2,)),
            (("replace", unused_address, routes), (2,)),
            (("evacuate", unused_address, "z"), (2,)),
            (("activate", unused_address, "z"), (2,)),
            (("duties", unused_address), (2,)),
            (("members", unused_address), (2,)),
        ],
        ("simulation",): [
            (("run", "1"), (0,)),
            (("hunt", "1", "2", "--jobs", "1"), (0,)),
            (("replay", "1"), (0,)),
        ],
        ("drift",): [
            (("show", "--at", unused_address), (2,)),
            (("explain", "10.1.0.8", "--at", unused_address), (2,)),
            (("between", "r7", "r12", "--at", unused_address), (2,)),
        ],
        ("mesh-store",): [
            (("check", disk), (0,)),
            (("repair", disk), (0,)),
            (("backup", disk, str(folder / "backup")), (1,)),  # The disk is empty.
            (
                (
                    "return",
                    str(folder / "no backup"),
                    disk,
                    "--here",
                    unused_address,
                    "--members",
                    f"{unused_address}/z",
                ),
                (2,),
            ),
        ],
        ("version",): [((), (0,))],
    }


def write_files(folder: Path) -> None:
    """Writes the files that the calls read."""
    (folder / "disk").mkdir()
    (folder / "r.json").write_bytes(meshdemo.configuration(7, moved=False).text)
    (folder / "boot.yaml").write_text(
        deployment.settings("10.1.0.8", deployment.ZONES[0], ["10.1.0.9"], True, "s")
    )
    (folder / "day.toml").write_text(EXPERIMENT)
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


def check_every_command(folder: Path) -> list[str]:
    """Runs all calls and returns the problems."""
    write_files(folder)
    table, problems = all_calls(folder), []
    for name, group in (
        ("mesh", mesh.Mesh),
        ("drift", drift.Drift),
        ("simulation", simulation.Simulation),
        ("mesh-store", store.MeshStore),
    ):
        untested = subcommand_names(group) - {arguments[0] for arguments, _ in table[name,]}
        problems += [f"{name} {word}: expected an entry in all_calls, got none" for word in sorted(untested)]
    problems += [
        f"{' '.join(leaf)}: expected an entry in all_calls, got none"
        for leaf in leaf_commands(main)
        if leaf not in table
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
        ((*leaf, *arguments), expected)
        for leaf, calls_of_leaf in table.items()
        for arguments, expected in calls_of_leaf
        if leaf[0] not in ("lab", "demo", "evacuate", "activate")
    ]
    with ThreadPoolExecutor(4) as pool:
        problems += filter(None, pool.map(lambda call: check_call(*call), quick))
        problems += filter(
            None, pool.map(lambda leaf: check_call((*leaf, "--help"), (0,)), leaf_commands(main))
        )
    # Each call uses the files of the previous one, or reverses its effect.
    for leaf in (("lab", "run"), ("lab", "compare"), ("lab", "report"), ("evacuate",), ("activate",)):
        problems += filter(
            None, (check_call((*leaf, *arguments), expected) for arguments, expected in table[leaf])
        )
    with ThreadPoolExecutor(2) as pool:  # Two at a time, so that they do not overload the machine.
        problems += filter(
            None, pool.map(lambda call: check_call(("demo", *call[0]), call[1]), table["demo",])
        )
    proxy.send_signal(signal.SIGTERM)
    if proxy.wait(20) != 0:
        problems.append(f"run: expected status 0 after SIGTERM, got {proxy.returncode}")
    lines = (folder / "log").read_text().splitlines()
    problems += [f"run: expected JSON, got {line!r}" for line in lines if not re.fullmatch(r"\{.*\}", line)]
    return problems


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        found = check_every_command(Path(name))
    for problem in found:
        print(problem)
    print(f"{len(leaf_commands(main))} commands run in a fresh environment, {len(found)} faults")
    sys.exit(1 if found else 0)
