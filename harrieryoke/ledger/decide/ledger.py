"""The ledger of one instance as a state machine: the book, entries that are not in a batch yet, and the
export.

Every change is a record in the store: an entry, the start of an epoch, a sealed period, the creation or the
end of a batch. Replaying the same records after a crash gives the same ledger.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

from .book import Book, BookError
from .entry import CORRECTION, GAP, USAGE, Entry, decode_entry
from .export import Batch, BatchId, ExportState
from .periods import PeriodError

EPOCH_STARTED, PERIOD_SEALED, BATCH_CREATED, BATCH_FINISHED, CORRECTION_ROOT = 10, 11, 12, 13, 14
ENTRY_KINDS = (USAGE, CORRECTION, GAP)


class EpochStarted(msgspec.Struct, array_like=True, frozen=True):
    """An instance has started."""

    instance: str
    epoch: int
    started_ms: int


class PeriodSealed(msgspec.Struct, array_like=True, frozen=True):
    """A period has been sealed."""

    period: int
    digest: str
    sealed_ms: int


class BatchCreated(msgspec.Struct, array_like=True, frozen=True):
    """Entries have been put into a batch."""

    epoch: int
    number: int
    first_entry: int
    last_entry: int
    first_seq: int
    last_seq: int
    digest: str


class BatchFinished(msgspec.Struct, array_like=True, frozen=True):
    """A batch has been acknowledged, or set aside with a reason."""

    epoch: int
    number: int
    reason: str  # empty: acknowledged; else why it was set aside


@dataclass(slots=True)
class UnbatchedEntry:
    """An entry that is in no batch yet."""

    seq: int
    entry: Entry
    added_at: float


@dataclass(slots=True)
class LedgerState:
    """`damaged` describes what recovery could not apply; the rest of the ledger is unaffected."""

    book: Book
    export: ExportState
    max_batch_entries: int = 500
    max_batch_delay_ms: float = 1000.0
    unbatched: deque[UnbatchedEntry] = field(default_factory=deque)
    epochs: dict[int, EpochStarted] = field(default_factory=dict)
    damaged: list[str] = field(default_factory=list)

    def add_unbatched(self, seq: int, entry: Entry, now: float) -> None:
        self.unbatched.append(UnbatchedEntry(seq, entry, now))

    def next_batch_entries(self, now: float, durable_seq: int, flush: bool = False) -> list[UnbatchedEntry]:
        """The entries of the next batch if one is due: it is full or old enough, its epoch has ended, or
        `flush` is set. Only durable entries are included."""
        if not self.unbatched:
            return []
        epoch = self.unbatched[0].entry.id.epoch
        entries: list[UnbatchedEntry] = []
        for candidate in self.unbatched:
            if (
                candidate.entry.id.epoch != epoch
                or candidate.seq > durable_seq
                or len(entries) >= self.max_batch_entries
            ):
                break
            entries.append(candidate)
        if not entries:
            return []
        old_enough = not 0 <= now - entries[0].added_at < self.max_batch_delay_ms
        return (
            entries
            if flush or old_enough or len(entries) >= self.max_batch_entries or epoch != self.book.epoch
            else []
        )

    def create_batch(self, entries: list[UnbatchedEntry], digest: str) -> Batch:
        for _ in entries:
            self.unbatched.popleft()
        first, last = entries[0], entries[-1]
        return self.export.create_batch(
            first.entry.id.epoch, first.entry.id.number, last.entry.id.number, first.seq, last.seq, digest
        )

    def is_exported_up_to(self, seq: int) -> bool:
        """Whether no entry up to `seq` waits for a batch, or is in one that waits or is in flight."""
        waiting = [self.export.batches[batch_id] for batch_id in self.export.waiting]
        pending_seqs = [batch.first_seq for batch in (*waiting, *self.export.in_flight.values())]
        pending_seqs += [self.unbatched[0].seq] if self.unbatched else []
        return min(pending_seqs, default=seq + 1) > seq

    def first_needed_seq(self, next_seq: int) -> int:
        """The first sequence number of the store that the export still needs."""
        needed_seqs = [next_seq]
        if self.unbatched:
            needed_seqs.append(self.unbatched[0].seq)
        if (first_batch_seq := self.export.first_needed_seq()) is not None:
            needed_seqs.append(first_batch_seq)
        return min(needed_seqs)

    def discard_lost_records(self, first: int, last: int) -> list[Batch]:
        """Records up to `last` were removed to free disk space. Their unacknowledged batches can no longer be
        sent and are set aside."""
        affected = [
            batch
            for batch in self.export.batches.values()
            if batch.first_seq <= last and batch.last_seq >= first
        ]
        unsent = [batch for batch in affected if batch.state.value in ("waiting", "out")]
        for batch in unsent:
            self.export.set_aside(batch.id, "its entries went for want of room on the disk")
        while self.unbatched and self.unbatched[0].seq <= last:
            self.unbatched.popleft()
        return unsent

    # --- recovery ---

    def replay(self, kind: int, seq: int, payload: bytes, now: float) -> None:
        """Applies one record of the store. A record that can't be applied is reported in `damaged` instead of
        raising, so that the rest of the ledger stays usable."""
        try:
            if kind in ENTRY_KINDS:
                entry = decode_entry(payload)
                self.book.apply(entry)
                self.add_unbatched(seq, entry, now)
            elif kind == EPOCH_STARTED:
                started: EpochStarted = msgspec.msgpack.decode(payload, type=EpochStarted)
                self.epochs[started.epoch] = started
            elif kind == PERIOD_SEALED:
                self.replay_period_sealed(msgspec.msgpack.decode(payload, type=PeriodSealed))
            elif kind == BATCH_CREATED:
                self.replay_batch_created(msgspec.msgpack.decode(payload, type=BatchCreated))
            elif kind == BATCH_FINISHED:
                finished: BatchFinished = msgspec.msgpack.decode(payload, type=BatchFinished)
                self.replay_batch_finished(BatchId(finished.epoch, finished.number), finished.reason)
        except (msgspec.MsgspecError, BookError, PeriodError, ValueError) as error:
            self.damaged.append(f"record {seq}: {error}")

    def replay_period_sealed(self, sealed: PeriodSealed) -> None:
        period = self.book.seal(sealed.period, sealed.sealed_ms)
        if period.seal_digest != sealed.digest:
            self.damaged.append(
                f"period {sealed.period} was sealed as {sealed.digest}, its entries give {period.seal_digest}"
            )
            period.seal_digest = sealed.digest

    def replay_batch_created(self, created: BatchCreated) -> None:
        while self.unbatched and self.unbatched[0].seq <= created.last_seq:
            self.unbatched.popleft()
        self.export.create_batch(
            created.epoch,
            created.first_entry,
            created.last_entry,
            created.first_seq,
            created.last_seq,
            created.digest,
        )

    def replay_batch_finished(self, batch_id: BatchId, reason: str) -> None:
        batch = self.export.batches.get(batch_id)
        if batch is not None:
            if reason:
                self.export.set_aside(batch_id, reason)
            else:
                self.export.mark_acknowledged(batch)

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(
            {
                "book": self.book.dump(),
                "export": self.export.dump(),
                "fresh": [[unbatched.seq, unbatched.entry] for unbatched in self.unbatched],
                "epochs": list(self.epochs.values()),
            }
        )

    def load(self, data: bytes, now: float) -> None:
        """Raises BookError if the snapshot is not the ledger's: the store is then unusable."""
        try:
            snapshot: LedgerSnapshot = msgspec.msgpack.decode(data, type=LedgerSnapshot)
            self.book.load(snapshot.book)
            self.export.load(snapshot.export)
        except (msgspec.MsgspecError, ValueError) as error:
            raise BookError(f"unreadable snapshot: {error}") from None
        self.unbatched.extend(UnbatchedEntry(seq, entry, now) for seq, entry in snapshot.fresh)
        self.epochs.update((started.epoch, started) for started in snapshot.epochs)


class LedgerSnapshot(msgspec.Struct):
    """Payload of a store snapshot. Field names are stored."""

    book: bytes
    export: tuple[list[list[int]], list[tuple[int, int, int, int, int, int, str, str, str]]]
    fresh: list[tuple[int, Entry]]
    epochs: list[EpochStarted]
