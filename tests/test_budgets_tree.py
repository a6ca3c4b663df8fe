"""The tree of budgets against plain counts: whatever is asked of it, what is held, spent and free sums up."""

from __future__ import annotations

import copy

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from harrieryoke.budgets.decide import commands as c
from harrieryoke.budgets.decide.commands import Terms
from harrieryoke.budgets.decide.tree import Node, Tree, decode, encode
from harrieryoke.budgets.decide.turn import turn

from .budget_world import check_tree

NAMES = ["r", "a", "b", "c", "d", "e", "f"]
START = (("a", "r", 200, 190, 70), ("b", "r", 200, 150, 40), ("c", "a", 90, 90, 40), ("d", "a", 90, 90, 20))
names, amounts = st.sampled_from(NAMES), st.integers(1, 120)


def plain_keep(tree: Tree, node: Node, more: dict[str, int]) -> int:
    """What is kept for the node, with `more` held; raises where a hard node has too little."""
    kids = [tree.nodes[id] for id in tree.kids[node.id]]
    kept = sum(plain_keep(tree, kid, more) for kid in kids)
    used = sum(n.own_held + n.own_spent + more.get(n.id, 0) for _, n in tree.below(node))
    if not node.terms.soft and node.given - used < kept:
        raise OverflowError(node.id)
    return max(0, min(node.terms.minimum, node.given) - used, kept)


def fits(tree: Tree, node: Node, amount: int) -> bool:
    try:
        plain_keep(tree, tree.nodes[tree.root], {node.id: amount})
    except OverflowError:
        return False
    return True


class Trees(RuleBasedStateMachine):
    """The plain model: for each node the tokens that were set aside and spent there, from the calls alone."""

    start: tuple[tuple[str, str, int, int, int], ...] = START

    def __init__(self) -> None:
        super().__init__()
        self.tree, self.index = Tree("r", ("boss",)), 0
        self.held: dict[str, int] = {}
        self.spent: dict[str, int] = {}
        self.change(c.Delegate("r", 500))
        self.change(c.Set("r", Terms(refill=400, carry=100)))
        for name, parent, given, refill, minimum in self.start:
            self.change(c.Open(name, parent))
            self.change(c.Delegate(name, given))
            self.change(c.Set(name, Terms(refill, 40, minimum)))

    def change(self, do: c.Command) -> c.Refused | None:
        self.index += 1
        before = (self.tree.state(), copy.deepcopy(self.tree.kids))
        dumped = copy.deepcopy(before)
        subject = self.tree.nodes.get(do.parent if isinstance(do, c.Open) else do.node)
        version = subject.version if subject is not None else 0
        entry = c.Change("boss", 1, "a test", version, do)
        assert decode(encode(entry)) == entry
        bad = self.tree.apply(self.index, entry)
        if bad is not None:
            assert (self.tree.state(), self.tree.kids) == dumped, f"{bad} changed something"
            assert bad.node is not None and bad.code and bad.action
        return bad

    @rule(node=names, parent=names)
    def opens(self, node: str, parent: str) -> None:
        self.change(c.Open(node, parent))

    @rule(node=names, amount=amounts, back=st.booleans())
    def gives(self, node: str, amount: int, back: bool) -> None:
        self.change(c.TakeBack(node, amount) if back else c.Delegate(node, amount))

    @rule(
        node=names,
        refill=st.integers(0, 200),
        carry=st.integers(0, 60),
        minimum=st.integers(0, 60),
        overcommit=st.sampled_from([1000, 1000, 1500, 3000]),
        soft=st.booleans(),
    )
    def sets(self, node: str, refill: int, carry: int, minimum: int, overcommit: int, soft: bool) -> None:
        self.change(c.Set(node, Terms(refill, carry, minimum, overcommit, soft)))

    @rule(node=names, to=names)
    def moves(self, node: str, to: str) -> None:
        self.change(c.Move(node, to))

    @rule(node=st.sampled_from("abcd"), of=st.sampled_from("abcd"), most=amounts, amount=amounts)
    def borrows(self, node: str, of: str, most: int, amount: int) -> None:
        self.change(c.Lend(of, most))
        self.change(c.Borrow(node, of, amount))

    @rule(node=st.sampled_from("abcd"), of=st.sampled_from("abcd"), amount=st.integers(1, 30))
    def repays(self, node: str, of: str, amount: int) -> None:
        self.borrows(node, of, 100, 2 * amount)
        self.change(c.Repay(node, amount))

    @rule(node=names, on=st.integers(0, 3), close=st.integers(0, 9))
    def stops(self, node: str, on: int, close: int) -> None:
        self.change(c.Close(node) if close == 0 else c.Suspend(node, on == 0))

    @rule(node=st.sampled_from("bcd") | names, amount=amounts, all=st.booleans())
    def holds(self, node: str, amount: int, all: bool) -> None:
        at = self.tree.nodes.get(node)
        if at is None or self.tree.barred(at) is not None:
            return
        room, where = self.tree.room(at)
        if room < c.MOST_TOKENS:
            assert fits(self.tree, at, room) and not fits(self.tree, at, room + 1), (room, where.id)
        assert room >= min(at.terms.minimum, at.given) - at.held - at.spent
        bad = self.tree.hold(at, room if all and room < 10**6 else amount)
        if bad is None:
            self.held[node] = self.held.get(node, 0) + (room if all and room < 10**6 else amount)

    @rule(node=st.sampled_from("bcd"), amount=amounts, n=st.integers(0, 5), back=st.integers(1, 40))
    def is_taken_back_while_it_is_out(self, node: str, amount: int, n: int, back: int) -> None:
        self.holds(node, amount, True)
        self.change(c.TakeBack(node, amount))
        self.settles(n, amount % 7, back)

    @rule(n=st.integers(0, 5), spent=st.integers(0, 40), back=st.integers(1, 40))
    def settles(self, n: int, spent: int, back: int) -> None:
        if not (out := sorted(id for id, held in self.held.items() if held)):
            return
        node = out[n % len(out)]
        spent = min(spent, self.held[node])
        back = min(back, self.held[node] - spent)
        if spent or back:
            self.tree.settle(self.tree.nodes[node], spent, back)
            self.held[node] -= spent + back
            self.spent[node] = self.spent.get(node, 0) + spent

    @rule()
    def turns(self) -> None:
        root = self.tree.nodes["r"]
        most = root.held + root.terms.refill + min(root.terms.carry, root.free())
        assert turn(self.tree, self.tree.period + 1) is None and turn(self.tree, self.tree.period) is not None
        assert root.given == most
        self.spent.clear()
        for node in self.tree.nodes.values():
            full = not any(n.terms.soft or n.loans or n.lent for n in self.tree.path(node))
            if full and not node.closed:
                assert node.free() >= node.terms.minimum
        self.held = {n: held for n, held in self.held.items() if held}
        self.tree.restore(self.tree.state())

    @invariant()
    def all_sums_up(self) -> None:
        check_tree(self.tree)
        for node in self.tree.nodes.values():
            below = [n.id for _, n in self.tree.below(node)]
            assert node.held == sum(self.held.get(n, 0) for n in below)
            assert node.spent == sum(self.spent.get(n, 0) for n in below)
            assert sum(1 for _ in self.tree.path(node)) <= c.MOST_DEPTH


TestTrees = Trees.TestCase
TestTrees.settings = settings(max_examples=120, stateful_step_count=40, deadline=None, derandomize=True)


# --- one of each ---


class Bare(Trees):
    start = tuple((name, parent, 0, 0, 0) for name, parent, *_ in START)


def code(bad: c.Refused | None) -> str:
    return bad.code if bad is not None else ""


def test_rights_end_at_the_own_node() -> None:
    t = Bare()
    assert t.change(c.Appoint("a", ("ann",))) is None

    def by_ann(do: c.Command) -> str:
        name = do.parent if isinstance(do, c.Open) else do.node
        t.index += 1
        return code(t.tree.apply(t.index, c.Change("ann", 1, "why", t.tree.nodes[name].version, do)))

    t.change(c.Delegate("a", 100))
    assert (
        by_ann(c.Delegate("c", 60)) == "" and by_ann(c.Open("x", "a")) == "" and by_ann(c.Lend("a", 9)) == ""
    )
    for do in (
        c.Delegate("a", 1),
        c.Set("a", Terms()),
        c.Close("a"),
        c.Delegate("b", 1),
        c.Open("y", "r"),
        c.Move("c", "b"),
        c.Appoint("a", ("eve",)),
        c.Delegate("r", 1),
    ):
        assert by_ann(do) == "no-right"


def test_a_stale_change_is_refused_not_merged() -> None:
    t = Bare()
    seen = t.tree.nodes["c"].version
    assert t.change(c.Suspend("c", True)) is None
    bad = t.tree.apply(99, c.Change("boss", 1, "why", seen, c.Suspend("c", False)))
    assert code(bad) == "stale" and bad is not None and bad.node == "c"
    assert (
        code(t.tree.apply(99, c.Change("boss", 1, " ", t.tree.nodes["c"].version, c.Close("c"))))
        == "unexplained"
    )
    assert (t.tree.nodes["c"].who, t.tree.nodes["c"].at, t.tree.nodes["c"].why) == ("boss", 1, "a test")


def test_depth_and_circles() -> None:
    t = Bare()
    for n in range(5):
        assert t.change(c.Open(f"n{n}", f"n{n - 1}" if n else "c")) is None
    assert code(t.change(c.Open("z", "n4"))) == "too-deep"
    assert code(t.change(c.Move("a", "n3"))) == "circle" and code(t.change(c.Move("a", "b"))) == "too-deep"
    assert code(t.change(c.Move("n0", "r"))) == "" and code(t.change(c.Move("r", "b"))) == "circle"


def test_what_is_out_when_it_is_taken_back_goes_back_unspent() -> None:
    t = Bare()
    t.change(c.Delegate("b", 100))
    b = t.tree.nodes["b"]
    assert t.tree.hold(b, 80) is None
    assert code(t.change(c.TakeBack("b", 101))) == "in-use"
    assert t.change(c.TakeBack("b", 70)) is None and (b.given, b.recall, b.free()) == (80, 50, 0)
    t.tree.settle(b, 10, 30)
    assert (b.given, b.recall) == (50, 20)
    t.tree.settle(b, 15, 25)
    assert (b.given, b.recall, b.free(), b.spent) == (30, 0, 5, 25)


def test_a_minimum_is_kept_from_siblings_and_soft_ones() -> None:
    t = Bare()
    t.change(c.Set("r", Terms(refill=400, overcommit=2000)))
    t.change(c.Delegate("a", 400))
    t.change(c.Delegate("b", 400))
    assert t.change(c.Set("a", Terms(refill=100, minimum=80))) is None
    assert t.change(c.Set("c", Terms(refill=100, minimum=50))) is None
    t.change(c.Set("b", Terms(soft=True)))
    b, d = t.tree.nodes["b"], t.tree.nodes["d"]
    t.change(c.Delegate("c", 100))
    t.change(c.Delegate("d", 300))
    assert t.tree.room(b) == (420, t.tree.nodes["r"])
    assert t.tree.hold(d, 40) is None and t.tree.room(b)[0] == 500 - 40 - 50
    assert t.tree.hold(b, 410) is None and t.tree.room(d) == (0, t.tree.nodes["r"])
    assert t.tree.room(t.tree.nodes["c"])[0] == 50


def test_loans_are_returned_oldest_first_at_the_turn() -> None:
    t = Bare()
    t.change(c.Open("e", "r"))
    for name in "abe":
        t.change(c.Delegate(name, 100))
        t.change(c.Set(name, Terms(refill=60, minimum=10)))
        t.change(c.Lend(name, 50))
    assert code(t.change(c.Borrow("e", "b", 51))) == "lends"
    assert t.change(c.Borrow("e", "b", 30)) is None and t.change(c.Borrow("e", "a", 40)) is None
    assert (t.tree.nodes["b"].given, t.tree.nodes["a"].given) == (70, 60)
    e = t.tree.nodes["e"]
    assert (
        e.given == 170
        and code(t.change(c.Close("e"))) == "loans"
        and code(t.change(c.Move("b", "a"))) == "loans"
    )
    t.tree.hold(e, 170)
    assert code(t.change(c.Repay("e", 1))) == "amount"
    t.tree.settle(e, 165, 5)
    assert t.change(c.Repay("e", 5)) is None and [(loan.of, loan.amount) for loan in e.loans] == [
        ("b", 25),
        ("a", 40),
    ]
    turn(t.tree, 1)
    assert [(loan.of, loan.amount) for loan in e.loans] == [("a", 15)] and e.given == 10
    assert t.tree.nodes["b"].given == 85 and t.tree.nodes["a"].given == 85


def test_a_move_takes_along_what_is_held_and_spent() -> None:
    t = Bare()
    t.change(c.Delegate("a", 100))
    t.change(c.Delegate("c", 60))
    node = t.tree.nodes["c"]
    t.tree.hold(node, 40)
    t.tree.settle(node, 15, 5)
    assert code(t.change(c.Move("c", "b"))) == "short"  # nothing is free there
    t.change(c.Delegate("b", 100))
    assert t.change(c.Move("c", "b")) is None
    check_tree(t.tree)
    a, b = t.tree.nodes["a"], t.tree.nodes["b"]
    assert (a.held, a.spent, a.free(), b.held, b.spent, b.free()) == (0, 0, 100, 20, 15, 65)


def test_a_minimum_that_is_not_free_any_more_is_refused() -> None:
    t = Bare()
    t.change(c.Set("r", Terms(refill=400, overcommit=2000)))
    t.change(c.Delegate("a", 400))
    t.change(c.Delegate("b", 400))
    t.tree.hold(t.tree.nodes["b"], 400)
    assert code(t.change(c.Set("a", Terms(refill=150, minimum=150)))) == "short"
    assert t.change(c.Set("a", Terms(refill=150, minimum=100))) is None
