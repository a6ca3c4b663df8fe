"""Councils of 5, 40 and 200 members: message rates, and how long a duty has no holder.

For a larger run: `python -m tests.test_council_sizes MEMBERS SEED FAILURES`.
"""

from __future__ import annotations

import sys

import pytest

from .council_world import DUTIES, LEASE, Member, World

SIZES = {5: (3, 5), 40: (5, 10), 200: (7, 20)}  # by members: voters, and members that hold duties


class MeasuredWorld(World):
    """Counts the messages sent; records since when each duty awaits a new holder, and how long that took in
    true milliseconds.
    """

    def __init__(self, members: int, seed: int) -> None:
        voters, willing_count = SIZES[members]
        self.message_count, self.awaited, self.handover_ms = 0, dict[str, tuple[float, int]](), list[float]()
        super().__init__(seed, voters, members - voters, willing_count=willing_count)

    def transmit(self, *what: object) -> None:
        self.message_count += 1
        super().transmit(*what)  # type: ignore[arg-type]

    def check_invariants(self, member: Member) -> None:
        super().check_invariants(member)
        for duty, (since, token) in list(self.awaited.items()):
            if self.acting_tokens[duty] > token:
                self.handover_ms.append(self.time - since)
                del self.awaited[duty]

    def holders(self) -> list[Member]:
        now = [member for member in self.members.values() if member.up]
        return [
            member
            for member in now
            if any(member.lease_holder.acting_token(duty, member.clock(self.time)) for duty in DUTIES)
        ]

    def expect_handover(self, member: Member) -> None:
        """The duties that it holds must get another holder."""
        for duty in DUTIES:
            if token := member.lease_holder.acting_token(duty, member.clock(self.time)):
                self.awaited[duty] = self.time, token

    def wait_until_held(self, ms: float) -> None:
        end = self.time + ms
        while self.awaited and self.time < end:
            self.run(20)
        assert not self.awaited, f"nobody took {list(self.awaited)}"

    def fails(self) -> None:
        member = self.rng.choice(self.holders())
        self.expect_handover(member)
        self.crash(member, 2.5 * LEASE.duration_ms)
        self.wait_until_held(5 * LEASE.duration_ms)
        while not member.up:  # one at a time
            self.run(100)
        self.run(self.rng.uniform(LEASE.duration_ms, 2 * LEASE.duration_ms))

    def drains(self) -> None:
        member = self.rng.choice(self.holders())
        self.expect_handover(member)
        member.lease_holder.set_weight(0.0)
        self.wait_until_held(5 * LEASE.duration_ms)
        member.lease_holder.set_weight(1.0)
        self.run(LEASE.duration_ms)

    def rates(self, ms: float) -> tuple[float, float]:
        """Returns entries and messages per second during that time."""
        entries, messages = max(self.committed_entries), self.message_count
        self.run(ms)
        return (max(self.committed_entries) - entries) * 1000 / ms, (
            self.message_count - messages
        ) * 1000 / ms


def quantile(durations: list[float], fraction: float) -> float:
    return sorted(durations)[min(int(len(durations) * fraction), len(durations) - 1)]


def test_a_failure_takes_less_than_two_and_a_half_leases_and_a_drain_300_ms() -> None:
    world = MeasuredWorld(5, 1)
    world.run(4000)
    for _ in range(10):
        world.fails()
    assert len(world.handover_ms) >= 10 and max(world.handover_ms) < 2.5 * LEASE.duration_ms
    world.handover_ms.clear()
    for _ in range(10):
        world.drains()
    assert len(world.handover_ms) >= 10 and max(world.handover_ms) < 300.0


@pytest.mark.parametrize(("members", "ms"), [(5, 4000), (40, 2000), (200, 500)])
def test_histories_of_every_size(members: int, ms: float) -> None:
    world = MeasuredWorld(members, members)
    world.run(1500)
    while len(world.holders()) < 1:
        world.run(100)
    end = world.time + ms
    while world.time < end or world.faults < 3:
        world.run(world.rng.expovariate(1 / 100))
        world.inject_fault()
    assert max(world.committed_entries) > members / 10


def main(members: int, seed: int, failures: int) -> None:
    world = MeasuredWorld(members, seed)
    world.run(6000)
    print(members, "idle: entries, messages a second", world.rates(3000))
    for what in (world.fails, world.drains):
        world.handover_ms.clear()
        for _ in range(failures):
            what()
        print(
            members,
            what.__name__,
            len(world.handover_ms),
            [quantile(world.handover_ms, fraction) for fraction in (0.5, 0.99, 1)],
        )
    entries, messages, since = max(world.committed_entries), world.message_count, world.time
    world.run_with_faults(4000)
    seconds = (world.time - since) / 1000
    print(
        members,
        "faults",
        world.faults,
        (max(world.committed_entries) - entries) / seconds,
        (world.message_count - messages) / seconds,
    )


if __name__ == "__main__":
    main(*(int(each) for each in sys.argv[1:4]))
