"""Settings files, configurations and routing tables, checked before anything acts on them."""
