"""Leases for singleton roles: granted by a majority of the control nodes, and over before their votes end."""
