"""What a new process asks of the one that serves: its listening socket, bans and learned state."""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from socket import recv_fds

import gevent
import msgspec
from gevent import socket

from ..limits import Limits
from ..log import Log
from .messages import HandoverHeader, Hello

READ_BYTES = 65536


@contextmanager
def short_socket_path(path: Path) -> Iterator[str]:
    """Yield a short name for `path` through its directory: a Unix address holds at most 107 bytes."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class Predecessor(msgspec.Struct):
    """The process that has served here so far, and what it handed over."""

    sock: socket.socket
    listening: socket.socket
    bans: list[str]
    ban_versions: dict[str, int]
    state: bytes


def request_handover(path: Path, limits: Limits, log: Log, hello: Hello) -> Predecessor | None:
    """Request a handover from the process that listens at `path`, for `handover_ms` at most.

    Returns None if there is no process, or it does not complete the handover.
    """
    sock, fds = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM), list[int]()
    try:
        with gevent.Timeout(limits.handover_ms / 1000, TimeoutError("no answer in time")):
            with short_socket_path(path) as name:
                sock.connect(name)
            sock.sendall(msgspec.json.encode(hello) + b"\n")
            header, state = receive_handover(sock, fds, limits)
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fds.pop())
        return Predecessor(sock, listening, header.bans, header.ban_versions, state)
    except (FileNotFoundError, ConnectionRefusedError):
        sock.close()  # no process serves: an ordinary start
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        sock.close()
        log("takeover-failed", f"no handover from the predecessor: {error}")
    for fd in fds:
        os.close(fd)
    return None


def receive_handover(sock: socket.socket, fds: list[int], limits: Limits) -> tuple[HandoverHeader, bytes]:
    """Read the header and the state that follows it; descriptors are appended to `fds` as they come, so that
    the caller can close them after an error. Raises OSError, ValueError or MsgspecError."""
    data = b""
    while b"\n" not in data:
        more, received, _, _ = recv_fds(sock, READ_BYTES, 1)
        fds += received
        if not more or len(data) > limits.handover_bytes:
            raise ValueError("the predecessor ended before the handover was complete")
        data += more
    line, _, state = data.partition(b"\n")
    header: HandoverHeader = msgspec.json.decode(line, type=HandoverHeader)
    if not fds or header.size > limits.handover_bytes:
        raise ValueError("handover without a socket, or too large")
    while len(state) < header.size:
        more = sock.recv(READ_BYTES)
        if not more:
            raise ValueError("the predecessor ended before the handover was complete")
        state += more
    return header, state
