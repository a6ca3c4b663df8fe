"""State of the export: numbered batches that reach the collector exactly once.

A batch is a run of consecutive entries of one epoch. Once created it never changes, so a resend carries the
same content under the same number. The collector stores batches by (instance, epoch, number) and stores each
once; a lost answer costs a resend, which the collector recognizes. A batch is discarded here only after the
collector acknowledged it with the right digest, and it is kept for some time longer: a collector that was
restored from an older copy gets the batches that it lost again.

    create -> waiting -> in flight -> acknowledged (kept while there is room)
                 ^           +------> set aside (refused permanently: reported, and never blocks the rest)
                 +-----------+ the connection ended, or no answer came in time
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class BatchId(NamedTuple):
    epoch: int
    number: int


SavedBatch = tuple[int, int, int, int, int, int, str, str, str]  # a batch in a snapshot


class BatchState(Enum):
    """Where a batch is in its life cycle."""

    WAITING = "waiting"
    IN_FLIGHT = "out"
    ACKNOWLEDGED = "done"
    SET_ASIDE = "aside"


@dataclass(slots=True)
class Batch:
    """A run of entries, by their numbers in the epoch and their sequence numbers in the store."""

    id: BatchId
    first_entry: int
    last_entry: int
    first_seq: int  # sequence number in the store of the first entry
    last_seq: int  # and of the last entry
    digest: str
    state: BatchState = BatchState.WAITING
    attempts: int = 0
    sent_at: float = 0.0
    reason: str = ""
    other_at_collector: bool = False  # the collector has other entries under this number, and keeps them


@dataclass(slots=True)
class EpochExport:
    """The batches of one epoch. All up to `done_up_to` are acknowledged or set aside."""

    last_batch: int = 0  # number of the newest batch
    done_up_to: int = 0
    last_entry: int = 0  # number of the last entry that is in a batch
    discarded_up_to: int = 0  # batches up to here are no longer kept


@dataclass(slots=True)
class ExportState:
    """State of the export. Times are milliseconds. At most `max_in_flight` batches await an answer."""

    max_in_flight: int = 4
    answer_timeout_ms: float = 5000.0
    max_kept_batches: int = 256  # acknowledged batches kept for a collector that is restored
    max_set_aside: int = 1000
    epochs: dict[int, EpochExport] = field(default_factory=dict)
    batches: dict[BatchId, Batch] = field(default_factory=dict)
    waiting: deque[BatchId] = field(default_factory=deque)
    in_flight: dict[BatchId, Batch] = field(default_factory=dict)
    kept_batches: deque[BatchId] = field(default_factory=deque)  # acknowledged batches, oldest first
    set_aside_batches: dict[BatchId, Batch] = field(default_factory=dict)
    # (epoch, first, last) batches that the collector lost and that are no longer kept here
    lost_batches: list[tuple[int, int, int]] = field(default_factory=list)
    # (epoch, first, last) entries that are in no batch
    missing_entries: list[tuple[int, int, int]] = field(default_factory=list)
    resent_count: int = 0
    duplicate_answers: int = 0  # answers for batches that are not in flight
    digest_mismatches: int = 0  # answers with another digest

    def create_batch(
        self, epoch: int, first_entry: int, last_entry: int, first_seq: int, last_seq: int, digest: str
    ) -> Batch:
        """Creates the next batch. The creation must be durable before the batch is sent."""
        epoch_export = self.epochs.setdefault(epoch, EpochExport())
        if first_entry <= epoch_export.last_entry:
            raise ValueError(
                f"entry {first_entry} is already in a batch: batches end at {epoch_export.last_entry}"
            )
        # Missing entries are damaged or were removed for want of room; the collector sees the gap in numbers.
        if first_entry > epoch_export.last_entry + 1:
            self.missing_entries.append((epoch, epoch_export.last_entry + 1, first_entry - 1))
        epoch_export.last_batch, epoch_export.last_entry = epoch_export.last_batch + 1, last_entry
        batch = Batch(
            BatchId(epoch, epoch_export.last_batch), first_entry, last_entry, first_seq, last_seq, digest
        )
        self.batches[batch.id] = batch
        self.waiting.append(batch.id)
        return batch

    def next_to_send(self, now: float) -> Batch | None:
        """Takes the next batch to send and marks it as in flight; None if nothing may be sent now."""
        if len(self.in_flight) >= self.max_in_flight or not self.waiting:
            return None
        batch = self.batches[self.waiting.popleft()]
        batch.state, batch.sent_at = BatchState.IN_FLIGHT, now
        batch.attempts += 1
        self.resent_count += batch.attempts > 1
        self.in_flight[batch.id] = batch
        return batch

    def answer_overdue(self, now: float) -> bool:
        """Whether an answer is overdue: the connection is then closed."""
        return any(now - batch.sent_at > self.answer_timeout_ms for batch in self.in_flight.values())

    def connection_lost(self) -> None:
        """Requeues the batches in flight, in order, ahead of the rest."""
        for batch in self.in_flight.values():
            batch.state = BatchState.WAITING
        self.waiting.extendleft(sorted(self.in_flight, reverse=True))
        self.in_flight.clear()

    def resume(self, held: dict[int, int]) -> None:
        """Resumes on a new connection. `held` is, by epoch, the number up to which the collector has all
        batches. Those are acknowledged; batches that were acknowledged before and that the collector no
        longer has are sent again if they are still kept."""
        for epoch, epoch_export in self.epochs.items():
            held_up_to = held.get(epoch, 0)
            for number in range(
                epoch_export.discarded_up_to + 1, min(held_up_to, epoch_export.last_batch) + 1
            ):
                batch = self.batches.get(BatchId(epoch, number))
                if batch is not None and batch.state is not BatchState.SET_ASIDE:
                    self.mark_acknowledged(batch)
            lost = range(held_up_to + 1, min(epoch_export.discarded_up_to, epoch_export.done_up_to) + 1)
            if lost and (epoch, lost[0], lost[-1]) not in self.lost_batches:
                self.lost_batches.append((epoch, lost[0], lost[-1]))
            candidates = (
                self.batches.get(BatchId(epoch, number))
                for number in range(
                    epoch_export.last_batch, max(held_up_to, epoch_export.discarded_up_to), -1
                )
            )
            for batch in [
                candidate
                for candidate in candidates
                if candidate is not None and candidate.state is BatchState.ACKNOWLEDGED
            ]:
                batch.state = BatchState.WAITING
                self.waiting.appendleft(batch.id)
                self.kept_batches.remove(batch.id)
            epoch_export.done_up_to = max(
                min(held_up_to, epoch_export.done_up_to), epoch_export.discarded_up_to
            )
            self.advance_done(epoch)

    def mark_acknowledged(self, batch: Batch) -> None:
        """Acknowledges a batch that the collector is known to have by other means than an answer to it."""
        if batch.state is not BatchState.ACKNOWLEDGED:
            self.finish_batch(batch, BatchState.ACKNOWLEDGED)

    def record_acknowledgement(self, batch_id: BatchId, digest: str) -> bool:
        """Whether the answer counts: not for a batch that is not in flight, nor with another digest."""
        batch = self.batches.get(batch_id)
        if batch is None or batch.state is not BatchState.IN_FLIGHT:
            self.duplicate_answers += 1
            return False
        if batch.digest != digest:
            batch.other_at_collector = True
            self.digest_mismatches += 1
            self.set_aside(batch_id, f"the collector has another digest: {digest}")
            return False
        self.finish_batch(batch, BatchState.ACKNOWLEDGED)
        return True

    def record_refusal(self, batch_id: BatchId, reason: str, permanent: bool) -> None:
        batch = self.batches.get(batch_id)
        if batch is None or batch.state is not BatchState.IN_FLIGHT:
            return
        if permanent:
            self.set_aside(batch_id, reason)
            return
        del self.in_flight[batch_id]
        batch.state, batch.reason = BatchState.WAITING, reason
        self.waiting.append(batch_id)

    def set_aside(self, batch_id: BatchId, reason: str) -> None:
        batch = self.batches[batch_id]
        batch.reason = reason
        self.finish_batch(batch, BatchState.SET_ASIDE)

    def retry_set_aside(self, batch_id: BatchId) -> bool:
        """An operator's request to retry a batch that was set aside."""
        batch = self.set_aside_batches.pop(batch_id, None)
        if batch is None:
            return False
        batch.state, batch.attempts, batch.other_at_collector = BatchState.WAITING, 0, False
        self.waiting.append(batch_id)
        return True

    def finish_batch(self, batch: Batch, state: BatchState) -> None:
        self.in_flight.pop(batch.id, None)
        if batch.id in self.waiting:
            self.waiting.remove(batch.id)
        batch.state = state
        if state is BatchState.SET_ASIDE:
            self.set_aside_batches[batch.id] = batch
        else:
            self.kept_batches.append(batch.id)
        self.advance_done(batch.id.epoch)
        while (
            len(self.kept_batches) > self.max_kept_batches
            and self.epochs[self.kept_batches[0].epoch].done_up_to >= self.kept_batches[0].number
        ):
            discarded = self.kept_batches.popleft()
            del self.batches[discarded]
            self.epochs[discarded.epoch].discarded_up_to = max(
                self.epochs[discarded.epoch].discarded_up_to, discarded.number
            )

    def advance_done(self, epoch: int) -> None:
        epoch_export = self.epochs[epoch]
        while epoch_export.done_up_to < epoch_export.last_batch:
            batch = self.batches.get(BatchId(epoch, epoch_export.done_up_to + 1))
            if batch is not None and batch.state not in (BatchState.ACKNOWLEDGED, BatchState.SET_ASIDE):
                return
            epoch_export.done_up_to += 1

    def first_needed_seq(self) -> int | None:
        """The first sequence number of the store that is still needed; None if none is."""
        return min((batch.first_seq for batch in self.batches.values()), default=None)

    def unsent_entries(self) -> int:
        """Entries in batches that the collector has not acknowledged."""
        return sum(
            batch.last_entry - batch.first_entry + 1
            for batch in self.batches.values()
            if batch.state is not BatchState.ACKNOWLEDGED
        )

    def dump(self) -> tuple[list[list[int]], list[SavedBatch]]:
        """For a snapshot. Batches in flight are waiting again after a restart."""
        return (
            [
                [
                    epoch,
                    epoch_export.last_batch,
                    epoch_export.done_up_to,
                    epoch_export.last_entry,
                    epoch_export.discarded_up_to,
                ]
                for epoch, epoch_export in self.epochs.items()
            ],
            [
                (
                    *batch.id,
                    batch.first_entry,
                    batch.last_entry,
                    batch.first_seq,
                    batch.last_seq,
                    batch.digest,
                    batch.state.value,
                    batch.reason,
                )
                for batch in sorted(self.batches.values(), key=lambda batch: batch.id)
            ],
        )

    def load(self, dumped: tuple[list[list[int]], list[SavedBatch]]) -> None:
        for epoch, *numbers in dumped[0]:
            self.epochs[epoch] = EpochExport(*numbers)
        for epoch, number, first_entry, last_entry, first_seq, last_seq, digest, state, reason in dumped[1]:
            batch_id = BatchId(epoch, number)
            batch = Batch(
                batch_id,
                first_entry,
                last_entry,
                first_seq,
                last_seq,
                digest,
                BatchState(state),
                reason=reason,
            )
            self.batches[batch_id] = batch
            if batch.state in (BatchState.IN_FLIGHT, BatchState.WAITING):
                batch.state = BatchState.WAITING
                self.waiting.append(batch_id)
            elif batch.state is BatchState.ACKNOWLEDGED:
                self.kept_batches.append(batch_id)
            else:
                self.set_aside_batches[batch_id] = batch
