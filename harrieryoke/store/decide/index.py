"""Where to look in a segment: a sparse index by sequence number and time, and a table of keys.

Every `EVERY`th record has its number, time and offset kept; a seek bisects these and reads on from there.
Times need not rise (clocks step), so each place keeps the latest time up to it. Keys are kept as 64-bit
hashes in two arrays, sorted at the first seek: 12 bytes a record, against some 200 for a dict of lists.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right

import xxhash

EVERY = 64


class SegmentIndex:
    """Of one segment. `add` in the order of the records."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.seqs, self.times, self.offsets = array("Q"), array("Q"), array("Q")  # of every EVERYth
        self.hashes, self.places = array("Q"), array("I")  # of each key
        self.sorted, self.count, self.latest = True, 0, 0
        self.first = self.last = 0

    def add(self, seq: int, at: int, key: bytes, offset: int) -> None:
        if self.count % EVERY == 0:
            self.seqs.append(seq)
            self.times.append(self.latest)  # the latest before this place
            self.offsets.append(offset)
            self.first = self.first or seq
        self.last = seq
        if at > self.latest:
            self.latest = at
        self.count += 1
        if key:
            self.hashes.append(xxhash.xxh3_64_intdigest(key))
            self.places.append(offset)
            self.sorted = False

    def at_seq(self, seq: int) -> int | None:
        """An offset at or before the record `seq`, EVERY records at most."""
        if not self.count or seq > self.last:
            return None
        return self.offsets[max(0, bisect_right(self.seqs, seq) - 1)]

    def at_time(self, at: int) -> int | None:
        """An offset before which no record is as late as `at`; None where none in the segment is."""
        if not self.count or at > self.latest:
            return None
        return self.offsets[max(0, bisect_left(self.times, at) - 1)]

    def of_key(self, key: bytes) -> list[int]:
        """Offsets where records under the key may be. Two keys may have one hash: look at the record."""
        if not self.sorted:
            order = sorted(range(len(self.hashes)), key=self.hashes.__getitem__)
            self.places = array("I", [self.places[n] for n in order])
            self.hashes = array("Q", [self.hashes[n] for n in order])
            self.sorted = True
        told = xxhash.xxh3_64_intdigest(key)
        begin = bisect_left(self.hashes, told)
        return sorted(self.places[begin : bisect_right(self.hashes, told)])
