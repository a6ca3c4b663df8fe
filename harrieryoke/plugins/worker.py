"""The process that runs one version of one plug-in: `python -m harrieryoke.plugins.worker FD`.

It holds one descriptor, a pipe to the invoker: frames of four bytes of length and msgpack, one answer to each
message. It limits itself before it loads anything of the plug-in; the invoker kills it when it is late, and
the kernel's alarm does where nobody is there to do so.
"""

from __future__ import annotations

import ctypes
import os
import resource
import signal
import socket
import struct
import sys
import time
from typing import Any, Protocol

import msgspec

from .decide.abi import Fault
from .decide.state import State
from .room import MOST_LINE, Room

HEAD = struct.Struct(">I")
MOST_OUT = 64 << 10
PR_SET_PDEATHSIG = 1


class Engine(Protocol):
    """What runs a plug-in's code. `call` raises Fault; any other error is told as 'raised'."""

    def hooks(self) -> list[str]: ...

    def call(self, hook: str, view: dict[str, Any]) -> Any: ...


def limit_memory(more_mb: float) -> None:
    """The address space may grow by so much from here. Guards the machine against a plug-in's appetite."""
    with open("/proc/self/statm") as statm:
        now = int(statm.read().split()[0]) * resource.getpagesize()
    most = now + int(more_mb * 2**20)
    resource.setrlimit(resource.RLIMIT_AS, (most, most))


def confine() -> None:
    """No new files, no new processes, no core files; and no life without the invoker."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() == 1:  # guards against the invoker having ended before the line above
        sys.exit(0)
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    signal.signal(signal.SIGALRM, signal.SIG_DFL)


def no_more_files() -> None:
    """After all is imported: nothing can be opened any more, be it a file or a socket."""
    for what in (resource.RLIMIT_NOFILE, resource.RLIMIT_NPROC, resource.RLIMIT_FSIZE):
        resource.setrlimit(what, (0, 0))


def alarm(ms: float) -> None:
    """The kernel ends this process then, whatever it is doing; 0 takes that back."""
    signal.setitimer(signal.ITIMER_REAL, ms / 1000)


def load(told: dict[str, Any]) -> tuple[Engine, Room]:
    room = Room(told["state_bytes"], told["host_calls"], told["stateful"])
    room.state.change(told["state"])
    if told["engine"] == "wasm":
        from .wasm_engine import Wasm

        limit_memory(told["memory_mb"] + 160)  # compiling takes some; the store has the exact bound
        return Wasm(told["code"], told["memory_mb"], told["fuel"], room), room
    from .starlark_engine import Starlark

    limit_memory(told["memory_mb"])
    return Starlark(told["code"], room), room


def answer(engine: Engine, room: Room, told: dict[str, Any]) -> dict[str, Any]:
    if "state" in told:  # the invoker's own copy replaces this one
        room.state = State(room.state.most, told["state"])
    room.begin()
    said = engine.call(told["hook"], told["view"])
    room.keep()
    return {"said": said, "puts": room.changes}


class Pipe:
    """The worker's end."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setblocking(True)  # the invoker made it, and its own end is not

    def exactly(self, size: int) -> bytes:
        parts = bytearray()
        while len(parts) < size:
            data = self.sock.recv(size - len(parts))
            if not data:
                sys.exit(0)
            parts += data
        return bytes(parts)

    def read(self) -> dict[str, Any]:
        (size,) = HEAD.unpack(self.exactly(HEAD.size))
        told: dict[str, Any] = msgspec.msgpack.decode(self.exactly(size))
        return told

    def write(self, answer: dict[str, Any]) -> None:
        try:
            data = msgspec.msgpack.encode(answer)
            if len(data) > MOST_OUT:
                raise Fault("too-large", f"an answer of {len(data)} bytes")
        except (Fault, TypeError, ValueError, OverflowError, RecursionError, MemoryError) as error:
            kind = error.kind if isinstance(error, Fault) else "wrong-answer"
            data = msgspec.msgpack.encode(
                {"fault": [kind, str(error)[:MOST_LINE]], "rss_kb": answer.get("rss_kb", 0)}
            )
        self.sock.sendall(HEAD.pack(len(data)) + data)


class Peak:
    """The most memory that this process has held, in KiB. Kept open, since nothing can be opened later; read
    now and then, since a read takes longer than a small hook."""

    def __init__(self) -> None:
        self.status = open("/proc/self/status")  # noqa: SIM115
        self.kb = self.turn = 0

    def look(self) -> int:
        self.status.seek(0)
        self.kb = next((int(line.split()[1]) for line in self.status if line.startswith("VmHWM")), 0)
        return self.kb

    def now(self) -> int:
        self.turn += 1
        return self.look() if self.turn % 16 == 1 else self.kb


def described(error: BaseException) -> list[str]:
    if isinstance(error, Fault):
        return [error.kind, str(error)[:MOST_LINE]]
    if isinstance(error, MemoryError):
        return ["memory", "out of memory"]
    if isinstance(error, RecursionError):
        return ["recursion", "too deep"]
    text = " ".join(str(error).split())
    return ["raised", f"{type(error).__name__}: {text[-MOST_LINE:]}"]


def main() -> None:
    confine()
    pipe = Pipe(socket.socket(fileno=int(sys.argv[1])))
    told = pipe.read()
    alarm(2 * told["load_ms"] + 1000)
    peak = Peak()
    try:
        engine, room = load(told)
        no_more_files()
        pipe.write({"hooks": engine.hooks(), "rss_kb": peak.look()})
    except Exception as error:
        return pipe.write({"fault": described(error), "rss_kb": peak.look()})
    while True:
        alarm(0)
        told = pipe.read()
        alarm(2 * told["ms"] + 1000)
        began = time.perf_counter()
        try:
            said = answer(engine, room, told)
        except Exception as error:
            said = {"fault": described(error)}
        took = time.perf_counter() - began
        pipe.write(said | {"log": room.lines, "took_ms": took * 1000, "rss_kb": peak.now()})


if __name__ == "__main__":
    main()
