"""The process that runs one version of one plug-in: `python -m harrieryoke.plugins.worker FD`.

FD is its only descriptor, a socket to the invoker. A frame is four bytes of length and msgpack; each message
gets one answer. The process limits itself before it loads any code of the plug-in. The invoker kills it when
it is late; an alarm of the kernel does so when the invoker can't.
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
from .decide.state import PluginState
from .room import MAX_LINE_CHARS, HookContext

FRAME_HEADER = struct.Struct(">I")
MAX_ANSWER_BYTES = 64 << 10
PR_SET_PDEATHSIG = 1
WASM_COMPILE_MB = 160  # address space for compiling; the engine's store enforces the exact memory limit
PEAK_READ_INTERVAL = 16  # calls between two reads of the peak memory


class Engine(Protocol):
    """Runs a plug-in's code. `call` raises Fault; any other error is reported as 'raised'."""

    def hooks(self) -> list[str]: ...

    def call(self, hook: str, view: dict[str, Any]) -> Any: ...


def limit_memory(more_mb: float) -> None:
    """Limit further address space to `more_mb`, so that a plug-in can't exhaust the machine's memory."""
    with open("/proc/self/statm") as statm:
        now = int(statm.read().split()[0]) * resource.getpagesize()
    limit = now + int(more_mb * 2**20)
    resource.setrlimit(resource.RLIMIT_AS, (limit, limit))


def confine() -> None:
    """Forbid core files, and end this process when the invoker ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() == 1:  # the invoker ended before prctl was called
        sys.exit(0)
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    signal.signal(signal.SIGALRM, signal.SIG_DFL)


def forbid_new_descriptors() -> None:
    """Forbid opening files and sockets, and starting processes. Must be called after all imports."""
    for limit in (resource.RLIMIT_NOFILE, resource.RLIMIT_NPROC, resource.RLIMIT_FSIZE):
        resource.setrlimit(limit, (0, 0))


def set_alarm(ms: float) -> None:
    """Let the kernel end this process after that time, whatever it is doing; 0 cancels the alarm."""
    signal.setitimer(signal.ITIMER_REAL, ms / 1000)


def load(message: dict[str, Any]) -> tuple[Engine, HookContext]:
    context = HookContext(message["state_bytes"], message["host_calls"], message["stateful"])
    context.state.apply(message["state"])
    if message["engine"] == "wasm":
        from .wasm_engine import WasmEngine

        limit_memory(message["memory_mb"] + WASM_COMPILE_MB)
        return WasmEngine(message["code"], message["memory_mb"], message["fuel"], context), context
    from .starlark_engine import StarlarkEngine

    limit_memory(message["memory_mb"])
    return StarlarkEngine(message["code"], context), context


def run_hook(engine: Engine, context: HookContext, message: dict[str, Any]) -> dict[str, Any]:
    if "state" in message:  # the invoker's copy replaces this one
        context.state = PluginState(context.state.max_bytes, message["state"])
    context.reset()
    result = engine.call(message["hook"], message["view"])
    context.apply_changes()
    return {"said": result, "puts": context.changes}


class Pipe:
    """The worker's end of the socket to the invoker."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setblocking(True)  # the invoker created it as non-blocking

    def read_exactly(self, size: int) -> bytes:
        parts = bytearray()
        while len(parts) < size:
            data = self.sock.recv(size - len(parts))
            if not data:
                sys.exit(0)
            parts += data
        return bytes(parts)

    def read(self) -> dict[str, Any]:
        (size,) = FRAME_HEADER.unpack(self.read_exactly(FRAME_HEADER.size))
        message: dict[str, Any] = msgspec.msgpack.decode(self.read_exactly(size))
        return message

    def write(self, answer: dict[str, Any]) -> None:
        try:
            data = msgspec.msgpack.encode(answer)
            if len(data) > MAX_ANSWER_BYTES:
                raise Fault("too-large", f"an answer of {len(data)} bytes")
        except (Fault, TypeError, ValueError, OverflowError, RecursionError, MemoryError) as error:
            kind = error.kind if isinstance(error, Fault) else "wrong-answer"
            data = msgspec.msgpack.encode(
                {"fault": [kind, str(error)[:MAX_LINE_CHARS]], "rss_kb": answer.get("rss_kb", 0)}
            )
        self.sock.sendall(FRAME_HEADER.pack(len(data)) + data)


class PeakMemory:
    """The peak memory of this process, in KiB.

    The file is kept open, since nothing can be opened later. It is read only now and then, since a read takes
    longer than a small hook.
    """

    def __init__(self) -> None:
        self.status = open("/proc/self/status")  # noqa: SIM115
        self.kb = self.samples = 0

    def read(self) -> int:
        self.status.seek(0)
        self.kb = next((int(line.split()[1]) for line in self.status if line.startswith("VmHWM")), 0)
        return self.kb

    def sample(self) -> int:
        self.samples += 1
        return self.read() if self.samples % PEAK_READ_INTERVAL == 1 else self.kb


def fault_of(error: BaseException) -> list[str]:
    """The kind and text of a fault, as sent to the invoker."""
    if isinstance(error, Fault):
        return [error.kind, str(error)[:MAX_LINE_CHARS]]
    if isinstance(error, MemoryError):
        return ["memory", "out of memory"]
    if isinstance(error, RecursionError):
        return ["recursion", "recursion too deep"]
    text = " ".join(str(error).split())
    return ["raised", f"{type(error).__name__}: {text[-MAX_LINE_CHARS:]}"]


def main() -> None:
    confine()
    pipe = Pipe(socket.socket(fileno=int(sys.argv[1])))
    message = pipe.read()
    set_alarm(2 * message["load_ms"] + 1000)
    peak = PeakMemory()
    try:
        engine, context = load(message)
        forbid_new_descriptors()
        pipe.write({"hooks": engine.hooks(), "rss_kb": peak.read()})
    except Exception as error:
        return pipe.write({"fault": fault_of(error), "rss_kb": peak.read()})
    while True:
        set_alarm(0)
        message = pipe.read()
        set_alarm(2 * message["ms"] + 1000)
        began = time.perf_counter()
        try:
            answer = run_hook(engine, context, message)
        except Exception as error:
            answer = {"fault": fault_of(error)}
        took = time.perf_counter() - began
        pipe.write(answer | {"log": context.lines, "took_ms": took * 1000, "rss_kb": peak.sample()})


if __name__ == "__main__":
    main()
