"""The store on its files. Everything here blocks; `actor.py` runs it beside the loop."""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field, replace
from itertools import pairwise

from ..core.clock import wall_ms
from .decide import segment as fmt
from .decide.commit import Commit, Step
from .decide.index import SegmentIndex
from .decide.keep import Held, Removal, removable
from .decide.segment import Fence, FormatError, Record
from .files import Files, Handle
from .settings import StoreError, StoreSettings

FOLLOWS = 65536  # bytes of one read behind an index's place
ONE = 1024  # and of one that is for a single record
PIECE = 1 << 20  # bytes of a snapshot that one write takes
NO_LIMIT = 1 << 64


@dataclass(slots=True)
class Recovery:
    """What an open found. `damaged` names what can't be read and the sequence numbers that were there;
    nothing of it is passed over in silence."""

    records: int = 0
    segments: int = 0
    last: int = 0
    snapshot: int = 0
    cut: int = 0  # bytes of a tail that were no whole record: written when the process or the machine ended
    suspect: bool = False  # that tail had a record's whole length: it may also be a flipped bit
    clean: bool = False  # the last writer closed in order
    damaged: list[tuple[str, Fence]] = field(default_factory=list)
    snapshots_bad: list[str] = field(default_factory=list)

    def lost(self) -> int:
        return sum(fence.lost() for _, fence in self.damaged)


def read_whole(files: Files, name: str) -> bytes:
    """All of a file, also where a read brings less than was asked for."""
    size, parts, at = files.size(name), [], 0
    while at < size:
        part = files.read(name, at, size - at)
        if not part:
            break
        parts.append(part)
        at += len(part)
    return b"".join(parts)


class Reader:
    """Reads a folder, of a living writer too, and changes nothing. `recovery` says what it found."""

    def __init__(self, files: Files, visit: Callable[[Record], object] | None = None) -> None:
        self.files, self.recovery = files, Recovery()
        self.indexes: dict[int, SegmentIndex] = {}
        self.headers: dict[int, fmt.Header] = {}
        self.snapshot: tuple[int, bytes] | None = None
        self.tail: tuple[str, int] | None = None  # the last segment, and where it is good to
        self.empty: list[str] = []  # segments without even a header
        self.limits: dict[int, int] = {}  # the first record of the segment after
        names = files.names()
        for _, name in reversed(list(fmt.numbered(names, "snapshot-", ".snap"))):
            found = fmt.decode_snapshot(read_whole(files, name))
            if found is not None:
                self.snapshot = found
                break
            self.recovery.snapshots_bad.append(name)
        self.recovery.snapshot = self.snapshot[0] if self.snapshot else 0
        self.segments = list(fmt.numbered(names, "segment-", ".log"))
        self.scan(visit)

    def scan(self, visit: Callable[[Record], object] | None) -> None:
        # millions of records come and stay for a moment: looking for circles among them took half of the time
        collects = gc.isenabled()
        gc.disable()
        try:
            self.scan_all(visit)
        finally:
            if collects:
                gc.enable()

    def scan_all(self, visit: Callable[[Record], object] | None) -> None:
        r, last = self.recovery, 0
        heads = {n: fmt.decode_header(self.files.read(name, 0, fmt.HEADER.size)) for n, name in self.segments}
        firsts = [(n, head.first) for n, head in heads.items() if head is not None]
        # what a later segment begins with was written anew there: its writer had left the one before
        self.limits = {n: later for (n, _), (_, later) in pairwise(firsts)}
        for number, name in self.segments:
            data, newest = read_whole(self.files, name), number == self.segments[-1][0]
            found, limit = fmt.scan(data), self.limits.get(number, NO_LIMIT)
            r.segments += 1
            if found is None:
                if len(data) <= fmt.HEADER.size:
                    self.empty.append(name)  # its writer failed or ended while it began this one
                    r.cut += len(data)
                else:
                    r.damaged.append((name, Fence(0, len(data), last, 0)))
                continue
            if found.header.first > max(last, r.snapshot) + 1:
                r.damaged.append((name, Fence(0, 0, max(last, r.snapshot), found.header.first)))
            for fence in found.fences:
                if max(fence.after, r.snapshot) + 1 < min(fence.before, limit):
                    r.damaged.append((name, replace(fence, before=min(fence.before, limit))))
            index = self.indexes[number] = SegmentIndex(number)
            self.headers[number] = found.header
            for offset, record in found.records:
                if not last < record.seq < limit:
                    continue
                last = record.seq
                index.add(last, record.at, record.key, offset)
                r.records += 1
                if visit is not None and record.kind != fmt.CLOSED and last > r.snapshot:
                    visit(record)
            if newest:
                self.tail = (name, found.good)
                r.cut += found.torn
                r.suspect, r.clean = found.whole, found.closed
        r.last = max(last, r.snapshot)

    # --- seeks ---

    def records(self, number: int, offset: int, size: int = FOLLOWS) -> Iterator[Record]:
        """From that place in a segment on, `size` bytes at a time at first. Bytes that can't be read end
        it."""
        header, name = self.headers[number], fmt.segment_name(number)
        limit = self.limits.get(number, NO_LIMIT)
        data, at = self.files.read(name, offset, size), 0
        while data:
            got = fmt.record_at(data, at, header)
            if got is None:
                offset += at
                more = self.files.read(name, offset, max(FOLLOWS, 2 * (len(data) - at)))
                if len(more) <= len(data) - at:
                    return
                data, at = more, 0
                continue
            if got[0].seq >= limit:
                return
            yield got[0]
            at = got[1]

    def from_seq(self, seq: int) -> Iterator[Record]:
        """All records from `seq` on, each once, in order."""
        last = seq - 1
        for number in sorted(self.indexes):
            offset = self.indexes[number].at_seq(seq)
            for record in self.records(number, offset) if offset is not None else ():
                if record.seq > last:
                    last = record.seq
                    if record.kind != fmt.CLOSED:
                        yield record

    def from_time(self, at: int) -> Iterator[Record]:
        """Records as late as `at` or later, in the order in which they were written."""
        last = 0
        for number in sorted(self.indexes):
            offset = self.indexes[number].at_time(at)
            for record in self.records(number, offset) if offset is not None else ():
                if record.seq > last and record.at >= at and record.kind != fmt.CLOSED:
                    last = record.seq
                    yield record

    def of_key(self, key: bytes) -> Iterator[Record]:
        last = 0
        for number in sorted(self.indexes):
            for offset in self.indexes[number].of_key(key):
                record = next(self.records(number, offset, ONE), None)
                if record is not None and record.key == key and record.seq > last:
                    last = record.seq
                    yield record


class Store(Reader):
    """One writer. `append` takes a record into memory; `turn` does the next thing that the disk is owed; what
    is up to `commit.durable` outlives a crash. After a failed write or sync nothing more counts as durable
    until all of it stands in a fresh segment. Raises StoreError where the folder can't be used."""

    def __init__(
        self,
        files: Files,
        told: StoreSettings,
        now: float,
        visit: Callable[[Record], object] | None = None,
        restore: Callable[[bytes], object] | None = None,
    ) -> None:
        """`restore` gets the newest snapshot, and `visit` then each record that it does not stand for."""
        self.told = told
        self.handle: Handle | None = None
        try:
            files.lock()
        except BlockingIOError:
            raise StoreError("store.folder: another process writes to it") from None
        except OSError as error:
            raise StoreError(f"store.folder: {error}") from None
        try:
            held: list[Record] = []
            super().__init__(files, held.append if restore is not None else visit)
            if restore is not None:
                if self.snapshot is not None:
                    restore(self.snapshot[1])
                if visit is not None:
                    for record in held:
                        visit(record)
            self.cut_tail()
            for name in files.names():
                if name.endswith(".new"):
                    files.remove(name)  # a snapshot that was not finished
        except (OSError, FormatError) as error:
            files.unlock()
            raise StoreError(f"store.folder: {error}") from None
        last = self.recovery.last
        self.commit = Commit(
            last + 1,
            told.sync,
            told.interval_ms,
            int(told.queue_mb * 2**20),
            group_bytes=min(1 << 20, int(told.segment_mb * 2**20)),
            segment_bytes=int(told.segment_mb * 2**20),
        )
        self.commit.durable = last
        self.number = max([0, *(number for number, _ in self.segments)])
        self.sizes = {number: files.size(name) for number, name in self.segments}
        # guards against segments that go because a snapshot stands for them which can't be read
        names = [name for name in files.names() if name not in self.recovery.snapshots_bad]
        self.snapshots = [seq for seq, _ in fmt.numbered(names, "snapshot-", ".snap")]
        self.refused = 0

    def cut_tail(self) -> None:
        """Guards against records that were read from the system's memory and are not yet on the disk: all
        that the last writer left is synced before anything counts as durable."""
        for name in self.empty:
            self.files.remove(name)
        self.segments = [(n, name) for n, name in self.segments if name not in self.empty]
        if self.tail is not None:
            self.files.cut(*self.tail)
        self.files.sync_folder()

    # --- writing ---

    def append(self, now: float, kind: int, key: bytes, payload: bytes) -> int | None:
        """The record's number, or None at the bound: then nothing was taken, and `refused` counts it.
        `now` is the record's time, in Unix milliseconds."""
        record = self.commit.admit(int(now), kind, key, payload)
        if record is None:
            self.refused += 1
            return None
        return record.seq

    def turn(self, now: float, closing: bool = False) -> bool:
        """One step towards the disk; whether there may be another at once. `now` is on a clock that is never
        set, since pauses are measured by it. Never raises OSError: a failure is told by `commit.failing`."""
        step = self.commit.step(now, closing)
        try:
            if step is Step.ROLL:
                self.roll()
            elif step is Step.WRITE:
                self.write(now)
            elif step is Step.SYNC:
                self.sync()
            else:
                return False
        except OSError as error:
            self.leave()
            self.commit.failed(str(error), now)
            return False
        return True

    def roll(self) -> None:
        """The last segment is left, synced; its successor stands with its header and its name on the disk.
        The header tells when that was, in Unix milliseconds."""
        self.leave()
        begun = int(wall_ms())
        self.number += 1
        first = self.commit.waiting[0].seq if self.commit.waiting else self.commit.next_seq
        name = fmt.segment_name(self.number)
        handle = self.handle = self.files.create(name)
        self.sizes[self.number] = 0
        self.put(handle, fmt.encode_header(self.number, first, begun))
        handle.sync()
        self.files.sync_folder()
        if self.segments:
            self.limits[self.segments[-1][0]] = first
        self.segments.append((self.number, name))
        self.headers[self.number] = fmt.Header(fmt.VERSION, self.number, first, begun, fmt.HEADER.size)
        self.indexes[self.number] = SegmentIndex(self.number)
        self.commit.rolled()

    def put(self, handle: Handle, data: bytes) -> None:
        """All of it, though a write may take only a part. Raises OSError."""
        view = memoryview(data)
        while view:
            took = handle.write(bytes(view))
            if took <= 0:
                raise OSError("a write took nothing")
            self.sizes[self.number] += took
            view = view[took:]

    def write(self, now: float) -> None:
        assert self.handle is not None
        group, offset = self.commit.take(), self.sizes[self.number]
        parts = [fmt.encode(record, self.number) for record in group]
        self.put(self.handle, b"".join(parts))
        index = self.indexes[self.number]
        for record, part in zip(group, parts, strict=True):
            index.add(record.seq, record.at, record.key, offset)
            offset += len(part)
        self.commit.wrote(len(group), sum(map(len, parts)), now)

    def sync(self) -> None:
        assert self.handle is not None
        upto = self.commit.written[-1].seq
        self.handle.sync()
        self.commit.synced(upto)

    def leave(self) -> None:
        """No more goes to this segment."""
        handle, self.handle = self.handle, None
        if handle is not None:
            with suppress(OSError):  # what counts as durable was synced before
                handle.close()

    def flush(self, now: float) -> bool:
        """Until all that was appended is durable; False where the disk does not let it."""
        while self.commit.waiting or self.commit.written:
            if not self.turn(now, closing=True):
                return False
        return True

    # --- snapshots and room ---

    def take_snapshot(self, seq: int, *parts: bytes) -> None:
        """A state, in parts that are read as one, that stands for all records up to `seq`, which must be
        durable. Raises OSError; then the one before it stays."""
        if seq > self.commit.durable:
            raise ValueError(f"records up to {seq} are not durable yet")
        name = fmt.snapshot_name(seq)
        if seq in self.snapshots:
            return
        if name + ".new" in self.files.names():
            self.files.remove(name + ".new")
        handle = self.files.create(name + ".new")
        try:
            for part in (fmt.snapshot_head(seq, parts), *parts):
                view = memoryview(part)
                while view:
                    view = view[handle.write(bytes(view[:PIECE])) :]
            handle.sync()
        except OSError:
            with suppress(OSError):  # guards against halves that fill a disk which has no room
                self.files.remove(name + ".new")
            raise
        finally:
            handle.close()
        self.files.rename(name + ".new", name)
        self.files.sync_folder()
        self.snapshots.append(seq)

    def compact(self, needed: int) -> Removal:
        """Takes away what nobody needs. Raises OSError; what is left then goes the next time."""
        sealed = [
            Held(n, self.indexes[n].first, self.indexes[n].last, self.sizes[n])
            for n, _ in self.segments
            if n != self.number and n in self.indexes
        ]
        budget = int(self.told.budget_mb * 2**20)
        removal = removable(sealed, self.snapshots, needed, budget, self.sizes.get(self.number, 0))
        for seq in removal.snapshots:
            self.files.remove(fmt.snapshot_name(seq))
            self.snapshots.remove(seq)
        for number in removal.segments:
            self.files.remove(fmt.segment_name(number))
            self.segments = [(n, name) for n, name in self.segments if n != number]
            del self.indexes[number], self.headers[number], self.sizes[number]
            self.limits.pop(number, None)
        if removal.segments or removal.snapshots:
            self.files.sync_folder()
        return removal

    def size(self) -> int:
        return sum(self.sizes.values())

    def close(self, now: float) -> bool:
        """In order: all is durable and the segment says so; False where the disk does not let it."""
        good = self.flush(now)
        if good and self.handle is not None:
            self.commit.admit(int(wall_ms()), fmt.CLOSED, b"", b"")
            good = self.flush(now)
        self.leave()
        self.files.unlock()
        return good
