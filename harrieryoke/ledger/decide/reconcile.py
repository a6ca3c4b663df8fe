"""Reconciliation: what differs between two sets of entries, in messages that grow with the difference.

An invertible Bloom lookup table (Goodrich and Mitzenmacher 2011; Eppstein and others, "What's the
difference?", 2011): each entry falls into three cells, one of each part of the table; a cell keeps the count,
the sum (XOR) of the entries' ids and of their checks. One table less the other holds only what differs; a
cell with a single entry gives it away, which empties other cells further. Some 1.5 cells for each difference
suffice. How many there are is estimated first by strata: small tables of samples of 1/2, 1/4, 1/8 and so on
of the entries.

An entry is known by a 64-bit id made of its bytes: an entry that differs in content differs in its id.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

CELL = struct.Struct("<iQQ")  # count, xor of ids, xor of checks
PARTS = 3
STRATA, STRATUM = 32, 60
CHECK = 0x5EED


def check_of(id: int) -> int:
    return xxhash.xxh3_64_intdigest(id.to_bytes(8, "little"), CHECK)


class Sketch:
    """A table of `cells`, a multiple of three, seeded: both sides must have the same of both."""

    def __init__(self, cells: int, seed: int) -> None:
        self.each, self.seed = max(1, (cells + PARTS - 1) // PARTS), seed
        size = self.each * PARTS
        self.counts, self.ids, self.checks = [0] * size, [0] * size, [0] * size

    def places(self, id: int) -> list[int]:
        told = xxhash.xxh3_128_intdigest(id.to_bytes(8, "little"), self.seed)
        return [part * self.each + (told >> 40 * part & (1 << 40) - 1) % self.each for part in range(PARTS)]

    def add(self, id: int, times: int = 1) -> None:
        check = check_of(id)
        for at in self.places(id):
            self.counts[at] += times
            self.ids[at] ^= id
            self.checks[at] ^= check

    def less(self, other: Sketch) -> Sketch:
        """What differs. Raises ValueError where the two are not alike."""
        if (self.each, self.seed) != (other.each, other.seed):
            raise ValueError("sketches of another size or seed")
        made = Sketch(self.each * PARTS, self.seed)
        for at in range(len(self.counts)):
            made.counts[at] = self.counts[at] - other.counts[at]
            made.ids[at] = self.ids[at] ^ other.ids[at]
            made.checks[at] = self.checks[at] ^ other.checks[at]
        return made

    def peel(self) -> tuple[set[int], set[int], bool]:
        """Ids that only the first side has, those that only the second has, and whether that is all. Takes
        the table apart."""
        ours, theirs = set[int](), set[int]()
        todo = list(range(len(self.counts)))
        while todo:
            at = todo.pop()
            count, id = self.counts[at], self.ids[at]
            if count not in (1, -1) or self.checks[at] != check_of(id):
                continue
            side = ours if count == 1 else theirs
            if id in side:  # guards against a table made wrong on purpose, which would go round for ever
                return ours, theirs, False
            side.add(id)
            self.add(id, -count)
            todo += self.places(id)
        return ours, theirs, not any(self.counts) and not any(self.ids)

    def encode(self) -> bytes:
        parts = [struct.pack("<IQ", self.each, self.seed)]
        parts += [CELL.pack(*cell) for cell in zip(self.counts, self.ids, self.checks, strict=True)]
        return b"".join(parts)

    @classmethod
    def decode(cls, data: bytes, most: int = 1 << 20) -> Sketch:
        """Raises ValueError for what is none, or has more cells than `most`."""
        if len(data) < 12:
            raise ValueError("no sketch")
        each, seed = struct.unpack_from("<IQ", data)
        if not 1 <= each <= most // PARTS or len(data) != 12 + each * PARTS * CELL.size:
            raise ValueError("a sketch of a wrong size")
        made = cls(each * PARTS, seed)
        for at, cell in enumerate(CELL.iter_unpack(data[12:])):
            made.counts[at], made.ids[at], made.checks[at] = cell
        return made


class Strata:
    """An estimate of how much two sets differ: the n-th table holds the ids that end in n zero bits."""

    def __init__(self, seed: int) -> None:
        self.tables = [Sketch(STRATUM, seed + n) for n in range(STRATA)]
        self.seed = seed

    def add(self, id: int) -> None:
        mixed = xxhash.xxh3_64_intdigest(id.to_bytes(8, "little"), self.seed)
        self.tables[min(STRATA - 1, (mixed & -mixed).bit_length() - 1 if mixed else STRATA - 1)].add(id)

    def difference(self, other: Strata) -> int:
        """About how many differ; errs to the high side by its last factor."""
        found = 0
        for n in reversed(range(STRATA)):
            ours, theirs, all = self.tables[n].less(other.tables[n]).peel()
            if not all:
                return 2 * max(1, found) << (n + 1)
            found += len(ours) + len(theirs)
        return found

    def encode(self) -> bytes:
        return struct.pack("<Q", self.seed) + b"".join(table.encode()[12:] for table in self.tables)

    @classmethod
    def decode(cls, data: bytes) -> Strata:
        """Raises ValueError."""
        cells = STRATUM * CELL.size
        if len(data) != 8 + STRATA * cells:
            raise ValueError("no strata")
        made = cls(struct.unpack_from("<Q", data)[0])
        for n in range(STRATA):
            head = struct.pack("<IQ", STRATUM // PARTS, made.seed + n)
            made.tables[n] = Sketch.decode(head + data[8 + n * cells : 8 + (n + 1) * cells])
        return made


@dataclass(slots=True)
class Difference:
    """Ids that one side has and the other has not."""

    ours: set[int]
    theirs: set[int]


class Session:
    """One side's part: it makes the strata, then a table as large as is needed, twice as large where that did
    not do, and past `most` cells it says that all must be sent."""

    def __init__(self, ids: Iterable[int], seed: int, most: int = 1 << 18) -> None:
        self.ids, self.seed, self.most = set(ids), seed, most
        self.cells = 0
        self.sent = 0  # bytes of all messages, both ways

    def strata(self) -> bytes:
        made = Strata(self.seed)
        for id in self.ids:
            made.add(id)
        return self.told(made.encode())

    def told(self, data: bytes) -> bytes:
        self.sent += len(data)
        return data

    def wanted(self, theirs: bytes) -> int:
        """How many cells the table must have, by the other side's strata. Raises ValueError."""
        self.sent += len(theirs)
        mine = Strata(self.seed)
        for id in self.ids:
            mine.add(id)
        self.cells = max(30, int(1.6 * mine.difference(Strata.decode(theirs))))
        return self.cells

    def table(self, cells: int) -> bytes:
        made = Sketch(cells, self.seed)
        for id in self.ids:
            made.add(id)
        return made.encode()

    def settle(self, theirs: bytes) -> Difference | None:
        """What differs, or None where the table was too small: `cells` is the next size to ask for, 0 where
        all must be sent. Raises ValueError."""
        self.sent += len(theirs)
        other = Sketch.decode(theirs)
        mine = Sketch(other.each * PARTS, other.seed)
        for id in self.ids:
            mine.add(id)
        ours, not_ours, all = mine.less(other).peel()
        if all:
            return Difference(ours, not_ours)
        self.cells = 2 * other.each * PARTS if 2 * other.each * PARTS <= self.most else 0
        return None
