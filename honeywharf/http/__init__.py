"""HTTP/1.1: connections of clients (front) and connections to nodes (backend)."""
