"""The store on its files. All calls block; `actor.py` runs them in a thread."""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field, replace
from itertools import pairwise

from ..core.clock import wall_ms
from .decide import segment as fmt
from .decide.commit import CommitState, WriterStep
from .decide.index import SegmentIndex
from .decide.keep import CompactionPlan, SealedSegment, plan_compaction
from .decide.segment import DamagedRange, FormatError, Record
from .files import Directory, WritableFile
from .settings import StoreError, StoreSettings

INITIAL_READ_BYTES = 65536  # first read after an index lookup
SINGLE_RECORD_READ_BYTES = 1024  # read for one record
SNAPSHOT_WRITE_BYTES = 1 << 20  # bytes of a snapshot per write
MAX_SEQ = 1 << 64


@dataclass(slots=True)
class Recovery:
    """What opening a store found. `damaged` lists every unreadable range with the sequence numbers lost in
    it."""

    records: int = 0
    segments: int = 0
    last_seq: int = 0
    snapshot_seq: int = 0
    truncated_bytes: int = 0  # torn tail: an unfinished write of a process or machine that crashed
    tail_is_record_sized: bool = False  # the torn tail is as long as a record: it may also be bit rot
    closed_cleanly: bool = False  # the last writer shut down cleanly
    damaged: list[tuple[str, DamagedRange]] = field(default_factory=list)
    bad_snapshots: list[str] = field(default_factory=list)

    def lost_count(self) -> int:
        return sum(fence.lost_count() for _, fence in self.damaged)


def read_file(directory: Directory, name: str) -> bytes:
    """Reads a whole file, also if a single read returns less than requested."""
    size, parts, position = directory.size(name), [], 0
    while position < size:
        part = directory.read(name, position, size - position)
        if not part:
            break
        parts.append(part)
        position += len(part)
    return b"".join(parts)


class StoreReader:
    """Reads a store, also while another process writes to it, and changes nothing. `recovery` tells what it
    found."""

    def __init__(self, directory: Directory, visit: Callable[[Record], object] | None = None) -> None:
        self.directory, self.recovery = directory, Recovery()
        self.indexes: dict[int, SegmentIndex] = {}
        self.headers: dict[int, fmt.SegmentHeader] = {}
        self.snapshot: tuple[int, bytes] | None = None
        self.last_segment_end: tuple[str, int] | None = None  # name, end of its valid records
        self.headerless_segments: list[str] = []  # names of segments without a complete header
        self.seq_limits: dict[int, int] = {}  # first sequence number of the following segment, by segment
        names = directory.names()
        for _, name in reversed(list(fmt.numbered_files(names, "snapshot-", ".snap"))):
            snapshot = fmt.decode_snapshot(read_file(directory, name))
            if snapshot is not None:
                self.snapshot = snapshot
                break
            self.recovery.bad_snapshots.append(name)
        self.recovery.snapshot_seq = self.snapshot[0] if self.snapshot else 0
        self.segments = list(fmt.numbered_files(names, "segment-", ".log"))
        self.scan_without_gc(visit)

    def scan_without_gc(self, visit: Callable[[Record], object] | None) -> None:
        # Recovery allocates millions of records, and garbage collector passes over them took half of its
        # time.
        gc_was_enabled = gc.isenabled()
        gc.disable()
        try:
            self.scan_segments(visit)
        finally:
            if gc_was_enabled:
                gc.enable()

    def scan_segments(self, visit: Callable[[Record], object] | None) -> None:
        recovery, last_seq = self.recovery, 0
        headers = {
            segment: fmt.decode_header(self.directory.read(name, 0, fmt.SEGMENT_HEADER.size))
            for segment, name in self.segments
        }
        first_seqs = [
            (segment, header.first_seq) for segment, header in headers.items() if header is not None
        ]
        # If the writer abandoned a segment after a failure, its records from the next segment's first
        # sequence number on were rewritten there.
        self.seq_limits = {
            segment: next_first_seq for (segment, _), (_, next_first_seq) in pairwise(first_seqs)
        }
        for segment_number, name in self.segments:
            data, is_last = read_file(self.directory, name), segment_number == self.segments[-1][0]
            scan, seq_limit = fmt.scan_segment(data), self.seq_limits.get(segment_number, MAX_SEQ)
            recovery.segments += 1
            if scan is None:
                if len(data) <= fmt.SEGMENT_HEADER.size:
                    self.headerless_segments.append(name)  # the writer failed or crashed while creating it
                    recovery.truncated_bytes += len(data)
                else:
                    recovery.damaged.append((name, DamagedRange(0, len(data), last_seq, 0)))
                continue
            if scan.header.first_seq > max(last_seq, recovery.snapshot_seq) + 1:
                recovery.damaged.append(
                    (name, DamagedRange(0, 0, max(last_seq, recovery.snapshot_seq), scan.header.first_seq))
                )
            for damage in scan.damaged:
                if max(damage.after, recovery.snapshot_seq) + 1 < min(damage.before, seq_limit):
                    recovery.damaged.append((name, replace(damage, before=min(damage.before, seq_limit))))
            index = self.indexes[segment_number] = SegmentIndex(segment_number)
            self.headers[segment_number] = scan.header
            for offset, record in scan.records:
                if not last_seq < record.seq < seq_limit:
                    continue
                last_seq = record.seq
                index.add(last_seq, record.time_ms, record.key, offset)
                recovery.records += 1
                if visit is not None and record.kind != fmt.CLEAN_CLOSE and last_seq > recovery.snapshot_seq:
                    visit(record)
            if is_last:
                self.last_segment_end = (name, scan.valid_end)
                recovery.truncated_bytes += scan.torn_bytes
                recovery.tail_is_record_sized, recovery.closed_cleanly = (
                    scan.torn_is_record_sized,
                    scan.closed_cleanly,
                )
        recovery.last_seq = max(last_seq, recovery.snapshot_seq)

    # --- seeks ---

    def read_records(self, segment: int, offset: int, size: int = INITIAL_READ_BYTES) -> Iterator[Record]:
        """Yields records of a segment from `offset` on, up to the first unreadable one. Reads `size` bytes
        first."""
        header, name = self.headers[segment], fmt.segment_name(segment)
        seq_limit = self.seq_limits.get(segment, MAX_SEQ)
        data, position = self.directory.read(name, offset, size), 0
        while data:
            decoded = fmt.decode_record(data, position, header)
            if decoded is None:
                offset += position
                longer = self.directory.read(
                    name, offset, max(INITIAL_READ_BYTES, 2 * (len(data) - position))
                )
                if len(longer) <= len(data) - position:
                    return
                data, position = longer, 0
                continue
            if decoded[0].seq >= seq_limit:
                return
            yield decoded[0]
            position = decoded[1]

    def records_from_seq(self, seq: int) -> Iterator[Record]:
        """Yields all records from `seq` on, each once, in order."""
        last_seq = seq - 1
        for segment in sorted(self.indexes):
            offset = self.indexes[segment].offset_for_seq(seq)
            for record in self.read_records(segment, offset) if offset is not None else ():
                if record.seq > last_seq:
                    last_seq = record.seq
                    if record.kind != fmt.CLEAN_CLOSE:
                        yield record

    def records_from_time(self, time_ms: int) -> Iterator[Record]:
        """Yields the records with a time of at least `time_ms`, in the order in which they were written."""
        last_seq = 0
        for segment in sorted(self.indexes):
            offset = self.indexes[segment].offset_for_time(time_ms)
            for record in self.read_records(segment, offset) if offset is not None else ():
                if record.seq > last_seq and record.time_ms >= time_ms and record.kind != fmt.CLEAN_CLOSE:
                    last_seq = record.seq
                    yield record

    def records_with_key(self, key: bytes) -> Iterator[Record]:
        """Yields the records with this key, in order."""
        last_seq = 0
        for segment in sorted(self.indexes):
            for offset in self.indexes[segment].offsets_for_key(key):
                record = next(self.read_records(segment, offset, SINGLE_RECORD_READ_BYTES), None)
                if record is not None and record.key == key and record.seq > last_seq:
                    last_seq = record.seq
                    yield record


class Store(StoreReader):
    """The single writer of a store.

    `append` queues a record in memory, `advance` performs the next write, fsync or segment change, and
    records up to `commit.durable_seq` survive a crash. After a failed write or fsync, nothing more counts as
    durable until all of it has been rewritten to a new segment. Raises StoreError if the directory is
    unusable.
    """

    def __init__(
        self,
        directory: Directory,
        settings: StoreSettings,
        now: float,
        visit: Callable[[Record], object] | None = None,
        restore: Callable[[bytes], object] | None = None,
    ) -> None:
        """`restore` receives the newest snapshot, then `visit` each record that it does not cover."""
        self.settings = settings
        self.active_file: WritableFile | None = None
        try:
            directory.lock()
        except BlockingIOError:
            raise StoreError("store.folder: another process is writing to it") from None
        except OSError as error:
            raise StoreError(f"store.folder: {error}") from None
        try:
            uncovered: list[Record] = []
            super().__init__(directory, uncovered.append if restore is not None else visit)
            if restore is not None:
                if self.snapshot is not None:
                    restore(self.snapshot[1])
                if visit is not None:
                    for record in uncovered:
                        visit(record)
            self.truncate_tail()
            for name in directory.names():
                if name.endswith(".new"):
                    directory.remove(name)  # an unfinished snapshot
        except (OSError, FormatError) as error:
            directory.unlock()
            raise StoreError(f"store.folder: {error}") from None
        last_seq = self.recovery.last_seq
        self.commit = CommitState(
            last_seq + 1,
            settings.sync,
            settings.interval_ms,
            int(settings.queue_mb * 2**20),
            max_group_bytes=min(1 << 20, int(settings.segment_mb * 2**20)),
            max_segment_bytes=int(settings.segment_mb * 2**20),
        )
        self.commit.durable_seq = last_seq
        self.active_segment = max([0, *(number for number, _ in self.segments)])
        self.segment_sizes = {number: directory.size(name) for number, name in self.segments}
        # An unreadable snapshot must not count as covering segments: they would be removed.
        names = [name for name in directory.names() if name not in self.recovery.bad_snapshots]
        self.snapshots = [seq for seq, _ in fmt.numbered_files(names, "snapshot-", ".snap")]
        self.refused_count = 0

    def truncate_tail(self) -> None:
        """Removes the torn tail and syncs what the previous writer left: records read during recovery may so
        far be only in the page cache, and must not count as durable before they are on disk."""
        for name in self.headerless_segments:
            self.directory.remove(name)
        self.segments = [
            (segment, name) for segment, name in self.segments if name not in self.headerless_segments
        ]
        if self.last_segment_end is not None:
            self.directory.truncate(*self.last_segment_end)
        self.directory.sync_names()

    # --- writing ---

    def append(self, time_ms: float, kind: int, key: bytes, payload: bytes) -> int | None:
        """Queues a record and returns its sequence number; None, counted in `refused_count`, if the queue is
        full. `time_ms` is Unix time."""
        record = self.commit.admit(int(time_ms), kind, key, payload)
        if record is None:
            self.refused_count += 1
            return None
        return record.seq

    def advance(self, now: float, closing: bool = False) -> bool:
        """Performs one step towards durability; returns whether another may follow at once. `now` is
        monotonic, since retry delays are measured with it. Never raises OSError: `commit.failure` reports
        failures."""
        next_step = self.commit.next_step(now, closing)
        try:
            if next_step is WriterStep.ROLL_SEGMENT:
                self.start_segment()
            elif next_step is WriterStep.WRITE:
                self.write_group(now)
            elif next_step is WriterStep.SYNC:
                self.sync_segment()
            else:
                return False
        except OSError as error:
            self.close_segment()
            self.commit.record_failure(str(error), now)
            return False
        return True

    def start_segment(self) -> None:
        """Closes the active segment, which is already synced, and creates the next one, whose header and name
        are synced here. The header contains the creation time as Unix time."""
        self.close_segment()
        created_ms = int(wall_ms())
        self.active_segment += 1
        first_seq = self.commit.queued[0].seq if self.commit.queued else self.commit.next_seq
        name = fmt.segment_name(self.active_segment)
        new_file = self.active_file = self.directory.create(name)
        self.segment_sizes[self.active_segment] = 0
        self.write_all(new_file, fmt.encode_header(self.active_segment, first_seq, created_ms))
        new_file.sync()
        self.directory.sync_names()
        if self.segments:
            self.seq_limits[self.segments[-1][0]] = first_seq
        self.segments.append((self.active_segment, name))
        self.headers[self.active_segment] = fmt.SegmentHeader(
            fmt.FORMAT_VERSION, self.active_segment, first_seq, created_ms, fmt.SEGMENT_HEADER.size
        )
        self.indexes[self.active_segment] = SegmentIndex(self.active_segment)
        self.commit.record_new_segment()

    def write_all(self, file: WritableFile, data: bytes) -> None:
        """Writes all of `data`, also if single writes are partial. Raises OSError."""
        view = memoryview(data)
        while view:
            written = file.write(bytes(view))
            if written <= 0:
                raise OSError("write returned 0 bytes")
            self.segment_sizes[self.active_segment] += written
            view = view[written:]

    def write_group(self, now: float) -> None:
        assert self.active_file is not None
        group, offset = self.commit.next_group(), self.segment_sizes[self.active_segment]
        encoded = [fmt.encode_record(record, self.active_segment) for record in group]
        self.write_all(self.active_file, b"".join(encoded))
        index = self.indexes[self.active_segment]
        for record, data in zip(group, encoded, strict=True):
            index.add(record.seq, record.time_ms, record.key, offset)
            offset += len(data)
        self.commit.record_write(len(group), sum(map(len, encoded)), now)

    def sync_segment(self) -> None:
        assert self.active_file is not None
        last_seq = self.commit.unsynced[-1].seq
        self.active_file.sync()
        self.commit.record_sync(last_seq)

    def close_segment(self) -> None:
        """Closes the active segment; nothing more is written to it."""
        closing_file, self.active_file = self.active_file, None
        if closing_file is not None:
            with suppress(OSError):  # durable records were synced before
                closing_file.close()

    def flush(self, now: float) -> bool:
        """Makes all appended records durable; False if the disk fails."""
        while self.commit.queued or self.commit.unsynced:
            if not self.advance(now, closing=True):
                return False
        return True

    # --- snapshots and room ---

    def take_snapshot(self, seq: int, *parts: bytes) -> None:
        """Writes a snapshot that covers all records up to `seq`, which must be durable. Its payload is the
        concatenation of `parts`. Raises OSError; the previous snapshot then remains."""
        if seq > self.commit.durable_seq:
            raise ValueError(f"records up to {seq} are not yet durable")
        name = fmt.snapshot_name(seq)
        if seq in self.snapshots:
            return
        if name + ".new" in self.directory.names():
            self.directory.remove(name + ".new")
        new_file = self.directory.create(name + ".new")
        try:
            for part in (fmt.encode_snapshot_header(seq, parts), *parts):
                view = memoryview(part)
                while view:
                    view = view[new_file.write(bytes(view[:SNAPSHOT_WRITE_BYTES])) :]
            new_file.sync()
        except OSError:
            with suppress(OSError):  # a partial snapshot must not fill up a disk that is already full
                self.directory.remove(name + ".new")
            raise
        finally:
            new_file.close()
        self.directory.rename(name + ".new", name)
        self.directory.sync_names()
        self.snapshots.append(seq)

    def compact(self, first_needed_seq: int) -> CompactionPlan:
        """Removes segments and snapshots that are no longer needed. Raises OSError; the next call then
        removes the rest."""
        sealed = [
            SealedSegment(
                segment,
                self.indexes[segment].first_seq,
                self.indexes[segment].last_seq,
                self.segment_sizes[segment],
            )
            for segment, _ in self.segments
            if segment != self.active_segment and segment in self.indexes
        ]
        budget = int(self.settings.budget_mb * 2**20)
        plan = plan_compaction(
            sealed, self.snapshots, first_needed_seq, budget, self.segment_sizes.get(self.active_segment, 0)
        )
        for seq in plan.snapshots:
            self.directory.remove(fmt.snapshot_name(seq))
            self.snapshots.remove(seq)
        for removed in plan.segments:
            self.directory.remove(fmt.segment_name(removed))
            self.segments = [(segment, name) for segment, name in self.segments if segment != removed]
            del self.indexes[removed], self.headers[removed], self.segment_sizes[removed]
            self.seq_limits.pop(removed, None)
        if plan.segments or plan.snapshots:
            self.directory.sync_names()
        return plan

    def total_size(self) -> int:
        return sum(self.segment_sizes.values())

    def close(self, now: float) -> bool:
        """Flushes, writes the clean-shutdown record and unlocks; False if the disk fails."""
        flushed = self.flush(now)
        if flushed and self.active_file is not None:
            self.commit.admit(int(wall_ms()), fmt.CLEAN_CLOSE, b"", b"")
            flushed = self.flush(now)
        self.close_segment()
        self.directory.unlock()
        return flushed
