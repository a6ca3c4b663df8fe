"""Runs the store in one thread next to the event loop, fed by one greenlet."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TypeVar

import gevent
from gevent.event import Event
from gevent.threadpool import ThreadPool

from ..core.actor import spawn
from ..core.clock import now_ms
from ..log import Log
from .decide.segment import Record
from .files import Directory, DiskDirectory
from .settings import StoreError, StoreSettings
from .store import Recovery, Store

T = TypeVar("T")
RECORD_OVERHEAD_BYTES = 40  # bytes of a record in addition to its key and payload
RETRY_S = 0.05
SLOW_WRITE_MS = 1000.0  # a group that takes longer is logged


class StoreWriter:
    """Appends records without blocking: `append` assigns the sequence number and tells whether there was
    room; callers that need durability use `wait_durable` or `make_durable`. Only the thread touches the
    store."""

    def __init__(
        self,
        settings: StoreSettings,
        log: Log,
        visit: Callable[[Record], object] | None = None,
        restore: Callable[[bytes], object] | None = None,
        directory: Directory | None = None,
    ) -> None:
        """Opens the store and recovers it, synchronously. Raises StoreError."""
        self.settings, self.log = settings, log
        self.store = Store(directory or create_folder(settings), settings, now_ms(), visit, restore)
        # The limit is enforced here, so that a refusal is immediate; the store's thread must never refuse.
        self.store.commit.max_pending_bytes = 1 << 62
        self.max_pending_bytes = int(settings.queue_mb * 2**20)
        self.queue: deque[tuple[float, int, bytes, bytes]] = deque()
        # (sequence number, bytes) of records that are not yet durable
        self.pending_sizes: deque[tuple[int, int]] = deque()
        self.pending_bytes = self.refused_count = self.group_count = 0
        self.next_seq = self.store.commit.next_seq
        self.durable_seq = self.store.commit.durable_seq
        self.flush_up_to_seq = 0  # to be synced now, whatever the sync policy
        self.failure = ""
        self.durable_advanced, self.work_available, self.ended = Event(), Event(), Event()
        self.stopping = False
        # called when more records are durable
        self.on_durable: Callable[[int], object] = lambda durable_seq: None
        # called with the reason when writes fail, with "" when they succeed again
        self.on_failure_change: Callable[[str], object] = lambda reason: None
        self.thread_pool = ThreadPool(1)
        self.log_recovery(self.store.recovery)

    def log_recovery(self, recovery: Recovery) -> None:
        self.log(
            "store-opened",
            f"{recovery.records} records, last {recovery.last_seq}, snapshot {recovery.snapshot_seq}",
            records=recovery.records,
            cut=recovery.truncated_bytes,
        )
        if recovery.truncated_bytes:
            note = ", which is as long as a record" if recovery.tail_is_record_sized else ""
            self.log("store-cut", f"removed a torn tail of {recovery.truncated_bytes} bytes{note}")
        for name, damage in recovery.damaged:
            loss = f"{damage.lost_count()} records" if damage.before else "an unknown number of records"
            where = f"{name}: bytes {damage.begin} to {damage.end}"
            self.log("store-damaged", f"{where} are unreadable: {loss} lost after {damage.after}")
        for name in recovery.bad_snapshots:
            self.log("store-damaged", f"{name} is unreadable: using the previous snapshot")

    def start(self) -> None:
        spawn(self.log, "store", self.run, self.ended.set)

    def append(self, time_ms: float, kind: int, key: bytes, payload: bytes) -> int | None:
        """Returns the sequence number of the record; None, counted, if the queue is full or the writer is
        stopping."""
        size = RECORD_OVERHEAD_BYTES + len(key) + len(payload)
        if self.stopping or self.pending_bytes + size > self.max_pending_bytes:
            self.refused_count += 1
            return None
        seq = self.next_seq
        self.next_seq += 1
        self.pending_bytes += size
        self.pending_sizes.append((seq, size))
        self.queue.append((time_ms, kind, key, payload))
        self.work_available.set()
        return seq

    def has_room(self, size: int) -> bool:
        """Whether a record of this size fits, with a reserve for the small records that accompany it."""
        return not self.stopping and self.pending_bytes + size + 4096 <= self.max_pending_bytes

    def wait_durable(self, seq: int, timeout_s: float) -> bool:
        """Waits until all records up to `seq` are durable; False on timeout."""
        with gevent.Timeout(timeout_s, False):
            while self.durable_seq < seq:
                self.durable_advanced.clear()
                self.durable_advanced.wait()
        return self.durable_seq >= seq

    def make_durable(self, seq: int, timeout_s: float) -> bool:
        """Syncs all records up to `seq`, whatever the sync policy, and waits for it; False on timeout."""
        self.flush_up_to_seq = max(self.flush_up_to_seq, seq)
        self.work_available.set()
        return self.wait_durable(seq, timeout_s)

    def run_in_thread(self, function: Callable[[Store], T]) -> T:
        """Runs `function` in the store's thread, between two writes, and returns its result."""
        return self.thread_pool.apply(lambda: function(self.store))  # type: ignore[no-any-return]

    def run(self) -> None:
        while True:
            if not self.queue and not self.has_unfinished_work():
                if self.stopping:
                    break
                self.work_available.clear()
                self.work_available.wait(
                    None if self.durable_seq + 1 == self.next_seq else self.settings.interval_ms / 1000
                )
            group = list(self.queue)
            self.queue.clear()
            started_at = now_ms()
            durable_seq, failure = self.thread_pool.apply(
                self.process_group, (group, self.stopping or self.flush_wanted())
            )
            self.group_count += 1
            self.handle_progress(durable_seq, failure, now_ms() - started_at)
            if failure:
                if self.stopping:
                    break
                gevent.sleep(RETRY_S)
        if not self.thread_pool.apply(self.store.close, (now_ms(),)):
            missing = self.next_seq - 1 - self.durable_seq
            self.log("store-failing", f"on shutdown, {missing} records are not durable")
        self.thread_pool.kill()

    def has_unfinished_work(self) -> bool:
        return (
            bool(self.failure)
            or self.flush_wanted()
            or (self.stopping and self.durable_seq + 1 < self.next_seq)
        )

    def flush_wanted(self) -> bool:
        return self.durable_seq < self.flush_up_to_seq

    def process_group(self, group: list[tuple[float, int, bytes, bytes]], closing: bool) -> tuple[int, str]:
        """Runs in the thread: appends the group and advances as far as the sync policy requires."""
        for record in group:
            self.store.append(*record)
        while self.store.advance(now_ms(), closing):
            pass
        return self.store.commit.durable_seq, self.store.commit.failure

    def handle_progress(self, durable_seq: int, failure: str, elapsed_ms: float) -> None:
        if failure and failure != self.failure:
            self.log("store-failing", f"{failure}: {self.next_seq - 1 - durable_seq} records are waiting")
        elif self.failure and not failure:
            self.log("store-well", "the disk accepts records again")
        elif elapsed_ms > SLOW_WRITE_MS:
            self.log("store-slow", f"writing a group took {elapsed_ms:.0f} ms")
        changed, self.failure = failure != self.failure, failure
        while self.pending_sizes and self.pending_sizes[0][0] <= durable_seq:
            self.pending_bytes -= self.pending_sizes.popleft()[1]
        if durable_seq > self.durable_seq:
            self.durable_seq = durable_seq
            self.durable_advanced.set()
            self.on_durable(durable_seq)
        if changed:
            self.on_failure_change(failure)

    def stop(self, timeout_s: float) -> None:
        """Flushes all appended records to disk, for at most that time."""
        self.stopping = True
        self.work_available.set()
        self.ended.wait(timeout_s)

    def status(self) -> dict[str, object]:
        return {
            "durable": self.durable_seq,
            "appended": self.next_seq - 1,
            "queue_bytes": self.pending_bytes,
            "refused": self.refused_count,
            "groups": self.group_count,
            "failing": self.failure,
            "damaged": len(self.store.recovery.damaged),
        }


def create_folder(settings: StoreSettings) -> Directory:
    """The store's folder, created if it is missing. Raises StoreError."""
    try:
        return DiskDirectory(settings.folder)
    except OSError as error:
        raise StoreError(f"store.folder: {error}") from None
