"""The disks of three control nodes after some changes, stored as one directory for each node."""

from __future__ import annotations

from pathlib import Path

from tests.control.cluster import ControlCluster

GOLDEN = Path(__file__).with_name("golden")
DISKS = GOLDEN / "disks"
SEED = 31
VERSIONS = range(1, 13)
EVACUATED = "b"


def content(version: int) -> str:
    """Returns the content of a version's configuration."""
    return f"content of {version}"


def play() -> dict[str, dict[str, bytes]]:
    """Makes the changes; returns the files by node and name."""
    cluster = ControlCluster(SEED)
    cluster.run(0.5)
    for version in VERSIONS:
        call = cluster.replace(cluster.ips[version % 3], version, content(version))
        cluster.run(0.5)
        assert call.status == 200, version
    assert cluster.call(cluster.ips[0], "POST", f"/api/evacuations/{EVACUATED}/start") is not None
    cluster.run(4.0)
    return {ip: dict(cluster.network.machines[ip].disk.files) for ip in cluster.ips}


def read() -> dict[str, dict[str, bytes]]:
    """Returns the golden files by node and name."""
    return {
        folder.name: {path.name: path.read_bytes() for path in sorted(folder.iterdir())}
        for folder in sorted(DISKS.iterdir())
    }
