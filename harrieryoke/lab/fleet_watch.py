"""Observes a council independently of its own reports: an observer with a fenced target, and agents.

An agent (`python -m harrieryoke.lab.fleet_watch FILE SOCKET DUTIES SEED`) runs in the process of an invoker
that otherwise runs as under `serve --operator FILE`. It polls the council for the duties on which the member
may act and reports them with the times before and after the query. It also writes to the target, sometimes
late, and proposes log entries.
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
from . import fleet_checks as checks

ACT_INTERVAL_S = 0.01  # how often an agent polls the council
PROPOSE_INTERVAL_S = 0.1  # how often it proposes an entry for each duty it holds
MAX_DATAGRAM_BYTES = 100_000


class Observer:
    """Receives reports and fenced writes on a Unix datagram socket: senders block when it is full, so none is
    lost."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.sock.bind(str(path))
        self.acts: list[checks.Act] = []
        self.writes: list[checks.FencedWrite] = []
        self.applied: list[checks.Applied | checks.SnapshotLoaded] = []  # in the order of arrival
        self.state_copies: list[checks.StateCopy] = []
        self.fences: dict[str, Fence] = {}
        self.holders: dict[str, tuple[str, float]] = {}  # by duty: the member that acted last, and when
        self.greenlet = gevent.spawn(self.run)

    def run(self) -> None:
        while True:
            kind, *fields = msgspec.msgpack.decode(self.sock.recv(MAX_DATAGRAM_BYTES))
            if kind == "acts":
                member, incarnation, begin, end, tokens = fields
                for duty, token in tokens.items():
                    self.acts.append(checks.Act(member, incarnation, duty, token, begin, end))
                    self.holders[duty] = member, end
            elif kind == "write":
                member, duty, token = fields
                admitted = self.fences.setdefault(duty, Fence()).admit(token)
                self.writes.append(checks.FencedWrite(member, duty, token, admitted))
            elif kind == "copy":
                self.state_copies.append(checks.StateCopy(*fields))
            else:
                self.applied.append(
                    checks.Applied(*fields) if kind == "applied" else checks.SnapshotLoaded(*fields)
                )

    def held_duties(self, member: str, now: float) -> list[str]:
        """Return the duties on which the member acted recently."""
        return [
            duty
            for duty, (holder, acted_at) in self.holders.items()
            if holder == member and now - acted_at < checks.RECENT_ACT_MS
        ]

    def stop(self) -> None:
        self.greenlet.kill()
        self.sock.close()


class RecordingMachine:
    """State machine of a duty: a hash chain over the applied entries. It reports each entry."""

    def __init__(self, member: str, duty: str, report: Any) -> None:
        self.member, self.duty, self.report = member, duty, report
        self.chain_hash = ""

    def apply(self, index: int, token: int, body: bytes) -> bool:
        text = body.decode()
        self.chain_hash = checks.next_chain_hash(self.chain_hash, index, token, text)
        self.report(["applied", self.member, self.duty, index, token, text, self.chain_hash])
        return True

    def apply_unfenced(self, index: int, body: bytes) -> bool:
        return False

    def dump(self) -> bytes:
        return self.chain_hash.encode()

    def load(self, data: bytes) -> None:
        self.chain_hash = data.decode()
        self.report(["loaded", self.member, self.duty, self.chain_hash])


class ObservationAgent:
    """Runs in the invoker's process; see the module's documentation."""

    def __init__(self, council: Any, member: str, path: str, duties: list[str], seed: int) -> None:
        self.council, self.member, self.duties = council, member, duties
        self.rng = random.Random(seed)
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.path = path
        self.queue: deque[bytes] = deque()
        self.not_empty = Event()
        self.proposals = 0
        for duty in duties:
            council.add_machine(duty, RecordingMachine(member, duty, self.report))
        council.watch(self.report_state)

    def start(self) -> None:
        for run in (self.send_reports, self.report_acting, self.propose_regularly):
            gevent.spawn(run)

    def report(self, message: list[Any]) -> None:
        self.queue.append(msgspec.msgpack.encode(message))
        self.not_empty.set()

    def report_state(self) -> None:
        """Report the digest of the replicated state at this member."""
        actor = self.council.actor
        digest = xxhash.xxh3_64_hexdigest(actor.state.dump())
        self.report(["copy", self.member, actor.raft.last_applied, digest])

    def send_reports(self) -> None:
        self.sock.connect(self.path)
        while True:
            self.not_empty.wait()
            while self.queue:
                self.sock.send(self.queue.popleft())
            self.not_empty.clear()

    def report_acting(self) -> None:
        while getattr(self.council, "actor", None) is None:
            gevent.sleep(ACT_INTERVAL_S)  # the council has not loaded its folder yet
        incarnation, duties, parent = os.getpid(), [*self.duties, "reconcile"], os.getppid()
        while os.getppid() == parent:
            begin = boot_ms()
            acting = {duty: token for duty in duties if (token := self.council.acting(duty))}
            if acting:
                self.report(["acts", self.member, incarnation, begin, boot_ms(), acting])
                duty, late_s = self.rng.choice(sorted(acting)), self.rng.choice((0.0, self.rng.uniform(0, 3)))
                gevent.spawn_later(late_s, self.write_to_target, duty, acting[duty])
            gevent.sleep(ACT_INTERVAL_S)
        os._exit(1)  # the invoker must not outlive the laboratory

    def write_to_target(self, duty: str, token: int) -> None:
        """Write under a token that may be outdated, as after a pause of the process; the fence rejects it."""
        self.report(["write", self.member, duty, token])

    def propose_regularly(self) -> None:
        """Propose entries while the flag file exists.

        Without the file the council is idle: its traffic can be measured, and the last entries are applied.
        """
        proposals_flag = Path(self.path).with_name("go")
        while True:
            gevent.sleep(PROPOSE_INTERVAL_S)
            for duty in self.duties if proposals_flag.exists() else ():
                if token := self.council.acting(duty):
                    self.proposals += 1
                    self.council.propose(
                        duty, token, f"{self.member}.{os.getpid()}.{self.proposals}".encode()
                    )


def main() -> None:
    from ..serve import load_config, patch_standard_library

    operator, path, duties, seed = sys.argv[1:]
    patch_standard_library(operator)
    from ..log import Log
    from ..service import Service

    config = load_config(operator)
    make_log = Log if config.operator is None else config.operator.make_log
    service = Service(
        config, make_log(config.name, config.limits.log_lines_per_s), lambda: load_config(operator)
    )
    components: Any = service.parts
    agent = ObservationAgent(components.council, config.name, path, duties.split(","), int(seed))
    agent.start()
    sys.exit(service.run())


if __name__ == "__main__":
    main()
