"""The laboratory: whole days of a fleet in virtual time, with the real decision modules.

Theory of operation. What is compared is always the product's own code: `policy` and the packages of rules,
driven event by event. What is round it is a model, and drawn from a seed:

    model        a node and its rack: cores, a queue, warmth, jams
    habits       what clients do after a refusal, one table for the laboratory and for loopback
    simulator    one day: nodes, proxies, clients, troubles; a heap of events
    population   up to a million clients as rows of arrays, in place of the simulator's arrivals
    histories    what clients and nodes saw, and which rules that breaks
    days         the seeded days on which limiters are compared
    experiments  a TOML file: a day, a sweep of parameters, seeds; checked, and opened into cells
    measures     the figures of a day
    results      one bounded file of cells that are done; a run goes on where it was killed
    runs         cells over all cores, with a progress bar
    reports      one HTML page of a file of results, and the comparison of two settings

The same cell gives the same figures to the last bit, whatever runs beside it: nothing here reads a clock
or draws from a source without a seed, but for the progress bar.
"""
