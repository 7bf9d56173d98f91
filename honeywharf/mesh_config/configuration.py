"""Whether a configuration is valid: its shape by a schema, then the rules that a schema cannot state.

Theory of operation. A configuration is accepted as a whole or not at all, and its text is kept byte for
byte as it was sent; unknown fields are let through with it, for the format may grow. Every route is checked
by itself, first its shape, then its rules, so that one bad route does not hide the next one's errors. An
error is one line: its path into the JSON, what was found, what was wanted. Only the control plane and the
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
MAX_TIMEOUT_S = 600.0
MAX_REGIONS = 64  # regions of one route
MAX_ERRORS = 5  # answered to who sends an invalid one
MAX_SHOWN = 60  # characters of what was found
ROUTE_KINDS = (READ_ONLY, MUTATING, UPLOAD)

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
        "route-kind": {"enum": list(ROUTE_KINDS)},
        "timeout": _TEXT,
        "target-latency": _MAYBE_TEXT,
        "priority": _MAYBE_COUNT,
        "allowed-regions": {"type": ["array", "null"], "items": _TEXT, "maxItems": MAX_REGIONS},
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
_DOCUMENT = {
    "type": "object",
    "required": ["config-version", "routes", "services", "limits"],
    "properties": {
        "config-version": {"type": "string"},
        "routes": {"type": "array"},
        "services": {"type": "array"},
        "limits": _LIMITS,
    },
}


DOCUMENT, ROUTE, SERVICE = (Draft202012Validator(schema) for schema in (_DOCUMENT, _ROUTE, _SERVICE))


@attrs.frozen
class Configuration:
    """A configuration that was checked."""

    version: int
    digest: str  # 32 hexadecimal digits of the SHA-256 of the text
    text: bytes = attrs.field(repr=False)  # as sent


def digest(text: bytes) -> str:
    """What a text is known by: the first 32 hexadecimal digits of its SHA-256."""
    return hashlib.sha256(text).hexdigest()[:32]


def check(raw: bytes) -> Result[Configuration, str]:
    """The configuration in `raw`, or at most MAX_FAULTS of its faults, separated by semicolons."""
    document = _parse(raw)
    if isinstance(document, Err):
        return document
    errors = list(islice(_errors(document.ok_value), MAX_ERRORS))
    if errors:
        return Err("; ".join(errors))
    return Ok(Configuration(version_number(document.ok_value["config-version"]), digest(raw), raw))


def errors(raw: bytes) -> Iterator[str]:
    """Every error of the configuration in `raw`, one line each; none where it is valid."""
    document = _parse(raw)
    if isinstance(document, Err):
        yield document.err_value
    else:
        yield from _errors(document.ok_value)


def _no_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON")


def _parse(raw: bytes) -> Result[dict[str, object], str]:
    """The JSON object in the text."""
    if len(raw) > MAX_BYTES:
        return Err(f"the text: found {len(raw)} bytes, wanted at most {MAX_BYTES}")
    try:
        document = json.loads(raw.decode("utf-8"), parse_constant=_no_constant)
    except UnicodeDecodeError as error:
        return Err(f"the text: found a byte that is not UTF-8 at {error.start}, wanted whole JSON in UTF-8")
    except json.JSONDecodeError as error:
        found = f"{error.msg.removesuffix(' at')} at character {error.pos} ({len(raw)} bytes in all)"
        return Err(f"the text: found {found}, wanted whole JSON")
    except (ValueError, RecursionError) as error:  # NaN, numbers or brackets without end
        return Err(f"the text: found {_shown(str(error))}, wanted whole JSON")
    if not isinstance(document, dict):
        return Err(f"the text: found {_shown(document)}, wanted an object")
    return Ok(document)


def _shown(value: object) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    text = text.encode("ascii", "backslashreplace").decode()
    return text if len(text) <= MAX_SHOWN else text[: MAX_SHOWN - 3] + "..."


def _error(path: str, found: object, wanted: str) -> str:
    shown = "nothing" if found is None else _shown(json.dumps(found) if isinstance(found, str) else found)
    return f"{path}: found {shown}, wanted {wanted}"


def _json_path(start: str, path: Iterable[str | int]) -> str:
    joined = start
    for step in path:
        if isinstance(step, int):
            joined += f"[{step}]"
        else:
            joined += f".{step}" if joined else step
    return joined


def _alternatives(wanted: object) -> str:
    return str(wanted) if isinstance(wanted, str) else " or ".join(str(one) for one in _as_list(wanted))


def _as_list(value: object) -> list[object]:
    return list(value) if isinstance(value, list | tuple) else []


def _wanted(keyword: str, value: object) -> str:
    """What is wanted, by the schema's keyword that was broken and its value."""
    if keyword == "minimum":
        return f"{value} or more"
    if keyword == "minLength":
        return "some text"
    return "a path that begins with a slash" if keyword == "pattern" else _alternatives(value)


def _schema_error_lines(error: ValidationError, start: str) -> Iterator[str]:
    """The lines for one error that the schema found."""
    path = _json_path(start, error.absolute_path)
    if error.validator == "required":
        for key in _as_list(error.validator_value):
            if isinstance(error.instance, dict) and key not in error.instance:
                yield f"{_json_path(path, [str(key)])}: found nothing, wanted it there"
        return
    yield _error(path, error.instance, _wanted(str(error.validator), error.validator_value))


def _schema_errors(validator: Draft202012Validator, value: object, start: str) -> list[str]:
    """Errors of shape; the schema reports all missing fields with each of them, we each of them once."""
    found: dict[str, None] = {}
    for error in validator.iter_errors(value):
        for line in _schema_error_lines(error, start):
            found[line] = None
    return list(found)


def _errors(document: dict[str, object]) -> Iterator[str]:
    """Every error: the frame first, then services, then routes."""
    frame = _schema_errors(DOCUMENT, document, "")
    yield from frame
    yield from _version_errors(document.get("config-version"))
    limits, services, routes = document.get("limits"), document.get("services"), document.get("routes")
    if isinstance(limits, dict):
        for key in ("header-timeout", "idle-timeout"):
            yield from _time_errors(f"limits.{key}", limits.get(key))
    names: set[str] = set()
    if isinstance(services, list):
        yield from _service_errors(services, names)
    if isinstance(routes, list):
        yield from _route_errors(routes, names)


def _version_errors(value: object) -> Iterator[str]:
    if not isinstance(value, str):
        return  # the frame has reported it
    try:
        good = len(value) <= 20 and version_number(value) <= MAX_VERSION
    except ValueError:
        good = False
    if not good:
        yield _error("config-version", value, "r and a number, such as r12")


def _time_errors(path: str, value: object, above: float = -1.0, most: float = float("inf")) -> Iterator[str]:
    """The error of a time that is not above `above` seconds or is above `most`; a missing one has none."""
    if not isinstance(value, str) or not value:
        return  # the shape has reported it where one is wanted
    try:
        found = seconds(value)
    except ValueError:
        yield _error(path, value, "a time such as 1500ms or 2.5s")
        return
    if found > most:
        yield _error(path, value, f"at most {most:g}s")
    elif found <= above or not isfinite(found):
        yield _error(path, value, "a time above 0, and not without end")


def _service_errors(services: list[object], names: set[str]) -> Iterator[str]:
    """Errors of services; the names of all go into `names`, so that an invalid one is reported once."""
    for index, service in enumerate(services):
        path = f"services[{index}]"
        yield from _schema_errors(SERVICE, service, path)
        if not isinstance(service, dict):
            continue
        yield from _time_errors(f"{path}.cold-start", service.get("cold-start"))
        name = service.get("name")
        if isinstance(name, str):
            if name in names:
                yield _error(f"{path}.name", name, "each service once")
            names.add(name)


def _route_errors(routes: list[object], names: set[str]) -> Iterator[str]:
    first_index: dict[tuple[bytes, bytes], int] = {}
    for index, route in enumerate(routes):
        path = f"routes[{index}]"
        shape_errors = _schema_errors(ROUTE, route, path)
        if shape_errors:
            yield from shape_errors
        elif isinstance(route, dict):
            yield from _rule_errors(route, path, names)
            yield from _duplicate_errors(route, index, first_index)


def _rule_errors(route: dict[str, object], path: str, names: set[str]) -> Iterator[str]:
    """What a schema cannot state, of one route of the right shape."""
    prefix = route["path-prefix"]
    if isinstance(prefix, str) and not (prefix.startswith("/") and prefix.endswith("/")):
        yield _error(f"{path}.path-prefix", prefix, "a path that begins and ends with a slash")
    yield from _time_errors(f"{path}.timeout", route["timeout"], 0.0, MAX_TIMEOUT_S)
    yield from _time_errors(f"{path}.target-latency", route.get("target-latency"))
    service, split = route.get("target-service"), route.get("traffic-split")
    if (service is None) == (split is None):
        found = "neither" if service is None else "both"
        yield f"{path}: found {found} of target-service and traffic-split, wanted one of them"
    elif isinstance(split, list):
        yield from _split_errors(split, f"{path}.traffic-split", names)
    elif service not in names:
        yield _error(f"{path}.target-service", service, "the name of a service in services")


def _split_errors(split: list[dict[str, object]], path: str, names: set[str]) -> Iterator[str]:
    total = 0.0
    for index, share in enumerate(split):
        name, weight = share["target-service"], share["weight"]
        if name not in names:
            yield _error(f"{path}[{index}].target-service", name, "the name of a service in services")
        if not isinstance(weight, int | float) or not 0 <= weight <= 1e300:
            yield _error(f"{path}[{index}].weight", weight, "0 or more")
        else:
            total += weight
    if not 0 < total < float("inf"):
        yield f"{path}: found weights with a sum of {total:g}, wanted a sum above 0"


def _duplicate_errors(
    route: dict[str, object], index: int, first_index: dict[tuple[bytes, bytes], int]
) -> Iterator[str]:
    """A host and prefix stand for one route only: which of two were meant could not be told."""
    try:
        key = bare_host(str(route["hostname"]).encode()), str(route["path-prefix"]).encode()
    except UnicodeEncodeError:
        yield f"routes[{index}]: found half a character in hostname or path-prefix, wanted text"
        return
    first = first_index.setdefault(key, index)
    if first != index:
        wanted = f"one that routes[{first}] of the same host has not"
        yield _error(f"routes[{index}].path-prefix", route["path-prefix"], wanted)
