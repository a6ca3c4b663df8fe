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
    MOST_EACH,
    MOST_TRIES,
    MOST_TURNS,
    Back,
    Counts,
    Done,
    Given,
    GiveUp,
    Rounds,
    Turn,
    Want,
    encode,
)

MOST_WISHES = 1024  # of one member, that wait for room among what is open
AGAIN_MOST = 16  # times `repeat_ms`, the longest pause between two tries to say a thing


class PaceError(ValueError):
    """A key that can't be used; the message begins with its name."""


class Pace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
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
            ("at_once", 1, MOST_TURNS),
            ("turn_ms", 1000, 3.6e6),
            ("tries", 1, MOST_TRIES),
            ("again_ms", 0, 3.6e6),
            ("spread_ms", 0, 600_000),
            ("repeat_ms", 100, 60_000),
        )
        for key, least, most in bounds:
            if not least <= getattr(self, key) <= most:
                raise PaceError(f"{table}.{key}: {least:g} to {most:g} is wanted")


@dataclass(slots=True)
class Seen:
    """Of an open round: since when it is at this turn or try."""

    turn: int
    tries: int
    at: float


class Conductor:
    """Of who holds the duty. `turn` after entries were applied, and at `due`."""

    def __init__(self, rounds: Rounds, pace: Pace) -> None:
        self.rounds, self.pace = rounds, pace
        self.seen: dict[tuple[str, int], Seen] = {}
        self.proposed: dict[Given, float] = {}
        self.due: float | None = None  # when something is to be done next, if nothing is applied before

    def turn(self, now: float, token: int) -> list[bytes]:
        """The acts to propose under `token`; 0: this member does not act on the duty."""
        self.due = None
        if not token:
            self.seen.clear()
            self.proposed.clear()
            return []
        self.note(now)
        wanted = [*self.overdue(now), *self.next(now)]
        self.proposed = {given: self.proposed.get(given, float("-inf")) for given in wanted}
        fresh = [given for given, at in self.proposed.items() if now >= at + self.pace.repeat_ms]
        self.proposed.update((given, now) for given in fresh)
        for at in self.proposed.values():
            self.wake(at + self.pace.repeat_ms)
        return [encode(given) for given in fresh]

    def wake(self, at: float) -> None:
        self.due = at if self.due is None else min(self.due, at)

    def note(self, now: float) -> None:
        """Only rounds that have their turn or had one: of the others no time counts."""
        had, self.seen = self.seen, {}
        for member, mine in self.rounds.open.items():
            for period, round in mine.items():
                if not round.turn and not round.tries:
                    continue
                seen = had.get((member, period))
                if seen is None or (seen.turn, seen.tries) != (round.turn, round.tries):
                    seen = Seen(round.turn, round.tries, now)
                self.seen[member, period] = seen

    def overdue(self, now: float) -> list[Given]:
        out: list[Given] = []
        for (member, period), turn in self.rounds.running.items():
            seen = self.seen[member, period]
            if now >= seen.at + self.pace.turn_ms:
                out.append(GiveUp(member, period, turn, seen.tries + 1 >= self.pace.tries))
            else:
                self.wake(seen.at + self.pace.turn_ms)
        return out

    def next(self, now: float) -> list[Given]:
        """The first in the line of each member that has no turn now; so many as there is room for."""
        room = self.pace.at_once - len(self.rounds.running)
        if room <= 0:
            return []
        busy = {member for member, _ in self.rounds.running}
        line: list[tuple[int, int, str]] = []
        for member, mine in self.rounds.open.items():
            if member not in busy:
                able = [(r.place, p) for p, r in mine.items() if not r.tries or self.rested(member, p, now)]
                line += [(*min(able), member)] if able else []
        return [Turn(member, period, self.pace.at_once) for _, period, member in sorted(line)[:room]]

    def rested(self, member: str, period: int, now: float) -> bool:
        at = self.seen[member, period].at + self.pace.again_ms
        if now < at:
            self.wake(at)
        return now >= at


@dataclass(slots=True)
class Wish:
    mark: int
    at: float  # when to say so
    pause: float


@dataclass(slots=True)
class Held:
    """A turn of this member. `counts`: it is done."""

    turn: int
    until: float
    said: float = float("-inf")
    counts: Counts | None = None
    back: bool = False  # it can't be done now


class Own:
    """A member's own wishes and turns. `turn` after entries were applied, and at `due`. What `ready` holds is
    begun by whoever reconciles, each turn once; `holds` is asked before each of its messages."""

    def __init__(self, member: str, rounds: Rounds, pace: Pace, seed: int) -> None:
        self.member, self.rounds, self.pace, self.rng = member, rounds, pace, Random(seed)
        self.wishes: dict[int, Wish] = {}  # by period
        self.held: dict[int, Held] = {}  # by period
        self.ready: deque[tuple[int, int]] = deque()  # period and turn
        self.failed: list[int] = []  # periods, for the caller to tell and take away
        self.able = False  # the collector can be reached
        self.due: float | None = None

    def want(self, now: float, period: int) -> bool:
        """False: there are too many."""
        if period not in self.wishes:
            if len(self.wishes) >= MOST_WISHES:
                return False
            self.wish(now, period, self.rng.getrandbits(62))
        return True

    def wish(self, now: float, period: int, mark: int) -> None:
        # guards the council against all members at one moment: periods end everywhere by the same clock
        self.wishes[period] = Wish(mark, now + self.rng.random() * self.pace.spread_ms, self.pace.repeat_ms)

    def can(self, able: bool) -> None:
        """Turns that are not done go back where it can't."""
        self.able = able
        for held in self.held.values():
            held.back = held.back or not able

    def done(self, period: int, turn: int, counts: Counts) -> None:
        held = self.held.get(period)
        if held is not None and held.turn == turn:
            held.counts = counts

    def holds(self, now: float, period: int, turn: int) -> bool:
        """Whether it may go on. By its own clock too: one that hears no entry any more stops all the same."""
        round = self.rounds.open.get(self.member, {}).get(period)
        held = self.held.get(period)
        if round is None or held is None or not round.turn == held.turn == turn:
            return False
        return now < held.until and not held.back

    def turn(self, now: float) -> list[bytes]:
        """The requests to make."""
        self.due = None
        mine = self.rounds.open.get(self.member, {})
        self.note(now)
        out: list[Want | Done | Back] = []
        for period, held in self.held.items():
            if (held.counts is not None or held.back) and self.may(now, held.said + self.pace.repeat_ms):
                held.said = now
                self.wake(now + self.pace.repeat_ms)
                counts = held.counts
                if counts is not None:
                    out.append(Done(self.member, period, held.turn, counts))
                else:
                    out.append(Back(self.member, period, held.turn))
        room = MOST_EACH - len(mine)
        for period, wish in list(self.wishes.items()) if self.able else []:
            if period in mine or room <= 0:
                continue
            room -= 1
            if self.may(now, wish.at):
                wish.at = now + wish.pause * self.rng.uniform(1, 2)
                wish.pause = min(2 * wish.pause, AGAIN_MOST * self.pace.repeat_ms)
                self.wake(wish.at)
                out.append(Want(self.member, period, wish.mark))
        return [encode(asked) for asked in out]

    def may(self, now: float, at: float) -> bool:
        if now < at:
            self.wake(at)
        return now >= at

    def wake(self, at: float) -> None:
        self.due = at if self.due is None else min(self.due, at)

    def note(self, now: float) -> None:
        """What was agreed since the last time."""
        mine = self.rounds.open.get(self.member, {})
        for period in [p for p, held in self.held.items() if p not in mine or mine[p].turn != held.turn]:
            del self.held[period]
        for period, round in mine.items():
            if period not in self.wishes:
                self.wish(now, period, round.mark)  # of this name's process before, or for want of room here
            self.wishes[period].mark = round.mark
            if round.turn and period not in self.held:
                self.held[period] = Held(round.turn, now + self.pace.turn_ms, back=not self.able)
                self.ready.append((period, round.turn))
        for period, wish in list(self.wishes.items()):
            ended = self.rounds.ended.get((self.member, period))
            if period not in mine and ended is not None and ended.mark == wish.mark:
                del self.wishes[period]
                self.failed += [period] if ended.counts is None else []
        self.ready = deque(each for each in self.ready if self.holds(now, *each))

    def take(self) -> tuple[int, int] | None:
        """A turn to be begun now."""
        return self.ready.popleft() if self.ready else None
