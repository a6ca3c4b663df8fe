"""Leases: until when a worker may get new work.

A drain takes effect at every front end within `Settings.discovery_delay`, even if discovery is unreachable. A
worker that is known to have accepted new work at some time may therefore get more for that long; then
discovery or an answer of the worker has to renew the lease. Times are milliseconds of the module's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from .interface import ListConfirmed, Settings

MAX_DOUBLINGS = 4  # of the pause between probes of a worker that accepts no new work


@dataclass(slots=True)
class WorkLease:
    """Lease of one worker, renewed by its own answers."""

    proven_at: float = -inf  # latest time at which it is known to have accepted new work
    denials: int = 0  # probes since then that were denied or unanswered
    probe_at: float = -inf  # earliest next probe
    probe_pending: bool = False

    def renew(self, at: float) -> None:
        """Notes that the worker accepted new work, or was ready to, at `at`."""
        self.proven_at, self.denials = max(self.proven_at, at), 0

    def deny(self, now: float, pause: float) -> None:
        """Delays the next probe exponentially from `pause`: the worker denied new work or did not answer."""
        self.probe_at = now + pause * 2 ** min(self.denials, MAX_DOUBLINGS)
        self.denials += 1


@dataclass(slots=True)
class ListAge:
    """Age of the worker list. Without any confirmation it counts as current: the simulator sends none."""

    confirmed_at: float | None = None  # the list contains all changes before this time
    # workers whose latest entry could not be read
    unreadable: frozenset[int] = field(default_factory=frozenset)

    def confirm(self, event: ListConfirmed) -> None:
        """Applies a confirmation by discovery, which excludes entries that could not be read."""
        self.confirmed_at = max(event.at, -inf if self.confirmed_at is None else self.confirmed_at)
        self.unreadable = event.doubtful

    def listed_until(self, worker: int) -> float:
        """Time until which the worker's entry in the list is known to be current."""
        if self.confirmed_at is None:
            return inf
        return -inf if worker in self.unreadable else self.confirmed_at

    def known_until(self, worker: int, lease: WorkLease) -> float:
        """Latest time at which the worker is known to have accepted new work, by the list or its answers."""
        return max(lease.proven_at, self.listed_until(worker))

    def expires_at(self, worker: int, lease: WorkLease, settings: Settings) -> float:
        """Latest time at which writing new work to the worker may start."""
        return self.known_until(worker, lease) + settings.discovery_delay

    def is_current(self, now: float, settings: Settings) -> bool:
        """Whether no lease can have expired."""
        return self.confirmed_at is None or (
            not self.unreadable and _is_valid(self.confirmed_at, now, settings)
        )

    def allows(self, worker: int, lease: WorkLease, now: float, settings: Settings) -> bool:
        """Whether the worker may get new work, which may have to wait for a connection."""
        return _is_valid(self.known_until(worker, lease), now, settings)

    def refuses(self, worker: int, lease: WorkLease, now: float, settings: Settings) -> bool:
        """Whether the lease has expired and no probe can renew it now."""
        if self.allows(worker, lease, now, settings):
            return False
        return not settings.may_probe or lease.probe_at > now


def _is_valid(known_until: float, now: float, settings: Settings) -> bool:
    # work sent now may wait for a connection before writing starts
    return now + settings.connect_timeout < known_until + settings.discovery_delay
