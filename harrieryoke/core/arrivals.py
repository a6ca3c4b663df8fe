"""The queue of calls before the request table: clients with fewer taken calls go first."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from .records import Call, CallOrigin, CallReceived

Origin = CallOrigin | int  # a connection, or the serial number of a call without one

MAX_WAIT_SHARE = (
    0.45  # of the time that a call has left, after which it is refused: later a refusal would come too late
)
MAX_USUAL_PROPS = 100  # of a request; a usual one has a few, and thousands are dear to decode
MAX_GONE = 64  # entries of calls that are gone, beside as many as wait, before they are cleared


def rank(call: Call, taken: int) -> int:
    """Return the rank of a call whose client has so many calls in the table; lower ones go first.

    A request that was dear to decode counts as a further call.
    """
    return taken + (call.prop_count > MAX_USUAL_PROPS)


class ArrivalQueue:
    """Calls in the order in which they are taken.

    The calls of one connection wait in their order. Connections with fewer calls in the table go first: a
    client with many calls at once, or with dear ones, delays itself and not the others, and one that the
    process was slow to serve does not lose its place by what piled up meanwhile.
    """

    def __init__(self) -> None:
        self.arrivals: dict[int, CallReceived] = {}  # by serial number, without those withdrawn
        self.serials: dict[Call, int] = {}
        self.by_origin: dict[Origin, deque[int]] = {}
        self.turns: list[tuple[int, int, Origin]] = []  # heap; one entry for each origin that has calls
        self.give_up_times: list[tuple[float, int]] = []  # heap; may have calls that are gone
        self.serial = count()

    def __len__(self) -> int:
        return len(self.arrivals)

    def add(self, arrival: CallReceived, now: float) -> None:
        """Add a call at `now`, in milliseconds."""
        call, serial = arrival.call, next(self.serial)
        self.arrivals[serial], self.serials[call] = arrival, serial
        give_up_at = now + MAX_WAIT_SHARE * (call.deadline - now)
        heappush(self.give_up_times, (give_up_at, serial))
        origin: Origin = serial if call.origin is None else call.origin
        if origin in self.by_origin:
            self.by_origin[origin].append(serial)
        else:
            self.by_origin[origin] = deque([serial])
            taken = call.open_before if call.origin is None else call.origin.open_calls() - 1
            heappush(self.turns, (rank(call, taken), serial, origin))

    def remove(self, serial: int) -> CallReceived | None:
        """Remove a call; return None if it was withdrawn."""
        if (arrival := self.arrivals.pop(serial, None)) is not None:
            del self.serials[arrival.call]
        return arrival

    def withdraw(self, call: Call) -> bool:
        """Remove a call whose client has left; return whether it waited here."""
        serial = self.serials.get(call)
        return serial is not None and self.remove(serial) is not None

    def take(self, limit: int) -> Iterator[CallReceived]:
        """Remove and yield the first calls, `limit` at most; withdrawn ones do not count."""
        while self.turns and limit > 0:
            origin = heappop(self.turns)[2]
            waiting = self.by_origin[origin]
            arrival = self.remove(waiting.popleft())
            while waiting and waiting[0] not in self.arrivals:
                waiting.popleft()
            if waiting:
                self.add_turn(origin, waiting)
            else:
                del self.by_origin[origin]
            if arrival is not None:
                limit -= 1
                yield arrival

    def add_turn(self, origin: Origin, waiting: deque[int]) -> None:
        """Enter an origin whose calls wait again, behind those with fewer taken calls."""
        first = self.arrivals[waiting[0]].call
        taken = 0 if first.origin is None else first.origin.open_calls() - len(waiting)
        heappush(self.turns, (rank(first, taken), next(self.serial), origin))

    def next_give_up(self) -> float:
        """Return when the next call has waited too long; infinity if none waits."""
        if len(self.give_up_times) > 2 * len(self.arrivals) + MAX_GONE:
            self.give_up_times = sorted(entry for entry in self.give_up_times if entry[1] in self.arrivals)
        while self.give_up_times and self.give_up_times[0][1] not in self.arrivals:
            heappop(self.give_up_times)
        return self.give_up_times[0][0] if self.give_up_times else float("inf")

    def take_overdue(self, now: float) -> Iterator[CallReceived]:
        """Remove and yield the calls that have waited too long at `now`, in milliseconds."""
        while self.next_give_up() <= now:
            if (arrival := self.remove(heappop(self.give_up_times)[1])) is not None:
                yield arrival
