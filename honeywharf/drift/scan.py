"""Compares the tables in use with the configuration's text and with the membership entries. No I/O.

Theory of operation. `routes` is a generator over one routing table. Each step compares one entry, key and
fields, and yields a fault or "". `small_parts` compares the other state that affects decisions: the stored
revision, evacuations, and limits that timers and connections hold. `backend_list` compares the list of
backends with the membership entries. If a table is replaced during a scan, the caller starts again. The
texts of faults are sent to control nodes and stored there, so their wording is part of the protocol.
"""

from __future__ import annotations

from honeywharf.drift import digests

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterator

    from honeywharf.drift.reference_parser import ReferenceTable
    from honeywharf.gossip.entry import Entry
    from honeywharf.mesh_config.routes import Route, RoutingTable
    from honeywharf.programs.sidecar import Sidecar

READ_ONLY = "read_only"
GATE_READY = 1  # The state of a ready gate, as in membership entries.


def _route(
    table: RoutingTable,
    reference: ReferenceTable,
    digest_cache: digests.RuleDigestCache,
    location: tuple[bytes, bytes],
    route: Route,
) -> str:
    host, prefix = location
    if not reference.matches(host, prefix, digest_cache.digest_of(route)):
        return f"route {host.decode()}{prefix.decode()} is not the one told"
    # The lookup of each route whose requests must not run twice is repeated as well, once per round.
    if route.kind != READ_ONLY:
        found = table.find(host, prefix)
        if found is None or digest_cache.digest_of(found) != reference.find_rule(host, prefix)[0]:
            return f"route {host.decode()}{prefix.decode()} is not found as told"
    return ""


def routes(
    table: RoutingTable, reference: ReferenceTable, digest_cache: digests.RuleDigestCache
) -> Iterator[str]:
    """Yields a fault or "" for each route, then for the table. RuntimeError: the table was changed."""
    route_count = 0
    for host, host_routes in table._hosts.items():
        longest_prefix = 0
        for prefix, route in host_routes.routes.items():
            route_count += 1
            longest_prefix = max(longest_prefix, len(prefix))
            yield _route(table, reference, digest_cache, (host, prefix), route)
        yield (
            ""
            if host_routes.longest == longest_prefix
            else f"routes of {host.decode()} are looked up too short"
        )
    yield (
        ""
        if route_count == len(reference.locations)
        else f"{route_count} routes, told {len(reference.locations)}"
    )
    live = {name: digests.of_service(service) for name, service in table.services.items()}
    yield "" if live == reference.service_digests else "services are not those told"
    yield ("" if digests.of_limits(table.limits) == reference.limits_digest else "limits are not those told")
    yield (
        "" if table.version == reference.version else f"r{table.version} in force, told r{reference.version}"
    )


def tree(table: RoutingTable, digest_cache: digests.RuleDigestCache, evacuated: set[str]) -> dict[str, bytes]:
    """Returns the digest of each branch of the configuration in use."""
    branches = {
        digests.ROUTE_BRANCH_PREFIX + host.decode(): digests.branch(
            map(digest_cache.digest_of, host_routes.routes.values())
        )
        for host, host_routes in table._hosts.items()
    }
    branches["services"] = digests.branch(map(digests.of_service, table.services.values()))
    branches["limits"] = digests.of_limits(table.limits)
    branches["evacuations"] = digests.evacuations(evacuated)
    return branches


def small_parts(sidecar: Sidecar) -> str:
    """Returns a fault in the stored revision, the evacuations or the applied limits, or ""."""
    configuration, gate, table = sidecar.mesh_state, sidecar.gate, sidecar.mesh_state.table
    value = configuration.value
    if table is None or not value:
        return ""
    if (value["rev"], value["version"], value["digest"]) != (
        configuration.revision,
        configuration.version,
        configuration.digest,
    ) or (table.version != configuration.version):
        stored = f"{value['rev']} with r{value['version']}"
        return f"revision {configuration.revision} with r{table.version} is in force, stored {stored}"
    evacuated_zones = {zone for zone, on in value["evac"].items() if on}
    if configuration.evacuated != evacuated_zones or gate.evacuated != (
        sidecar.settings.zone in evacuated_zones
    ):
        return f"evacuated {sorted(configuration.evacuated)}, told {sorted(evacuated_zones)}"
    if applied_limits(sidecar) != sidecar.drift_monitor.applied_limits:
        return "bounds at the backend are not those that the word gave"
    return ""


def applied_limits(sidecar: Sidecar) -> tuple[object, ...]:
    """Returns the configured values that backend connections, slow start and the health check hold now."""
    return sidecar.backend_connections.most, sidecar.gate.cold.most, sidecar.probe.path


def backend_list(sidecar: Sidecar, nodes: list[str]) -> str:
    """Returns a fault for the first node whose backend entry differs from its membership entry, or ""."""
    entries, source = sidecar.membership.entries(), sidecar.source
    for node in nodes:
        if node != sidecar.settings.ip and not _matches_membership(sidecar, node, entries.get(node)):
            return f"the list holds {node} otherwise than told"
    extra = next((node for node in source.backends if node not in entries), None)
    return "" if extra is None else f"the list holds {extra}, of which nothing is told"


def _matches_membership(sidecar: Sidecar, node: str, entry: Entry | None) -> bool:
    source = sidecar.source
    found, published = source.backends.get(node), entry.attributes if entry is not None else None
    if entry is None or published is None or not published.get("s"):
        return found is None
    if found is None or (found.service, found.instance, found.state, found.zone) != (
        str(published["s"]),
        str(published.get("b", "")),
        published.get("st"),
        entry.zone,
    ):
        return False
    target = source.levels_of(found.service).targets.get(node)
    usable = (
        found.state == GATE_READY
        and entry.zone not in sidecar.mesh_state.evacuated
        and node not in sidecar.membership.failure_detector.down
    )
    return target is not None and target.zone == entry.zone and target.usable == usable
