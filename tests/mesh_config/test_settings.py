"""Settings files: what is read, what is ignored, what is refused and in which words."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

import pytest
from hypothesis import given, strategies as st

from honeywharf.mesh_config.quantities import address, seconds
from honeywharf.mesh_config.settings import MAX_BYTES, SettingsError, load, parse
from tests.mesh_config.examples import SETTINGS


def without(key: str) -> str:
    """The example without a key at the top and what stands below it."""
    kept, inside = [], False
    for line in SETTINGS.splitlines():
        if not line.startswith(" "):
            inside = line.startswith(f"{key}:")
        if not inside:
            kept.append(line)
    return "\n".join(kept)


def test_the_example_is_read_with_times_in_seconds_and_addresses_as_pairs() -> None:
    read = parse(SETTINGS)
    assert (read.node_name, read.zone, read.region) == ("sidecar-tartu-saal-1", "tartu-saal", "lounaeesti")
    assert read.listen_addresses["outbound"] == ("10.1.0.8", 8304)
    assert read.seeds == [("10.1.0.12", 8306), ("10.2.0.9", 8306)]
    assert read.internal_ports == (7620, 7635)
    assert (read.application, read.service) == (("10.1.0.8", 8301), "huvo11a")
    assert (read.heartbeat_s, read.bound("seed-lag"), read.bound("contact")) == (1.3, 3.0, 3.0)
    assert (read.bound("retry-budget-ratio"), read.bound("retry-budget-slack")) == (0.2, 56.0)
    assert (read.initial_start, read.loss_counted, read.data_directory) == (True, False, None)
    assert (read.machine_failures, read.zone_failures, read.memory_mb, read.max_file_descriptors) == (
        1,
        1,
        300.0,
        4100,
    )
    assert (read.config_mode, read.serves, read.contracts) == ("highest", ["sidecar"], ["base", "drain"])


NEEDED = (
    "node-name",
    "role",
    "ip-address",
    "zone",
    "zones",
    "listen-addresses",
    "internal-port-range",
    "seed-nodes",
    "initial-start",
    "limits",
    "fault-tolerance",
    "heartbeat-interval",
)


@pytest.mark.parametrize("key", NEEDED)
def test_a_missing_field_that_is_needed_is_named(key: str) -> None:
    with pytest.raises(SettingsError, match=rf"^boot\.yaml: {key}: found nothing, wanted "):
        parse(without(key), "boot.yaml")


@pytest.mark.parametrize(
    "key",
    [
        "machine-class",
        "serves",
        "region",
        "loss-counted",
        "data-directory",
        "contracts",
        "bounds",
        "config-mode",
        "application",
        "target-service",
        "discovery-source",
    ],
)
def test_a_missing_field_that_is_not_needed_has_a_default(key: str) -> None:
    read = parse(without(key))
    assert read.region == "lounaeesti"
    assert read.config_mode == "highest"


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ("8304", "83040", "listen-addresses.outbound: found '10.1.0.8:83040', wanted an address"),
        (
            '"10.2.0.9:8306"',
            '"core-2:8306"',
            "seed-nodes: found ['10.1.0.12:8306', 'core-2:8306'], wanted a list of",
        ),
        ("- 7635", "- 7619", "internal-port-range: found [7620, 7619], wanted two ports"),
        ("- 7635", "- 7635\n  - 7640", "internal-port-range: found [7620, 7635, 7640], wanted two ports"),
        ("initial-start: true", "initial-start: 1", "initial-start: found 1, wanted true or false"),
        ("memory-mb: 300", "memory-mb: -1", "limits.memory-mb: found -1, wanted megabytes"),
        ("memory-mb: 300", "memory-mb: .nan", "limits.memory-mb: found nan, wanted megabytes"),
        (
            "descriptors: 4100",
            "descriptors: many",
            "limits.max-file-descriptors: found 'many', wanted a whole number",
        ),
        ('"1300ms"', '"1300"', "heartbeat-interval: found '1300', wanted a time"),
        (
            "machine-failures: 1",
            "machine-failures: true",
            "fault-tolerance.machine-failures: found True, wanted",
        ),
        ("zones:\n  tartu", "zones: none\nother:\n  tartu", "zones: found 'none', wanted a mapping"),
    ],
)
def test_a_wrong_field_is_refused_with_what_was_found(old: str, new: str, told: str) -> None:
    assert old in SETTINGS
    with pytest.raises(SettingsError) as refused:
        parse(SETTINGS.replace(old, new, 1), "boot.yaml")
    assert str(refused.value).startswith(f"boot.yaml: {told}")


def test_what_a_refusal_shows_is_bounded() -> None:
    with pytest.raises(SettingsError) as refused:
        parse(SETTINGS.replace('"10.1.0.8"', '"' + "9" * 5000 + '"', 1))
    assert len(str(refused.value)) < 200


def test_fields_listeners_and_bounds_that_are_not_known_are_no_hindrance() -> None:
    text = SETTINGS.replace("bounds:\n", 'bounds:\n  - "mode=fast"\n  - "lone"\n  - "late=true"\n  - 5\n')
    text = text.replace("listen-addresses:\n", 'listen-addresses:\n  spy: "unix:/x"\n  probe: "10.1.0.8:1"\n')
    read = parse(text + "\nnew-thing: {deep: [1, 2]}\n")
    assert read.unknown_bounds == ["mode=fast", "lone", "5"]
    assert read.bound("late") == 1.0
    assert read.listen_addresses["probe"] == ("10.1.0.8", 1)
    assert "spy" not in read.listen_addresses


def test_bounds_on_one_line_are_separated_by_commas() -> None:
    read = parse(without("bounds") + '\nbounds: "contact=2s, cold-overage=1.5,cold-slack=5"')
    assert read.bounds == {"contact": 2.0, "cold-overage": 1.5, "cold-slack": 5.0}


def test_a_bound_that_is_missing_takes_the_default_or_is_refused_by_name() -> None:
    read = parse(SETTINGS, "boot.yaml")
    assert read.bound("recovery", 15.0) == 15.0
    with pytest.raises(SettingsError, match=r"boot\.yaml: bounds\.recovery: found nothing"):
        read.bound("recovery")


def test_a_file_cut_anywhere_is_read_or_refused_and_nothing_else() -> None:
    """The file may be read while it is written."""
    read = 0
    for length in range(0, len(SETTINGS), 7):
        with suppress(SettingsError):
            parse(SETTINGS[:length])
            read += 1
    assert read < 20  # only where nothing that is needed is cut off


@pytest.mark.parametrize(
    "text", ["", "[]", "a: [", "\t", "&a [*a]", "? {}", "!!python/object:os.system {}", "[" * 5000]
)
def test_what_is_no_mapping_of_settings_is_refused(text: str) -> None:
    with pytest.raises(SettingsError, match=r"^boot: "):
        parse(text, "boot")


def test_a_file_that_is_missing_binary_or_endless_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "boot.yaml"
    with pytest.raises(SettingsError, match="No such file"):
        load(str(path))
    path.write_bytes(b"node-name: \xff")
    with pytest.raises(SettingsError, match="not UTF-8"):
        load(str(path))
    path.write_bytes(b"#" * (MAX_BYTES + 2))
    with pytest.raises(SettingsError, match=f"at most {MAX_BYTES}"):
        load(str(path))
    path.write_text(SETTINGS)
    assert load(str(path)).file == str(path)


@given(st.integers(0, 10**7))
def test_times_are_read_in_both_units(milliseconds: int) -> None:
    assert seconds(f"{milliseconds}ms") == milliseconds / 1000.0
    assert seconds(f"{milliseconds / 1000.0:.3f}s") == pytest.approx(milliseconds / 1000.0)


@pytest.mark.parametrize(
    "value",
    [
        "",
        "s",
        "ms",
        "5",
        "5m",
        "-1s",
        "+1s",
        "1e3s",
        "nans",
        "infs",
        " 1s",
        "1 s",
        "1_0s",
        "1.2.3s",
        "٣s",
        "1S",
        5,
        5.0,
        None,
        ["1s"],
    ],
)
def test_what_is_no_time_is_refused(value: object) -> None:
    with pytest.raises(ValueError, match="not a"):
        seconds(value)


@pytest.mark.parametrize(
    "value",
    [
        "10.0.0.1",
        ":80",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.256:1",
        "10.0.1:1",
        "[::1]:80",
        "host:80",
        "10.0.0.1:8x",
        "10.0.0.٣:1",
        None,
        80,
    ],
)
def test_what_is_no_address_is_refused(value: object) -> None:
    with pytest.raises(ValueError, match=r"not an? "):
        address(value)
