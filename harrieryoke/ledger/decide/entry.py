"""Ledger entries, from which everything else in the ledger is derived.

An entry is identified by its instance, the instance's epoch (new with each start) and its number in the
epoch. All amounts are integers: counts, milliseconds, thousandths of worth, megabyte-milliseconds.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

USAGE, CORRECTION, GAP = 1, 2, 3
OUTCOMES = ("served", "refused", "failed", "withdrawn")
DIGEST_MODULUS = 1 << 128


class EntryId(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Identity of an entry."""

    instance: str
    epoch: int
    number: int

    def __str__(self) -> str:
        return f"{self.instance}/{self.epoch:x}/{self.number}"

    @staticmethod
    def parse(text: str) -> EntryId:
        """Raises ValueError if `text` is not an entry id."""
        instance, epoch, number = text.rsplit("/", 2)
        if not instance:
            raise ValueError(f"{text!r}: expected INSTANCE/EPOCH/NUMBER")
        return EntryId(instance, int(epoch, 16), int(number))

    def store_key(self) -> bytes:
        """The key of the entry's record in the store."""
        return b"%x/%x" % (self.epoch, self.number)


class Amounts(msgspec.Struct, array_like=True, frozen=True):
    """Billed amounts. In a correction: the change, which may be negative."""

    calls: int = 0
    worth: int = 0  # thousandths
    took: int = 0  # milliseconds from receiving the call to its answer
    held: int = 0  # declared memory times that duration: megabyte-milliseconds

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


ZERO_AMOUNTS = Amounts()


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One ledger entry. It counts in `period`; `original_period` is the period of its time if that was sealed
    already, else -1."""

    id: EntryId
    kind: int
    time_ms: int  # Unix time
    period: int
    tenant: str
    class_name: str
    outcome: str
    amounts: Amounts
    over_share: bool = False  # beyond the tenant's share
    function: str = ""
    label: str = ""
    is_repeat: bool = False  # its idempotency key was billed before: amounts are zero
    key_digest: int = 0  # digest of the idempotency key of a served call; 0: none
    original_period: int = -1
    corrects: EntryId | None = None
    reason: str = ""
    call_id: str = ""  # request id from the client

    def encode(self) -> bytes:
        return ENCODER.encode(self)

    def digest(self) -> int:
        """Digest of the whole entry. Sums of these identify sets of entries independently of their order."""
        return int.from_bytes(hashlib.blake2b(self.encode(), digest_size=16).digest(), "little")


ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)


def digest_key(tenant: str, class_name: str, key: str) -> int:
    """Digest of an idempotency key, which is scoped to its tenant and class."""
    scoped_key = b"\0".join(text.encode() for text in (tenant, class_name, key))
    return int.from_bytes(hashlib.blake2b(scoped_key, digest_size=8).digest(), "little") or 1


def decode_entry(data: bytes) -> Entry:
    """Raises msgspec.MsgspecError."""
    return DECODER.decode(data)


@dataclass(slots=True)
class SetDigest:
    """Digest of a set of entries: their count and the sum of their digests (AdHash by Bellare and Micciancio,
    128 bits). It detects accidental differences, but does not withstand an adversary with years of computing
    time."""

    count: int = 0
    digest_sum: int = 0

    def add(self, entry: Entry) -> None:
        self.count += 1
        self.digest_sum = (self.digest_sum + entry.digest()) % DIGEST_MODULUS

    def to_text(self) -> str:
        return f"{self.count}:{self.digest_sum:032x}"
