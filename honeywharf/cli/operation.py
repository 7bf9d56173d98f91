"""`honeywharf readyz|exclude|include|evacuate|activate`: operators' calls, at the second address or by the
admin socket.

Status 0 where the proxy did it, 1 where it said `ERR`, 2 where the call is wrong, 3 where nobody answers.
"""

from __future__ import annotations

import socket
import sys
from pathlib import Path

import click

WAIT_S = 2.0
MAX_ANSWER = 64 * 1024

AT = click.option(
    "--operator",
    "where",
    envvar="NODE_OPERATOR",
    show_envvar=True,
    metavar="HOST:PORT",
    help="The proxy's second address.",
)
SOCKET = click.option(
    "--socket",
    "path",
    type=click.Path(path_type=Path),
    envvar="HONEYWHARF_ADMIN",
    show_envvar=True,
    help="Its admin socket in place of that: [admin] socket in its features.",
)


def say(where: str, line: str) -> str:
    """What the proxy answers to one line; OSError where nobody does, ValueError where it is no address."""
    from honeywharf.core.transport import address

    with socket.create_connection(address(where), WAIT_S) as made:
        made.settimeout(WAIT_S)
        made.sendall(line.encode() + b"\n")
        data = b""
        while (part := made.recv(4096)) and len(data) < MAX_ANSWER:
            data += part
    return data.decode("utf-8", "replace").strip()


def call(do: str, where: str | None, path: Path | None, name: str = "") -> None:
    """Say it by the way that was given, and end with what came of it."""
    if (where is None) == (path is None):
        raise click.UsageError("found both --operator and --socket, or neither; wanted one of them")
    if path is not None:
        from honeywharf.cli.admin import ask

        click.echo(f"OK {ask(path, do, yes=True, of={'id': name} if name else None)}")
        return
    try:
        said = say(str(where), f"{do} {name}".rstrip())
    except (OSError, ValueError) as fault:
        click.echo(f"{where}: nobody answers: {fault}", err=True)
        sys.exit(3)
    click.echo(said or "nothing was said")
    sys.exit(0 if said.startswith("OK") else 1)


@click.command()
@AT
@SOCKET
def readyz(where: str | None, path: Path | None) -> None:
    """Whether a proxy's process takes clients."""
    call("readyz", where, path)


@click.command()
@AT
@SOCKET
@click.argument("backend")
def exclude(where: str | None, path: Path | None, backend: str) -> None:
    """Take a backend out by hand, whatever discovery says, until it is included again."""
    call("exclude", where, path, backend)


@click.command()
@AT
@SOCKET
@click.argument("backend")
def include(where: str | None, path: Path | None, backend: str) -> None:
    """Use a backend again that was taken out by hand; it counts as cold at first."""
    call("include", where, path, backend)


@click.command()
@AT
@SOCKET
def evacuate(where: str | None, path: Path | None) -> None:
    """Empty a proxy of clients within four seconds; it stays, and waits for `activate`."""
    call("evacuate", where, path)


@click.command()
@AT
@SOCKET
def activate(where: str | None, path: Path | None) -> None:
    """Bring a proxy back into service that was evacuated."""
    call("activate", where, path)
