"""A member's copy of the Raft log, and the state recovered from its disk."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .messages import Configuration, Entry, HardState, PersistentRecord, ReplicaId, Snapshot


@dataclass(slots=True)
class RaftLog:
    """Holds the entries after `base_index`; earlier ones are covered by a snapshot. The empty log has index
    and term 0.
    """

    base_index: int = 0
    base_term: int = 0
    entries: list[Entry] = field(default_factory=list)

    def last_index(self) -> int:
        return self.base_index + len(self.entries)

    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns None for an index that is not in the log."""
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
        """Returns entries from `first_index` on within both bounds, but at least one if there is one."""
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
        """Stores the entry at its index and drops all entries from there on. Raises ValueError for a gap."""
        if not self.base_index < entry.index <= self.last_index() + 1:
            raise ValueError(
                f"entry {entry.index} leaves a gap: the log has {self.base_index + 1} to {self.last_index()}"
            )
        del self.entries[entry.index - self.base_index - 1 :]
        self.entries.append(entry)

    def conflict_hint(self, index: int) -> int:
        """Returns the index from which a leader may retry after a mismatch at `index`: the one before the
        conflicting term (Raft, section 5.3).
        """
        if index > self.last_index():
            return self.last_index()
        term = self.term_at(index)
        while index > self.base_index and self.term_at(index) == term:
            index -= 1
        return index

    def install_snapshot(self, snapshot: Snapshot) -> bool:
        """Keeps the entries after the snapshot if they are consistent with it and returns True; otherwise
        drops all entries.
        """
        matches = self.term_at(snapshot.index) == snapshot.term
        self.entries = self.entries[snapshot.index - self.base_index :] if matches else []
        self.base_index, self.base_term = snapshot.index, snapshot.term
        return matches

    def discard_through(self, index: int) -> None:
        """Drops the entries up to `index`, which a snapshot covers."""
        if index > self.base_index:
            term = self.entry(index).term
            del self.entries[: index - self.base_index]
            self.base_index, self.base_term = index, term


@dataclass(slots=True)
class PersistentState:
    """What a member had on its disk. Call `apply_record` in the order of the records."""

    term: int = 0
    voted_for: ReplicaId | None = None
    snapshot: Snapshot = field(default_factory=lambda: Snapshot(0, 0, Configuration()))
    log: RaftLog = field(default_factory=RaftLog)

    def apply_record(self, record: PersistentRecord) -> None:
        """Raises ValueError for an entry that leaves a gap: the disk has lost durable data."""
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
    """The first record of a new council, on the disk of its first voter. `base_index` must be above every
    index of a lost council that this one replaces, so that tokens only grow. (Tests bootstrap several voters
    with one record.)
    """
    return Snapshot(base_index, 0, Configuration(frozenset(voters)))
