"""Protocol-independent requests, attempts and answers, and the driver that runs the decision module.

Theory of operation. A protocol's front end parses its input into a `messages.Request`, submits it to the
driver, and receives exactly one final answer: a `Status` with a body. The driver hands events to the decision
module one at a time and carries out the returned actions in order. An attempt is a
`transport.UpstreamRequest` that the protocol's backend writes in its own format; its result is one
`interface.Outcome` and, if an answer came, a `messages.Response`.

Modules, in order of dependency; each one knows only those above it:

    messages, transport     requests and answers; the interfaces around the driver
    hooks                   extension points, in the order in which a request passes them
    turns                   the delay with which this proxy reads its input, by turns of the event loop
    exchange                a request in the driver's table, its attempts, and the calls of its observers
    validation              whether a request fits its class, and how long it may take
    probes                  health checks, each with a time-out
    driver                  events in, actions out, timers, the table of requests
    components              optional features of a proxy that start, drain and close with it
    transport_router        routes requests to one of several transports, by endpoint

Dependencies point one way: http, coap, discovery -> codecs -> core -> the decision module. Nothing here
imports a protocol or opens a socket, and no protocol's package imports another's (tests/test_layers.py).
"""
