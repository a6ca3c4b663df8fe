"""Refusal of calls that are not decoded: no memory to read them, or no place for their connection."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from .jsonrpc import REFUSED, BadRequestError, decode_message
from .line_skimmer import LineSkimmer

CALL_START = re.compile(rb'\s*\{\s*"jsonrpc"\s*:\s*"2\.0"\s*,\s*"id"\s*:\s*(\d{1,18})\s*[,}]')  # of a line
BUDGET = re.compile(rb'"budget"\s*:\s*(\d{1,9})')  # of a call, in milliseconds
GIVE_UP_METHOD = "giveUp"
CALL_MEMBER, ID_MEMBER = b"method", b'"id"'  # in each call
MAX_START_BYTES = 128  # of a line, which tell its id if it stands at the usual place


def may_want_answer(line: bytes) -> bool:
    """Return whether a line may be a call, or have an id under which an answer is due."""
    return CALL_MEMBER in line or ID_MEMBER in line


def call_budget_ms(start: bytes) -> float | None:
    """Return the time of the call that begins so, if what has come names it."""
    found = BUDGET.search(start)
    return None if found is None else float(found[1])


def call_id(line: bytes) -> int | None:
    """Return the id under which a line wants an answer, if any."""
    try:
        message = decode_message(line)
    except BadRequestError:
        return None
    return None if message.method == GIVE_UP_METHOD else message.id


def encode_refusal(id: int | None, reason: str, backoff_ms: float) -> bytes:
    """Return the line that refuses a call; a backoff of 0 is not named."""
    error: dict[str, Any] = {"code": REFUSED, "message": reason}
    if backoff_ms:
        error["data"] = {"backoff": round(backoff_ms)}
    return msgspec.json.encode({"jsonrpc": "2.0", "id": id, "error": error}) + b"\n"


class CallReader:
    """Finds the ids of the calls in a stream without holding their lines."""

    def __init__(self, is_first_answered: bool) -> None:
        self.skimmer, self.start = LineSkimmer(), b""
        self.skimmer.is_answered = is_first_answered

    def is_in_line(self) -> bool:
        """Return whether a line has begun that may be a call, and has neither ended nor been refused."""
        return self.start.lstrip().startswith(b"{") and not self.skimmer.is_answered

    def feed(self, data: bytes) -> list[int]:
        """Take a piece of the stream; return the ids of the calls that end in it, and of one that begins."""
        ids: list[int] = []
        if not self.start and not self.skimmer.is_answered:
            lines, _, rest = data.rpartition(b"\n")
            data = data if may_want_answer(lines) else rest
        while data:
            if not self.start:
                self.start = data[:MAX_START_BYTES]
            line, data = self.skimmer.feed(data)
            if line is None:
                ids += self.early_id()
            else:
                id = None if self.skimmer.is_answered else call_id(line)
                ids += [] if id is None else [id]
                self.skimmer, self.start = LineSkimmer(), b""
        return ids

    def early_id(self) -> list[int]:
        """Return the id of the call that has begun, once, if its start tells it."""
        head = None if self.skimmer.is_answered else CALL_START.match(self.start)
        if head is None:
            return []
        self.skimmer.is_answered = True
        return [int(head[1])]
