"""Entries: what the ledger consists of. Everything else is derived from them.

An entry's identity is its instance, the instance's epoch (new with each start) and its number in the epoch.
All amounts are whole numbers: counts, milliseconds, thousandths of worth, megabyte-milliseconds.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

USE, CORRECTION, GAP = 1, 2, 3
OUTCOMES = ("served", "refused", "failed", "withdrawn")
HASHED = 1 << 128


class Id(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Whose entry it is, and which."""

    instance: str
    epoch: int
    number: int

    def __str__(self) -> str:
        return f"{self.instance}/{self.epoch:x}/{self.number}"

    @staticmethod
    def read(text: str) -> Id:
        """Raises ValueError for what is none."""
        instance, epoch, number = text.rsplit("/", 2)
        if not instance:
            raise ValueError(f"{text!r}: INSTANCE/EPOCH/NUMBER is wanted")
        return Id(instance, int(epoch, 16), int(number))

    def key(self) -> bytes:
        """Under which the store keeps it."""
        return b"%x/%x" % (self.epoch, self.number)


class Amounts(msgspec.Struct, array_like=True, frozen=True):
    """What is billed. Of a correction: what it adds, which may be negative."""

    calls: int = 0
    worth: int = 0  # thousandths
    took: int = 0  # milliseconds from taking the call to its answer
    held: int = 0  # memory as told times that time: megabyte-milliseconds

    def __add__(self, other: Amounts) -> Amounts:
        return Amounts(
            self.calls + other.calls,
            self.worth + other.worth,
            self.took + other.took,
            self.held + other.held,
        )

    def __sub__(self, other: Amounts) -> Amounts:
        return Amounts(
            self.calls - other.calls,
            self.worth - other.worth,
            self.took - other.took,
            self.held - other.held,
        )


NOTHING = Amounts()


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry. `period` is where it counts; `came` the period of its time, where that was closed
    already."""

    id: Id
    kind: int
    at: int  # ms, Unix clock
    period: int
    tenant: str
    klass: str
    outcome: str
    amounts: Amounts
    over: bool = False  # beyond the tenant's share
    function: str = ""
    label: str = ""
    repeat: bool = False  # a key that was billed before: it counts nothing
    key: int = 0  # a digest of the key of a served call
    came: int = -1
    corrects: Id | None = None
    reason: str = ""
    call: str = ""  # the id that the client gave it

    def encode(self) -> bytes:
        return ENCODER.encode(self)

    def digest(self) -> int:
        """Of all that it says. Sums of these stand for sets of entries, in whatever order they came."""
        return int.from_bytes(hashlib.blake2b(self.encode(), digest_size=16).digest(), "little")


ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)


def key_of(tenant: str, klass: str, key: str) -> int:
    """Keys of other tenants or classes are other keys."""
    told = b"\0".join(text.encode() for text in (tenant, klass, key))
    return int.from_bytes(hashlib.blake2b(told, digest_size=8).digest(), "little") or 1


def decode(data: bytes) -> Entry:
    """Raises msgspec.MsgspecError."""
    return DECODER.decode(data)


@dataclass(slots=True)
class Sum:
    """A set of entries, as their count and the sum of their digests (Bellare and Micciancio's AdHash with 128
    bits): it tells two sets apart that differ by accident, not by an adversary with years of time."""

    count: int = 0
    digest: int = 0

    def add(self, entry: Entry) -> None:
        self.count += 1
        self.digest = (self.digest + entry.digest()) % HASHED

    def hex(self) -> str:
        return f"{self.count}:{self.digest:032x}"
