"""`honeywharf config show|diff|check` and `check-config`: what is in force, since when, what would change."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from honeywharf.cli.admin import AT, JSON, ask
from honeywharf.cli.tables import shown, table

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def config() -> None:
    """What configuration a running proxy holds, and what is wrong with files."""


def checked(files: tuple[Path, ...]) -> None:
    """Tell what is wrong with each; exit status 2 where anything is."""
    from honeywharf.config import features, node
    from honeywharf.proxy import feature_conflicts, feature_faults

    wrong, made, confs = False, [], []
    for path in files:
        found: list[str] = []
        if path.suffix == ".toml":
            one, found = features.read(path, feature_faults)
            made.append((path, one))
        else:
            try:
                confs.append((path, node.load({"NODE_CONFIG": str(path)})))
            except node.ConfigError as fault:
                found = [f"{path}: {fault}"]
        for words in found:
            click.echo(words, err=True)
        if not found:
            click.echo(f"{path}: good")
        wrong = wrong or bool(found)
    for path, one in () if wrong else made:
        text = path.read_text("utf-8")
        for conf_path, conf in confs:
            from honeywharf.config.words import located, undotted

            for key, words in feature_conflicts(one, conf):
                told = f"{key}: {words} (with {conf_path})"
                click.echo(located(path, text, told, undotted(key)), err=True)
                wrong = True
    sys.exit(2 if wrong else 0)


@config.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
def check(files: tuple[Path, ...]) -> None:
    """Tell all that is wrong with files of features (.toml) and of the platform's configuration (.json), each
    with its place; given both, also what of one does not fit the other.
    """
    checked(files)


@click.command("check-config")
@click.argument("files", nargs=-1, required=True, type=FILE)
def check_config(files: tuple[Path, ...]) -> None:
    """The same as `config check`."""
    checked(files)


@config.command()
@AT
@click.option("--all", "everything", is_flag=True, help="Also what is as it is by default.")
@click.argument("section", default="")
@JSON
def show(path: Path, everything: bool, section: str, as_json: bool) -> None:
    """What a running proxy holds, and which file and line say so; of SECTION only, such as traces or node."""
    import msgspec

    from honeywharf.config import source

    found = [
        v
        for v in source.sourced(ask(path, "config"))
        if (v.key + ".").startswith(section + "." if section else "")
        and (everything or section or v.source != "default")
    ]
    shown(
        [msgspec.to_builtins(v) for v in found],
        as_json,
        lambda rows: table(
            [(r["key"], _said(r["value"]), r["source"]) for r in rows], ("key", "in force", "source")
        ),
    )
    sys.exit(0 if found else 1)


@config.command()
@AT
@click.option("--features", type=FILE, help="A file of features; the proxy's own else.")
@click.option("--node", type=FILE, help="A file of the platform's configuration; the proxy's own else.")
@JSON
def diff(path: Path, features: Path | None, node: Path | None, as_json: bool) -> None:
    """What files would change in a running proxy, and whether a reload (SIGHUP) takes it over or a start.

    Status 0 where nothing would change, 1 where something would, 2 where a file is bad.
    """
    import msgspec

    from honeywharf.config import features as of_features, node as of_node, source
    from honeywharf.proxy import feature_faults

    held = ask(path, "config")
    features_file, node_file = str(features or held["features_file"]), str(node or held["node_file"])
    try:
        wanted = source.values(
            of_node.load({"NODE_CONFIG": node_file}),
            of_features.load(Path(features_file), feature_faults) if features_file else None,
        )
    except (of_features.FeaturesError, of_node.ConfigError) as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    found = source.differences(held["values"], wanted)
    shown(
        [msgspec.to_builtins(d) for d in found],
        as_json,
        lambda rows: (
            table(
                [(r["key"], _said(r["held"]), _said(r["wanted"]), f"at the next {r['when']}") for r in rows],
                ("key", "in force", "in the files", "taken over"),
            )
            if rows
            else click.echo("nothing would change")
        ),
    )
    sys.exit(1 if found else 0)


def _said(value: Any) -> str:
    """A value in a table."""
    import orjson

    told = "-" if value is None else orjson.dumps(value).decode()
    return told if len(told) <= 60 else told[:57] + "..."
