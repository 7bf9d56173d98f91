"""All decisions of the balancer: which server gets a call, whether to retry, and which requests are refused.

Theory of operation. A `Balancer` takes events (`interface`) and returns actions to carry out at once, one
event at a time, on its caller's clock. It does no I/O, sets no timer and reads no clock; the same events with
the same seed give exactly the same actions. Its state lies in modules with one concern each; a module uses
only those listed above it:

    reasons     why a request was given up, and the state that a choice was made from
    actions     what the embedding proxy is asked to carry out
    interface   events and settings (`honeywharf.terms`), which the proxy builds
    endpoints   the servers as discovery lists them, their zones, slow start, and the levels made of them: own
                zone, every zone, every ready server
    requests    the attempts of a request, and what they prove of its effect
    health      outlier detection: which servers are ejected
    choice      an even random choice in the first level that has a usable server with room
    admission   load shedding: limits of zones (`honeywharf.limits`) and of this proxy, quotas, values
    retry       the cost of further attempts, and hung calls
    balancer    the processing of a request by all of these

    levels      the sidecar's choice of a backend; it uses none of the others

Rules that no module may break:

- A request gets one final answer: only `balancer` appends `Refuse` or `Fail`, and closes the request with it.
- No effect twice: `Request.may_send_to` is asked before each further attempt, and `Request.may_refuse` before
  each refusal, which promises the client that a repeat is harmless.
- A server that discovery has not listed as ready is in no level, so no new call is sent to it.
- Ejection never empties a fleet: with no server usable, all ready servers count as usable.
- A cold server's part of the calls never exceeds its part of capacity.

Impossible events (for an unknown attempt, or one that has ended) change nothing.
"""
