"""The ledger on the store, with crashes at any operation: durable entries survive, and sealed periods stay
sealed."""

from __future__ import annotations

import errno
import random

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from harrieryoke.ledger.decide.book import Book, CallUsage
from harrieryoke.ledger.decide.entry import Amounts, Entry, decode_entry
from harrieryoke.ledger.decide.export import BatchId, ExportState
from harrieryoke.ledger.decide.ledger import (
    BATCH_CREATED,
    BATCH_FINISHED,
    ENTRY_KINDS,
    PERIOD_SEALED,
    BatchCreated,
    BatchFinished,
    LedgerState,
    PeriodSealed,
)
from harrieryoke.ledger.decide.periods import Periods
from harrieryoke.ledger.decide.undelivered import UndeliveredEntries
from harrieryoke.ledger.period_entries import split_period
from harrieryoke.ledger.wire.codec import pb
from harrieryoke.store.decide.segment import Record
from harrieryoke.store.settings import StoreError, StoreSettings
from harrieryoke.store.store import Store

from .faulty import Crash, Disk, Killed
from .test_ledger_decide import HOUR

REPAIRS = 0  # the epoch under which the collector keeps repairs
PACK = msgspec.msgpack.encode
FUZZ = settings(max_examples=200, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))


class InstanceRun:
    """One run of an instance: its ledger on a disk that may crash."""

    def __init__(self, disk: Disk, epoch: int, collector: dict[BatchId, tuple[str, list[Entry]]]) -> None:
        self.disk, self.collector, self.now = disk, collector, 10.0 * HOUR
        self.repair: list[Entry] = []  # what the collector lacked when a reconciliation compared
        self.ledger = LedgerState(
            Book("n1", epoch, Periods(HOUR, 0), 6000), ExportState(max_kept_batches=2), max_batch_entries=3
        )
        self.store = Store(
            disk, StoreSettings("x", segment_mb=0.002, sync="group"), 0.0, self.visit, self.load
        )

    def load(self, payload: bytes) -> None:
        self.ledger.load(payload, self.now)

    def visit(self, record: Record) -> None:
        self.ledger.replay(record.kind, record.seq, record.payload, self.now)

    def append_record(self, kind: int, payload: bytes) -> int:
        seq = self.store.append(self.now, kind, b"k", payload)
        assert seq is not None
        return seq

    def flush(self) -> bool:
        return self.store.flush(self.now + 1e9)

    def act(self, step: str, value: int, rng: random.Random) -> None:
        book = self.ledger.book
        if step == "use":
            usage = CallUsage(
                int(self.now),
                f"t{value % 3}",
                "c",
                "served",
                1000,
                value,
                400,
                idempotency_key=f"k{value % 50}",
            )
            self.add_entry(book.add_usage(usage))
        elif step == "correct":
            correctable = [
                unbatched.entry for unbatched in self.ledger.unbatched if unbatched.entry.amounts != Amounts()
            ]
            if correctable:
                old = rng.choice(correctable)
                corrected = Amounts(1, value, value, value)
                if corrected != old.amounts:
                    self.add_entry(book.add_correction(old, old.amounts, corrected, "wrong", int(self.now)))
        elif step == "seal":
            self.now += HOUR
            for number in book.periods.due_for_sealing(int(self.now)):
                period = book.seal(number, int(self.now))
                self.append_record(
                    PERIOD_SEALED, PACK(PeriodSealed(number, period.seal_digest, int(self.now)))
                )
        elif step == "export":
            self.export()
        elif step == "compare":
            self.compare()
        elif step == "repair":
            had = {entry.id for _, batch in self.collector.values() for entry in batch}
            added, self.repair = [entry for entry in self.repair if entry.id not in had], []
            if added:
                self.collector[BatchId(REPAIRS, len(self.collector))] = "", added
        elif step == "snapshot" and self.flush():
            self.store.take_snapshot(self.store.commit.durable_seq, self.ledger.dump())
        elif step == "compact" and self.flush():
            self.store.compact(self.ledger.first_needed_seq(self.store.commit.next_seq))
        elif step == "flush":
            self.flush()

    def add_entry(self, entry: Entry) -> None:
        self.ledger.add_unbatched(self.append_record(entry.kind, entry.encode()), entry, self.now)

    def compare(self) -> None:
        """Of any period: what was delivered by the ledger's word, and is not at the collector."""
        undelivered = UndeliveredEntries(self.ledger.export)
        stored = [
            decode_entry(record.payload)
            for record in self.store.records_from_seq(1)
            if record.kind in ENTRY_KINDS
        ]
        had = {entry.id for _, batch in self.collector.values() for entry in batch}
        for period in {entry.period for entry in stored}:
            delivered = split_period(stored, period, undelivered).delivered.values()
            ids = {(message.epoch, message.number) for message in map(pb.Entry.FromString, delivered)}
            self.repair += [
                e
                for e in stored
                if (e.id.epoch, e.id.number) in ids and e.period == period and e.id not in had
            ]

    def export(self) -> None:
        """In the order of the daemon: create the batch, make that durable, send, then record the end."""
        durable_seq = self.store.commit.durable_seq
        while entries := self.ledger.next_batch_entries(self.now, durable_seq, flush=True):
            batch = self.ledger.create_batch(entries, str(entries[0].entry.id))
            created = BatchCreated(
                *batch.id, batch.first_entry, batch.last_entry, batch.first_seq, batch.last_seq, batch.digest
            )
            self.append_record(BATCH_CREATED, PACK(created))
        if not self.flush():
            return
        while (batch_to_send := self.ledger.export.next_to_send(self.now)) is not None:
            sent_entries = [
                decode_entry(record.payload)
                for record in self.store.records_from_seq(batch_to_send.first_seq)
                if record.seq <= batch_to_send.last_seq and record.kind in ENTRY_KINDS
            ]
            assert [entry.id.number for entry in sent_entries] == list(
                range(batch_to_send.first_entry, batch_to_send.last_entry + 1)
            )
            stored = self.collector.setdefault(batch_to_send.id, (batch_to_send.digest, sent_entries))
            assert stored == (batch_to_send.digest, sent_entries)  # a batch number never has another content
            assert self.ledger.export.record_acknowledgement(batch_to_send.id, stored[0])
            self.append_record(BATCH_FINISHED, PACK(BatchFinished(*batch_to_send.id, "")))


@FUZZ
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                "use use use use correct seal export compare repair snapshot compact flush".split()
            ),
            st.integers(1, 99),
        ),
        max_size=60,
    ),
    st.dictionaries(
        st.integers(1, 150), st.sampled_from(["crash", "kill", "short", errno.ENOSPC, errno.EIO]), max_size=5
    ),
    st.integers(0, 1000),
)
def test_after_any_crash_the_ledger_matches_its_durable_records(
    steps: list[tuple[str, int]], faults: dict[int, str | int], seed: int
) -> None:
    disk, rng, epoch = Disk(seed), random.Random(seed), 1
    disk.fail = faults
    collector: dict[BatchId, tuple[str, list[Entry]]] = {}
    sealed: dict[int, str] = {}
    life: InstanceRun | None = None

    def start_instance() -> InstanceRun:
        started = InstanceRun(disk, epoch, collector)
        assert not started.ledger.damaged and not started.store.recovery.damaged
        for number, digest in sealed.items():  # durable seals are never lost
            assert started.ledger.book.periods.by_number[number].seal_digest == digest
        for id, (_, entries) in collector.items():  # every sent batch is known here
            if id.epoch == REPAIRS:
                continue
            assert started.ledger.export.epochs[id.epoch].last_entry >= entries[-1].id.number
        started.ledger.export.connection_lost()
        return started

    for step, value in [*steps, ("flush", 1)]:
        try:
            life = life or start_instance()
            life.act(step, value, rng)
            if step in ("seal", "flush") and life.flush():
                sealed |= {
                    number: period.seal_digest
                    for number, period in life.ledger.book.periods.by_number.items()
                    if period.seal_digest
                }
        except (Crash, Killed) as ended:
            if isinstance(ended, Crash):
                disk.crash()
            disk.unlock()
            life, epoch = None, epoch + 1
        except (OSError, StoreError):
            if life is None:
                disk.unlock()
    disk.fail = {}
    if life is not None:
        life.flush()
        life.store.close_segment()
    disk.unlock()
    epoch += 1
    last_run = start_instance()
    last_run.export()
    entries = [entry for _, (_, batch) in sorted(collector.items()) for entry in batch]
    assert len({entry.id for entry in entries}) == len(entries)  # each exactly once
    book = last_run.ledger.book
    assert sum((entry.amounts for entry in entries), Amounts()) == sum(book.totals.lines.values(), Amounts())
    assert sum(period.entry_set.count for period in book.periods.by_number.values()) == len(entries)
    sums: dict[int, int] = {}
    for entry in entries:
        sums[entry.period] = (sums.get(entry.period, 0) + entry.digest()) % (1 << 128)
    assert {
        number: period.entry_set.digest_sum
        for number, period in book.periods.by_number.items()
        if period.entry_set.count
    } == sums
