"""The metrics that operators read: integer counters and gauges, updated where the event happens."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

COUNTERS_BY_RESULT = {
    "served": "ok",
    "refused": "shed",
    "failed": "errors",
}  # how a request ends -> the metric


@dataclass(slots=True)
class ClassMetrics:
    """Counters of one class: final answers by result, and attempts written whole to model hosts."""

    ok: int = 0
    shed: int = 0
    errors: int = 0
    tries: int = 0


class Metrics:
    """All metrics, counted from the start of the process. Each has one writer, whose updates never yield, so
    readers copy the values directly and need no message to an actor."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.classes: dict[str, ClassMetrics] = {}  # a class that is dropped later keeps its counters
        self.config_applied = self.config_rejected = 0
        self.waiting = self.open = 0  # calls queued for the request table, and in it
        self.pool_size = 0  # model hosts in the list
        self.banned = self.avoided = 0  # of them, drained by an operator, and avoided by the router
        self.watched = False  # an admin listener runs: gauges that cost a lookup are kept fresh
        self.add_classes(names)

    @property
    def active(self) -> int:
        """Requests accepted and without a final answer."""
        return self.waiting + self.open

    @property
    def pool_ejected(self) -> int:
        """Listed model hosts out of use, by the router's choice or by an operator's."""
        return self.banned + self.avoided

    def add_classes(self, names: Iterable[str]) -> None:
        """Report these classes from now on, with 0 until something is counted."""
        for name in names:
            self.classes.setdefault(name, ClassMetrics())

    def class_metrics(self, name: str) -> ClassMetrics:
        """Return the counters of a class, created on first use."""
        return self.classes.setdefault(name, ClassMetrics())

    def count_final_answer(self, name: str, how: str) -> None:
        """Count the end of a request of that class; one that its client withdrew counts nowhere."""
        if how not in COUNTERS_BY_RESULT:
            return
        counters, result = self.class_metrics(name), COUNTERS_BY_RESULT[how]
        setattr(counters, result, getattr(counters, result) + 1)
