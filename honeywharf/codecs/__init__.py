"""Encoders and decoders of messages, one module per protocol, without sockets."""
