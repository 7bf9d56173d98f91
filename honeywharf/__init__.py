"""honeywharf: a load balancer's decisions as a library, without I/O."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywharf.policy import interface
    from honeywharf.policy.balancer import Balancer

VERSION = "0.3.0"

__all__ = ["VERSION", "Balancer", "interface"]


def __getattr__(name: str) -> object:
    """The decisions, loaded when they are first asked for.

    The mesh's programs need other parts, and little memory.
    """
    if name == "Balancer":
        from honeywharf.policy.balancer import Balancer

        return Balancer
    if name == "interface":
        from honeywharf.policy import interface

        return interface
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
