"""Requests, attempts and answers of no protocol, and the driver that passes them to the decision module.

Theory of operation. A protocol's front turns what it reads into a `messages.Request`, gives it to the
driver, and is told its one final answer, a `Status` with a body. The driver hands events to the decision
module one at a time and carries out its actions in order. An attempt is a `transport.UpstreamRequest` that a
protocol's backend writes in its own form; what becomes of it is one `interface.Outcome` and, where an
answer came, a `messages.Response`.

By concern; each knows those above it only:

    messages, transport     requests, answers; what the driver stands between
    seams                   where what is no part of the driver hangs on, in the order of a request's course
    turns                   how late this proxy itself is
    exchange                a request in the table, its attempts, and its own seams: sending, ended, finished,
                            settled
    forms                   arrival: whether a request has its class's form, and its time
    probes                  health checks, each bounded in time
    driver                  events in, actions out, timers, the table

Arrows point one way: http, coap, discovery -> codecs -> core -> the decision module. Nothing here imports a
protocol or opens a socket, and no protocol's package imports another's (tests/test_layers.py).
"""
