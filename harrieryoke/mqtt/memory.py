"""Cache of the final answers of idempotency keys: a redelivered key is never called a second time."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ..broker_session import BODY_NOT_KEPT

W = TypeVar("W")


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The final answer of a trigger."""

    outcome: str  # served, refused or failed
    body: bytes = b""
    reason: str = ""
    retry_after: float | None = None


@dataclass(slots=True)
class KeyRecord(Generic[W]):
    """A key that was called: its answer, or until then those who wait for it."""

    updated_at: float
    waiters: list[W] = field(default_factory=list)
    answer: FinalAnswer | None = None


class KeyCache(Generic[W]):
    """Keeps answers for `retention_ms`, and their bodies up to `max_body_bytes`. A key whose body was dropped
    stays known as answered."""

    def __init__(self, retention_ms: float, max_body_bytes: int, max_keys: int) -> None:
        self.retention_ms, self.max_body_bytes, self.max_keys = retention_ms, max_body_bytes, max_keys
        self.records: OrderedDict[str, KeyRecord[W]] = OrderedDict()  # least recently updated first
        self.body_sizes: OrderedDict[str, int] = OrderedDict()
        self.body_bytes = 0

    def find(self, key: str, now: float) -> KeyRecord[W] | None:
        """Return the key's record, after the expired ones are removed."""
        while self.records:
            oldest, record = next(iter(self.records.items()))
            if record.answer is None or (
                now - record.updated_at < self.retention_ms and len(self.records) <= self.max_keys
            ):
                break
            self.remove(oldest)
        return self.records.get(key)

    def begin(self, key: str, now: float, waiter: W) -> None:
        """Record a key that is called now."""
        self.remove(key)
        self.records[key] = KeyRecord(now, [waiter])

    def complete(self, key: str, now: float, answer: FinalAnswer) -> list[W]:
        """Keep the answer and return who waited for it."""
        record = self.records[key]
        self.records.move_to_end(key)
        waiters, record.waiters, record.answer, record.updated_at = record.waiters, [], answer, now
        self.body_sizes[key] = len(answer.body)
        self.body_bytes += len(answer.body)
        while self.body_bytes > self.max_body_bytes:
            # Drop the oldest body to bound the memory. Its key stays known, so it is not called again.
            oldest, size = self.body_sizes.popitem(last=False)
            self.body_bytes -= size
            self.records[oldest].answer = FinalAnswer("failed", reason=BODY_NOT_KEPT)
        return waiters

    def answers(self) -> Iterator[tuple[str, float, FinalAnswer]]:
        """Yield the answered keys, the oldest first, with the time of each answer."""
        for key, record in self.records.items():
            if record.answer is not None:
                yield key, record.updated_at, record.answer

    def restore(self, key: str, answered_at: float, answer: FinalAnswer) -> None:
        """Insert an answer that another process gave; to be called in the order of `answers`."""
        self.remove(key)
        self.records[key] = KeyRecord(answered_at)
        self.complete(key, answered_at, answer)

    def remove(self, key: str) -> None:
        """Forget a key and its body."""
        if self.records.pop(key, None) is not None:
            self.body_bytes -= self.body_sizes.pop(key, 0)
