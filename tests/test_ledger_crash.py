"""The ledger on the store, through crashes at any operation: what was durable is there, sealed is sealed."""

from __future__ import annotations

import errno
import random

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from harrieryoke.ledger.decide.book import Book, Use
from harrieryoke.ledger.decide.entry import Amounts, Entry, decode
from harrieryoke.ledger.decide.export import BatchId, ExportState
from harrieryoke.ledger.decide.ledger import CUT, DONE, ENTRIES, SEAL, Cut, Done, Ledger, Sealed
from harrieryoke.ledger.decide.periods import Periods
from harrieryoke.store.decide.segment import Record
from harrieryoke.store.settings import StoreError, StoreSettings
from harrieryoke.store.store import Store

from .faulty import Crash, Disk, Killed
from .test_ledger_decide import HOUR

PACK = msgspec.msgpack.encode
FUZZ = settings(max_examples=200, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))


class Life:
    """One life of an instance: its ledger on a disk that may crash."""

    def __init__(self, disk: Disk, epoch: int, collector: dict[BatchId, tuple[str, list[Entry]]]) -> None:
        self.disk, self.collector, self.now = disk, collector, 10.0 * HOUR
        self.ledger = Ledger(Book("n1", epoch, Periods(HOUR, 0), 6000), ExportState(keep=2), batch=3)
        self.store = Store(
            disk, StoreSettings("x", segment_mb=0.002, sync="group"), 0.0, self.visit, self.load
        )

    def load(self, payload: bytes) -> None:
        self.ledger.load(payload, self.now)

    def visit(self, record: Record) -> None:
        self.ledger.replay(record.kind, record.seq, record.payload, self.now)

    def keep(self, kind: int, payload: bytes) -> int:
        seq = self.store.append(self.now, kind, b"k", payload)
        assert seq is not None
        return seq

    def flush(self) -> bool:
        return self.store.flush(self.now + 1e9)

    def act(self, step: str, value: int, rng: random.Random) -> None:
        book = self.ledger.book
        if step == "use":
            use = Use(int(self.now), f"t{value % 3}", "c", "served", 1000, value, 400, key=f"k{value % 50}")
            self.enter(book.use(use))
        elif step == "correct":
            mine = [f.entry for f in self.ledger.fresh if f.entry.amounts != Amounts()]
            if mine:
                old = rng.choice(mine)
                to = Amounts(1, value, value, value)
                if to != old.amounts:
                    self.enter(book.correct(old, old.amounts, to, "wrong", int(self.now)))
        elif step == "seal":
            self.now += HOUR
            for number in book.periods.due(int(self.now)):
                period = book.seal(number, int(self.now))
                self.keep(SEAL, PACK(Sealed(number, period.sealed, int(self.now))))
        elif step == "export":
            self.export()
        elif step == "snapshot" and self.flush():
            self.store.take_snapshot(self.store.commit.durable, self.ledger.dump())
        elif step == "compact" and self.flush():
            self.store.compact(self.ledger.needed(self.store.commit.next_seq))
        elif step == "flush":
            self.flush()

    def enter(self, entry: Entry) -> None:
        self.ledger.entered(self.keep(entry.kind, entry.encode()), entry, self.now)

    def export(self) -> None:
        """As the daemon does it: cut, the cut durable, send, and only then the end."""
        durable = self.store.commit.durable
        while run := self.ledger.due(self.now, durable, flush=True):
            batch = self.ledger.cut(run, str(run[0].entry.id))
            cut = Cut(*batch.id, batch.first, batch.last, batch.begin, batch.end, batch.digest)
            self.keep(CUT, PACK(cut))
        if not self.flush():
            return
        while (chosen := self.ledger.export.next_to_send(self.now)) is not None:
            found = [
                decode(r.payload)
                for r in self.store.from_seq(chosen.begin)
                if r.seq <= chosen.end and r.kind in ENTRIES
            ]
            assert [e.id.number for e in found] == list(range(chosen.first, chosen.last + 1))
            held = self.collector.setdefault(chosen.id, (chosen.digest, found))
            assert held == (chosen.digest, found)  # under one number there is never another content
            assert self.ledger.export.acknowledged(chosen.id, held[0])
            self.keep(DONE, PACK(Done(*chosen.id, "")))


@FUZZ
@given(
    st.lists(
        st.tuples(
            st.sampled_from("use use use use correct seal export snapshot compact flush".split()),
            st.integers(1, 99),
        ),
        max_size=60,
    ),
    st.dictionaries(
        st.integers(1, 150), st.sampled_from(["crash", "kill", "short", errno.ENOSPC, errno.EIO]), max_size=5
    ),
    st.integers(0, 1000),
)
def test_after_any_crash_the_ledger_is_what_its_durable_records_say(
    steps: list[tuple[str, int]], fail: dict[int, str | int], seed: int
) -> None:
    disk, rng, epoch = Disk(seed), random.Random(seed), 1
    disk.faults = fail
    collector: dict[BatchId, tuple[str, list[Entry]]] = {}
    sealed: dict[int, str] = {}
    life: Life | None = None

    def begin() -> Life:
        made = Life(disk, epoch, collector)
        assert not made.ledger.damaged and not made.store.recovery.damaged
        for number, digest in sealed.items():  # what was sealed and durable is sealed for ever
            assert made.ledger.book.periods.known[number].sealed == digest
        for id, (_, entries) in collector.items():  # nothing that was sent is unknown here
            assert made.ledger.export.epochs[id.epoch].last >= entries[-1].id.number
        made.ledger.export.connection_lost()
        return made

    for step, value in [*steps, ("flush", 1)]:
        try:
            life = life or begin()
            life.act(step, value, rng)
            if step in ("seal", "flush") and life.flush():
                sealed |= {n: p.sealed for n, p in life.ledger.book.periods.known.items() if p.sealed}
        except (Crash, Killed) as ended:
            if isinstance(ended, Crash):
                disk.crash()
            disk.unlock()
            life, epoch = None, epoch + 1
        except (OSError, StoreError):
            if life is None:
                disk.unlock()
    disk.faults = {}
    if life is not None:
        life.flush()
        life.store.leave()
    disk.unlock()
    epoch += 1
    last = begin()
    last.export()
    entries = [e for _, (_, batch) in sorted(collector.items()) for e in batch]
    assert len({e.id for e in entries}) == len(entries)  # each once
    book = last.ledger.book
    assert sum((e.amounts for e in entries), Amounts()) == sum(book.totals.lines.values(), Amounts())
    assert sum(p.sum.count for p in book.periods.known.values()) == len(entries)
    sums: dict[int, int] = {}
    for entry in entries:
        sums[entry.period] = (sums.get(entry.period, 0) + entry.digest()) % (1 << 128)
    assert {n: p.sum.digest for n, p in book.periods.known.items() if p.sum.count} == sums
