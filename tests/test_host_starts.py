"""Start times of hosts in a process whose wall clock is right, an hour off, or set while it runs."""

from __future__ import annotations

from dataclasses import replace

import pytest

from harrieryoke import interface as i
from harrieryoke.net.host_starts import HostStarts
from harrieryoke.net.hostlist_model import Server

from .rig import Rig, workers

HOUR_MS = 3_600_000.0
UNIX_MS = 1.8e12  # the list's clock when the monotonic clock is at NOW_MS
NOW_MS = 50_000.0
WALL_ERRORS = {"right": 0.0, "an hour ahead": HOUR_MS, "an hour back": -HOUR_MS, "3 s ahead": 3000.0}


class Machine:
    """The two clocks of the process's machine; the wall clock is off by `error`."""

    def __init__(self, error: float = 0.0) -> None:
        self.now, self.error = NOW_MS, error
        self.starts = HostStarts(lambda: self.now, lambda: UNIX_MS + self.now - NOW_MS + self.error)

    def learn_ages_s(self, *seconds_ago: float) -> list[float | None]:
        """Return the ages in seconds that are assumed for hosts of a first list that started so long ago."""
        servers = [server(f"h{n}", UNIX_MS - 1000 * ago) for n, ago in enumerate(seconds_ago)]
        self.starts.learn_initial(servers)
        read = [self.starts.observe(each) for each in servers]
        return [None if start is None else (self.now - start.started_at) / 1000 for start in read]


def server(id: str, started_ms: float) -> Server:
    return Server(id, "127.0.0.1:1", "active", started_ms=started_ms)


@pytest.mark.parametrize("error", WALL_ERRORS)
def test_a_start_announced_later_counts_from_its_arrival(error: str) -> None:
    machine = Machine(WALL_ERRORS[error])
    first = machine.starts.observe(server("h", UNIX_MS - 500))
    assert first is not None and first.started_at == NOW_MS
    machine.now, machine.error = NOW_MS + 2000, machine.error + HOUR_MS
    assert machine.starts.observe(server("h", UNIX_MS - 500)) == first, "listed again, it is the same start"
    restarted = machine.starts.observe(server("h", UNIX_MS + 1900))
    assert restarted is not None and restarted.started_at == NOW_MS + 2000
    assert machine.starts.observe(server("h", 0.0)) is None and not machine.starts.starts


@pytest.mark.parametrize("error", WALL_ERRORS)
def test_no_host_of_the_first_list_is_taken_as_older_than_it_is(error: str) -> None:
    ages = Machine(WALL_ERRORS[error]).learn_ages_s(1, 5, 90)
    assert all(age is not None and age <= true for age, true in zip(ages, (1, 5, 90), strict=True))
    assert ages == ([0, 0, 0] if error == "an hour back" else [0, 4, 89])


def test_a_start_time_in_the_future_does_not_age_other_hosts() -> None:
    assert Machine().learn_ages_s(-3600, 2, 60) == [0, 2, 60]


def test_a_repeated_start_does_not_change_how_warm_the_host_is() -> None:
    rig = Rig()
    listed = replace(workers(1)[0], started=rig.now, start_stamp=UNIX_MS)
    rig.give(i.WorkersListed(i.ListScope.CHANGES, (listed,)))
    began = rig.router.workers[1].started
    rig.now += 500
    rig.give(i.WorkersListed(i.ListScope.CHANGES, (replace(listed, started=rig.now),)))
    assert rig.router.workers[1].started == began == rig.now - 500
    rig.give(
        i.WorkersListed(i.ListScope.CHANGES, (replace(listed, started=rig.now, start_stamp=UNIX_MS + 1),))
    )
    assert rig.router.workers[1].started == rig.now
