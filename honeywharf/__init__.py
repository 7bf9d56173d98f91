"""honeywharf: a load balancer's decisions as a library, without I/O."""

from honeywharf.policy import Balancer, interface

VERSION = "0.3.0"

__all__ = ["VERSION", "Balancer", "interface"]
