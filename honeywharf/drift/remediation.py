"""Remediation of drift at one sidecar: rebuild, renewal from a majority, quarantine, and reports.

Theory of operation. `report_drift` is called by the check that has found drift (`periodic_scan`, `monitor`).
The node rebuilds its tables from the configuration's text, whose digest the majority has committed, scans all
of them at once, and continues. All of this happens within the call that found the drift, so the client gets a
normal response. If the rebuild does not help, the node reads the state of a majority through a control node,
again and again with increasing delays.

Bounds: full scans, renewals, reports and log lines are limited in rate, whatever the load.
"""

from __future__ import annotations

import zlib
from functools import partial

from honeywharf import rpc_methods
from honeywharf.drift import digests, scan, states
from honeywharf.drift.reference_parser import ReferenceTable
from honeywharf.mesh_config.routes import RoutingTable

try:
    from _sha256 import sha256  # type: ignore[import-not-found]  # `hashlib` would load OpenSSL: 2 MB.
except ImportError:  # Python 3.12 and later.
    from _sha2 import sha256  # type: ignore[import-not-found]

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from honeywharf.programs.sidecar import Sidecar
    from honeywharf.transport.host import Address
    from honeywharf.transport.rpc_server import Reply

FULL_SCAN_INTERVAL_S = 0.25  # The least interval of full scans that peers or requests trigger.
MAX_RELAPSE_PENALTY = 16
MAX_RELAPSES = 3  # Drift found this often in the healed state means that a rebuild does not help.
REPORT_INTERVAL_S, MAX_REPORT_RECEIVERS = 0.25, 7  # The least interval of reports, and their receivers.
MAX_DRIFT_REPORTS = 16  # The number of reports in a view.
MAX_TEXT_BYTES = 80 << 20
MAX_CAUSE_LENGTH = 160  # Characters.
LEASE_RETRY_S = 5.0  # The interval of requests for a lease after a denial.
MAX_LEASE_SLOTS = 8  # The slots tried in the zone, and as many in the mesh.


def unpack_text(packed: bytes, digest: str) -> bytes:
    """Decompresses a configuration text. Raises ValueError if it does not match the digest."""
    try:
        text = zlib.decompressobj().decompress(packed, MAX_TEXT_BYTES)
    except zlib.error as fault:
        raise ValueError(str(fault)) from None
    if not matches_digest(text, digest):
        raise ValueError(f"configuration text: expected one with digest {digest}")
    return text


def matches_digest(text: bytes, digest: str) -> bool:
    """Whether a configuration text has the given digest."""
    return bool(sha256(text).hexdigest()[:32] == digest)


class Remediation:
    """Repairs one sidecar.

    `judging` (at the destination), `reading` (by the reference parser) and `scanning` switch the three ways
    of detection, so that each can be tested alone.
    """

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar, self.host, self.configuration = sidecar, sidecar.host, sidecar.mesh_state
        self.judging = self.reading = self.scanning = True
        now = self.host.now()
        self.state = states.NodeState(now)
        self.digest_cache = digests.RuleDigestCache()
        self.build_table = RoutingTable  # Parses the text for the table in use.
        self.reference: ReferenceTable | None = None
        self.reference_digest = ""
        self.scan_iterator: Any = None
        self.scanned_table: RoutingTable | None = None
        self.applied_limits: tuple[
            object, ...
        ] = ()  # The limits at the backend by the current configuration.
        self.full_scan_at = now - FULL_SCAN_INTERVAL_S
        self.relapses = 0
        self.rebuilding = self.renewal_in_flight = self.quarantine_active = False
        self.quarantine_lease: Any = None  # A `LeaseAcquisition` once quarantine was requested.
        self.lease_denials = 0  # Requests that no majority granted.
        self.lease_denied_at = now - LEASE_RETRY_S
        self.detections: dict[str, int] = {}
        self.refused_requests = 0
        self.drift_reports: list[list[object]] = []
        self.next_control_node = 0
        self.reported_at = now - REPORT_INTERVAL_S  # When the last report was sent to control nodes.
        self.relapse_penalty = 1  # Further renewals that count as failed after the next relapse.

    # Detection and repair.

    def scan_if_due(self, method: str, reason: str) -> bool:
        """Scans all of the node unless it has just been scanned. Returns whether drift was found."""
        now = self.host.now()
        if now - self.full_scan_at < FULL_SCAN_INTERVAL_S or self.reference is None:
            return False
        self.full_scan_at = now
        fault = self._scan_all()
        if fault:
            self.report_drift(method, f"{fault} ({reason})")
        return bool(fault)

    def _scan_all(self) -> str:
        """Scans everything. Returns the first fault, or ""."""
        table, reference = self.configuration.table, self.reference
        if table is None or reference is None:
            return "no told text" if self.configuration.ready else ""
        fault = scan.small_parts(self.sidecar) or scan.backend_list(
            self.sidecar, list(self.sidecar.membership.entries())
        )
        return fault or next(
            (found for found in scan.routes(table, reference, self.digest_cache) if found), ""
        )

    def report_drift(self, method: str, cause: str, renew: bool = False) -> None:
        """Handles drift: rebuilds and scans the node; if that does not help, reads a majority's state."""
        now = self.host.now()
        if self.state.is_suspect or self.rebuilding:
            return  # A repair is already in progress.
        cause = cause[:MAX_CAUSE_LENGTH]
        self.relapses += self.state.current == states.HEALED
        if self.relapses >= MAX_RELAPSES:
            self.relapse_penalty = min(MAX_RELAPSE_PENALTY, 2 * self.relapse_penalty)
            self.relapses = MAX_RELAPSES + self.relapse_penalty
        self.detections[method] = self.detections.get(method, 0) + 1
        self.drift_reports = [
            *self.drift_reports[1 - MAX_DRIFT_REPORTS :],
            [round(self.host.wall_time(), 3), method, cause],
        ]
        self._handle_event(states.DRIFT_FOUND, f"{method}: {cause}")
        self._send_report(method, cause)
        if not renew and self.relapses < MAX_RELAPSES and self.rebuild():
            self._handle_event(states.SCAN_PASSED, "built anew from the told text")
            self.full_scan_at = now
            return
        self.request_quarantine()
        self.renew()

    def _handle_event(self, event: int, why: str) -> None:
        before = self.state.current
        may_quarantine = (
            event == states.RENEWAL_FAILED
            and self.quarantine_lease is not None
            and bool(self.quarantine_lease.holds())
        )
        if self.state.handle(self.host.now(), event, why, may_quarantine):
            reason = f": {why}" if why else ""
            change = f"{states.STATE_NAMES[before]} -> {states.STATE_NAMES[self.state.current]}"
            self.host.log(f"drift monitor: {change}{reason}")
        if not self.state.is_suspect and self.quarantine_active:
            self._end_quarantine()

    # Quarantine.

    def request_quarantine(self) -> None:
        """Refuses requests that must not run twice until the node is healed, if there is quarantine capacity.

        This needs a lease from a majority of the control nodes. The node also refuses while it waits for the
        lease, 0.3 s at most.
        """
        if (
            self.quarantine_active
            or self.host.now() - self.lease_denied_at < LEASE_RETRY_S
            or not self._has_quarantine_capacity()
        ):
            return
        # Imported here: only a node that cannot heal itself needs the modules of leases.
        from honeywharf.lease.acquisition import LeaseAcquisition
        from honeywharf.lease.grantor import QUARANTINE, Role

        def slots(scope: str, count: int) -> list[Role]:
            """Returns the slots to try, from a random one on, so that nodes rarely try the same one."""
            first = self.host.random(1)[0] % count
            return [
                Role(QUARANTINE, scope, (first + offset) % count)
                for offset in range(min(count, MAX_LEASE_SLOTS))
            ]

        self.quarantine_active = True
        ip, zone = self.sidecar.settings.ip, self.sidecar.settings.zone
        nodes, zone_nodes = self._node_counts()
        self.quarantine_lease = LeaseAcquisition(
            self.host,
            self.sidecar.caller.call,
            self._roster,
            f"{ip}/{self.host.random(6).hex()}",
            [
                slots(zone, states.zone_quarantine_limit(zone_nodes)),
                slots("", states.total_quarantine_limit(nodes)),
            ],
            self._end_quarantine,
        )
        self.quarantine_lease.begin(self._on_lease_result)

    def _roster(self) -> tuple[int, list[tuple[str, str]]]:
        value = self.configuration.value
        return value.get("epoch", 0), [(member[0], member[1]) for member in value.get("roster", ())]

    def _on_lease_result(self, granted: bool) -> None:
        if granted and self.state.is_suspect:
            self.sidecar.membership.publish(q=1)
            return
        if not granted:
            self.lease_denials, self.lease_denied_at = self.lease_denials + 1, self.host.now()
        self._end_quarantine()

    def _end_quarantine(self) -> None:
        """Ends the refusals once the node is healed, or its lease is denied or has expired."""
        self.quarantine_active = False
        self.quarantine_lease.end()
        self.sidecar.membership.publish(q=0)

    def _may_refuse(self) -> bool:
        """Whether the node may refuse now. After a stall of the process its lease has expired."""
        return bool(self.quarantine_lease.is_pending or self.quarantine_lease.holds())

    def _node_counts(self) -> tuple[int, int]:
        """Returns the number of known sidecars, including this one: all, and those of its zone."""
        zones = [
            entry.zone
            for node, entry in self.sidecar.membership.entries().items()
            if node != self.sidecar.settings.ip and entry.attributes is not None and entry.attributes.get("s")
        ]
        return len(zones) + 1, zones.count(self.sidecar.settings.zone) + 1

    def _has_quarantine_capacity(self) -> bool:
        entries = [
            entry
            for node, entry in self.sidecar.membership.entries().items()
            if node != self.sidecar.settings.ip and entry.attributes is not None and entry.attributes.get("s")
        ]
        zone = [entry for entry in entries if entry.zone == self.sidecar.settings.zone]
        quarantined, all_quarantined = (
            sum(bool(entry.attributes and entry.attributes.get("q")) for entry in group)
            for group in (zone, entries)
        )
        return states.has_quarantine_capacity(quarantined, len(zone) + 1, all_quarantined, len(entries) + 1)

    def rebuild(self) -> bool:
        """Rebuilds the tables from configuration text and membership. Returns whether a scan passes."""
        configuration = self.configuration
        try:
            text = unpack_text(configuration.packed, configuration.digest)
            table, self.reference, self.reference_digest = (
                self.build_table(text),
                ReferenceTable(text),
                configuration.digest,
            )
        except (ValueError, KeyError, TypeError, LookupError) as fault:
            self.host.log(f"drift monitor: parsing the configuration text failed: {fault}")
            return False
        value = configuration.value
        if (value["rev"], value["digest"], value["version"]) != (
            configuration.revision,
            configuration.digest,
            table.version,
        ):
            return False
        self.rebuilding = True
        configuration.table, configuration.version = table, table.version
        configuration.evacuated = {zone for zone, on in value["evac"].items() if on}
        self._rebuild_backend_list()
        self.sidecar.apply()
        self.applied_limits = scan.applied_limits(self.sidecar)
        self.rebuilding, self.scan_iterator = False, None
        return not self._scan_all()

    def _rebuild_backend_list(self) -> None:
        sidecar = self.sidecar
        entries = sidecar.membership.entries()
        sidecar.source.suspected = {
            node for node in entries if node in sidecar.membership.failure_detector.down
        }
        for node in list(sidecar.source.backends):
            if node != sidecar.settings.ip:
                sidecar.source.update_backend(node, None, "")
        for node, entry in entries.items():
            if node != sidecar.settings.ip:
                sidecar.source.update_backend(node, entry.attributes, entry.zone)

    def renew(self) -> None:
        """Reads the state of a majority through a control node.

        It is applied even if its revision is lower, as the present one may have drifted; but not if another
        state was applied since the read began, which may be newer.
        """
        candidates = self.sidecar.control_nodes()
        if self.renewal_in_flight or not candidates:
            if not self.renewal_in_flight:
                self._schedule_renewal()
            return
        self.renewal_in_flight = True
        self.next_control_node += 1
        control_node = candidates[self.next_control_node % len(candidates)]
        self.sidecar.caller.call(
            control_node,
            rpc_methods.READ_STATE,
            None,
            0.9,
            partial(self._on_majority_state, control_node, self.configuration.applications),
        )

    def _schedule_renewal(self) -> None:
        self.renewal_in_flight = False
        if self.state.is_suspect:
            self.request_quarantine()  # A lease may be available by now.
            self.host.after(self.state.retry_delay_s(), self.renew)

    def _on_majority_state(self, control_node: Address, applications: int, value: Any) -> None:
        """Handles the state of a majority. None: no majority was reachable, so the node tries again later."""
        if not isinstance(value, dict) or not value.get("digest"):
            self._schedule_renewal()
        elif value["digest"] == self.configuration.digest and self._is_text_intact():
            self._restore(applications, value, self.configuration.packed)
        else:
            self.sidecar.caller.call(
                control_node,
                rpc_methods.CONFIGURATION_TEXT,
                value["digest"],
                3.0,
                partial(self._restore, applications, value),
            )

    def _is_text_intact(self) -> bool:
        try:
            return bool(unpack_text(self.configuration.packed, self.configuration.digest))
        except ValueError:
            return False

    def _restore(self, applications: int, value: Any, packed: Any) -> None:
        self.renewal_in_flight = False
        is_overtaken = self.configuration.applications != applications
        if not self.state.is_suspect or not isinstance(packed, bytes) or is_overtaken:
            self._schedule_renewal()
            return
        try:
            table = self.build_table(unpack_text(packed, value["digest"]))
        except ValueError as fault:
            self.host.log(f"drift monitor: parsing the majority's configuration text failed: {fault}")
        else:
            self.rebuilding = True
            self.configuration.restore(value, table, packed)
            self.rebuilding = False
            if self.rebuild() and self.relapses < MAX_RELAPSES:
                self._handle_event(states.SCAN_PASSED, "renewed from a majority")
                return
        self.relapses = max(0, self.relapses - 1)
        self._handle_event(states.RENEWAL_FAILED, self._scan_all() or "it slips again and again")
        self._schedule_renewal()

    # Reports and views.

    @property
    def is_quarantined(self) -> bool:
        """Whether this node cannot heal and holds a lease, so that it reports that it is not ready."""
        return (
            self.state.current == states.QUARANTINED
            and self.quarantine_lease is not None
            and bool(self.quarantine_lease.holds())
        )

    def _send_report(self, method: str, cause: str) -> None:
        """Reports drift to the control nodes for their histories, at most one in `REPORT_INTERVAL_S`."""
        record = [self.sidecar.settings.ip, self.host.wall_time(), method, cause, self.configuration.revision]
        now = self.host.now()
        if now - self.reported_at >= REPORT_INTERVAL_S:
            self.reported_at = now
            for control_node in self.sidecar.control_nodes()[:MAX_REPORT_RECEIVERS]:
                self.sidecar.caller.call(
                    control_node, rpc_methods.DRIFT_REPORT, record, 1.0, lambda answer: None
                )

    def view(self) -> dict[str, object]:
        """Returns what this node runs, for an operator. Times are in seconds."""
        configuration, state, now = self.configuration, self.state, self.host.now()
        branches = (
            {}
            if configuration.table is None
            else scan.tree(configuration.table, self.digest_cache, configuration.evacuated)
        )
        return {
            "node": self.sidecar.settings.ip,
            "zone": self.sidecar.settings.zone,
            "state": states.STATE_NAMES[state.current],
            "for": round(now - state.since, 3),
            "why": state.why,
            "revision": configuration.revision,
            "version": f"r{configuration.version}",
            "digest": configuration.digest,
            "root": digests.root(branches).hex(),
            "branches": {name: branches[name].hex() for name in branches},
            "caught": dict(self.detections),
            "refused": self.refused_requests,
            "handed": self.sidecar.source.delegated,
            "changes": state.transitions,
            "slips": self.drift_reports,
            "standing": self.quarantine_active,
            "leave-refused": self.lease_denials,
        }

    def methods(self) -> dict[str, Any]:
        """Returns the RPC methods that other nodes may call."""

        def view(args: Any, reply: Reply, peer: Address) -> None:
            reply(self.view())

        return {rpc_methods.DRIFT_VIEW: view}

    def summary(self) -> str:
        """Returns the counters for a log line."""
        caught = " ".join(f"{method}={count}" for method, count in sorted(self.detections.items()))
        state, handed = states.STATE_NAMES[self.state.current], self.sidecar.source.delegated
        return (
            f"drift monitor {state} refused={self.refused_requests} handed={handed} caught {caught or 'none'}"
        )
