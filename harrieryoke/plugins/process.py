"""Starts, asks and kills the process of one plug-in. Every wait has a time limit."""

from __future__ import annotations

import os
import signal
import struct
import sys
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import socket

from ..core.clock import now_ms
from .decide.abi import Fault

FRAME_HEADER = struct.Struct(">I")
MAX_ANSWER_BYTES = 128 << 10
SOURCE_ROOT = Path(__file__).parent.parent.parent
MEMORY_SAMPLE_MS = 20.0  # interval at which the process's memory is read while it has not answered
REAP_DELAYS_S = (0.0, 0.001, 0.01, 0.1, 1.0, 5.0)


class PluginProcess:
    """One process. Any fault kills it, except those that it reported itself."""

    def __init__(self) -> None:
        own_end, child_end = socket.socketpair()
        self.sock, self.peak_kb, self.pid = own_end, 0, 0
        os.set_inheritable(child_end.fileno(), True)
        null = os.open(os.devnull, os.O_RDWR | os.O_CLOEXEC)
        try:
            actions = [(os.POSIX_SPAWN_DUP2, null, n) for n in (0, 1, 2)]
            # posix_spawn does not copy this process, so the event loop is not blocked; -S because PYTHONPATH
            # has the complete module path
            self.pid = os.posix_spawn(
                sys.executable,
                [sys.executable, "-B", "-S", "-m", "harrieryoke.plugins.worker", str(child_end.fileno())],
                {"PYTHONPATH": os.pathsep.join([str(SOURCE_ROOT), *filter(None, sys.path)]), "PATH": ""},
                file_actions=actions,
                setsigmask=[],
                setsigdef=[signal.SIGINT, signal.SIGTERM, signal.SIGHUP],
            )
        finally:
            os.close(null)
            child_end.close()

    def ask(self, message: dict[str, Any], deadline: float) -> dict[str, Any]:
        """Send one message and return the answer.

        On an error, or without an answer before `deadline`, kill the process and raise Fault.
        """
        try:
            data = msgspec.msgpack.encode(message)
            self.sock.settimeout(max(0.001, (deadline - now_ms()) / 1000))
            self.sock.sendall(FRAME_HEADER.pack(len(data)) + data)
            answer: dict[str, Any] = msgspec.msgpack.decode(self.read_frame(deadline), type=dict[str, Any])
        except TimeoutError:
            self.kill()
            raise Fault("timeout", "no answer in time") from None
        except (OSError, msgspec.MsgspecError) as error:
            self.kill()
            raise Fault("killed", f"its process ended: {error}") from None
        except Fault:
            self.kill()
            raise
        self.peak_kb = max(self.peak_kb, int(answer.get("rss_kb") or 0))
        return answer

    def read_frame(self, deadline: float) -> bytes:
        """Read one whole answer. One read usually suffices, since at most one answer is in transit."""
        received = bytearray()
        while True:
            if len(received) >= FRAME_HEADER.size:
                (size,) = FRAME_HEADER.unpack_from(received)
                if size > MAX_ANSWER_BYTES or len(received) > FRAME_HEADER.size + size:
                    raise Fault("protocol", f"an answer of {size} bytes")
                if len(received) == FRAME_HEADER.size + size:
                    return bytes(received[FRAME_HEADER.size :])
            remaining = deadline - now_ms()
            if remaining <= 0:
                raise TimeoutError
            self.sock.settimeout(min(remaining, MEMORY_SAMPLE_MS) / 1000)
            try:
                data = self.sock.recv(65536)
            except TimeoutError:
                self.sample_memory()
                continue
            if not data:
                raise OSError("the pipe was closed")
            received += data

    def sample_memory(self) -> None:
        """Read the peak memory from the kernel: a process that is killed can't report it any more."""
        try:
            with open(f"/proc/{self.pid}/status") as status:
                peak = next((int(line.split()[1]) for line in status if line.startswith("VmHWM")), 0)
        except OSError:
            return
        self.peak_kb = max(self.peak_kb, peak)

    def kill(self) -> None:
        """Kill the process. It is reaped in a greenlet of its own."""
        if self.pid:
            pid, self.pid = self.pid, 0
            self.sock.close()
            try:
                os.kill(pid, signal.SIGKILL)
            except ProcessLookupError:
                return
            gevent.spawn(reap, pid)


def reap(pid: int) -> None:
    """Wait for an ended process, so that it does not stay behind as a zombie."""
    for delay_s in REAP_DELAYS_S:
        gevent.sleep(delay_s)
        try:
            if os.waitpid(pid, os.WNOHANG)[0]:
                return
        except ChildProcessError:
            return
