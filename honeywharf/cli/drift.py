"""`honeywharf drift`: the digests that each sidecar runs, drift reports, and the changes between versions.

Exit status: 0 every sidecar runs the ordered configuration; 1 a sidecar does not, or does not answer;
2 unknown (the arguments are invalid, or no control node answers).
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

ADDRESS_VARIABLE = "HONEYWHARF_CONTROL_NODE"
MAX_SHOWN_REPORTS = 20
HEALTHY_STATES = ("told", "applying", "agreed", "healed")

AddressOption = Annotated[
    str, cappa.Arg(long=True, help=f"A control node's control-plane address; default: ${ADDRESS_VARIABLE}.")
]
TimeoutOption = Annotated[float, cappa.Arg(long=True, help="Time-out of the call, in seconds.")]


def _get(at: str, path: str, within: float) -> tuple[int, bytes]:
    return call(at or os.environ.get(ADDRESS_VARIABLE, ""), "GET", path, b"", within)


def _get_overview(at: str, within: float) -> dict[str, Any]:
    """Returns the views of all sidecars. Raises MeshCallError without a valid answer."""
    status, body = _get(at, "/api/drift", within)
    if status != 200:
        raise MeshCallError(
            f"/api/drift: expected status 200, got {status}: {body[:200].decode('utf-8', 'backslashreplace')}"
        )
    overview = json.loads(body)
    if not isinstance(overview, dict):
        raise MeshCallError(f"the view: expected a JSON object, got {type(overview).__name__}")
    return overview


def _differing_branches(view: dict[str, Any], ordered: dict[str, Any]) -> list[str]:
    """Returns the branches of the digest tree in which a node differs from the committed configuration."""
    actual, expected = view.get("branches", {}), ordered.get("branches", {})
    return sorted(name for name in {*actual, *expected} if actual.get(name) != expected.get(name))


def format_overview(overview: dict[str, Any]) -> Iterator[str]:
    """Yields the lines of a table of all sidecars and the last drift reports."""
    ordered = overview["told"]
    parts = [f"{name} {ordered.get(name, '-')}" for name in ("revision", "version", "root", "digest")]
    yield f"told: {', '.join(parts)}"
    yield (
        f"{'node':<16} {'zone':<14} {'state':<12} {'for s':>8} {'rev':>6} {'version':>8} {'root':<17} refused"
    )
    for view in sorted(overview["views"], key=lambda node_view: str(node_view["node"])):
        mark = "" if not _differing_branches(view, ordered) else "  differs"
        yield (
            f"{view['node']:<16} {view['zone']:<14} {view['state']:<12} {view['for']:>8.1f} "
            f"{view['revision']:>6} {view['version']:>8} {view['root']:<17} {view['refused']}{mark}"
        )
    for node in overview["silent"]:
        yield f"{node:<16} does not answer"
    for reported_at, node, by, cause, revision in overview["slips"][-MAX_SHOWN_REPORTS:]:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(reported_at))
        yield f"slip {when} {node} at revision {revision}, found by {by}: {cause}"


def exit_status_of(overview: dict[str, Any]) -> int:
    """Returns the exit status for an overview: whether all sidecars run the ordered configuration."""
    has_deviation = overview["silent"] or any(
        view["state"] not in HEALTHY_STATES or _differing_branches(view, overview["told"])
        for view in overview["views"]
    )
    return NEGATIVE if has_deviation or not overview["told"] else SUCCESS


@cappa.command(name="show", help="Show what each sidecar runs, since when, and the last drift reports.")
@dataclass
class Show:
    """`drift show`."""

    at: AddressOption = ""
    within: TimeoutOption = 10.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        overview = _get_overview(self.at, self.within)
        for line in format_overview(overview):
            print(line)
        return exit_status_of(overview)


@cappa.command(name="explain", help="Show what one sidecar runs, what differs, and its drift reports.")
@dataclass
class Explain:
    """`drift explain NODE`."""

    node: Annotated[str, cappa.Arg(help="A sidecar's IPv4 address.")]
    at: AddressOption = ""
    within: TimeoutOption = 10.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        overview = _get_overview(self.at, self.within)
        view = next((node_view for node_view in overview["views"] if node_view["node"] == self.node), None)
        if view is None:
            print(f"{self.node}: {'does not answer' if self.node in overview['silent'] else 'not known'}")
            return NEGATIVE
        for line in format_view(view, overview):
            print(line)
        return exit_status_of({**overview, "views": [view], "silent": []})


def format_view(view: dict[str, Any], overview: dict[str, Any]) -> Iterator[str]:
    """Yields the lines that describe one node."""
    why = f": {view['why']}" if view["why"] else ""
    yield f"{view['node']} in {view['zone']} is {view['state']} for {view['for']:.1f} s{why}"
    yield f"runs revision {view['revision']}, configuration {view['version']}, digest {view['digest']}"
    if view["standing"]:
        yield "refuses mutating requests and uploads until it has healed"
    differing = _differing_branches(view, overview["told"])
    for name in differing:
        actual = view["branches"].get(name, "nothing")
        yield (
            f"differs in {name}: runs {actual},"
            f" told {overview['told'].get('branches', {}).get(name, 'nothing')}"
        )
    if not differing:
        yield "runs in every branch what a majority holds"
    caught = ", ".join(f"{by} {number}" for by, number in sorted(view["caught"].items()))
    yield f"slips found here by: {caught or 'none'}; requests refused for drift: {view['refused']}"
    for reported_at, by, cause in view["slips"]:
        yield f"slip {time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(reported_at))} by {by}: {cause}"


@cappa.command(name="between", help="Show what changed from one version to another.")
@dataclass
class Between:
    """`drift between r7 r12`."""

    before: Annotated[str, cappa.Arg(help="A version such as r7.")]
    after: Annotated[str, cappa.Arg(help="A version such as r12.")]
    at: AddressOption = ""
    within: TimeoutOption = 10.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        status, body = _get(self.at, f"/api/drift/between/{self.before}/{self.after}", self.within)
        print(body.decode("utf-8", "backslashreplace").rstrip("\n"))
        return SUCCESS if status == 200 else NEGATIVE


@cappa.command(name="honeywharf drift", help="Report whether every sidecar runs the ordered configuration.")
@dataclass
class Drift:
    """`honeywharf drift ...`."""

    command: cappa.Subcommands[Show | Explain | Between]


def main(arguments: list[str]) -> int:
    """Executes `honeywharf drift`, by default with `show`, and returns the exit status."""
    exit_status.use_absl_logging()
    command_line = arguments if arguments[:1] and not arguments[0].startswith("--") else ["show", *arguments]
    if arguments[:1] in (["--help"], ["-h"]):
        command_line = arguments
    return exit_status.run_command(
        lambda: cappa.parse(Drift, argv=command_line, completion=False).command(),
        exit_status.log_error,
        (ValueError, KeyError, MeshCallError),
    )
