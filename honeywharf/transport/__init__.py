"""Transport: how the mesh's programs reach their machine and other processes.

`host` is the interface to one machine: clock, connections, datagrams, disk. `event_loop` implements it on
sockets, and the `simulation` package in virtual time. On top of it are `framing`, remote calls (`rpc_client`,
`rpc_server`), links that carry requests between sidecars (`stream`, `link`, `link_server`), and HTTP for
operators and backends (`http_server`, `url_matcher`).
"""
