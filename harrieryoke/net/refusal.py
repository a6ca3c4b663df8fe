"""Refusal of calls that are not decoded: no memory to read them, or no place for their connection."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Iterable
from typing import Any

import msgspec
from gevent import socket

from .jsonrpc import REFUSED, BadRequestError, decode_message

CALL_START = re.compile(rb'\s*\{\s*"jsonrpc"\s*:\s*"2\.0"\s*,\s*"id"\s*:\s*(\d{1,18})\s*[,}]')  # of a line
GIVE_UP_METHOD = "giveUp"
CALL_MEMBER, ID_MEMBER = b"method", b'"id"'  # in each call
MAX_INPUT_BYTES = 64 * 1024  # more than a receive buffer holds


def may_want_answer(line: bytes) -> bool:
    """Return whether a line may be a call, or have an id under which an answer is due."""
    return CALL_MEMBER in line or ID_MEMBER in line


def call_id(line: bytes) -> int | None:
    """Return the id under which a line wants an answer, if any."""
    try:
        message = decode_message(line)
    except BadRequestError:
        return None
    return None if message.method == GIVE_UP_METHOD else message.id


def refused_ids(lines: Iterable[bytes]) -> list[int]:
    """Return the ids of the calls in these lines, each once."""
    return list(dict.fromkeys(id for id in map(call_id, lines) if id is not None))


def encode_refusal(id: int, reason: str, backoff_ms: float) -> bytes:
    """Return the line that refuses a call; a backoff of 0 is not named."""
    error: dict[str, Any] = {"code": REFUSED, "message": reason}
    if backoff_ms:
        error["data"] = {"backoff": round(backoff_ms)}
    return msgspec.json.encode({"jsonrpc": "2.0", "id": id, "error": error}) + b"\n"


def refuse_connection(sock: socket.socket, reason: str, backoff_ms: float) -> int:
    """Refuse the calls that were received on a connection without an actor; return how many."""
    ids: list[int] = []
    sock.settimeout(0)
    with contextlib.suppress(OSError):
        *lines, rest = sock.recv(MAX_INPUT_BYTES).split(b"\n")
        start = CALL_START.match(rest)
        ids = refused_ids(lines) + ([int(start[1])] if start is not None else [])
        sock.send(b"".join(encode_refusal(id, reason, backoff_ms) for id in ids))
    return len(ids)
