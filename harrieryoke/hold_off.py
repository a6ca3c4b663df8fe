"""Pauses at workers to which something could not be sent at all: for a fault of this process or its machine,
which passes, or since the worker takes nothing at the moment."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

FIRST_PART = 1 / 8  # of the time that a connection may take: the first pause
MOST_DOUBLINGS = 4


@dataclass(slots=True)
class HoldOff:
    """The pause at one worker. Times are milliseconds of the module's clock."""

    until: float = -inf
    in_a_row: int = 0  # pauses since the worker was last heard

    def holds(self, now: float) -> bool:
        """Whether nothing may be sent there now."""
        return now < self.until

    def extend(self, now: float, connect_timeout: float) -> None:
        """Something was not sent: the next pause begins, twice as long as the last. What failed together with
        the first counts once."""
        if not self.holds(now):
            self.until = now + connect_timeout * FIRST_PART * 2 ** min(self.in_a_row, MOST_DOUBLINGS)
            self.in_a_row += 1

    def end(self) -> None:
        """The worker was heard."""
        self.until, self.in_a_row = -inf, 0
