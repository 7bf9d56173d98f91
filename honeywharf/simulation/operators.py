"""The operator of a simulated deployment, who sends orders to control nodes and reads back.

The `InvariantChecker` is notified of what its connections show.
"""

from __future__ import annotations

from collections.abc import Callable

from honeywharf.simulation.http_peer import CONTROL_TIMEOUT_S, Caller, Message, text
from honeywharf.simulation.invariants import InvariantChecker, Order
from honeywharf.simulation.machine import Process
from honeywharf.transport.host import Address


class Operator:
    """Sends orders to control nodes until one gives a final answer; reads back at the end of the run."""

    def __init__(
        self, host: Process, invariant_checker: InvariantChecker, targets: Callable[[], list[Address]]
    ) -> None:
        self.host, self.invariant_checker, self.targets = host, invariant_checker, targets
        self.acked_by = ""  # The control node of the last acknowledgement.
        self.ack_loss_share = 0.0  # The share of the answers that are lost in transit.
        self.on_ack: Callable[[Order, str], None] = lambda order, ip: None
        # Called with the address of a control node when a connection to it is established.
        self.on_connected: Callable[[str], None] = lambda ip: None

    def order(self, order: Order, tries: int = 40, *, first: str = "") -> None:
        """Sends an order, and retries until it has a final answer.

        `first` is the address of the node to try first, and not again; empty for any.
        """
        self.invariant_checker.orders.append(order)
        order.sent = self.host.world.now
        self.host.world.record_event("operator", "sends", order)
        self.invariant_checker.notify("ordered", order)
        path = "configuration/replace" if order.kind == "config" else f"evacuations/{order.zone}/{order.kind}"
        headers: dict[str, object] = {"Host": "mesh", "Content-Type": "application/json"}
        self._send_until_answered(
            text(f"POST /api/{path} HTTP/1.1", headers, order.text),
            tries,
            lambda message, ip: self._finish_order(order, message, ip),
            first=first,
        )

    def _finish_order(self, order: Order, message: Message, ip: str) -> None:
        if message.status < 300:
            order.acked, self.acked_by = self.host.world.now, ip
            self.host.world.record_event("operator", "has an ack of", order, "from", ip)
            self.invariant_checker.notify("acked", order)
            self.on_ack(order, ip)
        else:
            self.host.world.record_event("operator", "is refused", order, "by", ip, message.status)
            self.invariant_checker.notify("refused", order, message.status)

    def read_back(self, tries: int = 40) -> None:
        """Reads the configuration, and retries until it has an answer."""
        self._send_until_answered(
            text("GET /api/configuration/describe HTTP/1.1", {"Host": "mesh"}),
            tries,
            lambda message, ip: self.invariant_checker.notify("read_back", message.body),
            lambda: self.invariant_checker.notify("read_back", b""),
        )

    def _send_until_answered(
        self,
        data: bytes,
        tries: int,
        on_final_answer: Callable[[Message, str], None],
        on_failure: Callable[[], None] = lambda: None,
        first: str = "",
        avoided: str = "",
    ) -> None:
        if not tries:
            on_failure()
            return
        targets = [to for to in self.targets() if to[0] != avoided]
        to = self.host.world.random.choice([to for to in targets if to[0] == first] or targets)
        finished: list[bool] = []

        def end(message: Message | None) -> None:
            if finished:
                return
            finished.append(True)
            caller.leave() if message is None else caller.close()
            if (
                message is not None
                and self.ack_loss_share
                and self.host.world.random.random() < self.ack_loss_share
            ):
                message = None
            status = 0 if message is None else message.status
            if message is not None and 200 <= status < 500 and status not in (307, 404, 408, 429):
                on_final_answer(message, to[0])
            else:
                self.host.after(0.1, retry)

        def retry() -> None:
            self._send_until_answered(data, tries - 1, on_final_answer, on_failure, avoided=first or avoided)

        caller = Caller(self.host, to, lambda tag, message: end(message))
        caller.on_opened = lambda: self.on_connected(to[0])
        caller.send_request(None, data)
        self.host.after(CONTROL_TIMEOUT_S, lambda: end(None))
