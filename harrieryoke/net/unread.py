"""What can be told of a client from bytes that are not handled yet: that it left, or gave a call up."""

from __future__ import annotations

import select
import struct
import sys
from collections.abc import Iterable
from enum import Enum
from typing import Any

import msgspec
from gevent import socket

from .jsonrpc import BadRequestError, GiveUpParams, Message, decode_message

PEEK_BYTES = 64 * 1024
GIVE_UP = b"giveUp"
# `tcpi_last_data_recv` of Linux's struct tcp_info, in milliseconds
LAST_DATA_OFFSET, LAST_DATA_RECEIVED = 52, struct.Struct("=I")


class InputState(Enum):
    """State of a connection's input, as the kernel has it."""

    EMPTY = "nothing is unread"
    UNREAD = "there are unread bytes"
    ENDED = "the peer closed, half-closed or reset the connection, perhaps behind unread bytes"


def unpatched_poll() -> Any:
    """Return `select.poll` of the standard library.

    gevent's replacement does not support POLLRDHUP. Its monkey patches are not imported here: they would add
    2 MB to a process that does without them.
    """
    patches = sys.modules.get("gevent.monkey")
    return select.poll if patches is None else patches.get_original("select", "poll")


def input_state(sock: socket.socket) -> InputState:
    """Return the state of the input without waiting; that of a closed socket has ended."""
    if sock.fileno() < 0:
        return InputState.ENDED
    poller = unpatched_poll()()
    poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    events = poller.poll(0)
    if not events:
        return InputState.EMPTY
    return InputState.UNREAD if events[0][1] == select.POLLIN else InputState.ENDED


def is_writable(sock: socket.socket) -> bool:
    """Return whether the kernel accepts bytes for the peer, or the connection has ended."""
    if sock.fileno() < 0:
        return True
    poller = unpatched_poll()()
    poller.register(sock.fileno(), select.POLLOUT)
    return bool(poller.poll(0))


def has_hung_up(sock: socket.socket) -> bool:
    """Return whether the peer closed, half-closed or reset the connection, even behind unread bytes."""
    return input_state(sock) is InputState.ENDED


def ms_since_data(sock: socket.socket) -> float:
    """Return how long ago the kernel last received data on the connection; 0 if it does not tell."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size + LAST_DATA_OFFSET
        )
        return float(LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_OFFSET)[0])
    except (OSError, struct.error):
        return 0.0


def peek(sock: socket.socket, size: int = PEEK_BYTES) -> bytes:
    """Return the unread bytes, `size` at most, and leave them unread."""
    timeout = sock.gettimeout()
    sock.settimeout(0)
    try:
        data: bytes = sock.recv(size, socket.MSG_PEEK)
    except OSError:
        return b""
    finally:
        sock.settimeout(timeout)
    return data


def read_now(sock: socket.socket, size: int) -> bytes:
    """Read what has arrived, `size` bytes at most; nothing if there is none or the connection has ended."""
    timeout = sock.gettimeout()
    sock.settimeout(0)
    try:
        data: bytes = sock.recv(size)
    except OSError:
        return b""
    finally:
        sock.settimeout(timeout)
    return data


def send_now(sock: socket.socket, data: bytes) -> bool:
    """Write a short message without waiting; return whether the kernel has accepted all of it."""
    try:
        return bool(sock.send(data, timeout=0.0) == len(data))
    except OSError:
        return False


def given_up_id(message: Message, open_ids: Iterable[tuple[int, str]]) -> int | None:
    """Return the id that a `giveUp` names; `open_ids` are the ids of open calls and their request ids.

    Raises MsgspecError.
    """
    params: GiveUpParams = msgspec.json.decode(bytes(message.params), type=GiveUpParams)
    if params.rid is not None:
        return next((id for id, request_id in open_ids if request_id == params.rid), None)
    return params.id if params.id is not None else message.id


def gives_up(lines: Iterable[bytes], id: int, request_id: str) -> bool:
    """Return whether one of the lines gives the call up that has this id."""
    for line in lines:
        if GIVE_UP not in line:
            continue
        try:
            message = decode_message(line)
            if message.method == "giveUp" and given_up_id(message, [(id, request_id)]) == id:
                return True
        except (BadRequestError, msgspec.MsgspecError):
            continue
    return False
