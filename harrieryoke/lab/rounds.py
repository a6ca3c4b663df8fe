"""The experiment `rounds`: what the module actor's rounds cost, in simulated time, without sockets.

Calls arrive at random moments and instant hosts answer after their work; the actor's own `step` is called
for each round as its loop would. What is measured is the processor's time of the rounds alone.
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
START = 1_700_000_000_000.0


class Silent:
    """A front that hears its answers and counts them."""

    def __init__(self) -> None:
        self.answers = 0

    def served(self, call: Call, body: bytes) -> None:
        self.answers += 1

    def refused(self, call: Call, retry_after: float | None) -> None:
        self.answers += 1

    def failed(self, call: Call, reason: str) -> None:
        self.answers += 1


class Port:
    """An emulated host's mailbox: what is begun ends later, unless it is revoked."""

    def __init__(self, world: Rounds) -> None:
        self.world, self.copies = world, set[str]()

    def start_task(self, task: Task) -> bool:
        task.write_started = True
        world = self.world
        if isinstance(task, OrderTask):
            self.copies.add(task.function)
            ended = TaskEnded(task, i.Outcome.OK, copies=1)
            took = 400.0
        elif isinstance(task, AttemptTask) and task.call.function in self.copies:
            ended = TaskEnded(task, i.Outcome.OK, b"x", i.CopyLookup.LOADED, concurrent_requests=0)
            took = world.rng.expovariate(1 / world.work)
        else:
            ended, took = TaskEnded(task, i.Outcome.MISS), 3.0
        world.due += 1
        heappush(world.ends, (world.now + took, world.due, ended))
        return True

    def cancel_task(self, task: Task) -> None:
        pass

    def drop_copies(self, function: str) -> None:
        self.copies.discard(function)


class Rounds:
    """One module actor with everything round it in simulated time."""

    def __init__(self, seed: int, rate: float, work: float = 200.0, hosts: int = 24) -> None:
        self.rng, self.rate, self.work, self.now, self.due = random.Random(seed), rate, work, START, 0
        self.ends: list[tuple[float, int, TaskEnded]] = []
        self.actor = ModuleActor(SETTINGS, seed, Limits(), Log(), lambda: self.now)
        entries = tuple(i.WorkerEntry(n, cell=n // 2) for n in range(hosts))
        ports: dict[int, Any] = {n: Port(self) for n in range(hosts)}
        self.actor.step(self.now, [WorkersChanged(i.WorkersListed(i.ListScope.REMEMBERED, entries), ports)])
        self.front, self.calls, self.rounds, self.most_open = Silent(), 0, 0, 0

    def call(self) -> CallReceived:
        self.calls += 1
        kind = int(self.rng.random() < 0.21)
        function = f"{min(int(self.rng.paretovariate(0.8)), 150):016x}"
        due = self.now + SETTINGS.classes[kind].deadline * self.rng.uniform(0.5, 1.0)
        return CallReceived(
            Call(
                f"{self.calls:016x}", kind, function, due, b"", f"k{self.calls}", None, 400, 4, 400, self.now
            ),
            self.front,
        )

    def run(self, seconds: float) -> float:
        """Processor seconds that the rounds took."""
        until, next_call, spent = self.now + seconds * 1000, self.now, 0.0
        while self.now < until:
            wake = min(next_call, self.ends[0][0] if self.ends else until, self.actor.next_wake_time())
            self.now = max(self.now + SETTINGS.tick, wake)
            messages: list[Any] = []
            while next_call <= self.now:
                messages.append(self.call())
                next_call += self.rng.expovariate(self.rate) * 1000
            while self.ends and self.ends[0][0] <= self.now:
                messages.append(heappop(self.ends)[2])
            began = time.process_time()
            self.actor.step(self.now, messages)
            self.actor.next_wake_time()
            spent += time.process_time() - began
            self.rounds += 1
            self.most_open = max(self.most_open, len(self.actor.table.entries))
        return spent


def play(seed: int, seconds: float, rate: float) -> dict[str, Any]:
    world = Rounds(seed, rate)
    world.run(5.0)
    calls, rounds = world.calls, world.rounds
    spent = world.run(seconds)
    calls, rounds = world.calls - calls, world.rounds - rounds
    counts = world.actor.table.counts
    return {
        "case": f"rounds-{rate:g}",
        "calls": calls,
        "rounds": rounds,
        "most_open": world.most_open,
        "us_per_round": round(1e6 * spent / rounds, 2),
        "us_per_call": round(1e6 * spent / calls, 2),
        "core_share": round(spent / seconds, 4),
        "served": counts["served"],
        "refused": counts["refused"],
        "failed": counts["failed"],
        "guarded": counts["guarded"],
    }
