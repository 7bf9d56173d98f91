"""A deterministic simulation of the mesh's own programs in virtual time, with injected faults.

`world` is the event queue, `machine` the machines, processes and network (`transport/host.py`), `disk`
their disks, `deployment` a mesh, `actors` its clients, backends and operators, `invariants` the rules,
`fault_schedule` and `rare_faults` the faults, and `run` a run by seed and the reduction of its faults.
"""
