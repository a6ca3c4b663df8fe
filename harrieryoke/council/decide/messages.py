"""What members say to each other, what is in the log, and what is written to the disk.

All are values. Names after Raft's calls: `AskVote` is RequestVote, `Append` AppendEntries, `Piece`
InstallSnapshot, `Now` TimeoutNow (Ongaro's dissertation, figure 3.1, sections 3.10 and 5.3, 9.6).
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

ENTRY_OVERHEAD_BYTES = 64  # bytes counted for an entry beside its data


class ReplicaId(NamedTuple):
    """A member with its disk: `disk` is drawn at random when the disk is first used, so that a member that
    lost it is another seat, whose votes count in no configuration that had the old one."""

    name: str
    disk_id: int


class Configuration(NamedTuple):
    """A configuration. Learners get the log and count for nothing. No name is in it twice."""

    voters: frozenset[ReplicaId] = frozenset()
    learners: frozenset[ReplicaId] = frozenset()

    def replicas(self) -> frozenset[ReplicaId]:
        return self.voters | self.learners

    def quorum_size(self) -> int:
        return len(self.voters) // 2 + 1

    def find(self, name: str) -> ReplicaId | None:
        return next((replica for replica in self.replicas() if replica.name == name), None)


class Entry(Struct, frozen=True):
    """`members` makes it a change of the configuration, which counts from when it is in a log; with neither
    that nor `data` it is a new leader's first."""

    index: int
    term: int
    data: bytes = b""
    members: Configuration | None = None

    def size_bytes(self) -> int:
        replicas = 0 if self.members is None else len(self.members.voters) + len(self.members.learners)
        return ENTRY_OVERHEAD_BYTES * (1 + replicas) + len(self.data)


class Snapshot(Struct, frozen=True):
    """Stands for all entries up to `index`. Without data it is a founding: nothing was applied before."""

    index: int
    term: int
    members: Configuration
    data: bytes = b""


class HardState(Struct, frozen=True):
    """Term and vote, which are written before anything is said in that term."""

    term: int
    vote: ReplicaId | None


PersistentRecord = HardState | Entry | Snapshot


class RequestVote(Struct, frozen=True):
    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool = False  # would you vote for me in that term?
    leadership_transfer: bool = False  # the leader itself has asked me to stand


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
    """`ok`: entries up to `index` are durable here and are the leader's. Else what followed `at` did not fit;
    up to `index` it may."""

    term: int
    success: bool
    index: int
    rejected_index: int = 0


class InstallSnapshot(Struct, frozen=True):
    """Bytes of a snapshot from `offset` of `total` on. `snapshot.data` is empty in it."""

    term: int
    snapshot: Snapshot
    offset: int
    total_bytes: int
    data: bytes


class InstallSnapshotResponse(Struct, frozen=True):
    term: int
    snapshot_index: int
    next_offset: int  # the offset of the next piece


class TimeoutNow(Struct, frozen=True):
    term: int


class ForwardProposal(Struct, frozen=True):
    data: bytes


class JoinRequest(Struct, frozen=True):
    """Of a seat that is in no configuration that it knows."""


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
    recipient: ReplicaId | None  # None: to each member whose address is known
    message: Message


class PendingWrite(Struct, frozen=True):
    """To be written in the order of `number`, without a hole."""

    sequence: int
    record: PersistentRecord
