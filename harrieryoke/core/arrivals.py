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
        self.heap: list[tuple[int, int, CallReceived]] = []
        self.calls: set[Call] = set()
        self.serial = count()

    def __len__(self) -> int:
        return len(self.heap)

    def contains(self, call: Call) -> bool:
        """Return whether the call waits here."""
        return call in self.calls

    def add(self, arrival: CallReceived) -> None:
        """Add a call."""
        heappush(self.heap, (arrival.call.open_before, next(self.serial), arrival))
        self.calls.add(arrival.call)

    def take(self, limit: int) -> Iterator[CallReceived]:
        """Remove and yield the first calls, `limit` at most."""
        while self.heap and limit > 0:
            limit -= 1
            arrival = heappop(self.heap)[2]
            self.calls.discard(arrival.call)
            yield arrival
