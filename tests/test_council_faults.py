"""Injected faults: the simulation must detect each of them."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from functools import partial

import pytest

from harrieryoke.council.decide import duties as d
from harrieryoke.council.decide.lease import DutyHandover, Fence, Lease, LeaseHolder
from harrieryoke.council.decide.lease_manager import LeaseManager
from harrieryoke.council.decide.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Configuration,
    Entry,
    Message,
    OutgoingMessage,
    ReplicaId,
    RequestVote,
)
from harrieryoke.council.decide.raft import Raft

from . import council_world
from .council_world import DUTIES, Components, Member, NotRecovered, Violation, World


class VoteNotWritten(Raft):
    def write_hard_state(self) -> None:
        if self.voted_for in (None, self.replica):
            super().write_hard_state()


class SendsBeforeWriting(Raft):
    def send_after_write(self, after_sequence: int, message: OutgoingMessage) -> None:
        super().send_after_write(0, message)


class VotesForAnyLog(Raft):
    """Votes for a candidate whose log lacks committed entries."""

    def handle_request_vote(self, sender: ReplicaId, message: RequestVote) -> None:
        super().handle_request_vote(
            sender,
            RequestVote(message.term, 1 << 40, 1 << 40, message.pre_vote, message.leadership_transfer),
        )


class SkipsLogMatching(Raft):
    """Accepts entries without comparing the previous term."""

    def handle_append_entries(self, leader: ReplicaId, message: AppendEntries) -> None:
        term = self.log.term_at(message.prev_log_index)
        super().handle_append_entries(
            leader,
            message
            if term is None
            else AppendEntries(
                message.term, message.prev_log_index, term, message.entries, message.leader_commit
            ),
        )


class MeasuresLeaseFromResponse(LeaseHolder):
    def tick(self, now: float) -> list[d.RenewSession | DutyHandover]:
        session = self.duties.open_session(self.member, self.incarnation)
        if session is not None and session.sequence in self.renewal_times:
            self.renewal_times[session.sequence] = now
        return super().tick(now)


class IgnoresClockDrift(LeaseManager):
    def observe_sessions(self, now: float) -> None:
        super().observe_sessions(now)
        for member, (incarnation, sequence, seen_at) in self.last_renewals.items():
            if now - seen_at >= self.lease.duration_ms:
                self.last_renewals[member] = incarnation, sequence, seen_at - self.lease.expiry_bound()


class ActsAfterHandover(LeaseHolder):
    def hand_over_duties(self) -> list[DutyHandover]:
        before = dict(self.released)
        out = super().hand_over_duties()
        self.released = before
        return out


class NoFence(Fence):
    def admit(self, token: int) -> bool:
        return True


class CountsOwnUnwrittenEntries(Raft):
    def advance_commit_index(self) -> None:
        self.durable_index = self.log.last_index()
        super().advance_commit_index()


class UncheckedConfigurationChange(Raft):
    def change_configuration(self, now: float, configuration: Configuration) -> str:
        self.append_and_replicate(Entry(self.log.last_index() + 1, self.term, members=configuration))
        return ""


class ResumesImmediately(LeaseHolder):
    """Acts again on a duty before the others have learned that it is available."""

    def mark_available(self, name: str) -> None:
        super().mark_available(name)
        self.unavailable_since.pop(name, None)


class NoPreVote(Raft):
    def start_pre_vote(self) -> None:
        self.start_election()


class AcknowledgesWholeLog(Raft):
    def send(self, recipient: ReplicaId | None, message: Message, after_sequence: int = 0) -> None:
        if isinstance(message, AppendEntriesResponse) and message.success:
            message = AppendEntriesResponse(message.term, True, self.log.last_index())
        super().send(recipient, message, after_sequence)


class EndsRenewedSession(d.DutyTable):
    def apply(self, index: int, command: d.Command) -> bool:
        if isinstance(command, d.EndSession) and (
            session := self.open_session(command.member, command.incarnation)
        ):
            command = d.EndSession(command.member, command.incarnation, session.sequence)
        return super().apply(index, command)


FAULTS = {
    "a vote for a shorter log": Components(raft=VotesForAnyLog),
    "entries appended after a mismatch": Components(raft=SkipsLogMatching),
    "a lease measured from the response": Components(lease_holder=MeasuresLeaseFromResponse),
    "a holder that acts after the handover": Components(lease_holder=ActsAfterHandover),
    "no fence": Components(fence=NoFence),
    "an acknowledgement of entries that are not the leader's": Components(raft=AcknowledgesWholeLog),
    "a session that ends despite a renewal": Components(duties=EndsRenewedSession),
}


@pytest.mark.parametrize("name", FAULTS)
def test_random_schedules_detect(name: str) -> None:
    for seed in range(60):
        with suppress(NotRecovered):
            try:
                world = World(seed, 3 + 2 * (seed % 2), seed % 3, FAULTS[name], aggressive=seed % 3 == 2)
                world.run_with_faults(10_000)
            except Violation:
                return
    raise AssertionError("60 schedules did not find it")


def request_two_votes(world: World, how: str) -> None:
    """c votes in term 50 and crashes, with a full disk or losing its disk, and is then asked by another
    candidate in that term.
    """
    world.run(3000)
    a, b, c = (world.members[name] for name in "abc")
    world.block_links({("a", "c"), ("b", "c")}, 60_000)
    world.run(1000)  # it no longer receives from a leader
    request = RequestVote(50, 1 << 20, 50)
    c.disk_full_until = world.time + (600 if how == "full" else 0)
    world.run_on_member(c, c.incarnation, partial(world.receive, c, a.replica, request))
    world.run(500)
    if how == "lost":
        world.lose_disk(c, 10)
        world.run(100)
        # as if its leader had already let the new replica join
        c.raft.configurations = list(b.raft.configurations)
    else:
        world.crash(c, 10)
        world.run(100)
    world.run_on_member(c, c.incarnation, partial(world.receive, c, b.replica, request))
    world.run(500)


@pytest.mark.parametrize(
    ("how", "fault"),
    [
        ("crash", Components(raft=VoteNotWritten)),
        ("full", Components(raft=SendsBeforeWriting)),
        ("lost", Components(keeps_replica_id=True)),
    ],
)
def test_no_replica_votes_twice(how: str, fault: Components) -> None:
    world = World(1)
    request_two_votes(world, how)
    assert any(replica.name == "c" and term == 50 for replica, term in world.votes)
    with pytest.raises(Violation, match="voted twice"):
        request_two_votes(World(1, components=fault), how)


def isolate_slow_holder(components: Components) -> None:
    """A holder with a slow clock is isolated, and the clocks of all others are fast."""
    world = World(3, 3, 1, components)
    world.run(6000)
    leader = world.leader()
    holder = next(
        member
        for member in world.members.values()
        if member is not leader
        and any(member.lease_holder.acting_token(duty, member.clock(world.time)) for duty in DUTIES)
    )
    for member in world.members.values():
        member.set_clock_rate(world.time, 0.8 if member is holder else 1.2)
    world.blocked_links |= links_of(world, holder)
    world.run(3000)


def test_clock_drift_leaves_one_holder(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(council_world, "LEASE", Lease(1000.0, 0.2))
    isolate_slow_holder(Components())
    with pytest.raises(Violation, match="act on"):
        isolate_slow_holder(Components(lease_manager=IgnoresClockDrift))


def links_of(world: World, member: Member) -> set[tuple[str, str]]:
    others = [name for name in world.members if name != member.name]
    return {(member.name, other_name) for other_name in others} | {
        (other_name, member.name) for other_name in others
    }


def crash_leader_with_slow_disk(components: Components) -> None:
    """The leader sends to one voter while its disk is slow, loses what it has not written, and can then reach
    only the other voter.
    """
    world = World(5, 3, 0, components)
    world.run(4000)
    leader = world.leader()
    reachable, isolated = (member for member in world.members.values() if member is not leader)
    world.blocked_links |= links_of(world, isolated)
    leader.disk_slow_until = world.time + 5000
    world.run(350)
    leader.disk_full_until = world.time + 20  # unwritten records are lost
    world.crash(leader, 30)
    world.blocked_links = links_of(world, reachable)
    world.run(4000)


def isolated_leader_removes_others(components: Components) -> None:
    """An isolated leader tries to become the only voter."""
    world = World(5, 3, 0, components)
    world.run(4000)
    leader = world.leader()
    world.blocked_links |= links_of(world, leader)
    configuration = Configuration(
        frozenset({leader.replica}), leader.raft.configuration.voters - {leader.replica}
    )
    # Together with the processing after it, so that the proposal is sent before the leader proposes anything
    # else.
    world.run_on_member(
        leader,
        leader.incarnation,
        lambda: leader.raft.change_configuration(leader.clock(world.time), configuration),
    )
    world.run(4000)


def resume_before_release(components: Components) -> None:
    """A holder that receives nothing marks a duty unavailable, and available again a moment later."""
    world = World(5, 3, 0, components)
    world.run(6000)
    leader = world.leader()
    member, duty = next(
        (member, duty)
        for member in world.members.values()
        for duty in DUTIES
        if member is not leader and member.lease_holder.acting_token(duty, member.clock(world.time))
    )
    world.blocked_links |= {(name, member.name) for name in world.members}
    world.run_on_member(
        member, member.incarnation, partial(member.lease_holder.mark_unavailable, duty, "behind")
    )
    world.run_on_member_after(1, member, partial(member.lease_holder.mark_available, duty))
    world.run(3000)


@pytest.mark.parametrize(
    ("scenario", "fault"),
    [
        (crash_leader_with_slow_disk, Components(raft=CountsOwnUnwrittenEntries)),
        (isolated_leader_removes_others, Components(raft=UncheckedConfigurationChange)),
        (resume_before_release, Components(lease_holder=ResumesImmediately)),
    ],
)
def test_a_targeted_schedule_detects(scenario: Callable[[Components], None], fault: Components) -> None:
    scenario(Components())
    with pytest.raises(Violation):
        scenario(fault)


def isolate_inbound(components: Components) -> tuple[int, int]:
    """Returns the terms before and after one voter received nothing for 10 s."""
    world = World(2, 5, components=components)
    world.run(3000)
    leader = world.leader()
    isolated = next(
        member
        for member in world.members.values()
        if member is not leader and member.name in world.desired_voters
    )
    before = leader.raft.term
    world.block_links({(name, isolated.name) for name in world.members}, 10_000)
    world.run(13_000)
    return before, world.leader().raft.term


def test_a_member_behind_a_broken_link_does_not_disrupt() -> None:
    before, after = isolate_inbound(Components())
    assert before == after
    before, after = isolate_inbound(Components(raft=NoPreVote))
    assert before < after
