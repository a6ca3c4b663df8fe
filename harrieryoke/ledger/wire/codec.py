"""Frames with their length before them, and entries as the collector gets them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from ..decide.entry import Entry
from . import ledger_pb2 as pb

__all__ = ["Decoder", "WireError", "digest", "encode", "entry_bytes", "pb", "wire_id"]

VERSION = 1
MOST_FRAME = 4 << 20


class WireError(ValueError):
    """Bytes of the other side that are no frame."""


def encode(frame: pb.Frame) -> bytes:
    body = frame.SerializeToString()
    size, head = len(body), bytearray()
    while size > 127:
        head.append(size & 127 | 128)
        size >>= 7
    head.append(size)
    return bytes(head) + body


class Decoder:
    """Gets bytes as they come and gives whole frames. Raises WireError; after that nothing more can be
    read."""

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, data: bytes) -> Iterable[pb.Frame]:
        self.rest += data
        while (found := self.length()) is not None and len(self.rest) >= found[0] + found[1]:
            head, size = found
            body = bytes(self.rest[head : head + size])
            del self.rest[: head + size]
            try:
                frame = pb.Frame.FromString(body)
            except DecodeError as error:
                raise WireError(f"no frame: {error}") from None
            if frame.WhichOneof("said") is None:
                raise WireError("a frame that says nothing")
            yield frame

    def length(self) -> tuple[int, int] | None:
        """Bytes of the head, and the length that it tells."""
        size = 0
        for place, byte in enumerate(self.rest[:5]):
            size |= (byte & 127) << 7 * place
            if size > MOST_FRAME:
                break
            if byte < 128:
                return place + 1, size
        if len(self.rest) >= 5 or size > MOST_FRAME:
            raise WireError(f"a frame of more than {MOST_FRAME} bytes")
        return None


def entry_bytes(entry: Entry) -> bytes:
    """The same bytes each time: a batch that is sent again has the digest that it had."""
    a = entry.amounts
    made = pb.Entry(
        instance=entry.id.instance,
        epoch=entry.id.epoch,
        number=entry.id.number,
        kind=pb.Kind.Name(entry.kind),
        at_ms=entry.at,
        period=entry.period,
        tenant=entry.tenant,
        klass=entry.klass,
        outcome=entry.outcome,
        calls=a.calls,
        worth=a.worth,
        took=a.took,
        held=a.held,
        over=entry.over,
        function=entry.function,
        label=entry.label,
        repeat=entry.repeat,
        came=entry.came,
        corrects=str(entry.corrects) if entry.corrects is not None else "",
        reason=entry.reason,
        call=entry.call,
    )
    return made.SerializeToString(deterministic=True)


def wire_id(data: bytes) -> int:
    """By which the two sides of a reconciliation know an entry."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "little")


def digest(entries: Iterable[bytes]) -> str:
    told = hashlib.blake2b(digest_size=16)
    for entry in entries:
        told.update(len(entry).to_bytes(4, "little") + entry)
    return told.hexdigest()
