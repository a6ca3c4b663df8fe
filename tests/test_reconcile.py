"""Reconciliation finds exactly the difference, in few bytes, and terminates on malicious tables."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harrieryoke.ledger.decide.reconcile import ReconcileSession, Sketch, StrataEstimator

FUZZ = settings(max_examples=60, deadline=None, derandomize=True)


def reconcile(ours: set[int], theirs: set[int], seed: int) -> tuple[set[int], set[int], int]:
    """Runs both sides in one place: the ids that only one side has, and the bytes transferred."""
    first, second = ReconcileSession(ours, seed), ReconcileSession(theirs, seed)
    cells = first.cells_needed(second.encode_strata())
    while True:
        found = first.resolve(second.encode_table(cells))
        if found is not None:
            return found.only_here, found.only_there, first.transferred_bytes
        cells = first.cells
        assert cells


@FUZZ
@given(
    st.sets(st.integers(0, 2**64 - 1), max_size=300),
    st.sets(st.integers(0, 2**64 - 1), max_size=80),
    st.sets(st.integers(0, 2**64 - 1), max_size=80),
    st.integers(0, 2**32),
)
def test_reconciliation_finds_exactly_the_difference(
    common: set[int], ours: set[int], theirs: set[int], seed: int
) -> None:
    first, second = common | ours, common | theirs
    assert reconcile(first, second, seed)[:2] == (first - second, second - first)


@pytest.mark.parametrize("differ", [0, 10, 1000])
def test_messages_grow_with_the_difference_not_with_the_sets(differ: int) -> None:
    rng = random.Random(5)
    common = {rng.getrandbits(64) for _ in range(20_000)}
    ours = common | {rng.getrandbits(64) for _ in range(differ)}
    found = reconcile(ours, common, 7)
    assert found[0] == ours - common and not found[1]
    assert found[2] < 45_000 + 200 * differ < 8 * len(common) + 200 * differ


def test_a_malicious_table_terminates_and_is_rejected() -> None:
    rng = random.Random(1)
    for _ in range(300):
        sketch = Sketch(30, 3)
        for cell in range(30):
            sketch.counts[cell] = rng.choice((-1, 0, 1))
            sketch.id_xors[cell] = rng.choice((5, 9))
            probe = Sketch(30, 3)
            probe.add(sketch.id_xors[cell])
            sketch.checksum_xors[cell] = next(checksum for checksum in probe.checksum_xors if checksum)
        assert not sketch.peel()[2]
    for data in (b"", b"x" * 13, Sketch(30, 1).encode()[:-1]):
        with pytest.raises(ValueError, match="sketch"):
            Sketch.decode(data)
    with pytest.raises(ValueError, match="strata"):
        StrataEstimator.decode(b"x")
    with pytest.raises(ValueError, match="another size"):
        Sketch(30, 1).subtract(Sketch(33, 1))
