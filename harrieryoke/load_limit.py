"""Adaptive limit of the attempts in flight at a worker: additive increase, multiplicative decrease."""

from __future__ import annotations

from .state import WorkerLoad

LATENCY_WEIGHT = 0.1  # of a new value in the moving averages of latency ratios
INITIAL_LIMIT = 16.0  # attempts at a worker, of all front ends together
MIN_LIMIT = 3.0  # attempts at an overloaded worker, of all front ends together
LIMIT_DECREASE_FACTOR = 0.95
LIMIT_INCREASE = 0.2
USED_SHARE = 0.7  # of the limit; a limit that is used less is not raised
OVERLOADED_RATIO = 0.6  # duration of answers relative to the latency target


def adapt_limit(load: WorkerLoad, latency_ratio: float, in_flight: int, front_ends: int) -> None:
    """Lowers the limit where answers come near the latency target, raises it where they are fast.

    `latency_ratio` is the duration of an answer relative to the latency target, `in_flight` the number of
    other attempts at the worker.
    """
    load.latency_ratio += LATENCY_WEIGHT * (latency_ratio - load.latency_ratio)
    if load.latency_ratio > OVERLOADED_RATIO:
        load.attempt_limit = max(1.0, MIN_LIMIT / front_ends, LIMIT_DECREASE_FACTOR * load.attempt_limit)
    elif in_flight + 1 > USED_SHARE * load.attempt_limit:
        load.attempt_limit += LIMIT_INCREASE
