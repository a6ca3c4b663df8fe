"""The tree of budgets, applied from the agreed log, the same everywhere.

A node has a ceiling, `given`; what is held in slices and what was spent counts at its node and at all above
it. Sums of all below are kept at each node, so that what is asked for each slice costs one walk up a path of
eight at most. What a command asks is done first and undone where a rule on the path does not hold after it:
one place has the rules (`fault`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from msgspec import Struct

from . import commands as c
from .commands import Refused, Terms


class Loan(Struct, array_like=True):
    number: int  # the index of its entry: the oldest is returned first
    of: str
    amount: int


class Node(Struct):
    """`held` and `spent` are of all below; what begins with `own` is of the node by itself."""

    id: str
    parent: str  # empty for the root
    admins: tuple[str, ...] = ()
    terms: Terms = Terms()
    given: int = 0
    own_held: int = 0
    own_spent: int = 0
    recall: int = 0  # of what is held: goes back to the parent when it comes back
    lends: int = 0
    lent: int = 0
    loans: list[Loan] = []
    suspended: bool = False
    closed: bool = False
    version: int = 0  # the index of the last change, and whose it was
    who: str = ""
    at: int = 0
    why: str = ""
    held: int = 0
    spent: int = 0
    parts: int = 0  # what the children were given
    reserved: int = 0  # what is kept for children's minimums
    refills: int = 0
    minimums: int = 0

    def free(self) -> int:
        """Below zero: what a soft node uses beyond its ceiling."""
        return self.given - self.held - self.spent

    def keep(self) -> int:
        """Of what is free at the parent, what is kept for this node and those below."""
        return max(0, min(self.terms.minimum, self.given) - self.held - self.spent, self.reserved)

    def for_parts(self) -> int:
        """What the children may be given all in all."""
        return (self.given - self.own_held - self.own_spent) * self.terms.overcommit // c.WHOLE


class State(Struct):
    owners: tuple[str, ...]
    period: int
    nodes: list[Node]


class Tree:
    """`owners` grant to the root; they are the administrators above it."""

    def __init__(self, root: str, owners: tuple[str, ...]) -> None:
        self.root, self.owners, self.period = root, owners, 0
        self.nodes = {root: Node(root, "")}
        self.kids: dict[str, set[str]] = {root: set()}
        self.handlers: dict[type[Any], Callable[[int, Any, Node], Refused | None]] = {
            c.Delegate: self.delegate,
            c.TakeBack: self.take_back,
            c.Move: self.move,
            c.Close: self.close,
            c.Suspend: lambda _, do, n: self.alter((n, {"suspended": do.on})),
            c.Set: self.terms,
            c.Appoint: self.appoint,
            c.Lend: self.lend,
            c.Borrow: self.borrow,
            c.Repay: self.repay,
        }

    def state(self) -> State:
        return State(self.owners, self.period, list(self.nodes.values()))

    def restore(self, state: State) -> None:
        self.owners, self.period = state.owners, state.period
        self.nodes = {node.id: node for node in state.nodes}
        self.root = next(node.id for node in state.nodes if not node.parent)
        self.kids = {id: set() for id in self.nodes}
        for node in state.nodes:
            if node.parent:
                self.kids[node.parent].add(node.id)
        self.add_up()

    # --- walks ---

    def path(self, node: Node) -> Iterator[Node]:
        """From the node up to the root."""
        at: Node | None = node
        while at is not None:
            yield at
            at = self.nodes.get(at.parent)

    def below(self, node: Node) -> Iterator[tuple[int, Node]]:
        """The node and all below it, parents first, with how deep each lies below it."""
        level = [node]
        for depth in range(c.MOST_DEPTH):
            yield from ((depth, each) for each in level)
            level = [self.nodes[kid] for each in level for kid in self.kids[each.id]]

    def add_up(self) -> None:
        """All sums anew, from what is at each node."""
        for node in self.nodes.values():
            node.held, node.spent = node.own_held, node.own_spent
            node.parts = node.reserved = node.refills = node.minimums = 0
        for _, node in reversed(list(self.below(self.nodes[self.root]))):
            if (parent := self.nodes.get(node.parent)) is not None:
                self.add(parent, node, 1)
                parent.held, parent.spent = parent.held + node.held, parent.spent + node.spent
                parent.reserved += node.keep()

    def add(self, parent: Node, node: Node, sign: int) -> None:
        parent.parts += sign * node.given
        parent.refills += sign * node.terms.refill
        parent.minimums += sign * node.terms.minimum

    def join(self, node: Node, sign: int) -> None:
        """Adds the node to the sums of all above it, or takes it out of them."""
        above = self.path(node)
        next(above)
        kept = sign * node.keep()
        if (parent := self.nodes.get(node.parent)) is not None:
            self.add(parent, node, sign)
        for each in above:
            before = each.keep()
            each.held, each.spent = each.held + sign * node.held, each.spent + sign * node.spent
            each.reserved += kept
            kept = each.keep() - before

    # --- the rules ---

    def fault(self, node: Node) -> Refused | None:
        """The first rule that does not hold on the way up."""
        for each in self.path(node):
            t, kids = each.terms, each.parts or each.refills or each.minimums
            if not t.soft and each.free() < each.reserved:
                lack = each.reserved - each.free()
                return Refused(each.id, "short", f"{lack} tokens are lacking; delegate more to it first")
            if kids and not each.closed and each.parts > max(0, each.for_parts()):
                over = each.parts - max(0, each.for_parts())
                return Refused(each.id, "parts", f"its parts are {over} over what it has; take some back")
            if each.refills * c.WHOLE > t.refill * t.overcommit:
                return Refused(each.id, "refills", f"parts' refills are {each.refills}; set a higher refill")
            if each.minimums > (t.minimum if each.parent else t.refill):
                return Refused(each.id, "minimums", f"parts' minimums are {each.minimums}; set more here")
        return None

    def set(self, node: Node, fields: dict[str, Any]) -> dict[str, Any]:
        """What it was before."""
        old = {name: getattr(node, name) for name in fields}
        self.join(node, -1)
        for name, value in fields.items():
            setattr(node, name, value)
        self.join(node, 1)
        if "parent" in fields:
            self.kids[old["parent"]].remove(node.id)
            self.kids[node.parent].add(node.id)
        return old

    def alter(self, *wanted: tuple[Node, dict[str, Any]]) -> Refused | None:
        """All of it, or nothing where a rule does not hold after it."""
        olds = [(node, self.set(node, fields)) for node, fields in wanted]
        bad = next((bad for node, _ in olds if (bad := self.fault(node))), None)
        if bad is not None:
            for node, old in reversed(olds):
                self.set(node, old)
        return bad

    def may(self, who: str, node: Node, own: bool) -> bool:
        """An administrator's rights are over what lies below its node; `own`: and over the node."""
        if who in self.owners:
            return True
        return any(who in each.admins for each in self.path(node) if own or each is not node)

    # --- changes by administrators ---

    def apply(self, index: int, change: c.Change) -> Refused | None:
        """None: done."""
        do, seen = change.do, self.nodes.get(change.do.node)
        subject = self.nodes.get(do.parent) if isinstance(do, c.Open) else seen
        if subject is None:
            name = do.parent if isinstance(do, c.Open) else do.node
            return Refused(name[: c.MOST_NAME], "unknown", "no such node; look at the tree")
        if not change.why.strip() or len(change.why) > c.MOST_WHY or not 0 < len(change.who) <= c.MOST_NAME:
            return Refused(subject.id, "unexplained", f"say who and why, in 1 to {c.MOST_WHY} characters")
        if not self.may(change.who, subject, isinstance(do, c.Open | c.Lend | c.Borrow | c.Repay)):
            return Refused(subject.id, "no-right", "ask an administrator of a node above it")
        if change.version != subject.version:
            return Refused(subject.id, "stale", f"it is at version {subject.version} by now; look again")
        if subject.closed:
            return Refused(subject.id, "closed", "open another node")
        if isinstance(do, c.Move) and (to := self.nodes.get(do.to)) and not self.may(change.who, to, True):
            return Refused(to.id, "no-right", "ask an administrator of both places")
        if isinstance(do, c.Open):
            bad = self.open(do, subject)
        elif not 0 < getattr(do, "amount", 1) <= c.MOST_TOKENS:
            bad = Refused(subject.id, "amount", f"1 to {c.MOST_TOKENS} tokens are wanted")
        else:
            bad = self.handlers[type(do)](index, do, subject)
        if bad is None:
            changed = self.nodes[do.node]
            changed.version, changed.who = index, change.who
            changed.at, changed.why = change.at, change.why
        return bad

    def open(self, do: c.Open, parent: Node) -> Refused | None:
        if not 0 < len(do.node) <= c.MOST_NAME or do.node in self.nodes:
            return Refused(do.node[: c.MOST_NAME], "name", f"a new name of 1 to {c.MOST_NAME} is wanted")
        if len(self.nodes) >= c.MOST_NODES:
            return Refused(parent.id, "full", f"{c.MOST_NODES} nodes are open; close some, they go at a turn")
        if sum(1 for _ in self.path(parent)) >= c.MOST_DEPTH:
            return Refused(parent.id, "too-deep", f"{c.MOST_DEPTH} levels are the most; open it higher up")
        if parent.recall:
            return Refused(parent.id, "recall", "its tokens are called back; wait until they have come")
        if (bad := self.few(do.node, do.admins)) is not None:
            return bad
        self.nodes[do.node] = Node(do.node, parent.id, do.admins)
        self.kids[do.node] = set()
        self.kids[parent.id].add(do.node)
        return None

    def few(self, id: str, admins: tuple[str, ...]) -> Refused | None:
        if len(admins) <= c.MOST_ADMINS and all(0 < len(who) <= c.MOST_NAME for who in admins):
            return None
        return Refused(id, "admins", f"{c.MOST_ADMINS} of {c.MOST_NAME} characters each are the most")

    def appoint(self, _: int, do: c.Appoint, node: Node) -> Refused | None:
        return self.few(node.id, do.admins) or self.alter((node, {"admins": do.admins}))

    def delegate(self, _: int, do: c.Delegate, node: Node) -> Refused | None:
        if node.given + do.amount > c.MOST_TOKENS:
            return Refused(node.id, "amount", f"no node can have more than {c.MOST_TOKENS}")
        return self.alter((node, {"given": node.given + do.amount}))

    def take_back(self, _: int, do: c.TakeBack, node: Node) -> Refused | None:
        """What children have, what is kept for them, what was spent and what was lent can't be taken."""
        now = min(do.amount, node.given if node.terms.soft else node.free() - node.reserved)
        later = do.amount - now
        held = 0 if node.terms.soft or self.kids[node.id] else node.held - node.recall
        if later > held:
            return Refused(node.id, "in-use", f"{now + held} can be taken back; take from below it first")
        return self.alter((node, {"given": node.given - now, "recall": node.recall + later}))

    def move(self, _: int, do: c.Move, node: Node) -> Refused | None:
        to = self.nodes.get(do.to)
        if to is None or to.closed:
            return Refused(do.to[: c.MOST_NAME], "unknown", "no such node is open; look at the tree")
        if not node.parent or any(each is node for each in self.path(to)):
            return Refused(node.id, "circle", f"{to.id} lies below it; move it to a node that does not")
        if node.loans or node.lent:
            return Refused(node.id, "loans", "have all that it lent or borrowed returned first")
        deep = sum(1 for _ in self.path(to)) + 1 + max(depth for depth, _ in self.below(node))
        if deep > c.MOST_DEPTH:
            return Refused(to.id, "too-deep", f"{deep} levels; {c.MOST_DEPTH} are the most")
        if to.recall:
            return Refused(to.id, "recall", "its tokens are called back; wait until they have come")
        return self.alter((node, {"parent": to.id}))

    def close(self, _: int, do: c.Close, node: Node) -> Refused | None:
        still = [kid for kid in self.kids[node.id] if not self.nodes[kid].closed]
        if still or not node.parent:
            return Refused(min(still, default=node.id), "open", "close it first; the root stays")
        if node.loans or node.lent:
            return Refused(node.id, "loans", "have all that it lent or borrowed returned first")
        terms = Terms(overcommit=node.terms.overcommit, soft=node.terms.soft)
        given = min(node.given, node.held + node.spent)
        return self.alter((node, {"given": given, "recall": node.held, "closed": True, "terms": terms}))

    def terms(self, _: int, do: c.Set, node: Node) -> Refused | None:
        if wrong := do.terms.fault():
            return Refused(node.id, "terms", wrong)
        if do.terms.soft and not node.parent:
            return Refused(node.id, "terms", "soft: the root is hard, since nothing is above it")
        return self.alter((node, {"terms": do.terms}))

    # --- loans between siblings ---

    def lend(self, _: int, do: c.Lend, node: Node) -> Refused | None:
        if not 0 <= do.most <= c.MOST_TOKENS:
            return Refused(node.id, "amount", f"0 to {c.MOST_TOKENS} tokens are wanted")
        return self.alter((node, {"lends": do.most}))

    def borrow(self, index: int, do: c.Borrow, node: Node) -> Refused | None:
        lender = self.nodes.get(do.of)
        if lender is None or lender is node or lender.parent != node.parent or lender.closed:
            return Refused(do.of[: c.MOST_NAME], "unknown", "no such sibling is open; look at the tree")
        spare = lender.free() - max(lender.keep(), lender.terms.minimum - lender.held - lender.spent)
        most = max(0, min(lender.lends - lender.lent, spare))
        if do.amount > most or lender.recall:
            return Refused(lender.id, "lends", f"it can lend {most} now; ask for that, or its administrator")
        if len(node.loans) >= c.MOST_LOANS or node.recall:
            return Refused(node.id, "loans", f"{c.MOST_LOANS} loans are the most; repay some")
        loans = [*node.loans, Loan(index, lender.id, do.amount)]
        return self.alter(
            (lender, {"given": lender.given - do.amount, "lent": lender.lent + do.amount}),
            (node, {"given": node.given + do.amount, "loans": loans}),
        )

    def repay(self, _: int, do: c.Repay, node: Node) -> Refused | None:
        owed = sum(loan.amount for loan in node.loans)
        most = min(owed, node.given if node.terms.soft else node.free() - node.reserved)
        if do.amount > most:
            return Refused(node.id, "amount", f"{most} can be returned now")
        rest, loans, wanted = do.amount, list[Loan](), list[tuple[Node, dict[str, Any]]]()
        back: dict[str, int] = {}
        for loan in node.loans:
            paid = min(rest, loan.amount)
            rest -= paid
            back[loan.of] = back.get(loan.of, 0) + paid
            if paid < loan.amount:
                loans.append(Loan(loan.number, loan.of, loan.amount - paid))
        for id, paid in back.items():
            lender = self.nodes[id]
            wanted.append((lender, {"given": lender.given + paid, "lent": lender.lent - paid}))
        return self.alter((node, {"given": node.given - do.amount, "loans": loans}), *wanted)

    # --- what is held and spent ---

    def barred(self, node: Node) -> Refused | None:
        """Why no slice may be given there, whatever is free."""
        if self.kids[node.id]:
            return Refused(node.id, "has-parts", "name a project below it")
        for each in self.path(node):
            if each.closed:
                return Refused(each.id, "closed", "name another project")
            if each.suspended:
                return Refused(each.id, "suspended", "ask its administrator")
        return None

    def room(self, node: Node) -> tuple[int, Node]:
        """How many tokens could be held there now, and the node of the path that allows no more."""
        least, where, others = c.MOST_TOKENS, node, 0
        kept = 0
        for each in self.path(node):
            others += each.reserved - kept  # for others' minimums, at this node and below it
            if not each.terms.soft and each.free() - others < least:
                least, where = each.free() - others, each
            kept = each.keep()
        return max(0, least), where

    def hold(self, node: Node, amount: int) -> Refused | None:
        if (bad := self.barred(node)) is not None:
            return bad
        least, where = self.room(node)
        if not 0 < amount <= least:
            return Refused(where.id, "empty", f"{least} tokens are free; wait for its refill, or delegate")
        self.shift(node, amount, 0)
        return None

    def settle(self, node: Node, spent: int, back: int) -> None:
        """Of what is held at the node, `spent` is spent and `back` is free again."""
        self.shift(node, -spent - back, spent)

    def shift(self, node: Node, held: int, spent: int) -> None:
        node.own_held, node.own_spent = node.own_held + held, node.own_spent + spent
        kept, back = 0, max(0, -held - spent)
        for each in self.path(node):
            before = each.keep()
            each.reserved += kept
            each.held, each.spent = each.held + held, each.spent + spent
            if each.recall:
                returned = min(each.recall, back, each.given)
                each.given -= returned
                each.recall = min(each.recall - returned, each.held)
                if (parent := self.nodes.get(each.parent)) is not None:
                    parent.parts -= returned
            kept = each.keep() - before


def encode(entry: c.Entry) -> bytes:
    return msgspec.msgpack.encode(entry)


def decode(data: bytes) -> c.Entry:
    """Raises msgspec.ValidationError, a ValueError, for what is none."""
    return READ.decode(data)


READ: msgspec.msgpack.Decoder[c.Entry] = msgspec.msgpack.Decoder(c.Change | c.Act)
