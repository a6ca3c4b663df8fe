"""A connection race after "Happy Eyeballs" version 2 (RFC 8305, section 5): the next endpoint is dialled a
short delay after the previous one, or at once when that one failed; the first established connection wins.

Only connections race. No request is written before the race is over, and then only on the winner.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .endpoints import Endpoint

MIN_DELAY, MAX_DELAY = 10.0, 2000.0  # milliseconds; RFC 8305, section 8


@dataclass(slots=True)
class ConnectionRace:
    """Times are milliseconds. At most `max_concurrent` dials are in flight together."""

    endpoints: list[Endpoint]
    started_at: float
    delay: float = 250.0
    deadline: float = float("inf")  # the race is lost then, even with dials in flight
    max_concurrent: int = 4
    dialling: dict[Endpoint, float] = field(default_factory=dict)  # endpoint: dialled at
    dialled: int = 0
    next_dial_at: float = 0.0
    winner: Endpoint | None = None
    finished: bool = False

    def __post_init__(self) -> None:
        self.delay = min(MAX_DELAY, max(MIN_DELAY, self.delay))
        self.next_dial_at = self.started_at

    def next_dial(self, now: float) -> Endpoint | None:
        """Returns the endpoint to dial now and records the dial, or None."""
        if self.finished or self.dialled >= len(self.endpoints) or len(self.dialling) >= self.max_concurrent:
            return None
        # a clock that stepped back must not hold the next dial for longer than the delay
        if now < self.next_dial_at <= now + self.delay or now >= self.deadline:
            return None
        endpoint = self.endpoints[self.dialled]
        self.dialled += 1
        self.dialling[endpoint] = now
        self.next_dial_at = now + self.delay
        return endpoint

    def record_failure(self, endpoint: Endpoint, now: float) -> None:
        """Allows the next dial at once; the race is lost when no endpoint is left."""
        if self.dialling.pop(endpoint, None) is None or self.finished:
            return
        self.next_dial_at = now
        self.finished = not self.dialling and self.dialled >= len(self.endpoints)

    def record_connected(self, endpoint: Endpoint, now: float) -> bool:
        """Returns whether the endpoint wins. A connection that is established later has lost: the pool keeps
        it as a spare or closes it."""
        dialled_at = self.dialling.pop(endpoint, None)
        if dialled_at is None or self.finished:
            return False
        self.winner, self.finished = endpoint, True
        return True

    def expire(self, now: float) -> bool:
        """Ends the race at its deadline, or if the clock stepped back to more than `delay` before its start;
        abandons dials in flight. Returns whether it is finished."""
        if not self.finished and not self.started_at - self.delay <= now < self.deadline:
            self.finished = True
        return self.finished

    def next_wakeup(self) -> float:
        """Returns when `next_dial` or `expire` may next change their result without a new event."""
        can_dial = self.dialled < len(self.endpoints) and len(self.dialling) < self.max_concurrent
        return min(self.deadline, self.next_dial_at if can_dial else self.deadline)
