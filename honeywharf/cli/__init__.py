"""The command line: `honeywharf run|demo|check-config|version`. A command imports only what it needs."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from honeywharf.cli.admin import drain, endpoints, status, top
from honeywharf.cli.config import check_config, config
from honeywharf.cli.keys import keys, metrics
from honeywharf.cli.lab import lab
from honeywharf.cli.operation import activate, evacuate, exclude, include, readyz
from honeywharf.cli.tables import needed
from honeywharf.cli.traces import causes, explain, traces

FEATURES = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def main() -> None:
    """A zone-aware proxy and client-side load balancer."""


@main.command()
@click.option("--features", type=FEATURES, help="The file of features; HONEYWHARF_FEATURES names it else.")
def run(features: Path | None) -> None:
    """Run one proxy with the configuration that NODE_CONFIG names."""
    from honeywharf.proxy import run_proxy

    if features is not None:
        os.environ["HONEYWHARF_FEATURES"] = str(features)
    sys.exit(run_proxy())


@main.command()
@click.option("--seconds", type=click.FloatRange(4.0, 600.0), default=12.0, show_default=True)
@click.option(
    "--rate",
    type=click.FloatRange(1.0, 2000.0),
    default=300.0,
    show_default=True,
    help="Orders a second, over all zones.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--keys",
    "with_keys",
    is_flag=True,
    help="Show what order keys shared in Redis prevent: the same short day without them and with them.",
)
@click.option(
    "--coap",
    is_flag=True,
    help="Show orders by CoAP and HTTP clients over a bad network, without order keys and with them.",
)
@click.option(
    "--traces",
    "with_traces",
    is_flag=True,
    help="Show three tiers on sockets, and how one missing tile is followed from the complaint to its cause.",
)
@click.option(
    "--upgrade",
    is_flag=True,
    help="Show an upgrade, a ban and an evacuation under load, the four rules counted.",
)
@click.option(
    "--mesh",
    is_flag=True,
    help="Show a mesh of 3 control nodes and 5 sidecars: a change of routes, a"
    " drain and a kill, the rules counted.",
)
@click.option(
    "--gateway",
    is_flag=True,
    help="Show gateways between two regions that drain and die under uploads and print orders, counted.",
)
@click.option(
    "--drift",
    is_flag=True,
    help="Show five slips put into running sidecars, one after the other, each caught and healed.",
)
@click.option(
    "--storm",
    is_flag=True,
    help="Show an outage and the clients that come back, damped and not, in virtual time.",
)
def demo(
    seconds: float,
    rate: float,
    seed: int,
    with_keys: bool,
    coap: bool,
    with_traces: bool,
    upgrade: bool,
    mesh: bool,
    gateway: bool,
    drift: bool,
    storm: bool,
) -> None:
    """Play a small fleet on loopback, with a crash and a drain; status 0 where all four rules held."""
    if storm:
        needed("lab")
        from honeywharf.lab import demo as outage

        sys.exit(outage.show(seed, click.echo))
    if drift:
        from honeywharf.standins import driftdemo

        sys.exit(driftdemo.play(seconds, rate, seed, click.echo))
    if mesh:
        from honeywharf.standins import meshdemo

        sys.exit(meshdemo.play(seconds, rate, seed, click.echo))
    if gateway:
        from honeywharf.standins import gatewaydemo

        sys.exit(gatewaydemo.play(seed, click.echo))
    if upgrade:
        from honeywharf.standins import operation

        sys.exit(operation.show(rate, seed, click.echo))
    if with_traces:
        from honeywharf.standins import tracedemo

        sys.exit(tracedemo.show(seed, click.echo))
    from honeywharf.standins import demo as played

    if with_keys:
        needed("demo")
        sys.exit(played.play_keys(seconds, seed, click.echo))
    if coap:
        sys.exit(played.play_coap(seconds, seed, click.echo))
    sys.exit(played.play(seconds, rate, seed, click.echo))


for command in (
    lab,
    traces,
    causes,
    explain,
    status,
    top,
    endpoints,
    drain,
    check_config,
    config,
    keys,
    metrics,
    readyz,
    exclude,
    include,
    evacuate,
    activate,
):
    main.add_command(command)


@main.command("mesh", add_help_option=False, context_settings={"ignore_unknown_options": True})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def on_mesh(words: tuple[str, ...]) -> None:
    """Check files of the mesh, and give a running mesh its orders."""
    from honeywharf.cli.mesh import main as command

    sys.exit(command(list(words)))


@main.command("drift", add_help_option=False, context_settings={"ignore_unknown_options": True})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def on_drift(words: tuple[str, ...]) -> None:
    """Tell whether every sidecar of a mesh runs what was told."""
    from honeywharf.cli.drift import main as command

    sys.exit(command(list(words)))


@main.command("simulation", add_help_option=False, context_settings={"ignore_unknown_options": True})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def on_simulation(words: tuple[str, ...]) -> None:
    """Play days of the mesh in a simulated network, and check every rule."""
    from honeywharf.cli.simulation import main as command

    sys.exit(command(list(words)))


@main.command("mesh-store", add_help_option=False, context_settings={"ignore_unknown_options": True})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def on_mesh_store(words: tuple[str, ...]) -> None:
    """Look at a control node's disk, mend it, back its word up, and return one."""
    from honeywharf.cli.store import main as command

    sys.exit(command(list(words)))


@main.command()
def version() -> None:
    """Print the version."""
    from honeywharf import VERSION

    click.echo(f"honeywharf {VERSION}")
