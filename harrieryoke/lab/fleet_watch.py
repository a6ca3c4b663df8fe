"""What the laboratory sees of a council by its own means: a fenced target, and the hands that act on it.

A hand (`python -m harrieryoke.lab.fleet_watch FILE SOCKET DUTIES SEED`) runs in the process of an invoker
that is otherwise as `serve --operator FILE` runs it. It asks the council at short intervals whether it may
act, and tells so with the times around the question; it also writes to the target, late at times, and has
acts agreed.
"""

from __future__ import annotations

import os
import random
import sys
from collections import deque
from pathlib import Path
from typing import Any

import gevent
import msgspec
import xxhash
from gevent import socket
from gevent.event import Event

from ..council.actor import boot_ms
from ..council.decide.lease import Fence
from . import fleet_checks as c

EACH_S = 0.01  # how often a hand asks
AGREES_S = 0.1  # how often it has something agreed
MOST = 100_000  # bytes of a datagram


class Watch:
    """The target, at a Unix socket: what waits there is not lost, and who finds it full waits."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.sock.bind(str(path))
        self.acts: list[c.Act] = []
        self.came: list[c.Came] = []
        self.applied: list[c.Applied | c.Loaded] = []  # in their order
        self.copies: list[c.Copy] = []
        self.fences: dict[str, Fence] = {}
        self.holders: dict[str, tuple[str, float]] = {}  # by duty: who acted last, and when
        self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        while True:
            what, *told = msgspec.msgpack.decode(self.sock.recv(MOST))
            if what == "acts":
                member, life, begin, end, tokens = told
                for duty, token in tokens.items():
                    self.acts.append(c.Act(member, life, duty, token, begin, end))
                    self.holders[duty] = member, end
            elif what == "write":
                member, duty, token = told
                taken = self.fences.setdefault(duty, Fence()).admit(token)
                self.came.append(c.Came(member, duty, token, taken))
            elif what == "copy":
                self.copies.append(c.Copy(*told))
            else:
                self.applied.append(c.Applied(*told) if what == "applied" else c.Loaded(*told))

    def holds(self, member: str, now: float) -> list[str]:
        """The duties that it acted on just now."""
        return [d for d, (who, at) in self.holders.items() if who == member and now - at < c.FRESH]

    def stop(self) -> None:
        self.greenlet.kill()
        self.sock.close()


class Told:
    """A duty's machine: it keeps a chain of all acts that were applied, and tells each."""

    def __init__(self, member: str, duty: str, tell: Any) -> None:
        self.member, self.duty, self.tell = member, duty, tell
        self.chain = ""

    def apply(self, index: int, token: int, body: bytes) -> bool:
        told = body.decode()
        self.chain = c.link(self.chain, index, token, told)
        self.tell(["applied", self.member, self.duty, index, token, told, self.chain])
        return True

    def apply_unfenced(self, index: int, body: bytes) -> bool:
        return False

    def dump(self) -> bytes:
        return self.chain.encode()

    def load(self, data: bytes) -> None:
        self.chain = data.decode()
        self.tell(["loaded", self.member, self.duty, self.chain])


class Hand:
    """In the invoker's own process."""

    def __init__(self, council: Any, member: str, path: str, duties: list[str], seed: int) -> None:
        self.council, self.member, self.duties = council, member, duties
        self.rng = random.Random(seed)
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.path = path
        self.queue: deque[bytes] = deque()
        self.filled = Event()
        self.said = 0
        for duty in duties:
            council.add_machine(duty, Told(member, duty, self.tell))
        council.watch(self.copy)

    def start(self) -> None:
        for run in (self.send, self.act, self.agree):
            gevent.spawn(run)

    def tell(self, what: list[Any]) -> None:
        self.queue.append(msgspec.msgpack.encode(what))
        self.filled.set()

    def copy(self) -> None:
        """All that was agreed, as this member has it now."""
        actor = self.council.actor
        digest = xxhash.xxh3_64_hexdigest(actor.state.dump())
        self.tell(["copy", self.member, actor.raft.last_applied, digest])

    def send(self) -> None:
        self.sock.connect(self.path)
        while True:
            self.filled.wait()
            while self.queue:
                self.sock.send(self.queue.popleft())
            self.filled.clear()

    def act(self) -> None:
        while getattr(self.council, "actor", None) is None:
            gevent.sleep(EACH_S)  # its folder is not read yet
        life, watched, parent = os.getpid(), [*self.duties, "reconcile"], os.getppid()
        while os.getppid() == parent:
            begin = boot_ms()
            acting = {duty: token for duty in watched if (token := self.council.acting(duty))}
            if acting:
                self.tell(["acts", self.member, life, begin, boot_ms(), acting])
                duty, late_s = self.rng.choice(sorted(acting)), self.rng.choice((0.0, self.rng.uniform(0, 3)))
                gevent.spawn_later(late_s, self.write, duty, acting[duty])
            gevent.sleep(EACH_S)
        os._exit(1)  # guards against an invoker that outlives the laboratory

    def write(self, duty: str, token: int) -> None:
        """Late, as what was on its way while the process stood still: this is what the fence is for."""
        self.tell(["write", self.member, duty, token])

    def agree(self) -> None:
        """While there is a file that says so: an idle council can be looked at, and the end be waited for."""
        go = Path(self.path).with_name("go")
        while True:
            gevent.sleep(AGREES_S)
            for duty in self.duties if go.exists() else ():
                if token := self.council.acting(duty):
                    self.said += 1
                    self.council.propose(duty, token, f"{self.member}.{os.getpid()}.{self.said}".encode())


def main() -> None:
    from ..serve import load_config, patch_standard_library

    operator, path, duties, seed = sys.argv[1:]
    patch_standard_library(operator)
    from ..log import Log
    from ..service import Service

    config = load_config(operator)
    make = Log if config.operator is None else config.operator.make_log
    service = Service(config, make(config.name, config.limits.log_lines_per_s), lambda: load_config(operator))
    parts: Any = service.parts
    hand = Hand(parts.council, config.name, path, duties.split(","), int(seed))
    hand.start()
    sys.exit(service.run())


if __name__ == "__main__":
    main()
