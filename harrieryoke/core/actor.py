"""Actors: each has a greenlet and a bounded mailbox, and owns its state exclusively."""

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
    """Start a greenlet. An uncaught exception is logged; `ended` is called in any case."""

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


def wait_for_reply(result: AsyncResult, timeout_ms: float) -> dict[str, Any]:
    """Wait for an actor's reply to an operator; return an empty one after the timeout."""
    try:
        reply: dict[str, Any] = result.get(timeout=timeout_ms / 1000)
    except gevent.Timeout:
        return {}
    return reply


class Actor:
    """Base class of actors.

    The last `reserve` places of the mailbox are for `try_send` alone; `blocking_send` waits for other space.
    """

    def __init__(self, name: str, capacity: int, log: Log, reserve: int = 0) -> None:
        self.name, self.capacity, self.reserve, self.log = name, capacity, reserve, log
        self.mailbox: deque[Any] = deque()
        self.message_arrived, self.space_available, self.finished = Event(), Event(), False
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the actor's greenlet."""
        self.greenlet = spawn(self.log, self.name, self.run, self.finish)

    def try_send(self, message: Any) -> bool:
        """Queue a message without blocking; return False if the mailbox is full or the actor has finished."""
        if self.finished or len(self.mailbox) >= self.capacity:
            return False
        self.mailbox.append(message)
        self.message_arrived.set()
        return True

    def send_bounded(self, message: Any) -> None:
        """Queue a message beyond the capacity too; something else bounds how many such messages there are."""
        if not self.finished:
            self.mailbox.append(message)
            self.message_arrived.set()

    def blocking_send(self, message: Any) -> bool:
        """Queue a message, blocking while the mailbox is full up to its reserve."""
        while not self.finished and len(self.mailbox) >= self.capacity - self.reserve:
            self.space_available.clear()
            self.space_available.wait()
        return self.try_send(message)

    def wait_for_message(self, timeout_ms: float | None = None) -> None:
        """Wait until the mailbox has a message, or for the timeout."""
        if not self.mailbox:
            self.message_arrived.clear()
            self.message_arrived.wait(None if timeout_ms is None else max(0.0, timeout_ms) / 1000)

    def process_mailbox(self) -> None:
        """Handle the messages in the mailbox one by one, until it is empty or the actor has finished."""
        while self.mailbox and not self.finished:
            message = self.mailbox.popleft()
            self.space_available.set()
            self.receive(message)

    def run(self) -> None:
        """Handle messages until the actor has finished."""
        while not self.finished:
            self.wait_for_message()
            self.process_mailbox()

    def receive(self, message: Any) -> None:
        """Handle one message."""
        raise NotImplementedError

    def finish(self) -> None:
        """Close the mailbox, and release the senders that wait for space in it."""
        self.finished = True
        self.space_available.set()
