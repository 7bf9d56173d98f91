"""The decision module: choice of servers, ejection, limits and retries."""

from __future__ import annotations

import pytest

from honeywharf import limits
from honeywharf.policy import interface as api
from honeywharf.policy.endpoints import Attempt
from tests.helpers import Driver, endpoint, make_settings, only_send

TWO_ZONES = [*(endpoint(f"a{i}") for i in range(4)), *(endpoint(f"b{i}", "b") for i in range(4))]


def test_own_zone_gets_all_calls_evenly() -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    sent = driver.fill(4000)
    assert set(sent) == {"a0", "a1", "a2", "a3"}
    assert all(900 < n < 1100 for n in sent.values())


def test_an_empty_own_zone_spills_evenly_to_all_others() -> None:
    driver = Driver()
    driver.list([endpoint("a0", state=api.EndpointState.DRAINING), *TWO_ZONES[4:]])
    sent = driver.fill(2000)
    assert set(sent) == {"b0", "b1", "b2", "b3"}
    assert all(400 < n < 600 for n in sent.values())


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.GONE])
def test_a_server_listed_as_leaving_gets_no_calls(state: api.EndpointState) -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    driver.list([endpoint("a0", state=state)], api.ListKind.CHANGES)
    assert set(driver.fill(500)) == {"a1", "a2", "a3"}


def test_a_server_missing_from_a_full_list_is_gone() -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    driver.list(TWO_ZONES[1:])
    assert set(driver.fill(500)) == {"a1", "a2", "a3"}


def test_a_failed_list_call_keeps_the_current_list() -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    driver.list([], api.ListKind.FAILED)
    assert set(driver.fill(500)) == {"a0", "a1", "a2", "a3"}


def test_a_cold_servers_part_of_the_calls_grows_during_slow_start() -> None:
    driver = Driver()
    driver.list([endpoint("a1"), endpoint("a2")])
    driver.fill(9000)  # the answer rate of warm servers is known by now
    driver.list([endpoint("a0", started_ms=driver.now), endpoint("a1")])
    cold = driver.fill(1000)
    driver.now += 10000
    warm = driver.fill(1000)
    assert cold["a0"] / cold["a1"] < 0.35  # the cold share is 0.2, and one second of ten has passed
    assert 0.8 < warm["a0"] / warm["a1"] < 1.25


def test_a_cold_servers_wait_follows_the_current_answer_rate() -> None:
    """Guards against a wait computed before the answer rate was known, which would last minutes here."""
    driver = Driver(make_settings(balancers=100))
    driver.list([endpoint("a0", started_ms=driver.now), *(endpoint(f"a{i}") for i in range(1, 5))])
    sent = driver.fill(3000)
    assert 0.0 < sent["a0"] / sent["a1"] < 0.6  # the cold share is 0.2, and three seconds of ten have passed


def test_a_restarted_server_is_cold_again() -> None:
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("a1")])
    driver.fill(9000)
    driver.list([endpoint("a0", started_ms=driver.now)], api.ListKind.CHANGES)
    sent = driver.fill(500)
    assert 0.0 < sent["a0"] / sent["a1"] < 0.4


def test_a_lone_cold_server_is_not_overloaded() -> None:
    """Guards against cold servers that get all the traffic of a lost fleet (incident i6df7a6)."""
    driver = Driver(make_settings(rules=api.Rules(cold_share=0.2, warm_after_ms=10000, ask_every_ms=10000)))
    driver.list([endpoint(f"a{i}") for i in range(10)])
    driver.fill(9000)
    driver.list([endpoint("a10", started_ms=driver.now)])
    sent = 0
    for _ in range(2000):  # two seconds of all the traffic of ten warm servers
        sent += isinstance(driver.request()[0], api.Send)
        driver.end(api.Outcome.OK, after_ms=1.0, request_over=True)
    # One warm server answered a tenth of the traffic; three times its cold part would overload it.
    assert 0 < sent < 3 * 0.4 * 200


def end_at(driver: Driver, server: str, outcome: api.Outcome, times: int, name: str = "read") -> None:
    """Makes calls until `times` of them at the server have ended with the outcome; the others succeed."""
    while times:
        hit = only_send(driver.request(name)).endpoint == server
        times -= hit
        driver.end(outcome if hit else api.Outcome.OK, after_ms=1.0, request_over=True)


def test_failed_connections_eject_and_a_trial_reinstates() -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    end_at(driver, "a0", api.Outcome.CONNECT_FAILED, 2)
    assert "a0" not in driver.fill(300)
    driver.now += 4000
    assert "a0" in driver.fill(300)


@pytest.mark.parametrize(("elapsed_ms", "expected"), [(1.0, 20), (100.0, 5)])
def test_a_retry_costs_in_proportion_to_the_load_of_its_reset_attempt(
    elapsed_ms: float, expected: int
) -> None:
    """Guards against a budget emptied by connections reset as soon as they are written to."""
    driver = Driver(make_settings(limits=api.Limits(max_attempts=2)))
    driver.list(TWO_ZONES)
    for _ in range(100):
        driver.request()
        driver.end(api.Outcome.OK, after_ms=100.0)
    retried = 0
    for _ in range(40):
        driver.balancer.budget.tokens -= 0.1  # balances the credit of this first attempt
        driver.request()
        actions = driver.end(api.Outcome.RESET, after_ms=elapsed_ms)
        retried += isinstance(actions[0], api.Send)
        if isinstance(actions[0], api.Send):
            driver.end(api.Outcome.OK, after_ms=100.0, attempt=1)
    assert expected <= retried <= expected + 1


def test_decisions_are_explained_on_request() -> None:
    driver = Driver(make_settings(limits=api.Limits(max_attempts=1)))
    driver.list(TWO_ZONES)
    assert only_send(driver.request()).why is None
    driver.balancer.explains = True
    sent = only_send(driver.request()).why
    assert sent is not None
    assert (sent.level, sent.usable, sent.ready, sent.in_flight, sent.room) == (0, 4, 4, 1, 1.0)
    for zone in driver.balancer.endpoints.zones.values():
        zone.in_flight += 1000
    (refused,) = driver.request()
    assert isinstance(refused, api.Refuse)
    assert refused.reason is api.Reason.CROWDED
    why = refused.why
    assert why is not None
    assert (why.level, why.usable, why.ready, why.in_flight) == (1, 8, 8, 2002)
    assert why.in_flight > why.limit > 0


@pytest.mark.parametrize(
    ("zone", "elapsed_ms", "resets", "ejected"),
    [
        (1, 100.0, 3, False),
        (1, 100.0, 4, True),  # four failures in a row eject in a zone of any size
        (4, 100.0, 2, True),
        (4, 1.0, 2, False),  # early resets count less
    ],
)
def test_ejection_for_resets_depends_on_their_time_and_the_size_of_the_zone(
    zone: int,
    elapsed_ms: float,
    resets: int,
    ejected: bool,
) -> None:
    """Guards against ejecting all servers of a zone for connections that break."""
    driver = Driver(make_settings(limits=api.Limits(max_attempts=1)))
    driver.list([*(endpoint(f"a{i}") for i in range(zone)), *(endpoint(f"b{i}", "b") for i in range(6))])
    for _ in range(100):
        driver.request()
        driver.end(api.Outcome.OK, after_ms=100.0)
    left = resets
    while left:
        hit = only_send(driver.request()).endpoint == "a0"
        left -= hit
        driver.end(api.Outcome.RESET if hit else api.Outcome.OK, after_ms=elapsed_ms if hit else 100.0)
    assert (driver.balancer.endpoints.servers["a0"].ejections > 0) is ejected


@pytest.mark.parametrize("outcome", [api.Outcome.CONNECT_FAILED, api.Outcome.RESET, api.Outcome.TIMEOUT])
def test_one_failed_connection_does_not_eject_a_server(outcome: api.Outcome) -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    driver.fill(100)
    end_at(driver, "a0", outcome, 1)
    assert "a0" in driver.fill(300)
    assert driver.balancer.endpoints.servers["a0"].ejections == 0


def test_errors_in_a_row_eject() -> None:
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("b0", "b"), endpoint("b1", "b")])
    driver.fill(4, api.Outcome.ERROR)
    assert set(driver.fill(50)) == {"b0", "b1"}


def test_errors_of_the_next_tier_empty_no_zone() -> None:
    """Errors at all servers alike are not their fault, and the other zones could not take all the traffic."""
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("a1"), endpoint("b0", "b"), endpoint("b1", "b")])
    driver.fill(40, api.Outcome.ERROR)
    assert sum(s.ejections > 0 for s in driver.balancer.endpoints.servers.values()) == 1
    driver.now += 20000
    assert set(driver.fill(200)) == {"a0", "a1"}


def test_a_rejection_costs_little_of_the_retry_budget() -> None:
    """A rejected call is little load, and giving up wastes the work of the tiers above."""
    driver = Driver(make_settings(limits=api.Limits(max_attempts=3)))
    driver.list([endpoint(f"a{i}") for i in range(30)])
    for _ in range(15):
        only_send(driver.request())
        only_send(driver.end(api.Outcome.REJECTED, after_ms=1.0))
        driver.end(api.Outcome.OK, 1, after_ms=1.0)
    driver.balancer.budget.tokens = 0.5  # an error costs one token
    driver.request()
    assert not any(isinstance(a, api.Send) for a in driver.end(api.Outcome.ERROR, after_ms=1.0))


def test_one_error_does_not_eject() -> None:
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("b0", "b")])
    driver.fill(1, api.Outcome.ERROR)
    assert set(driver.fill(50)) == {"a0"}


def test_all_ready_servers_are_used_when_all_are_ejected() -> None:
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("b0", "b")])
    for _ in range(2):
        driver.request()
        driver.end(api.Outcome.RESET, request_over=True)
    sends = [a for _ in range(20) for a in driver.request() if isinstance(a, api.Send)]
    assert sends


def answer(driver: Driver, calls: int, slow: set[str]) -> set[str]:
    """Makes calls that take 10 ms, or 100 ms at the slow servers; returns the servers that got any."""
    sent: set[str] = set()
    for _ in range(calls):
        for action in driver.request():
            if isinstance(action, api.Send):
                sent.add(action.endpoint)
                driver.end(api.Outcome.OK, after_ms=100.0 if action.endpoint in slow else 10.0)
    return sent


def test_a_slow_server_is_ejected() -> None:
    """Guards against overloaded servers that keep their part of the calls."""
    driver = Driver()
    driver.list([endpoint(f"a{i}") for i in range(6)])
    answer(driver, 100, set())
    answer(driver, 60, {"a0"})
    assert "a0" not in answer(driver, 40, {"a0"})


def test_a_zone_of_slow_servers_is_not_ejected() -> None:
    """Guards against emptying a zone when all its servers are slow at once."""
    driver = Driver()
    driver.list([endpoint(f"a{i}") for i in range(6)])
    answer(driver, 100, set())
    all_servers = {f"a{i}" for i in range(6)}
    for _ in range(50):
        answer(driver, 5, all_servers)
        assert sum(s.ejected_until <= driver.now for s in driver.balancer.endpoints.servers.values()) >= 4


def test_a_server_that_never_answers_a_class_gets_only_the_others() -> None:
    """Guards against servers that answer one class and let another time out."""
    driver = Driver()
    driver.list([endpoint(f"a{i}") for i in range(6)])
    driver.fill(100)
    unresponsive = "a0"
    driver.balancer.endpoints.servers[unresponsive].failures = 1  # the last call to it has failed too
    end_at(driver, unresponsive, api.Outcome.TIMEOUT, 1, "write")
    sent: dict[str, set[str]] = {"write": set(), "read": set()}
    for i in range(400):
        name = ("write", "read")[i % 2]
        sent[name].add(only_send(driver.request(name)).endpoint)
        driver.end(api.Outcome.OK, after_ms=1.0)
    assert unresponsive not in sent["write"]
    assert unresponsive in sent["read"]
    driver.now += 13000
    servers_after_trial: set[str] = set()
    for _ in range(100):
        servers_after_trial.add(only_send(driver.request("write")).endpoint)
        driver.end(api.Outcome.OK, after_ms=1.0)
    assert unresponsive in servers_after_trial


def test_servers_that_are_all_unresponsive_still_get_calls() -> None:
    """Guards against emptying every level when a class times out everywhere at once."""
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("b0", "b")])
    for _ in range(2):
        driver.request("write")
        driver.end(api.Outcome.TIMEOUT, after_ms=2000)
    only_send(driver.request("write"))


def test_a_server_that_rejects_a_call_is_ejected() -> None:
    """Guards against filling each slot of an overloaded server as it becomes free (incident ie6e9de)."""
    driver = Driver()
    driver.list([endpoint(f"a{i}") for i in range(6)])
    full = only_send(driver.request()).endpoint
    driver.end(api.Outcome.REJECTED, request_over=True)
    assert full not in driver.fill(300)


def run_load(driver: Driver, elapsed_ms: float, rounds: int) -> None:
    """Makes one call per millisecond; all are answered after `elapsed_ms`."""
    pending: list[tuple[float, str]] = []
    for _ in range(rounds):
        driver.now += 1
        while pending and pending[0][0] <= driver.now:
            _, request = pending.pop(0)
            driver.feed(api.AttemptEnded(request, 0, api.Outcome.OK, elapsed_ms, True))
        if any(isinstance(a, api.Send) for a in driver.request()):
            pending.append((driver.now + elapsed_ms, f"r{driver.count}"))
    driver.now += elapsed_ms
    for _, request in pending:
        driver.feed(api.AttemptEnded(request, 0, api.Outcome.OK, elapsed_ms, True))


def test_a_full_zone_spills_its_surplus() -> None:
    driver = Driver()
    driver.list(TWO_ZONES)
    driver.settle()
    zones: dict[str, int] = {}
    for _ in range(40):
        for action in driver.request():
            assert isinstance(action, api.Send)
            zones[action.endpoint[0]] = zones.get(action.endpoint[0], 0) + 1
        if zones.get("b"):
            break
    assert zones["a"] >= 4
    assert zones["b"] == 1


def test_late_answers_lower_the_limits_and_good_ones_raise_them() -> None:
    """Guards against overload: servers that answer late must get fewer calls, early and at the first tier."""
    driver = Driver()
    driver.list(TWO_ZONES)
    run_load(driver, 50.0, 400)
    run_load(driver, 900.0, 4000)
    low = sum(z.limiter.limit for z in driver.balancer.endpoints.zones.values())
    run_load(driver, 50.0, 8000)
    high = sum(z.limiter.limit for z in driver.balancer.endpoints.zones.values())
    assert high > 2 * low


def test_deeper_tiers_shed_no_requests() -> None:
    driver = Driver(make_settings(tier=1, tiers=2))
    driver.list(TWO_ZONES)
    assert all(isinstance(a, api.Send) for _ in range(200) for a in driver.request())


def test_tenants_over_their_quota_are_shed_first() -> None:
    tenants = (api.Tenant("modest", 1000.0), api.Tenant("greedy", 1.0))
    driver = Driver(make_settings(tenants=tenants, over_share_worth=0.1))
    driver.list(TWO_ZONES)
    driver.settle()
    taken = {"modest": 0, "greedy": 0}
    for i in range(40):
        tenant = "greedy" if i % 2 else "modest"
        taken[tenant] += isinstance(driver.request(tenant=tenant)[0], api.Send)
    assert taken["modest"] > 1.5 * taken["greedy"] > 0


def test_balancers_poll_discovery_at_different_times() -> None:
    settings = make_settings(polled_discovery=True)
    times = set()
    for seed in range(20):
        driver = Driver(settings, seed)
        (timer,) = driver.list([], api.ListKind.FAILED)
        assert isinstance(timer, api.SetTimer)
        assert driver.now <= timer.at_ms <= driver.now + settings.rules.ask_every_ms
        times.add(timer.at_ms)
        assert driver.feed(api.TimerFired(timer.token)) == [api.WatchEndpoints()]
    assert len(times) == 20


def test_contradictory_settings_are_rejected() -> None:
    with pytest.raises(ValueError, match="classes: no request class, expected at least one"):
        make_settings(classes=())
    with pytest.raises(ValueError, match="tier"):
        make_settings(tier=3)
    with pytest.raises(ValueError, match="cold share"):
        make_settings(rules=api.Rules(cold_share=0.0))


def test_the_first_cold_server_of_a_lost_zone_is_not_overloaded() -> None:
    """Guards against overloading a cold server that is alone in its zone (incident i0f1c09)."""
    driver = Driver()
    others = [endpoint(f"b{i}", "b") for i in range(20)]
    driver.list([endpoint("a0", started_ms=driver.now), *others])
    sent = [a.endpoint for _ in range(100) for a in driver.request() if isinstance(a, api.Send)]
    assert len(sent) > 20
    assert sent.count("a0") <= 2


def test_ejected_servers_get_no_calls_while_others_are_only_full() -> None:
    """Guards against calls to dead servers whenever the live ones have no capacity (incident i0f1c09)."""
    driver = Driver()
    driver.list([endpoint("a0"), endpoint("a1"), endpoint("b0", "b")])
    servers = driver.balancer.endpoints.servers
    while not (servers["a0"].ejections and servers["a1"].ejections):
        server = only_send(driver.request()).endpoint
        alive = server == "b0"
        driver.end(api.Outcome.OK if alive else api.Outcome.CONNECT_FAILED, request_over=True)
    driver.settle()
    sent = [a.endpoint for _ in range(50) for a in driver.request() if isinstance(a, api.Send)]
    assert set(sent) == {"b0"}
    assert len(sent) < 50


def test_a_lone_cold_server_is_not_overloaded_from_a_deeper_tier() -> None:
    """Guards against overloading a lone cold server without limits: the surplus goes to other zones."""
    driver = Driver(make_settings(tier=1, tiers=2, balancers=30))
    others = [endpoint(f"b{i}", "b") for i in range(20)]
    driver.list([endpoint("a0", started_ms=driver.now), *others])
    sent = [only_send(driver.request()).endpoint for _ in range(200)]
    assert sent.count("a0") <= 20


def test_one_short_answer_does_not_set_the_base_time() -> None:
    """Guards against normal answers that count as late at a balancer with little traffic."""
    driver = Driver()
    driver.list(TWO_ZONES)
    for elapsed in (5.0, *[100.0] * 20):
        driver.request()
        driver.end(api.Outcome.OK, after_ms=elapsed)
    assert 90.0 < driver.balancer.times.base_ms["read"] < 101.0


def test_a_balancer_with_little_traffic_does_not_refuse_by_chance() -> None:
    """Guards against limits below one call, which refuse whenever a call is in flight."""
    driver = Driver(make_settings(balancers=300))
    driver.list(TWO_ZONES)
    driver.settle()
    assert isinstance(driver.request()[0], api.Send)
    zone = driver.balancer.endpoints.zones["a"]
    assert zone.limiter.limit * zone.capacity < 0.1
    taken = 0
    for _ in range(100):
        driver.now += 100
        sent = [a for a in driver.request() if isinstance(a, api.Send)]
        taken += len(sent)
        if sent:
            driver.end(api.Outcome.OK, after_ms=50)
    assert taken > 90


def test_under_overload_the_call_over_the_limit_is_for_requests_of_worth() -> None:
    """Guards against cheap requests that use the one call of an overloaded balancer (incident i6df7a6)."""
    costly = api.RequestClass("costly", 1000, 2000, worth=10.0)
    cheap = api.RequestClass("cheap", 1000, 2000, worth=1.0)
    driver = Driver(make_settings(classes=(costly, cheap), balancers=8))
    driver.list(TWO_ZONES)
    driver.settle()
    taken = {"costly": 0, "cheap": 0}
    for i in range(400):
        driver.now += 1
        name = "cheap" if i % 4 else "costly"
        if any(isinstance(a, api.Send) for a in driver.request(name)):
            taken[name] += 1
            driver.end(api.Outcome.OK, after_ms=3000)  # every answer is late: the limit stays low
    assert taken["costly"] > 50  # 100 of the 400 requests are costly
    assert taken["cheap"] / 300 < 0.5 * taken["costly"] / 100


@pytest.mark.parametrize("outcome", [api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT])
def test_calls_that_reached_no_server_raise_no_limit(outcome: api.Outcome) -> None:
    driver = Driver(make_settings(limits=api.Limits(max_attempts=1)))
    driver.list(TWO_ZONES[:4])
    zone = driver.balancer.endpoints.zones["a"]
    limiter = zone.limiter
    assert isinstance(limiter, limits.LatenessLimiter)
    limiter.lateness, before = 0.0, limiter.limit
    for _ in range(3):
        driver.request()
        zone.in_flight += 50  # the limit is in use
        driver.end(outcome, after_ms=1.0)
        zone.in_flight -= 50
    assert zone.limiter.limit == before
    assert all(s.ejections == 0 for s in driver.balancer.endpoints.servers.values()) == (
        outcome is api.Outcome.NOT_SENT
    )


@pytest.mark.parametrize("outcome", [api.Outcome.ERROR, api.Outcome.RESET, api.Outcome.TIMEOUT])
def test_only_late_failures_change_the_measured_lateness(outcome: api.Outcome) -> None:
    """Guards against a limit that rises just when calls begin to fail."""
    driver = Driver(make_settings(limits=api.Limits(max_attempts=1)))
    driver.list(TWO_ZONES[:4])
    zone = driver.balancer.endpoints.zones["a"]
    limiter = zone.limiter
    assert isinstance(limiter, limits.LatenessLimiter)
    limiter.lateness = before = 0.9
    driver.request()
    driver.end(outcome, after_ms=1.0)
    assert limiter.lateness == before
    driver.request()
    driver.end(outcome, after_ms=1900.0)
    assert limiter.lateness > before


def test_a_refusal_gives_a_retry_time_within_the_sites_bound() -> None:
    for allowed, bound_ms in (
        (api.Limits(retry_after=True, max_retry_after_ms=2000.0), 600.0),
        (api.Limits(retry_after=True, max_retry_after_ms=100.0), 100.0),
        (api.Limits(), 0.0),
    ):
        driver = Driver(make_settings(limits=allowed))
        (refusal,) = driver.request()
        assert isinstance(refusal, api.Refuse)
        assert min(bound_ms, 200.0) <= refusal.retry_after_ms <= bound_ms


def test_a_rejected_hedged_request_is_sent_again_and_ends_no_request() -> None:
    """Guards against requests left with a hung call alone because their hedge met a full server."""
    limits = api.Limits(max_attempts=4, concurrent_attempts=True)
    driver = Driver(make_settings(limits=limits))
    driver.list([endpoint("a0"), endpoint("a1")])
    for _ in range(40):
        driver.request()
        driver.end(api.Outcome.OK, after_ms=20.0)
    server = only_send(driver.request(remaining_ms=2000.0)).endpoint
    hung = f"r{driver.count}"
    driver.now += 200.0
    hedges: list[api.Send] = []
    while not hedges:
        driver.request()
        hedges = [a for a in driver.end(api.Outcome.OK, after_ms=20.0) if isinstance(a, api.Send)]
    assert (hedges[0].request, hedges[0].endpoint != server) == (hung, True)
    assert only_send(driver.end(api.Outcome.REJECTED, 1, hung, 1.0)).request == hung
    driver.balancer.budget.tokens = 0.0
    assert driver.end(api.Outcome.REJECTED, 2, hung, 1.0) == []  # the hung call may still be answered
    assert isinstance(driver.end(api.Outcome.TIMEOUT, 0, hung, 500.0)[0], (api.Fail, api.Refuse))


@pytest.mark.parametrize(
    ("balancers", "late", "overage"),
    [(3, False, 1.0), (3, True, 2.0 / 3.0), (100, False, 1.0), (100, True, 0.02), (1, True, 1.0)],
)
def test_under_overload_balancers_share_the_calls_over_their_limits(
    balancers: int,
    late: bool,
    overage: float,
) -> None:
    """Guards against a call over the limit of each of many balancers, which keeps servers overloaded."""
    driver = Driver(make_settings(balancers=balancers))
    driver.list(TWO_ZONES)
    driver.settle()
    for _ in range(60):
        driver.now += 50
        if any(isinstance(a, api.Send) for a in driver.request()):
            driver.end(api.Outcome.OK, after_ms=3000 if late else 50)
    driver.balancer.endpoints.refresh(driver.now)
    assert driver.balancer.endpoints.zones["a"].overage == pytest.approx(overage)


@pytest.mark.parametrize(
    ("overdue", "minimum", "maximum"), [(0, 0.9, 1.1), (1, 0.0, 0.3), (2, 0.0, 0.3), (3, 0.9, 1.1)]
)
def test_a_server_with_an_overdue_answer_gets_a_tenth_of_its_calls(
    overdue: int,
    minimum: float,
    maximum: float,
) -> None:
    """One late call of three or more is chance; of one or two it shows overload."""
    driver = Driver(make_settings(balancers=2))
    driver.list([endpoint(f"a{i}") for i in range(4)])
    for _ in range(60):
        driver.request()
        driver.end(api.Outcome.OK, after_ms=20.0)
    calls = driver.balancer.endpoints.servers["a0"].calls
    server = driver.balancer.endpoints.servers["a0"]
    zone = driver.balancer.endpoints.zones["a"]
    for i in range(overdue):
        calls[Attempt(f"overdue{i}", server, zone, driver.now - 500.0, 0)] = None
    sent = 0
    for _ in range(800):
        sent += only_send(driver.request()).endpoint == "a0"
        driver.end(api.Outcome.OK, after_ms=20.0)
    assert minimum <= sent / 200.0 <= maximum


@pytest.mark.parametrize("change", ["draining", "gone", "excluded"])
def test_a_zones_limit_ignores_calls_at_servers_that_have_left(change: str) -> None:
    """The last server of a zone leaves with calls in flight, and another takes its place.

    Guards against a limit far too high, from calls in flight divided by the capacity of an empty zone.
    """
    driver = Driver(make_settings(balancers=4))
    driver.list([endpoint("a1"), endpoint("b1", "b")])
    driver.settle()
    for _ in range(40):
        driver.request()
        driver.end(api.Outcome.OK, after_ms=100.0)
    zone = driver.balancer.endpoints.zones["a"]
    before = zone.limiter.limit
    sent = [a for _ in range(4) for a in driver.request()]
    pending = [a.request for a in sent if isinstance(a, api.Send) and a.endpoint == "a1"]
    assert pending
    if change == "excluded":
        driver.feed(api.EndpointsExcluded(frozenset({"a1"})))
    else:
        state = api.EndpointState.DRAINING if change == "draining" else api.EndpointState.GONE
        driver.list([endpoint("a1", state=state)], api.ListKind.CHANGES)
    assert zone.in_flight == 0  # the calls use no capacity of the next server
    for request in pending:
        driver.end(api.Outcome.OK, request=request, after_ms=100.0)
    assert zone.limiter.limit <= before * 1.5
    driver.feed(api.EndpointsExcluded(frozenset()))
    driver.list([endpoint("a2"), endpoint("b1", "b")])
    taken = [a for _ in range(200) for a in driver.request() if isinstance(a, api.Send)]
    assert sum(a.endpoint == "a2" for a in taken) < 60
