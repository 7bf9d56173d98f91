"""What is kept for missing machines: bounds, telling, time; and the handing over of news and words."""

from __future__ import annotations

from honeywharf.hinted_handoff import hints
from honeywharf.hinted_handoff.gossip_hints import GossipHintStore
from honeywharf.hinted_handoff.hints import HintStore
from tests.control.cluster import ControlCluster
from tests.gossip.network import GossipNetwork, knows, settled


def test_the_newest_of_each_thing_is_handed_over_once() -> None:
    held = HintStore()
    assert held.begin("a", 1.0)
    held.add("x", 100)
    held.add("y", 50)
    held.add("x", 300)
    held.add("a", 70)  # its own words it knows
    assert (held.total_entries, held.total_bytes) == (2, 350)
    assert held.take("a") == ["x", "y"]
    assert held.take("a") == []
    assert (held.total_entries, held.total_bytes, held.handed_over) == (0, 0, 2)


def test_each_machine_and_all_together_are_bounded_and_a_full_hinted_handoff_says_so_once() -> None:
    lines: list[str] = []
    held = HintStore(lines.append)
    held.begin("a", 1.0)
    for number in range(hints.MAX_ENTRIES_PER_MACHINE + 5):
        held.add(f"n{number}", 10)
    assert held.total_entries == hints.MAX_ENTRIES_PER_MACHINE
    assert held.spilled == 5
    assert len(lines) == 1
    held.add("n0", 20)  # what is there may be renewed
    assert held.spilled == 5
    held.take("a")
    held.begin("b", 1.0)
    held.add("big", hints.MAX_BYTES_PER_MACHINE + 1)
    assert held.by_machine["b"].spilled
    assert len(lines) == 2
    for number in range(hints.MAX_MACHINES + 3):
        held.begin(f"m{number}", 1.0)
    assert len(held.by_machine) == hints.MAX_MACHINES
    for number in range(hints.MAX_ENTRIES_PER_MACHINE):
        held.add(f"n{number}", 1)
    assert held.total_entries <= hints.MAX_ENTRIES
    assert held.total_bytes <= hints.MAX_BYTES


def test_bytes_of_all_are_bounded() -> None:
    held = HintStore()
    for name in "abcdefgh":
        held.begin(name, 1.0)
    for number in range(100):
        held.add(f"n{number}", 600)
    assert hints.MAX_BYTES - 600 * 8 < held.total_bytes <= hints.MAX_BYTES
    assert held.total_bytes == sum(kept.bytes for kept in held.by_machine.values())


def test_who_stays_away_is_kept_for_no_more() -> None:
    held = HintStore()
    held.begin("a", 1.0)
    held.add("x", 100)
    held.sweep(1.0 + hints.HINT_LIFETIME_S)
    assert held.by_machine
    held.sweep(1.1 + hints.HINT_LIFETIME_S)
    assert (held.total_entries, held.total_bytes, held.expired, held.take("a")) == (0, 0, 1, [])


def test_what_came_since_its_last_sign_is_kept_too_and_a_new_life_asks_by_itself() -> None:
    held = GossipHintStore(lambda line: None)
    entries = [("old", 3.0, 10), ("late", 9.7, 10), ("fresh", 10.5, 10)]
    held.update(11.2, {"a": 10.0, "b": 10.1}, 4, entries)
    held.entry_changed("newest", 10)
    assert held.take("a", 5) == (["late", "fresh", "newest"], True)
    assert held.take("a", 5) == ([], False)
    held.restarted("b")
    assert "b" not in held


def returned(keeps: bool, seed: int) -> float:
    """Seconds until a node whose datagrams were cut off knows all again."""
    network = settled(13, seed, loss=0.0)
    for membership in network.live():
        membership.keeps_hints = keeps
    network.run(2.0)
    gone = network.names[6]
    others = [name for name in network.names if name != gone]
    network.cut([gone], others)
    network.run(4.0)
    for name in others[:6]:
        network.memberships[name].publish(state="draining")
    network.run(3.0)
    back = network.now
    network.cuts.clear()

    def all_known() -> bool:
        return knows(
            network.memberships[gone],
            {one.local_node: one.gossip.table.own.version for one in network.live()},
        )

    assert network.run(10.0, all_known)
    return network.now - back


def test_a_node_that_returns_is_told_before_a_digest_finds_what_it_lacks() -> None:
    without = sum(returned(False, seed) for seed in range(1, 7))
    kept = sum(returned(True, seed) for seed in range(1, 7))
    assert kept < 0.8 * without


def test_only_the_first_watchers_hand_over() -> None:
    network = settled(13, loss=0.0)
    network.run(2.0)
    gone = network.names[6]
    network.cut([gone], [name for name in network.names if name != gone])
    network.run(4.0)
    keepers = [one for one in network.live() if one.hints is not None and gone in one.hints]
    assert 3 <= len(keepers) <= 4
    assert (
        sum(one.failure_detector.is_first_watcher(gone, network.machines[gone].zone) for one in keepers) == 2
    )
    network.cuts.clear()
    network.run(2.0)
    assert not any(gone in one.hints for one in keepers if one.hints is not None)


def test_nobody_has_a_hinted_handoff_while_nobody_was_missed() -> None:
    network = GossipNetwork(1, 9, 0.0)
    network.start_all()
    network.run(8.0)
    assert all(one.hints is None for one in network.live())


def test_a_control_node_that_returns_is_handed_the_word() -> None:
    cluster = ControlCluster(8)
    cluster.run(1.0)
    cluster.split(["10.0.0.3"], ["10.0.0.1", "10.0.0.2"])
    cluster.run(2.0)
    taken = cluster.replace("10.0.0.1", 5, "five")
    cluster.run(1.0)
    assert taken.status == 200
    held = [cluster.programs[ip].hinted_handoff.hints for ip in ("10.0.0.1", "10.0.0.2")]
    assert [tank.total_entries for tank in held] == [1, 1]
    cluster.network.cuts = set()
    cluster.run(1.5)
    assert cluster.known("10.0.0.3").version == 5
    assert [tank.handed_over for tank in held] == [1, 1]
    assert [tank.total_entries for tank in held] == [0, 0]
