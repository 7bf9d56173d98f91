"""Carries the messages of rounds and reads to the members, and their answers back, on a `Host`."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from honeywharf.control import messages
from honeywharf.control.address import address_of
from honeywharf.control.messages import Accept, Answer, OtherDisk
from honeywharf.control.register import Asking, Send, Sends

if TYPE_CHECKING:
    from honeywharf.control.mesh_state import Key
    from honeywharf.control.texts import ConfigurationTexts
    from honeywharf.control.voter import Voter
    from honeywharf.transport.host import Host, Timer
    from honeywharf.transport.rpc import Caller

WITHIN_S = 0.4  # that one message of the register may take; more with a text
UNASKED_BYTES = 64 << 10  # of a text that is sent with a proposal though nobody has asked for it
LINK_RATE = 20e6  # bytes a second of a link whose rate is not known
LINK_SHARE = 0.5  # of the link's rate, that texts on their way to all members may take
BYTES_PER_MEGABIT = 125_000.0
MIN_WAIT_S = 0.001

Over = Callable[[], None]


class QuorumClient:
    """See the module. `heard` is told of each member that has answered."""

    def __init__(
        self,
        host: Host,
        caller: Caller,
        voter: Voter,
        texts: ConfigurationTexts,
        heard: Callable[[Key], None],
    ) -> None:
        self.host, self.caller, self.voter, self.texts, self.heard = host, caller, voter, texts, heard
        self.link_rate = LINK_RATE  # bytes a second

    def linked(self, mbps: float) -> None:
        """The link of this machine carries so much."""
        self.link_rate = mbps * BYTES_PER_MEGABIT

    def drive(self, asking: Asking, sends: Sends, over: Over) -> None:
        """Carry a round's or a read's messages until it has a result; then `over()`."""
        if asking.result is not None:
            over()
            return
        here = self.voter.here
        for send in sends:
            if send.key[0] != here:
                self._send(asking, send, over)
        for send in sends:  # our own last: the others' disks work at the same time as ours
            if send.key[0] == here:
                self.host.after(0.0, partial(self._send_home, asking, send, over))
        asking.timer = self._timer(asking, over)

    def _timer(self, asking: Asking, over: Over) -> Timer:
        if asking.timer is not None:
            asking.timer.cancel()
        wait = max(MIN_WAIT_S, asking.due - self.host.now())
        return self.host.after(wait, partial(self._tick, asking, over))

    def _tick(self, asking: Asking, over: Over) -> None:
        self._go_on(asking, lambda: asking.tick(self.host.now()), over)

    def _go_on(self, asking: Asking, step: Callable[[], Sends], over: Over) -> None:
        """Take one step of something that is still at work."""
        if asking.result is not None:
            return
        self.drive(asking, step(), over)
        if asking.result is not None and asking.timer is not None:
            asking.timer.cancel()

    def _send_home(self, asking: Asking, send: Send, over: Over) -> None:
        """Ask our own acceptor."""
        if asking.result is not None:
            return
        if not send.with_text:
            self._answered(asking, send.key, over, self.voter.vote(send.request, None))
            return
        self._with_text(send, partial(self._vote_with_text, asking, send, over))

    def _vote_with_text(self, asking: Asking, send: Send, over: Over, text: bytes | None) -> None:
        answer = None if text is None else self.voter.vote(send.request, text)
        self._answered(asking, send.key, over, answer)

    def _send(self, asking: Asking, send: Send, over: Over) -> None:
        """Ask a peer's acceptor, with the text of the configuration where it is wanted."""
        if not send.with_text:
            self._call(asking, send, over, None)
            return
        self._with_text(send, partial(self._call_with_text, asking, send, over))

    def _call_with_text(self, asking: Asking, send: Send, over: Over, text: bytes | None) -> None:
        if text is None:
            self._answered(asking, send.key, over, None)
        elif len(text) > UNASKED_BYTES and not send.text_missing:
            self._call(asking, send, over, None)  # it may have it since an earlier try
        else:
            self._call(asking, send, over, text)

    def _with_text(self, send: Send, done: Callable[[bytes | None], None]) -> None:
        assert isinstance(send.request, Accept)
        self.texts.get(send.request.state.digest, done)

    def _call(self, asking: Asking, send: Send, over: Over, text: bytes | None) -> None:
        within = WITHIN_S + self._text_time(len(text or b""))
        packed = [messages.pack(send.request), text]
        self.caller.call(
            address_of(send.key[0]),
            "register.ask",
            packed,
            within,
            partial(self._received, asking, send.key, over),
        )

    def _text_time(self, size: int) -> float:
        """Seconds that a text may take to one member, while the others get it too."""
        copies = max(1, len(self.voter.state.members) - 1)
        return size * copies / (self.link_rate * LINK_SHARE)

    def _received(self, asking: Asking, key: Key, over: Over, packed: Any) -> None:
        """A peer's answer as it came, or None."""
        answer = None
        if packed is not None:
            try:
                answer = messages.unpack_answer(packed)
            except (ValueError, TypeError, LookupError) as fault:
                self.host.log(f"replica: from {key[0]} {fault}")
        self._answered(asking, key, over, answer)

    def _answered(self, asking: Asking, key: Key, over: Over, answer: Answer | None) -> None:
        """A member's answer, or none."""
        now = self.host.now()
        if answer is None:
            self._go_on(asking, lambda: self._lost(asking, now, key), over)
            return
        if not isinstance(answer, OtherDisk):
            self.heard(key)
        self._go_on(asking, lambda: asking.received(now, key, answer), over)

    @staticmethod
    def _lost(asking: Asking, now: float, key: Key) -> Sends:
        asking.lost(now, key)
        return []
