"""Rules for a request of which earlier attempts may have executed: whether to repeat or refuse it."""

from __future__ import annotations

from collections.abc import Sequence

from .interface import DeduplicationScope, Effect, RequestClass, WorkerEntry


def may_repeat(
    request_class: RequestClass,
    possible_runs: Sequence[tuple[WorkerEntry, float]],
    worker: WorkerEntry,
    now: float,
    tick: float,
) -> bool:
    """Whether another attempt may go to the worker.

    `possible_runs` names the workers where earlier attempts may have executed, and when they were sent. A
    keyed class is repeated within its window, less a tick, and within its deduplication scope. Times are
    milliseconds.
    """
    if request_class.effect is Effect.SAFE or not possible_runs:
        return True
    if request_class.effect is not Effect.KEYED:
        return False
    return all(
        now - sent_at < request_class.repeat_window - tick
        and _in_same_scope(request_class.deduplication_scope, earlier_worker, worker)
        for earlier_worker, sent_at in possible_runs
    )


def _in_same_scope(scope: DeduplicationScope, earlier_worker: WorkerEntry, worker: WorkerEntry) -> bool:
    """Whether both workers deduplicate by the same keys."""
    if scope is DeduplicationScope.ZONE:
        return earlier_worker.zone == worker.zone
    if scope is DeduplicationScope.CELL:
        return earlier_worker.cell == worker.cell
    return True


def may_refuse(request_class: RequestClass, possible_runs: Sequence[tuple[WorkerEntry, float]]) -> bool:
    """Whether the request may be refused, which tells the client that a repeat is safe."""
    keyed_everywhere = (
        request_class.effect is Effect.KEYED and request_class.deduplication_scope is DeduplicationScope.ALL
    )
    return not possible_runs or request_class.effect is Effect.SAFE or keyed_everywhere
