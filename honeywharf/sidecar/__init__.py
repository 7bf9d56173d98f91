"""The data plane: clients at one end, the backend at the other, and the gate that admits requests to it.

`outbound` and `client_connection` serve clients, `outbound_request` tries gates for one request, and `source`
holds what these requests share. `inbound` and `gate` admit requests at the destination, `backend` holds the
connections to the backend, `heartbeat_api` and `probe` learn its state. `mesh_state` is the mesh state in
force.
"""
