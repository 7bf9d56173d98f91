"""What an old process gives the new one that takes its place.

`frames` has the bytes (versioned, checksummed), `knowledge` what has been learned and `state` all that is
given, without I/O; `link` is the Unix socket between the two and the file beside it.
"""
