"""Refusal of calls that are not decoded: no memory to read them, or no place for their connection."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Iterable
from typing import Any

import msgspec
from gevent import socket

from ..core.clock import now_ms
from .jsonrpc import REFUSED, BadRequestError, decode_message

CALL_START = re.compile(rb'\s*\{\s*"jsonrpc"\s*:\s*"2\.0"\s*,\s*"id"\s*:\s*(\d{1,18})\s*[,}]')  # of a line
GIVE_UP_METHOD = "giveUp"
CALL_MEMBER, ID_MEMBER = b"method", b'"id"'  # in each call
MAX_INPUT_BYTES = 64 * 1024  # more than a receive buffer holds
QUIET_S = 0.05  # without a byte, after which the calls of a refused connection have been read
MAX_REFUSING_MS = 1000.0  # for one connection


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
    """Refuse the calls that come on a connection without an actor, until none has come for a moment.

    Returns how many were refused. The caller closes the socket: a close before the client's bytes are read
    would take the refusals away from it.
    """
    sock.settimeout(QUIET_S)
    count, data, give_up_at = 0, b"", now_ms() + MAX_REFUSING_MS
    with contextlib.suppress(OSError):
        while now_ms() < give_up_at and (piece := sock.recv(MAX_INPUT_BYTES)):
            *lines, data = (data + piece).split(b"\n")
            ids = refused_ids(lines)
            sock.sendall(b"".join(encode_refusal(id, reason, backoff_ms) for id in ids))
            count += len(ids)
            data = data[:MAX_INPUT_BYTES]
    if (start := CALL_START.match(data)) is not None:
        with contextlib.suppress(OSError):
            sock.sendall(encode_refusal(int(start[1]), reason, backoff_ms))
        count += 1
    return count
