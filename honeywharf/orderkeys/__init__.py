"""Idempotency keys at the edge: no key's effect twice while it is known here.

Theory of operation. A key is known by tenant, class and the value of `Idempotency-Key` (draft-ietf-httpapi-
idempotency-key-header); the same value from another tenant or in another class is another key. `table` holds
what is known of each key, in one of three states, and is all rules: no clock, no socket.

- running: a request holds the claim. A repeat joins it.
- done: the effect has happened once, and its answer is kept (or, where it is long, its digest).
- uncertain: no answer came, and an attempt may have run: where and when it was sent is kept.

`edge` stands between the callers' connections and the driver: it claims a key before anything is sent, joins
repeats, and gives a claim back once nothing of the request is out. A repeat of an uncertain key is a new
request to the decision module, which is told of the earlier attempt and holds the rules on cells and windows
for both as if they were one.

Keys that proxies share lie in Redis: `scripts` has the rules as it carries them out, `shared` one proxy's
side of them (claims asked for, ends owed, the breaker), without I/O as well, and `redis` the connection.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from honeywharf.core.parts import Ask, Part

if TYPE_CHECKING:
    from honeywharf.config.features import OrderKeys
    from honeywharf.core.parts import Assembly


class KeysPart(Part):
    """The keys of one proxy, for those who ask."""

    def __init__(self, proxy: Assembly, features: OrderKeys) -> None:
        from honeywharf.orderkeys.edge import Edge
        from honeywharf.orderkeys.views import Views

        assert isinstance(proxy.driver.seams.joins, Edge)
        self.edge, self.driver, self.features = proxy.driver.seams.joins, proxy.driver, features
        self.views = Views(proxy.driver.seams.joins, proxy.loop)

    def retuned(self) -> None:
        """How long a key is known goes by the classes; those of a class that went are known as before."""
        from honeywharf.orderkeys.edge import kept_ms

        self.edge.keep_ms = {**self.edge.keep_ms, **kept_ms(self.driver.settings, self.features)}

    def asks(self) -> Mapping[str, Ask]:
        """What is known of a key, and having it forgotten."""
        return self.views.asks()


def attach(proxy: Assembly, features: OrderKeys) -> Part:
    """The edge that the file of features asks for, before the proxy's driver; ValueError where the classes
    don't fit it.
    """
    if features.store == "redis":
        from honeywharf.orderkeys import redis

        proxy.driver.seams.joins = redis.make(proxy.driver, features, proxy.loop)
    else:
        from honeywharf.orderkeys import edge

        proxy.driver.seams.joins = edge.make(proxy.driver, features)
    return KeysPart(proxy, features)
