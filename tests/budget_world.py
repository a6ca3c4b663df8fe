"""Spenders, holders and an agreed log on one clock, with what breaks between them. What is checked: nothing
that was spent or is set aside of a slice has come back; all of it is held or spent in the agreed tree; the
tree's own rules hold.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush

from harrieryoke.budgets.decide import commands as c
from harrieryoke.budgets.decide.messages import Answer, Ask, Report
from harrieryoke.budgets.decide.sizes import Sizes
from harrieryoke.budgets.decide.slices import Budgets, Giver
from harrieryoke.budgets.decide.spender import Spender, Taken
from harrieryoke.budgets.decide.tree import Node, Tree
from harrieryoke.core.timing_wheel import TimingWheel


def keep(tree: Tree, node: Node) -> int:
    """Plainly, from what is at each node alone; and checks the rules on the way."""
    kids = [tree.nodes[id] for id in tree.kids[node.id]]
    kept = sum(keep(tree, kid) for kid in kids)
    held, spent = node.own_held + sum(k.held for k in kids), node.own_spent + sum(k.spent for k in kids)
    assert (node.held, node.spent, node.reserved) == (held, spent, kept), f"sums of {node.id}"
    assert node.parts == sum(k.given for k in kids), f"parts of {node.id}"
    assert min(node.given, node.own_held, node.own_spent, node.lent) >= 0, node.id
    assert 0 <= node.recall <= node.held, node.id
    assert node.lent == sum(
        loan.amount for other in tree.nodes.values() for loan in other.loans if loan.of == node.id
    )
    if not node.terms.soft:
        assert node.given - held - spent >= kept, f"{node.id} uses more than it has"
    if kids and not node.closed:
        assert node.parts <= max(0, node.for_parts()), f"{node.id} gave more than it has"
    return max(0, min(node.terms.minimum, node.given) - held - spent, kept)


def check_tree(tree: Tree) -> None:
    root = tree.nodes[tree.root]
    keep(tree, root)
    plain = [n for n in tree.nodes.values() if n.terms.soft or n.terms.overcommit > c.WHOLE or n.closed]
    if not plain:  # each token lies at one node: held, spent and free sum to what was given
        lies = [n.given - n.parts for n in tree.nodes.values()]
        assert sum(lies) == root.given and min(lies) >= 0


@dataclass
class Member:
    name: str
    rate: float
    origin: float
    spender: Spender
    life: int = 1
    stalled: float = 0.0


@dataclass
class Parts:
    """Tests plant faults here."""

    spender: type[Spender] = Spender
    giver: type[Giver] = Giver
    budgets: type[Budgets] = Budgets


class World:
    """`send` puts a message on the wire; who drives the world takes it off: see `Timed`, or a test that
    takes any of them in any order, twice or not at all."""

    def __init__(
        self,
        seed: int,
        names: Iterable[str],
        projects: dict[str, int],
        sizes: Sizes | None = None,
        parts: Parts | None = None,
        drift: float = 0.01,
    ) -> None:
        self.rng, self.parts, self.sizes = random.Random(seed), parts or Parts(), sizes or Sizes()
        self.t, self.index, self.calls, self.life, self.drift = 0.0, 0, 0, 1, drift
        self.wire: list[Callable[[], object]] = []
        self.heap: list[tuple[float, int, Callable[[], object]]] = []
        self.serial, self.cut = 0, set[str]()
        self.log: list[tuple[int, c.Entry]] = []
        self.agreed = self.copy()
        self.copies = [self.copy(), self.copy()]
        self.applied = [0, 0]
        self.past = dict.fromkeys(projects, 0)  # held and spent tokens that turns made history
        self.charged = dict.fromkeys(projects, 0)
        self.stays = dict[int, int]()  # of each slice: what has not come back
        self.lost = dict.fromkeys(projects, 0)  # set aside by those that died
        self.counts = dict.fromkeys(("given", "refused", "taken", "charged", "empty"), 0)
        self.members = {n: self.member(n) for n in names}
        self.givers: list[tuple[int, Giver]] = []
        for name, given in projects.items():
            self.change(c.Delegate("root", given))
            self.change(c.Open(name, "root"))
            self.change(c.Delegate(name, given))
        self.new_holder()

    def copy(self) -> Budgets:
        return self.parts.budgets("root", ("boss",), TimingWheel[int]())

    def member(self, name: str) -> Member:
        rate, origin = self.rng.uniform(1 - self.drift, 1 + self.drift), self.rng.uniform(0, 1e6)
        spender = self.parts.spender(name, 1, self.sizes, self.rng.randrange(1 << 30))
        return Member(name, rate, origin, spender)

    def clock(self, m: Member) -> float:
        return m.origin + self.t * m.rate

    def change(self, do: c.Command) -> c.Refused | None:
        name = do.parent if isinstance(do, c.Open) else do.node
        version = self.agreed.tree.nodes[name].version
        return self.commit(c.Change("boss", 0, "a test", version, do))

    def commit(self, entry: c.Entry) -> c.Refused | None:
        self.index += 1
        self.log.append((self.index, entry))
        before = {p: self.used(p) for p in self.past}
        told = entry.do if isinstance(entry, c.Act) and isinstance(entry.do, c.Told) else None
        s = self.agreed.slices.get(told.slice) if told is not None else None
        bad = self.agreed.apply(self.index, entry, self.t)
        if told is not None and s is not None:
            self.stays[told.slice] = s.amount - s.back
            self.check_slices()
        if isinstance(entry, c.Act) and isinstance(entry.do, c.Turn):
            for p, used in before.items():
                self.past[p] += used - self.used(p)
        if isinstance(entry, c.Act) and isinstance(entry.do, c.Give):
            self.counts["given" if bad is None else "refused"] += 1
            self.stays[self.index] = entry.do.amount if bad is None else 0
        return bad

    def used(self, project: str) -> int:
        node = self.agreed.tree.nodes.get(project)
        return node.own_held + node.own_spent if node is not None else 0

    def catch_up(self, which: int, most: int = 1 << 30) -> None:
        """A copy applies what was agreed; the holder there says what it gave."""
        copy, at = self.copies[which], self.applied[which]
        for index, entry in self.log[at : at + most]:
            bad = copy.apply(index, entry, self.t)
            self.applied[which] += 1
            _, giver = self.givers[-1] if self.givers else (0, None)
            given = bad is None and isinstance(entry, c.Act) and isinstance(entry.do, c.Give)
            if given and giver is not None and giver.budgets is copy and giver.acting():
                self.answer(giver.granted(index))

    def new_holder(self) -> None:
        which = len(self.givers) % 2
        self.index += 1
        self.log.append((self.index, c.Change("", 0, "", 0, c.Close(""))))  # void: the duty's own entry
        self.givers.append((which, self.parts.giver(self.copies[which], self.index, self.sizes)))

    # --- messages ---

    def send(self, do: Callable[[], object], who: str) -> None:
        self.wire.append(do)

    def answer(self, answer: Answer) -> None:
        m = self.members[answer.invoker]
        self.send(lambda: m.spender.heard(answer, self.clock(m)), m.name)

    def offer(self, out: Iterable[c.Act | Answer]) -> None:
        for each in out:
            if isinstance(each, c.Act):
                self.send(partial(self.commit, each), "")
            else:
                self.answer(each)

    def says(self, m: Member) -> None:
        for said in m.spender.turn(self.clock(m)):
            for _, giver in self.givers[-2:]:  # a stale holder hears it too
                self.send(partial(self.hear, giver, said), m.name)

    def hear(self, giver: Giver, said: Ask | Report) -> None:
        self.offer(giver.ask(said, self.t, 1e5) if isinstance(said, Ask) else giver.report(said, self.t))

    def turn_holders(self) -> None:
        for _, giver in self.givers[-2:]:
            self.offer(giver.turn(self.t))

    # --- calls ---

    def take(self, m: Member, project: str, function: str = "f", key: str | None = None) -> int | None:
        """The call's number where it was let through."""
        self.calls += 1
        if not isinstance(m.spender.take(project, function, self.calls, key, self.clock(m)), Taken):
            self.counts["empty"] += 1
            return None
        self.counts["taken"] += 1
        return self.calls

    def settle(self, m: Member, call: int, took: int) -> None:
        taken = m.spender.out.get(call)
        charged = m.spender.settle(call, took, self.clock(m))
        if taken is not None:
            self.charged[taken.project] += charged
            self.counts["charged"] += charged

    def kill(self, m: Member) -> None:
        for taken in m.spender.out.values():
            self.lost[taken.project] += sum(taken.parts.values())
        self.life += 1
        m.life = self.life
        m.spender = self.parts.spender(m.name, m.life, self.sizes, self.rng.randrange(1 << 30))

    def check_slices(self) -> None:
        """Of the living; what the dead took is in `lost`."""
        for m in self.members.values():
            for id, project in m.spender.slices.items():
                held = m.spender.projects[project].slices[id]
                assert held.spent + held.taken <= self.stays[id], f"of slice {id} came back what was spent"

    def check(self) -> None:
        self.check_slices()
        check_tree(self.agreed.tree)
        aside = dict.fromkeys(self.past, 0)
        for m in self.members.values():
            for taken in m.spender.out.values():
                aside[taken.project] += sum(taken.parts.values())
        for p in self.past:
            spent = self.charged[p] + self.lost[p] + aside[p]
            held = self.past[p] + self.used(p)
            assert spent <= held, f"{p}: {spent} tokens were spent, {held} were held for it"


class Timed(World):
    """A schedule of its own: loss, repeats, delays, cuts, deaths, stalls, changes of holder."""

    lossy, twice, late = 0.05, 0.05, 300.0

    def run(self, ms: float, per_s: float, faults: bool) -> None:
        """`per_s`: calls a second at each member."""
        end = self.t + ms
        for m in self.members.values():
            self.at(self.rng.uniform(0, 100), partial(self.live, m, end))
            self.at(self.rng.uniform(0, 1000 / per_s), partial(self.call, m, per_s, end))
        self.at(0, lambda: self.hold(end))
        if faults:
            self.at(self.rng.uniform(0, 2000), lambda: self.breaks(end))
        steps = 0
        while self.heap and self.heap[0][0] <= end:
            self.t, _, do = heappop(self.heap)
            do()
            steps += 1
            if steps % 50 == 0:
                self.check()
        self.t = end
        self.check()

    def at(self, after: float, do: Callable[[], object]) -> None:
        self.serial += 1
        heappush(self.heap, (self.t + after, self.serial, do))

    def send(self, do: Callable[[], object], who: str) -> None:
        for _ in range(1 + (self.rng.random() < self.twice)):
            if self.rng.random() >= self.lossy:
                self.at(self.rng.expovariate(20 / self.late), lambda: self.arrive(do, who))

    def arrive(self, do: Callable[[], object], who: str) -> None:
        m = self.members.get(who)
        if who not in self.cut and (m is None or m.stalled <= self.t):
            do()
        elif m is not None and m.stalled > self.t:
            self.at(m.stalled - self.t + self.rng.random(), lambda: self.arrive(do, who))

    def live(self, m: Member, end: float) -> None:
        if m.stalled <= self.t:
            if m.name not in self.cut:
                m.spender.follow(self.givers[-1][1].token)
            self.says(m)
        if self.t < end:
            self.at(100, lambda: self.live(m, end))

    def hold(self, end: float) -> None:
        for which in range(2):
            self.catch_up(which, self.rng.choice((5, 1000)))
        self.turn_holders()
        if self.t < end:
            self.at(20, lambda: self.hold(end))

    def call(self, m: Member, per_s: float, end: float) -> None:
        if m.stalled <= self.t:
            project = self.rng.choice(list(self.past))
            key = f"k{self.rng.randrange(50)}" if self.rng.random() < 0.3 else None
            call, life = self.take(m, project, f"f{self.rng.randrange(3)}", key), m.life
            if call is not None:
                took = int(self.rng.expovariate(1 / 40)) + 1
                self.at(took, lambda: self.ended(m, life, call, took))
        if self.t < end:
            self.at(self.rng.expovariate(per_s / 1000), lambda: self.call(m, per_s, end))

    def ended(self, m: Member, life: int, call: int, took: int) -> None:
        if m.stalled > self.t:
            self.at(m.stalled - self.t + 1, lambda: self.ended(m, life, call, took))
        elif m.life == life:
            self.settle(m, call, took)
            if self.rng.random() < 0.1:
                self.settle(m, call, took)

    def breaks(self, end: float) -> None:
        m = self.rng.choice(list(self.members.values()))
        what = self.rng.randrange(5)
        lasts = self.rng.choice((500.0, 8000.0, 20000.0))
        if what == 0:
            self.kill(m)
        elif what == 1:
            m.stalled = self.t + lasts
        elif what == 2:
            self.new_holder()
        elif what == 3:
            self.commit(c.Act(self.givers[-1][1].token, c.Turn(self.agreed.tree.period + 1)))
        else:
            self.cut.add(m.name)
            self.at(lasts, lambda: self.cut.discard(m.name))
        if self.t < end:
            self.at(self.rng.uniform(0, 4000), lambda: self.breaks(end))
