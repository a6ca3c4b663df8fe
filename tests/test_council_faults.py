"""Planted faults: the simulator finds each. What it would not find it does not guard against."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from functools import partial

import pytest

from harrieryoke.council.decide import duties as d
from harrieryoke.council.decide.lease import Fence, Holder, Lease, Passed
from harrieryoke.council.decide.lease_manager import Steward
from harrieryoke.council.decide.messages import Ack, Append, AskVote, Entry, Members, Message, Seat, Send
from harrieryoke.council.decide.raft import Agreement

from . import council_world
from .council_world import DUTIES, Member, Parts, Unwell, Violation, World


class VoteNotWritten(Agreement):
    def save_hard(self) -> None:
        if self.vote in (None, self.seat):
            super().save_hard()


class AnswersBeforeItWrote(Agreement):
    def put(self, after: int, send: Send) -> None:
        super().put(0, send)


class TakesAnyLog(Agreement):
    """Votes for one whose log lacks what is agreed."""

    def asked(self, sender: Seat, m: AskVote) -> None:
        super().asked(sender, AskVote(m.term, 1 << 40, 1 << 40, m.pre, m.force))


class KeepsWhatDoesNotFit(Agreement):
    """Says yes without looking at the term before."""

    def append(self, leader: Seat, m: Append) -> None:
        term = self.log.term(m.prev)
        super().append(leader, m if term is None else Append(m.term, m.prev, term, m.entries, m.commit))


class CountsFromTheAnswer(Holder):
    def turn(self, now: float) -> list[d.Word | Passed]:
        session = self.duties.session(self.member, self.life)
        if session is not None and session.number in self.asked:
            self.asked[session.number] = now
        return super().turn(now)


class KnowsNoDrift(Steward):
    def note(self, now: float) -> None:
        super().note(now)
        for member, (life, number, at) in self.heard.items():
            if now - at >= self.lease.ms:
                self.heard[member] = life, number, at - self.lease.over()


class PassesOnAndActs(Holder):
    def pass_on(self) -> list[Passed]:
        before = dict(self.dropped)
        out = super().pass_on()
        self.dropped = before
        return out


class NoFence(Fence):
    def admit(self, token: int) -> bool:
        return True


class CountsItselfUnwritten(Agreement):
    def advance(self) -> None:
        self.durable = self.log.last()
        super().advance()


class SeveralAtOnce(Agreement):
    def change(self, now: float, wanted: Members) -> str:
        self.propose(Entry(self.log.last() + 1, self.term, members=wanted))
        return ""


class ActsAtOnceAgain(Holder):
    """What it once could not do it does again before the others have heard so."""

    def can(self, name: str) -> None:
        super().can(name)
        self.shut.pop(name, None)


class NoPreVote(Agreement):
    def ask(self) -> None:
        self.stand()


class AcksItsTail(Agreement):
    def send(self, to: Seat | None, message: Message, after: int = 0) -> None:
        if isinstance(message, Ack) and message.ok:
            message = Ack(message.term, True, self.log.last())
        super().send(to, message, after)


class EndsWhatWasRenewed(d.Duties):
    def apply(self, index: int, command: d.Command) -> bool:
        if isinstance(command, d.End) and (session := self.session(command.member, command.life)):
            command = d.End(command.member, command.life, session.number)
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
    ask = AskVote(50, 1 << 20, 50)
    c.full = world.t + (600 if how == "full" else 0)
    world.at_member(c, c.life, partial(world.receive, c, a.seat, ask))
    world.run(500)
    if how == "lost":
        world.lose_disk(c, 10)
        world.run(100)
        # its leader let it in again before
        c.agreement.configs = list(b.agreement.configs)
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
        if m is not led and any(m.holder.acting(duty, m.clock(world.t)) for duty in DUTIES)
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
    wanted = Members(frozenset({led.seat}), led.agreement.members.voters - {led.seat})
    # with what is due after it, so that it is on its way before the leader wants anything else
    world.at_member(led, led.life, lambda: led.agreement.change(led.clock(world.t), wanted))
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
        if m is not led and m.holder.acting(duty, m.clock(world.t))
    )
    world.cut |= {(name, m.name) for name in world.members}
    world.at_member(m, m.life, partial(m.holder.cannot, duty, "behind"))
    world.later(1, m, partial(m.holder.can, duty))
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
