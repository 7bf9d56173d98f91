"""The hinted handoff of a control node: what a silent member should have accepted, kept here and handed over
on
return.

Who keeps: the members that stand after the missing one on the ring, `KEEPERS` of them. Kept is that the word
has changed; handed over is the newest settled value, which names its text. The member knows it then at once,
and fetches the text, instead of after its own first beat. Its vote is not touched: it goes on to accept what
it missed by a round of its own after some beats (`Replica._compare`). A round at once was tried and dropped:
a register whose disk has gone back was then mended before its peers had told three beats of it
(`drift_monitor`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from honeywharf.control import mesh_state
from honeywharf.control.address import address_of
from honeywharf.control.membership import SILENT_S
from honeywharf.control.quorum_client import WITHIN_S
from honeywharf.failure_detector.ring import Ring
from honeywharf.hinted_handoff.hints import HintStore

if TYPE_CHECKING:
    from collections.abc import Iterable

    from honeywharf.control.mesh_state import Key, MeshState
    from honeywharf.control.parts import ControlParts
    from honeywharf.transport.host import Address
    from honeywharf.transport.rpc import Reply

KEEPERS = 2
LOOK_S = 0.3  # between looks at who is silent
VALUE = 512  # bytes that a value takes, nearly


class Handing:
    """See the module. `kept` is switched off to measure what it brings."""

    def __init__(self, program: ControlParts) -> None:
        self.program, self.host, self.replica = program, program.host, program.replica
        self.tank = HintStore(self.host.log)
        self.kept = True
        self.taken = 0  # values that were news to this one, on its own return
        self.replica.upkeep.on_return = self._returned
        self.replica.methods["hinted_handoff.hand"] = self._handed

    def start(self) -> None:
        """Begin to look."""
        self.host.after(LOOK_S, self._look)

    def keeps(self, where: str) -> bool:
        """Whether this one keeps for a member, by its address."""
        ring = Ring()
        for member, _ in mesh_state.keys(self.replica.state.members):
            ring.add(member)
        return self.replica.here in ring.after(where, KEEPERS)

    def _look(self) -> None:
        now = self.host.now()
        self.host.after(LOOK_S, self._look)
        self.tank.sweep(now)
        silent = [key[0] for key in self.replica.silent(SILENT_S)]
        for where in [one for one in self.tank.held if one not in silent]:
            self.tank.drop(where)  # it is not in the roster any more
        for where in silent:
            wanted = self.kept and where not in self.tank.held and self.keeps(where)
            if wanted and self.tank.missing(where, now):
                self._keep([where])

    def word(self, state: MeshState) -> None:
        """A newer word is in force: those who are missing should have had it."""
        self._keep(self.tank.held)

    def _keep(self, members: Iterable[str]) -> None:
        state = self.replica.known
        if state is not None:
            self.tank.keep("word", VALUE + len(state.digest), members)

    def _returned(self, key: Key) -> None:
        """It is heard again: at once, before its own beats ask."""
        if self.tank.returned(key[0]) and self.replica.known is not None:
            self.program.caller.call(
                address_of(key[0]),
                "hinted_handoff.hand",
                self.replica.known.pack_public(),
                WITHIN_S,
                lambda answer: None,
            )

    def _handed(self, args: Any, reply: Reply, peer: Address) -> None:
        """What this one should have had while it was away."""
        self.taken += self.replica.known is None or args["rev"] > self.replica.known.revision
        self.replica.take(args)
        reply(True)

    def view(self) -> dict[str, Any]:
        """Figures for operators."""
        tank = self.tank
        return {
            "missing": len(tank.held),
            "entries": tank.all_entries,
            "bytes": tank.all_bytes,
            "handed": tank.handed,
            "spilled": tank.spilled,
            "stale": tank.stale,
            "taken": self.taken,
        }
