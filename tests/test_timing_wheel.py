"""Compares the timing wheel with a expected dictionary under random operations."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from harrieryoke.core.timing_wheel import SPAN_TICKS, TimingWheel

delays = st.one_of(
    st.floats(-10, 10),
    st.floats(0, 70),
    st.floats(0, 5000),
    st.floats(0, 300_000),
    st.floats(0, 3 * SPAN_TICKS),
)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("schedule"), st.integers(0, 12), delays),
        st.tuples(st.just("cancel"), st.integers(0, 12), st.just(0.0)),
        st.tuples(st.just("pass"), st.just(0), delays),
        st.tuples(st.just("back"), st.just(0), st.floats(0, 6000)),
        st.tuples(st.just("next"), st.just(0), st.just(0.0)),
    ),
    max_size=60,
)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.floats(0, 1e13), steps)
def test_wheel_expires_the_same_items_as_a_dictionary(
    start: float, operations: list[tuple[str, int, float]]
) -> None:
    now, wheel, expected = start, TimingWheel[int](start), dict[int, float]()
    for operation, item, value in operations:
        if operation == "schedule":
            wheel.schedule(item, now + value)
            expected[item] = now + value
        elif operation == "cancel":
            assert wheel.cancel(item) == (expected.pop(item, None) is not None)
        else:
            if operation == "next":  # sleeping until then misses no timer
                first = min(expected.values(), default=float("inf"))
                assert wheel.next_time() <= first
                now = max(now, min(wheel.next_time(), now + 1e6))
            now = now - value if operation == "back" else now + max(0.0, value)
            due = sorted((at, item) for item, at in expected.items() if at <= now)
            assert sorted(wheel.expired(now)) == sorted(item for _, item in due)
            expected = {item: at for item, at in expected.items() if at > now}
        assert len(wheel) == len(expected) and all(item in wheel for item in expected)
        in_use = [sum(1 << n for n, slot in enumerate(level) if slot) for level in wheel.slots]
        assert in_use == wheel.used


def test_due_items_expire_once_and_earliest_first() -> None:
    wheel = TimingWheel[str](1000.0)
    for name, at in (("c", 1000.7), ("a", 1000.2), ("b", 1000.5), ("later", 1000.9), ("far", 9e9)):
        wheel.schedule(name, at)
    assert wheel.expired(1000.8) == ["a", "b", "c"] and wheel.expired(1000.8) == []
    assert wheel.next_time() == 1000.9 and wheel.expired(1000.9) == ["later"]
    assert wheel.next_time() <= 9e9 and wheel.expired(1e10) == ["far"] and len(wheel) == 0


def test_sleeping_until_the_next_time_reaches_the_timer() -> None:
    wheel, now, wakes = TimingWheel[int](0.0), 0.0, 0
    wheel.schedule(1, 123_456.5)
    while not wheel.expired(now):
        now, wakes = max(now, wheel.next_time()), wakes + 1
    assert now == 123_456.5 and wakes <= 5
