"""The quota for incomplete request bodies at a destination: total bytes, count, and bytes per tenant."""

from __future__ import annotations


class BodyQuota:
    """The reserved bytes. `tenant_share` is the part of `max_bytes` that one tenant may reserve, 0 to 1."""

    __slots__ = ("by_tenant", "count", "max_bodies", "max_bytes", "reserved_bytes", "tenant_share")

    def __init__(self, max_bytes: int = 96 << 20, max_bodies: int = 1024, tenant_share: float = 0.5) -> None:
        if not 0.0 < tenant_share <= 1.0:
            raise ValueError(f"tenant_share: expected above 0 and at most 1, got {tenant_share}")
        self.max_bytes, self.max_bodies, self.tenant_share = max_bytes, max_bodies, tenant_share
        self.reserved_bytes = self.count = 0
        self.by_tenant: dict[str, int] = {}

    def fits(self, tenant: str, size: int) -> bool:
        """Returns whether `size` more bytes fit the total and the tenant's share."""
        of_tenant = self.by_tenant.get(tenant, 0) + size
        return (
            self.reserved_bytes + size <= self.max_bytes and of_tenant <= self.tenant_share * self.max_bytes
        )

    def reserve(self, tenant: str, size: int) -> bool:
        """Reserves bytes for a new body; returns False if the quota is exhausted."""
        if self.count >= self.max_bodies or not self.fits(tenant, size):
            return False
        self.count += 1
        self._adjust(tenant, size)
        return True

    def extend(self, tenant: str, size: int) -> bool:
        """Reserves more bytes for a body that has a reservation; returns False if the quota is exhausted."""
        if not self.fits(tenant, size):
            return False
        self._adjust(tenant, size)
        return True

    def release(self, tenant: str, size: int) -> None:
        """Releases the reservation of one body."""
        self.count -= 1
        self._adjust(tenant, -size)

    def _adjust(self, tenant: str, size: int) -> None:
        self.reserved_bytes += size
        of_tenant = self.by_tenant.get(tenant, 0) + size
        if of_tenant:
            self.by_tenant[tenant] = of_tenant
        else:
            self.by_tenant.pop(tenant, None)
