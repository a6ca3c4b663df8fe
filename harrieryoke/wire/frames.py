"""Frames of the ledger and the council: Protobuf messages preceded by their length as a varint."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

from google.protobuf.message import DecodeError, Message

F = TypeVar("F", bound=Message)


class WireError(ValueError):
    """The peer sent bytes that are not a frame, or a frame that is not allowed."""


def encode(frame: Message) -> bytes:
    body = frame.SerializeToString()
    size, header = len(body), bytearray()
    while size > 127:
        header.append(size & 127 | 128)
        size >>= 7
    header.append(size)
    return bytes(header) + body


class Decoder(Generic[F]):
    """Decodes frames from a byte stream.

    `frame_type` is the message class of the frames; it has one oneof, `said`. A frame of more than
    `max_bytes` bytes is rejected by its length, before memory is allocated for it. Raises WireError; after
    that nothing more can be decoded.
    """

    def __init__(self, frame_type: type[F], max_bytes: int) -> None:
        self.frame_type, self.max_bytes, self.buffer = frame_type, max_bytes, bytearray()

    def feed(self, data: bytes) -> Iterator[F]:
        self.buffer += data
        while (header := self.read_header()) is not None and len(self.buffer) >= header[0] + header[1]:
            header_size, body_size = header
            body = bytes(self.buffer[header_size : header_size + body_size])
            del self.buffer[: header_size + body_size]
            try:
                frame = self.frame_type.FromString(body)
            except DecodeError as error:
                raise WireError(f"no frame: {error}") from None
            if frame.WhichOneof("said") is None:
                raise WireError("a frame that says nothing")
            yield frame

    def read_header(self) -> tuple[int, int] | None:
        """Return the size of the header and the length it encodes."""
        size = 0
        for index, byte in enumerate(self.buffer[:5]):
            size |= (byte & 127) << 7 * index
            if size > self.max_bytes:
                break
            if byte < 128:
                return index + 1, size
        if len(self.buffer) >= 5 or size > self.max_bytes:
            raise WireError(f"a frame of more than {self.max_bytes} bytes")
        return None
