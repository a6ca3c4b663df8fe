"""Every order of a few steps of the council's machines: an act against the end of a lease, a renewal against
an `End`, handing on, a disk against what is said, a leader that resigns; and faults planted in each."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from functools import partial

import msgspec
import pytest

from harrieryoke.council.decide import duties as d
from harrieryoke.council.decide.agree import Agreement, Role
from harrieryoke.council.decide.hold import Holder, Lease, Passed
from harrieryoke.council.decide.log import founded, kept
from harrieryoke.council.decide.messages import (
    Ack,
    Append,
    AskVote,
    Entry,
    Message,
    Save,
    Seat,
    Send,
    Vote,
    Written,
)

from .council_world import TOLD, Parts
from .interleave import Failed, Wait, World, explore, replay, shape
from .test_council_faults import AcksItsTail, EndsWhatWasRenewed, NoFence

LEASE = Lease(1000.0, 0.0)  # one clock for all
A, B, C = Seat("a", 1), Seat("b", 2), Seat("c", 3)


def shortest(make: Callable[[], World], failure: str, preemptions: int | None = None) -> list[str]:
    """The shortest schedule of those with the fewest preemptions in which the fault shows; played again, it
    shows in the same way."""
    with pytest.raises(Failed, match=failure) as found:
        explore(make, preemptions)
    assert replay(make, found.value.schedule) == found.value.failure
    return found.value.schedule.splitlines()


# --- duties: a holds x, b could ---


class Duty(World):
    """a's word was said at 0 and is old, its next one was said at 600; b's was said at 700, which it is now.
    The agreed log is a list that a, b and the leader s apply each at its own pace. `case`: a's next word is
    still on its way while its lease `ends`; or x is to be `passed` on to b; and b says that it can't, and
    then that it can again (`wavers`)."""

    def __init__(self, case: str, parts: Parts) -> None:
        self.now, self.log = 0.0, list[d.Command]()
        self.copies = {name: parts.duties() for name in "abs"}
        self.read, self.turned = dict.fromkeys("abs", 0), dict.fromkeys("abs", 700.0)
        self.holders = {name: parts.holder(name, 1, 1.0, LEASE, self.copies[name]) for name in "ab"}
        self.steward, self.fence = parts.steward(LEASE, self.copies["s"], 1e9), parts.fence()
        self.said, self.passed = list[d.Word](), list[Passed]()
        self.token, self.changed = 0, 0
        self.log.append(d.Define(("x",)))
        for at, name in enumerate("asa"):  # asked for at 0, granted at 0, heard at 300
            self.now = (0.0, 0.0, 300.0)[at]
            self.all(name)
        self.now = 700.0
        for name in "bsb":
            self.all(name)
        self.now = 600.0
        self.turn("a")
        self.now = 700.0
        if case != "ends":
            for name in "sab":
                self.all(name)
        self.threads = {
            "a": [("check", self.look), ("act", lambda: self.act(self.token))],
            "b": self.each(lambda: self.holder_b() > self.changed, lambda: self.act(self.holder_b()), "act"),
            "word": self.each(lambda: self.said, self.arrive, "arrives"),
            **{f"copy-{name}": self.copying(name) for name in ("ab" if case == "passed" else "abs")},
        }
        if case == "ends":
            self.threads["clock"] = [("at-1000", lambda: setattr(self, "now", 1000.0))]
            self.threads["s"] = self.each(lambda: self.turned["s"] < self.now, lambda: self.turn("s"), "turn")
            return
        self.threads["leader"] = [("heir", lambda: self.log.append(d.Heir("x", 3, "b", 1)))]
        self.threads["passed"] = self.each(lambda: self.passed, self.tell, "arrives")
        if case == "wavers":
            b = self.holders["b"]
            self.threads["b"] = [
                ("cannot", lambda: self.says(partial(b.cannot, "x", "behind"))),
                ("can", lambda: self.says(partial(b.can, "x"))),
            ]
            del self.threads["a"]

    def says(self, what: Callable[[], None]) -> None:
        what()
        self.turn("b")

    def each(self, there: Callable[[], object], step: Callable[[], None], label: str) -> Iterator[Wait]:
        while True:
            yield Wait(there, label, idle=True)
            step()

    def copying(self, name: str) -> Iterator[Wait]:
        def apply() -> None:
            self.apply(name)
            self.turn(name)

        return self.each(lambda: self.read[name] < len(self.log), apply, "apply")

    def apply(self, name: str) -> None:
        self.copies[name].apply(self.read[name] + 1, self.log[self.read[name]])
        self.read[name] += 1

    def all(self, name: str) -> None:
        """All that is said arrives, all that is agreed is applied; then it has its turn."""
        while self.said:
            self.arrive()
        while self.read[name] < len(self.log):
            self.apply(name)
        self.turn(name)

    def turn(self, name: str) -> None:
        self.turned[name] = self.now
        if name == "s":
            self.log += self.steward.turn(self.now, True)
            return
        for out in self.holders[name].turn(self.now):
            if isinstance(out, Passed):
                self.passed.append(out)
            elif self.now < 1000.0:  # what is said then is lost
                self.said.append(out)

    def arrive(self) -> None:
        self.log.append(self.said.pop(0))

    def tell(self) -> None:
        out = self.passed.pop(0)
        self.holders[out.to].passed(out.duty, out.token)

    def holder_b(self) -> int:
        return self.holders["b"].acting("x", self.now)

    def look(self) -> None:
        self.token = self.holders["a"].acting("x", self.now)

    def act(self, token: int) -> None:
        if token and self.fence.admit(token):
            assert token >= self.changed, f"changed under {token} after {self.changed}"
            self.changed = token

    def check(self) -> None:
        acting = [name for name, holder in self.holders.items() if holder.acting("x", self.now)]
        assert len(acting) < 2, "two act"

    def key(self) -> Hashable:
        state = [
            self.now,
            self.log,
            self.read,
            self.turned,
            self.said,
            self.passed,
            self.token,
            self.changed,
            [vars(h) for h in self.holders.values()],
            list(self.steward.proposed.items()),
            self.steward.heard,
        ]
        return msgspec.msgpack.encode(state, enc_hook=lambda part: None)


class Untold(Holder):
    """Acts as heir before the holder has said that it stopped."""

    def acting(self, name: str, now: float) -> int:
        duty = self.duties.duties.get(name)
        if duty is not None and duty.heir == self.member:
            self.passed(name, duty.heir_token)
        return super().acting(name, now)


class Unagreed(Holder):
    """Acts on what it was told, whatever is agreed."""

    def acting(self, name: str, now: float) -> int:
        return super().acting(name, now) or (self.told.get(name, 0) if name not in self.why else 0)


class CountsFromWhenHeard(Holder):
    def turn(self, now: float) -> list[d.Word | Passed]:
        session = self.duties.session(self.member, self.life)
        if session is not None and self.until < self.asked.get(session.number, now) + self.lease.ms:
            self.asked[session.number] = now
        return super().turn(now)


# --- a voter's disk against what it says ---

OLD = [Entry(1, 1), Entry(2, 1, b"old"), Entry(3, 1, b"old")]  # on c's disk; agreed is the first only
NEW = [Entry(1, 1), Entry(2, 5, b"new"), Entry(3, 5, b"new")]  # of a, who leads in term 5


class Sync(World):
    """The voter c hears `heard`, each from its sender, in any order. Its disk writes a record a step and says
    so in the next; once the power may go."""

    def __init__(self, kind: type[Agreement], heard: dict[str, tuple[Seat, Message]]) -> None:
        self.kind = kind
        self.disk: list[Written] = [founded([A, B, C]), *OLD]
        self.start()
        self.votes, self.said = set[tuple[int, Seat | None]](), list[Send]()
        self.threads = {name: [("hear", partial(self.hear, *what))] for name, what in heard.items()}
        self.threads |= {"disk": self.syncing(), "power": [("cut", self.start)]}

    def start(self) -> None:
        self.writing, self.done = list[Save](), 0
        self.voter = self.kind(C, TOLD, kept(self.disk), 1, 0.0)

    def syncing(self) -> Iterator[Wait]:
        while True:
            yield Wait(lambda: self.writing or self.done, lambda: "done" if self.done else "write", idle=True)
            if not self.done:
                save = self.writing.pop(0)
                self.disk.append(save.record)
                self.done = save.number
            else:
                self.voter.disk_done(0.0, self.done)
                self.done = 0
                self.take()

    def hear(self, sender: Seat, message: Message) -> None:
        self.voter.receive(0.0, sender, message)
        self.take()

    def take(self) -> None:
        out = self.voter.take()
        self.writing += out.saves
        for send in out.sends:
            if isinstance(send.message, Vote) and send.message.granted:
                self.votes.add((send.message.term, send.to))
            if isinstance(send.message, Ack) and send.message.ok:
                has = kept(self.disk).log.entries[: send.message.index]
                assert has == NEW[: send.message.index], "an ack of what is not durable, or not the leader's"

    def check(self) -> None:
        assert len({term for term, _ in self.votes}) == len(self.votes), "two votes in a term"

    def key(self) -> Hashable:
        return shape(self.disk, self.writing, self.done, sorted(self.votes), vars(self.voter).values())


ASKED = {"a": (A, AskVote(6, 3, 5)), "b": (B, AskVote(6, 3, 5))}
APPENDED: dict[str, tuple[Seat, Message]] = {
    "beat": (A, Append(5, 1, 1, (), 1)),
    "first": (A, Append(5, 1, 1, (NEW[1],), 1)),
    "second": (A, Append(5, 2, 5, (NEW[2],), 1)),
    "both": (A, Append(5, 1, 1, (NEW[1], NEW[2]), 2)),
}


class SaysAtOnce(Agreement):
    def put(self, after: int, send: Send) -> None:
        super().put(0, send)


class VoteForgotten(Agreement):
    """Writes the term, not whom it voted for in it."""

    def save_hard(self) -> None:
        vote, self.vote = self.vote, None
        super().save_hard()
        self.vote = vote


# --- a leader on a failing disk ---


class Resigning(World):
    """a leads; an entry is offered to it, its disk fails and takes records again. Links keep their order; the
    others' disks write at once."""

    def __init__(self, kind: type[Agreement]) -> None:
        seats = {"a": A, "b": B, "c": C}
        self.disks: dict[str, list[Written]] = {name: [founded(seats.values())] for name in seats}
        self.members = {n: kind(seat, TOLD, kept(self.disks[n]), 1, 0.0) for n, seat in seats.items()}
        self.writing = {name: list[Save]() for name in seats}
        self.way = {name: list[tuple[Seat, Message]]() for name in seats}
        self.agreed, self.leaders, self.failing = dict[int, Entry](), dict[int, str](), False
        self.act("a", lambda: self.members["a"].tick(2 * TOLD.election_ms))
        while any(self.way.values()) or self.writing["a"]:
            self.write("a")
            for name in [n for n in seats if self.way[n]]:
                self.hear(name)
        assert self.members["a"].leads()
        self.threads = {
            "client": [("offer", lambda: self.act("a", lambda: self.members["a"].offer(0.0, b"x")))],
            "disk": [("fails", self.fail), ("takes", lambda: setattr(self, "failing", False))],
            "write": self.each(lambda: self.writing["a"] and not self.failing, partial(self.write, "a"), "a"),
            **{f"to-{n}": self.each(partial(self.way.get, n), partial(self.hear, n), "hear") for n in seats},
        }

    def each(self, there: Callable[[], object], step: Callable[[], None], label: str) -> Iterator[Wait]:
        while True:
            yield Wait(there, label, idle=True)
            step()

    def fail(self) -> None:
        self.failing = True
        self.act("a", lambda: self.members["a"].disk_failed(600.0, "no space left"))

    def hear(self, name: str) -> None:
        sender, message = self.way[name].pop(0)
        self.act(name, lambda: self.members[name].receive(600.0, sender, message))

    def write(self, name: str) -> None:
        if self.writing[name]:
            self.disks[name] += [save.record for save in self.writing[name]]
            last = self.writing[name].pop().number
            self.writing[name].clear()
            self.act(name, lambda: self.members[name].disk_done(600.0, last))

    def act(self, name: str, step: Callable[[], object]) -> None:
        step()
        member = self.members[name]
        out = member.take()
        self.writing[name] += out.saves
        for send in out.sends:
            for other in "abc":
                if send.to is not None and other == send.to.name:
                    self.way[other].append((member.seat, send.message))
        for each in out.applies:
            assert isinstance(each, Entry)
            assert self.agreed.setdefault(each.index, each) == each, "two are agreed"
            has = sum(each in kept(disk).log.entries for disk in self.disks.values())
            assert has > 1, "agreed, and not durable at a majority"
        if name != "a":
            self.write(name)
        if member.role is Role.LEADER:
            assert self.leaders.setdefault(member.term, name) == name, "two lead"
            assert all(each in member.log.entries for each in self.agreed.values()), "agreed, and lost"

    def key(self) -> Hashable:
        return shape(
            self.disks,
            self.writing,
            self.way,
            self.failing,
            sorted(self.agreed),
            self.leaders,
            [vars(m).values() for m in self.members.values()],
        )


class TakesFailedForWritten(Agreement):
    def disk_failed(self, now: float, why: str) -> None:
        self.durable = self.log.last()
        self.advance()
        super().disk_failed(now, why)


# --- the tests ---


@pytest.mark.parametrize(("case", "states"), [("ends", 1500), ("passed", 100), ("wavers", 2500)])
def test_no_order_lets_two_act_or_a_late_act_through(case: str, states: int) -> None:
    counts = explore(lambda: Duty(case, Parts()))
    assert counts.complete and counts.states > states


@pytest.mark.parametrize(
    ("case", "fault", "failure", "schedule"),
    [
        (
            "ends",
            Parts(fence=NoFence),
            "changed under 3 after 6",
            "a:check clock:at-1000 s:turn copy-b:apply copy-s:apply copy-s:apply copy-b:apply b:act a:act",
        ),
        (
            "ends",
            Parts(holder=CountsFromWhenHeard),
            "two act",
            "clock:at-1000 s:turn copy-b:apply copy-s:apply copy-s:apply copy-b:apply",
        ),
        (
            "ends",
            Parts(duties=EndsWhatWasRenewed),
            "two act",
            "word:arrives copy-a:apply copy-a:apply copy-b:apply clock:at-1000 s:turn copy-b:apply "
            "copy-s:apply copy-s:apply copy-s:apply copy-b:apply",
        ),
        ("passed", Parts(holder=Untold), "two act", "leader:heir copy-b:apply"),
        (
            "passed",
            Parts(fence=NoFence),
            "changed under 3 after 6",
            "a:check leader:heir copy-a:apply copy-b:apply passed:arrives b:act a:act",
        ),
    ],
)
def test_planted_in_duties(case: str, fault: Parts, failure: str, schedule: str) -> None:
    assert shortest(lambda: Duty(case, fault), failure, 1) == schedule.split()


def test_an_heir_that_acts_before_that_is_agreed_is_found() -> None:
    """It had said in between that it can't, and the duty went back."""
    schedule = shortest(lambda: Duty("wavers", Parts(holder=Unagreed)), "two act")
    assert len(schedule) == 18 and schedule.index("b:cannot") < schedule.index("passed:arrives")


def test_no_order_says_what_is_not_durable() -> None:
    for heard in (ASKED, APPENDED):
        assert explore(lambda heard=heard: Sync(Agreement, heard)).complete  # type: ignore[misc]


@pytest.mark.parametrize(
    ("fault", "heard", "failure", "schedule"),
    [
        (SaysAtOnce, ASKED, "two votes", "a:hear power:cut b:hear"),
        (
            VoteForgotten,
            ASKED,
            "two votes",
            "a:hear disk:write disk:done disk:write disk:done power:cut b:hear disk:write disk:done",
        ),
        (SaysAtOnce, APPENDED, "not durable", "first:hear"),
        (AcksItsTail, APPENDED, "not the leader's", "beat:hear disk:write disk:done"),
    ],
)
def test_planted_before_the_disk(
    fault: type[Agreement], heard: dict[str, tuple[Seat, Message]], failure: str, schedule: str
) -> None:
    assert shortest(lambda: Sync(fault, heard), failure) == schedule.split()


def test_no_order_of_a_failing_disk_agrees_on_what_is_not_durable() -> None:
    counts = explore(lambda: Resigning(Agreement))
    assert counts.complete and counts.states > 500


def test_a_failed_write_that_counts_is_found() -> None:
    schedule = shortest(lambda: Resigning(TakesFailedForWritten), "not durable at a majority", 0)
    assert schedule == ["client:offer", "to-b:hear", "to-a:hear", "disk:fails"]
