"""Leases for singleton roles, granted by a majority of the control nodes; they expire before their votes."""
