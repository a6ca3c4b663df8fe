"""In-memory index of a segment: a sparse index by sequence number and time, and a table of keys.

Every INDEX_INTERVAL-th record has its sequence number, time and offset stored; a seek bisects these and reads
forward from there. Record times may decrease, because the wall clock can be set back, so each sparse entry
stores the latest time before it. Keys are stored as 64-bit hashes in two parallel arrays, sorted on the first
lookup: 12 bytes a record, against about 200 for a dict of lists.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right

import xxhash

INDEX_INTERVAL = 64


class SegmentIndex:
    """Index of one segment. Records must be added in the order in which they are stored."""

    def __init__(self, segment: int) -> None:
        self.segment = segment
        # of every INDEX_INTERVAL-th record
        self.indexed_seqs, self.indexed_times, self.indexed_offsets = array("Q"), array("Q"), array("Q")
        self.key_hashes, self.key_offsets = array("Q"), array("I")  # one entry for each record with a key
        self.keys_sorted, self.record_count, self.latest_time = True, 0, 0
        self.first_seq = self.last_seq = 0

    def add(self, seq: int, time_ms: int, key: bytes, offset: int) -> None:
        if self.record_count % INDEX_INTERVAL == 0:
            self.indexed_seqs.append(seq)
            self.indexed_times.append(self.latest_time)  # latest time before this record
            self.indexed_offsets.append(offset)
            self.first_seq = self.first_seq or seq
        self.last_seq = seq
        if time_ms > self.latest_time:
            self.latest_time = time_ms
        self.record_count += 1
        if key:
            self.key_hashes.append(xxhash.xxh3_64_intdigest(key))
            self.key_offsets.append(offset)
            self.keys_sorted = False

    def offset_for_seq(self, seq: int) -> int | None:
        """The offset of record `seq` or of one at most INDEX_INTERVAL records before it."""
        if not self.record_count or seq > self.last_seq:
            return None
        return self.indexed_offsets[max(0, bisect_right(self.indexed_seqs, seq) - 1)]

    def offset_for_time(self, time_ms: int) -> int | None:
        """An offset before which every record is older than `time_ms`; None if the whole segment is older."""
        if not self.record_count or time_ms > self.latest_time:
            return None
        return self.indexed_offsets[max(0, bisect_left(self.indexed_times, time_ms) - 1)]

    def offsets_for_key(self, key: bytes) -> list[int]:
        """Candidate offsets of records with this key. Hashes can collide: the caller compares the record's
        key."""
        if not self.keys_sorted:
            order = sorted(range(len(self.key_hashes)), key=self.key_hashes.__getitem__)
            self.key_offsets = array("I", [self.key_offsets[position] for position in order])
            self.key_hashes = array("Q", [self.key_hashes[position] for position in order])
            self.keys_sorted = True
        key_hash = xxhash.xxh3_64_intdigest(key)
        begin = bisect_left(self.key_hashes, key_hash)
        return sorted(self.key_offsets[begin : bisect_right(self.key_hashes, key_hash)])
