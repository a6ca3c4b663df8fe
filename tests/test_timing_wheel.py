"""The timing wheel against a plain list, in any order of use."""

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
def test_it_fires_what_a_plain_list_fires(start: float, play: list[tuple[str, int, float]]) -> None:
    now, wheel, plain = start, TimingWheel[int](start), dict[int, float]()
    for what, item, value in play:
        if what == "schedule":
            wheel.schedule(item, now + value)
            plain[item] = now + value
        elif what == "cancel":
            assert wheel.cancel(item) == (plain.pop(item, None) is not None)
        else:
            if what == "next":  # whoever sleeps until then misses nothing
                first = min(plain.values(), default=float("inf"))
                assert wheel.next_time() <= first
                now = max(now, min(wheel.next_time(), now + 1e6))
            now = now - value if what == "back" else now + max(0.0, value)
            due = sorted((at, item) for item, at in plain.items() if at <= now)
            assert sorted(wheel.expired(now)) == sorted(item for _, item in due)
            plain = {item: at for item, at in plain.items() if at > now}
        assert len(wheel) == len(plain) and all(item in wheel for item in plain)
        in_use = [sum(1 << n for n, slot in enumerate(level) if slot) for level in wheel.slots]
        assert in_use == wheel.used


def test_what_is_due_comes_earliest_first_and_once() -> None:
    wheel = TimingWheel[str](1000.0)
    for name, at in (("c", 1000.7), ("a", 1000.2), ("b", 1000.5), ("later", 1000.9), ("far", 9e9)):
        wheel.schedule(name, at)
    assert wheel.expired(1000.8) == ["a", "b", "c"] and wheel.expired(1000.8) == []
    assert wheel.next_time() == 1000.9 and wheel.expired(1000.9) == ["later"]
    assert wheel.next_time() <= 9e9 and wheel.expired(1e10) == ["far"] and len(wheel) == 0


def test_sleeping_until_the_next_time_always_gets_there() -> None:
    wheel, now, wakes = TimingWheel[int](0.0), 0.0, 0
    wheel.schedule(1, 123_456.5)
    while not wheel.expired(now):
        now, wakes = max(now, wheel.next_time()), wakes + 1
    assert now == 123_456.5 and wakes <= 5
