"""What the kernel holds for sockets, asked over netlink (sock_diag(7)) and not of the program."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Iterator

NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY, DONE = 4, 20, 3
NLM_F_REQUEST, NLM_F_DUMP = 0x1, 0x300
SKMEMINFO = 7  # attribute INET_DIAG_SKMEMINFO
ALL_STATES = 0xFFFFFFFF
HEADER = struct.Struct("=IHHII")
ANSWER_BYTES = 72  # struct inet_diag_msg
INODE_OFFSET, PORT_OFFSET = 68, 4
# of struct sk_meminfo: received, allocated ahead and waiting to be sent
RECEIVED, AHEAD, TO_SEND = 0, 4, 5


def socket_memory() -> Iterator[tuple[int, int, int]]:
    """Yield inode, local port and bytes in kernel buffers of each IPv4 socket of this machine."""
    request = struct.pack("=BBBxI48x", socket.AF_INET, socket.IPPROTO_TCP, 1 << (SKMEMINFO - 1), ALL_STATES)
    header = HEADER.pack(
        HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST | NLM_F_DUMP, 1, os.getpid()
    )
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as diag:
        diag.send(header + request)
        while True:
            data, start = diag.recv(1 << 18), 0
            while start < len(data):
                size, kind, *_ = HEADER.unpack_from(data, start)
                if kind == DONE:
                    return
                yield parse_answer(data[start + HEADER.size : start + size])
                start += (size + 3) & ~3


def parse_answer(data: bytes) -> tuple[int, int, int]:
    """Return inode, local port and bytes in buffers from one struct inet_diag_msg with its attributes."""
    (port,) = struct.unpack_from(">H", data, PORT_OFFSET)
    (inode,) = struct.unpack_from("=I", data, INODE_OFFSET)
    start = ANSWER_BYTES
    while start < len(data):
        size, kind = struct.unpack_from("=HH", data, start)
        if kind == SKMEMINFO:
            sizes = struct.unpack_from("=6I", data, start + 4)
            return inode, port, sizes[RECEIVED] + sizes[AHEAD] + sizes[TO_SEND]
        start += (size + 3) & ~3
    return inode, port, 0


def inodes_of(pid: int) -> set[int]:
    """Return the inodes of the process's sockets."""
    inodes = set()
    for entry in os.scandir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(entry.path)
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(int(target[8:-1]))
    return inodes


def kernel_bytes(pid: int, port: int) -> int:
    """Return the bytes in buffers of the process's sockets, and of those that wait for it at the port."""
    own = inodes_of(pid)
    return sum(size for inode, at, size in socket_memory() if inode in own or (not inode and at == port))
