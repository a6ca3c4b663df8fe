"""The council's actor: it alone drives the decision modules in `decide/` with messages, disk results and
time.

    raft -> writes, messages, committed -> lease manager, lease holder -> proposals -> raft ... until idle

Times are milliseconds of CLOCK_BOOTTIME, which continues while the machine sleeps. `acting` reads the clock
in the call, so that a process that was suspended does not act on an outdated lease.
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

MAX_MESSAGES_PER_TURN = 64
WAKES_PER_LEASE = 10  # an idle member wakes at least this often in the time of a lease
LEAVE_POLL_MS = 50.0
# shares of the time to leave after which the next step is taken
HANDOVER_SHARE, SESSION_END_SHARE = 0.6, 0.8


def boot_ms() -> float:
    """The leases' clock: it continues while the machine sleeps and is the same for all its processes."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


class RecordStore(Protocol):
    """The member's disk. It calls the actor's `records_written` and `disk_failed`. After a failure,
    `records_written` means that the disk accepts records again.
    """

    replica: ReplicaId
    recovered: PersistentState

    def save(self, writes: list[PendingWrite]) -> None: ...


class MessageLinks(Protocol):
    """Connections to the other members. Never block; messages that cannot be sent are lost."""

    def send(self, recipient: ReplicaId | None, message: Message | DutyHandover) -> None: ...

    def send_to(self, names: Iterable[str], message: Message | DutyHandover) -> None: ...


class CouncilActor(Actor):
    """`acting`, `cannot`, `can`, `propose` and `ask` may be called from any greenlet: they only read, or
    leave a request for the actor's next turn. The mailbox holds `settings.mailbox` messages; further messages
    of members are dropped as if lost, and counted.
    """

    def __init__(
        self,
        name: str,
        settings: CouncilSettings,
        disk: RecordStore,
        log: Log,
        seed: int,
        clock: Callable[[], float] = boot_ms,
    ) -> None:
        super().__init__("council", settings.mailbox, log)
        self.member, self.settings, self.disk, self.clock = name, settings, disk, clock
        self.state = ReplicatedState(d.DutyTable())
        self.duties = self.state.duties
        self.raft = Raft(disk.replica, settings.raft_settings(), disk.recovered, seed, clock())
        # Not from the seed: an earlier incarnation must never be taken for this one.
        self.lease_holder = LeaseHolder(
            name, secrets.randbits(62), settings.weight, settings.lease(), self.duties
        )
        self.lease_manager = LeaseManager(settings.lease(), self.duties, settings.settle_ms)
        self.links: MessageLinks | None = None
        self.watchers: list[Callable[[], object]] = []
        self.unavailable: dict[str, str] = {}  # reason by duty, as reported by the duty's owner
        self.disk_error = ""  # why the disk accepts no records, as it reported
        self.written_sequence = 0
        # why this member gives up its duties: disk failed, stalled, or recovered only recently
        self.unhealthy = ""
        self.unhealthy_at = 0.0
        self.wake_pending = False
        self.leave_deadline: float | None = None
        self.last_leader_tick = self.last_lease_tick = float("-inf")
        self.next_compaction = 0
        self.dropped = self.dropped_logged = self.refused_count = 0
        self.last_refusal = ""
        self.held_tokens: dict[str, int] = {}  # token by duty, as last published
        self.logged_leadership: tuple[ReplicaId | None, Configuration] = None, Configuration()
        self.has_left = Event()

    # --- called from any greenlet ---

    def acting(self, duty: str) -> int:
        """Returns the token to act under now, or 0 for none."""
        if self.finished or duty in self.unavailable or self.disk_error or self.unhealthy:
            return 0
        return self.lease_holder.acting_token(duty, self.clock())

    def cannot(self, duty: str, reason: str) -> None:
        """Stops acting at once; the next renewal tells the others why."""
        if self.unavailable.get(duty) != reason:
            self.unavailable[duty] = reason
            self.wake()

    def can(self, duty: str) -> None:
        if self.unavailable.pop(duty, None) is not None:
            self.wake()

    def propose(self, duty: str, token: int, body: bytes) -> str:
        """Proposes a fenced command. Returns the reason for a refusal, or "". An accepted command may still
        be lost: the caller repeats it.
        """
        return self.submit(d.FencedCommand(duty, token, body))

    def ask(self, duty: str, body: bytes) -> str:
        """Proposes an unfenced command for the duty's state machine, as any member may."""
        return self.submit(d.UnfencedCommand(duty, body))

    def submit(self, command: d.FencedCommand | d.UnfencedCommand) -> str:
        if len(command.body) > d.MAX_BODY_BYTES:
            return f"body of {len(command.body)} bytes is too large: at most {d.MAX_BODY_BYTES} are allowed"
        if self.raft.leader is None:
            return "no leader is known"
        return (
            ""
            if self.try_send(d.encode(command))
            else "the council's mailbox is full, or the council has stopped"
        )

    def deliver(self, sender: ReplicaId, message: Message | DutyHandover) -> None:
        if not self.try_send((sender, message)):
            self.dropped += 1

    def records_written(self, sequence: int) -> None:
        self.written_sequence, self.disk_error = max(self.written_sequence, sequence), ""
        self.wake()

    def disk_failed(self, reason: str) -> None:
        self.disk_error = reason
        self.wake()

    def leave(self, within_ms: float) -> None:
        """Hands over the duties, then the leadership; `has_left` is set when that is done or the time is
        over.
        """
        if self.leave_deadline is None:
            self.leave_deadline = self.clock() + within_ms
            self.wake()

    def wake(self) -> None:
        """Wakes the actor. Ignores the mailbox's bound, since a wake-up must not be dropped; at most one is
        pending.
        """
        if not self.wake_pending:
            self.wake_pending = True
            self.mailbox.append(None)
            self.message_arrived.set()

    # --- loop ---

    def run(self) -> None:
        try:
            while not self.finished:
                self.wait_for_message(self.idle_ms())
                self.run_turn()
                if self.mailbox:
                    gevent.sleep(0)  # calls in progress come first
        except StateError as error:  # the member lacks a state machine and must not continue without it
            self.log("council-ended", f"{error}; this member holds no duty until it is restarted")

    def idle_ms(self) -> float:
        raft, now = self.raft, self.clock()
        wake_at = (
            raft.last_heartbeat + raft.settings.heartbeat_ms
            if raft.role is Role.LEADER
            else raft.election_deadline
        )
        lease_expires = self.lease_holder.lease_expires if self.held_tokens else wake_at
        max_idle_ms = (
            self.settings.lease_ms / WAKES_PER_LEASE if self.leave_deadline is None else LEAVE_POLL_MS
        )
        return max(0.0, min(max_idle_ms, wake_at - now, lease_expires - now))

    def process_mailbox(self) -> None:
        """Bounded, so that a backlog after a stall does not keep the process from answering calls."""
        for _ in range(min(len(self.mailbox), MAX_MESSAGES_PER_TURN)):
            message = self.mailbox.popleft()
            self.space_available.set()
            self.receive(message)

    def run_turn(self) -> None:
        self.process_mailbox()
        now = self.clock()
        self.raft.tick(now)
        if self.raft.is_established_leader() and now - self.last_leader_tick >= self.settings.heartbeat_ms:
            self.last_leader_tick = now
            self.tick_leader(now)
        self.update_availability(now)
        if self.leave_deadline is not None:
            self.continue_leaving(now, self.leave_deadline)
        self.publish_changes(self.process_ready())

    def receive(self, message: Any) -> None:
        now = self.clock()
        if message is None:
            self.wake_pending = False
            self.apply_disk_results(now)
        elif isinstance(message, bytes):
            self.propose_entry(now, message)
        elif isinstance(message, CouncilSettings):
            self.settings = message
            self.lease_holder.set_weight(0.0 if self.leave_deadline is not None else message.weight)
        else:
            sender, payload = message
            if not isinstance(payload, DutyHandover):
                self.raft.receive(now, sender, payload)
            elif (duty := self.duties.duties.get(payload.duty)) is not None and duty.holder == sender.name:
                self.lease_holder.accept_handover(payload.duty, payload.token)

    def apply_disk_results(self, now: float) -> None:
        if self.written_sequence > self.raft.written_sequence or (
            self.raft.disk_error and not self.disk_error
        ):
            self.raft.records_written(now, self.written_sequence)
        if self.disk_error and self.disk_error != self.raft.disk_error:
            self.raft.disk_failed(now, self.disk_error)

    def propose_entry(self, now: float, data: bytes) -> None:
        if reason := self.raft.propose(now, data):
            self.refused_count, self.last_refusal = self.refused_count + 1, reason

    def tick_leader(self, now: float) -> None:
        """The leader's settings determine the voters and the duties."""
        if {name for name, duty in self.duties.duties.items() if not duty.retired} != set(
            self.settings.duties
        ):
            self.propose_entry(now, d.encode(d.DefineDuties(tuple(self.settings.duties))))
        change = membership.next_change(
            self.raft, frozenset(self.settings.voters), frozenset(self.settings.members)
        )
        if isinstance(change, ReplicaId):
            self.raft.transfer_leadership(now, change)
        elif change is not None:
            self.raft.change_configuration(now, change)

    def update_availability(self, now: float) -> None:
        """Gives up all duties while the disk accepts no records, and for `settle_ms` after that: otherwise
        duties would move back and forth with a disk that completes one write every few seconds.
        """
        if self.raft.is_disk_stalled():
            slow_reason = f"no write completed for {self.settings.stall_ms:.0f} ms"
            unhealthy = f"disk: {self.raft.disk_error or slow_reason}"
            if not self.unhealthy:
                self.log("council-ailing", f"{unhealthy}; giving up all duties")
            self.unhealthy, self.unhealthy_at = unhealthy, now
        elif self.unhealthy and now - self.unhealthy_at >= self.settings.settle_ms:
            self.log("council-well", "the disk accepts records again; duties may be held again")
            self.unhealthy = ""
        for duty in (
            self.duties.duties.keys() | self.lease_holder.unavailable.keys() | self.unavailable.keys()
        ):
            reason = (self.unhealthy or self.unavailable.get(duty, ""))[: d.MAX_REASON_CHARS]
            if not reason:
                self.lease_holder.mark_available(duty)
            elif self.lease_holder.unavailable.get(duty) != reason:
                self.lease_holder.mark_unavailable(duty, reason)

    def process_ready(self) -> bool:
        """Processes the pending output until there is none; returns whether anything was applied."""
        assert self.links is not None
        applied = False
        while True:
            ready = self.raft.take_ready()
            if ready.writes:
                self.disk.save(ready.writes)
            for outgoing in ready.messages:
                if outgoing.recipient is None:
                    # to voters only: with 200 members that each send to all, there would be too many messages
                    self.links.send_to(self.settings.voters, outgoing.message)
                else:
                    self.links.send(outgoing.recipient, outgoing.message)
            for item in ready.committed:
                self.apply(item)
            applied = applied or bool(ready.committed)
            # The clock is read after applying and before proposing: both sides of a lease depend on that.
            now = self.clock()
            if ready.committed or now - self.last_lease_tick >= self.settings.heartbeat_ms:
                self.last_lease_tick = now
                for command in self.lease_manager.tick(now, self.raft.is_established_leader()):
                    self.propose_entry(now, d.encode(command))
            for action in self.lease_holder.tick(now) if self.should_renew() else ():
                if isinstance(action, DutyHandover):
                    self.links.send_to([action.to], action)
                else:
                    self.propose_entry(now, d.encode(action))
            self.compact()
            if not any(self.raft.ready):
                return applied

    def apply(self, item: Entry | Snapshot) -> None:
        if isinstance(item, Snapshot):
            return self.state.load(item.data)
        if item.data:
            try:
                command = d.decode(item.data)
            except ValueError as error:
                # rejected by all members of this version
                return self.log("council-bad-entry", f"entry {item.index}: {error}")
            self.state.apply(item.index, command)

    def should_renew(self) -> bool:
        """A member of weight 0 stops renewing its session once that weight is in its session and it holds no
        duties.
        """
        if self.lease_holder.weight > 0 or self.lease_holder.has_left:
            return True
        session = self.duties.open_session(self.member, self.lease_holder.incarnation)
        return session is not None and (session.weight > 0 or self.has_duties())

    def has_duties(self) -> bool:
        own_session = self.member, self.lease_holder.incarnation
        return any(
            own_session
            in ((duty.holder, duty.holder_incarnation), (duty.successor, duty.successor_incarnation))
            for duty in self.duties.duties.values()
        )

    def compact(self) -> None:
        raft = self.raft
        due_index = max(self.next_compaction, raft.snapshot.index + self.settings.compact_every)
        if raft.last_applied < due_index or raft.ready.committed or raft.is_disk_stalled():
            return
        try:
            raft.compact(raft.last_applied, self.state.dump())
        except StateError as error:
            self.next_compaction = raft.last_applied + self.settings.compact_every
            self.log("council-no-snapshot", str(error))

    # --- notifications ---

    def publish_changes(self, applied: bool) -> None:
        now, raft = self.clock(), self.raft
        held_tokens = {
            name: token for name in self.duties.duties if (token := self.lease_holder.acting_token(name, now))
        }
        changed, self.held_tokens, previous_tokens = (
            held_tokens != self.held_tokens,
            held_tokens,
            self.held_tokens,
        )
        for name in sorted(previous_tokens.keys() | held_tokens.keys()):
            if previous_tokens.get(name) != held_tokens.get(name):
                self.log_duty_change(name, held_tokens.get(name, 0), now)
        if self.logged_leadership != (raft.leader, raft.configuration):
            leader_text = f"{raft.leader.name} leads" if raft.leader is not None else "no known leader"
            voters_text = ", ".join(sorted(replica.name for replica in raft.configuration.voters))
            self.log("council", f"{leader_text} in term {raft.term}; voters: {voters_text or 'none known'}")
            self.logged_leadership = raft.leader, raft.configuration
        if self.dropped > self.dropped_logged:
            self.log(
                "council-behind",
                f"{self.dropped - self.dropped_logged} messages dropped: the mailbox was full",
            )
            self.dropped_logged = self.dropped
        if applied or changed:
            for callback in self.watchers:
                callback()

    def log_duty_change(self, name: str, token: int, now: float) -> None:
        if token:
            return self.log("duty-held", f"{name} under token {token}", duty=name, token=token)
        reason = self.lease_holder.unavailable.get(name) or (
            "the lease expired" if now >= self.lease_holder.lease_expires else "handed over"
        )
        self.log("duty-left", f"{name}: {reason}", duty=name)

    # --- leaving ---

    def continue_leaving(self, now: float, deadline: float) -> None:
        """Gives up the duties one by one while still acting, then the session, then the leadership."""
        self.lease_holder.set_weight(0.0)
        remaining_share = (deadline - now) / max(1.0, self.settings.leave_ms)
        is_alone = not any(
            s.open and s.weight > 0 for m, s in self.duties.sessions.items() if m != self.member
        )
        if self.has_duties() and not is_alone and remaining_share > 1 - HANDOVER_SHARE:
            return
        self.lease_holder.leave()
        if (
            self.duties.open_session(self.member, self.lease_holder.incarnation) is not None
            and remaining_share > 1 - SESSION_END_SHARE
        ):
            return
        if self.raft.role is Role.LEADER and remaining_share > 0:
            candidates = [replica for replica in self.raft.other_voters() if self.raft.is_caught_up(replica)]
            if candidates:
                self.raft.transfer_leadership(now, candidates[0])
                return
        if self.has_duties():
            self.log("council-not-left", "its remaining duties move when its lease expires")
        self.finished = True

    def finish(self) -> None:
        super().finish()
        self.has_left.set()
