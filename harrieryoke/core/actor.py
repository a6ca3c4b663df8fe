"""Actors: each has a greenlet, a bounded mailbox, and sole ownership of its state."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import AsyncResult, Event

from ..log import Log


def spawn(
    log: Log, name: str, run: Callable[[], object], ended: Callable[[], object] | None = None
) -> gevent.Greenlet:
    """Start a greenlet that can't die silently: an escaping error is logged, then `ended` is called."""

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


def waited(result: AsyncResult, timeout_ms: float) -> dict[str, Any]:
    """Wait for an actor's answer to an operator; empty after the timeout."""
    try:
        answer: dict[str, Any] = result.get(timeout=timeout_ms / 1000)
    except gevent.Timeout:
        return {}
    return answer


class Actor:
    """Base class of actors. `tell` never blocks and returns whether the message was accepted; `push` waits
    for room in the mailbox, except for its `reserve`."""

    def __init__(self, name: str, bound: int, log: Log, reserve: int = 0) -> None:
        self.name, self.bound, self.reserve, self.log = name, bound, reserve, log
        self.box: deque[Any] = deque()
        self.filled, self.emptied, self.over = Event(), Event(), False
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the actor's greenlet."""
        self.greenlet = spawn(self.log, self.name, self.run, self.finish)

    def tell(self, message: Any) -> bool:
        """Queue a message without waiting; return False if the mailbox is full or the actor has ended."""
        if self.over or len(self.box) >= self.bound:
            return False
        self.box.append(message)
        self.filled.set()
        return True

    def push(self, message: Any) -> bool:
        """Queue a message with backpressure: wait while the mailbox is full up to its reserve."""
        while not self.over and len(self.box) >= self.bound - self.reserve:
            self.emptied.clear()
            self.emptied.wait()
        return self.tell(message)

    def wait(self, timeout_ms: float | None = None) -> None:
        """Wait for a message, or until the timeout."""
        if not self.box:
            self.filled.clear()
            self.filled.wait(None if timeout_ms is None else max(0.0, timeout_ms) / 1000)

    def work(self) -> None:
        """Receive one message after the other; those not yet received stay in the mailbox."""
        while self.box and not self.over:
            message = self.box.popleft()
            self.emptied.set()
            self.receive(message)

    def run(self) -> None:
        """Run the actor's loop until it has ended."""
        while not self.over:
            self.wait()
            self.work()

    def receive(self, message: Any) -> None:
        """Handle one message; each actor defines it."""
        raise NotImplementedError

    def finish(self) -> None:
        """Close the mailbox once the actor has ended, and release the senders that wait for room."""
        self.over = True
        self.emptied.set()
