"""Accepted connections that wait for a place: those that have sent a whole short call are served first."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from gevent import socket

from ..core.clock import now_ms
from ..memory_budget import MAX_PLACE_WAIT_MS
from .refusal import CALL_MEMBER, CALL_START, CallReader, call_budget_ms, encode_refusal, may_want_answer
from .unread import has_hung_up, ms_since_data, peek, send_now

MAX_WAIT_SHARE = 0.7  # of a call's time, that its connection may wait for a place
LOOK_EACH_MS = 20.0  # at what has come on a connection
LOOKED_AT_BYTES = 4 * 1024  # of it; a longer call is not short
MAX_FEW_CALLS = 4  # that a client sends at once, of which others need not be protected
MAX_ANSWERED_SHARE = 1 / 4  # of those that wait, which don't count as they have an answer


class Arrival(IntEnum):
    """What has come on a connection; those with more useful input get places first."""

    NOTHING = 0
    DATA = 1  # no whole short call
    MANY_CALLS = 2  # or other lines behind a short call
    FEW_CALLS = 3


def classify(data: bytes) -> Arrival:
    """Return what has come on a connection, from its first LOOKED_AT_BYTES."""
    line, end, _ = data.partition(b"\n")
    if not (end and CALL_MEMBER in line):
        return Arrival.DATA if data else Arrival.NOTHING
    is_few = data.count(b"\n") <= MAX_FEW_CALLS and len(data) < LOOKED_AT_BYTES
    return Arrival.FEW_CALLS if is_few else Arrival.MANY_CALLS


@dataclass(slots=True, eq=False)
class PendingConnection:
    """An accepted connection without an actor; `served_before` if it came from another process."""

    sock: socket.socket
    name: str
    served_before: bool = False
    accepted_at: float = 0.0
    arrival: Arrival = Arrival.NOTHING
    is_first_refused: bool = False  # its first call was refused, though nothing is read of it yet
    has_left: bool = False
    overdue_at: float = float("inf")
    looked_at: float = float("-inf")

    def look(self, now: float) -> None:
        """Look at what has come, unless that was done a moment ago."""
        if now - self.looked_at < LOOK_EACH_MS:
            return
        is_first, self.looked_at = self.looked_at < 0, now
        self.has_left = has_hung_up(self.sock)
        if self.arrival is Arrival.MANY_CALLS:
            return
        data = peek(self.sock, LOOKED_AT_BYTES)
        self.arrival = Arrival.FEW_CALLS if self.served_before else classify(data)
        # it may have waited in the kernel's backlog, too
        came_at = now - ms_since_data(self.sock) if is_first else self.accepted_at
        budget_ms = call_budget_ms(data)
        share = MAX_PLACE_WAIT_MS if budget_ms is None else MAX_WAIT_SHARE * budget_ms
        self.overdue_at = min(self.overdue_at, min(came_at, self.accepted_at) + min(MAX_PLACE_WAIT_MS, share))

    def refuse_first(self, reason: str, backoff_ms: float) -> None:
        """Refuse the first call, if its id has come; the rest of the connection may have to wait for that.

        A first line that is no call gets an error without an id.
        """
        if self.is_first_refused:
            return
        data = peek(self.sock, LOOKED_AT_BYTES)
        line, end, _ = data.partition(b"\n")
        if (start := CALL_START.match(data)) is not None:
            self.is_first_refused = send_now(self.sock, encode_refusal(int(start[1]), reason, backoff_ms))
        elif end and not may_want_answer(line):
            self.is_first_refused = send_now(self.sock, encode_refusal(None, reason, backoff_ms))

    def unread_calls(self) -> list[str]:
        """Return a name for each whole call that has come and has no answer."""
        return [f"unread call {id}" for id in CallReader(self.is_first_refused).feed(peek(self.sock))]


class PendingConnections:
    """The queue of connections for the next free places."""

    def __init__(self) -> None:
        self.waiting: deque[PendingConnection] = deque()

    def __len__(self) -> int:
        return len(self.waiting)

    def unanswered(self) -> int:
        """Return how many have no answer yet; at most a share of them all counts as having one.

        Those answered hold socket buffers until their other calls are refused, or they leave.
        """
        answered = sum(connection.is_first_refused for connection in self.waiting)
        return len(self.waiting) - min(answered, int(len(self.waiting) * MAX_ANSWERED_SHARE))

    def add(self, connection: PendingConnection) -> None:
        """Add a connection at the end."""
        self.waiting.append(connection)

    def sockets(self) -> list[socket.socket]:
        """Return the sockets of the connections."""
        return [connection.sock for connection in self.waiting]

    def look(self) -> None:
        """Look at what has come on each connection."""
        now = now_ms()
        for connection in self.waiting:
            connection.look(now)

    def next_for_place(self, at_least: Arrival) -> PendingConnection | None:
        """Return the one that gets the next place: the first one of those on which most has come.

        Returns None if so much has not come on any, except for those whose first calls are refused.
        """
        unanswered = [connection for connection in self.waiting if not connection.is_first_refused]
        chosen = max(unanswered, key=lambda connection: connection.arrival, default=None)
        return chosen if chosen is not None and chosen.arrival >= at_least else None

    def take_left(self) -> list[PendingConnection]:
        """Remove and return those whose clients have left."""
        left = [connection for connection in self.waiting if connection.has_left]
        for connection in left:
            self.waiting.remove(connection)
        return left

    def take_all(self) -> list[PendingConnection]:
        """Remove and return all of them."""
        connections = list(self.waiting)
        self.waiting.clear()
        return connections

    def take(self, connection: PendingConnection) -> None:
        """Remove a connection."""
        self.waiting.remove(connection)

    def overdue(self) -> list[PendingConnection]:
        """Return those that have waited for too long, those with short calls first."""
        now = now_ms()
        overdue = [connection for connection in self.waiting if connection.overdue_at <= now]
        return sorted(overdue, key=lambda connection: connection.arrival, reverse=True)
