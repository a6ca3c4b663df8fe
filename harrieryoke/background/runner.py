"""The greenlet that runs background jobs, one slice at a time."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..core.actor import Actor
from ..core.clock import now_ms
from ..log import Log
from .decide.schedule import Job, JobScheduler, SliceResult
from .settings import BackgroundSettings


@dataclass(frozen=True, slots=True)
class SliceOutcome:
    """What a slice did: whether the job has another slice, and the bytes it moved."""

    has_more: bool = False
    moved_bytes: int = 0


@dataclass(slots=True)
class JobRequested:
    """A job should run its next slice as soon as possible."""

    name: str


class JobRunner(Actor):
    """Runs the slices of jobs. Slices delegate blocking work to a thread and wait for it. `is_busy` tells
    whether serving needs the event loop. A job that raises has failed and is retried with back-off."""

    def __init__(
        self, settings: BackgroundSettings, log: Log, seed: int, is_busy: Callable[[], bool]
    ) -> None:
        super().__init__("background", 256, log)
        self.scheduler = JobScheduler(settings.time_share, settings.mb_per_s * 2**20, seed)
        self.is_busy, self.slice_functions = is_busy, dict[str, Callable[[], SliceOutcome]]()

    def add(self, job: Job, run_slice: Callable[[], SliceOutcome]) -> None:
        self.slice_functions[job.name] = run_slice
        self.scheduler.add(job, now_ms())

    def request(self, name: str) -> None:
        """Requests a job's next slice as soon as possible. Never blocks: if the mailbox is full, the job
        waits for its period."""
        self.try_send(JobRequested(name))

    def run(self) -> None:
        while not self.finished:
            wake_at = self.scheduler.next_wake(now_ms(), self.is_busy())
            self.wait_for_message(1000.0 if wake_at is None else min(1000.0, wake_at - now_ms()))
            self.process_mailbox()
            name = self.scheduler.start_next(now_ms(), self.is_busy())
            if name is not None:
                self.run_slice(name)

    def run_slice(self, name: str) -> None:
        started_at, cpu_s, outcome = now_ms(), time.thread_time(), SliceOutcome()
        try:
            outcome = self.slice_functions[name]()
            result = SliceResult.MORE if outcome.has_more else SliceResult.DONE
        except Exception as error:
            result = SliceResult.FAILED
            self.log("job-failed", f"{name}: {type(error).__name__}: {error}", job=name)
        # Waiting for a thread or socket costs no loop time; copying its bytes costs some CPU time.
        loop_ms = min(max(0.0, now_ms() - started_at), 1000 * (time.thread_time() - cpu_s))
        self.scheduler.finish_slice(now_ms(), result, loop_ms, outcome.moved_bytes)

    def receive(self, message: Any) -> None:
        match message:
            case JobRequested(name):
                self.scheduler.request(name, now_ms())
