"""The order key scenario with two protocols: HTTP clients, and CoAP units over a lossy network."""

from __future__ import annotations

import re
import sys
from pathlib import Path
from typing import Any

from honeywharf.standins import node
from honeywharf.standins.backend import Backend, now_ms
from honeywharf.standins.coapnode import CoapBackend
from honeywharf.standins.lossy import LossyNetwork
from honeywharf.standins.order_key_scenario import OrderKeyFleet, OrderKeyScenario
from honeywharf.standins.units import GIVEN_UP, Unit

UNITS = 32
MAX_DELAY_S = 0.2
COAP_FEATURES = '[coap]\nlisten = "127.0.0.1:{}"\nnodes = true\nnstart = 16\n'


class TwoProtocolScenario(OrderKeyScenario):
    """Sends every second request by CoAP."""

    def __init__(self, fleet: OrderKeyFleet, keys: int, seed: int, units: list[Unit]) -> None:
        super().__init__(fleet, keys, seed)
        self.units, self.by_coap = units, 0
        # A unit may send its last datagram just before it gives up. The proxy counts the time left from the
        # arrival of that datagram.
        self.late_ms = MAX_DELAY_S * 1000.0

    async def send_once(self, key: str, repeat: bool, port: int, left_ms: int) -> None:
        """Sends and records one request, every second one by CoAP."""
        if (self.serial + 1) % 2:
            await super().send_once(key, repeat, port, left_ms)
            return
        self.serial += 1
        self.by_coap += 1
        name = f"o{self.serial}"
        self.history.requested(name, key, now_ms(), repeat)
        status, body = await self.units[self.serial // 2 % UNITS].order(name, key, max(left_ms, 400), repeat)
        late = self.late_ms + max(left_ms, 400) if status == GIVEN_UP else 0.0
        self.history.answered(name, now_ms(), status, body, late)


async def run_scenario(
    features: str,
    keys: int,
    seed: int,
    folder: Path,
    program: tuple[str, ...] = (sys.executable, "-m", "honeywharf"),
) -> dict[str, Any]:
    """Runs the scenario on a fleet of its own. Returns the figures."""
    (port,) = node.free_ports(1)
    fleet = OrderKeyFleet(
        features + COAP_FEATURES.format(port), seed, folder, 1, None, program, (Backend, CoapBackend)
    )
    network = await LossyNetwork(
        ("127.0.0.1", port), seed, loss=0.3, duplicate=0.1, delay_s=MAX_DELAY_S
    ).start()
    units = [await Unit(seed * 1000 + i).connect(network.port) for i in range(UNITS)]
    try:
        scenario = TwoProtocolScenario(await fleet.start(), keys, seed, units)
        figures = await scenario.run()
        figures["by CoAP"] = scenario.by_coap
        figures["datagrams"], figures["lost"] = network.delivered + network.lost, network.lost
    finally:
        for unit in units:
            unit.close()
        network.stop()
        await fleet.stop()
    text = "".join(path.read_text("utf-8", "replace") for path in folder.glob("*.log"))
    for name in ("duplicate", "late_duplicate", "not_acknowledged"):
        figures[name] = sum(int(n) for n in re.findall(rf"coap:{name}=(\d+)", text))
    figures["by CoAP nodes"] = sum(b.accepted for b in fleet.backends if isinstance(b, CoapBackend))
    return figures
