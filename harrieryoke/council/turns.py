"""Reconciliation turns on a member: grants turns while the member holds the duty, and uses its own turns.

Implements the ledger's `Turns` protocol. Only its actor changes its state. `next`, `holds` and `some` are
called from the ledger's greenlets: they never wait and only read, except for the turn that `next` takes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ..core.actor import Actor
from ..log import Log
from .actor import boot_ms
from .decide.commands import StateMachine
from .decide.grants import MemberTurns, TurnScheduler, TurnSettings
from .decide.rounds import DUTY, Counts, ReconciliationRounds

MAILBOX_SIZE = 1024


class Council(Protocol):
    """What this module needs of the council. No method waits."""

    def acting(self, duty: str) -> int: ...

    def propose(self, duty: str, token: int, body: bytes) -> str:
        """Proposes a fenced command. Returns the reason for a refusal, or "". An accepted command may still
        be lost.
        """
        ...

    def ask(self, duty: str, body: bytes) -> str:
        """Proposes an unfenced command; otherwise like `propose`."""
        ...

    def add_machine(self, duty: str, machine: StateMachine) -> None: ...

    def watch(self, callback: Callable[[], object]) -> None: ...


@dataclass(frozen=True, slots=True)
class TurnRequested:
    period: int


@dataclass(frozen=True, slots=True)
class TurnFinished:
    period: int
    turn: int
    counts: Counts


@dataclass(frozen=True, slots=True)
class CollectorReachability:
    reachable: bool


class TurnsActor(Actor):
    """Runs on each member of the council, also without a ledger: the duty's holder grants turns. Must be
    created before the council starts. A message that does not fit into the mailbox is counted and logged; a
    turn whose end is lost in this way is revoked after its time limit.
    """

    def __init__(
        self,
        council: Council,
        name: str,
        settings: TurnSettings,
        seed: int,
        log: Log,
        clock: Callable[[], float] = boot_ms,
    ) -> None:
        super().__init__("turns", MAILBOX_SIZE, log)
        self.council, self.clock = council, clock
        self.rounds = ReconciliationRounds()
        self.scheduler = TurnScheduler(self.rounds, settings)
        self.member_turns = MemberTurns(name, self.rounds, settings, seed)
        self.given: Callable[[], object] = lambda: None
        self.last_refusal = ""  # why the council refused the last proposal
        self.dropped_messages = 0
        council.add_machine(DUTY, self.rounds)
        council.watch(self.message_arrived.set)

    # --- actor ---

    def run(self) -> None:
        while not self.finished:
            wake_times = [at for at in (self.scheduler.wake_at, self.member_turns.wake_at) if at is not None]
            self.wait_for_message(min(wake_times) - self.clock() if wake_times else None)
            self.message_arrived.clear()
            self.process_mailbox()
            self.propose_commands()

    def receive(self, message: Any) -> None:
        match message:
            case TurnRequested(period):
                if not self.member_turns.request(self.clock(), period):
                    self.log("reconcile-refused", f"period {period}: too many pending requests")
            case TurnFinished(period, turn, counts):
                self.member_turns.complete(period, turn, counts)
            case CollectorReachability(reachable):
                self.member_turns.set_collector_reachable(reachable)

    def propose_commands(self) -> None:
        token = self.council.acting(DUTY)
        refusals = [
            self.council.propose(DUTY, token, body) for body in self.scheduler.tick(self.clock(), token)
        ]
        refusals += [self.council.ask(DUTY, body) for body in self.member_turns.tick(self.clock())]
        self.last_refusal = refusals[-1] if refusals else self.last_refusal
        for period in self.member_turns.failed:
            detail = f"period {period}: no turn was completed in time; request it again"
            self.log("reconcile-failed", detail, period=period)
        self.member_turns.failed.clear()
        if self.member_turns.ready:
            self.given()

    def post(self, message: Any) -> None:
        if not self.try_send(message) and not self.finished:
            self.dropped_messages += 1
            self.log("reconcile-refused", "the turns mailbox is full")

    def stop(self) -> None:
        self.finished = True
        self.message_arrived.set()

    # --- called by the ledger ---

    def want(self, period: int) -> None:
        self.post(TurnRequested(period))

    def some(self) -> bool:
        return bool(self.member_turns.pending)

    def next(self) -> tuple[int, int] | None:
        if not self.member_turns.collector_reachable:
            self.post(CollectorReachability(True))
        return self.member_turns.take_ready()

    def holds(self, period: int, token: int) -> bool:
        return self.member_turns.holds(self.clock(), period, token)

    def done(self, period: int, token: int, entries: int, sent: int, foreign: int | None, size: int) -> None:
        counts = Counts(entries, sent, -1 if foreign is None else foreign, size)
        self.post(TurnFinished(period, token, counts))

    def lost(self) -> None:
        if self.member_turns.collector_reachable:
            self.post(CollectorReachability(False))

    def status(self) -> dict[str, Any]:
        own_status = {
            "wishes": sorted(self.member_turns.pending),
            "able": self.member_turns.collector_reachable,
        }
        return self.rounds.status() | {
            "own": own_status,
            "refused": self.last_refusal,
            "missed": self.dropped_messages,
        }
