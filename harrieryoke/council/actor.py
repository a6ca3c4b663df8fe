"""The actor of the council: it alone drives what is decided (`decide/`) by messages, the disk and the time.

    agreement -> saves, sends, applies -> steward, holder -> offers -> agreement ... until nothing is new

The clock is the one that goes on while the machine sleeps (CLOCK_BOOTTIME), in milliseconds. `acting` reads
it in the call, so that a process which was stopped for any time does nothing on what was true before.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import gevent
from gevent.event import Event

from ..core.actor import Actor
from ..log import Log
from .decide import duties as d
from .decide import membership
from .decide.commands import ReplicatedState, StateError
from .decide.lease import DutyHandover, LeaseHolder
from .decide.lease_manager import LeaseManager
from .decide.log import PersistentState
from .decide.messages import Configuration, Entry, Message, PendingWrite, ReplicaId, Snapshot
from .decide.raft import Raft, Role
from .settings import CouncilSettings

BATCH = 64  # messages of one turn
WAKES = 10  # of an idle member in a lease, at the least
LEAVING_MS = 50.0  # between two looks whether what it waits for has come
HANDING, LEAVING = 0.6, 0.8  # shares of the time to leave, after which the next step is taken


def boot_ms() -> float:
    """The clock of the leases: it goes on while the machine sleeps, and is one for all of its processes."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


class Records(Protocol):
    """The member's disk. It calls `disk_done` and `disk_failed`, and after the latter the former when it
    takes records again."""

    replica: ReplicaId
    recovered: PersistentState

    def save(self, saves: list[PendingWrite]) -> None: ...


class Ways(Protocol):
    """To the other members. Nothing here blocks; what can't be sent is lost."""

    def send(self, to: ReplicaId | None, message: Message | DutyHandover) -> None: ...

    def send_to(self, names: Iterable[str], message: Message | DutyHandover) -> None: ...


class CouncilActor(Actor):
    """`acting`, `cannot`, `can`, `propose` and `ask` are for any greenlet: they read, or leave a word that
    the actor's next turn takes. The mailbox holds `told.mailbox` messages; what a member says beyond them is
    dropped as if lost, and counted."""

    def __init__(
        self,
        name: str,
        told: CouncilSettings,
        disk: Records,
        log: Log,
        seed: int,
        clock: Callable[[], float] = boot_ms,
    ) -> None:
        super().__init__("council", told.mailbox, log)
        self.me, self.told, self.disk, self.clock = name, told, disk, clock
        self.acts = ReplicatedState(d.DutyTable())
        self.duties = self.acts.duties
        self.agreement = Raft(disk.replica, told.raft_settings(), disk.recovered, seed, clock())
        # a life that was before must never be taken for this one, whatever the seed
        self.holder = LeaseHolder(name, secrets.randbits(62), told.weight, told.lease(), self.duties)
        self.steward = LeaseManager(told.lease(), self.duties, told.settle_ms)
        self.ways: Ways | None = None
        self.watches: list[Callable[[], object]] = []
        self.barred: dict[str, str] = {}  # by duty: why it can't be done, as its doer says
        self.failing = ""  # why the disk takes nothing, as it says
        self.written = 0
        self.ill = ""  # why this member gives up its duties: failing, stalled, or not long well
        self.ill_at = 0.0
        self.stirring = False
        self.leave_by: float | None = None
        self.led_at = self.looked_at = float("-inf")
        self.compact_at = 0
        self.dropped = self.dropped_told = self.refused = 0
        self.refused_why = ""
        self.held: dict[str, int] = {}  # by duty: the token it acts under, as was told last
        self.seen: tuple[ReplicaId | None, Configuration] = None, Configuration()
        self.gone = Event()

    # --- for any greenlet ---

    def acting(self, duty: str) -> int:
        """The token to act under now; 0 for not at all."""
        if self.finished or duty in self.barred or self.failing or self.ill:
            return 0
        return self.holder.acting_token(duty, self.clock())

    def cannot(self, duty: str, why: str) -> None:
        """It stops at once; the others hear why."""
        if self.barred.get(duty) != why:
            self.barred[duty] = why
            self.stir()

    def can(self, duty: str) -> None:
        if self.barred.pop(duty, None) is not None:
            self.stir()

    def propose(self, duty: str, token: int, body: bytes) -> str:
        """An act for the agreed log. Why not, or nothing; what was taken may still be lost, and who wants it
        repeats it."""
        return self.put(d.FencedCommand(duty, token, body))

    def ask(self, duty: str, body: bytes) -> str:
        """Of the duty's machine, as any member may."""
        return self.put(d.UnfencedCommand(duty, body))

    def put(self, command: d.FencedCommand | d.UnfencedCommand) -> str:
        if len(command.body) > d.MAX_BODY_BYTES:
            return f"{len(command.body)} bytes are too many: {d.MAX_BODY_BYTES} at the most"
        if self.agreement.leader is None:
            return "no leader is known"
        return "" if self.try_send(d.encode(command)) else "the council's mailbox is full, or it has ended"

    def hear(self, sender: ReplicaId, message: Message | DutyHandover) -> None:
        if not self.try_send((sender, message)):
            self.dropped += 1

    def disk_done(self, number: int) -> None:
        self.written, self.failing = max(self.written, number), ""
        self.stir()

    def disk_failed(self, why: str) -> None:
        self.failing = why
        self.stir()

    def leave(self, within_ms: float) -> None:
        """Hands its duties on, then the leadership; `gone` is set when that is done, or the time is over."""
        if self.leave_by is None:
            self.leave_by = self.clock() + within_ms
            self.stir()

    def stir(self) -> None:
        """Guards against a word that is lost at the mailbox's bound: one message more has always room."""
        if not self.stirring:
            self.stirring = True
            self.mailbox.append(None)
            self.message_arrived.set()

    # --- the loop ---

    def run(self) -> None:
        try:
            while not self.finished:
                self.wait_for_message(self.idle_ms())
                self.turn()
                if self.mailbox:
                    gevent.sleep(0)  # the calls that are served come first
        except StateError as error:  # a state that this member can't take over: it may not go on without it
            self.log("council-ended", f"{error}; this member does no duty until a restart")

    def idle_ms(self) -> float:
        a, now = self.agreement, self.clock()
        due = a.last_heartbeat + a.settings.heartbeat_ms if a.role is Role.LEADER else a.election_deadline
        ends = self.holder.lease_expires if self.held else due
        most = self.told.lease_ms / WAKES if self.leave_by is None else LEAVING_MS
        return max(0.0, min(most, due - now, ends - now))

    def process_mailbox(self) -> None:
        """Guards against a loop that is busy with what has come during a stall and answers no call."""
        for _ in range(min(len(self.mailbox), BATCH)):
            message = self.mailbox.popleft()
            self.space_available.set()
            self.receive(message)

    def turn(self) -> None:
        self.process_mailbox()
        now = self.clock()
        self.agreement.tick(now)
        if self.agreement.is_established_leader() and now - self.led_at >= self.told.heartbeat_ms:
            self.led_at = now
            self.lead(now)
        self.bar(now)
        if self.leave_by is not None:
            self.go(now, self.leave_by)
        self.tell_others(self.drain())

    def receive(self, message: Any) -> None:
        now = self.clock()
        if message is None:
            self.stirring = False
            self.hear_disk(now)
        elif isinstance(message, bytes):
            self.offer(now, message)
        elif isinstance(message, CouncilSettings):
            self.told = message
            self.holder.set_weight(0.0 if self.leave_by is not None else message.weight)
        else:
            sender, said = message
            if not isinstance(said, DutyHandover):
                self.agreement.receive(now, sender, said)
            elif (duty := self.duties.duties.get(said.duty)) is not None and duty.holder == sender.name:
                self.holder.accept_handover(said.duty, said.token)

    def hear_disk(self, now: float) -> None:
        if self.written > self.agreement.written_sequence or (self.agreement.disk_error and not self.failing):
            self.agreement.records_written(now, self.written)
        if self.failing and self.failing != self.agreement.disk_error:
            self.agreement.disk_failed(now, self.failing)

    def offer(self, now: float, data: bytes) -> None:
        if why := self.agreement.propose(now, data):
            self.refused, self.refused_why = self.refused + 1, why

    def lead(self, now: float) -> None:
        """The leader's file says who votes and which duties there are."""
        if {name for name, duty in self.duties.duties.items() if not duty.retired} != set(self.told.duties):
            self.offer(now, d.encode(d.DefineDuties(tuple(self.told.duties))))
        step = membership.next_change(
            self.agreement, frozenset(self.told.voters), frozenset(self.told.members)
        )
        if isinstance(step, ReplicaId):
            self.agreement.transfer_leadership(now, step)
        elif step is not None:
            self.agreement.change_configuration(now, step)

    def bar(self, now: float) -> None:
        """Every duty is given up while the disk takes nothing, and for `settle_ms` after that: guards against
        duties that go to and fro with a disk that takes one write in seconds."""
        if self.agreement.is_disk_stalled():
            slow = f"it has not taken a write for {self.told.stall_ms:.0f} ms"
            ill = f"the disk: {self.agreement.disk_error or slow}"
            if not self.ill:
                self.log("council-ailing", f"{ill}; all duties are given up")
            self.ill, self.ill_at = ill, now
        elif self.ill and now - self.ill_at >= self.told.settle_ms:
            self.log("council-well", "the disk takes records; duties are taken again")
            self.ill = ""
        for duty in self.duties.duties.keys() | self.holder.unavailable.keys() | self.barred.keys():
            why = (self.ill or self.barred.get(duty, ""))[: d.MAX_REASON_CHARS]
            if not why:
                self.holder.mark_available(duty)
            elif self.holder.unavailable.get(duty) != why:
                self.holder.mark_unavailable(duty, why)

    def drain(self) -> bool:
        """All that is wanted done, until nothing is; whether anything was applied."""
        assert self.ways is not None
        applied = False
        while True:
            out = self.agreement.take_ready()
            if out.writes:
                self.disk.save(out.writes)
            for send in out.messages:
                if send.recipient is None:
                    self.ways.send_to(self.told.voters, send.message)  # guards against 200 that knock at 200
                else:
                    self.ways.send(send.recipient, send.message)
            for each in out.committed:
                self.apply(each)
            applied = applied or bool(out.committed)
            # read after what was applied and before what is said: both sides of a lease rest on it
            now = self.clock()
            if out.committed or now - self.looked_at >= self.told.heartbeat_ms:
                self.looked_at = now
                for command in self.steward.tick(now, self.agreement.is_established_leader()):
                    self.offer(now, d.encode(command))
            for said in self.holder.tick(now) if self.speaks() else ():
                if isinstance(said, DutyHandover):
                    self.ways.send_to([said.to], said)
                else:
                    self.offer(now, d.encode(said))
            self.compact()
            if not any(self.agreement.ready):
                return applied

    def apply(self, each: Entry | Snapshot) -> None:
        if isinstance(each, Snapshot):
            return self.acts.load(each.data)
        if each.data:
            try:
                command = d.decode(each.data)
            except ValueError as error:
                # void at all members of this version
                return self.log("council-bad-entry", f"entry {each.index}: {error}")
            self.acts.apply(each.index, command)

    def speaks(self) -> bool:
        """Who shall hold nothing, and holds nothing, renews no session."""
        if self.holder.weight > 0 or self.holder.has_left:
            return True
        session = self.duties.open_session(self.me, self.holder.incarnation)
        return session is not None and (session.weight > 0 or self.has_duties())

    def has_duties(self) -> bool:
        mine = self.me, self.holder.incarnation
        return any(
            mine in ((duty.holder, duty.holder_incarnation), (duty.successor, duty.successor_incarnation))
            for duty in self.duties.duties.values()
        )

    def compact(self) -> None:
        a = self.agreement
        due = max(self.compact_at, a.snapshot.index + self.told.compact_every)
        if a.last_applied < due or a.ready.committed or a.is_disk_stalled():
            return
        try:
            a.compact(a.last_applied, self.acts.dump())
        except StateError as error:
            self.compact_at = a.last_applied + self.told.compact_every
            self.log("council-no-snapshot", str(error))

    # --- what changes for others ---

    def tell_others(self, applied: bool) -> None:
        now, a = self.clock(), self.agreement
        held = {name: token for name in self.duties.duties if (token := self.holder.acting_token(name, now))}
        changed, self.held, had = held != self.held, held, self.held
        for name in sorted(had.keys() | held.keys()):
            if had.get(name) != held.get(name):
                self.tell_duty(name, held.get(name, 0), now)
        if self.seen != (a.leader, a.configuration):
            led = f"{a.leader.name} leads" if a.leader is not None else "nobody is heard to lead"
            votes = ", ".join(sorted(seat.name for seat in a.configuration.voters))
            self.log("council", f"{led} in term {a.term}; {votes or 'nobody that is known'} may vote")
            self.seen = a.leader, a.configuration
        if self.dropped > self.dropped_told:
            self.log("council-behind", f"{self.dropped - self.dropped_told} messages found no room")
            self.dropped_told = self.dropped
        if applied or changed:
            for told in self.watches:
                told()

    def tell_duty(self, name: str, token: int, now: float) -> None:
        if token:
            return self.log("duty-held", f"{name} under token {token}", duty=name, token=token)
        why = self.holder.unavailable.get(name) or (
            "the lease is over" if now >= self.holder.lease_expires else "handed on"
        )
        self.log("duty-left", f"{name}: {why}", duty=name)

    # --- leaving ---

    def go(self, now: float, by: float) -> None:
        """Its duties first, one by one, while it still acts; then its session; then the leadership."""
        self.holder.set_weight(0.0)
        left = (by - now) / max(1.0, self.told.leave_ms)
        alone = not any(s.open and s.weight > 0 for m, s in self.duties.sessions.items() if m != self.me)
        if self.has_duties() and not alone and left > 1 - HANDING:
            return
        self.holder.leave()
        if self.duties.open_session(self.me, self.holder.incarnation) is not None and left > 1 - LEAVING:
            return
        if self.agreement.role is Role.LEADER and left > 0:
            heirs = [seat for seat in self.agreement.other_voters() if self.agreement.is_caught_up(seat)]
            if heirs:
                self.agreement.transfer_leadership(now, heirs[0])
                return
        if self.has_duties():
            self.log("council-not-left", "what it held goes to others when its lease is over")
        self.finished = True

    def finish(self) -> None:
        super().finish()
        self.gone.set()
