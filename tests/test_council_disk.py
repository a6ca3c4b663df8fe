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
from harrieryoke.store.files import DiskDirectory
from harrieryoke.store.settings import StoreError, StoreSettings
from harrieryoke.store.store import Store

from .faulty import Crash
from .faulty import Disk as Faulty

ME, OTHER = ReplicaId("a", 1), ReplicaId("b", 2)
SETTINGS = StoreSettings("x", segment_mb=0.002)


class SilentLog(Log):
    def write_line(
        self, now: float, kind: str, text: str, fields: dict[str, object] | None = None
    ) -> None: ...


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
        raise AssertionError("a disk that lost nothing was moved aside")


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
def no_retry_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(actor, "RETRY_S", 0)
    monkeypatch.setattr(module, "RETRY_S", 0)
    monkeypatch.setattr(module, "MAX_RETRY_S", 0)
    monkeypatch.setattr(actor, "ThreadPool", lambda size: Inline())


class DiskSession:
    """A member's disk from start to end, and what it reported."""

    def __init__(
        self, folder: Folder | None, store_settings: StoreSettings = SETTINGS, name: str = "a"
    ) -> None:
        self.disk = Disk(store_settings, name, SilentLog(), folder)
        self.disk.keeper.store.commit.min_retry_ms = 0.0
        self.pool: Any = self.disk.keeper.thread_pool
        self.written, self.last_sequence, self.failures = 0, 0, list[str]()
        self.disk.on_written, self.disk.on_failed = self.on_written, self.failures.append
        self.disk.start()

    def on_written(self, sequence: int) -> None:
        assert self.written < sequence <= self.last_sequence, "out of order, or never saved"
        self.written = sequence

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
        self.session = DiskSession(self.folder)
        self.replica, self.before = self.session.disk.replica, 0  # records of earlier sessions

    def reopen(self) -> None:
        durable_count = self.before + self.session.written
        while True:
            self.folder.unlock()
            try:
                self.session = DiskSession(self.folder)
                break
            except Crash:
                self.folder.crash()
            except StoreError:
                self.folder.fail.clear()
        got = self.session.disk.recovered
        fits = [
            n
            for n in range(durable_count, len(self.saved) + 1)
            if states_match(got, replay_records(self.saved[:n]))
        ]
        assert fits, f"{got} matches nothing that was saved from {durable_count} of {len(self.saved)} on"
        assert self.session.disk.replica == self.replica and not self.session.disk.loss_reason
        self.before = fits[0]
        del self.saved[self.before :]

    @rule(
        run=st.lists(st.tuples(st.sampled_from("heeeeeci"), st.integers(0, 200)), min_size=1, max_size=8),
        room=st.booleans(),
    )
    def save(self, run: list[tuple[str, int]], room: bool) -> None:
        self.session.disk.keeper.max_pending_bytes = (
            1 << 20 if room else 5000
        )  # of which the store reserves 4096
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
            self.session.save(record)

    @rule()
    def turn(self) -> None:
        self.session.settle()
        if self.folder.down:
            self.power_cut()

    @rule()
    def power_cut(self) -> None:
        self.session.cut()
        self.folder.crash()
        self.reopen()

    @rule()
    def killed(self) -> None:
        self.session.cut()
        self.reopen()

    @rule(at=st.integers(1, 12), how=st.sampled_from(["crash", "short", errno.ENOSPC, errno.EIO]))
    def fault(self, at: int, how: str | int) -> None:
        self.folder.fail[self.folder.operations + at] = how

    @rule(full=st.booleans())
    def room(self, full: bool) -> None:
        self.folder.failing_sync = full

    @rule(slow=st.booleans())
    def speed(self, slow: bool) -> None:
        (self.session.pool.open.clear if slow else self.session.pool.open.set)()

    @precondition(lambda self: not self.folder.failing_sync)
    @rule()
    def write_all(self) -> None:
        """All queued records must become durable."""
        self.folder.fail.clear()
        self.speed(False)
        self.turn()
        assert (
            self.session.written == self.session.last_sequence
            and self.before + self.session.written == len(self.saved)
        )
        assert not self.session.disk.queued and not self.session.disk.pending_snapshot

    @precondition(lambda self: not self.folder.down)
    @rule()
    def closed(self) -> None:
        self.speed(False)
        self.session.disk.stop(0.01)
        self.session.cut()
        self.folder.down = False
        self.reopen()

    @invariant()
    def failure_is_reported(self) -> None:
        if self.session.disk.keeper.failure:
            assert self.session.failures[-1] == self.session.disk.keeper.failure

    def teardown(self) -> None:
        if hasattr(self, "session"):
            self.folder.failing_sync = False
            self.write_all()
            self.power_cut()


TestWorld = DiskMachine.TestCase
TestWorld.settings = settings(max_examples=50, stateful_step_count=30, deadline=None, derandomize=True)


def entries(first: int, count: int, size: int = 60) -> list[Entry]:
    return [Entry(n, 1, b"%d" % n * size) for n in range(first, first + count)]


def real_disk(path: Path, name: str = "a") -> DiskSession:
    return DiskSession(None, StoreSettings(str(path), segment_mb=0.01), name)


def write_folder(path: Path) -> ReplicaId:
    """Writes a folder with 300 entries and a snapshot of the first 200."""
    session = real_disk(path)
    session.save(HardState(1, ME), *entries(1, 200))
    session.settle().save(Snapshot(200, 1, Configuration(), b"state"), *entries(201, 100))
    session.settle().disk.stop(1.0)
    assert session.written == 302
    return session.disk.replica


def test_a_full_disk_reports_the_error_and_loses_nothing() -> None:
    folder = Folder(1)
    session = DiskSession(folder)
    session.save(*entries(1, 3))
    folder.fail[folder.operations + 4] = errno.EIO  # the sync: everything goes to a new segment
    session.settle()
    assert session.failures == ["[Errno 5] EIO"] and session.written == 3
    folder.failing_sync = True
    session.save(*entries(4, 50), Snapshot(99, 2, Configuration(), b"news"), *entries(100, 5))
    session.settle()
    assert session.written == 3 and "ENOSPC" in session.failures[-1]
    folder.failing_sync = False
    session.settle()
    assert session.written == session.last_sequence == 59
    session.cut()
    folder.crash()
    again = DiskSession(folder).disk
    assert again.recovered.snapshot.index == 99 and again.recovered.log.entries == entries(100, 5)


def test_a_disk_that_fills_up_reports_only_written_records() -> None:
    folder = Folder(1)
    session = DiskSession(folder)
    session.save(*entries(1, 60))
    folder.full_from = folder.operations + 9
    session.settle()
    assert 0 < session.written == session.disk.keeper.durable_seq < 60 and session.failures
    folder.full_from = None
    assert session.written <= DiskSession(after_cut(session, folder)).disk.recovered.log.last_index() < 60


def test_a_failed_snapshot_keeps_the_previous_one_and_the_records() -> None:
    folder = Folder(1)
    session = DiskSession(folder)
    asked, tries = session.disk.keeper.run_in_thread, [True, True, True, False]

    def ask(what: Callable[[Store], None]) -> None:
        folder.failing_sync = tries.pop(0) if tries else True
        try:
            asked(what)
        finally:
            folder.failing_sync = False
            assert not [name for name in folder.names() if name.endswith(".new")]

    session.disk.keeper.run_in_thread = ask  # type: ignore[method-assign, assignment]
    session.save(*entries(1, 9), Snapshot(5, 1, Configuration(), b"state"), *entries(10, 1))
    session.settle()
    assert session.written == 11 and not session.failures and not tries and not session.disk.pending_snapshot
    session.save(Snapshot(6, 1, Configuration(), b"state"), *entries(11, 1))
    session.settle()
    assert session.written == 13 and not session.failures and "ENOSPC" in session.disk.snapshot_error
    session.save(Snapshot(20, 1, Configuration(), b"news"), *entries(21, 1))
    session.settle()
    assert session.written == 13 and "ENOSPC" in session.failures[0]
    again = DiskSession(after_cut(session, folder)).disk.recovered
    assert again.snapshot.index == 5 and again.log.last_index() == 11


def test_records_after_a_newer_snapshot_wait_for_that_snapshot() -> None:
    folder = Folder(1)
    session = DiskSession(folder)
    asked, gate, reported = session.disk.keeper.run_in_thread, Event(), list[tuple[int, int]]()

    def ask(what: Callable[[Store], None]) -> None:
        gate.wait()
        asked(what)

    session.disk.keeper.run_in_thread = ask  # type: ignore[method-assign, assignment]
    session.save(*entries(1, 3), Snapshot(2, 1, Configuration(), b"old"))
    session.settle()
    session.save(Snapshot(9, 2, Configuration(), b"news"), *entries(10, 1))
    session.settle()
    assert session.written == 4
    session.disk.on_written = lambda number: reported.append(
        (number, max(session.disk.keeper.store.snapshots))
    )
    gate.set()
    for _ in range(50):
        gevent.sleep(0)
    assert reported == [(5, 5), (6, 5)]  # the store's sequence numbers are the same here


def after_cut(session: DiskSession, folder: Folder) -> Folder:
    session.cut()
    folder.crash()
    return folder


def test_a_power_cut_during_a_write_does_not_lose_the_disk() -> None:
    """Later blocks of the write may be on the disk while earlier ones are missing."""
    holes = 0
    for seed in range(150):
        folder = Folder(seed)
        session = DiskSession(folder)
        session.save(HardState(1, ME), *entries(1, 3))
        session.settle()
        folder.fail[folder.operations + 2] = "crash"
        session.save(*entries(4, 10))
        session.settle()
        again = DiskSession(after_cut(session, folder))
        assert (
            again.disk.replica == session.disk.replica
            and again.disk.recovered.log.last_index() >= 3 == session.written - 1
        )
        last = again.disk.recovered.log.last_index()
        holes += again.disk.log.totals.get("store-cut", 0)
        again.save(*entries(last + 1, 2))
        again.settle()
        assert DiskSession(after_cut(again, folder)).disk.recovered.log.last_index() == last + 2
    assert holes > 50


@pytest.mark.parametrize("how", ["flip", "snapshot", "no snapshot", "no segment"])
def test_damage_to_durable_data_loses_the_disk_which_is_moved_aside(tmp_path: Path, how: str) -> None:
    path = tmp_path / "data"
    replica = write_folder(path)
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
    assert again.disk.replica.name == "a" and again.disk.replica != replica
    (aside,) = tmp_path.glob("data.lost-*")
    assert {file.name: file.read_bytes() for file in aside.iterdir()} == there
    again.save(HardState(7, None))
    again.settle().disk.stop(1.0)
    third = real_disk(path).disk
    assert (third.replica, third.recovered.term, third.loss_reason) == (again.disk.replica, 7, "")


def test_a_damaged_snapshot_loses_the_disk_even_with_all_records(tmp_path: Path) -> None:
    """The snapshot may have held more than the records."""
    session = real_disk(tmp_path / "data")
    session.save(*entries(1, 3), Snapshot(50, 2, Configuration(), b"news"))
    session.settle().disk.stop(1.0)
    max(tmp_path.glob("data/*.snap")).write_bytes(b"damaged")
    assert "cannot be read" in real_disk(tmp_path / "data").disk.loss_reason


def test_a_folder_of_another_owner_is_refused(tmp_path: Path) -> None:
    replica = write_folder(tmp_path / "a")
    with pytest.raises(StoreError, match="belongs to 'a', not 'b'"):
        real_disk(tmp_path / "a", "b")
    session = real_disk(tmp_path / "a")
    assert (
        session.disk.replica == replica
        and session.disk.recovered.snapshot.data == b"state"
        and not session.disk.is_new
    )
    assert session.disk.recovered.log.last_index() == 300 and session.disk.recovered.voted_for == ME
    with pytest.raises(StoreError, match="another process"):
        real_disk(tmp_path / "a")
    ledger = Store(DiskDirectory(str(tmp_path / "ledger")), SETTINGS, 0.0)
    ledger.append(0.0, 1, b"", b"x")
    ledger.close(0.0)
    with pytest.raises(StoreError, match="record 1 of kind 1"):
        real_disk(tmp_path / "ledger")
    for key, value in (("sync", "none"), ("queue_mb", 1.0)):
        with pytest.raises(StoreError, match=f"store.{key}"):
            Disk(StoreSettings(str(tmp_path / "new"), **{key: value}), "a", SilentLog())  # type: ignore[arg-type]


def test_a_new_council_needs_an_empty_folder(tmp_path: Path) -> None:
    store_settings = StoreSettings(str(tmp_path / "new"))
    replica = Disk.bootstrap(store_settings, "a", 500)
    assert real_disk(tmp_path / "new").disk.replica == replica
    for folder in (tmp_path / "new", tmp_path):
        with pytest.raises(StoreError, match="holds 1 files, such as .*; a council needs an empty folder"):
            Disk.bootstrap(StoreSettings(str(folder)), "a", 0)


def test_snapshots_bound_the_disk_usage(tmp_path: Path) -> None:
    session, most = real_disk(tmp_path), 0
    for n in range(1, 4001, 100):
        session.save(*entries(n, 100), Snapshot(n + 99, 1, Configuration(), b"state" * 100))
        session.settle()
        most = max(most, sum(file.stat().st_size for file in tmp_path.iterdir()))
    assert session.written == 4040 and most < 150_000


def test_an_unreadable_snapshot_keeps_all_segments(tmp_path: Path) -> None:
    store = Store(DiskDirectory(str(tmp_path)), SETTINGS, 0.0)
    for _ in range(100):
        store.append(0.0, 1, b"", b"x" * 100)
    store.flush(0.0)
    store.take_snapshot(50, b"one ", b"state")
    store.take_snapshot(100, b"another")
    store.close(0.0)
    (tmp_path / "snapshot-00000000000000000100.snap").write_bytes(b"damaged")
    again = Store(DiskDirectory(str(tmp_path)), SETTINGS, 0.0)
    assert again.snapshot == (50, b"one state")
    again.compact(1000)
    again.close(0.0)
    assert not Store(DiskDirectory(str(tmp_path)), SETTINGS, 0.0).recovery.damaged
