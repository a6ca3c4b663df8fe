"""Refusal of calls that are not decoded: no memory to read them, or no place for their connection."""

from __future__ import annotations

import contextlib
import re
from typing import Any

import msgspec
from gevent import socket

from .jsonrpc import REFUSED, BadRequestError, decode_message

CALL_START = re.compile(rb'\s*\{\s*"jsonrpc"\s*:\s*"2\.0"\s*,\s*"id"\s*:\s*(\d{1,18})\s*[,}]')  # of a line
GIVE_UP_METHOD = "giveUp"
CALL_MEMBER = b"method"  # in each call
MAX_INPUT_BYTES = 64 * 1024  # more than a receive buffer holds


def call_id(line: bytes) -> int | None:
    """Return the id under which a line wants an answer, if any."""
    try:
        message = decode_message(line)
    except BadRequestError:
        return None
    return None if message.method == GIVE_UP_METHOD else message.id


def refused_ids(data: bytes) -> list[int]:
    """Return the ids of the calls in these lines and of the one that begins behind them, each once."""
    *lines, rest = data.split(b"\n")
    start = CALL_START.match(rest)
    ids = [*map(call_id, lines), int(start[1]) if start is not None else None]
    return list(dict.fromkeys(id for id in ids if id is not None))


def encode_refusal(id: int, reason: str, backoff_ms: float) -> bytes:
    """Return the line that refuses a call; a backoff of 0 is not named."""
    error: dict[str, Any] = {"code": REFUSED, "message": reason}
    if backoff_ms:
        error["data"] = {"backoff": round(backoff_ms)}
    return msgspec.json.encode({"jsonrpc": "2.0", "id": id, "error": error}) + b"\n"


def refuse_connection(sock: socket.socket, reason: str, backoff_ms: float) -> int:
    """Refuse the calls that were received on a connection without an actor, and close it; return how many."""
    ids: list[int] = []
    sock.settimeout(0)
    with contextlib.suppress(OSError):
        ids = refused_ids(sock.recv(MAX_INPUT_BYTES))
        sock.send(b"".join(encode_refusal(id, reason, backoff_ms) for id in ids))
    sock.close()
    return len(ids)
