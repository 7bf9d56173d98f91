"""What follows from a slip at one sidecar: it is doubted, built anew, healed or stands aside; and who is
told.

Theory of operation. `slip` is called by whichever way has found one (`rounds`, `requests`). The node builds
itself anew from the told text, whose digest the majority settled, compares everything at once, and goes on,
all within the call that found it: the client sees a normal answer. Where that does not help, a control node's
majority is asked for the word, again and again with growing pauses.

Bounds: a whole look at oneself, a renewal, a telling and a log line have pauses between them, whatever comes.
"""

from __future__ import annotations

import zlib

from honeywharf import rpc_methods
from honeywharf.drift import digests, scan, states
from honeywharf.drift.second import Told
from honeywharf.mesh_config.routes import RoutingTable

try:
    from _sha256 import sha256  # type: ignore[import-not-found]  # without OpenSSL, which is 2 MB
except ImportError:  # Python 3.12 and later
    from _sha2 import sha256  # type: ignore[import-not-found]

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from honeywharf.programs.sidecar import Sidecar
    from honeywharf.transport.host import Address
    from honeywharf.transport.rpc_server import Reply

LOOK_S = 0.25  # between looks at all of oneself that others or requests ask for
MAX_STUBBORN = 16
MAX_RELAPSES = 3  # slips so soon after healing, after which building anew counts as vain
TELL_S, MAX_TOLD = 0.25, 7  # between slips that control nodes are told of, and how many are told
MAX_SLIPS = 16  # told to who asks
MAX_TEXT = 80 << 20
MAX_WORDS = 160  # characters of a slip's cause
STAND_AGAIN_S = 5.0  # after leave was refused, until it is asked for again
MAX_PLACES = 8  # places to stand aside at that are tried, in the zone and of all


def text_of(packed: bytes, digest: str) -> bytes:
    """A told text, unpacked. ValueError where it is not the one that the digest names."""
    try:
        text = zlib.decompressobj().decompress(packed, MAX_TEXT)
    except zlib.error as fault:
        raise ValueError(str(fault)) from None
    if not is_named(text, digest):
        raise ValueError(f"the text is not the one named {digest}")
    return text


def is_named(text: bytes, digest: str) -> bool:
    """Whether a text is the one that a word's digest names."""
    return bool(sha256(text).hexdigest()[:32] == digest)


class Watch:
    """See the module. `judging`, `reading` and `scanning` switch the three ways, for measuring each alone."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar, self.host, self.word = sidecar, sidecar.host, sidecar.mesh_state
        self.judging = self.reading = self.scanning = True
        now = self.host.now()
        self.state = states.State(now)
        self.rules = digests.Rules()
        self.build = RoutingTable  # what reads a told text for those who decide
        self.told: Told | None = None
        self.told_digest = ""
        self.parts: Any = None
        self.parts_of: RoutingTable | None = None
        self.bounds: tuple[object, ...] = ()  # at the backend, as the word in force gave them
        self.looked = now - LOOK_S
        self.relapses = 0
        self.rebuilding = self.asking = self.standing = False
        self.leave: Any = None  # to stand aside: an `LeaseAcquisition`, once it was wanted
        self.grudged = 0  # times that no majority gave leave
        self.grudged_at = now - STAND_AGAIN_S
        self.caught: dict[str, int] = {}
        self.refused = 0
        self.slips: list[list[object]] = []
        self.cores_turn = 0
        self.told_at = now - TELL_S  # when control nodes were told of a slip
        self.stubborn = 1  # renewals more that count as vain after each further relapse

    # What follows from a slip.

    def examine(self, by: str, claim: str) -> bool:
        """Look at all of this node now, unless it just did; whether anything was found and healed."""
        now = self.host.now()
        if now - self.looked < LOOK_S or self.told is None:
            return False
        self.looked = now
        fault = self._whole()
        if fault:
            self.slip(by, f"{fault} ({claim})")
        return bool(fault)

    def _whole(self) -> str:
        """The first fault of all parts, or ""."""
        table, told = self.word.table, self.told
        if table is None or told is None:
            return "no told text" if self.word.ready else ""
        fault = scan.others(self.sidecar) or scan.listed(
            self.sidecar, list(self.sidecar.membership.entries())
        )
        return fault or next((found for found in scan.routes(table, told, self.rules) if found), "")

    def slip(self, by: str, what: str, renew: bool = False) -> None:
        """Something decides otherwise than told: doubt, build anew, compare; ask a majority if need be."""
        now = self.host.now()
        if self.state.aside or self.rebuilding:
            return  # it is being seen to
        what = what[:MAX_WORDS]
        self.relapses += self.state.at == states.HEALED
        if self.relapses >= MAX_RELAPSES:
            self.stubborn = min(MAX_STUBBORN, 2 * self.stubborn)
            self.relapses = MAX_RELAPSES + self.stubborn
        self.caught[by] = self.caught.get(by, 0) + 1
        self.slips = [*self.slips[1 - MAX_SLIPS :], [round(self.host.wall_time(), 3), by, what]]
        self._event(states.SLIPPED, f"{by}: {what}")
        self._tell(by, what)
        if not renew and self.relapses < MAX_RELAPSES and self.rebuild():
            self._event(states.MATCHED, "built anew from the told text")
            self.looked = now
            return
        self.stand()
        self.renew()

    def _event(self, event: int, why: str) -> None:
        before = self.state.at
        room = event == states.VAIN and self.leave is not None and bool(self.leave.holds())
        if self.state.event(self.host.now(), event, why, room):
            reason = f": {why}" if why else ""
            change = f"{states.NAMES[before]} -> {states.NAMES[self.state.at]}"
            self.host.log(f"drift monitor: {change}{reason}")
        if not self.state.aside and self.standing:
            self._step_back()

    # Standing aside.

    def stand(self) -> None:
        """Refuse what must not run twice until healed, if there is room for one more that does.

        A majority of the control nodes gives leave; until it has (0.3 s at most) this node refuses too.
        """
        if self.standing or self.host.now() - self.grudged_at < STAND_AGAIN_S or not self._room():
            return
        # Needed by none but a node that can't heal itself: the lease's modules are loaded then.
        from honeywharf.lease.acquisition import LeaseAcquisition
        from honeywharf.lease.grantor import QUARANTINE, Role

        def slots(scope: str, count: int) -> list[Role]:
            """Slots to try, from one at random on, so that two who ask at once try different ones."""
            first = self.host.random(1)[0] % count
            return [
                Role(QUARANTINE, scope, (first + offset) % count) for offset in range(min(count, MAX_PLACES))
            ]

        self.standing = True
        ip, zone = self.sidecar.settings.ip, self.sidecar.settings.zone
        nodes, zones = self._nodes_here()
        self.leave = LeaseAcquisition(
            self.host,
            self.sidecar.caller.call,
            self._roster,
            f"{ip}/{self.host.random(6).hex()}",
            [slots(zone, states.zone_places(zones)), slots("", states.all_places(nodes))],
            self._step_back,
        )
        self.leave.begin(self._may_stand)

    def _roster(self) -> tuple[int, list[tuple[str, str]]]:
        value = self.word.value
        return value.get("epoch", 0), [(one[0], one[1]) for one in value.get("roster", ())]

    def _may_stand(self, granted: bool) -> None:
        if granted and self.state.aside:
            self.sidecar.membership.publish(q=1)
            return
        if not granted:
            self.grudged, self.grudged_at = self.grudged + 1, self.host.now()
        self._step_back()

    def _step_back(self) -> None:
        """Healed, without leave, or it has ended: refuse request by request at most."""
        self.standing = False
        self.leave.end()
        self.sidecar.membership.publish(q=0)

    def _refuses(self) -> bool:
        """Whether it may refuse now: a process that stood still finds that its leave has ended."""
        return bool(self.leave.is_pending or self.leave.holds())

    def _nodes_here(self) -> tuple[int, int]:
        """Sidecars that news tell of, this one too: all, and of the own zone."""
        zones = [
            entry.zone
            for node, entry in self.sidecar.membership.entries().items()
            if node != self.sidecar.settings.ip and entry.attributes is not None and entry.attributes.get("s")
        ]
        return len(zones) + 1, zones.count(self.sidecar.settings.zone) + 1

    def _room(self) -> bool:
        entries = [
            entry
            for node, entry in self.sidecar.membership.entries().items()
            if node != self.sidecar.settings.ip and entry.attributes is not None and entry.attributes.get("s")
        ]
        zone = [entry for entry in entries if entry.zone == self.sidecar.settings.zone]
        aside, aside_all = (
            sum(bool(entry.attributes and entry.attributes.get("q")) for entry in some)
            for some in (zone, entries)
        )
        return states.room(aside, len(zone) + 1, aside_all, len(entries) + 1)

    def rebuild(self) -> bool:
        """Build all that decides anew from the told text and the news; whether all is as told then."""
        word = self.word
        try:
            text = text_of(word.packed, word.digest)
            table, self.told, self.told_digest = self.build(text), Told(text), word.digest
        except (ValueError, KeyError, TypeError, LookupError) as fault:
            self.host.log(f"drift monitor: the told text can't be read: {fault}")
            return False
        value = word.value
        if (value["rev"], value["digest"], value["version"]) != (word.revision, word.digest, table.version):
            return False
        self.rebuilding = True
        word.table, word.version = table, table.version
        word.evacuated = {zone for zone, on in value["evac"].items() if on}
        self._relist()
        self.sidecar.apply()
        self.bounds = scan.bounds(self.sidecar)
        self.rebuilding, self.parts = False, None
        return not self._whole()

    def _relist(self) -> None:
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
        """Ask a control node's majority for the word."""
        cores = self.sidecar.control_nodes()
        if self.asking or not cores:
            if not self.asking:
                self._again()
            return
        self.asking = True
        self.cores_turn += 1
        core = cores[self.cores_turn % len(cores)]
        self.sidecar.caller.call(
            core, rpc_methods.READ_STATE, None, 0.9, lambda value: self._read_back(core, value)
        )

    def _again(self) -> None:
        self.asking = False
        if self.state.aside:
            self.stand()  # leave may be had by now
            self.host.after(self.state.again_s(), self.renew)

    def _read_back(self, core: Address, value: Any) -> None:
        """What a majority holds; None: out of reach, so this node goes on refusing and asking."""
        if not isinstance(value, dict) or not value.get("digest"):
            self._again()
        elif value["digest"] == self.word.digest and self._sound():
            self._restore(value, self.word.packed)
        else:
            self.sidecar.caller.call(
                core,
                rpc_methods.CONFIGURATION_TEXT,
                value["digest"],
                3.0,
                lambda packed: self._restore(value, packed),
            )

    def _sound(self) -> bool:
        try:
            return bool(text_of(self.word.packed, self.word.digest))
        except ValueError:
            return False

    def _restore(self, value: Any, packed: Any) -> None:
        self.asking = False
        if not self.state.aside or not isinstance(packed, bytes):
            self._again()
            return
        try:
            table = self.build(text_of(packed, value["digest"]))
        except ValueError as fault:
            self.host.log(f"drift monitor: a majority's text can't be read: {fault}")
        else:
            self.rebuilding = True
            self.word.restore(value, table, packed)
            self.rebuilding = False
            if self.rebuild() and self.relapses < MAX_RELAPSES:
                self._event(states.MATCHED, "renewed from a majority")
                return
        self.relapses = max(0, self.relapses - 1)
        self._event(states.VAIN, self._whole() or "it slips again and again")
        self._again()

    # Telling.

    @property
    def unfit(self) -> bool:
        """Whether this node is not ready: it cannot heal."""
        return self.state.at == states.QUARANTINED and self.leave is not None and bool(self.leave.holds())

    def _tell(self, by: str, what: str) -> None:
        """Tell the control nodes of a slip, for their histories; a flood of slips tells no more than one."""
        record = [self.sidecar.settings.ip, self.host.wall_time(), by, what, self.word.revision]
        now = self.host.now()
        if now - self.told_at >= TELL_S:
            self.told_at = now
            for core in self.sidecar.control_nodes()[:MAX_TOLD]:
                self.sidecar.caller.call(core, rpc_methods.DRIFT_REPORT, record, 1.0, lambda answer: None)

    def view(self) -> dict[str, object]:
        """Who runs what, for an operator. Times in seconds."""
        word, state, now = self.word, self.state, self.host.now()
        live = {} if word.table is None else scan.tree(word.table, self.rules, word.evacuated)
        return {
            "node": self.sidecar.settings.ip,
            "zone": self.sidecar.settings.zone,
            "state": states.NAMES[state.at],
            "for": round(now - state.since, 3),
            "why": state.why,
            "revision": word.revision,
            "version": f"r{word.version}",
            "digest": word.digest,
            "root": digests.root(live).hex(),
            "branches": {name: live[name].hex() for name in live},
            "caught": dict(self.caught),
            "refused": self.refused,
            "handed": self.sidecar.source.delegated,
            "changes": state.changes,
            "slips": self.slips,
            "standing": self.standing,
            "leave-refused": self.grudged,
        }

    def methods(self) -> dict[str, Any]:
        """What others may call."""

        def view(args: Any, reply: Reply, peer: Address) -> None:
            reply(self.view())

        return {rpc_methods.DRIFT_VIEW: view}

    def counters(self) -> str:
        """For a log line."""
        caught = " ".join(f"{by}={many}" for by, many in sorted(self.caught.items()))
        state, handed = states.NAMES[self.state.at], self.sidecar.source.delegated
        return f"drift monitor {state} refused={self.refused} handed={handed} caught {caught or 'none'}"
