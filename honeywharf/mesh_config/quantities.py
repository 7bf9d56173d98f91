"""Parsers of times and addresses. Sidecars import this module, so it contains only plain functions."""

from __future__ import annotations

DIGITS = frozenset("0123456789.")


def number(text: str) -> float:
    """Parses an unsigned decimal number without an exponent. Raises ValueError for anything else."""
    # float() also accepts "1e3", "nan", "1_0" and blanks.
    if not DIGITS.issuperset(text) or text.count(".") > 1 or text in ("", "."):
        raise ValueError(f"expected a number, got {text!r}")
    return float(text)


def seconds(value: object) -> float:
    """Parses a time such as `1500ms` or `2.5s` to seconds. Raises ValueError for anything else."""
    if isinstance(value, str):
        if value.endswith("ms"):
            return number(value[:-2]) / 1000.0
        if value.endswith("s"):
            return number(value[:-1])
    raise ValueError(f"expected a time such as '1500ms' or '2.5s', got {value!r}")


def port(text: str) -> int:
    """Parses a port, 1 to 65535. Raises ValueError for anything else."""
    if text.isascii() and text.isdigit() and len(text) <= 5 and 0 < int(text) < 65536:
        return int(text)
    raise ValueError(f"expected a port, got {text!r}")


def _is_byte(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 3 and int(text) < 256


def ipv4(value: object) -> str:
    """Returns an IPv4 address in dotted form unchanged. Raises ValueError for anything else."""
    if isinstance(value, str):
        parts = value.split(".")
        if len(parts) == 4 and all(_is_byte(part) for part in parts):
            return value
    raise ValueError(f"expected an IPv4 address, got {value!r}")


def address(value: object) -> tuple[str, int]:
    """Parses an address such as `10.1.0.8:8300` to (IPv4, port). Raises ValueError for anything else."""
    if isinstance(value, str):
        host, colon, tail = value.rpartition(":")
        if colon:
            return ipv4(host), port(tail)
    raise ValueError(f"expected an address such as '10.1.0.8:8300', got {value!r}")
