"""Paths of calls to targets, params decoded, a missing path told from a wrong method."""

from __future__ import annotations

import pytest

from honeywharf.transport.url_matcher import MethodNotAllowedError, UrlMatcher


def tree() -> UrlMatcher:
    made = UrlMatcher()
    made.add("POST", "/api/instances/{id}/heartbeat", "beat")
    made.add("POST", "/api/instances/{id}/deregister", "gone")
    made.add("GET", "/api/instances/all/heartbeat", "all")
    made.add("GET", "/api/readiness", "ready")
    made.add("DELETE", "/api/{what}/x/y", "other")
    return made


def test_paths_and_params() -> None:
    t = tree()
    assert t.find(b"POST", b"/api/instances/i-7f/heartbeat") == ("beat", {"id": "i-7f"})
    assert t.find(b"POST", b"/api/instances/a%20%C3%A9%zz/deregister") == ("gone", {"id": "a é%zz"})
    assert t.find(b"GET", b"/api/instances/all/heartbeat") == ("all", {})
    assert t.find(b"DELETE", b"/api/instances/x/y") == ("other", {"what": "instances"})  # steps back


@pytest.mark.parametrize(
    "path",
    [
        b"/",
        b"",
        b"/api",
        b"/api/instances//heartbeat",
        b"/api/instances/i/heartbeat/x",
        b"/a" * 5000,
        b"/api/instances/i/beat",
    ],
)
def test_what_is_not_there_is_not_found(path: bytes) -> None:
    assert tree().find(b"POST", path) is None


def test_another_method_is_told_apart() -> None:
    with pytest.raises(MethodNotAllowedError) as told:
        tree().find(b"GET", b"/api/instances/i-7f/heartbeat")
    assert told.value.args[0] == [b"POST"]
    with pytest.raises(ValueError, match="twice"):
        tree().add("GET", "/api/readiness", "again")
