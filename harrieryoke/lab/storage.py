"""Benchmarks of the store: appends with group commit against sqlite3, recovery, and seeks against a scan."""

from __future__ import annotations

import random
import sqlite3
import time
from pathlib import Path
from typing import Any

from ..ledger.decide.reconcile import ReconcileSession
from ..store.files import DiskDirectory
from ..store.settings import StoreSettings
from ..store.store import Store, StoreReader

GROUP_RECORDS = 100  # records per sync, as at some thousand calls per second
RECOVERY_RECORDS = 1_000_000
ENTRY_BYTES = 115  # size of an entry on the wire to the collector


def measure_append(folder: Path, count: int, payload: bytes) -> float:
    """Return entries per second; each group is durable before the next one."""
    store = Store(DiskDirectory(str(folder)), StoreSettings(str(folder)), 0.0)
    started_at = time.perf_counter()
    for n in range(count):
        store.append(float(n), 1, b"%x" % n, payload)
        if n % GROUP_RECORDS == GROUP_RECORDS - 1:
            store.flush(0.0)
    store.flush(0.0)
    duration = time.perf_counter() - started_at
    store.close(0.0)
    return count / duration


def measure_sqlite_append(path: Path, count: int, payload: bytes) -> float:
    """Return the same for sqlite3 in WAL mode with full syncs and one transaction per group."""
    database = sqlite3.connect(path, isolation_level=None)
    database.execute("pragma journal_mode = wal")
    database.execute("pragma synchronous = full")

    columns = "seq integer primary key, at integer, kind integer, key blob, payload blob"
    database.execute(f"create table entries ({columns})")
    database.execute("create index by_key on entries (key)")
    started_at = time.perf_counter()
    for begin in range(0, count, GROUP_RECORDS):
        database.execute("begin")
        database.executemany(
            "insert into entries values (?, ?, 1, ?, ?)",
            [(n + 1, n, b"%x" % n, payload) for n in range(begin, min(count, begin + GROUP_RECORDS))],
        )
        database.execute("commit")
    duration = time.perf_counter() - started_at
    database.close()
    return count / duration


def measure_reconcile(seed: int, size: int, difference_count: int) -> dict[str, Any]:
    """Return the bytes that reconciliation transfers, beside the bytes of all ids and of all entries."""
    rng = random.Random(seed)
    common = {rng.getrandbits(64) for _ in range(size)}
    remote_ids = set(rng.sample(sorted(common), size - difference_count))
    local, remote = ReconcileSession(common, seed), ReconcileSession(remote_ids, seed)
    started_at = time.perf_counter()
    cells = local.cells_needed(remote.encode_strata())
    differences = local.resolve(remote.encode_table(cells))
    while differences is None and local.cells:
        differences = local.resolve(remote.encode_table(local.cells))
    duration = time.perf_counter() - started_at
    assert differences is not None and differences.only_here == common - remote_ids
    return {
        "case": f"reconcile-{size}-{difference_count}",
        "reconcile_bytes": local.transferred_bytes,
        "bytes_of_all_ids": 8 * len(remote_ids),
        "bytes_of_all_entries": ENTRY_BYTES * len(remote_ids),
        "ratio_to_ids": round(local.transferred_bytes / (8 * len(remote_ids)), 4),
        "seconds": round(duration, 2),
    }


def run_case(seed: int, folder: Path) -> dict[str, Any]:
    rng = random.Random(seed)
    payload = rng.randbytes(120)
    rates = [
        (
            measure_append(folder / f"s{n}", 100_000, payload),
            measure_sqlite_append(folder / f"q{n}.db", 100_000, payload),
        )
        for n in range(3)
    ]
    store_rate, sqlite_rate = sorted(p[0] for p in rates)[1], sorted(p[1] for p in rates)[1]
    large_folder = folder / "big"
    measure_append(large_folder, RECOVERY_RECORDS, payload)
    started_at = time.perf_counter()
    store = Store(
        DiskDirectory(str(large_folder)), StoreSettings(str(large_folder)), 0.0, lambda record: None
    )
    recovery = time.perf_counter() - started_at
    assert store.recovery.records >= RECOVERY_RECORDS
    store.close(0.0)
    reader = StoreReader(DiskDirectory(str(large_folder)))
    sequence_numbers = [rng.randrange(1, RECOVERY_RECORDS) for _ in range(200)]
    started_at = time.perf_counter()
    for seq in sequence_numbers:
        assert next(reader.records_from_seq(seq)).seq == seq
    by_seq = (time.perf_counter() - started_at) / len(sequence_numbers)
    assert not list(reader.records_with_key(b"none"))  # the first lookup by key sorts the tables
    started_at = time.perf_counter()
    for seq in sequence_numbers:
        assert next(reader.records_with_key(b"%x" % (seq - 1))).seq == seq
    by_key = (time.perf_counter() - started_at) / len(sequence_numbers)
    started_at = time.perf_counter()
    assert next(r for r in reader.records_from_seq(1) if r.seq == RECOVERY_RECORDS // 2)
    scan = time.perf_counter() - started_at
    return {
        "case": "storage",
        "reconcile": [measure_reconcile(seed, 100_000, differ) for differ in (0, 10, 1000, 10_000)],
        "append_per_s": round(store_rate),
        "sqlite_wal_per_s": round(sqlite_rate),
        "ratio": round(store_rate / sqlite_rate, 2),
        "recovery_of_1e6_s": round(recovery, 2),
        "seek_by_number_us": round(1e6 * by_seq, 1),
        "seek_by_key_us": round(1e6 * by_key, 1),
        "scan_to_the_middle_us": round(1e6 * scan, 1),
    }
