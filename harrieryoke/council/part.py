"""The council as the service and other parts see it: combines the disk, the links and the actor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..log import Log
from .actor import CouncilActor
from .decide.commands import StateMachine
from .disk import Disk
from .link import Links, LinkSettings
from .settings import CouncilSettings
from .status import status
from .turns import TurnsActor

STOP_SLACK_S = 0.5  # after `leave_ms`, until links and disk are closed in any case
DISK_STOP_S = 1.0


class CouncilPart:
    """`own_name` is the invoker's name, used if [council] has no `name`. Raises CouncilError. Nothing is
    touched until `open`, so that a configuration can be checked while an invoker runs with it.
    """

    actor: CouncilActor
    disk: Disk
    links: Links

    def __init__(self, settings: CouncilSettings, own_name: str, log: Log, seed: int) -> None:
        self.member, self.settings, self.log, self.seed = settings.member_name(own_name), settings, log, seed
        self.machines: dict[str, StateMachine] = {}
        self.watchers: list[Callable[[], object]] = []
        self.turns = TurnsActor(self, self.member, settings.reconcile, seed, log)

    def add_machine(self, duty: str, machine: StateMachine) -> None:
        """Must be called before `open`, on every member, also on one that never holds the duty."""
        self.machines[duty] = machine

    def watch(self, callback: Callable[[], object]) -> None:
        self.watchers.append(callback)

    def open(self) -> None:
        """Recovers the state from the folder. Raises StoreError."""
        settings = self.settings
        self.disk = Disk(settings.store_settings(), self.member, self.log)
        self.actor = CouncilActor(self.member, settings, self.disk, self.log, self.seed)
        self.disk.on_written, self.disk.on_failed = self.actor.records_written, self.actor.disk_failed
        self.actor.watchers = self.watchers
        for duty, machine in self.machines.items():
            self.actor.state.add_machine(duty, machine)
        link_settings = LinkSettings(
            settings.installation,
            settings.listen_address(self.member),
            settings.member_addresses(),
            silent_ms=settings.silent_ms,
        )
        self.links = self.actor.links = Links(
            self.disk.replica, link_settings, self.log, self.seed, self.actor.deliver
        )

    def start(self) -> None:
        """Raises OSError if it cannot listen."""
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

    def reload(self, settings: CouncilSettings) -> None:
        self.settings = settings
        self.links.update_members(settings.member_addresses())
        self.actor.blocking_send(settings)

    def request_stop(self) -> None:
        """Starts handing duties over while the last calls are still answered."""
        self.actor.leave(self.settings.leave_ms)

    def stop(self) -> None:
        self.request_stop()
        self.turns.stop()
        self.actor.has_left.wait(self.settings.leave_ms / 1000 + STOP_SLACK_S)
        self.actor.finished = True
        self.links.stop()
        self.disk.stop(DISK_STOP_S)

    def status(self) -> dict[str, Any]:
        details = {"disk": self.disk.status(), "links": self.links.status(), "reconcile": self.turns.status()}
        return status(self.actor) | details
