"""What lies under the ground: a machine's clock, wires and disk (`host`, `loop`), frames and links between proxies."""
