"""Which entries a batch is still to deliver.

Reconciliation leaves them to it: the collector stores a batch as a whole, and counts an entry twice that it
already has from a repair.
"""

from __future__ import annotations

from bisect import bisect_right
from typing import NamedTuple

from .entry import EntryId
from .export import BatchState, ExportState


class EntryRange(NamedTuple):
    """The entries of a batch that has not been acknowledged, by their numbers in the epoch."""

    first: int
    last: int
    set_aside: bool


NOT_IN_A_BATCH = EntryRange(0, 0, False)


class UndeliveredEntries:
    """A snapshot of the export: an entry that is not in it has been acknowledged, or is in no batch for
    good."""

    def __init__(self, export: ExportState) -> None:
        self.last_batched = {epoch: exported.last_entry for epoch, exported in export.epochs.items()}
        self.ranges: dict[int, list[EntryRange]] = {}
        for id, batch in sorted(export.batches.items()):
            if batch.state is not BatchState.ACKNOWLEDGED and not batch.other_at_collector:
                set_aside = batch.state is BatchState.SET_ASIDE
                entry_range = EntryRange(batch.first_entry, batch.last_entry, set_aside)
                self.ranges.setdefault(id.epoch, []).append(entry_range)

    def find(self, id: EntryId) -> EntryRange | None:
        """The batch that is to deliver the entry; None if it has been delivered."""
        if id.number > self.last_batched.get(id.epoch, 0):
            return NOT_IN_A_BATCH
        ranges = self.ranges.get(id.epoch, [])
        position = bisect_right(ranges, id.number, key=lambda entry_range: entry_range.first) - 1
        return ranges[position] if position >= 0 and id.number <= ranges[position].last else None
