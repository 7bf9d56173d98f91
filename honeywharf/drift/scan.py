"""Digests of what is alive, part by part, beside what was told. No I/O.

Theory of operation. `routes` is a generator over one table: each step takes one entry where it lives, key and
fields, and gives a fault or "". `others` looks at what is small and decides as well: the stored revision,
evacuations, bounds that timers and connections hold. `listed` compares the list of backends with the news.
A table that is replaced meanwhile is begun anew by who steps.
"""

from __future__ import annotations

from honeywharf.drift import digests

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterator

    from honeywharf.drift.second import Told
    from honeywharf.gossip.entry import Entry
    from honeywharf.mesh_config.routes import Route, RoutingTable
    from honeywharf.programs.sidecar import Sidecar

READ_ONLY = "read_only"
READY = 1  # a gate's state, as news tell it


def _route(
    table: RoutingTable, told: Told, rules: digests.Rules, place: tuple[bytes, bytes], route: Route
) -> str:
    host, prefix = place
    if not told.holds(host, prefix, rules.of(route)):
        return f"route {host.decode()}{prefix.decode()} is not the one told"
    if route.kind != READ_ONLY:  # the second reading of each that must not run twice, once a round
        found = table.find(host, prefix)
        if found is None or rules.of(found) != told.decide(host, prefix)[0]:
            return f"route {host.decode()}{prefix.decode()} is not found as told"
    return ""


def routes(table: RoutingTable, told: Told, rules: digests.Rules) -> Iterator[str]:
    """A fault or "" for each route, then for the table as a whole. RuntimeError: it changed meanwhile."""
    many = 0
    for host, of in table._hosts.items():
        longest = 0
        for prefix, route in of.routes.items():
            many += 1
            longest = max(longest, len(prefix))
            yield _route(table, told, rules, (host, prefix), route)
        yield "" if of.longest == longest else f"routes of {host.decode()} are looked up too short"
    yield "" if many == len(told.places) else f"{many} routes, told {len(told.places)}"
    live = {name: digests.of_service(service) for name, service in table.services.items()}
    yield "" if live == told.services else "services are not those told"
    yield "" if digests.of_limits(table.limits) == told.limits else "limits are not those told"
    yield "" if table.version == told.version else f"r{table.version} in force, told r{told.version}"


def tree(table: RoutingTable, rules: digests.Rules, evacuated: set[str]) -> dict[str, bytes]:
    """The branches of what is alive, for whoever asks."""
    branches = {
        digests.ROUTES + host.decode(): digests.branch(map(rules.of, of.routes.values()))
        for host, of in table._hosts.items()
    }
    branches["services"] = digests.branch(map(digests.of_service, table.services.values()))
    branches["limits"] = digests.of_limits(table.limits)
    branches["evacuations"] = digests.evacuations(evacuated)
    return branches


def others(sidecar: Sidecar) -> str:
    """A fault of the small parts that decide, or ""."""
    word, gate, table = sidecar.mesh_state, sidecar.gate, sidecar.mesh_state.table
    value = word.value
    if table is None or not value:
        return ""
    if (value["rev"], value["version"], value["digest"]) != (word.revision, word.version, word.digest) or (
        table.version != word.version
    ):
        stored = f"{value['rev']} with r{value['version']}"
        return f"revision {word.revision} with r{table.version} is in force, stored {stored}"
    told = {zone for zone, on in value["evac"].items() if on}
    if word.evacuated != told or gate.evacuated != (sidecar.settings.zone in told):
        return f"evacuated {sorted(word.evacuated)}, told {sorted(told)}"
    if bounds(sidecar) != sidecar.drift_monitor.bounds:
        return "bounds at the backend are not those that the word gave"
    return ""


def bounds(sidecar: Sidecar) -> tuple[object, ...]:
    """What timers and connections at the backend hold of the word: as set by it, or as it is now."""
    return sidecar.backend_connections.most, sidecar.gate.cold.most, sidecar.probe.path


def listed(sidecar: Sidecar, nodes: list[str]) -> str:
    """The first of the nodes whose entry in the list is not what the news tell, as a fault, or ""."""
    entries, source = sidecar.membership.entries(), sidecar.source
    for node in nodes:
        if node != sidecar.settings.ip and not _as_told(sidecar, node, entries.get(node)):
            return f"the list holds {node} otherwise than told"
    extra = next((node for node in source.backends if node not in entries), None)
    return "" if extra is None else f"the list holds {extra}, of which nothing is told"


def _as_told(sidecar: Sidecar, node: str, entry: Entry | None) -> bool:
    source = sidecar.source
    found, say = source.backends.get(node), entry.attributes if entry is not None else None
    if entry is None or say is None or not say.get("s"):
        return found is None
    if found is None or (found.service, found.instance, found.state, found.zone) != (
        str(say["s"]),
        str(say.get("b", "")),
        say.get("st"),
        entry.zone,
    ):
        return False
    target = source.levels_of(found.service).targets.get(node)
    usable = (
        found.state == READY
        and entry.zone not in sidecar.mesh_state.evacuated
        and node not in sidecar.membership.failure_detector.down
    )
    return target is not None and target.zone == entry.zone and target.usable == usable
