"""A copy of a deployment's file whose list of troubles holds every kind, with the variants of each.

    python -m bench.all_troubles SITE.toml OUT.toml [--kinds FILE] [--extra-only] [--days FOLDER]

A site file names the troubles that its days are drawn from; any other may come as well. The copy keeps what
the file lists and adds every kind below, so that `hunt` and `run ... mix` of the bench draw from all of them.
Kinds that ask for a contract which the deployment has not open come with that contract. The deployment's name
changes too, and nothing else. The files that belong to a site (`.days`, `wire.json`) are copied beside it.
OUT must hold "kinds" in its name and lie outside this repository.

`--kinds FILE` compares the list with what the bench's `kinds` printed for the site, and refuses to write a
copy that would miss a kind. `--extra-only` leaves out what the site file lists itself, so that a short hunt
draws mostly from the rare ones. `--days FOLDER` puts the days of that folder (one in each TOML file, as in
`bench/days/control`) in the place of the file's own, so that `hunt` plays them with other seeds; they have
no marks, so their scores say nothing. Troubles that need two places take the first two zones of the file.
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

Trouble = dict[str, Any]

REPOSITORY = Path(__file__).resolve().parent.parent
NAME_PART = "kinds"
TROUBLES = re.compile(r"^troubles = \[\n(?P<entries>.*?)^\]\n", re.MULTILINE | re.DOTALL)
LISTED_KIND = re.compile(r"^([a-z]+(?:_[a-z]+)*): ", re.MULTILINE)

FIRST_DAY = "[[day]]\n"
# What the bench wants to know of a day of a site file; days that are played for the rules only need no marks.
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

# Kinds that the bench plays only where a contract is open.
CONTRACTS: Mapping[str, str] = {
    "srv_grey": "health",
    "srv_lying_health": "health",
    "srv_flap": "health",
    "srv_cut": "health",
    "idle_race": "pool",
}
OPEN = re.compile(r"^contracts = \[(?P<names>[^\]\n]*)\]$", re.MULTILINE)

ONE_CORE: Trouble = {"on": "core", "count": 1}

# What every entry of a kind has, then what each variant adds to it.
KINDS: Mapping[str, tuple[Trouble, Sequence[Trouble]]] = {
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


def troubles(zones: Sequence[str]) -> Iterator[Trouble]:
    """Every kind with each of its variants; places are given by their rank among `zones`."""
    for kind, (common, variants) in KINDS.items():
        for variant in variants:
            entry = {"kind": kind, **common, **variant}
            for place in ("zone", "to_zone"):
                if place in entry:
                    entry[place] = zones[entry[place] % len(zones)]
            yield entry


def missing(listing: str) -> set[str]:
    """The kinds that the bench lists and this module does not know."""
    return set(LISTED_KIND.findall(listing)) - set(KINDS) - {"closing", "for_s"}


def written(entry: Trouble) -> str:
    """One trouble as a line of the list."""
    fields = ", ".join(
        f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}" for key, value in entry.items()
    )
    return f"  {{ {fields} }},\n"


def with_contracts(text: str, needed: Iterable[str]) -> str:
    """The text with further contracts open. ValueError where the file has no list of them."""
    listed = OPEN.search(text)
    if listed is None:
        raise ValueError("found no list `contracts`, wanted one on a line of its own")
    names = dict.fromkeys([*tomllib.loads(listed[0])["contracts"], *needed])
    quoted = ", ".join(f'"{name}"' for name in names)
    return f"{text[: listed.start()]}contracts = [{quoted}]{text[listed.end() :]}"


def copy(text: str, extra_only: bool = False) -> str:
    """The text of the copy. ValueError where the file has no list of troubles."""
    listed = TROUBLES.search(text)
    if listed is None:
        raise ValueError("found no list `troubles`, wanted one on lines of its own")
    zones = [zone["name"] for zone in tomllib.loads(text)["zones"]]
    added = "".join(map(written, troubles(zones)))
    kept = "" if extra_only else listed["entries"]
    text = f"{text[: listed.start()]}troubles = [\n{kept}{added}]\n{text[listed.end() :]}"
    text = with_contracts(text, CONTRACTS.values())
    return re.sub(r'^name = "([^"]+)"', rf'name = "\1-{NAME_PART}"', text, count=1)


def with_days(text: str, days: Iterable[str]) -> str:
    """The text of a copy with other days. ValueError for one that is not a single day."""
    head = text.partition(FIRST_DAY)[0]
    marked = []
    for day in days:
        before, header, body = day.partition(FIRST_DAY)
        if not header or FIRST_DAY in body or tomllib.loads(before):
            raise ValueError("found something else than one [[day]] in a file of days")
        marked.append(header + NO_MARKS + body)
    return head + "\n".join(marked)


def write_copy(site: Path, out: Path, extra_only: bool = False, days: Path | None = None) -> None:
    """Write the copy of a site and the files that belong to it. ValueError for a place it may not have."""
    if NAME_PART not in out.name:
        raise ValueError(f"the name {out.name} of the copy lacks {NAME_PART!r}")
    if out.resolve().is_relative_to(REPOSITORY):
        raise ValueError(f"{out} lies in the repository, wanted a place outside")
    for beside, name in (
        (site.with_suffix(".days"), f"{out.stem}.days"),
        (site.with_name("wire.json"), "wire.json"),
    ):
        if beside.exists():
            shutil.copyfile(beside, out.with_name(name))
    text = copy(site.read_text("utf-8"), extra_only)
    if days is not None:
        text = with_days(text, [day.read_text("utf-8") for day in sorted(days.glob("*.toml"))])
    out.write_text(text, "utf-8")


def main(arguments: list[str]) -> int:
    """Write one copy; status 2 with one line on what stands in the way."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("site", type=Path)
    parser.add_argument("out", type=Path)
    parser.add_argument("--kinds", type=Path, help="what the bench's `kinds` printed for this site")
    parser.add_argument("--extra-only", action="store_true", help="leave out the site's own list")
    parser.add_argument("--days", type=Path, help="a folder of days that take the place of the site's own")
    asked = parser.parse_args(arguments)
    if asked.kinds is not None and (unknown := missing(asked.kinds.read_text("utf-8"))):
        print(f"{asked.kinds}: these kinds are not known here: {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    try:
        write_copy(asked.site, asked.out, asked.extra_only, asked.days)
    except ValueError as problem:
        print(f"{asked.site}: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
