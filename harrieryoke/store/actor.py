"""The store beside the loop: one thread does all that blocks, one greenlet hands it the work."""

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
from .settings import StoreSettings
from .store import Recovery, Store

T = TypeVar("T")
HEAD = 40  # bytes of a record besides its key and payload
RETRY_S = 0.05
SLOW_MS = 1000.0  # a disk that takes longer for one group is told of


class StoreKeeper:
    """`append` never waits: it gives a record its number and says whether there was room. Whoever must know
    waits for `durable`. The store itself is touched by the thread alone."""

    def __init__(
        self,
        told: StoreSettings,
        log: Log,
        visit: Callable[[Record], object] | None = None,
        restore: Callable[[bytes], object] | None = None,
        files: Directory | None = None,
    ) -> None:
        """Opens the folder, here and now: recovery is part of the start. Raises StoreError."""
        self.told, self.log = told, log
        self.store = Store(files or DiskDirectory(told.folder), told, now_ms(), visit, restore)
        # the bound is kept here, where it can be answered at once; the thread's own must never refuse
        self.store.commit.max_pending_bytes = 1 << 62
        self.most = int(told.queue_mb * 2**20)
        self.inbox: deque[tuple[float, int, bytes, bytes]] = deque()
        self.sizes: deque[tuple[int, int]] = deque()  # of what is not durable: number, bytes
        self.held = self.refused = self.groups = 0
        self.next_seq = self.store.commit.next_seq
        self.durable = self.store.commit.durable_seq
        self.failing = ""
        self.moved, self.filled, self.ended = Event(), Event(), Event()
        self.over = False
        self.watch: Callable[[int], object] = lambda durable: None  # hears of what is durable now
        self.ails: Callable[[str], object] = lambda why: None  # and why nothing gets there; "" is well
        self.pool = ThreadPool(1)
        self.tell_recovery(self.store.recovery)

    def tell_recovery(self, r: Recovery) -> None:
        self.log(
            "store-opened",
            f"{r.records} records, the last is {r.last_seq}, snapshot {r.snapshot_seq}",
            records=r.records,
            cut=r.truncated_bytes,
        )
        if r.truncated_bytes:
            words = ", as long as a whole record" if r.tail_is_record_sized else ""
            self.log("store-cut", f"{r.truncated_bytes} bytes of a last write that was not finished{words}")
        for name, fence in r.damaged:
            lost = f"{fence.lost_count()} records" if fence.before else "unknown how many"
            where = f"{name}: bytes {fence.begin} to {fence.end}"
            self.log("store-damaged", f"{where}: {lost} after {fence.after}")
        for name in r.bad_snapshots:
            self.log("store-damaged", f"{name}: the one before it was taken")

    def start(self) -> None:
        spawn(self.log, "store", self.run, self.ended.set)

    def append(self, at: float, kind: int, key: bytes, payload: bytes) -> int | None:
        """The record's number; None at the bound, when it is not taken, and counted."""
        size = HEAD + len(key) + len(payload)
        if self.over or self.held + size > self.most:
            self.refused += 1
            return None
        seq = self.next_seq
        self.next_seq += 1
        self.held += size
        self.sizes.append((seq, size))
        self.inbox.append((at, kind, key, payload))
        self.filled.set()
        return seq

    def room(self, size: int) -> bool:
        """Whether a record of that size would be taken, and some for what must be told besides."""
        return not self.over and self.held + size + 4096 <= self.most

    def wait_durable(self, seq: int, timeout_s: float) -> bool:
        """Whether all up to `seq` outlives a crash, by then at the latest."""
        with gevent.Timeout(timeout_s, False):
            while self.durable < seq:
                self.moved.clear()
                self.moved.wait()
        return self.durable >= seq

    def ask(self, what: Callable[[Store], T]) -> T:
        """Runs it in the thread, between two writes, and waits for what it says."""
        return self.pool.apply(lambda: what(self.store))  # type: ignore[no-any-return]

    def run(self) -> None:
        while True:
            if not self.inbox and not self.unfinished():
                if self.over:
                    break
                self.filled.clear()
                self.filled.wait(None if self.durable + 1 == self.next_seq else self.told.interval_ms / 1000)
            group = list(self.inbox)
            self.inbox.clear()
            began = now_ms()
            durable, failing = self.pool.apply(self.work, (group, self.over))
            self.groups += 1
            self.hear(durable, failing, now_ms() - began)
            if failing:
                if self.over:
                    break
                gevent.sleep(RETRY_S)
        if not self.pool.apply(self.store.close, (now_ms(),)):
            missing = self.next_seq - 1 - self.durable
            self.log("store-failing", f"at the end, {missing} records are not durable")
        self.pool.kill()

    def unfinished(self) -> bool:
        return bool(self.failing) or (self.over and self.durable + 1 < self.next_seq)

    def work(self, group: list[tuple[float, int, bytes, bytes]], closing: bool) -> tuple[int, str]:
        """In the thread: takes the group and brings it as far as the policy says."""
        for record in group:
            self.store.append(*record)
        while self.store.advance(now_ms(), closing):
            pass
        return self.store.commit.durable_seq, self.store.commit.failure

    def hear(self, durable: int, failing: str, took: float) -> None:
        if failing and failing != self.failing:
            self.log("store-failing", f"{failing}: {self.next_seq - 1 - durable} records wait")
        elif self.failing and not failing:
            self.log("store-well", "the disk takes records again")
        elif took > SLOW_MS:
            self.log("store-slow", f"the disk took {took:.0f} ms")
        changed, self.failing = failing != self.failing, failing
        while self.sizes and self.sizes[0][0] <= durable:
            self.held -= self.sizes.popleft()[1]
        if durable > self.durable:
            self.durable = durable
            self.moved.set()
            self.watch(durable)
        if changed:
            self.ails(failing)

    def stop(self, timeout_s: float) -> None:
        """All that was appended is brought to the disk, if it lets it in that time."""
        self.over = True
        self.filled.set()
        self.ended.wait(timeout_s)

    def status(self) -> dict[str, object]:
        return {
            "durable": self.durable,
            "appended": self.next_seq - 1,
            "queue_bytes": self.held,
            "refused": self.refused,
            "groups": self.groups,
            "failing": self.failing,
            "damaged": len(self.store.recovery.damaged),
        }
