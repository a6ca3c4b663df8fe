"""What the leader proposes about duties: ends of sessions, grants and heirs. Each member runs one, so that a
new leader knows for how long it has heard no word; only the leader's proposals count."""

from __future__ import annotations

from math import log

import xxhash

from .duties import Command, Duties, End, Grant, Heir, Session
from .lease import Lease

MOST = 64  # proposals of one turn; the rest come with the next


def score(duty: str, member: str, weight: float) -> float:
    """Weighted rendezvous (Thaler, Ravishankar 1998; Schindelhauer, Schomaker 2005): the member with the
    highest does the duty. `weight` above 0."""
    drawn = (xxhash.xxh3_64_intdigest(f"{duty}\0{member}".encode()) + 0.5) / 2**64
    return -weight / log(drawn)


def best(duty: str, sessions: dict[str, Session]) -> str | None:
    """Of those that are open and can."""
    able = [m for m, s in sessions.items() if s.open and s.weight > 0 and duty not in s.cannot]
    return max(able, key=lambda m: (score(duty, m, sessions[m].weight), m)) if able else None


class Steward:
    """`turn` after entries were applied, on every member, with a time that was read after that: one read
    before would count a lease from before it was asked for. Times are milliseconds of the own monotonic
    clock.
    `settle`: for how long a member has been there before a healthy holder passes anything on to it."""

    def __init__(self, lease: Lease, duties: Duties, settle: float = 10_000.0) -> None:
        self.lease, self.duties, self.settle = lease, duties, settle
        self.heard: dict[str, tuple[int, int, float]] = {}  # by member: life, last word, applied when
        self.since: dict[str, tuple[int, float]] = {}  # by member: its life, and when it was first seen
        self.proposed: dict[Command, float] = {}

    def turn(self, now: float, leads: bool) -> list[Command]:
        self.note(now)
        if not leads:
            self.proposed.clear()
            return []
        again = self.lease.ms / 5
        self.proposed = {command: at for command, at in self.proposed.items() if now - at < again}
        fresh = [c for c in self.due(now) if c not in self.proposed][:MOST]
        self.proposed.update((command, now) for command in fresh)
        return fresh

    def note(self, now: float) -> None:
        """Guards against counting a lease from before its word was applied here: what is noted is later."""
        there = {m: s for m, s in self.duties.sessions.items() if s.open}
        for gone in self.heard.keys() - there.keys():
            del self.heard[gone], self.since[gone]
        for member, session in there.items():
            if self.heard.get(member, (0, 0))[:2] != (session.life, session.number):
                self.heard[member] = session.life, session.number, now
            if self.since.get(member, (0,))[0] != session.life:
                self.since[member] = session.life, now

    def due(self, now: float) -> list[Command]:
        ends: list[Command] = [
            End(member, life, number)
            for member, (life, number, at) in self.heard.items()
            if now - at >= self.lease.over()
        ]
        out, sessions = ends, self.duties.sessions
        settled = {m: s for m, s in sessions.items() if s.open and now - self.since[m][1] >= self.settle}
        for name, duty in self.duties.duties.items():
            if duty.gone or (duty.holder and duty.heir):
                continue
            drains = bool(duty.holder) and sessions[duty.holder].weight <= 0
            among = settled if duty.holder and not drains else sessions
            to = best(name, {**among, **{m: sessions[m] for m in [duty.holder] if m}})
            if to is None or to == duty.holder:
                continue
            life = sessions[to].life
            out.append(Heir(name, duty.token, to, life) if duty.holder else Grant(name, to, life))
        return out
