"""Group commit: which records are queued, written or durable, and the writer's next step.

    append -> queued -> unsynced -> durable
                ^          |
                +----------+ a write or fsync failed: the segment is closed and every record that is not
                             durable is rewritten to a new segment

A failed fsync is never retried on the same file: the kernel may have dropped the dirty pages, so a second
fsync can succeed without having written them. A record counts as durable only after an fsync of its bytes has
succeeded. When the records that are not yet durable reach the byte limit, new records are refused, and the
caller counts them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from .segment import Record

SYNC_POLICIES = ("group", "interval", "none")


class WriterStep(Enum):
    """What the writer does next."""

    WAIT = "wait"
    WRITE = "write"  # the records of `next_group`
    SYNC = "sync"
    ROLL_SEGMENT = "roll"  # start a new segment before the next write


@dataclass(slots=True)
class CommitState:
    """Commit state of one writer. Times are milliseconds.

    Sync policies: `group` syncs each write before the next one; `interval` syncs at most `sync_interval_ms`
    after a write; `none` syncs only at the end of a segment and on close.
    """

    next_seq: int = 1
    sync_policy: str = "group"
    sync_interval_ms: float = 50.0
    max_pending_bytes: int = 8 << 20  # of records that are queued or unsynced
    max_group_bytes: int = 1 << 20  # of one write
    max_segment_bytes: int = 64 << 20
    min_retry_ms: float = 50.0
    max_retry_ms: float = 5000.0
    durable_seq: int = 0
    queued: deque[Record] = field(default_factory=deque)
    unsynced: deque[Record] = field(default_factory=deque)  # written but not yet durable
    pending_bytes: int = 0  # bytes of the queued and the unsynced records
    segment_size: int = 0
    needs_new_segment: bool = True  # the next write needs a new segment
    unsynced_since: float | None = None  # time of the oldest unsynced write
    failure: str = ""  # why writes currently fail; empty while they succeed
    failure_count: int = 0
    retry_delay_ms: float = 0.0
    retry_at: float = 0.0

    def admit(self, time_ms: int, kind: int, key: bytes, payload: bytes) -> Record | None:
        """Queues a record under the next sequence number; None if the byte limit is reached."""
        record = Record(self.next_seq, time_ms, kind, key, payload)
        if self.pending_bytes + record.encoded_size() > self.max_pending_bytes:
            return None
        self.next_seq += 1
        self.pending_bytes += record.encoded_size()
        self.queued.append(record)
        return record

    def next_step(self, now: float, closing: bool = False) -> WriterStep:
        if now < self.retry_at and now + self.max_retry_ms >= self.retry_at:
            return WriterStep.WAIT
        if (self.queued and self.needs_new_segment) or (
            self.segment_size >= self.max_segment_bytes and not self.unsynced
        ):
            return WriterStep.ROLL_SEGMENT
        sync_due = self.unsynced_since is not None and (
            closing
            or self.sync_policy == "group"
            or self.segment_size >= self.max_segment_bytes
            or (self.sync_policy == "interval" and not 0 <= now - self.unsynced_since < self.sync_interval_ms)
        )
        if sync_due:
            return WriterStep.SYNC
        return WriterStep.WRITE if self.queued else WriterStep.WAIT

    def next_group(self) -> list[Record]:
        """The queued records for the next write. They leave the queue only with `record_write`."""
        group, size = list[Record](), 0
        for record in self.queued:
            size += record.encoded_size()
            if group and size > self.max_group_bytes:
                break
            group.append(record)
        return group

    def record_write(self, count: int, size: int, now: float) -> None:
        for _ in range(count):
            self.unsynced.append(self.queued.popleft())
        self.segment_size += size
        self.unsynced_since = now if self.unsynced_since is None else self.unsynced_since
        self.clear_failure()

    def record_sync(self, last_seq: int) -> None:
        """Records up to and including `last_seq` are durable."""
        self.durable_seq = max(self.durable_seq, last_seq)
        while self.unsynced and self.unsynced[0].seq <= last_seq:
            self.pending_bytes -= self.unsynced.popleft().encoded_size()
        if not self.unsynced:
            self.unsynced_since = None
        self.clear_failure()

    def record_new_segment(self) -> None:
        self.needs_new_segment, self.segment_size = False, 0

    def record_failure(self, reason: str, now: float) -> None:
        """A write or fsync failed: requeues every record that is not durable, for a new segment after a
        delay."""
        self.queued.extendleft(reversed(self.unsynced))
        self.unsynced.clear()
        self.unsynced_since, self.needs_new_segment, self.failure = None, True, reason
        self.failure_count += 1
        self.retry_delay_ms = min(self.max_retry_ms, max(self.min_retry_ms, 2 * self.retry_delay_ms))
        self.retry_at = now + self.retry_delay_ms

    def clear_failure(self) -> None:
        self.failure, self.retry_delay_ms, self.retry_at = "", 0.0, 0.0
