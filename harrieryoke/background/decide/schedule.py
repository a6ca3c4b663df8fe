"""Scheduler of background jobs.

A job becomes ready when its period has elapsed or it is requested, then runs slice by slice. Among ready jobs
the one with the highest priority runs. A waiting job gains one priority level every `aging_ms`, so that none
starves, and a job past its deadline precedes all that are not. Time and bytes are taken from token buckets
that hold at most one second's worth: one slice may overdraw a bucket, and the debt is refilled before the
next slice.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random


class SliceResult(Enum):
    """How a slice ended."""

    MORE = "more"  # the job has another slice
    DONE = "done"
    FAILED = "failed"


@dataclass(slots=True)
class TokenBucket:
    """Token bucket with a rate of `rate` per second that holds one second's worth. One slice may make it
    negative."""

    rate: float
    tokens: float = 0.0
    updated_at: float | None = None

    def refill(self, now: float) -> None:
        # When the clock steps back, time that was already credited is not credited again.
        elapsed_ms = 0.0 if self.updated_at is None else max(0.0, now - self.updated_at)
        self.tokens = min(self.rate, self.tokens + self.rate * elapsed_ms / 1000)
        self.updated_at = now

    def ready_in_ms(self) -> float:
        """Milliseconds until the bucket holds a token."""
        return 0.0 if self.tokens > 0 else 1000 * (1e-9 - self.tokens) / self.rate


@dataclass(slots=True)
class Job:
    """`priority` is 0 to 9, the highest runs first. With `period_ms` 0 the job runs only on request."""

    name: str
    priority: int = 5
    period_ms: float = 0.0
    deadline_ms: float = 0.0  # after the job became ready; 0: none
    ready_at: float | None = None  # since when the job has been ready; None: not ready
    next_run_at: float = 0.0
    failure_count: int = 0
    started: bool = False  # it has run a slice and is not done
    run_again: bool = False  # requested while running: it runs again once done
    slice_count: int = 0
    completed_count: int = 0
    spent_ms: float = 0.0
    spent_bytes: int = 0
    late_count: int = 0  # number of missed deadlines
    late_counted: bool = False


class JobScheduler:
    """Owns the jobs and runs one slice at a time: `start_next`, run the slice, `finish_slice`."""

    def __init__(
        self,
        time_share: float,
        bytes_per_s: float,
        seed: int,
        aging_ms: float = 5000.0,
        min_retry_ms: float = 250.0,
        max_retry_ms: float = 60_000.0,
    ) -> None:
        """`time_share`: fraction of each second that all jobs may use together."""
        self.time_budget = TokenBucket(1000 * time_share, 100 * time_share)
        self.byte_budget = TokenBucket(bytes_per_s, bytes_per_s / 10)
        self.aging_ms, self.min_retry_ms, self.max_retry_ms = aging_ms, min_retry_ms, max_retry_ms
        self.rng, self.jobs, self.running = Random(seed), dict[str, Job](), ""
        self.last_now = 0.0

    def add(self, job: Job, now: float) -> None:
        """Adds a job. Its first run is at a random point of its period, so that jobs do not all run at
        once."""
        job.next_run_at = now + job.period_ms * self.rng.random()
        self.jobs[job.name] = job

    def request(self, name: str, now: float) -> None:
        """Makes a job ready now; a running job runs once more. A failed job keeps its retry delay."""
        job = self.jobs[name]
        if job.started or self.running == name:
            job.run_again = True
        elif job.ready_at is None and not (job.failure_count and job.next_run_at > now):
            job.ready_at = now

    def adjust_for_clock_step(self, now: float) -> None:
        """When the clock steps back, moves all pending times back as well, so that no wait becomes
        longer."""
        if now < self.last_now:
            step_ms = self.last_now - now
            for job in self.jobs.values():
                job.next_run_at -= step_ms
                if job.ready_at is not None:
                    job.ready_at -= step_ms
        self.last_now = now

    def start_next(self, now: float, busy: bool) -> str | None:
        """Starts the slice of the next job and returns its name. While serving is `busy`, only jobs past
        their deadline run."""
        self.adjust_for_clock_step(now)
        self.time_budget.refill(now)
        self.byte_budget.refill(now)
        if self.running or self.time_budget.tokens <= 0 or self.byte_budget.tokens <= 0:
            return None
        best_name, best_rank = None, (False, -1.0)
        for job in self.jobs.values():
            if job.ready_at is None and job.next_run_at <= now and (job.period_ms or job.failure_count):
                job.ready_at = job.next_run_at
            if job.ready_at is None:
                continue
            overdue = bool(job.deadline_ms) and now - job.ready_at > job.deadline_ms
            if overdue and not job.late_counted:
                job.late_count, job.late_counted = job.late_count + 1, True
            rank = (overdue, job.priority + max(0.0, now - job.ready_at) / self.aging_ms)
            if rank > best_rank and (overdue or not busy):
                best_name, best_rank = job.name, rank
        if best_name is not None:
            self.running = best_name
            self.jobs[best_name].started = True
        return best_name

    def finish_slice(self, now: float, result: SliceResult, elapsed_ms: float, size: int) -> None:
        """Records the end of the running slice."""
        job, self.running = self.jobs[self.running], ""
        self.time_budget.tokens -= elapsed_ms
        self.byte_budget.tokens -= size
        job.slice_count += 1
        job.spent_ms += elapsed_ms
        job.spent_bytes += size
        if result is SliceResult.MORE:
            job.failure_count = 0
            # Each slice restarts the job's age, unless it has a deadline, which keeps counting.
            if not job.deadline_ms:
                job.ready_at = now
            return
        job.started, job.ready_at, job.late_counted = False, None, False
        if result is SliceResult.FAILED:
            job.failure_count += 1
            delay_ms = min(self.max_retry_ms, self.min_retry_ms * 2 ** min(40, job.failure_count - 1))
            job.next_run_at = now + delay_ms * self.rng.uniform(0.5, 1.5)
            return
        job.failure_count = 0
        job.completed_count += 1
        job.next_run_at = now + job.period_ms
        if job.run_again:
            job.run_again = False
            job.ready_at = now

    def next_wake(self, now: float, busy: bool) -> float | None:
        """When `start_next` may return another result without a new request; None for never."""
        wake_times = []
        for job in self.jobs.values():
            if job.ready_at is None:
                if job.period_ms or job.failure_count:
                    wake_times.append(job.next_run_at)
            elif not busy:
                wake_times.append(now)
            elif job.deadline_ms:
                wake_times.append(job.ready_at + job.deadline_ms + 1)
        if not wake_times:
            return None
        return max(min(wake_times), now + max(self.time_budget.ready_in_ms(), self.byte_budget.ready_in_ms()))

    def job_state(self, job: Job) -> str:
        if self.running == job.name:
            return "running"
        return "waits" if job.ready_at is None else "ready"

    def status(self) -> list[dict[str, object]]:
        return [
            {
                "job": job.name,
                "state": self.job_state(job),
                "slices": job.slice_count,
                "done": job.completed_count,
                "failures": job.failure_count,
                "late": job.late_count,
                "spent_ms": round(job.spent_ms, 1),
                "spent_bytes": job.spent_bytes,
            }
            for job in self.jobs.values()
        ]
