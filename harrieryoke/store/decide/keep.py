"""Which segments and snapshots may go."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Held:
    """A sealed segment on the disk."""

    number: int
    first: int
    last: int
    size: int


@dataclass(frozen=True, slots=True)
class Removal:
    segments: tuple[int, ...] = ()
    snapshots: tuple[int, ...] = ()
    lost: tuple[int, int] | None = None  # sequence numbers that go though somebody needs them


def removable(
    sealed: list[Held],
    snapshots: list[int],
    needed: int,
    budget: int,
    active_size: int,
    keep_snapshots: int = 2,
) -> Removal:
    """`needed`: the first sequence number that a reader (the export) still wants. Segments go that the newest
    snapshot stands for and nobody needs. Beyond `budget` bytes the oldest of those that a snapshot stands for
    go though needed, and what is lost by it is told: never silently. What no snapshot stands for stays:
    without it the state can't be built again."""
    covered = max(snapshots, default=0)
    gone, total = list[int](), active_size + sum(s.size for s in sealed)
    lost: tuple[int, int] | None = None
    for segment in sorted(sealed, key=lambda s: s.number):
        if segment.last > covered:
            break
        if segment.last >= needed:
            if total <= budget:
                break
            lost = (max(needed, segment.first) if lost is None else lost[0], segment.last)
        gone.append(segment.number)
        total -= segment.size
    old = sorted(snapshots)[:-keep_snapshots] if keep_snapshots else []
    return Removal(tuple(gone), tuple(old), lost)
