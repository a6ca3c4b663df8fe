"""The greenlet that runs background jobs, a slice at a time."""

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
class Slice:
    """What a slice did. `size` is the bytes that it moved."""

    more: bool = False
    size: int = 0


@dataclass(slots=True)
class Want:
    name: str


class Runner(Actor):
    """A job's slice runs here; what would block it hands to a thread and waits for. `busy` says whether
    serving wants the time. A job that raises has failed, and is tried again after a pause."""

    def __init__(self, told: BackgroundSettings, log: Log, seed: int, busy: Callable[[], bool]) -> None:
        super().__init__("background", 256, log)
        self.schedule = JobScheduler(told.time_share, told.mb_per_s * 2**20, seed)
        self.busy, self.slices = busy, dict[str, Callable[[], Slice]]()

    def add(self, job: Job, run: Callable[[], Slice]) -> None:
        self.slices[job.name] = run
        self.schedule.add(job, now_ms())

    def want(self, name: str) -> None:
        """Its next slice as soon as may be. Never waits; at the mailbox's bound it comes with its period."""
        self.try_send(Want(name))

    def run(self) -> None:
        while not self.finished:
            at = self.schedule.next_wake(now_ms(), self.busy())
            self.wait_for_message(1000.0 if at is None else min(1000.0, at - now_ms()))
            self.process_mailbox()
            name = self.schedule.start_next(now_ms(), self.busy())
            if name is not None:
                self.one(name)

    def one(self, name: str) -> None:
        began, cpu, did = now_ms(), time.thread_time(), Slice()
        try:
            did = self.slices[name]()
            how = SliceResult.MORE if did.more else SliceResult.DONE
        except Exception as error:
            how = SliceResult.FAILED
            self.log("job-failed", f"{name}: {type(error).__name__}: {error}", job=name)
        # what it waited for in a thread or on a socket took none of the loop's time; a part of its bytes did
        took = min(max(0.0, now_ms() - began), 1000 * (time.thread_time() - cpu))
        self.schedule.finish_slice(now_ms(), how, took, did.size)

    def receive(self, message: Any) -> None:
        match message:
            case Want(name):
                self.schedule.request(name, now_ms())
