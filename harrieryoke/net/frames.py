"""Binary frames between an invoker and a model host."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from zlib import crc32

from ..memory_budget import Reservation

# magic number, code, length of the fields, length of the body, id
HEADER = struct.Struct(">BBHIQ")
# CRC-32 of the fields and the body
CHECKSUM = struct.Struct(">I")
# magic numbers of the two directions
TO_HOST, FROM_HOST = 76, 108
# codes of frames to a host
REQUEST, GIVE_UP, PROBE_LOAD, HOLD, UNLOAD = 65, 66, 68, 69, 71
# codes of frames from a host
OK, MISS, FULL, ERROR, OVER, HEALTHY, SICK = 97, 99, 100, 101, 102, 103, 104


class FrameError(ValueError):
    """The bytes are not a valid frame."""


@dataclass(slots=True)
class Frame:
    """A decoded frame."""

    code: int
    id: int
    fields: dict[str, str]
    body: bytes = b""
    reservation: Reservation | None = None  # the memory of the answer with this body


def encode(
    code: int, id: int, fields: dict[str, str] | None = None, body: bytes = b"", magic: int = TO_HOST
) -> bytes:
    """Encode one frame."""
    encoded_fields = ",".join(f"{k}={v}" for k, v in (fields or {}).items()).encode()
    header = HEADER.pack(magic, code, len(encoded_fields), len(body), id)
    return b"".join((header, encoded_fields, body, CHECKSUM.pack(crc32(body, crc32(encoded_fields)))))


def decode_fields(encoded: bytes) -> dict[str, str]:
    fields = {}
    for pair in encoded.decode("utf-8").split(",") if encoded else []:
        name, equals, value = pair.partition("=")
        if not equals:
            raise FrameError(f"field without a value: {pair[:40]!r}")
        fields[name] = value
    return fields


class Decoder:
    """Decodes frames from a byte stream; a body longer than `max_body_bytes` is an error."""

    def __init__(self, max_body_bytes: int, magic: int = FROM_HOST) -> None:
        self.max_body_bytes, self.magic, self.buffer = max_body_bytes, magic, bytearray()

    def expected_bytes(self) -> int:
        """Return the size of the incomplete frame, as far as its header tells; 0 if there is none."""
        if len(self.buffer) < HEADER.size:
            return len(self.buffer)
        _, _, fields_size, body_size, _ = HEADER.unpack_from(self.buffer)
        return int(HEADER.size + fields_size + body_size + CHECKSUM.size)

    def feed(self, data: bytes) -> Iterator[Frame]:
        self.buffer += data
        while len(self.buffer) >= HEADER.size:
            magic, code, fields_size, body_size, id = HEADER.unpack_from(self.buffer)
            if magic != self.magic:
                raise FrameError(f"unexpected magic number {magic}")
            if body_size > self.max_body_bytes:
                raise FrameError(f"body of {body_size} bytes is too long")
            size = HEADER.size + fields_size + body_size
            if len(self.buffer) < size + CHECKSUM.size:
                return
            with memoryview(self.buffer) as view:
                encoded_fields = bytes(view[HEADER.size : HEADER.size + fields_size])
                body = bytes(view[HEADER.size + fields_size : size])
            (checksum,) = CHECKSUM.unpack_from(self.buffer, size)
            del self.buffer[: size + CHECKSUM.size]
            if checksum != crc32(body, crc32(encoded_fields)):
                raise FrameError("wrong checksum")
            try:
                yield Frame(code, id, decode_fields(encoded_fields), body)
            except UnicodeDecodeError:
                raise FrameError("fields are not UTF-8 text") from None
