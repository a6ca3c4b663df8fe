"""The budget tree, a state machine applied from the replicated log with the same result on each replica.

A node has a ceiling; the tokens held in slices and the tokens spent count at their node and at all its
ancestors. Each node keeps the sums of its subtree, so that a grant costs one walk up a path of at most eight
nodes. A command is applied first and undone where it violates a rule on the path, so that the rules stand in
one place (`violated_rule`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from msgspec import Struct

from . import commands as c
from .commands import QuotaTerms, Rejection


class Loan(Struct, array_like=True):
    """A loan from a sibling."""

    number: int  # index of its log entry: the oldest loan is repaid first
    lender: str
    amount: int


class Node(
    Struct,
    rename={
        "ceiling": "given",
        "reclaiming": "recall",
        "loan_limit": "lends",
        "author": "who",
        "changed_at": "at",
        "reason": "why",
        "children_ceilings": "parts",
        "children_refills": "refills",
        "children_minimums": "minimums",
    },
):
    """`held` and `spent` are sums over the subtree; fields with `own` are those of the node itself. The sums
    from `held` on are recomputed when a snapshot is restored."""

    id: str
    parent: str  # empty for the root
    admins: tuple[str, ...] = ()
    terms: QuotaTerms = QuotaTerms()
    ceiling: int = 0
    own_held: int = 0
    own_spent: int = 0
    reclaiming: int = 0  # part of the held tokens that goes to the parent once it is returned
    loan_limit: int = 0
    lent: int = 0
    loans: list[Loan] = []
    suspended: bool = False
    closed: bool = False
    version: int = 0  # log index of the last change, described by the next three fields
    author: str = ""
    changed_at: int = 0
    reason: str = ""
    held: int = 0
    spent: int = 0
    children_ceilings: int = 0
    reserved: int = 0  # for the children's minimums
    children_refills: int = 0
    children_minimums: int = 0

    def free(self) -> int:
        """Returns the free tokens; negative for a soft node that exceeds its ceiling."""
        return self.ceiling - self.held - self.spent

    def reserved_at_parent(self) -> int:
        """Returns the part of the parent's free tokens that is reserved for this subtree."""
        return max(0, min(self.terms.minimum, self.ceiling) - self.held - self.spent, self.reserved)

    def children_limit(self) -> int:
        """Returns the maximum sum of the children's ceilings."""
        return (self.ceiling - self.own_held - self.own_spent) * self.terms.overcommit // c.OVERCOMMIT_UNIT


class TreeState(Struct):
    """The stored form of `Tree`."""

    owners: tuple[str, ...]
    period: int
    nodes: list[Node]


class Tree:
    """`owners` grant tokens to the root; they act as administrators above it."""

    def __init__(self, root: str, owners: tuple[str, ...]) -> None:
        self.root, self.owners, self.period = root, owners, 0
        self.nodes = {root: Node(root, "")}
        self.children: dict[str, set[str]] = {root: set()}
        self.handlers: dict[type[Any], Callable[[int, Any, Node], Rejection | None]] = {
            c.DelegateQuota: self.delegate,
            c.ReclaimQuota: self.reclaim,
            c.MoveNode: self.move_node,
            c.CloseNode: self.close_node,
            c.SuspendNode: lambda _, command, node: self.update((node, {"suspended": command.suspended})),
            c.SetTerms: self.set_terms,
            c.SetAdmins: self.set_admins,
            c.OfferLoans: self.offer_loans,
            c.BorrowQuota: self.borrow,
            c.RepayLoans: self.repay,
        }

    def state(self) -> TreeState:
        return TreeState(self.owners, self.period, list(self.nodes.values()))

    def restore(self, state: TreeState) -> None:
        self.owners, self.period = state.owners, state.period
        self.nodes = {node.id: node for node in state.nodes}
        self.root = next(node.id for node in state.nodes if not node.parent)
        self.children = {node_id: set() for node_id in self.nodes}
        for node in state.nodes:
            if node.parent:
                self.children[node.parent].add(node.id)
        self.recompute_sums()

    # --- traversal ---

    def path(self, node: Node) -> Iterator[Node]:
        """Yields the nodes from `node` up to the root."""
        at: Node | None = node
        while at is not None:
            yield at
            at = self.nodes.get(at.parent)

    def subtree(self, node: Node) -> Iterator[tuple[int, Node]]:
        """Yields the node and its descendants, parents first, each with its depth below the node."""
        level = [node]
        for depth in range(c.MAX_DEPTH):
            yield from ((depth, each) for each in level)
            level = [self.nodes[child] for each in level for child in self.children[each.id]]

    def recompute_sums(self) -> None:
        """Recomputes the sums of all nodes from the values of each node itself."""
        for node in self.nodes.values():
            node.held, node.spent = node.own_held, node.own_spent
            node.children_ceilings = node.reserved = node.children_refills = node.children_minimums = 0
        for _, node in reversed(list(self.subtree(self.nodes[self.root]))):
            if (parent := self.nodes.get(node.parent)) is not None:
                self.add_child_sums(parent, node, 1)
                parent.held, parent.spent = parent.held + node.held, parent.spent + node.spent
                parent.reserved += node.reserved_at_parent()

    def add_child_sums(self, parent: Node, node: Node, sign: int) -> None:
        parent.children_ceilings += sign * node.ceiling
        parent.children_refills += sign * node.terms.refill
        parent.children_minimums += sign * node.terms.minimum

    def add_to_ancestors(self, node: Node, sign: int) -> None:
        """Adds the node to the sums of all its ancestors, or subtracts it from them."""
        ancestors = self.path(node)
        next(ancestors)
        reserved = sign * node.reserved_at_parent()
        if (parent := self.nodes.get(node.parent)) is not None:
            self.add_child_sums(parent, node, sign)
        for each in ancestors:
            before = each.reserved_at_parent()
            each.held, each.spent = each.held + sign * node.held, each.spent + sign * node.spent
            each.reserved += reserved
            reserved = each.reserved_at_parent() - before

    # --- rules ---

    def violated_rule(self, node: Node) -> Rejection | None:
        """Returns the first violated rule on the path from the node to the root."""
        for each in self.path(node):
            terms, has_children_sums = (
                each.terms,
                each.children_ceilings or each.children_refills or each.children_minimums,
            )
            if not terms.soft and each.free() < each.reserved:
                lack = each.reserved - each.free()
                return Rejection(each.id, "short", f"{lack} tokens are missing; delegate more to it first")
            if (
                has_children_sums
                and not each.closed
                and each.children_ceilings > max(0, each.children_limit())
            ):
                excess = each.children_ceilings - max(0, each.children_limit())
                return Rejection(
                    each.id, "parts", f"its children exceed its ceiling by {excess}; reclaim some tokens"
                )
            if each.children_refills * c.OVERCOMMIT_UNIT > terms.refill * terms.overcommit:
                return Rejection(
                    each.id,
                    "refills",
                    f"children's refills sum to {each.children_refills}; set a higher refill",
                )
            if each.children_minimums > (terms.minimum if each.parent else terms.refill):
                return Rejection(
                    each.id,
                    "minimums",
                    f"children's minimums sum to {each.children_minimums}; set a higher value here",
                )
        return None

    def set_fields(self, node: Node, fields: dict[str, Any]) -> dict[str, Any]:
        """Sets fields of the node, keeps all sums up to date, and returns the old values."""
        old = {name: getattr(node, name) for name in fields}
        self.add_to_ancestors(node, -1)
        for name, value in fields.items():
            setattr(node, name, value)
        self.add_to_ancestors(node, 1)
        if "parent" in fields:
            self.children[old["parent"]].remove(node.id)
            self.children[node.parent].add(node.id)
        return old

    def update(self, *updates: tuple[Node, dict[str, Any]]) -> Rejection | None:
        """Applies all updates, or none of them where the result violates a rule."""
        undo = [(node, self.set_fields(node, fields)) for node, fields in updates]
        rejection = next((rejection for node, _ in undo if (rejection := self.violated_rule(node))), None)
        if rejection is not None:
            for node, old in reversed(undo):
                self.set_fields(node, old)
        return rejection

    def has_rights(self, user: str, node: Node, include_node: bool) -> bool:
        """An administrator of a node has rights over its descendants, and with `include_node` over the node
        itself."""
        if user in self.owners:
            return True
        return any(user in each.admins for each in self.path(node) if include_node or each is not node)

    # --- administrator commands ---

    def apply(self, index: int, change: c.AdminChange) -> Rejection | None:
        """Applies the change and returns None, or why it was rejected."""
        command, named = change.command, self.nodes.get(change.command.node)
        subject = self.nodes.get(command.parent) if isinstance(command, c.OpenNode) else named
        if subject is None:
            name = command.parent if isinstance(command, c.OpenNode) else command.node
            return Rejection(name[: c.MAX_NAME_CHARS], "unknown", "no such node; check the tree")
        if (
            not change.reason.strip()
            or len(change.reason) > c.MAX_REASON_CHARS
            or not 0 < len(change.author) <= c.MAX_NAME_CHARS
        ):
            return Rejection(
                subject.id,
                "unexplained",
                f"give an author and a reason of 1 to {c.MAX_REASON_CHARS} characters",
            )
        if not self.has_rights(
            change.author,
            subject,
            isinstance(command, c.OpenNode | c.OfferLoans | c.BorrowQuota | c.RepayLoans),
        ):
            return Rejection(subject.id, "no-right", "ask an administrator of an ancestor node")
        if change.version != subject.version:
            return Rejection(
                subject.id, "stale", f"the current version is {subject.version}; reload and try again"
            )
        if subject.closed:
            return Rejection(subject.id, "closed", "open another node")
        if (
            isinstance(command, c.MoveNode)
            and (new_parent := self.nodes.get(command.new_parent))
            and not self.has_rights(change.author, new_parent, True)
        ):
            return Rejection(new_parent.id, "no-right", "ask an administrator of both parents")
        if isinstance(command, c.OpenNode):
            rejection = self.open_node(command, subject)
        elif not 0 < getattr(command, "amount", 1) <= c.MAX_TOKENS:
            rejection = Rejection(subject.id, "amount", f"expected 1 to {c.MAX_TOKENS} tokens")
        else:
            rejection = self.handlers[type(command)](index, command, subject)
        if rejection is None:
            changed = self.nodes[command.node]
            changed.version, changed.author = index, change.author
            changed.changed_at, changed.reason = change.changed_at, change.reason
        return rejection

    def open_node(self, command: c.OpenNode, parent: Node) -> Rejection | None:
        if not 0 < len(command.node) <= c.MAX_NAME_CHARS or command.node in self.nodes:
            return Rejection(
                command.node[: c.MAX_NAME_CHARS],
                "name",
                f"expected an unused name of 1 to {c.MAX_NAME_CHARS} characters",
            )
        if len(self.nodes) >= c.MAX_NODES:
            return Rejection(
                parent.id,
                "full",
                f"{c.MAX_NODES} nodes exist; close some, they are removed when a period starts",
            )
        if sum(1 for _ in self.path(parent)) >= c.MAX_DEPTH:
            return Rejection(
                parent.id, "too-deep", f"at most {c.MAX_DEPTH} levels are allowed; open it higher up"
            )
        if parent.reclaiming:
            return Rejection(parent.id, "recall", "its tokens are being reclaimed; wait until that is done")
        if (rejection := self.check_admins(command.node, command.admins)) is not None:
            return rejection
        self.nodes[command.node] = Node(command.node, parent.id, command.admins)
        self.children[command.node] = set()
        self.children[parent.id].add(command.node)
        return None

    def check_admins(self, node_id: str, admins: tuple[str, ...]) -> Rejection | None:
        if len(admins) <= c.MAX_ADMINS and all(0 < len(user) <= c.MAX_NAME_CHARS for user in admins):
            return None
        return Rejection(
            node_id,
            "admins",
            f"at most {c.MAX_ADMINS} administrators of {c.MAX_NAME_CHARS} characters each are allowed",
        )

    def set_admins(self, _: int, command: c.SetAdmins, node: Node) -> Rejection | None:
        return self.check_admins(node.id, command.admins) or self.update((node, {"admins": command.admins}))

    def delegate(self, _: int, command: c.DelegateQuota, node: Node) -> Rejection | None:
        if node.ceiling + command.amount > c.MAX_TOKENS:
            return Rejection(node.id, "amount", f"a node's ceiling must not exceed {c.MAX_TOKENS}")
        return self.update((node, {"ceiling": node.ceiling + command.amount}))

    def reclaim(self, _: int, command: c.ReclaimQuota, node: Node) -> Rejection | None:
        """Tokens delegated to or reserved for children, spent tokens and lent tokens cannot be reclaimed."""
        now = min(command.amount, node.ceiling if node.terms.soft else node.free() - node.reserved)
        later = command.amount - now
        held = 0 if node.terms.soft or self.children[node.id] else node.held - node.reclaiming
        if later > held:
            return Rejection(
                node.id, "in-use", f"{now + held} can be reclaimed; reclaim from its children first"
            )
        return self.update((node, {"ceiling": node.ceiling - now, "reclaiming": node.reclaiming + later}))

    def move_node(self, _: int, command: c.MoveNode, node: Node) -> Rejection | None:
        new_parent = self.nodes.get(command.new_parent)
        if new_parent is None or new_parent.closed:
            return Rejection(
                command.new_parent[: c.MAX_NAME_CHARS], "unknown", "no such open node; check the tree"
            )
        if not node.parent or any(each is node for each in self.path(new_parent)):
            return Rejection(
                node.id, "circle", f"{new_parent.id} is its descendant; choose a node outside its subtree"
            )
        if node.loans or node.lent:
            return Rejection(node.id, "loans", "all that it lent or borrowed must be repaid first")
        levels = sum(1 for _ in self.path(new_parent)) + 1 + max(depth for depth, _ in self.subtree(node))
        if levels > c.MAX_DEPTH:
            return Rejection(new_parent.id, "too-deep", f"{levels} levels; at most {c.MAX_DEPTH} are allowed")
        if new_parent.reclaiming:
            return Rejection(
                new_parent.id, "recall", "its tokens are being reclaimed; wait until that is done"
            )
        return self.update((node, {"parent": new_parent.id}))

    def close_node(self, _: int, command: c.CloseNode, node: Node) -> Rejection | None:
        open_children = [child for child in self.children[node.id] if not self.nodes[child].closed]
        if open_children or not node.parent:
            return Rejection(
                min(open_children, default=node.id), "open", "close it first; the root cannot be closed"
            )
        if node.loans or node.lent:
            return Rejection(node.id, "loans", "all that it lent or borrowed must be repaid first")
        terms = QuotaTerms(overcommit=node.terms.overcommit, soft=node.terms.soft)
        ceiling = min(node.ceiling, node.held + node.spent)
        return self.update(
            (node, {"ceiling": ceiling, "reclaiming": node.held, "closed": True, "terms": terms})
        )

    def set_terms(self, _: int, command: c.SetTerms, node: Node) -> Rejection | None:
        if error := command.terms.validation_error():
            return Rejection(node.id, "terms", error)
        if command.terms.soft and not node.parent:
            return Rejection(node.id, "terms", "soft: the root must be hard, since it has no parent")
        return self.update((node, {"terms": command.terms}))

    # --- loans between siblings ---

    def offer_loans(self, _: int, command: c.OfferLoans, node: Node) -> Rejection | None:
        if not 0 <= command.limit <= c.MAX_TOKENS:
            return Rejection(node.id, "amount", f"expected 0 to {c.MAX_TOKENS} tokens")
        return self.update((node, {"loan_limit": command.limit}))

    def borrow(self, index: int, command: c.BorrowQuota, node: Node) -> Rejection | None:
        lender = self.nodes.get(command.lender)
        if lender is None or lender is node or lender.parent != node.parent or lender.closed:
            return Rejection(
                command.lender[: c.MAX_NAME_CHARS], "unknown", "no such open sibling; check the tree"
            )
        spare = lender.free() - max(
            lender.reserved_at_parent(), lender.terms.minimum - lender.held - lender.spent
        )
        limit = max(0, min(lender.loan_limit - lender.lent, spare))
        if command.amount > limit or lender.reclaiming:
            return Rejection(
                lender.id, "lends", f"it can lend {limit} now; borrow less or ask its administrator"
            )
        if len(node.loans) >= c.MAX_LOANS or node.reclaiming:
            return Rejection(node.id, "loans", f"at most {c.MAX_LOANS} loans are allowed; repay some")
        loans = [*node.loans, Loan(index, lender.id, command.amount)]
        return self.update(
            (lender, {"ceiling": lender.ceiling - command.amount, "lent": lender.lent + command.amount}),
            (node, {"ceiling": node.ceiling + command.amount, "loans": loans}),
        )

    def repay(self, _: int, command: c.RepayLoans, node: Node) -> Rejection | None:
        owed = sum(loan.amount for loan in node.loans)
        limit = min(owed, node.ceiling if node.terms.soft else node.free() - node.reserved)
        if command.amount > limit:
            return Rejection(node.id, "amount", f"{limit} can be repaid now")
        rest, loans, updates = command.amount, list[Loan](), list[tuple[Node, dict[str, Any]]]()
        paid_by_lender: dict[str, int] = {}
        for loan in node.loans:
            paid = min(rest, loan.amount)
            rest -= paid
            paid_by_lender[loan.lender] = paid_by_lender.get(loan.lender, 0) + paid
            if paid < loan.amount:
                loans.append(Loan(loan.number, loan.lender, loan.amount - paid))
        for lender_id, paid in paid_by_lender.items():
            lender = self.nodes[lender_id]
            updates.append((lender, {"ceiling": lender.ceiling + paid, "lent": lender.lent - paid}))
        return self.update((node, {"ceiling": node.ceiling - command.amount, "loans": loans}), *updates)

    # --- held and spent tokens ---

    def grant_rejection(self, node: Node) -> Rejection | None:
        """Returns why no slice may be granted at the node, regardless of free tokens."""
        if self.children[node.id]:
            return Rejection(node.id, "has-parts", "name a project below it")
        for each in self.path(node):
            if each.closed:
                return Rejection(each.id, "closed", "name another project")
            if each.suspended:
                return Rejection(each.id, "suspended", "ask its administrator")
        return None

    def available(self, node: Node) -> tuple[int, Node]:
        """Returns how many tokens could be held at the node now, and the node on the path that limits it."""
        least, limiting_node, reserved_for_others = c.MAX_TOKENS, node, 0
        own_reserved = 0
        for each in self.path(node):
            reserved_for_others += each.reserved - own_reserved  # others' minimums, here and below
            if not each.terms.soft and each.free() - reserved_for_others < least:
                least, limiting_node = each.free() - reserved_for_others, each
            own_reserved = each.reserved_at_parent()
        return max(0, least), limiting_node

    def hold(self, node: Node, amount: int) -> Rejection | None:
        """Holds tokens for a slice at the node and returns None, or why it was rejected."""
        if (rejection := self.grant_rejection(node)) is not None:
            return rejection
        least, limiting_node = self.available(node)
        if not 0 < amount <= least:
            return Rejection(
                limiting_node.id, "empty", f"{least} tokens are free; wait for its refill, or delegate"
            )
        self.add_usage(node, amount, 0)
        return None

    def settle(self, node: Node, spent: int, returned: int) -> None:
        """Counts held tokens of the node as spent, or frees them again."""
        self.add_usage(node, -spent - returned, spent)

    def add_usage(self, node: Node, held: int, spent: int) -> None:
        """Adds to the held and spent tokens of the node and its ancestors; freed tokens that are being
        reclaimed go to the parent."""
        node.own_held, node.own_spent = node.own_held + held, node.own_spent + spent
        reserved, returned = 0, max(0, -held - spent)
        for each in self.path(node):
            before = each.reserved_at_parent()
            each.reserved += reserved
            each.held, each.spent = each.held + held, each.spent + spent
            if each.reclaiming:
                reclaimed = min(each.reclaiming, returned, each.ceiling)
                each.ceiling -= reclaimed
                each.reclaiming = min(each.reclaiming - reclaimed, each.held)
                if (parent := self.nodes.get(each.parent)) is not None:
                    parent.children_ceilings -= reclaimed
            reserved = each.reserved_at_parent() - before


def encode(entry: c.LogEntry) -> bytes:
    return msgspec.msgpack.encode(entry)


def decode(data: bytes) -> c.LogEntry:
    """Raises msgspec.ValidationError, a ValueError, for invalid data."""
    return ENTRY_DECODER.decode(data)


ENTRY_DECODER: msgspec.msgpack.Decoder[c.LogEntry] = msgspec.msgpack.Decoder(c.AdminChange | c.HolderEntry)
