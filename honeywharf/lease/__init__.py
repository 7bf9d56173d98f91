"""Leases for duties that one proxy does: granted by a majority, over before they end."""
