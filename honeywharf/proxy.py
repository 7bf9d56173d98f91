"""One running proxy put together from its parts: the only place that knows them all."""

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

# Shares of the descriptors: callers hold a third at most with requests, each of which wants a connection to a
# backend; the rest is for callers that idle. The proxy's own are those of the interpreter, the loop, the
# listener and discovery, and room to accept while others are closing.
OWN_SHARE, OWN_LEAST = 1 / 10, 20
UPSTREAM_SHARE = 2 / 5
STATS_S = 10.0


class Proxy:
    """All parts of one running proxy."""

    def __init__(
        self,
        conf: config.Config,
        loop: asyncio.AbstractEventLoop,
        features: Features | None = None,
    ) -> None:
        self.conf, self.loop, self.clock = conf, loop, Clock()
        self.name = conf.name
        sockets = min(conf.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        room = sockets - min(max(OWN_LEAST, int(sockets * OWN_SHARE)), sockets // 2)
        upstream = min(int(sockets * UPSTREAM_SHARE), room // 2)
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
            self.listed,
            polled=conf.settings.polled_discovery,
        )
        self.driver.registry = self.watch
        self.pool.on_broken = self.driver.answer_broken
        self.front = Front(
            loop, self.clock, self.driver, room - upstream, lambda: self.watch.up, self.buffer_budget
        )
        self.controller = ServiceController(
            loop, self.clock, self.front, self, max(c.deadline_ms for c in conf.settings.classes)
        )
        self.features = features
        self.components: list[Component] = attached(self, features) if features is not None else []
        self.operator_server: OperatorServer | None = None  # operators' second address
        self.told: dict[str, int] = {}
        self.environ: Mapping[str, str] = os.environ

    def in_force(self) -> dict[str, object]:
        """The configuration that is held, and where it was read."""
        from honeywharf.config import source

        return source.in_force(self.conf, self.features, self.environ)

    def add_transport(self, scheme: str, transport: Transport, book: AddressBook) -> None:
        """Endpoints of that scheme are reached by another transport, beside those of before."""
        from honeywharf.core.transport_router import TransportRouter

        self.address_books[scheme] = book
        self.transport = self.driver.transport = TransportRouter(self.transport, transport)

    async def run(self) -> None:
        """Serve until SIGTERM and then until nothing is open."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.drain)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.listed(self.directory.take(self.conf.known, api.ListKind.CACHED), self.driver.start)
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
                self.listed(newer_list)
            handover.import_learned_state()
            self.components.append(handover)
        host, port = await self.front.listen(self.conf.listen, inherited)
        log(f"{self.conf.name} listens on {host}:{port}", "listening", fields={"host": host, "port": port})
        self.controller.listening()
        for part in self.components:
            words = await part.start()
            if words:
                log(f"{self.conf.name} {words}", "feature")
        if not self.conf.settings.polled_discovery:
            self.watch.watch()
        if self.conf.operator is not None:
            from honeywharf.service.operator_server import OperatorServer

            self.operator_server = OperatorServer(self.loop, self.controller.execute)
            host, port = await self.operator_server.listen(self.conf.operator)
            log(
                f"{self.conf.name} takes operators' calls on {host}:{port}",
                "listening",
                fields={"host": host, "port": port},
            )
        self.loop.call_later(STATS_S, self._stats)
        gc.collect()
        gc.freeze()  # the collector need not look at what stays
        gc.set_threshold(20000, 20, 50)
        await self.controller.stopped.wait()
        if self.operator_server is not None:
            self.operator_server.close()
        for part in self.components:
            part.close()
        self._stats()  # what was done since the last line is told too

    def listed(
        self,
        event: api.EndpointsListed,
        tell: Callable[[api.EndpointsListed], None] | None = None,
    ) -> None:
        """Discovery has spoken: the module is told, and who may be banned is known."""
        self.controller.bans.set_listed(self.directory.rows)
        (tell or self.driver.endpoints_listed)(event)

    def reload(self) -> None:
        """Take a new file over, whole or not at all. All that is held, requests and records, goes on."""
        from honeywharf.config import retune

        held = self.conf
        try:
            conf = config.load(self.environ)
            retune.check(held, conf)
            faults = list(unfit(self.features, conf)) if self.features is not None else []
            if faults:
                raise retune.RetuneError("{}: {}".format(*faults[0]))
            # Held against what is in force, with classes that vanished only just now.
            between = retune.between(self.driver.settings, conf.settings)
            former = retune.former(self.driver.settings, conf.settings)
        except Exception as fault:  # a bad file, however bad, must not end a proxy in service
            log(
                f"reload: {fault or type(fault).__name__}; the configuration held stays",
                "reload.failed",
                "error",
            )
            return
        self.conf = replace(
            conf, listen=held.listen, sockets=held.sockets, operator=held.operator, inherited=held.inherited
        )
        if conf.discovery != held.discovery:
            log(f"reload: discovery is at {conf.discovery[0]}:{conf.discovery[1]}", "reload.done")
        if (conf.listen, conf.sockets, conf.operator) != (held.listen, held.sockets, held.operator):
            log("reload: addresses and limits are taken over at the next start", "reload.waits", "warning")
        if (conf.settings, conf.report_fields) != (held.settings, held.report_fields):
            names = ", ".join(c.name for c in conf.settings.classes)
            log(
                f"reload: new settings, of classes {names}",
                "reload.done",
                fields={"classes": [c.name for c in conf.settings.classes]},
            )
            grace_s = retune.grace_ms(self.driver.settings, conf.settings) / 1000.0
            self._retune(between, former)
            self.loop.call_later(grace_s, self._retuned, self.conf)
        self.watch.move(conf.discovery)

    def _retune(self, settings: api.Settings, former: dict[str, api.RequestClass]) -> None:
        """Let all parts go by new settings."""
        self.driver.change_settings(settings, self.conf.report_fields, former)
        self.pool.retune(settings.limits)
        self.controller.lifecycle.longest_deadline_ms = max(c.deadline_ms for c in settings.classes)
        for part in self.components:
            part.settings_changed()

    def _retuned(self, conf: config.Config) -> None:
        """What was under way by the settings of before has ended, unless there are newer ones by now."""
        if self.conf is conf:
            self._retune(conf.settings, {})

    def drain(self) -> None:
        """Leave service without losing a request: see DEPLOY and PROTOCOL on planned restarts."""
        self.controller.terminate()

    def operations(self) -> Mapping[str, OperatorCommand]:
        """What operators may have done to this proxy, for every door."""
        return self.controller.operator_commands()

    # The methods that the service controller calls.

    def exclude_endpoints(self, out: Mapping[str, float]) -> None:
        """These endpoints are out by an operator's word, and no others."""
        self.directory.exclude(out)
        self.driver.endpoints_excluded(frozenset(out))

    def drain_components(self) -> None:
        """The process ends: its parts take nothing new."""
        for part in self.components:
            part.drain()

    def has_pending_answers(self) -> bool:
        """Whether one without a connection is still owed an answer."""
        return any(part.has_pending_answers() for part in self.components)

    def answer_all(self) -> None:
        """What is still open is answered before the process is killed."""
        self.driver.fail_all()

    def counts(self) -> dict[str, int]:
        """What was done since the start, with what its parts count."""
        counts = dict(self.driver.counts, handshakes=self.pool.handshakes)
        if self.buffer_budget.transferred_bytes:
            counts.update(
                {
                    "bodies:mb": self.buffer_budget.transferred_bytes >> 20,
                    "bodies:refused": self.buffer_budget.rejected,
                    "bodies:answers": self.pool.streams,
                }
            )
        for part in self.components:
            counts.update(part.counts())
        return counts

    def _stats(self) -> None:
        """Now and then, what has been done since: a line for the operator."""
        counts = self.counts()
        changed = {k: v - self.told.get(k, 0) for k, v in counts.items() if v != self.told.get(k, 0)}
        if changed:
            log(
                "stats " + " ".join(f"{k.replace(' ', '_')}={v}" for k, v in sorted(changed.items())),
                "stats",
                fields=changed,
            )
        self.told = counts
        self.loop.call_later(STATS_S, self._stats)


def inherited_listener(number: int) -> socket.socket | None:
    """The listening socket that the platform holds; None where it holds none.

    ConfigError where the descriptor is no such socket: a client would never be met on it.
    """
    if number < 0:
        return None
    try:
        made = socket.socket(fileno=number)
        if made.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return made
        made.detach()
        found = "a socket that does not listen"
    except OSError as fault:
        found = fault.strerror or str(fault)
    raise config.ConfigError(f"NODE_INHERITED_FD: found {found} at {number}, wanted a listening socket")


def attached(proxy: Proxy, features: Features) -> list[Component]:
    """The features that are on. Nothing of one that is off is imported: that costs memory."""
    parts: list[Component] = []
    if (features.log.format, features.log.level) != ("plain", "info"):
        from honeywharf import logs

        logs.attach(proxy.name, features.log)
    if features.order_keys.store != "off":
        from honeywharf import orderkeys

        parts.append(orderkeys.attach(proxy, features.order_keys))
    if features.coap.listen or features.coap.nodes:
        from honeywharf import coap

        parts.append(coap.attach(proxy, features.coap))
    if features.storms.on:
        from honeywharf import storms

        parts.append(storms.attach(proxy, features.storms))
    if features.reports.on:
        from honeywharf import reports

        parts.append(reports.attach(proxy))
    if features.traces.on:
        from honeywharf import traces

        parts.append(traces.attach(proxy, features.traces))
    if features.metrics.on or features.metrics.listen:
        from honeywharf import metrics

        parts.append(metrics.attach(proxy, features.metrics))
    if features.admin.socket:
        from honeywharf import admin

        parts.append(admin.attach(proxy, features.admin))
    return parts


def senseless(features: Features) -> Iterator[tuple[str, str]]:
    """What is wrong with a file of features beyond its types: each key, and what was found and is wanted."""
    if features.traces.keep:
        from honeywharf.traces import language

        try:
            language.compiled(features.traces.keep, language.OF_A_HOP, quantiles=False)
        except language.ExpressionError as fault:
            yield "traces.keep", str(fault)


def unfit(features: Features, conf: config.Config) -> Iterator[tuple[str, str]]:
    """What of a file of features does not fit the platform's configuration: each key, and what is wanted."""
    if features.order_keys.store != "off":
        from honeywharf.orderkeys import deduplicator

        try:
            deduplicator.keep_times_ms(conf.settings, features.order_keys)
        except ValueError as fault:
            key, _, words = str(fault).partition(": ")
            yield key, words


async def serve(conf: config.Config, early: list[int], features: Features | None = None) -> None:
    """Run one proxy in the running loop; `early`: signals to reload that came before it."""
    loop = asyncio.get_running_loop()

    def caught(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        log(f"event loop: {context.get('message')}: {context.get('exception')!r}", "loop.fault", "error")

    loop.set_exception_handler(caught)
    proxy = Proxy(conf, loop, features)
    if early:
        loop.call_soon(proxy.reload)
    await proxy.run()


def features_given() -> Features | None:
    """The features that are on. Nothing of their package is imported where none are: that costs memory."""
    if not os.environ.get("HONEYWHARF_FEATURES"):
        return None
    from honeywharf.config import features

    try:
        return features.given(os.environ, senseless)
    except features.FeaturesError as fault:
        raise config.ConfigError(str(fault)) from None


def run_proxy() -> int:
    """Exit status: 0 after SIGTERM, 2 where the configuration is bad or the address can't be had."""
    early: list[int] = []  # guards against SIGHUP ending the process before the loop can take it
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    try:
        conf = config.load()
        uvloop.run(serve(conf, early, features_given()))
    except (config.ConfigError, ValueError) as fault:
        print(f"honeywharf: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"honeywharf: {fault.strerror or fault}", file=sys.stderr)
        return 2
    return 0
