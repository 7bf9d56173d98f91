"""An experiment: a TOML file of a day, its fleet, clients and troubles, with a sweep of what is tried.

    name = "storms"
    seeds = [1, 2, 3, 4]    # or how many, from 1 on

    [day]          length, works, aim, deadline and the part of capacity that is asked for
    [fleet]        nodes by zone, their shape, proxies
    [clients]      habits by weight, tries, how many (0: arrivals by rate)
    [features]     what is on
    [[troubles]]   crash, slow, drain, restart, descriptors
    [[sweep]]      an axis: `name`, and `cases` of a label and what they set, or a `path` and its `values`

Each combination of the axes' cases with each seed is a cell. Every figure has a default, and what is not
known, or no such figure, is an error that names the place, what was found and what is wanted.
"""

from __future__ import annotations

import copy
import dataclasses
import hashlib
import itertools
import json
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from honeywharf import limits
from honeywharf.config import words
from honeywharf.lab import days
from honeywharf.lab.habits import MIXED, checked_habit
from honeywharf.lab.model import NodeSpec
from honeywharf.lab.simulator import Day, Fault, Reporting, capacity

MAX_CELLS = 10_000
KINDS = ("crash", "slow", "drain", "restart", "descriptors")


class ExperimentError(ValueError):
    """What is wrong with an experiment's file, and where."""


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What the file may hold, and nothing else."""


class DayShape(_Strict, frozen=True):
    """Times in ms; `load` is the part of all warm nodes' capacity that first tries come to."""

    length_ms: float = 40_000.0
    work_ms: float = 100.0
    spread: float = 0.3
    aim_ms: float = 2000.0
    deadline_ms: float = 5000.0
    load: float = 0.75
    peak: float = 0.0  # the load from `peak_from_ms` on, for `peak_ms`; 0 for none
    peak_from_ms: float = 8000.0
    peak_ms: float = 6000.0
    peak_random: float = 0.0  # of the load, drawn by the seed: days differ by so much


class Fleet(_Strict, frozen=True):
    """Nodes by zone, each of that shape, and proxies over all zones."""

    zones: dict[str, int] = msgspec.field(default_factory=lambda: {"a": 7, "b": 7, "c": 6})
    proxies: int = 3
    cores: int = 2
    queue: int = 12
    cold_share: float = 0.25
    warm_ms: float = 8000.0
    jam_at: float = 4.5
    notice_ms: float = 1000.0
    accept_ms: float = 0.0
    request_ms: float = 0.0


class Clients(_Strict, frozen=True):
    """Habits by weight (`mixed`: every habit). `number` 0: arrivals by rate, each a client of its own."""

    habits: dict[str, float] | str = "mixed"
    retries: int = 6
    marks: float = 0.5
    number: int = 0
    keep_ms: float = 10_000.0


class Load(_Strict, frozen=True):
    """How nodes report the calls that wait; `simulator.Reporting` has the words. Nothing is drawn where none
    of the experiment's cells reads reports.
    """

    told: bool = False
    least_ms: float = 69.0
    most_ms: float = 450.0
    late_ms: float = 80.0
    noise: float = 0.1
    liars: float = 0.0
    lie: float = 0.0
    silent: float = 0.0
    swing_ms: float = 0.0


class Features(_Strict, frozen=True):
    """What of the product is on."""

    storms: bool = False
    reports: bool = False
    limiter: str = "lateness"


class TroubleShape(_Strict, frozen=True):
    """As `simulator.Trouble`."""

    at_ms: float
    kind: str
    zone: str = ""
    part: float = 0.15
    for_ms: float = 4000.0
    factor: float = 1.0
    front_ms: float = 0.0


class Setting(_Strict, frozen=True):
    """One cell's day, before its seed."""

    day: DayShape = DayShape()
    fleet: Fleet = Fleet()
    clients: Clients = Clients()
    features: Features = Features()
    load: Load = Load()
    troubles: list[TroubleShape] = []


class Cell(msgspec.Struct, frozen=True):
    """One day to play: its labels by axis, its seed, and its setting. `key` names it for good."""

    key: str
    labels: dict[str, str]
    seed: int
    setting: Setting


def load(path: Path) -> tuple[str, list[Cell]]:
    """The experiment's name and its cells, in order."""
    try:
        text = path.read_text("utf-8")
        raw = tomllib.loads(text)
    except OSError as fault:
        raise ExperimentError(f"{path}: {fault.strerror or fault}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as fault:
        raise ExperimentError(f"{path}: not TOML: {fault}") from None
    try:
        return cells(raw)
    except ExperimentError as fault:
        raise ExperimentError(
            "\n".join(words.located(path, text, told) for told in str(fault).split("; "))
        ) from None


def cells(raw: dict[str, Any]) -> tuple[str, list[Cell]]:
    """The same of what a file has been read to."""
    raw = copy.deepcopy(raw)
    name, seeds, sweep = raw.pop("name", None), raw.pop("seeds", [1]), raw.pop("sweep", [])
    if not isinstance(name, str) or not name:
        raise ExperimentError(f"name: wanted a word, found {name!r}")
    if type(seeds) is int and seeds > 0:
        seeds = list(range(1, seeds + 1))
    if not isinstance(seeds, list) or not seeds or not all(type(s) is int for s in seeds):
        raise ExperimentError(f"seeds: wanted whole numbers, or how many, found {seeds!r}")
    if not isinstance(sweep, list):
        raise ExperimentError(f"sweep: wanted a list of axes, [[sweep]], found {sweep!r}")
    axes = [list(_axis(axis, place)) for place, axis in enumerate(sweep)]
    number = len(seeds)
    for axis in axes:
        number *= len(axis)
    if number > MAX_CELLS:
        raise ExperimentError(f"sweep: wanted up to {MAX_CELLS} cells, found {number}")
    found = []
    for combination in itertools.product(*axes):
        one, labels = copy.deepcopy(raw), {}
        for axis_name, label, changes in combination:
            labels[axis_name] = label
            for path, value in changes.items():
                _set(one, path, value)
        setting = _checked(one)
        for seed in seeds:
            told = json.dumps([labels, msgspec.to_builtins(setting), seed], sort_keys=True)
            key = hashlib.blake2b(told.encode(), digest_size=12).hexdigest()
            found.append(Cell(key, labels, seed, setting))
    return name, found


def _axis(axis: Any, place: int) -> Iterator[tuple[str, str, dict[str, Any]]]:
    """An axis' cases: its name, the case's label, and what that sets."""
    where = f"sweep[{place}]"
    if not isinstance(axis, dict):
        raise ExperimentError(f"{where}: wanted a table, found {axis!r}")
    unknown = set(axis) - {"name", "path", "values", "cases"}
    if unknown or ("path" in axis) == ("cases" in axis):
        raise ExperimentError(f"{where}: wanted name with cases, or path with values, found {sorted(axis)}")
    if "path" in axis:
        values = axis.get("values")
        if not isinstance(values, list) or not values:
            raise ExperimentError(f"{where}.values: wanted a list, found {values!r}")
        for value in values:
            yield str(axis.get("name", axis["path"])), json.dumps(value).strip('"'), {axis["path"]: value}
        return
    for i, case in enumerate(axis["cases"] if isinstance(axis["cases"], list) else [axis["cases"]]):
        if not isinstance(case, dict) or set(case) != {"label", "set"} or not isinstance(case["set"], dict):
            raise ExperimentError(f"{where}.cases[{i}]: wanted a label and a table `set`, found {case!r}")
        yield str(axis.get("name", f"axis {place}")), str(case["label"]), case["set"]


def _set(table: dict[str, Any], path: str, value: Any) -> None:
    """Set what a dotted path names; a number in it is a place in a list."""
    *way, last = path.split(".")
    at: Any = table
    for step in way:
        if isinstance(at, list):
            if not step.isdigit() or int(step) >= len(at):
                raise ExperimentError(f"{path}: wanted a place from 0 to {len(at) - 1}, found {step!r}")
            at = at[int(step)]
        else:
            at = at.setdefault(step, {})
        if not isinstance(at, dict | list):
            raise ExperimentError(f"{path}: wanted a table at {step!r}, found {at!r}")
    if isinstance(at, list):
        raise ExperimentError(f"{path}: wanted the name of a figure at its end, found a place in a list")
    at[last] = copy.deepcopy(value)


def _checked(raw: dict[str, Any]) -> Setting:
    """The setting, where all of it can be played."""
    found = list(words.faults(raw, Setting))
    if found:
        raise ExperimentError("; ".join(map(str, found)))
    setting = msgspec.convert(raw, Setting)
    wrong = list(_wrong(setting))
    if wrong:
        raise ExperimentError("; ".join(wrong))
    return setting


def _wrong(setting: Setting) -> Iterator[str]:
    """What of a setting no day can be made of."""
    day, fleet, clients = setting.day, setting.fleet, setting.clients
    for place, value, least, most in (
        ("day.length_ms", day.length_ms, 100.0, 86_400_000.0),
        ("day.work_ms", day.work_ms, 0.01, 1e5),
        ("day.load", day.load, 0.0, 10.0),
        ("day.peak", day.peak, 0.0, 10.0),
        ("day.aim_ms", day.aim_ms, 1.0, 1e6),
        ("day.deadline_ms", day.deadline_ms, day.aim_ms, 1e6),
        ("fleet.proxies", fleet.proxies, len(fleet.zones), 2000),
        ("fleet.cores", fleet.cores, 1, 1024),
        ("clients.number", clients.number, 0, 2_000_000),
        ("clients.marks", clients.marks, 0.0, 1.0),
        ("clients.retries", clients.retries, 0, 50),
    ):
        if not least <= value <= most:
            yield f"{place}: wanted {least:g} to {most:g}, found {value:g}"
    if not fleet.zones or min(fleet.zones.values()) < 1:
        yield f"fleet.zones: wanted a node at least in each zone, found {fleet.zones}"
    try:
        habits(clients)
    except ValueError as fault:
        yield f"clients.habits: {fault}"
    limiter = setting.features.limiter
    if limiter not in limits.LIMITERS:
        yield f"features.limiter: wanted one of {', '.join(limits.LIMITERS)}, found {limiter!r}"
    for i, trouble in enumerate(setting.troubles):
        if trouble.kind not in KINDS:
            yield f"troubles[{i}].kind: wanted one of {', '.join(KINDS)}, found {trouble.kind!r}"
        if not 0.0 < trouble.part <= 1.0:
            yield f"troubles[{i}].part: wanted over 0 and up to 1, found {trouble.part:g}"
        if trouble.zone and trouble.zone not in fleet.zones:
            yield f"troubles[{i}].zone: wanted one of {', '.join(fleet.zones)}, found {trouble.zone!r}"


def habits(clients: Clients) -> tuple[tuple[str, float], ...]:
    """Habits and weights; ValueError for what is none."""
    if clients.habits == "mixed":
        return MIXED
    if isinstance(clients.habits, str):
        return ((checked_habit(clients.habits), 1.0),)
    if not clients.habits or min(clients.habits.values()) <= 0.0:
        raise ValueError(f"wanted weights over 0, found {clients.habits}")
    return tuple((checked_habit(name), weight) for name, weight in clients.habits.items())


def reporting(load: Load) -> Reporting | None:
    """How nodes report, where they do."""
    return (
        Reporting(
            (load.least_ms, load.most_ms),
            load.late_ms,
            load.noise,
            load.liars,
            load.lie,
            load.silent,
            load.swing_ms,
        )
        if load.told
        else None
    )


def day_of(cell: Cell) -> Day:
    """The day that a cell plays."""
    shape, fleet, clients = cell.setting.day, cell.setting.fleet, cell.setting.clients
    spec = NodeSpec(
        cores=fleet.cores,
        queue=fleet.queue,
        cold_share=fleet.cold_share,
        warm_ms=fleet.warm_ms,
        jam_at=fleet.jam_at,
    )
    day = Day(
        "cell",
        cell.seed,
        shape.work_ms,
        fleet.zones,
        days.no_arrivals,
        length_ms=shape.length_ms,
        spec=spec,
        faults=tuple(Fault(**msgspec.to_builtins(t)) for t in cell.setting.troubles),
        proxies=fleet.proxies,
        notice_ms=fleet.notice_ms,
        latency_target_ms=shape.aim_ms,
        deadline_ms=shape.deadline_ms,
        spread=shape.spread,
        retries=clients.retries,
        limiter=cell.setting.features.limiter,
        habits=habits(clients),
        marks=clients.marks,
        storms=cell.setting.features.storms,
        clients=clients.number,
        accept_ms=fleet.accept_ms,
        request_ms=fleet.request_ms,
        keep_ms=clients.keep_ms,
        reports=cell.setting.features.reports,
        load=reporting(cell.setting.load),
    )
    if clients.number:
        rate = max(1e-9, shape.load * capacity(day))
        return dataclasses.replace(day, think_ms=1000.0 * clients.number / rate)
    usual = shape.load * (1.0 + shape.peak_random * ((cell.seed * 0.618034) % 1.0))
    end = shape.peak_from_ms + shape.peak_ms
    return days.load(day, lambda now: shape.peak if shape.peak and shape.peak_from_ms <= now < end else usual)
