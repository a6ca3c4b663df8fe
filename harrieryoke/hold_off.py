"""Hold-off of a worker to which something could not be sent.

The cause is a temporary fault of this process or its machine, or a worker that accepts nothing at the moment.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

FIRST_PAUSE_SHARE = 1 / 8  # of the connect timeout
MAX_DOUBLINGS = 4


@dataclass(slots=True)
class HoldOff:
    """Hold-off of one worker. Times are milliseconds of the module's clock."""

    until: float = -inf
    consecutive_pauses: int = 0  # since the worker last answered

    def is_active(self, now: float) -> bool:
        """Whether nothing may be sent to the worker now."""
        return now < self.until

    def extend(self, now: float, connect_timeout: float) -> None:
        """Starts a pause, twice as long as the last; sends that fail during a pause do not extend it."""
        if not self.is_active(now):
            doublings = min(self.consecutive_pauses, MAX_DOUBLINGS)
            self.until = now + connect_timeout * FIRST_PAUSE_SHARE * 2**doublings
            self.consecutive_pauses += 1

    def end(self) -> None:
        """Ends the pause: the worker answered."""
        self.until, self.consecutive_pauses = -inf, 0
