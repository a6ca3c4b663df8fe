"""A member's own side of its duties: when it may act, what it says, and the fence at what it changes."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .duties import MOST_REASON, Duties, Word

MOST_ASKED = 64  # words whose time is remembered; one that is applied after 64 later ones renews nothing


@dataclass(frozen=True, slots=True)
class Lease:
    """`ms` of the holder's clock. Each clock's rate is within `drift` of true time."""

    ms: float = 5000.0
    drift: float = 0.01

    def over(self) -> float:
        """Milliseconds of another's clock after which the holder's lease is over by any clock. If the holder
        took no more than ms / (1 - drift) of true time, another's clock shows no more than that times
        (1 + drift)."""
        return self.ms * (1 + self.drift) / (1 - self.drift)


@dataclass(frozen=True, slots=True)
class Passed:
    """To the heir `to`: the holder has stopped, `duty` is the heir's under `token`."""

    to: str
    duty: str
    token: int


class Holder:
    """`duties` is this member's copy of what was agreed. After each entry that was applied, and at least ten
    times a lease, `turn`; what it gives is offered to the log, or sent, after the time it was called with.
    `acting` is asked before each act, with the time of then."""

    def __init__(self, member: str, life: int, weight: float, lease: Lease, duties: Duties) -> None:
        self.member, self.life, self.weight, self.lease, self.duties = member, life, weight, lease, duties
        self.number = 0
        self.asked: OrderedDict[int, float] = OrderedDict()  # by word: the time before it was said
        self.until = float("-inf")
        self.why: dict[str, str] = {}  # by duty: why it can't be done
        self.shut: dict[str, int] = {}  # by duty: the last word that said so
        self.dropped: dict[str, int] = {}  # by duty: the token that was given back
        self.told: dict[str, int] = {}  # by duty: the token that its holder passed on
        self.urgent = True
        self.left = False

    def acting(self, name: str, now: float) -> int:
        """The token under which this member may act on the duty now; 0 for not at all."""
        session = self.duties.session(self.member, self.life)
        duty = self.duties.duties.get(name)
        if session is None or duty is None or now >= self.until or self.left or name in self.why:
            return 0
        if session.number <= self.shut.get(name, 0):
            return 0  # a word of before, which frees the duty, may still be on its way into the log
        token = 0
        if duty.holder == self.member:
            token = duty.token
        elif duty.heir == self.member and self.told.get(name) == duty.heir_token:
            token = duty.heir_token
        return token if token > self.dropped.get(name, 0) else 0

    def cannot(self, name: str, why: str) -> None:
        """It stops at once; the others hear why."""
        self.urgent = self.urgent or name not in self.why
        self.why[name] = why[:MOST_REASON]

    def can(self, name: str) -> None:
        self.urgent = self.why.pop(name, None) is not None or self.urgent

    def weigh(self, weight: float) -> None:
        """0: it drains. Its duties are passed on, one after the other, while it still acts."""
        self.urgent = self.urgent or weight != self.weight
        self.weight = weight

    def leave(self) -> None:
        """It stops all at once, and for good."""
        self.left = self.urgent = True

    def passed(self, name: str, token: int) -> None:
        """The duty's holder says so. Before the agreed state names this member its heir it does nothing."""
        if name in self.duties.duties and token > self.told.get(name, 0):
            self.told[name] = token

    def turn(self, now: float) -> list[Word | Passed]:
        session = self.duties.session(self.member, self.life)
        if session is not None and session.number in self.asked:
            self.until = max(self.until, self.asked[session.number] + self.lease.ms)
        out: list[Word | Passed] = list(self.pass_on())
        self.forget()
        last = self.asked.get(self.number, float("-inf"))
        heard = session is not None and session.number == self.number
        if self.urgent or now - last >= self.lease.ms / (3 if heard else 6):
            out.append(self.word(now))
        return out

    def pass_on(self) -> list[Passed]:
        """Guards against a gap: the heir is told directly, and later learns the same from the log."""
        out = []
        for name, duty in self.duties.duties.items():
            mine = duty.holder == self.member and duty.life == self.life
            if not mine or duty.token <= self.dropped.get(name, 0):
                continue
            if duty.heir or duty.gone:
                self.dropped[name], self.urgent = duty.token, True
            if duty.heir:
                out.append(Passed(duty.heir, name, duty.heir_token))
        return out

    def forget(self) -> None:
        """What is kept by duty goes with the duty; of a reason, when a word after it was applied."""
        for kept in (self.dropped, self.told):
            for name in [n for n in kept if n not in self.duties.duties]:
                del kept[name]
        session = self.duties.session(self.member, self.life)
        if session is not None:
            self.shut = {name: n for name, n in self.shut.items() if n >= session.number}

    def word(self, now: float) -> Word:
        self.number += 1
        self.urgent = False
        self.asked[self.number] = now
        while len(self.asked) > MOST_ASKED:
            self.asked.popitem(last=False)
        for name in self.why:
            self.shut[name] = self.number
        gives = {
            name: token
            for name, token in self.dropped.items()
            if (duty := self.duties.duties.get(name)) is not None
            and ((duty.holder, duty.token) == (self.member, token) or duty.heir_token == token)
        }
        return Word(self.member, self.life, self.number, self.weight, dict(self.why), gives, self.left)


class Fence:
    """At what a duty changes: turns down a token older than one that came before. What outlives a restart
    keeps `token` with what it changes."""

    def __init__(self, token: int = 0) -> None:
        self.token, self.refused = token, 0

    def admit(self, token: int) -> bool:
        """Whether a change under that token may be made. To be asked in the step that makes it."""
        if token < self.token or token <= 0:
            self.refused += 1
            return False
        self.token = token
        return True
