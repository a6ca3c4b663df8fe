"""Rules for a request of which earlier attempts may have executed: whether to repeat or refuse it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .interface import UNKNOWN_ZONE, DeduplicationScope, Effect, RequestClass, WorkerEntry


class PossibleRun(NamedTuple):
    """An attempt that may have executed: when it was sent, and the worker's entry as of then.

    The worker may have left the list since, or be listed elsewhere; where it knows keys does not change.
    """

    worker: WorkerEntry
    sent_at: float


def may_repeat(
    request_class: RequestClass,
    possible_runs: Sequence[PossibleRun],
    worker: WorkerEntry,
    now: float,
    tick: float,
) -> bool:
    """Whether another attempt may go to the worker.

    A keyed class is repeated within its window, less a tick, and within its deduplication scope. Times are
    milliseconds.
    """
    if request_class.effect is Effect.SAFE or not possible_runs:
        return True
    if request_class.effect is not Effect.KEYED:
        return False
    return all(
        now - run.sent_at < request_class.repeat_window - tick
        and _in_same_scope(request_class.deduplication_scope, run.worker, worker)
        for run in possible_runs
    )


def _in_same_scope(scope: DeduplicationScope, earlier_worker: WorkerEntry, worker: WorkerEntry) -> bool:
    """Whether both workers deduplicate by the same keys. Two unknown zones may be different ones."""
    if scope is DeduplicationScope.ZONE:
        zone_is_known = worker.zone != UNKNOWN_ZONE
        return earlier_worker.zone == worker.zone and (
            zone_is_known or earlier_worker.worker == worker.worker
        )
    if scope is DeduplicationScope.CELL:
        return earlier_worker.cell == worker.cell
    return True


def may_refuse(request_class: RequestClass, possible_runs: Sequence[PossibleRun]) -> bool:
    """Whether the request may be refused, which tells the client that a repeat is safe."""
    keyed_everywhere = (
        request_class.effect is Effect.KEYED and request_class.deduplication_scope is DeduplicationScope.ALL
    )
    return not possible_runs or request_class.effect is Effect.SAFE or keyed_everywhere
