"""A race of connections, after "Happy Eyeballs" version 2 (RFC 8305, section 5): the next endpoint is dialled
a short while after the one before it, or at once when that one failed; the first that stands wins.

Only connections race. No request is written before the race is over, and then on the winner alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .endpoints import Endpoint

DELAY_LEAST, DELAY_MOST = 10.0, 2000.0  # section 8 of the RFC


@dataclass(slots=True)
class Race:
    """Times are milliseconds. `at_once` dials may be under way together."""

    order: list[Endpoint]
    began: float
    delay: float = 250.0
    until: float = float("inf")  # then it is lost, whatever is under way
    at_once: int = 4
    dialling: dict[Endpoint, float] = field(default_factory=dict)  # and since when
    tried: int = 0
    next_at: float = 0.0
    winner: Endpoint | None = None
    over: bool = False

    def __post_init__(self) -> None:
        self.delay = min(DELAY_MOST, max(DELAY_LEAST, self.delay))
        self.next_at = self.began

    def to_dial(self, now: float) -> Endpoint | None:
        """The endpoint to dial now, marked as under way."""
        if self.over or self.tried >= len(self.order) or len(self.dialling) >= self.at_once:
            return None
        # a clock that stepped back must not hold the next dial for longer than the delay
        if now < self.next_at <= now + self.delay or now >= self.until:
            return None
        endpoint = self.order[self.tried]
        self.tried += 1
        self.dialling[endpoint] = now
        self.next_at = now + self.delay
        return endpoint

    def failed(self, endpoint: Endpoint, now: float) -> None:
        """The next goes at once; the race is lost when none is left."""
        if self.dialling.pop(endpoint, None) is None or self.over:
            return
        self.next_at = now
        self.over = not self.dialling and self.tried >= len(self.order)

    def stood(self, endpoint: Endpoint, now: float) -> bool:
        """Whether this one has won. One that stands later has lost: it is kept in reserve or closed."""
        known = self.dialling.pop(endpoint, None)
        if known is None or self.over:
            return False
        self.winner, self.over = endpoint, True
        return True

    def expired(self, now: float) -> bool:
        """Past its time the race is lost; what is under way is given up."""
        if not self.over and not self.began - self.delay <= now < self.until:
            self.over = True
        return self.over

    def wake_at(self) -> float:
        """When `to_dial` or `expired` may say something else by itself."""
        more = self.tried < len(self.order) and len(self.dialling) < self.at_once
        return min(self.until, self.next_at if more else self.until)
