"""Whether a configuration may be taken: its shape by a schema, then the rules that a schema cannot state.

Theory of operation. A configuration is taken whole or not at all, and its text is kept byte for byte as it
was sent; fields that are not known are let through with it, for the wire may grow. Every route is checked by
itself, first its shape, then its rules, so that one bad route does not hide the next one's faults. A fault is
one line: the place as a path into the JSON, what was found, what was wanted. Only the control plane and the
command line import this module.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Iterator
from itertools import islice
from math import isfinite
from typing import TYPE_CHECKING, NoReturn

import attrs
from jsonschema import Draft202012Validator
from result import Err, Ok, Result

from honeywharf.mesh_config.quantities import seconds
from honeywharf.mesh_config.routes import MUTATING, READ_ONLY, UPLOAD, bare_host, version_number

if TYPE_CHECKING:
    from jsonschema.exceptions import ValidationError

MAX_BYTES = 8 << 20  # some 35,000 routes; what is larger is not read
MAX_VERSION = 2**63 - 1  # versions travel between processes as 64 bits
LONGEST_TIMEOUT_S = 600.0
MAX_HOMES = 64  # regions of one route
MAX_FAULTS = 5  # told to who sends a bad one
SHOWN = 60  # characters of what was found
KINDS = (READ_ONLY, MUTATING, UPLOAD)

_TEXT = {"type": "string", "minLength": 1}
_MAYBE_TEXT = {"type": ["string", "null"], "minLength": 1}
_COUNT = {"type": "integer", "minimum": 0}
_MAYBE_COUNT = {"type": ["integer", "null"], "minimum": 0}

_SHARE = {
    "type": "object",
    "required": ["target-service", "weight"],
    "properties": {"target-service": _TEXT, "weight": {"type": "number"}},
}
_ROUTE = {
    "type": "object",
    "required": ["name", "hostname", "path-prefix", "route-kind", "timeout", "max-attempts"],
    "properties": {
        "name": _TEXT,
        "hostname": _TEXT,
        "path-prefix": _TEXT,
        "route-kind": {"enum": list(KINDS)},
        "timeout": _TEXT,
        "target-latency": _MAYBE_TEXT,
        "priority": _MAYBE_COUNT,
        "allowed-regions": {"type": ["array", "null"], "items": _TEXT, "maxItems": MAX_HOMES},
        "max-attempts": {"type": "integer", "minimum": 1},
        "target-service": _MAYBE_TEXT,
        "traffic-split": {"type": ["array", "null"], "items": _SHARE},
    },
}
_SERVICE = {
    "type": "object",
    "required": ["name"],
    "properties": {
        "name": _TEXT,
        "health-check-path": {"type": ["string", "null"], "pattern": "^/"},
        "max-connections": {"type": ["integer", "null"], "minimum": 1},
        "cold-start": _MAYBE_TEXT,
        "cold-per-s": {"type": ["number", "null"], "minimum": 0},
    },
}
_LIMITS = {
    "type": "object",
    "properties": {
        "max-header-bytes": _MAYBE_COUNT,
        "max-body-bytes": _MAYBE_COUNT,
        "header-timeout": _MAYBE_TEXT,
        "idle-timeout": _MAYBE_TEXT,
    },
}
_WHOLE = {
    "type": "object",
    "required": ["config-version", "routes", "services", "limits"],
    "properties": {
        "config-version": {"type": "string"},
        "routes": {"type": "array"},
        "services": {"type": "array"},
        "limits": _LIMITS,
    },
}


WHOLE, ROUTE, SERVICE = (Draft202012Validator(schema) for schema in (_WHOLE, _ROUTE, _SERVICE))


@attrs.frozen
class Configuration:
    """One that was checked."""

    version: int
    digest: str  # 32 hexadecimal digits of the SHA-256 of the text
    text: bytes = attrs.field(repr=False)  # as sent


def digest(text: bytes) -> str:
    """The name of a text: the first 32 hexadecimal digits of its SHA-256."""
    return hashlib.sha256(text).hexdigest()[:32]


def check(raw: bytes) -> Result[Configuration, str]:
    """The configuration in `raw`, or at most MAX_FAULTS of its faults, separated by semicolons."""
    whole = _parsed(raw)
    if isinstance(whole, Err):
        return whole
    faults = list(islice(_faults(whole.ok_value), MAX_FAULTS))
    if faults:
        return Err("; ".join(faults))
    return Ok(Configuration(version_number(whole.ok_value["config-version"]), digest(raw), raw))


def faults(raw: bytes) -> Iterator[str]:
    """Every fault of the configuration in `raw`, one line each; none where it may be taken."""
    whole = _parsed(raw)
    if isinstance(whole, Err):
        yield whole.err_value
    else:
        yield from _faults(whole.ok_value)


def _no_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON")


def _parsed(raw: bytes) -> Result[dict[str, object], str]:
    """The JSON object in the text."""
    if len(raw) > MAX_BYTES:
        return Err(f"the text: found {len(raw)} bytes, wanted at most {MAX_BYTES}")
    try:
        whole = json.loads(raw.decode("utf-8"), parse_constant=_no_constant)
    except UnicodeDecodeError as fault:
        return Err(f"the text: found a byte that is not UTF-8 at {fault.start}, wanted whole JSON in UTF-8")
    except json.JSONDecodeError as fault:
        found = f"{fault.msg.removesuffix(' at')} at character {fault.pos} ({len(raw)} bytes in all)"
        return Err(f"the text: found {found}, wanted whole JSON")
    except (ValueError, RecursionError) as fault:  # NaN, numbers or brackets without end
        return Err(f"the text: found {_shown(str(fault))}, wanted whole JSON")
    if not isinstance(whole, dict):
        return Err(f"the text: found {_shown(whole)}, wanted an object")
    return Ok(whole)


def _shown(value: object) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    text = text.encode("ascii", "backslashreplace").decode()
    return text if len(text) <= SHOWN else text[: SHOWN - 3] + "..."


def _fault(place: str, found: object, wanted: str) -> str:
    shown = "nothing" if found is None else _shown(json.dumps(found) if isinstance(found, str) else found)
    return f"{place}: found {shown}, wanted {wanted}"


def _place(start: str, path: Iterable[str | int]) -> str:
    place = start
    for step in path:
        place += f"[{step}]" if isinstance(step, int) else f".{step}" if place else step
    return place


def _either(wanted: object) -> str:
    return str(wanted) if isinstance(wanted, str) else " or ".join(str(one) for one in _listed(wanted))


def _listed(value: object) -> list[object]:
    return list(value) if isinstance(value, list | tuple) else []


def _wanted(word: str, value: object) -> str:
    """What is wanted, by the schema's word that was broken and its value."""
    if word == "minimum":
        return f"{value} or more"
    if word == "minLength":
        return "some text"
    return "a path that begins with a slash" if word == "pattern" else _either(value)


def _misshapen(error: ValidationError, start: str) -> Iterator[str]:
    """The lines for one fault that the schema found."""
    place = _place(start, error.absolute_path)
    if error.validator == "required":
        for key in _listed(error.validator_value):
            if isinstance(error.instance, dict) and key not in error.instance:
                yield f"{_place(place, [str(key)])}: found nothing, wanted it there"
        return
    yield _fault(place, error.instance, _wanted(str(error.validator), error.validator_value))


def _shape(validator: Draft202012Validator, value: object, start: str) -> list[str]:
    """Faults of shape; the schema tells a missing field once for each, we once for all."""
    found: dict[str, None] = {}
    for error in validator.iter_errors(value):
        for line in _misshapen(error, start):
            found[line] = None
    return list(found)


def _faults(whole: dict[str, object]) -> Iterator[str]:
    """Every fault: the frame first, then services, then routes."""
    frame = _shape(WHOLE, whole, "")
    yield from frame
    yield from _version(whole.get("config-version"))
    limits, services, routes = whole.get("limits"), whole.get("services"), whole.get("routes")
    if isinstance(limits, dict):
        for key in ("header-timeout", "idle-timeout"):
            yield from _time(f"limits.{key}", limits.get(key))
    names: set[str] = set()
    if isinstance(services, list):
        yield from _services(services, names)
    if isinstance(routes, list):
        yield from _routes(routes, names)


def _version(value: object) -> Iterator[str]:
    if not isinstance(value, str):
        return  # the frame has told it
    try:
        good = len(value) <= 20 and version_number(value) <= MAX_VERSION
    except ValueError:
        good = False
    if not good:
        yield _fault("config-version", value, "r and a number, such as r12")


def _time(place: str, value: object, above: float = -1.0, most: float = float("inf")) -> Iterator[str]:
    """The fault of a time that is not above `above` seconds or is above `most`; a missing one has none."""
    if not isinstance(value, str) or not value:
        return  # the shape has told it where one is wanted
    try:
        found = seconds(value)
    except ValueError:
        yield _fault(place, value, "a time such as 1500ms or 2.5s")
        return
    if found > most:
        yield _fault(place, value, f"at most {most:g}s")
    elif found <= above or not isfinite(found):
        yield _fault(place, value, "a time above 0, and not without end")


def _services(services: list[object], names: set[str]) -> Iterator[str]:
    """Faults of services; the names of all go into `names`, so that a faulty one is told once."""
    for index, service in enumerate(services):
        place = f"services[{index}]"
        yield from _shape(SERVICE, service, place)
        if not isinstance(service, dict):
            continue
        yield from _time(f"{place}.cold-start", service.get("cold-start"))
        name = service.get("name")
        if isinstance(name, str):
            if name in names:
                yield _fault(f"{place}.name", name, "each service once")
            names.add(name)


def _routes(routes: list[object], names: set[str]) -> Iterator[str]:
    places: dict[tuple[bytes, bytes], int] = {}
    for index, route in enumerate(routes):
        place = f"routes[{index}]"
        misshapen = _shape(ROUTE, route, place)
        if misshapen:
            yield from misshapen
        elif isinstance(route, dict):
            yield from _rules(route, place, names)
            yield from _once(route, index, places)


def _rules(route: dict[str, object], place: str, names: set[str]) -> Iterator[str]:
    """What a schema cannot state, of one route of the right shape."""
    prefix = route["path-prefix"]
    if isinstance(prefix, str) and not (prefix.startswith("/") and prefix.endswith("/")):
        yield _fault(f"{place}.path-prefix", prefix, "a path that begins and ends with a slash")
    yield from _time(f"{place}.timeout", route["timeout"], 0.0, LONGEST_TIMEOUT_S)
    yield from _time(f"{place}.target-latency", route.get("target-latency"))
    service, split = route.get("target-service"), route.get("traffic-split")
    if (service is None) == (split is None):
        found = "neither" if service is None else "both"
        yield f"{place}: found {found} of target-service and traffic-split, wanted one of them"
    elif isinstance(split, list):
        yield from _split(split, f"{place}.traffic-split", names)
    elif service not in names:
        yield _fault(f"{place}.target-service", service, "the name of a service in services")


def _split(split: list[dict[str, object]], place: str, names: set[str]) -> Iterator[str]:
    total = 0.0
    for index, share in enumerate(split):
        name, weight = share["target-service"], share["weight"]
        if name not in names:
            yield _fault(f"{place}[{index}].target-service", name, "the name of a service in services")
        if not isinstance(weight, int | float) or not 0 <= weight <= 1e300:
            yield _fault(f"{place}[{index}].weight", weight, "0 or more")
        else:
            total += weight
    if not 0 < total < float("inf"):
        yield f"{place}: found weights with a sum of {total:g}, wanted a sum above 0"


def _once(route: dict[str, object], index: int, places: dict[tuple[bytes, bytes], int]) -> Iterator[str]:
    """A host and prefix stand for one route only: which of two were meant could not be told."""
    try:
        key = bare_host(str(route["hostname"]).encode()), str(route["path-prefix"]).encode()
    except UnicodeEncodeError:
        yield f"routes[{index}]: found half a character in hostname or path-prefix, wanted text"
        return
    first = places.setdefault(key, index)
    if first != index:
        wanted = f"one that routes[{first}] of the same host has not"
        yield _fault(f"routes[{index}].path-prefix", route["path-prefix"], wanted)
