"""A member's copy of the log, and what a disk's records come to."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .messages import Configuration, Entry, HardState, PersistentRecord, ReplicaId, Snapshot


@dataclass(slots=True)
class RaftLog:
    """Entries after `base`; those up to it are in a snapshot. Index and term of nothing are 0."""

    base_index: int = 0
    base_term: int = 0
    entries: list[Entry] = field(default_factory=list)

    def last_index(self) -> int:
        return self.base_index + len(self.entries)

    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """None for what is not here."""
        if index == self.base_index:
            return self.base_term
        return (
            self.entries[index - self.base_index - 1].term
            if self.base_index < index <= self.last_index()
            else None
        )

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.base_index - 1]

    def entries_from(self, first_index: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Entries from `begin` on: at least one where there is one, else no more than either bound."""
        batch, size = list[Entry](), 0
        for entry in self.entries[
            first_index - self.base_index - 1 : first_index - self.base_index - 1 + max_entries
        ]:
            size += entry.size_bytes()
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def truncate_and_append(self, entry: Entry) -> None:
        """At its index; what was there and behind it goes. Raises ValueError for a hole."""
        if not self.base_index < entry.index <= self.last_index() + 1:
            raise ValueError(
                f"entry {entry.index} behind {self.last_index()}, after a snapshot up to {self.base_index}"
            )
        del self.entries[entry.index - self.base_index - 1 :]
        self.entries.append(entry)

    def conflict_hint(self, index: int) -> int:
        """Where a leader may try after `index` did not fit: before the term that is there (Raft, 5.3)."""
        if index > self.last_index():
            return self.last_index()
        term = self.term_at(index)
        while index > self.base_index and self.term_at(index) == term:
            index -= 1
        return index

    def install_snapshot(self, snapshot: Snapshot) -> bool:
        """Entries behind the snapshot stay where they fit to it; else all go, and False."""
        matches = self.term_at(snapshot.index) == snapshot.term
        self.entries = self.entries[snapshot.index - self.base_index :] if matches else []
        self.base_index, self.base_term = snapshot.index, snapshot.term
        return matches

    def discard_through(self, index: int) -> None:
        """Those up to `upto`, which a snapshot stands for."""
        if index > self.base_index:
            term = self.entry(index).term
            del self.entries[: index - self.base_index]
            self.base_index, self.base_term = index, term


@dataclass(slots=True)
class PersistentState:
    """What a member had on its disk. `add` in the order of the records."""

    term: int = 0
    voted_for: ReplicaId | None = None
    snapshot: Snapshot = field(default_factory=lambda: Snapshot(0, 0, Configuration()))
    log: RaftLog = field(default_factory=RaftLog)

    def apply_record(self, record: PersistentRecord) -> None:
        """Raises ValueError for an entry that leaves a hole: the disk has lost what was durable."""
        if isinstance(record, HardState):
            self.term, self.voted_for = record.term, record.vote
        elif isinstance(record, Entry):
            self.log.truncate_and_append(record)
        else:
            self.snapshot = record
            self.log.install_snapshot(record)


def replay_records(records: Iterable[PersistentRecord]) -> PersistentState:
    state = PersistentState()
    for record in records:
        state.apply_record(record)
    return state


def bootstrap_snapshot(voters: Iterable[ReplicaId], base_index: int = 0) -> Snapshot:
    """The record with which a council begins, on the disk of its first voter. `base`: above every index of
    one that was lost, so that tokens only grow. (Tests found several voters at once with one record.)"""
    return Snapshot(base_index, 0, Configuration(frozenset(voters)))
