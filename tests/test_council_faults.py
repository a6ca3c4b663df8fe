"""Planted faults: the simulator finds each. What it would not find it does not guard against."""

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
    """Votes for one whose log lacks what is agreed."""

    def handle_request_vote(self, sender: ReplicaId, member: RequestVote) -> None:
        super().handle_request_vote(
            sender, RequestVote(member.term, 1 << 40, 1 << 40, member.pre_vote, member.leadership_transfer)
        )


class SkipsLogMatching(Raft):
    """Says yes without looking at the term before."""

    def handle_append_entries(self, leader: ReplicaId, member: AppendEntries) -> None:
        term = self.log.term_at(member.prev_log_index)
        super().handle_append_entries(
            leader,
            member
            if term is None
            else AppendEntries(
                member.term, member.prev_log_index, term, member.entries, member.leader_commit
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
    """What it once could not do it does again before the others have heard so."""

    def mark_available(self, name: str) -> None:
        super().mark_available(name)
        self.unavailable_since.pop(name, None)


class NoPreVote(Raft):
    def start_pre_vote(self) -> None:
        self.start_election()


class AcknowledgesWholeLog(Raft):
    def send(self, to: ReplicaId | None, message: Message, after_sequence: int = 0) -> None:
        if isinstance(message, AppendEntriesResponse) and message.success:
            message = AppendEntriesResponse(message.term, True, self.log.last_index())
        super().send(to, message, after_sequence)


class EndsRenewedSession(d.DutyTable):
    def apply(self, index: int, command: d.Command) -> bool:
        if isinstance(command, d.EndSession) and (
            session := self.open_session(command.member, command.incarnation)
        ):
            command = d.EndSession(command.member, command.incarnation, session.sequence)
        return super().apply(index, command)


FAULTS = {
    "a vote for a shorter log": Components(raft=VotesForAnyLog),
    "entries taken behind others": Components(raft=SkipsLogMatching),
    "a lease counted from the answer": Components(lease_holder=MeasuresLeaseFromResponse),
    "a holder that passes on and acts": Components(lease_holder=ActsAfterHandover),
    "no fence": Components(fence=NoFence),
    "an ack of a tail that is not the leader's": Components(raft=AcknowledgesWholeLog),
    "an end that no renewal stops": Components(duties=EndsRenewedSession),
}


@pytest.mark.parametrize("name", FAULTS)
def test_random_schedules_find(name: str) -> None:
    for seed in range(60):
        with suppress(NotRecovered):
            try:
                world = World(seed, 3 + 2 * (seed % 2), seed % 3, FAULTS[name], aggressive=seed % 3 == 2)
                world.run_with_faults(10_000)
            except Violation:
                return
    raise AssertionError("60 schedules did not find it")


def request_two_votes(world: World, how: str) -> None:
    """c votes in term 50, crashes, with a full disk or to an empty one, and is asked by another in that
    term."""
    world.run(3000)
    a, b, c = (world.members[name] for name in "abc")
    world.block_links({("a", "c"), ("b", "c")}, 60_000)
    world.run(1000)  # it hears no leader any more
    request = RequestVote(50, 1 << 20, 50)
    c.disk_full_until = world.time + (600 if how == "full" else 0)
    world.run_on_member(c, c.incarnation, partial(world.receive, c, a.replica, request))
    world.run(500)
    if how == "lost":
        world.lose_disk(c, 10)
        world.run(100)
        # its leader let it in again before
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
def test_no_seat_votes_twice(how: str, fault: Components) -> None:
    world = World(1)
    request_two_votes(world, how)
    assert any(seat.name == "c" and term == 50 for seat, term in world.votes)
    with pytest.raises(Violation, match="voted twice"):
        request_two_votes(World(1, components=fault), how)


def isolate_slow_holder(components: Components) -> None:
    """A holder whose clock is slow hears nobody; the clocks of all others are fast."""
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


def test_clocks_of_different_rates_leave_one_holder(monkeypatch: pytest.MonkeyPatch) -> None:
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
    """It says something to one voter while its disk is slow, loses what it did not write, and then has only
    the other to talk to."""
    world = World(5, 3, 0, components)
    world.run(4000)
    leader = world.leader()
    reachable, isolated = (member for member in world.members.values() if member is not leader)
    world.blocked_links |= links_of(world, isolated)
    leader.disk_slow_until = world.time + 5000
    world.run(350)
    leader.disk_full_until = world.time + 20  # what is not written goes
    world.crash(leader, 30)
    world.blocked_links = links_of(world, reachable)
    world.run(4000)


def isolated_leader_removes_others(components: Components) -> None:
    """A leader that is cut off wants to be the only voter."""
    world = World(5, 3, 0, components)
    world.run(4000)
    leader = world.leader()
    world.blocked_links |= links_of(world, leader)
    configuration = Configuration(
        frozenset({leader.replica}), leader.raft.configuration.voters - {leader.replica}
    )
    # with what is due after it, so that it is on its way before the leader wants anything else
    world.run_on_member(
        leader,
        leader.incarnation,
        lambda: leader.raft.change_configuration(leader.clock(world.time), configuration),
    )
    world.run(4000)


def resume_before_release(components: Components) -> None:
    """A holder that hears nobody gives up what it does, and a moment later would do it."""
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
    ("play", "fault"),
    [
        (crash_leader_with_slow_disk, Components(raft=CountsOwnUnwrittenEntries)),
        (isolated_leader_removes_others, Components(raft=UncheckedConfigurationChange)),
        (resume_before_release, Components(lease_holder=ResumesImmediately)),
    ],
)
def test_a_schedule_made_for_it_finds(scenario: Callable[[Components], None], fault: Components) -> None:
    scenario(Components())
    with pytest.raises(Violation):
        scenario(fault)


def isolate_inbound(components: Components) -> tuple[int, int]:
    """Terms before and after one voter heard nobody for 10 s."""
    world = World(2, 5, components=components)
    world.run(3000)
    leader = world.leader()
    deaf = next(
        member
        for member in world.members.values()
        if member is not leader and member.name in world.desired_voters
    )
    before = leader.raft.term
    world.block_links({(name, deaf.name) for name in world.members}, 10_000)
    world.run(13_000)
    return before, world.leader().raft.term


def test_one_behind_a_broken_link_disturbs_nobody() -> None:
    before, after_sequence = isolate_inbound(Components())
    assert before == after_sequence
    before, after_sequence = isolate_inbound(Components(raft=NoPreVote))
    assert before < after_sequence
