"""The guarantees of the simulated machine to programs, and its faults."""

from __future__ import annotations

import pytest

from honeywharf.simulation.machine import SILENCE_TIMEOUT_S, WINDOW_BYTES, End
from honeywharf.transport.host import Address
from tests.simulation.toys import HERE, THERE, CallbackLog, TwoMachines

FORTH, BACK = [(HERE, THERE)], [(THERE, HERE)]


def test_bytes_come_whole_in_order_and_not_before_the_delay() -> None:
    two = TwoMachines()
    log = two.open_connection()
    sent = bytes(range(256)) * 2000
    two.call_in(two.here, lambda: log.connection.send(sent))
    two.world.run(5.0)
    assert two.accepted[0].data == sent
    assert log.data == sent
    assert log.told[0][1] == "opened"
    assert log.told[0][0] >= 0.01 + 2 * two.network.cross_zone_delay_s
    two.call_in(two.here, log.connection.close)
    two.world.run(6.0)
    assert log.names() == ["opened", "drained", "closed "]
    assert two.accepted[0].names()[-2:] == ["ended", "closed "]


def test_a_peer_that_does_not_read_holds_the_writer() -> None:
    two = TwoMachines(echo=False)
    log = two.open_connection()
    two.world.run(0.1)
    two.call_in(two.there, two.accepted[0].connection.pause)
    two.call_in(two.here, lambda: log.connection.send(bytes(3 * WINDOW_BYTES)))
    two.world.run(20.0)
    assert log.connection.unsent == 2 * WINDOW_BYTES
    assert two.accepted[0].data == b""
    assert log.names() == ["opened"]
    two.call_in(two.there, two.accepted[0].connection.resume)
    two.world.run(21.0)
    assert log.connection.unsent == 0
    assert len(two.accepted[0].data) == 3 * WINDOW_BYTES
    assert log.names()[-1] == "drained"


def test_a_dead_port_refuses_and_a_dark_machine_says_nothing() -> None:
    two = TwoMachines()
    refused = two.open_connection(port=81)
    two.world.run(0.1)
    assert refused.names() == ["closed refused"]
    two.there.machine.power_off()
    hung = two.open_connection(within=0.7)
    two.world.run(2.0)
    assert hung.names() == ["closed timeout"]
    assert 0.8 <= hung.told[0][0] < 0.83


def test_half_close_leaves_the_other_way_open() -> None:
    two = TwoMachines(echo=False)
    log = two.open_connection()
    two.world.run(0.1)
    assert isinstance(log.connection, End)
    two.call_in(two.here, log.connection.finish)
    two.world.run(0.2)
    assert two.accepted[0].names() == ["ended"]
    two.call_in(two.there, lambda: two.accepted[0].connection.send(b"late"))
    two.world.run(0.3)
    assert log.data == b"late"
    assert log.names() == ["opened"]


def test_a_close_after_a_half_close_says_nothing_more_and_resets_what_is_sent_then() -> None:
    two = TwoMachines(echo=False)
    log = two.open_connection()
    two.world.run(0.1)
    assert isinstance(log.connection, End)
    two.call_in(two.here, log.connection.finish)
    two.call_in(two.here, log.connection.close)
    two.world.run(0.2)
    assert two.accepted[0].names() == ["ended"]
    two.call_in(two.there, lambda: two.accepted[0].connection.send(b"are you there?"))
    two.world.run(0.3)
    assert two.accepted[0].names() == ["ended", "closed reset"]


def test_the_end_of_a_paused_connection_is_told_before_it_is_read() -> None:
    two = TwoMachines(echo=False)
    log = two.open_connection()
    two.world.run(0.1)
    there, seen = two.accepted[0], list[bytes]()
    two.call_in(two.there, there.connection.pause)
    two.call_in(two.there, lambda: there.connection.watch_half_close(lambda: seen.append(there.data)))
    two.call_in(two.here, lambda: log.connection.send(b"late"))
    two.call_in(two.here, log.connection.close)
    two.world.run(0.2)
    assert seen == [b""]
    assert there.names() == []
    two.call_in(two.there, there.connection.resume)
    two.world.run(0.3)
    assert (there.data, there.names(), len(seen)) == (b"late", ["ended"], 1)


@pytest.mark.parametrize("pairs", [FORTH, BACK, FORTH + BACK])
def test_a_cut_is_silent_and_what_it_held_up_comes_afterwards(pairs: list[tuple[str, str]]) -> None:
    two = TwoMachines()
    log = two.open_connection()
    two.world.run(0.1)
    two.network.cut(pairs)
    two.call_in(two.here, lambda: log.connection.send(b"held up"))
    two.world.run(1.5)
    assert log.data == b""
    assert log.names() == ["opened"]
    two.network.remove_cuts(pairs)
    two.world.run(3.0)
    assert log.data == b"held up"
    two.network.cut(pairs)
    two.world.run(3.0 + SILENCE_TIMEOUT_S + 0.1)
    assert log.names()[-1] == "closed timeout" == two.accepted[0].names()[-1]


def test_bytes_held_up_are_lost_when_their_sender_aborts() -> None:
    two = TwoMachines()
    log = two.open_connection()
    two.world.run(0.1)
    two.network.cut(FORTH)
    two.call_in(two.here, lambda: log.connection.send(b"x"))
    two.world.run(0.2)
    two.call_in(two.here, log.connection.abort)
    two.world.run(0.3)
    two.network.remove_cuts(FORTH)
    two.world.run(2.0)
    assert two.accepted[0].data == b""
    assert two.accepted[0].names() == ["closed reset"]


def test_a_kill_resets_and_the_next_life_is_another() -> None:
    two = TwoMachines(echo=False)
    log = two.open_connection()
    two.world.run(0.1)
    two.call_in(two.there, two.accepted[0].connection.pause)
    two.call_in(two.here, lambda: log.connection.send(b"unread"))
    two.world.run(0.2)
    two.there.kill()
    two.world.run(0.3)
    assert log.names() == ["opened", "closed reset"]
    assert two.accepted[0].names() == []
    two.world.run(1.0)
    assert two.there.incarnation == 2
    again = two.open_connection()
    two.world.run(1.1)
    assert again.names() == ["opened"]


def test_a_process_may_die_just_after_it_gave_up_a_connection_that_was_not_up() -> None:
    two = TwoMachines()
    log = two.open_connection()
    log.connection.abort()
    two.here.kill()
    two.world.run(1.0)
    assert two.here.alive
    assert log.names() == []


def test_a_machine_back_from_the_dark_resets_what_it_no_longer_knows() -> None:
    two = TwoMachines()
    log = two.open_connection()
    two.world.run(0.1)
    two.there.machine.power_off()
    two.world.run(1.0)
    assert log.names() == ["opened"]
    two.there.machine.power_on()
    two.world.run(2.0)
    assert log.names() == ["opened", "closed reset"]


def test_a_frozen_process_does_all_at_once_when_it_thaws() -> None:
    two = TwoMachines()
    fired: list[float] = []
    log = two.open_connection()
    two.world.run(0.1)
    for n in range(5):
        two.there.after(n / 10, lambda: fired.append(two.world.now))
    two.there.freeze()
    two.call_in(two.here, lambda: log.connection.send(b"x"))
    two.world.run(1.0)
    assert fired == []
    assert log.data == b""
    two.there.thaw()
    two.world.run(1.2)
    assert fired == [1.0] * 5
    assert log.data == b"x"


def test_timers_are_a_little_late_and_a_cancelled_one_is_not_called() -> None:
    two = TwoMachines()
    fired: list[str] = []
    two.here.after(1.0, lambda: fired.append("kept"))
    two.here.after(0.5, lambda: fired.append("cancelled")).cancel()
    two.world.run(1.0099)
    assert fired == []
    two.world.run(1.012)
    assert fired == ["kept"]
    assert two.here.now() != two.there.now()
    assert abs(two.here.wall_time() - two.there.wall_time()) < 0.2


def test_datagrams_are_lost_overtaken_and_dropped_by_a_cut() -> None:
    two = TwoMachines(loss=0.1)
    heard: list[int] = []

    def ear(sender: Address, data: bytes) -> None:
        assert sender == (HERE, 7)
        heard.append(int(data))

    two.here.listen_datagrams((HERE, 7), lambda sender, data: None)
    two.there.listen_datagrams((THERE, 7), ear)
    for n in range(1000):
        two.here.send_datagram((THERE, 7), str(n).encode())
    two.world.run(1.0)
    assert 850 < len(heard) < 950
    assert heard != sorted(heard)
    two.network.cut(FORTH)
    two.here.send_datagram((THERE, 7), b"1")
    count = len(heard)
    two.world.run(2.0)
    assert len(heard) == count
    with pytest.raises(ValueError, match="1401"):
        two.here.send_datagram((THERE, 7), bytes(1401))


def test_what_waits_for_a_frozen_process_is_bounded() -> None:
    two = TwoMachines()
    two.there.listen_datagrams((THERE, 7), lambda sender, data: None)
    two.there.freeze()
    for _ in range(1000):
        two.here.send_datagram((THERE, 7), b"x")
    two.world.run(1.0)
    assert len(two.there.waiting) == 256
    assert two.there.dropped_datagrams == 744


def test_a_sync_takes_time_and_what_is_sent_after_it_waits_for_it() -> None:
    two = TwoMachines(echo=False)
    log = two.open_connection()
    two.world.run(0.1)

    def save() -> None:
        before = two.there.now()
        two.there.write("a", b"1")
        assert two.there.now() - before >= 0.005
        two.accepted[0].connection.send(b"safe")

    two.call_in(two.there, save)
    two.world.run(0.1049)
    assert log.data == b""
    two.world.run(0.2)
    assert log.data == b"safe"


def test_a_promise_of_a_process_that_lost_power_before_its_sync_is_never_heard() -> None:
    for moment in (0.001, 0.004, 0.0049):
        two = TwoMachines(echo=False)
        log = two.open_connection()
        two.world.run(0.1)
        two.call_in(
            two.there,
            lambda two=two: (  # type: ignore[misc]
                two.there.write("a", b"1"),
                two.accepted[0].connection.send(b"safe"),
            )[0],
        )
        two.world.run(0.1 + moment)
        two.there.machine.power_off()
        two.world.run(2.0)
        assert log.data == b""


def test_the_same_seed_gives_the_same_trace_and_another_another() -> None:
    def trace(seed: int) -> tuple[int, int]:
        two = TwoMachines(seed, loss=0.1)
        logs: list[CallbackLog] = [two.open_connection() for _ in range(5)]
        for log in logs:
            two.call_in(two.here, lambda log=log: log.connection.send(two.here.random(100_000)))  # type: ignore[misc]
        two.world.run(0.012)
        two.there.kill()
        two.world.run(3.0)
        return two.world.digest, two.world.steps

    assert trace(3) == trace(3)
    assert trace(3) != trace(4)


def test_an_error_in_a_program_ends_its_process_and_is_kept() -> None:
    two = TwoMachines()
    two.call_in(two.there, lambda: [][0])
    two.world.run(1.0)
    assert two.there.incarnation == 2
    assert "IndexError" in two.world.crashes[0][2]
