"""The council's decision modules: simulated histories from seeds, and single rules."""

from __future__ import annotations

import pytest

from harrieryoke.council.decide import duties as d
from harrieryoke.council.decide.lease import Fence
from harrieryoke.council.decide.lease_manager import preferred_member, rendezvous_score
from harrieryoke.council.decide.log import bootstrap_snapshot, replay_records
from harrieryoke.council.decide.messages import (
    AppendEntries,
    Configuration,
    ForwardProposal,
    JoinRequest,
    ReplicaId,
    RequestVote,
    RequestVoteResponse,
)
from harrieryoke.council.decide.raft import Raft

from .council_world import DUTIES, SETTINGS, World


@pytest.mark.parametrize("seed", range(16))
def test_histories(seed: int) -> None:
    world = World(seed, (3, 5, 7, 3)[seed % 4], seed % 3, alone=seed % 2 == 1, aggressive=seed % 4 == 3)
    world.run_with_faults(8000)
    assert world.faults > 5 and world.steps > 2000


def test_a_seed_replays_exactly() -> None:
    ends = []
    for _ in range(2):
        world = World(5, 3, 1)
        world.run_with_faults(5000)
        ends.append((world.steps, world.leaders, world.committed_entries, world.acting_tokens))
    assert ends[0] == ends[1]


A, B, C = ReplicaId("a", 1), ReplicaId("b", 2), ReplicaId("c", 3)


def voter(replica: ReplicaId) -> Raft:
    return Raft(replica, SETTINGS, replay_records([bootstrap_snapshot([A, B, C])]), 1, 0.0)


def test_a_vote_is_sent_only_after_it_is_written() -> None:
    raft = voter(A)
    raft.receive(0.0, B, RequestVote(7, 0, 0))
    out = raft.take_ready()
    assert not out.messages and len(out.writes) == 2  # the term and the vote
    raft.records_written(1.0, out.writes[0].sequence)
    assert not raft.take_ready().messages
    raft.records_written(2.0, out.writes[1].sequence)
    assert [outgoing.message for outgoing in raft.take_ready().messages] == [RequestVoteResponse(7, True)]


def test_a_proposal_is_forwarded_while_the_disk_fails() -> None:
    raft = voter(A)
    raft.receive(0.0, B, AppendEntries(7, 0, 0, (), 0))
    raft.take_ready()
    assert not raft.propose(1.0, b"it can't be done here")
    assert [outgoing.message for outgoing in raft.take_ready().messages] == [
        ForwardProposal(b"it can't be done here")
    ]


def test_members_do_not_use_join_request_slots() -> None:
    world = World(3, 3, 1)
    world.run(4000)
    raft = world.leader().raft
    inside = [*raft.other_voters(), *raft.configuration.learners]
    for replica in [*inside, *(ReplicaId("x", n) for n in range(SETTINGS.max_join_requests - len(inside)))]:
        raft.receive(raft.now, replica, JoinRequest())
    raft.tick(raft.now)
    raft.receive(raft.now, ReplicaId("late", 1), JoinRequest())
    assert ReplicaId("late", 1) in raft.join_requests


def test_unsafe_configuration_changes_are_refused() -> None:
    world = World(3, 3, 1)
    world.run(4000)
    leader = world.leader()
    now, raft = leader.clock(world.time), leader.raft
    other = raft.other_voters()[0]
    learner = min(raft.configuration.learners)
    assert "more than one" in raft.change_configuration(now, Configuration(frozenset({raft.replica})))
    assert "remove itself" in raft.change_configuration(
        now, Configuration(raft.configuration.voters - {raft.replica})
    )
    assert "learner" in raft.change_configuration(
        now, Configuration(raft.configuration.voters | {ReplicaId("x", 9)})
    )
    assert "duplicate" in raft.change_configuration(
        now, Configuration(raft.configuration.voters, frozenset({ReplicaId(other.name, 9)}))
    )
    assert raft.change_configuration(now, Configuration(raft.configuration.voters | {learner})) == ""
    assert "previous" in raft.change_configuration(now, Configuration(raft.configuration.voters - {other}))


def test_a_live_voter_is_not_removed_while_another_is_dead() -> None:
    """With one of the two remaining voters dead there is no quorum; if its disk is lost, there never is."""
    world = World(3, 3, 1)
    world.run(4000)
    leader = world.leader()
    live, dead = leader.raft.other_voters()
    world.crash(world.members[dead.name])
    world.run(400)
    voters = leader.raft.configuration.voters
    assert "respond" in leader.raft.change_configuration(
        leader.clock(world.time), Configuration(voters - {live})
    )
    # A new leader has not heard from the dead voter either.
    leader.raft.transfer_leadership(leader.clock(world.time), live)
    successor = world.members[live.name]
    while not successor.raft.is_established_leader():
        world.run(1)
    assert "respond" in successor.raft.change_configuration(
        successor.clock(world.time), Configuration(voters - {leader.replica})
    )
    assert (
        successor.raft.change_configuration(successor.clock(world.time), Configuration(voters - {dead})) == ""
    )


def test_a_lost_disk_returns_as_a_new_replica() -> None:
    world = World(4, 3, 0)
    world.run(4000)
    member = world.members["b"]
    old = member.replica
    world.lose_disk(member, 100.0)
    world.run(12_000)
    world.check_recovered()
    voters = world.leader().raft.configuration.voters
    assert member.replica in voters and old not in voters


def longest_gap(world: World, ms: float) -> float:
    """Returns the longest time within the next `ms` without action on a duty that a member acts on now."""
    longest, since = 0.0, dict.fromkeys(DUTIES, world.time)
    end = world.time + ms
    while world.time < end:
        world.run(1.0)
        for duty in DUTIES:
            if any(
                member.up and member.lease_holder.acting_token(duty, member.clock(world.time))
                for member in world.members.values()
            ):
                since[duty] = world.time
            longest = max(longest, world.time - since[duty])
    return longest


def test_a_drain_costs_one_message_delay_and_a_crash_one_lease_and_election() -> None:
    world = World(6, 3, 2)
    world.run(6000)
    world.check_recovered()
    busy_member = next(
        member
        for member in world.members.values()
        if member.lease_holder.acting_token(DUTIES[0], member.clock(world.time))
    )
    busy_member.lease_holder.set_weight(0.0)
    assert longest_gap(world, 3000.0) <= 14.0  # links take 1 to 12 ms
    holder = next(
        member
        for member in world.members.values()
        if member.lease_holder.acting_token(DUTIES[0], member.clock(world.time))
    )
    world.crash(holder)
    assert 300.0 < longest_gap(world, 5000.0) < 2.5 * 1000.0


def test_an_unavailable_duty_moves_to_another_member() -> None:
    world = World(8, 3, 0)
    world.run(6000)
    member = next(
        member
        for member in world.members.values()
        if member.lease_holder.acting_token("reconcile", member.clock(world.time))
    )
    member.lease_holder.mark_unavailable("reconcile", "the disk is full")
    world.run(1000)
    leader = world.leader()
    assert leader.duties.sessions[member.name].unavailable == {"reconcile": "the disk is full"}
    assert leader.duties.duties["reconcile"].holder not in ("", member.name)


def test_fencing_of_changes_and_of_entries() -> None:
    fence = Fence()
    assert [fence.admit(token) for token in (0, 5, 7, 6, 7)] == [False, True, True, False, True]
    assert fence.rejected == 2
    duties = d.DutyTable()
    first: list[d.Command] = [
        d.DefineDuties(("x",)),
        d.RenewSession("a", 1, 1, 1.0),
        d.RenewSession("b", 2, 1, 1.0),
    ]
    for index, command in enumerate([*first, d.GrantDuty("x", "a", 1), d.AssignSuccessor("x", 4, "b", 2)], 1):
        assert duties.apply(index, d.decode(d.encode(command)))
    assert [duties.admit_token("x", token) for token in (3, 4, 5, 4)] == [False, True, True, False]
    assert not duties.apply(6, d.EndSession("a", 1, 0))  # a later renewal has been applied
    assert duties.apply(7, d.RenewSession("a", 1, 2, 1.0, released={"x": 4}))
    assert (duties.duties["x"].holder, duties.duties["x"].token) == ("b", 5)
    assert not duties.apply(8, d.RenewSession("a", 1, 2, 1.0))
    again = d.DutyTable()
    again.load(duties.dump())
    assert again.dump() == duties.dump()


def test_rendezvous_hashing_follows_weights_and_moves_few_duties() -> None:
    names = [f"budget:{n}" for n in range(2000)]
    three = {member: d.Session(1, 1, w, {}) for member, w in (("a", 1.0), ("b", 1.0), ("c", 2.0))}
    before = {name: preferred_member(name, three) for name in names}
    assert abs(sum(who == "c" for who in before.values()) / 2000 - 0.5) < 0.05
    without = {member: s for member, s in three.items() if member != "b"}
    assert all(preferred_member(name, without) == who for name, who in before.items() if who != "b")
    assert rendezvous_score("x", "a", 2.0) > rendezvous_score("x", "a", 1.0) > 0
