"""Until when a worker may get new work on the strength of what is known of it.

A drain that discovery has to tell counts as told after `Settings.discovery_delay` at the latest, also while
discovery is out of reach. So who is known to have taken new work at some moment may get more for that span;
after it, discovery's confirmation or the worker's own answer has to renew the lease. Times are milliseconds
of the module's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from .interface import ListConfirmed, Settings

MAX_DOUBLINGS = 4  # of the pause between two probes of a worker that takes no new work


@dataclass(slots=True)
class WorkLease:
    """What one worker's own answers tell."""

    proven_at: float = -inf  # it took new work at this moment
    denials: int = 0  # probes since then that found that it takes none, or had no answer
    probe_at: float = -inf  # no probe before this
    probe_pending: bool = False  # a probe is out

    def renew(self, at: float) -> None:
        """It took new work at that time, or was ready to."""
        self.proven_at, self.denials = max(self.proven_at, at), 0

    def deny(self, now: float, pause: float) -> None:
        """It takes no new work, or does not say so; the pauses before the next probe grow from `pause`."""
        self.probe_at = now + pause * 2 ** min(self.denials, MAX_DOUBLINGS)
        self.denials += 1


@dataclass(slots=True)
class ListAge:
    """How old the worker list is. While nobody tells, it counts as current: the simulator's never ages."""

    confirmed_at: float | None = None  # nothing that discovery told before is missing
    unreadable: frozenset[int] = field(
        default_factory=frozenset
    )  # workers whose last entry could not be read

    def confirm(self, event: ListConfirmed) -> None:
        """Discovery has confirmed the list, but for the entries that could not be read."""
        self.confirmed_at = max(event.at, -inf if self.confirmed_at is None else self.confirmed_at)
        self.unreadable = event.doubtful

    def listed_until(self, worker: int) -> float:
        """Until when the list's word on the worker is known to have been discovery's last."""
        if self.confirmed_at is None:
            return inf
        return -inf if worker in self.unreadable else self.confirmed_at

    def known_until(self, worker: int, lease: WorkLease) -> float:
        """Until when the worker is known to have taken new work."""
        return max(lease.proven_at, self.listed_until(worker))

    def expires_at(self, worker: int, lease: WorkLease, settings: Settings) -> float:
        """When the last new work may begin to be written to the worker."""
        return self.known_until(worker, lease) + settings.discovery_delay

    def is_current(self, now: float, settings: Settings) -> bool:
        """Whether no lease can have run out."""
        return self.confirmed_at is None or (not self.unreadable and _lasts(self.confirmed_at, now, settings))

    def allows(self, worker: int, lease: WorkLease, now: float, settings: Settings) -> bool:
        """Whether the worker may get new work that needs a connection first."""
        return _lasts(self.known_until(worker, lease), now, settings)

    def refuses(self, worker: int, lease: WorkLease, now: float, settings: Settings) -> bool:
        """Whether the lease has run out and there is no other to be had for now."""
        if self.allows(worker, lease, now, settings):
            return False
        return not settings.may_probe or lease.probe_at > now


def _lasts(known: float, now: float, settings: Settings) -> bool:
    # what is sent now may wait for a connection before its first byte
    return now + settings.connect_timeout < known + settings.discovery_delay
