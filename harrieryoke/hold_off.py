"""Pauses at workers to which something could not be sent at all: for a fault of this process or its machine,
which passes, or since the worker takes nothing at the moment."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

FIRST_PAUSE_SHARE = 1 / 8  # of the time that a connection may take: the first pause
MAX_DOUBLINGS = 4


@dataclass(slots=True)
class HoldOff:
    """The pause at one worker. Times are milliseconds of the module's clock."""

    until: float = -inf
    consecutive_pauses: int = 0  # pauses since the worker was last heard

    def is_active(self, now: float) -> bool:
        """Whether nothing may be sent there now."""
        return now < self.until

    def extend(self, now: float, connect_timeout: float) -> None:
        """Something was not sent: the next pause begins, twice as long as the last. What failed together with
        the first counts once."""
        if not self.is_active(now):
            self.until = now + connect_timeout * FIRST_PAUSE_SHARE * 2 ** min(
                self.consecutive_pauses, MAX_DOUBLINGS
            )
            self.consecutive_pauses += 1

    def end(self) -> None:
        """The worker was heard."""
        self.until, self.consecutive_pauses = -inf, 0
