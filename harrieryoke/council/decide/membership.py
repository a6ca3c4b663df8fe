"""Which change of the configuration is due: a step at a time, by what is wanted and who is heard."""

from __future__ import annotations

from collections.abc import Iterator

from .messages import Members, Seat
from .raft import MOST_VOTERS, Agreement


def due(agreement: Agreement, voters: frozenset[str], known: frozenset[str]) -> Members | Seat | None:
    """The next configuration, or to whom this leader must hand on first; None for nothing. `voters`: the
    names that shall vote, `known`: all that may be let in. A name that is not known any more is put out."""
    if not agreement.leads():
        return None
    for step in steps(agreement, voters, known):
        if isinstance(step, Seat) or agreement.bears(step):
            return step
    return None


def steps(a: Agreement, voters: frozenset[str], known: frozenset[str]) -> Iterator[Members | Seat]:
    """Those that are wanted, the most urgent first. A new disk of a member gets the old one's place only when
    that has been silent for `silent_ms`: guards against a second process under a name, which would put out
    the first."""
    now = a.members
    for seat in sorted(a.knocks):
        old = now.named(seat.name)
        if seat.name not in known or old == seat:
            continue
        if old is None:
            yield Members(now.voters, now.learners | {seat})
        elif not a.hears(old, a.told.silent_ms) and (old in now.learners or len(now.voters) > 1):
            yield Members(now.voters - {old}, now.learners - {old} | {seat})
    for seat in sorted(now.learners):
        if seat.name not in known:
            yield Members(now.voters, now.learners - {seat})
        elif seat.name in voters and a.caught_up(seat) and len(now.voters) < MOST_VOTERS:
            yield Members(now.voters | {seat}, now.learners - {seat})
    if len(now.voters) < min(len(voters) + 1, MOST_VOTERS):
        return  # guards against fewer voters than wanted on the way: a replacement comes in first
    for seat in sorted(now.voters):
        if seat.name in voters:
            continue
        if seat == a.seat:
            yield from [s for s in a.others() if a.caught_up(s)][:1]
            continue
        learns = frozenset({seat} if seat.name in known else ())
        yield Members(now.voters - {seat}, now.learners | learns)
