"""On-disk format of segments and snapshots.

    segment  = header record*
    header   = magic version:u16 0:u16 0:u32 number:u64 first:u64 created_ms:u64 check:u64
    record   = size:u32 check:u64 body
    body     = seq:u64 at_ms:u64 kind:u8 keylen:u8 key payload

All integers are little-endian. `check` is the XXH3-64 checksum of the bytes it covers, seeded with the
segment number, so that stale blocks of another segment that reappear in this file never decode as valid
records. Version 1 is read but never written: its header is `magic version:u16 0:u16 0:u32 first:u64`, its
`check:u32` is CRC-32, and its records have no key.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

SEGMENT_MAGIC = b"HYSTORE\n"
SNAPSHOT_MAGIC = b"HYSNAP1\n"
FORMAT_VERSION = 2
SEGMENT_HEADER = struct.Struct("<8sHHIQQQQ")
SEGMENT_HEADER_V1 = struct.Struct("<8sHHIQ")
RECORD_FRAME = struct.Struct("<IQ")
RECORD_FRAME_V1 = struct.Struct("<II")
RECORD_BODY = struct.Struct("<QQBB")
RECORD_BODY_V1 = struct.Struct("<QQB")
FRAME_AND_BODY = struct.Struct("<IQQQBB")
SNAPSHOT_HEADER = struct.Struct("<8sQQQ")  # magic, last covered sequence number, payload size, checksum
MAX_BODY_BYTES = 1 << 20
CLEAN_CLOSE = 255  # kind of the record that a clean shutdown writes last


class FormatError(ValueError):
    """The file has another format, or a version that this program cannot read."""


class Record(NamedTuple):
    """One record. `seq` increases by one with each record; `time_ms` is Unix time."""

    seq: int
    time_ms: int
    kind: int
    key: bytes
    payload: bytes

    def encoded_size(self) -> int:
        return FRAME_AND_BODY.size + len(self.key) + len(self.payload)


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    version: int
    number: int
    first_seq: int
    created_ms: int
    size: int


@dataclass(frozen=True, slots=True)
class DamagedRange:
    """Unreadable bytes of a segment and the sequence numbers lost with them: `after` < lost < `before`.
    `before` is 0 if no readable record follows."""

    begin: int
    end: int
    after: int
    before: int

    def lost_count(self) -> int:
        return max(0, self.before - self.after - 1) if self.before else 0


@dataclass(slots=True)
class SegmentScan:
    """Contents of a segment. `valid_end` is the end offset of its last valid record."""

    header: SegmentHeader
    valid_end: int
    records: list[tuple[int, Record]] = field(default_factory=list)  # with their offsets
    damaged: list[DamagedRange] = field(default_factory=list)
    torn_bytes: int = 0  # bytes after `valid_end` that hold no valid record
    torn_is_record_sized: bool = False  # long enough for a whole record: it may be bit rot
    closed_cleanly: bool = False  # its last record is CLEAN_CLOSE

    def last_seq(self) -> int:
        return self.records[-1][1].seq if self.records else self.header.first_seq - 1


def encode_header(number: int, first_seq: int, created_ms: int) -> bytes:
    header = SEGMENT_HEADER.pack(SEGMENT_MAGIC, FORMAT_VERSION, 0, 0, number, first_seq, created_ms, 0)[:-8]
    return header + struct.pack("<Q", xxhash.xxh3_64_intdigest(header))


def decode_header(data: bytes) -> SegmentHeader | None:
    """None if the header is incomplete or its checksum is wrong. Raises FormatError for a newer version."""
    if len(data) < SEGMENT_HEADER_V1.size or data[:8] != SEGMENT_MAGIC:
        return None
    version = struct.unpack_from("<H", data, 8)[0]
    if version == 1:
        return SegmentHeader(1, 0, SEGMENT_HEADER_V1.unpack_from(data)[4], 0, SEGMENT_HEADER_V1.size)
    if len(data) < SEGMENT_HEADER.size:
        return None
    fields = SEGMENT_HEADER.unpack_from(data)
    if xxhash.xxh3_64_intdigest(data[: SEGMENT_HEADER.size - 8]) != fields[7]:
        return None
    if version > FORMAT_VERSION:
        raise FormatError(f"version {version} is newer than this program's version {FORMAT_VERSION}")
    return SegmentHeader(version, fields[4], fields[5], fields[6], SEGMENT_HEADER.size)


def encode_record(record: Record, segment: int) -> bytes:
    """Encodes a record of that segment. Raises ValueError if its key or payload is too large."""
    if len(record.key) > 255 or len(record.payload) > MAX_BODY_BYTES - 512:
        raise ValueError(
            f"record too large: payload of {len(record.payload)} bytes, key of {len(record.key)} bytes"
        )
    body = (
        RECORD_BODY.pack(record.seq, record.time_ms, record.kind, len(record.key))
        + record.key
        + record.payload
    )
    return RECORD_FRAME.pack(len(body), xxhash.xxh3_64_intdigest(body, segment)) + body


def decode_record(data: bytes | memoryview, offset: int, header: SegmentHeader) -> tuple[Record, int] | None:
    """Decodes the record at `offset`; returns it and its end offset, or None if there is no valid record."""
    is_v1 = header.version == 1
    frame, min_body_bytes = (
        (RECORD_FRAME_V1, RECORD_BODY_V1.size) if is_v1 else (RECORD_FRAME, RECORD_BODY.size)
    )
    body_begin = offset + frame.size
    if body_begin > len(data):
        return None
    size, check = frame.unpack_from(data, offset)
    end = body_begin + size
    if not min_body_bytes <= size <= MAX_BODY_BYTES or end > len(data):
        return None
    if not is_v1:
        if xxhash.xxh3_64_intdigest(data[body_begin:end], header.number) != check:
            return None
        seq, time_ms, kind, key_length = RECORD_BODY.unpack_from(data, body_begin)
        payload_begin = body_begin + RECORD_BODY.size + key_length
        return Record(
            seq,
            time_ms,
            kind,
            bytes(data[body_begin + RECORD_BODY.size : payload_begin]),
            bytes(data[payload_begin:end]),
        ), end
    body = bytes(data[body_begin:end])
    if zlib.crc32(body) != check:
        return None
    seq, time_ms, kind = RECORD_BODY_V1.unpack_from(body)
    return Record(seq, time_ms, kind, b"", body[RECORD_BODY_V1.size :]), end


def find_next_record(
    data: bytes | memoryview, offset: int, header: SegmentHeader, last_seq: int
) -> tuple[int, Record] | None:
    """The offset of the first valid record after `offset`, and the record. Implausible sizes and sequence
    numbers are skipped without computing a checksum, which keeps this a single pass over the bytes."""
    is_v1 = header.version == 1
    frame, min_body_bytes = (
        (RECORD_FRAME_V1, RECORD_BODY_V1.size) if is_v1 else (RECORD_FRAME, RECORD_BODY.size)
    )
    for candidate in range(offset + 1, len(data) - frame.size - min_body_bytes + 1):
        size = frame.unpack_from(data, candidate)[0]
        if not min_body_bytes <= size <= min(MAX_BODY_BYTES, len(data) - candidate - frame.size):
            continue
        seq = struct.unpack_from("<Q", data, candidate + frame.size)[0]
        if (
            last_seq < seq < last_seq + (1 << 32)
            and (decoded := decode_record(data, candidate, header)) is not None
        ):
            return candidate, decoded[0]
    return None


def scan_contiguous(data: bytes, view: memoryview, offset: int, scan: SegmentScan, last_seq: int) -> int:
    """Reads valid records from `offset` on while their sequence numbers are contiguous; returns the end
    offset. Equivalent to a loop over `decode_record`, inlined because recovery decodes millions of records.
    """
    number, unpack_prefix, checksum_of = (
        scan.header.number,
        FRAME_AND_BODY.unpack_from,
        xxhash.xxh3_64_intdigest,
    )
    append_record, frame_bytes, data_end = scan.records.append, RECORD_FRAME.size, len(data)
    while offset + FRAME_AND_BODY.size <= data_end:
        size, checksum, seq, time_ms, kind, key_length = unpack_prefix(data, offset)
        body_begin = offset + frame_bytes
        end = body_begin + size
        if seq != last_seq + 1 or not RECORD_BODY.size <= size <= MAX_BODY_BYTES or end > data_end:
            break
        if checksum_of(view[body_begin:end], number) != checksum:
            break
        key_begin = offset + FRAME_AND_BODY.size
        payload_begin = key_begin + key_length
        append_record(
            (offset, Record(seq, time_ms, kind, data[key_begin:payload_begin], data[payload_begin:end]))
        )
        offset, last_seq = end, seq
    scan.valid_end = offset
    return offset


def scan_segment(data: bytes) -> SegmentScan | None:
    """Reads all records of a segment; None if the header is unreadable. Raises FormatError."""
    header = decode_header(data)
    if header is None:
        return None
    view, offset = memoryview(data), header.size
    scan = SegmentScan(header, offset)
    last_seq = header.first_seq - 1
    while offset < len(data):
        if header.version == FORMAT_VERSION:
            offset = scan_contiguous(data, view, offset, scan, last_seq)
            last_seq = scan.last_seq()
            if offset == len(data):
                break
        decoded = decode_record(view, offset, header)
        # Stale blocks from an earlier use of the file can hold valid records; those have lower sequence
        # numbers.
        if decoded is not None and decoded[0].seq > last_seq:
            record, end = decoded
            if record.seq != last_seq + 1:
                scan.damaged.append(DamagedRange(offset, offset, last_seq, record.seq))
            scan.records.append((offset, record))
            offset, last_seq = end, record.seq
            scan.valid_end = offset
            continue
        resumed = find_next_record(view, offset, header, last_seq)
        if resumed is None:
            frame = RECORD_FRAME_V1 if header.version == 1 else RECORD_FRAME
            size = frame.unpack_from(data, offset)[0] if offset + frame.size <= len(data) else MAX_BODY_BYTES
            scan.torn_bytes, scan.torn_is_record_sized = (
                len(data) - offset,
                offset + frame.size + size <= len(data),
            )
            break
        scan.damaged.append(DamagedRange(offset, resumed[0], last_seq, resumed[1].seq))
        last_seq, offset = resumed[1].seq - 1, resumed[0]
    scan.closed_cleanly = (
        bool(scan.records) and scan.records[-1][1].kind == CLEAN_CLOSE and not scan.torn_bytes
    )
    return scan


def encode_snapshot_header(seq: int, parts: Sequence[bytes]) -> bytes:
    """The header of a snapshot whose payload is the concatenation of `parts` and covers all records up to
    `seq`."""
    checksum = xxhash.xxh3_64(seed=seq)
    for part in parts:
        checksum.update(part)
    return SNAPSHOT_HEADER.pack(SNAPSHOT_MAGIC, seq, sum(map(len, parts)), checksum.intdigest())


def decode_snapshot(data: bytes) -> tuple[int, bytes] | None:
    """The sequence number and payload of a snapshot; None if it is incomplete or its checksum is wrong."""
    if len(data) < SNAPSHOT_HEADER.size or data[:8] != SNAPSHOT_MAGIC:
        return None
    _, seq, size, checksum = SNAPSHOT_HEADER.unpack_from(data)
    payload = data[SNAPSHOT_HEADER.size :]
    valid = len(payload) == size and xxhash.xxh3_64_intdigest(payload, seq) == checksum
    return (seq, payload) if valid else None


def segment_name(number: int) -> str:
    return f"segment-{number:016d}.log"


def snapshot_name(seq: int) -> str:
    return f"snapshot-{seq:020d}.snap"


def numbered_files(names: list[str], prefix: str, suffix: str) -> Iterator[tuple[int, str]]:
    """The files whose names are `prefix` + number + `suffix`, with their numbers, in order of name."""
    for name in sorted(names):
        digits = name[len(prefix) : -len(suffix)]
        if name.startswith(prefix) and name.endswith(suffix) and digits.isdecimal():
            yield int(digits), name
