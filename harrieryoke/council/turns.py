"""Reconciliation in turns as it runs in a member: conducts where this member holds the duty, and takes turns.

It is what the ledger's `Turns` asks for. Its actor alone changes its state. `next`, `holds` and `some` are
called from the ledger's greenlets: they only read, but for the turn that `next` takes; none of them waits.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ..core.actor import Actor
from ..log import Log
from .actor import boot_ms
from .decide.acts import Machine
from .decide.conduct import Conductor, Own, Pace
from .decide.rounds import DUTY, Counts, Rounds

MAILBOX = 1024


class Agreed(Protocol):
    """What is needed of the council. Nothing of it waits."""

    def acting(self, duty: str) -> int: ...

    def propose(self, duty: str, token: int, body: bytes) -> str:
        """An `Act`; why not, or "". It may be lost all the same."""
        ...

    def ask(self, duty: str, body: bytes) -> str:
        """An `Ask`; else as `propose`."""
        ...

    def add_machine(self, duty: str, machine: Machine) -> None: ...

    def watch(self, told: Callable[[], object]) -> None: ...


@dataclass(frozen=True, slots=True)
class Wanted:
    period: int


@dataclass(frozen=True, slots=True)
class Finished:
    period: int
    turn: int
    counts: Counts


@dataclass(frozen=True, slots=True)
class Able:
    able: bool


class TurnsActor(Actor):
    """One in each member of the council, also without a ledger: whoever holds the duty conducts. To be made
    before the council starts. A message that finds the mailbox full is counted and told; the round that it
    was of is given up in its time."""

    def __init__(
        self,
        council: Agreed,
        name: str,
        pace: Pace,
        seed: int,
        log: Log,
        clock: Callable[[], float] = boot_ms,
    ) -> None:
        super().__init__("turns", MAILBOX, log)
        self.council, self.clock = council, clock
        self.rounds = Rounds()
        self.conductor = Conductor(self.rounds, pace)
        self.own = Own(name, self.rounds, pace, seed)
        self.given: Callable[[], object] = lambda: None
        self.refused = ""  # why the council took the last proposal not
        self.missed = 0
        council.add_machine(DUTY, self.rounds)
        council.watch(self.message_arrived.set)

    # --- the actor ---

    def run(self) -> None:
        while not self.finished:
            due = [at for at in (self.conductor.due, self.own.due) if at is not None]
            self.wait_for_message(min(due) - self.clock() if due else None)
            self.message_arrived.clear()
            self.process_mailbox()
            self.step()

    def receive(self, message: Any) -> None:
        match message:
            case Wanted(period):
                if not self.own.want(self.clock(), period):
                    self.log("reconcile-refused", f"period {period}: too many wait for their turn")
            case Finished(period, turn, counts):
                self.own.done(period, turn, counts)
            case Able(able):
                self.own.can(able)

    def step(self) -> None:
        token = self.council.acting(DUTY)
        refused = [
            self.council.propose(DUTY, token, body) for body in self.conductor.turn(self.clock(), token)
        ]
        refused += [self.council.ask(DUTY, body) for body in self.own.turn(self.clock())]
        self.refused = refused[-1] if refused else self.refused
        for period in self.own.failed:
            words = f"period {period}: no turn of it was done in its time; ask for it again"
            self.log("reconcile-failed", words, period=period)
        self.own.failed.clear()
        if self.own.ready:
            self.given()

    def send(self, message: Any) -> None:
        if not self.try_send(message) and not self.finished:
            self.missed += 1
            self.log("reconcile-refused", "the mailbox of turns is full")

    def stop(self) -> None:
        self.finished = True
        self.message_arrived.set()

    # --- the ledger's side ---

    def want(self, period: int) -> None:
        self.send(Wanted(period))

    def some(self) -> bool:
        return bool(self.own.wishes)

    def next(self) -> tuple[int, int] | None:
        if not self.own.able:
            self.send(Able(True))
        return self.own.take()

    def holds(self, period: int, token: int) -> bool:
        return self.own.holds(self.clock(), period, token)

    def done(self, period: int, token: int, entries: int, sent: int, foreign: int | None, size: int) -> None:
        counts = Counts(entries, sent, -1 if foreign is None else foreign, size)
        self.send(Finished(period, token, counts))

    def lost(self) -> None:
        if self.own.able:
            self.send(Able(False))

    def status(self) -> dict[str, Any]:
        mine = {"wishes": sorted(self.own.wishes), "able": self.own.able}
        return self.rounds.status() | {"own": mine, "refused": self.refused, "missed": self.missed}
