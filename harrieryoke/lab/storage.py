"""The store alone: appends with group commit beside sqlite3, recovery, seeks against a scan."""

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

GROUP = 100  # records that wait for one sync, as at some thousand calls a second
MANY = 1_000_000
ENTRY_BYTES = 115  # of an entry on its way to the collector


def append(folder: Path, count: int, payload: bytes) -> float:
    """Entries a second, each group durable before the next."""
    store = Store(DiskDirectory(str(folder)), StoreSettings(str(folder)), 0.0)
    began = time.perf_counter()
    for n in range(count):
        store.append(float(n), 1, b"%x" % n, payload)
        if n % GROUP == GROUP - 1:
            store.flush(0.0)
    store.flush(0.0)
    took = time.perf_counter() - began
    store.close(0.0)
    return count / took


def append_sqlite(path: Path, count: int, payload: bytes) -> float:
    """The same by sqlite3 in WAL mode with full syncs, a transaction a group."""
    made = sqlite3.connect(path, isolation_level=None)
    made.execute("pragma journal_mode = wal")
    made.execute("pragma synchronous = full")

    columns = "seq integer primary key, at integer, kind integer, key blob, payload blob"
    made.execute(f"create table entries ({columns})")
    made.execute("create index by_key on entries (key)")
    began = time.perf_counter()
    for begin in range(0, count, GROUP):
        made.execute("begin")
        made.executemany(
            "insert into entries values (?, ?, 1, ?, ?)",
            [(n + 1, n, b"%x" % n, payload) for n in range(begin, min(count, begin + GROUP))],
        )
        made.execute("commit")
    took = time.perf_counter() - began
    made.close()
    return count / took


def reconciled(seed: int, size: int, differ: int) -> dict[str, Any]:
    """Bytes of all messages until both sides know what differs, against the ids of all and the entries of
    all."""
    rng = random.Random(seed)
    common = {rng.getrandbits(64) for _ in range(size)}
    theirs = set(rng.sample(sorted(common), size - differ))
    one, other = ReconcileSession(common, seed), ReconcileSession(theirs, seed)
    began = time.perf_counter()
    cells = one.cells_needed(other.encode_strata())
    found = one.resolve(other.encode_table(cells))
    while found is None and one.cells:
        found = one.resolve(other.encode_table(one.cells))
    took = time.perf_counter() - began
    assert found is not None and found.only_here == common - theirs
    return {
        "case": f"reconcile-{size}-{differ}",
        "reconcile_bytes": one.transferred_bytes,
        "bytes_of_all_ids": 8 * len(theirs),
        "bytes_of_all_entries": ENTRY_BYTES * len(theirs),
        "ratio_to_ids": round(one.transferred_bytes / (8 * len(theirs)), 4),
        "seconds": round(took, 2),
    }


def play(seed: int, folder: Path) -> dict[str, Any]:
    rng = random.Random(seed)
    payload = rng.randbytes(120)
    pairs = [
        (append(folder / f"s{n}", 100_000, payload), append_sqlite(folder / f"q{n}.db", 100_000, payload))
        for n in range(3)
    ]
    ours, theirs = sorted(p[0] for p in pairs)[1], sorted(p[1] for p in pairs)[1]
    big = folder / "big"
    append(big, MANY, payload)
    began = time.perf_counter()
    store = Store(DiskDirectory(str(big)), StoreSettings(str(big)), 0.0, lambda record: None)
    recovery = time.perf_counter() - began
    assert store.recovery.records >= MANY
    store.close(0.0)
    reader = StoreReader(DiskDirectory(str(big)))
    wanted = [rng.randrange(1, MANY) for _ in range(200)]
    began = time.perf_counter()
    for seq in wanted:
        assert next(reader.records_from_seq(seq)).seq == seq
    by_seq = (time.perf_counter() - began) / len(wanted)
    assert not list(reader.records_with_key(b"none"))  # sorts the tables, once
    began = time.perf_counter()
    for seq in wanted:
        assert next(reader.records_with_key(b"%x" % (seq - 1))).seq == seq
    by_key = (time.perf_counter() - began) / len(wanted)
    began = time.perf_counter()
    assert next(r for r in reader.records_from_seq(1) if r.seq == MANY // 2)
    scan = time.perf_counter() - began
    return {
        "case": "storage",
        "reconcile": [reconciled(seed, 100_000, differ) for differ in (0, 10, 1000, 10_000)],
        "append_per_s": round(ours),
        "sqlite_wal_per_s": round(theirs),
        "ratio": round(ours / theirs, 2),
        "recovery_of_1e6_s": round(recovery, 2),
        "seek_by_number_us": round(1e6 * by_seq, 1),
        "seek_by_key_us": round(1e6 * by_key, 1),
        "scan_to_the_middle_us": round(1e6 * scan, 1),
    }
