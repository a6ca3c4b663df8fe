"""Incident 34: model hosts drained while discovery was unreachable.

For seconds after the drain should have been known, and the grace period, calls and load orders still went to
the draining hosts: what discovery had announced held until its next event, and nothing tracked how old the
list was. The runs below lose discovery in three ways and count the late sends in the hosts' own records;
without an outage the drain is announced and nothing is sent.
"""

from __future__ import annotations

from pathlib import Path

import gevent
import pytest

from harrieryoke.core.clock import now_ms
from harrieryoke.lab import audit
from harrieryoke.lab.hosts import Outage
from harrieryoke.lab.world import DRAIN_GRACE_MS, InvokerTestbed

ANNOUNCED_WITHIN_MS = 7000.0  # by then an announcement of the bus counts as known, whether it arrived or not
CALLS_PER_S = 60.0
RUN_AFTER_DEADLINE_MS = 4000.0  # of the run after the last moment at which sends are allowed


class OutageRun:
    """Half of the hosts drain half a second into an outage and stay up, rejecting new work.

    With `restart` the invoker is killed after the deadline and starts from its old file; otherwise the outage
    ends in the end.
    """

    def __init__(self, folder: Path, outage: Outage | None, restart: bool = False) -> None:
        folder.mkdir()
        self.outage, self.restart = outage, restart
        self.world = InvokerTestbed(folder, seed=3, rate=CALLS_PER_S, hosts=6)
        self.restarted_at = 0.0

    def inject_outage(self) -> None:
        gevent.sleep(4.0)
        if self.outage is not None:
            self.world.bus.begin_outage(self.outage)
        gevent.sleep(0.5)
        drained = self.world.hosts[::2]
        for host in drained:
            host.state = "leaving"
        self.world.bus.publish(drained)
        gevent.sleep((ANNOUNCED_WITHIN_MS + DRAIN_GRACE_MS + RUN_AFTER_DEADLINE_MS) / 1000)
        if self.restart:
            self.world.kill()
            self.restarted_at = now_ms()
        elif self.outage is not None:
            self.world.bus.end_outage()

    def run(self) -> OutageRun:
        gevent.spawn(self.inject_outage)
        self.world.run(
            8.5 + (ANNOUNCED_WITHIN_MS + DRAIN_GRACE_MS + RUN_AFTER_DEADLINE_MS) / 1000, fault_interval_s=0.0
        )
        self.drained_at = max(at for host in self.world.hosts for at, _ in host.announcements)
        self.figures = self.world.figures()
        self.exit = self.world.close()
        self.log = (self.world.folder / "log").read_text()
        return self

    def count_late_sends(self) -> int:
        announced_within = 0.0 if self.outage is None else ANNOUNCED_WITHIN_MS
        return audit.sends_after_drain(
            self.world.received, self.world.hosts, DRAIN_GRACE_MS, announced_within
        )

    def served_share(self, sent_after: float) -> float:
        return audit.served_share(
            [c for c in self.world.load.calls if c.sent_at > sent_after], lambda call: True
        )


RUNS: dict[str, tuple[Outage | None, bool]] = {
    "no outage": (None, False),
    **{outage.value: (outage, False) for outage in Outage},
    "a start in the outage": (Outage.REFUSED, True),
}


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> dict[str, OutageRun]:
    """All runs at the same time, each with an invoker of its own."""
    folder = tmp_path_factory.mktemp("outages")
    greenlets = [
        gevent.spawn(lambda n, kind: OutageRun(folder / str(n), *kind).run(), n, kind)
        for n, kind in enumerate(RUNS.values())
    ]
    return {name: greenlet.get() for name, greenlet in zip(RUNS, greenlets, strict=True)}


def test_no_new_work_goes_to_hosts_whose_drain_counts_as_announced(runs: dict[str, OutageRun]) -> None:
    assert {name: run.count_late_sends() for name, run in runs.items()} == dict.fromkeys(runs, 0)


@pytest.mark.parametrize("name", RUNS)
def test_calls_are_served_during_and_after_the_outage(runs: dict[str, OutageRun], name: str) -> None:
    run = runs[name]
    if run.restart:
        assert run.served_share(run.restarted_at) > 0.9
    else:
        assert run.served_share(run.drained_at + ANNOUNCED_WITHIN_MS) > 0.9
        assert run.figures["unanswered"] == run.figures["doubled"] == 0
    assert run.exit == 0


@pytest.mark.parametrize("name", RUNS)
def test_the_log_reports_an_outdated_list(runs: dict[str, OutageRun], name: str) -> None:
    log, run = runs[name].log, runs[name]
    assert ("list-unconfirmed" in log) is (run.outage is not None)
    assert ("list-current" in log) is (run.outage is not None and not run.restart)
    assert (" probe mh-" in log) is (run.outage is not None), "hosts that accept no new work are logged"
