"""The binary frames between an invoker and a model host."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from zlib import crc32

HEADER = struct.Struct(">BBHIQ")
CHECKSUM = struct.Struct(">I")
TO_HOST, FROM_HOST = 76, 108
REQUEST, GIVE_UP, PROBE_LOAD, HOLD, UNLOAD = 65, 66, 68, 69, 71
OK, MISS, FULL, ERROR, OVER, HEALTHY, SICK = 97, 99, 100, 101, 102, 103, 104


class FrameError(ValueError):
    """The bytes are no frame of this protocol."""


@dataclass(slots=True)
class Frame:
    code: int
    id: int
    fields: dict[str, str]
    body: bytes = b""


def encode(
    code: int, id: int, fields: dict[str, str] | None = None, body: bytes = b"", mark: int = TO_HOST
) -> bytes:
    """One whole frame."""
    told = ",".join(f"{k}={v}" for k, v in (fields or {}).items()).encode()
    head = HEADER.pack(mark, code, len(told), len(body), id)
    return b"".join((head, told, body, CHECKSUM.pack(crc32(body, crc32(told)))))


def decode_fields(told: bytes) -> dict[str, str]:
    fields = {}
    for pair in told.decode("utf-8").split(",") if told else []:
        name, equals, value = pair.partition("=")
        if not equals:
            raise FrameError(f"a field without a value: {pair[:40]!r}")
        fields[name] = value
    return fields


class Decoder:
    """Cuts a byte stream into frames; a length beyond `most` is a fault, not a wait for memory."""

    def __init__(self, most: int, mark: int = FROM_HOST) -> None:
        self.max_body_bytes, self.mark, self.buffer = most, mark, bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        self.buffer += data
        while len(self.buffer) >= HEADER.size:
            mark, code, fields, body, id = HEADER.unpack_from(self.buffer)
            if mark != self.mark:
                raise FrameError(f"mark {mark}")
            if body > self.max_body_bytes:
                raise FrameError(f"a body of {body} bytes")
            size = HEADER.size + fields + body
            if len(self.buffer) < size + CHECKSUM.size:
                return
            told = bytes(self.buffer[HEADER.size : HEADER.size + fields])
            content = bytes(self.buffer[HEADER.size + fields : size])
            (check,) = CHECKSUM.unpack_from(self.buffer, size)
            del self.buffer[: size + CHECKSUM.size]
            if check != crc32(content, crc32(told)):
                raise FrameError("check sum")
            try:
                yield Frame(code, id, decode_fields(told), content)
            except UnicodeDecodeError:
                raise FrameError("fields are not text") from None
