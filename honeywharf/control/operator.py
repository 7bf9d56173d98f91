"""The operator's calls: replace and describe a configuration, begin and end an evacuation.

A call is answered 200 only for what a majority holds on disk, 4xx for what will never be taken, and 503 where
no majority answers in time: then it may be in force or not, and the operator asks again, here or elsewhere.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable, Collection
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from honeywharf.control import mesh_state
from honeywharf.control.mesh_state import Value
from honeywharf.control.replica import Replica
from honeywharf.transport.matchers import NotAllowed, Tree

if TYPE_CHECKING:
    from result import Result

    from honeywharf.mesh_config.configuration import Configuration

    Check = Callable[[bytes], Result[Configuration, str]]

PATIENCE = 0.85  # s: the operator moves on after one second of silence
SIZE_RATE = 20e6  # bytes a second, by which larger bodies get more time
MOST_FAULT = 4096  # bytes of a refusal's words
PRESSED = 3  # zlib's level: 64 MB in some 0.6 s


class Asked(Protocol):
    """A whole call of HTTP (`transport/http_server.Call`)."""

    method: bytes
    path: bytes
    body: bytes

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """Answer, once, now or later."""


def _check(raw: bytes) -> Result[Configuration, str]:
    """The mesh_config's check, loaded at its first use: it takes 0.4 s of a small machine's start."""
    from honeywharf.mesh_config.configuration import check

    return check(raw)


class Operator:
    """Answers calls at the control plane's address. `port`: of the sidecars' control plane, for lost
    beats."""

    def __init__(self, replica: Replica, zones: Collection[str], port: int, check: Check = _check) -> None:
        self.replica, self.zones, self.port, self.check = replica, zones, port, check
        self.closing = False
        self.at_work = 0  # calls not answered yet
        self.tree = tree = Tree()
        tree.add("POST", "/api/configuration/replace", self._replace)
        tree.add("GET", "/api/configuration/describe", self._describe)
        tree.add("POST", "/api/evacuations/{zone}/start", partial(self._evacuate, True))
        tree.add("POST", "/api/evacuations/{zone}/complete", partial(self._evacuate, False))
        tree.add("POST", "/api/instances/{id}/heartbeat", self._elsewhere)
        tree.add("POST", "/api/instances/{id}/deregister", self._elsewhere)
        tree.add("GET", "/api/readiness", self._ready)

    def load(self) -> None:
        """Load what a check needs, before the first one waits for it."""
        self.check(b"{}")

    def take(self, call: Asked) -> None:
        """What a door wants."""
        if self.closing:
            call.answer(503, b"leaving", b"Retry-After: 0.1\r\n")
            return
        self.at_work += 1
        try:
            found = self.tree.find(call.method, call.path)
        except NotAllowed as told:
            self._answer(call, 405, b"", b"Allow: " + b", ".join(told.args[0]) + b"\r\n")
            return
        if found is None:
            self._answer(call, 404, b"no such path")
            return
        target, params = found
        target(call, **params)

    def _answer(self, call: Asked, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        self.at_work -= 1
        call.answer(status, body, lines)

    def answered(self, call: Asked, status: int, body: bytes) -> None:
        """Answer a call that another part has taken from the tree."""
        self._answer(call, status, body)

    def _unclear(self, call: Asked, result: str) -> None:
        self._answer(call, 503, f"no majority: {result}".encode(), b"Retry-After: 0.1\r\n")

    # Configurations.

    def _replace(self, call: Asked) -> None:
        checked = self.check(call.body)
        if checked.is_err():
            self._answer(call, 400, str(checked.err()).encode("utf-8", "replace")[:MOST_FAULT])
            return
        made = checked.unwrap()
        known = self.replica.known
        if known is not None and known["version"] >= made.version:
            self._taken(call, made.version)
            return
        within = PATIENCE + len(call.body) / SIZE_RATE
        self.replica.submit(
            mesh_state.replace(made.version, made.digest),
            within,
            partial(self._replaced, call, made.version),
            (made.digest, zlib.compress(made.text, PRESSED)),
        )

    def _replaced(self, call: Asked, version: int, result: str, answer: Any) -> None:
        if result == "ok":
            self._taken(call, version)
        else:
            self._unclear(call, result)

    def _taken(self, call: Asked, version: int) -> None:
        self._answer(call, 200, b'{"config-version":"r%d"}' % version)

    def _describe(self, call: Asked) -> None:
        self.replica.read(PATIENCE, partial(self._described, call))

    def _described(self, call: Asked, value: Value | None) -> None:
        if value is None:
            self._unclear(call, "unreachable")
        elif not value["digest"]:
            self._answer(call, 404, b"no configuration yet")
        else:
            self.replica.body(value["digest"], partial(self._text, call))

    def _text(self, call: Asked, packed: bytes | None) -> None:
        """The whole configuration, as it was sent."""
        if packed is None:
            self._unclear(call, "the configuration's text is out of reach")
        else:
            self._answer(call, 200, zlib.decompress(packed))

    # Evacuations.

    def _evacuate(self, begin: bool, call: Asked, zone: str) -> None:
        if zone not in self.zones:
            self._answer(call, 404, b"no such zone")
            return
        self.replica.submit(mesh_state.evacuate(zone, begin), PATIENCE, partial(self._evacuated, call))

    def _evacuated(self, call: Asked, result: str, answer: Any) -> None:
        if result == "ok":
            self._answer(call, 200 if answer else 409, b"{}")
        else:
            self._unclear(call, result)

    # What is not for this address.

    def _elsewhere(self, call: Asked, id: str) -> None:
        """A beat that has lost its way: the sidecar beside the backend takes it, at the port of ours."""
        try:
            ip = json.loads(call.body)["address"].rpartition(":")[0]
        except (ValueError, LookupError, TypeError, AttributeError):
            ip = ""
        if ip.count(".") != 3 or not ip.replace(".", "").isdigit():
            self._answer(call, 404, b"beats go to the proxy beside the backend")
            return
        where = f"Location: http://{ip}:{self.port}".encode() + call.path
        self._answer(call, 307, b"", where + b"\r\n")

    def _ready(self, call: Asked) -> None:
        self._answer(call, 200 if self.replica.known is not None else 503)
