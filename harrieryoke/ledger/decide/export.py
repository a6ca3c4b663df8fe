"""The export's state: numbered batches that reach the collector exactly once.

A batch is a run of entries of one epoch. It is cut once and never changes: what was sent under a number is
what is sent again under it. The collector keeps a batch by (instance, epoch, number) and takes it once; an
answer that was lost costs a second sending, which it knows. Only what it has acknowledged with the right
digest is forgotten here, and not before it was kept for a while: a collector that goes back to an older state
is sent again what it no longer has.

    cut -> waiting -> out -> acknowledged (kept until its room is wanted)
               ^        +--> set aside (refused for good: shown, and never blocks the rest)
               +--------+ the connection ended, or no answer came in time
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class BatchId(NamedTuple):
    epoch: int
    number: int


Saved = tuple[int, int, int, int, int, int, str, str, str]  # a batch in a snapshot


class State(Enum):
    WAITING = "waiting"
    OUT = "out"
    DONE = "done"
    ASIDE = "aside"


@dataclass(slots=True)
class Batch:
    """A run of entries, by their numbers in the epoch, and where they are in the store."""

    id: BatchId
    first: int
    last: int
    begin: int  # the store's sequence number of the first
    end: int  # and of the last
    digest: str
    state: State = State.WAITING
    tries: int = 0
    sent: float = 0.0
    reason: str = ""


@dataclass(slots=True)
class EpochOut:
    """One epoch's batches. All up to `done` are acknowledged or set aside."""

    cut: int = 0  # the newest batch's number
    done: int = 0
    last: int = 0  # the newest entry in a batch
    forgotten: int = 0  # batches up to here are not kept any more


@dataclass(slots=True)
class ExportState:
    """Owned by the export. Times are milliseconds. `window` batches are out at a time."""

    window: int = 4
    answer_ms: float = 5000.0
    keep: int = 256  # acknowledged batches that are kept for a collector that goes back
    most_aside: int = 1000
    epochs: dict[int, EpochOut] = field(default_factory=dict)
    batches: dict[BatchId, Batch] = field(default_factory=dict)
    waiting: deque[BatchId] = field(default_factory=deque)
    out: dict[BatchId, Batch] = field(default_factory=dict)
    acked: deque[BatchId] = field(default_factory=deque)  # the oldest first
    aside: dict[BatchId, Batch] = field(default_factory=dict)
    lost: list[tuple[int, int, int]] = field(default_factory=list)  # epoch, batches: gone there and here
    holes: list[tuple[int, int, int]] = field(default_factory=list)  # epoch, entries that are in no batch
    sent_again: int = 0
    twice: int = 0  # answers to what was answered before
    wrong: int = 0  # answers with another digest

    def cut(self, epoch: int, first: int, last: int, begin: int, end: int, digest: str) -> Batch:
        """The next batch. Its cut must be kept durably before it is sent."""
        out = self.epochs.setdefault(epoch, EpochOut())
        if first <= out.last:
            raise ValueError(f"entry {first} is in a batch already: {out.last} is the last that is")
        if first > out.last + 1:  # damaged, or gone for want of room: the collector sees it by the numbers
            self.holes.append((epoch, out.last + 1, first - 1))
        out.cut, out.last = out.cut + 1, last
        batch = Batch(BatchId(epoch, out.cut), first, last, begin, end, digest)
        self.batches[batch.id] = batch
        self.waiting.append(batch.id)
        return batch

    def next_to_send(self, now: float) -> Batch | None:
        """The batch that goes next, marked as out; None where nothing may go now."""
        if len(self.out) >= self.window or not self.waiting:
            return None
        batch = self.batches[self.waiting.popleft()]
        batch.state, batch.sent = State.OUT, now
        batch.tries += 1
        self.sent_again += batch.tries > 1
        self.out[batch.id] = batch
        return batch

    def overdue(self, now: float) -> bool:
        """Whether an answer is owed for too long: then the connection is given up."""
        return any(now - batch.sent > self.answer_ms for batch in self.out.values())

    def connection_lost(self) -> None:
        """What was out goes again, in order, ahead of the rest."""
        for batch in self.out.values():
            batch.state = State.WAITING
        self.waiting.extendleft(sorted(self.out, reverse=True))
        self.out.clear()

    def welcome(self, held: dict[int, int]) -> None:
        """A new connection: the collector says up to which batch of each epoch it has all. What it has is
        done here too; what it had acknowledged and no longer has goes again, if it is still kept."""
        for epoch, out in self.epochs.items():
            upto = held.get(epoch, 0)
            for number in range(out.forgotten + 1, min(upto, out.cut) + 1):
                batch = self.batches.get(BatchId(epoch, number))
                if batch is not None and batch.state is not State.ASIDE:
                    self.welcomed(batch)
            gone = range(upto + 1, min(out.forgotten, out.done) + 1)
            if gone and (epoch, gone[0], gone[-1]) not in self.lost:
                self.lost.append((epoch, gone[0], gone[-1]))
            kept = (self.batches.get(BatchId(epoch, n)) for n in range(out.cut, max(upto, out.forgotten), -1))
            for batch in [b for b in kept if b is not None and b.state is State.DONE]:
                batch.state = State.WAITING
                self.waiting.appendleft(batch.id)
                self.acked.remove(batch.id)
            out.done = max(min(upto, out.done), out.forgotten)
            self.advance(epoch)

    def welcomed(self, batch: Batch) -> None:
        """It is known from elsewhere that the collector has it."""
        if batch.state is not State.DONE:
            self.finish(batch, State.DONE)

    def acknowledged(self, id: BatchId, digest: str) -> bool:
        """Whether it counts. An answer for what is not out any more, or with another digest, does not."""
        batch = self.batches.get(id)
        if batch is None or batch.state is not State.OUT:
            self.twice += 1
            return False
        if batch.digest != digest:
            # guards against a collector that has other entries under this number
            self.wrong += 1
            self.set_aside(id, f"the collector has another digest: {digest}")
            return False
        self.finish(batch, State.DONE)
        return True

    def refused(self, id: BatchId, reason: str, for_good: bool) -> None:
        batch = self.batches.get(id)
        if batch is None or batch.state is not State.OUT:
            return
        if for_good:
            self.set_aside(id, reason)
            return
        del self.out[id]
        batch.state, batch.reason = State.WAITING, reason
        self.waiting.append(id)

    def set_aside(self, id: BatchId, reason: str) -> None:
        batch = self.batches[id]
        batch.reason = reason
        self.finish(batch, State.ASIDE)

    def again(self, id: BatchId) -> bool:
        """An operator's word: a batch that was set aside is tried once more."""
        batch = self.aside.pop(id, None)
        if batch is None:
            return False
        batch.state, batch.tries = State.WAITING, 0
        self.waiting.append(id)
        return True

    def finish(self, batch: Batch, state: State) -> None:
        self.out.pop(batch.id, None)
        if batch.id in self.waiting:
            self.waiting.remove(batch.id)
        batch.state = state
        if state is State.ASIDE:
            self.aside[batch.id] = batch
        else:
            self.acked.append(batch.id)
        self.advance(batch.id.epoch)
        while len(self.acked) > self.keep and self.epochs[self.acked[0].epoch].done >= self.acked[0].number:
            old = self.acked.popleft()
            del self.batches[old]
            self.epochs[old.epoch].forgotten = max(self.epochs[old.epoch].forgotten, old.number)

    def advance(self, epoch: int) -> None:
        out = self.epochs[epoch]
        while out.done < out.cut:
            batch = self.batches.get(BatchId(epoch, out.done + 1))
            if batch is not None and batch.state not in (State.DONE, State.ASIDE):
                return
            out.done += 1

    def needed(self) -> int | None:
        """The store's first sequence number that is still wanted; None for nothing."""
        return min((b.begin for b in self.batches.values()), default=None)

    def unsent(self) -> int:
        """Entries in batches that the collector has not acknowledged."""
        return sum(b.last - b.first + 1 for b in self.batches.values() if b.state is not State.DONE)

    def dump(self) -> tuple[list[list[int]], list[Saved]]:
        """For a snapshot. What is out waits again after a restart."""
        return (
            [[e, o.cut, o.done, o.last, o.forgotten] for e, o in self.epochs.items()],
            [
                (*b.id, b.first, b.last, b.begin, b.end, b.digest, b.state.value, b.reason)
                for b in sorted(self.batches.values(), key=lambda b: b.id)
            ],
        )

    def load(self, told: tuple[list[list[int]], list[Saved]]) -> None:
        for epoch, *rest in told[0]:
            self.epochs[epoch] = EpochOut(*rest)
        for epoch, number, first, last, begin, end, digest, state, reason in told[1]:
            id = BatchId(epoch, number)
            batch = Batch(id, first, last, begin, end, digest, State(state), reason=reason)
            self.batches[id] = batch
            if batch.state in (State.OUT, State.WAITING):
                batch.state = State.WAITING
                self.waiting.append(id)
            elif batch.state is State.DONE:
                self.acked.append(id)
            else:
                self.aside[id] = batch
