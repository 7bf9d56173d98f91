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

from honeywharf.control import members_view, mesh_state
from honeywharf.control.mesh_state import Confirmation, MeshState, Outcome
from honeywharf.control.register import Result
from honeywharf.control.replica import Replica
from honeywharf.transport.matchers import NotAllowed, Tree

if TYPE_CHECKING:
    from result import Result as Checked

    from honeywharf.mesh_config.configuration import Configuration

    Check = Callable[[bytes], Checked[Configuration, str]]

PATIENCE_S = 0.85  # s: the operator moves on after one second of silence
SIZE_RATE = 20e6  # bytes a second, by which larger bodies get more time
MAX_FAULT = 4096  # bytes of a refusal's words
RETRY = b"Retry-After: 0.1\r\n"
LATER = b"Retry-After: 60\r\n"
FORGOTTEN = b"the version is older than what is remembered: whether it was confirmed is not known"
REREAD_S = 0.02  # before a configuration is read again whose text was displaced
PRESSED = 3  # zlib's level: 64 MB in some 0.6 s


class Asked(Protocol):
    """A whole call of HTTP (`transport/http_server.Call`)."""

    method: bytes
    path: bytes
    body: bytes

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """Answer, once, now or later."""


def _check(raw: bytes) -> Checked[Configuration, str]:
    """The mesh_config's check, loaded at its first use: it takes 0.4 s of a small machine's start."""
    from honeywharf.mesh_config.configuration import check

    return check(raw)


def _conflict(answer: Confirmation) -> bytes:
    """What is told of another content under a version that was confirmed."""
    told = {
        "error": "another content is confirmed under this version",
        "config-version": f"r{answer.version}",
        "sent": answer.digest,
        "confirmed": answer.confirmed,
    }
    return json.dumps(told).encode()


class Operator:
    """Answers calls at the control plane's address. `port`: of the sidecars' control plane, for lost
    beats."""

    def __init__(self, replica: Replica, zones: Collection[str], port: int, check: Check = _check) -> None:
        self.replica, self.zones, self.port, self.check = replica, zones, port, check
        self.closing = False
        self.at_work = 0  # calls not answered yet
        self.tree = tree = Tree()
        begin, end = partial(self._evacuate, True), partial(self._evacuate, False)
        self.wants_majority = [self._replace, self._describe, begin, end, self._ready]
        tree.add("POST", "/api/configuration/replace", self._replace)
        tree.add("GET", "/api/configuration/describe", self._describe)
        tree.add("POST", "/api/evacuations/{zone}/start", begin)
        tree.add("POST", "/api/evacuations/{zone}/complete", end)
        tree.add("POST", "/api/instances/{id}/heartbeat", self._elsewhere)
        tree.add("POST", "/api/instances/{id}/deregister", self._elsewhere)
        tree.add("GET", "/api/readiness", self._ready)
        tree.add("GET", "/api/members", self._members)

    def load(self) -> None:
        """Load what a check needs, before the first one waits for it."""
        self.check(b"{}")

    def take(self, call: Asked) -> None:
        """What a door wants."""
        if self.closing:
            call.answer(503, b"leaving", RETRY)
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
        if target in self.wants_majority and not self.replica.in_contact():
            self._unclear(call, Result.UNREACHABLE)  # at once: the caller goes on to another one
            return
        target(call, **params)

    def _answer(self, call: Asked, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        self.at_work -= 1
        call.answer(status, body, lines)

    def answered(self, call: Asked, status: int, body: bytes) -> None:
        """Answer a call that another part has taken from the tree."""
        self._answer(call, status, body)

    def _unclear(self, call: Asked, result: Result) -> None:
        self._answer(call, 503, f"no majority: {result.value}".encode(), RETRY)

    # Configurations.

    def _replace(self, call: Asked) -> None:
        checked = self.check(call.body)
        if checked.is_err():
            self._answer(call, 400, str(checked.err()).encode("utf-8", "replace")[:MAX_FAULT])
            return
        made = checked.unwrap()
        within = PATIENCE_S + len(call.body) / SIZE_RATE
        self.replica.submit(
            mesh_state.replace(made.version, made.digest),
            within,
            partial(self._replaced, call),
            (made.digest, zlib.compress(made.text, PRESSED)),
        )

    def _replaced(self, call: Asked, result: Result, answer: Any) -> None:
        """A round is over; `answer` is a `Confirmation` where it was committed."""
        if result is not Result.OK:
            self._unclear(call, result)
        elif answer.outcome is Outcome.CONFLICT:
            self._answer(call, 409, _conflict(answer))
        elif answer.outcome is Outcome.FORGOTTEN:
            self._answer(call, 503, FORGOTTEN, LATER)
        else:
            self._answer(call, 200, b'{"config-version":"r%d"}' % answer.version)

    def _describe(self, call: Asked) -> None:
        self._read(call, self.replica.host.now() + PATIENCE_S)

    def _read(self, call: Asked, deadline: float) -> None:
        within = deadline - self.replica.host.now()
        self.replica.read(within, partial(self._described, call, deadline))

    def _described(self, call: Asked, deadline: float, state: MeshState | None) -> None:
        if state is None:
            self._unclear(call, Result.UNREACHABLE)
        elif not state.digest:
            self._answer(call, 404, b"no configuration yet")
        else:
            self.replica.text(state.digest, partial(self._text, call, deadline))

    def _text(self, call: Asked, deadline: float, packed: bytes | None) -> None:
        """The whole configuration, as it was sent; read anew where a later one has displaced it meanwhile."""
        if packed is None and self.replica.host.now() < deadline:
            self.replica.host.after(REREAD_S, partial(self._read, call, deadline))
        elif packed is None:
            self._answer(call, 503, b"the configuration's text is out of reach", RETRY)
        else:
            self._answer(call, 200, zlib.decompress(packed))

    # Evacuations.

    def _evacuate(self, begin: bool, call: Asked, zone: str) -> None:
        if zone not in self.zones:
            self._answer(call, 404, b"no such zone")
            return
        self.replica.submit(mesh_state.evacuate(zone, begin), PATIENCE_S, partial(self._evacuated, call))

    def _evacuated(self, call: Asked, result: Result, answer: Any) -> None:
        if result is Result.OK:
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

    def _members(self, call: Asked) -> None:
        """The membership as this one sees it; no majority is asked, so that it answers when that is lost."""
        self._answer(call, 200, json.dumps(members_view.view(self.replica)).encode())

    def _ready(self, call: Asked) -> None:
        """Ready: a majority answers now, and holds what this one would tell."""
        self.replica.read(PATIENCE_S, partial(self._read_for_readiness, call))

    def _read_for_readiness(self, call: Asked, state: MeshState | None) -> None:
        self._answer(call, 503 if state is None else 200)
