"""The ledger's book against exact arithmetic, and the export's state against collectors of every kind."""

from __future__ import annotations

import random
from decimal import Decimal
from fractions import Fraction

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harrieryoke.ledger.decide.book import Book, BookError, CallUsage, Price, bill_by_tenant
from harrieryoke.ledger.decide.entry import Amounts, Entry, EntryId, decode_entry
from harrieryoke.ledger.decide.export import BatchId, ExportState
from harrieryoke.ledger.decide.periods import PeriodError, Periods

FUZZ = settings(max_examples=150, deadline=None, derandomize=True)
HOUR = 3_600_000


def book(epoch: int = 1, **told: int) -> Book:
    return Book("n1", epoch, Periods(HOUR, told.get("grace", 60_000)), told.get("window", 6000))


def use(
    at: int, tenant: str = "coop-kef", outcome: str = "served", key: str | None = None, took: int = 50
) -> CallUsage:
    return CallUsage(at, tenant, "harvest-log", outcome, 3000, took, 400, idempotency_key=key)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["use", "use", "use", "correct", "seal", "clock"]),
        st.sampled_from(["coop-kef", "coop-jerba"]),
        st.integers(0, 400),
    ),
    max_size=60,
)


@FUZZ
@given(STEPS, st.integers(0, 1000))
def test_totals_derive_from_entries_and_a_sealed_period_never_changes(
    steps: list[tuple[str, str, int]], seed: int
) -> None:
    rng, made, now, sealed = random.Random(seed), book(), 10 * HOUR, dict[int, tuple[str, object]]()
    entries: list[Entry] = []
    amount: dict[EntryId, Amounts] = {}  # what each root amounts to, by exact arithmetic
    root: dict[EntryId, EntryId] = {}
    for step, tenant, value in steps:
        if step == "clock":
            now += (value - 100) * 60_000  # back and forth over the ends of periods
        elif step == "use":
            entries.append(made.add_usage(use(now, tenant, took=value)))
            amount[entries[-1].id] = entries[-1].amounts
            root[entries[-1].id] = entries[-1].id
        elif step == "correct" and entries:
            old = rng.choice(entries)
            first = root[old.id]  # a correction of a correction corrects what it corrected
            to = Amounts(1, value, value, 7 * value)
            if to != amount[first]:
                entries.append(made.add_correction(old, amount[first], to, "counted wrong", now))
                root[entries[-1].id], amount[first] = first, to
        elif step == "seal":
            for number in made.periods.due_for_sealing(now):
                made.seal(number, now)
                sealed[number] = (made.periods.by_number[number].seal_digest, made.totals.select(number))
    for number, (digest, lines) in sealed.items():
        period = made.periods.by_number[number]
        assert (period.seal_digest, made.totals.select(number)) == (
            digest,
            lines,
        ) and period.entry_set.to_text() == digest
    total = sum(made.totals.lines.values(), Amounts())
    assert total == sum(amount.values(), Amounts())
    # the same entries give the same book, and a snapshot gives it too
    again = book()
    for entry in entries:
        again.apply(decode_entry(entry.encode()))
    assert again.totals.lines == made.totals.lines
    assert {n: p.entry_set.to_text() for n, p in again.periods.by_number.items() if p.entry_set.count} == {
        n: p.entry_set.to_text() for n, p in made.periods.by_number.items() if p.entry_set.count
    }
    loaded = book(2)
    loaded.load(made.dump())
    assert loaded.totals.lines == made.totals.lines and loaded.periods == made.periods
    prices = {"harvest-log": Price("0.0013", "0.0000007")}
    exact = sum(
        (Fraction("0.0013") * a.calls + Fraction("0.0000007") * a.held / 1_000_000 for a in amount.values()),
        Fraction(0),
    )
    assert Fraction(sum(bill_by_tenant(made.totals.lines, prices).values(), Decimal(0))) == exact


def test_what_comes_for_a_closed_period_counts_in_the_next_and_says_so() -> None:
    made = book()
    old = made.add_usage(use(10 * HOUR))
    assert made.periods.due_for_sealing(11 * HOUR + 59_999) == [] and made.periods.due_for_sealing(
        11 * HOUR + 60_000
    ) == [10]
    with pytest.raises(PeriodError, match="not over"):
        made.seal(10, 11 * HOUR - 1)
    digest = made.seal(10, 12 * HOUR).seal_digest
    late = made.add_usage(use(11 * HOUR - 1))
    fixed = made.add_correction(old, old.amounts, Amounts(), "billed by mistake", 12 * HOUR)
    assert (late.period, late.original_period, fixed.period, fixed.original_period) == (11, 10, 11, 10)
    assert fixed.reason == "billed by mistake" and made.periods.by_number[10].seal_digest == digest
    with pytest.raises(PeriodError, match="sealed already"):
        made.seal(10, 13 * HOUR)
    with pytest.raises(BookError, match="reason"):
        made.add_correction(old, old.amounts, Amounts(2), " ", 0)
    undone = made.add_correction(fixed, Amounts(), old.amounts, "it was none", 12 * HOUR)
    assert undone.corrects == fixed.id and sum(made.totals.lines.values(), Amounts()).calls == 2


def test_a_keyed_repeat_is_billed_once_also_after_a_restart_and_a_step_of_the_clock() -> None:
    made = book()
    entries = [made.add_usage(use(HOUR, key="k1")), made.add_usage(use(HOUR + 10, key="k1"))]
    entries.append(made.add_usage(use(HOUR - 5000, key="k1")))  # the clock stepped back
    entries.append(made.add_usage(use(HOUR + 20, "coop-jerba", key="k1")))  # another tenant's is another key
    entries.append(made.add_usage(use(HOUR + 20, outcome="refused", key="k2")))
    entries.append(made.add_usage(use(HOUR + 30, key="k2")))
    assert [e.is_repeat for e in entries] == [False, True, True, False, False, False]
    after = book(2)
    for entry in entries:
        after.apply(entry)
    assert after.add_usage(use(HOUR + 40, key="k1")).is_repeat
    later = book(3)
    later.load(after.dump())
    assert later.add_usage(use(HOUR + 50, key="k1")).is_repeat
    assert not later.add_usage(
        use(HOUR + 50_000, key="k1")
    ).is_repeat  # past its window: the rack ran it again


def test_totals_keep_their_sum_when_there_are_more_lines_than_room() -> None:
    made = book()
    made.totals.max_lines = 3
    for n in range(10):
        made.add_usage(use(HOUR, f"coop-{n}"))
    assert len(made.totals.lines) == 4 and made.totals.lumped_count == 7
    assert sum(made.totals.lines.values(), Amounts()).calls == 10


class Collector:
    """A collector as the export's state meets it: takes a batch once, and may lose, repeat or go back."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.kept: dict[BatchId, tuple[int, int]] = {}
        self.taken: list[tuple[int, int]] = []  # entries of what it took, in its order
        self.older: dict[BatchId, tuple[int, int]] = {}

    def upto(self, epoch: int) -> int:
        number = 0
        while BatchId(epoch, number + 1) in self.kept:
            number += 1
        return number


@FUZZ
@given(
    st.lists(
        st.sampled_from("cut cut send send answer answer twice lose refuse save back restart".split()),
        max_size=120,
    ),
    st.integers(0, 1000),
)
def test_whatever_the_collector_does_each_entry_is_there_once_in_the_end(steps: list[str], seed: int) -> None:
    rng = random.Random(seed)
    export, collector = ExportState(max_in_flight=3, max_kept_batches=1000), Collector(rng)
    number, answers = 0, list[BatchId]()

    def send(batch: object) -> None:
        assert batch is not None
        collector.kept.setdefault(batch.id, (batch.first_entry, batch.last_entry))  # type: ignore[attr-defined]
        answers.append(batch.id)  # type: ignore[attr-defined]

    def reconnect() -> None:
        export.connection_lost()
        answers.clear()
        export.resume({7: collector.upto(7)})

    def act(step: str) -> None:
        nonlocal number, export
        match step:
            case "cut":
                size = rng.randrange(1, 5)
                export.create_batch(7, number + 1, number + size, number + 1, number + size, f"d{number + 1}")
                number += size
            case "send":
                batch = export.next_to_send(0.0)
                if batch is not None:
                    send(batch)
            case "answer" | "twice" if answers:
                id = answers.pop(rng.randrange(len(answers)))
                for _ in range(1 + (step == "twice")):
                    export.record_acknowledgement(
                        id, f"d{collector.kept[id][0]}" if id in collector.kept else ""
                    )
            case "refuse" if answers:
                id = answers.pop()
                collector.kept.pop(id, None)
                export.record_refusal(id, "no", permanent=False)
            case "lose":
                reconnect()
            case "save":
                collector.older = dict(collector.kept)
            case "back":
                collector.kept = {k: v for k, v in collector.older.items()}
                reconnect()
            case "restart":
                told = export.dump()
                export = ExportState(max_in_flight=3, max_kept_batches=1000)
                export.load(told)
                reconnect()

    for step in steps:
        act(step)
        assert len(export.in_flight) <= 3
    reconnect()
    for _ in range(400):
        act("send")
        act("answer")
    have = sorted(collector.kept.values())
    entries = [n for first, last in have for n in range(first, last + 1)]
    assert entries == list(range(1, number + 1)) and not export.unsent_entries() and not export.lost_batches


def test_a_batch_that_is_refused_for_good_is_set_aside_and_blocks_nothing() -> None:
    export = ExportState(max_in_flight=1, max_kept_batches=1)
    for n in range(1, 5):
        export.create_batch(1, n, n, n, n, f"d{n}")
    first = export.next_to_send(0.0)
    assert first is not None and export.next_to_send(0.0) is None
    export.record_refusal(first.id, "unknown tenant", permanent=True)
    for _ in range(3):
        batch = export.next_to_send(1.0)
        assert batch is not None
        export.record_acknowledgement(batch.id, batch.digest)
    assert (
        list(export.set_aside_batches) == [BatchId(1, 1)]
        and export.epochs[1].done_up_to == 4
        and export.first_needed_seq() == 1
    )
    assert export.unsent_entries() == 1 and export.set_aside_batches[first.id].reason == "unknown tenant"
    assert export.retry_set_aside(first.id) and export.next_to_send(2.0) is first


def test_another_digest_under_the_same_number_is_never_taken_for_ours() -> None:
    export = ExportState()
    export.create_batch(1, 1, 5, 1, 5, "ours")
    batch = export.next_to_send(0.0)
    assert batch is not None and not export.record_acknowledgement(batch.id, "theirs")
    assert "theirs" in export.set_aside_batches[batch.id].reason and export.digest_mismatches == 1


def test_what_the_collector_lost_and_nobody_kept_is_told() -> None:
    export = ExportState(max_in_flight=10, max_kept_batches=2)
    for n in range(1, 9):
        export.create_batch(1, n, n, n, n, "d")
        batch = export.next_to_send(0.0)
        assert batch is not None and export.record_acknowledgement(batch.id, "d")
    assert export.first_needed_seq() == 7
    export.resume({1: 3})
    assert export.lost_batches == [(1, 4, 6)] and [b.number for b in export.waiting] == [7, 8]
    assert (
        export.answer_overdue(1e9) is False
        and export.next_to_send(0.0) is not None
        and export.answer_overdue(1e9)
    )
