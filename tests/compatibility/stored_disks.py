"""The disks of three control nodes after a few changes, as files of one folder a node."""

from __future__ import annotations

from pathlib import Path

from tests.control.town import Town

GOLDEN = Path(__file__).with_name("golden")
DISKS = GOLDEN / "disks"
SEED = 31
VERSIONS = range(1, 13)
EVACUATED = "b"


def content(version: int) -> str:
    """What the configuration of a version says."""
    return f"content of {version}"


def play() -> dict[str, dict[str, bytes]]:
    """Make the changes; files by node and name."""
    town = Town(SEED)
    town.run(0.5)
    for version in VERSIONS:
        call = town.replace(town.ips[version % 3], version, content(version))
        town.run(0.5)
        assert call.status == 200, version
    assert town.call(town.ips[0], "POST", f"/api/evacuations/{EVACUATED}/start") is not None
    town.run(4.0)
    return {ip: dict(town.world.machines[ip].disk.files) for ip in town.ips}


def read() -> dict[str, dict[str, bytes]]:
    """The golden files."""
    return {
        folder.name: {path.name: path.read_bytes() for path in sorted(folder.iterdir())}
        for folder in sorted(DISKS.iterdir())
    }
