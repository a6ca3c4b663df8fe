"""Replicated commands of the budget tree and their rejections. Amounts are whole tokens."""

from __future__ import annotations

from msgspec import Struct

MAX_DEPTH = 8  # nodes on a path, including the root
MAX_NODES = 200_000
MAX_TOKENS = 10**15  # at one node
MAX_NAME_CHARS, MAX_REASON_CHARS = 200, 500
MAX_ADMINS, MAX_LOANS = 16, 16  # per node
OVERCOMMIT_UNIT = 1000  # in thousandths: with this value, children may be given exactly what the node has
MAX_OVERCOMMIT = 10 * OVERCOMMIT_UNIT


class Rejection(Struct, frozen=True):
    """Why a command was rejected without any change: `code` is one word for scripts, `node` is the node whose
    rule failed, and `action` says what the caller can do."""

    node: str
    code: str
    action: str

    def __str__(self) -> str:
        return f"{self.code} {self.node}: {self.action}"


class QuotaTerms(Struct, frozen=True, array_like=True):
    """Quota rules of a node.

    Each period adds `refill` tokens, and up to `carry` of the tokens that are free at its end carry over.
    `minimum`, a part of the refill, is reserved against all other nodes. The ceiling of a soft node is
    reported but not enforced. Children may be given `overcommit` thousandths of what the node has.
    """

    refill: int = 0
    carry: int = 0
    minimum: int = 0
    overcommit: int = OVERCOMMIT_UNIT
    soft: bool = False

    def validation_error(self) -> str:
        """Returns what is invalid in the terms taken by themselves, or an empty string."""
        for name in ("refill", "carry", "minimum"):
            if not 0 <= getattr(self, name) <= MAX_TOKENS:
                return f"{name}: must be 0 to {MAX_TOKENS}"
        if not OVERCOMMIT_UNIT <= self.overcommit <= MAX_OVERCOMMIT:
            return f"overcommit: must be {OVERCOMMIT_UNIT} to {MAX_OVERCOMMIT} thousandths"
        return "" if self.minimum <= self.refill else "minimum: must not exceed the refill"


# --- administrator commands: `node` is the subject, and the version is that of the subject's last change ---


class OpenNode(Struct, frozen=True, array_like=True, tag="open"):
    """Creates an empty node below `parent`. The expected version is the parent's."""

    node: str
    parent: str
    admins: tuple[str, ...] = ()


class DelegateQuota(Struct, frozen=True, array_like=True, tag="delegate"):
    """Raises the node's ceiling by `amount` out of its parent's tokens. At the root this is a grant by the
    owners."""

    node: str
    amount: int


class ReclaimQuota(Struct, frozen=True, array_like=True, tag="take-back"):
    """Lowers the node's ceiling. Free tokens return at once; tokens held in slices return once they come back
    unspent."""

    node: str
    amount: int


class MoveNode(Struct, frozen=True, array_like=True, tag="move"):
    """Moves the node with its subtree, its ceiling, and what it holds and has spent in this period."""

    node: str
    new_parent: str


class SuspendNode(Struct, frozen=True, array_like=True, tag="suspend"):
    """While `suspended`, no slices are granted at the node or below it."""

    node: str
    suspended: bool


class CloseNode(Struct, frozen=True, array_like=True, tag="close"):
    """Closes the node permanently. It is removed at the first start of a period at which it holds nothing."""

    node: str


class SetTerms(Struct, frozen=True, array_like=True, tag="set"):
    """Replaces the node's quota terms."""

    node: str
    terms: QuotaTerms


class SetAdmins(Struct, frozen=True, array_like=True, tag="appoint"):
    """Replaces the node's administrators."""

    node: str
    admins: tuple[str, ...]


class OfferLoans(Struct, frozen=True, array_like=True, tag="lend"):
    """Lets siblings borrow the node's unused tokens, up to `limit` in total."""

    node: str
    limit: int


class BorrowQuota(Struct, frozen=True, array_like=True, tag="borrow"):
    """Borrows from a sibling. The oldest loan is repaid first: by `RepayLoans`, and at the start of a period
    out of the new tokens."""

    node: str
    lender: str
    amount: int


class RepayLoans(Struct, frozen=True, array_like=True, tag="repay"):
    """Repays `amount` of the node's loans, the oldest first."""

    node: str
    amount: int


AdminCommand = (
    OpenNode
    | DelegateQuota
    | ReclaimQuota
    | MoveNode
    | SuspendNode
    | CloseNode
    | SetTerms
    | SetAdmins
    | OfferLoans
    | BorrowQuota
    | RepayLoans
)


class AdminChange(Struct, frozen=True, array_like=True, tag="change"):
    """A command with its author, its time (Unix ms), its reason, and the version of the subject that the
    author saw."""

    author: str
    changed_at: int
    reason: str
    version: int
    command: AdminCommand


# --- operations of the duty's holder, fenced by its token ---


class BeginTerm(Struct, frozen=True, array_like=True, tag="begin"):
    """First entry of a new holder. Once it is applied, entries under older tokens are rejected, and the
    holder's replica includes every earlier entry that was accepted."""


class StartPeriod(Struct, frozen=True, array_like=True, tag="turn"):
    """Starts period `number`. Missed periods are not made up for: there is a single refill."""

    number: int


class GrantSlice(Struct, frozen=True, array_like=True, tag="give"):
    """Lends a slice of the node's tokens to one life of an invoker. The invoker may spend the first
    `initial_limit` tokens at once. The slice expires `duration` after its request `request_number`, by the
    invoker's own clock."""

    node: str
    invoker: str
    life: int
    request_number: int
    amount: int
    initial_limit: int
    duration: int


class SettleSlice(Struct, frozen=True, array_like=True, tag="told"):
    """Cumulative totals of a slice: tokens spent and tokens returned; neither ever decreases. `ended`:
    nothing more can be taken from the slice."""

    slice_id: int
    spent: int
    returned: int
    ended: bool = False


class HolderEntry(Struct, frozen=True, array_like=True, tag="act"):
    """An operation under the fencing token of the duty's holder."""

    token: int
    operation: BeginTerm | StartPeriod | GrantSlice | SettleSlice


LogEntry = AdminChange | HolderEntry
