"""Whole control nodes: the operator's calls, machines that go, come back empty or are replaced, the end."""

from __future__ import annotations

import pytest

from tests.control.town import Town


def roster(town: Town, ip: str) -> list[str]:
    return [one.address.rpartition(":")[0] for one in town.programs[ip].replica.state.members]


def test_what_one_takes_another_describes_as_it_was_sent() -> None:
    town = Town(1)
    town.run(0.3)
    assert town.describe("10.0.0.2").status == 0
    before = town.describe("10.0.0.2")
    call = town.replace("10.0.0.1", 7, "x" * 400_000)
    town.run(0.25)
    assert before.status in (200, 404)
    assert call.status == 200
    told = town.describe("10.0.0.3")
    town.run(0.1)
    assert told.answers == [(200, b"r7 " + b"x" * 400_000, b"")]
    late, old = town.replace("10.0.0.2", 6), town.replace("10.0.0.3", 7, "other")
    bad = town.call("10.0.0.2", "POST", "/api/configuration/replace", b"?")
    town.run(0.3)
    assert (late.status, bad.status, old.status) == (200, 400, 409)
    again = town.describe("10.0.0.1")
    town.run(0.2)
    assert again.answers[0][1] == told.answers[0][1]


def test_evacuations_begin_and_end_and_unknown_places_are_refused() -> None:
    town = Town(2)
    town.run(0.3)
    calls = [
        town.call("10.0.0.1", "POST", "/api/evacuations/a/start"),
        town.call("10.0.0.2", "POST", "/api/evacuations/a/start"),
        town.call("10.0.0.2", "POST", "/api/evacuations/x/start"),
        town.call("10.0.0.3", "GET", "/api/evacuations/a/start"),
        town.call("10.0.0.3", "GET", "/api"),
        town.call("10.0.0.3", "POST", "/api/instances/i/heartbeat", b'{"address":"10.0.9.9:80"}'),
        town.call("10.0.0.3", "POST", "/api/instances/i/heartbeat", b'{"address":"no"}'),
    ]
    town.run(0.8)
    assert [call.status for call in calls] == [200, 200, 404, 405, 404, 307, 404]
    assert calls[5].answers[0][2] == b"Location: http://10.0.9.9:8306/api/instances/i/heartbeat\r\n"
    assert town.known("10.0.0.3").evacuations == {"a": True}
    end = town.call("10.0.0.3", "POST", "/api/evacuations/a/complete")
    town.run(0.5)
    assert end.status == 200
    assert town.known("10.0.0.1").evacuations == {"a": False}


def test_without_a_majority_nothing_is_acknowledged_or_told_and_both_come_back_with_it() -> None:
    town = Town(3)
    town.run(0.5)
    town.split(["10.0.0.1"], ["10.0.0.2", "10.0.0.3"])
    alone, other = town.replace("10.0.0.1", 3, "a"), town.replace("10.0.0.2", 2, "b")
    read = town.describe("10.0.0.1")
    town.run(0.95)
    assert (alone.status, read.status, other.status) == (503, 503, 200)
    town.world.cuts.clear()
    town.run(2.0)
    told = town.describe("10.0.0.1")
    town.run(0.5)
    assert told.answers[0][1] in (b"r2 b", b"r3 a")


def test_a_wiped_disk_and_a_new_machine_take_the_places_of_the_lost_ones() -> None:
    town = Town(4)
    town.run(0.3)
    taken = town.replace("10.0.0.1", 5, "five")
    town.run(0.3)
    assert taken.status == 200
    town.world.machines["10.0.0.3"].off(power=True)
    town.world.machines["10.0.0.3"].disk.files.clear()
    town.run(0.2)
    town.start("10.0.0.3")
    town.run(2.0)
    assert town.programs["10.0.0.3"].replica.member()
    assert town.programs["10.0.0.3"].replica.state.disk != "first"
    town.world.machines["10.0.0.1"].off(power=True)
    del town.world.machines["10.0.0.1"]
    town.add("10.0.0.9")
    town.run(4.0)
    assert sorted(roster(town, "10.0.0.2")) == ["10.0.0.2", "10.0.0.3", "10.0.0.9"]
    town.world.machines["10.0.0.2"].off(power=True)  # only those that came empty are left
    told = town.describe("10.0.0.9")
    town.run(0.9)
    assert told.answers == [(200, b"r5 five", b"")]


@pytest.mark.parametrize("seed", [5, 6])
def test_five_at_the_first_start_are_five_members(seed: int) -> None:
    town = Town(seed, 5)
    town.run(2.5)
    for ip in town.ips:
        assert sorted(roster(town, ip)) == town.ips
        assert town.known(ip).wanted == 5
    for ip in town.ips[:2]:
        town.world.machines[ip].off(power=True)
    taken = town.replace("10.0.0.5", 5, "five")
    town.run(1.0)
    assert taken.status == 200


def test_power_lost_everywhere_right_after_an_acknowledgement() -> None:
    town = Town(7)
    town.run(0.5)
    call = town.replace("10.0.0.2", 9, "nine")
    while not call.status:
        town.run(0.001)
    assert call.status == 200
    for ip in town.ips:
        town.world.machines[ip].off(power=True)
    town.run(0.5)
    for ip in town.ips:
        town.start(ip)
    town.run(0.5)
    told = [town.describe(ip) for ip in town.ips]
    town.run(0.9)
    assert [one.answers for one in told] == [[(200, b"r9 nine", b"")]] * 3


def test_sigterm_ends_within_a_second_and_answers_what_is_at_work() -> None:
    town = Town(8)
    town.run(0.5)
    call = town.replace("10.0.0.1", 2)
    town.run(0.002)
    town.programs["10.0.0.1"].stop()
    late = town.describe("10.0.0.1")
    town.run(0.9)
    assert (call.status, late.status) == (200, 503)
    assert town.world.machines["10.0.0.1"].exited == 0


def test_a_member_that_missed_what_was_accepted_accepts_it_by_itself() -> None:
    town = Town(9)
    town.run(0.5)
    town.split(["10.0.0.3"], ["10.0.0.1", "10.0.0.2"])
    call = town.replace("10.0.0.1", 4, "four")
    town.run(1.0)
    assert call.status == 200
    town.world.cuts.clear()
    town.run(4.0)
    value = town.programs["10.0.0.3"].replica.state.value
    assert value is not None
    assert value.version == 4
    assert town.programs["10.0.0.3"].replica.store.has(value.digest)
