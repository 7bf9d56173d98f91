"""Reads and checks the settings file that a process of the mesh is started with.

Theory of operation. The file is YAML; its content becomes one plain object with all times in seconds. An
unknown field is ignored, because the file may grow. A required field is either read or rejected with a
SettingsError, which names the file, the key, the actual value and the expected one. A bound that cannot be
parsed is kept in `unknown_bounds` and does not stop the process; looking it up by name then raises
SettingsError.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from honeywharf.mesh_config.quantities import address, ipv4, number, seconds

TYPE_CHECKING = False  # Importing `typing` costs 1.3 MB in each process.
if TYPE_CHECKING:
    from typing import TypeVar

    T = TypeVar("T")

#: These entries of `listen-addresses` must be addresses; any other entry is ignored if it is not one.
REQUIRED_ADDRESSES = ("inbound", "outbound", "readiness", "control-plane")
MAX_BYTES = 1 << 20  # A settings file has some 2 KiB.
BOOLEAN_BOUNDS = {"true": 1.0, "false": 0.0}


class SettingsError(ValueError):
    """A settings file cannot be used; the text names the file, the key, the actual and the expected value."""

    def __init__(self, file: str, key: str, got: str, expected: str) -> None:
        """The parts are texts for the operator; `key` is a path such as `limits.memory-mb`."""
        super().__init__(f"{file}: {key}: expected {expected}, got {got}")
        self.file = file
        self.key = key


class Settings:
    """The settings of one process. Times are seconds; addresses are pairs (IPv4 address, port)."""

    __slots__ = (
        "application",
        "bounds",
        "config_mode",
        "contracts",
        "cpu_cores",
        "cpu_share",
        "data_directory",
        "disk_mb",
        "file",
        "gateways",
        "heartbeat_s",
        "initial_start",
        "internal_ports",
        "ip",
        "link_mbps",
        "listen_addresses",
        "loss_counted",
        "machine_class",
        "machine_failures",
        "max_file_descriptors",
        "memory_mb",
        "node_name",
        "region",
        "role",
        "seeds",
        "serves",
        "service",
        "unknown_bounds",
        "zone",
        "zone_failures",
        "zones",
    )

    file: str  # The path of the file, for errors.
    node_name: str
    role: str
    machine_class: str
    serves: list[str]
    ip: str
    zone: str
    region: str
    zones: dict[str, str]  # The region of each zone.
    listen_addresses: dict[str, tuple[str, int]]  # The addresses by name; see REQUIRED_ADDRESSES.
    internal_ports: tuple[int, int]  # The first and the last port that the mesh may use internally.
    seeds: list[tuple[str, int]]
    gateways: list[tuple[tuple[str, int], str, str]]  # The address, region and zone of each gateway.
    initial_start: bool
    loss_counted: bool
    memory_mb: float
    max_file_descriptors: int
    cpu_share: float
    cpu_cores: float
    link_mbps: float
    disk_mb: float
    data_directory: str | None
    heartbeat_s: float
    contracts: list[str]
    machine_failures: int
    zone_failures: int
    bounds: dict[str, float]  # Times are in seconds; true and false are 1.0 and 0.0.
    unknown_bounds: list[str]  # The lines that could not be parsed as bounds.
    config_mode: str
    application: tuple[str, int] | None
    service: str | None

    def bound(self, name: str, default: float | None = None) -> float:
        """Returns a bound by name, in seconds or as a number.

        Raises SettingsError if it is missing and has no default.
        """
        value = self.bounds.get(name, default)
        if value is None:
            raise SettingsError(self.file, f"bounds.{name}", "nothing", "a time or a number")
        return value


class _FieldReader:
    """Reads fields from one mapping of the file; an invalid one raises SettingsError."""

    __slots__ = ("file", "prefix", "values")

    def __init__(self, file: str, key_prefix: str, values: Mapping[object, object]) -> None:
        self.file = file
        self.prefix = key_prefix
        self.values = values

    def error(self, key: str, got: object, expected: str) -> SettingsError:
        shown = "nothing" if got is None else repr(got)
        if len(shown) > 80:
            shown = shown[:77] + "..."
        return SettingsError(self.file, self.prefix + key, shown, expected)

    def read(self, key: str, convert: Callable[[object], T], expected: str) -> T:
        """Returns a required field."""
        value = self.values.get(key)
        try:
            return convert(value)
        except (ValueError, TypeError):
            raise self.error(key, value, expected) from None

    def read_optional(self, key: str, convert: Callable[[object], T], expected: str, default: T) -> T:
        """Returns a field that may be missing or null."""
        return default if self.values.get(key) is None else self.read(key, convert, expected)

    def nested(self, key: str) -> _FieldReader:
        """Returns a reader for the mapping under a key."""
        return _FieldReader(self.file, f"{self.prefix}{key}.", self.read(key, _mapping, "a mapping"))


def _mapping(value: object) -> Mapping[object, object]:
    if not isinstance(value, dict):
        raise ValueError
    return value


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError
    return value


def _boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError
    return value


def _amount(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < float("inf"):
        raise ValueError
    return float(value)


def _count(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError
    return value


def _texts(value: object) -> list[str]:
    if not isinstance(value, list):
        raise ValueError
    return [_text(each) for each in value]


def _gateways(value: object) -> list[tuple[tuple[str, int], str, str]]:
    if not isinstance(value, list) or not all(isinstance(each, dict) for each in value):
        raise ValueError
    rows = [[each.get(name) for name in ("address", "region", "zone")] for each in value]
    return [(address(location), _text(region), _text(zone)) for location, region, zone in rows]


def _addresses(value: object) -> list[tuple[str, int]]:
    if not isinstance(value, list):
        raise ValueError
    return [address(each) for each in value]


def _port_range(value: object) -> tuple[int, int]:
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError
    first, last = _count(value[0]), _count(value[1])
    if not 0 < first <= last < 65536:
        raise ValueError
    return first, last


def _lines(value: object) -> list[str]:
    """Returns a list of texts, which may also be written as one text separated by commas."""
    if isinstance(value, str):
        return [part.strip() for part in value.split(",") if part.strip()]
    if not isinstance(value, list):
        raise ValueError
    return [str(each) for each in value]


def _bound(text: str) -> float:
    if text in BOOLEAN_BOUNDS:
        return BOOLEAN_BOUNDS[text]
    return seconds(text) if text.endswith("s") else number(text)


def _bounds(lines: list[str]) -> tuple[dict[str, float], list[str]]:
    """Returns the bounds by name, and the lines that could not be parsed."""
    bounds: dict[str, float] = {}
    unknown = []
    for line in lines:
        name, _, value = line.partition("=")
        try:
            bounds[name.strip()] = _bound(value.strip())
        except ValueError:
            unknown.append(line)
    return bounds, unknown


def _listen_addresses(field: _FieldReader) -> dict[str, tuple[str, int]]:
    """Returns the listen addresses by name; an unknown name may have a value that is not an address."""
    addresses = {}
    for name, value in field.values.items():
        if name in REQUIRED_ADDRESSES:
            addresses[str(name)] = field.read(str(name), address, "an address such as '10.1.0.8:8300'")
            continue
        try:
            addresses[str(name)] = address(value)
        except ValueError:
            continue
    return addresses


def _read_identity(settings: Settings, top: _FieldReader) -> None:
    """Reads the names of the process, its zone and its region."""
    settings.node_name = top.read("node-name", _text, "a name")
    settings.role = top.read("role", _text, "a name")
    settings.machine_class = top.read_optional("machine-class", _text, "a name", "")
    settings.serves = top.read_optional("serves", _texts, "a list of names", [])
    settings.ip = top.read("ip-address", ipv4, "an IPv4 address")
    settings.zone = top.read("zone", _text, "a name")
    zones = top.nested("zones")
    settings.zones = {
        str(zone): zones.read(str(zone), _text, "the name of a region") for zone in zones.values
    }
    settings.region = top.read_optional("region", _text, "a name", settings.zones.get(settings.zone, ""))
    settings.application = top.read_optional("application", address, "an address", None)
    settings.service = top.read_optional("target-service", _text, "a name", None)


def _read_addresses(settings: Settings, top: _FieldReader) -> None:
    """Reads addresses, ports and the data directory."""
    settings.listen_addresses = _listen_addresses(top.nested("listen-addresses"))
    settings.internal_ports = top.read(
        "internal-port-range", _port_range, "two ports, the first not above the second"
    )
    settings.seeds = top.read("seed-nodes", _addresses, "a list of addresses")
    settings.gateways = top.read_optional("gateways", _gateways, "a list of {address, region, zone}", [])
    settings.initial_start = top.read("initial-start", _boolean, "true or false")
    settings.loss_counted = top.read_optional("loss-counted", _boolean, "true or false", False)
    settings.data_directory = top.read_optional("data-directory", _text, "a path, or null", None)


def _read_limits(settings: Settings, top: _FieldReader) -> None:
    """Reads the limits of the machine, and the number of tolerated failures."""
    limits = top.nested("limits")
    settings.memory_mb = limits.read("memory-mb", _amount, "megabytes")
    settings.max_file_descriptors = limits.read("max-file-descriptors", _count, "a whole number")
    settings.cpu_share = limits.read_optional("cpu-share", _amount, "a share of a core", 1.0)
    settings.cpu_cores = limits.read_optional("cpu-cores", _amount, "a number", 1.0)
    settings.link_mbps = limits.read_optional("link-mbps", _amount, "megabits a second", 1000.0)
    settings.disk_mb = limits.read_optional("disk-mb", _amount, "megabytes", 0.0)
    tolerance = top.nested("fault-tolerance")
    settings.machine_failures = tolerance.read("machine-failures", _count, "a whole number")
    settings.zone_failures = tolerance.read_optional("zones", _count, "a whole number", 0)


def _read_rules(settings: Settings, top: _FieldReader) -> None:
    """Reads the contracts in force, and the bounds."""
    settings.heartbeat_s = top.read("heartbeat-interval", seconds, "a time such as '1300ms'")
    settings.contracts = top.read_optional("contracts", _texts, "a list of names", [])
    settings.config_mode = top.read_optional("config-mode", _text, "a name", "highest")
    settings.bounds, settings.unknown_bounds = _bounds(
        top.read_optional("bounds", _lines, "a list of texts name=value", [])
    )


def _load_yaml(text: str, file: str) -> _FieldReader:
    """Returns a reader for the top-level mapping of the file."""
    import yaml  # Imported late, so that a module that needs only the classes does not load it.

    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)  # The C loader takes a tenth of the time.
    try:
        document = yaml.load(text, Loader=loader)  # Both loaders build plain values only.
    except (yaml.YAMLError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark is not None else "the file"
        raise SettingsError(file, place, str(getattr(error, "problem", None) or error), "YAML") from None
    if not isinstance(document, dict):
        raise SettingsError(file, "the file", type(document).__name__, "a mapping of settings")
    return _FieldReader(file, "", document)


def parse(text: str, file: str = "settings") -> Settings:
    """Returns the settings in a file's text; errors name `file`. Raises SettingsError for invalid ones."""
    if len(text) > MAX_BYTES:
        raise SettingsError(file, "the file", f"{len(text)} characters", f"at most {MAX_BYTES}")
    top = _load_yaml(text, file)
    settings = Settings()
    settings.file = file
    _read_identity(settings, top)
    _read_addresses(settings, top)
    _read_limits(settings, top)
    _read_rules(settings, top)
    return settings


def load(path: str) -> Settings:
    """Returns the settings in the file at `path`. Raises SettingsError if it cannot be read or is invalid."""
    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_BYTES + 1)
        return parse(raw.decode("utf-8"), path)
    except OSError as error:
        reason = error.strerror or str(error)
        raise SettingsError(path, "the file", reason, "a file that can be read") from None
    except UnicodeDecodeError:
        raise SettingsError(path, "the file", "bytes that are not UTF-8", "YAML in UTF-8") from None
