"""Accepted connections that wait for a place: those that have sent a whole short call are served first."""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass

from gevent import socket

from ..core.clock import now_ms
from ..memory_budget import MAX_PLACE_WAIT_MS
from .refusal import CALL_MEMBER
from .unread import has_hung_up, ms_since_data, peek

BUDGET = re.compile(rb'"budget"\s*:\s*(\d{1,9})')  # of a call, in milliseconds
MAX_WAIT_SHARE = 0.7  # of a call's time, that its connection may wait for a place


@dataclass(slots=True, eq=False)
class PendingConnection:
    """An accepted connection without an actor; `served_before` if it came from another process."""

    sock: socket.socket
    name: str
    served_before: bool = False
    accepted_at: float = 0.0

    def has_short_call(self) -> bool:
        """Return whether the first line has come whole and looks like a call."""
        line, end, _ = peek(self.sock).partition(b"\n")
        return bool(end) and CALL_MEMBER in line

    def is_overdue(self, now: float) -> bool:
        """Return whether it has waited for too long, in the kernel and here, or for its call."""
        waited = max(ms_since_data(self.sock), now - self.accepted_at)
        return waited >= min(MAX_PLACE_WAIT_MS, MAX_WAIT_SHARE * self.budget_ms())

    def budget_ms(self) -> float:
        """Return the time of the first call, if it has come; else infinity."""
        found = BUDGET.search(peek(self.sock))
        return float("inf") if found is None else float(found[1])


class PendingConnections:
    """The queue of connections for the next free places."""

    def __init__(self) -> None:
        self.waiting: deque[PendingConnection] = deque()

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, connection: PendingConnection) -> None:
        """Add a connection at the end."""
        self.waiting.append(connection)

    def sockets(self) -> list[socket.socket]:
        """Return the sockets of the connections."""
        return [connection.sock for connection in self.waiting]

    def take_next(self) -> PendingConnection:
        """Remove and return the first one that has sent a short call, or the first one; there must be one."""
        with_call = (connection for connection in self.waiting if connection.has_short_call())
        chosen = next(with_call, self.waiting[0])
        self.waiting.remove(chosen)
        return chosen

    def take_left(self) -> list[PendingConnection]:
        """Remove and return those whose clients have left."""
        return self.take([connection for connection in self.waiting if has_hung_up(connection.sock)])

    def take_overdue(self, count: int) -> list[PendingConnection]:
        """Remove and return so many at most of those that have waited for too long, short calls first."""
        now = now_ms()
        overdue = [connection for connection in self.waiting if connection.is_overdue(now)] if count else []
        overdue.sort(key=lambda connection: not connection.has_short_call())
        return self.take(overdue[:count])

    def take(self, connections: list[PendingConnection]) -> list[PendingConnection]:
        """Remove these connections and return them."""
        for connection in connections:
            self.waiting.remove(connection)
        return connections
