"""`honeywharf keys show|forget` and `honeywharf metrics`: what a running proxy knows, and one change."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from honeywharf.cli.admin import JSON_OPTION, SOCKET_OPTION, admin_request
from honeywharf.cli.tables import print_data, print_json, print_table

TENANT = click.option("--tenant", default="", help="As X-Account has it.")
CLASS = click.option("--class", "cls", default="", help="The request's class; the only keyed one else.")


@click.group()
def keys() -> None:
    """Idempotency keys that a running proxy knows (docs/operators/orderkeys.md)."""


@keys.command()
@SOCKET_OPTION
@click.argument("key", default="")
@TENANT
@CLASS
@JSON_OPTION
def show(path: Path, key: str, tenant: str, cls: str, as_json: bool) -> None:
    """How many keys are known, or what is known of KEY: whether it runs, has run, or may have."""
    of = {"key": key, "tenant": tenant, "class": cls} if key else {}
    print_data(admin_request(path, "keys", of=of), as_json, _one if key else _all)


def _one(data: dict[str, Any]) -> None:
    for name, value in data.items():
        if value != "":
            click.echo(
                f"{name.replace('_', ' ')}: {value:.0f}"
                if isinstance(value, float)
                else f"{name.replace('_', ' ')}: {value}"
            )


def _all(data: dict[str, Any]) -> None:
    room = f" of {data['most']}" if "most" in data else ""
    click.echo(f"{data['keys']} keys{room} in {data['bytes']} bytes, {data['waiting']} requests wait")
    for state, number in data.get("states", {}).items():
        click.echo(f"  {state}: {number}")
    print_table(
        [(tenant or "-", str(number)) for tenant, number in data["tenants"].items()], ("tenant", "keys")
    )


@keys.command()
@SOCKET_OPTION
@click.argument("key")
@TENANT
@CLASS
@click.option("--yes", is_flag=True, help="Do not ask.")
def forget(path: Path, key: str, tenant: str, cls: str, yes: bool) -> None:
    """Have a settled KEY forgotten. The proxy's log tells who asked."""
    of = {"key": key, "tenant": tenant, "class": cls}
    if not yes:
        _one(admin_request(path, "keys", of=of))
        click.confirm(
            "A repeat of a key that is forgotten runs, and may be charged again. Forget it?", abort=True
        )
    admin_request(path, "keys forget", yes=True, of=of)
    click.echo("it is forgotten")


@click.command()
@SOCKET_OPTION
@JSON_OPTION
def metrics(path: Path, as_json: bool) -> None:
    """A running proxy's figures as they are scraped: OpenMetrics, with exemplars that name kept traces."""
    data = admin_request(path, "metrics")
    if as_json:
        print_json(data)
    else:
        click.echo(data["text"], nl=False)
