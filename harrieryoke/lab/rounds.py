"""The experiment `rounds`: the CPU cost of the module actor's rounds, in simulated time, without sockets.

Calls arrive as a Poisson process and simulated hosts answer after their service time. The actor's `step` is
called for each round as its loop does; only the CPU time of these calls is measured.
"""

from __future__ import annotations

import random
import time
from heapq import heappop, heappush
from typing import Any

from .. import interface as i
from ..core.module import ModuleActor
from ..core.records import AttemptTask, Call, CallReceived, OrderTask, Task, TaskEnded, WorkersChanged
from ..limits import Limits
from ..log import Log

SETTINGS = i.Settings(
    (
        i.RequestClass("sample-read", 1000, 4000, 2, 0.2, i.Effect.SAFE),
        i.RequestClass("sample-write", 750, 3000, 3, 0.2, i.Effect.KEYED, i.DeduplicationScope.CELL, 6000),
    ),
    tick=2,
    max_attempts=5,
    may_cancel=True,
    cold_period=14000,
    cold_share=0.15,
    overload_multiple=4,
    overload_time=3000,
    keep_alive=8100,
    order_limit_window=5000,
    order_limit_floor=6,
    order_limit_share=0.3,
    answer_slack=8,
    max_retry_after=500,
    sends_retry_after=True,
    memory_by_kind=(16000.0,),
    reports_copy_lookup=True,
    reports_concurrent_requests=True,
)
START_MS = 1_700_000_000_000.0


class CountingFront:
    """A front that counts answers."""

    def __init__(self) -> None:
        self.answers = 0

    def served(self, call: Call, body: bytes) -> None:
        self.answers += 1

    def refused(self, call: Call, retry_after: float | None) -> None:
        self.answers += 1

    def failed(self, call: Call, reason: str) -> None:
        self.answers += 1


class EmulatedPort:
    """The mailbox of a simulated host: schedules the result of each task."""

    def __init__(self, simulation: RoundSimulation) -> None:
        self.simulation, self.copies = simulation, set[str]()

    def start_task(self, task: Task) -> bool:
        task.write_started = True
        simulation = self.simulation
        if isinstance(task, OrderTask):
            self.copies.add(task.function)
            result = TaskEnded(task, i.Outcome.OK, copies=1)
            duration = 400.0
        elif isinstance(task, AttemptTask) and task.call.function in self.copies:
            result = TaskEnded(task, i.Outcome.OK, b"x", i.CopyLookup.LOADED, concurrent_requests=0)
            duration = simulation.rng.expovariate(1 / simulation.service_time)
        else:
            result, duration = TaskEnded(task, i.Outcome.MISS), 3.0
        simulation.sequence += 1
        heappush(simulation.pending_ends, (simulation.now + duration, simulation.sequence, result))
        return True

    def cancel_task(self, task: Task) -> None:
        pass

    def drop_copies(self, function: str) -> None:
        self.copies.discard(function)


class RoundSimulation:
    """One module actor with simulated hosts and clients, in simulated time."""

    def __init__(self, seed: int, rate: float, service_time: float = 200.0, hosts: int = 24) -> None:
        self.rng, self.rate, self.service_time = random.Random(seed), rate, service_time
        self.now, self.sequence = START_MS, 0
        self.pending_ends: list[tuple[float, int, TaskEnded]] = []
        self.actor = ModuleActor(SETTINGS, seed, Limits(), Log(), lambda: self.now)
        entries = tuple(i.WorkerEntry(n, cell=n // 2) for n in range(hosts))
        ports: dict[int, Any] = {n: EmulatedPort(self) for n in range(hosts)}
        self.actor.step(self.now, [WorkersChanged(i.WorkersListed(i.ListScope.REMEMBERED, entries), ports)])
        self.front, self.calls, self.rounds, self.max_open = CountingFront(), 0, 0, 0

    def new_call(self) -> CallReceived:
        self.calls += 1
        class_index = int(self.rng.random() < 0.21)
        function = f"{min(int(self.rng.paretovariate(0.8)), 150):016x}"
        deadline = self.now + SETTINGS.classes[class_index].deadline * self.rng.uniform(0.5, 1.0)
        return CallReceived(
            Call(
                f"{self.calls:016x}",
                class_index,
                function,
                deadline,
                b"",
                f"k{self.calls}",
                None,
                400,
                4,
                400,
                self.now,
            ),
            self.front,
        )

    def run(self, seconds: float) -> float:
        """Run for that simulated time; return the CPU seconds of the rounds."""
        until, next_call, cpu_seconds = self.now + seconds * 1000, self.now, 0.0
        while self.now < until:
            wake = min(
                next_call,
                self.pending_ends[0][0] if self.pending_ends else until,
                self.actor.next_wake_time(),
            )
            self.now = max(self.now + SETTINGS.tick, wake)
            messages: list[Any] = []
            while next_call <= self.now:
                messages.append(self.new_call())
                next_call += self.rng.expovariate(self.rate) * 1000
            while self.pending_ends and self.pending_ends[0][0] <= self.now:
                messages.append(heappop(self.pending_ends)[2])
            begin = time.process_time()
            self.actor.step(self.now, messages)
            self.actor.next_wake_time()
            cpu_seconds += time.process_time() - begin
            self.rounds += 1
            self.max_open = max(self.max_open, len(self.actor.table.entries))
        return cpu_seconds


def run_case(seed: int, seconds: float, rate: float) -> dict[str, Any]:
    simulation = RoundSimulation(seed, rate)
    simulation.run(5.0)
    calls, rounds = simulation.calls, simulation.rounds
    cpu_seconds = simulation.run(seconds)
    calls, rounds = simulation.calls - calls, simulation.rounds - rounds
    counts = simulation.actor.table.counts
    return {
        "case": f"rounds-{rate:g}",
        "calls": calls,
        "rounds": rounds,
        "most_open": simulation.max_open,
        "us_per_round": round(1e6 * cpu_seconds / rounds, 2),
        "us_per_call": round(1e6 * cpu_seconds / calls, 2),
        "core_share": round(cpu_seconds / seconds, 4),
        "served": counts["served"],
        "refused": counts["refused"],
        "failed": counts["failed"],
        "guarded": counts["guarded"],
    }
