"""`honeywharf mesh`: check files of the mesh before they are used, and give a running mesh its orders.

Exit status: 0 done, or good; 1 no (faults, no route, a difference, refused by the mesh); 2 not known (a call
or file that is wrong, nobody who answers, an answer that leaves open whether an order is in force).
"""

from __future__ import annotations

import http.client
import json
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import quote, urlsplit

import cappa
from absl import logging

from honeywharf.cli import exit_status
from honeywharf.cli.exit_status import NEGATIVE, SUCCESS, UNKNOWN, MeshCallError
from honeywharf.mesh_config import changes, configuration, settings
from honeywharf.mesh_config.quantities import address
from honeywharf.mesh_config.routes import Route, RoutingTable

REDIRECTS = 2  # as many as the callers of the mesh follow
MAX_ANSWER = 64 << 20  # bytes of an answer that are read
OPEN = "What was ordered may be in force, or may not: send it again"
AGAIN = (408, 429)  # of the statuses that tell nothing for good

File = Annotated[str, cappa.Arg(help="A file; - is standard input.")]
At = Annotated[str, cappa.Arg(help="The control-plane address of a control node, such as 10.1.0.12:8306.")]
Zone = Annotated[str, cappa.Arg(help="A zone's name.")]
Within = Annotated[float, cappa.Arg(long=True, help="Seconds to wait for each answer.")]


#: How settings are printed where scripts of operators may know them by other names than the attributes have.
SHOWN_SETTINGS = {
    "internal_ports": "ports",
    "listen_addresses": "listen",
    "max_file_descriptors": "fds",
}
NOT_SHOWN_AS_SETTINGS = ("bounds", "unknown_bounds", "file")


@cappa.command(name="check", help="Tell every fault of a configuration, one a line.")
@dataclass
class Check:
    """`mesh check FILE`."""

    file: File

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        return _checked(self.file) or _told(self.file, _summary(_read(self.file)))


@cappa.command(name="settings", help="Tell what a settings file says, or its first fault.")
@dataclass
class ShowSettings:
    """`mesh settings FILE`."""

    file: File

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        try:
            found = settings.parse(_read(self.file).decode("utf-8"), self.file)
        except settings.SettingsError as fault:
            print(fault)
            return NEGATIVE
        except UnicodeDecodeError:
            print(f"{self.file}: the file: found bytes that are not UTF-8, wanted YAML in UTF-8")
            return NEGATIVE
        for line in _settings_lines(found):
            print(line)
        return SUCCESS


@cappa.command(name="route", help="Tell which route of a configuration a request takes.")
@dataclass
class FindRoute:
    """`mesh route FILE HOST PATH`."""

    file: File
    host: Annotated[str, cappa.Arg(help="As in the Host header.")]
    path: Annotated[str, cappa.Arg(help="With or without a query.")]

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        if _checked(self.file):
            return UNKNOWN
        path = self.path.partition("?")[0].encode()
        found = RoutingTable(_read(self.file)).find(self.host.encode(), path)
        if found is None:
            print("no route: such a request is answered 404")
            return NEGATIVE
        for line in _route_lines(found):
            print(line)
        return SUCCESS


@cappa.command(name="diff", help="Tell what the second configuration changes of the first.")
@dataclass
class Diff:
    """`mesh diff FILE FILE`."""

    before: File
    after: File

    def __call__(self) -> int:
        """Exit status, as diff(1)."""
        if _checked(self.before) or _checked(self.after):
            return UNKNOWN
        lines = list(changes.changes(RoutingTable(_read(self.before)), RoutingTable(_read(self.after))))
        for line in lines:
            print(line)
        return NEGATIVE if lines else SUCCESS


@cappa.command(name="describe", help="Print the configuration that a mesh holds, as it was sent.")
@dataclass
class Describe:
    """`mesh describe ADDRESS`."""

    address: At
    within: Within = 5.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        status, body = call(self.address, "GET", "/api/configuration/describe", b"", self.within)
        if status == 200:
            sys.stdout.buffer.write(body)
            sys.stdout.buffer.flush()
            return SUCCESS
        return _ended(status, body)


@cappa.command(name="replace", help="Check a configuration and give it to a mesh.")
@dataclass
class Replace:
    """`mesh replace ADDRESS FILE`."""

    address: At
    file: File
    within: Within = 10.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        if _checked(self.file):
            return NEGATIVE
        text = _read(self.file)
        status, body = call(self.address, "POST", "/api/configuration/replace", text, self.within)
        return _ended(status, body) or _told(self.file, f"acknowledged: {_summary(text)}")


@cappa.command(name="evacuate", help="Have nothing more sent to the backends of a zone.")
@dataclass
class Evacuate:
    """`mesh evacuate ADDRESS ZONE`."""

    address: At
    zone: Zone
    within: Within = 5.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        return _order(self.address, self.zone, "start", self.within)


@cappa.command(name="activate", help="Have requests sent to the backends of a zone again.")
@dataclass
class Activate:
    """`mesh activate ADDRESS ZONE`."""

    address: At
    zone: Zone
    within: Within = 5.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        return _order(self.address, self.zone, "complete", self.within)


def view(address: str, name: str, within: float) -> Any:
    """What a control node shows at `/api/NAME`. `within`: seconds. WrongError where it shows nothing."""
    status, body = call(address, "GET", f"/api/{name}", b"", within)
    if status != 200:
        raise MeshCallError(f"no {name}: {status} {body[:200].decode('utf-8', 'backslashreplace')}")
    return json.loads(body)


@cappa.command(
    name="duties", help="Tell who holds which duty, by one control node's votes, and its hinted handoff."
)
@dataclass
class Duties:
    """`mesh duties ADDRESS`."""

    address: At
    within: Within = 5.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        for line in duties(view(self.address, "duties", self.within)):
            print(line)
        return 0


def duties(found: dict[str, Any]) -> Iterator[str]:
    """A control node's view of duties, a line each."""
    waits = f", grants no {' and no '.join(found['waits'])} yet" if found["waits"] else ""
    yield f"{found['node']}: roster {found['roster']}{waits}"
    for kind, scope, place, holder, number, left in found["votes"]:
        yield f"vote {kind} {scope or 'all'} {place}: {holder}, number {number}, {left:.2f} s left"
    for name in ("refused", "upkeep", "hinted_handoff"):
        yield f"{name} " + (" ".join(f"{key}={int(n)}" for key, n in sorted(found[name].items())) or "none")


@cappa.command(
    name="members", help="Tell who keeps the mesh's state, who is behind, and how many losses can be borne."
)
@dataclass
class Members:
    """`mesh members ADDRESS`."""

    address: At
    within: Within = 5.0

    def __call__(self) -> int:
        """Exit status: 1 where no further loss can be borne."""
        found = view(self.address, "members", self.within)
        for line in members(found):
            print(line)
        return 0 if found["bearable-losses"] else 1


def members(found: dict[str, Any]) -> Iterator[str]:
    """A control node's view of the membership, a line each."""
    yield f"{found['node']}: membership {found['epoch']}, majority {found['majority']}"
    for one in found["members"]:
        yield f"member {one['address']} zone {one['zone'] or '?'}: {one['fault'] or 'current'}"
    for one in found["standbys"]:
        yield f"standby {one['address']} zone {one['zone'] or '?'}"
    yield f"losses that can be borne now: {found['bearable-losses']}"
    yield f"zones that can be lost now: {' '.join(found['bearable-zones']) or 'none'}"


@cappa.command(name="honeywharf mesh", help="Check files of the mesh, and give a running mesh its orders.")
@dataclass
class Mesh:
    """`honeywharf mesh ...`."""

    command: cappa.Subcommands[
        Check | ShowSettings | FindRoute | Diff | Describe | Replace | Evacuate | Activate | Duties | Members
    ]
    verbose: Annotated[bool, cappa.Arg(short=True, long=True, propagate=True, help="Log each call.")] = False


def main(arguments: list[str]) -> int:
    """The command line behind `honeywharf mesh`. Exit status."""

    def run() -> int:
        parsed = cappa.parse(Mesh, argv=arguments, completion=False)
        logging.set_verbosity(logging.INFO if parsed.verbose else logging.WARNING)
        return parsed.command()

    exit_status.use_absl_logging()
    return exit_status.run_command(run, exit_status.log_error, (MeshCallError,))


_input: list[bytes] = []  # standard input, once it has been read


def _read(file: str) -> bytes:
    if file != "-":
        with open(file, "rb") as opened:
            return opened.read(configuration.MAX_BYTES + 1)
    if not _input:
        _input.append(sys.stdin.buffer.read(configuration.MAX_BYTES + 1))
    return _input[0]


def _told(file: str, what: str) -> int:
    print(f"{file}: {what}")
    return SUCCESS


def _checked(file: str) -> int:
    """Print every fault of a configuration; NO where there are any."""
    status = SUCCESS
    for fault in configuration.errors(_read(file)):
        print(f"{file}: {fault}")
        status = NEGATIVE
    return status


def _summary(text: bytes) -> str:
    table = RoutingTable(text)
    return (
        f"r{table.version}, {table.route_count} routes, {len(table.services)} services,"
        f" digest {configuration.digest(text)}"
    )


def _settings_lines(found: settings.Settings) -> Iterator[str]:
    shown = {
        SHOWN_SETTINGS.get(attribute, attribute): getattr(found, attribute)
        for attribute in found.__slots__
        if attribute not in NOT_SHOWN_AS_SETTINGS
    }
    for name, value in sorted(shown.items()):
        if isinstance(value, dict):
            for key, each in value.items():
                yield f"{name}.{key}: {_plain(each)}"
        else:
            yield f"{name}: {_plain(value)}"
    for name, number in found.bounds.items():
        yield f"bound {name}: {number:g}"
    for line in found.unknown_bounds:
        yield f"bound not understood: {line}"


def _plain(value: object) -> str:
    if isinstance(value, tuple) and len(value) == 2:
        return f"{value[0]}:{value[1]}" if isinstance(value[0], str) else f"{value[0]} to {value[1]}"
    if isinstance(value, list):
        return ", ".join(_plain(each) for each in value)
    return "none" if value is None else str(value)


def _route_lines(route: Route) -> Iterator[str]:
    yield f"{changes.format_route(route)}: {route.name}"
    yield f"to: {changes.format_split(route)}"
    for name, told in changes.ROUTE_FIELDS[1:]:
        yield f"{told}: {changes.format_value(name, getattr(route, name))}"


def _order(at: str, zone: str, order: str, within: float) -> int:
    path = f"/api/evacuations/{quote(zone, safe='')}/{order}"
    status, body = call(at, "POST", path, b"", within)
    return _ended(status, body) or _told(zone, f"evacuation {order} acknowledged")


def call(at: str, method: str, path: str, body: bytes, within: float) -> tuple[int, bytes]:
    """Status and body of the answer, redirects followed. WrongError where there is none."""
    try:
        to = address(at)
    except ValueError as fault:
        raise MeshCallError(str(fault)) from None
    for _ in range(REDIRECTS + 1):
        status, answer, location = _once(to, method, path, body, within)
        logging.info("%s http://%s:%d%s -> %d, %d bytes", method, *to, path, status, len(answer))
        if status != 307:
            return status, answer
        to, path = _moved(location)
    raise MeshCallError(f"{at} redirects more than {REDIRECTS} times")


def _once(
    to: tuple[str, int],
    method: str,
    path: str,
    body: bytes,
    within: float,
) -> tuple[int, bytes, str]:
    headers = {"Content-Type": "application/json"} if body else {}
    connection = http.client.HTTPConnection(*to, timeout=within)
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return answer.status, answer.read(MAX_ANSWER), answer.getheader("Location") or ""
    except (OSError, http.client.HTTPException) as fault:
        words = f"{to[0]}:{to[1]}: no clear answer: {fault!r}"
        raise MeshCallError(words if method == "GET" else f"{words}. {OPEN}") from None
    finally:
        connection.close()


def _moved(location: str) -> tuple[tuple[str, int], str]:
    """Where a redirect leads: address and path."""
    try:
        parts = urlsplit(location)
        if parts.scheme != "http" or not parts.path:
            raise ValueError
        query = f"?{parts.query}" if parts.query else ""
        return address(parts.netloc if parts.port else f"{parts.netloc}:80"), parts.path + query
    except ValueError:
        raise MeshCallError(f"a redirect leads to {location!r}, wanted http://address:port/path") from None


def _ended(status: int, body: bytes) -> int:
    """The exit status for an answer's status; what it says is printed unless it is a success."""
    if 200 <= status < 300:
        return SUCCESS
    said = body[:1000].decode("utf-8", "backslashreplace").strip()
    if 400 <= status < 500 and status not in AGAIN:
        logging.error("refused with %d: %s", status, said)
        return NEGATIVE
    logging.error("no clear answer, %d: %s. %s", status, said, OPEN)
    return UNKNOWN
