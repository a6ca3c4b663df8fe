"""Granting and using turns for reconciliation: the duty holder's and the member's side of `rounds.py`.

Both sides look at their copy of the replicated state and return commands to propose; a command that is lost
is proposed again. Times are milliseconds of the local monotonic clock. Their state lives as long as the
process: a new holder gives each running turn its full time anew, and a restarted process adopts the rounds
that are open under its name.
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

MAX_PENDING_REQUESTS = 1024  # of one member, waiting until it may open another round
MAX_BACKOFF_FACTOR = 16  # times `repeat_ms`: the longest back-off of a request, before jitter of up to 2


class TurnSettingsError(ValueError):
    """A setting that cannot be used. The message begins with its key."""


class TurnSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the duty's holder grants turns and how members request them. The holder's own settings apply to
    granting.
    """

    at_once: int = 2  # running turns
    turn_ms: float = 60_000.0  # time limit of a turn
    tries: int = 3  # turns of a round before it counts as failed
    again_ms: float = 30_000.0  # from a revoked turn to the next turn of the same round
    # over which the requests of members that become due at the same moment are spread
    spread_ms: float = 2_000.0
    repeat_ms: float = 1_000.0  # before a command that was not applied is proposed again

    def check(self, table: str) -> None:
        """Raises TurnSettingsError."""
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
                raise TurnSettingsError(f"{table}.{key}: must be {least:g} to {most:g}")


@dataclass(slots=True)
class ObservedRound:
    """An open round as last observed. `since` is when a change of its turn or tries was first observed."""

    turn: int
    tries: int
    since: float


class TurnScheduler:
    """Runs on the duty's holder. Call `tick` after entries were applied, and at `wake_at`."""

    def __init__(self, rounds: ReconciliationRounds, settings: TurnSettings) -> None:
        self.rounds, self.settings = rounds, settings
        self.observed: dict[tuple[str, int], ObservedRound] = {}
        self.proposed: dict[HolderCommand, float] = {}
        self.wake_at: float | None = None  # time of the next action if no entry is applied before

    def tick(self, now: float, token: int) -> list[bytes]:
        """Returns the commands to propose under `token`. It is 0 if this member does not act on the duty."""
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
        """Tracks only rounds that have or had a turn: no timeouts apply to the others."""
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
        """Returns grants for the first eligible round of each member without a running turn, as far as turns
        are free.
        """
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
    send_at: float
    backoff_ms: float


@dataclass(slots=True)
class HeldTurn:
    """A turn of this member. `counts` is set once it is complete."""

    turn: int
    expires: float
    last_sent: float = float("-inf")
    counts: Counts | None = None
    returned: bool = False  # the turn cannot be used now and is given back


class MemberTurns:
    """A member's own requests and turns. Call `tick` after entries were applied, and at `wake_at`. Each turn
    in `ready` is started once by the reconciler, which calls `holds` before each of its messages.
    """

    def __init__(self, member: str, rounds: ReconciliationRounds, settings: TurnSettings, seed: int) -> None:
        self.member, self.rounds, self.settings, self.rng = member, rounds, settings, Random(seed)
        self.pending: dict[int, PendingRequest] = {}  # by period
        self.held: dict[int, HeldTurn] = {}  # by period
        self.ready: deque[tuple[int, int]] = deque()  # period and turn
        self.failed: list[int] = []  # periods to be reported and removed by the caller
        self.collector_reachable = False
        self.wake_at: float | None = None

    def request(self, now: float, period: int) -> bool:
        """Returns False if too many requests are pending."""
        if period not in self.pending:
            if len(self.pending) >= MAX_PENDING_REQUESTS:
                return False
            self.add_request(now, period, self.rng.getrandbits(62))
        return True

    def add_request(self, now: float, period: int, request_id: int) -> None:
        # Spreads the requests: periods end on all members at the same moment, and their requests would reach
        # the council at once.
        self.pending[period] = PendingRequest(
            request_id, now + self.rng.random() * self.settings.spread_ms, self.settings.repeat_ms
        )

    def set_collector_reachable(self, reachable: bool) -> None:
        """Gives unfinished turns back while the collector is unreachable."""
        self.collector_reachable = reachable
        for held_turn in self.held.values():
            held_turn.returned = held_turn.returned or not reachable

    def complete(self, period: int, turn: int, counts: Counts) -> None:
        held_turn = self.held.get(period)
        if held_turn is not None and held_turn.turn == turn:
            held_turn.counts = counts

    def holds(self, now: float, period: int, turn: int) -> bool:
        """Whether the turn may continue. Its expiry is also checked by the local clock, so that a member cut
        off from the log stops as well.
        """
        open_round = self.rounds.open.get(self.member, {}).get(period)
        held_turn = self.held.get(period)
        if open_round is None or held_turn is None or not open_round.turn == held_turn.turn == turn:
            return False
        return now < held_turn.expires and not held_turn.returned

    def tick(self, now: float) -> list[bytes]:
        """Returns the requests to propose."""
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
        """Adopts what was applied since the last call."""
        member_rounds = self.rounds.open.get(self.member, {})
        for period in [
            p
            for p, held_turn in self.held.items()
            if p not in member_rounds or member_rounds[p].turn != held_turn.turn
        ]:
            del self.held[period]
        for period, open_round in member_rounds.items():
            if period not in self.pending:
                # opened by a previous process of this name, or dropped here because too many were pending
                self.add_request(now, period, open_round.request_id)
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
        """Returns a turn to be started now."""
        return self.ready.popleft() if self.ready else None
