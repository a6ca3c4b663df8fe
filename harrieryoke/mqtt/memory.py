"""Which keys were called, and how that ended: a key redelivered is never called a second time."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Generic, TypeVar

W = TypeVar("W")


@dataclass(frozen=True, slots=True)
class Final:
    """One final answer."""

    outcome: str  # served, refused or failed
    body: bytes = b""
    reason: str = ""
    retry_after: float | None = None


@dataclass(slots=True)
class Known(Generic[W]):
    """A key that was called: who waits for its answer, or the answer."""

    at: float
    waiting: list[W] = field(default_factory=list)
    final: Final | None = None


class KeyMemory(Generic[W]):
    """Answers are kept for `keep_ms` within `most_bytes`; of those beyond, that they were given is kept."""

    def __init__(self, keep_ms: float, most_bytes: int, most: int) -> None:
        self.keep_ms, self.most_bytes, self.most = keep_ms, most_bytes, most
        self.known: OrderedDict[str, Known[W]] = OrderedDict()
        self.bodies: OrderedDict[str, int] = OrderedDict()
        self.held = 0

    def find(self, key: str, now: float) -> Known[W] | None:
        while self.known:
            oldest, known = next(iter(self.known.items()))
            if known.final is None or (now - known.at < self.keep_ms and len(self.known) <= self.most):
                break
            self.forget(oldest)
        return self.known.get(key)

    def begin(self, key: str, now: float, waiter: W) -> None:
        self.forget(key)
        self.known[key] = Known(now, [waiter])

    def end(self, key: str, now: float, final: Final) -> list[W]:
        """Keeps the answer; returns those who waited for it."""
        known = self.known[key]
        self.known.move_to_end(key)
        waiting, known.waiting, known.final, known.at = known.waiting, [], final, now
        self.bodies[key] = len(final.body)
        self.held += len(final.body)
        while self.held > self.most_bytes:
            # guards the process's memory: the oldest body goes, and its key is still not called again
            old, size = self.bodies.popitem(last=False)
            self.held -= size
            self.known[old].final = Final("failed", reason="answered before; that answer is no longer kept")
        return waiting

    def forget(self, key: str) -> None:
        if self.known.pop(key, None) is not None:
            self.held -= self.bodies.pop(key, 0)
