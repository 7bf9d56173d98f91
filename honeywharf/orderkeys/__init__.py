"""Deduplication by idempotency key: no key's effect happens twice while the key is known.

Theory of operation. A key is identified by tenant, class and the value of `Idempotency-Key`
(draft-ietf-httpapi-idempotency-key-header); the same value from another tenant or in another class is another
key. `table` holds the keys and the rules for their three states, without a clock or sockets.

- running: a request holds the claim. A repeat joins it.
- done: the effect has happened once, and its answer is kept (or the digest of a long answer).
- uncertain: no answer came and an attempt may have run; where and when it was sent is kept.

`deduplicator` stands between the clients' connections and the driver: it claims a key before anything is
sent, joins repeats, and releases the claim once no attempt of the request is in flight. A repeat of an
uncertain key is a new request to the decision module, which is notified of the earlier attempt and applies
its rules on cells and windows to both as if they were one request.

Keys that proxies share are stored in Redis: `scripts` has the rules as Redis executes them, `shared_store`
one proxy's side of the protocol without I/O (claims, unconfirmed ends, circuit breaker), and `redis` the
connection.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from honeywharf.core.components import Component, OperatorCommand

if TYPE_CHECKING:
    from honeywharf.config.features import OrderKeys
    from honeywharf.core.components import ProxyContext


class OrderKeysComponent(Component):
    """The operators' access to one proxy's keys."""

    def __init__(self, proxy: ProxyContext, features: OrderKeys) -> None:
        from honeywharf.orderkeys.deduplicator import KeyDeduplicator
        from honeywharf.orderkeys.operator_commands import KeyCommands

        assert isinstance(proxy.driver.hooks.request_deduplicator, KeyDeduplicator)
        self.deduplicator, self.driver, self.features = (
            proxy.driver.hooks.request_deduplicator,
            proxy.driver,
            features,
        )
        self.key_commands = KeyCommands(proxy.driver.hooks.request_deduplicator, proxy.loop)

    def settings_changed(self) -> None:
        """Updates how long keys are kept for each class; classes that were removed keep their value."""
        from honeywharf.orderkeys.deduplicator import keep_times_ms

        self.deduplicator.keep_ms = {
            **self.deduplicator.keep_ms,
            **keep_times_ms(self.driver.settings, self.features),
        }

    def operator_commands(self) -> Mapping[str, OperatorCommand]:
        """Returns the commands that show a key and remove it."""
        return self.key_commands.operator_commands()


def attach(proxy: ProxyContext, features: OrderKeys) -> Component:
    """Installs the deduplicator that the features file configures.

    ValueError if its times do not fit the classes.
    """
    if features.store == "redis":
        from honeywharf.orderkeys import redis

        proxy.driver.hooks.request_deduplicator = redis.make(proxy.driver, features, proxy.loop)
    else:
        from honeywharf.orderkeys import deduplicator

        proxy.driver.hooks.request_deduplicator = deduplicator.make(proxy.driver, features)
    return OrderKeysComponent(proxy, features)
