"""All interleavings of a few steps: an action against the end of a lease, a renewal against `EndSession`,
handing over, a disk against outgoing messages, and a leader that steps down; each also with injected faults.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from functools import partial

import msgspec
import pytest

from harrieryoke.council.decide import duties as d
from harrieryoke.council.decide.lease import DutyHandover, Lease, LeaseHolder
from harrieryoke.council.decide.log import bootstrap_snapshot, replay_records
from harrieryoke.council.decide.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    Message,
    OutgoingMessage,
    PendingWrite,
    PersistentRecord,
    ReplicaId,
    RequestVote,
    RequestVoteResponse,
)
from harrieryoke.council.decide.raft import Raft, Role

from .council_world import SETTINGS, Components
from .interleave import Failed, Wait, World, explore, replay, shape
from .test_council_faults import AcknowledgesWholeLog, EndsRenewedSession, NoFence

LEASE = Lease(1000.0, 0.0)  # all members share a clock
A, B, C = ReplicaId("a", 1), ReplicaId("b", 2), ReplicaId("c", 3)


def shortest(make: Callable[[], World], failure: str, preemptions: int | None = None) -> list[str]:
    """Returns the shortest schedule with the fewest preemptions that shows the fault; a replay must fail in
    the same way.
    """
    with pytest.raises(Failed, match=failure) as found:
        explore(make, preemptions)
    assert replay(make, found.value.schedule) == found.value.failure
    return found.value.schedule.splitlines()


# --- duties: a holds x, b could ---


class LeaseScenario(World):
    """a holds x, b could. a's renewal of 0 is old, its next one was sent at 600; b's at 700, which is now.
    The committed log is a list that a, b and the leader s each apply at their own pace. `case`: a's next
    renewal is still on its way at the `expiry` of its lease; x moves to b by a `handover`; or b marks x
    unavailable and then available again (`flapping`).
    """

    def __init__(self, case: str, components: Components) -> None:
        self.now, self.log = 0.0, list[d.Command]()
        self.copies = {name: components.duties() for name in "abs"}
        self.applied_count, self.last_tick = dict.fromkeys("abs", 0), dict.fromkeys("abs", 700.0)
        self.lease_holders = {
            name: components.lease_holder(name, 1, 1.0, LEASE, self.copies[name]) for name in "ab"
        }
        self.lease_manager, self.fence = (
            components.lease_manager(LEASE, self.copies["s"], 1e9),
            components.fence(),
        )
        self.renewals, self.handovers = list[d.RenewSession](), list[DutyHandover]()
        self.token, self.resource_token = 0, 0
        self.log.append(d.DefineDuties(("x",)))
        for at, name in enumerate("asa"):  # requested at 0, granted at 0, applied by a at 300
            self.now = (0.0, 0.0, 300.0)[at]
            self.catch_up(name)
        self.now = 700.0
        for name in "bsb":
            self.catch_up(name)
        self.now = 600.0
        self.tick("a")
        self.now = 700.0
        if case != "expiry":
            for name in "sab":
                self.catch_up(name)
        self.threads = {
            "a": [("check", self.read_token), ("act", lambda: self.change_resource(self.token))],
            "b": self.repeat(
                lambda: self.token_of_b() > self.resource_token,
                lambda: self.change_resource(self.token_of_b()),
                "act",
            ),
            "renewal": self.repeat(lambda: self.renewals, self.deliver_renewal, "arrives"),
            **{f"copy-{name}": self.apply_log(name) for name in ("ab" if case == "handover" else "abs")},
        }
        if case == "expiry":
            self.threads["clock"] = [("at-1000", lambda: setattr(self, "now", 1000.0))]
            self.threads["s"] = self.repeat(
                lambda: self.last_tick["s"] < self.now, lambda: self.tick("s"), "tick"
            )
            return
        self.threads["leader"] = [("successor", lambda: self.log.append(d.AssignSuccessor("x", 3, "b", 1)))]
        self.threads["handover"] = self.repeat(lambda: self.handovers, self.deliver_handover, "arrives")
        if case == "flapping":
            b = self.lease_holders["b"]
            self.threads["b"] = [
                ("unavailable", lambda: self.run_and_tick(partial(b.mark_unavailable, "x", "behind"))),
                ("available", lambda: self.run_and_tick(partial(b.mark_available, "x"))),
            ]
            del self.threads["a"]

    def run_and_tick(self, what: Callable[[], None]) -> None:
        what()
        self.tick("b")

    def repeat(self, condition: Callable[[], object], step: Callable[[], None], label: str) -> Iterator[Wait]:
        while True:
            yield Wait(condition, label, idle=True)
            step()

    def apply_log(self, name: str) -> Iterator[Wait]:
        def apply() -> None:
            self.apply(name)
            self.tick(name)

        return self.repeat(lambda: self.applied_count[name] < len(self.log), apply, "apply")

    def apply(self, name: str) -> None:
        self.copies[name].apply(self.applied_count[name] + 1, self.log[self.applied_count[name]])
        self.applied_count[name] += 1

    def catch_up(self, name: str) -> None:
        """Delivers all renewals, applies the whole log, then ticks."""
        while self.renewals:
            self.deliver_renewal()
        while self.applied_count[name] < len(self.log):
            self.apply(name)
        self.tick(name)

    def tick(self, name: str) -> None:
        self.last_tick[name] = self.now
        if name == "s":
            self.log += self.lease_manager.tick(self.now, True)
            return
        for action in self.lease_holders[name].tick(self.now):
            if isinstance(action, DutyHandover):
                self.handovers.append(action)
            elif self.now < 1000.0:  # a later renewal is lost
                self.renewals.append(action)

    def deliver_renewal(self) -> None:
        self.log.append(self.renewals.pop(0))

    def deliver_handover(self) -> None:
        action = self.handovers.pop(0)
        self.lease_holders[action.to].accept_handover(action.duty, action.token)

    def token_of_b(self) -> int:
        return self.lease_holders["b"].acting_token("x", self.now)

    def read_token(self) -> None:
        self.token = self.lease_holders["a"].acting_token("x", self.now)

    def change_resource(self, token: int) -> None:
        if token and self.fence.admit(token):
            assert token >= self.resource_token, f"changed under {token} after {self.resource_token}"
            self.resource_token = token

    def check(self) -> None:
        acting = [name for name, holder in self.lease_holders.items() if holder.acting_token("x", self.now)]
        assert len(acting) < 2, "two act"

    def key(self) -> Hashable:
        state = [
            self.now,
            self.log,
            self.applied_count,
            self.last_tick,
            self.renewals,
            self.handovers,
            self.token,
            self.resource_token,
            [vars(holder) for holder in self.lease_holders.values()],
            list(self.lease_manager.proposed.items()),
            self.lease_manager.last_renewals,
        ]
        return msgspec.msgpack.encode(state, enc_hook=lambda part: None)


class ActsBeforeHandover(LeaseHolder):
    """Acts as the successor before the holder has stopped."""

    def acting_token(self, name: str, now: float) -> int:
        duty = self.duties.duties.get(name)
        if duty is not None and duty.successor == self.member:
            self.accept_handover(name, duty.successor_token)
        return super().acting_token(name, now)


class ActsBeforeAgreement(LeaseHolder):
    """Acts on a handover whether or not it is committed."""

    def acting_token(self, name: str, now: float) -> int:
        return super().acting_token(name, now) or (
            self.handed_over.get(name, 0) if name not in self.unavailable else 0
        )


class MeasuresLeaseFromApply(LeaseHolder):
    def tick(self, now: float) -> list[d.RenewSession | DutyHandover]:
        session = self.duties.open_session(self.member, self.incarnation)
        if (
            session is not None
            and self.lease_expires < self.renewal_times.get(session.sequence, now) + self.lease.duration_ms
        ):
            self.renewal_times[session.sequence] = now
        return super().tick(now)


# --- a voter's disk against its outgoing messages ---

# on c's disk; only the first is committed
OLD_ENTRIES = [Entry(1, 1), Entry(2, 1, b"old"), Entry(3, 1, b"old")]
NEW_ENTRIES = [Entry(1, 1), Entry(2, 5, b"new"), Entry(3, 5, b"new")]  # of a, the leader in term 5


class DiskScenario(World):
    """The voter c receives `messages`, each from its sender, in any order. Its disk writes one record per
    step and reports it in the next; the power may fail once.
    """

    def __init__(self, raft_type: type[Raft], messages: dict[str, tuple[ReplicaId, Message]]) -> None:
        self.raft_type = raft_type
        self.disk: list[PersistentRecord] = [bootstrap_snapshot([A, B, C]), *OLD_ENTRIES]
        self.start()
        self.votes, self.responses = set[tuple[int, ReplicaId | None]](), list[OutgoingMessage]()
        self.threads = {name: [("receive", partial(self.receive, *what))] for name, what in messages.items()}
        self.threads |= {"disk": self.write_to_disk(), "power": [("cut", self.start)]}

    def start(self) -> None:
        self.pending_writes, self.written_sequence = list[PendingWrite](), 0
        self.voter = self.raft_type(C, SETTINGS, replay_records(self.disk), 1, 0.0)

    def write_to_disk(self) -> Iterator[Wait]:
        while True:
            yield Wait(
                lambda: self.pending_writes or self.written_sequence,
                lambda: "done" if self.written_sequence else "write",
                idle=True,
            )
            if not self.written_sequence:
                write = self.pending_writes.pop(0)
                self.disk.append(write.record)
                self.written_sequence = write.sequence
            else:
                self.voter.records_written(0.0, self.written_sequence)
                self.written_sequence = 0
                self.process_ready()

    def receive(self, sender: ReplicaId, message: Message) -> None:
        self.voter.receive(0.0, sender, message)
        self.process_ready()

    def process_ready(self) -> None:
        ready = self.voter.take_ready()
        self.pending_writes += ready.writes
        for outgoing in ready.messages:
            if isinstance(outgoing.message, RequestVoteResponse) and outgoing.message.granted:
                self.votes.add((outgoing.message.term, outgoing.recipient))
            if isinstance(outgoing.message, AppendEntriesResponse) and outgoing.message.success:
                written = replay_records(self.disk).log.entries[: outgoing.message.index]
                assert (
                    written == NEW_ENTRIES[: outgoing.message.index]
                ), "acknowledged what is not durable, or not the leader's"

    def check(self) -> None:
        assert len({term for term, _ in self.votes}) == len(self.votes), "two votes in a term"

    def key(self) -> Hashable:
        return shape(
            self.disk,
            self.pending_writes,
            self.written_sequence,
            sorted(self.votes),
            vars(self.voter).values(),
        )


VOTE_REQUESTS = {"a": (A, RequestVote(6, 3, 5)), "b": (B, RequestVote(6, 3, 5))}
APPEND_REQUESTS: dict[str, tuple[ReplicaId, Message]] = {
    "heartbeat": (A, AppendEntries(5, 1, 1, (), 1)),
    "first": (A, AppendEntries(5, 1, 1, (NEW_ENTRIES[1],), 1)),
    "second": (A, AppendEntries(5, 2, 5, (NEW_ENTRIES[2],), 1)),
    "both": (A, AppendEntries(5, 1, 1, (NEW_ENTRIES[1], NEW_ENTRIES[2]), 2)),
}


class SendsBeforeWriting(Raft):
    def send_after_write(self, after_sequence: int, message: OutgoingMessage) -> None:
        super().send_after_write(0, message)


class OmitsVote(Raft):
    """Writes the term, but not the vote."""

    def write_hard_state(self) -> None:
        vote, self.voted_for = self.voted_for, None
        super().write_hard_state()
        self.voted_for = vote


# --- a leader on a failing disk ---


class StepDownScenario(World):
    """a leads; an entry is proposed to it, its disk fails and recovers. Links keep their order; the disks of
    the others write at once.
    """

    def __init__(self, raft_type: type[Raft]) -> None:
        replicas = {"a": A, "b": B, "c": C}
        self.disks: dict[str, list[PersistentRecord]] = {
            name: [bootstrap_snapshot(replicas.values())] for name in replicas
        }
        self.members = {
            n: raft_type(replica, SETTINGS, replay_records(self.disks[n]), 1, 0.0)
            for n, replica in replicas.items()
        }
        self.pending_writes = {name: list[PendingWrite]() for name in replicas}
        self.in_transit = {name: list[tuple[ReplicaId, Message]]() for name in replicas}
        self.committed_entries, self.leaders, self.disk_failing = dict[int, Entry](), dict[int, str](), False
        self.run_and_process("a", lambda: self.members["a"].tick(2 * SETTINGS.election_ms))
        while any(self.in_transit.values()) or self.pending_writes["a"]:
            self.finish_writes("a")
            for name in [n for n in replicas if self.in_transit[n]]:
                self.receive(name)
        assert self.members["a"].is_established_leader()
        self.threads = {
            "client": [
                ("propose", lambda: self.run_and_process("a", lambda: self.members["a"].propose(0.0, b"x")))
            ],
            "disk": [("fails", self.fail_disk), ("recovers", lambda: setattr(self, "disk_failing", False))],
            "write": self.repeat(
                lambda: self.pending_writes["a"] and not self.disk_failing,
                partial(self.finish_writes, "a"),
                "a",
            ),
            **{
                f"to-{n}": self.repeat(partial(self.in_transit.get, n), partial(self.receive, n), "receive")
                for n in replicas
            },
        }

    def repeat(self, condition: Callable[[], object], step: Callable[[], None], label: str) -> Iterator[Wait]:
        while True:
            yield Wait(condition, label, idle=True)
            step()

    def fail_disk(self) -> None:
        self.disk_failing = True
        self.run_and_process("a", lambda: self.members["a"].disk_failed(600.0, "no space left"))

    def receive(self, name: str) -> None:
        sender, message = self.in_transit[name].pop(0)
        self.run_and_process(name, lambda: self.members[name].receive(600.0, sender, message))

    def finish_writes(self, name: str) -> None:
        if self.pending_writes[name]:
            self.disks[name] += [write.record for write in self.pending_writes[name]]
            last = self.pending_writes[name].pop().sequence
            self.pending_writes[name].clear()
            self.run_and_process(name, lambda: self.members[name].records_written(600.0, last))

    def run_and_process(self, name: str, step: Callable[[], object]) -> None:
        step()
        member = self.members[name]
        ready = member.take_ready()
        self.pending_writes[name] += ready.writes
        for outgoing in ready.messages:
            for other in "abc":
                if outgoing.recipient is not None and other == outgoing.recipient.name:
                    self.in_transit[other].append((member.replica, outgoing.message))
        for item in ready.committed:
            assert isinstance(item, Entry)
            assert (
                self.committed_entries.setdefault(item.index, item) == item
            ), "two entries committed at an index"
            replica_count = sum(item in replay_records(disk).log.entries for disk in self.disks.values())
            assert replica_count > 1, "committed, but not durable at a majority"
        if name != "a":
            self.finish_writes(name)
        if member.role is Role.LEADER:
            assert self.leaders.setdefault(member.term, name) == name, "two leaders in a term"
            assert all(
                item in member.log.entries for item in self.committed_entries.values()
            ), "committed, but lost"

    def key(self) -> Hashable:
        return shape(
            self.disks,
            self.pending_writes,
            self.in_transit,
            self.disk_failing,
            sorted(self.committed_entries),
            self.leaders,
            [vars(raft).values() for raft in self.members.values()],
        )


class CountsFailedWrites(Raft):
    def disk_failed(self, now: float, reason: str) -> None:
        self.durable_index = self.log.last_index()
        self.advance_commit_index()
        super().disk_failed(now, reason)


# --- the tests ---


@pytest.mark.parametrize(("case", "states"), [("expiry", 1500), ("handover", 100), ("flapping", 2500)])
def test_no_interleaving_lets_two_members_act_or_a_late_change_through(case: str, states: int) -> None:
    counts = explore(lambda: LeaseScenario(case, Components()))
    assert counts.complete and counts.states > states


@pytest.mark.parametrize(
    ("case", "fault", "failure", "schedule"),
    [
        (
            "expiry",
            Components(fence=NoFence),
            "changed under 3 after 6",
            "a:check clock:at-1000 s:tick copy-b:apply copy-s:apply copy-s:apply copy-b:apply b:act a:act",
        ),
        (
            "expiry",
            Components(lease_holder=MeasuresLeaseFromApply),
            "two act",
            "clock:at-1000 s:tick copy-b:apply copy-s:apply copy-s:apply copy-b:apply",
        ),
        (
            "expiry",
            Components(duties=EndsRenewedSession),
            "two act",
            "renewal:arrives copy-a:apply copy-a:apply copy-b:apply clock:at-1000 s:tick copy-b:apply "
            "copy-s:apply copy-s:apply copy-s:apply copy-b:apply",
        ),
        ("handover", Components(lease_holder=ActsBeforeHandover), "two act", "leader:successor copy-b:apply"),
        (
            "handover",
            Components(fence=NoFence),
            "changed under 3 after 6",
            "a:check leader:successor copy-a:apply copy-b:apply handover:arrives b:act a:act",
        ),
    ],
)
def test_injected_lease_faults_are_found(case: str, fault: Components, failure: str, schedule: str) -> None:
    assert shortest(lambda: LeaseScenario(case, fault), failure, 1) == schedule.split()


def test_a_successor_that_acts_before_the_commit_is_found() -> None:
    """In between it was unavailable, and the duty went back."""
    schedule = shortest(
        lambda: LeaseScenario("flapping", Components(lease_holder=ActsBeforeAgreement)), "two act"
    )
    assert len(schedule) == 18 and schedule.index("b:unavailable") < schedule.index("handover:arrives")


def test_no_interleaving_acknowledges_what_is_not_durable() -> None:
    for messages in (VOTE_REQUESTS, APPEND_REQUESTS):
        assert explore(lambda messages=messages: DiskScenario(Raft, messages)).complete  # type: ignore[misc]


@pytest.mark.parametrize(
    ("fault", "messages", "failure", "schedule"),
    [
        (SendsBeforeWriting, VOTE_REQUESTS, "two votes", "a:receive power:cut b:receive"),
        (
            OmitsVote,
            VOTE_REQUESTS,
            "two votes",
            "a:receive disk:write disk:done disk:write disk:done power:cut b:receive disk:write disk:done",
        ),
        (SendsBeforeWriting, APPEND_REQUESTS, "not durable", "first:receive"),
        (AcknowledgesWholeLog, APPEND_REQUESTS, "not the leader's", "heartbeat:receive disk:write disk:done"),
    ],
)
def test_injected_disk_faults_are_found(
    fault: type[Raft], messages: dict[str, tuple[ReplicaId, Message]], failure: str, schedule: str
) -> None:
    assert shortest(lambda: DiskScenario(fault, messages), failure) == schedule.split()


def test_no_interleaving_commits_what_is_not_durable() -> None:
    counts = explore(lambda: StepDownScenario(Raft))
    assert counts.complete and counts.states > 500


def test_counting_a_failed_write_is_found() -> None:
    schedule = shortest(lambda: StepDownScenario(CountsFailedWrites), "not durable at a majority", 0)
    assert schedule == ["client:propose", "to-b:receive", "to-a:receive", "disk:fails"]
