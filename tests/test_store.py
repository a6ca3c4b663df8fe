"""The store against a model, with crashes at every operation and a failing disk."""

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
from harrieryoke.store.decide.keep import SealedSegment, plan_compaction
from harrieryoke.store.decide.segment import Record
from harrieryoke.store.files import DiskDirectory
from harrieryoke.store.settings import StoreError, StoreSettings
from harrieryoke.store.store import Store, StoreReader

from .faulty import Crash, Disk, Killed

FUZZ = settings(max_examples=400, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
SMALL_SEGMENTS = StoreSettings("x", segment_mb=0.002)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.integers(0, 300)),
        st.tuples(st.just("turn"), st.integers(1, 4)),
        st.tuples(st.sampled_from(["snapshot", "compact", "close"]), st.just(0)),
    ),
    max_size=60,
)


class Model:
    """Model of a store: the appended records, which may survive a crash, and the durable ones, which
    must."""

    def __init__(self, disk: Disk, settings: StoreSettings) -> None:
        self.disk, self.settings, self.now = disk, settings, 1000.0
        self.appended: dict[int, bytes] = {}
        self.durable_seq = 0
        self.state: dict[int, bytes] = {}
        self.store: Store | None = None

    def open(self) -> Store:
        if self.store is None:
            self.state = {}
            store = Store(self.disk, self.settings, self.now, self.visit, self.restore)
            last_seq = store.recovery.last_seq
            assert not store.recovery.damaged, store.recovery
            assert last_seq >= self.durable_seq
            # No durable record is missing or replaced, and there is no gap.
            assert self.state == {
                seq: self.appended[seq] for seq in range(1, last_seq + 1) if seq in self.appended
            }
            assert set(self.state) | {
                seq for seq in range(1, last_seq + 1) if seq not in self.appended
            } == set(range(1, last_seq + 1))
            self.appended, self.durable_seq = dict(self.state), last_seq
            self.store = store
        return self.store

    def visit(self, record: Record) -> None:
        assert record.seq not in self.state
        self.state[record.seq] = record.payload

    def restore(self, payload: bytes) -> None:
        parts = payload.split(b"|")
        self.state = {
            int(part.split(b"=")[0]): bytes.fromhex(part.split(b"=")[1].decode()) for part in parts if part
        }

    def dump(self, last_seq: int) -> bytes:
        return b"|".join(
            b"%d=%s" % (seq, payload.hex().encode())
            for seq, payload in self.appended.items()
            if seq <= last_seq
        )

    def play(self, step: str, value: int) -> None:
        store = self.open()
        self.now += 10.0
        if step == "append":
            payload = bytes(self.disk.rng.randrange(256) for _ in range(value))
            seq = store.append(self.now, 1, b"k%d" % value, payload)
            if seq is not None:
                self.appended[seq] = payload
        elif step == "turn":
            for _ in range(value):
                store.advance(self.now)
        elif step == "snapshot":
            store.take_snapshot(store.commit.durable_seq, self.dump(store.commit.durable_seq))
        elif step == "compact":
            store.compact(store.commit.durable_seq)
        else:
            store.close(self.now)
            self.durable_seq = max(self.durable_seq, store.commit.durable_seq)
            self.store = None
            return
        self.durable_seq = max(self.durable_seq, store.commit.durable_seq)


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
def test_durable_records_survive_a_crash_at_any_operation(
    steps: list[tuple[str, int]], faults: dict[int, str | int], policy: str, seed: int
) -> None:
    disk = Disk(seed)
    disk.fail = faults
    model = Model(disk, StoreSettings("x", sync=policy, segment_mb=0.002, queue_mb=0.01))
    for step, value in [*steps, ("close", 0), ("append", 1), ("turn", 3)]:
        try:
            model.play(step, value)
        except (Crash, Killed) as ended:
            if model.store is not None:
                model.durable_seq = max(model.durable_seq, model.store.commit.durable_seq)
            if isinstance(ended, Crash):
                disk.crash()
            disk.unlock()
            model.store = None
        except (OSError, StoreError):  # a failed open, snapshot or compaction, which is retried later
            if model.store is None:
                disk.unlock()
    disk.fail = {}
    if model.store is None:
        disk.unlock()
    model.open()


def store_with_records(folder: Path, count: int = 200, settings: StoreSettings | None = None) -> Store:
    store = Store(DiskDirectory(str(folder)), settings or StoreSettings(str(folder), segment_mb=0.01), 0.0)
    for n in range(count):
        store.append(1000.0 + n, 1, b"key%d" % (n % 10), b"payload of %d" % n)
    assert store.flush(0.0)
    return store


def collect(seen: dict[int, bytes]) -> Callable[[Record], None]:
    return lambda record: seen.update({record.seq: record.payload})


def test_a_flipped_bit_is_reported_or_harmless(tmp_path: Path) -> None:
    """Flips a bit in each byte of a small store, in sealed segments and in the last one."""
    store = store_with_records(tmp_path, 40, StoreSettings("x", segment_mb=0.001))
    store.close(0.0)
    expected = {
        record.seq: record.payload for record in StoreReader(DiskDirectory(str(tmp_path))).records_from_seq(1)
    }
    assert len(expected) == 40
    for path in sorted(tmp_path.glob("segment-*.log")):
        data = path.read_bytes()
        for position in range(len(data)):
            path.write_bytes(data[:position] + bytes([data[position] ^ 0x10]) + data[position + 1 :])
            seen: dict[int, bytes] = {}
            try:
                reader = StoreReader(DiskDirectory(str(tmp_path)), collect(seen))
            except fmt.FormatError:
                continue
            recovery = reader.recovery
            assert all(expected[seq] == payload for seq, payload in seen.items())
            missing = expected.keys() - seen.keys()
            assert (
                not missing or recovery.damaged or recovery.tail_is_record_sized or recovery.truncated_bytes
            ), (
                path.name,
                position,
            )
            lost_count = sum(damage.lost_count() for _, damage in recovery.damaged if damage.before)
            if not recovery.truncated_bytes and all(damage.before for _, damage in recovery.damaged):
                assert lost_count >= len(missing)
            assert not (recovery.closed_cleanly and missing and not recovery.damaged)
        path.write_bytes(data)


def test_a_second_writer_is_refused(tmp_path: Path) -> None:
    store = store_with_records(tmp_path)
    with pytest.raises(StoreError, match="another process"):
        store_with_records(tmp_path)
    assert StoreReader(DiskDirectory(str(tmp_path))).recovery.records == 200  # readers need no lock
    store.close(0.0)
    store_with_records(tmp_path, 1).close(0.0)


def test_seeks_by_sequence_number_time_and_key_agree_with_a_scan(tmp_path: Path) -> None:
    store = store_with_records(tmp_path, 1000)
    everything = list(store.records_from_seq(1))
    assert len(everything) == 1000 and len(store.segments) >= 3
    for seq in (1, 2, 63, 64, 65, 500, 999, 1000):
        assert list(store.records_from_seq(seq)) == everything[seq - 1 :]
    for time_ms in (0, 1000, 1001, 1500, 1999, 2000, 5000):
        assert list(store.records_from_time(time_ms)) == [
            record for record in everything if record.time_ms >= time_ms
        ]
    assert list(store.records_with_key(b"key7")) == [record for record in everything if record.key == b"key7"]
    assert not list(store.records_with_key(b"nobody"))
    store.close(0.0)
    assert [record.seq for record in StoreReader(DiskDirectory(str(tmp_path))).records_from_seq(990)] == list(
        range(990, 1001)
    )


def test_clock_steps_hide_no_record_from_a_seek_by_time(tmp_path: Path) -> None:
    store = Store(DiskDirectory(str(tmp_path)), SMALL_SEGMENTS, 0.0)
    times = [1000 + n if n % 130 < 60 else 5000 - n for n in range(400)]
    for time_ms in times:
        store.append(float(time_ms), 1, b"", b"x")
    store.flush(0.0)
    for time_ms in (0, 1100, 4700, 4990, 6000):
        assert len(list(store.records_from_time(time_ms))) == sum(time >= time_ms for time in times)
    store.close(0.0)


def test_a_store_of_an_older_version_is_read_and_continued(tmp_path: Path) -> None:
    data = fmt.SEGMENT_HEADER_V1.pack(fmt.SEGMENT_MAGIC, 1, 0, 0, 1)
    for n in range(1, 6):
        body = fmt.RECORD_BODY_V1.pack(n, 1000 + n, 1) + b"old%d" % n
        data += struct.pack("<II", len(body), zlib.crc32(body)) + body
    (tmp_path / fmt.segment_name(1)).write_bytes(data)
    store = Store(DiskDirectory(str(tmp_path)), SMALL_SEGMENTS, 0.0)
    assert store.recovery.records == 5
    store.append(2000.0, 1, b"k", b"new")
    store.close(0.0)
    assert [r.payload for r in StoreReader(DiskDirectory(str(tmp_path))).records_from_seq(4)] == [
        b"old4",
        b"old5",
        b"new",
    ]


def test_a_store_of_a_newer_version_is_refused_and_left_unchanged(tmp_path: Path) -> None:
    store_with_records(tmp_path, 3).close(0.0)
    path = tmp_path / fmt.segment_name(1)
    header = bytearray(path.read_bytes()[: fmt.SEGMENT_HEADER.size - 8])
    header[8] = 9
    import xxhash

    path.write_bytes(bytes(header) + struct.pack("<Q", xxhash.xxh3_64_intdigest(bytes(header))) + b"rest")
    before = path.read_bytes()
    with pytest.raises(StoreError, match="version 9"):
        Store(DiskDirectory(str(tmp_path)), SMALL_SEGMENTS, 0.0)
    assert path.read_bytes() == before


def test_a_full_disk_refuses_records_at_the_limit_and_recovers() -> None:
    disk = Disk(1)
    store = Store(disk, StoreSettings("x", queue_mb=0.02), 0.0)
    store.append(0.0, 1, b"", b"first")
    assert store.flush(0.0)
    disk.failing_sync, accepted = True, 0
    for n in range(1000):
        accepted += store.append(1.0, 1, b"", b"x" * 50) is not None
        store.advance(float(n))
    assert store.commit.failure and store.commit.durable_seq == 1
    assert store.refused_count == 1000 - accepted > 0 and store.commit.pending_bytes <= 0.02 * 2**20
    disk.failing_sync = False
    assert store.flush(1e9) and store.commit.durable_seq == 1 + accepted and not store.commit.failure
    disk.crash()
    assert StoreReader(disk).recovery.records == 1 + accepted


def test_after_a_failed_sync_pending_records_go_to_a_new_segment() -> None:
    disk = Disk(3)
    store = Store(disk, StoreSettings("x"), 0.0)
    for n in range(5):
        store.append(0.0, 1, b"", b"%d" % n)
    store.advance(0.0)  # creates the segment
    store.advance(0.0)  # writes the group
    disk.fail = {disk.operations + 1: errno.EIO}
    assert not store.advance(0.0) and "EIO" in store.commit.failure and store.commit.durable_seq == 0
    assert store.flush(1e6) and store.active_segment == 2
    disk.crash()
    reader = StoreReader(disk)
    assert [r.payload for r in reader.records_from_seq(1)] == [b"0", b"1", b"2", b"3", b"4"]
    assert not reader.recovery.damaged


def test_compaction_removes_unneeded_segments_and_reports_lost_records() -> None:
    sealed = [SealedSegment(n, 10 * n + 1, 10 * n + 10, 100) for n in range(5)]
    assert plan_compaction(sealed, [], 1000, 0, 0).segments == ()  # nothing is removable without a snapshot
    assert plan_compaction(sealed, [30], 25, 10_000, 0).segments == (0, 1)
    plan = plan_compaction(sealed, [50], 15, 250, 0)
    assert plan.segments == (0, 1, 2) and plan.lost_seqs == (15, 30)
    assert plan_compaction(sealed, [10, 20, 50], 1, 10_000, 0).snapshots == (10,)
