"""URL matching: decoded parameters, unknown paths and wrong methods."""

from __future__ import annotations

import pytest

from honeywharf.transport.url_matcher import MethodNotAllowedError, UrlMatcher


def make_matcher() -> UrlMatcher:
    matcher = UrlMatcher()
    matcher.add("POST", "/api/instances/{id}/heartbeat", "beat")
    matcher.add("POST", "/api/instances/{id}/deregister", "gone")
    matcher.add("GET", "/api/instances/all/heartbeat", "all")
    matcher.add("GET", "/api/readiness", "ready")
    matcher.add("DELETE", "/api/{what}/x/y", "other")
    return matcher


def test_paths_match_with_decoded_parameters() -> None:
    matcher = make_matcher()
    assert matcher.find(b"POST", b"/api/instances/i-7f/heartbeat") == ("beat", {"id": "i-7f"})
    assert matcher.find(b"POST", b"/api/instances/a%20%C3%A9%zz/deregister") == ("gone", {"id": "a é%zz"})
    assert matcher.find(b"GET", b"/api/instances/all/heartbeat") == ("all", {})
    assert matcher.find(b"DELETE", b"/api/instances/x/y") == ("other", {"what": "instances"})  # Backtracks.


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
def test_unknown_paths_are_not_found(path: bytes) -> None:
    assert make_matcher().find(b"POST", path) is None


def test_a_wrong_method_and_a_duplicate_raise() -> None:
    with pytest.raises(MethodNotAllowedError) as raised:
        make_matcher().find(b"GET", b"/api/instances/i-7f/heartbeat")
    assert raised.value.args[0] == [b"POST"]
    with pytest.raises(ValueError, match="twice"):
        make_matcher().add("GET", "/api/readiness", "again")
