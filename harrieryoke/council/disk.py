"""A member's Raft records in the store: term and vote, entries and snapshots, in the order of their writes.

Each store record states up to where the store was durable when the record was appended (`durable_through`).
Recovery uses it to distinguish damage to durable data, after which the disk counts as lost, from a last write
that a power cut left incomplete, which is truncated. For the last write, with no record after it, the two
cannot be distinguished.

A council snapshot is a snapshot of the store: `MAGIC size:u32 header data`. The header has the replica ID,
term and vote, and the entries after the snapshot. The first snapshot, of the empty state, stores a new
disk's ID. A snapshot whose entries are all in the local log adds nothing: later records do not wait for it,
and if writing it fails it is retried while the records are kept. A snapshot that goes beyond the local log
must be on the disk before any later record.
"""

from __future__ import annotations

import os
import secrets
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

import msgspec
from gevent.event import Event
from msgspec import Struct
from msgspec.structs import replace

from ..core.actor import spawn
from ..core.clock import now_ms, wall_ms
from ..log import Log
from ..store.actor import RECORD_OVERHEAD_BYTES, StoreWriter
from ..store.decide.segment import Record
from ..store.files import Directory, DiskDirectory
from ..store.settings import StoreError, StoreSettings
from ..store.store import Store
from .decide.log import PersistentState, bootstrap_snapshot, replay_records
from .decide.log import RaftLog as Entries
from .decide.messages import Entry, HardState, PendingWrite, ReplicaId, Snapshot

# kinds of store records; the ledger uses lower ones
HARD_STATE_KIND, ENTRY_KIND, SNAPSHOT_KIND = 101, 102, 103
MAGIC = b"HYCOUNC1"
HEADER_SIZE = struct.Struct("<I")
MIN_QUEUE_MB = 2.0  # a record may have 1 MiB
RETRY_S, MAX_RETRY_S = 0.05, 5.0  # after a failed snapshot; doubled with each failure
ENCODE = msgspec.msgpack.encode


class SnapshotHeader(Struct, frozen=True, rename={"replica": "seat"}):
    """Precedes the snapshot's data. `entries` are those after the snapshot."""

    replica: ReplicaId
    term: int
    vote: ReplicaId | None
    snapshot: Snapshot
    entries: list[Entry]


HEADER_DECODER: msgspec.msgpack.Decoder[SnapshotHeader] = msgspec.msgpack.Decoder(SnapshotHeader)
RECORD_DECODERS: dict[int, msgspec.msgpack.Decoder[tuple[int, Any]]] = {
    HARD_STATE_KIND: msgspec.msgpack.Decoder(tuple[int, HardState]),
    ENTRY_KIND: msgspec.msgpack.Decoder(tuple[int, Entry]),
    SNAPSHOT_KIND: msgspec.msgpack.Decoder(tuple[int, int]),  # a snapshot at that index was requested here
}


class CouncilFolder(Directory, Protocol):
    """A folder whose content can be moved aside."""

    def move_aside(self) -> str:
        """Renames the folder, creates an empty one in its place and returns the new name. Raises OSError."""
        ...


class RealCouncilFolder(DiskDirectory):
    """Raises StoreError if the folder does not exist and cannot be created."""

    def __init__(self, folder: str) -> None:
        try:
            super().__init__(folder.rstrip("/"))
            self.sync_parent()
        except OSError as error:
            raise StoreError(f"store.folder: {error}") from None

    def sync_parent(self) -> None:
        DiskDirectory(os.path.dirname(os.path.abspath(self.folder))).sync_names()

    def move_aside(self) -> str:
        name = f"{self.folder}.lost-{int(wall_ms())}"
        os.rename(self.folder, name)
        os.makedirs(self.folder, mode=0o750)
        self.sync_parent()
        return name


def new_replica_id(name: str) -> ReplicaId:
    return ReplicaId(name, 1 + secrets.randbelow(2**63 - 1))


def snapshot_parts(replica: ReplicaId, state: PersistentState) -> tuple[bytes, bytes]:
    """Returns the parts of a store snapshot, without copying the data, which may be large."""
    metadata = replace(state.snapshot, data=b"")
    header = ENCODE(SnapshotHeader(replica, state.term, state.voted_for, metadata, state.log.entries))
    return MAGIC + HEADER_SIZE.pack(len(header)) + header, state.snapshot.data


def copy_state(state: PersistentState) -> PersistentState:
    log = state.log
    return PersistentState(
        state.term, state.voted_for, state.snapshot, Entries(log.base_index, log.base_term, list(log.entries))
    )


class RecoveredFolder:
    """Collects what a folder's records contain. `restore` and `visit` must not raise, since the store is only
    half open when it calls them.
    """

    def __init__(self) -> None:
        self.replica: ReplicaId | None = None
        self.state = PersistentState()
        self.durable_through = 0  # records up to this number were durable, as later records state
        self.unreadable = self.gap = ""

    def restore(self, data: bytes) -> None:
        begin = len(MAGIC) + HEADER_SIZE.size
        try:
            if data[: len(MAGIC)] != MAGIC:
                raise ValueError("not a council snapshot")
            end = begin + HEADER_SIZE.unpack_from(data, len(MAGIC))[0]
            header = HEADER_DECODER.decode(memoryview(data)[begin:end])
        except (ValueError, msgspec.MsgspecError) as error:
            self.unreadable = str(error)
            return
        self.replica = header.replica
        snapshot = replace(header.snapshot, data=data[end:])
        log = Entries(snapshot.index, snapshot.term, header.entries)
        self.state = PersistentState(header.term, header.vote, snapshot, log)

    def visit(self, record: Record) -> None:
        read = RECORD_DECODERS.get(record.kind)
        if read is None:
            self.unreadable = f"record {record.seq} of kind {record.kind}"
            return
        try:
            durable_through, value = read.decode(record.payload)
        except msgspec.MsgspecError as error:
            self.unreadable = f"record {record.seq}: {error}"
            return
        self.durable_through = max(self.durable_through, durable_through)
        if record.kind != SNAPSHOT_KIND and not self.gap:
            try:
                self.state.apply_record(value)
            except ValueError as error:
                self.gap = f"record {record.seq}: {error}"

    def torn_write(self, store: Store) -> tuple[str, int] | None:
        """Returns the file and offset at which to truncate an incomplete last write, if nothing at or after
        that point was durable. Returns None for no damage or any other damage.
        """
        damaged = store.recovery.damaged
        durable_index = max(
            [
                self.durable_through,
                store.recovery.snapshot_seq,
                *(h.first_seq - 1 for h in store.headers.values()),
            ]
        )
        if not damaged or any(not fence.before or fence.after < durable_index for _, fence in damaged):
            return None
        return damaged[0][0], damaged[0][1].begin

    def loss_reason(self, store: Store) -> str:
        """Returns why durable data is missing from this disk, or ""."""
        r = store.recovery
        if r.damaged:
            name, fence = r.damaged[0]
            return f"{name}: bytes {fence.begin} to {fence.end} cannot be read"
        if r.bad_snapshots:
            return f"{r.bad_snapshots[0]} cannot be read"
        if self.replica is None and r.last_seq:
            return "the snapshot with the replica ID is missing"
        return self.gap


def discard_keeper(keeper: StoreWriter) -> None:
    """Closes a keeper that has not been started."""
    keeper.store.directory.unlock()
    keeper.thread_pool.kill()


def open_store(
    settings: StoreSettings, name: str, log: Log, files: CouncilFolder
) -> tuple[StoreWriter, RecoveredFolder]:
    """Raises StoreError for a folder that does not belong to this member; the folder is left unchanged."""
    while True:
        found = RecoveredFolder()
        keeper = StoreWriter(settings, log, found.visit, found.restore, files)
        reason, torn_write = "", found.torn_write(keeper.store)
        if found.unreadable:
            reason = f"holds data that is not a council's: {found.unreadable}"
        elif found.replica is not None and found.replica.name != name:
            reason = f"belongs to {found.replica.name!r}, not {name!r}"
        elif torn_write is not None:
            log("store-cut", f"{torn_write[0]}: the last write was incomplete from byte {torn_write[1]} on")
            try:
                files.truncate(*torn_write)
            except OSError as error:
                reason = str(error)
        if not reason and torn_write is None:
            return keeper, found
        discard_keeper(keeper)
        if reason:
            raise StoreError(f"store.folder: {settings.folder} {reason}")


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """A store snapshot to be written once the records up to `seq` are durable."""

    seq: int
    state: PersistentState


class Disk:
    """`save` never blocks. Records that do not fit into the store's queue wait here; the caller bounds them,
    as `Raft` does by `max_unwritten_bytes`. Of several pending snapshots only the newest is written.
    """

    def __init__(
        self, settings: StoreSettings, name: str, log: Log, files: CouncilFolder | None = None
    ) -> None:
        """Opens the folder synchronously. Raises StoreError."""
        if settings.sync == "none":
            raise StoreError(
                'store.sync: must be "group" or "interval" for a council, which relies on durable writes'
            )
        if settings.queue_mb < MIN_QUEUE_MB:
            raise StoreError(f"store.queue_mb: must be at least {MIN_QUEUE_MB:g} for a council")
        self.log = log
        files = files or RealCouncilFolder(settings.folder)
        self.keeper, found = open_store(settings, name, log, files)
        self.loss_reason = found.loss_reason(self.keeper.store)
        try:
            if self.loss_reason:
                moved_to = files.move_aside()
                discard_keeper(self.keeper)
                log(
                    "council-disk-lost",
                    f"{self.loss_reason}: the folder was moved to {moved_to}; starting with a new disk",
                )
                self.keeper, found = open_store(settings, name, log, files)
            self.is_new = found.replica is None and not self.loss_reason
            self.replica = found.replica or new_replica_id(name)
            if found.replica is None:
                self.keeper.store.take_snapshot(0, *snapshot_parts(self.replica, found.state))
        except OSError as error:
            discard_keeper(self.keeper)
            raise StoreError(f"store.folder: {settings.folder}: {error}") from None
        self.keeper.store.snapshot = None  # may be large, and is also in `recovered`
        self.recovered = found.state
        self.stored_state = copy_state(found.state)  # after the last record handed to the store
        self.queued: deque[PendingWrite] = deque()
        self.unconfirmed: deque[tuple[int, int]] = deque()  # sequence numbers in the store and of the write
        self.pending_snapshot: SnapshotRequest | None = None
        self.barrier_sequence = 0  # of a snapshot that all later records wait for
        self.snapshot_error = ""  # why the last snapshot failed, or ""
        self.snapshot_due, self.flushed, self.stopped, self.stopping = Event(), Event(), Event(), False
        self.on_written: Callable[[int], object] = lambda sequence: None
        self.on_failed: Callable[[str], object] = lambda reason: None
        self.keeper.on_durable, self.keeper.on_failure_change = self.on_durable, self.report_failure

    @staticmethod
    def bootstrap(settings: StoreSettings, name: str, base_index: int) -> ReplicaId:
        """Creates a new council with this member as its only voter. Raises StoreError unless the folder is
        empty.
        """
        files = RealCouncilFolder(settings.folder)
        files_found = sorted(n for n in files.names() if n != "lock" and not n.endswith(".new"))
        if files_found:
            detail = (
                f"holds {len(files_found)} files, such as {files_found[0]}; a council needs an empty folder"
            )
            raise StoreError(f"store.folder: {settings.folder} {detail}")
        store, replica = Store(files, settings, now_ms()), new_replica_id(name)
        try:
            store.take_snapshot(
                0, *snapshot_parts(replica, replay_records([bootstrap_snapshot([replica], base_index)]))
            )
        except OSError as error:
            raise StoreError(f"store.folder: {settings.folder}: {error}") from None
        finally:
            files.unlock()
        return replica

    def start(self) -> None:
        self.keeper.start()
        spawn(self.log, "council-disk", self.run, self.stopped.set)

    def save(self, writes: list[PendingWrite]) -> None:
        """Must be called in sequence order. An entry has at most 512 KiB."""
        self.queued += writes
        self.flush()

    def flush(self) -> None:
        """Hands as many records to the store as its queue has room for."""
        while self.queued and not self.barrier_sequence:
            write, durable_through = self.queued[0], self.keeper.durable_seq
            record, must_wait = write.record, False
            if isinstance(record, Snapshot):
                log = self.stored_state.log
                must_wait = record.index <= log.base_index or log.term_at(record.index) != record.term
                kind, payload = SNAPSHOT_KIND, ENCODE((durable_through, record.index))
            else:
                kind, payload = (
                    HARD_STATE_KIND if isinstance(record, HardState) else ENTRY_KIND,
                    ENCODE((durable_through, record)),
                )
            if not self.keeper.has_room(RECORD_OVERHEAD_BYTES + len(payload)):
                break
            seq = self.keeper.append(wall_ms(), kind, b"", payload)
            assert seq is not None
            self.queued.popleft()
            self.stored_state.apply_record(record)
            if must_wait:
                self.barrier_sequence = write.sequence
            else:
                self.unconfirmed.append((seq, write.sequence))
            if isinstance(record, Snapshot):
                self.pending_snapshot = SnapshotRequest(seq, copy_state(self.stored_state))
        if self.queued or self.barrier_sequence:
            self.flushed.clear()
        else:
            self.flushed.set()

    def on_durable(self, durable: int) -> None:
        sequence = 0
        while self.unconfirmed and self.unconfirmed[0][0] <= durable:
            sequence = self.unconfirmed.popleft()[1]
        if sequence:
            self.on_written(sequence)
            self.report_failure(self.keeper.failure)  # a partial write must not clear the failure
        self.flush()
        if self.pending_snapshot is not None:
            self.snapshot_due.set()

    def report_failure(self, reason: str) -> None:
        if reason:
            self.on_failed(reason)

    def run(self) -> None:
        """Writes the pending snapshot once the records that it covers are durable."""
        retry_s = 0.0
        while not self.stopping:
            self.snapshot_due.clear()
            request = self.pending_snapshot
            if request is None or request.seq > self.keeper.durable_seq:
                self.snapshot_due.wait()
                continue
            try:
                self.keeper.run_in_thread(partial(self.write_snapshot, request))
            except OSError as error:
                self.snapshot_failed(str(error))
                retry_s = min(MAX_RETRY_S, max(RETRY_S, 2 * retry_s))
                self.snapshot_due.wait(retry_s)
                continue
            retry_s = 0.0
            self.snapshot_written(request)

    def write_snapshot(self, request: SnapshotRequest, store: Store) -> None:
        """Runs in the store's thread."""
        store.take_snapshot(request.seq, *snapshot_parts(self.replica, request.state))
        with suppress(OSError):  # segments that could not be removed are removed the next time
            store.compact(request.seq + 1)

    def snapshot_failed(self, reason: str) -> None:
        if reason != self.snapshot_error:
            self.log("store-failing", f"snapshot failed: {reason}; the previous one and the records are kept")
        self.snapshot_error = reason
        if self.barrier_sequence:
            self.on_failed(reason)

    def snapshot_written(self, request: SnapshotRequest) -> None:
        if self.snapshot_error:
            self.log("store-well", "snapshots are written again")
        self.snapshot_error = ""
        if self.pending_snapshot is not request:
            return  # a newer one was requested in the meantime
        self.pending_snapshot = None
        if self.barrier_sequence:
            sequence, self.barrier_sequence = self.barrier_sequence, 0
            self.on_written(sequence)
            self.flush()

    def stop(self, timeout_s: float) -> None:
        """Writes all saved records if the disk accepts them in time; a snapshot that adds nothing may be
        dropped.
        """
        started = now_ms()
        if self.queued or self.barrier_sequence:
            self.flushed.wait(timeout_s)
        self.stopping = True
        self.snapshot_due.set()
        self.stopped.wait(max(0.0, timeout_s - (now_ms() - started) / 1000))
        self.keeper.stop(max(0.0, timeout_s - (now_ms() - started) / 1000))

    def status(self) -> dict[str, object]:
        return {
            **self.keeper.status(),
            "number": self.replica.disk_id,
            "lost": self.loss_reason,
            "waiting": len(self.queued),
            "snapshot_failing": self.snapshot_error,
        }
