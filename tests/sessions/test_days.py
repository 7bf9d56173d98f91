"""Seeded days of two and three regions, and the gateways of settings."""

from __future__ import annotations

import json

import pytest

from honeywharf.mesh_config.settings import Settings, SettingsError, parse
from honeywharf.programs.gateway import GatewayNode, granted_bytes
from honeywharf.sessions.drain import EMPTY
from honeywharf.sessions.gateway_location import GatewayLocation
from honeywharf.simulation import deployment
from honeywharf.simulation.regions import FAULT_KINDS, READ, UPLOAD, Client, Day, Source
from honeywharf.simulation.world import World


@pytest.mark.parametrize("seed", range(6))
def test_days_of_two_and_three_regions_break_nothing(seed: int) -> None:
    assert Day(seed, 2 + seed % 2).play().faults == []


def day_with_uploads(count: int, size: int, timeout_s: float) -> tuple[Day, Source, GatewayNode]:
    """A day without faults that begins with many uploads through one gateway."""
    day = Day(5, 2, fault_kinds="", seconds=1.5, uploads=0)
    day.world.run(1.0)
    source, gateway = day.sources[0].program, day.gateways[0].program
    assert isinstance(source, Source)
    assert isinstance(gateway, GatewayNode)
    for _ in range(count):
        Client(day, source, UPLOAD, size, timeout_s)
    return day, source, gateway


@pytest.mark.parametrize("sessions", [True, False])
def test_a_killed_gateway_costs_a_path_and_without_resuming_the_upload(sessions: bool) -> None:
    day, source, _ = day_with_uploads(20, 400_000, 30.0)
    source.session_client.resumes_sessions = sessions
    day.world.run(1.3)
    day.gateways[0].kill()
    day.world.run(30.0)
    uploads = [client for client in day.clients if client.kind == UPLOAD]
    again = sum(client.tries > 1 for client in uploads)
    refused = sum(each.refusals for each in day.running_destinations())
    assert all(client.outcome == "done" for client in uploads)
    assert again <= refused if sessions else again >= 10


def test_five_hundred_uploads_at_once_move_within_the_grace_period() -> None:
    day, source, gateway = day_with_uploads(500, 40_000, 60.0)
    day.world.run(1.2)
    assert len(gateway.relay.relayed_sessions) >= 200
    assert gateway.relay.in_flight_bytes <= gateway.relay.max_bytes
    gateway.order_drain()
    day.world.run(6.0)
    assert gateway.drain.state == EMPTY
    day.world.run(30.0)
    uploads = [client for client in day.clients if client.kind == UPLOAD]
    assert sum(client.outcome == "done" for client in uploads) == 500
    assert source.session_client.moves > 0


def test_a_lost_destination_is_given_up_with_a_proof_long_before_the_deadline() -> None:
    day, source, _ = day_with_uploads(0, 0, 0.0)
    lost = day.destinations[-1].machine
    lost.power_off()
    day.other_destinations = lambda region: [lost.ip]  # type: ignore[method-assign]
    day.not_run_attempts.clear()
    # Otherwise END would follow OPEN at once, and the read may have run.
    source.session_client.incarnations.clear()
    clients = [Client(day, source, READ, 10, 30.0), Client(day, source, UPLOAD, 400_000, 30.0)]
    day.world.run(7.0)
    assert all(client.tries > 1 and client.attempts[0] in day.not_run_attempts for client in clients)


def test_a_slow_client_whose_deadline_passes_gets_the_correct_verdict() -> None:
    day, _, gateway = day_with_uploads(1, 60_000_000, 6.0)
    day.client_delay_s = 0.05
    day.world.run(2.0)
    gateway.order_drain()
    day.play()
    uploads = [client for client in day.clients if client.kind == UPLOAD]
    assert [client.outcome for client in uploads] == ["not run"]
    assert day.faults == []


def test_the_last_gateway_of_a_region_drains_only_after_a_second_order() -> None:
    day, _, gateway = day_with_uploads(4, 400_000, 20.0)
    other = day.gateways[1].program
    assert isinstance(other, GatewayNode)
    other.order_drain()
    day.world.run(3.0)
    assert gateway.is_last
    gateway.order_drain()
    day.world.run(4.0)
    assert gateway.drain.accepts_sessions
    gateway.order_drain()
    day.world.run(8.0)
    assert gateway.drain.state == EMPTY
    assert day.play().faults == []


def test_the_same_seed_gives_the_same_day() -> None:
    assert Day(3).play().world.digest == Day(3).play().world.digest
    assert isinstance(Day(3).world, World)
    assert set(FAULT_KINDS.split()) == {"drain", "term", "kill", "cut", "restart"}


def settings(gateways: object) -> Settings:
    text = json.loads(deployment.settings("10.1.0.20", deployment.ZONES[0], ["10.1.0.9"], True, "tile-vault"))
    return parse(json.dumps({**text, "gateways": gateways}))


@pytest.mark.parametrize(
    "wrong",
    [
        {},
        [1],
        [{"address": "10.0.0.1", "region": "a", "zone": "a-1"}],
        [{"address": "10.0.0.1:0", "region": "a"}],
        [{"address": "10.0.0.1:7640", "region": "", "zone": "a-1"}],
    ],
)
def test_invalid_gateways_in_settings_are_rejected_by_name(wrong: object) -> None:
    with pytest.raises(SettingsError, match=r"gateways: expected a list of .address.*, got "):
        settings(wrong)


def test_gateways_of_settings() -> None:
    read = settings([{"address": "10.0.0.1:7640", "region": "a", "zone": "a-1"}])
    assert read.gateways == [(("10.0.0.1", 7640), "a", "a-1")]
    assert GatewayLocation(*read.gateways[0]).node == "10.0.0.1:7640"
    assert settings([]).gateways == []


def test_a_gateway_grants_what_its_link_and_its_memory_carry() -> None:
    assert granted_bytes(300.0, 80.0) == 5_000_000
    assert granted_bytes(40.0, 10_000.0) == 10 << 20
    assert granted_bytes(1.0, 1.0) == 4 << 20
