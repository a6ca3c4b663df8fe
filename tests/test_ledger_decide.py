"""The ledger's book against exact arithmetic, and the export's state against faulty collectors."""

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


def make_book(epoch: int = 1, **options: int) -> Book:
    return Book("n1", epoch, Periods(HOUR, options.get("grace", 60_000)), options.get("window", 6000))


def call_usage(
    time_ms: int,
    tenant: str = "coop-kef",
    outcome: str = "served",
    key: str | None = None,
    duration_ms: int = 50,
) -> CallUsage:
    return CallUsage(time_ms, tenant, "harvest-log", outcome, 3000, duration_ms, 400, idempotency_key=key)


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
    rng, book, now, sealed = (
        random.Random(seed),
        make_book(),
        10 * HOUR,
        dict[int, tuple[str, object]](),
    )
    entries: list[Entry] = []
    expected: dict[EntryId, Amounts] = {}  # expected amounts of each root entry, by exact arithmetic
    root_of: dict[EntryId, EntryId] = {}
    for step, tenant, value in steps:
        if step == "clock":
            now += (value - 100) * 60_000  # back and forth across period boundaries
        elif step == "use":
            entries.append(book.add_usage(call_usage(now, tenant, duration_ms=value)))
            expected[entries[-1].id] = entries[-1].amounts
            root_of[entries[-1].id] = entries[-1].id
        elif step == "correct" and entries:
            old = rng.choice(entries)
            first = root_of[old.id]  # a correction of a correction corrects the root entry
            corrected = Amounts(1, value, value, 7 * value)
            if corrected != expected[first]:
                entries.append(book.add_correction(old, expected[first], corrected, "counted wrong", now))
                root_of[entries[-1].id], expected[first] = first, corrected
        elif step == "seal":
            for number in book.periods.due_for_sealing(now):
                book.seal(number, now)
                sealed[number] = (
                    book.periods.by_number[number].seal_digest,
                    book.totals.select(number),
                )
    for number, (digest, lines) in sealed.items():
        period = book.periods.by_number[number]
        assert (period.seal_digest, book.totals.select(number)) == (
            digest,
            lines,
        ) and period.entry_set.to_text() == digest
    total = sum(book.totals.lines.values(), Amounts())
    assert total == sum(expected.values(), Amounts())
    # The same entries give the same book, and so does a snapshot.
    replayed = make_book()
    for entry in entries:
        replayed.apply(decode_entry(entry.encode()))
    assert replayed.totals.lines == book.totals.lines
    assert {
        number: period.entry_set.to_text()
        for number, period in replayed.periods.by_number.items()
        if period.entry_set.count
    } == {
        number: period.entry_set.to_text()
        for number, period in book.periods.by_number.items()
        if period.entry_set.count
    }
    loaded = make_book(2)
    loaded.load(book.dump())
    assert loaded.totals.lines == book.totals.lines and loaded.periods == book.periods
    prices = {"harvest-log": Price("0.0013", "0.0000007")}
    exact = sum(
        (
            Fraction("0.0013") * amounts.calls + Fraction("0.0000007") * amounts.held / 1_000_000
            for amounts in expected.values()
        ),
        Fraction(0),
    )
    assert Fraction(sum(bill_by_tenant(book.totals.lines, prices).values(), Decimal(0))) == exact


def test_an_entry_for_a_sealed_period_counts_in_the_next_and_names_its_own() -> None:
    book = make_book()
    old = book.add_usage(call_usage(10 * HOUR))
    assert book.periods.due_for_sealing(11 * HOUR + 59_999) == [] and book.periods.due_for_sealing(
        11 * HOUR + 60_000
    ) == [10]
    with pytest.raises(PeriodError, match="not over"):
        book.seal(10, 11 * HOUR - 1)
    digest = book.seal(10, 12 * HOUR).seal_digest
    late = book.add_usage(call_usage(11 * HOUR - 1))
    correction = book.add_correction(old, old.amounts, Amounts(), "billed by mistake", 12 * HOUR)
    assert (late.period, late.original_period, correction.period, correction.original_period) == (
        11,
        10,
        11,
        10,
    )
    assert correction.reason == "billed by mistake" and book.periods.by_number[10].seal_digest == digest
    with pytest.raises(PeriodError, match="sealed already"):
        book.seal(10, 13 * HOUR)
    with pytest.raises(BookError, match="reason"):
        book.add_correction(old, old.amounts, Amounts(2), " ", 0)
    second_correction = book.add_correction(correction, Amounts(), old.amounts, "it was none", 12 * HOUR)
    assert (
        second_correction.corrects == correction.id and sum(book.totals.lines.values(), Amounts()).calls == 2
    )


def test_an_idempotency_key_is_billed_once_also_after_a_restart_and_a_clock_step() -> None:
    book = make_book()
    entries = [
        book.add_usage(call_usage(HOUR, key="k1")),
        book.add_usage(call_usage(HOUR + 10, key="k1")),
    ]
    entries.append(book.add_usage(call_usage(HOUR - 5000, key="k1")))  # the clock stepped back
    # keys are scoped to their tenant
    entries.append(book.add_usage(call_usage(HOUR + 20, "coop-jerba", key="k1")))
    entries.append(book.add_usage(call_usage(HOUR + 20, outcome="refused", key="k2")))
    entries.append(book.add_usage(call_usage(HOUR + 30, key="k2")))
    assert [entry.is_repeat for entry in entries] == [False, True, True, False, False, False]
    replayed = make_book(2)
    for entry in entries:
        replayed.apply(entry)
    assert replayed.add_usage(call_usage(HOUR + 40, key="k1")).is_repeat
    loaded = make_book(3)
    loaded.load(replayed.dump())
    assert loaded.add_usage(call_usage(HOUR + 50, key="k1")).is_repeat
    # past its window: the model host ran it again
    assert not loaded.add_usage(call_usage(HOUR + 50_000, key="k1")).is_repeat


def test_totals_keep_their_sum_beyond_the_line_limit() -> None:
    book = make_book()
    book.totals.max_lines = 3
    for n in range(10):
        book.add_usage(call_usage(HOUR, f"coop-{n}"))
    assert len(book.totals.lines) == 4 and book.totals.lumped_count == 7
    assert sum(book.totals.lines.values(), Amounts()).calls == 10


class Collector:
    """A collector as seen by the export: stores each batch once, and may lose, repeat or be restored."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.kept: dict[BatchId, tuple[int, int]] = {}
        self.taken: list[tuple[int, int]] = []  # entries of stored batches, in order
        self.saved: dict[BatchId, tuple[int, int]] = {}

    def held_up_to(self, epoch: int) -> int:
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
def test_each_entry_reaches_a_faulty_collector_exactly_once(steps: list[str], seed: int) -> None:
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
        export.resume({7: collector.held_up_to(7)})

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
                batch_id = answers.pop(rng.randrange(len(answers)))
                for _ in range(1 + (step == "twice")):
                    export.record_acknowledgement(
                        batch_id, f"d{collector.kept[batch_id][0]}" if batch_id in collector.kept else ""
                    )
            case "refuse" if answers:
                batch_id = answers.pop()
                collector.kept.pop(batch_id, None)
                export.record_refusal(batch_id, "no", permanent=False)
            case "lose":
                reconnect()
            case "save":
                collector.saved = dict(collector.kept)
            case "back":
                collector.kept = {batch_id: entry_range for batch_id, entry_range in collector.saved.items()}
                reconnect()
            case "restart":
                dumped = export.dump()
                export = ExportState(max_in_flight=3, max_kept_batches=1000)
                export.load(dumped)
                reconnect()

    for step in steps:
        act(step)
        assert len(export.in_flight) <= 3
    reconnect()
    for _ in range(400):
        act("send")
        act("answer")
    kept = sorted(collector.kept.values())
    entries = [n for first, last in kept for n in range(first, last + 1)]
    assert entries == list(range(1, number + 1)) and not export.unsent_entries() and not export.lost_batches


def test_a_permanently_refused_batch_is_set_aside_and_blocks_nothing() -> None:
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


def test_an_answer_with_another_digest_is_not_an_acknowledgement() -> None:
    export = ExportState()
    export.create_batch(1, 1, 5, 1, 5, "ours")
    batch = export.next_to_send(0.0)
    assert batch is not None and not export.record_acknowledgement(batch.id, "theirs")
    assert "theirs" in export.set_aside_batches[batch.id].reason and export.digest_mismatches == 1


def test_batches_lost_at_the_collector_and_no_longer_kept_are_reported() -> None:
    export = ExportState(max_in_flight=10, max_kept_batches=2)
    for n in range(1, 9):
        export.create_batch(1, n, n, n, n, "d")
        batch = export.next_to_send(0.0)
        assert batch is not None and export.record_acknowledgement(batch.id, "d")
    assert export.first_needed_seq() == 7
    export.resume({1: 3})
    assert export.lost_batches == [(1, 4, 6)] and [batch_id.number for batch_id in export.waiting] == [7, 8]
    assert (
        export.answer_overdue(1e9) is False
        and export.next_to_send(0.0) is not None
        and export.answer_overdue(1e9)
    )
