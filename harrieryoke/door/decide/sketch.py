"""Probabilistic records of clients in fixed memory, whatever their number."""

from __future__ import annotations

from array import array

import xxhash


class RecentIds:
    """Recently seen ids, in two generations of a Bloom filter (Bloom 1970): the one being filled, and the one
    before it. An id is remembered for one to two generations."""

    def __init__(self, seed: int, generation_ms: float = 60_000.0, bits: int = 1 << 19) -> None:
        self.seed, self.generation_ms, self.bits = seed, generation_ms, bits
        self.current, self.previous, self.current_start = bytearray(bits // 8), bytearray(bits // 8), 0.0

    def bit_positions(self, id: str) -> list[int]:
        """Return the positions of the id's bits in a filter."""
        hashed = xxhash.xxh3_128_intdigest(id.encode("utf-8", "replace"), self.seed ^ 1)
        return [(hashed >> (40 * n)) % self.bits for n in range(3)]

    def add(self, id: str, now: float) -> bool:
        """Add the id and return whether it was there before."""
        if not 0 <= now - self.current_start < self.generation_ms:
            gap = not 0 <= now - self.current_start < 2 * self.generation_ms
            self.previous = bytearray(self.bits // 8) if gap else self.current
            self.current, self.current_start = bytearray(self.bits // 8), now
        positions = self.bit_positions(id)
        known = all(
            self.current[p >> 3] >> (p & 7) & 1 or self.previous[p >> 3] >> (p & 7) & 1 for p in positions
        )
        for p in positions:
            self.current[p >> 3] |= 1 << (p & 7)
        return known


class FinishTagSketch:
    """Upper bounds of the clients' finish tags: a count-min sketch with conservative update (Estan and
    Varghese 2002).

    Each row has one cell for a client, chosen by a seeded hash; the client's value is the least of its cells.
    A client that shares all its cells with busier ones gets too high a tag, never too low a one: it waits a
    little longer and gains nothing. Values only rise and need no aging, because a tag behind the scheduler's
    virtual time has no effect.
    """

    def __init__(self, seed: int, cells: int = 1 << 14, rows: int = 3) -> None:
        self.seed, self.cells, self.rows = seed, cells, rows
        self.values = [array("d", bytes(8 * cells)) for _ in range(rows)]

    def cell_indexes(self, client: str) -> list[int]:
        """Return the client's cell in each row. The seed is secret, so that nobody can choose ids that
        collide."""
        hashed = xxhash.xxh3_128_intdigest(client.encode("utf-8", "replace"), self.seed)
        return [(hashed >> (40 * row)) % self.cells for row in range(self.rows)]

    def get(self, client: str) -> float:
        """Return an upper bound of the client's finish tag."""
        return min(row[cell] for row, cell in zip(self.values, self.cell_indexes(client), strict=True))

    def raise_to(self, client: str, value: float) -> None:
        """Raise the client's cells to the value; higher cells stay."""
        for row, cell in zip(self.values, self.cell_indexes(client), strict=True):
            if row[cell] < value:
                row[cell] = value
