"""The interface between a proxy and its optional features: components that start, drain and close."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from honeywharf.core.driver import Driver
from honeywharf.core.transport import AddressBook, Clock, Transport
from honeywharf.policy.balancer import Balancer

if TYPE_CHECKING:
    import asyncio


class Listener(Protocol):
    """The part of the client listener that features use."""

    paced: bool

    def ready(self) -> bool:
        """Whether clients may connect."""

    def pace(self, per_s: float) -> None:
        """Limits the accepted connections to `per_s` a second; 0 removes the limit."""


class ProxyContext(Protocol):
    """The proxy as a feature's `attach` sees it."""

    name: str
    loop: asyncio.AbstractEventLoop
    clock: Clock
    driver: Driver
    balancer: Balancer
    transport: Transport  # to the backends; a feature may add others beside it
    address_books: dict[str, AddressBook]  # address books by the scheme of the endpoints

    @property
    def front(self) -> Listener:
        """The client listener."""

    def drain(self) -> None:
        """Takes the proxy out of service without losing a request."""

    def operations(self) -> Mapping[str, OperatorCommand]:
        """The operators' commands to the proxy, for every admin interface."""

    def counts(self) -> Mapping[str, int]:
        """Returns event counts since the start, with those of the components."""

    @property
    def components(self) -> list[Component]:
        """The features in use."""

    def in_force(self) -> dict[str, object]:
        """Returns the effective configuration and where each value was read."""

    def add_transport(self, scheme: str, transport: Transport, book: AddressBook) -> None:
        """Adds a transport for endpoints of a scheme, beside the existing ones."""


class OperatorCommandError(ValueError):
    """An operator's command can't be executed; the message says what was found and what is expected."""


class MutatingCommand:
    """A command that changes something: it needs a confirmation, and the log records its sender."""

    def __init__(self, command: OperatorCommand) -> None:
        self.command = command

    def __call__(self, arguments: Mapping[str, str]) -> Any:
        """Executes the command."""
        return self.command(arguments)


#: Takes the command's arguments by name. Returns plain values or an awaitable; OperatorCommandError.
OperatorCommand = Callable[[Mapping[str, str]], Any]


class Component:
    """A feature in use; methods that a feature does not need keep these defaults."""

    async def start(self) -> str:
        """Starts to serve. Returns a line for the operator, empty if there is none."""
        return ""

    def drain(self) -> None:
        """Accepts nothing new, because the proxy leaves service."""

    def has_pending_answers(self) -> bool:
        """Whether a client still waits for an answer."""
        return False

    def counts(self) -> Mapping[str, int]:
        """Returns event counts since the start, for the operator's status line."""
        return {}

    def operator_commands(self) -> Mapping[str, OperatorCommand]:
        """Returns the feature's commands by name; those that change something are a `MutatingCommand`."""
        return {}

    def settings_changed(self) -> None:
        """Applies new settings of the driver."""

    def close(self) -> None:
        """Closes the component once no client waits for an answer."""
