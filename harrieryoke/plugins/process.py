"""Starts, asks and kills the process of one plug-in. Every wait has an end."""

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

HEAD = struct.Struct(">I")
MOST_IN = 128 << 10
ROOT = Path(__file__).parent.parent.parent
SAMPLE_MS = 20.0  # while an answer is awaited: how often the process's memory is looked at


class Worker:
    """One process. Any fault of it ends it, but for those that it reported itself."""

    def __init__(self) -> None:
        ours, theirs = socket.socketpair()
        self.sock, self.peak_kb, self.pid = ours, 0, 0
        os.set_inheritable(theirs.fileno(), True)
        null = os.open(os.devnull, os.O_RDWR | os.O_CLOEXEC)
        try:
            actions = [(os.POSIX_SPAWN_DUP2, null, n) for n in (0, 1, 2)]
            # posix_spawn does not copy this process, so the loop goes on; -S: the path is handed over whole
            self.pid = os.posix_spawn(
                sys.executable,
                [sys.executable, "-B", "-S", "-m", "harrieryoke.plugins.worker", str(theirs.fileno())],
                {"PYTHONPATH": os.pathsep.join([str(ROOT), *filter(None, sys.path)]), "PATH": ""},
                file_actions=actions,
                setsigmask=[],
                setsigdef=[signal.SIGINT, signal.SIGTERM, signal.SIGHUP],
            )
        finally:
            os.close(null)
            theirs.close()

    def ask(self, message: dict[str, Any], by: float) -> dict[str, Any]:
        """One message, one answer before `by`, or the process is killed and a Fault raised."""
        try:
            data = msgspec.msgpack.encode(message)
            self.sock.settimeout(max(0.001, (by - now_ms()) / 1000))
            self.sock.sendall(HEAD.pack(len(data)) + data)
            answer: dict[str, Any] = msgspec.msgpack.decode(self.frame(by), type=dict[str, Any])
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

    def frame(self, by: float) -> bytes:
        """One whole answer. It mostly comes with one read: there is only ever one on its way."""
        got = bytearray()
        while True:
            if len(got) >= HEAD.size:
                (size,) = HEAD.unpack_from(got)
                if size > MOST_IN or len(got) > HEAD.size + size:
                    raise Fault("protocol", f"an answer of {size} bytes")
                if len(got) == HEAD.size + size:
                    return bytes(got[HEAD.size :])
            left = by - now_ms()
            if left <= 0:
                raise TimeoutError
            self.sock.settimeout(min(left, SAMPLE_MS) / 1000)
            try:
                data = self.sock.recv(65536)
            except TimeoutError:
                self.sample()
                continue
            if not data:
                raise OSError("the pipe was closed")
            got += data

    def sample(self) -> None:
        """Its peak so far, as the kernel tells: one that is killed can't say it any more."""
        try:
            with open(f"/proc/{self.pid}/status") as status:
                peak = next((int(line.split()[1]) for line in status if line.startswith("VmHWM")), 0)
        except OSError:
            return
        self.peak_kb = max(self.peak_kb, peak)

    def kill(self) -> None:
        """Ends it, whatever it does. The last of it is collected beside us."""
        if self.pid:
            pid, self.pid = self.pid, 0
            self.sock.close()
            try:
                os.kill(pid, signal.SIGKILL)
            except ProcessLookupError:
                return
            gevent.spawn(reap, pid)


def reap(pid: int) -> None:
    """Collects an ended process, so that none stays behind as a zombie."""
    for pause in (0.0, 0.001, 0.01, 0.1, 1.0, 5.0):
        gevent.sleep(pause)
        try:
            if os.waitpid(pid, os.WNOHANG)[0]:
                return
        except ChildProcessError:
            return
