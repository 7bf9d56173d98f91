"""What a feature is to the proxy that it is attached to: a part that starts, drains and closes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from honeywharf.core.driver import Driver
from honeywharf.core.transport import AddressBook, Clock, Transport
from honeywharf.policy.balancer import Balancer

if TYPE_CHECKING:
    import asyncio


class Paced(Protocol):
    """The listener of callers, as far as a feature may ask and set it."""

    paced: bool

    def ready(self) -> bool:
        """Whether clients may come."""

    def pace(self, per_s: float) -> None:
        """Accept so many connections a second from now on; 0 for no bound."""


class Assembly(Protocol):
    """The proxy as a feature's `attach` sees it."""

    name: str  # of this proxy
    loop: asyncio.AbstractEventLoop
    clock: Clock
    driver: Driver
    balancer: Balancer
    transport: Transport  # the way to nodes; a feature may put others beside it
    books: dict[str, AddressBook]  # by the scheme of endpoints: who is told where they are

    @property
    def front(self) -> Paced:
        """Where callers come."""

    def drain(self) -> None:
        """Leave service without losing a request."""

    def operations(self) -> Mapping[str, Ask]:
        """What operators may have done to the proxy, for every door."""

    def counts(self) -> Mapping[str, int]:
        """What was done since the start, with what its parts count."""

    @property
    def parts(self) -> list[Part]:
        """The features at work."""

    def in_force(self) -> dict[str, object]:
        """The configuration that is held, and where it was read."""

    def carry(self, scheme: str, transport: Transport, book: AddressBook) -> None:
        """Endpoints of that scheme are reached by another transport, beside those of before."""


class AskError(ValueError):
    """Why an operator's question can't be answered: what was found, and what is wanted."""


class Change:
    """An operator's question that changes something: it wants a confirmation, and the log tells who asked."""

    def __init__(self, do: Ask) -> None:
        self.do = do

    def __call__(self, of: Mapping[str, str]) -> Any:
        """Do it."""
        return self.do(of)


#: Of the question's further words, by name: an answer of plain values, or what it is waited for; AskError.
Ask = Callable[[Mapping[str, str]], Any]


class Part:
    """A feature at work; what it has no use for it leaves as it is here."""

    async def start(self) -> str:
        """Begin to serve; a line for the operator, or none."""
        return ""

    def drain(self) -> None:
        """The proxy leaves service: take nothing new."""

    def owed(self) -> bool:
        """Whether somebody is still owed an answer."""
        return False

    def counts(self) -> Mapping[str, int]:
        """What has been done since the start, for the operator's line."""
        return {}

    def asks(self) -> Mapping[str, Ask]:
        """What an operator may ask of it, by name; what changes something is a Change."""
        return {}

    def retuned(self) -> None:
        """The driver's settings are new."""

    def close(self) -> None:
        """Nobody is owed anything any more."""
