"""Deterministic simulation of a council: members, clocks, disks and links with faults drawn from a seed.

Each step is one event at one member. After it the simulation checks the guarantees of docs/council.md and
raises Violation if one is broken. A seed replays exactly.
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

SETTINGS = RaftSettings(
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
SETTLE_MS = 800.0
DUTIES = ("reconcile", "budget:kef", "budget:bon", "calendar:sahel")
COMPACT_EVERY = 50  # entries
# between two ticks of a member's lease holder and lease manager, besides those after entries
MAX_TICK_GAP_MS = 20.0


class Violation(AssertionError):
    """A safety guarantee was broken."""


class NotRecovered(AssertionError):
    """All faults have ended, but the council has not recovered."""


class ShortestElectionTimeout(random.Random):
    """Makes all members start an election after the same time."""

    def random(self) -> float:
        return 0.0


@dataclass
class Components:
    """The implementations that members use. Tests inject faults here."""

    raft: type[Raft] = Raft
    lease_holder: type[LeaseHolder] = LeaseHolder
    lease_manager: type[LeaseManager] = LeaseManager
    duties: type[d.DutyTable] = d.DutyTable
    fence: type[Fence] = Fence
    keeps_replica_id: bool = False  # a member that lost its disk keeps its old replica ID


@dataclass
class Member:
    """A machine: its clock and its disk survive the process."""

    name: str
    replica: ReplicaId
    clock_rate: float
    clock_origin: float
    clock_since: float = 0.0
    disk: list[PersistentRecord] = field(default_factory=list)
    pending_writes: list[PendingWrite] = field(default_factory=list)
    syncing: bool = False
    incarnation: int = 0
    up: bool = False
    stalled_until: float = 0.0
    disk_full_until: float = 0.0
    disk_slow_until: float = 0.0
    next_lease_tick: float = 0.0
    deferred: list[Callable[[], object]] = field(default_factory=list)  # events that arrived during a stall
    last_applied: int = 0
    raft: Raft = field(init=False)
    duties: d.DutyTable = field(init=False)
    lease_holder: LeaseHolder = field(init=False)
    lease_manager: LeaseManager = field(init=False)

    def clock(self, time: float) -> float:
        return self.clock_origin + (time - self.clock_since) * self.clock_rate

    def set_clock_rate(self, time: float, clock_rate: float) -> None:
        self.clock_origin, self.clock_since, self.clock_rate = self.clock(time), time, clock_rate


class World:
    """The voters a, b, ... bootstrap a council together, or a alone, which lets the others join; members from
    f0 on are learners, and the last `willing_count` of all renew sessions. With `aggressive`, faults are
    short, frequent and timed right after messages, and all elections start at the same time. `time` is true
    time in milliseconds.
    """

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        followers: int = 1,
        components: Components | None = None,
        alone: bool = False,
        aggressive: bool = False,
        willing_count: int = 1000,
    ) -> None:
        self.aggressive = aggressive
        self.rng, self.components = random.Random(seed), components or Components()
        self.time, self.steps, self.event_count = 0.0, 0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.loss_rate, self.duplicate_rate, self.delay_rate = 0.0, 0.0, 0.0  # shares of messages
        self.blocked_links: set[tuple[str, str]] = set()  # sender, receiver
        self.desired_voters = frozenset("abcdefg"[:voters])
        self.members: dict[str, Member] = {}
        self.leaders: dict[int, ReplicaId] = {}
        self.votes: dict[tuple[ReplicaId, int], ReplicaId] = {}
        self.proposed_entries: dict[tuple[int, int], tuple[Entry, int | None]] = {}
        self.committed_entries: dict[int, Entry] = {}
        self.states: dict[int, bytes] = {}
        self.fences = {duty: self.components.fence() for duty in DUTIES}
        self.resource_tokens = dict.fromkeys(DUTIES, 0)  # highest token of a change
        self.acting_tokens = dict.fromkeys(DUTIES, 0)  # highest token that a member acted under
        self.last_acted = dict.fromkeys(DUTIES, 0.0)  # time of the last action
        self.faults = 0
        names = [*sorted(self.desired_voters), *(f"f{n}" for n in range(followers))]
        self.willing = set(names[-willing_count:])
        replicas = {name: ReplicaId(name, self.rng.randrange(1, 1 << 30)) for name in names}
        bootstrap = bootstrap_snapshot(
            [replicas[name] for name in sorted(self.desired_voters)[: 1 if alone else voters]]
        )
        for name in names:
            member = Member(name, replicas[name], self.random_clock_rate(), self.rng.uniform(0, 1e6))
            if replicas[name] in bootstrap.members.voters:
                member.disk.append(bootstrap)
            self.members[name] = member
            self.start(member)

    def random_clock_rate(self) -> float:
        return 1.0 + self.rng.choice([-1, 1, self.rng.uniform(-1, 1)]) * LEASE.drift

    # --- time ---

    def call_at(self, time: float, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (time, self.event_count, action))

    def call_after(self, ms: float, action: Callable[[], None]) -> None:
        self.call_at(self.time + ms, action)

    def run(self, ms: float) -> None:
        end = self.time + ms
        while self.events and self.events[0][0] <= end:
            self.time, _, action = heapq.heappop(self.events)
            self.steps += 1
            action()
        self.time = end

    def run_on_member(self, member: Member, incarnation: int, action: Callable[[], object]) -> None:
        """Runs at that incarnation of the process; deferred while it is stalled."""
        if not member.up or member.incarnation != incarnation:
            return
        if self.time < member.stalled_until:
            if len(member.deferred) < 200:
                member.deferred.append(action)
            return
        action()
        if member.up:
            self.process_ready(member)
            self.check_invariants(member)

    def run_on_member_after(self, ms: float, member: Member, action: Callable[[], None]) -> None:
        self.call_after(ms, partial(self.run_on_member, member, member.incarnation, action))

    # --- processes ---

    def start(self, member: Member) -> None:
        if member.up:
            return
        member.up, member.incarnation, member.syncing, member.stalled_until = (
            True,
            self.rng.randrange(1 << 40),
            False,
            0.0,
        )
        member.pending_writes, member.deferred = [], []
        persisted, now = replay_records(member.disk), member.clock(self.time)
        member.last_applied = persisted.snapshot.index
        member.duties = self.components.duties()
        member.raft = self.components.raft(
            member.replica, SETTINGS, persisted, self.rng.randrange(1 << 30), now
        )
        if self.aggressive:
            member.raft.rng = ShortestElectionTimeout()
        member.lease_holder = self.components.lease_holder(
            member.name, member.incarnation, 1.0 + len(member.name) % 2, LEASE, member.duties
        )
        member.lease_manager = self.components.lease_manager(LEASE, member.duties, SETTLE_MS)
        self.run_on_member_after(self.rng.uniform(0, 50), member, partial(self.tick, member))

    def crash(self, member: Member, restart_after_ms: float | None = None, power_loss: bool = True) -> None:
        """With `power_loss`, unsynced records are lost, except those that the disk happened to write."""
        if not member.up:
            return
        member.up = False
        surviving = (
            len(member.pending_writes)
            if not power_loss
            else self.rng.randrange(len(member.pending_writes) + 1)
        )
        if self.time >= member.disk_full_until:
            member.disk += [write.record for write in member.pending_writes[:surviving]]
        if restart_after_ms is not None:
            self.call_after(restart_after_ms, partial(self.start, member))

    def lose_disk(self, member: Member, restart_after_ms: float) -> None:
        self.crash(member, restart_after_ms)
        member.disk = []
        if not self.components.keeps_replica_id:
            member.replica = ReplicaId(member.name, self.rng.randrange(1, 1 << 30))

    def stall(self, member: Member, ms: float) -> None:
        if member.up and self.time >= member.stalled_until:
            member.stalled_until = self.time + ms
            self.call_after(ms, partial(self.resume, member, member.incarnation))

    def resume(self, member: Member, incarnation: int) -> None:
        waiting, member.deferred = member.deferred, []
        for action in waiting:
            self.run_on_member(member, incarnation, action)

    def tick(self, member: Member) -> None:
        now = member.clock(self.time)
        member.raft.tick(now)
        if member.raft.is_established_leader():
            self.tick_leader(member, now)
        for duty in DUTIES:
            if token := member.lease_holder.acting_token(duty, now):
                # The resulting change reaches the resource now, or after a stall.
                slow = self.rng.random() < 0.02
                self.call_after(
                    self.rng.uniform(0, 4000 if slow else 5), partial(self.change_resource, duty, token)
                )
        self.run_on_member_after(self.rng.uniform(20, 50), member, partial(self.tick, member))

    def tick_leader(self, member: Member, now: float) -> None:
        if not member.duties.duties:
            member.raft.propose(now, d.encode(d.DefineDuties(DUTIES)))
        change = membership.next_change(member.raft, self.desired_voters, frozenset(self.members))
        if isinstance(change, ReplicaId):
            member.raft.transfer_leadership(now, change)
        elif change is not None:
            member.raft.change_configuration(now, change)

    def process_ready(self, member: Member) -> None:
        """Processes the member's pending output until there is none."""
        while True:
            now = member.clock(self.time)
            out = member.raft.take_ready()
            self.check_writes(member, out.writes)
            member.pending_writes += out.writes
            for message in out.messages:
                self.send(member, message)
            for item in out.committed:
                self.apply(member, item)
            if out.committed or self.time >= member.next_lease_tick:
                member.next_lease_tick = self.time + MAX_TICK_GAP_MS
                self.tick_leases(member, now)
            if member.pending_writes and not member.syncing:
                member.syncing = True
                self.start_sync(member)
            if not (member.raft.ready.writes or member.raft.ready.messages or member.raft.ready.committed):
                break
        if member.raft.last_applied - member.raft.snapshot.index >= COMPACT_EVERY:
            member.raft.compact(member.raft.last_applied, member.duties.dump())

    def tick_leases(self, member: Member, now: float) -> None:
        for command in member.lease_manager.tick(now, member.raft.is_established_leader()):
            member.raft.propose(now, d.encode(command))
        for action in member.lease_holder.tick(now) if member.name in self.willing else []:
            if isinstance(action, DutyHandover):
                to = self.members[action.to]
                self.transmit(member.name, to, partial(self.deliver_handover, to, action))
            else:
                member.raft.propose(now, d.encode(action))

    def deliver_handover(self, member: Member, action: DutyHandover) -> None:
        member.lease_holder.accept_handover(action.duty, action.token)

    def start_sync(self, member: Member) -> None:
        """The disk continues while the process is stalled; its result is deferred."""
        write_count = len(member.pending_writes)
        duration_ms = (
            self.rng.uniform(1, 6) if self.time >= member.disk_slow_until else self.rng.uniform(100, 900)
        )
        self.call_after(duration_ms, partial(self.finish_sync, member, member.incarnation, write_count))

    def finish_sync(self, member: Member, incarnation: int, count: int) -> None:
        if not member.up or member.incarnation != incarnation:
            return
        if self.time < member.disk_full_until:
            self.run_on_member(
                member, incarnation, lambda: member.raft.disk_failed(member.clock(self.time), "no space left")
            )
            self.call_after(50, partial(self.finish_sync, member, incarnation, count))
            return
        written, member.pending_writes = member.pending_writes[:count], member.pending_writes[count:]
        member.disk += [write.record for write in written]
        member.syncing = bool(member.pending_writes)
        if member.pending_writes:
            self.start_sync(member)
        self.run_on_member(
            member,
            incarnation,
            lambda: member.raft.records_written(member.clock(self.time), written[-1].sequence),
        )

    # --- links ---

    def transmit(self, sender: str, to: Member, action: Callable[[], None]) -> None:
        for _ in range(2 if self.rng.random() < self.duplicate_rate else 1):
            if (sender, to.name) not in self.blocked_links and self.rng.random() >= self.loss_rate:
                late = self.rng.random() < self.delay_rate
                self.run_on_member_after(self.rng.uniform(1, 2000 if late else 12), to, action)

    def send(self, member: Member, outgoing: OutgoingMessage) -> None:
        message = outgoing.message
        granted_vote = (
            message
            if isinstance(message, RequestVoteResponse) and message.granted and not message.pre_vote
            else None
        )
        if (
            granted_vote
            and outgoing.recipient
            and self.votes.setdefault((member.replica, granted_vote.term), outgoing.recipient)
            != outgoing.recipient
        ):
            raise Violation(f"{member.name} voted twice in term {granted_vote.term}")
        if (
            isinstance(message, AppendEntriesResponse)
            and message.success
            and message.term == member.raft.term
        ):
            self.check_append_response(member, message)
        if self.aggressive and self.rng.random() < (0.1 if granted_vote else 0.001):
            self.call_after(0, partial(self.crash, member, self.rng.uniform(1, 60)))
        for receiver in self.members.values():
            if receiver is not member and (
                outgoing.recipient is None or receiver.replica == outgoing.recipient
            ):
                self.transmit(member.name, receiver, partial(self.receive, receiver, member.replica, message))

    def receive(self, member: Member, sender: ReplicaId, message: Message) -> None:
        member.raft.receive(member.clock(self.time), sender, message)

    # --- checks ---

    def check_writes(self, member: Member, writes: list[PendingWrite]) -> None:
        for write in writes:
            entry = write.record
            if isinstance(entry, Entry):
                previous_term = member.raft.log.term_at(entry.index - 1)
                known_entry, known_term = self.proposed_entries.setdefault(
                    (entry.index, entry.term), (entry, previous_term)
                )
                if known_entry != entry or (
                    None not in (known_term, previous_term) and known_term != previous_term
                ):
                    raise Violation(f"two entries {entry.index} of term {entry.term}, or two before it")

    def check_append_response(self, member: Member, response: AppendEntriesResponse) -> None:
        """Checked at once: the consequences show only after further entries, an election and a crash."""
        leader = next(
            (
                other.raft
                for other in self.members.values()
                if other.replica == self.leaders.get(response.term)
            ),
            None,
        )
        if (
            leader is None
            or leader.role is not Role.LEADER
            or leader.term != response.term
            or response.index <= leader.log.base_index
        ):
            return
        if member.raft.log.term_at(response.index) not in (None, leader.log.term_at(response.index)):
            raise Violation(
                f"{member.name} acknowledged the leader's entry {response.index}, but has another"
            )

    def check_session_end(self, name: str, incarnation: int, sequence: int) -> None:
        """A session has ended. Checked at once: two members act only if the holder learns of its renewal and
        not of the end.
        """
        machine = self.members[name]
        if (
            machine.up
            and machine.incarnation == incarnation
            and machine.lease_holder.renewal_times.get(sequence, 0.0) + LEASE.duration_ms
            > machine.clock(self.time)
        ):
            raise Violation(f"the session of {name} ended although its renewal {sequence} is still valid")

    def apply(self, member: Member, item: Entry | Snapshot) -> None:
        if isinstance(item, Snapshot):
            member.duties.load(item.data)
        else:
            if item.index != member.last_applied + 1:
                raise Violation(f"{member.name} applies {item.index} after {member.last_applied}")
            if self.committed_entries.setdefault(item.index, item) != item:
                raise Violation(f"{member.name} applies another entry {item.index} than was committed")
            if item.data:
                command = d.decode(item.data)
                ended = command if isinstance(command, d.EndSession) else None
                session = member.duties.open_session(ended.member, ended.incarnation) if ended else None
                member.duties.apply(item.index, command)
                if ended and session and not session.open and ended.sequence < session.sequence:
                    self.check_session_end(ended.member, ended.incarnation, session.sequence)
        member.last_applied = item.index
        dump = member.duties.dump()
        if self.states.setdefault(item.index, dump) != dump:
            raise Violation(f"two states after entry {item.index}")

    def check_invariants(self, member: Member) -> None:
        raft, now = member.raft, member.clock(self.time)
        if raft.role is Role.LEADER and self.leaders.get(raft.term) != member.replica:
            if raft.term in self.leaders:
                raise Violation(f"two leaders in term {raft.term}")
            self.leaders[raft.term] = member.replica
            for index in range(raft.log.base_index + 1, max(self.committed_entries, default=0) + 1):
                if index in self.committed_entries and (
                    index > raft.log.last_index() or raft.log.entry(index) != self.committed_entries[index]
                ):
                    raise Violation(f"the leader of term {raft.term} lacks the committed entry {index}")
        for duty in DUTIES:
            token = member.lease_holder.acting_token(duty, now)
            if not token:
                continue
            for other in self.members.values():
                if (
                    other is not member
                    and other.up
                    and other.lease_holder.acting_token(duty, other.clock(self.time))
                ):
                    raise Violation(f"{member.name} and {other.name} act on {duty}")
            if token < self.acting_tokens[duty]:
                raise Violation(
                    f"{member.name} acts on {duty} under {token} after {self.acting_tokens[duty]}"
                )
            self.acting_tokens[duty], self.last_acted[duty] = token, self.time

    def change_resource(self, duty: str, token: int) -> None:
        if self.fences[duty].admit(token):
            if token < self.resource_tokens[duty]:
                raise Violation(f"{duty} was changed under {token} after {self.resource_tokens[duty]}")
            self.resource_tokens[duty] = token

    # --- faults ---

    def inject_fault(self) -> None:
        """Injects one fault of any kind, which ends by itself."""
        self.faults += 1
        rng, member = self.rng, self.rng.choice(list(self.members.values()))
        leaders = [other for other in self.members.values() if other.up and other.raft.role is Role.LEADER]
        if leaders and rng.random() < 0.3:
            member = rng.choice(leaders)
        duration_ms = (
            rng.uniform(1, rng.choice([60, 400, 1500])) if self.aggressive else rng.uniform(100, 6000)
        )
        others = [other.name for other in self.members.values() if other is not member]
        kind = rng.randrange(17)
        if kind == 0:
            self.crash(member, duration_ms)
        elif kind == 1:
            self.crash(member, duration_ms, power_loss=False)
        elif kind == 2 and rng.random() < 0.3:
            for item in self.members.values():
                self.crash(item, rng.uniform(0, 500))
        elif kind == 3 and self.may_lose_disk(member):
            self.lose_disk(member, rng.uniform(0, 2000))
        elif kind in (4, 5):
            self.stall(member, duration_ms)
        elif kind == 6:
            member.disk_full_until = self.time + duration_ms
        elif kind == 7:
            member.disk_slow_until = self.time + duration_ms
        elif kind == 8:
            self.block_links({(member.name, other) for other in others}, duration_ms)
        elif kind == 9:
            self.block_links({(other, member.name) for other in others}, duration_ms)
        elif kind == 10:
            side = set(rng.sample(sorted(self.members), len(self.members) // 2))
            self.block_links({(x, y) for x in side for y in self.members if y not in side}, duration_ms)
            if rng.random() < 0.7:
                self.block_links({(y, x) for x in side for y in self.members if y not in side}, duration_ms)
        elif kind == 11:
            self.loss_rate, self.duplicate_rate, self.delay_rate = rng.choice(
                [(0.0, 0.0, 0.0), (0.2, 0.2, 0.1), (0.02, 0.1, 0.02)]
            )
        elif kind == 12:
            member.set_clock_rate(self.time, self.random_clock_rate())
        elif kind == 13 and member.up:
            duty = rng.choice(DUTIES)
            member.lease_holder.mark_unavailable(duty, "behind")
            self.run_on_member_after(
                rng.choice([1, duration_ms]), member, partial(member.lease_holder.mark_available, duty)
            )
        elif kind == 14 and member.up:
            member.lease_holder.set_weight(0.0)
            self.run_on_member_after(
                duration_ms, member, partial(member.lease_holder.set_weight, rng.uniform(0.5, 3))
            )
        elif kind == 15 and member.up:
            if rng.random() < 0.5:
                member.raft.transfer_leadership(
                    member.clock(self.time), rng.choice([other.replica for other in self.members.values()])
                )
            elif len(self.desired_voters) < len(self.members):
                removed, added = (
                    rng.choice(sorted(self.desired_voters)),
                    rng.choice(sorted(set(self.members) - self.desired_voters)),
                )
                self.desired_voters = self.desired_voters - {removed} | {added}

        elif kind == 16 and leaders:
            # A change that an operator may request and that is mostly refused.
            voters = rng.sample(
                sorted(member.raft.configuration.replicas()),
                rng.randint(0, len(member.raft.configuration.replicas())),
            )
            learners = member.raft.configuration.replicas() - set(voters)
            if len(voters) > 1:
                member.raft.change_configuration(
                    member.clock(self.time), Configuration(frozenset(voters), learners)
                )

    def may_lose_disk(self, member: Member) -> bool:
        """Never loses a majority of disks: all other voters of any configuration must still have theirs."""
        there = {other.replica for other in self.members.values()}
        return all(
            len(other.raft.configuration.voters - {member.replica} - there) == 0
            and len(other.raft.configuration.voters) > 2
            for other in self.members.values()
            if other.raft.configuration.voters
        )

    def block_links(self, links: set[tuple[str, str]], ms: float) -> None:
        self.blocked_links |= links
        self.call_after(ms, partial(self.blocked_links.difference_update, links))

    def clear_faults(self) -> None:
        self.blocked_links.clear()
        self.loss_rate = self.duplicate_rate = self.delay_rate = 0.0
        self.aggressive = False
        for member in self.members.values():
            member.disk_full_until = member.disk_slow_until = 0.0
            member.raft.rng = random.Random(member.replica.disk_id)
            if member.up:
                member.stalled_until = min(member.stalled_until, self.time)
                self.resume(member, member.incarnation)
            self.start(member)

    def run_with_faults(self, ms: float) -> None:
        """Injects faults for `ms`, then none, and checks that the council recovers."""
        gap = 60 if self.aggressive else 400  # mean, in ms
        self.run(2000)
        end = self.time + ms
        while self.time < end:
            self.run(self.rng.expovariate(1 / gap))
            self.inject_fault()
        self.clear_faults()
        self.run(9000)
        self.clear_faults()
        self.check_recovered()

    def leader(self) -> Member:
        leading = [
            member for member in self.members.values() if member.up and member.raft.is_established_leader()
        ]
        if not leading:
            raise NotRecovered("no leader, although all faults have ended")
        return max(leading, key=lambda member: member.raft.term)

    def check_recovered(self) -> None:
        leader = self.leader()
        if {replica.name for replica in leader.raft.configuration.voters} != self.desired_voters:
            raise NotRecovered(
                f"{leader.raft.configuration} are the voters, not {sorted(self.desired_voters)}"
            )
        for duty in DUTIES:
            if self.time - self.last_acted[duty] > 2 * LEASE.duration_ms:
                raise NotRecovered(f"nobody acts on {duty}")
