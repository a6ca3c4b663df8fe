"""Reconciliation finds just what differs, in few bytes, and is not led round for ever."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harrieryoke.ledger.decide.reconcile import ReconcileSession, Sketch, StrataEstimator

FUZZ = settings(max_examples=60, deadline=None, derandomize=True)


def reconcile(ours: set[int], theirs: set[int], seed: int) -> tuple[set[int], set[int], int]:
    """Both sides in one place: what each has alone, and the bytes that went over."""
    one, other = ReconcileSession(ours, seed), ReconcileSession(theirs, seed)
    cells = one.cells_needed(other.encode_strata())
    while True:
        found = one.resolve(other.encode_table(cells))
        if found is not None:
            return found.only_here, found.only_there, one.transferred_bytes
        cells = one.cells
        assert cells


@FUZZ
@given(
    st.sets(st.integers(0, 2**64 - 1), max_size=300),
    st.sets(st.integers(0, 2**64 - 1), max_size=80),
    st.sets(st.integers(0, 2**64 - 1), max_size=80),
    st.integers(0, 2**32),
)
def test_both_sides_learn_just_what_differs(
    common: set[int], ours: set[int], theirs: set[int], seed: int
) -> None:
    one, other = common | ours, common | theirs
    assert reconcile(one, other, seed)[:2] == (one - other, other - one)


@pytest.mark.parametrize("differ", [0, 10, 1000])
def test_messages_grow_with_the_difference_not_with_the_sets(differ: int) -> None:
    rng = random.Random(5)
    common = {rng.getrandbits(64) for _ in range(20_000)}
    ours = common | {rng.getrandbits(64) for _ in range(differ)}
    found = reconcile(ours, common, 7)
    assert found[0] == ours - common and not found[1]
    assert found[2] < 45_000 + 200 * differ < 8 * len(common) + 200 * differ


def test_a_table_made_wrong_ends_and_is_told() -> None:
    rng = random.Random(1)
    for _ in range(300):
        made = Sketch(30, 3)
        for at in range(30):
            made.counts[at] = rng.choice((-1, 0, 1))
            made.id_xors[at] = rng.choice((5, 9))
            probe = Sketch(30, 3)
            probe.add(made.id_xors[at])
            made.checksum_xors[at] = next(check for check in probe.checksum_xors if check)
        assert not made.peel()[2]
    for data in (b"", b"x" * 13, Sketch(30, 1).encode()[:-1]):
        with pytest.raises(ValueError, match="sketch"):
            Sketch.decode(data)
    with pytest.raises(ValueError, match="strata"):
        StrataEstimator.decode(b"x")
    with pytest.raises(ValueError, match="another size"):
        Sketch(30, 1).subtract(Sketch(33, 1))
