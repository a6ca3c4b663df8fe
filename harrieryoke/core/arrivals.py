"""The queue of calls before the request table: clients with fewer open calls go first."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from .records import Call, CallReceived


class ArrivalQueue:
    """Calls in the order in which they are taken.

    A call waits behind those whose connection had fewer or as many calls open when they came: a client with
    many calls at once delays itself and not the others.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Call]] = []
        self.arrivals: dict[Call, CallReceived] = {}  # without those withdrawn
        self.serial = count()

    def __len__(self) -> int:
        return len(self.arrivals)

    def add(self, arrival: CallReceived) -> None:
        """Add a call."""
        self.arrivals[arrival.call] = arrival
        heappush(self.heap, (arrival.call.open_before, next(self.serial), arrival.call))

    def withdraw(self, call: Call) -> bool:
        """Remove a call whose client has left; return whether it waited here."""
        return self.arrivals.pop(call, None) is not None

    def take(self, limit: int) -> Iterator[CallReceived]:
        """Remove and yield the first calls, `limit` at most; withdrawn ones do not count."""
        while self.heap and limit > 0:
            if (arrival := self.arrivals.pop(heappop(self.heap)[2], None)) is not None:
                limit -= 1
                yield arrival
