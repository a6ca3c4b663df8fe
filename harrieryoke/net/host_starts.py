"""Tracks when each listed model host last started, on the clock of this process.

The list's `started_ms` comes from the wall clock of another machine, and the wall clock of this one may be
wrong, or set while the process runs. So the two are never assumed to agree. A start that is announced while
the process follows the list counts from the moment it is received. A start before this process is assumed to
be only as old as both the list and the wall clock say. A host may therefore be taken as colder than it is,
but never as warmer while the list's times come from one clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..core.clock import now_ms, wall_ms
from .hostlist_model import Server


@dataclass(frozen=True, slots=True)
class HostStart:
    """One start: the list's time of it, and the same moment on this process's clock, both in milliseconds."""

    listed_start: float
    started_at: float


class HostStarts:
    """The latest start of each host that is listed with one. Owned by the list's actor."""

    def __init__(self, clock: Callable[[], float] = now_ms, wall: Callable[[], float] = wall_ms) -> None:
        self.clock, self.wall = clock, wall
        self.starts: dict[str, HostStart] = {}

    def learn_initial(self, servers: Iterable[Server]) -> None:
        """Record the starts of the first list, which precede this process.

        The newest of them may be very recent. The others are older by the difference between their listed
        times, or by less if the wall clock says so.
        """
        listed_starts = {server.id: server.started_ms for server in servers if server.started_ms}
        newest, now, wall = max(listed_starts.values(), default=0.0), self.clock(), self.wall()
        for id, listed_start in listed_starts.items():
            age = max(0.0, min(newest, wall) - listed_start)
            self.starts[id] = HostStart(listed_start, now - age)

    def observe(self, server: Server) -> HostStart | None:
        """Return the latest start that the list announces, or None if it announces none."""
        if not server.started_ms:
            self.forget(server.id)
            return None
        known = self.starts.get(server.id)
        if known is None or known.listed_start != server.started_ms:
            known = self.starts[server.id] = HostStart(server.started_ms, self.clock())
        return known

    def forget(self, id: str) -> None:
        """Forget a host that has left the list."""
        self.starts.pop(id, None)
