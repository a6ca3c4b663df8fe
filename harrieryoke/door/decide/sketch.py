"""What is remembered of clients in fixed memory, however many there are.

A table of a few rows of cells; a client has one cell in each row, by a seeded hash, and its value is the
least of them (as in a count-min sketch with conservative update, Estan and Varghese 2002). The value only
ever rises, and what lies behind the scheduler's virtual time is worth as much as nothing: that is its
aging.
"""

from __future__ import annotations

from array import array

import xxhash


class Seen:
    """Which ids came lately, in two generations of a Bloom filter (Bloom 1970): one that is filled, and the
    one before it. An id is known for one to two `ages`."""

    def __init__(self, seed: int, age_ms: float = 60_000.0, bits: int = 1 << 19) -> None:
        self.seed, self.age, self.bits = seed, age_ms, bits
        self.young, self.old, self.since = bytearray(bits // 8), bytearray(bits // 8), 0.0

    def places(self, id: str) -> list[int]:
        hashed = xxhash.xxh3_128_intdigest(id.encode("utf-8", "replace"), self.seed ^ 1)
        return [(hashed >> (40 * n)) % self.bits for n in range(3)]

    def add(self, id: str, now: float) -> bool:
        """Whether it was known."""
        if not 0 <= now - self.since < self.age:
            gap = not 0 <= now - self.since < 2 * self.age
            self.old = bytearray(self.bits // 8) if gap else self.young
            self.young, self.since = bytearray(self.bits // 8), now
        places = self.places(id)
        known = all(self.young[p >> 3] >> (p & 7) & 1 or self.old[p >> 3] >> (p & 7) & 1 for p in places)
        for p in places:
            self.young[p >> 3] |= 1 << (p & 7)
        return known


class FinishSketch:
    """The virtual time up to which each client has had its service. A client that shares all its cells with
    busier ones may be told too much, never too little: it waits a little longer, and gains nothing."""

    def __init__(self, seed: int, cells: int = 1 << 14, rows: int = 3) -> None:
        self.seed, self.cells, self.rows = seed, cells, rows
        self.values = [array("d", bytes(8 * cells)) for _ in range(rows)]

    def places(self, client: str) -> list[int]:
        """Seeded: who does not know the seed can't choose ids that meet in one cell."""
        hashed = xxhash.xxh3_128_intdigest(client.encode("utf-8", "replace"), self.seed)
        return [(hashed >> (40 * row)) % self.cells for row in range(self.rows)]

    def get(self, client: str) -> float:
        return min(row[place] for row, place in zip(self.values, self.places(client), strict=True))

    def rise(self, client: str, value: float) -> None:
        for row, place in zip(self.values, self.places(client), strict=True):
            if row[place] < value:
                row[place] = value
