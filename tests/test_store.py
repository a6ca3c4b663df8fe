"""The store against a plain model, through crashes at every operation and a disk that fails."""

from __future__ import annotations

import errno
import struct
import zlib
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from harrieryoke.store.decide import segment as fmt
from harrieryoke.store.decide.keep import Held, removable
from harrieryoke.store.decide.segment import Record
from harrieryoke.store.files import RealFiles
from harrieryoke.store.settings import StoreError, StoreSettings
from harrieryoke.store.store import Reader, Store

from .faulty import Crash, Disk, Killed

FUZZ = settings(max_examples=400, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
TOLD = StoreSettings("x", segment_mb=0.002)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.integers(0, 300)),
        st.tuples(st.just("turn"), st.integers(1, 4)),
        st.tuples(st.sampled_from(["snapshot", "compact", "close"]), st.just(0)),
    ),
    max_size=60,
)


class Model:
    """What was appended, which may outlive a crash, and what was said to be durable, which must."""

    def __init__(self, disk: Disk, told: StoreSettings) -> None:
        self.disk, self.told, self.now = disk, told, 1000.0
        self.all: dict[int, bytes] = {}
        self.durable = 0
        self.state: dict[int, bytes] = {}
        self.store: Store | None = None

    def open(self) -> Store:
        if self.store is None:
            self.state = {}
            store = Store(self.disk, self.told, self.now, self.visit, self.restore)
            last = store.recovery.last
            assert not store.recovery.damaged, store.recovery
            assert last >= self.durable
            # nothing durable is missing, nothing else has taken its place, and there is no hole
            assert self.state == {seq: self.all[seq] for seq in range(1, last + 1) if seq in self.all}
            assert set(self.state) | {seq for seq in range(1, last + 1) if seq not in self.all} == set(
                range(1, last + 1)
            )
            self.all, self.durable = dict(self.state), last
            self.store = store
        return self.store

    def visit(self, record: Record) -> None:
        assert record.seq not in self.state
        self.state[record.seq] = record.payload

    def restore(self, payload: bytes) -> None:
        parts = payload.split(b"|")
        self.state = {int(p.split(b"=")[0]): bytes.fromhex(p.split(b"=")[1].decode()) for p in parts if p}

    def dump(self, upto: int) -> bytes:
        return b"|".join(b"%d=%s" % (s, v.hex().encode()) for s, v in self.all.items() if s <= upto)

    def play(self, step: str, value: int) -> None:
        store = self.open()
        self.now += 10.0
        if step == "append":
            payload = bytes(self.disk.rng.randrange(256) for _ in range(value))
            seq = store.append(self.now, 1, b"k%d" % value, payload)
            if seq is not None:
                self.all[seq] = payload
        elif step == "turn":
            for _ in range(value):
                store.turn(self.now)
        elif step == "snapshot":
            store.take_snapshot(store.commit.durable, self.dump(store.commit.durable))
        elif step == "compact":
            store.compact(store.commit.durable)
        else:
            store.close(self.now)
            self.durable = max(self.durable, store.commit.durable)
            self.store = None
            return
        self.durable = max(self.durable, store.commit.durable)


WRITES = [("append", 200), ("turn", 4)] * 16


@FUZZ
@example([*WRITES[:4], ("append", 9), ("append", 9), ("turn", 4)] * 2, {8: "kill", 13: "crash"}, "none", 1)
@example([*WRITES[:4], ("append", 9), ("append", 9), ("turn", 4)] * 2, {8: "kill", 12: "crash"}, "none", 2)
@example([*WRITES, ("snapshot", 0), ("compact", 0), ("append", 9), ("turn", 4)], {48: "crash"}, "group", 2)
@example([*WRITES, ("snapshot", 0), ("compact", 0), ("append", 9), ("turn", 4)], {49: "crash"}, "group", 3)
@given(
    STEPS,
    st.dictionaries(
        st.integers(1, 120),
        st.sampled_from(["crash", "kill", "short", errno.ENOSPC, errno.EIO]),
        max_size=6,
    ),
    st.sampled_from(["group", "interval", "none"]),
    st.integers(0, 1000),
)
def test_what_is_called_durable_outlives_a_crash_at_any_operation(
    steps: list[tuple[str, int]], fail: dict[int, str | int], policy: str, seed: int
) -> None:
    disk = Disk(seed)
    disk.faults = fail
    model = Model(disk, StoreSettings("x", sync=policy, segment_mb=0.002, queue_mb=0.01))
    for step, value in [*steps, ("close", 0), ("append", 1), ("turn", 3)]:
        try:
            model.play(step, value)
        except (Crash, Killed) as ended:
            if model.store is not None:
                model.durable = max(model.durable, model.store.commit.durable)
            if isinstance(ended, Crash):
                disk.crash()
            disk.unlock()
            model.store = None
        except (OSError, StoreError):  # an open, a snapshot or a compaction that failed: tried again later
            if model.store is None:
                disk.unlock()
    disk.faults = {}
    if model.store is None:
        disk.unlock()
    model.open()


def filled(folder: Path, count: int = 200, told: StoreSettings | None = None) -> Store:
    store = Store(RealFiles(str(folder)), told or StoreSettings(str(folder), segment_mb=0.01), 0.0)
    for n in range(count):
        store.append(1000.0 + n, 1, b"key%d" % (n % 10), b"payload of %d" % n)
    assert store.flush(0.0)
    return store


def collect(seen: dict[int, bytes]) -> Callable[[Record], None]:
    return lambda record: seen.update({record.seq: record.payload})


def test_a_bit_flipped_anywhere_is_reported_or_harmless_never_passed_over(tmp_path: Path) -> None:
    """In a sealed segment and in the last one; each byte of a small folder."""
    store = filled(tmp_path, 40, StoreSettings("x", segment_mb=0.001))
    store.close(0.0)
    whole = {record.seq: record.payload for record in Reader(RealFiles(str(tmp_path))).from_seq(1)}
    assert len(whole) == 40
    for path in sorted(tmp_path.glob("segment-*.log")):
        data = path.read_bytes()
        for at in range(len(data)):
            path.write_bytes(data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1 :])
            seen: dict[int, bytes] = {}
            try:
                reader = Reader(RealFiles(str(tmp_path)), collect(seen))
            except fmt.FormatError:
                continue
            told = reader.recovery
            assert all(whole[seq] == payload for seq, payload in seen.items())
            missing = whole.keys() - seen.keys()
            assert not missing or told.damaged or told.suspect or told.cut, (path.name, at)
            counted = sum(f.lost() for _, f in told.damaged if f.before)
            if not told.cut and all(f.before for _, f in told.damaged):
                assert counted >= len(missing)
            assert not (told.clean and missing and not told.damaged)
        path.write_bytes(data)


def test_two_processes_on_one_folder(tmp_path: Path) -> None:
    store = filled(tmp_path)
    with pytest.raises(StoreError, match="another process"):
        filled(tmp_path)
    assert Reader(RealFiles(str(tmp_path))).recovery.records == 200  # reading is free
    store.close(0.0)
    filled(tmp_path, 1).close(0.0)


def test_seeks_by_number_time_and_key_find_what_a_scan_finds(tmp_path: Path) -> None:
    store = filled(tmp_path, 1000)
    everything = list(store.from_seq(1))
    assert len(everything) == 1000 and len(store.segments) >= 3
    for seq in (1, 2, 63, 64, 65, 500, 999, 1000):
        assert list(store.from_seq(seq)) == everything[seq - 1 :]
    for at in (0, 1000, 1001, 1500, 1999, 2000, 5000):
        assert list(store.from_time(at)) == [r for r in everything if r.at >= at]
    assert list(store.of_key(b"key7")) == [r for r in everything if r.key == b"key7"]
    assert not list(store.of_key(b"nobody"))
    store.close(0.0)
    assert [r.seq for r in Reader(RealFiles(str(tmp_path))).from_seq(990)] == list(range(990, 1001))


def test_clock_steps_hide_no_record_from_a_seek_by_time(tmp_path: Path) -> None:
    store = Store(RealFiles(str(tmp_path)), TOLD, 0.0)
    times = [1000 + n if n % 130 < 60 else 5000 - n for n in range(400)]
    for at in times:
        store.append(float(at), 1, b"", b"x")
    store.flush(0.0)
    for at in (0, 1100, 4700, 4990, 6000):
        assert len(list(store.from_time(at))) == sum(t >= at for t in times)
    store.close(0.0)


def test_a_folder_of_an_older_version_is_read_and_gone_on_with(tmp_path: Path) -> None:
    data = fmt.HEADER_1.pack(fmt.MAGIC, 1, 0, 0, 1)
    for n in range(1, 6):
        body = fmt.BODY_1.pack(n, 1000 + n, 1) + b"old%d" % n
        data += struct.pack("<II", len(body), zlib.crc32(body)) + body
    (tmp_path / fmt.segment_name(1)).write_bytes(data)
    store = Store(RealFiles(str(tmp_path)), TOLD, 0.0)
    assert store.recovery.records == 5
    store.append(2000.0, 1, b"k", b"new")
    store.close(0.0)
    assert [r.payload for r in Reader(RealFiles(str(tmp_path))).from_seq(4)] == [b"old4", b"old5", b"new"]


def test_a_folder_of_a_later_version_is_refused_and_left_alone(tmp_path: Path) -> None:
    filled(tmp_path, 3).close(0.0)
    path = tmp_path / fmt.segment_name(1)
    head = bytearray(path.read_bytes()[: fmt.HEADER.size - 8])
    head[8] = 9
    import xxhash

    path.write_bytes(bytes(head) + struct.pack("<Q", xxhash.xxh3_64_intdigest(bytes(head))) + b"rest")
    before = path.read_bytes()
    with pytest.raises(StoreError, match="version 9"):
        Store(RealFiles(str(tmp_path)), TOLD, 0.0)
    assert path.read_bytes() == before


def test_a_full_disk_refuses_at_the_bound_and_goes_on_when_there_is_room() -> None:
    disk = Disk(1)
    store = Store(disk, StoreSettings("x", queue_mb=0.02), 0.0)
    store.append(0.0, 1, b"", b"first")
    assert store.flush(0.0)
    disk.failing_sync, taken = True, 0
    for n in range(1000):
        taken += store.append(1.0, 1, b"", b"x" * 50) is not None
        store.turn(float(n))
    assert store.commit.failing and store.commit.durable == 1
    assert store.refused == 1000 - taken > 0 and store.commit.held <= 0.02 * 2**20
    disk.failing_sync = False
    assert store.flush(1e9) and store.commit.durable == 1 + taken and not store.commit.failing
    disk.crash()
    assert Reader(disk).recovery.records == 1 + taken


def test_after_a_failed_sync_all_that_is_not_durable_goes_to_a_fresh_segment() -> None:
    disk = Disk(3)
    store = Store(disk, StoreSettings("x"), 0.0)
    for n in range(5):
        store.append(0.0, 1, b"", b"%d" % n)
    store.turn(0.0)  # the segment
    store.turn(0.0)  # the write
    disk.faults = {disk.operations + 1: errno.EIO}
    assert not store.turn(0.0) and "EIO" in store.commit.failing and store.commit.durable == 0
    assert store.flush(1e6) and store.number == 2
    disk.crash()
    reader = Reader(disk)
    assert [r.payload for r in reader.from_seq(1)] == [b"0", b"1", b"2", b"3", b"4"]
    assert not reader.recovery.damaged


def test_what_nobody_needs_goes_and_beyond_the_budget_the_loss_is_told() -> None:
    sealed = [Held(n, 10 * n + 1, 10 * n + 10, 100) for n in range(5)]
    assert removable(sealed, [], 1000, 0, 0).segments == ()  # without a snapshot nothing may go
    assert removable(sealed, [30], 25, 10_000, 0).segments == (0, 1)
    told = removable(sealed, [50], 15, 250, 0)
    assert told.segments == (0, 1, 2) and told.lost == (15, 30)
    assert removable(sealed, [10, 20, 50], 1, 10_000, 0).snapshots == (10,)
