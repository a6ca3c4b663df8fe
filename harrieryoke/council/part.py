"""The council as the service and other parts see it: disk, links and actor, put together."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..log import Log
from .actor import CouncilActor
from .decide.acts import Machine
from .disk import Disk
from .link import Links, LinkTold
from .settings import CouncilSettings
from .status import status
from .turns import TurnsActor

SLACK_S = 0.5  # after the time to leave, until links and disk are closed all the same
STOP_S = 1.0  # for the disk


class CouncilPart:
    """`own_name`: the invoker's, where the table names no other. Raises CouncilError. Until `open` nothing is
    touched, so that a configuration can be checked beside the invoker that serves by it."""

    actor: CouncilActor
    disk: Disk
    links: Links

    def __init__(self, told: CouncilSettings, own_name: str, log: Log, seed: int) -> None:
        self.me, self.told, self.log, self.seed = told.member(own_name), told, log, seed
        self.machines: dict[str, Machine] = {}
        self.watches: list[Callable[[], object]] = []
        self.turns = TurnsActor(self, self.me, told.reconcile, seed, log)

    def add_machine(self, duty: str, machine: Machine) -> None:
        """Before `open`, and at every member, also one that never does the duty."""
        self.machines[duty] = machine

    def watch(self, told: Callable[[], object]) -> None:
        self.watches.append(told)

    def open(self) -> None:
        """Reads the folder. Raises StoreError."""
        told = self.told
        self.disk = Disk(told.store_settings(), self.me, self.log)
        self.actor = CouncilActor(self.me, told, self.disk, self.log, self.seed)
        self.disk.done, self.disk.failed = self.actor.disk_done, self.actor.disk_failed
        self.actor.watches = self.watches
        for duty, machine in self.machines.items():
            self.actor.acts.add(duty, machine)
        peers = LinkTold(
            told.installation, told.own_address(self.me), told.addresses(), silent_ms=told.silent_ms
        )
        self.links = self.actor.ways = Links(self.disk.seat, peers, self.log, self.seed, self.actor.hear)

    def start(self) -> None:
        """Raises OSError where it can't listen."""
        self.links.start()
        self.disk.start()
        self.actor.start()
        self.turns.start()

    def acting(self, duty: str) -> int:
        return self.actor.acting(duty)

    def cannot(self, duty: str, why: str) -> None:
        self.actor.cannot(duty, why)

    def can(self, duty: str) -> None:
        self.actor.can(duty)

    def propose(self, duty: str, token: int, body: bytes) -> str:
        return self.actor.propose(duty, token, body)

    def ask(self, duty: str, body: bytes) -> str:
        return self.actor.ask(duty, body)

    def reload(self, told: CouncilSettings) -> None:
        self.told = told
        self.links.renew(told.addresses())
        self.actor.blocking_send(told)

    def push_stop(self) -> None:
        """Its duties go to others from here on, while the last calls are answered."""
        self.actor.leave(self.told.leave_ms)

    def stop(self) -> None:
        self.push_stop()
        self.turns.stop()
        self.actor.gone.wait(self.told.leave_ms / 1000 + SLACK_S)
        self.actor.finished = True
        self.links.stop()
        self.disk.stop(STOP_S)

    def status(self) -> dict[str, Any]:
        beside = {"disk": self.disk.status(), "links": self.links.status(), "reconcile": self.turns.status()}
        return status(self.actor) | beside
