"""The operators' HTTP API: replace and describe a configuration, begin and end an evacuation, and views.

A call is answered 200 only for a state that a majority has on disk, 4xx for a request that can never succeed,
and 503 if no majority answers in time: then the change may or may not be in force, and the operator retries
at this node or another one. Source: PROTOCOL, "The control plane"; RULES, CONFIG and EVAC.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable, Collection
from functools import partial
from typing import TYPE_CHECKING, Protocol

from honeywharf.control import mesh_state
from honeywharf.control.evacuation_calls import EvacuationCall
from honeywharf.control.members_view import members_view
from honeywharf.control.mesh_state import Confirmation, EvacuationOutcome, MeshState, Outcome
from honeywharf.control.register import QuorumResult
from honeywharf.control.register_queues import ConfigurationText
from honeywharf.control.replica import Replica
from honeywharf.transport.address import ipv4_of, redirect_line
from honeywharf.transport.url_matcher import MethodNotAllowedError, UrlMatcher

if TYPE_CHECKING:
    from result import Result

    from honeywharf.mesh_config.configuration import Configuration

    Check = Callable[[bytes], Result[Configuration, str]]

ANSWER_TIMEOUT_S = 0.85  # Operators try another node after one second without an answer.
BODY_BYTES_PER_S = 20e6  # Larger bodies get more time at this rate.
MAX_ERROR_BYTES = 4096  # The text of a rejection is cut to this size.
RETRY_SOON = b"Retry-After: 0.1\r\n"
RETRY_LATER = b"Retry-After: 60\r\n"
FORGOTTEN = b"the version is older than what is remembered: whether it was confirmed is not known"
REREAD_DELAY_S = 0.02  # The delay before a configuration is read again after its text was replaced.
COMPRESSION_LEVEL = 3  # This level of zlib compresses 64 MB in some 0.6 s.


class HttpCall(Protocol):
    """A complete HTTP call (`transport.http_server.Call`)."""

    method: bytes
    path: bytes
    body: bytes

    @property
    def takes_interim_responses(self) -> bool:
        """Whether the caller understands interim responses, so that `confirm_caller` may be used."""

    def confirm_caller(self, confirmed: Callable[[], None]) -> None:
        """Calls `confirmed` once it is known that the caller has waited for the answer after this call."""

    def answer(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """Answers the call, once, now or later. `lines` are further header lines, each with its line end."""


def _check(raw: bytes) -> Result[Configuration, str]:
    """Checks a configuration. The check is imported at its first use, because the import takes 0.4 s."""
    from honeywharf.mesh_config.configuration import check

    return check(raw)


def _conflict_body(answer: Confirmation) -> bytes:
    """Returns the body for a conflict: another content is confirmed under the version that was sent."""
    body = {
        "error": "another content is confirmed under this version",
        "config-version": f"r{answer.version}",
        "sent": answer.digest,
        "confirmed": answer.confirmed_digest,
    }
    return json.dumps(body).encode()


def _is_in_force(configuration: Configuration, state: MeshState | None) -> bool:
    """Returns whether a state has this version with this content in force."""
    if state is None:
        return False
    return (state.version, state.digest) == (configuration.version, configuration.digest)


class OperatorApi:
    """Answers HTTP calls at the control plane's address.

    `zones` are the zones that may be evacuated; `sidecar_port` is the port of the sidecars' control plane, to
    which a misdirected heartbeat of a backend is redirected.
    """

    def __init__(
        self, replica: Replica, zones: Collection[str], sidecar_port: int, check: Check = _check
    ) -> None:
        self.replica, self.zones, self.sidecar_port, self.check = replica, zones, sidecar_port, check
        self.is_shutting_down = False
        self.pending_calls = 0
        self.routes = routes = UrlMatcher()
        begin, end = partial(self._set_evacuation, True), partial(self._set_evacuation, False)
        self.majority_calls = [self._replace, self._describe, begin, end, self._readiness]
        routes.add("POST", "/api/configuration/replace", self._replace)
        routes.add("GET", "/api/configuration/describe", self._describe)
        routes.add("POST", "/api/evacuations/{zone}/start", begin)
        routes.add("POST", "/api/evacuations/{zone}/complete", end)
        routes.add("POST", "/api/instances/{id}/heartbeat", self._redirect_heartbeat)
        routes.add("POST", "/api/instances/{id}/deregister", self._redirect_heartbeat)
        routes.add("GET", "/api/readiness", self._readiness)
        routes.add("GET", "/api/members", self._members)

    def preload(self) -> None:
        """Imports the check of configurations, so that the first call does not wait for it."""
        self.check(b"{}")

    def handle(self, call: HttpCall) -> None:
        """Handles a call of the HTTP server; the answer may be sent later."""
        if self.is_shutting_down:
            call.answer(503, b"leaving", RETRY_SOON)
            return
        self.pending_calls += 1
        try:
            match = self.routes.find(call.method, call.path)
        except MethodNotAllowedError as other_methods:
            self.answer(call, 405, b"", b"Allow: " + b", ".join(other_methods.args[0]) + b"\r\n")
            return
        if match is None:
            self.answer(call, 404, b"no such path")
            return
        target, parameters = match
        if target in self.majority_calls and not self.replica.reaches_majority():
            # An immediate answer lets the caller try another node.
            self._answer_unavailable(call, QuorumResult.UNREACHABLE)
            return
        target(call, **parameters)

    def answer(self, call: HttpCall, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """Answers a call that `handle` has accepted; also used by other parts that add routes."""
        self.pending_calls -= 1
        call.answer(status, body, lines)

    def _answer_unavailable(self, call: HttpCall, result: QuorumResult) -> None:
        self.answer(call, 503, f"no majority: {result.value}".encode(), RETRY_SOON)

    # Configurations.

    def _replace(self, call: HttpCall) -> None:
        checked = self.check(call.body)
        if checked.is_err():
            self.answer(call, 400, str(checked.err()).encode("utf-8", "replace")[:MAX_ERROR_BYTES])
            return
        configuration = checked.unwrap()
        deadline = self.replica.host.now() + ANSWER_TIMEOUT_S + len(call.body) / BODY_BYTES_PER_S
        if _is_in_force(configuration, self.replica.known_state):
            self._read_confirmation(call, configuration, deadline)
        else:
            self._submit_configuration(call, configuration, deadline)

    def _read_confirmation(self, call: HttpCall, configuration: Configuration, deadline: float) -> None:
        """Confirms a configuration that this node knows to be in force, by a read from a majority.

        An operator repeats a call whose answer was late, and a write for each repetition would keep slow
        disks so busy that none is answered in time.
        """
        done = partial(self._confirmation_read, call, configuration, deadline)
        self.replica.read(deadline - self.replica.host.now(), done)

    def _confirmation_read(
        self, call: HttpCall, configuration: Configuration, deadline: float, state: MeshState | None
    ) -> None:
        if state is None:
            self._answer_unavailable(call, QuorumResult.UNREACHABLE)
        elif _is_in_force(configuration, state):
            self._answer_confirmed(call, configuration.version)
        else:
            self._submit_configuration(call, configuration, deadline)

    def _submit_configuration(self, call: HttpCall, configuration: Configuration, deadline: float) -> None:
        compressed = zlib.compress(configuration.text, COMPRESSION_LEVEL)
        self.replica.submit(
            mesh_state.replace_configuration(configuration.version, configuration.digest),
            deadline - self.replica.host.now(),
            partial(self._replaced, call),
            ConfigurationText(configuration.digest, compressed),
        )

    def _replaced(self, call: HttpCall, result: QuorumResult, answer: Confirmation | None) -> None:
        """Answers a call after its write has ended; `answer` is None if the write was not committed."""
        if answer is None:
            self._answer_unavailable(call, result)
        elif answer.outcome is Outcome.CONFLICT:
            self.answer(call, 409, _conflict_body(answer))
        elif answer.outcome is Outcome.FORGOTTEN:
            self.answer(call, 503, FORGOTTEN, RETRY_LATER)
        else:
            self._answer_confirmed(call, answer.version)

    def _answer_confirmed(self, call: HttpCall, version: int) -> None:
        self.answer(call, 200, b'{"config-version":"r%d"}' % version)

    def _describe(self, call: HttpCall) -> None:
        self._read(call, self.replica.host.now() + ANSWER_TIMEOUT_S)

    def _read(self, call: HttpCall, deadline: float) -> None:
        timeout = deadline - self.replica.host.now()
        self.replica.read(timeout, partial(self._described, call, deadline))

    def _described(self, call: HttpCall, deadline: float, state: MeshState | None) -> None:
        if state is None:
            self._answer_unavailable(call, QuorumResult.UNREACHABLE)
        elif not state.digest:
            self.answer(call, 404, b"no configuration yet")
        else:
            self.replica.get_text(state.digest, partial(self._answer_text, call, deadline))

    def _answer_text(self, call: HttpCall, deadline: float, compressed: bytes | None) -> None:
        """Answers with the configuration as it was sent.

        If the text of a later configuration has replaced it meanwhile, the state is read again.
        """
        if compressed is None and self.replica.host.now() < deadline:
            self.replica.host.after(REREAD_DELAY_S, partial(self._read, call, deadline))
        elif compressed is None:
            self.answer(call, 503, b"the configuration's text is out of reach", RETRY_SOON)
        else:
            self.answer(call, 200, zlib.decompress(compressed))

    # Evacuations.

    def _set_evacuation(self, begin: bool, call: HttpCall, zone: str) -> None:
        if zone not in self.zones:
            self.answer(call, 404, b"no such zone")
            return
        if not call.takes_interim_responses:
            self.answer(call, 505, b"expected HTTP/1.1, which has interim responses")
            return
        order = EvacuationCall(self.replica, zone, begin, call.confirm_caller, ANSWER_TIMEOUT_S)
        order.start(partial(self._evacuation_set, call))

    def _evacuation_set(
        self, call: HttpCall, result: QuorumResult, outcome: EvacuationOutcome | None
    ) -> None:
        if outcome is None:
            self._answer_unavailable(call, result)
        else:
            self.answer(call, 200 if outcome is EvacuationOutcome.IN_FORCE else 409, b"{}")

    # Other calls.

    def _redirect_heartbeat(self, call: HttpCall, id: str) -> None:
        """Redirects a misdirected heartbeat of a backend to the sidecar on the backend's machine."""
        try:
            ip = ipv4_of(json.loads(call.body)["address"])
        except (ValueError, LookupError, TypeError):
            ip = ""
        if ip:
            self.answer(call, 307, b"", redirect_line(ip, self.sidecar_port, call.path))
        else:
            self.answer(call, 404, b"beats go to the proxy beside the backend")

    def _members(self, call: HttpCall) -> None:
        """Answers with the membership as this node sees it; no quorum is needed, so it works without one."""
        self.answer(call, 200, json.dumps(members_view(self.replica)).encode())

    def _readiness(self, call: HttpCall) -> None:
        """Answers 200 if a quorum read succeeds now, so that this node can serve the current state."""
        self.replica.read(ANSWER_TIMEOUT_S, partial(self._answer_readiness, call))

    def _answer_readiness(self, call: HttpCall, state: MeshState | None) -> None:
        self.answer(call, 503 if state is None else 200)
