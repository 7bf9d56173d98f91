"""State that all outbound requests of a sidecar share: known backends, retry budgets, links, counters."""

from __future__ import annotations

from honeywharf.admission.retry_budget import RetryBudget
from honeywharf.policy.levels import Levels
from honeywharf.transport.link import LinkPool
from honeywharf.transport.stream import ForwardedRequest
from honeywharf.verdict import LINK_SATURATED, WORDS, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from honeywharf.drift.monitor import DriftMonitor
    from honeywharf.mesh_config.routes import Route
    from honeywharf.mesh_config.settings import Settings
    from honeywharf.sessions.remote_regions import RemoteRegions
    from honeywharf.sidecar.delegation import DelegatedRequest
    from honeywharf.sidecar.inbound import Inbound
    from honeywharf.sidecar.lifetime import Lifetime
    from honeywharf.sidecar.mesh_state import MeshStateReplica
    from honeywharf.sidecar.outbound_request import Channel, OutboundRequest
    from honeywharf.transport.host import Host

MAX_SERVICES = 1024
MAX_SATURATED_S = 0.5  # longest time for which a gate with a saturated link gets no further large body
READY = 1  # a gate's state in its gossip attributes


class _ListedBackend:
    """A backend as the sidecar beside it announces it."""

    __slots__ = ("instance", "service", "state", "zone")

    def __init__(self, service: str, instance: str, state: int, zone: str) -> None:
        self.service, self.instance, self.state, self.zone = service, instance, state, zone


class LocalResponder:
    """Passes the outcome of an `InboundRequest` to the `OutboundRequest` of the same process."""

    __slots__ = ("inbound_request", "is_over", "request")

    def __init__(self, request: OutboundRequest) -> None:
        self.request, self.is_over = request, False
        self.inbound_request: object = None

    def admit(self) -> None:
        """Passes on that the gate has admitted the request."""
        self.request.gate_admitted()

    def answer(
        self,
        status: int,
        fields: bytes,
        length: int,
        load: tuple[int, int, int],
        body: bytes | None,
    ) -> None:
        """Passes on the answer: complete, or its head where `body` is None."""
        self.is_over = body is not None
        self.request.answered(status, fields, length, body)

    def data(self, data: bytes) -> None:
        """Passes on a part of the answer's body."""
        self.request.answer_data(data)

    def window(self, size: int) -> None:
        """Lets the source send `size` further bytes of the request's body."""
        self.request.window(size)

    def complete(self) -> None:
        """Passes on that the answer is complete."""
        self.is_over = True
        self.request.whole()

    def fail(self, verdict: Verdict, load: tuple[int, int, int]) -> None:
        """Passes on that no answer comes, or that the rest of it does not."""
        self.is_over = True
        self.request.failed(verdict)


class _RemoteResponseHandler:
    """Adapts an `OutboundRequest` to a stream's `ResponseHandler`."""

    __slots__ = ("admitted", "answered", "completed", "data", "failed", "load", "window")

    def __init__(self, request: OutboundRequest) -> None:
        self.answered, self.data, self.failed = request.answered, request.answer_data, request.failed
        self.load, self.admitted, self.completed, self.window = (
            request.load,
            request.gate_admitted,
            request.whole,
            request.window,
        )


class Source:
    """The state shared by all outbound requests. `draw()` returns uniform random numbers in [0, 1)."""

    def __init__(
        self,
        host: Host,
        settings: Settings,
        mesh_state: MeshStateReplica,
        inbound: Inbound,
        draw: Callable[[], float],
        lifetime: Lifetime,
    ) -> None:
        self.host, self.mesh_state, self.inbound, self.draw = host, mesh_state, inbound, draw
        self.lifetime = lifetime
        self.remote_regions: RemoteRegions | None = (
            None  # set where the settings name gateways to other regions
        )
        self.me, self.zone, self.service = settings.ip, settings.zone, settings.service or ""
        self.retry_ratio = settings.bound("retry-budget-ratio", 0.1)
        self.retry_slack = settings.bound("retry-budget-slack", 10.0)
        self.retry_window_s = settings.bound("retry-window", 10.0)
        self.regions = settings.zones  # region of each zone
        self.links = LinkPool(host, settings.internal_ports[0])
        self.levels: dict[str, Levels] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.backends: dict[str, _ListedBackend] = {}
        self.active_requests: dict[OutboundRequest, None] = {}
        self.count_sidecars: Callable[[], int] = lambda: 1
        self.suspected: set[str] = set()
        self.saturated_until: dict[str, float] = {}  # a gate gets no large body until then
        self.sent = 0
        # Returns a healthy sidecar that is not among those tried.
        self.pick_delegate: Callable[[Container[str]], str | None] = lambda tried: None
        self.delegated = 0  # requests delegated to other sidecars
        self.accepted_delegations: dict[DelegatedRequest, None] = {}  # other sidecars' requests decided here
        self.drift_monitor: DriftMonitor | None = None
        self.statuses: dict[int, int] = {}
        self.rejections: dict[int, int] = {}

    # Known backends.

    def update_backend(self, node: str, attributes: dict[str, object] | None, zone: str) -> None:
        """Applies a sidecar's gossip attributes; None when it has left.

        A sidecar that has left is not suspected any more, so that it is usable once it returns.
        """
        if attributes is None:
            self.suspected.discard(node)
        before = self.backends.get(node)
        if attributes is None or not attributes.get("s"):
            if before is not None:
                del self.backends[node]
                self.levels_of(before.service).remove(node)
            return
        state = attributes.get("st")
        backend = _ListedBackend(
            str(attributes["s"]), str(attributes.get("b", "")), state if isinstance(state, int) else 0, zone
        )
        if before is not None and before.service != backend.service:
            self.levels_of(before.service).remove(node)
        self.backends[node] = backend
        renewed = (
            before is None
            or before.instance != backend.instance
            or (before.state != READY and backend.state == READY)
        )
        self._update_usable(node, renewed)

    def _update_usable(self, node: str, renewed: bool) -> None:
        entry = self.backends.get(node)
        if entry is not None:
            usable = (
                entry.state == READY
                and entry.zone not in self.mesh_state.evacuated
                and node not in self.suspected
            )
            self.levels_of(entry.service).update(node, entry.zone, usable, renewed)

    def update_usable(self) -> None:
        """Marks each backend as usable or not after a change of the evacuated zones."""
        for node in self.backends:
            self._update_usable(node, False)

    def set_suspected(self, node: str, down: bool) -> None:
        """Notes that the failure detector considers a sidecar down, or up again."""
        (self.suspected.add if down else self.suspected.discard)(node)
        self._update_usable(node, not down)

    def levels_of(self, service: str) -> Levels:
        """Returns the choice among a service's backends, made on first use."""
        levels = self.levels.get(service)
        if levels is None:
            if len(self.levels) >= MAX_SERVICES:
                self.levels = {s: v for s, v in self.levels.items() if v.targets}
            levels = self.levels[service] = Levels(self.zone, self.draw)
        return levels

    # Used by requests.

    def backends_outside(self, allowed: tuple[str, ...], service: str) -> set[str]:
        """Returns a service's backends outside the allowed regions.

        A zone whose region is not known counts as outside: a rejection does less harm than data in a region
        where it must not be.
        """
        return {
            target.key
            for target in self.levels_of(service).targets.values()
            if self.regions.get(target.zone, "") not in allowed
        }

    def revision(self) -> int:
        """Returns the revision of the mesh state in force here."""
        return self.mesh_state.revision

    def rule(self, route: Route) -> bytes:
        """Returns the digest of the route that decides, which is sent with the request."""
        return b"" if self.drift_monitor is None else self.drift_monitor.rule_digest(route)

    def draw_service(self, route: Route) -> str:
        """Draws the service for one request of a route, by weight."""
        draw = self.draw()
        service = route.service(draw)
        return (
            service if self.drift_monitor is None else self.drift_monitor.check_service(route, draw, service)
        )

    def budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service, made on first use."""
        budget = self.budgets.get(service)
        if budget is None:
            if len(self.budgets) >= MAX_SERVICES:
                self.budgets.clear()
            budget = self.budgets[service] = RetryBudget(
                self.retry_ratio, self.retry_slack, self.retry_window_s
            )
        return budget

    def spend_retry(self, service: str) -> bool:
        """Whether the budget allows a retry of a request that has reached a backend; takes it if so."""
        return self.budget(service).spend(self.host.now(), self.count_sidecars())

    def open(self, key: str, forwarded: ForwardedRequest, request: OutboundRequest) -> Channel | None:
        """Sends a request to a gate; the gate in this process may call back from within.

        Returns None where the link has no room.
        """
        if key == self.me:
            return self.inbound.begin(forwarded, LocalResponder(request))
        if (
            self.remote_regions is not None
            and key in self.backends
            and self.remote_regions.is_remote(self.backends[key].zone)
        ):
            return self.remote_regions.open(
                key, forwarded, _RemoteResponseHandler(request), request.route.allowed_regions
            )
        return self.links.link_to(key).open(forwarded, _RemoteResponseHandler(request))

    def backend_answered(self, service: str, key: str, status: int) -> None:
        """Notes that a backend answered."""
        self.count_answer(status)
        self.levels_of(service).record_success(key)

    def attempt_failed(self, service: str, key: str, certain: bool) -> None:
        """Notes that an attempt failed; `certain` where no sidecar is there (refused, link lost)."""
        self.levels_of(service).record_failure(self.host.now(), key, certain)

    def attempt_rejected(self, service: str, key: str, verdict: Verdict) -> None:
        """Notes that a gate rejected a request."""
        self.rejections[verdict.why] = self.rejections.get(verdict.why, 0) + 1
        if verdict.why == LINK_SATURATED:  # concerns large bodies only: short requests may still go there
            if key in self.backends:
                self.saturated_until[key] = self.host.now() + min(MAX_SATURATED_S, verdict.retry_after_s)
            self.levels_of(service).record_abandoned(key)
        else:
            self.levels_of(service).record_refusal(self.host.now(), key, verdict.retry_after_s)

    def saturated_gates(self) -> set[str]:
        """Returns the gates whose links have no room for a large body, as they last announced."""
        now = self.host.now()
        self.saturated_until = {key: until for key, until in self.saturated_until.items() if until > now}
        return set(self.saturated_until)

    def attempt_abandoned(self, service: str, key: str) -> None:
        """Notes that an attempt was abandoned without an outcome."""
        self.levels_of(service).record_abandoned(key)

    def count_answer(self, status: int) -> None:
        """Counts a final answer by its status."""
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def counters(self) -> str:
        """Returns what was done so far, for a log line."""
        rejections = " ".join(
            f"{WORDS[why].replace(' ', '-')}={n}" for why, n in sorted(self.rejections.items())
        )
        answers = " ".join(f"{status}={n}" for status, n in sorted(self.statuses.items()))
        return f"answers {answers or 'none'}; asks={self.sent} {rejections} links-lost={self.links.lost}"
