"""The bytes of a stream that are not handled yet, and the lines in them. No I/O."""

from __future__ import annotations


class LineBuffer:
    """Splits a stream into lines, one at a time: lines that wait cost no more than their bytes."""

    __slots__ = ("data", "line_end", "max_line_bytes")

    def __init__(self, max_line_bytes: int) -> None:
        self.data, self.max_line_bytes = bytearray(), max_line_bytes
        self.line_end = -1  # position of the first line feed

    def __len__(self) -> int:
        return len(self.data)

    def feed(self, data: bytes) -> None:
        """Add bytes of the stream."""
        before = len(self.data)
        self.data += data
        if self.line_end < 0:
            self.line_end = self.data.find(b"\n", before)

    def has_line(self) -> bool:
        """Return whether a complete line waits."""
        return self.line_end >= 0

    def has_partial(self) -> bool:
        """Return whether the last line is not complete."""
        return bool(self.data) and self.data[-1] != ord("\n")

    def is_too_long(self) -> bool:
        """Return whether the first line, complete or not, is longer than permitted."""
        return (len(self.data) if self.line_end < 0 else self.line_end) > self.max_line_bytes

    def next_line(self) -> bytes:
        """Remove the first line and return it without its line feed; `has_line` must hold."""
        line = bytes(self.data[: self.line_end])
        del self.data[: self.line_end + 1]
        self.line_end = self.data.find(b"\n")
        return line

    def take_lines(self) -> bytes:
        """Remove all complete lines and return them with their line feeds."""
        end = self.data.rfind(b"\n") + 1
        lines = bytes(self.data[:end])
        del self.data[:end]
        self.line_end = -1
        return lines

    def put_back(self, lines: bytes) -> None:
        """Put lines, with their line feeds, before those that wait."""
        self.data[:0] = lines
        self.line_end = self.data.find(b"\n")

    def clear(self) -> None:
        """Discard all bytes."""
        self.data, self.line_end = bytearray(), -1

    def start(self, size: int) -> bytes:
        """Return the first bytes, `size` at most."""
        return bytes(self.data[:size])

    def unread(self) -> bytes:
        """Return all bytes that are not handled."""
        return bytes(self.data)
