"""Set reconciliation: finds the entries by which two sets differ, with messages proportional to the
difference.

An invertible Bloom lookup table (Goodrich and Mitzenmacher 2011; Eppstein and others, "What's the
difference?", 2011): each entry is hashed to three cells, one in each part of the table. A cell holds a count,
the XOR of its entries' ids and the XOR of their checksums. Subtracting one table from the other leaves only
the entries that differ; a cell with a single entry reveals it, and removing it uncovers others (peeling).
About 1.5 cells per difference suffice. The size of the difference is estimated first with strata: small
tables over samples of 1/2, 1/4, 1/8 and so on of the entries.

An entry is identified by a 64-bit id derived from its bytes, so entries that differ in content have different
ids.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

CELL = struct.Struct("<iQQ")  # count, XOR of ids, XOR of checksums
PARTS = 3
STRATA_COUNT, CELLS_PER_STRATUM = 32, 60
CHECKSUM_SEED = 0x5EED


def id_checksum(entry_id: int) -> int:
    return xxhash.xxh3_64_intdigest(entry_id.to_bytes(8, "little"), CHECKSUM_SEED)


class Sketch:
    """An invertible Bloom lookup table of `cells` cells, rounded up to a multiple of three. Both sides must
    use the same size and seed."""

    def __init__(self, cells: int, seed: int) -> None:
        self.cells_per_part, self.seed = max(1, (cells + PARTS - 1) // PARTS), seed
        size = self.cells_per_part * PARTS
        self.counts, self.id_xors, self.checksum_xors = [0] * size, [0] * size, [0] * size

    def cells_of(self, entry_id: int) -> list[int]:
        hashed = xxhash.xxh3_128_intdigest(entry_id.to_bytes(8, "little"), self.seed)
        return [
            part * self.cells_per_part + (hashed >> 40 * part & (1 << 40) - 1) % self.cells_per_part
            for part in range(PARTS)
        ]

    def add(self, entry_id: int, count: int = 1) -> None:
        checksum = id_checksum(entry_id)
        for cell in self.cells_of(entry_id):
            self.counts[cell] += count
            self.id_xors[cell] ^= entry_id
            self.checksum_xors[cell] ^= checksum

    def subtract(self, other: Sketch) -> Sketch:
        """The table of the difference. Raises ValueError if size or seed differ."""
        if (self.cells_per_part, self.seed) != (other.cells_per_part, other.seed):
            raise ValueError("sketches of another size or seed")
        difference = Sketch(self.cells_per_part * PARTS, self.seed)
        for cell in range(len(self.counts)):
            difference.counts[cell] = self.counts[cell] - other.counts[cell]
            difference.id_xors[cell] = self.id_xors[cell] ^ other.id_xors[cell]
            difference.checksum_xors[cell] = self.checksum_xors[cell] ^ other.checksum_xors[cell]
        return difference

    def peel(self) -> tuple[set[int], set[int], bool]:
        """Ids that only the first side has, ids that only the second side has, and whether the result is
        complete. Consumes the table."""
        only_first, only_second = set[int](), set[int]()
        pending = list(range(len(self.counts)))
        while pending:
            cell = pending.pop()
            count, entry_id = self.counts[cell], self.id_xors[cell]
            if count not in (1, -1) or self.checksum_xors[cell] != id_checksum(entry_id):
                continue
            found = only_first if count == 1 else only_second
            if entry_id in found:  # a malicious table could otherwise make this loop endless
                return only_first, only_second, False
            found.add(entry_id)
            self.add(entry_id, -count)
            pending += self.cells_of(entry_id)
        return only_first, only_second, not any(self.counts) and not any(self.id_xors)

    def encode(self) -> bytes:
        parts = [struct.pack("<IQ", self.cells_per_part, self.seed)]
        parts += [
            CELL.pack(*cell) for cell in zip(self.counts, self.id_xors, self.checksum_xors, strict=True)
        ]
        return b"".join(parts)

    @classmethod
    def decode(cls, data: bytes, max_cells: int = 1 << 20) -> Sketch:
        """Raises ValueError if `data` is not a sketch or has more than `max_cells` cells."""
        if len(data) < 12:
            raise ValueError("not a sketch")
        cells_per_part, seed = struct.unpack_from("<IQ", data)
        if (
            not 1 <= cells_per_part <= max_cells // PARTS
            or len(data) != 12 + cells_per_part * PARTS * CELL.size
        ):
            raise ValueError("a sketch of the wrong size")
        sketch = cls(cells_per_part * PARTS, seed)
        for cell, values in enumerate(CELL.iter_unpack(data[12:])):
            sketch.counts[cell], sketch.id_xors[cell], sketch.checksum_xors[cell] = values
        return sketch


class StrataEstimator:
    """Estimates the size of the difference of two sets: the n-th table holds the ids whose hash ends in n
    zero bits."""

    def __init__(self, seed: int) -> None:
        self.tables = [Sketch(CELLS_PER_STRATUM, seed + stratum) for stratum in range(STRATA_COUNT)]
        self.seed = seed

    def add(self, entry_id: int) -> None:
        hashed = xxhash.xxh3_64_intdigest(entry_id.to_bytes(8, "little"), self.seed)
        self.tables[
            min(STRATA_COUNT - 1, (hashed & -hashed).bit_length() - 1 if hashed else STRATA_COUNT - 1)
        ].add(entry_id)

    def estimate_difference(self, other: StrataEstimator) -> int:
        """Estimates how many ids differ. A table that can't be peeled makes the estimate err high."""
        found = 0
        for stratum in reversed(range(STRATA_COUNT)):
            only_first, only_second, complete = self.tables[stratum].subtract(other.tables[stratum]).peel()
            if not complete:
                return 2 * max(1, found) << (stratum + 1)
            found += len(only_first) + len(only_second)
        return found

    def encode(self) -> bytes:
        return struct.pack("<Q", self.seed) + b"".join(table.encode()[12:] for table in self.tables)

    @classmethod
    def decode(cls, data: bytes) -> StrataEstimator:
        """Raises ValueError."""
        stratum_bytes = CELLS_PER_STRATUM * CELL.size
        if len(data) != 8 + STRATA_COUNT * stratum_bytes:
            raise ValueError("not strata")
        estimator = cls(struct.unpack_from("<Q", data)[0])
        for stratum in range(STRATA_COUNT):
            header = struct.pack("<IQ", CELLS_PER_STRATUM // PARTS, estimator.seed + stratum)
            estimator.tables[stratum] = Sketch.decode(
                header + data[8 + stratum * stratum_bytes : 8 + (stratum + 1) * stratum_bytes]
            )
        return estimator


@dataclass(slots=True)
class Difference:
    """Ids that only one of the two sides has."""

    only_here: set[int]
    only_there: set[int]


class ReconcileSession:
    """One side of a reconciliation: it sends strata, then a table of the estimated size, doubled each time
    peeling fails. Beyond `max_cells` cells all entries must be sent."""

    def __init__(self, ids: Iterable[int], seed: int, max_cells: int = 1 << 18) -> None:
        self.ids, self.seed, self.max_cells = set(ids), seed, max_cells
        self.cells = 0
        self.transferred_bytes = 0  # bytes of all messages, both ways

    def encode_strata(self) -> bytes:
        estimator = StrataEstimator(self.seed)
        for entry_id in self.ids:
            estimator.add(entry_id)
        return self.count_bytes(estimator.encode())

    def count_bytes(self, data: bytes) -> bytes:
        self.transferred_bytes += len(data)
        return data

    def cells_needed(self, other_strata: bytes) -> int:
        """The table size that is needed, from the strata of the other side. Raises ValueError."""
        self.transferred_bytes += len(other_strata)
        own = StrataEstimator(self.seed)
        for entry_id in self.ids:
            own.add(entry_id)
        self.cells = max(30, int(1.6 * own.estimate_difference(StrataEstimator.decode(other_strata))))
        return self.cells

    def encode_table(self, cells: int) -> bytes:
        sketch = Sketch(cells, self.seed)
        for entry_id in self.ids:
            sketch.add(entry_id)
        return sketch.encode()

    def resolve(self, other_table: bytes) -> Difference | None:
        """The difference, or None if the table was too small: `cells` is then the next size to request, 0 if
        all entries must be sent. Raises ValueError."""
        self.transferred_bytes += len(other_table)
        other = Sketch.decode(other_table)
        own = Sketch(other.cells_per_part * PARTS, other.seed)
        for entry_id in self.ids:
            own.add(entry_id)
        only_here, only_there, complete = own.subtract(other).peel()
        if complete:
            return Difference(only_here, only_there)
        self.cells = (
            2 * other.cells_per_part * PARTS if 2 * other.cells_per_part * PARTS <= self.max_cells else 0
        )
        return None
