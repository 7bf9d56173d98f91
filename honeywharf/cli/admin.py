"""`honeywharf status|top|endpoints|drain`: requests to a running proxy over its admin socket.

Exit status: 0 the proxy answered; 1 it refused the request; 2 the arguments are invalid; 3 the proxy does not
answer.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from honeywharf.cli.tables import print_data, print_table, require_packages

SOCKET_OPTION = click.option(
    "--socket",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    envvar="HONEYWHARF_ADMIN",
    show_envvar=True,
    help="The proxy's admin socket: [admin] socket in its features.",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def admin_request(path: Path, do: str, yes: bool = False, of: Mapping[str, str] | None = None) -> Any:
    """Sends a request to the proxy and returns its answer; exits if it refuses or does not answer."""
    from honeywharf.admin import client

    try:
        return client.send_request(path, do, yes, of)
    except client.AdminError as error:
        click.echo(f"{path}: {error}" if error.answered else f"{path}: nobody answers: {error}", err=True)
        sys.exit(1 if error.answered else 3)


@click.command()
@SOCKET_OPTION
@JSON_OPTION
def status(path: Path, as_json: bool) -> None:
    """Show a running proxy's zones with their limits, its servers by state and its refusals by reason."""
    print_data(admin_request(path, "status"), as_json, _print_status)


def _print_status(data: dict[str, Any]) -> None:
    click.echo(
        f"{data['name']} in {data['zone']}: {'ready' if data['ready'] else 'not ready'},"
        f" {data['open']} requests open, {data['retry_budget']:.1f} further attempts left"
    )
    if data["storms"]:
        click.echo(data["storms"])
    click.echo(", ".join(f"{n} {state}" for state, n in sorted(data["endpoints"].items())) or "no endpoints")
    print_table(
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
    print_table([(k, str(v)) for k, v in sorted(data["counts"].items())], ("count", "since the start"))


@click.command()
@SOCKET_OPTION
@click.option("--zone", help="Only the servers of this zone.")
@click.option("--out", is_flag=True, help="Only ejected servers, with the reason and the time left.")
@JSON_OPTION
def endpoints(path: Path, zone: str | None, out: bool, as_json: bool) -> None:
    """List the servers that a running proxy knows, with their states and shares."""
    data = admin_request(path, "endpoints")
    data["endpoints"] = [
        e for e in data["endpoints"] if (zone is None or e["zone"] == zone) and (not out or "why" in e)
    ]
    print_data(data, as_json, _print_endpoints)


def _print_endpoints(data: dict[str, Any]) -> None:
    print_table(
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
@SOCKET_OPTION
@click.option("--yes", is_flag=True, help="Skip the confirmation.")
def drain(path: Path, yes: bool) -> None:
    """Drain a running proxy: it completes its pending requests, then exits."""
    if not yes:
        click.confirm(f"The proxy at {path} ends when it has finished what it holds. Drain it?", abort=True)
    admin_request(path, "drain", yes=True)
    click.echo("it drains")


@click.command()
@SOCKET_OPTION
def top(path: Path) -> None:
    """Watch a running proxy: its zones, its refusals by reason, its ejected servers, updated each second."""
    require_packages("ops")
    if not sys.stdout.isatty():
        raise click.ClickException("standard output: expected a terminal, got none; `status` needs none")
    from honeywharf.cli import screen

    screen.show(path)
