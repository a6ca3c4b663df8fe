"""The chain of plug-ins that one call goes through: which is asked next, and the merged result."""

from __future__ import annotations

from dataclasses import dataclass, field

from .abi import ADMIT, Advice
from .merge import MergedAdvice

FAILURE_POLICIES = ("admit", "refuse")


@dataclass(frozen=True, slots=True)
class ChainEntry:
    """A plug-in in a call's chain, with the version that the call keeps until its outcome."""

    plugin: str
    version: int
    on_failure: str = "admit"


@dataclass(slots=True)
class PluginChain:
    """The progress of one call along its chain.

    `next` is the plug-in to ask, or None at the end. `record` takes one answer of each; it ignores a late or
    second one and returns False.
    """

    entries: list[ChainEntry]
    max_retry_after_ms: float
    position: int = 0
    merged: MergedAdvice = field(default_factory=MergedAdvice)
    withdrawn: bool = False
    completed: bool = False  # the call was passed on to the decision module, refused or dropped
    default_count: int = 0

    def next(self) -> ChainEntry | None:
        ended = self.withdrawn or self.merged.retry_after_ms is not None
        return None if ended or self.position >= len(self.entries) else self.entries[self.position]

    def record(self, entry: ChainEntry, advice: Advice | None) -> bool:
        """Record an answer. None stands for no usable answer, and the plug-in's `on_failure` applies."""
        if self.next() is not entry:
            return False
        self.position += 1
        if advice is None:
            self.default_count += 1
            advice = ADMIT if entry.on_failure == "admit" else Advice(retry_after_ms=self.max_retry_after_ms)
        self.merged.add(entry.plugin, advice)
        return True

    def asked_entries(self) -> list[ChainEntry]:
        """The plug-ins that were asked; each of them is told the call's outcome."""
        return self.entries[: self.position]


def hook_deadlines(
    now: float, received_at: float, deadline: float, call_ms: float, all_ms: float, max_share: float = 0.2
) -> tuple[float, float]:
    """The times until which the next plug-in, and all plug-ins together, may keep a call.

    Both are limited to a share of the client's time limit, however long the budgets are.
    """
    all_deadline = min(received_at + all_ms, received_at + max_share * (deadline - received_at))
    return min(now + call_ms, all_deadline), all_deadline
