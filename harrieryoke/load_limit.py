"""How many attempts at a time go to one worker, by how long its answers take."""

from __future__ import annotations

from .state import WorkerLoad

INITIAL_LIMIT, MIN_LIMIT = 16.0, 3.0  # attempts at a worker, of all front ends: at first, under strain
OVERLOADED_RATIO = 0.6  # share of the aim that answers take when a worker has too much to do


def adapt_limit(load: WorkerLoad, took: float, flying: int, front_ends: int) -> None:
    """Fewer attempts at a time where answers come near the aim, more where they are quick and wanted. `took`
    is an answer's time as a part of the aim, `flying` counts the attempts that are still out there."""
    load.latency_ratio += 0.1 * (took - load.latency_ratio)
    if load.latency_ratio > OVERLOADED_RATIO:
        load.attempt_limit = max(1.0, MIN_LIMIT / front_ends, 0.95 * load.attempt_limit)
    elif flying + 1 > 0.7 * load.attempt_limit:
        load.attempt_limit += 0.2
