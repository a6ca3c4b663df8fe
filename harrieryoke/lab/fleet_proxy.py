"""A TCP proxy that injects faults into the link from one council member to another."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

READ_BYTES = 65536


class FrameCounter:
    """Counts length-prefixed frames in a byte stream that arrives in arbitrary chunks."""

    def __init__(self) -> None:
        self.count = self.body_left = self.size = self.shift = 0

    def feed(self, data: bytes) -> None:
        offset = 0
        while offset < len(data):
            if self.body_left:
                step = min(self.body_left, len(data) - offset)
                self.body_left, offset = self.body_left - step, offset + step
                continue
            byte = data[offset]
            offset += 1
            self.size |= (byte & 127) << self.shift
            self.shift += 7
            if byte < 128:
                self.count += 1
                self.body_left, self.size, self.shift = self.size, 0, 0


class LinkProxy:
    """Accepts the connections that `source` dials and forwards them to `destination` from `source`'s address.

    While the link is cut, no data passes in either direction of its connections and no connection is refused:
    written data waits, as in TCP. Each chunk is delayed by `delay_ms`.
    """

    def __init__(self, source: str, destination: tuple[str, int]) -> None:
        self.source, self.destination = source, destination
        self.flowing, self.delay_ms = Event(), 0.0
        self.flowing.set()
        self.sockets: set[Any] = set()
        self.byte_count = self.dials = 0
        self.counters = [
            FrameCounter()
        ]  # one per open connection and direction; the first holds the sum of closed ones
        self.server = StreamServer((destination[0], 0), self.serve)
        self.server.start()

    def address(self) -> str:
        return f"{self.destination[0]}:{self.server.server_port}"

    def frame_count(self) -> int:
        return sum(f.count for f in self.counters)

    def cut(self) -> None:
        self.flowing.clear()

    def heal(self, reset: bool = False) -> None:
        """Let data pass again. With `reset`, connections opened before are closed."""
        if reset:
            self.reset()
        self.delay_ms = 0.0
        self.flowing.set()

    def reset(self) -> None:
        for sock in list(self.sockets):
            with suppress(OSError):  # already closed
                sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        self.server.stop(timeout=0)
        self.reset()

    def serve(self, near: Any, _: Any) -> None:
        self.dials += 1
        self.flowing.wait()
        far: Any = socket.socket()
        self.sockets |= {near, far}
        try:
            far.bind((self.source, 0))
            far.connect(self.destination)
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            backward = gevent.spawn(self.pump, far, near)
            self.pump(near, far)
            backward.join()
        except OSError:
            pass  # no listener at the destination: close, as if the dial were refused
        finally:
            self.sockets -= {near, far}
            near.close()
            far.close()

    def pump(self, source: Any, destination: Any) -> None:
        counter = FrameCounter()
        self.counters.append(counter)
        with suppress(OSError):  # either side has closed
            while data := source.recv(READ_BYTES):
                if self.delay_ms:
                    gevent.sleep(self.delay_ms / 1000)
                self.flowing.wait()
                destination.sendall(data)
                self.byte_count += len(data)
                counter.feed(data)
        for sock in (source, destination):
            with suppress(OSError):  # already closed
                sock.shutdown(socket.SHUT_RDWR)
        self.counters.remove(counter)
        self.counters[0].count += counter.count
