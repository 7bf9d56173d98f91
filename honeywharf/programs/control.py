"""The control plane's program: the operator's door, the register, and news of it."""

from __future__ import annotations

import signal
import sys
from functools import partial
from typing import TYPE_CHECKING

from honeywharf.control.mesh_state import MeshState
from honeywharf.control.operator import Operator
from honeywharf.control.replica import Replica
from honeywharf.control.store import Store
from honeywharf.drift.gather import Gather
from honeywharf.gossip.membership import Membership
from honeywharf.programs.duties import Duties
from honeywharf.programs.handing import Handing
from honeywharf.programs.start import settings_or_line
from honeywharf.transport.host import Address, Host
from honeywharf.transport.http_server import HttpServer
from honeywharf.transport.rpc import Answerer, Caller

if TYPE_CHECKING:
    from honeywharf.mesh_config.settings import Settings

MAX_BODY = 65 << 20  # bytes of a configuration
STOPPING = 0.9  # s that calls at work have after SIGTERM
HANDOVER_S = 2.0  # that a standby has to take this machine's place, and at most half of `grace-period`
LOADED = 0.5  # s after the start, when the door and the register have answered whoever waited
DISK_AGAIN = 0.2  # s after which a disk that fails at the start is tried again


class ControlNode:
    """One control node on its host."""

    def __init__(self, host: Host, settings: Settings) -> None:
        self.host, self.settings = host, settings
        self.here: Address = (settings.ip, settings.ports[0])
        self.caller = Caller(host)
        self.replica = Replica(
            host,
            Store(host),
            self.caller,
            self.here,
            settings.zone,
            [(ip, settings.ports[0]) for ip, _ in settings.seeds],
            settings.initial_start,
            self._state,
            self._cores,
        )
        self.membership: Membership | None = None
        self.door: HttpServer | None = None
        self.replica.client.linked(settings.link_mbps)
        self.operator = Operator(self.replica, settings.zones, settings.listen["control-plane"][1])
        self.stopping = self.handing_over = False
        self.gather = Gather(self)
        self.duties = Duties(self)
        self.handing = Handing(self)
        self._begin()

    def _begin(self) -> None:
        """Start once the disk can be read."""
        if self.stopping:
            return
        try:
            self.replica.start()
        except OSError as fault:
            self.host.log(f"control node: the disk fails: {fault}")
            self.host.after(DISK_AGAIN, self._begin)
            return
        settings, host = self.settings, self.host
        self.gather.start()
        self.handing.start()
        self.host.listen(self.here, Answerer(self.replica.methods, log=host.log).accept)
        self.membership = Membership(
            host,
            settings.ip,
            settings.ports[0],
            settings.zone,
            [ip for ip, _ in settings.seeds],
            {"core": True, "disk": self.replica.state.disk, "rev": max(0, self.replica.announced)},
            int(host.wall() * 1000),
        )
        self.membership.on_word = self._rumour
        self.door = HttpServer(host, settings.listen["control-plane"], self.operator.take, MAX_BODY)
        host.after(LOADED, self.operator.load)
        host.log(
            f"control node: {settings.node_name} at {settings.ip}, disk {self.replica.state.disk},"
            f" roster {self.replica.state.epoch}"
        )

    def _state(self, state: MeshState) -> None:
        """There is a newer word, and its text is here."""
        self.host.log(f"control node: revision {state.revision}, configuration r{state.version}")
        self.gather.word(state)
        self.handing.word(state)
        if self.membership is not None:
            self.membership.shout_word(state.revision)

    def _rumour(self, revision: int, holder: str) -> None:
        """Somebody holds a newer word."""
        if self.replica.known is None or revision > self.replica.known.revision:
            self.replica.learn_from((holder, self.here[1]))

    def _cores(self) -> list[Address]:
        """The other control nodes that news tell of."""
        if self.membership is None:
            return []
        return [
            (node, self.here[1])
            for node, entry in self.membership.entries().items()
            if node != self.here[0] and entry.say is not None and entry.say.get("core")
        ]

    def stop(self) -> None:
        """SIGTERM: take no further calls, end those at work, and exit within a second."""
        if self.stopping:
            return
        self.stopping = True
        self.operator.closing = True
        if self.door is not None:
            self.door.close()
        if self.membership is not None:
            self.membership.leave()
            self.membership.stop()
        self.handing_over = True
        within = min(HANDOVER_S, self.settings.bound("grace-period", 2 * HANDOVER_S) / 2)
        self.host.after(max(STOPPING, within), partial(self.host.exit, 0))
        self.replica.leave(within, self._handed_over)
        self._finish()

    def _handed_over(self) -> None:
        """The place has been taken, or there is nobody to take it: what is at work has a while to end."""
        self.handing_over = False
        self.host.after(STOPPING, partial(self.host.exit, 0))

    def _finish(self) -> None:
        if self.operator.at_work or self.handing_over:
            self.host.after(0.02, self._finish)
        else:
            self.host.after(0.02, partial(self.host.exit, 0))  # the answers are on their way


def main() -> int:
    """Run by the settings file that the platform names; 2 where it can't be used."""
    from honeywharf.transport.loop import Loop

    settings = settings_or_line("/etc/honeywharf/boot.yaml")
    if settings is None:
        return 2
    loop = Loop(settings.data_directory)
    program = ControlNode(loop, settings)
    loop.on_signal(signal.SIGTERM, program.stop)
    loop.on_signal(signal.SIGHUP, lambda: None)
    return loop.run()


if __name__ == "__main__":
    sys.exit(main())
