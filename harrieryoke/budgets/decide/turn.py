"""Start of a period: sets the ceiling of each node in one pass over the tree, from the root down.

Held tokens stay held: what is spent of them later counts in the new period, although the tokens are from the
old one. A node's `held` and `minimum` always fit into its parent's ceiling. Out of the rest of that ceiling
the children get their refills, and out of what is left then their carry-over; each is scaled down in
proportion where it does not fit.
"""

from __future__ import annotations

from . import commands as c
from .commands import Rejection
from .tree import Node, Tree


def scale_to_fit(amounts: dict[str, int], limit: int) -> dict[str, int]:
    """Returns the amounts unchanged where they fit, else in proportion, rounded down."""
    total = sum(amounts.values())
    limit = max(0, limit)
    return amounts if total <= limit else {name: amount * limit // total for name, amount in amounts.items()}


def start_period(tree: Tree, number: int) -> Rejection | None:
    """Starts period `number` and returns None, or why it was rejected."""
    if number <= tree.period:
        return Rejection(
            tree.root, "period", f"period {tree.period} has already started; no action is needed"
        )
    carried = {n.id: 0 if n.closed else min(n.terms.carry, max(0, n.free())) for n in tree.nodes.values()}
    remove_closed_nodes(tree)
    root = tree.nodes[tree.root]
    root.ceiling = root.held + root.terms.refill + carried[root.id]
    for _, node in tree.subtree(root):
        if children := [tree.nodes[child_id] for child_id in tree.children[node.id]]:
            distribute(node, children, carried)
    for node in tree.nodes.values():
        node.own_spent = 0
    tree.recompute_sums()
    tree.period = number
    return None


def remove_closed_nodes(tree: Tree) -> None:
    """Removes closed leaf nodes that hold nothing; a closed parent follows at the next period at the
    latest."""
    removable = [n for n in tree.nodes.values() if n.closed and not n.held and not tree.children[n.id]]
    for node in removable:
        del tree.nodes[node.id]
        del tree.children[node.id]
        tree.children[node.parent].remove(node.id)


def distribute(node: Node, children: list[Node], carried: dict[str, int]) -> None:
    """Sets the children's ceilings out of their parent's."""
    remaining = (node.ceiling - node.own_held) * node.terms.overcommit // c.OVERCOMMIT_UNIT
    remaining -= sum(child.held + child.terms.minimum for child in children)
    refills = scale_to_fit(
        {child.id: child.terms.refill - child.terms.minimum for child in children}, remaining
    )
    remaining -= sum(refills.values())
    kept = scale_to_fit({child.id: carried[child.id] for child in children}, remaining)
    extra = {child.id: refills[child.id] + kept[child.id] for child in children}
    repay_loans({child.id: child for child in children}, extra)
    for child in children:
        child.ceiling = child.held + child.terms.minimum + extra[child.id]


def repay_loans(children: dict[str, Node], extra: dict[str, int]) -> None:
    """Repays loans, the oldest first, out of the new tokens beyond the minimum."""
    loans = sorted((loan.number, child.id, loan) for child in children.values() for loan in child.loans)
    for _, borrower, loan in loans:
        paid = min(loan.amount, extra[borrower])
        extra[borrower] -= paid
        extra[loan.lender] += paid
        children[loan.lender].lent -= paid
        loan.amount -= paid
    for child in children.values():
        child.loans = [loan for loan in child.loans if loan.amount]
