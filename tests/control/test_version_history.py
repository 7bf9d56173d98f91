"""The version history compared with a mapping, its bound, its floor and its format."""

from __future__ import annotations

from random import Random

import pytest

from honeywharf.control import mesh_state, version_history
from honeywharf.control.mesh_state import MeshState, Outcome, initial_state
from honeywharf.control.version_history import MAX_VERSIONS, RECORD_SIZE, VersionHistory


@pytest.mark.parametrize("seed", range(20))
def test_it_agrees_with_a_mapping(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(version_history, "MAX_VERSIONS", 30)
    rng, history, wanted, floor = Random(seed), VersionHistory(), dict[int, str](), -1
    for _ in range(300):
        version, digest = rng.randrange(120), rng.randbytes(16).hex()
        forgotten = version <= floor or (len(wanted) == 30 and version < min(wanted))
        assert history.is_forgotten(version) == forgotten
        assert history.confirmed_prefix(version) == wanted.get(version, "")[:16]
        assert history.has(version, wanted.get(version, digest)) == (version in wanted)
        assert not history.has(version, digest)
        if not forgotten and version not in wanted:
            history = history.add(version, digest)
            wanted[version] = digest
            if len(wanted) > 30:
                floor = min(wanted)
                del wanted[floor]
        assert len(history) == len(wanted)
        assert VersionHistory.unpack(history.pack()) == history


def test_a_year_of_changes_keeps_its_bound() -> None:
    state = initial_state(())
    for version in range(1, 3 * MAX_VERSIONS):
        made, answer = mesh_state.replace_configuration(version, f"{version:032x}")(state)
        assert made is not None
        assert answer.outcome is Outcome.IN_FORCE
        state = made
    assert len(state.history.records) == MAX_VERSIONS * RECORD_SIZE
    oldest = 2 * MAX_VERSIONS
    for version, outcome in (
        (oldest, Outcome.CONFIRMED),
        (oldest - 1, Outcome.FORGOTTEN),
        (1, Outcome.FORGOTTEN),
    ):
        made, answer = mesh_state.replace_configuration(version, f"{version:032x}")(state)
        assert made is None
        assert answer.outcome is outcome
    assert mesh_state.replace_configuration(oldest, "other")(state)[1].outcome is Outcome.CONFLICT


def test_a_state_without_a_history_has_only_the_version_in_force() -> None:
    packed = initial_state(()).pack_public()
    assert MeshState.unpack(packed).history == VersionHistory()
    state = MeshState.unpack({**packed, "version": 7, "digest": "ab" * 16})
    assert mesh_state.replace_configuration(7, "ab" * 16)(state)[1].outcome is Outcome.CONFIRMED
    assert mesh_state.replace_configuration(7, "cd" * 16)(state)[1].outcome is Outcome.CONFLICT
    assert mesh_state.replace_configuration(6, "cd" * 16)(state)[1].outcome is Outcome.FORGOTTEN
    for wrong in ([b"x", 0], [b"", "0"], [b""], 5):
        with pytest.raises((ValueError, TypeError)):
            MeshState.unpack({**packed, "history": wrong})
