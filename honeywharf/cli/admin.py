"""`honeywharf status|top|endpoints|drain`: ask a running proxy over its admin socket.

Status 0 where it answered, 1 where it did not do what was asked, 2 where the call is wrong, 3 where nobody
answers.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from honeywharf.cli.tables import needed, shown, table

AT = click.option(
    "--socket",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    envvar="HONEYWHARF_ADMIN",
    show_envvar=True,
    help="The proxy's admin socket: [admin] socket in its features.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="JSON.")


def ask(path: Path, do: str, yes: bool = False, of: Mapping[str, str] | None = None) -> Any:
    """What the proxy answers; the command ends where there is no answer."""
    from honeywharf.admin import client

    try:
        return client.send_request(path, do, yes, of)
    except client.AdminError as fault:
        click.echo(f"{path}: {fault}" if fault.answered else f"{path}: nobody answers: {fault}", err=True)
        sys.exit(1 if fault.answered else 3)


@click.command()
@AT
@JSON
def status(path: Path, as_json: bool) -> None:
    """A running proxy in a few figures: zones with their limits, servers by state, refusals by reason."""
    shown(ask(path, "status"), as_json, _status)


def _status(data: dict[str, Any]) -> None:
    click.echo(
        f"{data['name']} in {data['zone']}: {'ready' if data['ready'] else 'not ready'},"
        f" {data['open']} requests open, {data['retry_budget']:.1f} further attempts left"
    )
    if data["storms"]:
        click.echo(data["storms"])
    click.echo(", ".join(f"{n} {state}" for state, n in sorted(data["endpoints"].items())) or "no endpoints")
    table(
        [
            (
                ("*" if z["own"] else " ") + z["zone"],
                f"{z['limit']:.1f}",
                str(z["in_flight"]),
                str(z["ready"]),
                str(z["ejected"]),
                "yes" if z["crowded"] else "",
                f"{z['open']:.2f}" if "open" in z else "-",
            )
            for z in data["zones"]
        ],
        ("zone", "limit", "in flight", "ready", "ejected", "crowded", "reports"),
    )
    table([(k, str(v)) for k, v in sorted(data["counts"].items())], ("count", "since the start"))


@click.command()
@AT
@click.option("--zone", help="Only those of one zone.")
@click.option("--out", is_flag=True, help="Only those that are ejected, with why and for how long.")
@JSON
def endpoints(path: Path, zone: str | None, out: bool, as_json: bool) -> None:
    """The servers that a running proxy knows, and what it makes of them."""
    data = ask(path, "endpoints")
    data["endpoints"] = [
        e for e in data["endpoints"] if (zone is None or e["zone"] == zone) and (not out or "why" in e)
    ]
    shown(data, as_json, _endpoints)


def _endpoints(data: dict[str, Any]) -> None:
    table(
        [
            (
                e["endpoint"],
                e["zone"],
                e["state"],
                str(e["calls"]),
                f"{e['share']:.2f}",
                f"{e['pace']:.2f}",
                f"{e['why']}, {e['out_for_ms'] / 1000.0:.1f} s more" if "why" in e else "",
            )
            for e in data["endpoints"]
        ],
        ("endpoint", "zone", "state", "calls", "share", "pace", "why"),
    )
    if data["number"] > len(data["endpoints"]):
        click.echo(f"{len(data['endpoints'])} of {data['number']}", err=True)


@click.command()
@AT
@click.option("--yes", is_flag=True, help="Do not ask.")
def drain(path: Path, yes: bool) -> None:
    """Take a running proxy out of service: it finishes what it holds, and ends."""
    if not yes:
        click.confirm(f"The proxy at {path} ends when it has finished what it holds. Drain it?", abort=True)
    ask(path, "drain", yes=True)
    click.echo("it drains")


@click.command()
@AT
def top(path: Path) -> None:
    """A running proxy, looked at each second: zones, refusals by reason, who is out, why and until when."""
    needed("ops")
    if not sys.stdout.isatty():
        raise click.ClickException("found no terminal at standard output, wanted one; `status` needs none")
    from honeywharf.cli import screen

    screen.show(path)
