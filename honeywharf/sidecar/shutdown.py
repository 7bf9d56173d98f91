"""Graceful shutdown of a sidecar after SIGTERM: no request under way is lost, and clients go elsewhere.

Theory of operation. The steps, in seconds since SIGTERM; `end` is `grace-period` less a margin:

    0             not ready any more; answers close their connections; requests have until `end`
    quiet - 0.8   the gate before the backend closes; requests that run there finish meanwhile
    quiet         the platform has noticed and sends no new clients; idle connections are closed
    from quiet    the process ends as soon as nothing is under way
                  and requests that may outlast it are rejected at once, with Retry-After (`lifetime`)
    end           every request still under way gets its final answer, then the process ends

The platform goes on sending clients to a sidecar that is not ready where too few others of its zone are, so
requests may arrive until the end. A connection that is closed without an answer leaves its client not knowing
whether the request has run; each request that was read is therefore answered, at the latest at `end`.
Source: RULES (LOST), PROTOCOL ("How clients arrive").
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Sized
    from typing import Protocol

    from honeywharf.sidecar.lifetime import Lifetime
    from honeywharf.transport.host import Host

    class RequestSource(Protocol):
        """The requests of this process's clients."""

        lifetime: Lifetime

        @property
        def active_requests(self) -> Sized:
            """Requests under way."""

    class ClientSide(Protocol):
        """The address that clients come to."""

        @property
        def clients(self) -> Sized:
            """Clients' connections."""

        def drain(self) -> None:
            """Starts shutting down: answers close their connections from now on."""

        def close_idle(self) -> None:
            """Closes connections without a request under way."""

        def finish(self) -> None:
            """Gives every request under way its final answer, as this process ends now."""

        def close(self) -> None:
            """Stops listening."""

    class BackendSide(Protocol):
        """The requests to the backend on this machine."""

        shutting_down: bool  # the gate rejects requests that may be queued elsewhere

        @property
        def pending_requests(self) -> Sized:
            """Requests under way."""

        def finish(self) -> None:
            """Reports to the source of each request what is known of it, as this process ends now."""


QUIET_AFTER_S = 2.6  # from SIGTERM until the platform has noticed and sends no new clients
GATE_CLOSES_BEFORE_S = 0.8  # the gate closes this long before the platform has noticed
END_MARGIN_S = 0.4  # the last requests are answered this long before the end of `grace-period`
# The margin is at most this share of `grace-period`: less than the last sixth, in which a request that was
# sent early enough may be broken off.
MAX_END_MARGIN_SHARE = 0.15
CHECK_S = 0.1
EXIT_DELAY_S = 0.02  # between the last answers and the exit, so that the written bytes are sent


class Shutdown:
    """The graceful shutdown of one process; `gate_closed()` and then `ended()` are called once each."""

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
        self.lifetime = source.lifetime
        self.gate_closed, self.ended = gate_closed, ended
        self.grace_s = grace_period_s - min(END_MARGIN_S, MAX_END_MARGIN_SHARE * grace_period_s)
        self.quiet_s = min(QUIET_AFTER_S, self.grace_s / 2)
        self.started_at: float | None = None
        self.ending = False

    @property
    def begun(self) -> bool:
        """Whether SIGTERM was received."""
        return self.started_at is not None

    def begin(self) -> None:
        """Starts the shutdown; called at SIGTERM."""
        if self.started_at is not None:
            return
        self.started_at = self.host.now()
        self.host.log("SIGTERM received; shutting down")
        self.lifetime.plan_end(self.started_at + self.grace_s, self.started_at + self.quiet_s)
        self.outbound.drain()
        self.host.after(max(0.0, self.quiet_s - GATE_CLOSES_BEFORE_S), self._close_gate)
        self.host.after(CHECK_S, self._check)
        self.host.after(self.grace_s, self._end)

    def _close_gate(self) -> None:
        self.inbound.shutting_down = True
        self.gate_closed()

    def _check(self) -> None:
        """Ends the process as soon as clients have gone and nothing is under way."""
        if self.started_at is None or self.ending:
            return
        quiet = self.host.now() - self.started_at >= self.quiet_s
        if quiet:
            self.outbound.close_idle()
        if quiet and self._empty():
            self._end()
        else:
            self.host.after(CHECK_S, self._check)

    def _empty(self) -> bool:
        return (
            not self.source.active_requests
            and not self.inbound.pending_requests
            and not self.outbound.clients
        )

    def _end(self) -> None:
        """Answers every request under way, then exits."""
        if self.ending:
            return
        self.ending = True
        self._log_end()
        self.outbound.close()
        self.outbound.finish()
        self.inbound.finish()
        self.ended()
        self.host.after(EXIT_DELAY_S, self._exit)

    def _log_end(self) -> None:
        """Logs what the end costs: requests refused because of it, and requests that it breaks off."""
        lasted_s = self.host.now() - (self.started_at or 0.0)
        self.host.log(
            f"shutdown ends after {lasted_s:.2f} s: refused {self.lifetime.refused}, broken off"
            f" {len(self.source.active_requests)} of clients here and {len(self.inbound.pending_requests)}"
            " at the backend here"
        )

    def _exit(self) -> None:
        self.host.exit(0)
