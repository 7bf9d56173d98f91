"""Host for many balancers on the wire: batches on standard input, replies on standard output.

It turns wire messages into events and actions into wire messages. It decides nothing.
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
    """The instances of one process. They share nothing but the lists the wire shares."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.reports = os.environ.get("HONEYWHARF_REPORTS") == "1"  # whether load reports are read
        self.pages: dict[int, tuple[api.Endpoint, ...]] = {}
        self.round = 0

    def batch(self, message: Any) -> dict[str, Any]:
        """Answer one batch."""
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
                self._event(now, name, fields, output)
            except wire.WireError as fault:
                raise wire.WireError(f"{name}: {fault}") from None
        return {"round": self.round, "output": output}

    def _event(self, now: float, name: str, fields: dict[str, Any], output: list[dict[str, Any]]) -> None:
        if name == "Ledger":
            self.pages[wire.integer(fields, "page")] = wire.members(fields)
            return
        who = wire.integer(fields, "who")
        decode = wire.EVENTS.get(name)
        if decode is not None:
            self._handle(now, who, decode(fields), output)
        elif name == "Membership":
            self._handle(now, who, self._listed(fields), output)
        elif name == "Born":
            self._born(now, who, fields, output)
        elif name == "Exit":
            self.balancers.pop(who, None)
        else:
            raise wire.WireError("unknown event")

    def _born(self, now: float, who: int, fields: dict[str, Any], output: list[dict[str, Any]]) -> None:
        seed = wire.integer(fields, "prng")
        try:
            settings = wire.born_settings(fields)
            made = self.balancers[who] = Balancer(settings, seed)
            if self.reports:
                made.choice.loads = LoadReports(settings)
        except ValueError as fault:
            raise wire.WireError(str(fault)) from None
        self._handle(now, who, api.Started(), output)

    def _listed(self, fields: dict[str, Any]) -> api.EndpointsListed:
        kind = wire.list_kind(fields)
        if kind is api.ListKind.FAILED:
            return api.EndpointsListed(kind)
        page = wire.integer(fields, "page")
        if page not in self.pages:
            raise wire.WireError(f"page {page} was never sent")
        return api.EndpointsListed(kind, self.pages[page], wire.integer(fields, "serial", 0))

    def _handle(self, now: float, who: int, event: api.Event, output: list[dict[str, Any]]) -> None:
        balancer = self.balancers.get(who)
        if balancer is None:
            return
        try:
            actions = balancer.handle(now, event)
        except Exception as fault:  # the wire wants a broken decision told, never swallowed
            output.append({"Panic": {"who": who, "words": f"{type(fault).__name__}: {fault}"}})
            return
        for action in actions:
            name, encode = wire.ACTIONS[type(action)]
            body = encode(action)
            body["who"] = who
            output.append({name: body})


def main() -> int:
    """Serve batches until the input ends; 1 when a line was not what the wire allows."""
    host = Host()
    for line in sys.stdin.buffer:
        try:
            reply = host.batch(orjson.loads(line))
        except orjson.JSONDecodeError as fault:
            print(f"after round {host.round}: malformed JSON: {fault}", file=sys.stderr)
            return 1
        except wire.WireError as fault:
            print(f"round {host.round}: {fault}", file=sys.stderr)
            return 1
        sys.stdout.buffer.write(orjson.dumps(reply) + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
