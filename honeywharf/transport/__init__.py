"""What a program of the mesh uses to reach its machine and other processes.

`host` is the interface to one machine: clock, connections, datagrams, disk. `event_loop` carries it out on
sockets, `simulation` in virtual time. On it: `framing`, remote calls (`rpc_client`, `rpc_server`), links
that carry requests between sidecars (`stream`, `link`, `link_server`), and HTTP for operators and backends
(`http_server`, `url_matcher`).
"""
