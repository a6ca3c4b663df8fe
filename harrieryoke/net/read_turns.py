"""Fairness between clients: those that send much take turns, so that others wait for one at most."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from gevent.event import Event

BURST_LINES = 32.0  # that a client may send ahead of its rate: as many as it may have open
LINES_PER_MS = 0.002
TURN_LINES = 4  # that are handled in one turn before others go on
USUAL_LINE_MS = 0.25  # of processor time for a line; what it takes beyond counts as further lines
FURTHER_LINE_MS = 0.1


class ReadRate:
    """The recent rate of a client's lines that start no work: a token bucket.

    Such lines are errors, `probe` and `giveUp`. Those that start work are bounded by the open calls and count
    for the time that they take beyond a usual one.
    """

    __slots__ = ("lines", "spent_ms", "updated_at")

    def __init__(self) -> None:
        self.lines, self.updated_at = BURST_LINES, 0.0
        self.spent_ms = 0.0  # processor time of the lines since it was taken last

    def charge(self, spent_ms: float) -> None:
        """Count the processor time of a line."""
        self.spent_ms += spent_ms
        if (further := spent_ms - USUAL_LINE_MS) > 0:
            self.lines = max(-BURST_LINES, self.lines - further / FURTHER_LINE_MS)

    def take_spent(self) -> float:
        """Return the processor time since the last call, in milliseconds."""
        spent, self.spent_ms = self.spent_ms, 0.0
        return spent

    def count_line(self, count: int = 1) -> None:
        """Count a line, or so many."""
        self.lines = max(-BURST_LINES, self.lines - count)

    def is_high(self, now: float) -> bool:
        """Return whether the client sends more of them than its rate and burst; `now` is in milliseconds."""
        self.lines = min(BURST_LINES, self.lines + (now - self.updated_at) * LINES_PER_MS)
        self.updated_at = now
        return self.lines < 0


class ReadTurns:
    """Lets one of the clients that send much go on at a time, in the order in which they ask."""

    def __init__(self) -> None:
        self.is_taken, self.waiting = False, deque[Event]()

    @contextmanager
    def turn(self) -> Iterator[None]:
        """Wait for the client's turn, and pass it on at the end."""
        if self.is_taken:
            self.wait()
        self.is_taken = True
        try:
            yield
        finally:
            self.pass_on()

    def wait(self) -> None:
        """Wait until the turn is passed on to this client."""
        passed_on = Event()
        self.waiting.append(passed_on)
        try:
            passed_on.wait()
        except BaseException:  # the greenlet is killed
            if passed_on.is_set():
                self.pass_on()
            else:
                self.waiting.remove(passed_on)
            raise

    def pass_on(self) -> None:
        """Pass the turn on to the client that has waited longest."""
        if self.waiting:
            self.waiting.popleft().set()
        else:
            self.is_taken = False
