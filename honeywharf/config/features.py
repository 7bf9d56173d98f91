"""The file of features: a TOML file, decoded into typed values. Without a file every feature is off."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from honeywharf.config import file_errors
from honeywharf.core.transport import address

VARIABLE = "HONEYWHARF_FEATURES"


class FeaturesError(Exception):
    """An invalid file; the message is one line with the file, the key, and the expected and actual value."""


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[limits]`: the algorithm that estimates the limits of servers; see docs/operators/limits.md."""

    limiter: Literal["lateness", "open", "formerly", "gradient", "vegas", "aimd", "codel"] = "lateness"


Count = Annotated[int, msgspec.Meta(ge=1)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0)]


class Redis(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[order_keys.redis]`: the store that proxies share. The password is read from `password_file`."""

    url: str = "redis://127.0.0.1:6379"
    password_file: str = ""
    prefix: Annotated[str, msgspec.Meta(min_length=1, max_length=64)] = "honeywharf"
    wait_ms: Milliseconds = 100.0
    empty: Literal["wait", "trust"] = "wait"
    durable: bool = False


class OrderKeys(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[order_keys]`: idempotency keys, deduplicated by the proxy; see docs/operators/orderkeys.md."""

    store: Literal["off", "process", "redis"] = "off"
    entries: Count = 20_000
    bytes: Count = 32 * 1024 * 1024
    whole_answer_bytes: Annotated[int, msgspec.Meta(ge=0)] = 16 * 1024
    keep_ms: dict[str, Milliseconds] = {}
    alone: tuple[str, ...] = ()
    redis: Redis = msgspec.field(default_factory=Redis)


class Coap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[coap]`: CoAP clients over UDP; see docs/operators/coap.md. Off without a listen address."""

    listen: str = ""
    nodes: bool = False
    nstart: Count = 1
    probing_rate: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class Storms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[storms]`: retry and reconnect storms; see docs/operators/storms.md."""

    on: bool = False
    ratio: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.2
    names: Annotated[int, msgspec.Meta(ge=100, le=1_000_000)] = 20_000


class Otlp(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[traces.otlp]`: a collector that accepts OTLP over HTTP. Off without an endpoint."""

    endpoint: str = ""
    headers: dict[str, str] = {}
    wait_ms: Milliseconds = 2000.0
    queued: Count = 4000
    queued_bytes: Annotated[int, msgspec.Meta(ge=65_536)] = 8 * 1024 * 1024


class Reports(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[reports]`: load reports of nodes; see docs/operators/reports.md."""

    on: bool = False


class Traces(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[traces]`: traces with every attempt; see docs/operators/traces.md.

    Off without a file and a collector.
    """

    file: str = ""
    bytes: Annotated[int, msgspec.Meta(ge=65_536)] = 64 * 1024 * 1024
    rate: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.01
    quantile: Annotated[float, msgspec.Meta(ge=0.5, lt=1)] = 0.99
    trust: Literal["tier", "callers", "nobody"] = "tier"
    keep: str = ""
    hold_ms: Milliseconds = 10_000.0
    held: Count = 4000
    held_bytes: Annotated[int, msgspec.Meta(ge=65_536)] = 8 * 1024 * 1024
    notes: str = ""
    peers: tuple[str, ...] = ()
    otlp: Otlp = msgspec.field(default_factory=Otlp)

    @property
    def on(self) -> bool:
        """Returns whether traces are recorded."""
        return bool(self.file or self.otlp.endpoint)


class Admin(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[admin]`: the operators' socket; see docs/operators/admin.md. Off without a path."""

    socket: Annotated[str, msgspec.Meta(max_length=100)] = ""


class Metrics(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[metrics]`: metrics for Prometheus; see docs/operators/metrics.md."""

    on: bool = False
    listen: str = ""


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: the format and level of log lines; see docs/operators/metrics.md."""

    format: Literal["plain", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Features(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All sections of the file."""

    limits: Limits = msgspec.field(default_factory=Limits)
    order_keys: OrderKeys = msgspec.field(default_factory=OrderKeys)
    coap: Coap = msgspec.field(default_factory=Coap)
    storms: Storms = msgspec.field(default_factory=Storms)
    reports: Reports = msgspec.field(default_factory=Reports)
    traces: Traces = msgspec.field(default_factory=Traces)
    admin: Admin = msgspec.field(default_factory=Admin)
    metrics: Metrics = msgspec.field(default_factory=Metrics)
    log: Log = msgspec.field(default_factory=Log)


#: A check of all features together: yields the key and the message of each error.
FeatureCheck = Callable[["Features"], Iterable[tuple[str, str]]]


def load(path: Path, check: FeatureCheck | None = None) -> Features:
    """Reads the features of a file. Raises FeaturesError with the first error."""
    features, errors = read(path, check)
    if errors:
        raise FeaturesError(errors[0])
    return features


def read(path: Path, check: FeatureCheck | None = None) -> tuple[Features, list[str]]:
    """Reads the features of a file; returns them and a line for each error.

    A line has the file, the line and column, the key, and the expected and actual value. `check` is called
    only if all types match.
    """
    try:
        text = path.read_text("utf-8")
        raw = tomllib.loads(text)
    except OSError as error:
        return Features(), [f"{path}: {error.strerror or error}"]
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Features(), [f"{path}: not TOML: {error}"]
    errors = [
        file_errors.with_position(path, text, str(error), error.where)
        for error in file_errors.find_errors(raw, Features)
    ]
    if errors:
        return Features(), errors
    features = msgspec.convert(raw, Features)
    violations = [*_invalid_addresses(features), *(check(features) if check is not None else ())]
    return features, [
        file_errors.with_position(path, text, f"{key}: {message}", file_errors.parse_key_path(key))
        for key, message in violations
    ]


def _invalid_addresses(features: Features) -> Iterator[tuple[str, str]]:
    """Yields the key and the message of each invalid address."""
    addresses: Iterable[tuple[str, str]] = (
        ("traces.notes", features.traces.notes),
        ("coap.listen", features.coap.listen),
        ("metrics.listen", features.metrics.listen),
        *((f"traces.peers[{i}]", text) for i, text in enumerate(features.traces.peers)),
    )
    endpoint = features.traces.otlp.endpoint
    if endpoint and not re.fullmatch(r"https?://[^/@?#\s]+(/[^?#\s]*)?", endpoint):
        yield "traces.otlp.endpoint", f"expected http://host:port/v1/traces, got {endpoint!r}"
    for name, text in addresses:
        if text:
            try:
                address(text)
            except ValueError:
                yield name, f"expected host:port, such as 127.0.0.1:4000, got {text!r}"


def load_from_environment(environ: Mapping[str, str], check: FeatureCheck | None = None) -> Features | None:
    """Reads the features of the file that the environment names; returns None if it names none."""
    path = environ.get(VARIABLE)
    return load(Path(path), check) if path else None
