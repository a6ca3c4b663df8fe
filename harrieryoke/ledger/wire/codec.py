"""Encoding of entries for the collector."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from ..decide.entry import Entry
from . import ledger_pb2 as pb

__all__ = ["MAX_FRAME_BYTES", "PROTOCOL_VERSION", "batch_digest", "encode_entry", "entry_wire_id", "pb"]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 4 << 20


def encode_entry(entry: Entry) -> bytes:
    """Deterministic: a batch that is sent again has the same digest."""
    amounts = entry.amounts
    message = pb.Entry(
        instance=entry.id.instance,
        epoch=entry.id.epoch,
        number=entry.id.number,
        kind=pb.Kind.Name(entry.kind),
        at_ms=entry.time_ms,
        period=entry.period,
        tenant=entry.tenant,
        klass=entry.class_name,
        outcome=entry.outcome,
        calls=amounts.calls,
        worth=amounts.worth,
        took=amounts.took,
        held=amounts.held,
        over=entry.over_share,
        function=entry.function,
        label=entry.label,
        repeat=entry.is_repeat,
        came=entry.original_period,
        corrects=str(entry.corrects) if entry.corrects is not None else "",
        reason=entry.reason,
        call=entry.call_id,
    )
    return message.SerializeToString(deterministic=True)


def entry_wire_id(data: bytes) -> int:
    """Id of an encoded entry in reconciliation."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "little")


def batch_digest(entries: Iterable[bytes]) -> str:
    """Digest of the encoded entries of a batch."""
    hasher = hashlib.blake2b(digest_size=16)
    for entry in entries:
        hasher.update(len(entry).to_bytes(4, "little") + entry)
    return hasher.hexdigest()
