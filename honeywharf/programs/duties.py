"""Leases in a control node: its votes, its own duty (the roster's upkeep), and the operators' view of
both."""

from __future__ import annotations

import json
from functools import partial
from typing import TYPE_CHECKING, Any

from honeywharf.control import mesh_state
from honeywharf.drift import states
from honeywharf.lease.acquisition import LeaseAcquisition
from honeywharf.lease.grants import ROSTER, Grantor

if TYPE_CHECKING:
    from collections.abc import Callable

    from honeywharf.control.operator import Asked
    from honeywharf.control.parts import ControlParts
    from honeywharf.transport.host import Address
    from honeywharf.transport.rpc import Reply

UPKEEP = ("upkeep", "", 0)


class Duties:
    """See the module. It is the replica's `duty`: leave to take members out of the roster."""

    def __init__(self, program: ControlParts) -> None:
        self.program, self.host, self.replica = program, program.host, program.replica
        self.grantor = Grantor(self.host.now(), self.places)
        self.holder = f"{self.replica.here}/{self.host.random(6).hex()}"
        self.acquisition: LeaseAcquisition | None = None
        self.done = {"granted": 0, "refused": 0, "lost": 0}  # upkeep wanted here
        self.replica.upkeep.duty = self
        self.replica.methods["lease.ask"] = self._ask
        self.replica.methods["lease.free"] = self._free
        program.operator.tree.add("GET", "/api/duties", self._view)

    # Votes.

    def places(self, kind: str, scope: str) -> int:
        """How many may do a duty at once, by the sidecars that news tell of here."""
        if kind == "upkeep":
            return int(scope == "")
        membership = self.program.membership
        zones = (
            []
            if membership is None
            else [
                entry.zone
                for entry in membership.entries().values()
                if entry.say is not None and entry.say.get("s")
            ]
        )
        return states.zone_places(zones.count(scope)) if scope else states.all_places(len(zones))

    def _ask(self, args: Any, reply: Reply, peer: Address) -> None:
        kind, scope, place, holder, number, epoch, disk = args
        _checked((kind, scope, holder, disk), (place, number, epoch))
        state = self.replica.state
        if disk != state.disk or not self.replica.member():
            reply([ROSTER, 0])  # whoever asks means another one
            return
        accepted = state.value.epoch if state.value is not None else 0
        now = self.host.now()
        self.grantor.roster(now, state.epoch, accepted)
        reply(list(self.grantor.ask(now, (kind, scope, place), holder, number, epoch)))

    def _free(self, args: Any, reply: Reply, peer: Address) -> None:
        kind, scope, place, holder, number, disk = args
        _checked((kind, scope, holder, disk), (place, number))
        if disk == self.replica.state.disk:
            self.grantor.free((kind, scope, place), holder, number)
        reply(True)

    # Upkeep.

    def _call(self, to: Address, method: str, args: Any, within: float, done: Callable[[Any], None]) -> None:
        """As a caller does, but to this machine without a connection."""
        if to == self.program.here:
            self.host.after(0.0, lambda: self.replica.methods[method](args, done, to))
        else:
            self.program.caller.call(to, method, args, within, done)

    def begin(self, go: Callable[[bool], None]) -> None:
        """Ask for leave; False at once while there is another such acquisition."""
        if self.acquisition is not None:
            go(False)
            return
        state = self.replica.state
        self.acquisition = LeaseAcquisition(
            self.host,
            self._call,
            lambda: (state.epoch, mesh_state.keys(state.members)),
            self.holder,
            [[UPKEEP]],
            self._lost,
        )
        self.acquisition.begin(partial(self._answered, go))

    def _answered(self, go: Callable[[bool], None], granted: bool) -> None:
        self.done["granted" if granted else "refused"] += 1
        if granted and self.acquisition is not None:
            self.host.log(f"duties: upkeep of the roster is ours, number {self.acquisition.numbers()[0]}")
        else:
            self.acquisition = None
        go(granted)

    def _lost(self) -> None:
        self.done["lost"] += 1

    def holds(self) -> bool:
        """Whether there is leave now."""
        return self.acquisition is not None and self.acquisition.holds()

    def end(self) -> None:
        """Give it back."""
        acquisition, self.acquisition = self.acquisition, None
        if acquisition is not None:
            acquisition.end()

    # The operators' view.

    def view(self) -> dict[str, Any]:
        """Votes that are out, refusals, what was wanted here."""
        now = self.host.now()
        waits = [kind for kind in ("upkeep", "aside") if self.grantor.waits(now, kind)]
        return {
            "node": self.replica.here,
            "roster": self.replica.state.epoch,
            "votes": self.grantor.view(now),
            "refused": self.grantor.refused,
            "waits": waits,
            "upkeep": {**self.done, "held": self.holds()},
            "hinted_handoff": self.program.handing.view(),
        }

    def _view(self, call: Asked) -> None:
        self.program.operator.answered(call, 200, json.dumps(self.view()).encode())


def _checked(texts: tuple[object, ...], numbers: tuple[object, ...]) -> None:
    """ValueError where a call holds something else."""
    if not all(isinstance(one, str) and len(one) <= 200 for one in texts):
        raise ValueError("found something else, wanted names")
    if not all(type(one) is int for one in numbers):
        raise ValueError("found something else, wanted numbers")
