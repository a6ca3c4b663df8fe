"""An invoker's side: from which slice a call's tokens come, and what it is charged at its final answer.

It takes no more of a slice than the holder has acknowledged as open, and nothing once the slice's time is
over, counted from before it asked for it. What a call takes beyond its estimate comes out of what is open;
what is not there is owed and comes out of the project's next slice. So no token is spent that is not held
here, whatever is cut.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from math import exp
from random import Random

from .estimates import Estimates
from .messages import Ack, Answer, Ask, Dry, Report, Row
from .sizes import Sizes

MOST_PROJECTS = 10_000  # at the bound, one that has nothing out makes room for a new one
MOST_KEYS = 50_000  # of calls that were charged; at the bound the oldest is charged anew
RATE_MS = 10_000.0  # over which the demand of a project is learned
FIRST_ROUND_MS = 200.0  # from an ask to its answer, until it was measured


@dataclass(slots=True)
class Held:
    """A slice here. `until`: on the own clock. `taken`: set aside for calls that are out."""

    amount: int
    until: float
    mark: int  # acknowledged
    wanted: int  # the highest mark that was asked for or given
    taken: int = 0
    spent: int = 0
    told: float = float("-inf")
    done: bool = False  # its last word was said: nothing is taken of it or charged to it any more

    def room(self) -> int:
        return 0 if self.done else max(0, self.mark - self.taken - self.spent)


@dataclass(slots=True)
class Project:
    """`asked`: the number of the ask that is out, when it was first made and last said."""

    slices: dict[int, Held] = field(default_factory=dict)
    asked: tuple[int, float, float] | None = None
    need: int = 1
    owed: int = 0
    out: int = 0  # calls
    rate: float = 0.0  # tokens a millisecond that are wanted
    seen: float = 0.0
    dry: Dry | None = None
    again: float = float("-inf")
    refill: float = float("-inf")  # when it is; no time of the past is told

    def idle(self) -> bool:
        return not (self.slices or self.out or self.owed)


@dataclass(slots=True)
class Taken:
    """What is set aside for a call that is out: tokens by slice."""

    project: str
    function: str
    key: Hashable | None
    parts: dict[int, int]


@dataclass(frozen=True, slots=True)
class Empty:
    """Refuse the call. `node` of the path has no tokens, or bars it (`code`). `backoff_ms`: not before the
    refill; 0 where none is to be expected."""

    node: str
    code: str
    backoff_ms: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """There is no slice yet, and no word of the holder: ask again after its answer, or the next turn."""


class Spender:
    """`take` before a call goes to the module, `settle` at its final answer, `turn` at least once in
    `retry_ms`; what `turn` gives is sent to the duty's holder. Times are the own monotonic clock's."""

    def __init__(
        self,
        invoker: str,
        life: int,
        sizes: Sizes,
        seed: int,
        key_ms: float = 600_000.0,
        most_backoff_ms: float = 60_000.0,
    ) -> None:
        self.invoker, self.life, self.sizes, self.rng = invoker, life, sizes, Random(seed)
        self.key_ms, self.most_backoff = key_ms, most_backoff_ms
        self.estimates = Estimates()
        self.projects: dict[str, Project] = {}
        self.slices: dict[int, str] = {}  # the project of each
        self.out: dict[Hashable, Taken] = {}
        self.paid: OrderedDict[tuple[str, Hashable], tuple[int, int, float]] = OrderedDict()
        self.number = 0
        self.token = 0  # of the holder to which is reported
        self.round_ms = FIRST_ROUND_MS
        self.strange: set[int] = set()  # slices that nobody here asked for: they go back

    # --- calls ---

    def take(
        self, project: str, function: str, call: Hashable, key: Hashable | None, now: float
    ) -> Taken | Empty | Unknown:
        """`call` is new. A repeat of a keyed call is set aside for no more than what was not paid yet."""
        p = self.project(project)
        if p is None:
            return Empty(project, "full", 0.0)
        wanted = self.estimates.of(function)
        p.need = max(wanted, p.need - p.need // 16)
        if key is not None:
            wanted = max(0, wanted - sum(self.covered(project, key, now)))
        p.rate = p.rate * exp(-max(0.0, now - p.seen) / RATE_MS) + wanted / RATE_MS
        p.seen = now
        parts = self.parts(p, wanted, now)
        if parts is None:
            return self.refusal(p, now)
        for id, amount in parts.items():
            p.slices[id].taken += amount
        if key is not None:
            paid, aside = self.covered(project, key, now)
            self.keep(project, key, paid, aside + wanted, now)
        p.out += 1
        self.out[call] = Taken(project, function, key, parts)
        return self.out[call]

    def project(self, name: str) -> Project | None:
        if name not in self.projects:
            if len(self.projects) >= MOST_PROJECTS:
                idle = next((n for n, p in self.projects.items() if p.idle()), None)
                if idle is None:
                    return None
                del self.projects[idle]
            self.projects[name] = Project()
        return self.projects[name]

    def covered(self, project: str, key: Hashable, now: float) -> tuple[int, int]:
        """What was paid for the key, and what is set aside for its tries that are out. All in all a key is
        charged what its dearest try took."""
        while self.paid and now - next(iter(self.paid.values()))[2] > self.key_ms:
            self.paid.popitem(last=False)
        return self.paid.get((project, key), (0, 0, 0.0))[:2]

    def keep(self, project: str, key: Hashable, paid: int, aside: int, now: float) -> None:
        self.paid.pop((project, key), None)
        self.paid[project, key] = paid, max(0, aside), now
        if len(self.paid) > MOST_KEYS:
            self.paid.popitem(last=False)

    def parts(self, p: Project, wanted: int, now: float) -> dict[int, int] | None:
        """Of the slices that end first; None where they don't hold that much."""
        parts = dict[int, int]()
        for id, held in sorted(p.slices.items(), key=lambda each: each[1].until):
            if wanted and now < held.until and (most := min(wanted, held.room())) > 0:
                parts[id] = most
                wanted -= most
        return None if wanted else parts

    def refusal(self, p: Project, now: float) -> Empty | Unknown:
        """The back-off is spread by up to a tenth, so that not all come at once after a refill."""
        if p.dry is None or (p.dry.refill_ms and now >= p.refill):
            return Unknown()
        wait = max(0.0, p.refill - now) * (1 + 0.1 * self.rng.random())
        return Empty(p.dry.at, p.dry.code, min(wait, self.most_backoff))

    def settle(self, call: Hashable, took: int, now: float) -> int:
        """The tokens charged. A call that is not out, or was settled, is charged nothing."""
        taken = self.out.pop(call, None)
        if taken is None:
            return 0
        p = self.projects[taken.project]
        p.out -= 1
        if took > 0:
            self.estimates.learn(taken.function, took)
        due = took
        if taken.key is not None:
            paid, aside = self.covered(taken.project, taken.key, now)
            due = max(0, took - paid)
            self.keep(taken.project, taken.key, paid + due, aside - sum(taken.parts.values()), now)
        charged = 0
        for id, amount in taken.parts.items():
            part = min(amount, due - charged)
            p.slices[id].taken -= amount
            p.slices[id].spent += part
            charged += part
        p.owed += due - charged
        return charged + self.pay(p)

    def pay(self, p: Project) -> int:
        """What is owed, out of what is open: a slice whose time is over holds it until its last word."""
        paid = 0
        for held in p.slices.values():
            part = min(p.owed, held.room())
            held.spent, p.owed, paid = held.spent + part, p.owed - part, paid + part
        return paid

    # --- the holder's answers ---

    def follow(self, token: int) -> None:
        """The duty is held under that token by now: reports go there."""
        self.token = max(self.token, token)

    def heard(self, answer: Answer, now: float) -> None:
        if (answer.invoker, answer.life) != (self.invoker, self.life):
            return
        if isinstance(answer, Ack):
            self.acknowledged(answer)
            return
        self.follow(answer.token)
        p = self.projects.get(answer.node)
        mine = p is not None and p.asked is not None and p.asked[0] == answer.ask
        if isinstance(answer, Dry):
            if p is not None and mine:
                p.asked, p.dry = None, answer
                p.again = now + answer.again_ms + self.sizes.least_ms * self.rng.random()
                p.refill = now + answer.refill_ms if answer.refill_ms else float("-inf")
            return
        if answer.slice in self.slices:
            return  # guards against a mark of a holder that was never told of this slice
        if p is None or p.asked is None or not mine:
            self.strange.add(answer.slice)
            return
        self.round_ms += 0.2 * (now - p.asked[2] - self.round_ms)
        self.slices[answer.slice] = answer.node
        p.slices[answer.slice] = Held(answer.amount, p.asked[1] + answer.ms, answer.opened, answer.opened)
        p.asked = p.dry = None
        self.pay(p)

    def acknowledged(self, ack: Ack) -> None:
        if ack.over:
            self.strange.discard(ack.slice)
        name = self.slices.get(ack.slice)
        if name is None:
            return
        held = self.projects[name].slices[ack.slice]
        if not ack.over:
            held.mark = max(held.mark, min(ack.mark, held.wanted))
        elif not held.taken:
            del self.projects[name].slices[ack.slice], self.slices[ack.slice]
        else:
            held.done, held.until = True, float("-inf")

    # --- what is said ---

    def turn(self, now: float) -> list[Ask | Report]:
        """Asks are sent to the holder, whoever it is; reports to that of their token."""
        out: list[Ask | Report] = []
        rows = [Row(id, 0, 0, done=True) for id in sorted(self.strange)]
        quiet = now - 10 * RATE_MS
        for name in [n for n, p in self.projects.items() if p.seen < quiet and p.idle()]:
            del self.projects[name]
        for name, p in self.projects.items():
            if (ask := self.wish(name, p, now)) is not None:
                out.append(ask)
            rows += [row for id, held in p.slices.items() if (row := self.row(id, held, p, now)) is not None]
        if rows:
            out.append(Report(self.invoker, self.life, self.token, tuple(rows)))
        return out

    def wish(self, name: str, p: Project, now: float) -> Ask | None:
        """Asked for in time: before what is left runs out, or its time."""
        if p.asked is not None and now - p.asked[1] > self.sizes.least_ms:
            p.asked = None  # what comes for it now ends too soon
        if p.asked is None:
            rate = p.rate * exp(-max(0.0, now - p.seen) / RATE_MS)
            ahead = now + 2 * self.round_ms
            left = sum(h.amount - h.taken - h.spent for h in p.slices.values() if h.until > ahead)
            wanted = rate * RATE_MS >= 1 or p.owed > 0
            if not wanted or now < p.again or left - p.owed > self.sizes.reorder(rate, self.round_ms, p.need):
                return None
            self.number += 1
            p.asked = self.number, now, now
        elif now - p.asked[2] < self.sizes.retry_ms:
            return None
        p.asked = p.asked[0], p.asked[1], now
        return Ask(name, self.invoker, self.life, p.asked[0], p.rate, p.need + p.owed)

    def row(self, id: int, held: Held, p: Project, now: float) -> Row | None:
        """Each `report_ms`, and at once when more has to be open or all is done."""
        done = not held.taken and (held.done or now >= held.until or held.spent == held.amount)
        held.done = held.done or done
        used = held.taken + held.spent
        ahead = self.sizes.ahead(p.rate, p.need)
        if now < held.until and used + ahead > held.wanted:
            held.wanted = min(held.amount, max(held.wanted, used + ahead))
        urgent = done or (held.wanted > held.mark and 2 * held.room() < ahead)
        if now - held.told < (self.sizes.retry_ms if urgent else self.sizes.report_ms):
            return None
        held.told = now
        return Row(id, held.spent, held.wanted, done)
