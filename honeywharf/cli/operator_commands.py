"""`honeywharf readyz|exclude|include|evacuate|activate`: operators' commands to a running proxy.

They go to the proxy's operator address or to its admin socket.

Exit status: 0 the proxy executed the command; 1 it answered `ERR`; 2 the arguments are invalid; 3 the proxy
does not answer.
"""

from __future__ import annotations

import socket
import sys
from pathlib import Path

import click

TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 64 * 1024

OPERATOR_OPTION = click.option(
    "--operator",
    "where",
    envvar="NODE_OPERATOR",
    show_envvar=True,
    metavar="HOST:PORT",
    help="The proxy's address for operators.",
)
SOCKET_OPTION = click.option(
    "--socket",
    "path",
    type=click.Path(path_type=Path),
    envvar="HONEYWHARF_ADMIN",
    show_envvar=True,
    help="The proxy's admin socket, instead of that address: [admin] socket in its features.",
)


def send_line(where: str, line: str) -> str:
    """Returns the answer to one line. Raises OSError without an answer, ValueError for a bad address."""
    from honeywharf.core.transport import address

    with socket.create_connection(address(where), TIMEOUT_S) as connection:
        connection.settimeout(TIMEOUT_S)
        connection.sendall(line.encode() + b"\n")
        data = b""
        while (chunk := connection.recv(4096)) and len(data) < MAX_ANSWER_BYTES:
            data += chunk
    return data.decode("utf-8", "replace").strip()


def call(do: str, where: str | None, path: Path | None, name: str = "") -> None:
    """Sends a command to the operator address or the admin socket, prints the answer and exits."""
    if (where is None) == (path is None):
        raise click.UsageError("expected one of --operator and --socket, got both or neither")
    if path is not None:
        from honeywharf.cli.admin import admin_request

        click.echo(f"OK {admin_request(path, do, yes=True, of={'id': name} if name else None)}")
        return
    try:
        answer = send_line(str(where), f"{do} {name}".rstrip())
    except (OSError, ValueError) as error:
        click.echo(f"{where}: nobody answers: {error}", err=True)
        sys.exit(3)
    click.echo(answer or "nothing was said")
    sys.exit(0 if answer.startswith("OK") else 1)


@click.command()
@OPERATOR_OPTION
@SOCKET_OPTION
def readyz(where: str | None, path: Path | None) -> None:
    """Tell whether a proxy accepts clients."""
    call("readyz", where, path)


@click.command()
@OPERATOR_OPTION
@SOCKET_OPTION
@click.argument("backend")
def exclude(where: str | None, path: Path | None, backend: str) -> None:
    """Exclude a backend, whatever discovery reports, until it is included again."""
    call("exclude", where, path, backend)


@click.command()
@OPERATOR_OPTION
@SOCKET_OPTION
@click.argument("backend")
def include(where: str | None, path: Path | None, backend: str) -> None:
    """Use an excluded backend again; it begins with a slow start."""
    call("include", where, path, backend)


@click.command()
@OPERATOR_OPTION
@SOCKET_OPTION
def evacuate(where: str | None, path: Path | None) -> None:
    """Clear a proxy of clients within four seconds; the process stays and waits for `activate`."""
    call("evacuate", where, path)


@click.command()
@OPERATOR_OPTION
@SOCKET_OPTION
def activate(where: str | None, path: Path | None) -> None:
    """Return an evacuated proxy to service."""
    call("activate", where, path)
