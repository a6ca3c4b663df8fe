"""One member's records on the store: term and vote, entries, snapshots, in the order in which they came.

A record of the store says what of the store was durable when it came (`promised`). By that a recovery tells
damage in what was durable, which makes the disk a lost one, from a last write that a power cut left with
holes, which is cut. In what was written last, and not followed by anything, the two can't be told apart.

A snapshot of the council is one of the store: `MAGIC size:u32 head data`; the head has the seat, term and
vote, and the entries behind the snapshot. The first, of nothing, is where a new disk's number is at first.
Where the log here has all that a snapshot stands for it is no news: what follows does not wait until it is
written, and where that fails it is tried again and the records stay. One that brings more than the log here
has must be on the disk before what follows it.
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
from .decide.log import Kept, founded, kept
from .decide.log import Log as Entries
from .decide.messages import Entry, Hard, Save, Seat, Snapshot

HARD, ENTRY, TAKEN = 101, 102, 103  # kinds of records; those of the ledger are below
MAGIC = b"HYCOUNC1"
SIZE = struct.Struct("<I")
LEAST_QUEUE_MB = 2.0  # a record may have 1 MiB
RETRY_S, RETRY_MOST_S = 0.05, 5.0  # after a snapshot that could not be written; twice as long each time
ENCODE = msgspec.msgpack.encode


class Head(Struct, frozen=True):
    """Of a snapshot, whose data follows. `entries` are those behind it."""

    seat: Seat
    term: int
    vote: Seat | None
    snapshot: Snapshot
    entries: list[Entry]


READ_HEAD: msgspec.msgpack.Decoder[Head] = msgspec.msgpack.Decoder(Head)
READ: dict[int, msgspec.msgpack.Decoder[tuple[int, Any]]] = {
    HARD: msgspec.msgpack.Decoder(tuple[int, Hard]),
    ENTRY: msgspec.msgpack.Decoder(tuple[int, Entry]),
    TAKEN: msgspec.msgpack.Decoder(tuple[int, int]),  # a snapshot at that index was asked for here
}


class Folder(Directory, Protocol):
    """A folder that can be put aside."""

    def aside(self) -> str:
        """Gives all that is here another name, which it says; nothing is here then. Raises OSError."""
        ...


class RealFolder(DiskDirectory):
    """Raises StoreError where there is none and none can be made."""

    def __init__(self, folder: str) -> None:
        try:
            super().__init__(folder.rstrip("/"))
            self.sync_parent()
        except OSError as error:
            raise StoreError(f"store.folder: {error}") from None

    def sync_parent(self) -> None:
        DiskDirectory(os.path.dirname(os.path.abspath(self.folder))).sync_names()

    def aside(self) -> str:
        name = f"{self.folder}.lost-{int(wall_ms())}"
        os.rename(self.folder, name)
        os.makedirs(self.folder, mode=0o750)
        self.sync_parent()
        return name


def draw(name: str) -> Seat:
    return Seat(name, 1 + secrets.randbelow(2**63 - 1))


def parts(seat: Seat, had: Kept) -> tuple[bytes, bytes]:
    """A store's snapshot of that. The data, which may be large, is not copied."""
    bare = replace(had.snapshot, data=b"")
    head = ENCODE(Head(seat, had.term, had.vote, bare, had.log.entries))
    return MAGIC + SIZE.pack(len(head)) + head, had.snapshot.data


def copied(had: Kept) -> Kept:
    log = had.log
    return Kept(had.term, had.vote, had.snapshot, Entries(log.base, log.base_term, list(log.entries)))


class Found:
    """What a folder's records come to. `restore` and `visit` raise nothing: the store is half open then."""

    def __init__(self) -> None:
        self.seat: Seat | None = None
        self.kept = Kept()
        self.promised = 0  # up to there all was durable, by what later records say
        self.foreign = self.hole = ""

    def restore(self, data: bytes) -> None:
        begin = len(MAGIC) + SIZE.size
        try:
            if data[: len(MAGIC)] != MAGIC:
                raise ValueError("a snapshot that is none of a council")
            end = begin + SIZE.unpack_from(data, len(MAGIC))[0]
            head = READ_HEAD.decode(memoryview(data)[begin:end])
        except (ValueError, msgspec.MsgspecError) as error:
            self.foreign = str(error)
            return
        self.seat = head.seat
        snapshot = replace(head.snapshot, data=data[end:])
        log = Entries(snapshot.index, snapshot.term, head.entries)
        self.kept = Kept(head.term, head.vote, snapshot, log)

    def visit(self, record: Record) -> None:
        read = READ.get(record.kind)
        if read is None:
            self.foreign = f"record {record.seq} of kind {record.kind}"
            return
        try:
            promised, what = read.decode(record.payload)
        except msgspec.MsgspecError as error:
            self.foreign = f"record {record.seq}: {error}"
            return
        self.promised = max(self.promised, promised)
        if record.kind != TAKEN and not self.hole:
            try:
                self.kept.add(what)
            except ValueError as error:
                self.hole = f"record {record.seq}: {error}"

    def unfinished(self, store: Store) -> tuple[str, int] | None:
        """Where a last write is to be cut that a power cut left with holes: nothing in it, nor behind, was
        durable. None where there is no damage, or other."""
        damaged = store.recovery.damaged
        upto = max(
            [self.promised, store.recovery.snapshot_seq, *(h.first_seq - 1 for h in store.headers.values())]
        )
        if not damaged or any(not fence.before or fence.after < upto for _, fence in damaged):
            return None
        return damaged[0][0], damaged[0][1].begin

    def lost(self, store: Store) -> str:
        """Why this disk no longer has what was durable on it; or nothing."""
        r = store.recovery
        if r.damaged:
            name, fence = r.damaged[0]
            return f"{name}: bytes {fence.begin} to {fence.end} can't be read"
        if r.bad_snapshots:
            return f"{r.bad_snapshots[0]} can't be read"
        if self.seat is None and r.last_seq:
            return "the snapshot that names its seat is gone"
        return self.hole


def leave(keeper: StoreWriter) -> None:
    """Of one that was not started."""
    keeper.store.directory.unlock()
    keeper.thread_pool.kill()


def opened(told: StoreSettings, name: str, log: Log, files: Folder) -> tuple[StoreWriter, Found]:
    """Raises StoreError for a folder of somebody else's, which is left alone."""
    while True:
        found = Found()
        keeper = StoreWriter(told, log, found.visit, found.restore, files)
        why, cut = "", found.unfinished(keeper.store)
        if found.foreign:
            why = f"holds what this program can't read as a council's: {found.foreign}"
        elif found.seat is not None and found.seat.name != name:
            why = f"belongs to {found.seat.name!r}, not {name!r}"
        elif cut is not None:
            log("store-cut", f"{cut[0]}: from byte {cut[1]} on a last write was not finished")
            try:
                files.truncate(*cut)
            except OSError as error:
                why = str(error)
        if not why and cut is None:
            return keeper, found
        leave(keeper)
        if why:
            raise StoreError(f"store.folder: {told.folder} {why}")


@dataclass(frozen=True, slots=True)
class Wanted:
    """A store's snapshot that is to be written when its records up to `seq` are durable."""

    seq: int
    kept: Kept


class Disk:
    """`save` never blocks. What the store's queue has no room for waits here: the caller bounds it, as
    `Agreement` does by `unsaved_bytes`. Of snapshots that wait only the newest is written."""

    def __init__(self, told: StoreSettings, name: str, log: Log, files: Folder | None = None) -> None:
        """Opens the folder, here and now. Raises StoreError."""
        if told.sync == "none":
            raise StoreError('store.sync: a council needs "group" or "interval", else nothing is agreed')
        if told.queue_mb < LEAST_QUEUE_MB:
            raise StoreError(f"store.queue_mb: at least {LEAST_QUEUE_MB:g} is wanted for a council")
        self.log = log
        files = files or RealFolder(told.folder)
        self.keeper, found = opened(told, name, log, files)
        self.lost = found.lost(self.keeper.store)
        try:
            if self.lost:
                aside = files.aside()
                leave(self.keeper)
                log("council-disk-lost", f"{self.lost}: all was moved to {aside}; this is a new disk")
                self.keeper, found = opened(told, name, log, files)
            self.fresh = found.seat is None and not self.lost
            self.seat = found.seat or draw(name)
            if found.seat is None:
                self.keeper.store.take_snapshot(0, *parts(self.seat, found.kept))
        except OSError as error:
            leave(self.keeper)
            raise StoreError(f"store.folder: {told.folder}: {error}") from None
        self.keeper.store.snapshot = None  # which may be large, and is in `kept`
        self.kept = found.kept
        self.state = copied(found.kept)  # as of the last record that the store took
        self.waiting: deque[Save] = deque()
        self.marks: deque[tuple[int, int]] = deque()  # the store's number of a record, and the Save's
        self.wanted: Wanted | None = None
        self.barrier = 0  # the number of a snapshot that all behind it waits for
        self.ailing = ""  # why the last snapshot was not written
        self.due, self.empty, self.ended, self.over = Event(), Event(), Event(), False
        self.done: Callable[[int], object] = lambda number: None
        self.failed: Callable[[str], object] = lambda why: None
        self.keeper.on_durable, self.keeper.on_failure_change = self.watch, self.ails

    @staticmethod
    def found(told: StoreSettings, name: str, base: int) -> Seat:
        """The first voter of a council, alone. Raises StoreError unless the folder is empty."""
        files = RealFolder(told.folder)
        there = sorted(n for n in files.names() if n != "lock" and not n.endswith(".new"))
        if there:
            words = f"holds {len(there)} files, as {there[0]}; a council is founded in an empty one"
            raise StoreError(f"store.folder: {told.folder} {words}")
        store, seat = Store(files, told, now_ms()), draw(name)
        try:
            store.take_snapshot(0, *parts(seat, kept([founded([seat], base)])))
        except OSError as error:
            raise StoreError(f"store.folder: {told.folder}: {error}") from None
        finally:
            files.unlock()
        return seat

    def start(self) -> None:
        self.keeper.start()
        spawn(self.log, "council-disk", self.run, self.ended.set)

    def save(self, saves: list[Save]) -> None:
        """In the order of their numbers. An entry has 512 KiB at most."""
        self.waiting += saves
        self.pump()

    def pump(self) -> None:
        """Hands the store what it has room for."""
        while self.waiting and not self.barrier:
            save, promised = self.waiting[0], self.keeper.durable_seq
            record, news = save.record, False
            if isinstance(record, Snapshot):
                log = self.state.log
                news = record.index <= log.base or log.term(record.index) != record.term
                kind, payload = TAKEN, ENCODE((promised, record.index))
            else:
                kind, payload = HARD if isinstance(record, Hard) else ENTRY, ENCODE((promised, record))
            if not self.keeper.has_room(RECORD_OVERHEAD_BYTES + len(payload)):
                break
            seq = self.keeper.append(wall_ms(), kind, b"", payload)
            assert seq is not None
            self.waiting.popleft()
            self.state.add(record)
            if news:
                self.barrier = save.number
            else:
                self.marks.append((seq, save.number))
            if isinstance(record, Snapshot):
                self.wanted = Wanted(seq, copied(self.state))
        if self.waiting or self.barrier:
            self.empty.clear()
        else:
            self.empty.set()

    def watch(self, durable: int) -> None:
        number = 0
        while self.marks and self.marks[0][0] <= durable:
            number = self.marks.popleft()[1]
        if number:
            self.done(number)
            self.ails(self.keeper.failure)  # guards against one who takes a part for the whole
        self.pump()
        if self.wanted is not None:
            self.due.set()

    def ails(self, why: str) -> None:
        if why:
            self.failed(why)

    def run(self) -> None:
        """Writes the snapshot that is wanted, when what it stands for is durable."""
        pause = 0.0
        while not self.over:
            self.due.clear()
            wanted = self.wanted
            if wanted is None or wanted.seq > self.keeper.durable_seq:
                self.due.wait()
                continue
            try:
                self.keeper.run_in_thread(partial(self.write, wanted))
            except OSError as error:
                self.snapshot_failed(str(error))
                pause = min(RETRY_MOST_S, max(RETRY_S, 2 * pause))
                self.due.wait(pause)
                continue
            pause = 0.0
            self.written(wanted)

    def write(self, wanted: Wanted, store: Store) -> None:
        """In the store's thread."""
        store.take_snapshot(wanted.seq, *parts(self.seat, wanted.kept))
        with suppress(OSError):  # what is left goes the next time
            store.compact(wanted.seq + 1)

    def snapshot_failed(self, why: str) -> None:
        if why != self.ailing:
            self.log("store-failing", f"a snapshot: {why}; the one before it stays, and the records")
        self.ailing = why
        if self.barrier:
            self.failed(why)

    def written(self, wanted: Wanted) -> None:
        if self.ailing:
            self.log("store-well", "a snapshot was written again")
        self.ailing = ""
        if self.wanted is not wanted:
            return  # a newer one came meanwhile
        self.wanted = None
        if self.barrier:
            number, self.barrier = self.barrier, 0
            self.done(number)
            self.pump()

    def stop(self, timeout_s: float) -> None:
        """All that was saved is brought to the disk, if it lets it in that time; a snapshot that is no news
        may go."""
        began = now_ms()
        if self.waiting or self.barrier:
            self.empty.wait(timeout_s)
        self.over = True
        self.due.set()
        self.ended.wait(max(0.0, timeout_s - (now_ms() - began) / 1000))
        self.keeper.stop(max(0.0, timeout_s - (now_ms() - began) / 1000))

    def status(self) -> dict[str, object]:
        return {
            **self.keeper.status(),
            "number": self.seat.disk,
            "lost": self.lost,
            "waiting": len(self.waiting),
            "snapshot_failing": self.ailing,
        }
