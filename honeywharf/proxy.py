"""Assembles one running proxy from its parts, and runs it."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import socket
import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

import uvloop

from honeywharf import limits
from honeywharf.config import node as config
from honeywharf.core.components import Component, OperatorCommand
from honeywharf.core.driver import Driver
from honeywharf.core.transport import AddressBook, Clock, Transport, log
from honeywharf.discovery.watch import Directory, Watch
from honeywharf.flow.buffer_budget import MEMORY_SHARE, BufferBudget
from honeywharf.http.backend import Pool
from honeywharf.http.front import Front
from honeywharf.policy import interface as api
from honeywharf.policy.balancer import Balancer
from honeywharf.service.controller import ServiceController

if TYPE_CHECKING:
    from honeywharf.config.features import Features
    from honeywharf.service.operator_server import OperatorServer

# The process needs descriptors of its own for the interpreter, the event loop, the listener and discovery,
# and spare ones to accept connections while others close. The rest is divided between clients and backends:
# each request of a client needs a backend connection, and idle clients need none.
OWN_DESCRIPTORS_SHARE, MIN_OWN_DESCRIPTORS = 1 / 10, 20
UPSTREAM_DESCRIPTORS_SHARE = 2 / 5
STATS_INTERVAL_S = 10.0


class Proxy:
    """One running proxy."""

    def __init__(
        self,
        conf: config.Config,
        loop: asyncio.AbstractEventLoop,
        features: Features | None = None,
    ) -> None:
        self.conf, self.loop, self.clock = conf, loop, Clock()
        self.name = conf.name
        sockets = min(conf.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        usable = sockets - min(max(MIN_OWN_DESCRIPTORS, int(sockets * OWN_DESCRIPTORS_SHARE)), sockets // 2)
        upstream = min(int(sockets * UPSTREAM_DESCRIPTORS_SHARE), usable // 2)
        self.buffer_budget = BufferBudget(int(conf.memory_mb * 1024 * 1024 * MEMORY_SHARE))
        self.pool = Pool(loop, self.clock, conf.settings.limits, upstream, self.buffer_budget)
        limiter = features.limits.limiter if features is not None else limits.DEFAULT
        self.balancer = Balancer(conf.settings, conf.seed, limiter)
        self.transport: Transport = self.pool
        self.address_books: dict[str, AddressBook] = {"http": self.pool}
        self.driver = Driver(conf.settings, self.balancer, self.pool, loop, self.clock, conf.report_fields)
        self.directory = Directory(self.address_books)
        self.watch = Watch(
            loop,
            self.clock,
            conf.discovery,
            self.directory,
            self.update_endpoints,
            polled=conf.settings.polled_discovery,
        )
        self.driver.registry = self.watch
        self.pool.on_broken = self.driver.answer_broken
        self.front = Front(
            loop, self.clock, self.driver, usable - upstream, lambda: self.watch.up, self.buffer_budget
        )
        self.controller = ServiceController(
            loop, self.clock, self.front, self, max(c.deadline_ms for c in conf.settings.classes)
        )
        self.features = features
        self.components: list[Component] = attach_features(self, features) if features is not None else []
        self.operator_server: OperatorServer | None = None
        self.reported_counts: dict[str, int] = {}
        self.environ: Mapping[str, str] = os.environ

    def in_force(self) -> dict[str, object]:
        """Returns the effective configuration and where each value was read."""
        from honeywharf.config import source

        return source.effective_configuration(self.conf, self.features, self.environ)

    def add_transport(self, scheme: str, transport: Transport, book: AddressBook) -> None:
        """Adds a transport for endpoints of a scheme, beside the existing ones."""
        from honeywharf.core.transport_router import TransportRouter

        self.address_books[scheme] = book
        self.transport = self.driver.transport = TransportRouter(self.transport, transport)

    async def run(self) -> None:
        """Serves until SIGTERM, and then until the graceful shutdown has finished."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.drain)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.update_endpoints(self.directory.take(self.conf.known, api.ListKind.CACHED), self.driver.start)
        inherited = inherited_listener(self.conf.inherited)
        self.controller.shares_listener = inherited is not None
        if inherited is not None and os.environ.get("TMPDIR"):
            from honeywharf.handover.component import Handover

            handover = Handover(
                self.loop,
                self.clock,
                os.environ["TMPDIR"],
                inherited.getsockname()[:2],
                self.controller,
                self.balancer,
                self.directory,
                self.front,
                self.driver.sibling_calls_changed,
            )
            newer_list = await handover.request_state()
            if newer_list is not None:
                self.update_endpoints(newer_list)
            handover.import_learned_state()
            self.components.append(handover)
        host, port = await self.front.listen(self.conf.listen, inherited)
        log(f"{self.conf.name} listens on {host}:{port}", "listening", fields={"host": host, "port": port})
        self.controller.listening()
        for component in self.components:
            message = await component.start()
            if message:
                log(f"{self.conf.name} {message}", "feature")
        if not self.conf.settings.polled_discovery:
            self.watch.watch()
        if self.conf.operator is not None:
            from honeywharf.service.operator_server import OperatorServer

            self.operator_server = OperatorServer(self.loop, self.controller.execute)
            host, port = await self.operator_server.listen(self.conf.operator)
            log(
                f"{self.conf.name} takes operators' commands on {host}:{port}",
                "listening",
                fields={"host": host, "port": port},
            )
        self.loop.call_later(STATS_INTERVAL_S, self._log_stats)
        gc.collect()
        gc.freeze()  # Long-lived objects are excluded from later collections.
        gc.set_threshold(20000, 20, 50)
        await self.controller.stopped.wait()
        if self.operator_server is not None:
            self.operator_server.close()
        for component in self.components:
            component.close()
        self._log_stats()

    def update_endpoints(
        self,
        event: api.EndpointsListed,
        notify: Callable[[api.EndpointsListed], None] | None = None,
    ) -> None:
        """Passes a list from discovery to the driver, and its ids to the bans."""
        self.controller.bans.set_listed(self.directory.rows)
        (notify or self.driver.endpoints_listed)(event)

    def reload(self) -> None:
        """Applies a new configuration file completely or not at all. Requests in flight go on."""
        from honeywharf.config import reloading

        old = self.conf
        try:
            conf = config.load(self.environ)
            reloading.check(old, conf)
            faults = list(feature_conflicts(self.features, conf)) if self.features is not None else []
            if faults:
                raise reloading.ReloadError("{}: {}".format(*faults[0]))
            # The settings in force may still contain classes that an earlier reload has removed.
            between = reloading.transition_settings(self.driver.settings, conf.settings)
            former = reloading.former_classes(self.driver.settings, conf.settings)
        except Exception as fault:  # An invalid file must not end a proxy in service.
            log(
                f"reload: {fault or type(fault).__name__}; the current configuration stays in force",
                "reload.failed",
                "error",
            )
            return
        self.conf = replace(
            conf, listen=old.listen, sockets=old.sockets, operator=old.operator, inherited=old.inherited
        )
        if conf.discovery != old.discovery:
            log(f"reload: discovery moved to {conf.discovery[0]}:{conf.discovery[1]}", "reload.done")
        if (conf.listen, conf.sockets, conf.operator) != (old.listen, old.sockets, old.operator):
            log("reload: new addresses and limits apply after a restart", "reload.waits", "warning")
        if (conf.settings, conf.report_fields) != (old.settings, old.report_fields):
            names = ", ".join(c.name for c in conf.settings.classes)
            log(
                f"reload: new settings for classes {names}",
                "reload.done",
                fields={"classes": [c.name for c in conf.settings.classes]},
            )
            grace_s = reloading.transition_ms(self.driver.settings, conf.settings) / 1000.0
            self._apply_settings(between, former)
            self.loop.call_later(grace_s, self._finish_reload, self.conf)
        self.watch.move(conf.discovery)

    def _apply_settings(self, settings: api.Settings, former: dict[str, api.RequestClass]) -> None:
        """Applies new settings to all parts."""
        self.driver.change_settings(settings, self.conf.report_fields, former)
        self.pool.retune(settings.limits)
        self.controller.lifecycle.longest_deadline_ms = max(c.deadline_ms for c in settings.classes)
        for component in self.components:
            component.settings_changed()

    def _finish_reload(self, conf: config.Config) -> None:
        """Drops the former classes after the grace period, unless there was another reload."""
        if self.conf is conf:
            self._apply_settings(conf.settings, {})

    def drain(self) -> None:
        """Starts the graceful shutdown, without losing a request; see DEPLOY and PROTOCOL on restarts."""
        self.controller.terminate()

    def operations(self) -> Mapping[str, OperatorCommand]:
        """The operators' commands to the proxy, for every admin interface."""
        return self.controller.operator_commands()

    # The methods that the service controller calls.

    def exclude_endpoints(self, excluded_ms: Mapping[str, float]) -> None:
        """Sets the endpoints that operators have banned, with the time of each ban."""
        self.directory.exclude(excluded_ms)
        self.driver.endpoints_excluded(frozenset(excluded_ms))

    def drain_components(self) -> None:
        """Tells the components that the process ends, so that they accept nothing new."""
        for component in self.components:
            component.drain()

    def has_pending_answers(self) -> bool:
        """Whether a client without a connection still waits for an answer."""
        return any(component.has_pending_answers() for component in self.components)

    def limit_answers(self, until_ms: float) -> None:
        """Rejects later requests whose deadlines are after `until_ms`."""
        self.driver.answers_until_ms = until_ms

    def answer_all(self) -> None:
        """Answers all requests in flight before the platform kills the process."""
        self.driver.fail_all()

    def counts(self) -> dict[str, int]:
        """Returns event counts since the start, with those of the components."""
        counts = dict(self.driver.counts, handshakes=self.pool.handshakes)
        if self.buffer_budget.transferred_bytes:
            counts.update(
                {
                    "bodies:mb": self.buffer_budget.transferred_bytes >> 20,
                    "bodies:refused": self.buffer_budget.rejected,
                    "bodies:answers": self.pool.streams,
                }
            )
        for component in self.components:
            counts.update(component.counts())
        return counts

    def _log_stats(self) -> None:
        """Logs the counts that have changed since the last line, at regular intervals."""
        counts = self.counts()
        changed = {
            k: v - self.reported_counts.get(k, 0)
            for k, v in counts.items()
            if v != self.reported_counts.get(k, 0)
        }
        if changed:
            log(
                "stats " + " ".join(f"{k.replace(' ', '_')}={v}" for k, v in sorted(changed.items())),
                "stats",
                fields=changed,
            )
        self.reported_counts = counts
        self.loop.call_later(STATS_INTERVAL_S, self._log_stats)


def inherited_listener(descriptor: int) -> socket.socket | None:
    """Returns the listening socket that the platform has opened; None if there is none.

    Raises ConfigError if the descriptor is not a listening socket.
    """
    if descriptor < 0:
        return None
    try:
        listener = socket.socket(fileno=descriptor)
        if listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return listener
        listener.detach()
        actual = "a socket that does not listen"
    except OSError as fault:
        actual = fault.strerror or str(fault)
    raise config.ConfigError(f"NODE_INHERITED_FD: expected a listening socket at {descriptor}, got {actual}")


def attach_features(proxy: Proxy, features: Features) -> list[Component]:
    """Creates the components of the enabled features. Disabled features are not imported, to save memory."""
    components: list[Component] = []
    if (features.log.format, features.log.level) != ("plain", "info"):
        from honeywharf import logs

        logs.attach(proxy.name, features.log)
    if features.order_keys.store != "off":
        from honeywharf import orderkeys

        components.append(orderkeys.attach(proxy, features.order_keys))
    if features.coap.listen or features.coap.nodes:
        from honeywharf import coap

        components.append(coap.attach(proxy, features.coap))
    if features.storms.on:
        from honeywharf import storms

        components.append(storms.attach(proxy, features.storms))
    if features.reports.on:
        from honeywharf import reports

        components.append(reports.attach(proxy))
    if features.traces.on:
        from honeywharf import traces

        components.append(traces.attach(proxy, features.traces))
    if features.metrics.on or features.metrics.listen:
        from honeywharf import metrics

        components.append(metrics.attach(proxy, features.metrics))
    if features.admin.socket:
        from honeywharf import admin

        components.append(admin.attach(proxy, features.admin))
    return components


def feature_faults(features: Features) -> Iterator[tuple[str, str]]:
    """Yields the faults of a features file that its types can't express: each key with a message."""
    if features.traces.keep:
        from honeywharf.traces import language

        try:
            language.compile_expression(
                features.traces.keep, language.SINGLE_HOP_FIELDS, allow_quantiles=False
            )
        except language.ExpressionError as fault:
            yield "traces.keep", str(fault)


def feature_conflicts(features: Features, conf: config.Config) -> Iterator[tuple[str, str]]:
    """Yields where the features contradict the platform's configuration: each key with a message."""
    if features.order_keys.store != "off":
        from honeywharf.orderkeys import deduplicator

        try:
            deduplicator.keep_times_ms(conf.settings, features.order_keys)
        except ValueError as fault:
            key, _, message = str(fault).partition(": ")
            yield key, message


async def serve(conf: config.Config, early_signals: list[int], features: Features | None = None) -> None:
    """Runs one proxy in the running loop. `early_signals`: reload signals that arrived before it."""
    loop = asyncio.get_running_loop()

    def handle_loop_exception(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        log(f"event loop: {context.get('message')}: {context.get('exception')!r}", "loop.fault", "error")

    loop.set_exception_handler(handle_loop_exception)
    proxy = Proxy(conf, loop, features)
    if early_signals:
        loop.call_soon(proxy.reload)
    await proxy.run()


def load_features() -> Features | None:
    """Loads the features file; without one it returns None and skips the import, to save memory."""
    if not os.environ.get("HONEYWHARF_FEATURES"):
        return None
    from honeywharf.config import features

    try:
        return features.load_from_environment(os.environ, feature_faults)
    except features.FeaturesError as fault:
        raise config.ConfigError(str(fault)) from None


def run_proxy() -> int:
    """Runs the proxy. Returns 0 after SIGTERM, 2 if the configuration or the address can't be used."""
    early_signals: list[int] = []  # SIGHUP must not end the process before the event loop handles it.
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
    try:
        conf = config.load()
        uvloop.run(serve(conf, early_signals, load_features()))
    except (config.ConfigError, ValueError) as fault:
        print(f"honeywharf: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"honeywharf: {fault.strerror or fault}", file=sys.stderr)
        return 2
    return 0
