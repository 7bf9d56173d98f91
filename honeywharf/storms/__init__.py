"""Detects and damps retry and reconnect storms. Rules without I/O.

Theory of operation. After many nodes fail at once, their clients retry and reconnect together, which can
overload the nodes that are left. The parts, each with bounded state; times are ms on the caller's clock:

    sketch            which requests are repeats, marked or not, and which of those come at their return time:
                      keyed Bloom filters of a fixed size, whatever the number of clients
    detector          compares the last window with the baseline for the hour; the state machine
    budget            how many repeats are admitted, as a ratio of first attempts, for each tenant
    return_schedule   the return times announced to refused clients, bounded by slot
    storms            joins these parts for the decision module, which queries them for each request

    CALM -> RISING -> STORM -> EBBING -> CALM    the states; `detector.TRANSITIONS` has every transition

Invariants:

- A first attempt is never refused here, and a rise of first attempts alone is not a storm.
- In a storm the admitted repeats stay within `ratio` of first attempts, for each tenant separately. One
  tenant's storm takes nothing from the others.
- Repeats at their return time are served before those that come early or without one. An early repeat gains
  nothing: it keeps its own promised time, and takes no other client's.
- After a storm the budget is widened in steps, and the state falls back one step at a time.
- A repeat is refused at once, with a time to return.

Proxies share no state here: each draws its own return times, which keeps them out of step with each other.
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
    """Storm control of one proxy."""

    def __init__(self, storms: Storms) -> None:
        self.storms = storms

    def counts(self) -> Mapping[str, int]:
        """Returns counts of refused repeats, promises kept and broken, late return times, early rotations."""
        s = self.storms
        return {
            "storms:turned away": s.refused_repeats,
            "storms:promises kept": s.kept_promises,
            "storms:promises broken": s.broken_promises,
            "storms:told beyond": s.schedule.past_horizon,
            "storms:forgotten early": s.seen.early_rotations,
        }


def attach(proxy: ProxyContext, features: Features) -> Component:
    """Attaches storm control to the proxy's decision module and lets its listener be paced."""
    settings = proxy.driver.settings
    rules = Rules(
        span_ms=max(c.deadline_ms for c in settings.classes),
        max_names=features.names,
        ratio=features.ratio,
        max_return_ms=max(200.0, settings.limits.max_retry_after_ms),
        aim_ms=min(c.aim_ms for c in settings.classes),
    )
    storms = Storms(rules, random.Random(secrets.randbits(64)), secrets.token_bytes(32))
    proxy.balancer.storms = storms
    hooks = proxy.driver.hooks
    hooks.storm_control, hooks.pace = True, proxy.front.pace
    proxy.front.paced = True
    return StormsPart(storms)
