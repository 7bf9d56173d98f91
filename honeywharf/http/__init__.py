"""HTTP/1.1: callers' connections (front) and connections to nodes (backend)."""
