"""The scheduler of background jobs: budgets, priorities, aging, deadlines and back-off."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from harrieryoke.background.decide.schedule import Job, JobScheduler, SliceResult

FUZZ = settings(max_examples=120, deadline=None, derandomize=True)


def run_slices(
    schedule: JobScheduler, until: float, slice_ms: float, size: int, step: float = 5.0, busy: bool = False
) -> list[tuple[float, str]]:
    runs, now = [], 0.0
    while now < until:
        name = schedule.start_next(now, busy)
        if name is None:
            now += step
            continue
        runs.append((now, name))
        now += slice_ms
        schedule.finish_slice(now, SliceResult.MORE, slice_ms, size)
    return runs


@FUZZ
@given(st.floats(0.01, 0.8), st.floats(0.5, 60), st.floats(1e3, 1e6), st.integers(0, 100_000))
def test_each_second_stays_within_its_budget_plus_one_slice(
    share: float, slice_ms: float, rate: float, size: int
) -> None:
    schedule = JobScheduler(share, rate, 1)
    for name, priority in (("a", 9), ("b", 1)):
        schedule.add(Job(name, priority), 0.0)
        schedule.request(name, 0.0)
    runs = run_slices(schedule, 20_000.0, slice_ms, size)
    for begin in range(0, 19_000, 500):
        window = [time for time, _ in runs if begin <= time < begin + 1000]
        # a full bucket, one second's refill, and the slice that may overdraw
        assert len(window) * slice_ms <= 2 * 1000 * share + slice_ms + 1e-6
        assert len(window) * size <= 2 * rate + size + 1e-6
    assert len(runs) * slice_ms <= 1000 * share * 21 + slice_ms


def test_the_higher_priority_goes_first_and_the_lower_does_not_starve() -> None:
    schedule = JobScheduler(0.5, 1e9, 1, aging_ms=500.0)
    for name, priority in (("export", 8), ("compact", 2)):
        schedule.add(Job(name, priority), 0.0)
        schedule.request(name, 0.0)
    runs = run_slices(schedule, 60_000.0, 10.0, 0)
    low_priority_runs = [time for time, name in runs if name == "compact"]
    assert runs[0][1] == "export" and len(low_priority_runs) < len(runs) / 20
    # six priority levels, and a slice or two
    assert max(b - a for a, b in pairwise([0.0, *low_priority_runs])) < 6 * 500 + 100


def test_while_serving_is_busy_only_overdue_jobs_run() -> None:
    schedule = JobScheduler(0.5, 1e9, 1)
    schedule.add(Job("export", 8, deadline_ms=2000.0), 0.0)
    schedule.add(Job("compact", 9), 0.0)
    schedule.request("export", 0.0)
    schedule.request("compact", 0.0)
    assert schedule.start_next(1000.0, busy=True) is None
    assert schedule.next_wake(1000.0, busy=True) == 2001.0
    assert schedule.start_next(2001.0, busy=True) == "export"
    schedule.finish_slice(2002.0, SliceResult.DONE, 1.0, 0)
    assert schedule.start_next(2003.0, busy=True) is None and schedule.jobs["export"].late_count == 1


def test_a_failed_job_backs_off_with_jitter_and_a_request_does_not_shorten_it() -> None:
    retry_times = []
    for seed in range(20):
        schedule, now = JobScheduler(1.0, 1e9, seed), 0.0
        schedule.add(Job("export"), 0.0)
        schedule.request("export", 0.0)
        for n in range(12):
            while schedule.start_next(now, False) is None:
                schedule.request("export", now)
                now = schedule.next_wake(now, False) or now
            schedule.finish_slice(now, SliceResult.FAILED, 0.0, 0)
            delay_ms = schedule.jobs["export"].next_run_at - now
            assert 0.5 * min(60_000.0, 250.0 * 2**n) <= delay_ms <= 1.5 * min(60_000.0, 250.0 * 2**n)
        retry_times.append(schedule.jobs["export"].next_run_at)
    assert len(set(retry_times)) == 20


def test_a_job_requested_while_running_runs_once_more() -> None:
    schedule = JobScheduler(1.0, 1e9, 1)
    schedule.add(Job("snapshot"), 0.0)
    schedule.request("snapshot", 0.0)
    assert schedule.start_next(1.0, False) == "snapshot"
    for _ in range(3):
        schedule.request("snapshot", 1.0)
    schedule.finish_slice(2.0, SliceResult.DONE, 1.0, 0)
    assert schedule.start_next(3.0, False) == "snapshot"
    schedule.finish_slice(4.0, SliceResult.DONE, 1.0, 0)
    assert schedule.start_next(5.0, False) is None and schedule.next_wake(5.0, False) is None


def test_a_clock_step_back_delays_no_job_and_credits_no_budget_twice() -> None:
    schedule = JobScheduler(0.1, 1e9, 1)
    schedule.add(Job("compact", period_ms=1000.0), 1e9)
    assert schedule.start_next(1e9 + 1000.0, False) == "compact"
    schedule.finish_slice(1e9 + 1000.0, SliceResult.DONE, 500.0, 0)
    tokens = schedule.time_budget.tokens
    assert schedule.start_next(1e9 - 3_600_000.0, False) is None and schedule.time_budget.tokens == tokens
    assert schedule.jobs["compact"].next_run_at <= 1e9 - 3_600_000.0 + 1000.0
