"""The command line, `honeywharf COMMAND`. Each command imports only the modules that it needs."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from honeywharf.cli.admin import drain, endpoints, status, top
from honeywharf.cli.config import check_config, config
from honeywharf.cli.keys import keys, metrics
from honeywharf.cli.lab import lab
from honeywharf.cli.operator_commands import activate, evacuate, exclude, include, readyz
from honeywharf.cli.tables import require_packages
from honeywharf.cli.traces import causes, explain, traces

FEATURES = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def main() -> None:
    """A zone-aware proxy and client-side load balancer."""


@main.command()
@click.option(
    "--features", type=FEATURES, help="The file of features; default: the one that HONEYWHARF_FEATURES names."
)
def run(features: Path | None) -> None:
    """Run one proxy with the configuration file that NODE_CONFIG names."""
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
    help="Orders per second, over all zones.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--keys",
    "with_keys",
    is_flag=True,
    help="Show what order keys shared in Redis prevent: the same short run without them and with them.",
)
@click.option(
    "--coap",
    is_flag=True,
    help="Show orders by CoAP and HTTP clients over a lossy network, without order keys and with them.",
)
@click.option(
    "--traces",
    "with_traces",
    is_flag=True,
    help="Show three tiers on sockets, and how a missing tile is traced from the complaint to its cause.",
)
@click.option(
    "--upgrade",
    is_flag=True,
    help="Show an upgrade, an exclusion and an evacuation under load, with the four rules checked.",
)
@click.option(
    "--mesh",
    is_flag=True,
    help="Show a mesh of 3 control nodes and 5 sidecars: a change of routes, a"
    " drain and a kill, with the rules checked.",
)
@click.option(
    "--gateway",
    is_flag=True,
    help="Show gateways between two regions that drain and crash under uploads and print orders.",
)
@click.option(
    "--drift",
    is_flag=True,
    help="Show five drifts injected into running sidecars one after the other, each detected and repaired.",
)
@click.option(
    "--storm",
    is_flag=True,
    help="Show an outage and the clients that reconnect, with and without damping, in virtual time.",
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
    """Run a small fleet on loopback with a crash and a drain; exits with 0 if no rule is broken."""
    if storm:
        require_packages("lab")
        from honeywharf.lab import demo as storm_demo

        sys.exit(storm_demo.show(seed, click.echo))
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
    from honeywharf.standins import demo as fleet_demo

    if with_keys:
        require_packages("demo")
        sys.exit(fleet_demo.play_keys(seconds, seed, click.echo))
    if coap:
        sys.exit(fleet_demo.play_coap(seconds, seed, click.echo))
    sys.exit(fleet_demo.play(seconds, rate, seed, click.echo))


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
def mesh_command(words: tuple[str, ...]) -> None:
    """Check the mesh's files, and operate a running mesh."""
    from honeywharf.cli.mesh import main as command

    sys.exit(command(list(words)))


@main.command("drift", add_help_option=False, context_settings={"ignore_unknown_options": True})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def drift_command(words: tuple[str, ...]) -> None:
    """Report whether every sidecar of a mesh runs the ordered configuration."""
    from honeywharf.cli.drift import main as command

    sys.exit(command(list(words)))


@main.command("simulation", add_help_option=False, context_settings={"ignore_unknown_options": True})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def simulation_command(words: tuple[str, ...]) -> None:
    """Run the mesh in a simulated network, and check every rule."""
    from honeywharf.cli.simulation import main as command

    sys.exit(command(list(words)))


@main.command("mesh-store", add_help_option=False, context_settings={"ignore_unknown_options": True})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def mesh_store_command(words: tuple[str, ...]) -> None:
    """Check, repair, back up and restore a control node's disk."""
    from honeywharf.cli.store import main as command

    sys.exit(command(list(words)))


@main.command()
def version() -> None:
    """Print the version."""
    from honeywharf import VERSION

    click.echo(f"honeywharf {VERSION}")
