"""Who gives turns, and who takes them: the holder's and a member's own side of `rounds.py`.

Both look at their copy of what was agreed and say what to propose; what is lost on the way they say again.
Times are milliseconds of the own monotonic clock. Their state is their process's: a new holder gives what it
finds running a whole time of its own, and a process that starts takes over what its name had open.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random

import msgspec

from .rounds import (
    MAX_OPEN_PER_MEMBER,
    MAX_RUNNING_TURNS,
    MAX_TRIES,
    CompleteTurn,
    Counts,
    GrantTurn,
    HolderCommand,
    ReconciliationRounds,
    RequestTurn,
    ReturnTurn,
    RevokeTurn,
    encode,
)

MAX_PENDING_REQUESTS = 1024  # of one member, that wait for room among what is open
MAX_BACKOFF_FACTOR = 16  # times `repeat_ms`, the longest pause between two tries to say a thing


class TurnSettingsError(ValueError):
    """A key that can't be used; the message begins with its name."""


class TurnSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the holder conducts, and how members ask. The holder's own file counts for giving turns."""

    at_once: int = 2  # turns at one time
    turn_ms: float = 60_000.0  # that a turn may take
    tries: int = 3  # turns of a round until it has failed
    again_ms: float = 30_000.0  # from a turn that was given up to the next of the round
    spread_ms: float = 2_000.0  # over which members that want at one moment say so
    repeat_ms: float = 1_000.0  # until what was proposed and not agreed is proposed again

    def check(self, table: str) -> None:
        """Raises PaceError."""
        bounds: tuple[tuple[str, float, float], ...] = (
            ("at_once", 1, MAX_RUNNING_TURNS),
            ("turn_ms", 1000, 3.6e6),
            ("tries", 1, MAX_TRIES),
            ("again_ms", 0, 3.6e6),
            ("spread_ms", 0, 600_000),
            ("repeat_ms", 100, 60_000),
        )
        for key, least, most in bounds:
            if not least <= getattr(self, key) <= most:
                raise TurnSettingsError(f"{table}.{key}: {least:g} to {most:g} is wanted")


@dataclass(slots=True)
class ObservedRound:
    """Of an open round: since when it is at this turn or try."""

    turn: int
    tries: int
    since: float


class TurnScheduler:
    """Of who holds the duty. `turn` after entries were applied, and at `due`."""

    def __init__(self, rounds: ReconciliationRounds, settings: TurnSettings) -> None:
        self.rounds, self.settings = rounds, settings
        self.observed: dict[tuple[str, int], ObservedRound] = {}
        self.proposed: dict[HolderCommand, float] = {}
        self.wake_at: float | None = None  # when something is to be done next, if nothing is applied before

    def tick(self, now: float, token: int) -> list[bytes]:
        """The acts to propose under `token`; 0: this member does not act on the duty."""
        self.wake_at = None
        if not token:
            self.observed.clear()
            self.proposed.clear()
            return []
        self.observe_rounds(now)
        commands = [*self.overdue_turns(now), *self.next_grants(now)]
        self.proposed = {command: self.proposed.get(command, float("-inf")) for command in commands}
        due_commands = [
            command
            for command, last_sent in self.proposed.items()
            if now >= last_sent + self.settings.repeat_ms
        ]
        self.proposed.update((command, now) for command in due_commands)
        for last_sent in self.proposed.values():
            self.schedule_wake(last_sent + self.settings.repeat_ms)
        return [encode(command) for command in due_commands]

    def schedule_wake(self, due_at: float) -> None:
        self.wake_at = due_at if self.wake_at is None else min(self.wake_at, due_at)

    def observe_rounds(self, now: float) -> None:
        """Only rounds that have their turn or had one: of the others no time counts."""
        previous, self.observed = self.observed, {}
        for member, member_rounds in self.rounds.open.items():
            for period, open_round in member_rounds.items():
                if not open_round.turn and not open_round.tries:
                    continue
                observed = previous.get((member, period))
                if observed is None or (observed.turn, observed.tries) != (open_round.turn, open_round.tries):
                    observed = ObservedRound(open_round.turn, open_round.tries, now)
                self.observed[member, period] = observed

    def overdue_turns(self, now: float) -> list[HolderCommand]:
        commands: list[HolderCommand] = []
        for (member, period), turn in self.rounds.running.items():
            observed = self.observed[member, period]
            if now >= observed.since + self.settings.turn_ms:
                commands.append(RevokeTurn(member, period, turn, observed.tries + 1 >= self.settings.tries))
            else:
                self.schedule_wake(observed.since + self.settings.turn_ms)
        return commands

    def next_grants(self, now: float) -> list[HolderCommand]:
        """The first in the line of each member that has no turn now; so many as there is room for."""
        free_turns = self.settings.at_once - len(self.rounds.running)
        if free_turns <= 0:
            return []
        busy = {member for member, _ in self.rounds.running}
        candidates: list[tuple[int, int, str]] = []
        for member, member_rounds in self.rounds.open.items():
            if member not in busy:
                eligible = [
                    (r.queue_position, p)
                    for p, r in member_rounds.items()
                    if not r.tries or self.retry_due(member, p, now)
                ]
                candidates += [(*min(eligible), member)] if eligible else []
        return [
            GrantTurn(member, period, self.settings.at_once)
            for _, period, member in sorted(candidates)[:free_turns]
        ]

    def retry_due(self, member: str, period: int, now: float) -> bool:
        due_at = self.observed[member, period].since + self.settings.again_ms
        if now < due_at:
            self.schedule_wake(due_at)
        return now >= due_at


@dataclass(slots=True)
class PendingRequest:
    request_id: int
    send_at: float  # when to say so
    backoff_ms: float


@dataclass(slots=True)
class HeldTurn:
    """A turn of this member. `counts`: it is done."""

    turn: int
    expires: float
    last_sent: float = float("-inf")
    counts: Counts | None = None
    returned: bool = False  # it can't be done now


class MemberTurns:
    """A member's own wishes and turns. `turn` after entries were applied, and at `due`. What `ready` holds is
    begun by whoever reconciles, each turn once; `holds` is asked before each of its messages."""

    def __init__(self, member: str, rounds: ReconciliationRounds, settings: TurnSettings, seed: int) -> None:
        self.member, self.rounds, self.settings, self.rng = member, rounds, settings, Random(seed)
        self.pending: dict[int, PendingRequest] = {}  # by period
        self.held: dict[int, HeldTurn] = {}  # by period
        self.ready: deque[tuple[int, int]] = deque()  # period and turn
        self.failed: list[int] = []  # periods, for the caller to tell and take away
        self.collector_reachable = False  # the collector can be reached
        self.wake_at: float | None = None

    def request(self, now: float, period: int) -> bool:
        """False: there are too many."""
        if period not in self.pending:
            if len(self.pending) >= MAX_PENDING_REQUESTS:
                return False
            self.add_request(now, period, self.rng.getrandbits(62))
        return True

    def add_request(self, now: float, period: int, request_id: int) -> None:
        # guards the council against all members at one moment: periods end everywhere by the same clock
        self.pending[period] = PendingRequest(
            request_id, now + self.rng.random() * self.settings.spread_ms, self.settings.repeat_ms
        )

    def set_collector_reachable(self, reachable: bool) -> None:
        """Turns that are not done go back where it can't."""
        self.collector_reachable = reachable
        for held_turn in self.held.values():
            held_turn.returned = held_turn.returned or not reachable

    def complete(self, period: int, turn: int, counts: Counts) -> None:
        held_turn = self.held.get(period)
        if held_turn is not None and held_turn.turn == turn:
            held_turn.counts = counts

    def holds(self, now: float, period: int, turn: int) -> bool:
        """Whether it may go on. By its own clock too: one that hears no entry any more stops all the same."""
        open_round = self.rounds.open.get(self.member, {}).get(period)
        held_turn = self.held.get(period)
        if open_round is None or held_turn is None or not open_round.turn == held_turn.turn == turn:
            return False
        return now < held_turn.expires and not held_turn.returned

    def tick(self, now: float) -> list[bytes]:
        """The requests to make."""
        self.wake_at = None
        member_rounds = self.rounds.open.get(self.member, {})
        self.observe_rounds(now)
        commands: list[RequestTurn | CompleteTurn | ReturnTurn] = []
        for period, held_turn in self.held.items():
            if (held_turn.counts is not None or held_turn.returned) and self.is_due(
                now, held_turn.last_sent + self.settings.repeat_ms
            ):
                held_turn.last_sent = now
                self.schedule_wake(now + self.settings.repeat_ms)
                counts = held_turn.counts
                if counts is not None:
                    commands.append(CompleteTurn(self.member, period, held_turn.turn, counts))
                else:
                    commands.append(ReturnTurn(self.member, period, held_turn.turn))
        free_turns = MAX_OPEN_PER_MEMBER - len(member_rounds)
        for period, pending_request in list(self.pending.items()) if self.collector_reachable else []:
            if period in member_rounds or free_turns <= 0:
                continue
            free_turns -= 1
            if self.is_due(now, pending_request.send_at):
                pending_request.send_at = now + pending_request.backoff_ms * self.rng.uniform(1, 2)
                pending_request.backoff_ms = min(
                    2 * pending_request.backoff_ms, MAX_BACKOFF_FACTOR * self.settings.repeat_ms
                )
                self.schedule_wake(pending_request.send_at)
                commands.append(RequestTurn(self.member, period, pending_request.request_id))
        return [encode(request) for request in commands]

    def is_due(self, now: float, due_at: float) -> bool:
        if now < due_at:
            self.schedule_wake(due_at)
        return now >= due_at

    def schedule_wake(self, due_at: float) -> None:
        self.wake_at = due_at if self.wake_at is None else min(self.wake_at, due_at)

    def observe_rounds(self, now: float) -> None:
        """What was agreed since the last time."""
        member_rounds = self.rounds.open.get(self.member, {})
        for period in [
            p
            for p, held_turn in self.held.items()
            if p not in member_rounds or member_rounds[p].turn != held_turn.turn
        ]:
            del self.held[period]
        for period, open_round in member_rounds.items():
            if period not in self.pending:
                self.add_request(
                    now, period, open_round.request_id
                )  # of this name's process before, or for want of room here
            self.pending[period].request_id = open_round.request_id
            if open_round.turn and period not in self.held:
                self.held[period] = HeldTurn(
                    open_round.turn, now + self.settings.turn_ms, returned=not self.collector_reachable
                )
                self.ready.append((period, open_round.turn))
        for period, pending_request in list(self.pending.items()):
            ended = self.rounds.ended.get((self.member, period))
            if (
                period not in member_rounds
                and ended is not None
                and ended.request_id == pending_request.request_id
            ):
                del self.pending[period]
                self.failed += [period] if ended.counts is None else []
        self.ready = deque(each for each in self.ready if self.holds(now, *each))

    def take_ready(self) -> tuple[int, int] | None:
        """A turn to be begun now."""
        return self.ready.popleft() if self.ready else None
