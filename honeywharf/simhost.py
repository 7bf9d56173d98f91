"""Hosts balancers of a simulation: reads batches from standard input, writes replies to standard output.

The host converts wire messages to events, and actions to wire messages. All decisions are the balancers'.
"""

from __future__ import annotations

import os
import sys
from typing import Any

import orjson

from honeywharf import wire
from honeywharf.policy import interface as api
from honeywharf.policy.balancer import Balancer
from honeywharf.reports.reports import LoadReports


class Host:
    """The balancer instances of one process. They share only the endpoint lists of `Ledger` messages."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.reports = os.environ.get("HONEYWHARF_REPORTS") == "1"  # Whether load reports are used.
        self.pages: dict[int, tuple[api.Endpoint, ...]] = {}
        self.round = 0

    def batch(self, message: Any) -> dict[str, Any]:
        """Processes one batch and returns the reply. Raises WireError for an invalid batch."""
        if not isinstance(message, dict):
            raise wire.WireError("a batch is an object")
        self.round = wire.integer(message, "round")
        now, events = wire.number(message, "tMs"), message.get("arrivals")
        if not isinstance(events, list):
            raise wire.WireError("arrivals: a list is wanted")
        output: list[dict[str, Any]] = []
        for event in events:
            if not isinstance(event, dict) or len(event) != 1:
                raise wire.WireError("an event is an object with one key, its name")
            name, fields = next(iter(event.items()))
            if not isinstance(fields, dict):
                raise wire.WireError(f"{name}: its fields are an object")
            try:
                self._on_event(now, name, fields, output)
            except wire.WireError as error:
                raise wire.WireError(f"{name}: {error}") from None
        return {"round": self.round, "output": output}

    def _on_event(self, now: float, name: str, fields: dict[str, Any], output: list[dict[str, Any]]) -> None:
        if name == "Ledger":
            self.pages[wire.integer(fields, "page")] = wire.members(fields)
            return
        instance = wire.integer(fields, "who")
        decode = wire.EVENTS.get(name)
        if decode is not None:
            self._handle(now, instance, decode(fields), output)
        elif name == "Membership":
            self._handle(now, instance, self._endpoints_listed(fields), output)
        elif name == "Born":
            self._instance_started(now, instance, fields, output)
        elif name == "Exit":
            self.balancers.pop(instance, None)
        else:
            raise wire.WireError("unknown event")

    def _instance_started(
        self, now: float, instance: int, fields: dict[str, Any], output: list[dict[str, Any]]
    ) -> None:
        seed = wire.integer(fields, "prng")
        try:
            settings = wire.born_settings(fields)
            balancer = self.balancers[instance] = Balancer(settings, seed)
            if self.reports:
                balancer.choice.loads = LoadReports(settings)
        except ValueError as error:
            raise wire.WireError(str(error)) from None
        self._handle(now, instance, api.Started(), output)

    def _endpoints_listed(self, fields: dict[str, Any]) -> api.EndpointsListed:
        kind = wire.list_kind(fields)
        if kind is api.ListKind.FAILED:
            return api.EndpointsListed(kind)
        page = wire.integer(fields, "page")
        if page not in self.pages:
            raise wire.WireError(f"page {page} was never sent")
        return api.EndpointsListed(kind, self.pages[page], wire.integer(fields, "serial", 0))

    def _handle(self, now: float, instance: int, event: api.Event, output: list[dict[str, Any]]) -> None:
        balancer = self.balancers.get(instance)
        if balancer is None:
            return
        try:
            actions = balancer.handle(now, event)
        except Exception as error:  # The protocol requires a Panic for a failed decision.
            output.append({"Panic": {"who": instance, "words": f"{type(error).__name__}: {error}"}})
            return
        for action in actions:
            name, encode = wire.ACTIONS[type(action)]
            body = encode(action)
            body["who"] = instance
            output.append({name: body})


def main() -> int:
    """Serves batches until the input ends. Returns 1 if a line is invalid."""
    host = Host()
    for line in sys.stdin.buffer:
        try:
            reply = host.batch(orjson.loads(line))
        except orjson.JSONDecodeError as error:
            print(f"after round {host.round}: malformed JSON: {error}", file=sys.stderr)
            return 1
        except wire.WireError as error:
            print(f"round {host.round}: {error}", file=sys.stderr)
            return 1
        sys.stdout.buffer.write(orjson.dumps(reply) + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
