"""CoAP (RFC 7252) beside HTTP, on the same core, under the same rules.

Theory of operation, from below: `codecs.coap` turns datagrams into messages. `messages` is the message
layer of a server: it tells a request that is new from one that it has had, acknowledges what takes long,
sends what got lost again, and keeps its memory within bounds; no sockets, no clock. `options` are the
options by which a request tells what HTTP tells in headers. `front` is the socket, and turns requests into
the core's and final answers into codes.
"""
