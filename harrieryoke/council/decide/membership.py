"""Chooses the next configuration change, one step at a time, from the desired members and who responds."""

from __future__ import annotations

from collections.abc import Iterator

from .messages import Configuration, ReplicaId
from .raft import MAX_VOTERS, Raft


def next_change(
    raft: Raft, voters: frozenset[str], known: frozenset[str]
) -> Configuration | ReplicaId | None:
    """Returns the next configuration, or the voter to which this leader must transfer leadership first, or
    None. `voters` are the desired voters, `known` all members that may join. A member that is no longer known
    is removed.
    """
    if not raft.is_established_leader():
        return None
    for step in possible_changes(raft, voters, known):
        if isinstance(step, ReplicaId) or raft.has_responsive_quorum(step):
            return step
    return None


def possible_changes(
    raft: Raft, voters: frozenset[str], known: frozenset[str]
) -> Iterator[Configuration | ReplicaId]:
    """Yields the desired changes, most urgent first. A member's new disk replaces its old one only after the
    old one has been silent for `silent_ms`: otherwise a second process under the same name would displace the
    first.
    """
    current = raft.configuration
    for replica in sorted(raft.join_requests):
        previous = current.find(replica.name)
        if replica.name not in known or previous == replica:
            continue
        if previous is None:
            yield Configuration(current.voters, current.learners | {replica})
        elif not raft.is_responsive(previous, raft.settings.silent_ms) and (
            previous in current.learners or len(current.voters) > 1
        ):
            yield Configuration(current.voters - {previous}, current.learners - {previous} | {replica})
    for replica in sorted(current.learners):
        if replica.name not in known:
            yield Configuration(current.voters, current.learners - {replica})
        elif replica.name in voters and raft.is_caught_up(replica) and len(current.voters) < MAX_VOTERS:
            yield Configuration(current.voters | {replica}, current.learners - {replica})
    if len(current.voters) < min(len(voters) + 1, MAX_VOTERS):
        return  # a replacement is added first, so that the number of voters never drops below the desired one
    for replica in sorted(current.voters):
        if replica.name in voters:
            continue
        if replica == raft.replica:
            yield from [replica for replica in raft.other_voters() if raft.is_caught_up(replica)][:1]
            continue
        learners = frozenset({replica} if replica.name in known else ())
        yield Configuration(current.voters - {replica}, current.learners | learners)
