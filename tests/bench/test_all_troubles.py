"""Copies of a deployment's file contain every kind of fault; nothing else changes."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from bench.all_troubles import KINDS, REPOSITORY, copy_text, fault_entries, main, replace_days, unknown_kinds

SITE = """name = "harbour"
contracts = ["base", "health"]
zones = [
  { name = "east", region = "r" },
  { name = "west", region = "r" },
]
troubles = [
  { kind = "release", share = 0.45, x = 1.0, gap_s = 1.0 },
]

[tolerate]
machines = 1

[[day]]
name = "quiet-1"
faults = [
  { at = 1.0, kind = "node_kill", count = 1 },
]
"""

LISTING = """Each entry has 'at' (seconds) and 'kind'. for_s: how long (5).
zone, to_zone: where

release: share (.5) are replaced
core_cut: count (1) counted machines are cut off

these may come too:
disk_full: count (1) disks take no more bytes
closing = { kind = kill_all, down_s } strikes at the end
"""


def test_only_the_name_troubles_and_the_contracts_they_need_change() -> None:
    before, after = tomllib.loads(SITE), tomllib.loads(copy_text(SITE))
    assert after.pop("name") == "harbour-kinds"
    assert after.pop("contracts") == [*before.pop("contracts"), "pool"]
    listed = after.pop("troubles")
    assert listed[:1] == before.pop("troubles")
    assert listed[1:] == list(fault_entries(["east", "west"]))
    before.pop("name")
    assert after == before


def test_each_variant_of_every_kind_is_listed_once() -> None:
    listed = tomllib.loads(copy_text(SITE, extra_only=True))["troubles"]
    assert {entry["kind"] for entry in listed} == set(KINDS)
    assert len(listed) == sum(len(variants) for _, variants in KINDS.values())
    assert all(listed.count(entry) == 1 for entry in listed)


def test_places_are_zones_of_the_site() -> None:
    cut = next(entry for entry in fault_entries(["east", "west"]) if entry["kind"] == "bridge_cut")
    assert (cut["zone"], cut["to_zone"]) == ("east", "west")


def test_unknown_kinds_are_reported() -> None:
    assert unknown_kinds(LISTING) == set()
    assert unknown_kinds(LISTING + "flood: share (.1) of the machines\n") == {"flood"}


DAY = """# Why this day.
[[day]]
name = "cut"
plan = [{ at = 1.0, kind = "hup" }]
"""


def test_days_of_a_folder_replace_the_sites_days() -> None:
    site = tomllib.loads(replace_days(SITE, [DAY, DAY.replace("cut", "replaced")]))
    assert [day["name"] for day in site["day"]] == ["cut", "replaced"]
    assert site["day"][0]["plan"] == [{"at": 1.0, "kind": "hup"}]
    assert site["tolerate"] == {"machines": 1}


@pytest.mark.parametrize("other", ["", "x = 1\n" + DAY, DAY + DAY])
def test_a_file_of_days_holds_one_day(other: str) -> None:
    with pytest.raises(ValueError, match="day: expected a file with one"):
        replace_days(SITE, [other])


@pytest.mark.parametrize("name", ["clients", "control"])
def test_every_day_in_the_repository_is_valid(name: str) -> None:
    folder = REPOSITORY / "bench" / "days" / name
    texts = [day.read_text() for day in sorted(folder.glob("*.toml"))]
    days = tomllib.loads(replace_days(SITE, texts))["day"]
    assert len({day["name"] for day in days}) == len({day["seed"] for day in days}) == len(texts)
    fault_kinds = {
        fault["kind"] for day in days for part in ("plan", "faults") for fault in day.get(part, [])
    }
    assert fault_kinds <= set(KINDS)
    assert fault_kinds


def test_a_file_without_a_list_is_rejected() -> None:
    with pytest.raises(ValueError, match="troubles: expected a list"):
        copy_text(SITE.replace("troubles = [", "others = ["))


def test_the_command_writes_the_copy_and_its_other_files(tmp_path: Path) -> None:
    site, out = tmp_path / "harbour.toml", tmp_path / "harbour-kinds.toml"
    site.write_text(SITE)
    site.with_suffix(".days").write_text("sealed")
    assert main([str(site), str(out)]) == 0
    assert out.read_text() == copy_text(SITE)
    assert out.with_suffix(".days").read_text() == "sealed"


@pytest.mark.parametrize(
    ("name", "message"),
    [
        ("harbour-copy.toml", "expected a name with 'kinds'"),
        (str(REPOSITORY / "harbour-kinds.toml"), "expected a path outside the repository"),
    ],
)
def test_a_copy_needs_a_valid_path(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], name: str, message: str
) -> None:
    site = tmp_path / "harbour.toml"
    site.write_text(SITE)
    assert main([str(site), str(tmp_path / name)]) == 2
    assert message in capsys.readouterr().err
    assert not (tmp_path / name).exists()


def test_a_file_without_contracts_is_rejected() -> None:
    with pytest.raises(ValueError, match="contracts: expected a list"):
        copy_text(SITE.replace("contracts = [", "others = ["))


def test_a_listing_with_an_unknown_kind_writes_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    site, kinds, out = tmp_path / "harbour.toml", tmp_path / "listing", tmp_path / "harbour-kinds.toml"
    site.write_text(SITE)
    kinds.write_text(LISTING + "flood: share (.1) of the machines\n")
    assert main([str(site), str(out), "--kinds", str(kinds)]) == 2
    assert "flood" in capsys.readouterr().err
    assert not out.exists()
