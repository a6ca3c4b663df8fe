"""The council at 5, 40 and 200 members: what it says, and how long a duty is without a holder. A larger run:
`python -m tests.test_council_sizes MEMBERS SEED FAILURES`."""

from __future__ import annotations

import sys

import pytest

from .council_world import DUTIES, LEASE, Member, World

SIZES = {5: (3, 5), 40: (5, 10), 200: (7, 20)}  # members: voters, and how many would hold duties


class Measured(World):
    """`messages` that were sent; of each duty since when its holder is to go, and of each time that took,
    in true milliseconds."""

    def __init__(self, members: int, seed: int) -> None:
        voters, willing = SIZES[members]
        self.messages, self.gone, self.took = 0, dict[str, tuple[float, int]](), list[float]()
        super().__init__(seed, voters, members - voters, willing=willing)

    def pass_message(self, *what: object) -> None:
        self.messages += 1
        super().pass_message(*what)  # type: ignore[arg-type]

    def look(self, m: Member) -> None:
        super().look(m)
        for duty, (since, token) in list(self.gone.items()):
            if self.acted[duty] > token:
                self.took.append(self.t - since)
                del self.gone[duty]

    def holders(self) -> list[Member]:
        now = [m for m in self.members.values() if m.up]
        return [m for m in now if any(m.holder.acting_token(duty, m.clock(self.t)) for duty in DUTIES)]

    def remove(self, m: Member) -> None:
        """What it holds is to be another's."""
        for duty in DUTIES:
            if token := m.holder.acting_token(duty, m.clock(self.t)):
                self.gone[duty] = self.t, token

    def until_held(self, ms: float) -> None:
        end = self.t + ms
        while self.gone and self.t < end:
            self.run(20)
        assert not self.gone, f"nobody took {list(self.gone)}"

    def fails(self) -> None:
        m = self.rng.choice(self.holders())
        self.remove(m)
        self.crash(m, 2.5 * LEASE.duration_ms)
        self.until_held(5 * LEASE.duration_ms)
        while not m.up:  # one at a time
            self.run(100)
        self.run(self.rng.uniform(LEASE.duration_ms, 2 * LEASE.duration_ms))

    def drains(self) -> None:
        m = self.rng.choice(self.holders())
        self.remove(m)
        m.holder.set_weight(0.0)
        self.until_held(5 * LEASE.duration_ms)
        m.holder.set_weight(1.0)
        self.run(LEASE.duration_ms)

    def rates(self, ms: float) -> tuple[float, float]:
        """Entries and messages a second in that time."""
        entries, messages = max(self.agreed), self.messages
        self.run(ms)
        return (max(self.agreed) - entries) * 1000 / ms, (self.messages - messages) * 1000 / ms


def share(took: list[float], part: float) -> float:
    return sorted(took)[min(int(len(took) * part), len(took) - 1)]


def test_a_failure_costs_less_than_two_and_a_half_leases_and_draining_300_ms() -> None:
    world = Measured(5, 1)
    world.run(4000)
    for _ in range(10):
        world.fails()
    assert len(world.took) >= 10 and max(world.took) < 2.5 * LEASE.duration_ms
    world.took.clear()
    for _ in range(10):
        world.drains()
    assert len(world.took) >= 10 and max(world.took) < 300.0


@pytest.mark.parametrize(("members", "ms"), [(5, 4000), (40, 2000), (200, 500)])
def test_histories_of_every_size(members: int, ms: float) -> None:
    world = Measured(members, members)
    world.run(1500)
    while len(world.holders()) < 1:
        world.run(100)
    end = world.t + ms
    while world.t < end or world.faults < 3:
        world.run(world.rng.expovariate(1 / 100))
        world.hurt()
    assert max(world.agreed) > members / 10


def main(members: int, seed: int, failures: int) -> None:
    world = Measured(members, seed)
    world.run(6000)
    print(members, "idle: entries, messages a second", world.rates(3000))
    for what in (world.fails, world.drains):
        world.took.clear()
        for _ in range(failures):
            what()
        print(members, what.__name__, len(world.took), [share(world.took, part) for part in (0.5, 0.99, 1)])
    entries, messages, since = max(world.agreed), world.messages, world.t
    world.schedule(4000)
    seconds = (world.t - since) / 1000
    print(
        members,
        "faults",
        world.faults,
        (max(world.agreed) - entries) / seconds,
        (world.messages - messages) / seconds,
    )


if __name__ == "__main__":
    main(*(int(each) for each in sys.argv[1:4]))
