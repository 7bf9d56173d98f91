"""Runs a program of the mesh as it is deployed, on an event loop that counts its traffic.

    python -m bench.scale.real_process PLAN PROGRAM LIMIT_S

PROGRAM is a module of `honeywharf.programs`, whose `main` runs unchanged with the settings file from the
environment. At the management port of its address it answers the bench's calls for counts and partitions.
PLAN is the plan's fields as JSON. The process ends after LIMIT_S seconds at the latest.
"""

from __future__ import annotations

import importlib
import json
import os
import sys
from pathlib import Path
from typing import Any

from bench.scale import messages
from bench.scale.counted_loop import CountedLoop
from bench.scale.messages import NodeSample
from bench.scale.plan import MANAGEMENT, Plan
from bench.scale.reach import Reach
from honeywharf.programs.start import SETTINGS_VARIABLE
from honeywharf.transport import event_loop as loop_module
from honeywharf.transport.rpc_server import RpcServer


def main(arguments: list[str]) -> int:
    """Runs the program; returns its exit status, or 0 after the time limit."""
    plan, program, limit_s = Plan(**json.loads(arguments[0])), arguments[1], float(arguments[2])
    settings = json.loads(Path(os.environ[SETTINGS_VARIABLE]).read_text("utf-8"))
    ip, internal_port = settings["ip-address"], settings["internal-port-range"][0]

    def counted_loop(directory: str | None) -> CountedLoop:
        loop = CountedLoop(directory, ip, internal_port, Reach(plan.zone_of))

        def sample(args: Any, reply: Any, peer: Any) -> None:
            loop.read_links()
            reply([NodeSample(-1, loop.traffic).packed()])

        def partition(args: Any, reply: Any, peer: Any) -> None:
            loop.reach.separate(frozenset(args[0]), frozenset(args[1]))
            loop.drop_separated()
            reply(True)

        server = RpcServer({messages.SAMPLE: sample, messages.PARTITION: partition})
        loop.listen((ip, plan.port(MANAGEMENT)), server.accept)
        loop.after(limit_s, lambda: loop.exit(0))
        return loop

    loop_module.EventLoop = counted_loop  # type: ignore[assignment,misc]
    status: int = importlib.import_module(f"honeywharf.programs.{program}").main()
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
