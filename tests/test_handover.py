"""Explores all interleavings of a handover: `Upgrade` of the old process, a new process that may be killed at
any point, SIGTERM, and clients in the shared accept queue."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.net.front_messages import ResumeAccepting, TransferClients
from harrieryoke.upgrade.link import Upgrade
from harrieryoke.upgrade.messages import Link, LinkLost, PeerMessageReceived, Serving

from .interleave import Failed, Thread, Wait, World, explore, replay


class SilentLog(Log):
    def write_line(self, *told: object) -> None: ...


class StubSocket:
    def close(self) -> None: ...


class Accepting:
    """The new process has the listening socket but does not accept yet."""


class StubMailbox(list[Any]):
    """Mailbox of a part that is not simulated."""

    def blocking_send(self, message: Any) -> bool:
        self.append(message)
        return True


class Handover(World):
    """Two processes with one accept queue; `kind` is the Upgrade of the old one.

    No client may wait forever while a process is alive, and none may be accepted twice.
    """

    def __init__(self, folder: Path, kind: type[Upgrade] = Upgrade) -> None:
        self.front, self.hosts = StubMailbox(), StubMailbox()
        self.old = kind(folder / "x", self.front, StubMailbox(), self.hosts, Limits(), SilentLog())  # type: ignore[arg-type]
        self.link = Link(StubSocket())
        self.old.links.append(self.link)
        self.queue: deque[int] = deque()
        self.accepted: list[int] = []
        self.old_accepts, self.old_alive, self.old_stopping = True, True, False
        self.new_accepts, self.new_alive = False, True
        new = [
            self.deliver(Accepting()),
            ("serve", self.serve),
            self.deliver(PeerMessageReceived(self.link, Serving())),
        ]
        self.threads: dict[str, Thread] = {
            "clients": [(f"connect-{n}", partial(self.queue.append, n)) for n in (1, 2)],
            "new": self.while_new_alive(new),
            "kill": [("kill", self.kill)],
            "upgrade": self.run_upgrade(),
            "front": self.run_front(),
            "old accepts": self.run_accept(lambda: self.old_alive and self.old_accepts),
            "new accepts": self.run_accept(lambda: self.new_alive and self.new_accepts),
            "term": self.term(),
        }

    def deliver(self, message: Any) -> tuple[str, Callable[[], object]]:
        return f"say-{type(getattr(message, 'message', message)).__name__}", lambda: self.old.try_send(
            message
        )

    def while_new_alive(self, steps: list[tuple[str, Callable[[], object]]]) -> Iterator[str]:
        for label, step in steps:
            yield label
            if self.new_alive:
                step()

    def serve(self) -> None:
        self.new_accepts = True

    def kill(self) -> None:
        """SIGKILL of the new process, which closes its link."""
        self.new_alive = self.new_accepts = False
        self.old.try_send(LinkLost(self.link))

    def run_upgrade(self) -> Iterator[Wait]:
        while True:
            yield Wait(lambda: self.old_alive and self.old.mailbox, "message", idle=True)
            self.old.receive(self.old.mailbox.popleft())

    def run_front(self) -> Iterator[Wait]:
        while True:
            yield Wait(lambda: self.old_alive and self.front, "message", idle=True)
            match self.front.pop(0):
                case TransferClients():
                    self.old_accepts = False
                case ResumeAccepting():
                    self.old_accepts = not self.old_stopping

    def run_accept(self, able: Callable[[], bool]) -> Iterator[Wait]:
        while True:
            yield Wait(lambda: self.queue and able(), "accept", idle=True)
            self.accepted.append(self.queue.popleft())

    def term(self) -> Iterator[Wait]:
        """Ends the old process once the new one accepts."""
        yield Wait(lambda: self.new_accepts, "SIGTERM", idle=True)
        self.old.stop()
        self.old_stopping = True
        yield Wait(lambda: not self.queue or not self.old_accepts, "exit")
        self.old_alive = False

    def key(self) -> Hashable:
        messages = (
            tuple(type(m).__name__ for m in self.old.mailbox),
            tuple(type(m).__name__ for m in self.front),
        )
        return (
            tuple(self.queue),
            tuple(self.accepted),
            self.old_accepts,
            self.old_alive,
            self.old_stopping,
            self.new_accepts,
            self.new_alive,
            messages,
            self.old.successor is None,
            self.old.stopping,
            len(self.old.links),
        )

    def check(self) -> None:
        assert len(set(self.accepted)) == len(self.accepted), "a client was accepted twice"

    def final(self) -> None:
        alive = self.new_alive or (self.old_alive and not self.old_stopping)
        assert not (self.queue and alive), "a client waits while a process is alive"


class WithoutResume(Upgrade):
    """Planted fault: does not accept again after the new process is gone."""

    def on_link_lost(self, link: Link) -> None:
        self.links.remove(link)


class EarlyYield(Upgrade):
    """Planted fault: stops accepting at the handover instead of once the new process serves."""

    def receive(self, message: Any) -> None:
        if isinstance(message, Accepting):
            self.front.blocking_send(TransferClients(lambda sock, name: None))
        super().receive(message)


class NonAtomicAccept(Handover):
    """Planted fault: reads the first client of the queue and removes it in a separate step."""

    def run_accept(self, able: Callable[[], bool]) -> Iterator[Wait]:
        while True:
            yield Wait(lambda: self.queue and able(), "look", idle=True)
            self.accepted.append(self.queue[0])
            yield Wait(lambda: True, "take")
            if self.queue:
                self.queue.popleft()


def test_no_order_of_a_handover_leaves_a_client_waiting(tmp_path: Path) -> None:
    counts = explore(lambda: Handover(tmp_path))
    assert counts.complete and counts.states > 200, counts


@pytest.mark.parametrize(
    ("kind", "old", "failure"),
    [
        (Handover, WithoutResume, "a client waits"),
        (Handover, EarlyYield, "a client waits"),
        (NonAtomicAccept, Upgrade, "accepted twice"),
    ],
)
def test_planted_faults_are_found_and_their_schedules_can_be_replayed(
    tmp_path: Path, kind: type[Handover], old: type[Upgrade], failure: str
) -> None:
    with pytest.raises(Failed, match=failure) as found:
        explore(lambda: kind(tmp_path, old))
    assert replay(lambda: kind(tmp_path, old), found.value.schedule) == found.value.failure
