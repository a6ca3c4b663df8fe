"""The stored entries of a period, as reconciliation compares them with the collector's."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from .decide.entry import Entry
from .decide.undelivered import EntryRange, UndeliveredEntries
from .wire.codec import encode_entry, entry_wire_id


@dataclass(slots=True)
class PeriodEntries:
    """The entries of a period, encoded for the collector, by their ids there."""

    delivered: dict[int, bytes] = field(default_factory=dict)  # the collector should have them
    held_back: dict[int, bytes] = field(default_factory=dict)  # a batch is still to deliver them


def split_period(entries: Iterable[Entry], period: int, undelivered: UndeliveredEntries) -> PeriodEntries:
    """Splits the entries of a period. `entries` are all that are stored.

    A batch that was set aside holds its entries back while all of them are there: `ledger again` sends it.
    Otherwise it can't be sent any more, and only a repair can deliver what is left of it.
    """
    found = PeriodEntries()
    counts = Counter[tuple[int, EntryRange]]()
    in_set_aside: dict[int, tuple[int, EntryRange]] = {}  # by id at the collector
    for entry in entries:
        entry_range = undelivered.find(entry.id)
        if entry_range is not None and entry_range.set_aside:
            counts[entry.id.epoch, entry_range] += 1
        if entry.period != period:
            continue
        data = encode_entry(entry)
        wire_id = entry_wire_id(data)
        (found.delivered if entry_range is None else found.held_back)[wire_id] = data
        if entry_range is not None and entry_range.set_aside:
            in_set_aside[wire_id] = entry.id.epoch, entry_range
    for wire_id, batch in in_set_aside.items():
        if counts[batch] <= batch[1].last - batch[1].first:
            found.delivered[wire_id] = found.held_back.pop(wire_id)
    return found
