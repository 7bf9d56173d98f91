"""What all courses of one sidecar share: the word, the list, budgets, links, the gate beside it."""

from __future__ import annotations

from honeywharf.admission.retry_budget import RetryBudget
from honeywharf.policy.levels import Levels
from honeywharf.transport.link import LinkPool
from honeywharf.transport.stream import ForwardedRequest
from honeywharf.verdict import CHOKED, WORDS, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from honeywharf.drift.monitor import DriftMonitor
    from honeywharf.mesh_config.routes import Route
    from honeywharf.mesh_config.settings import Settings
    from honeywharf.sessions.remote_regions import RemoteRegions
    from honeywharf.sidecar.bypass import Passing
    from honeywharf.sidecar.course import Channel, Course
    from honeywharf.sidecar.inbound import Inbound
    from honeywharf.sidecar.mesh_state import Word
    from honeywharf.transport.host import Host

MAX_SERVICES = 1024
CHOKED_S = 0.5  # at most, that a gate whose link is full of bodies is asked for no further one
READY = 1  # a gate's state, as told


class _Listed:
    """What is told of one proxy's backend."""

    __slots__ = ("instance", "service", "state", "zone")

    def __init__(self, service: str, instance: str, state: int, zone: str) -> None:
        self.service, self.instance, self.state, self.zone = service, instance, state, zone


class Local:
    """The gate in this process as a course's way to it, and the course as the job's way back."""

    __slots__ = ("course", "is_over", "job")

    def __init__(self, course: Course) -> None:
        self.course, self.is_over = course, False
        self.job: object = None

    def admit(self) -> None:
        """It is admitted."""
        self.course.go()

    def answer(
        self,
        status: int,
        fields: bytes,
        length: int,
        load: tuple[int, int, int],
        body: bytes | None,
    ) -> None:
        """The answer, whole, or its head."""
        self.is_over = body is not None
        self.course.answered(status, fields, length, body)

    def data(self, data: bytes) -> None:
        """A part of the answer's body."""
        self.course.answer_data(data)

    def window(self, size: int) -> None:
        """So many bytes of the request's body have gone on."""
        self.course.window(size)

    def complete(self) -> None:
        """The answer is whole."""
        self.is_over = True
        self.course.whole()

    def fail(self, verdict: Verdict, load: tuple[int, int, int]) -> None:
        """No answer comes."""
        self.is_over = True
        self.course.failed(verdict)


class _Remote:
    """A course as a stream's `ResponseHandler`."""

    __slots__ = ("admitted", "answered", "completed", "data", "failed", "load", "window")

    def __init__(self, course: Course) -> None:
        self.answered, self.data, self.failed = course.answered, course.answer_data, course.failed
        self.load, self.admitted, self.completed, self.window = (
            course.load,
            course.go,
            course.whole,
            course.window,
        )


class Source:
    """Shared by all courses. `draw()` gives even random numbers in [0, 1)."""

    def __init__(
        self,
        host: Host,
        settings: Settings,
        word: Word,
        inbound: Inbound,
        draw: Callable[[], float],
    ) -> None:
        self.host, self.word, self.inbound, self.draw = host, word, inbound, draw
        self.remote_regions: RemoteRegions | None = None  # where settings name gateways to other regions
        self.me, self.zone, self.service = settings.ip, settings.zone, settings.service or ""
        self.ratio = settings.bound("retry-budget-ratio", 0.1)
        self.slack = settings.bound("retry-budget-slack", 10.0)
        self.window_s = settings.bound("retry-window", 10.0)
        self.regions = settings.zones  # by zone
        self.links = LinkPool(host, settings.internal_ports[0])
        self.levels: dict[str, Levels] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.list: dict[str, _Listed] = {}
        self.courses: dict[Course, None] = {}
        self.proxies: Callable[[], int] = lambda: 1
        self.doubted: set[str] = set()
        self.choked: dict[str, float] = {}  # by gate of the list, until when it is asked for no body
        self.asks = 0
        self.end_at = float("inf")  # when this process ends: no gate is given longer
        self.helper: Callable[[Container[str]], str | None] = lambda passed: None  # a sidecar that is well
        self.handed = 0  # requests that a sidecar that is well was asked to decide
        self.passing: dict[Passing, None] = {}  # those of others that are decided here
        self.drift_monitor: DriftMonitor | None = None
        self.statuses: dict[int, int] = {}
        self.refusals: dict[int, int] = {}

    # The list.

    def told(self, node: str, say: dict[str, object] | None, zone: str) -> None:
        """News of a proxy: what its gate says of its backend; None when it has gone.

        Who has gone is held down by nobody: if it comes back, it comes without a doubt.
        """
        if say is None:
            self.doubted.discard(node)
        before = self.list.get(node)
        if say is None or not say.get("s"):
            if before is not None:
                del self.list[node]
                self.levels_of(before.service).remove(node)
            return
        state = say.get("st")
        now = _Listed(str(say["s"]), str(say.get("b", "")), state if isinstance(state, int) else 0, zone)
        if before is not None and before.service != now.service:
            self.levels_of(before.service).remove(node)
        self.list[node] = now
        renewed = (
            before is None
            or before.instance != now.instance
            or (before.state != READY and now.state == READY)
        )
        self._relist(node, renewed)

    def _relist(self, node: str, renewed: bool) -> None:
        entry = self.list.get(node)
        if entry is not None:
            usable = (
                entry.state == READY and entry.zone not in self.word.evacuated and node not in self.doubted
            )
            self.levels_of(entry.service).update(node, entry.zone, usable, renewed)

    def relist(self) -> None:
        """Evacuations have changed."""
        for node in self.list:
            self._relist(node, False)

    def doubt(self, node: str, down: bool) -> None:
        """Watchers say that a proxy is down, or up again."""
        (self.doubted.add if down else self.doubted.discard)(node)
        self._relist(node, not down)

    def levels_of(self, service: str) -> Levels:
        """The backends of a service."""
        levels = self.levels.get(service)
        if levels is None:
            if len(self.levels) >= MAX_SERVICES:
                self.levels = {s: v for s, v in self.levels.items() if v.targets}
            levels = self.levels[service] = Levels(self.zone, self.draw)
        return levels

    # For courses.

    def abroad_of(self, homes: tuple[str, ...], service: str) -> set[str]:
        """Backends of a service that are in no home: a request that has homes passes them over.

        A zone whose region is not known is no home: better refused than held where it must not be.
        """
        return {
            target.key
            for target in self.levels_of(service).targets.values()
            if self.regions.get(target.zone, "") not in homes
        }

    def revision(self) -> int:
        """Of the word that this sidecar decides by."""
        return self.word.revision

    def rule(self, route: Route) -> bytes:
        """The digest of the rule that decides, as it travels with a request."""
        return b"" if self.drift_monitor is None else self.drift_monitor.rule_digest(route)

    def draw_service(self, route: Route) -> str:
        """The service for one request of a route, by weight."""
        draw = self.draw()
        service = route.service(draw)
        return (
            service if self.drift_monitor is None else self.drift_monitor.check_service(route, draw, service)
        )

    def budget(self, service: str) -> RetryBudget:
        """The retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            if len(self.budgets) >= MAX_SERVICES:
                self.budgets.clear()
            budget = self.budgets[service] = RetryBudget(self.ratio, self.slack, self.window_s)
        return budget

    def spend(self, service: str) -> bool:
        """Whether one more backend may be asked for a request that has arrived at one."""
        return self.budget(service).spend(self.host.now(), self.proxies())

    def open(self, key: str, ask: ForwardedRequest, course: Course) -> Channel | None:
        """The way to a gate; its word may come from within this call where it is in this process."""
        if key == self.me:
            return self.inbound.begin(ask, Local(course))
        if (
            self.remote_regions is not None
            and key in self.list
            and self.remote_regions.is_remote(self.list[key].zone)
        ):
            return self.remote_regions.open(key, ask, _Remote(course), course.route.allowed_regions)
        return self.links.link_to(key).open(ask, _Remote(course))

    def served(self, service: str, key: str, status: int) -> None:
        """A backend answered."""
        self.count(status)
        self.levels_of(service).record_success(key)

    def failed(self, service: str, key: str, certain: bool) -> None:
        """An attempt failed there."""
        self.levels_of(service).record_failure(self.host.now(), key, certain)

    def refused(self, service: str, key: str, verdict: Verdict) -> None:
        """A gate refused."""
        self.refusals[verdict.why] = self.refusals.get(verdict.why, 0) + 1
        if verdict.why == CHOKED:  # for bodies only: a lookup there is none the slower
            if key in self.list:
                self.choked[key] = self.host.now() + min(CHOKED_S, verdict.again_s)
            self.levels_of(service).record_abandoned(key)
        else:
            self.levels_of(service).record_refusal(self.host.now(), key, verdict.again_s)

    def choked_now(self) -> set[str]:
        """Gates whose links are full of bodies, as far as was told."""
        now = self.host.now()
        self.choked = {key: until for key, until in self.choked.items() if until > now}
        return set(self.choked)

    def released(self, service: str, key: str) -> None:
        """Nobody waits for an attempt there any more."""
        self.levels_of(service).record_abandoned(key)

    def count(self, status: int) -> None:
        """One more final answer of that status."""
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def counters(self) -> str:
        """What was done so far, for a log line."""
        refusals = " ".join(f"{WORDS[why].replace(' ', '-')}={n}" for why, n in sorted(self.refusals.items()))
        answers = " ".join(f"{status}={n}" for status, n in sorted(self.statuses.items()))
        return f"answers {answers or 'none'}; asks={self.asks} {refusals} links-lost={self.links.lost}"
