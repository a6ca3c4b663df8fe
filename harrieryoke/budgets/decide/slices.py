"""Tree and slices as one agreed state, and the part of the duty's holder that gives slices out.

What is in a slice is held at its node. A slice ends by its invoker's last word, or by the clock: then what
was never opened is free again, and what was opened and is not told as spent is in doubt. It stays held until
a late word, or the period's turn, which counts it as spent. Nothing comes back that may still be spent.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Protocol

import msgspec
from msgspec import Struct

from ...council.decide.lease import Fence, Lease
from . import commands as c
from .commands import Refused
from .messages import Ack, Answer, Ask, Dry, Granted, Report, Row
from .sizes import Sizes
from .tree import State, Tree
from .turn import turn

MOST_SLICES = 100_000
MOST_MS = 3_600_000  # of a slice
MOST_RATE = 1e6  # tokens a millisecond at one invoker; more is taken for a mistake
MOST_ROWS = 1000  # of a report; the rest is passed over, and comes with the next
MOST_ASKERS = 100_000  # nodes and invokers whose demand is known; the one asked longest ago goes first


class Slice(Struct):
    """`token`: under which it was given. `ended`: only a late word changes it."""

    node: str
    invoker: str
    life: int
    ask: int
    amount: int
    opened: int
    ms: int
    token: int
    spent: int = 0
    back: int = 0
    ended: bool = False


class Dump(Struct):
    tree: State
    token: int
    slices: dict[int, Slice]


class Ends(Protocol):
    """The timing wheel, `core.timing_wheel.TimingWheel`."""

    def schedule(self, item: int, at: float) -> None: ...
    def cancel(self, item: int) -> bool: ...
    def expired(self, now: float) -> list[int]: ...


class Budgets:
    """`apply` in the order of the log, with the own monotonic time at which it is applied: the ask for a
    slice was before that, so when its time is over here, by `drift`, it is over at its invoker."""

    def __init__(self, root: str, owners: tuple[str, ...], ends: Ends, drift: float = 0.01) -> None:
        self.tree, self.ends, self.drift = Tree(root, owners), ends, drift
        self.slices: dict[int, Slice] = {}
        self.asks: dict[tuple[str, int, int], int] = {}  # invoker, life, ask: slice
        self.over: set[int] = set()  # by the clock, and not agreed yet
        self.fence = Fence()

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(Dump(self.tree.state(), self.fence.token, self.slices))

    def load(self, data: bytes, now: float) -> None:
        """Raises msgspec.ValidationError for what is no dump. Slices' times count from here: later than they
        would have, never sooner."""
        dump: Dump = msgspec.msgpack.decode(data, type=Dump)
        for id in self.slices:
            self.ends.cancel(id)
        self.tree.restore(dump.tree)
        self.fence, self.slices, self.over = Fence(dump.token), dump.slices, set()
        self.asks = {(s.invoker, s.life, s.ask): id for id, s in self.slices.items()}
        for id, s in self.slices.items():
            if not s.ended:
                self.ends.schedule(id, now + Lease(s.ms, self.drift).expiry_bound_ms())

    def apply(self, index: int, entry: c.Entry, now: float) -> Refused | None:
        """None: done. The index of a `Give` is the number of its slice."""
        if isinstance(entry, c.Change):
            return self.tree.apply(index, entry)
        if not self.fence.admit(entry.token):
            return Refused(self.tree.root, "fenced", "another holds the duty by now; ask that one")
        if isinstance(entry.do, c.Give):
            return self.give(index, entry.do, entry.token, now)
        if isinstance(entry.do, c.Told):
            return self.told(entry.do)
        if isinstance(entry.do, c.Begin):
            return None
        if entry.do.number > self.tree.period:
            for id in [id for id, s in self.slices.items() if s.ended]:
                self.write_off(id)
        return turn(self.tree, entry.do.number)

    def give(self, index: int, do: c.Give, token: int, now: float) -> Refused | None:
        node = self.tree.nodes.get(do.node)
        if node is None:
            return Refused(do.node[: c.MOST_NAME], "unknown", "no such node; look at the tree")
        if not (0 < do.opened <= do.amount and 0 < do.ms <= MOST_MS and len(do.invoker) <= c.MOST_NAME):
            return Refused(node.id, "slice", f"1 <= opened <= amount, 1 to {MOST_MS} ms are wanted")
        if (do.invoker, do.life, do.ask) in self.asks:
            return Refused(node.id, "asked", "there is a slice for that ask")
        if len(self.slices) >= MOST_SLICES:
            ended = next((id for id, s in self.slices.items() if s.ended), None)
            if ended is None:
                return Refused(node.id, "full", f"{MOST_SLICES} slices are out; wait for one to end")
            self.write_off(ended)
        if (bad := self.tree.hold(node, do.amount)) is not None:
            return bad
        made = Slice(do.node, do.invoker, do.life, do.ask, do.amount, do.opened, do.ms, token)
        self.slices[index] = made
        self.asks[do.invoker, do.life, do.ask] = index
        self.ends.schedule(index, now + Lease(do.ms, self.drift).expiry_bound_ms())
        return None

    def told(self, do: c.Told) -> Refused | None:
        s = self.slices.get(do.slice)
        if s is None:
            return Refused(self.tree.root, "unknown", f"slice {do.slice} is settled; there is nothing to do")
        if do.spent < s.spent or do.back < s.back or do.spent + do.back > s.amount:
            return Refused(s.node, "told", f"slice {do.slice}: more was told before; there is nothing to do")
        self.tree.settle(self.tree.nodes[s.node], do.spent - s.spent, do.back - s.back)
        s.spent, s.back, s.ended = do.spent, do.back, s.ended or do.ended
        if s.ended:
            self.ends.cancel(do.slice)
            self.over.discard(do.slice)
        if s.spent + s.back == s.amount:
            self.drop(do.slice)
        return None

    def write_off(self, id: int) -> None:
        """What is in doubt counts as spent."""
        s = self.slices[id]
        self.tree.settle(self.tree.nodes[s.node], s.amount - s.spent - s.back, 0)
        self.drop(id)

    def drop(self, id: int) -> None:
        s = self.slices.pop(id)
        del self.asks[s.invoker, s.life, s.ask]
        self.ends.cancel(id)
        self.over.discard(id)

    def overdue(self, now: float) -> set[int]:
        """Slices of which nothing more can be taken by any clock, and that is not agreed yet."""
        self.over.update(self.ends.expired(now))
        return self.over

    def doubt(self) -> int:
        """Tokens that are held for nobody: opened, not told as spent, and the slice has ended."""
        return sum(s.amount - s.spent - s.back for s in self.slices.values() if s.ended)


class Giver:
    """The duty's holder, for as long as it has that token. What it returns as `Act` is offered to the log,
    where it may get lost; answers go to their invokers. It says nothing before its `Begin` is applied, nor
    after a newer holder's."""

    def __init__(self, budgets: Budgets, token: int, sizes: Sizes) -> None:
        self.budgets, self.token, self.sizes = budgets, token, sizes
        self.rates: dict[tuple[str, str], tuple[float, float]] = {}  # node, invoker: tokens a ms, told when
        self.askers: dict[str, set[str]] = {}  # by node
        self.marks: dict[int, int] = {}  # what was opened, as far as this holder was told
        self.spent: dict[int, int] = {}
        self.offered: dict[Hashable, float] = {}  # what may be on its way into the log, and since when

    def acting(self) -> bool:
        return self.budgets.fence.token == self.token

    def offer(self, key: Hashable, do: c.Begin | c.Give | c.Told, now: float) -> list[c.Act]:
        """Not again before it may be taken for lost."""
        if now - self.offered.get(key, float("-inf")) < self.sizes.retry_ms:
            return []
        self.offered[key] = now
        return [c.Act(self.token, do)]

    def ask(self, ask: Ask, now: float, refill_ms: float = 0.0) -> list[c.Act | Answer]:
        """`refill_ms`: until the next period, 0 where there is none."""
        if not self.acting():
            return []
        id = self.budgets.asks.get((ask.invoker, ask.life, ask.number))
        if id is not None:
            return [self.granted(id)]
        tree = self.budgets.tree
        node = tree.nodes.get(ask.node)
        if node is None:
            return [self.dry(ask, ask.node, "unknown", self.sizes.most_ms)]
        if (bad := tree.barred(node)) is not None:
            return [self.dry(ask, bad.node, bad.code, self.sizes.most_ms)]
        rate = ask.rate if 0 <= ask.rate < MOST_RATE else 0.0  # guards against what is no number, too
        rates = self.demand(ask, rate, now)
        free, where = tree.room(node)
        need = max(1, ask.need)
        amount, opened, ms = self.sizes.slice(free, rate, rates, need)
        if not amount:
            again = self.sizes.least_ms if where.held or not refill_ms else refill_ms
            refill = refill_ms if where.terms.refill else 0.0
            return [self.dry(ask, where.id, "empty", again, refill)]
        do = c.Give(ask.node, ask.invoker, ask.life, ask.number, amount, opened, ms)
        return [*self.offer((ask.invoker, ask.life, ask.number), do, now)]

    def dry(self, ask: Ask, at: str, code: str, again: float, refill: float = 0.0) -> Dry:
        return Dry(ask.invoker, ask.life, self.token, ask.node, ask.number, at, code, again, refill)

    def granted(self, id: int) -> Granted:
        """To be said when the slice was applied, and to whoever asks again. An invoker that has the slice
        takes no notice: a mark is raised by `Ack` alone."""
        s = self.budgets.slices[id]
        return Granted(s.invoker, s.life, self.token, id, s.node, s.ask, s.amount, self.mark(id, s), s.ms)

    def demand(self, ask: Ask, rate: float, now: float) -> float:
        """Of all that lately asked for tokens of the node, this one with them."""
        at = (ask.node, ask.invoker)
        self.rates.pop(at, None)
        self.rates[at] = rate, now
        self.askers.setdefault(ask.node, set()).add(ask.invoker)
        while len(self.rates) > MOST_ASKERS:
            self.forget(next(iter(self.rates)))
        old = now - 2 * self.sizes.most_ms
        for invoker in [i for i in self.askers[ask.node] if self.rates[ask.node, i][1] < old]:
            self.forget((ask.node, invoker))
        return sum(self.rates[ask.node, invoker][0] for invoker in self.askers[ask.node])

    def forget(self, at: tuple[str, str]) -> None:
        del self.rates[at]
        self.askers[at[0]].discard(at[1])
        if not self.askers[at[0]]:
            del self.askers[at[0]]

    def mark(self, id: int, s: Slice) -> int:
        """Beyond this nothing of it can have been taken. A slice that another holder gave may have been
        opened further than the log says: all of it, until its invoker reports to this one."""
        return self.marks.get(id, s.opened if s.token == self.token else s.amount)

    def report(self, report: Report, now: float) -> list[c.Act | Answer]:
        out: list[c.Act | Answer] = []
        if report.token != self.token or not self.acting():
            return out
        for row in report.rows[:MOST_ROWS]:
            s = self.budgets.slices.get(row.slice)
            if s is None or (s.invoker, s.life) != (report.invoker, report.life):
                out.append(Ack(report.invoker, report.life, row.slice, 0, over=True))
            elif row.done:
                do = c.Told(row.slice, row.spent, s.amount - row.spent, ended=True)
                out += self.offer((row.slice, "done"), do, now)
            elif not s.ended and row.slice not in self.budgets.over:
                out.append(self.open(row, s, report))
        return out

    def open(self, row: Row, s: Slice, report: Report) -> Ack:
        opened = s.opened if s.token == self.token else 0
        mark = min(s.amount, max(row.mark, self.marks.get(row.slice, opened)))
        self.marks[row.slice] = mark
        self.spent[row.slice] = max(min(row.spent, mark), self.spent.get(row.slice, 0))
        return Ack(report.invoker, report.life, row.slice, mark)

    def turn(self, now: float) -> list[c.Act]:
        """At least once in `retry_ms`: the ends of slices whose time is over."""
        if not self.acting():
            newer = self.budgets.fence.token > self.token
            return [] if newer else self.offer("begin", c.Begin(), now)
        out: list[c.Act] = []
        for id in sorted(self.budgets.overdue(now)):
            s = self.budgets.slices[id]
            spent = max(s.spent, self.spent.get(id, 0))
            do = c.Told(id, spent, max(s.back, s.amount - max(spent, self.mark(id, s))), ended=True)
            out += self.offer((id, "over"), do, now)
        for kept in (self.marks, self.spent):
            for id in [id for id in kept if id not in self.budgets.slices]:
                del kept[id]
        old = now - 2 * self.sizes.retry_ms
        self.offered = {key: at for key, at in self.offered.items() if at > old}
        return out
