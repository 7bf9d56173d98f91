"""What is kept for missing machines: bounds, telling, time; and the handing over of news and words."""

from __future__ import annotations

from honeywharf.hinted_handoff import hints
from honeywharf.hinted_handoff.hints import HintStore
from honeywharf.hinted_handoff.news import NewsHintStore
from tests.control.town import Town
from tests.gossip.net import Net, knows, settled


def test_the_newest_of_each_thing_is_handed_over_once() -> None:
    held = HintStore()
    assert held.missing("a", 1.0)
    held.keep("x", 100)
    held.keep("y", 50)
    held.keep("x", 300)
    held.keep("a", 70)  # its own words it knows
    assert (held.all_entries, held.all_bytes) == (2, 350)
    assert held.returned("a") == ["x", "y"]
    assert held.returned("a") == []
    assert (held.all_entries, held.all_bytes, held.handed) == (0, 0, 2)


def test_each_machine_and_all_together_are_bounded_and_a_full_hinted_handoff_says_so_once() -> None:
    lines: list[str] = []
    held = HintStore(lines.append)
    held.missing("a", 1.0)
    for number in range(hints.ENTRIES + 5):
        held.keep(f"n{number}", 10)
    assert held.all_entries == hints.ENTRIES
    assert held.spilled == 5
    assert len(lines) == 1
    held.keep("n0", 20)  # what is there may be renewed
    assert held.spilled == 5
    held.returned("a")
    held.missing("b", 1.0)
    held.keep("big", hints.BYTES + 1)
    assert held.held["b"].spilled
    assert len(lines) == 2
    for number in range(hints.MAX_MACHINES + 3):
        held.missing(f"m{number}", 1.0)
    assert len(held.held) == hints.MAX_MACHINES
    for number in range(hints.ENTRIES):
        held.keep(f"n{number}", 1)
    assert held.all_entries <= hints.ALL_ENTRIES
    assert held.all_bytes <= hints.ALL_BYTES


def test_bytes_of_all_are_bounded() -> None:
    held = HintStore()
    for name in "abcdefgh":
        held.missing(name, 1.0)
    for number in range(100):
        held.keep(f"n{number}", 600)
    assert hints.ALL_BYTES - 600 * 8 < held.all_bytes <= hints.ALL_BYTES
    assert held.all_bytes == sum(kept.bytes for kept in held.held.values())


def test_who_stays_away_is_kept_for_no_more() -> None:
    held = HintStore()
    held.missing("a", 1.0)
    held.keep("x", 100)
    held.sweep(1.0 + hints.KEPT)
    assert held.held
    held.sweep(1.1 + hints.KEPT)
    assert (held.all_entries, held.all_bytes, held.stale, held.returned("a")) == (0, 0, 1, [])


def test_what_came_since_its_last_sign_is_kept_too_and_a_new_life_asks_by_itself() -> None:
    held = NewsHintStore(lambda line: None)
    entries = [("old", 3.0, 10), ("late", 9.7, 10), ("fresh", 10.5, 10)]
    held.look(11.2, {"a": 10.0, "b": 10.1}, 4, entries)
    held.changed("newest", 10)
    assert held.returned("a", 5) == (["late", "fresh", "newest"], True)
    assert held.returned("a", 5) == ([], False)
    held.renewed("b")
    assert "b" not in held


def returned(keeps: bool, seed: int) -> float:
    """Seconds until a node whose datagrams were cut off knows all again."""
    net = settled(13, seed, loss=0.0)
    for membership in net.live():
        membership.keeps = keeps
    net.run(2.0)
    gone = net.names[6]
    others = [name for name in net.names if name != gone]
    net.cut([gone], others)
    net.run(4.0)
    for name in others[:6]:
        net.societies[name].tell(state="draining")
    net.run(3.0)
    back = net.now
    net.cuts.clear()

    def all_known() -> bool:
        return knows(
            net.societies[gone], {one.news.me: one.news.table[one.news.me].version for one in net.live()}
        )

    assert net.run(10.0, all_known)
    return net.now - back


def test_a_node_that_returns_is_told_before_a_digest_finds_what_it_lacks() -> None:
    without = sum(returned(False, seed) for seed in range(1, 7))
    kept = sum(returned(True, seed) for seed in range(1, 7))
    assert kept < 0.8 * without


def test_only_the_first_watchers_hand_over() -> None:
    net = settled(13, loss=0.0)
    net.run(2.0)
    gone = net.names[6]
    net.cut([gone], [name for name in net.names if name != gone])
    net.run(4.0)
    keepers = [one for one in net.live() if one.hinted_handoff is not None and gone in one.hinted_handoff]
    assert 3 <= len(keepers) <= 4
    assert sum(one.watch.first(gone, net.machines[gone].zone) for one in keepers) == 2
    net.cuts.clear()
    net.run(2.0)
    assert not any(gone in one.hinted_handoff for one in keepers if one.hinted_handoff is not None)


def test_nobody_has_a_hinted_handoff_while_nobody_was_missed() -> None:
    net = Net(1, 9, 0.0)
    net.start_all()
    net.run(8.0)
    assert all(one.hinted_handoff is None for one in net.live())


def test_a_control_node_that_returns_is_handed_the_word() -> None:
    town = Town(8)
    town.run(1.0)
    town.split(["10.0.0.3"], ["10.0.0.1", "10.0.0.2"])
    town.run(2.0)
    taken = town.replace("10.0.0.1", 5, "five")
    town.run(1.0)
    assert taken.status == 200
    held = [town.programs[ip].handing.tank for ip in ("10.0.0.1", "10.0.0.2")]
    assert [tank.all_entries for tank in held] == [1, 1]
    town.world.cuts = set()
    town.run(1.5)
    assert town.known("10.0.0.3").version == 5
    assert [tank.handed for tank in held] == [1, 1]
    assert [tank.all_entries for tank in held] == [0, 0]
