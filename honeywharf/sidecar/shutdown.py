"""How a sidecar ends after SIGTERM: clients go elsewhere, what is under way is finished, nobody is cut off.

Theory of operation. The steps, in seconds since SIGTERM; `end` is `grace-period` less a margin:

    0             not ready any more; answers close their connections; requests have until `end`
    quiet - 0.8   the gate before the backend closes: what is at work behind it ends meanwhile
    quiet         the platform has noticed and sends no new clients; idle connections are closed
    from quiet    once nothing is under way, the process ends
    end - aim     requests that are not likely to be answered by `end` are refused, with a time to return
    end           whatever is still under way gets its final answer, then the process ends

The platform goes on sending clients to a proxy that is not ready where too few others of its zone are, so
requests may come until the very end. A connection that is closed without an answer leaves a client in doubt
whether its request has run; each request that was read is therefore answered, at the latest at `end`.
Source: RULES (LOST), PROTOCOL ("How clients arrive").
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Sized
    from typing import Protocol

    from honeywharf.transport.host import Host

    class RequestSource(Protocol):
        """The source of requests of this process's clients."""

        @property
        def courses(self) -> Sized:
            """Requests under way."""

    class ClientSide(Protocol):
        """The address that clients come to."""

        @property
        def clients(self) -> Sized:
            """Clients' connections."""

        def drain(self, end_at: float) -> None:
            """This process ends at `end_at`: answers close their connections."""

        def close_idle(self) -> None:
            """Close connections on which nothing is owed."""

        def finish(self) -> None:
            """This process ends now: every request under way gets its final answer."""

        def close(self) -> None:
            """Take no further connections."""

    class BackendSide(Protocol):
        """The requests before the backend on this machine."""

        end_at: float  # when this process ends
        leaving: bool

        @property
        def jobs(self) -> Sized:
            """Requests under way."""

        def finish(self) -> None:
            """This process ends now: the source of each request is told what is known of it."""


UNTIL_QUIET_S = 2.6  # by then the platform has noticed, and sends no new clients
GATE_S = 0.8  # before that, the gate closes
END_S = 0.4  # before the end of `grace-period`, the last requests are answered
END_PART = 0.2  # of `grace-period`, that this takes at most
CHECK_S = 0.1
LINGER_S = 0.02  # between the last answers and the exit: what was written leaves meanwhile


class Shutdown:
    """The planned end of one process; `gate_closed()` and `ended()` are called once each, in their turn."""

    def __init__(
        self,
        host: Host,
        grace_period_s: float,
        source: RequestSource,
        inbound: BackendSide,
        outbound: ClientSide,
        gate_closed: Callable[[], None],
        ended: Callable[[], None],
    ) -> None:
        self.host, self.source, self.inbound, self.outbound = host, source, inbound, outbound
        self.gate_closed, self.ended = gate_closed, ended
        self.grace_s = grace_period_s - min(END_S, END_PART * grace_period_s)
        self.quiet_s = min(UNTIL_QUIET_S, self.grace_s / 2)
        self.begun_at: float | None = None
        self.ending = False

    @property
    def begun(self) -> bool:
        """Whether SIGTERM has come."""
        return self.begun_at is not None

    def begin(self) -> None:
        """SIGTERM."""
        if self.begun_at is not None:
            return
        self.begun_at = self.host.now()
        self.host.log("leaving")
        end_at = self.begun_at + self.grace_s
        self.inbound.end_at = end_at
        self.outbound.drain(end_at)
        self.host.after(max(0.0, self.quiet_s - GATE_S), self._close_gate)
        self.host.after(CHECK_S, self._look)
        self.host.after(self.grace_s, self._end)

    def _close_gate(self) -> None:
        self.inbound.leaving = True
        self.gate_closed()

    def _look(self) -> None:
        """End as soon as clients have gone and nothing is under way."""
        if self.begun_at is None or self.ending:
            return
        quiet = self.host.now() - self.begun_at >= self.quiet_s
        if quiet:
            self.outbound.close_idle()
        if quiet and self._empty():
            self._end()
        else:
            self.host.after(CHECK_S, self._look)

    def _empty(self) -> bool:
        return not self.source.courses and not self.inbound.jobs and not self.outbound.clients

    def _end(self) -> None:
        """Answer whatever is under way, then exit."""
        if self.ending:
            return
        self.ending = True
        self.outbound.close()
        self.outbound.finish()
        self.inbound.finish()
        self.ended()
        self.host.after(LINGER_S, self._exit)

    def _exit(self) -> None:
        self.host.exit(0)
