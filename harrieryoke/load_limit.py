"""How many attempts at a time go to one worker, by how long its answers take."""

from __future__ import annotations

from .state import Load

FIRST_LIMIT, LEAST_LIMIT = 16.0, 3.0  # attempts at a worker, of all front ends: at first, under strain
STRAINED = 0.6  # share of the aim that answers take when a worker has too much to do


def adapt_limit(load: Load, took: float, flying: int, front_ends: int) -> None:
    """Fewer attempts at a time where answers come near the aim, more where they are quick and wanted. `took`
    is an answer's time as a part of the aim, `flying` counts the attempts that are still out there."""
    load.strain += 0.1 * (took - load.strain)
    if load.strain > STRAINED:
        load.limit = max(1.0, LEAST_LIMIT / front_ends, 0.95 * load.limit)
    elif flying + 1 > 0.7 * load.limit:
        load.limit += 0.2
