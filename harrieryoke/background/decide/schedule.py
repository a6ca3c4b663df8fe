"""The schedule of background jobs.

A job waits until its period is over or somebody wants it, then runs slice by slice. Of those that are ready
the highest priority goes; a job that has waited gains one level each `age_ms`, so that none starves, and one
past its deadline goes before all that are not. Time and bytes come out of token buckets, filled by the second
and one second deep at most: a slice may overdraw a bucket once, and what it overdrew is paid back before the
next.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random


class Ended(Enum):
    MORE = "more"  # the slice is done, the job is not
    DONE = "done"
    FAILED = "failed"


@dataclass(slots=True)
class Bucket:
    """`rate` units a second, one second deep. May go below zero by one slice."""

    rate: float
    left: float = 0.0
    at: float | None = None

    def fill(self, now: float) -> None:
        # guards against a clock that steps back: the time it goes over again is not paid for twice
        passed = 0.0 if self.at is None else max(0.0, now - self.at)
        self.left = min(self.rate, self.left + self.rate * passed / 1000)
        self.at = now

    def ready_in(self) -> float:
        """Milliseconds until there is something in it."""
        return 0.0 if self.left > 0 else 1000 * (1e-9 - self.left) / self.rate


@dataclass(slots=True)
class Job:
    """`priority` 0 to 9; the higher goes first. `every_ms` 0: only when it is wanted."""

    name: str
    priority: int = 5
    every_ms: float = 0.0
    deadline_ms: float = 0.0  # after it became ready; 0: none
    ready_at: float | None = None  # since when it waits for its turn
    next_at: float = 0.0
    failures: int = 0
    begun: bool = False  # it has run a slice and is not done
    wanted: bool = False  # again, once it is done
    slices: int = 0
    done: int = 0
    spent_ms: float = 0.0
    spent_bytes: int = 0
    late: int = 0  # times that it was not done by its deadline
    told_late: bool = False


class Schedule:
    """Owns the jobs. `pick`, run the slice, then `ended`: one slice at a time."""

    def __init__(
        self,
        time_share: float,
        bytes_per_s: float,
        seed: int,
        age_ms: float = 5000.0,
        retry_ms: float = 250.0,
        retry_most_ms: float = 60_000.0,
    ) -> None:
        """`time_share`: of each second, for all jobs together."""
        self.time = Bucket(1000 * time_share, 100 * time_share)
        self.bytes = Bucket(bytes_per_s, bytes_per_s / 10)
        self.age_ms, self.retry_ms, self.retry_most_ms = age_ms, retry_ms, retry_most_ms
        self.rng, self.jobs, self.running = Random(seed), dict[str, Job](), ""
        self.last = 0.0

    def add(self, job: Job, now: float) -> None:
        """Periodic jobs begin spread over their period, so that they do not come together."""
        job.next_at = now + job.every_ms * self.rng.random()
        self.jobs[job.name] = job

    def want(self, name: str, now: float) -> None:
        """As soon as may be; a job that runs now runs once more. One that failed keeps to its pause."""
        job = self.jobs[name]
        if job.begun or self.running == name:
            job.wanted = True
        elif job.ready_at is None and not (job.failures and job.next_at > now):
            job.ready_at = now

    def step_back(self, now: float) -> None:
        """Guards what waits for a time against a clock that steps back: it waits no longer than it would."""
        if now < self.last:
            by = self.last - now
            for job in self.jobs.values():
                job.next_at -= by
                if job.ready_at is not None:
                    job.ready_at -= by
        self.last = now

    def pick(self, now: float, busy: bool) -> str | None:
        """The job whose slice runs next. `busy`: serving wants the time, and only what is past its deadline
        may take some."""
        self.step_back(now)
        self.time.fill(now)
        self.bytes.fill(now)
        if self.running or self.time.left <= 0 or self.bytes.left <= 0:
            return None
        best, most = None, (False, -1.0)
        for job in self.jobs.values():
            if job.ready_at is None and job.next_at <= now and (job.every_ms or job.failures):
                job.ready_at = job.next_at
            if job.ready_at is None:
                continue
            over = bool(job.deadline_ms) and now - job.ready_at > job.deadline_ms
            if over and not job.told_late:
                job.late, job.told_late = job.late + 1, True
            rank = (over, job.priority + max(0.0, now - job.ready_at) / self.age_ms)
            if rank > most and (over or not busy):
                best, most = job.name, rank
        if best is not None:
            self.running = best
            self.jobs[best].begun = True
        return best

    def ended(self, now: float, how: Ended, took_ms: float, size: int) -> None:
        """The slice of the job that was picked last is over."""
        job, self.running = self.jobs[self.running], ""
        self.time.left -= took_ms
        self.bytes.left -= size
        job.slices += 1
        job.spent_ms += took_ms
        job.spent_bytes += size
        if how is Ended.MORE:
            job.failures = 0
            # it has had its turn: its age begins anew, its deadline does not
            if not job.deadline_ms:
                job.ready_at = now
            return
        job.begun, job.ready_at, job.told_late = False, None, False
        if how is Ended.FAILED:
            job.failures += 1
            pause = min(self.retry_most_ms, self.retry_ms * 2 ** min(40, job.failures - 1))
            job.next_at = now + pause * self.rng.uniform(0.5, 1.5)
            return
        job.failures = 0
        job.done += 1
        job.next_at = now + job.every_ms
        if job.wanted:
            job.wanted = False
            job.ready_at = now

    def wake_at(self, now: float, busy: bool) -> float | None:
        """When `pick` may say something else by itself; None for never."""
        wakes = []
        for job in self.jobs.values():
            if job.ready_at is None:
                if job.every_ms or job.failures:
                    wakes.append(job.next_at)
            elif not busy:
                wakes.append(now)
            elif job.deadline_ms:
                wakes.append(job.ready_at + job.deadline_ms + 1)
        if not wakes:
            return None
        return max(min(wakes), now + max(self.time.ready_in(), self.bytes.ready_in()))

    def state(self, job: Job) -> str:
        if self.running == job.name:
            return "running"
        return "waits" if job.ready_at is None else "ready"

    def status(self) -> list[dict[str, object]]:
        return [
            {
                "job": j.name,
                "state": self.state(j),
                "slices": j.slices,
                "done": j.done,
                "failures": j.failures,
                "late": j.late,
                "spent_ms": round(j.spent_ms, 1),
                "spent_bytes": j.spent_bytes,
            }
            for j in self.jobs.values()
        ]
