"""CoAP (RFC 7252) beside HTTP, on the same core, under the same rules.

Theory of operation, from below: `codecs.coap` turns datagrams into messages, `options` into the core's
requests and back, `blocks` puts long ones together (RFC 7959). `messages` is the message layer of a
server: it tells a request that is new from one that it has had, acknowledges what takes long, and sends
again what got lost. `client` is that of a client towards one node, and knows what each end of a request
proves. None of them has a socket or a clock, and all have their bounds. `front` and `backend` are the
sockets round them.
"""
