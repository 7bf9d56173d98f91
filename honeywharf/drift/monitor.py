"""The drift monitor of one sidecar: checks requests at the source and at the destination.

Theory of operation. The sidecar calls `check_route` and `check_service` for each request at its source, sends
`rule_digest` with the request, and calls `admits` at its destination. It calls `configuration_changed` after
each change of the configuration state. `remediation` handles drift that was found, and `periodic_scan`
compares in the background. A claim by one peer does not make a node suspect: the node scans itself.

Bounds: at most `MAX_WAITING` requests wait for a state from another node, each for at most `HOLD_TIMEOUT_S`,
and fetches are limited in rate.
"""

from __future__ import annotations

from honeywharf.drift import destination_check, scan, states
from honeywharf.drift.periodic_scan import CONFIRM_INTERVAL_S, HOLD_TIMEOUT_S, STALL_S, PeriodicScan
from honeywharf.drift.reference_parser import ReferenceTable, possible_services
from honeywharf.drift.remediation import MAX_RELAPSES, unpack_text
from honeywharf.verdict import DRIFT

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from honeywharf.mesh_config.routes import Route
    from honeywharf.programs.sidecar import Sidecar
    from honeywharf.sidecar.inbound import InboundRequest
    from honeywharf.sidecar.outbound_request import OutboundRequest
    from honeywharf.transport.host import Address

FETCH_RETRY_S = 0.03  # The delay of the next attempt after a failed fetch.
MAX_WAITING = 256
# A disagreement on a rule counts if at least this many peers report it within the window.
MIN_DISAGREEING_PEERS, DISAGREEMENT_WINDOW_S = 2, 5.0


def _printable(host: bytes, path: bytes) -> str:
    return (host + path).decode("latin-1")[:80]


class DriftMonitor(PeriodicScan):
    """Checks the requests of one sidecar."""

    def __init__(self, sidecar: Sidecar) -> None:
        super().__init__(sidecar)
        self.check_count = self.sample_count = 0
        self.fetching = False
        self.fetch_count, self.fetch_started_at = 0, self.host.now()  # Number and start of the last fetch.
        self.waiting_outbound_requests: list[OutboundRequest] = []  # These are routed again after the fetch.
        self.waiting_inbound_requests: list[InboundRequest] = []  # These wait for a state from another node.
        self.disagreeing_peers: dict[str, tuple[bytes, float]] = {}  # The rule that each rejected, and when.

    # At the source.

    def check_route(self, host: bytes, path: bytes, route: Route | None) -> tuple[Route | None, float]:
        """Returns the route by both parsers and 0, or a refused client's delay before a retry in seconds."""
        reference, configuration = self.reference, self.configuration
        if (
            self.scanning
            and configuration.table is not None
            and configuration.table.version != configuration.version
        ):
            self.report_drift(
                "scan",
                f"r{configuration.table.version} decides, stored is r{configuration.version}",
            )
            route = configuration.find(host, path)
        strict = route is None or not route.is_idempotent
        if (
            self.reading
            and reference is not None
            and (strict or self._is_sampled_read())
            and not self._parsers_agree(host, path, route)
        ):
            found = "none" if route is None else route.name
            self.report_drift("reading", f"{_printable(host, path)} takes {found}")
            route = self.configuration.find(host, path)
            if not self._parsers_agree(host, path, route):
                return route, self._count_refusal()
        if self.quarantine_active and route is not None and not route.is_idempotent and self._may_refuse():
            return route, self._count_refusal()
        return route, 0.0

    def _parsers_agree(self, host: bytes, path: bytes, route: Route | None) -> bool:
        """Whether both parsers find the same rule for a request."""
        rule = b"" if route is None else self.digest_cache.digest_of(route)
        return self.reference is not None and self.reference.find_rule(host, path)[0] == rule

    def _is_sampled_read(self) -> bool:
        self.sample_count += 1
        return not self.sample_count % destination_check.READ_SAMPLE_INTERVAL

    def _count_refusal(self) -> float:
        self.refused_requests += 1
        return self.state.retry_delay_s()

    def check_service(self, route: Route, draw: float, service: str) -> str:
        """Returns the service for a request after checking it by the same draw."""
        if not self.reading or (len(route.split) == 1 and service == route.split[0][0]):
            return service
        found = possible_services(route.split, draw)
        if service in found or not found:
            return service
        self.report_drift("reading", f"{route.name} drew {service}")
        return found[0]

    def rule_digest(self, route: Route) -> bytes:
        """Returns the digest of the rule that decided, which is sent with the request."""
        return self.digest_cache.digest_of(route)

    def refresh_and_retry(self, outbound_request: OutboundRequest, peer: str) -> None:
        """After a peer's refusal by its own rule, fetches its state and then routes the request again."""
        source_revision = outbound_request.revision
        if (
            len(self.waiting_outbound_requests) >= MAX_WAITING
            or peer == self.sidecar.settings.ip
            or source_revision < self.configuration.revision
        ):
            self.host.after(0.0, outbound_request.reroute)
            return
        self.waiting_outbound_requests.append(outbound_request)
        if not self.fetching:
            self._begin_fetch()
            rule = self.digest_cache.digest_of(outbound_request.route)
            self._fetch(
                (peer, self.sidecar.settings.internal_ports[0]),
                lambda value: self._on_peer_state(peer, source_revision, rule, value),
            )

    def _on_peer_state(self, peer: str, source_revision: int, rule: bytes, value: Any) -> None:
        """Handles a peer's state. If it is not newer than this node's, one of the two nodes has drifted."""
        if isinstance(value, dict) and value.get("rev", 0) > self.configuration.revision:
            return
        if (
            not self.scan_if_due("judge", f"{peer} decides otherwise")
            and isinstance(value, dict)
            and (value.get("rev") == self.configuration.revision == source_revision)
        ):
            self._record_disagreement(peer, rule)
        self._release_waiting()

    def confirm_rule(self, rule: bytes, peer: str) -> None:
        """Drops disagreements on a rule by which a peer has run a request that must not run twice."""
        if peer != self.sidecar.settings.ip:
            self.disagreeing_peers = {
                node: (rejected, at)
                for node, (rejected, at) in self.disagreeing_peers.items()
                if rejected != rule
            }

    def _record_disagreement(self, peer: str, rule: bytes) -> None:
        """Records that a peer uses another rule while a scan of this node has found nothing.

        It counts as drift if `MIN_DISAGREEING_PEERS` such peers report it. A quarantined peer is ignored,
        and a disagreement counts only until another peer runs a request by the rule (`confirm_rule`).
        """
        now, entry = self.host.now(), self.sidecar.membership.entries().get(peer)
        if entry is not None and entry.attributes is not None and entry.attributes.get("q"):
            return
        self.disagreeing_peers = {
            node: (rejected, at)
            for node, (rejected, at) in self.disagreeing_peers.items()
            if now - at < DISAGREEMENT_WINDOW_S
        }
        self.disagreeing_peers[peer] = rule, now
        if sum(rejected == rule for rejected, _ in self.disagreeing_peers.values()) >= MIN_DISAGREEING_PEERS:
            self.disagreeing_peers.clear()
            self.relapses = MAX_RELAPSES  # The tables match the text, so a rebuild would not help.
            self.report_drift(
                "peers",
                f"{MIN_DISAGREEING_PEERS} gates decide otherwise by the same word, {peer} the last",
            )

    def _release_waiting(self) -> None:
        now = self.host.now()
        if now - self.fetch_started_at < STALL_S:
            self.is_unconfirmed, self.last_alive_at = False, now
        self.fetching = False
        outbound_requests, self.waiting_outbound_requests = self.waiting_outbound_requests, []
        for outbound_request in outbound_requests:
            outbound_request.reroute()
        inbound_requests, self.waiting_inbound_requests = self.waiting_inbound_requests, []
        for inbound_request in inbound_requests:
            if not inbound_request.is_over and self._check_request(inbound_request, True):
                inbound_request.admit_or_reject()

    # At the destination.

    def admits(self, inbound_request: InboundRequest) -> bool:
        """Whether a request may go on to the gate. Otherwise it is refused, or waits for a fetched state."""
        return self._check_request(inbound_request, False)

    def _check_request(self, inbound_request: InboundRequest, verified: bool) -> bool:
        forwarded_request, now = inbound_request.forwarded, self.host.now()
        host, path = (
            destination_check.host_of(forwarded_request.fields),
            forwarded_request.target.partition(b"?")[0],
        )
        route = self.configuration.find(host, path)
        strict = forwarded_request.kind != 0 or (route is not None and not route.is_idempotent)
        if strict and self.quarantine_active and self._may_refuse():
            return self._refuse_request(inbound_request, self.state.retry_delay_s())
        if strict and self.judging and not verified and now - self.last_alive_at > STALL_S:
            return self._hold(inbound_request, None)
        if strict and self.scanning and (fault := scan.small_parts(self.sidecar)):
            self.report_drift("scan", fault)
        if not forwarded_request.peer:
            if strict and self.judging and self.is_unconfirmed and not verified:
                # No other sidecar checks this request, so a control node has to confirm the state first.
                return self._hold(inbound_request, None)
            return self._check_local_request(inbound_request, host, path)
        if not self.judging or (not strict and self._is_unsampled()):
            return True
        outcome = self._outcome(inbound_request, route)
        if outcome == destination_check.CONFLICT and self.scan_if_due(
            "judge", f"{forwarded_request.peer} decides otherwise"
        ):
            outcome = self._outcome(inbound_request, self.configuration.find(host, path))
        if outcome == destination_check.RUN:
            return True
        if outcome == destination_check.VERIFY_FIRST and not verified:
            return self._hold(
                inbound_request, (forwarded_request.peer, self.sidecar.settings.internal_ports[0])
            )
        return self._refuse_request(
            inbound_request, 0.0 if outcome != destination_check.VERIFY_FIRST else 0.05
        )

    def admits_after_wait(self, inbound_request: InboundRequest) -> bool:
        """Whether a request that has waited may go on. Otherwise it is refused."""
        forwarded_request = inbound_request.forwarded
        if not forwarded_request.kind or not self.judging:
            return True
        if self.host.now() - self.last_alive_at > STALL_S:
            return self._refuse_request(inbound_request, 0.0)
        host, path = (
            destination_check.host_of(forwarded_request.fields),
            forwarded_request.target.partition(b"?")[0],
        )
        if not forwarded_request.peer:
            return self._check_local_request(inbound_request, host, path)
        return self._outcome(
            inbound_request, self.configuration.find(host, path)
        ) == destination_check.RUN or self._refuse_request(inbound_request, 0.0)

    def _is_unsampled(self) -> bool:
        self.check_count += 1
        return bool(self.check_count % destination_check.READ_SAMPLE_INTERVAL)

    def _outcome(self, inbound_request: InboundRequest, route: Route | None) -> int:
        forwarded_request = inbound_request.forwarded
        own = b"" if route is None else self.digest_cache.digest_of(route)
        return destination_check.check(
            (
                forwarded_request.revision,
                forwarded_request.rule,
                forwarded_request.kind,
                forwarded_request.service,
            ),
            self.configuration.revision,
            route,
            own,
        )

    def _check_local_request(self, inbound_request: InboundRequest, host: bytes, path: bytes) -> bool:
        """Checks a request from this machine, for which the reference parser is the only check."""
        reference, forwarded_request = self.reference, inbound_request.forwarded
        if not self.reading or reference is None:
            return True
        expected_rule, kind = reference.find_rule(host, path)
        route = self.configuration.find(host, path)
        if (
            expected_rule == forwarded_request.rule
            and kind == forwarded_request.kind
            and route is not None
            and any(name == forwarded_request.service for name, _ in route.split)
        ):
            return True
        if forwarded_request.revision == self.configuration.revision:
            self.report_drift("reading", f"{_printable(host, path)} would run by another rule")
        return self._refuse_request(inbound_request, 0.0)

    def _refuse_request(self, inbound_request: InboundRequest, retry_delay_s: float) -> bool:
        self.refused_requests += 1
        inbound_request.reject(DRIFT, retry_delay_s)
        return False

    def _hold(self, inbound_request: InboundRequest, node: Address | None) -> bool:
        """Holds a request until a state has been fetched, or refuses it if too many are waiting."""
        if len(self.waiting_inbound_requests) >= MAX_WAITING:
            return self._refuse_request(inbound_request, 0.05)
        self.waiting_inbound_requests.append(inbound_request)
        if not self.fetching:
            self._begin_fetch()
            self._fetch_state(node)
        return False

    def _fetch_state(self, node: Address | None) -> None:
        candidates = self.sidecar.control_nodes()
        if node is not None or candidates:
            self.next_control_node += 1
            self._fetch(node or candidates[self.next_control_node % len(candidates)], self._on_fetched_state)

    def _begin_fetch(self) -> None:
        """Starts a fetch, for which requests wait at most `HOLD_TIMEOUT_S`."""
        self.fetching, self.fetch_count, self.fetch_started_at = True, self.fetch_count + 1, self.host.now()
        fetch_number = self.fetch_count
        self.host.after(HOLD_TIMEOUT_S, lambda: self._on_hold_timeout(fetch_number))

    def _on_hold_timeout(self, fetch_number: int) -> None:
        """Releases the waiting requests without an answer; after a stall of the process, fetches again."""
        if not self.fetching or fetch_number != self.fetch_count:
            return
        if self.host.now() - self.fetch_started_at > STALL_S:
            self._begin_fetch()
            self._fetch_state(None)
        else:
            self._release_waiting()

    def _on_fetched_state(self, value: Any) -> None:
        """Handles a fetched state. If it is newer, its text follows and `configuration_changed` releases."""
        if not isinstance(value, dict):  # The link is closed or the node unreachable.
            if self.fetching:
                self.host.after(FETCH_RETRY_S, lambda: self._fetch_state(None) if self.fetching else None)
            return
        self._on_confirmation(value)
        if value.get("rev", 0) <= self.configuration.revision:
            self._release_waiting()

    # Configuration changes.

    def configuration_changed(self) -> None:
        """Parses the new configuration's text by the reference parser and starts a new scan round."""
        self.applied_limits = scan.applied_limits(self.sidecar)
        if not self.rebuilding:
            self._parse_reference()
            self.scan_iterator = None
            self.is_unconfirmed, self.confirm_started_at = True, self.host.now() - CONFIRM_INTERVAL_S
            self._handle_event(states.APPLIED, "")
        if self.fetching:
            self.host.after(0.0, self._release_waiting)

    def _parse_reference(self) -> None:
        configuration = self.configuration
        if configuration.digest == self.reference_digest or not configuration.packed:
            return
        try:
            self.reference, self.reference_digest = (
                ReferenceTable(unpack_text(configuration.packed, configuration.digest)),
                configuration.digest,
            )
        except (ValueError, KeyError, TypeError, LookupError) as fault:
            self.reference, self.reference_digest = None, ""
            self.host.log(f"drift monitor: parsing the configuration text failed: {fault}")
