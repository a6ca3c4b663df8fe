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
from .council_world import DUTIES, Member, Parts, Unwell, Violation, World


class VoteNotWritten(Raft):
    def write_hard_state(self) -> None:
        if self.voted_for in (None, self.replica):
            super().write_hard_state()


class AnswersBeforeItWrote(Raft):
    def send_after_write(self, after: int, send: OutgoingMessage) -> None:
        super().send_after_write(0, send)


class TakesAnyLog(Raft):
    """Votes for one whose log lacks what is agreed."""

    def handle_request_vote(self, sender: ReplicaId, m: RequestVote) -> None:
        super().handle_request_vote(
            sender, RequestVote(m.term, 1 << 40, 1 << 40, m.pre_vote, m.leadership_transfer)
        )


class KeepsWhatDoesNotFit(Raft):
    """Says yes without looking at the term before."""

    def handle_append_entries(self, leader: ReplicaId, m: AppendEntries) -> None:
        term = self.log.term_at(m.prev_log_index)
        super().handle_append_entries(
            leader,
            m if term is None else AppendEntries(m.term, m.prev_log_index, term, m.entries, m.leader_commit),
        )


class CountsFromTheAnswer(LeaseHolder):
    def tick(self, now: float) -> list[d.RenewSession | DutyHandover]:
        session = self.duties.open_session(self.member, self.incarnation)
        if session is not None and session.sequence in self.renewal_times:
            self.renewal_times[session.sequence] = now
        return super().tick(now)


class KnowsNoDrift(LeaseManager):
    def observe_sessions(self, now: float) -> None:
        super().observe_sessions(now)
        for member, (life, number, at) in self.last_renewals.items():
            if now - at >= self.lease.duration_ms:
                self.last_renewals[member] = life, number, at - self.lease.expiry_bound_ms()


class PassesOnAndActs(LeaseHolder):
    def hand_over_duties(self) -> list[DutyHandover]:
        before = dict(self.released)
        out = super().hand_over_duties()
        self.released = before
        return out


class NoFence(Fence):
    def admit(self, token: int) -> bool:
        return True


class CountsItselfUnwritten(Raft):
    def advance_commit_index(self) -> None:
        self.durable_index = self.log.last_index()
        super().advance_commit_index()


class SeveralAtOnce(Raft):
    def change_configuration(self, now: float, wanted: Configuration) -> str:
        self.append_and_replicate(Entry(self.log.last_index() + 1, self.term, members=wanted))
        return ""


class ActsAtOnceAgain(LeaseHolder):
    """What it once could not do it does again before the others have heard so."""

    def mark_available(self, name: str) -> None:
        super().mark_available(name)
        self.unavailable_since.pop(name, None)


class NoPreVote(Raft):
    def start_pre_vote(self) -> None:
        self.start_election()


class AcksItsTail(Raft):
    def send(self, to: ReplicaId | None, message: Message, after_sequence: int = 0) -> None:
        if isinstance(message, AppendEntriesResponse) and message.success:
            message = AppendEntriesResponse(message.term, True, self.log.last_index())
        super().send(to, message, after_sequence)


class EndsWhatWasRenewed(d.DutyTable):
    def apply(self, index: int, command: d.Command) -> bool:
        if isinstance(command, d.EndSession) and (
            session := self.open_session(command.member, command.incarnation)
        ):
            command = d.EndSession(command.member, command.incarnation, session.sequence)
        return super().apply(index, command)


FAULTS = {
    "a vote for a shorter log": Parts(agreement=TakesAnyLog),
    "entries taken behind others": Parts(agreement=KeepsWhatDoesNotFit),
    "a lease counted from the answer": Parts(holder=CountsFromTheAnswer),
    "a holder that passes on and acts": Parts(holder=PassesOnAndActs),
    "no fence": Parts(fence=NoFence),
    "an ack of a tail that is not the leader's": Parts(agreement=AcksItsTail),
    "an end that no renewal stops": Parts(duties=EndsWhatWasRenewed),
}


@pytest.mark.parametrize("name", FAULTS)
def test_random_schedules_find(name: str) -> None:
    for seed in range(60):
        with suppress(Unwell):
            try:
                world = World(seed, 3 + 2 * (seed % 2), seed % 3, FAULTS[name], fierce=seed % 3 == 2)
                world.schedule(10_000)
            except Violation:
                return
    raise AssertionError("60 schedules did not find it")


def asked_twice(world: World, how: str) -> None:
    """c votes in term 50, crashes, with a full disk or to an empty one, and is asked by another in that
    term."""
    world.run(3000)
    a, b, c = (world.members[name] for name in "abc")
    world.sever({("a", "c"), ("b", "c")}, 60_000)
    world.run(1000)  # it hears no leader any more
    ask = RequestVote(50, 1 << 20, 50)
    c.full = world.t + (600 if how == "full" else 0)
    world.at_member(c, c.life, partial(world.receive, c, a.seat, ask))
    world.run(500)
    if how == "lost":
        world.lose_disk(c, 10)
        world.run(100)
        # its leader let it in again before
        c.agreement.configurations = list(b.agreement.configurations)
    else:
        world.crash(c, 10)
        world.run(100)
    world.at_member(c, c.life, partial(world.receive, c, b.seat, ask))
    world.run(500)


@pytest.mark.parametrize(
    ("how", "fault"),
    [
        ("crash", Parts(agreement=VoteNotWritten)),
        ("full", Parts(agreement=AnswersBeforeItWrote)),
        ("lost", Parts(keeps_seat=True)),
    ],
)
def test_no_seat_votes_twice(how: str, fault: Parts) -> None:
    world = World(1)
    asked_twice(world, how)
    assert any(seat.name == "c" and term == 50 for seat, term in world.votes)
    with pytest.raises(Violation, match="voted twice"):
        asked_twice(World(1, parts=fault), how)


def cut_off(parts: Parts) -> None:
    """A holder whose clock is slow hears nobody; the clocks of all others are fast."""
    world = World(3, 3, 1, parts)
    world.run(6000)
    led = world.leader()
    holder = next(
        m
        for m in world.members.values()
        if m is not led and any(m.holder.acting_token(duty, m.clock(world.t)) for duty in DUTIES)
    )
    for m in world.members.values():
        m.drift(world.t, 0.8 if m is holder else 1.2)
    world.cut |= around(world, holder)
    world.run(3000)


def test_clocks_of_different_rates_leave_one_holder(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(council_world, "LEASE", Lease(1000.0, 0.2))
    cut_off(Parts())
    with pytest.raises(Violation, match="act on"):
        cut_off(Parts(steward=KnowsNoDrift))


def around(world: World, m: Member) -> set[tuple[str, str]]:
    others = [name for name in world.members if name != m.name]
    return {(m.name, other) for other in others} | {(other, m.name) for other in others}


def slow_leader(parts: Parts) -> None:
    """It says something to one voter while its disk is slow, loses what it did not write, and then has only
    the other to talk to."""
    world = World(5, 3, 0, parts)
    world.run(4000)
    led = world.leader()
    one, other = (m for m in world.members.values() if m is not led)
    world.cut |= around(world, other)
    led.slow = world.t + 5000
    world.run(350)
    led.full = world.t + 20  # what is not written goes
    world.crash(led, 30)
    world.cut = around(world, one)
    world.run(4000)


def shrinks_alone(parts: Parts) -> None:
    """A leader that is cut off wants to be the only voter."""
    world = World(5, 3, 0, parts)
    world.run(4000)
    led = world.leader()
    world.cut |= around(world, led)
    wanted = Configuration(frozenset({led.seat}), led.agreement.configuration.voters - {led.seat})
    # with what is due after it, so that it is on its way before the leader wants anything else
    world.at_member(led, led.life, lambda: led.agreement.change_configuration(led.clock(world.t), wanted))
    world.run(4000)


def gives_up_and_resumes(parts: Parts) -> None:
    """A holder that hears nobody gives up what it does, and a moment later would do it."""
    world = World(5, 3, 0, parts)
    world.run(6000)
    led = world.leader()
    m, duty = next(
        (m, duty)
        for m in world.members.values()
        for duty in DUTIES
        if m is not led and m.holder.acting_token(duty, m.clock(world.t))
    )
    world.cut |= {(name, m.name) for name in world.members}
    world.at_member(m, m.life, partial(m.holder.mark_unavailable, duty, "behind"))
    world.later(1, m, partial(m.holder.mark_available, duty))
    world.run(3000)


@pytest.mark.parametrize(
    ("play", "fault"),
    [
        (slow_leader, Parts(agreement=CountsItselfUnwritten)),
        (shrinks_alone, Parts(agreement=SeveralAtOnce)),
        (gives_up_and_resumes, Parts(holder=ActsAtOnceAgain)),
    ],
)
def test_a_schedule_made_for_it_finds(play: Callable[[Parts], None], fault: Parts) -> None:
    play(Parts())
    with pytest.raises(Violation):
        play(fault)


def behind_a_link(parts: Parts) -> tuple[int, int]:
    """Terms before and after one voter heard nobody for 10 s."""
    world = World(2, 5, parts=parts)
    world.run(3000)
    led = world.leader()
    deaf = next(m for m in world.members.values() if m is not led and m.name in world.wanted)
    before = led.agreement.term
    world.sever({(name, deaf.name) for name in world.members}, 10_000)
    world.run(13_000)
    return before, world.leader().agreement.term


def test_one_behind_a_broken_link_disturbs_nobody() -> None:
    before, after = behind_a_link(Parts())
    assert before == after
    before, after = behind_a_link(Parts(agreement=NoPreVote))
    assert before < after
