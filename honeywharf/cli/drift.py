"""`honeywharf drift`: which sidecar runs what, since when, by digest; what slipped; what changed between two.

Exit status: 0 all run what was told; 1 somebody does not, or does not answer; 2 not known (a call that is
wrong, no control node that answers).
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from honeywharf.cli import exit_status
from honeywharf.cli.exit_status import NEGATIVE, SUCCESS, MeshCallError
from honeywharf.cli.mesh import call

VARIABLE = "HONEYWHARF_CONTROL_NODE"
SHOWN_SLIPS = 20
WELL = ("told", "applying", "agreed", "healed")

At = Annotated[str, cappa.Arg(long=True, help=f"A control node's control-plane address; else ${VARIABLE}.")]
Within = Annotated[float, cappa.Arg(long=True, help="Seconds to wait for the answer.")]


def _ask(at: str, path: str, within: float) -> tuple[int, bytes]:
    return call(at or os.environ.get(VARIABLE, ""), "GET", path, b"", within)


def _view(at: str, within: float) -> dict[str, Any]:
    """The view of all. WrongError where none comes."""
    status, body = _ask(at, "/api/drift", within)
    if status != 200:
        raise MeshCallError(f"no view: {status} {body[:200].decode('utf-8', 'backslashreplace')}")
    found = json.loads(body)
    if not isinstance(found, dict):
        raise MeshCallError("what came is no view")
    return found


def _differs(view: dict[str, Any], told: dict[str, Any]) -> list[str]:
    """Branches in which a node's live structures differ from what a majority holds."""
    mine, all_ = view.get("branches", {}), told.get("branches", {})
    return sorted(name for name in {*mine, *all_} if mine.get(name) != all_.get(name))


def lines(found: dict[str, Any]) -> Iterator[str]:
    """The view as a table, a line each."""
    told = found["told"]
    parts = [f"{name} {told.get(name, '-')}" for name in ("revision", "version", "root", "digest")]
    yield f"told: {', '.join(parts)}"
    yield (
        f"{'node':<16} {'zone':<14} {'state':<12} {'for s':>8} {'rev':>6} {'version':>8} {'root':<17} refused"
    )
    for view in sorted(found["views"], key=lambda one: str(one["node"])):
        mark = "" if not _differs(view, told) else "  differs"
        yield (
            f"{view['node']:<16} {view['zone']:<14} {view['state']:<12} {view['for']:>8.1f} "
            f"{view['revision']:>6} {view['version']:>8} {view['root']:<17} {view['refused']}{mark}"
        )
    for node in found["silent"]:
        yield f"{node:<16} does not answer"
    for wall, node, by, cause, revision in found["slips"][-SHOWN_SLIPS:]:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(wall))
        yield f"slip {when} {node} at revision {revision}, found by {by}: {cause}"


def judged(found: dict[str, Any]) -> int:
    """The exit status for a view: whether all run what was told."""
    bad = found["silent"] or any(
        view["state"] not in WELL or _differs(view, found["told"]) for view in found["views"]
    )
    return NEGATIVE if bad or not found["told"] else SUCCESS


@cappa.command(name="show", help="Tell which sidecar runs what, since when, and the last slips.")
@dataclass
class Show:
    """`drift show`."""

    at: At = ""
    within: Within = 10.0

    def __call__(self) -> int:
        """Exit status."""
        found = _view(self.at, self.within)
        for line in lines(found):
            print(line)
        return judged(found)


@cappa.command(name="explain", help="Tell what one sidecar runs, what differs, and its slips.")
@dataclass
class Explain:
    """`drift explain NODE`."""

    node: Annotated[str, cappa.Arg(help="A sidecar's IPv4 address.")]
    at: At = ""
    within: Within = 10.0

    def __call__(self) -> int:
        """Exit status."""
        found = _view(self.at, self.within)
        view = next((one for one in found["views"] if one["node"] == self.node), None)
        if view is None:
            print(f"{self.node}: {'does not answer' if self.node in found['silent'] else 'not known'}")
            return NEGATIVE
        for line in explained(view, found):
            print(line)
        return judged({**found, "views": [view], "silent": []})


def explained(view: dict[str, Any], found: dict[str, Any]) -> Iterator[str]:
    """One node's view, a line each."""
    why = f": {view['why']}" if view["why"] else ""
    yield f"{view['node']} in {view['zone']} is {view['state']} for {view['for']:.1f} s{why}"
    yield f"runs revision {view['revision']}, configuration {view['version']}, digest {view['digest']}"
    if view["standing"]:
        yield "refuses mutating requests and uploads until it has healed"
    differing = _differs(view, found["told"])
    for name in differing:
        mine = view["branches"].get(name, "nothing")
        yield f"differs in {name}: runs {mine}, told {found['told'].get('branches', {}).get(name, 'nothing')}"
    if not differing:
        yield "runs in every branch what a majority holds"
    caught = ", ".join(f"{by} {many}" for by, many in sorted(view["caught"].items()))
    yield f"slips found here by: {caught or 'none'}; requests refused for drift: {view['refused']}"
    for wall, by, cause in view["slips"]:
        yield f"slip {time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(wall))} by {by}: {cause}"


@cappa.command(name="between", help="Tell what changed from one version to another.")
@dataclass
class Between:
    """`drift between r7 r12`."""

    before: Annotated[str, cappa.Arg(help="A version such as r7.")]
    after: Annotated[str, cappa.Arg(help="A version such as r12.")]
    at: At = ""
    within: Within = 10.0

    def __call__(self) -> int:
        """Exit status."""
        status, body = _ask(self.at, f"/api/drift/between/{self.before}/{self.after}", self.within)
        print(body.decode("utf-8", "backslashreplace").rstrip("\n"))
        return SUCCESS if status == 200 else NEGATIVE


@cappa.command(name="honeywharf drift", help="Tell whether every sidecar runs what was told.")
@dataclass
class Drift:
    """`honeywharf drift ...`."""

    command: cappa.Subcommands[Show | Explain | Between]


def main(arguments: list[str]) -> int:
    """The command line behind `honeywharf drift`; without a word it is `show`. Exit status."""
    exit_status.use_absl_logging()
    words = arguments if arguments[:1] and not arguments[0].startswith("--") else ["show", *arguments]
    if arguments[:1] in (["--help"], ["-h"]):
        words = arguments
    return exit_status.run_command(
        lambda: cappa.parse(Drift, argv=words, completion=False).command(),
        exit_status.log_error,
        (ValueError, KeyError, MeshCallError),
    )
