"""The simulated network: the mesh's own programs in virtual time, by seed, the rules checked as they run.

`world` is time, `machine` what a program is given (`transport/host.py`), `standins` who is met outside,
`rules` what must hold, `days` what goes wrong, `run` the whole, and the search for the least that breaks a
rule.
"""
