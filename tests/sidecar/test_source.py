"""What courses share: the list with its lives, evacuations and doubts, and bounds of its tables."""

from __future__ import annotations

from tests.sidecar.stage import SERVICE, ZONE, Clock, Scripted

NOW = 100.0


def picks(source: Scripted, service: str = SERVICE) -> set[str]:
    """All that may be asked now."""
    return {key for _ in range(200) if (key := source.levels_of(service).pick(NOW)) is not None}


def listed(*keys: str) -> Scripted:
    source = Scripted(Clock())
    source.list_gates(*keys)
    return source


def test_only_what_is_ready_is_picked() -> None:
    source = listed("a", "b", "c")
    for key, state in (("a", 1), ("b", 2), ("c", 0)):
        source.update_backend(key, {"s": SERVICE, "b": "i", "st": state, "sl": 8}, ZONE)
    assert picks(source) == {"a"}


def test_one_that_is_gone_or_serves_another_service_is_picked_no_more() -> None:
    source = listed("a", "b", "c")
    source.update_backend("a", None, ZONE)
    source.update_backend("b", {"s": "another", "b": "i", "st": 1, "sl": 8}, ZONE)
    assert picks(source) == {"c"}
    assert picks(source, "another") == {"b"}
    source.update_backend("b", {"rev": 3}, ZONE)  # it has no backend any more
    assert picks(source, "another") == set()
    assert set(source.backends) == {"c"}


def test_a_new_life_or_a_return_to_ready_has_a_clean_record_and_the_same_news_has_not() -> None:
    source = listed("a", "b")
    for renew in ({"b": "i-a", "st": 1}, {"b": "i-2", "st": 1}):
        source.attempt_failed(SERVICE, "a", True)
        assert picks(source) == {"b"}
        source.update_backend("a", {"s": SERVICE, "sl": 8, **renew}, ZONE)
        assert picks(source) == ({"b"} if renew["b"] == "i-a" else {"a", "b"})
        source.update_backend("a", {"s": SERVICE, "b": "i-a", "st": 2, "sl": 8}, ZONE)
        source.update_backend("a", {"s": SERVICE, "b": "i-a", "st": 1, "sl": 8}, ZONE)
        assert picks(source) == {"a", "b"}


def test_evacuated_zones_and_doubted_proxies_are_passed_over_until_they_are_back() -> None:
    source = listed("a", "b")
    source.list_gates("far", zone="voru-saal")
    assert picks(source) == {"a", "b"}
    source.mesh_state.evacuated = {ZONE}
    source.update_usable()
    assert picks(source) == {"far"}
    source.mesh_state.evacuated = set()
    source.update_usable()
    assert picks(source) == {"a", "b"}
    source.set_suspected("a", True)
    assert picks(source) == {"b"}
    source.update_backend("a", {"s": SERVICE, "b": "i-a", "st": 1, "sl": 9}, ZONE)
    assert picks(source) == {"b"}
    source.set_suspected("a", False)
    assert picks(source) == {"a", "b"}
    source.set_suspected("stranger", True)
    source.set_suspected("stranger", False)
    assert not source.suspected


def test_tables_of_services_that_configurations_left_behind_do_not_grow() -> None:
    source = listed("a")
    for n in range(5000):
        source.levels_of(f"gone-{n}")
        source.budget(f"gone-{n}")
    assert len(source.levels) <= 1024 + 1
    assert len(source.budgets) <= 1024
    assert picks(source) == {"a"}


def test_a_proxy_that_was_dropped_while_it_was_held_down_is_picked_when_it_is_back() -> None:
    source = listed("a", "b")
    source.set_suspected("a", True)
    assert picks(source) == {"b"}
    source.update_backend("a", None, ZONE)  # its entry was dropped; nobody holds it down any more
    assert source.suspected == set()
    source.update_backend("a", {"s": SERVICE, "b": "i-a", "st": 1, "sl": 8}, ZONE)
    assert picks(source) == {"a", "b"}
