"""The bad day of order keys by two protocols: each request by HTTP, or by a field unit over a bad network."""

from __future__ import annotations

import re
import sys
from pathlib import Path
from typing import Any

from honeywharf.standins import node
from honeywharf.standins.backend import Backend, now_ms
from honeywharf.standins.coapnode import CoapBackend
from honeywharf.standins.keyday import Day, Site
from honeywharf.standins.lossy import LossyNetwork
from honeywharf.standins.units import GIVEN_UP, Unit

UNITS = 32
DELAY_S = 0.2  # the longest time that a datagram is on its way
COAP = '[coap]\nlisten = "127.0.0.1:{}"\nnodes = true\nnstart = 16\n'


class BothDay(Day):
    """A day on which each request comes by one protocol or the other."""

    def __init__(self, site: Site, keys: int, seed: int, units: list[Unit]) -> None:
        super().__init__(site, keys, seed)
        self.units, self.by_coap = units, 0
        # A unit that gives up has sent its last datagram just before; the time left that it names is counted
        # from when the proxy reads it.
        self.late_ms = DELAY_S * 1000.0

    async def once(self, key: str, repeat: bool, port: int, left_ms: int) -> None:
        """One request, recorded; every second one by CoAP."""
        if (self.serial + 1) % 2:
            await super().once(key, repeat, port, left_ms)
            return
        self.serial += 1
        self.by_coap += 1
        name = f"o{self.serial}"
        self.history.asked(name, key, now_ms(), repeat)
        status, body = await self.units[self.serial // 2 % UNITS].order(name, key, max(left_ms, 400), repeat)
        late = self.late_ms + max(left_ms, 400) if status == GIVEN_UP else 0.0
        self.history.answered(name, now_ms(), status, body, late)


async def day(
    features: str,
    keys: int,
    seed: int,
    folder: Path,
    program: tuple[str, ...] = (sys.executable, "-m", "honeywharf"),
) -> dict[str, Any]:
    """One day at a site of its own."""
    (port,) = node.free_ports(1)
    site = Site(features + COAP.format(port), seed, folder, 1, None, program, (Backend, CoapBackend))
    network = await LossyNetwork(("127.0.0.1", port), seed, loss=0.3, duplicate=0.1, delay_s=DELAY_S).start()
    units = [await Unit(seed * 1000 + i).to(network.port) for i in range(UNITS)]
    try:
        played = BothDay(await site.start(), keys, seed, units)
        found = await played.play()
        found["by CoAP"] = played.by_coap
        found["datagrams"], found["lost"] = network.delivered + network.lost, network.lost
    finally:
        for unit in units:
            unit.close()
        network.stop()
        await site.stop()
    text = "".join(path.read_text("utf-8", "replace") for path in folder.glob("*.log"))
    for name in ("duplicate", "late_duplicate", "not_acknowledged"):
        found[name] = sum(int(n) for n in re.findall(rf"coap:{name}=(\d+)", text))
    found["by CoAP nodes"] = sum(b.accepted for b in site.fleet if isinstance(b, CoapBackend))
    return found
