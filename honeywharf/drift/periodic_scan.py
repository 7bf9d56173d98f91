"""Background comparison of one sidecar: scans in steps, and the configuration state of a control node.

Theory of operation. Each step of the scan, every `SCAN_STEP_S`, compares some of the routes and some of the
backend list. A round takes `STEPS_PER_ROUND` steps, up to `STEPS_PER_ROUND * MAX_ROUTES_PER_STEP` routes. The
state is compared with a control node's every `CONFIRM_INTERVAL_S`, and after the process has stalled for
`STALL_S`.
"""

from __future__ import annotations

from honeywharf import rpc_methods
from honeywharf.drift import scan, states
from honeywharf.drift.remediation import Remediation

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from honeywharf.programs.sidecar import Sidecar
    from honeywharf.transport.host import Address

SCAN_STEP_S = 0.25
STEPS_PER_ROUND = 16  # A round takes 4 s.
MIN_ROUTES_PER_STEP, MAX_ROUTES_PER_STEP = 16, 100  # A step takes at most 1 ms: 0.4 % of a CPU core.
STALL_S = 0.9  # After this long without a step, a request that must not run twice waits for a confirmation.
CONFIRM_INTERVAL_S = 4.0
HOLD_TIMEOUT_S = 0.3  # The longest wait of a request for a state from another node.


class PeriodicScan(Remediation):
    """Scans one sidecar in the background."""

    def __init__(self, sidecar: Sidecar) -> None:
        super().__init__(sidecar)
        self.last_alive_at = self.confirm_started_at = self.host.now()
        self.round_is_clean = True
        self.node_cursor = 0
        self.is_unconfirmed = False  # No control node has confirmed this state since it was adopted.
        self.host.after(SCAN_STEP_S, self._tick)

    def _tick(self) -> None:
        now = self.host.now()
        stalled = now - self.last_alive_at > STALL_S
        if not stalled:
            self.last_alive_at = now  # After a stall, a control node's answer sets it.
        self.host.after(SCAN_STEP_S, self._tick)
        if self.scanning and self.reference is not None and self.configuration.table is not None:
            self._scan_step()
        self._update_state()
        if stalled or now - self.confirm_started_at > CONFIRM_INTERVAL_S:
            self.confirm_started_at = now
            self._confirm()

    def _update_state(self) -> None:
        if self.state.current == states.HEALED:
            self._handle_event(states.STABLE, "")
            if self.state.current == states.AGREED:
                self.relapses, self.relapse_penalty = 0, 1
        elif self.state.current == states.AGREED and self.configuration.newest > self.configuration.revision:
            self._handle_event(states.ANNOUNCED, "")

    def _scan_step(self) -> None:
        """Does one step of the scan."""
        table, reference = self.configuration.table, self.reference
        assert table is not None
        assert reference is not None
        if self.scan_iterator is None or self.scanned_table is not table:
            self.scan_iterator, self.scanned_table, self.round_is_clean = (
                scan.routes(table, reference, self.digest_cache),
                table,
                True,
            )
        count = min(
            MAX_ROUTES_PER_STEP, max(MIN_ROUTES_PER_STEP, len(reference.locations) // STEPS_PER_ROUND + 1)
        )
        fault = scan.small_parts(self.sidecar) or scan.backend_list(self.sidecar, self._next_nodes())
        try:
            while count and not fault:
                fault, count = next(self.scan_iterator), count - 1
        except StopIteration:
            self.scan_iterator = None
            if self.round_is_clean and not self.state.is_suspect:
                self._handle_event(states.SCAN_PASSED, "")
        except RuntimeError:
            self.scan_iterator = None
        if fault:
            self.round_is_clean, self.scan_iterator = False, None
            self.report_drift("scan", fault)

    def _next_nodes(self) -> list[str]:
        """Returns the next quarter of all nodes, and a few more, in turn."""
        nodes = list(self.sidecar.membership.entries())
        count = len(nodes) // 4 + 4
        start = self.node_cursor % max(1, len(nodes))
        self.node_cursor = start + count
        return nodes[start : start + count]

    def _confirm(self) -> None:
        """Compares the state with a control node's."""
        candidates = self.sidecar.control_nodes()
        if candidates and self.configuration.ready:
            self._fetch(candidates[0], self._on_confirmation)

    def _on_confirmation(self, value: Any) -> None:
        """Handles the state that a control node has sent."""
        if not isinstance(value, dict) or value.get("rev", 0) > self.configuration.revision:
            return  # The text of the newer revision is being fetched.
        self.last_alive_at, self.is_unconfirmed = self.host.now(), False
        own = self.configuration.value
        if value.get("rev") == self.configuration.revision and any(
            value.get(name) != own.get(name) for name in ("version", "digest", "evac")
        ):
            self.report_drift(
                "scan",
                f"revision {self.configuration.revision} is another one at a control node",
                renew=True,
            )

    def _fetch(self, node: Address, done: Any) -> None:
        """Fetches a node's state and adopts it if it is newer."""
        started_at = self.host.now()

        def on_state(value: Any) -> None:
            if isinstance(value, dict) and value.get("digest"):
                self.configuration.offer(node, value)
            done(value if self.host.now() - started_at < STALL_S else None)  # A stall makes the answer stale.

        self.sidecar.caller.call(node, rpc_methods.KNOWN_STATE, None, HOLD_TIMEOUT_S, on_state)
