"""Benchmarks of the door's data structures: speed against simple ones, and memory over a million ids."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

from ..core.timing_wheel import TimingWheel
from ..door.decide.fair import FairQueue, QueuedCall
from .world import TENANTS, resident_mb

IDS, WAITING, OPS = 1_000_000, 1000, 100_000


def operations_per_s(step: Callable[[int], object], ops: int = OPS) -> int:
    """Return operations per second of CPU time, best of three runs."""
    best = 0.0
    for _ in range(3):
        begin = time.process_time()
        for n in range(ops):
            step(n)
        best = max(best, ops / max(1e-9, time.process_time() - begin))
    return round(best)


def measure_schedulers(rng: random.Random) -> dict[str, int]:
    """Measure one add and one removal with 1000 waiting calls: fair queue, FIFO, and heap by value."""
    shares = {t.name: t.share for t in TENANTS}
    names, clients = [rng.choices(list(shares), list(shares.values()))[0] for _ in range(997)], 50
    queue, fifo = FairQueue(shares, 10 * WAITING, 1), deque[QueuedCall]()
    heap = list[tuple[float, float, QueuedCall]]()

    def make_call(n: int) -> QueuedCall:
        return QueuedCall(n, names[n % 997], f"c{n % clients}", 1.0 + n % 3, 1.0, 1e9)

    serial = 0

    def step_fair(n: int) -> None:
        nonlocal serial
        serial += 1
        queue.add(make_call(serial), 0.0)
        if len(queue) > WAITING:
            queue.pop()

    def step_fifo(n: int) -> None:
        fifo.append(make_call(n))
        if len(fifo) > WAITING:
            fifo.popleft()

    def step_heap(n: int) -> None:
        heappush(heap, (-(n % 7), len(heap) + rng.random(), make_call(n)))
        if len(heap) > WAITING:
            heappop(heap)

    return {
        "fair_per_s": operations_per_s(step_fair),
        "fifo_per_s": operations_per_s(step_fifo),
        "heap_per_s": operations_per_s(step_heap),
    }


def measure_timers(rng: random.Random) -> dict[str, int]:
    """Measure timers with 1000 pending: schedule one, cancel one, query the next time and the expired ones.

    Compares the timing wheel, a heap that is rebuilt for a cancellation, and a dict that is scanned.
    """
    delays = [rng.uniform(500, 4000) for _ in range(997)]
    wheel, plain, heap = TimingWheel[int](), dict[int, float](), list[tuple[float, int]]()
    for n in range(WAITING):
        wheel.schedule(n, delays[n % 997])
        plain[n] = delays[n % 997]
        heap.append((delays[n % 997], n))
    heapify(heap)

    def step_wheel(n: int) -> None:
        now = n * 0.01
        wheel.schedule(n + WAITING, now + delays[n % 997])
        wheel.cancel(n)
        wheel.next_time()
        wheel.expired(now)

    def step_scan(n: int) -> None:
        now = n * 0.01
        plain[n + WAITING] = now + delays[n % 997]
        plain.pop(n, None)
        min(plain.values())
        [k for k, at in plain.items() if at <= now]

    def step_heap(n: int) -> None:
        nonlocal heap
        now = n * 0.01
        heappush(heap, (now + delays[n % 997], n + WAITING))
        heap = [entry for entry in heap if entry[1] != n]
        heapify(heap)

    return {
        "wheel_per_s": operations_per_s(step_wheel, 50_000),
        "scan_per_s": operations_per_s(step_scan, 2000),
        "heap_rebuilt_per_s": operations_per_s(step_heap, 2000),
    }


def memory_by_quarter(pid: int) -> list[float]:
    """Return the resident MB of process `pid` after each quarter of the `IDS` ids; each id makes one call."""
    queue, samples = FairQueue({t.name: t.share for t in TENANTS}, 1000, 7), list[float]()
    for n in range(IDS):
        queue.add(QueuedCall(n, TENANTS[n % 5].name, f"id-{n:x}", 1.0, 1.0, 1e9), n * 3.6)
        if n % 2:
            queue.pop()
            queue.pop()
        if n % (IDS // 4) == IDS // 4 - 1:
            samples.append(round(resident_mb(pid), 1))
    return samples


def run_case(seed: int) -> dict[str, Any]:
    import os

    rng = random.Random(seed)
    return (
        {"case": "structures", "memory_mb_by_quarter": memory_by_quarter(os.getpid())}
        | measure_schedulers(rng)
        | measure_timers(rng)
    )
