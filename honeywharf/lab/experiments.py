"""Reads experiments: TOML files of a day, its fleet, clients and faults, with a sweep of parameters.

    name = "storms"
    seeds = [1, 2, 3, 4]    # Or a number: the seeds from 1 to it.

    [day], [fleet], [clients], [features], [load]   the fields of DayShape, Fleet, Clients, Features and Load
    [[troubles]]   the faults, with the fields of FaultShape
    [[sweep]]      an axis: `name`, and `cases` with a label and settings, or a `path` and its `values`

Each combination of the axes' cases with each seed is a cell. An unknown key or an invalid value is an error
that names the setting, what was expected and what was got.
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
from honeywharf.config import file_errors
from honeywharf.lab import days
from honeywharf.lab.habits import MIXED, checked_habit
from honeywharf.lab.model import NodeSpec
from honeywharf.lab.simulator import Day, Fault, Reporting, capacity

MAX_CELLS = 10_000
FAULT_KINDS = ("crash", "slow", "drain", "restart", "descriptors")


class ExperimentError(ValueError):
    """An experiment is invalid. The message names each setting that is wrong."""


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file, without unknown keys."""


class DayShape(_Strict, frozen=True):
    """The day, with times in ms. `load` is the rate of first attempts by the capacity of the warm fleet."""

    length_ms: float = 40_000.0
    work_ms: float = 100.0
    spread: float = 0.3
    aim_ms: float = 2000.0
    deadline_ms: float = 5000.0
    load: float = 0.75
    peak: float = 0.0  # The load for `peak_ms` from `peak_from_ms` on; 0 for no peak.
    peak_from_ms: float = 8000.0
    peak_ms: float = 6000.0
    peak_random: float = 0.0  # Part of the load by which it varies with the seed.


class Fleet(_Strict, frozen=True):
    """The nodes by zone, all of one shape, and the proxies over all zones."""

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
    """The clients: habits by weight, or `mixed`. With `number` 0 their requests arrive by rate."""

    habits: dict[str, float] | str = "mixed"
    retries: int = 6
    marks: float = 0.5
    number: int = 0
    keep_ms: float = 10_000.0


class Load(_Strict, frozen=True):
    """The load reports of nodes, as in `simulator.Reporting`. Nodes send them only if `told` is true."""

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
    """The features that are on."""

    storms: bool = False
    reports: bool = False
    limiter: str = "lateness"


class FaultShape(_Strict, frozen=True):
    """A fault, as in `simulator.Fault`."""

    at_ms: float
    kind: str
    zone: str = ""
    part: float = 0.15
    for_ms: float = 4000.0
    factor: float = 1.0
    front_ms: float = 0.0


class Setting(_Strict, frozen=True):
    """The settings of a cell, without its seed."""

    day: DayShape = DayShape()
    fleet: Fleet = Fleet()
    clients: Clients = Clients()
    features: Features = Features()
    load: Load = Load()
    troubles: list[FaultShape] = []


class Cell(msgspec.Struct, frozen=True):
    """A day to simulate: its labels by axis, its seed and its setting. `key` is a digest of all three."""

    key: str
    labels: dict[str, str]
    seed: int
    setting: Setting


def load(path: Path) -> tuple[str, list[Cell]]:
    """Reads a file. Returns the experiment's name and its cells in order. Raises ExperimentError."""
    try:
        text = path.read_text("utf-8")
        raw = tomllib.loads(text)
    except OSError as fault:
        raise ExperimentError(f"{path}: {fault.strerror or fault}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as fault:
        raise ExperimentError(f"{path}: expected a TOML file, got an error: {fault}") from None
    try:
        return cells(raw)
    except ExperimentError as fault:
        raise ExperimentError(
            "\n".join(file_errors.with_position(path, text, error) for error in str(fault).split("; "))
        ) from None


def cells(raw: dict[str, Any]) -> tuple[str, list[Cell]]:
    """Returns the name and the cells of an experiment that is read from TOML. Raises ExperimentError."""
    raw = copy.deepcopy(raw)
    name, seeds, sweep = raw.pop("name", None), raw.pop("seeds", [1]), raw.pop("sweep", [])
    if not isinstance(name, str) or not name:
        raise ExperimentError(f"name: expected a string, got {name!r}")
    if type(seeds) is int and seeds > 0:
        seeds = list(range(1, seeds + 1))
    if not isinstance(seeds, list) or not seeds or not all(type(s) is int for s in seeds):
        raise ExperimentError(f"seeds: expected a list of integers or their number, got {seeds!r}")
    if not isinstance(sweep, list):
        raise ExperimentError(f"sweep: expected a list of axes, [[sweep]], got {sweep!r}")
    axes = [list(_axis(axis, i)) for i, axis in enumerate(sweep)]
    number = len(seeds)
    for axis in axes:
        number *= len(axis)
    if number > MAX_CELLS:
        raise ExperimentError(f"sweep: expected up to {MAX_CELLS} cells, got {number}")
    found = []
    for combination in itertools.product(*axes):
        raw_setting, labels = copy.deepcopy(raw), {}
        for axis_name, label, changes in combination:
            labels[axis_name] = label
            for path, value in changes.items():
                _set(raw_setting, path, value)
        setting = _checked(raw_setting)
        for seed in seeds:
            seeding_text = json.dumps([labels, msgspec.to_builtins(setting), seed], sort_keys=True)
            key = hashlib.blake2b(seeding_text.encode(), digest_size=12).hexdigest()
            found.append(Cell(key, labels, seed, setting))
    return name, found


def _axis(axis: Any, number: int) -> Iterator[tuple[str, str, dict[str, Any]]]:
    """Yields the cases of an axis: its name, the case's label, and the values by path that the case sets."""
    where = f"sweep[{number}]"
    if not isinstance(axis, dict):
        raise ExperimentError(f"{where}: expected a table, got {axis!r}")
    unknown = set(axis) - {"name", "path", "values", "cases"}
    if unknown or ("path" in axis) == ("cases" in axis):
        raise ExperimentError(f"{where}: expected name with cases, or path with values, got {sorted(axis)}")
    if "path" in axis:
        values = axis.get("values")
        if not isinstance(values, list) or not values:
            raise ExperimentError(f"{where}.values: expected a list, got {values!r}")
        for value in values:
            yield str(axis.get("name", axis["path"])), json.dumps(value).strip('"'), {axis["path"]: value}
        return
    for i, case in enumerate(axis["cases"] if isinstance(axis["cases"], list) else [axis["cases"]]):
        if not isinstance(case, dict) or set(case) != {"label", "set"} or not isinstance(case["set"], dict):
            raise ExperimentError(f"{where}.cases[{i}]: expected a label and a table `set`, got {case!r}")
        yield str(axis.get("name", f"axis {number}")), str(case["label"]), case["set"]


def _set(table: dict[str, Any], path: str, value: Any) -> None:
    """Sets the value at a dotted path, in which a number is an index of a list."""
    *steps, last = path.split(".")
    parent: Any = table
    for step in steps:
        if isinstance(parent, list):
            if not step.isdigit() or int(step) >= len(parent):
                raise ExperimentError(f"{path}: expected an index from 0 to {len(parent) - 1}, got {step!r}")
            parent = parent[int(step)]
        else:
            parent = parent.setdefault(step, {})
        if not isinstance(parent, dict | list):
            raise ExperimentError(f"{path}: expected a table at {step!r}, got {parent!r}")
    if isinstance(parent, list):
        raise ExperimentError(f"{path}: expected the name of a setting at its end, got an index of a list")
    parent[last] = copy.deepcopy(value)


def _checked(raw: dict[str, Any]) -> Setting:
    """Returns a setting that can be simulated. Raises ExperimentError for any other."""
    type_errors = list(file_errors.find_errors(raw, Setting))
    if type_errors:
        raise ExperimentError("; ".join(map(str, type_errors)))
    setting = msgspec.convert(raw, Setting)
    errors = list(_errors(setting))
    if errors:
        raise ExperimentError("; ".join(errors))
    return setting


def _errors(setting: Setting) -> Iterator[str]:
    """Yields the errors in the values of a setting."""
    day, fleet, clients = setting.day, setting.fleet, setting.clients
    for name, value, least, most in (
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
            yield f"{name}: expected {least:g} to {most:g}, got {value:g}"
    if not fleet.zones or min(fleet.zones.values()) < 1:
        yield f"fleet.zones: expected at least one node in each zone, got {fleet.zones}"
    try:
        habits(clients)
    except ValueError as error:
        yield f"clients.habits: {error}"
    limiter = setting.features.limiter
    if limiter not in limits.LIMITERS:
        yield f"features.limiter: expected one of {', '.join(limits.LIMITERS)}, got {limiter!r}"
    for i, fault in enumerate(setting.troubles):
        if fault.kind not in FAULT_KINDS:
            yield f"troubles[{i}].kind: expected one of {', '.join(FAULT_KINDS)}, got {fault.kind!r}"
        if not 0.0 < fault.part <= 1.0:
            yield f"troubles[{i}].part: expected above 0 and up to 1, got {fault.part:g}"
        if fault.zone and fault.zone not in fleet.zones:
            yield f"troubles[{i}].zone: expected one of {', '.join(fleet.zones)}, got {fault.zone!r}"


def habits(clients: Clients) -> tuple[tuple[str, float], ...]:
    """Returns habits and their weights. Raises ValueError for an unknown habit or a weight of 0 or less."""
    if clients.habits == "mixed":
        return MIXED
    if isinstance(clients.habits, str):
        return ((checked_habit(clients.habits), 1.0),)
    if not clients.habits or min(clients.habits.values()) <= 0.0:
        raise ValueError(f"expected weights above 0, got {clients.habits}")
    return tuple((checked_habit(name), weight) for name, weight in clients.habits.items())


def reporting(load: Load) -> Reporting | None:
    """Returns how nodes report their load, or None if they do not."""
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
    """Returns the day of a cell."""
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
    base_load = shape.load * (1.0 + shape.peak_random * ((cell.seed * 0.618034) % 1.0))
    end = shape.peak_from_ms + shape.peak_ms
    return days.load(
        day, lambda now: shape.peak if shape.peak and shape.peak_from_ms <= now < end else base_load
    )
