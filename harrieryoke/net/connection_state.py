"""Decisions on one client connection: may it be read, may its lines be handled, may it end. No I/O, no clock.

The connection's actor reports the events and asks before it acts. Whoever ends a connection names a reason;
`MAY_OWE` says for each whether calls may be left without an answer.
"""

from __future__ import annotations

from enum import Enum

MAX_MEMORY_WAIT_MS = 500.0  # for memory to read on, after which what is read is refused
MEMORY_WAIT_SHARE = 0.4  # of a call's time, that its line may wait so, as far as its budget has been read


class EndReason(Enum):
    """Why a connection ends."""

    CLIENT_LEFT = "client-left"  # the client closed, half-closed or reset it
    NOTHING_ACCEPTED = "nothing-accepted"  # for the whole write time-out the kernel took nothing for it
    IDLE = "idle"  # nothing is open on it for longer than the limits allow
    PLACE = "place"  # a new connection needs its place
    LINE_TOO_LONG = "line-too-long"  # it sent one that can't be read, and no call is open
    STOPPING = "stopping"  # the process stops
    TRANSFERRED = "transferred"  # another process has taken over; the client keeps its connection
    FAULT = "fault"  # an actor has died


# whether calls may be left without an answer
MAY_OWE = {
    EndReason.CLIENT_LEFT: True,
    EndReason.NOTHING_ACCEPTED: True,
    EndReason.IDLE: False,
    EndReason.PLACE: False,
    EndReason.LINE_TOO_LONG: False,
    EndReason.STOPPING: False,
    EndReason.TRANSFERRED: False,
    EndReason.FAULT: False,
}


class Refusal(Enum):
    """Why a line is refused in place of being handled."""

    NO_MEMORY = "no memory to read this request"
    TOO_LONG = "the line is too long"
    NO_PLACE = "no place for this connection"
    STOPPING = "the process stops"


class ConnectionState:
    """What a connection owes its client, told by events."""

    __slots__ = (
        "ended",
        "has_partial",
        "is_giving_way",
        "is_reading_stopped",
        "lines",
        "open_ids",
        "unsent_answers",
        "unsent_bytes",
    )

    def __init__(self) -> None:
        self.open_ids: dict[int, None] = {}  # of calls that were handled and have no answer
        self.lines = 0  # read whole and not handled
        self.has_partial = False  # a line has begun that is not refused
        self.unsent_bytes = 0  # that the kernel has not accepted
        self.unsent_answers = 0  # among them, to calls; errors for lines without an id are none
        self.is_giving_way = False  # what it sent is passed over, and it ends if that comes to an end
        self.is_reading_stopped = False  # the process ends before what comes now could be answered
        self.ended: EndReason | None = None

    # --- events ---

    def lines_read(self, count: int) -> None:
        """The connection has so many more lines that are not handled."""
        self.lines += count

    def line_handled(self, count: int = 1) -> None:
        """One of them was handled or refused, or so many were."""
        assert count <= self.lines, "a line was handled that was not read"
        self.lines -= count

    def partial_changed(self, has_partial: bool) -> None:
        """A line has begun, or the last one is whole or refused."""
        self.has_partial = has_partial

    def call_opened(self, id: int) -> None:
        """A call waits for its answer."""
        self.open_ids[id] = None

    def call_closed(self, id: int) -> None:
        """The call was answered, or its client gave it up."""
        del self.open_ids[id]

    def unsent_changed(self, size: int, answers: int) -> None:
        """So many bytes wait for the kernel, and so many answers to calls are among them."""
        self.unsent_bytes, self.unsent_answers = size, answers

    def giving_way_changed(self, is_giving_way: bool) -> None:
        """The connection gives way to others, or could not."""
        self.is_giving_way = is_giving_way

    def reading_stopped(self) -> None:
        """The process ends: nothing more is read."""
        self.is_reading_stopped = True

    def connection_ended(self, reason: EndReason) -> None:
        """The connection has ended: nothing is read, handled or written any more."""
        if self.ended is None:
            self.ended = reason

    # --- decisions ---

    def may_read(self) -> bool:
        """Return whether to read on: while answers wait, the kernel's window slows the client down."""
        is_stopped = self.is_giving_way or self.is_reading_stopped
        return self.ended is None and not self.unsent_bytes and not is_stopped

    def may_handle(self) -> bool:
        """Return whether the next line may be handled, which may add an answer to those that wait."""
        return self.may_read()

    def must_refuse(self, waited_ms: float, budget_ms: float | None = None) -> bool:
        """Return whether to refuse what is read, as it has waited so long for memory.

        `budget_ms` is the whole time of the first call in it, if that is known.
        """
        allowed_ms = MAX_MEMORY_WAIT_MS
        if budget_ms is not None:
            allowed_ms = min(allowed_ms, MEMORY_WAIT_SHARE * budget_ms)
        return self.ended is None and waited_ms > allowed_ms

    def owes(self, has_unread: bool) -> bool:
        """Return whether a call may be without a whole answer; `has_unread`: the kernel holds input."""
        return bool(self.open_ids or self.lines or self.unsent_answers or has_unread)

    def is_busy(self) -> bool:
        """Return whether something is left to do for the client, whether or not it is owed."""
        return bool(self.unsent_bytes) or self.owes(False)

    def may_end(self, reason: EndReason, has_unread: bool) -> bool:
        """Return whether the connection may end for this reason. A partial line is no call yet."""
        return MAY_OWE[reason] or not self.owes(has_unread)
