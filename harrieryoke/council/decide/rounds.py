"""Turns for reconciliation: the replicated record of which (member, period) requested, has or finished one.

All members want to reconcile when a period ends, and would all reach the collector at once. So each member
requests a turn, and the duty's holder grants a few at a time (`grants.py`).

    requested -> turn -> done
        ^       | |
        |       | +-> requested again at the end of the queue, or failed after the last try:
        |       |     revoked by the duty's holder
        +-------+ returned by the member, which requests a turn again when it can

Requests, completions and returns are unfenced commands of any member; grants and revocations are fenced
commands of the duty's holder. A turn is identified by the index of the entry that granted it, which only
grows: a member's messages carry it, and a receiver that keeps the highest index it has seen rejects late
messages of an earlier turn, whichever holder granted it.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from .duties import MAX_NAME_CHARS

DUTY = "reconcile"
MAX_OPEN_ROUNDS = 4096  # requested or running; beyond them a request is rejected, and is sent again
MAX_OPEN_PER_MEMBER = 16
# beyond them the oldest completed round is dropped, or the oldest failed one if none is completed
MAX_ENDED_ROUNDS = 4096
MAX_RUNNING_TURNS = 8  # at one time, whatever the holder's settings say
MAX_TRIES = 16
MAX_FAILED_SHOWN = 64  # in the status

Number = Annotated[int, Meta(ge=0, le=2**62)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]


class Counts(Struct, frozen=True, array_like=True):
    """The result of a turn. `missing_here` counts entries that only the collector has; -1 if that was not
    determined.
    """

    entries: Number
    sent: Number
    missing_here: Annotated[int, Meta(ge=-1, le=2**62)]
    bytes_moved: Number


class RequestTurn(Struct, frozen=True, array_like=True, tag="want"):
    """`request_id` is drawn by the member for each request: a duplicate that arrives after the round has
    ended is rejected.
    """

    member: Name
    period: Number
    request_id: Number


class CompleteTurn(Struct, frozen=True, array_like=True, tag="done"):
    member: Name
    period: Number
    turn: Number
    counts: Counts


class ReturnTurn(Struct, frozen=True, array_like=True, tag="back"):
    """The member cannot use the turn now; it sends a new request when it can."""

    member: Name
    period: Number
    turn: Number


class GrantTurn(Struct, frozen=True, array_like=True, tag="turn"):
    """Rejected while `max_running` turns are running: a new holder may not know of all grants of its
    predecessor.
    """

    member: Name
    period: Number
    max_running: Number


class RevokeTurn(Struct, frozen=True, array_like=True, tag="give-up"):
    """The turn was not completed in time. With `final` the round is not tried again."""

    member: Name
    period: Number
    turn: Number
    final: bool


MemberRequest = RequestTurn | CompleteTurn | ReturnTurn
HolderCommand = GrantTurn | RevokeTurn
REQUEST_DECODER: msgspec.msgpack.Decoder[MemberRequest] = msgspec.msgpack.Decoder(MemberRequest)
COMMAND_DECODER: msgspec.msgpack.Decoder[HolderCommand] = msgspec.msgpack.Decoder(HolderCommand)
encode = msgspec.msgpack.encode


class OpenRound(Struct, rename={"request_id": "mark", "queue_position": "place"}):
    request_id: int
    queue_position: int  # index of the entry that queued it
    tries: int = 0  # revoked turns
    turn: int = 0  # 0: waiting


class EndedRound(Struct, rename={"request_id": "mark"}):
    """`counts` is None if the round failed."""

    request_id: int
    tries: int
    counts: Counts | None


class RoundsState(Struct):
    open: dict[str, dict[int, OpenRound]] = {}
    ended: list[tuple[str, int, EndedRound]] = []


class ReconciliationRounds:
    """The state machine of the duty `reconcile` (`commands.StateMachine`)."""

    def __init__(self) -> None:
        self.open: dict[str, dict[int, OpenRound]] = {}  # by member and period
        self.ended: dict[tuple[str, int], EndedRound] = {}  # oldest first
        self.open_count = 0
        self.running: dict[tuple[str, int], int] = {}  # turn by member and period

    def apply_unfenced(self, index: int, body: bytes) -> bool:
        try:
            request = REQUEST_DECODER.decode(body)
        except msgspec.MsgspecError:
            return False
        if isinstance(request, RequestTurn):
            return self.request_turn(index, request)
        open_round = self.round_with_turn(request)
        if open_round is None:
            return False
        self.close_round(request.member, request.period)
        if isinstance(request, CompleteTurn):
            self.record_end(
                request.member,
                request.period,
                EndedRound(open_round.request_id, open_round.tries, request.counts),
            )
        return True

    def apply(self, index: int, token: int, body: bytes) -> bool:
        try:
            command = COMMAND_DECODER.decode(body)
        except msgspec.MsgspecError:
            return False
        if isinstance(command, GrantTurn):
            return self.grant_turn(index, command)
        open_round = self.round_with_turn(command)
        if open_round is None:
            return False
        del self.running[command.member, command.period]
        open_round.tries, open_round.turn, open_round.queue_position = open_round.tries + 1, 0, index
        if command.final or open_round.tries >= MAX_TRIES:
            self.close_round(command.member, command.period)
            self.record_end(
                command.member, command.period, EndedRound(open_round.request_id, open_round.tries, None)
            )
        return True

    def request_turn(self, index: int, request: RequestTurn) -> bool:
        member_rounds, ended = (
            self.open.get(request.member, {}),
            self.ended.get((request.member, request.period)),
        )
        if request.period in member_rounds or (ended is not None and ended.request_id == request.request_id):
            return False
        if self.open_count >= MAX_OPEN_ROUNDS or len(member_rounds) >= MAX_OPEN_PER_MEMBER:
            return False
        self.open.setdefault(request.member, {})[request.period] = OpenRound(request.request_id, index)
        self.open_count += 1
        return True

    def grant_turn(self, index: int, command: GrantTurn) -> bool:
        member_rounds = self.open.get(command.member, {})
        open_round = member_rounds.get(command.period)
        if open_round is None or len(self.running) >= min(command.max_running, MAX_RUNNING_TURNS):
            return False
        if any(other_round.turn for other_round in member_rounds.values()):
            return False  # one running turn per member
        for other_round in member_rounds.values():
            # A member with many requests queues behind all others, so that it does not starve them.
            other_round.queue_position = index
        open_round.turn = self.running[command.member, command.period] = index
        return True

    def round_with_turn(self, message: CompleteTurn | ReturnTurn | RevokeTurn) -> OpenRound | None:
        """Returns the round if `message` names its current turn."""
        open_round = self.open.get(message.member, {}).get(message.period)
        return (
            open_round
            if open_round is not None and message.turn and open_round.turn == message.turn
            else None
        )

    def close_round(self, member: str, period: int) -> None:
        del self.open[member][period]
        self.running.pop((member, period), None)
        self.open_count -= 1
        if not self.open[member]:
            del self.open[member]

    def record_end(self, member: str, period: int, ended_round: EndedRound) -> None:
        self.ended.pop((member, period), None)
        if len(self.ended) >= MAX_ENDED_ROUNDS:
            completed = (key for key, entry in self.ended.items() if entry.counts is not None)
            del self.ended[next(completed, next(iter(self.ended)))]
        self.ended[member, period] = ended_round

    def dump(self) -> bytes:
        return encode(
            RoundsState(self.open, [(*key, ended_round) for key, ended_round in self.ended.items()])
        )

    def load(self, data: bytes) -> None:
        """Raises msgspec.ValidationError, a ValueError, for data that is not a dump."""
        state: RoundsState = msgspec.msgpack.decode(data, type=RoundsState) if data else RoundsState()
        self.open = state.open
        self.ended = {(member, period): ended_round for member, period, ended_round in state.ended}
        opened = [
            (m, p, open_round)
            for m, member_rounds in self.open.items()
            for p, open_round in member_rounds.items()
        ]
        self.open_count = len(opened)
        self.running = {(m, p): open_round.turn for m, p, open_round in opened if open_round.turn}

    def status(self) -> dict[str, Any]:
        """For operators: the number of waiting and completed rounds, and the running and failed ones."""
        failed = [key for key, ended_round in self.ended.items() if ended_round.counts is None]
        return {
            "waiting": self.open_count - len(self.running),
            "running": [{"member": m, "period": p, "turn": turn} for (m, p), turn in self.running.items()],
            "done": len(self.ended) - len(failed),
            "failed": len(failed),
            "failed_last": [{"member": m, "period": p} for m, p in failed[-MAX_FAILED_SHOWN:]],
        }
