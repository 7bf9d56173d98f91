"""`honeywharf config show|diff|check` and `check-config`: a proxy's effective configuration and its files."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from honeywharf.cli.admin import JSON_OPTION, SOCKET_OPTION, admin_request
from honeywharf.cli.tables import print_data, print_table

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def config() -> None:
    """Show the configuration of a running proxy, and check files."""


def check_files(files: tuple[Path, ...]) -> None:
    """Prints the errors of each file, and exits with status 2 if there are any."""
    from honeywharf.config import features, node
    from honeywharf.proxy import feature_conflicts, feature_faults

    has_errors, features_files, node_files = False, [], []
    for path in files:
        errors: list[str] = []
        if path.suffix == ".toml":
            features_of_file, errors = features.read(path, feature_faults)
            features_files.append((path, features_of_file))
        else:
            try:
                node_files.append((path, node.load({"NODE_CONFIG": str(path)})))
            except node.ConfigError as error:
                errors = [f"{path}: {error}"]
        for message in errors:
            click.echo(message, err=True)
        if not errors:
            click.echo(f"{path}: good")
        has_errors = has_errors or bool(errors)
    for path, features_of_file in () if has_errors else features_files:
        text = path.read_text("utf-8")
        for conf_path, conf in node_files:
            from honeywharf.config.file_errors import parse_key_path, with_position

            for key, message in feature_conflicts(features_of_file, conf):
                full_message = f"{key}: {message} (with {conf_path})"
                click.echo(with_position(path, text, full_message, parse_key_path(key)), err=True)
                has_errors = True
    sys.exit(2 if has_errors else 0)


@config.command()
@click.argument("files", nargs=-1, required=True, type=EXISTING_FILE)
def check(files: tuple[Path, ...]) -> None:
    """Print all errors of files of features (.toml) and of the platform's configuration (.json).

    Each error comes with its position. With files of both kinds, contradictions between them are errors too.
    """
    check_files(files)


@click.command("check-config")
@click.argument("files", nargs=-1, required=True, type=EXISTING_FILE)
def check_config(files: tuple[Path, ...]) -> None:
    """Do the same as `config check`."""
    check_files(files)


@config.command()
@SOCKET_OPTION
@click.option("--all", "everything", is_flag=True, help="Also values that are defaults.")
@click.argument("section", default="")
@JSON_OPTION
def show(path: Path, everything: bool, section: str, as_json: bool) -> None:
    """Show a running proxy's values with their sources; SECTION, such as traces or node, selects some."""
    import msgspec

    from honeywharf.config import source

    shown_values = [
        v
        for v in source.with_sources(admin_request(path, "config"))
        if (v.key + ".").startswith(section + "." if section else "")
        and (everything or section or v.source != "default")
    ]
    print_data(
        [msgspec.to_builtins(v) for v in shown_values],
        as_json,
        lambda rows: print_table(
            [(r["key"], _format_value(r["value"]), r["source"]) for r in rows], ("key", "in force", "source")
        ),
    )
    sys.exit(0 if shown_values else 1)


@config.command()
@SOCKET_OPTION
@click.option("--features", type=EXISTING_FILE, help="A file of features; default: the proxy's own.")
@click.option(
    "--node", type=EXISTING_FILE, help="A file of the platform's configuration; default: the proxy's own."
)
@JSON_OPTION
def diff(path: Path, features: Path | None, node: Path | None, as_json: bool) -> None:
    """Show what files would change in a running proxy, and whether a reload (SIGHUP) or a start applies it.

    Exit status: 0 nothing would change; 1 something would; 2 a file is invalid.
    """
    import msgspec

    from honeywharf.config import features as features_module, node as node_module, source
    from honeywharf.proxy import feature_faults

    running = admin_request(path, "config")
    features_file, node_file = str(features or running["features_file"]), str(node or running["node_file"])
    try:
        new_values = source.values(
            node_module.load({"NODE_CONFIG": node_file}),
            features_module.load(Path(features_file), feature_faults) if features_file else None,
        )
    except (features_module.FeaturesError, node_module.ConfigError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    changes = source.differences(running["values"], new_values)
    print_data(
        [msgspec.to_builtins(d) for d in changes],
        as_json,
        lambda rows: (
            print_table(
                [
                    (
                        r["key"],
                        _format_value(r["held"]),
                        _format_value(r["wanted"]),
                        f"at the next {r['when']}",
                    )
                    for r in rows
                ],
                ("key", "in force", "in the files", "taken over"),
            )
            if rows
            else click.echo("nothing would change")
        ),
    )
    sys.exit(1 if changes else 0)


def _format_value(value: Any) -> str:
    """Returns a value as JSON, truncated to 60 characters, for a table."""
    import orjson

    text = "-" if value is None else orjson.dumps(value).decode()
    return text if len(text) <= 60 else text[:57] + "..."
