"""`honeywharf keys show|forget` and `honeywharf metrics`: a running proxy's idempotency keys and metrics."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from honeywharf.cli.admin import JSON_OPTION, SOCKET_OPTION, admin_request
from honeywharf.cli.tables import print_data, print_json, print_table

TENANT_OPTION = click.option("--tenant", default="", help="The tenant, as in X-Account.")
CLASS_OPTION = click.option(
    "--class", "cls", default="", help="The request's class; default: the only keyed class."
)


@click.group()
def keys() -> None:
    """Inspect the idempotency keys of a running proxy (docs/operators/orderkeys.md)."""


@keys.command()
@SOCKET_OPTION
@click.argument("key", default="")
@TENANT_OPTION
@CLASS_OPTION
@JSON_OPTION
def show(path: Path, key: str, tenant: str, cls: str, as_json: bool) -> None:
    """Show how many keys are known, or the state of KEY: running, ended, or possibly executed."""
    of = {"key": key, "tenant": tenant, "class": cls} if key else {}
    print_data(admin_request(path, "keys", of=of), as_json, _print_key if key else _print_summary)


def _print_key(data: dict[str, Any]) -> None:
    for name, value in data.items():
        if value != "":
            click.echo(
                f"{name.replace('_', ' ')}: {value:.0f}"
                if isinstance(value, float)
                else f"{name.replace('_', ' ')}: {value}"
            )


def _print_summary(data: dict[str, Any]) -> None:
    limit = f" of {data['most']}" if "most" in data else ""
    click.echo(f"{data['keys']} keys{limit} in {data['bytes']} bytes, {data['waiting']} requests wait")
    for state, number in data.get("states", {}).items():
        click.echo(f"  {state}: {number}")
    print_table(
        [(tenant or "-", str(number)) for tenant, number in data["tenants"].items()], ("tenant", "keys")
    )


@keys.command()
@SOCKET_OPTION
@click.argument("key")
@TENANT_OPTION
@CLASS_OPTION
@click.option("--yes", is_flag=True, help="Skip the confirmation.")
def forget(path: Path, key: str, tenant: str, cls: str, yes: bool) -> None:
    """Forget a KEY whose request has ended. The proxy logs the user."""
    of = {"key": key, "tenant": tenant, "class": cls}
    if not yes:
        _print_key(admin_request(path, "keys", of=of))
        click.confirm(
            "A repeat of a key that is forgotten runs, and may be charged again. Forget it?", abort=True
        )
    admin_request(path, "keys forget", yes=True, of=of)
    click.echo("it is forgotten")


@click.command()
@SOCKET_OPTION
@JSON_OPTION
def metrics(path: Path, as_json: bool) -> None:
    """Print a running proxy's metrics in the OpenMetrics format, with exemplars that name kept traces."""
    data = admin_request(path, "metrics")
    if as_json:
        print_json(data)
    else:
        click.echo(data["text"], nl=False)
