"""Injects seeded random faults into council members and the links between them."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass

import gevent

from ..council.actor import boot_ms
from .fleet_checks import InjectedFault
from .fleet_world import DUTIES, LEASE_MS, Fleet, Member

# fault kind -> relative frequency
FAULT_WEIGHTS = {
    "kill": 4,  # SIGKILL, then a restart
    "stall": 4,  # SIGSTOP and SIGCONT
    "term": 4,  # SIGTERM, then a restart
    "cut": 2,  # one link, in both directions
    "cut-one-way": 2,
    "island": 2,  # all links of a member, in both directions
    "mute": 2,  # all outgoing links of a member
    "deaf": 2,  # all incoming links of a member
    "slow": 2,  # links delay what they carry
    "flap": 2,  # links break again and again
    "full": 3,  # the disk is full
    "lost": 2,  # the disk is lost
    "replace": 1,  # a follower replaces a voter
    "all": 1,  # all members are killed at once
    "clock": 1,  # the wall clock steps
}
# together with another fault they may destroy the disks of a majority
EXCLUSIVE_FAULTS = {"lost", "replace", "all"}
TWO_FAULTS_PROBABILITY = 0.2  # share of rounds with two faults at a time


@dataclass(frozen=True)
class PlannedFault:
    """A fault to inject. Times are milliseconds.

    `target` is the "holder" of `duty`, the "leader" or "any" member; it is resolved at the injection.
    """

    kind: str
    target: str
    duty: str
    duration: float
    delay: float
    seed: int


def draw_round(rng: random.Random) -> list[PlannedFault]:
    """Plan a round: one fault, or two at a time."""
    two_faults = rng.random() < TWO_FAULTS_PROBABILITY
    kinds = [kind for kind in FAULT_WEIGHTS if not two_faults or kind not in EXCLUSIVE_FAULTS]
    return [
        PlannedFault(
            rng.choices(kinds, [FAULT_WEIGHTS[kind] for kind in kinds])[0],
            rng.choices(("holder", "leader", "any"), (2, 1, 1))[0],
            rng.choice(DUTIES),
            rng.uniform(1.2, 4.0) * LEASE_MS,
            n * rng.uniform(0, 1) * LEASE_MS,
            rng.getrandbits(32),
        )
        for n in range(1 + two_faults)
    ]


class FaultInjector:
    """Injects faults into a fleet in rounds; each round starts when the fleet is healthy."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet, self.rng, self.rounds = fleet, random.Random(seed), 0
        self.faulty_members: set[str] = set()

    def run(self, seconds: float) -> None:
        until = boot_ms() + seconds * 1000
        while boot_ms() < until:
            gevent.sleep(self.rng.uniform(1.1, 2.0) * LEASE_MS / 1000)
            self.rounds += 1
            gevent.joinall(
                [gevent.spawn(self.inject, planned) for planned in draw_round(self.rng)], raise_error=True
            )
            if not self.fleet.wait_healthy():
                return

    def find_target(self, planned: PlannedFault) -> Member:
        candidates = {
            "holder": self.fleet.observer.holders.get(planned.duty, ("", 0.0))[0],
            "leader": self.fleet.leader(),
        }
        wanted = candidates.get(planned.target, "")
        available = [n for n in self.fleet.names if n not in self.faulty_members]
        return self.fleet.members[
            wanted if wanted in available else random.Random(planned.seed).choice(available)
        ]

    def inject(self, planned: PlannedFault) -> None:
        gevent.sleep(planned.delay / 1000)
        member, rng = self.find_target(planned), random.Random(planned.seed)
        self.faulty_members.add(member.name)
        began_at = boot_ms()
        member.write_note(f"fault {planned.kind} for {planned.duration:.0f} ms, seed {planned.seed}")
        stops_member = getattr(self, planned.kind.replace("-", "_"))(member, planned.duration, rng)
        injected = InjectedFault(planned.kind, member.name, began_at, boot_ms(), bool(stops_member))
        member.write_note(f"fault {planned.kind} is over")
        names = self.fleet.names if planned.kind == "all" else [member.name]
        self.fleet.faults += [injected._replace(member=name) for name in names]
        self.faulty_members.discard(member.name)

    # Each method is a fault kind. It returns whether the duties of the member had to move to another member,
    # or to its next process.

    def kill(self, member: Member, duration: float, rng: random.Random) -> bool:
        member.stop_process()
        gevent.sleep(rng.choice((0.0, duration)) / 1000)
        member.start_process()
        return True

    def stall(self, member: Member, duration: float, rng: random.Random) -> bool:
        member.process.send_signal(signal.SIGSTOP)
        gevent.sleep(duration / 1000)
        member.process.send_signal(signal.SIGCONT)
        return duration > 2.5 * LEASE_MS

    def term(self, member: Member, duration: float, rng: random.Random) -> bool:
        member.stop_process(signal.SIGTERM)
        gevent.sleep(rng.choice((0.0, duration)) / 1000)
        member.start_process()
        return True

    def all(self, member: Member, duration: float, rng: random.Random) -> bool:
        members = list(self.fleet.members.values())
        gevent.joinall([gevent.spawn(m.stop_process) for m in members], raise_error=True)
        gevent.joinall([gevent.spawn(m.start_process) for m in members], raise_error=True)
        return True

    def lost(self, member: Member, duration: float, rng: random.Random) -> bool:
        member.stop_process()
        member.delete_council_folder()
        gevent.sleep(rng.choice((0.0, duration)) / 1000)
        member.start_process()
        return True

    def full(self, member: Member, duration: float, rng: random.Random) -> bool:
        member.limit_file_size(rng.choice((0, rng.randrange(1, 300))))
        gevent.sleep(duration / 1000)
        member.limit_file_size(-1)
        return duration > 2.5 * LEASE_MS

    def clock(self, member: Member, duration: float, rng: random.Random) -> bool:
        member.clock.step(rng.choice((-5.0, 5.0)))
        gevent.sleep(duration / 1000)
        member.clock.step(0.0)
        return False

    def replace(self, member: Member, duration: float, rng: random.Random) -> bool:
        fleet = self.fleet
        others = [n for n in fleet.names if n not in fleet.voters]
        if not others:
            return False
        old_voter = member.name if member.name in fleet.voters else rng.choice(fleet.voters)
        fleet.voters = [rng.choice(others) if name == old_voter else name for name in fleet.voters]
        for name, each in fleet.members.items():
            each.write_operator_file(fleet.operator_file(name))
            each.process.send_signal(signal.SIGHUP)
            gevent.sleep(rng.uniform(0, 0.2))
        return False

    # --- links ---

    def member_links(self, member: Member, out: bool, into: bool) -> list[tuple[str, str]]:
        others = [n for n in self.fleet.names if n != member.name]
        return [(member.name, n) for n in others if out] + [(n, member.name) for n in others if into]

    def cut_links(self, pairs: list[tuple[str, str]], duration: float, rng: random.Random) -> None:
        proxies = [self.fleet.proxies[pair] for pair in pairs]
        for proxy in proxies:
            proxy.cut()
        gevent.sleep(duration / 1000)
        reset = rng.random() < 0.5
        for proxy in proxies:
            proxy.heal(reset)

    def pick_link(self, member: Member, rng: random.Random) -> tuple[str, str]:
        """Return one direction of the link to the leader, or of a random link if the member is the leader."""
        leader = self.fleet.leader()
        others = [n for n in self.fleet.names if n != member.name]
        other = leader if leader in others else rng.choice(others)
        return (member.name, other) if rng.random() < 0.5 else (other, member.name)

    def cut(self, member: Member, duration: float, rng: random.Random) -> bool:
        a, b = self.pick_link(member, rng)
        self.cut_links([(a, b), (b, a)], duration, rng)
        return False

    def cut_one_way(self, member: Member, duration: float, rng: random.Random) -> bool:
        self.cut_links([self.pick_link(member, rng)], duration, rng)
        return False

    def island(self, member: Member, duration: float, rng: random.Random) -> bool:
        self.cut_links(self.member_links(member, True, True), duration, rng)
        return duration > 2.5 * LEASE_MS

    def mute(self, member: Member, duration: float, rng: random.Random) -> bool:
        self.cut_links(self.member_links(member, True, False), duration, rng)
        return duration > 2.5 * LEASE_MS

    def deaf(self, member: Member, duration: float, rng: random.Random) -> bool:
        self.cut_links(self.member_links(member, False, True), duration, rng)
        return duration > 2.5 * LEASE_MS

    def slow(self, member: Member, duration: float, rng: random.Random) -> bool:
        proxies = [self.fleet.proxies[pair] for pair in self.member_links(member, True, rng.random() < 0.5)]
        for proxy in proxies:
            proxy.delay_ms = rng.uniform(20, 200)
        gevent.sleep(duration / 1000)
        for proxy in proxies:
            proxy.heal()
        return False

    def flap(self, member: Member, duration: float, rng: random.Random) -> bool:
        proxies = [self.fleet.proxies[pair] for pair in self.member_links(member, True, rng.random() < 0.5)]
        until = boot_ms() + duration
        while boot_ms() < until:
            for proxy in proxies:
                proxy.cut()
            gevent.sleep(rng.uniform(0.02, 0.4))
            for proxy in proxies:
                proxy.heal(rng.random() < 0.5)
            gevent.sleep(rng.uniform(0.02, 0.4))
        return False
