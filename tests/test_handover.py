"""Every order of a handover's messages: the real `Upgrade` of the old process, a new process, which may be
killed at any point, SIGTERM, and clients that come into the one accept queue."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.net.platform import ResumeAccepting, TransferClients
from harrieryoke.upgrade.link import Upgrade
from harrieryoke.upgrade.messages import Link, LinkLost, PeerMessageReceived, Serving

from .interleave import Failed, Thread, Wait, World, explore, replay


class Quiet(Log):
    def put(self, *told: object) -> None: ...


class StubSocket:
    def close(self) -> None: ...


class Accepting:
    """The new process has got the listening socket, and does not accept yet."""


class Box(list[Any]):
    """A mailbox of a part that is not played."""

    def blocking_send(self, message: Any) -> bool:
        self.append(message)
        return True


class Handover(World):
    """One accept queue, two processes; `kind` is the old one's Upgrade. No client waits in the queue for ever
    while a process lives, and none is accepted twice."""

    def __init__(self, folder: Path, kind: type[Upgrade] = Upgrade) -> None:
        self.front, self.hosts = Box(), Box()
        self.old = kind(folder / "x", self.front, Box(), self.hosts, Limits(), Quiet())  # type: ignore[arg-type]
        self.link = Link(StubSocket())
        self.old.links.append(self.link)
        self.queue: deque[int] = deque()
        self.accepted: list[int] = []
        self.old_accepts, self.old_lives, self.old_ends = True, True, False
        self.new_accepts, self.new_lives = False, True
        new = [
            self.deliver(Accepting()),
            ("serve", self.serve),
            self.deliver(PeerMessageReceived(self.link, Serving())),
        ]
        self.threads: dict[str, Thread] = {
            "clients": [(f"connect-{n}", partial(self.queue.append, n)) for n in (1, 2)],
            "new": self.living(new),
            "kill": [("kill", self.kill)],
            "upgrade": self.upgrade(),
            "front": self.fronting(),
            "old accepts": self.accepting(lambda: self.old_lives and self.old_accepts),
            "new accepts": self.accepting(lambda: self.new_lives and self.new_accepts),
            "term": self.term(),
        }

    def deliver(self, message: Any) -> tuple[str, Callable[[], object]]:
        return f"say-{type(getattr(message, 'message', message)).__name__}", lambda: self.old.try_send(
            message
        )

    def living(self, steps: list[tuple[str, Callable[[], object]]]) -> Iterator[str]:
        for label, step in steps:
            yield label
            if self.new_lives:
                step()

    def serve(self) -> None:
        self.new_accepts = True

    def kill(self) -> None:
        """SIGKILL of the new process: the kernel ends its link."""
        self.new_lives = self.new_accepts = False
        self.old.try_send(LinkLost(self.link))

    def upgrade(self) -> Iterator[Wait]:
        while True:
            yield Wait(lambda: self.old_lives and self.old.mailbox, "message", idle=True)
            self.old.receive(self.old.mailbox.popleft())

    def fronting(self) -> Iterator[Wait]:
        while True:
            yield Wait(lambda: self.old_lives and self.front, "message", idle=True)
            match self.front.pop(0):
                case TransferClients():
                    self.old_accepts = False
                case ResumeAccepting():
                    self.old_accepts = not self.old_ends

    def accepting(self, able: Callable[[], bool]) -> Iterator[Wait]:
        while True:
            yield Wait(lambda: self.queue and able(), "accept", idle=True)
            self.accepted.append(self.queue.popleft())

    def term(self) -> Iterator[Wait]:
        """An operator ends the old process once the new one has said yes."""
        yield Wait(lambda: self.new_accepts, "SIGTERM", idle=True)
        self.old.stop()
        self.old_ends = True
        yield Wait(lambda: not self.queue or not self.old_accepts, "exit")
        self.old_lives = False

    def key(self) -> Hashable:
        said = tuple(type(m).__name__ for m in self.old.mailbox), tuple(type(m).__name__ for m in self.front)
        return (
            tuple(self.queue),
            tuple(self.accepted),
            self.old_accepts,
            self.old_lives,
            self.old_ends,
            self.new_accepts,
            self.new_lives,
            said,
            self.old.successor is None,
            self.old.stopping,
            len(self.old.links),
        )

    def check(self) -> None:
        assert len(set(self.accepted)) == len(self.accepted), "a client was accepted twice"

    def final(self) -> None:
        lives = self.new_lives or (self.old_lives and not self.old_ends)
        assert not (self.queue and lives), "a client waits, and a process lives"


class Forgetful(Upgrade):
    """Planted: does not take up again what the new process leaves."""

    def on_link_lost(self, link: Link) -> None:
        self.links.remove(link)


class Early(Upgrade):
    """Planted: accepts no more as soon as it has handed over, not once the new process serves."""

    def receive(self, message: Any) -> None:
        if isinstance(message, Accepting):
            self.front.blocking_send(TransferClients(lambda sock, name: None))
        super().receive(message)


class Torn(Handover):
    """Planted: looks at the queue's first client, and takes it off in another step."""

    def accepting(self, able: Callable[[], bool]) -> Iterator[Wait]:
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
        (Handover, Forgetful, "a client waits"),
        (Handover, Early, "a client waits"),
        (Torn, Upgrade, "accepted twice"),
    ],
)
def test_planted_faults_are_found_and_their_schedules_can_be_played_again(
    tmp_path: Path, kind: type[Handover], old: type[Upgrade], failure: str
) -> None:
    with pytest.raises(Failed, match=failure) as found:
        explore(lambda: kind(tmp_path, old))
    assert replay(lambda: kind(tmp_path, old), found.value.schedule) == found.value.failure
