"""One member's records against a plain model: power cuts, a full disk, a slow one, a lost one."""

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
from harrieryoke.council.decide.log import Kept, kept
from harrieryoke.council.decide.messages import Entry, Hard, Members, Save, Seat, Snapshot, Written
from harrieryoke.council.disk import Disk
from harrieryoke.log import Log
from harrieryoke.store import actor
from harrieryoke.store.files import RealFiles
from harrieryoke.store.settings import StoreError, StoreSettings
from harrieryoke.store.store import Store

from .faulty import Crash
from .faulty import Disk as Faulty

ME, OTHER = Seat("a", 1), Seat("b", 2)
TOLD = StoreSettings("x", segment_mb=0.002)


class Quiet(Log):
    def put(self, now: float, kind: str, text: str, fields: dict[str, object] | None = None) -> None: ...


class Folder(Faulty):
    """From a power cut on nothing happens here until `crash`."""

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

    def aside(self) -> str:
        raise AssertionError("a disk that lost nothing was put aside")


class Inline:
    """Stands in for the store's thread: the order is the test's own. Shut, it is a slow disk."""

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
    monkeypatch.setattr(module, "RETRY_MOST_S", 0)
    monkeypatch.setattr(actor, "ThreadPool", lambda size: Inline())


class Life:
    """A member's disk from a start to an end, and what it told."""

    def __init__(self, folder: Folder | None, told: StoreSettings = TOLD, name: str = "a") -> None:
        self.disk = Disk(told, name, Quiet(), folder)
        self.disk.keeper.store.commit.retry_ms = 0.0
        self.pool: Any = self.disk.keeper.pool
        self.told, self.numbered, self.failed = 0, 0, list[str]()
        self.disk.done, self.disk.failed = self.done, self.failed.append
        self.disk.start()

    def done(self, number: int) -> None:
        assert self.told < number <= self.numbered, "out of order, or of what was never saved"
        self.told = number

    def save(self, *records: Written) -> None:
        self.numbered += len(records)
        first = self.numbered - len(records) + 1
        self.disk.save([Save(first + n, record) for n, record in enumerate(records)])

    def settle(self) -> Life:
        """Until nothing more is told for a while."""
        before = -1
        while before < self.told:
            before = self.told
            for _ in range(25):
                gevent.sleep(1e-6)  # a turn of the loop, with its timers
        return self

    def cut(self) -> None:
        self.pool.dead = True
        self.pool.open.set()
        gevent.sleep(0)


def same(got: Kept, want: Kept) -> bool:
    """A snapshot that is no news may be missing: the log has what it stands for."""
    log = module.copied(got).log
    if got.snapshot != want.snapshot and not log.install(want.snapshot):
        return False
    return (got.term, got.vote, log) == (want.term, want.vote, want.log)


class World(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.folder, self.saved = Folder(seed), list[Written]()
        self.life = Life(self.folder)
        self.seat, self.before = self.life.disk.seat, 0  # how much an earlier life had

    def reopen(self) -> None:
        sure = self.before + self.life.told
        while True:
            self.folder.unlock()
            try:
                self.life = Life(self.folder)
                break
            except Crash:
                self.folder.crash()
            except StoreError:
                self.folder.faults.clear()
        got = self.life.disk.kept
        fits = [n for n in range(sure, len(self.saved) + 1) if same(got, kept(self.saved[:n]))]
        assert fits, f"{got} is nothing that was saved from {sure} of {len(self.saved)} on"
        assert self.life.disk.seat == self.seat and not self.life.disk.lost
        self.before = fits[0]
        del self.saved[self.before :]

    @rule(
        run=st.lists(st.tuples(st.sampled_from("heeeeeci"), st.integers(0, 200)), min_size=1, max_size=8),
        room=st.booleans(),
    )
    def save(self, run: list[tuple[str, int]], room: bool) -> None:
        self.life.disk.keeper.most = 1 << 20 if room else 5000  # of which the store keeps 4096 to itself
        for what, size in run:
            now = kept(self.saved)
            last, base = now.log.last(), now.snapshot.index
            record: Written = Hard(now.term + size % 2, OTHER if size % 3 else None)
            if what == "e":
                index = last + 1 if size % 5 or last == base else last  # or in the place of the last
                members = Members(frozenset({ME})) if size > 190 else None
                record = Entry(index, now.term + 1, b"e" * size, members)
            elif what == "c" and last > base:
                index = base + 1 + size % (last - base)
                record = Snapshot(index, now.log.term(index) or 0, Members(), b"c" * size)
            elif what == "i":
                record = Snapshot(last + 1 + size, now.term + 2, Members(frozenset({OTHER})), b"i" * size)
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
        self.folder.faults[self.folder.operations + at] = how

    @rule(full=st.booleans())
    def room(self, full: bool) -> None:
        self.folder.failing_sync = full

    @rule(slow=st.booleans())
    def speed(self, slow: bool) -> None:
        (self.life.pool.open.clear if slow else self.life.pool.open.set)()

    @precondition(lambda self: not self.folder.failing_sync)
    @rule()
    def well(self) -> None:
        """All that waits gets there."""
        self.folder.faults.clear()
        self.speed(False)
        self.turn()
        assert self.life.told == self.life.numbered and self.before + self.life.told == len(self.saved)
        assert not self.life.disk.waiting and not self.life.disk.wanted

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
            assert self.life.failed[-1] == self.life.disk.keeper.failing

    def teardown(self) -> None:
        if hasattr(self, "life"):
            self.folder.failing_sync = False
            self.well()
            self.power_cut()


TestWorld = World.TestCase
TestWorld.settings = settings(max_examples=50, stateful_step_count=30, deadline=None, derandomize=True)


def entries(first: int, count: int, size: int = 60) -> list[Entry]:
    return [Entry(n, 1, b"%d" % n * size) for n in range(first, first + count)]


def real(path: Path, name: str = "a") -> Life:
    return Life(None, StoreSettings(str(path), segment_mb=0.01), name)


def written(path: Path) -> Seat:
    """A folder with 300 entries, and a snapshot of the first 200."""
    life = real(path)
    life.save(Hard(1, ME), *entries(1, 200))
    life.settle().save(Snapshot(200, 1, Members(), b"state"), *entries(201, 100))
    life.settle().disk.stop(1.0)
    assert life.told == 302
    return life.disk.seat


def test_a_full_disk_tells_why_keeps_the_order_and_loses_nothing() -> None:
    folder = Folder(1)
    life = Life(folder)
    life.save(*entries(1, 3))
    folder.faults[folder.operations + 4] = errno.EIO  # the sync: all goes to a fresh segment
    life.settle()
    assert life.failed == ["[Errno 5] EIO"] and life.told == 3
    folder.failing_sync = True
    life.save(*entries(4, 50), Snapshot(99, 2, Members(), b"news"), *entries(100, 5))
    life.settle()
    assert life.told == 3 and "ENOSPC" in life.failed[-1]
    folder.failing_sync = False
    life.settle()
    assert life.told == life.numbered == 59
    life.cut()
    folder.crash()
    again = Life(folder).disk
    assert again.kept.snapshot.index == 99 and again.kept.log.entries == entries(100, 5)


def test_a_disk_that_fills_up_within_a_run_tells_only_of_the_part_that_is_there() -> None:
    folder = Folder(1)
    life = Life(folder)
    life.save(*entries(1, 60))
    folder.full_from = folder.operations + 9
    life.settle()
    assert 0 < life.told == life.disk.keeper.durable < 60 and life.failed
    folder.full_from = None
    assert life.told <= Life(after_cut(life, folder)).disk.kept.log.last() < 60


def test_a_snapshot_that_fails_midway_leaves_the_one_before_and_the_records() -> None:
    folder = Folder(1)
    life = Life(folder)
    asked, tries = life.disk.keeper.ask, [True, True, True, False]

    def ask(what: Callable[[Store], None]) -> None:
        folder.failing_sync = tries.pop(0) if tries else True
        try:
            asked(what)
        finally:
            folder.failing_sync = False
            assert not [name for name in folder.names() if name.endswith(".new")]

    life.disk.keeper.ask = ask  # type: ignore[method-assign, assignment]
    life.save(*entries(1, 9), Snapshot(5, 1, Members(), b"state"), *entries(10, 1))
    life.settle()
    assert life.told == 11 and not life.failed and not tries and not life.disk.wanted
    life.save(Snapshot(6, 1, Members(), b"state"), *entries(11, 1))
    life.settle()
    assert life.told == 13 and not life.failed and "ENOSPC" in life.disk.ailing
    life.save(Snapshot(20, 1, Members(), b"news"), *entries(21, 1))
    life.settle()
    assert life.told == 13 and "ENOSPC" in life.failed[0]
    again = Life(after_cut(life, folder)).disk.kept
    assert again.snapshot.index == 5 and again.log.last() == 11


def test_what_follows_news_is_not_done_when_an_older_snapshot_is_written() -> None:
    folder = Folder(1)
    life = Life(folder)
    asked, gate, heard = life.disk.keeper.ask, Event(), list[tuple[int, int]]()

    def ask(what: Callable[[Store], None]) -> None:
        gate.wait()
        asked(what)

    life.disk.keeper.ask = ask  # type: ignore[method-assign, assignment]
    life.save(*entries(1, 3), Snapshot(2, 1, Members(), b"old"))
    life.settle()
    life.save(Snapshot(9, 2, Members(), b"news"), *entries(10, 1))
    life.settle()
    assert life.told == 4
    life.disk.done = lambda number: heard.append((number, max(life.disk.keeper.store.snapshots)))
    gate.set()
    for _ in range(50):
        gevent.sleep(0)
    assert heard == [(5, 5), (6, 5)]  # the store's numbers are the same here


def after_cut(life: Life, folder: Folder) -> Folder:
    life.cut()
    folder.crash()
    return folder


def test_a_power_cut_in_the_midst_of_a_write_never_makes_a_lost_disk() -> None:
    """Later blocks of it may be there and earlier ones not."""
    holes = 0
    for seed in range(150):
        folder = Folder(seed)
        life = Life(folder)
        life.save(Hard(1, ME), *entries(1, 3))
        life.settle()
        folder.faults[folder.operations + 2] = "crash"
        life.save(*entries(4, 10))
        life.settle()
        again = Life(after_cut(life, folder))
        assert again.disk.seat == life.disk.seat and again.disk.kept.log.last() >= 3 == life.told - 1
        last = again.disk.kept.log.last()
        holes += again.disk.log.totals.get("store-cut", 0)
        again.save(*entries(last + 1, 2))
        again.settle()
        assert Life(after_cut(again, folder)).disk.kept.log.last() == last + 2
    assert holes > 50


@pytest.mark.parametrize("how", ["flip", "snapshot", "no snapshot", "no segment"])
def test_damage_in_what_was_durable_is_a_lost_disk_put_aside(tmp_path: Path, how: str) -> None:
    path = tmp_path / "data"
    seat = written(path)
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
    again = real(path)
    assert again.disk.lost and not again.disk.fresh and again.disk.kept == Kept()
    assert again.disk.seat.name == "a" and again.disk.seat != seat
    (aside,) = tmp_path.glob("data.lost-*")
    assert {file.name: file.read_bytes() for file in aside.iterdir()} == there
    again.save(Hard(7, None))
    again.settle().disk.stop(1.0)
    third = real(path).disk
    assert (third.seat, third.kept.term, third.lost) == (again.disk.seat, 7, "")


def test_a_bad_snapshot_is_a_lost_disk_though_all_records_are_there(tmp_path: Path) -> None:
    """It may have brought more than they say."""
    life = real(tmp_path / "data")
    life.save(*entries(1, 3), Snapshot(50, 2, Members(), b"news"))
    life.settle().disk.stop(1.0)
    max(tmp_path.glob("data/*.snap")).write_bytes(b"damaged")
    assert "can't be read" in real(tmp_path / "data").disk.lost


def test_whose_the_folder_is(tmp_path: Path) -> None:
    seat = written(tmp_path / "a")
    with pytest.raises(StoreError, match="belongs to 'a', not 'b'"):
        real(tmp_path / "a", "b")
    life = real(tmp_path / "a")
    assert life.disk.seat == seat and life.disk.kept.snapshot.data == b"state" and not life.disk.fresh
    assert life.disk.kept.log.last() == 300 and life.disk.kept.vote == ME
    with pytest.raises(StoreError, match="another process"):
        real(tmp_path / "a")
    ledger = Store(RealFiles(str(tmp_path / "ledger")), TOLD, 0.0)
    ledger.append(0.0, 1, b"", b"x")
    ledger.close(0.0)
    with pytest.raises(StoreError, match="record 1 of kind 1"):
        real(tmp_path / "ledger")
    for key, value in (("sync", "none"), ("queue_mb", 1.0)):
        with pytest.raises(StoreError, match=f"store.{key}"):
            Disk(StoreSettings(str(tmp_path / "new"), **{key: value}), "a", Quiet())  # type: ignore[arg-type]


def test_founding_wants_an_empty_folder(tmp_path: Path) -> None:
    told = StoreSettings(str(tmp_path / "new"))
    seat = Disk.found(told, "a", 500)
    assert real(tmp_path / "new").disk.seat == seat
    for folder in (tmp_path / "new", tmp_path):
        with pytest.raises(StoreError, match="holds 1 files, as .*; a council is founded in an empty one"):
            Disk.found(StoreSettings(str(folder)), "a", 0)


def test_snapshots_bound_what_is_on_the_disk(tmp_path: Path) -> None:
    life, most = real(tmp_path), 0
    for n in range(1, 4001, 100):
        life.save(*entries(n, 100), Snapshot(n + 99, 1, Members(), b"state" * 100))
        life.settle()
        most = max(most, sum(file.stat().st_size for file in tmp_path.iterdir()))
    assert life.told == 4040 and most < 150_000


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
