"""Copies a deployment's file and adds every kind of fault, with its variants, to its list `troubles`.

    python -m bench.all_troubles SITE.toml OUT.toml [--kinds FILE] [--extra-only] [--days FOLDER]

The days of a copy draw from all faults. The copy also opens the contracts that faults need and has another
name; nothing else changes. The files that belong to a site (`.days`, `wire.json`) are copied beside it. OUT
contains "kinds" in its name and lies outside this repository.

`--kinds FILE` rejects a copy that lacks a kind of the listing in FILE. `--extra-only` omits the site's own
list. `--days FOLDER` replaces the site's days by those of a folder.
"""

from __future__ import annotations

import argparse
import re
import shutil
import sys
import tomllib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

FaultEntry = dict[str, Any]

REPOSITORY = Path(__file__).resolve().parent.parent
NAME_PART = "kinds"
TROUBLES_LIST = re.compile(r"^troubles = \[\n(?P<entries>.*?)^\]\n", re.MULTILINE | re.DOTALL)
LISTED_KIND_LINE = re.compile(r"^([a-z]+(?:_[a-z]+)*): ", re.MULTILINE)

FIRST_DAY = "[[day]]\n"
# The required marks of a day; days that only check the rules use these.
NO_MARKS = """slot = "trouble"
one = 1.0
zero = 0.1
goal = { floor = 0.01 }
floor_classes = [0.01]
floor_zones = [0.01]
labels = []
wall = 10.0
light = false
"""

# The contracts that some kinds need.
CONTRACTS: Mapping[str, str] = {
    "srv_grey": "health",
    "srv_lying_health": "health",
    "srv_flap": "health",
    "srv_cut": "health",
    "idle_race": "pool",
}
CONTRACTS_LIST = re.compile(r"^contracts = \[(?P<names>[^\]\n]*)\]$", re.MULTILINE)

ONE_CORE: FaultEntry = {"on": "core", "count": 1}

# The common fields of each kind, and the additional fields of each variant.
KINDS: Mapping[str, tuple[FaultEntry, Sequence[FaultEntry]]] = {
    "srv_grey": (
        {"share": 0.15, "x": 0.4, "for_s": 6.0},
        (
            {"how": "errors"},
            {"how": "shed"},
            {"how": "busy"},
            {"how": "hang"},
            {"how": "reset"},
            {"how": "mute"},
            {"how": "slow", "x": 8.0},
            {"how": "errors one_zone", "to_zone": 0},
        ),
    ),
    "srv_lying_health": (
        {"share": 0.15, "for_s": 6.0},
        ({"how": "errors"}, {"how": "hang"}, {"how": "reset"}, {"how": "bad"}),
    ),
    "srv_flap": ({"share": 0.15, "for_s": 6.0}, ({"gap_s": 1.0}, {"gap_s": 2.5})),
    "srv_crash": (
        {"share": 0.15, "for_s": 4.0},
        (
            {},
            {"how": "dark"},
            {"how": "gone"},
            {"how": "across dark", "share": 0.25},
            {"how": "all", "for_s": 2.0},
        ),
    ),
    "srv_slow": ({"share": 0.15, "x": 4.0, "for_s": 6.0}, ({}, {"how": "across"})),
    "release": ({"share": 0.5, "gap_s": 1.0}, ({"x": 1.0}, {"x": 4.0})),
    "scale_in": ({"share": 0.15}, ({}, {"how": "spot", "x": 2.0})),
    "scale_out": ({"share": 0.3, "gap_s": 2.0}, ({},)),
    "cold_return": ({"for_s": 4.0}, ({}, {"how": "dark"})),
    "idle_race": ({"share": 0.5, "x": 300.0, "for_s": 6.0}, ({},)),
    "answer_lost": ({"share": 0.5, "x": 0.03, "for_s": 5.0}, ({}, {"how": "reset"})),
    "garble": ({"share": 0.5, "x": 0.02, "for_s": 5.0}, ({}, {"how": "extra"}, {"how": "extra late"})),
    "replace_with_reuse": ({"share": 0.15}, ({}, {"how": "drain"}, {"how": "dark"})),
    "burst": ({"for_s": 3.0}, ({"x": 1.5}, {"x": 2.0})),
    "retry_abuse": ({"share": 0.3, "x": 3.0, "for_s": 5.0}, ({},)),
    "give_up": ({"share": 0.5, "for_s": 8.0}, ({}, {"x": 100.0}, {"share": 1.0})),
    "srv_cut": (
        {"share": 0.2, "for_s": 5.0},
        (
            {},
            {"how": "fronts", "x": 0.3},
            {"how": "some", "x": 0.3},
            {"how": "some lossy", "x": 0.3},
            {"how": "one_way"},
            {"how": "reset"},
        ),
    ),
    "node_kill": (
        {"for_s": 3.0},
        (
            {"share": 0.1},
            {"share": 0.1, "how": "power"},
            {**ONE_CORE, "how": "leader race drain"},
            {**ONE_CORE, "how": "power leader meet"},
            {**ONE_CORE, "how": "reader hard"},
            {**ONE_CORE, "how": "seed meet drain"},
        ),
    ),
    "roll_term": (
        {"x": 1.0, "gap_s": 1.0},
        (
            {"share": 0.5},
            {"how": "busy"},
            {"share": 0.2, "how": "remove"},
            {"on": "core", "how": "busy", "gap_s": 2.0},
        ),
    ),
    "node_freeze": (
        {"for_s": 4.0},
        ({"share": 0.1}, {**ONE_CORE, "how": "leader race"}, {**ONE_CORE, "how": "seed meet"}),
    ),
    "node_slow": ({"for_s": 5.0, "x": 5.0}, ({"share": 0.1}, {**ONE_CORE, "how": "leader"})),
    "herd_kill": (
        {"for_s": 2.0},
        (
            {"share": 0.6},
            {"share": 0.6, "how": "power"},
            {"on": "core"},
            {"on": "core", "how": "power"},
            {"on": "core", "how": "taken"},
        ),
    ),
    "replace_core": (
        {"x": 1.0},
        ({}, {"how": "planned"}, {"how": "leader", "x": 2.0}, {"how": "planned race"}, {"how": "seed"}),
    ),
    "seed_turnover": ({}, ({},)),
    "after_ack_kill": (
        {"for_s": 3.0},
        ({}, {"how": "kill"}, {"how": "timed"}, {"how": "taken"}, {"how": "timed kill"}, {"count": 2}),
    ),
    "after_ack_wipe": ({"for_s": 3.0}, ({}, {"how": "kill"}, {"how": "timed"}, {"how": "taken"})),
    "reset_conns": ({"x": 0.5}, ({"share": 0.1}, {"share": 0.5}, {"on": "core", "share": 1.0})),
    "bridge_cut": (
        {"for_s": 5.0, "zone": 0, "to_zone": 1},
        ({}, {"how": "reset"}, {"how": "refuse"}, {"how": "meet drain"}),
    ),
    "core_cut": (
        {"count": 1},
        (
            {"for_s": 5.0, "how": "one_way"},
            {"for_s": 20.0, "how": "leader one_way race"},
            {"for_s": 20.0, "how": "seeds meet"},
            {"for_s": 8.0, "how": "both"},
            {"for_s": 5.0, "how": "leader meet drain hard"},
            {"for_s": 5.0, "how": "leader reset race"},
            {"for_s": 2.9, "how": "refuse"},
        ),
    ),
    "node_cut": (
        {"for_s": 5.0},
        (
            {"share": 0.1},
            {"share": 0.3, "how": "servers"},
            {"share": 0.1, "how": "refuse"},
            {"share": 0.1, "how": "reset"},
        ),
    ),
    "zone_loss": ({"for_s": 4.0}, ({}, {"how": "race drain hard"})),
    "zone_cut": ({"for_s": 5.0}, ({}, {"how": "reset"}, {"how": "refuse meet drain"})),
    "disk_slow": ({"x": 30.0, "for_s": 5.0}, ({"count": 1}, {"count": 3})),
    "disk_full": ({"count": 1, "for_s": 5.0}, ({},)),
    "disk_stall": ({"for_s": 4.0}, ({"count": 1}, {"count": 2})),
    "clock_step": (
        {"share": 0.3, "for_s": 5.0},
        ({"x": 2000.0, "how": "back"}, {"x": 2000.0, "how": "ahead"}, {"x": 3600000.0, "how": "ahead"}),
    ),
    "hup": ({"share": 0.3, "gap_s": 2.0}, ({},)),
    "config_change": (
        {},
        tuple({"how": how} for how in ("route", "weights", "timeout", "tenant", "quota", "idle")),
    ),
    "config_storm": (
        {"how": "route"},
        ({"for_s": 4.0, "gap_s": 0.33}, {"count": 100, "gap_s": 0.05}),
    ),
    "config_race": ({}, ({"count": 3, "gap_s": 1.0}, {"count": 10, "gap_s": 0.3})),
    "bad_config": (
        {"count": 3, "gap_s": 0.8},
        tuple(
            {"how": how}
            for how in (
                "cut_short",
                "unknown_service",
                "same_place",
                "no_weight",
                "no_timeout",
                "old_version",
                "same_version",
                "stale_match",
                "shared_key",
            )
        ),
    ),
    "big_config": ({}, ({"count": 300},)),
    "ack_lost": ({"for_s": 6.0}, ({"x": 0.7},)),
    "evacuate": ({"for_s": 8.0}, ({}, {"how": "warm"})),
}


def fault_entries(zones: Sequence[str]) -> Iterator[FaultEntry]:
    """Yields an entry for each variant of each kind; places are given by their rank among `zones`."""
    for kind, (common, variants) in KINDS.items():
        for variant in variants:
            entry = {"kind": kind, **common, **variant}
            for zone_key in ("zone", "to_zone"):
                if zone_key in entry:
                    entry[zone_key] = zones[entry[zone_key] % len(zones)]
            yield entry


def unknown_kinds(listing: str) -> set[str]:
    """Returns the kinds of a listing that this module does not have."""
    return set(LISTED_KIND_LINE.findall(listing)) - set(KINDS) - {"closing", "for_s"}


def format_entry(entry: FaultEntry) -> str:
    """Returns an entry as a line of the list."""
    fields = ", ".join(
        f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}" for key, value in entry.items()
    )
    return f"  {{ {fields} }},\n"


def add_contracts(text: str, needed: Iterable[str]) -> str:
    """Returns the text with further contracts open. ValueError where the file has no list of them."""
    match = CONTRACTS_LIST.search(text)
    if match is None:
        raise ValueError("contracts: expected a list on one line, got none")
    names = dict.fromkeys([*tomllib.loads(match[0])["contracts"], *needed])
    quoted = ", ".join(f'"{name}"' for name in names)
    return f"{text[: match.start()]}contracts = [{quoted}]{text[match.end() :]}"


def copy_text(text: str, extra_only: bool = False) -> str:
    """Returns the text of the copy. ValueError where the file has no list of faults."""
    match = TROUBLES_LIST.search(text)
    if match is None:
        raise ValueError("troubles: expected a list with one entry on each line, got none")
    zones = [zone["name"] for zone in tomllib.loads(text)["zones"]]
    added_lines = "".join(map(format_entry, fault_entries(zones)))
    kept_lines = "" if extra_only else match["entries"]
    text = f"{text[: match.start()]}troubles = [\n{kept_lines}{added_lines}]\n{text[match.end() :]}"
    text = add_contracts(text, CONTRACTS.values())
    return re.sub(r'^name = "([^"]+)"', rf'name = "\1-{NAME_PART}"', text, count=1)


def replace_days(text: str, days: Iterable[str]) -> str:
    """Returns the text with other days. ValueError for a file that is not a single day."""
    text_before_days = text.partition(FIRST_DAY)[0]
    marked_days = []
    for day in days:
        text_before, header, day_text = day.partition(FIRST_DAY)
        if not header or FIRST_DAY in day_text or tomllib.loads(text_before):
            raise ValueError("day: expected a file with one [[day]] and nothing else")
        marked_days.append(header + NO_MARKS + day_text)
    return text_before_days + "\n".join(marked_days)


def write_copy(site: Path, out: Path, extra_only: bool = False, days: Path | None = None) -> None:
    """Writes the copy of a site and the files that belong to it. ValueError for an invalid path."""
    if NAME_PART not in out.name:
        raise ValueError(f"out: expected a name with {NAME_PART!r}, got {out.name}")
    if out.resolve().is_relative_to(REPOSITORY):
        raise ValueError(f"out: expected a path outside the repository, got {out}")
    for source, target_name in (
        (site.with_suffix(".days"), f"{out.stem}.days"),
        (site.with_name("wire.json"), "wire.json"),
    ):
        if source.exists():
            shutil.copyfile(source, out.with_name(target_name))
    text = copy_text(site.read_text("utf-8"), extra_only)
    if days is not None:
        text = replace_days(text, [day.read_text("utf-8") for day in sorted(days.glob("*.toml"))])
    out.write_text(text, "utf-8")


def main(arguments: list[str]) -> int:
    """Writes one copy; returns status 2 after an error, which is printed in one line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("site", type=Path)
    parser.add_argument("out", type=Path)
    parser.add_argument("--kinds", type=Path, help="the output of the command `kinds` for this site")
    parser.add_argument("--extra-only", action="store_true", help="omit the site's own list")
    parser.add_argument("--days", type=Path, help="a folder of days that replace the site's own")
    options = parser.parse_args(arguments)
    if options.kinds is not None and (unknown_names := unknown_kinds(options.kinds.read_text("utf-8"))):
        print(f"{options.kinds}: unknown kinds: {', '.join(sorted(unknown_names))}", file=sys.stderr)
        return 2
    try:
        write_copy(options.site, options.out, options.extra_only, options.days)
    except ValueError as error:
        print(f"{options.site}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
