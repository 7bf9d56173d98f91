"""Requests, attempts and answers of no protocol, and the driver that passes them to the decision module.

Theory of operation. A protocol's front turns what it reads into a `messages.Request`, gives it to the
driver, and is told its one final answer, a `Status` with a body. The driver hands events to the decision
module one at a time and carries out its actions in order. An attempt is a `transport.UpstreamRequest` that a
protocol's backend writes in its own form; what becomes of it is one `interface.Outcome` and, where an
answer came, a `messages.Response`.

Arrows point one way: http, coap, discovery -> codecs -> core -> the decision module. Nothing here imports a
protocol or opens a socket, and no protocol's package imports another's (tests/test_layers.py).
"""
