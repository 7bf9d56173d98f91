"""The laboratory simulates days of a fleet in virtual time, with the real decision modules.

Theory of operation. The code under comparison is always that of the product: `policy` and the packages of
rules, driven event by event. Its surroundings are models with seeded random values:

    model        a node and its rack: cores, a queue, the cold start, jams
    http_server  the server of a proxy: accept queue, accept rate, descriptors, one core
    habits       how clients retry after a refusal, in the laboratory and on loopback
    simulator    a day: nodes, proxies, clients and faults in an event loop
    population   up to two million clients as rows of arrays, in place of arrivals by rate
    histories    the events that clients and nodes observed, and the rules that they break
    days         the seeded days on which limiters are compared
    experiments  TOML files of a day, a sweep of parameters and seeds, expanded into cells
    measures     the figures of a day
    results      a bounded file of finished cells, from which a killed run continues
    runs         cells on all cores, with a progress bar
    reports      an HTML page of a file of results, and the comparison of two settings
    demo         the outage of the command `demo --storm`

A cell always gives bit-identical figures: only the progress bar reads a clock, and every random source is
seeded.
"""
