"""The scale bench's layout, counts and fits, and a fleet of ten hollow nodes with real control processes."""

import socket
from contextlib import closing
from pathlib import Path

import pytest

from bench import mesh_scale
from bench.scale import fits, fleet
from bench.scale.fleet import Fleet, FleetError
from bench.scale.messages import NodeSample, Start
from bench.scale.payload import configuration
from bench.scale.phases import Schedule, start
from bench.scale.plan import PARTITIONED_REGIONS, PARTITIONED_ZONES, ZONES, Plan
from bench.scale.reach import Reach
from bench.scale.traffic import TCP_HEADER_BYTES, CountedLink, Traffic
from honeywharf.mesh_config import settings
from honeywharf.mesh_config.configuration import check
from honeywharf.simulation import deployment

PLAN = Plan(nodes=1200, controls=6, services=160, octet=20, shift=0)


def test_every_machine_has_its_own_address_in_its_zone() -> None:
    nodes = [PLAN.node(index) for index in range(PLAN.nodes)]
    controls = [(PLAN.control_ip(index), PLAN.control_zone(index)) for index in range(PLAN.controls)]
    addresses = [(node.ip, node.zone) for node in nodes] + controls
    assert len({ip for ip, _ in addresses}) == PLAN.nodes + PLAN.controls
    assert all(PLAN.zone_of(ip) == zone for ip, zone in addresses)
    assert len({node.service for node in nodes}) == PLAN.services
    assert all(max(map(int, ip.split("."))) < 256 for ip, _ in addresses)


def test_a_partition_separates_two_sides_and_nothing_else() -> None:
    ips = {zone: PLAN.node(index).ip for index, (zone, _) in enumerate(ZONES)}
    reach = Reach(PLAN.zone_of)

    def separated() -> set[tuple[str, str]]:
        return {(a, b) for a in ips for b in ips if reach.separates(ips[a], ips[b])}

    assert not separated()
    reach.separate(*PARTITIONED_ZONES)
    assert separated() == {("north-b", "north-c"), ("north-c", "north-b")}
    reach.separate(*PARTITIONED_REGIONS)
    assert len(separated()) == 12
    assert all(dict(ZONES)[a] != dict(ZONES)[b] for a, b in separated())
    reach.separate(frozenset(), frozenset())
    assert not separated()


def test_settings_are_those_of_a_machine_of_two_regions(tmp_path: Path) -> None:
    parsed = settings.parse(PLAN.node_settings(PLAN.node(7)))
    assert (parsed.ip, parsed.zone, parsed.service) == ("127.22.1.2", "north-c", "service-007")
    assert parsed.zones == dict(ZONES)
    assert parsed.bound("config-apply", 0.0) == 6.0
    control = settings.parse(PLAN.control_settings(5, tmp_path))
    assert (control.ip, control.data_directory) == ("127.20.250.2", str(tmp_path))
    assert control.seeds == parsed.seeds


def test_configurations_are_valid_and_differ() -> None:
    first, second = (check(configuration(version, 160)).unwrap() for version in (1, 2))
    assert (first.version, second.version) == (1, 2)
    assert first.digest != second.digest


def test_a_line_and_a_power_are_fitted() -> None:
    line = fits.fit_line([(30, 70.0), (100, 210.0), (300, 610.0)])
    assert (line.intercept, line.slope, line.error) == pytest.approx((10.0, 2.0, 0.0), abs=1e-9)
    assert line.at(1200) == pytest.approx(2410.0)
    power = fits.fit_power([(30, 3 * 30**1.5), (100, 3 * 100**1.5), (300, 3 * 300**1.5)])
    assert power is not None
    assert (power.factor, power.exponent) == pytest.approx((3.0, 1.5))
    assert fits.fit_power([(30, 0.0), (100, 1.0)]) is None
    with pytest.raises(ValueError, match="no points"):
        fits.fit_line([])


def test_a_fit_reports_its_largest_relative_error() -> None:
    assert fits.fit_line([(1, 1.0), (2, 4.0), (3, 1.0)]).error == pytest.approx(1.0)


@pytest.mark.parametrize(("share", "expected"), [(0.5, 5.0), (0.99, 10.0), (1.0, 10.0), (0.0, 1.0)])
def test_percentiles(share: float, expected: float) -> None:
    assert fits.percentile([float(value) for value in range(10, 0, -1)], share) == expected


def test_counts_and_messages_survive_packing() -> None:
    traffic = Traffic()
    traffic.sent_datagram(72)
    traffic.received_datagram(12)
    assert (traffic.bytes_sent, traffic.bytes_received, traffic.packets_sent) == (100, 40, 1)
    twice = traffic + traffic
    assert twice - traffic == traffic
    sample = NodeSample(3, twice, started=1.5, ready=2.5, known=9)
    assert NodeSample.unpacked(sample.packed()) == sample
    start_message = Start([1, 2], 0.5, 12, [0])
    assert Start.unpacked(start_message.packed()) == start_message


def test_a_link_is_counted_once_however_often_it_is_read() -> None:
    with (
        closing(socket.create_server(("127.0.0.1", 0))) as server,
        closing(socket.create_connection(server.getsockname())) as client,
        closing(server.accept()[0]) as accepted,
    ):
        traffic = Traffic()
        link = CountedLink(accepted, traffic)
        client.sendall(bytes(3000))
        remaining = 3000
        while remaining:
            remaining -= len(accepted.recv(remaining))
        link.read()
        link.read()
        payload = traffic.link_bytes_received - TCP_HEADER_BYTES * traffic.segments_received
        assert payload == 3000
        assert traffic.links_opened == 1
    link.read()  # A closed socket adds nothing and raises no error.


def test_a_small_fleet_starts_changes_restarts_and_is_partitioned(tmp_path: Path) -> None:
    plan = Plan.on_free_ports(nodes=10, controls=3, services=4)
    schedule = Schedule(0.0, 0.0, 1, 0.0, 1, 0.0)
    with Fleet(plan, tmp_path, real=0, processes=1, limit_s=60.0) as fleet:
        figures = start(fleet, schedule)
        assert figures["node: bytes received"] > 0
        samples = fleet.hollow_samples()
        assert [sample.known for sample in samples] == [13] * 10

        sent, acknowledged = fleet.change()
        fleet.wait("the change", 10.0, lambda: all(fleet.application_times(fleet.version)))
        assert sent < acknowledged

        started_at = {sample.index: sample.started for sample in samples}
        fleet.kill_hollow([4])
        fleet.restart_hollow([4])
        fleet.wait("node 4", 10.0, lambda: all(sample.complete for sample in fleet.hollow_samples()))
        assert [
            sample.index for sample in fleet.hollow_samples() if sample.started != started_at[sample.index]
        ] == [4]

        fleet.partition(*PARTITIONED_ZONES)
        assert sent < fleet.change()[1]
        fleet.wait("a change beside a partition", 10.0, lambda: all(fleet.application_times(fleet.version)))
        assert all(sample.known == 13 for sample in fleet.hollow_samples())
        fleet.partition()
        processes = fleet.all
        assert sum(process.faults() for process in processes) == 0
    assert not any(process.running for process in processes)


def test_a_change_that_nobody_acknowledges_reports_the_answers_and_the_logs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failure that can't be traced, because it shows neither answers nor logs."""
    monkeypatch.setattr(fleet, "MAX_CHANGE_ATTEMPTS", 4)
    plan = Plan.on_free_ports(nodes=1, controls=1, services=1)
    (tmp_path / "control-0.log").write_text("the last line of its log\n")

    def change_without_control_processes() -> None:
        with Fleet(plan, tmp_path, real=0, processes=0, limit_s=60.0) as running:
            running.controls[0].kill()
            running.change()

    with pytest.raises(FleetError) as caught:
        change_without_control_processes()
    notes = "\n".join(caught.value.__notes__)
    assert f"4 times {plan.control_ip(0)}:{plan.port(deployment.CONTROL)}: no clear answer" in notes
    assert "control-0: not running, exit status -9\nthe last line of its log" in notes


def test_the_table_extrapolates_to_the_target() -> None:
    lines = mesh_scale.table([30, 300], [{"rest | x": 60.0}, {"rest | x": 600.0}], 1200)
    partly = mesh_scale.table([30, 300], [{"rest | x": 60.0}, {"rest | y": 6.0}], 1200)
    assert [line.split()[-2:] for line in partly[1:]] == [["60.00", "-"], ["-", "6.00"]]
    assert lines[1].split() == ["rest", "|", "x", "60.00", "600.00", "1.00", "2400.00", "2400.00"]
