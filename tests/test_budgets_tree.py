"""The budget tree against a plain model: after any commands, held, spent and free tokens add up."""

from __future__ import annotations

import copy

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from harrieryoke.budgets.decide import commands as c
from harrieryoke.budgets.decide.commands import QuotaTerms
from harrieryoke.budgets.decide.tree import Node, Tree, decode, encode
from harrieryoke.budgets.decide.turn import start_period

from .budget_world import check_tree

NAMES = ["r", "a", "b", "c", "d", "e", "f"]
INITIAL_NODES = (
    ("a", "r", 200, 190, 70),
    ("b", "r", 200, 150, 40),
    ("c", "a", 90, 90, 40),
    ("d", "a", 90, 90, 20),
)
names, amounts = st.sampled_from(NAMES), st.integers(1, 120)


def model_reserved(tree: Tree, node: Node, more: dict[str, int]) -> int:
    """Returns what is reserved for the node with `more` tokens held; raises where a hard node has too few."""
    children = [tree.nodes[child_id] for child_id in tree.children[node.id]]
    reserved = sum(model_reserved(tree, child, more) for child in children)
    used = sum(n.own_held + n.own_spent + more.get(n.id, 0) for _, n in tree.subtree(node))
    if not node.terms.soft and node.ceiling - used < reserved:
        raise OverflowError(node.id)
    return max(0, min(node.terms.minimum, node.ceiling) - used, reserved)


def fits(tree: Tree, node: Node, amount: int) -> bool:
    try:
        model_reserved(tree, tree.nodes[tree.root], {node.id: amount})
    except OverflowError:
        return False
    return True


class TreeMachine(RuleBasedStateMachine):
    """The model counts the tokens held and spent at each node from the calls alone."""

    start: tuple[tuple[str, str, int, int, int], ...] = INITIAL_NODES

    def __init__(self) -> None:
        super().__init__()
        self.tree, self.index = Tree("r", ("boss",)), 0
        self.held: dict[str, int] = {}
        self.spent: dict[str, int] = {}
        self.submit(c.DelegateQuota("r", 500))
        self.submit(c.SetTerms("r", QuotaTerms(refill=400, carry=100)))
        for name, parent, given, refill, minimum in self.start:
            self.submit(c.OpenNode(name, parent))
            self.submit(c.DelegateQuota(name, given))
            self.submit(c.SetTerms(name, QuotaTerms(refill, 40, minimum)))

    def submit(self, command: c.AdminCommand) -> c.Rejection | None:
        self.index += 1
        before = (self.tree.state(), copy.deepcopy(self.tree.children))
        expected = copy.deepcopy(before)
        subject = self.tree.nodes.get(command.parent if isinstance(command, c.OpenNode) else command.node)
        version = subject.version if subject is not None else 0
        entry = c.AdminChange("boss", 1, "a test", version, command)
        assert decode(encode(entry)) == entry
        rejection = self.tree.apply(self.index, entry)
        if rejection is not None:
            assert (self.tree.state(), self.tree.children) == expected, f"{rejection} changed something"
            assert rejection.node is not None and rejection.code and rejection.action
        return rejection

    @rule(node=names, parent=names)
    def opens_a_node(self, node: str, parent: str) -> None:
        self.submit(c.OpenNode(node, parent))

    @rule(node=names, amount=amounts, reclaim=st.booleans())
    def delegates_or_reclaims(self, node: str, amount: int, reclaim: bool) -> None:
        self.submit(c.ReclaimQuota(node, amount) if reclaim else c.DelegateQuota(node, amount))

    @rule(
        node=names,
        refill=st.integers(0, 200),
        carry=st.integers(0, 60),
        minimum=st.integers(0, 60),
        overcommit=st.sampled_from([1000, 1000, 1500, 3000]),
        soft=st.booleans(),
    )
    def sets_terms(
        self, node: str, refill: int, carry: int, minimum: int, overcommit: int, soft: bool
    ) -> None:
        self.submit(c.SetTerms(node, QuotaTerms(refill, carry, minimum, overcommit, soft)))

    @rule(node=names, new_parent=names)
    def moves_a_node(self, node: str, new_parent: str) -> None:
        self.submit(c.MoveNode(node, new_parent))

    @rule(node=st.sampled_from("abcd"), lender=st.sampled_from("abcd"), limit=amounts, amount=amounts)
    def borrows(self, node: str, lender: str, limit: int, amount: int) -> None:
        self.submit(c.OfferLoans(lender, limit))
        self.submit(c.BorrowQuota(node, lender, amount))

    @rule(node=st.sampled_from("abcd"), lender=st.sampled_from("abcd"), amount=st.integers(1, 30))
    def repays(self, node: str, lender: str, amount: int) -> None:
        self.borrows(node, lender, 100, 2 * amount)
        self.submit(c.RepayLoans(node, amount))

    @rule(node=names, suspend=st.integers(0, 3), close=st.integers(0, 9))
    def suspends_or_closes(self, node: str, suspend: int, close: int) -> None:
        self.submit(c.CloseNode(node) if close == 0 else c.SuspendNode(node, suspend == 0))

    @rule(node=st.sampled_from("bcd") | names, amount=amounts, use_all=st.booleans())
    def holds_tokens(self, node: str, amount: int, use_all: bool) -> None:
        tree_node = self.tree.nodes.get(node)
        if tree_node is None or self.tree.grant_rejection(tree_node) is not None:
            return
        available, limiting_node = self.tree.available(tree_node)
        if available < c.MAX_TOKENS:
            assert fits(self.tree, tree_node, available) and not fits(self.tree, tree_node, available + 1), (
                available,
                limiting_node.id,
            )
        assert available >= min(tree_node.terms.minimum, tree_node.ceiling) - tree_node.held - tree_node.spent
        rejection = self.tree.hold(tree_node, available if use_all and available < 10**6 else amount)
        if rejection is None:
            self.held[node] = self.held.get(node, 0) + (
                available if use_all and available < 10**6 else amount
            )

    @rule(node=st.sampled_from("bcd"), amount=amounts, n=st.integers(0, 5), returned=st.integers(1, 40))
    def reclaims_held_tokens(self, node: str, amount: int, n: int, returned: int) -> None:
        self.holds_tokens(node, amount, True)
        self.submit(c.ReclaimQuota(node, amount))
        self.settles_tokens(n, amount % 7, returned)

    @rule(n=st.integers(0, 5), spent=st.integers(0, 40), returned=st.integers(1, 40))
    def settles_tokens(self, n: int, spent: int, returned: int) -> None:
        if not (out := sorted(name for name, held in self.held.items() if held)):
            return
        node = out[n % len(out)]
        spent = min(spent, self.held[node])
        returned = min(returned, self.held[node] - spent)
        if spent or returned:
            self.tree.settle(self.tree.nodes[node], spent, returned)
            self.held[node] -= spent + returned
            self.spent[node] = self.spent.get(node, 0) + spent

    @rule()
    def starts_a_period(self) -> None:
        root = self.tree.nodes["r"]
        limit = root.held + root.terms.refill + min(root.terms.carry, root.free())
        assert (
            start_period(self.tree, self.tree.period + 1) is None
            and start_period(self.tree, self.tree.period) is not None
        )
        assert root.ceiling == limit
        self.spent.clear()
        for node in self.tree.nodes.values():
            is_hard = not any(n.terms.soft or n.loans or n.lent for n in self.tree.path(node))
            if is_hard and not node.closed:
                assert node.free() >= node.terms.minimum
        self.held = {n: held for n, held in self.held.items() if held}
        self.tree.restore(self.tree.state())

    @invariant()
    def sums_match_the_model(self) -> None:
        check_tree(self.tree)
        for node in self.tree.nodes.values():
            subtree = [n.id for _, n in self.tree.subtree(node)]
            assert node.held == sum(self.held.get(n, 0) for n in subtree)
            assert node.spent == sum(self.spent.get(n, 0) for n in subtree)
            assert sum(1 for _ in self.tree.path(node)) <= c.MAX_DEPTH


TestTree = TreeMachine.TestCase
TestTree.settings = settings(max_examples=120, stateful_step_count=40, deadline=None, derandomize=True)


# --- single cases ---


class TreeWithoutQuota(TreeMachine):
    start = tuple((name, parent, 0, 0, 0) for name, parent, *_ in INITIAL_NODES)


def code(rejection: c.Rejection | None) -> str:
    return rejection.code if rejection is not None else ""


def test_rights_of_an_administrator_exclude_its_own_node() -> None:
    machine = TreeWithoutQuota()
    assert machine.submit(c.SetAdmins("a", ("ann",))) is None

    def by_ann(command: c.AdminCommand) -> str:
        name = command.parent if isinstance(command, c.OpenNode) else command.node
        machine.index += 1
        return code(
            machine.tree.apply(
                machine.index, c.AdminChange("ann", 1, "why", machine.tree.nodes[name].version, command)
            )
        )

    machine.submit(c.DelegateQuota("a", 100))
    assert (
        by_ann(c.DelegateQuota("c", 60)) == ""
        and by_ann(c.OpenNode("x", "a")) == ""
        and by_ann(c.OfferLoans("a", 9)) == ""
    )
    for command in (
        c.DelegateQuota("a", 1),
        c.SetTerms("a", QuotaTerms()),
        c.CloseNode("a"),
        c.DelegateQuota("b", 1),
        c.OpenNode("y", "r"),
        c.MoveNode("c", "b"),
        c.SetAdmins("a", ("eve",)),
        c.DelegateQuota("r", 1),
    ):
        assert by_ann(command) == "no-right"


def test_a_stale_change_is_rejected() -> None:
    machine = TreeWithoutQuota()
    seen = machine.tree.nodes["c"].version
    assert machine.submit(c.SuspendNode("c", True)) is None
    rejection = machine.tree.apply(99, c.AdminChange("boss", 1, "why", seen, c.SuspendNode("c", False)))
    assert code(rejection) == "stale" and rejection is not None and rejection.node == "c"
    assert (
        code(
            machine.tree.apply(
                99, c.AdminChange("boss", 1, " ", machine.tree.nodes["c"].version, c.CloseNode("c"))
            )
        )
        == "unexplained"
    )
    assert (
        machine.tree.nodes["c"].author,
        machine.tree.nodes["c"].changed_at,
        machine.tree.nodes["c"].reason,
    ) == ("boss", 1, "a test")


def test_depth_and_cycles_are_rejected() -> None:
    machine = TreeWithoutQuota()
    for n in range(5):
        assert machine.submit(c.OpenNode(f"n{n}", f"n{n - 1}" if n else "c")) is None
    assert code(machine.submit(c.OpenNode("z", "n4"))) == "too-deep"
    assert (
        code(machine.submit(c.MoveNode("a", "n3"))) == "circle"
        and code(machine.submit(c.MoveNode("a", "b"))) == "too-deep"
    )
    assert (
        code(machine.submit(c.MoveNode("n0", "r"))) == ""
        and code(machine.submit(c.MoveNode("r", "b"))) == "circle"
    )


def test_reclaimed_tokens_held_in_slices_return_unspent() -> None:
    machine = TreeWithoutQuota()
    machine.submit(c.DelegateQuota("b", 100))
    b = machine.tree.nodes["b"]
    assert machine.tree.hold(b, 80) is None
    assert code(machine.submit(c.ReclaimQuota("b", 101))) == "in-use"
    assert machine.submit(c.ReclaimQuota("b", 70)) is None and (b.ceiling, b.reclaiming, b.free()) == (
        80,
        50,
        0,
    )
    machine.tree.settle(b, 10, 30)
    assert (b.ceiling, b.reclaiming) == (50, 20)
    machine.tree.settle(b, 15, 25)
    assert (b.ceiling, b.reclaiming, b.free(), b.spent) == (30, 0, 5, 25)


def test_a_minimum_is_reserved_against_siblings_and_soft_nodes() -> None:
    machine = TreeWithoutQuota()
    machine.submit(c.SetTerms("r", QuotaTerms(refill=400, overcommit=2000)))
    machine.submit(c.DelegateQuota("a", 400))
    machine.submit(c.DelegateQuota("b", 400))
    assert machine.submit(c.SetTerms("a", QuotaTerms(refill=100, minimum=80))) is None
    assert machine.submit(c.SetTerms("c", QuotaTerms(refill=100, minimum=50))) is None
    machine.submit(c.SetTerms("b", QuotaTerms(soft=True)))
    b, d = machine.tree.nodes["b"], machine.tree.nodes["d"]
    machine.submit(c.DelegateQuota("c", 100))
    machine.submit(c.DelegateQuota("d", 300))
    assert machine.tree.available(b) == (420, machine.tree.nodes["r"])
    assert machine.tree.hold(d, 40) is None and machine.tree.available(b)[0] == 500 - 40 - 50
    assert machine.tree.hold(b, 410) is None and machine.tree.available(d) == (0, machine.tree.nodes["r"])
    assert machine.tree.available(machine.tree.nodes["c"])[0] == 50


def test_loans_are_repaid_oldest_first_at_the_start_of_a_period() -> None:
    machine = TreeWithoutQuota()
    machine.submit(c.OpenNode("e", "r"))
    for name in "abe":
        machine.submit(c.DelegateQuota(name, 100))
        machine.submit(c.SetTerms(name, QuotaTerms(refill=60, minimum=10)))
        machine.submit(c.OfferLoans(name, 50))
    assert code(machine.submit(c.BorrowQuota("e", "b", 51))) == "lends"
    assert (
        machine.submit(c.BorrowQuota("e", "b", 30)) is None
        and machine.submit(c.BorrowQuota("e", "a", 40)) is None
    )
    assert (machine.tree.nodes["b"].ceiling, machine.tree.nodes["a"].ceiling) == (70, 60)
    e = machine.tree.nodes["e"]
    assert (
        e.ceiling == 170
        and code(machine.submit(c.CloseNode("e"))) == "loans"
        and code(machine.submit(c.MoveNode("b", "a"))) == "loans"
    )
    machine.tree.hold(e, 170)
    assert code(machine.submit(c.RepayLoans("e", 1))) == "amount"
    machine.tree.settle(e, 165, 5)
    assert machine.submit(c.RepayLoans("e", 5)) is None and [
        (loan.lender, loan.amount) for loan in e.loans
    ] == [
        ("b", 25),
        ("a", 40),
    ]
    start_period(machine.tree, 1)
    assert [(loan.lender, loan.amount) for loan in e.loans] == [("a", 15)] and e.ceiling == 10
    assert machine.tree.nodes["b"].ceiling == 85 and machine.tree.nodes["a"].ceiling == 85


def test_a_move_includes_held_and_spent_tokens() -> None:
    machine = TreeWithoutQuota()
    machine.submit(c.DelegateQuota("a", 100))
    machine.submit(c.DelegateQuota("c", 60))
    node = machine.tree.nodes["c"]
    machine.tree.hold(node, 40)
    machine.tree.settle(node, 15, 5)
    assert code(machine.submit(c.MoveNode("c", "b"))) == "short"  # nothing is free at the new parent
    machine.submit(c.DelegateQuota("b", 100))
    assert machine.submit(c.MoveNode("c", "b")) is None
    check_tree(machine.tree)
    a, b = machine.tree.nodes["a"], machine.tree.nodes["b"]
    assert (a.held, a.spent, a.free(), b.held, b.spent, b.free()) == (0, 0, 100, 20, 15, 65)


def test_a_minimum_beyond_the_free_tokens_is_rejected() -> None:
    machine = TreeWithoutQuota()
    machine.submit(c.SetTerms("r", QuotaTerms(refill=400, overcommit=2000)))
    machine.submit(c.DelegateQuota("a", 400))
    machine.submit(c.DelegateQuota("b", 400))
    machine.tree.hold(machine.tree.nodes["b"], 400)
    assert code(machine.submit(c.SetTerms("a", QuotaTerms(refill=150, minimum=150)))) == "short"
    assert machine.submit(c.SetTerms("a", QuotaTerms(refill=150, minimum=100))) is None
