"""The ledger's actor: an entry for each final answer, and what the operators ask of it."""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import gevent
import msgspec
from gevent.event import AsyncResult

from .. import interface as i
from ..background.decide.schedule import Job
from ..background.runner import Runner, Slice
from ..core.actor import Actor, wait_for_reply
from ..core.clock import now_ms, wall_ms
from ..core.records import Call, CallEnded, Front, SettingsChanged, StatusRequested
from ..log import Log
from ..state import Bucket
from ..store.actor import StoreKeeper
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
from .settings import LedgerError, LedgerSettings
from .wire.codec import batch_digest, encode_entry, entry_wire_id

T = TypeVar("T")
NO_TENANT = "(none)"
TICK_MS = 500.0
LAST_MS = 3.0  # before its time an answer leaves, whatever the disk does
PACK = msgspec.msgpack.encode


@dataclass(slots=True)
class Do:
    """Run it in the ledger's own greenlet; `told` gets what it says, or its error."""

    what: Callable[[], Any]
    told: AsyncResult


@dataclass(slots=True)
class Answered:
    """A call has its final answer, which leaves by `deliver`."""

    call: Call
    how: str
    deliver: Callable[[], object]


@dataclass(slots=True)
class Held:
    """An answer that waits for its entry, until `until` at the latest."""

    seq: int
    until: float
    deliver: Callable[[], object]


class HeldFront:
    """Stands in for a front: what was answered is in the ledger before the client hears it."""

    def __init__(self, front: Front, ledger: LedgerActor) -> None:
        self.front, self.ledger = front, ledger

    def served(self, call: Call, body: bytes) -> None:
        self.ledger.answered(call, "served", lambda: self.front.served(call, body))

    def refused(self, call: Call, retry_after: float | None) -> None:
        self.ledger.answered(call, "refused", lambda: self.front.refused(call, retry_after))

    def failed(self, call: Call, reason: str) -> None:
        self.ledger.answered(call, "failed", lambda: self.front.failed(call, reason))


class LedgerActor(Actor):
    """Owns the ledger. It hears of each final answer and never makes one wait: what finds no room is counted,
    and a gap is written as soon as there is room again. Raises LedgerError or StoreError at the start."""

    def __init__(
        self,
        told: LedgerSettings,
        store: StoreSettings | None,
        instance: str,
        settings: i.Settings,
        mailbox: int,
        log: Log,
    ) -> None:
        super().__init__("ledger", mailbox, log)
        self.told, self.settings, self.instance = told, settings, instance
        began_at = int(wall_ms())
        # new with each start, also without a disk and after a wall clock that was set back
        self.epoch = began_at << 20 | secrets.randbits(20)
        periods = Periods(told.period_s * 1000, told.grace_s * 1000)
        book = Book(instance, self.epoch, periods, int(told.key_window_s * 1000))
        collector = told.collector
        export = ExportState() if collector is None else ExportState(collector.window, collector.answer_ms)
        self.ledger = LedgerState(book, export)
        if collector is not None:
            self.ledger.max_batch_entries, self.ledger.max_batch_delay_ms = (
                collector.batch,
                collector.batch_ms,
            )
        self.shares: dict[int, Bucket] = {}
        self.counts: Counter[str] = Counter()
        # with another policy nothing is durable soon, by the operator's choice
        self.holds = store is not None and store.sync == "group" and told.hold_ms > 0
        self.held: list[Held] = []
        self.missed = self.missed_first = self.missed_last = 0
        self.memory: dict[int, Entry] = {}  # without a store: entries that the export still wants, by number
        self.serial = 0
        self.cut_seqs: dict[BatchId, int] = {}  # records that must be durable before the batch is sent
        self.snapshot_seq = 0
        self.keeper: StoreKeeper | None = None
        if store is not None:
            try:
                self.keeper = StoreKeeper(
                    store, log, self.replay, lambda data: self.ledger.load(data, now_ms())
                )
            except BookError as error:
                raise StoreError(f"store.folder: {error}") from None
            self.keeper.watch = lambda durable: self.wake()
            self.snapshot_seq = self.keeper.store.recovery.snapshot_seq
            for words in self.ledger.damaged:
                log("ledger-damaged", words)
        self.sealed: Callable[[int], object] = lambda period: None  # a period has been closed
        self.wanted: Callable[[], object] = lambda: None  # tells the export that there may be something to do
        began = EpochStarted(instance, self.epoch, began_at)
        self.ledger.epochs[self.epoch] = began
        self.keep(EPOCH_STARTED, b"", PACK(began))

    def replay(self, record: Record) -> None:
        self.ledger.replay(record.kind, record.seq, record.payload, now_ms())

    # --- the table's side ---

    def front_for(self, front: Front) -> Front:
        return HeldFront(front, self) if self.holds else front

    def answered(self, call: Call, how: str, deliver: Callable[[], object]) -> None:
        if not self.try_send(Answered(call, how, deliver)):
            self.miss()
            deliver()

    def call_ended(self, call: Call, how: str) -> None:
        """Where answers come by `answered`, only a call without one is new here."""
        if self.holds and how != "withdrawn":
            return
        if not self.try_send(CallEnded(call, how)):
            self.miss()

    def miss(self) -> None:
        """Nothing may wait for the ledger: what it can't take is counted, and told in a gap."""
        at = int(wall_ms())
        self.counts["missed"] += 1
        self.missed_first = self.missed_first if self.missed else at
        self.missed, self.missed_last = self.missed + 1, at

    # --- the loop ---

    def start(self) -> None:
        if self.keeper is not None:
            self.keeper.start()
        super().start()

    def wake(self) -> None:
        self.message_arrived.set()
        self.wanted()

    def run(self) -> None:
        while not self.finished:
            soonest = min((h.until for h in self.held), default=now_ms() + TICK_MS)
            self.wait_for_message(min(TICK_MS, soonest - now_ms()))
            self.process_mailbox()
            self.release()
            self.tick()

    def release(self) -> None:
        """Answers leave once their entries are durable, or when they may wait no longer: then `unsure` counts
        them, since a crash just now would leave them out of the ledger."""
        if not self.held:
            return
        now, durable = now_ms(), self.durable()
        failing = self.keeper is not None and self.keeper.failing
        held, self.held = self.held, []
        for each in held:
            if each.seq <= durable:
                each.deliver()
            elif failing or not now < each.until <= now + self.told.hold_ms:
                self.counts["unsure"] += 1
                each.deliver()
            else:
                self.held.append(each)

    def finish(self) -> None:
        """Whatever ended this actor: no answer stays here."""
        super().finish()
        for each in self.held:
            each.deliver()
        for message in list(self.mailbox):
            if isinstance(message, Answered):
                message.deliver()
        self.held.clear()
        self.mailbox.clear()

    def tick(self) -> None:
        """Periods are stretches of the wall clock, and so is what a gap tells of."""
        now = int(wall_ms())
        if self.missed and self.room():
            count, self.missed = self.missed, 0
            said = f"{count} entries found no room"
            self.write(self.ledger.book.add_gap(now, self.missed_first, self.missed_last, said))
        for number in self.ledger.book.periods.due_for_sealing(now) if self.room() else ():
            self.seal(number)

    def seal(self, number: int) -> str:
        """Raises PeriodError for a period that can't be closed now."""
        if not self.room():
            raise PeriodError("the store takes nothing just now")
        now = int(wall_ms())
        period = self.ledger.book.seal(number, now)
        self.keep(PERIOD_SEALED, b"", PACK(PeriodSealed(number, period.seal_digest, now)))
        gaps = f", {period.gap_count} gaps in it" if period.gap_count else ""
        self.sealed(number)
        self.log(
            "period-sealed", f"{number}: {period.seal_digest}{gaps}", period=number, gaps=period.gap_count
        )
        return period.seal_digest

    def receive(self, message: Any) -> None:
        match message:
            case Answered(call, how, deliver):
                seq = self.enter(call, how)
                if seq is None or seq <= self.durable():
                    deliver()
                else:
                    until = min(now_ms() + self.told.hold_ms, call.deadline - LAST_MS)
                    self.held.append(Held(seq, until, deliver))
            case CallEnded(call, how):
                self.enter(call, how)
            case Do(what, told):
                try:
                    told.set(what())
                except Exception as error:
                    told.set_exception(error)
            case SettingsChanged(settings):
                self.settings = settings
            case StatusRequested(tell):
                tell(self.status())

    def enter(self, call: Call, how: str) -> int | None:
        """The record's number, or None where there is no room."""
        now = now_ms()
        if not self.room():
            self.miss()
            return None
        kind = self.settings.classes[call.class_index]
        tenant, over = NO_TENANT, False
        if call.tenant is not None:
            known = self.settings.tenants[call.tenant]
            tenant, rate = known.name, known.allowance_per_s
            share = self.shares.setdefault(call.tenant, Bucket())
            over = rate > 0 and not share.take(now, rate / 1000, max(1.0, rate))
        took = max(0, int(now - call.received_at)) if call.received_at else 0
        use = CallUsage(
            int(wall_ms()),
            tenant,
            kind.name,
            how,
            int(1000 * kind.worth),
            took,
            int(call.memory),
            over,
            call.function,
            call.label or "",
            call.key,
            call.request_id,
        )
        self.counts[how] += 1
        return self.write(self.ledger.book.add_usage(use))

    def write(self, entry: Entry, root: EntryId | None = None) -> int:
        """Keeps an entry that the book has made. A correction stands under the key of what it corrects in the
        end, and its own key points there."""
        seq = self.keep(entry.kind, (root or entry.id).store_key(), entry.encode())
        if root is not None:
            self.keep(CORRECTION_ROOT, entry.id.store_key(), PACK(root))
        if self.keeper is None:
            self.memory[seq] = entry
        self.ledger.add_unbatched(seq, entry, now_ms())
        if len(self.ledger.unbatched) >= self.ledger.max_batch_entries:
            self.wanted()
        return seq

    def keep(self, kind: int, key: bytes, payload: bytes) -> int:
        """`room` was asked before; what is told besides entries is small and finds room."""
        self.serial += 1
        if self.keeper is None:
            return self.serial
        seq = self.keeper.append(wall_ms(), kind, key, payload)
        if seq is None:
            raise BookError("the store's queue is full")
        return seq

    def room(self) -> bool:
        if self.keeper is None:
            return len(self.memory) < self.told.memory_entries
        return self.keeper.room(2048)

    def durable(self) -> int:
        return self.serial if self.keeper is None else self.keeper.durable

    # --- for the export; from other greenlets, through `ask` ---

    def ask(self, what: Callable[[], T], timeout_ms: float = 5000.0) -> T:
        """Runs it in the ledger's greenlet and waits. Raises what it raises, or gevent.Timeout."""
        told: AsyncResult = AsyncResult()
        if not self.blocking_send(Do(what, told)):
            raise BookError("the ledger has ended")
        return told.get(timeout=timeout_ms / 1000)  # type: ignore[no-any-return]

    def next_batch(self, flush: bool = False) -> Batch | None:
        """The batch that goes to the collector now; it counts as out from here on."""
        now, durable = now_ms(), self.durable()
        # guards against a batch whose cut could not be written down: it would be cut otherwise after a crash
        while self.room() and (run := self.ledger.next_batch_entries(now, durable, flush)):
            batch = self.ledger.create_batch(run, batch_digest(encode_entry(f.entry) for f in run))
            cut = BatchCreated(
                *batch.id, batch.first_entry, batch.last_entry, batch.first_seq, batch.last_seq, batch.digest
            )
            self.cut_seqs[batch.id] = self.keep(BATCH_CREATED, b"", PACK(cut))
        waiting = self.ledger.export.waiting
        # guards against a crash after the sending: what was sent under a number must be cut the same again
        if not waiting or self.cut_seqs.get(waiting[0], 0) > self.durable():
            return None
        chosen = self.ledger.export.next_to_send(now)
        if chosen is not None:
            self.cut_seqs.pop(chosen.id, None)
        return chosen

    def all_sent(self) -> bool:
        """Whether the collector has acknowledged all batches that were cut."""
        return not (self.ledger.export.waiting or self.ledger.export.in_flight)

    def entries_of(self, batch: Batch) -> list[Entry]:
        """Read beside the loop. Raises LookupError where not all are there."""
        if self.keeper is None:
            found = [
                self.memory[seq] for seq in range(batch.first_seq, batch.last_seq + 1) if seq in self.memory
            ]
        else:
            found = self.keeper.ask(lambda store: read_entries(store, batch))
        numbers = [e.id.number for e in found]
        if numbers != list(range(batch.first_entry, batch.last_entry + 1)):
            wanted = batch.last_entry - batch.first_entry + 1
            raise LookupError(f"batch {batch.id}: {len(found)} of {wanted} entries are there")
        return found

    def period_bytes(self, period: int) -> dict[int, bytes]:
        """All entries of a period that are still here, by id, as they go over the wire. Read beside the
        loop."""
        if self.keeper is not None:
            return self.keeper.ask(lambda store: period_entries(store, period))
        made = (encode_entry(entry) for entry in self.memory.values() if entry.period == period)
        return {entry_wire_id(data): data for data in made}

    def batch_ended(self, id: BatchId, reason: str = "") -> None:
        """It is acknowledged, or set aside with a reason."""
        if reason:
            self.log("batch-aside", f"{id.epoch:x}/{id.number}: {reason}", batch=id.number)
        if self.room():
            self.keep(BATCH_FINISHED, b"", PACK(BatchFinished(id.epoch, id.number, reason)))
        if self.keeper is None:
            needed = self.ledger.first_needed_seq(self.serial + 1)
            self.memory = {seq: entry for seq, entry in self.memory.items() if seq >= needed}

    # --- background work ---

    def add_jobs(self, runner: Runner) -> None:
        if self.keeper is not None:
            runner.add(Job("snapshot", 4, period_ms=5000.0), self.snapshot_slice)
            runner.add(Job("compact", 2, period_ms=20_000.0), self.compact_slice)

    def snapshot_slice(self) -> Slice:
        """A snapshot once enough records came since the last; then the older segments may go."""
        keeper = self.keeper
        assert keeper is not None
        if keeper.durable - self.snapshot_seq < keeper.told.snapshot_every:
            return Slice()
        seq, payload = self.ask(lambda: (keeper.next_seq - 1, self.ledger.dump()))
        if not keeper.wait_durable(seq, 10.0):
            raise TimeoutError("the state that was to be kept is not durable yet")
        keeper.ask(lambda store: store.take_snapshot(seq, payload))
        self.snapshot_seq = seq
        return Slice(size=len(payload))

    def compact_slice(self) -> Slice:
        keeper = self.keeper
        assert keeper is not None
        needed = self.ask(lambda: self.ledger.first_needed_seq(keeper.next_seq))
        removal = keeper.ask(lambda store: store.compact(needed))
        if removal.lost_seqs is not None:
            first, last = removal.lost_seqs
            self.ask(lambda: self.lost(first, last))
        return Slice()

    def lost(self, first: int, last: int) -> None:
        """The disk's budget was spent while the collector was away: the oldest went, and totals say so."""
        now, batches = int(wall_ms()), self.ledger.discard_lost_records(first, last)
        words = f"records {first} to {last} went for want of room, {len(batches)} batches not exported"
        self.log("ledger-lost", words)
        if batches and self.room():
            self.write(self.ledger.book.add_gap(now, first, last, words))
        elif batches:
            self.miss()  # the gap is told as soon as there is room

    # --- the operators ---

    def close_period(self, number: int) -> str:
        """Raises PeriodError."""
        return self.ask(lambda: self.seal(number))

    def correct(self, id: EntryId, to: Amounts, reason: str) -> Entry:
        """Raises BookError for what is not there or can't be corrected."""
        keeper = self.keeper
        if keeper is None:
            raise BookError("corrections need a [store]")
        if self.ask(lambda: keeper.next_seq - 1) > keeper.durable:
            keeper.wait_durable(keeper.next_seq - 1, 2.0)
        root, found = keeper.ask(lambda store: find(store, id))
        if not found:
            raise BookError(f"{id} is not in the store")
        named = next(e for e in found if e.id == id)
        earlier = sum((e.amounts for e in found), Amounts())

        def enter() -> Entry:
            if not self.room():
                raise BookError("the store takes nothing just now")
            entry = self.ledger.book.add_correction(named, earlier, to, reason, int(wall_ms()))
            self.write(entry, root)
            return entry

        return self.ask(enter)

    def try_again(self, id: BatchId) -> bool:
        done = self.ask(lambda: self.ledger.export.retry_set_aside(id))
        self.wanted()
        return done

    def ask_status(self, timeout_ms: float) -> dict[str, Any]:
        told: AsyncResult = AsyncResult()
        self.blocking_send(StatusRequested(told.set))
        return wait_for_reply(told, timeout_ms)

    def status(self) -> dict[str, Any]:
        ledger, export = self.ledger, self.ledger.export
        money = bill_by_tenant(ledger.book.totals.lines, self.told.prices)
        return {
            "instance": self.instance,
            "epoch": f"{self.epoch:x}",
            "entries": ledger.book.last_number,
            "counts": dict(self.counts),
            "missed_open": self.missed,
            "repeats": ledger.book.repeat_count,
            "late": ledger.book.late_count,
            "damaged": ledger.damaged[:100],
            "periods": ledger.book.periods.rows(),
            "totals": ledger.book.totals.rows(),
            "billed": [
                {"period": period, "tenant": tenant, "amount": str(amount)}
                for (period, tenant), amount in sorted(money.items())
            ],
            "export": {
                "not_in_a_batch": len(ledger.unbatched),
                "unsent": export.unsent_entries(),
                "waiting": len(export.waiting),
                "out": len(export.in_flight),
                "aside": [
                    {"epoch": f"{b.id.epoch:x}", "batch": b.id.number, "reason": b.reason}
                    for b in export.set_aside_batches.values()
                ],
                "sent_again": export.resent_count,
                "answered_twice": export.duplicate_answers,
                "wrong_digests": export.digest_mismatches,
                "lost": [[f"{e:x}", a, b] for e, a, b in export.lost_batches],
                "holes": [[f"{e:x}", a, b] for e, a, b in export.missing_entries],
            },
            "store": None if self.keeper is None else self.keeper.status(),
        }

    def stop(self, timeout_s: float) -> None:
        """What came is entered, and what is entered is brought to the disk."""
        with gevent.Timeout(timeout_s, False):
            while self.mailbox and not self.finished:
                gevent.sleep(0.01)
        self.finished = True
        self.message_arrived.set()
        if self.keeper is not None:
            self.keeper.stop(timeout_s)


def read_entries(store: Store, batch: Batch) -> list[Entry]:
    found = []
    for record in store.records_from_seq(batch.first_seq):
        if record.seq > batch.last_seq:
            break
        if record.kind in ENTRY_KINDS:
            found.append(decode_entry(record.payload))
    return found


def period_entries(store: Store, period: int) -> dict[int, bytes]:
    found: dict[int, bytes] = {}
    for record in store.records_from_seq(1):
        if record.kind in ENTRY_KINDS and (entry := decode_entry(record.payload)).period == period:
            data = encode_entry(entry)
            found[entry_wire_id(data)] = data
    return found


def find(store: Store, id: EntryId) -> tuple[EntryId, list[Entry]]:
    """What the id is of in the end, and that entry with all corrections of it."""
    root = id
    for record in store.records_with_key(id.store_key()):
        if record.kind == CORRECTION_ROOT:
            root = msgspec.msgpack.decode(record.payload, type=EntryId)
    return root, [
        decode_entry(r.payload) for r in store.records_with_key(root.store_key()) if r.kind in ENTRY_KINDS
    ]


__all__ = ["LedgerActor", "LedgerError", "PeriodError"]
