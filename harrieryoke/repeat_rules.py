"""What may lawfully be done with a request of which earlier attempts may have run."""

from __future__ import annotations

from collections.abc import Sequence

from .interface import DeduplicationScope, Effect, RequestClass, WorkerEntry


def may_repeat(
    kind: RequestClass,
    ran: Sequence[tuple[WorkerEntry, float]],
    at: WorkerEntry,
    now: float,
    tick: float,
) -> bool:
    """Whether a further attempt may go to the worker. `ran` has the workers where earlier ones may have run,
    and when they were sent; a keyed class repeats within its window and group, counted a tick to the safe
    side. Times are milliseconds."""
    if kind.effect is Effect.SAFE or not ran:
        return True
    if kind.effect is not Effect.KEYED:
        return False
    return all(
        now - sent < kind.repeat_window - tick and _in_group(kind.deduplication_scope, past, at)
        for past, sent in ran
    )


def _in_group(group: DeduplicationScope, past: WorkerEntry, at: WorkerEntry) -> bool:
    """Whether both workers know of each other's keys."""
    if group is DeduplicationScope.ZONE:
        return past.zone == at.zone
    if group is DeduplicationScope.CELL:
        return past.cell == at.cell
    return True


def may_refuse(kind: RequestClass, ran: Sequence[tuple[WorkerEntry, float]]) -> bool:
    """Whether a refusal, which promises that a repeat by the client is harmless, is lawful."""
    keyed_everywhere = kind.effect is Effect.KEYED and kind.deduplication_scope is DeduplicationScope.ALL
    return not ran or kind.effect is Effect.SAFE or keyed_everywhere
