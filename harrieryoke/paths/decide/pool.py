"""The connection pool of one model host as a state machine, with the write progress of each attempt.

    connection:  dialling -> ready <-> suspect -> closed
                     |         \\-> draining ---^
                     +-> closed

    attempt:     unsent -> partial -> complete -> answered
                    ^         |
                    +---------+ its connection ended: see `record_closed`

An attempt is assigned to one connection. While nothing of it was written, the end of that connection does not
matter: the pool assigns it to another connection of the same host. From the first byte on it is never
assigned again here. A partly written attempt has not run: a host acts only on whole frames, and the end of
the frame was never sent. A completely written attempt may have run. Both are outcomes for the decision
module, which alone decides what is sent again.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum

from .endpoints import Endpoint, EndpointTable
from .race import ConnectionRace


class ConnectionState(Enum):
    """States of a connection in the pool; a closed one is removed from it."""

    DIALLING = "dialling"
    READY = "up"
    SUSPECT = "suspect"  # an answer is overdue: no new attempts are assigned
    DRAINING = "draining"  # closes once it has no open attempts


class WriteProgress(Enum):
    """How much of an attempt's request frame was written."""

    UNSENT = 0
    PARTIAL = 1
    COMPLETE = 2


class AttemptOutcome(Enum):
    """The outcome of an attempt whose connection ended."""

    REQUEUED = "again"  # nothing was written: the pool assigns it again
    NOT_RUN = "not run"  # partly written
    MAY_HAVE_RUN = "may have run"


@dataclass(slots=True)
class DialBudget:
    """Limits descriptors and the dial rate over all hosts: a token bucket with a depth of one second."""

    max_descriptors: int
    dials_per_s: float
    descriptors: int = 0
    peak_descriptors: int = 0
    tokens: float = 0.0
    refilled_at: float | None = None

    def acquire(self, now: float) -> bool:
        """Takes a descriptor and a dial token. `release` returns the descriptor once it is closed."""
        elapsed = self.dials_per_s * 1000 if self.refilled_at is None else max(0.0, now - self.refilled_at)
        self.tokens = min(self.dials_per_s, self.tokens + self.dials_per_s * elapsed / 1000)
        self.refilled_at = now
        if self.tokens < 1 or self.descriptors >= self.max_descriptors:
            return False
        self.tokens -= 1
        self.descriptors += 1
        self.peak_descriptors = max(self.peak_descriptors, self.descriptors)
        return True

    def release(self) -> None:
        self.descriptors -= 1


@dataclass(slots=True, eq=False)
class Connection:
    """One connection, from the dial until it is closed. It holds one descriptor."""

    number: int
    endpoint: Endpoint
    dialled_at: float
    state: ConnectionState = ConnectionState.DIALLING
    attempts: dict[Hashable, WriteProgress] = field(default_factory=dict)
    awaiting_since: float | None = None  # since when an answer is due and nothing was received
    last_used: float = 0.0
    spare: bool = False  # it lost a race and is kept for a while


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Times are milliseconds."""

    max_connections: int = 4  # per host, including dials in flight
    max_attempts: int = 100  # open attempts per connection
    max_queue: int = 1024  # new attempts that wait for a connection; requeued ones may come on top
    connect_timeout: float = 250.0  # of a whole race
    dial_delay: float = 50.0  # until the next endpoint is dialled in parallel
    silence_timeout: float = 700.0
    idle_timeout: float = 24_000.0
    spare_timeout: float = 2000.0


@dataclass(slots=True)
class ConnectionPool:
    """Connections of one host.

    The I/O layer asks `next_steps` what to dial and close and `assign` where an attempt goes, and reports
    events. Nothing is sent to a host that drains, was removed or was replaced, even if attempts are queued.
    """

    dial_budget: DialBudget
    limits: PoolLimits = field(default_factory=PoolLimits)
    endpoints: EndpointTable = field(default_factory=EndpointTable)
    connections: dict[int, Connection] = field(default_factory=dict)
    assigned: dict[Hashable, Connection] = field(default_factory=dict)  # attempts that have a connection
    queue: deque[Hashable] = field(default_factory=deque)  # attempts that wait for a connection
    race: ConnectionRace | None = None
    accepting: bool = True
    last_number: int = 0
    counts: Counter[str] = field(default_factory=Counter)

    # --- endpoints ---

    def set_endpoints(self, endpoints: tuple[Endpoint, ...]) -> list[Connection]:
        """Sets the host's current endpoints. Connections to removed endpoints accept no new attempts; returns
        those that can be closed at once."""
        removed = self.endpoints.replace(endpoints)
        if self.race is not None and removed.intersection(self.race.endpoints):
            self.race = None  # its dials in flight become spares, or drain if their endpoint was removed
        return [
            connection
            for connection in list(self.connections.values())
            if connection.endpoint in removed and self.retire(connection)
        ]

    def stop(self) -> list[Hashable]:
        """Stops assignment because the host drains, was removed or has lost its address; returns the queued
        attempts, of which nothing was written."""
        self.accepting, self.race = False, None
        queued = list(self.queue)
        self.queue.clear()
        return queued

    def retire(self, connection: Connection) -> bool:
        """Starts draining; returns whether the connection can be closed at once."""
        if connection.state is ConnectionState.DIALLING or not connection.attempts:
            return True
        connection.state = ConnectionState.DRAINING
        return False

    # --- attempts ---

    def assign(self, attempt: Hashable, now: float) -> Connection | None:
        """Returns the connection for the attempt, or None where it is queued. Raises OverflowError when the
        queue is full, and ValueError where the host accepts no attempts."""
        if not self.accepting:
            raise ValueError("the host accepts no attempts")
        if attempt in self.assigned:
            raise ValueError("the attempt is already assigned to a connection")
        connection = self.pick_connection(now)
        if connection is None:
            if len(self.queue) >= self.limits.max_queue:
                raise OverflowError("too many attempts wait for a connection")
            self.queue.append(attempt)
            return None
        connection.attempts[attempt], self.assigned[attempt] = WriteProgress.UNSENT, connection
        return connection

    def pick_connection(self, now: float) -> Connection | None:
        """Returns the most recently used connection that has capacity."""
        self.mark_suspects(now)
        ready = (
            connection
            for connection in self.connections.values()
            if connection.state is ConnectionState.READY
        )
        usable = [connection for connection in ready if len(connection.attempts) < self.limits.max_attempts]
        return (
            max(usable, key=lambda connection: (connection.last_used, connection.number)) if usable else None
        )

    def mark_suspects(self, now: float) -> None:
        """Marks connections whose answer is overdue, and counts a failure of their endpoints."""
        for connection in self.connections.values():
            if (
                connection.state is ConnectionState.READY
                and connection.awaiting_since is not None
                and now - connection.awaiting_since > self.limits.silence_timeout
            ):
                connection.state = ConnectionState.SUSPECT
                if (health := self.endpoints.health.get(connection.endpoint)) is not None:
                    health.record_failure(now)

    def may_write(self, attempt: Hashable) -> bool:
        """Returns whether the first byte may be written; to be called immediately before."""
        connection = self.assigned.get(attempt)
        ready = self.accepting and connection is not None and connection.state is ConnectionState.READY
        return ready and connection is not None and connection.attempts[attempt] is WriteProgress.UNSENT

    def record_write(self, attempt: Hashable, progress: WriteProgress, now: float) -> None:
        """Records write progress, which never decreases."""
        connection = self.assigned[attempt]
        if progress.value < connection.attempts[attempt].value:
            raise ValueError("write progress cannot decrease")
        connection.attempts[attempt], connection.last_used = progress, now
        if connection.awaiting_since is None:
            connection.awaiting_since = now

    def record_answer(self, attempt: Hashable, number: int, now: float) -> bool:
        """Records an answer on connection `number`. Returns whether it counts: only on the attempt's own
        connection, and once. Either way it proves that the connection is alive."""
        connection = self.connections.get(number)
        if connection is None:
            self.counts["late"] += 1
            return False
        connection.last_used = now
        if connection.state is ConnectionState.SUSPECT:
            connection.state = ConnectionState.READY
        if (health := self.endpoints.health.get(connection.endpoint)) is not None:
            health.consecutive_failures, health.succeeded_at = 0, now
        counts = (
            self.assigned.get(attempt) is connection
            and connection.attempts[attempt] is WriteProgress.COMPLETE
        )
        if counts:
            self.remove_attempt(attempt)
        connection.awaiting_since = (
            now
            if any(progress is not WriteProgress.UNSENT for progress in connection.attempts.values())
            else None
        )
        return counts

    def remove_attempt(self, attempt: Hashable) -> Connection | None:
        """Removes an attempt that was answered, cancelled or timed out, and returns its connection."""
        connection = self.assigned.pop(attempt, None)
        if connection is not None:
            del connection.attempts[attempt]
        elif attempt in self.queue:
            self.queue.remove(attempt)
        return connection

    # --- connections ---

    def next_steps(self, now: float) -> tuple[list[Connection], list[Connection]]:
        """Returns the connections to dial and those to close now."""
        self.mark_suspects(now)
        close = [connection for connection in self.connections.values() if self.should_close(connection, now)]
        dial: list[Connection] = []
        if self.race is not None and self.race.expire(now):
            self.race = None
        if self.race is None and self.needs_connection():
            self.race = ConnectionRace(
                self.endpoints.dial_order(now),
                now,
                self.limits.dial_delay,
                now + self.limits.connect_timeout,
            )
        while self.race is not None and len(self.connections) < self.limits.max_connections:
            # the budget first: an endpoint that is taken from the race must be dialled
            if not self.dial_budget.acquire(now):
                self.counts["no-budget"] += 1
                break
            endpoint = self.race.next_dial(now)
            if endpoint is None:
                self.dial_budget.release()
                self.dial_budget.tokens += 1
                break
            self.last_number += 1
            connection = self.connections[self.last_number] = Connection(
                self.last_number, endpoint, now, last_used=now
            )
            dial.append(connection)
            self.counts["dials"] += 1
        return dial, close

    def needs_connection(self) -> bool:
        has_capacity = len(self.connections) < self.limits.max_connections
        return self.accepting and has_capacity and bool(self.queue) and bool(self.endpoints.health)

    def should_close(self, connection: Connection, now: float) -> bool:
        limits = self.limits
        if connection.state is ConnectionState.DIALLING:
            return not 0 <= now - connection.dialled_at < limits.connect_timeout or (
                self.race is None and not self.queue
            )
        if connection.state is ConnectionState.SUSPECT:
            return (
                connection.awaiting_since is None
                or now - connection.awaiting_since > 3 * limits.silence_timeout
            )
        if connection.attempts:
            return False
        timeout = limits.spare_timeout if connection.spare else limits.idle_timeout
        return (
            connection.state is ConnectionState.DRAINING
            or not self.accepting
            or not 0 <= now - connection.last_used < timeout
        )

    def record_connected(self, number: int, now: float) -> list[tuple[Hashable, Connection]]:
        """Records an established connection and returns the queued attempts that are assigned now. One that
        lost its race is kept as a spare."""
        connection = self.connections[number]
        connection.state, connection.last_used = ConnectionState.READY, now
        if (health := self.endpoints.health.get(connection.endpoint)) is not None:
            health.record_connected(now, max(0.0, now - connection.dialled_at))
        else:
            connection.state = ConnectionState.DRAINING  # its endpoint was removed in the meantime
            return []
        if self.race is not None and self.race.record_connected(connection.endpoint, now):
            self.race = None
        else:
            connection.spare = True
        return self.assign_queued(now)

    def assign_queued(self, now: float) -> list[tuple[Hashable, Connection]]:
        """Returns the queued attempts that are assigned now."""
        assigned: list[tuple[Hashable, Connection]] = []
        while self.accepting and self.queue and (connection := self.pick_connection(now)) is not None:
            attempt = self.queue.popleft()
            connection.attempts[attempt], self.assigned[attempt] = WriteProgress.UNSENT, connection
            connection.spare = False
            assigned.append((attempt, connection))
        return assigned

    def record_closed(self, number: int, now: float) -> list[tuple[Hashable, AttemptOutcome]]:
        """Records that either side closed the connection, frees its descriptor, and returns the outcome of
        each of its attempts. Requeued attempts go to the head of the queue."""
        connection = self.connections.pop(number, None)
        if connection is None:
            return []
        self.dial_budget.release()
        if connection.state is ConnectionState.DIALLING or connection.attempts:
            if (health := self.endpoints.health.get(connection.endpoint)) is not None:
                health.record_failure(now)
            if self.race is not None:
                self.race.record_failure(connection.endpoint, now)
                self.race = None if self.race.finished else self.race
        outcomes: list[tuple[Hashable, AttemptOutcome]] = []
        requeued: list[Hashable] = []
        for attempt, progress in connection.attempts.items():
            del self.assigned[attempt]
            if progress is WriteProgress.UNSENT and self.accepting:
                requeued.append(attempt)
                outcomes.append((attempt, AttemptOutcome.REQUEUED))
            else:
                outcomes.append(
                    (
                        attempt,
                        AttemptOutcome.MAY_HAVE_RUN
                        if progress is WriteProgress.COMPLETE
                        else AttemptOutcome.NOT_RUN,
                    )
                )
        self.queue.extendleft(reversed(requeued))
        return outcomes

    def take_unreachable(self) -> list[Hashable]:
        """Returns all queued attempts, which fail as not connected, once a race was lost and there is no
        connection."""
        if self.race is not None or any(
            connection.state is not ConnectionState.DIALLING for connection in self.connections.values()
        ):
            return []
        if any(connection.state is ConnectionState.DIALLING for connection in self.connections.values()):
            return []
        queued = list(self.queue)
        self.queue.clear()
        return queued
