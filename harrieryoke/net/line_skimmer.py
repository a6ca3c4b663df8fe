"""Reads a line that is refused without holding it: keeps what tells which call it is. No I/O."""

from __future__ import annotations

import re

SHORT_LINE_BYTES = 512  # a line up to this length is kept as it is
TOKENS = re.compile(rb'["\\{}\[\]]')
QUOTE, BACKSLASH = ord('"'), ord("\\")
OPENING, CLOSING = frozenset(b"{["), frozenset(b"}]")


class LineSkimmer:
    """Takes one line in pieces, and returns it condensed: the top-level object without nested values.

    A line whose top level is itself too long comes without a usable end; it can't be decoded.
    """

    __slots__ = ("depth", "escaped", "in_string", "is_answered", "kept", "short")

    def __init__(self) -> None:
        self.short: bytearray | None = bytearray()  # the line so far, as long as it is short
        self.kept = bytearray()  # of a longer line
        self.depth, self.in_string, self.escaped = 0, False, False
        self.is_answered = False  # the refusal was sent already

    def feed(self, data: bytes) -> tuple[bytes | None, bytes]:
        """Take a piece; return the condensed line, None if it goes on, and what follows it."""
        piece, end, rest = data.partition(b"\n")
        if self.short is not None:
            self.short += piece
            if len(self.short) > SHORT_LINE_BYTES:
                piece, self.short = bytes(self.short), None
        if self.short is None:
            self.scan(piece)
        if not end:
            return None, b""
        return bytes(self.kept if self.short is None else self.short), rest

    def scan(self, piece: bytes) -> None:
        """Follow the structure of a piece, and keep what belongs to the top level."""
        kept_from, skip_to = (0 if self.depth <= 1 else None), 0
        if self.escaped:
            skip_to, self.escaped = 1, False
        for match in TOKENS.finditer(piece):
            position, token = match.start(), piece[match.start()]
            if position < skip_to:
                continue
            if token == BACKSLASH:
                skip_to = position + 2
                self.escaped = self.in_string and skip_to > len(piece)
            elif token == QUOTE:
                self.in_string = not self.in_string
            elif not self.in_string and token in OPENING:
                self.depth += 1
                if self.depth == 2 and kept_from is not None:
                    self.keep(piece[kept_from : position + 1])
                    kept_from = None
            elif not self.in_string and token in CLOSING:
                self.depth -= 1
                if self.depth == 1:
                    kept_from = position
        if kept_from is not None:
            self.keep(piece[kept_from:])

    def keep(self, data: bytes) -> None:
        """Keep bytes of the top level, up to the length of a short line."""
        self.kept += data[: max(0, SHORT_LINE_BYTES - len(self.kept))]
