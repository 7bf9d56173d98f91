"""Every decision of the balancer: which server, whether to try again, what is turned away.

Theory of operation. A `Balancer` takes events (`interface`: what happened) and gives actions (what to do at
once), one event at a time, on its caller's clock. It does no I/O, sets no timer and reads no clock; the same
events with the same seed give the same actions to the last bit. What it knows lies in parts, each with one
concern; a part knows those above it and none below:

    reasons     why a request was given up, and what a choice was made from
    actions     what an embedding proxy is asked to carry out
    interface   events, which it builds, and settings (`honeywharf.terms`: what a site tells, without a
                decision in it); with the actions, all that it knows of the module
    endpoints   the servers as discovery lists them, their zones, and the levels made of them: own zone, every
                zone, all that is ready; how warm a server is
    requests    what is kept of a request until its last attempt has ended: attempts, what they prove of its
                effect
    health      which servers count as absent for a while
    choice      an even random choice in the first level with a usable server that has room
    admission   what is turned away: limits of zones (`honeywharf.limits`), this proxy's own, tenants' shares,
                worth; where nodes' reports are read (`honeywharf.reports`), what they leave open of zones,
                beside zones' limits
    retry       the budget of further attempts, and calls that hang
    balancer    the course of a request through all of these

    levels      the mesh's choice at the source: own zone, then every zone, where the destination judges (it
                stands by itself)

Rules that no part may break, whatever the others ask for:

- A request gets one final answer: `balancer` alone appends `Refuse` or `Fail`, and closes the request so.
- No effect twice: `Request.may_send_to` is asked before each further attempt, and `Request.may_refuse` before
  each refusal, which tells the client that a repeat is harmless.
- A server that discovery has not listed as ready is in no level, so nothing new is sent to it.
- Ejection never leaves a live fleet unusable: with no server usable, all that are ready count as usable.
- A cold server's part of the calls never exceeds its part of capacity.

Impossible events (an attempt that never was, one that has ended) change nothing.
"""
