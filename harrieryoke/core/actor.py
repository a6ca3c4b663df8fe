"""Actors: a greenlet each, a bounded mailbox each, and nobody else touches their state."""

from __future__ import annotations

import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import AsyncResult, Event

from ..log import Log


def now_ms() -> float:
    """The system's Unix clock in milliseconds: the only clock of the invoker."""
    return time.time() * 1000


def spawn(
    log: Log, name: str, run: Callable[[], object], ended: Callable[[], object] | None = None
) -> gevent.Greenlet:
    """Starts a greenlet that cannot die silently: an escaping error is logged, then `ended` is called."""

    def guarded() -> None:
        try:
            run()
        except gevent.GreenletExit:
            raise
        except Exception:
            log("greenlet-died", f"{name}: {traceback.format_exc().strip().replace(chr(10), ' | ')}")
        finally:
            if ended is not None:
                ended()

    return gevent.spawn(guarded)


def waited(told: AsyncResult, timeout_ms: float) -> dict[str, Any]:
    """What an actor tells an operator, or nothing where it takes too long."""
    try:
        answer: dict[str, Any] = told.get(timeout=timeout_ms / 1000)
    except gevent.Timeout:
        return {}
    return answer


class Actor:
    """`tell` never blocks and says whether the message was taken; `push` waits for room."""

    def __init__(self, name: str, bound: int, log: Log, reserve: int = 0) -> None:
        self.name, self.bound, self.reserve, self.log = name, bound, reserve, log
        self.box: deque[Any] = deque()
        self.filled, self.emptied, self.over = Event(), Event(), False
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self.greenlet = spawn(self.log, self.name, self.run, self.finish)

    def tell(self, message: Any) -> bool:
        if self.over or len(self.box) >= self.bound:
            return False
        self.box.append(message)
        self.filled.set()
        return True

    def push(self, message: Any) -> bool:
        """Backpressure on the sender: waits while the mailbox is full up to its reserve."""
        while not self.over and len(self.box) >= self.bound - self.reserve:
            self.emptied.clear()
            self.emptied.wait()
        return self.tell(message)

    def wait(self, timeout_ms: float | None = None) -> None:
        """Until there is a message, or the time-out."""
        if not self.box:
            self.filled.clear()
            self.filled.wait(None if timeout_ms is None else max(0.0, timeout_ms) / 1000)

    def work(self) -> None:
        """Receives one message after the other: what is not yet received stays in the mailbox."""
        while self.box and not self.over:
            message = self.box.popleft()
            self.emptied.set()
            self.receive(message)

    def run(self) -> None:
        while not self.over:
            self.wait()
            self.work()

    def receive(self, message: Any) -> None:
        raise NotImplementedError

    def finish(self) -> None:
        """The actor has ended: its mailbox takes nothing more, and whoever waits for room goes on."""
        self.over = True
        self.emptied.set()
