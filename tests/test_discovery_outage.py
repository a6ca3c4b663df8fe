"""Incident 34: model hosts drained while discovery was out of reach.

Seen: for seconds after the time at which a drain counts as told, and the grace, calls and load orders went on
to the draining hosts, from every invoker. The hosts turned the calls away, and others served them.
How: the event bus was lost, the watch asked again and again, and nothing else in the process changed.
Cause: what discovery had told held until its next event, however long that took. No part knew how old the
list was, and no answer of a host was read as a sign of whether it still takes new work.
Proof: the plays below, with discovery lost in three ways, fail on that program: the hosts' own records count
the sends. In the play without an outage the drain is told, and nothing is sent.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import gevent
import pytest

from harrieryoke.lab import audit
from harrieryoke.lab.hosts import Outage
from harrieryoke.lab.world import GRACE, World

TOLD_WITHIN = 7000.0  # ms: what the bus has to tell counts as told by then, whether it arrived or not
CALLS_A_SECOND = 60.0
AFTER_DEADLINE = 4000.0  # ms of the play behind the last moment at which sends are allowed


def play(folder: Path, outage: Outage | None) -> dict[str, Any]:
    """Half of the hosts drain half a second into an outage and stay up, turning new work away."""
    folder.mkdir()
    world = World(folder, seed=3, rate=CALLS_A_SECOND, hosts=6)

    def trouble() -> None:
        gevent.sleep(4.0)
        if outage is not None:
            world.bus.begin_outage(outage)
        gevent.sleep(0.5)
        for host in world.hosts[::2]:
            host.state = "leaving"
        world.bus.tell(world.hosts[::2])

    gevent.spawn(trouble)
    world.run(4.5 + (TOLD_WITHIN + GRACE + AFTER_DEADLINE) / 1000, trouble_every=0.0)
    figures = world.figures()
    drained = max(at for host in world.hosts[::2] for at, _ in host.told)
    late = [c for c in world.load.calls if c.sent > drained + TOLD_WITHIN]
    figures["served_late"] = audit.served_share(late, lambda call: True)
    told_within = 0.0 if outage is None else TOLD_WITHIN
    figures["sends_late"] = audit.sends_after_drain(world.arrived, world.hosts, GRACE, told_within)
    figures["exit"] = world.close()
    return figures


@pytest.fixture(scope="module")
def plays(tmp_path_factory: pytest.TempPathFactory) -> dict[Outage | None, dict[str, Any]]:
    """All plays at the same time, each with an invoker of its own."""
    folder = tmp_path_factory.mktemp("outages")
    outages = [None, *Outage]
    begun = [gevent.spawn(play, folder / str(n), outage) for n, outage in enumerate(outages)]
    return {outage: greenlet.get() for outage, greenlet in zip(outages, begun, strict=True)}


def test_nothing_new_goes_to_hosts_whose_drain_counts_as_told(
    plays: dict[Outage | None, dict[str, Any]],
) -> None:
    assert {outage: figures["sends_late"] for outage, figures in plays.items()} == dict.fromkeys(plays, 0)


def test_the_calls_are_served_all_the_same(plays: dict[Outage | None, dict[str, Any]]) -> None:
    for outage, figures in plays.items():
        assert figures["served_late"] > 0.9, (outage, figures)
        assert figures["unanswered"] == figures["doubled"] == figures["exit"] == 0, (outage, figures)
