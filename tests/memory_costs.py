"""Prints what things really take beside the constants of the memory budget: `python -m tests.memory_costs`.

One real invoker; resident memory before and after many of a kind come, divided by their number. A new
interpreter or architecture shows here where a constant is too low.
"""

from __future__ import annotations

import platform
import random
import sys
import tempfile
from pathlib import Path

import gevent
from gevent import socket

from harrieryoke.limits import Limits
from harrieryoke.memory_budget import CONNECTION_BYTES, request_size

from .kernel_memory import kernel_bytes
from .overload import LONG_ANSWER_BYTES, Play, call_line

CONNECTIONS = 200
PARTIAL_BYTES = 8000
CALLS, BODY_BYTES = 4, 3000  # open calls of each connection
SETTLE_S = 0.7


def resident_bytes(play: Play) -> float:
    """Return the resident memory of the invoker once it has settled."""
    gevent.sleep(SETTLE_S)
    return play.memory_mb("VmRSS") * 2**20


def print_row(what: str, constant: int, measured: float) -> None:
    note = "" if measured <= constant else "  too low"
    print(f"{what:34} {constant:9} {measured:9.0f}{note}")


def measure(play: Play) -> None:
    """Print a row for each kind, in the order in which they come to one process."""
    rng, size = random.Random(1), resident_bytes(play)
    print(f"{'bytes of one':34} {'constant':>9} {'measured':>9}")
    clients = [socket.create_connection(play.usual.address) for _ in range(CONNECTIONS)]
    for client in clients:
        client.sendall(b'{"jsonrpc":"2.0","id":1,"method":"probe"}\n')
        client.recv(1000)
    before, size = size, resident_bytes(play)
    print_row("connection", CONNECTION_BYTES, (size - before) / CONNECTIONS)
    for client in clients:
        calls = (call_line(n, rng, LONG_ANSWER_BYTES, size=BODY_BYTES) for n in range(2, 2 + CALLS))
        client.sendall(b"".join(calls))
    before, size = size, resident_bytes(play)
    print_row("open request, 3,000 bytes", request_size(BODY_BYTES), (size - before) / CONNECTIONS / CALLS)
    for client in clients:
        client.sendall(b'{"jsonrpc":"2.0","id":99,' + b" " * PARTIAL_BYTES)
    before, size = size, resident_bytes(play)
    print_row("partial line, 8,000 bytes", PARTIAL_BYTES, (size - before) / CONNECTIONS)
    limits = Limits()
    kernel = kernel_bytes(play.process.pid, play.usual.address[1]) / CONNECTIONS
    print_row("socket buffers", 2 * (limits.receive_buffer_bytes() + limits.send_buffer_bytes()), kernel)
    for client in clients:
        client.close()


def main() -> None:
    print(f"Python {platform.python_version()} on {platform.machine()}")
    with tempfile.TemporaryDirectory() as folder:
        play = Play(Path(folder))
        try:
            measure(play)
        finally:
            play.close()
    sys.stdout.flush()


if __name__ == "__main__":
    main()
