"""Protobuf messages with their length before them, as a varint: the frames of the ledger and the council."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

from google.protobuf.message import DecodeError, Message

F = TypeVar("F", bound=Message)


class WireError(ValueError):
    """Bytes of the other side that are no frame, or a frame with what it may not say."""


def encode(frame: Message) -> bytes:
    body = frame.SerializeToString()
    size, head = len(body), bytearray()
    while size > 127:
        head.append(size & 127 | 128)
        size >>= 7
    head.append(size)
    return bytes(head) + body


class Decoder(Generic[F]):
    """Gets bytes as they come and gives whole frames: `kind` is their class, which has one oneof, `said`. A
    frame of more than `most` bytes is refused by its length, before memory is taken for it. Raises
    WireError; after that nothing more can be read."""

    def __init__(self, kind: type[F], most: int) -> None:
        self.frame_type, self.max_bytes, self.buffer = kind, most, bytearray()

    def feed(self, data: bytes) -> Iterator[F]:
        self.buffer += data
        while (found := self.read_header()) is not None and len(self.buffer) >= found[0] + found[1]:
            head, size = found
            body = bytes(self.buffer[head : head + size])
            del self.buffer[: head + size]
            try:
                frame = self.frame_type.FromString(body)
            except DecodeError as error:
                raise WireError(f"no frame: {error}") from None
            if frame.WhichOneof("said") is None:
                raise WireError("a frame that says nothing")
            yield frame

    def read_header(self) -> tuple[int, int] | None:
        """Bytes of the head, and the length that it tells."""
        size = 0
        for place, byte in enumerate(self.buffer[:5]):
            size |= (byte & 127) << 7 * place
            if size > self.max_bytes:
                break
            if byte < 128:
                return place + 1, size
        if len(self.buffer) >= 5 or size > self.max_bytes:
            raise WireError(f"a frame of more than {self.max_bytes} bytes")
        return None
