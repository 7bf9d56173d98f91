"""Stand-ins for what a proxy meets outside itself: registry, nodes, racks, front and clients, on loopback.

The proxy imports none of this. `honeywharf.lab.model` does no I/O and is shared with the simulator in virtual
time, so that both run the same fleet. All random draws come from a seed.
"""
