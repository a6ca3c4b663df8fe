"""The ledger's actor: writes an entry for each final answer, and serves the operators' requests."""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

import gevent
import msgspec
from gevent.event import AsyncResult

from ..background.decide.schedule import Job
from ..background.runner import JobRunner, SliceOutcome
from ..core.actor import Actor, wait_for_reply
from ..core.clock import now_ms, wall_ms
from ..core.records import Call, CallEnded, Front, SettingsChanged, StatusRequested
from ..interface import Settings
from ..log import Log
from ..state import TokenBucket
from ..store.actor import StoreWriter
from ..store.decide.segment import Record
from ..store.settings import StoreError, StoreSettings
from ..store.store import Store
from .decide.book import Book, BookError, CallUsage, bill_by_tenant
from .decide.entry import Amounts, Entry, EntryId, decode_entry
from .decide.export import Batch, BatchId, ExportState
from .decide.ledger import (
    BATCH_CREATED,
    BATCH_FINISHED,
    CORRECTION_ROOT,
    ENTRY_KINDS,
    EPOCH_STARTED,
    PERIOD_SEALED,
    BatchCreated,
    BatchFinished,
    EpochStarted,
    LedgerState,
    PeriodSealed,
)
from .decide.periods import PeriodError, Periods
from .decide.undelivered import UndeliveredEntries
from .period_entries import PeriodEntries, split_period
from .settings import LedgerError, LedgerSettings
from .wire.codec import batch_digest, encode_entry

T = TypeVar("T")
NO_TENANT = "(none)"
TICK_MS = 500.0
ANSWER_MARGIN_MS = 3.0  # an answer leaves this long before its deadline, whatever the disk does
ENCODE = msgspec.msgpack.encode


@dataclass(slots=True)
class RunFunction:
    """Runs `function` in the ledger's greenlet; `result` receives its value or exception."""

    function: Callable[[], Any]
    result: AsyncResult


@dataclass(slots=True)
class CallAnswered:
    """A call has its final answer, which `deliver` sends."""

    call: Call
    outcome: str
    deliver: Callable[[], object]


@dataclass(slots=True)
class HeldAnswer:
    """An answer that waits for its entry to be durable, at the latest until `release_at`."""

    seq: int
    release_at: float
    deliver: Callable[[], object]


class HoldingFront:
    """Wraps a front so that the entry of an answer is in the ledger before the client receives the
    answer."""

    def __init__(self, front: Front, ledger: LedgerActor) -> None:
        self.front, self.ledger = front, ledger

    def served(self, call: Call, body: bytes) -> None:
        self.ledger.call_answered(call, "served", lambda: self.front.served(call, body))

    def refused(self, call: Call, retry_after: float | None) -> None:
        self.ledger.call_answered(call, "refused", lambda: self.front.refused(call, retry_after))

    def failed(self, call: Call, reason: str) -> None:
        self.ledger.call_answered(call, "failed", lambda: self.front.failed(call, reason))


class LedgerActor(Actor):
    """Owns the ledger. Recording a final answer never blocks: entries that find no room are counted, and a
    gap entry is written as soon as there is room. Raises LedgerError or StoreError at the start."""

    def __init__(
        self,
        ledger_settings: LedgerSettings,
        store: StoreSettings | None,
        instance: str,
        settings: Settings,
        mailbox: int,
        log: Log,
    ) -> None:
        super().__init__("ledger", mailbox, log)
        self.ledger_settings, self.settings, self.instance = ledger_settings, settings, instance
        started_ms = int(wall_ms())
        # New with each start, also without a disk and after the wall clock was set back.
        self.epoch = started_ms << 20 | secrets.randbits(20)
        periods = Periods(ledger_settings.period_s * 1000, ledger_settings.grace_s * 1000)
        book = Book(instance, self.epoch, periods, int(ledger_settings.key_window_s * 1000))
        collector = ledger_settings.collector
        export = ExportState() if collector is None else ExportState(collector.window, collector.answer_ms)
        self.ledger = LedgerState(book, export)
        if collector is not None:
            self.ledger.max_batch_entries, self.ledger.max_batch_delay_ms = (
                collector.batch,
                collector.batch_ms,
            )
        self.tenant_buckets: dict[int, TokenBucket] = {}
        self.counts: Counter[str] = Counter()
        # with other sync policies entries are not durable soon, by the operator's choice
        self.holds_answers = store is not None and store.sync == "group" and ledger_settings.hold_ms > 0
        self.held_answers: list[HeldAnswer] = []
        self.missed_count = self.first_missed_ms = self.last_missed_ms = 0
        # without a store: entries that the export still needs, by sequence number
        self.entries_in_memory: dict[int, Entry] = {}
        self.last_serial = 0
        # sequence numbers of creation records that must be durable before their batch is sent
        self.batch_created_seqs: dict[BatchId, int] = {}
        self.snapshot_seq = 0
        self.store_writer: StoreWriter | None = None
        if store is not None:
            try:
                self.store_writer = StoreWriter(
                    store, log, self.replay, lambda data: self.ledger.load(data, now_ms())
                )
            except BookError as error:
                raise StoreError(f"store.folder: {error}") from None
            self.store_writer.on_durable = lambda durable_seq: self.wake()
            self.snapshot_seq = self.store_writer.store.recovery.snapshot_seq
            for problem in self.ledger.damaged:
                log("ledger-damaged", problem)
        # called when a period was sealed
        self.on_period_sealed: Callable[[int], object] = lambda period: None
        self.on_export_work: Callable[[], object] = lambda: None  # the export may have work
        started = EpochStarted(instance, self.epoch, started_ms)
        self.ledger.epochs[self.epoch] = started
        self.append_record(EPOCH_STARTED, b"", ENCODE(started))

    def replay(self, record: Record) -> None:
        self.ledger.replay(record.kind, record.seq, record.payload, now_ms())

    # --- called by the call table ---

    def front_for(self, front: Front) -> Front:
        return HoldingFront(front, self) if self.holds_answers else front

    def call_answered(self, call: Call, outcome: str, deliver: Callable[[], object]) -> None:
        if not self.try_send(CallAnswered(call, outcome, deliver)):
            self.count_missed()
            deliver()

    def call_ended(self, call: Call, how: str) -> None:
        """Records the end of a call. If answers are held, only withdrawn calls are recorded here: the others
        are recorded by `call_answered`."""
        if self.holds_answers and how != "withdrawn":
            return
        if not self.try_send(CallEnded(call, how)):
            self.count_missed()

    def count_missed(self) -> None:
        """Counts an entry that could not be recorded; a gap entry reports it later."""
        now = int(wall_ms())
        self.counts["missed"] += 1
        self.first_missed_ms = self.first_missed_ms if self.missed_count else now
        self.missed_count, self.last_missed_ms = self.missed_count + 1, now

    # --- the loop ---

    def start(self) -> None:
        if self.store_writer is not None:
            self.store_writer.start()
        super().start()

    def wake(self) -> None:
        self.message_arrived.set()
        self.on_export_work()

    def run(self) -> None:
        while not self.finished:
            next_release = min(
                (answer.release_at for answer in self.held_answers), default=now_ms() + TICK_MS
            )
            self.wait_for_message(min(TICK_MS, next_release - now_ms()))
            self.process_mailbox()
            self.release_answers()
            self.tick()

    def release_answers(self) -> None:
        """Delivers answers whose entries are durable or whose time is up; the latter are counted as `unsure`,
        since a crash could still lose their entries."""
        if not self.held_answers:
            return
        now, durable_seq = now_ms(), self.durable_seq()
        failing = self.store_writer is not None and self.store_writer.failure
        answers, self.held_answers = self.held_answers, []
        for answer in answers:
            if answer.seq <= durable_seq:
                answer.deliver()
            elif failing or not now < answer.release_at <= now + self.ledger_settings.hold_ms:
                self.counts["unsure"] += 1
                answer.deliver()
            else:
                self.held_answers.append(answer)

    def finish(self) -> None:
        """Delivers all held answers, whatever ended this actor."""
        super().finish()
        for answer in self.held_answers:
            answer.deliver()
        for message in list(self.mailbox):
            if isinstance(message, CallAnswered):
                message.deliver()
        self.held_answers.clear()
        self.mailbox.clear()

    def tick(self) -> None:
        """Writes pending gap entries and seals periods, both by the wall clock."""
        now = int(wall_ms())
        if self.missed_count and self.has_room():
            count, self.missed_count = self.missed_count, 0
            reason = f"{count} entries found no room"
            self.write_entry(self.ledger.book.add_gap(now, self.first_missed_ms, self.last_missed_ms, reason))
        for number in self.ledger.book.periods.due_for_sealing(now) if self.has_room() else ():
            self.seal_period(number)

    def seal_period(self, number: int) -> str:
        """Raises PeriodError if the period can't be sealed now."""
        if not self.has_room():
            raise PeriodError("the store accepts no records just now")
        now = int(wall_ms())
        period = self.ledger.book.seal(number, now)
        self.append_record(PERIOD_SEALED, b"", ENCODE(PeriodSealed(number, period.seal_digest, now)))
        gap_note = f", {period.gap_count} gaps in it" if period.gap_count else ""
        self.on_period_sealed(number)
        self.log(
            "period-sealed", f"{number}: {period.seal_digest}{gap_note}", period=number, gaps=period.gap_count
        )
        return period.seal_digest

    def receive(self, message: Any) -> None:
        match message:
            case CallAnswered(call, outcome, deliver):
                seq = self.enter_call(call, outcome)
                if seq is None or seq <= self.durable_seq():
                    deliver()
                else:
                    release_at = min(
                        now_ms() + self.ledger_settings.hold_ms, call.deadline - ANSWER_MARGIN_MS
                    )
                    self.held_answers.append(HeldAnswer(seq, release_at, deliver))
            case CallEnded(call, outcome):
                self.enter_call(call, outcome)
            case RunFunction(function, result):
                try:
                    result.set(function())
                except Exception as error:
                    result.set_exception(error)
            case SettingsChanged(settings):
                self.settings = settings
            case StatusRequested(reply):
                reply(self.status())

    def enter_call(self, call: Call, outcome: str) -> int | None:
        """Writes the entry of a call; returns its sequence number, or None if there is no room."""
        now = now_ms()
        if not self.has_room():
            self.count_missed()
            return None
        request_class = self.settings.classes[call.class_index]
        tenant, over_share = NO_TENANT, False
        if call.tenant is not None:
            tenant_settings = self.settings.tenants[call.tenant]
            tenant, rate = tenant_settings.name, tenant_settings.allowance_per_s
            bucket = self.tenant_buckets.setdefault(call.tenant, TokenBucket())
            over_share = rate > 0 and not bucket.take_token(now, rate / 1000, max(1.0, rate))
        duration_ms = max(0, int(now - call.received_at)) if call.received_at else 0
        usage = CallUsage(
            int(wall_ms()),
            tenant,
            request_class.name,
            outcome,
            int(1000 * request_class.worth),
            duration_ms,
            int(call.memory),
            over_share,
            call.function,
            call.label or "",
            call.key,
            call.request_id,
        )
        self.counts[outcome] += 1
        return self.write_entry(self.ledger.book.add_usage(usage))

    def write_entry(self, entry: Entry, root: EntryId | None = None) -> int:
        """Writes an entry that the book has created. A correction is stored under the key of the root entry
        that it corrects, and a second record, under the correction's own key, names the root."""
        seq = self.append_record(entry.kind, (root or entry.id).store_key(), entry.encode())
        if root is not None:
            self.append_record(CORRECTION_ROOT, entry.id.store_key(), ENCODE(root))
        if self.store_writer is None:
            self.entries_in_memory[seq] = entry
        self.ledger.add_unbatched(seq, entry, now_ms())
        if len(self.ledger.unbatched) >= self.ledger.max_batch_entries:
            self.on_export_work()
        return seq

    def append_record(self, kind: int, key: bytes, payload: bytes) -> int:
        """Appends a record. The caller has checked `has_room` for entries; other records are small and fit
        its reserve."""
        self.last_serial += 1
        if self.store_writer is None:
            return self.last_serial
        seq = self.store_writer.append(wall_ms(), kind, key, payload)
        if seq is None:
            raise BookError("the store's queue is full")
        return seq

    def has_room(self) -> bool:
        if self.store_writer is None:
            return len(self.entries_in_memory) < self.ledger_settings.memory_entries
        return self.store_writer.has_room(2048)

    def durable_seq(self) -> int:
        return self.last_serial if self.store_writer is None else self.store_writer.durable_seq

    def last_seq(self) -> int:
        """The sequence number of the newest record."""
        return self.last_serial if self.store_writer is None else self.store_writer.next_seq - 1

    def make_durable(self, seq: int, timeout_s: float) -> bool:
        """Waits until all records up to `seq` are durable; False on timeout. Without a store nothing is."""
        return self.store_writer is None or self.store_writer.make_durable(seq, timeout_s)

    # --- for the export; called from other greenlets through `run_in_actor` ---

    def run_in_actor(self, function: Callable[[], T], timeout_ms: float = 5000.0) -> T:
        """Runs `function` in the ledger's greenlet and waits for it. Raises what it raises, or
        gevent.Timeout."""
        result: AsyncResult = AsyncResult()
        if not self.blocking_send(RunFunction(function, result)):
            raise BookError("the ledger has ended")
        return result.get(timeout=timeout_ms / 1000)  # type: ignore[no-any-return]

    def next_batch(self, flush: bool = False) -> Batch | None:
        """The next batch to send, which then counts as in flight."""
        now, durable_seq = now_ms(), self.durable_seq()
        # Without room the creation could not be recorded, and after a crash the batch would have other
        # entries.
        while self.has_room() and (entries := self.ledger.next_batch_entries(now, durable_seq, flush)):
            batch = self.ledger.create_batch(
                entries, batch_digest(encode_entry(unbatched.entry) for unbatched in entries)
            )
            created = BatchCreated(
                *batch.id, batch.first_entry, batch.last_entry, batch.first_seq, batch.last_seq, batch.digest
            )
            self.batch_created_seqs[batch.id] = self.append_record(BATCH_CREATED, b"", ENCODE(created))
        waiting = self.ledger.export.waiting
        # After a crash, a batch that was sent must be created again with the same entries.
        if not waiting or self.batch_created_seqs.get(waiting[0], 0) > self.durable_seq():
            return None
        next_to_send = self.ledger.export.next_to_send(now)
        if next_to_send is not None:
            self.batch_created_seqs.pop(next_to_send.id, None)
        return next_to_send

    def read_batch(self, batch: Batch) -> list[Entry]:
        """Reads the entries of a batch in the store's thread. Raises LookupError if any is missing."""
        if self.store_writer is None:
            entries = [
                self.entries_in_memory[seq]
                for seq in range(batch.first_seq, batch.last_seq + 1)
                if seq in self.entries_in_memory
            ]
        else:
            entries = self.store_writer.run_in_thread(lambda store: read_batch_entries(store, batch))
        numbers = [entry.id.number for entry in entries]
        if numbers != list(range(batch.first_entry, batch.last_entry + 1)):
            expected = batch.last_entry - batch.first_entry + 1
            raise LookupError(f"batch {batch.id}: {len(entries)} of {expected} entries are there")
        return entries

    def read_period(self, period: int) -> PeriodEntries:
        """Reads, in the store's thread, all entries of a period that are still stored."""
        # taken before reading: what comes meanwhile is in no batch of it, and held back
        undelivered = self.run_in_actor(lambda: UndeliveredEntries(self.ledger.export))
        if self.store_writer is None:
            return split_period(self.entries_in_memory.values(), period, undelivered)
        return self.store_writer.run_in_thread(
            lambda store: split_period(read_entries(store), period, undelivered)
        )

    def record_batch_end(self, batch_id: BatchId, reason: str = "") -> None:
        """Records that a batch was acknowledged, or was set aside with a reason."""
        if reason:
            self.log("batch-aside", f"{batch_id.epoch:x}/{batch_id.number}: {reason}", batch=batch_id.number)
        if self.has_room():
            self.append_record(
                BATCH_FINISHED, b"", ENCODE(BatchFinished(batch_id.epoch, batch_id.number, reason))
            )
        if self.store_writer is None:
            first_needed_seq = self.ledger.first_needed_seq(self.last_serial + 1)
            self.entries_in_memory = {
                seq: entry for seq, entry in self.entries_in_memory.items() if seq >= first_needed_seq
            }

    # --- background work ---

    def add_jobs(self, runner: JobRunner) -> None:
        if self.store_writer is not None:
            runner.add(Job("snapshot", 4, period_ms=5000.0), self.run_snapshot_slice)
            runner.add(Job("compact", 2, period_ms=20_000.0), self.run_compaction_slice)

    def run_snapshot_slice(self) -> SliceOutcome:
        """Takes a snapshot once enough records follow the last one; older segments then become removable."""
        store_writer = self.store_writer
        assert store_writer is not None
        if store_writer.durable_seq - self.snapshot_seq < store_writer.settings.snapshot_every:
            return SliceOutcome()
        seq, payload = self.run_in_actor(lambda: (store_writer.next_seq - 1, self.ledger.dump()))
        if not store_writer.wait_durable(seq, 10.0):
            raise TimeoutError("the state for the snapshot is not yet durable")
        store_writer.run_in_thread(lambda store: store.take_snapshot(seq, payload))
        self.snapshot_seq = seq
        return SliceOutcome(moved_bytes=len(payload))

    def run_compaction_slice(self) -> SliceOutcome:
        store_writer = self.store_writer
        assert store_writer is not None
        first_needed_seq = self.run_in_actor(lambda: self.ledger.first_needed_seq(store_writer.next_seq))
        plan = store_writer.run_in_thread(lambda store: store.compact(first_needed_seq))
        if plan.lost_seqs is not None:
            first, last = plan.lost_seqs
            self.run_in_actor(lambda: self.report_lost_records(first, last))
        return SliceOutcome()

    def report_lost_records(self, first: int, last: int) -> None:
        """The disk budget was exceeded while the collector was unreachable: the oldest records were removed,
        which a gap entry reports."""
        now, batches = int(wall_ms()), self.ledger.discard_lost_records(first, last)
        description = f"records {first} to {last} went for want of room, {len(batches)} batches not exported"
        self.log("ledger-lost", description)
        if batches and self.has_room():
            self.write_entry(self.ledger.book.add_gap(now, first, last, description))
        elif batches:
            self.count_missed()  # the gap is reported as soon as there is room

    # --- operators' requests ---

    def add_correction(
        self, old: Entry, earlier: Amounts, corrected: Amounts, reason: str, root: EntryId
    ) -> Entry:
        """Writes the correction of an entry. Raises BookError."""
        if not self.has_room():
            raise BookError("the store accepts no records just now")
        entry = self.ledger.book.add_correction(old, earlier, corrected, reason, int(wall_ms()))
        self.write_entry(entry, root)
        return entry

    def request_status(self, timeout_ms: float) -> dict[str, Any]:
        result: AsyncResult = AsyncResult()
        self.blocking_send(StatusRequested(result.set))
        return wait_for_reply(result, timeout_ms)

    def status(self) -> dict[str, Any]:
        ledger, export = self.ledger, self.ledger.export
        bill = bill_by_tenant(ledger.book.totals.lines, self.ledger_settings.prices)
        return {
            "instance": self.instance,
            "epoch": f"{self.epoch:x}",
            "entries": ledger.book.last_number,
            "counts": dict(self.counts),
            "missed_open": self.missed_count,
            "repeats": ledger.book.repeat_count,
            "late": ledger.book.late_count,
            "damaged": ledger.damaged[:100],
            "periods": ledger.book.periods.rows(),
            "totals": ledger.book.totals.rows(),
            "billed": [
                {"period": period, "tenant": tenant, "amount": str(amount)}
                for (period, tenant), amount in sorted(bill.items())
            ],
            "export": {
                "not_in_a_batch": len(ledger.unbatched),
                "unsent": export.unsent_entries(),
                "waiting": len(export.waiting),
                "out": len(export.in_flight),
                "aside": [
                    {"epoch": f"{batch.id.epoch:x}", "batch": batch.id.number, "reason": batch.reason}
                    for batch in export.set_aside_batches.values()
                ],
                "sent_again": export.resent_count,
                "answered_twice": export.duplicate_answers,
                "wrong_digests": export.digest_mismatches,
                "lost": [[f"{epoch:x}", first, last] for epoch, first, last in export.lost_batches],
                "holes": [[f"{epoch:x}", first, last] for epoch, first, last in export.missing_entries],
            },
            "store": None if self.store_writer is None else self.store_writer.status(),
        }

    def stop(self, timeout_s: float) -> None:
        """Processes the mailbox, then flushes all entries to disk."""
        with gevent.Timeout(timeout_s, False):
            while self.mailbox and not self.finished:
                gevent.sleep(0.01)
        self.finished = True
        self.message_arrived.set()
        if self.store_writer is not None:
            self.store_writer.stop(timeout_s)


def read_batch_entries(store: Store, batch: Batch) -> list[Entry]:
    entries = []
    for record in store.records_from_seq(batch.first_seq):
        if record.seq > batch.last_seq:
            break
        if record.kind in ENTRY_KINDS:
            entries.append(decode_entry(record.payload))
    return entries


def read_entries(store: Store) -> Iterator[Entry]:
    """All entries that are stored."""
    return (
        decode_entry(record.payload) for record in store.records_from_seq(1) if record.kind in ENTRY_KINDS
    )


__all__ = ["LedgerActor", "LedgerError", "PeriodError"]
