"""Builders and a driver of the balancer that tests share."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from honeywharf.policy import interface as api
from honeywharf.policy.balancer import Balancer

Actions = list[api.Action]

REPEATABLE = api.RequestClass("read", aim_ms=1000, deadline_ms=2000)
ONCE = api.RequestClass("write", aim_ms=1000, deadline_ms=2000, effect=api.Effect.ONCE)
KEYED = api.RequestClass(
    "keyed",
    aim_ms=1000,
    deadline_ms=2000,
    effect=api.Effect.KEYED,
    scope=api.DedupeScope.CELL,
    window_ms=1500,
)


def make_settings(**changes: Any) -> api.Settings:
    """Returns settings with two zones and three classes. `changes` replaces fields."""
    fields: dict[str, Any] = {
        "zone": "a",
        "zones": 2,
        "classes": (REPEATABLE, ONCE, KEYED),
        "limits": api.Limits(max_attempts=3, cancel=True, retry_after=True, max_retry_after_ms=1000),
        "rules": api.Rules(cold_share=0.2, warm_after_ms=10000, ask_every_ms=10000),
    }
    fields.update(changes)
    return api.Settings(**fields)


def endpoint(name: str, zone: str = "a", **changes: Any) -> api.Endpoint:
    return api.Endpoint(name, zone, **changes)


class Driver:
    """Drives one balancer with events and a manual clock."""

    def __init__(self, settings: api.Settings | None = None, seed: int = 7) -> None:
        self.balancer = Balancer(settings or make_settings(), seed)
        self.now = 1000.0
        self.count = 0
        self.feed(api.Started())

    def feed(self, event: api.Event) -> Actions:
        return self.balancer.handle(self.now, event)

    def list(self, endpoints: Iterable[api.Endpoint], kind: api.ListKind = api.ListKind.FULL) -> Actions:
        return self.feed(api.EndpointsListed(kind, tuple(endpoints)))

    def settle(self) -> None:
        """Sets the limits of all zones to the first limit, as a first answer does."""
        for zone in self.balancer.endpoints.zones.values():
            zone.limiter.limit = zone.limiter.first_limit

    def request(self, class_name: str = "read", remaining_ms: float = 2000, **changes: Any) -> Actions:
        self.count += 1
        return self.feed(api.RequestArrived(f"r{self.count}", class_name, remaining_ms, **changes))

    def end(
        self,
        outcome: api.Outcome,
        attempt: int = 0,
        request: str | None = None,
        after_ms: float = 50.0,
        **changes: Any,
    ) -> Actions:
        """Ends an attempt of the last or the given request after `after_ms`."""
        self.now += after_ms
        changes.setdefault("request_over", outcome is api.Outcome.OK)
        return self.feed(api.AttemptEnded(request or f"r{self.count}", attempt, outcome, after_ms, **changes))

    def fill(self, calls: int, outcome: api.Outcome = api.Outcome.OK) -> dict[str, int]:
        """Makes calls that all end with `outcome`. Returns the number sent to each endpoint."""
        sent: dict[str, int] = {}
        for _ in range(calls):
            for action in self.request():
                if isinstance(action, api.Send):
                    sent[action.endpoint] = sent.get(action.endpoint, 0) + 1
            self.end(outcome, after_ms=1.0, request_over=True)
        return sent


def only_send(actions: list[api.Action]) -> api.Send:
    """Returns the single Send among the actions."""
    sends = [a for a in actions if isinstance(a, api.Send)]
    assert len(sends) == 1, actions
    return sends[0]


def only_refusal(actions: list[api.Action]) -> api.Refuse:
    """Returns the single action, which must be a refusal with a `retry_after_ms`."""
    (action,) = actions
    assert isinstance(action, api.Refuse), actions
    assert 200.0 <= action.retry_after_ms <= 600.0
    return action
