"""Changes that operators make to the ledger. Each is confirmed only once its records are durable."""

from __future__ import annotations

import msgspec
from gevent.lock import BoundedSemaphore

from ..store.store import Store
from .actor import LedgerActor
from .decide.book import BookError
from .decide.entry import Amounts, Entry, EntryId, decode_entry
from .decide.export import BatchId
from .decide.ledger import CORRECTION_ROOT, ENTRY_KINDS

CONFIRM_TIMEOUT_S = 2.0  # a correction waits twice, and the command line for 10 s


class NotDurableError(Exception):
    """The disk did not confirm in time; the message says whether the change was made."""


class OperatorChanges:
    """Runs in the greenlets of the operators' requests; everything is written by the ledger's actor."""

    def __init__(self, ledger: LedgerActor) -> None:
        self.ledger = ledger
        self.correcting = BoundedSemaphore()  # from the reading of earlier corrections to the next one's end

    def close_period(self, number: int) -> str:
        """Seals a period that is over and returns its digest. Raises PeriodError or NotDurableError."""
        digest, seq = self.ledger.run_in_actor(
            lambda: (self.ledger.seal_period(number), self.ledger.last_seq())
        )
        self.confirm(seq, f"period {number} is sealed, but the seal is not durable yet")
        return digest

    def correct(self, entry_id: EntryId, corrected: Amounts, reason: str) -> Entry:
        """Adds the entry that brings a call to other amounts, after corrections that were asked for before.
        Raises BookError if the old one is not stored or can't be corrected, and NotDurableError."""
        if not self.correcting.acquire(timeout=CONFIRM_TIMEOUT_S):
            raise NotDurableError(f"{entry_id} was not corrected: an earlier correction has not ended yet")
        try:
            return self.add_correction(entry_id, corrected, reason)
        finally:
            self.correcting.release()

    def add_correction(self, entry_id: EntryId, corrected: Amounts, reason: str) -> Entry:
        """Reads what the entry has come to, and adds the difference."""
        store_writer = self.ledger.store_writer
        if store_writer is None:
            raise BookError("corrections need a [store]")
        # earlier corrections are read from the store, which finds what was written to it
        self.confirm(self.ledger.run_in_actor(self.ledger.last_seq), f"{entry_id} was not corrected")
        root, entries = store_writer.run_in_thread(lambda store: find_with_corrections(store, entry_id))
        old = next((candidate for candidate in entries if candidate.id == entry_id), None)
        if old is None:
            missing = "can't be read any more" if entries else "is not in the store"
            raise BookError(f"{entry_id} {missing}")
        earlier = sum((candidate.amounts for candidate in entries), Amounts())
        if corrected == earlier:
            by = f" by {entries[-1].id}" if len(entries) > 1 else ""
            raise BookError(f"{entry_id} already has these amounts{by}")

        def write() -> tuple[Entry, int]:
            entry = self.ledger.add_correction(old, earlier, corrected, reason, root)
            return entry, self.ledger.last_seq()

        correction, seq = self.ledger.run_in_actor(write)
        self.confirm(seq, f"{correction.id} corrects {entry_id}, but is not durable yet")
        return correction

    def retry_batch(self, batch_id: BatchId) -> bool:
        """Queues a batch that was set aside; False if there is none. Only its end is recorded, so a restart
        finds it set aside again."""
        found = self.ledger.run_in_actor(lambda: self.ledger.ledger.export.retry_set_aside(batch_id))
        self.ledger.on_export_work()
        return found

    def confirm(self, seq: int, state: str) -> None:
        """Waits until all records up to `seq` are durable. Raises NotDurableError that begins with
        `state`."""
        if not self.ledger.make_durable(seq, CONFIRM_TIMEOUT_S):
            raise NotDurableError(f"{state}: the disk has not confirmed it within {CONFIRM_TIMEOUT_S:g} s")


def find_with_corrections(store: Store, entry_id: EntryId) -> tuple[EntryId, list[Entry]]:
    """The root of an entry id, and the root entry with all its corrections."""
    root = entry_id
    for record in store.records_with_key(entry_id.store_key()):
        if record.kind == CORRECTION_ROOT:
            root = msgspec.msgpack.decode(record.payload, type=EntryId)
    return root, [
        decode_entry(record.payload)
        for record in store.records_with_key(root.store_key())
        if record.kind in ENTRY_KINDS
    ]
