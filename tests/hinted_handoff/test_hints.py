"""The hints for missing machines: bounds, log lines and lifetime, and the handover on their return."""

from __future__ import annotations

from honeywharf.hinted_handoff import hints
from honeywharf.hinted_handoff.gossip_hints import GossipHintStore
from honeywharf.hinted_handoff.hints import HintStore
from tests.control.cluster import ControlCluster
from tests.gossip.network import GossipNetwork, converged_network, knows


def test_the_newest_of_each_thing_is_handed_over_once() -> None:
    store = HintStore()
    assert store.begin("a", 1.0)
    store.add("x", 100)
    store.add("y", 50)
    store.add("x", 300)
    store.add("a", 70)  # A machine gets no hints about its own changes.
    assert (store.total_entries, store.total_bytes) == (2, 350)
    assert store.take("a") == ["x", "y"]
    assert store.take("a") == []
    assert (store.total_entries, store.total_bytes, store.handed_over) == (0, 0, 2)


def test_hints_are_bounded_per_machine_and_in_total_and_a_full_store_logs_once() -> None:
    lines: list[str] = []
    store = HintStore(lines.append)
    store.begin("a", 1.0)
    for number in range(hints.MAX_ENTRIES_PER_MACHINE + 5):
        store.add(f"n{number}", 10)
    assert store.total_entries == hints.MAX_ENTRIES_PER_MACHINE
    assert store.rejected == 5
    assert len(lines) == 1
    store.add("n0", 20)  # An existing hint may be updated.
    assert store.rejected == 5
    store.take("a")
    store.begin("b", 1.0)
    store.add("big", hints.MAX_BYTES_PER_MACHINE + 1)
    assert store.by_machine["b"].rejected
    assert len(lines) == 2
    for number in range(hints.MAX_MACHINES + 3):
        store.begin(f"m{number}", 1.0)
    assert len(store.by_machine) == hints.MAX_MACHINES
    for number in range(hints.MAX_ENTRIES_PER_MACHINE):
        store.add(f"n{number}", 1)
    assert store.total_entries <= hints.MAX_ENTRIES
    assert store.total_bytes <= hints.MAX_BYTES


def test_the_total_bytes_are_bounded() -> None:
    store = HintStore()
    for name in "abcdefgh":
        store.begin(name, 1.0)
    for number in range(100):
        store.add(f"n{number}", 600)
    assert hints.MAX_BYTES - 600 * 8 < store.total_bytes <= hints.MAX_BYTES
    assert store.total_bytes == sum(kept.bytes for kept in store.by_machine.values())


def test_hints_expire_for_a_machine_that_stays_missing() -> None:
    store = HintStore()
    store.begin("a", 1.0)
    store.add("x", 100)
    store.sweep(1.0 + hints.HINT_LIFETIME_S)
    assert store.by_machine
    store.sweep(1.1 + hints.HINT_LIFETIME_S)
    assert (store.total_entries, store.total_bytes, store.expired, store.take("a")) == (0, 0, 1, [])


def test_entries_since_the_last_heartbeat_are_kept_and_a_restart_drops_them() -> None:
    store = GossipHintStore(lambda line: None)
    entries = [("old", 3.0, 10), ("late", 9.7, 10), ("fresh", 10.5, 10)]
    store.update(11.2, {"a": 10.0, "b": 10.1}, 4, entries)
    store.entry_changed("newest", 10)
    assert store.take("a", 5) == (["late", "fresh", "newest"], True)
    assert store.take("a", 5) == ([], False)
    store.restarted("b")
    assert "b" not in store


def returned(keeps: bool, seed: int) -> float:
    """Returns the seconds until a node knows all entries again after a partition."""
    network = converged_network(13, seed, loss=0.0)
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


def test_hints_reach_a_returning_node_before_anti_entropy() -> None:
    without = sum(returned(False, seed) for seed in range(1, 7))
    kept = sum(returned(True, seed) for seed in range(1, 7))
    assert kept < 0.8 * without


def test_only_the_first_watchers_hand_over() -> None:
    network = converged_network(13, loss=0.0)
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


def test_no_node_has_a_hint_store_while_no_node_was_missing() -> None:
    network = GossipNetwork(1, 9, 0.0)
    network.start_all()
    network.run(8.0)
    assert all(one.hints is None for one in network.live())


def test_a_returning_control_node_gets_the_newest_state() -> None:
    cluster = ControlCluster(8)
    cluster.run(1.0)
    cluster.split(["10.0.0.3"], ["10.0.0.1", "10.0.0.2"])
    cluster.run(2.0)
    taken = cluster.replace("10.0.0.1", 5, "five")
    cluster.run(1.0)
    assert taken.status == 200
    stores = [cluster.programs[ip].hinted_handoff.hints for ip in ("10.0.0.1", "10.0.0.2")]
    assert [store.total_entries for store in stores] == [1, 1]
    cluster.network.cuts = set()
    cluster.run(1.5)
    assert cluster.known("10.0.0.3").version == 5
    assert [store.handed_over for store in stores] == [1, 1]
    assert [store.total_entries for store in stores] == [0, 0]
