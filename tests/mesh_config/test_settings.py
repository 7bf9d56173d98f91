"""Settings files: fields that are read, ignored or rejected, and the errors."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

import pytest
from hypothesis import given, strategies as st

from honeywharf.mesh_config.quantities import address, seconds
from honeywharf.mesh_config.settings import MAX_BYTES, SettingsError, load, parse
from tests.mesh_config.examples import SETTINGS


def without(key: str) -> str:
    """Returns the example without a top-level key and its value."""
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


REQUIRED = (
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


@pytest.mark.parametrize("key", REQUIRED)
def test_a_missing_required_field_is_named(key: str) -> None:
    with pytest.raises(SettingsError, match=rf"^boot\.yaml: {key}: expected .*, got nothing$"):
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
def test_a_missing_optional_field_has_a_default(key: str) -> None:
    read = parse(without(key))
    assert read.region == "lounaeesti"
    assert read.config_mode == "highest"


@pytest.mark.parametrize(
    ("old", "new", "error"),
    [
        (
            "8304",
            "83040",
            "listen-addresses.outbound: expected an address such as '10.1.0.8:8300', got '10.1.0.8:83040'",
        ),
        (
            '"10.2.0.9:8306"',
            '"core-2:8306"',
            "seed-nodes: expected a list of addresses, got ['10.1.0.12:8306', 'core-2:8306']",
        ),
        (
            "- 7635",
            "- 7619",
            "internal-port-range: expected two ports, the first not above the second, got [7620, 7619]",
        ),
        (
            "- 7635",
            "- 7635\n  - 7640",
            "internal-port-range: expected two ports, the first not above the second, got [7620, 7635, 7640]",
        ),
        ("initial-start: true", "initial-start: 1", "initial-start: expected true or false, got 1"),
        ("memory-mb: 300", "memory-mb: -1", "limits.memory-mb: expected megabytes, got -1"),
        ("memory-mb: 300", "memory-mb: .nan", "limits.memory-mb: expected megabytes, got nan"),
        (
            "descriptors: 4100",
            "descriptors: many",
            "limits.max-file-descriptors: expected a whole number, got 'many'",
        ),
        ('"1300ms"', '"1300"', "heartbeat-interval: expected a time such as '1300ms', got '1300'"),
        (
            "machine-failures: 1",
            "machine-failures: true",
            "fault-tolerance.machine-failures: expected a whole number, got True",
        ),
        ("zones:\n  tartu", "zones: none\nother:\n  tartu", "zones: expected a mapping, got 'none'"),
    ],
)
def test_an_invalid_field_is_rejected_with_its_value(old: str, new: str, error: str) -> None:
    assert old in SETTINGS
    with pytest.raises(SettingsError) as rejected:
        parse(SETTINGS.replace(old, new, 1), "boot.yaml")
    assert str(rejected.value).startswith(f"boot.yaml: {error}")


def test_the_length_of_an_error_is_bounded() -> None:
    with pytest.raises(SettingsError) as rejected:
        parse(SETTINGS.replace('"10.1.0.8"', '"' + "9" * 5000 + '"', 1))
    assert len(str(rejected.value)) < 200


def test_unknown_fields_listeners_and_bounds_are_ignored() -> None:
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


def test_a_missing_bound_has_the_default_or_is_rejected_by_name() -> None:
    read = parse(SETTINGS, "boot.yaml")
    assert read.bound("recovery", 15.0) == 15.0
    with pytest.raises(
        SettingsError, match=r"boot\.yaml: bounds\.recovery: expected a time or a number, got nothing"
    ):
        read.bound("recovery")


def test_a_file_truncated_anywhere_is_read_or_rejected() -> None:
    """Guards against any other failure when the file is read while it is written."""
    read = 0
    for length in range(0, len(SETTINGS), 7):
        with suppress(SettingsError):
            parse(SETTINGS[:length])
            read += 1
    assert read < 20  # A truncated file is read only if no required field is missing.


@pytest.mark.parametrize(
    "text", ["", "[]", "a: [", "\t", "&a [*a]", "? {}", "!!python/object:os.system {}", "[" * 5000]
)
def test_a_file_without_a_mapping_is_rejected(text: str) -> None:
    with pytest.raises(SettingsError, match=r"^boot: "):
        parse(text, "boot")


def test_a_missing_binary_or_oversized_file_is_rejected(tmp_path: Path) -> None:
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
def test_an_invalid_time_is_rejected(value: object) -> None:
    with pytest.raises(ValueError, match="expected a"):
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
def test_an_invalid_address_is_rejected(value: object) -> None:
    with pytest.raises(ValueError, match=r"expected an? "):
        address(value)
