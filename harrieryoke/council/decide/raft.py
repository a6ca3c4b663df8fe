"""Raft consensus as in Ongaro's dissertation (2014), as a deterministic state machine without I/O.

Inputs are messages, ticks and disk results; outputs are messages, records to write and committed entries:

    receive / tick / propose / change_configuration / records_written / disk_failed

        ->  take_ready() -> writes, messages, committed

A message that depends on a record leaves `take_ready` only after `records_written` for that record (the table
is in docs/council.md), so a caller cannot send it before the record is durable. All times are milliseconds of
the caller's monotonic clock, which may run at any rate: safety does not depend on it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple

from msgspec import Struct
from msgspec.structs import replace

from .log import PersistentState
from .messages import (
    AppendEntries,
    AppendEntriesResponse,
    Configuration,
    Entry,
    ForwardProposal,
    HardState,
    InstallSnapshot,
    InstallSnapshotResponse,
    JoinRequest,
    Message,
    OutgoingMessage,
    PendingWrite,
    PersistentRecord,
    ReplicaId,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    TimeoutNow,
)

MAX_VOTERS = 7


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # pre-vote phase, section 9.6
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Times are milliseconds, sizes bytes. A follower starts an election after one to two times `election_ms`
    without a leader; a leader that hears no majority for `election_ms` steps down.
    """

    election_ms: float = 1000.0
    heartbeat_ms: float = 200.0
    stall_ms: float = 1500.0  # a leader with a slower write steps down
    silent_ms: float = 10_000.0  # silence after which a member's new disk may replace its old one
    max_promotion_lag: int = 64  # entries that a learner may lack when it is promoted to voter
    max_batch_entries: int = 256  # per message
    max_batch_bytes: int = 512 << 10
    max_inflight_batches: int = 4  # unanswered messages with entries per member
    max_entry_bytes: int = 256 << 10
    max_uncommitted_entries: int = 1024  # beyond them a proposal is refused
    max_unwritten_bytes: int = 8 << 20  # beyond them a follower drops entries and a leader refuses proposals
    max_held_messages: int = 4096  # waiting for the disk; beyond them the oldest is dropped, as if lost
    trailing_entries: int = 1024  # kept before a snapshot's index, for members that lack only a few entries
    snapshot_chunk_bytes: int = 256 << 10
    max_snapshot_bytes: int = 256 << 20  # a larger snapshot is not accepted from a leader
    max_join_requests: int = 16  # replicas remembered that ask to join


@dataclass(slots=True)
class Progress:
    """The leader's view of another replica. `last_response` is the time of its last answer."""

    next_index: int
    last_response: float
    match_index: int = 0
    inflight: deque[int] = field(default_factory=deque)  # last index of each unanswered message
    sending_snapshot: Snapshot | None = None
    snapshot_offset: int = 0


class UnwrittenRecord(Struct, frozen=True):
    """A record on its way to the disk. Once it is written the log is durable up to `log_index`, which is 0
    for a record that does not extend the log or was replaced since.
    """

    sequence: int
    log_index: int
    size_bytes: int
    queued_at: float


class Ready(NamedTuple):
    writes: list[PendingWrite]
    messages: list[OutgoingMessage]
    committed: list[Entry | Snapshot]


class Raft:
    """`replica` is this member's own ID; `persisted` is what its disk had. Any method may be called between
    two calls of `take_ready`; only the order within each list of a `Ready` matters.
    """

    def __init__(
        self, replica: ReplicaId, settings: RaftSettings, persisted: PersistentState, seed: int, now: float
    ) -> None:
        self.replica, self.settings, self.rng, self.now = replica, settings, Random(seed), now
        self.term, self.voted_for, self.log, self.snapshot = (
            persisted.term,
            persisted.voted_for,
            persisted.log,
            persisted.snapshot,
        )
        self.configurations = [(self.snapshot.index, self.snapshot.members)]
        self.configurations += [(e.index, e.members) for e in self.log.entries if e.members is not None]
        self.commit_index = self.last_applied = self.snapshot.index
        self.durable_index = self.log.last_index()
        self.role = Role.FOLLOWER
        self.leader: ReplicaId | None = None
        self.last_leader_contact = now - settings.election_ms
        self.votes_received: set[ReplicaId] = set()
        self.progress: dict[ReplicaId, Progress] = {}  # used by a leader
        self.term_start_index = 0  # of a leader: index of the first entry of its term
        self.last_heartbeat = now
        # the target of a leadership transfer, and until when it is tried
        self.pending_transfer: tuple[ReplicaId, float] | None = None
        self.disk_error = ""  # why the disk accepts no records, or ""
        self.join_requests: dict[ReplicaId, float] = {}
        self.incoming_snapshot: tuple[Snapshot, bytearray] | None = None
        # sequence numbers of records
        self.last_sequence = self.written_sequence = self.hard_state_sequence = self.own_vote_sequence = 0
        self.unwritten: deque[UnwrittenRecord] = deque()
        self.unwritten_bytes = 0
        self.held_messages: deque[tuple[int, OutgoingMessage]] = deque()
        self.ready = Ready([], [], [self.snapshot] if self.snapshot.data else [])
        self.election_deadline = now
        self.reset_election_timer()

    # --- interface ---

    @property
    def configuration(self) -> Configuration:
        """The newest configuration in the log, committed or not."""
        return self.configurations[-1][1]

    def is_voter(self) -> bool:
        return self.replica in self.configuration.voters

    def is_established_leader(self) -> bool:
        """Whether this replica is the leader and has committed an entry of its own term: all earlier
        committed entries have then been applied here, or are in the result of `take_ready`.
        """
        return self.role is Role.LEADER and self.commit_index >= self.term_start_index

    def take_ready(self) -> Ready:
        """Returns the pending output. Messages that wait for the disk follow in a later call."""
        out, self.ready = self.ready, Ready([], [], [])
        return out

    def tick(self, now: float) -> None:
        """Must be called at least every `heartbeat_ms`."""
        self.now = now
        present = self.configuration.replicas() if self.join_requests else ()
        for replica in [
            s
            for s, received_at in self.join_requests.items()
            if s in present or now - received_at > self.settings.silent_ms
        ]:
            del self.join_requests[replica]  # frees the slots of replicas that have joined in the meantime
        if self.role is Role.LEADER:
            self.tick_leader()
        elif now >= self.election_deadline:
            self.reset_election_timer()
            if self.replica not in self.configuration.replicas():
                self.send(None, JoinRequest())
            elif self.is_voter() and not self.is_disk_stalled():
                self.start_pre_vote()

    def receive(self, now: float, sender: ReplicaId, message: Message) -> None:
        """The caller has checked that `sender` belongs to the same council."""
        self.now = now
        if isinstance(message, JoinRequest):
            if self.role is Role.LEADER and (
                sender in self.join_requests or len(self.join_requests) < self.settings.max_join_requests
            ):
                self.join_requests[sender] = now
            return
        if isinstance(message, ForwardProposal):
            if self.role is Role.LEADER:
                self.propose(now, message.data)
            return
        if isinstance(message, RequestVote):
            return self.handle_request_vote(sender, message)
        if (
            isinstance(message, RequestVoteResponse | AppendEntriesResponse | InstallSnapshotResponse)
            and sender not in self.configuration.replicas()
        ):
            return
        if isinstance(message, RequestVoteResponse) and message.pre_vote and message.granted:
            return self.handle_pre_vote_response(sender, message)
        if message.term > self.term:
            self.become_follower(message.term)
        if message.term < self.term:
            if isinstance(message, AppendEntries | InstallSnapshot):
                # tells the old leader about the newer term
                self.send(sender, AppendEntriesResponse(self.term, False, 0))
            return
        if isinstance(message, RequestVoteResponse):
            if message.granted and self.role is Role.CANDIDATE:
                self.count_vote(sender)
        elif isinstance(message, AppendEntries):
            self.accept_leader(sender)
            self.handle_append_entries(sender, message)
        elif isinstance(message, InstallSnapshot):
            self.accept_leader(sender)
            self.handle_install_snapshot(sender, message)
        elif isinstance(message, TimeoutNow):
            if sender == self.leader and self.is_voter() and not self.is_disk_stalled():
                self.start_election(leadership_transfer=True)
        elif self.role is Role.LEADER and (progress := self.progress.get(sender)) is not None:
            progress.last_response = now
            if isinstance(message, AppendEntriesResponse):
                self.handle_append_entries_response(sender, progress, message)
            elif (
                progress.sending_snapshot is not None
                and progress.sending_snapshot.index == message.snapshot_index
            ):
                progress.snapshot_offset = message.next_offset
                self.replicate(sender, progress)

    def propose(self, now: float, data: bytes) -> str:
        """On the leader, appends to the log; elsewhere, forwards to the leader. Returns the reason for a
        refusal, or "". An accepted proposal may still be lost: the caller repeats it, so proposals are
        idempotent.
        """
        self.now = now
        if len(data) > self.settings.max_entry_bytes or not data:
            return f"entry of {len(data)} bytes is not within 1 to {self.settings.max_entry_bytes} bytes"
        if self.role is not Role.LEADER:
            if self.leader is None:
                return "no leader is known"
            # Does not wait for the disk: a member whose disk fails must still be able to report that it gives
            # its duties up.
            self.send_after_write(0, OutgoingMessage(self.leader, ForwardProposal(data)))
            return ""
        if self.pending_transfer is not None:
            return "a leadership transfer is in progress"
        if (
            self.log.last_index() - self.commit_index >= self.settings.max_uncommitted_entries
            or self.unwritten_bytes > self.settings.max_unwritten_bytes
        ):
            return "too many uncommitted entries"
        self.append_and_replicate(Entry(self.log.last_index() + 1, self.term, data))
        return ""

    def change_configuration(self, now: float, configuration: Configuration) -> str:
        """Proposes that configuration. Returns the reason for a refusal, or "". Changes one voter at a time
        (dissertation, section 4.1), with Ongaro's correction of 2015: not before an entry of the leader's own
        term is committed.
        """
        self.now, current = now, self.configuration
        added = configuration.voters - current.voters
        if not self.is_established_leader():
            return "not the leader, or no entry of its term is committed yet"
        if self.configurations[-1][0] > self.commit_index:
            return "the previous configuration change is not committed yet"
        if len(configuration.voters ^ current.voters) > 1:
            return "more than one voter would be added or removed"
        if self.replica not in configuration.voters:
            return "a leader cannot remove itself: it must transfer leadership first"
        if len({replica.name for replica in configuration.replicas()}) < len(configuration.voters) + len(
            configuration.learners
        ):
            return "duplicate member name"
        if added and len(configuration.voters) > MAX_VOTERS:
            return f"more than {MAX_VOTERS} voters"
        if not all(replica in current.learners and self.is_caught_up(replica) for replica in added):
            return "a new voter must be a learner that is caught up"
        if not self.has_responsive_quorum(configuration):
            return "too few of its voters respond"
        self.append_and_replicate(Entry(self.log.last_index() + 1, self.term, members=configuration))
        return ""

    def is_caught_up(self, replica: ReplicaId) -> bool:
        progress = self.progress.get(replica)
        return (
            progress is not None
            and self.is_responsive(replica)
            and progress.match_index + self.settings.max_promotion_lag >= self.log.last_index()
        )

    def has_responsive_quorum(self, configuration: Configuration) -> bool:
        """Whether a quorum of that configuration responds. Without this check a live voter could be removed
        while another is dead, and the remaining voters would have no quorum. A replica that has not answered
        in this term does not count, since a new leader initially treats all replicas as responsive.
        """
        responsive = [
            s
            for s in configuration.voters
            if s == self.replica or (self.is_responsive(s) and self.progress[s].match_index)
        ]
        return len(responsive) >= configuration.quorum_size()

    def is_responsive(self, replica: ReplicaId, within_ms: float | None = None) -> bool:
        """On a leader: whether the replica answered within `within_ms`, by default the election timeout."""
        progress = self.progress.get(replica)
        limit_ms = self.settings.election_ms if within_ms is None else within_ms
        return replica == self.replica or (
            progress is not None and self.now - progress.last_response < limit_ms
        )

    def transfer_leadership(self, now: float, recipient: ReplicaId) -> str:
        """Transfers leadership once `recipient` has the whole log; gives up after an election timeout.
        Returns the reason for a refusal, or "".
        """
        self.now = now
        if self.role is not Role.LEADER or self.pending_transfer is not None:
            return "not the leader, or a transfer is already in progress"
        if recipient == self.replica or recipient not in self.configuration.voters:
            return f"{recipient.name} is not another voter"
        self.pending_transfer = recipient, now + self.settings.election_ms
        self.finish_transfer(recipient, self.progress[recipient])
        return ""

    def compact(self, index: int, data: bytes) -> None:
        """Takes a snapshot: `data` is the state after entry `index`. Raises ValueError unless that entry is
        applied and after the last snapshot, or if `data` is empty.
        """
        if not self.snapshot.index < index <= self.last_applied or not data:
            raise ValueError(
                f"cannot take a snapshot at {index}: the last one is at {self.snapshot.index}, "
                f"and {self.last_applied} is applied"
            )
        while len(self.configurations) > 1 and self.configurations[1][0] <= index:
            del self.configurations[0]
        self.snapshot = Snapshot(index, self.log.term_at(index) or 0, self.configurations[0][1], data)
        self.write_record(self.snapshot, len(data), index)
        self.log.discard_through(index - self.settings.trailing_entries)

    # --- disk ---

    def records_written(self, now: float, sequence: int) -> None:
        """All records up to `sequence` are durable."""
        self.now = now
        self.written_sequence, self.disk_error = max(self.written_sequence, sequence), ""
        while self.unwritten and self.unwritten[0].sequence <= sequence:
            written = self.unwritten.popleft()
            self.unwritten_bytes -= written.size_bytes
            self.durable_index = max(self.durable_index, written.log_index)
        held_messages, self.held_messages = self.held_messages, deque()
        for after_sequence, message in held_messages:
            self.send_after_write(after_sequence, message)
        if self.role is Role.CANDIDATE and self.written_sequence >= self.own_vote_sequence:
            self.count_vote(self.replica)
        elif self.role is Role.LEADER:
            self.advance_commit_index()

    def disk_failed(self, now: float, reason: str) -> None:
        """Records are not lost but delayed. A leader steps down, and the replica starts no election until the
        disk accepts records again.
        """
        self.now, self.disk_error = now, reason
        if self.role is Role.LEADER:
            self.step_down()

    def is_disk_stalled(self) -> bool:
        return bool(self.disk_error) or (
            bool(self.unwritten) and self.now - self.unwritten[0].queued_at > self.settings.stall_ms
        )

    def write_record(self, record: PersistentRecord, size: int, index: int) -> None:
        self.last_sequence += 1
        self.unwritten.append(UnwrittenRecord(self.last_sequence, index, size, self.now))
        self.unwritten_bytes += size
        self.ready.writes.append(PendingWrite(self.last_sequence, record))

    def write_hard_state(self) -> None:
        self.write_record(HardState(self.term, self.voted_for), 64, 0)
        self.hard_state_sequence = self.last_sequence

    def append_entry(self, entry: Entry) -> None:
        """Writes the entry to the log; it replaces any entry at its index and all later ones."""
        if entry.index <= self.log.last_index():
            self.durable_index = min(self.durable_index, entry.index - 1)
            self.unwritten = deque(
                record if record.log_index < entry.index else replace(record, log_index=0)
                for record in self.unwritten
            )
            while self.configurations[-1][0] >= entry.index:
                self.configurations.pop()
        self.log.truncate_and_append(entry)
        self.write_record(entry, entry.size_bytes(), entry.index)
        if entry.members is not None:
            self.configurations.append((entry.index, entry.members))

    def send(self, recipient: ReplicaId | None, message: Message, after_sequence: int = 0) -> None:
        """Sends the message once the current term and the record `after_sequence` are written."""
        self.send_after_write(
            max(after_sequence, self.hard_state_sequence), OutgoingMessage(recipient, message)
        )

    def send_after_write(self, after_sequence: int, message: OutgoingMessage) -> None:
        if after_sequence <= self.written_sequence:
            self.ready.messages.append(message)
            return
        self.held_messages.append((after_sequence, message))
        if len(self.held_messages) > self.settings.max_held_messages:
            self.held_messages.popleft()

    # --- elections ---

    def reset_election_timer(self) -> None:
        self.election_deadline = self.now + self.settings.election_ms * (1.0 + self.rng.random())

    def become_follower(self, term: int) -> None:
        """Becomes a follower that knows no leader yet."""
        if term > self.term:
            self.term, self.voted_for = term, None
            self.write_hard_state()
        self.role, self.leader, self.pending_transfer = Role.FOLLOWER, None, None
        self.progress.clear()
        self.join_requests.clear()
        self.reset_election_timer()

    def accept_leader(self, leader: ReplicaId) -> None:
        if self.role is not Role.FOLLOWER:
            self.become_follower(self.term)
        self.leader, self.last_leader_contact = leader, self.now
        self.reset_election_timer()

    def other_voters(self) -> list[ReplicaId]:
        return sorted(self.configuration.voters - {self.replica})

    def start_pre_vote(self) -> None:
        """Pre-vote keeps a member behind a broken link from deposing a leader by its higher term (section
        9.6).
        """
        self.role, self.leader, self.votes_received = Role.PRE_CANDIDATE, None, set()
        for replica in self.other_voters():
            self.send(
                replica,
                RequestVote(self.term + 1, self.log.last_index(), self.log.last_term(), pre_vote=True),
            )
        self.count_vote(self.replica)

    def start_election(self, leadership_transfer: bool = False) -> None:
        self.role, self.leader, self.votes_received = Role.CANDIDATE, None, set()
        self.term, self.voted_for = self.term + 1, self.replica
        self.write_hard_state()
        self.own_vote_sequence = self.hard_state_sequence  # its own vote counts once it is written
        self.reset_election_timer()
        for replica in self.other_voters():
            self.send(
                replica,
                RequestVote(
                    self.term,
                    self.log.last_index(),
                    self.log.last_term(),
                    leadership_transfer=leadership_transfer,
                ),
            )

    def handle_request_vote(self, sender: ReplicaId, message: RequestVote) -> None:
        has_leader = self.role is Role.LEADER or (
            self.leader is not None and self.now - self.last_leader_contact < self.settings.election_ms
        )
        if message.term >= self.term and has_leader and not message.leadership_transfer:
            return  # section 4.2.3: a candidate that cannot hear the leader must not disturb those that can
        is_up_to_date = (message.last_log_term, message.last_log_index) >= (
            self.log.last_term(),
            self.log.last_index(),
        )
        if message.pre_vote:
            would_grant = is_up_to_date and message.term > self.term and not self.is_disk_stalled()
            return self.send(
                sender,
                RequestVoteResponse(message.term if would_grant else self.term, would_grant, pre_vote=True),
            )
        if message.term < self.term:
            return self.send(sender, RequestVoteResponse(self.term, False))
        if message.term > self.term:
            self.become_follower(message.term)
        # A replica outside the configuration does not vote: its member may have voted before it lost its
        # disk.
        granted = (
            is_up_to_date
            and self.voted_for in (None, sender)
            and self.replica in self.configuration.replicas()
        )
        if granted:
            self.reset_election_timer()
            if self.voted_for is None:
                self.voted_for = sender
                self.write_hard_state()
        self.send(sender, RequestVoteResponse(self.term, granted))

    def handle_pre_vote_response(self, sender: ReplicaId, message: RequestVoteResponse) -> None:
        if self.role is Role.PRE_CANDIDATE and message.term == self.term + 1:
            self.count_vote(sender)

    def count_vote(self, sender: ReplicaId) -> None:
        self.votes_received.add(sender)
        if len(self.votes_received & self.configuration.voters) < self.configuration.quorum_size():
            return
        if self.role is Role.PRE_CANDIDATE:
            self.start_election()
        else:
            self.become_leader()

    def become_leader(self) -> None:
        self.role, self.leader = Role.LEADER, self.replica
        self.term_start_index = self.log.last_index() + 1
        self.last_heartbeat = self.now
        self.append_and_replicate(Entry(self.term_start_index, self.term))

    # --- leader ---

    def append_and_replicate(self, entry: Entry) -> None:
        self.append_entry(entry)
        others = sorted(self.configuration.replicas() - {self.replica})
        self.progress = {
            replica: self.progress.get(replica) or Progress(entry.index, self.now) for replica in others
        }
        for replica, progress in self.progress.items():
            self.replicate(replica, progress)

    def tick_leader(self) -> None:
        responsive_voters = sum(self.is_responsive(replica) for replica in self.configuration.voters)
        if responsive_voters < self.configuration.quorum_size():
            return self.become_follower(self.term)  # section 6.2: it steps down without a responsive majority
        if self.is_disk_stalled():
            return self.step_down()
        if self.pending_transfer is not None and self.now >= self.pending_transfer[1]:
            self.pending_transfer = None
        if self.now - self.last_heartbeat < self.settings.heartbeat_ms:
            return
        self.last_heartbeat = self.now
        for replica, progress in self.progress.items():
            if progress.sending_snapshot is None:
                self.send_append_entries(replica, progress, ())
            else:
                self.send_snapshot_chunk(replica, progress)

    def step_down(self) -> None:
        """Transfers leadership to the responsive voter with the longest log; without one, the others elect a
        leader.
        """
        candidates = [s for s in self.other_voters() if self.is_responsive(s)]
        if candidates:
            self.send(max(candidates, key=lambda s: self.progress[s].match_index), TimeoutNow(self.term))
        self.become_follower(self.term)

    def replicate(self, replica: ReplicaId, progress: Progress) -> None:
        if progress.sending_snapshot is not None:
            return self.send_snapshot_chunk(replica, progress)
        while (
            progress.next_index <= self.log.last_index()
            and len(progress.inflight) < self.settings.max_inflight_batches
        ):
            if progress.next_index <= self.log.base_index:
                progress.sending_snapshot, progress.snapshot_offset = self.snapshot, 0
                return self.send_snapshot_chunk(replica, progress)
            entries = self.log.entries_from(
                progress.next_index, self.settings.max_batch_entries, self.settings.max_batch_bytes
            )
            self.send_append_entries(replica, progress, entries)
            progress.next_index = entries[-1].index + 1
            progress.inflight.append(entries[-1].index)

    def send_append_entries(self, replica: ReplicaId, progress: Progress, entries: tuple[Entry, ...]) -> None:
        prev_log_index = max(self.log.base_index, progress.next_index - 1)
        term = self.log.term_at(prev_log_index)
        assert term is not None
        self.send(replica, AppendEntries(self.term, prev_log_index, term, entries, self.commit_index))

    def send_snapshot_chunk(self, replica: ReplicaId, progress: Progress) -> None:
        snapshot = progress.sending_snapshot
        assert snapshot is not None
        chunk = snapshot.data[
            progress.snapshot_offset : progress.snapshot_offset + self.settings.snapshot_chunk_bytes
        ]
        metadata = replace(snapshot, data=b"")
        self.send(
            replica, InstallSnapshot(self.term, metadata, progress.snapshot_offset, len(snapshot.data), chunk)
        )

    def handle_append_entries_response(
        self, replica: ReplicaId, progress: Progress, message: AppendEntriesResponse
    ) -> None:
        if message.success:
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            while progress.inflight and progress.inflight[0] <= progress.match_index:
                progress.inflight.popleft()
            if (
                progress.sending_snapshot is not None
                and progress.match_index >= progress.sending_snapshot.index
            ):
                progress.sending_snapshot = None
            self.advance_commit_index()
            if self.role is not Role.LEADER:
                return
            self.finish_transfer(replica, progress)
        elif message.rejected_index > progress.match_index:  # otherwise the response is outdated
            progress.next_index = (
                max(progress.match_index, min(message.index, message.rejected_index - 1)) + 1
            )
            progress.inflight.clear()
        self.replicate(replica, progress)

    def finish_transfer(self, replica: ReplicaId, progress: Progress) -> None:
        if (
            self.pending_transfer is not None
            and self.pending_transfer[0] == replica
            and progress.match_index == self.log.last_index()
        ):
            self.send(replica, TimeoutNow(self.term))

    def advance_commit_index(self) -> None:
        """Raft, section 5.4.2: only entries of the current term are committed by counting; earlier ones are
        committed with them.
        """
        match_indexes = sorted(
            (
                self.durable_index if replica == self.replica else self.progress[replica].match_index
                for replica in self.configuration.voters
            ),
            reverse=True,
        )
        index = match_indexes[self.configuration.quorum_size() - 1]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_through(index)

    def commit_through(self, index: int) -> None:
        self.commit_index = max(self.commit_index, index)
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            self.ready.committed.append(self.log.entry(self.last_applied))

    # --- follower ---

    def handle_append_entries(self, leader: ReplicaId, message: AppendEntries) -> None:
        if (
            message.prev_log_index > self.log.base_index
            and self.log.term_at(message.prev_log_index) != message.prev_log_term
        ):
            hint = max(self.commit_index, self.log.conflict_hint(message.prev_log_index))
            return self.send(leader, AppendEntriesResponse(self.term, False, hint, message.prev_log_index))
        if message.entries and self.unwritten_bytes > self.settings.max_unwritten_bytes:
            return  # treated as lost: the leader sends it again
        for entry in message.entries:
            if entry.index > self.log.base_index and self.log.term_at(entry.index) != entry.term:
                assert entry.index > self.commit_index, "a committed entry would be overwritten"
                self.append_entry(entry)
        index = message.prev_log_index + len(message.entries)
        self.commit_through(min(message.leader_commit, index))
        self.send(leader, AppendEntriesResponse(self.term, True, index), after_sequence=self.last_sequence)

    def handle_install_snapshot(self, leader: ReplicaId, message: InstallSnapshot) -> None:
        if message.snapshot.index <= self.commit_index:
            return self.send(
                leader,
                AppendEntriesResponse(self.term, True, self.commit_index),
                after_sequence=self.last_sequence,
            )
        if self.incoming_snapshot is None or self.incoming_snapshot[0] != message.snapshot:
            self.incoming_snapshot = message.snapshot, bytearray()
        data = self.incoming_snapshot[1]
        if message.offset == len(data) and message.total_bytes <= self.settings.max_snapshot_bytes:
            data += message.data
        if len(data) < message.total_bytes or message.total_bytes > self.settings.max_snapshot_bytes:
            return self.send(leader, InstallSnapshotResponse(self.term, message.snapshot.index, len(data)))
        self.incoming_snapshot = None
        self.install_snapshot(replace(message.snapshot, data=bytes(data)))
        self.send(
            leader,
            AppendEntriesResponse(self.term, True, message.snapshot.index),
            after_sequence=self.last_sequence,
        )

    def install_snapshot(self, snapshot: Snapshot) -> None:
        if not self.log.install_snapshot(snapshot):
            self.durable_index = 0
            self.unwritten = deque(replace(record, log_index=0) for record in self.unwritten)
            self.configurations = []
        self.configurations = [
            (snapshot.index, snapshot.members),
            *(item for item in self.configurations if item[0] > snapshot.index),
        ]
        self.snapshot = snapshot
        self.write_record(snapshot, len(snapshot.data), snapshot.index)
        self.commit_index = self.last_applied = snapshot.index
        if snapshot.data:
            self.ready.committed.append(snapshot)
