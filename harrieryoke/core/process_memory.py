"""The memory of this process, as the kernel counts it: resident pages, and buffers of its sockets."""

from __future__ import annotations

import os
import struct
from collections.abc import Iterable

from gevent import socket

STATM = "/proc/self/statm"
STATM_BYTES = 128
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SO_MEMINFO = 55  # Linux, socket(7); not in Python's module
# of struct sk_meminfo: bytes received, limit of the former, allocated ahead, waiting to be sent
MEMINFO = struct.Struct("=9I")
RECEIVED, RECEIVE_LIMIT, AHEAD, TO_SEND = 0, 1, 4, 5


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the kernel does not tell."""
    try:
        with open(STATM) as statm:
            return int(statm.read().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


class ResidentMemory:
    """Reads the resident memory often: its file stays open. A reading takes a microsecond."""

    def __init__(self) -> None:
        try:
            self.statm = os.open(STATM, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self.statm = -1

    def read(self) -> int:
        """Return the resident memory in bytes; 0 if the kernel does not tell."""
        try:
            return int(os.pread(self.statm, STATM_BYTES, 0).split()[1]) * PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return 0


def meminfo(sock: socket.socket) -> tuple[int, ...] | None:
    """Return the kernel's figures of the socket's buffers; None if it does not tell."""
    try:
        return MEMINFO.unpack(sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size))
    except (OSError, struct.error):
        return None


def socket_buffer_bytes(sockets: Iterable[socket.socket]) -> int:
    """Return what the kernel holds in the buffers of these sockets, in bytes."""
    total = 0
    for sock in sockets:
        if (info := meminfo(sock)) is not None:
            total += info[RECEIVED] + info[AHEAD] + info[TO_SEND]
    return total


def is_receive_buffer_full(sock: socket.socket) -> bool:
    """Return whether what is unread may keep the peer from sending more; True if the kernel does not tell.

    A peer may send as long as the received data, with the kernel's overhead, takes under half of the limit.
    """
    info = meminfo(sock)
    return info is None or 2 * info[RECEIVED] >= info[RECEIVE_LIMIT]
