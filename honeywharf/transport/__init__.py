"""What lies under the ground.

A machine's clock, wires and disk (`host`, `loop`), frames and links between proxies.
"""
