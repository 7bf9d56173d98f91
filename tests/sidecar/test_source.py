"""State shared by outbound requests: known backends, evacuations, suspected sidecars, table bounds."""

from __future__ import annotations

from tests.sidecar.fixtures import SERVICE, ZONE, FakeSource, ManualClock

NOW = 100.0


def usable_backends(source: FakeSource, service: str = SERVICE) -> set[str]:
    """Returns all backends that may be picked now."""
    return {key for _ in range(200) if (key := source.levels_of(service).pick(NOW)) is not None}


def source_with(*keys: str) -> FakeSource:
    source = FakeSource(ManualClock())
    source.list_gates(*keys)
    return source


def test_only_ready_backends_are_used() -> None:
    source = source_with("a", "b", "c")
    for key, state in (("a", 1), ("b", 2), ("c", 0)):
        source.update_backend(key, {"s": SERVICE, "b": "i", "st": state, "sl": 8}, ZONE)
    assert usable_backends(source) == {"a"}


def test_a_backend_that_left_or_changed_its_service_is_not_used() -> None:
    source = source_with("a", "b", "c")
    source.update_backend("a", None, ZONE)
    source.update_backend("b", {"s": "another", "b": "i", "st": 1, "sl": 8}, ZONE)
    assert usable_backends(source) == {"c"}
    assert usable_backends(source, "another") == {"b"}
    source.update_backend("b", {"rev": 3}, ZONE)  # the sidecar has no backend any more
    assert usable_backends(source, "another") == set()
    assert set(source.backends) == {"c"}


def test_a_new_instance_or_a_return_to_ready_clears_failures_and_a_repeated_update_does_not() -> None:
    source = source_with("a", "b")
    for renew in ({"b": "i-a", "st": 1}, {"b": "i-2", "st": 1}):
        source.attempt_failed(SERVICE, "a", True)
        assert usable_backends(source) == {"b"}
        source.update_backend("a", {"s": SERVICE, "sl": 8, **renew}, ZONE)
        assert usable_backends(source) == ({"b"} if renew["b"] == "i-a" else {"a", "b"})
        source.update_backend("a", {"s": SERVICE, "b": "i-a", "st": 2, "sl": 8}, ZONE)
        source.update_backend("a", {"s": SERVICE, "b": "i-a", "st": 1, "sl": 8}, ZONE)
        assert usable_backends(source) == {"a", "b"}


def test_evacuated_zones_and_suspected_sidecars_are_not_used_until_they_return() -> None:
    source = source_with("a", "b")
    source.list_gates("far", zone="voru-saal")
    assert usable_backends(source) == {"a", "b"}
    source.mesh_state.evacuated = {ZONE}
    source.update_usable()
    assert usable_backends(source) == {"far"}
    source.mesh_state.evacuated = set()
    source.update_usable()
    assert usable_backends(source) == {"a", "b"}
    source.set_suspected("a", True)
    assert usable_backends(source) == {"b"}
    source.update_backend("a", {"s": SERVICE, "b": "i-a", "st": 1, "sl": 9}, ZONE)
    assert usable_backends(source) == {"b"}
    source.set_suspected("a", False)
    assert usable_backends(source) == {"a", "b"}
    source.set_suspected("stranger", True)
    source.set_suspected("stranger", False)
    assert not source.suspected


def test_tables_of_removed_services_do_not_grow() -> None:
    source = source_with("a")
    for n in range(5000):
        source.levels_of(f"gone-{n}")
        source.budget(f"gone-{n}")
    assert len(source.levels) <= 1024 + 1
    assert len(source.budgets) <= 1024
    assert usable_backends(source) == {"a"}


def test_a_sidecar_forgotten_while_suspected_is_usable_when_it_returns() -> None:
    source = source_with("a", "b")
    source.set_suspected("a", True)
    assert usable_backends(source) == {"b"}
    source.update_backend("a", None, ZONE)  # a forgotten sidecar is not suspected any more
    assert source.suspected == set()
    source.update_backend("a", {"s": SERVICE, "b": "i-a", "st": 1, "sl": 8}, ZONE)
    assert usable_backends(source) == {"a", "b"}
