"""Retry and reconnect storms: noticed, damped, and told when to return. Rules without I/O.

Theory of operation. After many nodes die at once their clients try again and reconnect together, and the wave
knocks over what survived. Five parts, each with its bounds; times are ms on the caller's clock:

    sketch     which requests are repeats, marked or not, and which of those come as they were told: Bloom
               filters under a secret, a fixed number of bytes whatever the number of clients
    detector   what comes in a window beside what is usual for the hour; the state as a table of transitions
    budget     how many repeats may be begun, as a part of first tries, by tenant and over all
    advice     when the refused are told to come back: a calendar that promises no time twice
    storms     the four together: what the decision module asks for each request

    CALM -> RISING -> STORM -> EBBING -> CALM        the states; `detector.TABLE` has every transition

What holds, whatever comes:

- A first try is never turned away here, and a rise of first tries alone is no storm.
- In a storm repeats that are begun stay within RATIO of first tries, each tenant's within its own; so one
  customer's storm costs the others nothing.
- Those that come as told are served before those that come early or were told nothing, and an early repeat
  gains nothing: it takes no promise of another's, and its own stays where it was.
- After a storm the budget is widened in steps, and the state falls back one step at a time.
- Nothing is answered late: what is turned away is refused at once, with a time to return.

Two proxies never agree on anything here: each draws its own times, so they do not step in time.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Mapping
from typing import TYPE_CHECKING

from honeywharf.core.components import Component
from honeywharf.storms.storms import Rules, Storms

if TYPE_CHECKING:
    from honeywharf.config.features import Storms as Features
    from honeywharf.core.components import ProxyContext

__all__ = ["Rules", "Storms", "StormsPart", "attach"]


class StormsPart(Component):
    """The storms that one proxy sees."""

    def __init__(self, storms: Storms) -> None:
        self.storms = storms

    def counts(self) -> Mapping[str, int]:
        """Repeats turned away, promises kept and broken, times told beyond use, forgotten too early."""
        s = self.storms
        return {
            "storms:turned away": s.turned_away,
            "storms:promises kept": s.kept_promises,
            "storms:promises broken": s.broken_promises,
            "storms:told beyond": s.advice.beyond,
            "storms:forgotten early": s.seen.early,
        }


def attach(proxy: ProxyContext, features: Features) -> Component:
    """Let the proxy's decision module watch for storms, and its listener be paced."""
    settings = proxy.driver.settings
    rules = Rules(
        span_ms=max(c.deadline_ms for c in settings.classes),
        most=features.names,
        ratio=features.ratio,
        cap_ms=max(200.0, settings.limits.max_retry_after_ms),
        aim_ms=min(c.aim_ms for c in settings.classes),
    )
    storms = Storms(rules, random.Random(secrets.randbits(64)), secrets.token_bytes(32))
    proxy.balancer.storms = storms
    hooks = proxy.driver.hooks
    hooks.storm_control, hooks.pace = True, proxy.front.pace
    proxy.front.paced = True
    return StormsPart(storms)
