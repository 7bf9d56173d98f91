"""`honeywharf mesh`: checks the mesh's files before they are used, and operates a running mesh.

Exit status: 0 success; 1 negative (errors in a file, no route, a difference, rejected by the mesh); 2 unknown
(invalid arguments or file, no answer, or an answer that leaves open whether an order is in force).
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

MAX_REDIRECTS = 2  # The other callers of the mesh follow as many.
MAX_ANSWER_BYTES = 64 << 20
ORDER_UNCERTAIN = "The order may be in force, or may not: send it again"
RETRYABLE_STATUSES = (408, 429)  # The client errors that may not recur.

FileArgument = Annotated[str, cappa.Arg(help="A file; - for standard input.")]
AddressArgument = Annotated[
    str, cappa.Arg(help="A control node's control-plane address, such as 10.1.0.12:8306.")
]
ZoneArgument = Annotated[str, cappa.Arg(help="A zone's name.")]
TimeoutOption = Annotated[float, cappa.Arg(long=True, help="Time-out of each call, in seconds.")]


#: Printed names of settings that differ from the attributes' names. Operators' scripts depend on them.
PRINTED_SETTING_NAMES = {
    "internal_ports": "ports",
    "listen_addresses": "listen",
    "max_file_descriptors": "fds",
}
UNPRINTED_ATTRIBUTES = ("bounds", "unknown_bounds", "file")


@cappa.command(name="check", help="Print every error of a configuration, one per line.")
@dataclass
class Check:
    """`mesh check FILE`."""

    file: FileArgument

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        return _print_errors(self.file) or _print_success(self.file, _summary(_read(self.file)))


@cappa.command(name="settings", help="Print the settings of a file, or its first error.")
@dataclass
class ShowSettings:
    """`mesh settings FILE`."""

    file: FileArgument

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        try:
            parsed = settings.parse(_read(self.file).decode("utf-8"), self.file)
        except settings.SettingsError as error:
            print(error)
            return NEGATIVE
        except UnicodeDecodeError:
            print(f"{self.file}: the file: expected YAML in UTF-8, got bytes that are not UTF-8")
            return NEGATIVE
        for line in _settings_lines(parsed):
            print(line)
        return SUCCESS


@cappa.command(name="route", help="Print the route of a configuration that a request takes.")
@dataclass
class FindRoute:
    """`mesh route FILE HOST PATH`."""

    file: FileArgument
    host: Annotated[str, cappa.Arg(help="The value of the Host header.")]
    path: Annotated[str, cappa.Arg(help="The request's path; a query is ignored.")]

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        if _print_errors(self.file):
            return UNKNOWN
        path = self.path.partition("?")[0].encode()
        route = RoutingTable(_read(self.file)).find(self.host.encode(), path)
        if route is None:
            print("no route: such a request is answered 404")
            return NEGATIVE
        for line in _route_lines(route):
            print(line)
        return SUCCESS


@cappa.command(name="diff", help="Print the changes from the first configuration to the second.")
@dataclass
class Diff:
    """`mesh diff FILE FILE`."""

    before: FileArgument
    after: FileArgument

    def __call__(self) -> int:
        """Executes the command and returns its exit status, as diff(1) does."""
        if _print_errors(self.before) or _print_errors(self.after):
            return UNKNOWN
        lines = list(changes.changes(RoutingTable(_read(self.before)), RoutingTable(_read(self.after))))
        for line in lines:
            print(line)
        return NEGATIVE if lines else SUCCESS


@cappa.command(name="describe", help="Print the configuration of a mesh, byte for byte as it was sent.")
@dataclass
class Describe:
    """`mesh describe ADDRESS`."""

    address: AddressArgument
    within: TimeoutOption = 5.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        status, body = call(self.address, "GET", "/api/configuration/describe", b"", self.within)
        if status == 200:
            sys.stdout.buffer.write(body)
            sys.stdout.buffer.flush()
            return SUCCESS
        return _exit_status_of(status, body)


@cappa.command(name="replace", help="Check a configuration and send it to a mesh.")
@dataclass
class Replace:
    """`mesh replace ADDRESS FILE`."""

    address: AddressArgument
    file: FileArgument
    within: TimeoutOption = 10.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        if _print_errors(self.file):
            return NEGATIVE
        text = _read(self.file)
        status, body = call(self.address, "POST", "/api/configuration/replace", text, self.within)
        return _exit_status_of(status, body) or _print_success(self.file, f"acknowledged: {_summary(text)}")


@cappa.command(name="evacuate", help="Stop sending requests to the backends of a zone.")
@dataclass
class Evacuate:
    """`mesh evacuate ADDRESS ZONE`."""

    address: AddressArgument
    zone: ZoneArgument
    within: TimeoutOption = 5.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        return _change_evacuation(self.address, self.zone, "start", self.within)


@cappa.command(name="activate", help="Resume sending requests to the backends of a zone.")
@dataclass
class Activate:
    """`mesh activate ADDRESS ZONE`."""

    address: AddressArgument
    zone: ZoneArgument
    within: TimeoutOption = 5.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        return _change_evacuation(self.address, self.zone, "complete", self.within)


def get_view(address: str, name: str, within: float) -> Any:
    """Returns a control node's view at `/api/NAME`. `within`: seconds. Raises MeshCallError without one."""
    status, body = call(address, "GET", f"/api/{name}", b"", within)
    if status != 200:
        raise MeshCallError(
            f"/api/{name}: expected status 200, got {status} {body[:200].decode('utf-8', 'backslashreplace')}"
        )
    return json.loads(body)


@cappa.command(
    name="duties", help="Show the leases that one control node has granted, and its hinted handoff."
)
@dataclass
class ShowLeases:
    """`mesh duties ADDRESS`."""

    address: AddressArgument
    within: TimeoutOption = 5.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status."""
        for line in format_leases(get_view(self.address, "duties", self.within)):
            print(line)
        return 0


def format_leases(view: dict[str, Any]) -> Iterator[str]:
    """Yields the lines that show a control node's leases."""
    waits = f", grants no {' and no '.join(view['waits'])} yet" if view["waits"] else ""
    yield f"{view['node']}: roster {view['roster']}{waits}"
    for kind, scope, slot, holder, number, remaining_s in view["votes"]:
        yield f"vote {kind} {scope or 'all'} {slot}: {holder}, number {number}, {remaining_s:.2f} s left"
    for name in ("refused", "upkeep", "admissions", "hinted_handoff"):
        counters = view.get(name, {})  # A control node of an older build has no `admissions`.
        yield f"{name} " + (" ".join(f"{key}={int(n)}" for key, n in sorted(counters.items())) or "none")


@cappa.command(
    name="members",
    help="Show the replicas of the mesh's state, those that are behind, and how many losses are tolerable.",
)
@dataclass
class ShowMembers:
    """`mesh members ADDRESS`."""

    address: AddressArgument
    within: TimeoutOption = 5.0

    def __call__(self) -> int:
        """Executes the command and returns its exit status: 1 if no further loss is tolerable."""
        view = get_view(self.address, "members", self.within)
        for line in format_members(view):
            print(line)
        return 0 if view["bearable-losses"] else 1


def format_members(view: dict[str, Any]) -> Iterator[str]:
    """Yields the lines that show a control node's view of the membership."""
    yield f"{view['node']}: membership {view['epoch']}, majority {view['majority']}"
    for member in view["members"]:
        yield f"member {member['address']} zone {member['zone'] or '?'}: {member['fault'] or 'current'}"
    for member in view["standbys"]:
        yield f"standby {member['address']} zone {member['zone'] or '?'}"
    yield f"losses that can be borne now: {view['bearable-losses']}"
    yield f"zones that can be lost now: {' '.join(view['bearable-zones']) or 'none'}"


@cappa.command(name="honeywharf mesh", help="Check the mesh's files, and operate a running mesh.")
@dataclass
class Mesh:
    """`honeywharf mesh ...`."""

    command: cappa.Subcommands[
        Check
        | ShowSettings
        | FindRoute
        | Diff
        | Describe
        | Replace
        | Evacuate
        | Activate
        | ShowLeases
        | ShowMembers
    ]
    verbose: Annotated[bool, cappa.Arg(short=True, long=True, propagate=True, help="Log each call.")] = False


def main(arguments: list[str]) -> int:
    """Executes `honeywharf mesh` and returns the exit status."""

    def run() -> int:
        parsed = cappa.parse(Mesh, argv=arguments, completion=False)
        logging.set_verbosity(logging.INFO if parsed.verbose else logging.WARNING)
        return parsed.command()

    exit_status.use_absl_logging()
    return exit_status.run_command(run, exit_status.log_error, (MeshCallError,))


_standard_input: list[bytes] = []  # Empty until standard input has been read.


def _read(file: str) -> bytes:
    if file != "-":
        with open(file, "rb") as opened:
            return opened.read(configuration.MAX_BYTES + 1)
    if not _standard_input:
        _standard_input.append(sys.stdin.buffer.read(configuration.MAX_BYTES + 1))
    return _standard_input[0]


def _print_success(file: str, summary: str) -> int:
    print(f"{file}: {summary}")
    return SUCCESS


def _print_errors(file: str) -> int:
    """Prints every error of a configuration; returns NEGATIVE if there are any."""
    status = SUCCESS
    for error in configuration.errors(_read(file)):
        print(f"{file}: {error}")
        status = NEGATIVE
    return status


def _summary(text: bytes) -> str:
    table = RoutingTable(text)
    return (
        f"r{table.version}, {table.route_count} routes, {len(table.services)} services,"
        f" digest {configuration.digest(text)}"
    )


def _settings_lines(parsed: settings.Settings) -> Iterator[str]:
    shown = {
        PRINTED_SETTING_NAMES.get(attribute, attribute): getattr(parsed, attribute)
        for attribute in parsed.__slots__
        if attribute not in UNPRINTED_ATTRIBUTES
    }
    for name, value in sorted(shown.items()):
        if isinstance(value, dict):
            for key, each in value.items():
                yield f"{name}.{key}: {_format_value(each)}"
        else:
            yield f"{name}: {_format_value(value)}"
    for name, number in parsed.bounds.items():
        yield f"bound {name}: {number:g}"
    for line in parsed.unknown_bounds:
        yield f"bound not understood: {line}"


def _format_value(value: object) -> str:
    if isinstance(value, tuple) and len(value) == 2:
        return f"{value[0]}:{value[1]}" if isinstance(value[0], str) else f"{value[0]} to {value[1]}"
    if isinstance(value, list):
        return ", ".join(_format_value(each) for each in value)
    return "none" if value is None else str(value)


def _route_lines(route: Route) -> Iterator[str]:
    yield f"{changes.format_route(route)}: {route.name}"
    yield f"to: {changes.format_split(route)}"
    for name, label in changes.ROUTE_FIELDS[1:]:
        yield f"{label}: {changes.format_value(name, getattr(route, name))}"


def _change_evacuation(at: str, zone: str, order: str, within: float) -> int:
    path = f"/api/evacuations/{quote(zone, safe='')}/{order}"
    status, body = call(at, "POST", path, b"", within)
    return _exit_status_of(status, body) or _print_success(zone, f"evacuation {order} acknowledged")


def call(at: str, method: str, path: str, body: bytes, within: float) -> tuple[int, bytes]:
    """Returns the status and body of the answer, following redirects. Raises MeshCallError without one."""
    try:
        target = address(at)
    except ValueError as error:
        raise MeshCallError(str(error)) from None
    for _ in range(MAX_REDIRECTS + 1):
        status, answer, location = _send_request(target, method, path, body, within)
        logging.info("%s http://%s:%d%s -> %d, %d bytes", method, *target, path, status, len(answer))
        if status != 307:
            return status, answer
        target, path = _redirect_target(location)
    raise MeshCallError(f"{at}: expected at most {MAX_REDIRECTS} redirects, got more")


def _send_request(
    target: tuple[str, int],
    method: str,
    path: str,
    body: bytes,
    within: float,
) -> tuple[int, bytes, str]:
    headers = {"Content-Type": "application/json"} if body else {}
    connection = http.client.HTTPConnection(*target, timeout=within)
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return answer.status, answer.read(MAX_ANSWER_BYTES), answer.getheader("Location") or ""
    except (OSError, http.client.HTTPException) as error:
        message = f"{target[0]}:{target[1]}: no clear answer: {error!r}"
        raise MeshCallError(message if method == "GET" else f"{message}. {ORDER_UNCERTAIN}") from None
    finally:
        connection.close()


def _redirect_target(location: str) -> tuple[tuple[str, int], str]:
    """Returns the address and path of a redirect."""
    try:
        parts = urlsplit(location)
        if parts.scheme != "http" or not parts.path:
            raise ValueError
        query = f"?{parts.query}" if parts.query else ""
        return address(parts.netloc if parts.port else f"{parts.netloc}:80"), parts.path + query
    except ValueError:
        raise MeshCallError(f"a redirect leads to {location!r}, wanted http://address:port/path") from None


def _exit_status_of(status: int, body: bytes) -> int:
    """Returns the exit status for an answer, and logs its text unless it is a success."""
    if 200 <= status < 300:
        return SUCCESS
    response_text = body[:1000].decode("utf-8", "backslashreplace").strip()
    if 400 <= status < 500 and status not in RETRYABLE_STATUSES:
        logging.error("refused with %d: %s", status, response_text)
        return NEGATIVE
    logging.error("no clear answer, %d: %s. %s", status, response_text, ORDER_UNCERTAIN)
    return UNKNOWN
