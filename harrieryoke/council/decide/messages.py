"""Messages between members, entries of the log, and records on the disk. All are values.

Message names are those of Ongaro's dissertation (figure 3.1, sections 3.10, 5.3 and 9.6).
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

ENTRY_OVERHEAD_BYTES = 64  # added to the data's size, once per entry and once per replica in it


class ReplicaId(NamedTuple):
    """A member together with its disk. `disk_id` is drawn at random when the disk is first used: a member
    that lost its disk is a different replica, whose votes count in no configuration that contains the old
    one.
    """

    name: str
    disk_id: int


class Configuration(NamedTuple):
    """A cluster configuration. Learners receive the log but do not count towards quorums. No name occurs
    twice.
    """

    voters: frozenset[ReplicaId] = frozenset()
    learners: frozenset[ReplicaId] = frozenset()

    def replicas(self) -> frozenset[ReplicaId]:
        return self.voters | self.learners

    def quorum_size(self) -> int:
        return len(self.voters) // 2 + 1

    def find(self, name: str) -> ReplicaId | None:
        return next((replica for replica in self.replicas() if replica.name == name), None)


class Entry(Struct, frozen=True):
    """An entry with `members` changes the configuration and takes effect as soon as it is in a log. An entry
    with neither `members` nor `data` is the first of a new leader.
    """

    index: int
    term: int
    data: bytes = b""
    members: Configuration | None = None

    def size_bytes(self) -> int:
        replicas = 0 if self.members is None else len(self.members.voters) + len(self.members.learners)
        return ENTRY_OVERHEAD_BYTES * (1 + replicas) + len(self.data)


class Snapshot(Struct, frozen=True):
    """Covers all entries up to `index`. Without data it bootstraps a council: nothing has been applied before
    it.
    """

    index: int
    term: int
    members: Configuration
    data: bytes = b""


class HardState(Struct, frozen=True):
    """Term and vote; written before anything is sent in that term."""

    term: int
    vote: ReplicaId | None


PersistentRecord = HardState | Entry | Snapshot


class RequestVote(Struct, frozen=True):
    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool = False  # asks whether the vote would be granted, without changing the term
    leadership_transfer: bool = False  # the current leader asked the candidate to start this election


class RequestVoteResponse(Struct, frozen=True):
    term: int
    granted: bool
    pre_vote: bool = False


class AppendEntries(Struct, frozen=True):
    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int


class AppendEntriesResponse(Struct, frozen=True):
    """With `success`, entries up to `index` are durable here and match the leader's. Otherwise the entries
    after `rejected_index` did not match, and the logs may agree up to `index`.
    """

    term: int
    success: bool
    index: int
    rejected_index: int = 0


class InstallSnapshot(Struct, frozen=True):
    """A chunk of a snapshot: the bytes from `offset` on out of `total_bytes`. `snapshot.data` is empty."""

    term: int
    snapshot: Snapshot
    offset: int
    total_bytes: int
    data: bytes


class InstallSnapshotResponse(Struct, frozen=True):
    term: int
    snapshot_index: int
    next_offset: int


class TimeoutNow(Struct, frozen=True):
    term: int


class ForwardProposal(Struct, frozen=True):
    data: bytes


class JoinRequest(Struct, frozen=True):
    """Sent by a replica that is in no configuration known to it."""


Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
    | ForwardProposal
    | JoinRequest
)


class OutgoingMessage(Struct, frozen=True):
    recipient: ReplicaId | None  # None: every member with a known address
    message: Message


class PendingWrite(Struct, frozen=True):
    """A record to be written; `sequence` has no gaps, and records are written in its order."""

    sequence: int
    record: PersistentRecord
