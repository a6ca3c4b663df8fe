"""The metrics for operators: integer counters and gauges, updated where the event happens."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# result of a request -> field of ClassMetrics
COUNTERS_BY_RESULT = {
    "served": "ok",
    "refused": "shed",
    "failed": "errors",
}


@dataclass(slots=True)
class ClassMetrics:
    """Counters of one class: final answers by result, and attempts completely written to model hosts."""

    ok: int = 0
    shed: int = 0
    errors: int = 0
    tries: int = 0


class Metrics:
    """All metrics since the start of the process.

    Each has one writer, whose updates never yield, so readers copy the values without asking an actor.
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.classes: dict[str, ClassMetrics] = {}  # a class that is removed later keeps its counters
        self.config_applied = self.config_rejected = 0
        self.waiting = self.open = 0  # calls queued for the request table, and in it
        self.pool_size = 0  # model hosts in the list
        self.banned = self.avoided = 0  # of these, banned by an operator, and excluded by the router
        self.watched = False  # an admin listener runs: keep costly gauges current
        self.connection_ends: dict[str, int] = {}  # of clients, by reason
        self.calls_owed: dict[str, int] = {}  # without an answer at these ends, by reason
        self.end_faults = 0  # ends for a reason that may not leave calls without an answer
        self.add_classes(names)

    @property
    def active(self) -> int:
        """Number of accepted requests without a final answer."""
        return self.waiting + self.open

    @property
    def pool_ejected(self) -> int:
        """Number of listed model hosts that the router or an operator excludes."""
        return self.banned + self.avoided

    def add_classes(self, names: Iterable[str]) -> None:
        """Report these classes from now on, starting at 0."""
        for name in names:
            self.classes.setdefault(name, ClassMetrics())

    def class_metrics(self, name: str) -> ClassMetrics:
        """Return the counters of a class, created on first use."""
        return self.classes.setdefault(name, ClassMetrics())

    def count_final_answer(self, name: str, result: str) -> None:
        """Count a final answer in that class. Withdrawn requests are not counted."""
        if result not in COUNTERS_BY_RESULT:
            return
        counters, field = self.class_metrics(name), COUNTERS_BY_RESULT[result]
        setattr(counters, field, getattr(counters, field) + 1)
