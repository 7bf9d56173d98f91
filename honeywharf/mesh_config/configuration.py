"""Validation of configurations: the shape by a schema, then the rules that a schema cannot express.

Theory of operation. A configuration is accepted as a whole or not at all, and its text is kept byte for byte
as it was sent; unknown fields are accepted, because the format may grow. Each route is checked separately,
first its shape, then its rules, so that an invalid route does not hide the errors of the next one. An error
is one line: the path in the JSON, the expected value, and the actual one. Only the control plane and the
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

MAX_BYTES = 8 << 20  # This is enough for some 35,000 routes; a larger text is not read.
MAX_VERSION = 2**63 - 1  # Versions are sent between processes as 64-bit integers.
MAX_TIMEOUT_S = 600.0
MAX_REGIONS = 64  # A route may name at most this many regions.
MAX_ERRORS = 5  # The answer to an invalid configuration names at most this many errors.
MAX_SHOWN = 60  # An error shows at most this many characters of the actual value.
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
    """A valid configuration. `text` is the text as it was sent; `digest` is computed from it."""

    version: int
    digest: str
    text: bytes = attrs.field(repr=False)


def digest(text: bytes) -> str:
    """Returns the digest that identifies a text: the first 32 hexadecimal digits of its SHA-256."""
    return hashlib.sha256(text).hexdigest()[:32]


def check(raw: bytes) -> Result[Configuration, str]:
    """Returns the configuration in `raw`, or at most `MAX_ERRORS` of its errors, separated by semicolons."""
    document = _parse(raw)
    if isinstance(document, Err):
        return document
    errors = list(islice(_errors(document.ok_value), MAX_ERRORS))
    if errors:
        return Err("; ".join(errors))
    return Ok(Configuration(version_number(document.ok_value["config-version"]), digest(raw), raw))


def errors(raw: bytes) -> Iterator[str]:
    """Yields every error of the configuration in `raw`, one line each."""
    document = _parse(raw)
    if isinstance(document, Err):
        yield document.err_value
    else:
        yield from _errors(document.ok_value)


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name}, which is not JSON")


def _parse(raw: bytes) -> Result[dict[str, object], str]:
    """Returns the JSON object in the text."""
    if len(raw) > MAX_BYTES:
        return Err(f"the text: expected at most {MAX_BYTES} bytes, got {len(raw)}")
    try:
        document = json.loads(raw.decode("utf-8"), parse_constant=_reject_constant)
    except UnicodeDecodeError as error:
        return Err(f"the text: expected JSON in UTF-8, got a byte that is not UTF-8 at {error.start}")
    except json.JSONDecodeError as error:
        got = f"{error.msg.removesuffix(' at')} at character {error.pos} ({len(raw)} bytes in total)"
        return Err(f"the text: expected complete JSON, got {got}")
    except (ValueError, RecursionError) as error:  # NaN, overlong numbers or excessive nesting.
        return Err(f"the text: expected JSON, got {_shown(str(error))}")
    if not isinstance(document, dict):
        return Err(f"the text: expected an object, got {_shown(document)}")
    return Ok(document)


def _shown(value: object) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    text = text.encode("ascii", "backslashreplace").decode()
    return text if len(text) <= MAX_SHOWN else text[: MAX_SHOWN - 3] + "..."


def _error(path: str, got: object, expected: str) -> str:
    shown = "nothing" if got is None else _shown(json.dumps(got) if isinstance(got, str) else got)
    return f"{path}: expected {expected}, got {shown}"


def _json_path(start: str, path: Iterable[str | int]) -> str:
    joined = start
    for step in path:
        if isinstance(step, int):
            joined += f"[{step}]"
        else:
            joined += f".{step}" if joined else step
    return joined


def _alternatives(expected: object) -> str:
    return (
        str(expected) if isinstance(expected, str) else " or ".join(str(each) for each in _as_list(expected))
    )


def _as_list(value: object) -> list[object]:
    return list(value) if isinstance(value, list | tuple) else []


def _expected(keyword: str, value: object) -> str:
    """Describes the expected value, from the violated keyword of the schema and the keyword's value."""
    if keyword == "minimum":
        return f"{value} or more"
    if keyword == "minLength":
        return "a text that is not empty"
    return "a path that begins with a slash" if keyword == "pattern" else _alternatives(value)


def _schema_error_lines(error: ValidationError, start: str) -> Iterator[str]:
    """Yields the lines for one error that the schema reports."""
    path = _json_path(start, error.absolute_path)
    if error.validator == "required":
        for key in _as_list(error.validator_value):
            if isinstance(error.instance, dict) and key not in error.instance:
                yield f"{_json_path(path, [str(key)])}: expected a value, got nothing"
        return
    yield _error(path, error.instance, _expected(str(error.validator), error.validator_value))


def _schema_errors(validator: Draft202012Validator, value: object, start: str) -> list[str]:
    """Returns the errors of shape, each once: the schema reports all missing fields for each of them."""
    lines: dict[str, None] = {}
    for error in validator.iter_errors(value):
        for line in _schema_error_lines(error, start):
            lines[line] = None
    return list(lines)


def _errors(document: dict[str, object]) -> Iterator[str]:
    """Yields every error: those of the top level first, then those of services, then those of routes."""
    top_level = _schema_errors(DOCUMENT, document, "")
    yield from top_level
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
        return  # The check of the top level reports this.
    try:
        is_valid = len(value) <= 20 and version_number(value) <= MAX_VERSION
    except ValueError:
        is_valid = False
    if not is_valid:
        yield _error("config-version", value, "r and a number, such as r12")


def _time_errors(path: str, value: object, above: float = -1.0, most: float = float("inf")) -> Iterator[str]:
    """Yields an error for a time up to `above` seconds or over `most` seconds; none if it is missing."""
    if not isinstance(value, str) or not value:
        return  # The check of the shape reports a missing time that is required.
    try:
        time_s = seconds(value)
    except ValueError:
        yield _error(path, value, "a time such as 1500ms or 2.5s")
        return
    if time_s > most:
        yield _error(path, value, f"at most {most:g}s")
    elif time_s <= above or not isfinite(time_s):
        yield _error(path, value, "a finite time above 0")


def _service_errors(services: list[object], names: set[str]) -> Iterator[str]:
    """Yields errors of services; adds all their names to `names`, so that an invalid one is reported once."""
    for index, service in enumerate(services):
        path = f"services[{index}]"
        yield from _schema_errors(SERVICE, service, path)
        if not isinstance(service, dict):
            continue
        yield from _time_errors(f"{path}.cold-start", service.get("cold-start"))
        name = service.get("name")
        if isinstance(name, str):
            if name in names:
                yield _error(f"{path}.name", name, "a name that no other service has")
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
    """Yields errors of a route of valid shape against the rules that a schema cannot express."""
    prefix = route["path-prefix"]
    if isinstance(prefix, str) and not (prefix.startswith("/") and prefix.endswith("/")):
        yield _error(f"{path}.path-prefix", prefix, "a path that begins and ends with a slash")
    yield from _time_errors(f"{path}.timeout", route["timeout"], 0.0, MAX_TIMEOUT_S)
    yield from _time_errors(f"{path}.target-latency", route.get("target-latency"))
    service, split = route.get("target-service"), route.get("traffic-split")
    if (service is None) == (split is None):
        got = "neither" if service is None else "both"
        yield f"{path}: expected one of target-service and traffic-split, got {got}"
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
        yield f"{path}: expected weights with a finite sum above 0, got a sum of {total:g}"


def _duplicate_errors(
    route: dict[str, object], index: int, first_index: dict[tuple[bytes, bytes], int]
) -> Iterator[str]:
    """Yields an error for the host and prefix of an earlier route, because a lookup would be ambiguous."""
    try:
        key = bare_host(str(route["hostname"]).encode()), str(route["path-prefix"]).encode()
    except UnicodeEncodeError:
        yield f"routes[{index}]: expected valid text in hostname and path-prefix, got half a character"
        return
    first = first_index.setdefault(key, index)
    if first != index:
        expected = f"another prefix than routes[{first}] of the same host"
        yield _error(f"routes[{index}].path-prefix", route["path-prefix"], expected)
