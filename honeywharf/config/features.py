"""The file of features: one TOML file of ours, decoded into typed values. All is off where none is given."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from honeywharf.config import words
from honeywharf.core.transport import address

VARIABLE = "HONEYWHARF_FEATURES"


class FeaturesError(Exception):
    """What is wrong with the file, in one line that names file, key, what was found and what is wanted."""


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[limits]`: how admission learns what servers can hold; see docs/operators/limits.md."""

    limiter: Literal["lateness", "open", "formerly", "gradient", "vegas", "aimd", "codel"] = "lateness"


Count = Annotated[int, msgspec.Meta(ge=1)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0)]


class Redis(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[order_keys.redis]`: the store that proxies share. The password lies in `password_file`."""

    url: str = "redis://127.0.0.1:6379"
    password_file: str = ""
    prefix: Annotated[str, msgspec.Meta(min_length=1, max_length=64)] = "honeywharf"
    wait_ms: Milliseconds = 100.0
    empty: Literal["wait", "trust"] = "wait"
    durable: bool = False


class OrderKeys(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[order_keys]`: idempotency keys known at the edge; see docs/operators/orderkeys.md."""

    store: Literal["off", "process", "redis"] = "off"
    entries: Count = 20_000
    bytes: Count = 32 * 1024 * 1024
    whole_answer_bytes: Annotated[int, msgspec.Meta(ge=0)] = 16 * 1024
    keep_ms: dict[str, Milliseconds] = {}
    alone: tuple[str, ...] = ()
    redis: Redis = msgspec.field(default_factory=Redis)


class Coap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[coap]`: CoAP clients over UDP; see docs/operators/coap.md. Off where no address is given."""

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
    """`[traces.otlp]`: a collector that speaks OTLP over HTTP. Off where no endpoint is given."""

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

    Off where neither a file nor a collector is named.
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
        """Whether traces are recorded at all."""
        return bool(self.file or self.otlp.endpoint)


class Admin(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[admin]`: the operators' socket; see docs/operators/admin.md. Off where no path is given."""

    socket: Annotated[str, msgspec.Meta(max_length=100)] = ""


class Metrics(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[metrics]`: figures for Prometheus; see docs/operators/metrics.md."""

    on: bool = False
    listen: str = ""


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: lines for the operator; see docs/operators/metrics.md."""

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


Sense = Callable[["Features"], Iterable[tuple[str, str]]]  # what only shows once all is read: key, and words


def load(path: Path, sense: Sense | None = None) -> Features:
    """The features that the file asks for; `FeaturesError` names the first thing that is wrong."""
    made, wrong = read(path, sense)
    if wrong:
        raise FeaturesError(wrong[0])
    return made


def read(path: Path, sense: Sense | None = None) -> tuple[Features, list[str]]:
    """The features that the file asks for, and a line for everything that is wrong with it.

    A line has the file, the line and column, the key, what was found and what is wanted. `sense` tells what
    the packages of the features find wrong; it is asked where the types are right.
    """
    try:
        text = path.read_text("utf-8")
        raw = tomllib.loads(text)
    except OSError as fault:
        return Features(), [f"{path}: {fault.strerror or fault}"]
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        return Features(), [f"{path}: not TOML: {fault}"]
    wrong = [words.located(path, text, str(fault), fault.where) for fault in words.faults(raw, Features)]
    if wrong:
        return Features(), wrong
    made = msgspec.convert(raw, Features)
    found = [*_senseless(made), *(sense(made) if sense is not None else ())]
    return made, [words.located(path, text, f"{key}: {told}", words.undotted(key)) for key, told in found]


def _senseless(made: Features) -> Iterator[tuple[str, str]]:
    """Addresses that are none."""
    one: Iterable[tuple[str, str]] = (
        ("traces.notes", made.traces.notes),
        ("coap.listen", made.coap.listen),
        ("metrics.listen", made.metrics.listen),
        *((f"traces.peers[{i}]", text) for i, text in enumerate(made.traces.peers)),
    )
    endpoint = made.traces.otlp.endpoint
    if endpoint and not re.fullmatch(r"https?://[^/@?#\s]+(/[^?#\s]*)?", endpoint):
        yield "traces.otlp.endpoint", f"found {endpoint!r}, wanted http://host:port/v1/traces"
    for name, text in one:
        if text:
            try:
                address(text)
            except ValueError:
                yield name, f"found {text!r}, wanted host:port, such as 127.0.0.1:4000"


def given(environ: Mapping[str, str], sense: Sense | None = None) -> Features | None:
    """The features of the file that the environment names; None where it names none."""
    path = environ.get(VARIABLE)
    return load(Path(path), sense) if path else None
