"""One member's part in the agreement: Raft as in Ongaro's dissertation (2014), as a pure machine.

In go messages, ticks and what the disk did; out come messages, records to write and entries to apply:

    receive / tick / offer / change / disk_done / disk_failed  ->  take() -> saves, sends, applies

A message that rests on a record leaves `take` only after `disk_done` of that record (docs/council.md has the
table), so that a caller can't answer before it has written. All times are milliseconds of the caller's
monotonic clock, which may stop and go at its own rate: no rule of safety here rests on it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple

from msgspec import Struct
from msgspec.structs import replace

from .log import Kept
from .messages import (
    Ack,
    Append,
    AskVote,
    Entry,
    Hard,
    Knock,
    Members,
    Message,
    Now,
    Offer,
    Piece,
    PieceAck,
    Save,
    Seat,
    Send,
    Snapshot,
    Vote,
    Written,
)

MOST_VOTERS = 7


class Role(Enum):
    FOLLOWER = "follower"
    ASKING = "asking"  # whether it would be voted for: pre-vote, 9.6
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Told:
    """Times are milliseconds, sizes bytes. An election begins after `election_ms` to twice that without a
    leader; a leader that does not hear a majority for `election_ms` is none."""

    election_ms: float = 1000.0
    heartbeat_ms: float = 200.0
    stall_ms: float = 1500.0  # a write that takes longer: somebody else should lead
    silent_ms: float = 10_000.0  # after which a seat may be given to the same member's new disk
    near: int = 64  # entries that a learner may lack when it is made a voter
    batch: int = 256  # entries of a message
    batch_bytes: int = 512 << 10
    flying: int = 4  # messages with entries to one member that are not answered
    entry_bytes: int = 256 << 10
    open_entries: int = 1024  # not committed; beyond them an offer is refused
    unsaved_bytes: int = 8 << 20  # beyond them a follower drops entries and a leader refuses offers
    held: int = 4096  # messages that wait for the disk; beyond them the oldest is dropped, as if lost
    keep: int = 1024  # entries kept behind a snapshot for those who lack a few
    piece_bytes: int = 256 << 10
    snapshot_bytes: int = 256 << 20  # a larger one is not taken from a leader
    knocks: int = 16  # seats remembered that want to be let in


@dataclass(slots=True)
class Peer:
    """What a leader knows of another member. `heard` is when it last answered."""

    next: int
    heard: float
    match: int = 0
    flying: deque[int] = field(default_factory=deque)  # last index of each message that is not answered
    sending: Snapshot | None = None
    offset: int = 0


class Unsaved(Struct, frozen=True):
    """A record on its way to the disk. `index`: up to where the log is durable with it; 0 for nowhere."""

    number: int
    index: int
    size: int
    since: float


class Out(NamedTuple):
    saves: list[Save]
    sends: list[Send]
    applies: list[Entry | Snapshot]


class Agreement:
    """`seat` is this member's; `kept` is what its disk had. Between two calls of `take` anything may be
    called; the order within each of its lists is all that counts."""

    def __init__(self, seat: Seat, told: Told, kept: Kept, seed: int, now: float) -> None:
        self.seat, self.told, self.rng, self.now = seat, told, Random(seed), now
        self.term, self.vote, self.log, self.snapshot = kept.term, kept.vote, kept.log, kept.snapshot
        self.configs = [(self.snapshot.index, self.snapshot.members)]
        self.configs += [(e.index, e.members) for e in self.log.entries if e.members is not None]
        self.commit = self.applied = self.snapshot.index
        self.durable = self.log.last()
        self.role = Role.FOLLOWER
        self.leader: Seat | None = None
        self.heard = now - told.election_ms  # when a leader was heard
        self.votes: set[Seat] = set()
        self.peers: dict[Seat, Peer] = {}  # of a leader
        self.first = 0  # of a leader: the index of its term's first entry
        self.beat = now
        self.handing: tuple[Seat, float] | None = (
            None  # to whom leadership goes, and until when that is tried
        )
        self.ailing = ""  # why the disk takes nothing
        self.knocks: dict[Seat, float] = {}
        self.incoming: tuple[Snapshot, bytearray] | None = None
        self.numbered = self.saved = self.hard = self.stood = 0  # numbers of records
        self.unsaved: deque[Unsaved] = deque()
        self.unsaved_size = 0
        self.held: deque[tuple[int, Send]] = deque()
        self.out = Out([], [], [self.snapshot] if self.snapshot.data else [])
        self.due = now
        self.rest()

    # --- what a caller sees ---

    @property
    def members(self) -> Members:
        """The newest configuration in the log, committed or not."""
        return self.configs[-1][1]

    def votes_here(self) -> bool:
        return self.seat in self.members.voters

    def leads(self) -> bool:
        """Whether it is leader and has committed an entry of its own term: all that was committed before is
        applied here, or among what `take` gives."""
        return self.role is Role.LEADER and self.commit >= self.first

    def take(self) -> Out:
        """What is to be done. Messages that still wait for the disk come later."""
        out, self.out = self.out, Out([], [], [])
        return out

    def tick(self, now: float) -> None:
        """Wanted at least each `heartbeat_ms`."""
        self.now = now
        there = self.members.all() if self.knocks else ()
        for seat in [s for s, at in self.knocks.items() if s in there or now - at > self.told.silent_ms]:
            del self.knocks[seat]  # guards the room at the door against those who are in
        if self.role is Role.LEADER:
            self.lead()
        elif now >= self.due:
            self.rest()
            if self.seat not in self.members.all():
                self.send(None, Knock())
            elif self.votes_here() and not self.stalled():
                self.ask()

    def receive(self, now: float, sender: Seat, message: Message) -> None:
        """Of a member of the same council; the caller has seen to that."""
        self.now = now
        if isinstance(message, Knock):
            if self.role is Role.LEADER and (sender in self.knocks or len(self.knocks) < self.told.knocks):
                self.knocks[sender] = now
            return
        if isinstance(message, Offer):
            if self.role is Role.LEADER:
                self.offer(now, message.data)
            return
        if isinstance(message, AskVote):
            return self.asked(sender, message)
        if isinstance(message, Vote | Ack | PieceAck) and sender not in self.members.all():
            return
        if isinstance(message, Vote) and message.pre and message.granted:
            return self.would(sender, message)
        if message.term > self.term:
            self.follow(message.term)
        if message.term < self.term:
            if isinstance(message, Append | Piece):
                self.send(sender, Ack(self.term, False, 0))  # it leads no more
            return
        if isinstance(message, Vote):
            if message.granted and self.role is Role.CANDIDATE:
                self.count(sender)
        elif isinstance(message, Append):
            self.hear(sender)
            self.append(sender, message)
        elif isinstance(message, Piece):
            self.hear(sender)
            self.piece(sender, message)
        elif isinstance(message, Now):
            if sender == self.leader and self.votes_here() and not self.stalled():
                self.stand(force=True)
        elif self.role is Role.LEADER and (peer := self.peers.get(sender)) is not None:
            peer.heard = now
            if isinstance(message, Ack):
                self.acked(sender, peer, message)
            elif peer.sending is not None and peer.sending.index == message.index:
                peer.offset = message.want
                self.pump(sender, peer)

    def offer(self, now: float, data: bytes) -> str:
        """Into the log, where this is the leader; else it is sent to it. Why not, or nothing. What was taken
        or sent may still be lost: an offer that matters is repeated, and its repeat does nothing."""
        self.now = now
        if len(data) > self.told.entry_bytes or not data:
            return f"an entry has 1 to {self.told.entry_bytes} bytes, not {len(data)}"
        if self.role is not Role.LEADER:
            if self.leader is None:
                return "no leader is known"
            # guards the word of one whose disk takes nothing, that it gives its duties up
            self.put(0, Send(self.leader, Offer(data)))
            return ""
        if self.handing is not None:
            return "leadership is handed on"
        if (
            self.log.last() - self.commit >= self.told.open_entries
            or self.unsaved_size > self.told.unsaved_bytes
        ):
            return "too many entries are not committed yet"
        self.propose(Entry(self.log.last() + 1, self.term, data))
        return ""

    def change(self, now: float, wanted: Members) -> str:
        """To that configuration. Why not, or nothing. One voter a step (dissertation 4.1), with the
        correction of 2015: not before an entry of the own term is committed."""
        self.now, old = now, self.members
        come = wanted.voters - old.voters
        if not self.leads():
            return "not the leader, or only just"
        if self.configs[-1][0] > self.commit:
            return "the change before it is not committed yet"
        if len(wanted.voters ^ old.voters) > 1:
            return "more than one voter comes or goes"
        if self.seat not in wanted.voters:
            return "a leader can't put itself out: it hands on first"
        if len({seat.name for seat in wanted.all()}) < len(wanted.voters) + len(wanted.learners):
            return "a name is in it twice"
        if come and len(wanted.voters) > MOST_VOTERS:
            return f"more than {MOST_VOTERS} voters"
        if not all(seat in old.learners and self.caught_up(seat) for seat in come):
            return "a voter was a learner before, and has the log"
        if not self.bears(wanted):
            return "too few of its voters are heard"
        self.propose(Entry(self.log.last() + 1, self.term, members=wanted))
        return ""

    def caught_up(self, seat: Seat) -> bool:
        peer = self.peers.get(seat)
        return peer is not None and self.hears(seat) and peer.match + self.told.near >= self.log.last()

    def bears(self, wanted: Members) -> bool:
        """Guards against putting out one that lives while another is dead: the rest would agree on nothing.
        Who has answered nothing in this term does not count, since a new leader takes all for heard."""
        answer = [s for s in wanted.voters if s == self.seat or (self.hears(s) and self.peers[s].match)]
        return len(answer) >= wanted.majority()

    def hears(self, seat: Seat, within: float | None = None) -> bool:
        """Of a leader: whether the member has answered within `within` (ms), or an election's time."""
        peer = self.peers.get(seat)
        limit = self.told.election_ms if within is None else within
        return seat == self.seat or (peer is not None and self.now - peer.heard < limit)

    def transfer(self, now: float, to: Seat) -> str:
        """Hands leadership on once `to` has the log, within an election's time. Why not, or nothing."""
        self.now = now
        if self.role is not Role.LEADER or self.handing is not None:
            return "not the leader, or on the way already"
        if to == self.seat or to not in self.members.voters:
            return f"{to.name} is no other voter"
        self.handing = to, now + self.told.election_ms
        self.hand(to, self.peers[to])
        return ""

    def compact(self, index: int, data: bytes) -> None:
        """`data` is the state after the entry `index`, which has been applied. Raises ValueError else."""
        if not self.snapshot.index < index <= self.applied or not data:
            raise ValueError(
                f"a snapshot at {index}: the last is at {self.snapshot.index}, applied {self.applied}"
            )
        while len(self.configs) > 1 and self.configs[1][0] <= index:
            del self.configs[0]
        self.snapshot = Snapshot(index, self.log.term(index) or 0, self.configs[0][1], data)
        self.save(self.snapshot, len(data), index)
        self.log.forget(index - self.told.keep)

    # --- the disk ---

    def disk_done(self, now: float, number: int) -> None:
        """All records up to `number` outlive a crash."""
        self.now = now
        self.saved, self.ailing = max(self.saved, number), ""
        while self.unsaved and self.unsaved[0].number <= number:
            done = self.unsaved.popleft()
            self.unsaved_size -= done.size
            self.durable = max(self.durable, done.index)
        held, self.held = self.held, deque()
        for after, send in held:
            self.put(after, send)
        if self.role is Role.CANDIDATE and self.saved >= self.stood:
            self.count(self.seat)
        elif self.role is Role.LEADER:
            self.advance()

    def disk_failed(self, now: float, why: str) -> None:
        """Records are not lost, but wait. A leader hands on; nobody stands until the disk takes them."""
        self.now, self.ailing = now, why
        if self.role is Role.LEADER:
            self.resign()

    def stalled(self) -> bool:
        return bool(self.ailing) or (
            bool(self.unsaved) and self.now - self.unsaved[0].since > self.told.stall_ms
        )

    def save(self, record: Written, size: int, index: int) -> None:
        self.numbered += 1
        self.unsaved.append(Unsaved(self.numbered, index, size, self.now))
        self.unsaved_size += size
        self.out.saves.append(Save(self.numbered, record))

    def save_hard(self) -> None:
        self.save(Hard(self.term, self.vote), 64, 0)
        self.hard = self.numbered

    def write(self, entry: Entry) -> None:
        """Into the log, in the place of what was there and behind it."""
        if entry.index <= self.log.last():
            self.durable = min(self.durable, entry.index - 1)
            self.unsaved = deque(u if u.index < entry.index else replace(u, index=0) for u in self.unsaved)
            while self.configs[-1][0] >= entry.index:
                self.configs.pop()
        self.log.put(entry)
        self.save(entry, entry.size(), entry.index)
        if entry.members is not None:
            self.configs.append((entry.index, entry.members))

    def send(self, to: Seat | None, message: Message, after: int = 0) -> None:
        """Not before the term is written, nor before record `after`."""
        self.put(max(after, self.hard), Send(to, message))

    def put(self, after: int, send: Send) -> None:
        if after <= self.saved:
            self.out.sends.append(send)
            return
        self.held.append((after, send))
        if len(self.held) > self.told.held:
            self.held.popleft()

    # --- elections ---

    def rest(self) -> None:
        self.due = self.now + self.told.election_ms * (1.0 + self.rng.random())

    def follow(self, term: int) -> None:
        """Nobody's, for now."""
        if term > self.term:
            self.term, self.vote = term, None
            self.save_hard()
        self.role, self.leader, self.handing = Role.FOLLOWER, None, None
        self.peers.clear()
        self.knocks.clear()
        self.rest()

    def hear(self, leader: Seat) -> None:
        if self.role is not Role.FOLLOWER:
            self.follow(self.term)
        self.leader, self.heard = leader, self.now
        self.rest()

    def others(self) -> list[Seat]:
        return sorted(self.members.voters - {self.seat})

    def ask(self) -> None:
        """Guards against a member behind a broken link that unseats a leader by its higher term (9.6)."""
        self.role, self.leader, self.votes = Role.ASKING, None, set()
        for seat in self.others():
            self.send(seat, AskVote(self.term + 1, self.log.last(), self.log.last_term(), pre=True))
        self.count(self.seat)

    def stand(self, force: bool = False) -> None:
        self.role, self.leader, self.votes = Role.CANDIDATE, None, set()
        self.term, self.vote = self.term + 1, self.seat
        self.save_hard()
        self.stood = self.hard  # the own vote counts when it is written
        self.rest()
        for seat in self.others():
            self.send(seat, AskVote(self.term, self.log.last(), self.log.last_term(), force=force))

    def asked(self, sender: Seat, m: AskVote) -> None:
        led = self.role is Role.LEADER or (
            self.leader is not None and self.now - self.heard < self.told.election_ms
        )
        if m.term >= self.term and led and not m.force:
            return  # 4.2.3: who does not hear the leader disturbs nobody who does
        fresh = (m.last_term, m.last_index) >= (self.log.last_term(), self.log.last())
        if m.pre:
            would = fresh and m.term > self.term and not self.stalled()
            return self.send(sender, Vote(m.term if would else self.term, would, pre=True))
        if m.term < self.term:
            return self.send(sender, Vote(self.term, False))
        if m.term > self.term:
            self.follow(m.term)
        # a seat that nobody has let in does not vote: its member may have voted before it lost its disk
        granted = fresh and self.vote in (None, sender) and self.seat in self.members.all()
        if granted:
            self.rest()
            if self.vote is None:
                self.vote = sender
                self.save_hard()
        self.send(sender, Vote(self.term, granted))

    def would(self, sender: Seat, m: Vote) -> None:
        if self.role is Role.ASKING and m.term == self.term + 1:
            self.count(sender)

    def count(self, sender: Seat) -> None:
        self.votes.add(sender)
        if len(self.votes & self.members.voters) < self.members.majority():
            return
        if self.role is Role.ASKING:
            self.stand()
        else:
            self.win()

    def win(self) -> None:
        self.role, self.leader = Role.LEADER, self.seat
        self.first = self.log.last() + 1
        self.beat = self.now
        self.propose(Entry(self.first, self.term))

    # --- leading ---

    def propose(self, entry: Entry) -> None:
        self.write(entry)
        others = sorted(self.members.all() - {self.seat})
        self.peers = {seat: self.peers.get(seat) or Peer(entry.index, self.now) for seat in others}
        for seat, peer in self.peers.items():
            self.pump(seat, peer)

    def lead(self) -> None:
        there = sum(self.hears(seat) for seat in self.members.voters)
        if there < self.members.majority():
            return self.follow(self.term)  # 6.2: it would answer for a majority that it does not hear
        if self.stalled():
            return self.resign()
        if self.handing is not None and self.now >= self.handing[1]:
            self.handing = None
        if self.now - self.beat < self.told.heartbeat_ms:
            return
        self.beat = self.now
        for seat, peer in self.peers.items():
            if peer.sending is None:
                self.send_batch(seat, peer, ())
            else:
                self.send_piece(seat, peer)

    def resign(self) -> None:
        """To the voter that has most and is heard; where there is none, to whom they elect."""
        able = [s for s in self.others() if self.hears(s)]
        if able:
            self.send(max(able, key=lambda s: self.peers[s].match), Now(self.term))
        self.follow(self.term)

    def pump(self, seat: Seat, peer: Peer) -> None:
        if peer.sending is not None:
            return self.send_piece(seat, peer)
        while peer.next <= self.log.last() and len(peer.flying) < self.told.flying:
            if peer.next <= self.log.base:
                peer.sending, peer.offset = self.snapshot, 0
                return self.send_piece(seat, peer)
            entries = self.log.batch(peer.next, self.told.batch, self.told.batch_bytes)
            self.send_batch(seat, peer, entries)
            peer.next = entries[-1].index + 1
            peer.flying.append(entries[-1].index)

    def send_batch(self, seat: Seat, peer: Peer, entries: tuple[Entry, ...]) -> None:
        prev = max(self.log.base, peer.next - 1)
        term = self.log.term(prev)
        assert term is not None
        self.send(seat, Append(self.term, prev, term, entries, self.commit))

    def send_piece(self, seat: Seat, peer: Peer) -> None:
        snapshot = peer.sending
        assert snapshot is not None
        part = snapshot.data[peer.offset : peer.offset + self.told.piece_bytes]
        head = replace(snapshot, data=b"")
        self.send(seat, Piece(self.term, head, peer.offset, len(snapshot.data), part))

    def acked(self, seat: Seat, peer: Peer, m: Ack) -> None:
        if m.ok:
            peer.match = max(peer.match, m.index)
            peer.next = max(peer.next, peer.match + 1)
            while peer.flying and peer.flying[0] <= peer.match:
                peer.flying.popleft()
            if peer.sending is not None and peer.match >= peer.sending.index:
                peer.sending = None
            self.advance()
            if self.role is not Role.LEADER:
                return
            self.hand(seat, peer)
        elif m.at > peer.match:  # else it was sent before what it has answered since
            peer.next = max(peer.match, min(m.index, m.at - 1)) + 1
            peer.flying.clear()
        self.pump(seat, peer)

    def hand(self, seat: Seat, peer: Peer) -> None:
        if self.handing is not None and self.handing[0] == seat and peer.match == self.log.last():
            self.send(seat, Now(self.term))

    def advance(self) -> None:
        """Raft, 5.4.2: by count only an entry of the own term; those before it go with it."""
        has = sorted(
            (self.durable if seat == self.seat else self.peers[seat].match for seat in self.members.voters),
            reverse=True,
        )
        upto = has[self.members.majority() - 1]
        if upto > self.commit and self.log.term(upto) == self.term:
            self.committed(upto)

    def committed(self, upto: int) -> None:
        self.commit = max(self.commit, upto)
        while self.applied < self.commit:
            self.applied += 1
            self.out.applies.append(self.log.at(self.applied))

    # --- following ---

    def append(self, leader: Seat, m: Append) -> None:
        if m.prev > self.log.base and self.log.term(m.prev) != m.prev_term:
            hint = max(self.commit, self.log.conflict(m.prev))
            return self.send(leader, Ack(self.term, False, hint, m.prev))
        if m.entries and self.unsaved_size > self.told.unsaved_bytes:
            return  # as if lost: the leader sends it again
        for entry in m.entries:
            if entry.index > self.log.base and self.log.term(entry.index) != entry.term:
                assert entry.index > self.commit, "a committed entry would go"
                self.write(entry)
        upto = m.prev + len(m.entries)
        self.committed(min(m.commit, upto))
        self.send(leader, Ack(self.term, True, upto), after=self.numbered)

    def piece(self, leader: Seat, m: Piece) -> None:
        if m.snapshot.index <= self.commit:
            return self.send(leader, Ack(self.term, True, self.commit), after=self.numbered)
        if self.incoming is None or self.incoming[0] != m.snapshot:
            self.incoming = m.snapshot, bytearray()
        data = self.incoming[1]
        if m.offset == len(data) and m.total <= self.told.snapshot_bytes:
            data += m.data
        if len(data) < m.total or m.total > self.told.snapshot_bytes:
            return self.send(leader, PieceAck(self.term, m.snapshot.index, len(data)))
        self.incoming = None
        self.install(replace(m.snapshot, data=bytes(data)))
        self.send(leader, Ack(self.term, True, m.snapshot.index), after=self.numbered)

    def install(self, snapshot: Snapshot) -> None:
        if not self.log.install(snapshot):
            self.durable = 0
            self.unsaved = deque(replace(u, index=0) for u in self.unsaved)
            self.configs = []
        self.configs = [
            (snapshot.index, snapshot.members),
            *(c for c in self.configs if c[0] > snapshot.index),
        ]
        self.snapshot = snapshot
        self.save(snapshot, len(snapshot.data), snapshot.index)
        self.commit = self.applied = snapshot.index
        if snapshot.data:
            self.out.applies.append(snapshot)
