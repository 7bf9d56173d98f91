"""The settings file that a process of the mesh is started with, read and checked.

Theory of operation. The file is YAML; what is read becomes one plain object with every time in seconds. A
field that is not known is ignored, for the file may grow. A field that a process cannot do without is either
read or refused: the refusal names the file, the key, what was found and what was wanted. A bound that is not
understood is kept aside in `unread` and does not stop the process; asking for it by name then tells that it
is not there.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from honeywharf.mesh_config.quantities import address, ipv4, number, seconds

TYPE_CHECKING = False  # as a type checker knows it, without the memory of `typing`
if TYPE_CHECKING:
    from typing import TypeVar

    T = TypeVar("T")

#: The addresses of ours that must be addresses; what else `listen-addresses` holds is kept where it is one.
LISTENS = ("inbound", "outbound", "readiness", "control-plane")
MAX_BYTES = 1 << 20  # a settings file is some 2 KiB; what is larger is not one
WORDS = {"true": 1.0, "false": 0.0}


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
        "fds",
        "file",
        "gateways",
        "heartbeat_s",
        "initial_start",
        "ip",
        "link_mbps",
        "listen",
        "loss_counted",
        "machine_class",
        "machine_failures",
        "memory_mb",
        "node_name",
        "ports",
        "region",
        "role",
        "seeds",
        "serves",
        "service",
        "unread",
        "zone",
        "zone_failures",
        "zones",
    )

    file: str  # where it was read from, for refusals
    node_name: str
    role: str
    machine_class: str
    serves: list[str]
    ip: str
    zone: str
    region: str
    zones: dict[str, str]  # region by zone
    listen: dict[str, tuple[str, int]]  # by what it is for: see LISTENS
    ports: tuple[int, int]  # first and last of those free for the mesh itself
    seeds: list[tuple[str, int]]
    gateways: list[tuple[tuple[str, int], str, str]]  # address, region, zone
    initial_start: bool
    loss_counted: bool
    memory_mb: float
    fds: int
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
    unread: list[str]  # bounds that were not understood, as they stand
    config_mode: str
    application: tuple[str, int] | None
    service: str | None

    def bound(self, name: str, default: float | None = None) -> float:
        """A bound by name: seconds, or its number. SettingsError where it is missing and has no default."""
        found = self.bounds.get(name, default)
        if found is None:
            raise SettingsError(self.file, f"bounds.{name}", "nothing", "a time or a number")
        return found


class _Field:
    """Reads fields out of one mapping of the file and makes refusals of what is wrong."""

    __slots__ = ("file", "inside", "values")

    def __init__(self, file: str, inside: str, values: Mapping[object, object]) -> None:
        self.file = file
        self.inside = inside
        self.values = values

    def refusal(self, key: str, found: object, wanted: str) -> SettingsError:
        shown = "nothing" if found is None else repr(found)
        if len(shown) > 80:
            shown = shown[:77] + "..."
        return SettingsError(self.file, self.inside + key, shown, wanted)

    def read(self, key: str, how: Callable[[object], T], wanted: str) -> T:
        """A field that must be there."""
        found = self.values.get(key)
        try:
            return how(found)
        except (ValueError, TypeError):
            raise self.refusal(key, found, wanted) from None

    def maybe(self, key: str, how: Callable[[object], T], wanted: str, default: T) -> T:
        """A field that may be missing or null."""
        return default if self.values.get(key) is None else self.read(key, how, wanted)

    def within(self, key: str) -> _Field:
        """The mapping under a key."""
        return _Field(self.file, f"{self.inside}{key}.", self.read(key, _mapping, "a mapping"))


def _mapping(value: object) -> Mapping[object, object]:
    if not isinstance(value, dict):
        raise ValueError
    return value


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError
    return value


def _truth(value: object) -> bool:
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


def _span(value: object) -> tuple[int, int]:
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
    if text in WORDS:
        return WORDS[text]
    return seconds(text) if text.endswith("s") else number(text)


def _bounds(lines: list[str]) -> tuple[dict[str, float], list[str]]:
    """Bounds by name, and the lines that were not understood."""
    read: dict[str, float] = {}
    unread = []
    for line in lines:
        name, _, value = line.partition("=")
        try:
            read[name.strip()] = _bound(value.strip())
        except ValueError:
            unread.append(line)
    return read, unread


def _listens(field: _Field) -> dict[str, tuple[str, int]]:
    """Our own addresses; a name that is not known may stand for something that is no address."""
    read = {}
    for name, value in field.values.items():
        if name in LISTENS:
            read[str(name)] = field.read(str(name), address, "an address such as '10.1.0.8:8300'")
            continue
        try:
            read[str(name)] = address(value)
        except ValueError:
            continue
    return read


def _who(to: Settings, top: _Field) -> None:
    """The names of the process and its place."""
    to.node_name = top.read("node-name", _text, "a name")
    to.role = top.read("role", _text, "a name")
    to.machine_class = top.maybe("machine-class", _text, "a name", "")
    to.serves = top.maybe("serves", _texts, "a list of names", [])
    to.ip = top.read("ip-address", ipv4, "an IPv4 address")
    to.zone = top.read("zone", _text, "a name")
    zones = top.within("zones")
    to.zones = {str(zone): zones.read(str(zone), _text, "the name of a region") for zone in zones.values}
    to.region = top.maybe("region", _text, "a name", to.zones.get(to.zone, ""))
    to.application = top.maybe("application", address, "an address", None)
    to.service = top.maybe("target-service", _text, "a name", None)


def _where(to: Settings, top: _Field) -> None:
    """Addresses, ports and the disk."""
    to.listen = _listens(top.within("listen-addresses"))
    to.ports = top.read("internal-port-range", _span, "two ports, the first not above the second")
    to.seeds = top.read("seed-nodes", _addresses, "a list of addresses")
    to.gateways = top.maybe("gateways", _gateways, "a list of {address, region, zone}", [])
    to.initial_start = top.read("initial-start", _truth, "true or false")
    to.loss_counted = top.maybe("loss-counted", _truth, "true or false", False)
    to.data_directory = top.maybe("data-directory", _text, "a path, or null", None)


def _how_much(to: Settings, top: _Field) -> None:
    """Limits of the machine, and what may be lost."""
    limits = top.within("limits")
    to.memory_mb = limits.read("memory-mb", _amount, "megabytes")
    to.fds = limits.read("max-file-descriptors", _count, "a whole number")
    to.cpu_share = limits.maybe("cpu-share", _amount, "a share of a core", 1.0)
    to.cpu_cores = limits.maybe("cpu-cores", _amount, "a number", 1.0)
    to.link_mbps = limits.maybe("link-mbps", _amount, "megabits a second", 1000.0)
    to.disk_mb = limits.maybe("disk-mb", _amount, "megabytes", 0.0)
    losses = top.within("fault-tolerance")
    to.machine_failures = losses.read("machine-failures", _count, "a whole number")
    to.zone_failures = losses.maybe("zones", _count, "a whole number", 0)


def _rules(to: Settings, top: _Field) -> None:
    """What is in force, and its figures."""
    to.heartbeat_s = top.read("heartbeat-interval", seconds, "a time such as '1300ms'")
    to.contracts = top.maybe("contracts", _texts, "a list of names", [])
    to.config_mode = top.maybe("config-mode", _text, "a name", "highest")
    to.bounds, to.unread = _bounds(top.maybe("bounds", _lines, "a list of texts name=value", []))


def _loaded(text: str, file: str) -> _Field:
    """The file as one mapping."""
    import yaml  # within, so that what uses the class alone does not pay for it

    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)  # the one in C takes a tenth of the time
    try:
        found = yaml.load(text, Loader=loader)  # both build plain values only
    except (yaml.YAMLError, RecursionError) as fault:
        mark = getattr(fault, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark is not None else "the file"
        raise SettingsError(file, place, str(getattr(fault, "problem", None) or fault), "YAML") from None
    if not isinstance(found, dict):
        raise SettingsError(file, "the file", type(found).__name__, "a mapping of settings")
    return _Field(file, "", found)


def parse(text: str, file: str = "settings") -> Settings:
    """Settings out of a file's text; `file` is for refusals. SettingsError where they cannot be used."""
    if len(text) > MAX_BYTES:
        raise SettingsError(file, "the file", f"{len(text)} characters", f"at most {MAX_BYTES}")
    top = _loaded(text, file)
    read = Settings()
    read.file = file
    _who(read, top)
    _where(read, top)
    _how_much(read, top)
    _rules(read, top)
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
