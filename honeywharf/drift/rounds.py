"""What one sidecar compares in idle time: the scan, part by part, and its word with a control node's.

Theory of operation. Every `STEP_S` a step of the scan looks at some of the routes and of the list; a round is
whole in `WHOLE_STEPS` up to `WHOLE_STEPS * MAX_PARTS` routes. Every `CONFIRM_S`, and after a standstill of
`GAP_S`, the word is compared with a control node's.
"""

from __future__ import annotations

from honeywharf import rpc_methods
from honeywharf.drift import scan, states
from honeywharf.drift.watch import Watch

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from honeywharf.programs.sidecar import Sidecar
    from honeywharf.transport.host import Address

STEP_S = 0.25  # between steps of the scan
WHOLE_STEPS = 16  # steps of a round, 4 s, up to WHOLE_STEPS * MAX_PARTS routes
MIN_PARTS, MAX_PARTS = 16, 100  # of one step: 1 ms at most, 0.4 % of a core
GAP_S = 0.9  # without a step: this process stood still, and asks before it runs what must not run twice
CONFIRM_S = 4.0  # between comparisons with a control node
HOLD_S = 0.3  # that a request waits for news of the word


class Rounds(Watch):
    """See the module."""

    def __init__(self, sidecar: Sidecar) -> None:
        super().__init__(sidecar)
        self.ticked = self.confirmed = self.host.now()
        self.clean = True  # nothing found in this round
        self.turn_list = 0
        self.unsure = False  # no control node has told this word since it was taken over
        self.host.after(STEP_S, self._tick)

    def _tick(self) -> None:
        now = self.host.now()
        late = now - self.ticked > GAP_S
        if not late:
            self.ticked = now  # else when a control node has told its word
        self.host.after(STEP_S, self._tick)
        if self.scanning and self.told is not None and self.word.table is not None:
            self._step()
        self._at_rest()
        if late or now - self.confirmed > CONFIRM_S:
            self.confirmed = now
            self._confirm()

    def _at_rest(self) -> None:
        if self.state.at == states.HEALED:
            self._event(states.CALM, "")
            if self.state.at == states.AGREED:
                self.relapses, self.stubborn = 0, 1
        elif self.state.at == states.AGREED and self.word.newest > self.word.revision:
            self._event(states.HEARD, "")

    def _step(self) -> None:
        """One step of the scan."""
        table, told = self.word.table, self.told
        assert table is not None
        assert told is not None
        if self.parts is None or self.parts_of is not table:
            self.parts, self.parts_of, self.clean = scan.routes(table, told, self.rules), table, True
        many = min(MAX_PARTS, max(MIN_PARTS, len(told.places) // WHOLE_STEPS + 1))
        fault = scan.others(self.sidecar) or scan.listed(self.sidecar, self._nodes())
        try:
            while many and not fault:
                fault, many = next(self.parts), many - 1
        except StopIteration:
            self.parts = None
            if self.clean and not self.state.aside:
                self._event(states.MATCHED, "")
        except RuntimeError:
            self.parts = None
        if fault:
            self.clean, self.parts = False, None
            self.slip("scan", fault)

    def _nodes(self) -> list[str]:
        """A share of all nodes, in turn."""
        nodes = list(self.sidecar.membership.entries())
        many = len(nodes) // 4 + 4
        start = self.turn_list % max(1, len(nodes))
        self.turn_list = start + many
        return nodes[start : start + many]

    def _confirm(self) -> None:
        """Compare the word with a control node's, in turn."""
        cores = self.sidecar.control_nodes()
        if cores and self.word.ready:
            self._fetch(cores[0], self._confirmed)

    def _confirmed(self, value: Any) -> None:
        """A control node has told its word."""
        if not isinstance(value, dict) or value.get("rev", 0) > self.word.revision:
            return  # a newer text is on its way
        self.ticked, self.unsure = self.host.now(), False
        mine = self.word.value
        if value.get("rev") == self.word.revision and any(
            value.get(name) != mine.get(name) for name in ("version", "digest", "evac")
        ):
            self.slip("scan", f"revision {self.word.revision} is another one at a control node", renew=True)

    def _fetch(self, holder: Address, done: Any) -> None:
        """Ask a holder for its word, and take it over where it is newer."""
        asked = self.host.now()

        def known(value: Any) -> None:
            if isinstance(value, dict) and value.get("digest"):
                self.word.offer(holder, value)
            done(value if self.host.now() - asked < GAP_S else None)  # else it is as old as our standstill

        self.sidecar.caller.call(holder, rpc_methods.KNOWN_STATE, None, HOLD_S, known)
