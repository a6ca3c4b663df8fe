"""What the leader proposes about duties: ends of sessions, grants and successors. Every member runs a lease
manager, so that a new leader knows how long ago each session was renewed; only the leader's proposals are
used.
"""

from __future__ import annotations

from math import log

import xxhash

from .duties import AssignSuccessor, Command, DutyTable, EndSession, GrantDuty, Session
from .lease import Lease

MAX_PROPOSALS = 64  # per tick; the rest follow with the next one


def rendezvous_score(duty: str, member: str, weight: float) -> float:
    """Weighted rendezvous hashing (Thaler, Ravishankar 1998; Schindelhauer, Schomaker 2005): the member with
    the highest score holds the duty. `weight` must be above 0.
    """
    uniform = (xxhash.xxh3_64_intdigest(f"{duty}\0{member}".encode()) + 0.5) / 2**64
    return -weight / log(uniform)


def preferred_member(duty: str, sessions: dict[str, Session]) -> str | None:
    """Returns the best member among those with an open session that can take the duty."""
    candidates = [m for m, s in sessions.items() if s.open and s.weight > 0 and duty not in s.unavailable]
    return (
        max(candidates, key=lambda m: (rendezvous_score(duty, m, sessions[m].weight), m))
        if candidates
        else None
    )


class LeaseManager:
    """Call `tick` on every member after entries were applied, with a time that was read after that: a time
    read before would measure a lease from before its renewal was applied. Times are milliseconds of the local
    monotonic clock. `settle_ms` is how long a member must have had its session before a healthy holder hands
    anything over to it.
    """

    def __init__(self, lease: Lease, duties: DutyTable, settle_ms: float = 10_000.0) -> None:
        self.lease, self.duties, self.settle_ms = lease, duties, settle_ms
        # by member: incarnation, last renewal, when it was seen
        self.last_renewals: dict[str, tuple[int, int, float]] = {}
        # by member: incarnation, when it was first seen
        self.session_starts: dict[str, tuple[int, float]] = {}
        self.proposed: dict[Command, float] = {}

    def tick(self, now: float, is_leader: bool) -> list[Command]:
        self.observe_sessions(now)
        if not is_leader:
            self.proposed.clear()
            return []
        repeat_ms = self.lease.duration_ms / 5
        self.proposed = {
            command: proposed_at
            for command, proposed_at in self.proposed.items()
            if now - proposed_at < repeat_ms
        }
        new_commands = [c for c in self.due_commands(now) if c not in self.proposed][:MAX_PROPOSALS]
        self.proposed.update((command, now) for command in new_commands)
        return new_commands

    def observe_sessions(self, now: float) -> None:
        """Records renewals at the time they are seen here, which is never before they were applied."""
        open_sessions = {m: s for m, s in self.duties.sessions.items() if s.open}
        for ended in self.last_renewals.keys() - open_sessions.keys():
            del self.last_renewals[ended], self.session_starts[ended]
        for member, session in open_sessions.items():
            if self.last_renewals.get(member, (0, 0))[:2] != (session.incarnation, session.sequence):
                self.last_renewals[member] = session.incarnation, session.sequence, now
            if self.session_starts.get(member, (0,))[0] != session.incarnation:
                self.session_starts[member] = session.incarnation, now

    def due_commands(self, now: float) -> list[Command]:
        ends: list[Command] = [
            EndSession(member, incarnation, sequence)
            for member, (incarnation, sequence, seen_at) in self.last_renewals.items()
            if now - seen_at >= self.lease.expiry_bound()
        ]
        commands, sessions = ends, self.duties.sessions
        settled = {
            m: s for m, s in sessions.items() if s.open and now - self.session_starts[m][1] >= self.settle_ms
        }
        for name, duty in self.duties.duties.items():
            if duty.retired or (duty.holder and duty.successor):
                continue
            holder_drains = bool(duty.holder) and sessions[duty.holder].weight <= 0
            eligible = settled if duty.holder and not holder_drains else sessions
            target = preferred_member(name, {**eligible, **{m: sessions[m] for m in [duty.holder] if m}})
            if target is None or target == duty.holder:
                continue
            incarnation = sessions[target].incarnation
            commands.append(
                AssignSuccessor(name, duty.token, target, incarnation)
                if duty.holder
                else GrantDuty(name, target, incarnation)
            )
        return commands
