"""Converts between the wire's JSON objects, one per line, and the types of the decision interface."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from honeywharf.policy import interface as api

Fields = dict[str, Any]


class WireError(Exception):
    """A line that violates the wire protocol."""


OUTCOMES = {
    200: api.Outcome.OK,
    500: api.Outcome.ERROR,
    503: api.Outcome.REJECTED,
    504: api.Outcome.TIMEOUT,
    502: api.Outcome.CONNECT_FAILED,
    598: api.Outcome.RESET,
    499: api.Outcome.CANCELLED,
    410: api.Outcome.NOT_SENT,
}
LIST_KINDS = {
    "D": api.ListKind.CHANGES,
    "F": api.ListKind.FULL,
    "C": api.ListKind.CACHED,
    "X": api.ListKind.FAILED,
}
STATES = {
    "ready": api.EndpointState.READY,
    "draining": api.EndpointState.DRAINING,
    "gone": api.EndpointState.GONE,
}
EFFECTS = {
    "repeatable": api.Effect.REPEATABLE,
    "by_key": api.Effect.KEYED,
    "once": api.Effect.ONCE,
}
SCOPES = {"all": api.DedupeScope.ALL, "zone": api.DedupeScope.ZONE, "cell": api.DedupeScope.CELL}
REPORTS = {"piggyback": api.Reports.WITH_ANSWERS, "pull": api.Reports.BY_PROBE, "silent": api.Reports.NONE}
SIZES = {
    "silent": api.Sizes.NONE,
    "nominal": api.Sizes.REGISTERED,
    "rough": api.Sizes.ROUGH,
    "live": api.Sizes.LIVE,
}
REPORT_FIELDS = {
    "busy_reqs": "in_flight",
    "pending": "queue",
    "cpu_share": "utilization",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
}

_REQUIRED = object()
MAX_NUMBER = 1e18  # Above every valid value: Unix times in ms are about 1.8e12.


def _number(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> float:
    value = fields.get(name)
    if value is None and default is not _REQUIRED:
        return float(default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WireError(f"{name}: a number is wanted, not {value!r}")
    if not -MAX_NUMBER <= value <= MAX_NUMBER:  # Rejects infinity and NaN too.
        raise WireError(f"{name}: a number of at most {MAX_NUMBER:g} is wanted, not {value!r}")
    return float(value)


def _integer(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> int:
    value = fields.get(name)
    if value is None and default is not _REQUIRED:
        return int(default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise WireError(f"{name}: a whole number is wanted, not {value!r}")
    return value


def _text(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> str:
    value = fields.get(name)
    if value is None and default is not _REQUIRED:
        return str(default)
    if not isinstance(value, str):
        raise WireError(f"{name}: text is wanted, not {value!r}")
    return value


def _flag(fields: Mapping[str, Any], name: str) -> bool:
    value = fields.get(name)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise WireError(f"{name}: true or false is wanted, not {value!r}")
    return value


def _choice(table: Mapping[Any, Any], fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> Any:
    value = fields.get(name)
    if value is None and default is not _REQUIRED:
        return default
    if isinstance(value, bool) or not isinstance(value, str | int) or value not in table:
        raise WireError(f"{name}: unknown value {value!r}")
    return table[value]


def _object(fields: Mapping[str, Any], name: str) -> Fields:
    value = fields.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise WireError(f"{name}: an object is wanted, not {value!r}")
    return value


def _objects(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> list[Fields]:
    value = fields.get(name)
    if value is None and default is not _REQUIRED:
        return list(default)
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise WireError(f"{name}: a list of objects is wanted")
    return value


def _texts(fields: Mapping[str, Any], name: str) -> tuple[str, ...]:
    value = fields.get(name)
    if value is None:
        return ()
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise WireError(f"{name}: a list of texts is wanted, not {value!r}")
    return tuple(value)


def _report(fields: Mapping[str, Any]) -> tuple[float, ...] | None:
    value = fields.get("metrics")
    if value is None:
        return None
    if not isinstance(value, list):
        raise WireError(f"metrics: a row is wanted, not {value!r}")
    for item in value:
        if isinstance(item, bool) or not isinstance(item, int | float):
            raise WireError(f"metrics: numbers are wanted, not {item!r}")
    return tuple(value)


def settings(raw: Fields) -> api.Settings:
    """Converts the settings of a `Born` event."""
    report, family = _object(raw, "report"), _object(raw, "familyInfo")
    tiers, zones = _texts(raw, "tiers"), _texts(raw, "zones")
    return api.Settings(
        zone=_text(raw, "zone"),
        zones=max(1, len(zones)),
        zone_names=zones,
        tier=_integer(raw, "tier", 0),
        tiers=max(1, len(tiers)),
        tier_names=tiers,
        balancers=_integer(raw, "nInstances", 1),
        me=_integer(raw, "me", 0),
        tick_ms=_number(raw, "quantumMs", 0.0),
        domain=_text(raw, "domainType", ""),
        kinds=_texts(raw, "models"),
        sizes=_choice(SIZES, raw, "weightSource", api.Sizes.REGISTERED),
        by_work=_text(raw, "countedBy", "request") == "work",
        polled_discovery=_text(raw, "discovery", "push") == "ask",
        passes_deadline=_flag(family, "passesDeadline"),
        warm_keys=_flag(family, "warmKeys"),
        clients_mark_retries=_flag(_object(raw, "clients"), "marksRetry"),
        over_share_worth=_number(raw, "overShareWorth", 1.0),
        report_fields=tuple(REPORT_FIELDS.get(name, name) for name in _texts(report, "fields")),
        reports=_choice(REPORTS, report, "how", api.Reports.NONE),
        classes=tuple(_request_class(c) for c in _objects(raw, "profiles")),
        tenants=tuple(
            api.Tenant(_text(t, "name"), _number(t, "quotaPerS", 0.0), _number(t, "portion", 0.0))
            for t in _objects(raw, "parties", ())
        ),
        limits=_limits(_object(raw, "bounds")),
        rules=_rules(_object(raw, "contract")),
        prices=_prices(_object(raw, "prices")),
        goal=_goal(_object(raw, "goal")),
    )


def _request_class(raw: Fields) -> api.RequestClass:
    return api.RequestClass(
        name=_text(raw, "name"),
        aim_ms=_number(raw, "aimMs"),
        deadline_ms=_number(raw, "deadlineMs"),
        effect=_choice(EFFECTS, raw, "idempotency"),
        scope=_choice(SCOPES, raw, "group", api.DedupeScope.ALL),
        window_ms=_number(raw, "windowMs", 0.0),
        worth=_number(raw, "worth", 1.0),
        late_value=_number(raw, "lateValue", 0.0),
        in_order=_flag(raw, "fifoByKey"),
        stream=_flag(raw, "stream"),
        aim_stretch=_number(raw, "aimStretch", 0.0),
    )


def _limits(raw: Fields) -> api.Limits:
    return api.Limits(
        max_attempts=_integer(raw, "mostTries", 1),
        concurrent_attempts=_flag(raw, "secondCopies"),
        cancel=_flag(raw, "cancel"),
        probes=_flag(raw, "probes"),
        retry_after=_flag(raw, "retryAfter"),
        max_retry_after_ms=_number(raw, "maxRetryAfterMs", 0.0),
        peer_messages=_flag(raw, "peerMessages"),
        max_open=_integer(raw, "openCap", 0),
        streams=_integer(raw, "multiplex", 1),
        idle_ms=_number(raw, "connIdleMs", 0.0),
        connect_timeout_ms=_number(raw, "connectTimeoutMs", 0.0),
        cpu_us_per_s=_number(raw, "cpuUsPerS", 0.0),
        cpu_us_per_request=_number(raw, "cpuUsPerRequest", 0.0),
    )


def _rules(raw: Fields) -> api.Rules:
    return api.Rules(
        answer_grace_ms=_number(raw, "graceToAnswerMs", 0.0),
        drain_grace_ms=_number(raw, "stopSendingWithinMs", 1000.0),
        cold_share=_number(raw, "coldShare", 1.0),
        warm_after_ms=_number(raw, "warmAfterMs", 0.0),
        cold_multiple=_number(raw, "tipMultiple", 3.0),
        cold_window_ms=_number(raw, "overloadForMs", 2000.0),
        ask_every_ms=_number(raw, "askEveryMs", 10000.0),
        turn_gap_ms=_number(raw, "turnGapMs", 0.0),
    )


def _prices(raw: Fields) -> api.Prices:
    return api.Prices(
        cross_zone=_number(raw, "crossZone", 0.0),
        waste=_number(raw, "waste", 0.0),
        late_fail=_number(raw, "lateFail", 0.0),
        probe=_number(raw, "probe", 0.0),
        handshake=_number(raw, "handshake", 0.0),
        connection=_number(raw, "connection", 0.0),
        discovery=_number(raw, "discovery", 0.0),
        fleet=_number(raw, "fleet", 0.0),
        moves=_number(raw, "moves", 0.0),
        origin=_number(raw, "origin", 0.0),
        peer=_number(raw, "peer", 0.0),
    )


def _goal(raw: Fields) -> api.Goal:
    return api.Goal(
        whole=_number(raw, "whole", 1.0),
        worst_window=_number(raw, "worstWindow", 0.0),
        worst_class=_number(raw, "worstClass", 0.0),
        worst_tenant=_number(raw, "worstTenant", 0.0),
    )


def endpoints(rows: list[Fields]) -> tuple[api.Endpoint, ...]:
    """Converts the entries of a `Ledger` message."""
    return tuple(
        api.Endpoint(
            id=_text(row, "backend"),
            zone=_text(row, "locality", ""),
            state=_choice(STATES, row, "status"),
            cell=_integer(row, "bay", 0),
            started_ms=_number(row, "upSinceMs", 0.0) or None,
            size=_number(row, "nominal", 1.0),
            kind=_text(row, "familyType", ""),
        )
        for row in rows
    )


def _request_arrived(f: Fields) -> api.Event:
    tenant = f.get("team")
    return api.RequestArrived(
        _text(f, "ref"),
        _text(f, "kind"),
        _number(f, "remainingMs"),
        tenant if isinstance(tenant, str) else "",
        _flag(f, "resent"),
        _text(f, "entity", ""),
        _flag(f, "isWrite"),
        _number(f, "workHintMs") if f.get("workHintMs") is not None else None,
    )


def _attempt_opened(f: Fields) -> api.Event:
    return api.AttemptOpened(
        _text(f, "ref"), _integer(f, "shot"), _text(f, "backend", ""), _number(f, "waitTimeMs", 0.0)
    )


def _peer_message(f: Fields) -> api.Event:
    try:
        payload = bytes.fromhex(_text(f, "bytes", ""))
    except ValueError:
        raise WireError(f"bytes: hex digits are wanted, not {f['bytes']!r}") from None
    return api.PeerMessage(_integer(f, "sender"), payload)


def _attempt_ended(f: Fields) -> api.Event:
    return api.AttemptEnded(
        _text(f, "ref"),
        _integer(f, "shot"),
        _choice(OUTCOMES, f, "how"),
        _number(f, "waitTimeMs"),
        _flag(f, "complete"),
        _report(f),
        _text(f, "backend", ""),
    )


def _probe_ended(f: Fields) -> api.Event:
    outcome = _choice(OUTCOMES, f, "how")
    return api.ProbeEnded(_text(f, "backend"), outcome, _number(f, "waitTimeMs"), _report(f))


#: Decoders of the events of a running instance that depend on nothing but their fields.
EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "WorkItem": _request_arrived,
    "Ended": _attempt_ended,
    "Opened": _attempt_opened,
    "Expired": lambda f: api.RequestExpired(_text(f, "ref")),
    "Wake": lambda f: api.TimerFired(_text(f, "ctx")),
    "Probed": _probe_ended,
    "Mail": _peer_message,
}

#: The wire name and the encoder of each action; the host adds {"who": instance}.
ACTIONS: dict[type, tuple[str, Callable[[Any], Fields]]] = {
    api.Send: (
        "Transmit",
        lambda a: {"ref": a.request, "timeoutMs": a.timeout_ms, "backend": a.endpoint},
    ),
    api.Cancel: ("DropAttempt", lambda a: {"ref": a.request, "shot": a.attempt}),
    api.Refuse: (
        "Deny",
        lambda a: {"ref": a.request, "comeBackMs": a.retry_after_ms or None},
    ),
    api.Fail: ("RespondError", lambda a: {"ref": a.request}),
    api.Probe: ("Inspect", lambda a: {"backend": a.endpoint}),
    api.SetTimer: ("WakeMe", lambda a: {"fireAtMs": a.at_ms, "ctx": a.token}),
    api.WatchEndpoints: ("Observe", lambda a: {"want": True}),
    api.FetchEndpoints: ("Fetch", lambda a: {}),
    api.CloseIdle: ("LetGo", lambda a: {"backend": a.endpoint}),
    api.Log: ("SayLog", lambda a: {"words": a.words}),
}


def integer(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> int:
    """Returns an integer of a message. Raises WireError if it is missing and has no default."""
    return _integer(fields, name, default)


def number(fields: Mapping[str, Any], name: str) -> float:
    """Returns a required number of a message."""
    return _number(fields, name)


def list_kind(fields: Mapping[str, Any]) -> api.ListKind:
    """Returns the kind of list of a `Membership` event."""
    kind: api.ListKind = _choice(LIST_KINDS, fields, "kind")
    return kind


def members(fields: Mapping[str, Any]) -> tuple[api.Endpoint, ...]:
    """Returns the entries of a `Ledger` message."""
    return endpoints(_objects(fields, "members"))


def born_settings(fields: Mapping[str, Any]) -> api.Settings:
    """Returns the settings of a `Born` event."""
    raw = fields.get("settings")
    if not isinstance(raw, dict):
        raise WireError("settings: an object is wanted")
    return settings(raw)
