"""The settings file that a process of the mesh is started with, read and checked.

Theory of operation. The file is YAML; what is read becomes one plain object with every time in seconds. A
field that is not known is ignored, for the file may grow. A required field is either read or rejected with
a SettingsError, which names the file, the key, what was found and what was wanted. A bound that is not
understood is kept in `unknown_bounds` and does not stop the process; asking for it by name then raises
SettingsError.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from honeywharf.mesh_config.quantities import address, ipv4, number, seconds

TYPE_CHECKING = False  # `typing` is 1.3 MB in each process
if TYPE_CHECKING:
    from typing import TypeVar

    T = TypeVar("T")

#: The addresses of ours that must be addresses; what else `listen-addresses` holds is kept where it is one.
REQUIRED_ADDRESSES = ("inbound", "outbound", "readiness", "control-plane")
MAX_BYTES = 1 << 20  # a settings file is some 2 KiB; what is larger is not one
BOOLEAN_BOUNDS = {"true": 1.0, "false": 0.0}


class SettingsError(ValueError):
    """A settings file that cannot be used; the text names file, key, found and wanted."""

    def __init__(self, file: str, key: str, found: str, wanted: str) -> None:
        """Each part as text for the operator; `key` is a path such as `limits.memory-mb`."""
        super().__init__(f"{file}: {key}: found {found}, wanted {wanted}")
        self.file = file
        self.key = key


class Settings:
    """One process's settings. Times are seconds, addresses are (IPv4 in dots, port)."""

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

    file: str  # where it was read from, for errors
    node_name: str
    role: str
    machine_class: str
    serves: list[str]
    ip: str
    zone: str
    region: str
    zones: dict[str, str]  # region by zone
    listen_addresses: dict[str, tuple[str, int]]  # by what it is for: see LISTENS
    internal_ports: tuple[int, int]  # first and last of those free for the mesh itself
    seeds: list[tuple[str, int]]
    gateways: list[tuple[tuple[str, int], str, str]]  # address, region, zone
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
    bounds: dict[str, float]  # times in seconds, truths as 1.0 and 0.0
    unknown_bounds: list[str]  # bounds that were not understood, as they stand
    config_mode: str
    application: tuple[str, int] | None
    service: str | None

    def bound(self, name: str, default: float | None = None) -> float:
        """A bound by name: seconds, or its number. SettingsError where it is missing and has no default."""
        found = self.bounds.get(name, default)
        if found is None:
            raise SettingsError(self.file, f"bounds.{name}", "nothing", "a time or a number")
        return found


class _FieldReader:
    """Reads fields out of one mapping of the file; what is wrong raises SettingsError."""

    __slots__ = ("file", "prefix", "values")

    def __init__(self, file: str, inside: str, values: Mapping[object, object]) -> None:
        self.file = file
        self.prefix = inside
        self.values = values

    def error(self, key: str, found: object, wanted: str) -> SettingsError:
        shown = "nothing" if found is None else repr(found)
        if len(shown) > 80:
            shown = shown[:77] + "..."
        return SettingsError(self.file, self.prefix + key, shown, wanted)

    def read(self, key: str, how: Callable[[object], T], wanted: str) -> T:
        """A required field."""
        found = self.values.get(key)
        try:
            return how(found)
        except (ValueError, TypeError):
            raise self.error(key, found, wanted) from None

    def read_optional(self, key: str, how: Callable[[object], T], wanted: str, default: T) -> T:
        """A field that may be missing or null."""
        return default if self.values.get(key) is None else self.read(key, how, wanted)

    def nested(self, key: str) -> _FieldReader:
        """The mapping under a key."""
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
    return [(address(at), _text(region), _text(zone)) for at, region, zone in rows]


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
    """A list of texts; in a file of lines, one line separated by commas."""
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
    """Bounds by name, and the lines that were not understood."""
    read: dict[str, float] = {}
    unknown = []
    for line in lines:
        name, _, value = line.partition("=")
        try:
            read[name.strip()] = _bound(value.strip())
        except ValueError:
            unknown.append(line)
    return read, unknown


def _listen_addresses(field: _FieldReader) -> dict[str, tuple[str, int]]:
    """Our own addresses; a name that is not known may stand for something that is no address."""
    read = {}
    for name, value in field.values.items():
        if name in REQUIRED_ADDRESSES:
            read[str(name)] = field.read(str(name), address, "an address such as '10.1.0.8:8300'")
            continue
        try:
            read[str(name)] = address(value)
        except ValueError:
            continue
    return read


def _read_identity(settings: Settings, top: _FieldReader) -> None:
    """The names of the process, its zone and region."""
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
    """Addresses, ports and the disk."""
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
    """Limits of the machine, and how many may fail."""
    limits = top.nested("limits")
    settings.memory_mb = limits.read("memory-mb", _amount, "megabytes")
    settings.max_file_descriptors = limits.read("max-file-descriptors", _count, "a whole number")
    settings.cpu_share = limits.read_optional("cpu-share", _amount, "a share of a core", 1.0)
    settings.cpu_cores = limits.read_optional("cpu-cores", _amount, "a number", 1.0)
    settings.link_mbps = limits.read_optional("link-mbps", _amount, "megabits a second", 1000.0)
    settings.disk_mb = limits.read_optional("disk-mb", _amount, "megabytes", 0.0)
    losses = top.nested("fault-tolerance")
    settings.machine_failures = losses.read("machine-failures", _count, "a whole number")
    settings.zone_failures = losses.read_optional("zones", _count, "a whole number", 0)


def _read_rules(settings: Settings, top: _FieldReader) -> None:
    """Contracts in force, and bounds."""
    settings.heartbeat_s = top.read("heartbeat-interval", seconds, "a time such as '1300ms'")
    settings.contracts = top.read_optional("contracts", _texts, "a list of names", [])
    settings.config_mode = top.read_optional("config-mode", _text, "a name", "highest")
    settings.bounds, settings.unknown_bounds = _bounds(
        top.read_optional("bounds", _lines, "a list of texts name=value", [])
    )


def _load_yaml(text: str, file: str) -> _FieldReader:
    """The file as one mapping."""
    import yaml  # imported here, so that who uses the class alone does not load it

    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)  # the one in C takes a tenth of the time
    try:
        found = yaml.load(text, Loader=loader)  # both build plain values only
    except (yaml.YAMLError, RecursionError) as fault:
        mark = getattr(fault, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark is not None else "the file"
        raise SettingsError(file, place, str(getattr(fault, "problem", None) or fault), "YAML") from None
    if not isinstance(found, dict):
        raise SettingsError(file, "the file", type(found).__name__, "a mapping of settings")
    return _FieldReader(file, "", found)


def parse(text: str, file: str = "settings") -> Settings:
    """Settings out of a file's text; `file`: its name for errors. SettingsError where they cannot be used."""
    if len(text) > MAX_BYTES:
        raise SettingsError(file, "the file", f"{len(text)} characters", f"at most {MAX_BYTES}")
    top = _load_yaml(text, file)
    read = Settings()
    read.file = file
    _read_identity(read, top)
    _read_addresses(read, top)
    _read_limits(read, top)
    _read_rules(read, top)
    return read


def load(path: str) -> Settings:
    """Settings out of the file at `path`. SettingsError where it cannot be read or used."""
    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_BYTES + 1)
        return parse(raw.decode("utf-8"), path)
    except OSError as fault:
        why = fault.strerror or str(fault)
        raise SettingsError(path, "the file", why, "a file that can be read") from None
    except UnicodeDecodeError:
        raise SettingsError(path, "the file", "bytes that are not UTF-8", "YAML in UTF-8") from None
