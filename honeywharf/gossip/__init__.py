"""News: what each node says of itself, told to all by rumours and mended by digests. Rules without I/O."""
