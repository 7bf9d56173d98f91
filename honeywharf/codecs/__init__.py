"""Bytes to messages and back, one protocol a module, without sockets."""
