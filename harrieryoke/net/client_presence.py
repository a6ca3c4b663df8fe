"""Whether a client is still there, and still wants its calls, as far as that can be known at a moment."""

from __future__ import annotations

from collections.abc import Iterator

from ..core.clock import now_ms
from ..core.process_memory import is_receive_buffer_full
from ..core.records import Call
from .client_messages import CallUnsafe, LineReceived
from .connection_input import QUIET_MS, ConnectionInput
from .connection_state import EndReason
from .unread import InputState, gives_up, input_state, ms_since_data, peek

MAX_UNREAD_MS = 100.0  # after a client has left, no attempt may begin; what it sent may hide that for so long


class ClientPresence(ConnectionInput):
    """Answers, before the first byte of an attempt, whether its call is still wanted."""

    open: dict[int, Call]
    ids: dict[Call, int]

    def open_calls(self) -> int:
        """Return how many calls of the connection have no answer yet."""
        return len(self.open)

    def has_withdrawn(self, call: Call) -> bool:
        """Return whether nothing may be sent for the call any more; asked directly before its first byte.

        The client's end, or its `giveUp`, may lie behind bytes that are not read yet. Where these were unread
        for too long, not even the kernel need know of an end, and the call counts as withdrawn.
        """
        if call.abandoned or self.finished:
            return True
        state = input_state(self.sock)
        if state is InputState.ENDED:
            self.end_connection(EndReason.CLIENT_LEFT)
        elif state is InputState.UNREAD:
            call.abandoned = self.is_given_up(call) or self.must_refuse(call)
        elif self.state.lines:
            call.abandoned = self.is_given_up(call)
        return call.abandoned

    def is_given_up(self, call: Call) -> bool:
        """Return whether a line that is not handled yet gives the call up."""
        id = self.ids.get(call)
        return id is None or gives_up(self.unhandled_lines(), id, call.request_id)

    def waiting_messages(self) -> Iterator[object]:
        """Yield the messages that are not handled yet, in order."""
        yield from self.mailbox

    def unhandled_lines(self) -> Iterator[bytes]:
        """Yield the lines that are in the mailbox, before it, or still unread."""
        for message in self.waiting_messages():
            if isinstance(message, LineReceived):
                yield message.data
        yield from (self.input.unread() + peek(self.sock)).split(b"\n")

    def must_refuse(self, call: Call) -> bool:
        """Return whether bytes were unread for too long to know of the client; the call is answered then.

        As long as the client may send more, its end would have arrived behind what is unread.
        """
        now = now_ms()
        if now > self.read_at + QUIET_MS and not is_receive_buffer_full(self.sock):
            return False
        since = now - ms_since_data(self.sock)
        if self.unread_since is not None and now <= self.quiet_from:
            since = min(since, self.unread_since)
        if now - since <= MAX_UNREAD_MS:
            return False
        self.send_bounded(CallUnsafe(call))
        return True
