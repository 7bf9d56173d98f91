"""Stand-ins of what the proxy meets outside itself: registry, nodes, racks, front, clients, on loopback.

Nothing of it is imported by the proxy. `model` and `plan` do no I/O and are shared by the sockets here and by
the simulator in virtual time, so that both play the same fleet; everything random comes from a seed.
"""
