"""Room for half-finished bodies at a destination: by bytes over all, by count, by each tenant's share."""

from __future__ import annotations


class Hold:
    """What is reserved. `share`: the part of all bytes that one tenant may have, 0 to 1."""

    __slots__ = ("by_tenant", "bytes", "count", "most_bytes", "most_count", "share")

    def __init__(self, most_bytes: int = 96 << 20, most_count: int = 1024, share: float = 0.5) -> None:
        if not 0.0 < share <= 1.0:
            raise ValueError(f"found a share of {share}, wanted above 0 and at most 1")
        self.most_bytes, self.most_count, self.share = most_bytes, most_count, share
        self.bytes = self.count = 0
        self.by_tenant: dict[str, int] = {}

    def fits(self, tenant: str, size: int) -> bool:
        """Whether so many further bytes may be reserved for a tenant."""
        mine = self.by_tenant.get(tenant, 0) + size
        return self.bytes + size <= self.most_bytes and mine <= self.share * self.most_bytes

    def enter(self, tenant: str, size: int) -> bool:
        """Reserve for one more body; False where there is no room."""
        if self.count >= self.most_count or not self.fits(tenant, size):
            return False
        self.count += 1
        self._add(tenant, size)
        return True

    def grow(self, tenant: str, size: int) -> bool:
        """Reserve more for a body that has entered; False where there is no room."""
        if not self.fits(tenant, size):
            return False
        self._add(tenant, size)
        return True

    def leave(self, tenant: str, size: int) -> None:
        """Give back all that one body has reserved."""
        self.count -= 1
        self._add(tenant, -size)

    def _add(self, tenant: str, size: int) -> None:
        self.bytes += size
        mine = self.by_tenant.get(tenant, 0) + size
        if mine:
            self.by_tenant[tenant] = mine
        else:
            self.by_tenant.pop(tenant, None)
