"""Retention: which segments and snapshots may be removed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SealedSegment:
    """A segment on disk that is no longer written to. `size` is in bytes."""

    number: int
    first_seq: int
    last_seq: int
    size: int


@dataclass(frozen=True, slots=True)
class CompactionPlan:
    """Segment numbers and snapshot sequence numbers to remove."""

    segments: tuple[int, ...] = ()
    snapshots: tuple[int, ...] = ()
    lost_seqs: tuple[int, int] | None = None  # first and last one removed though needed


def plan_compaction(
    sealed: list[SealedSegment],
    snapshots: list[int],
    first_needed_seq: int,
    budget_bytes: int,
    active_bytes: int,
    keep_snapshots: int = 2,
) -> CompactionPlan:
    """Plans which segments and snapshots to remove.

    `first_needed_seq` is the first sequence number that a reader (the export) still needs. A segment is
    removable if the newest snapshot covers it and no reader needs it. While the total size exceeds
    `budget_bytes`, the oldest covered segments are removed even though a reader needs them, and `lost_seqs`
    reports what that loses. Segments that no snapshot covers are never removed: the state could not be
    rebuilt without them.
    """
    covered_seq = max(snapshots, default=0)
    removed, total_bytes = list[int](), active_bytes + sum(segment.size for segment in sealed)
    lost_seqs: tuple[int, int] | None = None
    for segment in sorted(sealed, key=lambda segment: segment.number):
        if segment.last_seq > covered_seq:
            break
        if segment.last_seq >= first_needed_seq:
            if total_bytes <= budget_bytes:
                break
            lost_seqs = (
                max(first_needed_seq, segment.first_seq) if lost_seqs is None else lost_seqs[0],
                segment.last_seq,
            )
        removed.append(segment.number)
        total_bytes -= segment.size
    old_snapshots = sorted(snapshots)[:-keep_snapshots] if keep_snapshots else []
    return CompactionPlan(tuple(removed), tuple(old_snapshots), lost_seqs)
