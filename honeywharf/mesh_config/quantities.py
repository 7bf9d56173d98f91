"""Times and addresses as the mesh writes them in text. Sidecars import this: nothing but plain functions."""

from __future__ import annotations

DIGITS = frozenset("0123456789.")


def number(text: str) -> float:
    """A number without a sign, in decimal digits with at most one point. ValueError for anything else."""
    # float() would take "1e3", "nan", "1_0" and blanks too.
    if not DIGITS.issuperset(text) or text.count(".") > 1 or text in ("", "."):
        raise ValueError(f"{text!r} is not a number")
    return float(text)


def seconds(value: object) -> float:
    """A time such as `1500ms` or `2.5s`, in seconds. ValueError for anything else."""
    if isinstance(value, str):
        if value.endswith("ms"):
            return number(value[:-2]) / 1000.0
        if value.endswith("s"):
            return number(value[:-1])
    raise ValueError(f"{value!r} is not a time such as '1500ms' or '2.5s'")


def port(text: str) -> int:
    """A port, 1 to 65535. ValueError for anything else."""
    if text.isascii() and text.isdigit() and len(text) <= 5 and 0 < int(text) < 65536:
        return int(text)
    raise ValueError(f"{text!r} is not a port")


def _is_byte(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 3 and int(text) < 256


def ipv4(value: object) -> str:
    """An IPv4 address in dots, as it stands. ValueError for anything else."""
    if isinstance(value, str):
        parts = value.split(".")
        if len(parts) == 4 and all(_is_byte(part) for part in parts):
            return value
    raise ValueError(f"{value!r} is not an IPv4 address")


def address(value: object) -> tuple[str, int]:
    """An address such as `10.1.0.8:8300`, as (IPv4 in dots, port). ValueError for anything else."""
    if isinstance(value, str):
        host, colon, tail = value.rpartition(":")
        if colon:
            return ipv4(host), port(tail)
    raise ValueError(f"{value!r} is not an address such as '10.1.0.8:8300'")
