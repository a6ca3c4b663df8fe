"""What is durable, what waits, and what to do next.

    append -> waiting -> written -> durable
                 ^          |
                 +-- retake + (a write or a sync failed: the segment is left, all that is not durable is
                               written anew to a fresh one)

A failed sync is never tried again on the same file: what it should have brought to the disk may be gone from
the system's memory, and a second sync may say yes to nothing. Nothing counts as durable before a sync of its
bytes has succeeded. At the bound of what may wait, new records are refused and counted by the caller.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from .segment import Record

POLICIES = ("group", "interval", "none")


class Step(Enum):
    WAIT = "wait"
    WRITE = "write"  # what `take` gives
    SYNC = "sync"
    ROLL = "roll"  # a fresh segment first


@dataclass(slots=True)
class Commit:
    """Sequence numbers and bytes of one writer. Times are milliseconds.

    Policies: `group`: each write is synced before the next; `interval`: at most `interval_ms` after a write;
    `none`: at the end of a segment and at a close."""

    next_seq: int = 1
    policy: str = "group"
    interval_ms: float = 50.0
    most_bytes: int = 8 << 20  # that wait or are not durable
    group_bytes: int = 1 << 20  # of one write
    segment_bytes: int = 64 << 20
    retry_ms: float = 50.0
    retry_most_ms: float = 5000.0
    durable: int = 0
    waiting: deque[Record] = field(default_factory=deque)
    written: deque[Record] = field(default_factory=deque)  # and not yet durable
    held: int = 0  # bytes of both
    in_segment: int = 0
    fresh: bool = True  # a segment must be begun
    since: float | None = None  # when the oldest unsynced write was
    failing: str = ""  # why nothing gets to the disk now
    failures: int = 0
    pause: float = 0.0
    not_before: float = 0.0

    def admit(self, at: int, kind: int, key: bytes, payload: bytes) -> Record | None:
        """The record with its number; None at the bound."""
        record = Record(self.next_seq, at, kind, key, payload)
        if self.held + record.size() > self.most_bytes:
            return None
        self.next_seq += 1
        self.held += record.size()
        self.waiting.append(record)
        return record

    def step(self, now: float, closing: bool = False) -> Step:
        if now < self.not_before and now + self.retry_most_ms >= self.not_before:
            return Step.WAIT
        if (self.waiting and self.fresh) or (self.in_segment >= self.segment_bytes and not self.written):
            return Step.ROLL
        due = self.since is not None and (
            closing
            or self.policy == "group"
            or self.in_segment >= self.segment_bytes
            or (self.policy == "interval" and not 0 <= now - self.since < self.interval_ms)
        )
        if due:
            return Step.SYNC
        return Step.WRITE if self.waiting else Step.WAIT

    def take(self) -> list[Record]:
        """The next write: a group of what waits. It counts as written only after `wrote`."""
        group, size = list[Record](), 0
        for record in self.waiting:
            size += record.size()
            if group and size > self.group_bytes:
                break
            group.append(record)
        return group

    def wrote(self, count: int, size: int, now: float) -> None:
        for _ in range(count):
            self.written.append(self.waiting.popleft())
        self.in_segment += size
        self.since = now if self.since is None else self.since
        self.well()

    def synced(self, upto: int) -> None:
        """All up to `upto` is on the disk."""
        self.durable = max(self.durable, upto)
        while self.written and self.written[0].seq <= upto:
            self.held -= self.written.popleft().size()
        if not self.written:
            self.since = None
        self.well()

    def rolled(self) -> None:
        self.fresh, self.in_segment = False, 0

    def failed(self, why: str, now: float) -> None:
        """A write or a sync failed. What is not durable goes again, to a fresh segment, after a pause."""
        self.waiting.extendleft(reversed(self.written))
        self.written.clear()
        self.since, self.fresh, self.failing = None, True, why
        self.failures += 1
        self.pause = min(self.retry_most_ms, max(self.retry_ms, 2 * self.pause))
        self.not_before = now + self.pause

    def well(self) -> None:
        self.failing, self.pause, self.not_before = "", 0.0, 0.0
