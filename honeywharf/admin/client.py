"""One question to a running proxy's admin socket, and its answer; for the commands."""

from __future__ import annotations

import getpass
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from honeywharf.admin import protocol

WAIT_S = 3.0


class AdminError(Exception):
    """What the proxy said instead; `answered` is False where nobody did."""

    def __init__(self, words: str, answered: bool) -> None:
        super().__init__(words)
        self.answered = answered


def ask(path: Path, do: str, yes: bool = False, of: Mapping[str, str] | None = None) -> Any:
    """What the proxy answers; `AdminError` where it does not, or not that."""
    try:
        with socket.socket(socket.AF_UNIX) as line:
            line.settimeout(WAIT_S)
            line.connect(str(path))
            line.sendall(protocol.frame(protocol.Question(do, getpass.getuser(), yes, dict(of or {}))))
            with line.makefile("rb") as read:
                size = protocol.length(read.read(protocol.HEAD), protocol.MAX_ANSWER)
                answer = protocol.answer(read.read(size))
    except (OSError, protocol.ProtocolError) as fault:
        raise AdminError(str(fault), answered=False) from None
    if answer.fault:
        raise AdminError(answer.fault, answered=True)
    return answer.data
