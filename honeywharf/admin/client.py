"""The client of a running proxy's admin socket, for the command line."""

from __future__ import annotations

import getpass
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from honeywharf.admin import protocol

TIMEOUT_S = 3.0


class AdminError(Exception):
    """The command failed. `answered` is False if the proxy did not answer."""

    def __init__(self, message: str, answered: bool) -> None:
        super().__init__(message)
        self.answered = answered


def send_request(
    path: Path, command: str, confirmed: bool = False, arguments: Mapping[str, str] | None = None
) -> Any:
    """Sends one command and returns its result. Raises AdminError if it fails or there is no response."""
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(TIMEOUT_S)
            connection.connect(str(path))
            connection.sendall(
                protocol.encode_frame(
                    protocol.Request(command, getpass.getuser(), confirmed, dict(arguments or {}))
                )
            )
            with connection.makefile("rb") as stream:
                size = protocol.decode_length(stream.read(protocol.LENGTH_BYTES), protocol.MAX_RESPONSE_BYTES)
                response = protocol.decode_response(stream.read(size))
    except (OSError, protocol.ProtocolError) as fault:
        raise AdminError(str(fault), answered=False) from None
    if response.fault:
        raise AdminError(response.fault, answered=True)
    return response.data
