"""Members of a council on one clock, with everything that goes wrong between and in them, from one seed.

Each step is one thing that happens at one member. After it the world looks whether anything is not as
docs/council.md promises, and raises Violation. A seed replays to the letter.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from harrieryoke.council.decide import duties as d
from harrieryoke.council.decide import membership
from harrieryoke.council.decide.lease import DutyHandover, Fence, Lease, LeaseHolder
from harrieryoke.council.decide.lease_manager import LeaseManager
from harrieryoke.council.decide.log import bootstrap_snapshot, replay_records
from harrieryoke.council.decide.messages import (
    AppendEntriesResponse,
    Configuration,
    Entry,
    Message,
    OutgoingMessage,
    PendingWrite,
    PersistentRecord,
    ReplicaId,
    RequestVoteResponse,
    Snapshot,
)
from harrieryoke.council.decide.raft import Raft, RaftSettings, Role

TOLD = RaftSettings(
    election_ms=300.0,
    heartbeat_ms=60.0,
    stall_ms=400.0,
    silent_ms=2500.0,
    max_promotion_lag=8,
    max_batch_entries=8,
    max_batch_bytes=2048,
    max_inflight_batches=3,
    max_entry_bytes=4096,
    max_uncommitted_entries=64,
    max_unwritten_bytes=16384,
    max_held_messages=64,
    trailing_entries=6,
    snapshot_chunk_bytes=300,
)
LEASE = Lease(1000.0, 0.05)
SETTLE = 800.0
DUTIES = ("reconcile", "budget:kef", "budget:bon", "calendar:sahel")
COMPACT = 50  # entries
TURN = 20.0  # ms at most between two turns of a member's holder and steward, beside those after entries


class Violation(AssertionError):
    """Something happened that must not."""


class Unwell(AssertionError):
    """Nothing is broken any more, and yet what should be done is not."""


class Same(random.Random):
    """Makes all stand for election after the same time."""

    def random(self) -> float:
        return 0.0


@dataclass
class Parts:
    """What members are made of. Tests plant faults here."""

    agreement: type[Raft] = Raft
    holder: type[LeaseHolder] = LeaseHolder
    steward: type[LeaseManager] = LeaseManager
    duties: type[d.DutyTable] = d.DutyTable
    fence: type[Fence] = Fence
    keeps_seat: bool = False  # a member that lost its disk calls itself what it was


@dataclass
class Member:
    """A machine: its clock and its disk outlive the process."""

    name: str
    seat: ReplicaId
    rate: float
    origin: float
    since: float = 0.0
    disk: list[PersistentRecord] = field(default_factory=list)
    writing: list[PendingWrite] = field(default_factory=list)
    syncing: bool = False
    life: int = 0
    up: bool = False
    stalled: float = 0.0  # until when
    full: float = 0.0
    slow: float = 0.0
    turn: float = 0.0  # when it is due
    waiting: list[Callable[[], object]] = field(default_factory=list)  # what came during a stall
    applied: int = 0
    agreement: Raft = field(init=False)
    duties: d.DutyTable = field(init=False)
    holder: LeaseHolder = field(init=False)
    steward: LeaseManager = field(init=False)

    def clock(self, t: float) -> float:
        return self.origin + (t - self.since) * self.rate

    def drift(self, t: float, rate: float) -> None:
        self.origin, self.since, self.rate = self.clock(t), t, rate


class World:
    """`voters` of names a, b, ... found a council together, or a alone, who lets the others in; names from f0
    on follow; the last `willing` of all would hold duties. `fierce`: faults are short and many, strike where
    something was just said, and all stand for election at one time. `t` is true time in milliseconds."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        followers: int = 1,
        parts: Parts | None = None,
        alone: bool = False,
        fierce: bool = False,
        willing: int = 1000,
    ) -> None:
        self.fierce = fierce
        self.rng, self.parts = random.Random(seed), parts or Parts()
        self.t, self.steps, self.serial = 0.0, 0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.lossy, self.twice, self.late = 0.0, 0.0, 0.0  # shares of messages
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.wanted = frozenset("abcdefg"[:voters])
        self.members: dict[str, Member] = {}
        self.leaders: dict[int, ReplicaId] = {}
        self.votes: dict[tuple[ReplicaId, int], ReplicaId] = {}
        self.written: dict[tuple[int, int], tuple[Entry, int | None]] = {}
        self.agreed: dict[int, Entry] = {}
        self.states: dict[int, bytes] = {}
        self.fences = {duty: self.parts.fence() for duty in DUTIES}
        self.changed = dict.fromkeys(DUTIES, 0)  # the highest token under which it was changed
        self.acted = dict.fromkeys(DUTIES, 0)  # the highest token that anybody acted under
        self.unheld = dict.fromkeys(DUTIES, 0.0)  # when somebody acted last
        self.faults = 0
        names = [*sorted(self.wanted), *(f"f{n}" for n in range(followers))]
        self.willing = set(names[-willing:])
        seats = {name: ReplicaId(name, self.rng.randrange(1, 1 << 30)) for name in names}
        first = bootstrap_snapshot([seats[name] for name in sorted(self.wanted)[: 1 if alone else voters]])
        for name in names:
            member = Member(name, seats[name], self.rate(), self.rng.uniform(0, 1e6))
            if seats[name] in first.members.voters:
                member.disk.append(first)
            self.members[name] = member
            self.start(member)

    def rate(self) -> float:
        return 1.0 + self.rng.choice([-1, 1, self.rng.uniform(-1, 1)]) * LEASE.drift

    # --- time ---

    def at(self, t: float, what: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.events, (t, self.serial, what))

    def after(self, ms: float, what: Callable[[], None]) -> None:
        self.at(self.t + ms, what)

    def run(self, ms: float) -> None:
        end = self.t + ms
        while self.events and self.events[0][0] <= end:
            self.t, _, what = heapq.heappop(self.events)
            self.steps += 1
            what()
        self.t = end

    def at_member(self, m: Member, life: int, what: Callable[[], object]) -> None:
        """At that life of its process; later, where it is stalled."""
        if not m.up or m.life != life:
            return
        if self.t < m.stalled:
            if len(m.waiting) < 200:
                m.waiting.append(what)
            return
        what()
        if m.up:
            self.drain(m)
            self.look(m)

    def later(self, ms: float, m: Member, what: Callable[[], None]) -> None:
        self.after(ms, partial(self.at_member, m, m.life, what))

    # --- processes ---

    def start(self, m: Member) -> None:
        if m.up:
            return
        m.up, m.life, m.syncing, m.stalled = True, self.rng.randrange(1 << 40), False, 0.0
        m.writing, m.waiting = [], []
        had, now = replay_records(m.disk), m.clock(self.t)
        m.applied = had.snapshot.index
        m.duties = self.parts.duties()
        m.agreement = self.parts.agreement(m.seat, TOLD, had, self.rng.randrange(1 << 30), now)
        if self.fierce:
            m.agreement.rng = Same()
        m.holder = self.parts.holder(m.name, m.life, 1.0 + len(m.name) % 2, LEASE, m.duties)
        m.steward = self.parts.steward(LEASE, m.duties, SETTLE)
        self.later(self.rng.uniform(0, 50), m, partial(self.tick, m))

    def crash(self, m: Member, back: float | None = None, power: bool = True) -> None:
        """With `power` what is not synced goes, but for what the disk happened to write in time."""
        if not m.up:
            return
        m.up = False
        stays = len(m.writing) if not power else self.rng.randrange(len(m.writing) + 1)
        if self.t >= m.full:
            m.disk += [save.record for save in m.writing[:stays]]
        if back is not None:
            self.after(back, partial(self.start, m))

    def lose_disk(self, m: Member, back: float) -> None:
        self.crash(m, back)
        m.disk = []
        if not self.parts.keeps_seat:
            m.seat = ReplicaId(m.name, self.rng.randrange(1, 1 << 30))

    def stall(self, m: Member, ms: float) -> None:
        if m.up and self.t >= m.stalled:
            m.stalled = self.t + ms
            self.after(ms, partial(self.wake, m, m.life))

    def wake(self, m: Member, life: int) -> None:
        waiting, m.waiting = m.waiting, []
        for what in waiting:
            self.at_member(m, life, what)

    def tick(self, m: Member) -> None:
        now = m.clock(self.t)
        m.agreement.tick(now)
        if m.agreement.is_established_leader():
            self.lead(m, now)
        for duty in DUTIES:
            if token := m.holder.acting_token(duty, now):
                # what it does on the strength of this comes to the resource now, or after a stall
                slow = self.rng.random() < 0.02
                self.after(self.rng.uniform(0, 4000 if slow else 5), partial(self.change, duty, token))
        self.later(self.rng.uniform(20, 50), m, partial(self.tick, m))

    def lead(self, m: Member, now: float) -> None:
        if not m.duties.duties:
            m.agreement.propose(now, d.encode(d.DefineDuties(DUTIES)))
        step = membership.next_change(m.agreement, self.wanted, frozenset(self.members))
        if isinstance(step, ReplicaId):
            m.agreement.transfer_leadership(now, step)
        elif step is not None:
            m.agreement.change_configuration(now, step)

    def drain(self, m: Member) -> None:
        """All that the member's machines want done, until they want nothing."""
        while True:
            now = m.clock(self.t)
            out = m.agreement.take_ready()
            self.watch_saves(m, out.writes)
            m.writing += out.writes
            for send in out.messages:
                self.send(m, send)
            for each in out.committed:
                self.apply(m, each)
            if out.committed or self.t >= m.turn:
                m.turn = self.t + TURN
                self.turn(m, now)
            if m.writing and not m.syncing:
                m.syncing = True
                self.sync(m)
            if not (m.agreement.ready.writes or m.agreement.ready.messages or m.agreement.ready.committed):
                break
        if m.agreement.last_applied - m.agreement.snapshot.index >= COMPACT:
            m.agreement.compact(m.agreement.last_applied, m.duties.dump())

    def turn(self, m: Member, now: float) -> None:
        for command in m.steward.tick(now, m.agreement.is_established_leader()):
            m.agreement.propose(now, d.encode(command))
        for said in m.holder.tick(now) if m.name in self.willing else []:
            if isinstance(said, DutyHandover):
                to = self.members[said.to]
                self.pass_message(m.name, to, partial(self.passed, to, said))
            else:
                m.agreement.propose(now, d.encode(said))

    def passed(self, m: Member, said: DutyHandover) -> None:
        m.holder.accept_handover(said.duty, said.token)

    def sync(self, m: Member) -> None:
        """The disk goes on while the process stalls; its word waits."""
        count = len(m.writing)
        took = self.rng.uniform(1, 6) if self.t >= m.slow else self.rng.uniform(100, 900)
        self.after(took, partial(self.synced, m, m.life, count))

    def synced(self, m: Member, life: int, count: int) -> None:
        if not m.up or m.life != life:
            return
        if self.t < m.full:
            self.at_member(m, life, lambda: m.agreement.disk_failed(m.clock(self.t), "no space left"))
            self.after(50, partial(self.synced, m, life, count))
            return
        done, m.writing = m.writing[:count], m.writing[count:]
        m.disk += [save.record for save in done]
        m.syncing = bool(m.writing)
        if m.writing:
            self.sync(m)
        self.at_member(m, life, lambda: m.agreement.records_written(m.clock(self.t), done[-1].sequence))

    # --- links ---

    def pass_message(self, sender: str, to: Member, what: Callable[[], None]) -> None:
        for _ in range(2 if self.rng.random() < self.twice else 1):
            if (sender, to.name) not in self.cut and self.rng.random() >= self.lossy:
                late = self.rng.random() < self.late
                self.later(self.rng.uniform(1, 2000 if late else 12), to, what)

    def send(self, m: Member, send: OutgoingMessage) -> None:
        message = send.message
        vote = (
            message
            if isinstance(message, RequestVoteResponse) and message.granted and not message.pre_vote
            else None
        )
        if (
            vote
            and send.recipient
            and self.votes.setdefault((m.seat, vote.term), send.recipient) != send.recipient
        ):
            raise Violation(f"{m.name} voted twice in term {vote.term}")
        if (
            isinstance(message, AppendEntriesResponse)
            and message.success
            and message.term == m.agreement.term
        ):
            self.watch_ack(m, message)
        if self.fierce and self.rng.random() < (0.1 if vote else 0.001):
            self.after(0, partial(self.crash, m, self.rng.uniform(1, 60)))
        for to in self.members.values():
            if to is not m and (send.recipient is None or to.seat == send.recipient):
                self.pass_message(m.name, to, partial(self.receive, to, m.seat, message))

    def receive(self, m: Member, sender: ReplicaId, message: Message) -> None:
        m.agreement.receive(m.clock(self.t), sender, message)

    # --- what must hold ---

    def watch_saves(self, m: Member, saves: list[PendingWrite]) -> None:
        for save in saves:
            entry = save.record
            if isinstance(entry, Entry):
                before = m.agreement.log.term_at(entry.index - 1)
                has, had = self.written.setdefault((entry.index, entry.term), (entry, before))
                if has != entry or (None not in (had, before) and had != before):
                    raise Violation(f"two entries {entry.index} of term {entry.term}, or two before it")

    def watch_ack(self, m: Member, ack: AppendEntriesResponse) -> None:
        """At once, since what comes of it takes a long tail, an election and a crash."""
        led = next((o.agreement for o in self.members.values() if o.seat == self.leaders.get(ack.term)), None)
        if (
            led is None
            or led.role is not Role.LEADER
            or led.term != ack.term
            or ack.index <= led.log.base_index
        ):
            return
        if m.agreement.log.term_at(ack.index) not in (None, led.log.term_at(ack.index)):
            raise Violation(f"{m.name} says that it has the leader's entry {ack.index}, and has another")

    def watch_word(self, member: str, life: int, number: int) -> None:
        """Its session has ended. At once, since two act only if the holder hears of its word, not of that."""
        of = self.members[member]
        if (
            of.up
            and of.life == life
            and of.holder.renewal_times.get(number, 0.0) + LEASE.duration_ms > of.clock(self.t)
        ):
            raise Violation(f"the session of {member} ends though its word {number} counts still")

    def apply(self, m: Member, each: Entry | Snapshot) -> None:
        if isinstance(each, Snapshot):
            m.duties.load(each.data)
        else:
            if each.index != m.applied + 1:
                raise Violation(f"{m.name} applies {each.index} after {m.applied}")
            if self.agreed.setdefault(each.index, each) != each:
                raise Violation(f"{m.name} applies another entry {each.index} than was agreed")
            if each.data:
                command = d.decode(each.data)
                end = command if isinstance(command, d.EndSession) else None
                before = m.duties.open_session(end.member, end.incarnation) if end else None
                m.duties.apply(each.index, command)
                if end and before and not before.open and end.sequence < before.sequence:
                    self.watch_word(end.member, end.incarnation, before.sequence)
        m.applied = each.index
        dump = m.duties.dump()
        if self.states.setdefault(each.index, dump) != dump:
            raise Violation(f"two states after entry {each.index}")

    def look(self, m: Member) -> None:
        a, now = m.agreement, m.clock(self.t)
        if a.role is Role.LEADER and self.leaders.get(a.term) != m.seat:
            if a.term in self.leaders:
                raise Violation(f"two leaders in term {a.term}")
            self.leaders[a.term] = m.seat
            for index in range(a.log.base_index + 1, max(self.agreed, default=0) + 1):
                if index in self.agreed and (
                    index > a.log.last_index() or a.log.entry(index) != self.agreed[index]
                ):
                    raise Violation(f"the leader of term {a.term} lacks the agreed entry {index}")
        for duty in DUTIES:
            token = m.holder.acting_token(duty, now)
            if not token:
                continue
            for other in self.members.values():
                if other is not m and other.up and other.holder.acting_token(duty, other.clock(self.t)):
                    raise Violation(f"{m.name} and {other.name} act on {duty}")
            if token < self.acted[duty]:
                raise Violation(f"{m.name} acts on {duty} under {token} after {self.acted[duty]}")
            self.acted[duty], self.unheld[duty] = token, self.t

    def change(self, duty: str, token: int) -> None:
        if self.fences[duty].admit(token):
            if token < self.changed[duty]:
                raise Violation(f"{duty} was changed under {token} after {self.changed[duty]}")
            self.changed[duty] = token

    # --- faults ---

    def hurt(self) -> None:
        """One fault, of any kind, that ends by itself."""
        self.faults += 1
        rng, m = self.rng, self.rng.choice(list(self.members.values()))
        leaders = [o for o in self.members.values() if o.up and o.agreement.role is Role.LEADER]
        if leaders and rng.random() < 0.3:
            m = rng.choice(leaders)
        long = rng.uniform(1, rng.choice([60, 400, 1500])) if self.fierce else rng.uniform(100, 6000)
        others = [o.name for o in self.members.values() if o is not m]
        kind = rng.randrange(17)
        if kind == 0:
            self.crash(m, long)
        elif kind == 1:
            self.crash(m, long, power=False)
        elif kind == 2 and rng.random() < 0.3:
            for each in self.members.values():
                self.crash(each, rng.uniform(0, 500))
        elif kind == 3 and self.may_lose(m):
            self.lose_disk(m, rng.uniform(0, 2000))
        elif kind in (4, 5):
            self.stall(m, long)
        elif kind == 6:
            m.full = self.t + long
        elif kind == 7:
            m.slow = self.t + long
        elif kind == 8:
            self.sever({(m.name, o) for o in others}, long)
        elif kind == 9:
            self.sever({(o, m.name) for o in others}, long)
        elif kind == 10:
            side = set(rng.sample(sorted(self.members), len(self.members) // 2))
            self.sever({(x, y) for x in side for y in self.members if y not in side}, long)
            if rng.random() < 0.7:
                self.sever({(y, x) for x in side for y in self.members if y not in side}, long)
        elif kind == 11:
            self.lossy, self.twice, self.late = rng.choice(
                [(0.0, 0.0, 0.0), (0.2, 0.2, 0.1), (0.02, 0.1, 0.02)]
            )
        elif kind == 12:
            m.drift(self.t, self.rate())
        elif kind == 13 and m.up:
            duty = rng.choice(DUTIES)
            m.holder.mark_unavailable(duty, "behind")
            self.later(rng.choice([1, long]), m, partial(m.holder.mark_available, duty))
        elif kind == 14 and m.up:
            m.holder.set_weight(0.0)
            self.later(long, m, partial(m.holder.set_weight, rng.uniform(0.5, 3)))
        elif kind == 15 and m.up:
            if rng.random() < 0.5:
                m.agreement.transfer_leadership(
                    m.clock(self.t), rng.choice([o.seat for o in self.members.values()])
                )
            elif len(self.wanted) < len(self.members):
                gone, come = (
                    rng.choice(sorted(self.wanted)),
                    rng.choice(sorted(set(self.members) - self.wanted)),
                )
                self.wanted = self.wanted - {gone} | {come}

        elif kind == 16 and leaders:
            # what an operator may ask for and mostly does not get
            voters = rng.sample(
                sorted(m.agreement.configuration.replicas()),
                rng.randint(0, len(m.agreement.configuration.replicas())),
            )
            learners = m.agreement.configuration.replicas() - set(voters)
            if len(voters) > 1:
                m.agreement.change_configuration(m.clock(self.t), Configuration(frozenset(voters), learners))

    def may_lose(self, m: Member) -> bool:
        """No majority's disks may go: all others that vote anywhere stand on theirs."""
        there = {o.seat for o in self.members.values()}
        return all(
            len(o.agreement.configuration.voters - {m.seat} - there) == 0
            and len(o.agreement.configuration.voters) > 2
            for o in self.members.values()
            if o.agreement.configuration.voters
        )

    def sever(self, links: set[tuple[str, str]], ms: float) -> None:
        self.cut |= links
        self.after(ms, partial(self.cut.difference_update, links))

    def heal(self) -> None:
        self.cut.clear()
        self.lossy = self.twice = self.late = 0.0
        self.fierce = False
        for m in self.members.values():
            m.full = m.slow = 0.0
            m.agreement.rng = random.Random(m.seat.disk_id)
            if m.up:
                m.stalled = min(m.stalled, self.t)
                self.wake(m, m.life)
            self.start(m)

    def schedule(self, ms: float) -> None:
        """Faults for so long; then none, and all must be well again."""
        gap = 60 if self.fierce else 400  # ms in the mean
        self.run(2000)
        end = self.t + ms
        while self.t < end:
            self.run(self.rng.expovariate(1 / gap))
            self.hurt()
        self.heal()
        self.run(9000)
        self.heal()
        self.well()

    def leader(self) -> Member:
        leading = [m for m in self.members.values() if m.up and m.agreement.is_established_leader()]
        if not leading:
            raise Unwell("nobody leads, though nothing is broken")
        return max(leading, key=lambda m: m.agreement.term)

    def well(self) -> None:
        led = self.leader()
        if {seat.name for seat in led.agreement.configuration.voters} != self.wanted:
            raise Unwell(f"{led.agreement.configuration} vote, not {sorted(self.wanted)}")
        for duty in DUTIES:
            if self.t - self.unheld[duty] > 2 * LEASE.duration_ms:
                raise Unwell(f"nobody acts on {duty}")
