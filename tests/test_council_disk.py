"""A member's records against a plain model: power cuts, and full, slow and lost disks."""

from __future__ import annotations

import errno
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent.event import Event
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from harrieryoke.council import disk as module
from harrieryoke.council.decide.log import PersistentState, replay_records
from harrieryoke.council.decide.messages import (
    Configuration,
    Entry,
    HardState,
    PendingWrite,
    PersistentRecord,
    ReplicaId,
    Snapshot,
)
from harrieryoke.council.disk import Disk
from harrieryoke.log import Log
from harrieryoke.store import actor
from harrieryoke.store.files import RealFiles
from harrieryoke.store.settings import StoreError, StoreSettings
from harrieryoke.store.store import Store

from .faulty import Crash
from .faulty import Disk as Faulty

ME, OTHER = ReplicaId("a", 1), ReplicaId("b", 2)
TOLD = StoreSettings("x", segment_mb=0.002)


class SilentLog(Log):
    def put(self, now: float, kind: str, text: str, fields: dict[str, object] | None = None) -> None: ...


class Folder(Faulty):
    """After a power cut nothing happens here until `crash`."""

    down = False

    def operation(self) -> str | None:
        try:
            if self.down:
                raise Crash
            return super().operation()
        except Crash:
            self.down = True
            raise

    def crash(self) -> None:
        super().crash()
        self.down = False

    def move_aside(self) -> str:
        raise AssertionError("a disk that lost nothing was put aside")


class Inline:
    """Replaces the store's thread, so that the test controls the order. While closed, it is a slow disk."""

    def __init__(self) -> None:
        self.dead, self.open = False, Event()
        self.open.set()

    def apply(self, what: Callable[..., Any], args: tuple[Any, ...] = ()) -> Any:
        self.open.wait()
        if self.dead:
            raise gevent.GreenletExit
        return what(*args)

    def kill(self) -> None:
        pass


@pytest.fixture(autouse=True)
def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(actor, "RETRY_S", 0)
    monkeypatch.setattr(module, "RETRY_S", 0)
    monkeypatch.setattr(module, "MAX_RETRY_S", 0)
    monkeypatch.setattr(actor, "ThreadPool", lambda size: Inline())


class DiskSession:
    """A member's disk from start to end, and what it reported."""

    def __init__(self, folder: Folder | None, told: StoreSettings = TOLD, name: str = "a") -> None:
        self.disk = Disk(told, name, SilentLog(), folder)
        self.disk.keeper.store.commit.retry_ms = 0.0
        self.pool: Any = self.disk.keeper.pool
        self.written, self.last_sequence, self.failures = 0, 0, list[str]()
        self.disk.on_written, self.disk.on_failed = self.done, self.failures.append
        self.disk.start()

    def done(self, number: int) -> None:
        assert self.written < number <= self.last_sequence, "out of order, or of what was never saved"
        self.written = number

    def save(self, *records: PersistentRecord) -> None:
        self.last_sequence += len(records)
        first = self.last_sequence - len(records) + 1
        self.disk.save([PendingWrite(first + n, record) for n, record in enumerate(records)])

    def settle(self) -> DiskSession:
        """Runs until nothing is reported for a while."""
        before = -1
        while before < self.written:
            before = self.written
            for _ in range(25):
                gevent.sleep(1e-6)  # one turn of the event loop, including its timers
        return self

    def cut(self) -> None:
        self.pool.dead = True
        self.pool.open.set()
        gevent.sleep(0)


def states_match(got: PersistentState, want: PersistentState) -> bool:
    """A snapshot that adds nothing may be missing: the log has its entries."""
    log = module.copy_state(got).log
    if got.snapshot != want.snapshot and not log.install_snapshot(want.snapshot):
        return False
    return (got.term, got.voted_for, log) == (want.term, want.voted_for, want.log)


class DiskMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.folder, self.saved = Folder(seed), list[PersistentRecord]()
        self.life = DiskSession(self.folder)
        self.seat, self.before = self.life.disk.replica, 0  # records of earlier sessions

    def reopen(self) -> None:
        sure = self.before + self.life.written
        while True:
            self.folder.unlock()
            try:
                self.life = DiskSession(self.folder)
                break
            except Crash:
                self.folder.crash()
            except StoreError:
                self.folder.fail.clear()
        got = self.life.disk.recovered
        fits = [
            n for n in range(sure, len(self.saved) + 1) if states_match(got, replay_records(self.saved[:n]))
        ]
        assert fits, f"{got} is nothing that was saved from {sure} of {len(self.saved)} on"
        assert self.life.disk.replica == self.seat and not self.life.disk.loss_reason
        self.before = fits[0]
        del self.saved[self.before :]

    @rule(
        run=st.lists(st.tuples(st.sampled_from("heeeeeci"), st.integers(0, 200)), min_size=1, max_size=8),
        room=st.booleans(),
    )
    def save(self, run: list[tuple[str, int]], room: bool) -> None:
        self.life.disk.keeper.most = 1 << 20 if room else 5000  # of which the store reserves 4096
        for what, size in run:
            now = replay_records(self.saved)
            last, base = now.log.last_index(), now.snapshot.index
            record: PersistentRecord = HardState(now.term + size % 2, OTHER if size % 3 else None)
            if what == "e":
                index = last + 1 if size % 5 or last == base else last  # or replaces the last one
                members = Configuration(frozenset({ME})) if size > 190 else None
                record = Entry(index, now.term + 1, b"e" * size, members)
            elif what == "c" and last > base:
                index = base + 1 + size % (last - base)
                record = Snapshot(index, now.log.term_at(index) or 0, Configuration(), b"c" * size)
            elif what == "i":
                record = Snapshot(
                    last + 1 + size, now.term + 2, Configuration(frozenset({OTHER})), b"i" * size
                )
            self.saved.append(record)
            self.life.save(record)

    @rule()
    def turn(self) -> None:
        self.life.settle()
        if self.folder.down:
            self.power_cut()

    @rule()
    def power_cut(self) -> None:
        self.life.cut()
        self.folder.crash()
        self.reopen()

    @rule()
    def killed(self) -> None:
        self.life.cut()
        self.reopen()

    @rule(at=st.integers(1, 12), how=st.sampled_from(["crash", "short", errno.ENOSPC, errno.EIO]))
    def fault(self, at: int, how: str | int) -> None:
        self.folder.fail[self.folder.operations + at] = how

    @rule(full=st.booleans())
    def room(self, full: bool) -> None:
        self.folder.failing_sync = full

    @rule(slow=st.booleans())
    def speed(self, slow: bool) -> None:
        (self.life.pool.open.clear if slow else self.life.pool.open.set)()

    @precondition(lambda self: not self.folder.failing_sync)
    @rule()
    def well(self) -> None:
        """All queued records must become durable."""
        self.folder.fail.clear()
        self.speed(False)
        self.turn()
        assert self.life.written == self.life.last_sequence and self.before + self.life.written == len(
            self.saved
        )
        assert not self.life.disk.queued and not self.life.disk.pending_snapshot

    @precondition(lambda self: not self.folder.down)
    @rule()
    def ended(self) -> None:
        self.speed(False)
        self.life.disk.stop(0.01)
        self.life.cut()
        self.folder.down = False
        self.reopen()

    @invariant()
    def failing_is_told(self) -> None:
        if self.life.disk.keeper.failing:
            assert self.life.failures[-1] == self.life.disk.keeper.failing

    def teardown(self) -> None:
        if hasattr(self, "life"):
            self.folder.failing_sync = False
            self.well()
            self.power_cut()


TestWorld = DiskMachine.TestCase
TestWorld.settings = settings(max_examples=50, stateful_step_count=30, deadline=None, derandomize=True)


def entries(first: int, count: int, size: int = 60) -> list[Entry]:
    return [Entry(n, 1, b"%d" % n * size) for n in range(first, first + count)]


def real_disk(path: Path, name: str = "a") -> DiskSession:
    return DiskSession(None, StoreSettings(str(path), segment_mb=0.01), name)


def write_folder(path: Path) -> ReplicaId:
    """Writes a folder with 300 entries and a snapshot of the first 200."""
    life = real_disk(path)
    life.save(HardState(1, ME), *entries(1, 200))
    life.settle().save(Snapshot(200, 1, Configuration(), b"state"), *entries(201, 100))
    life.settle().disk.stop(1.0)
    assert life.written == 302
    return life.disk.replica


def test_a_full_disk_tells_why_keeps_the_order_and_loses_nothing() -> None:
    folder = Folder(1)
    life = DiskSession(folder)
    life.save(*entries(1, 3))
    folder.fail[folder.operations + 4] = errno.EIO  # the sync: everything goes to a new segment
    life.settle()
    assert life.failures == ["[Errno 5] EIO"] and life.written == 3
    folder.failing_sync = True
    life.save(*entries(4, 50), Snapshot(99, 2, Configuration(), b"news"), *entries(100, 5))
    life.settle()
    assert life.written == 3 and "ENOSPC" in life.failures[-1]
    folder.failing_sync = False
    life.settle()
    assert life.written == life.last_sequence == 59
    life.cut()
    folder.crash()
    again = DiskSession(folder).disk
    assert again.recovered.snapshot.index == 99 and again.recovered.log.entries == entries(100, 5)


def test_a_disk_that_fills_up_within_a_run_tells_only_of_the_part_that_is_there() -> None:
    folder = Folder(1)
    life = DiskSession(folder)
    life.save(*entries(1, 60))
    folder.full_from = folder.operations + 9
    life.settle()
    assert 0 < life.written == life.disk.keeper.durable < 60 and life.failures
    folder.full_from = None
    assert life.written <= DiskSession(after_cut(life, folder)).disk.recovered.log.last_index() < 60


def test_a_snapshot_that_fails_midway_leaves_the_one_before_and_the_records() -> None:
    folder = Folder(1)
    life = DiskSession(folder)
    asked, tries = life.disk.keeper.ask, [True, True, True, False]

    def ask(what: Callable[[Store], None]) -> None:
        folder.failing_sync = tries.pop(0) if tries else True
        try:
            asked(what)
        finally:
            folder.failing_sync = False
            assert not [name for name in folder.names() if name.endswith(".new")]

    life.disk.keeper.ask = ask  # type: ignore[method-assign, assignment]
    life.save(*entries(1, 9), Snapshot(5, 1, Configuration(), b"state"), *entries(10, 1))
    life.settle()
    assert life.written == 11 and not life.failures and not tries and not life.disk.pending_snapshot
    life.save(Snapshot(6, 1, Configuration(), b"state"), *entries(11, 1))
    life.settle()
    assert life.written == 13 and not life.failures and "ENOSPC" in life.disk.snapshot_error
    life.save(Snapshot(20, 1, Configuration(), b"news"), *entries(21, 1))
    life.settle()
    assert life.written == 13 and "ENOSPC" in life.failures[0]
    again = DiskSession(after_cut(life, folder)).disk.recovered
    assert again.snapshot.index == 5 and again.log.last_index() == 11


def test_what_follows_news_is_not_done_when_an_older_snapshot_is_written() -> None:
    folder = Folder(1)
    life = DiskSession(folder)
    asked, gate, heard = life.disk.keeper.ask, Event(), list[tuple[int, int]]()

    def ask(what: Callable[[Store], None]) -> None:
        gate.wait()
        asked(what)

    life.disk.keeper.ask = ask  # type: ignore[method-assign, assignment]
    life.save(*entries(1, 3), Snapshot(2, 1, Configuration(), b"old"))
    life.settle()
    life.save(Snapshot(9, 2, Configuration(), b"news"), *entries(10, 1))
    life.settle()
    assert life.written == 4
    life.disk.on_written = lambda number: heard.append((number, max(life.disk.keeper.store.snapshots)))
    gate.set()
    for _ in range(50):
        gevent.sleep(0)
    assert heard == [(5, 5), (6, 5)]  # the store's sequence numbers are the same here


def after_cut(life: DiskSession, folder: Folder) -> Folder:
    life.cut()
    folder.crash()
    return folder


def test_a_power_cut_in_the_midst_of_a_write_never_makes_a_lost_disk() -> None:
    """Later blocks of the write may be on the disk while earlier ones are missing."""
    holes = 0
    for seed in range(150):
        folder = Folder(seed)
        life = DiskSession(folder)
        life.save(HardState(1, ME), *entries(1, 3))
        life.settle()
        folder.fail[folder.operations + 2] = "crash"
        life.save(*entries(4, 10))
        life.settle()
        again = DiskSession(after_cut(life, folder))
        assert (
            again.disk.replica == life.disk.replica
            and again.disk.recovered.log.last_index() >= 3 == life.written - 1
        )
        last = again.disk.recovered.log.last_index()
        holes += again.disk.log.totals.get("store-cut", 0)
        again.save(*entries(last + 1, 2))
        again.settle()
        assert DiskSession(after_cut(again, folder)).disk.recovered.log.last_index() == last + 2
    assert holes > 50


@pytest.mark.parametrize("how", ["flip", "snapshot", "no snapshot", "no segment"])
def test_damage_in_what_was_durable_is_a_lost_disk_put_aside(tmp_path: Path, how: str) -> None:
    path = tmp_path / "data"
    seat = write_folder(path)
    segments, snapshots = sorted(path.glob("*.log")), sorted(path.glob("*.snap"))
    if how == "no segment":
        segments[-2].unlink()
    elif how == "no snapshot":
        for snapshot in snapshots:
            snapshot.unlink()
    else:
        file = snapshots[-1] if how == "snapshot" else segments[-2]
        data = bytearray(file.read_bytes())
        data[len(data) // 2] ^= 1
        file.write_bytes(data)
    there = {file.name: file.read_bytes() for file in path.iterdir()}
    again = real_disk(path)
    assert again.disk.loss_reason and not again.disk.is_new and again.disk.recovered == PersistentState()
    assert again.disk.replica.name == "a" and again.disk.replica != seat
    (aside,) = tmp_path.glob("data.lost-*")
    assert {file.name: file.read_bytes() for file in aside.iterdir()} == there
    again.save(HardState(7, None))
    again.settle().disk.stop(1.0)
    third = real_disk(path).disk
    assert (third.replica, third.recovered.term, third.loss_reason) == (again.disk.replica, 7, "")


def test_a_bad_snapshot_is_a_lost_disk_though_all_records_are_there(tmp_path: Path) -> None:
    """The snapshot may have held more than the records."""
    life = real_disk(tmp_path / "data")
    life.save(*entries(1, 3), Snapshot(50, 2, Configuration(), b"news"))
    life.settle().disk.stop(1.0)
    max(tmp_path.glob("data/*.snap")).write_bytes(b"damaged")
    assert "cannot be read" in real_disk(tmp_path / "data").disk.loss_reason


def test_whose_the_folder_is(tmp_path: Path) -> None:
    seat = write_folder(tmp_path / "a")
    with pytest.raises(StoreError, match="belongs to 'a', not 'b'"):
        real_disk(tmp_path / "a", "b")
    life = real_disk(tmp_path / "a")
    assert (
        life.disk.replica == seat and life.disk.recovered.snapshot.data == b"state" and not life.disk.is_new
    )
    assert life.disk.recovered.log.last_index() == 300 and life.disk.recovered.voted_for == ME
    with pytest.raises(StoreError, match="another process"):
        real_disk(tmp_path / "a")
    ledger = Store(RealFiles(str(tmp_path / "ledger")), TOLD, 0.0)
    ledger.append(0.0, 1, b"", b"x")
    ledger.close(0.0)
    with pytest.raises(StoreError, match="record 1 of kind 1"):
        real_disk(tmp_path / "ledger")
    for key, value in (("sync", "none"), ("queue_mb", 1.0)):
        with pytest.raises(StoreError, match=f"store.{key}"):
            Disk(StoreSettings(str(tmp_path / "new"), **{key: value}), "a", SilentLog())  # type: ignore[arg-type]


def test_founding_wants_an_empty_folder(tmp_path: Path) -> None:
    told = StoreSettings(str(tmp_path / "new"))
    seat = Disk.bootstrap(told, "a", 500)
    assert real_disk(tmp_path / "new").disk.replica == seat
    for folder in (tmp_path / "new", tmp_path):
        with pytest.raises(StoreError, match="holds 1 files, such as .*; a council needs an empty folder"):
            Disk.bootstrap(StoreSettings(str(folder)), "a", 0)


def test_snapshots_bound_what_is_on_the_disk(tmp_path: Path) -> None:
    life, most = real_disk(tmp_path), 0
    for n in range(1, 4001, 100):
        life.save(*entries(n, 100), Snapshot(n + 99, 1, Configuration(), b"state" * 100))
        life.settle()
        most = max(most, sum(file.stat().st_size for file in tmp_path.iterdir()))
    assert life.written == 4040 and most < 150_000


def test_a_snapshot_that_cannot_be_read_lets_no_segment_go(tmp_path: Path) -> None:
    store = Store(RealFiles(str(tmp_path)), TOLD, 0.0)
    for _ in range(100):
        store.append(0.0, 1, b"", b"x" * 100)
    store.flush(0.0)
    store.take_snapshot(50, b"one ", b"state")
    store.take_snapshot(100, b"another")
    store.close(0.0)
    (tmp_path / "snapshot-00000000000000000100.snap").write_bytes(b"damaged")
    again = Store(RealFiles(str(tmp_path)), TOLD, 0.0)
    assert again.snapshot == (50, b"one state")
    again.compact(1000)
    again.close(0.0)
    assert not Store(RealFiles(str(tmp_path)), TOLD, 0.0).recovery.damaged
