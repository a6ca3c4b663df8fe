"""Keyed requests whose worker leaves the list, or its place in it, while their attempt is in progress."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import gevent
import pytest

from harrieryoke.core.metrics import Metrics
from harrieryoke.core.records import WorkerListConfirmed, WorkersChanged
from harrieryoke.interface import (
    AttemptEnded,
    DeduplicationScope,
    Outcome,
    RequestArrived,
    StartAttempt,
    TimerFired,
)
from harrieryoke.limits import Limits
from harrieryoke.net.hostlist import BusEvent, EventReceived, HostListActor, Server, Topology, worker_number
from harrieryoke.router import Router

from .rig import KEYED, SETTINGS
from .test_discovery_crossings import RecordingLog

FIRST = Server("first", "127.0.0.1:1", "active", "b", cell=1)
INSIDE = Server("inside", "127.0.0.1:2", "active", "b", cell=1)
OUTSIDE = Server("outside", "127.0.0.1:3", "active", "a", cell=0)


class ListedFrontEnd:
    """The list's actor with a router behind it, on one clock."""

    def __init__(self, scope: DeduplicationScope) -> None:
        classes = (replace(KEYED, deduplication_scope=scope),)
        self.settings = replace(SETTINGS, classes=classes, zones=("a", "b"), cold_period=0)
        self.now, self.offset, self.router = 1000.0, 0, Router(self.settings, 7)
        self.sent: list[int] = []
        self.list = HostListActor(
            self.settings, Limits(), RecordingLog(), self.on_changed, lambda ended: None, Metrics()
        )

    def on_changed(self, message: WorkersChanged | WorkerListConfirmed) -> None:
        self.handle(message.event)

    def handle(self, event: Any) -> None:
        actions = self.router.handle(self.now, [event])
        self.sent += [action.worker for action in actions if isinstance(action, StartAttempt)]

    def tell(self, *servers: Server, full: bool = False) -> None:
        """The event bus tells of hosts."""
        self.offset += 1
        self.list.receive(EventReceived(BusEvent(self.offset, Topology(list(servers), full=full))))

    def wait(self) -> None:
        """A second passes."""
        for _ in range(100):
            self.now += 10
            self.handle(TimerFired("agenda"))


@pytest.fixture(params=[DeduplicationScope.CELL, DeduplicationScope.ZONE], ids=["cell", "zone"])
def front_end(request: pytest.FixtureRequest) -> Iterator[ListedFrontEnd]:
    driven = ListedFrontEnd(request.param)
    yield driven
    for id in list(driven.list.hosts):
        driven.list.remove_host(id, immediately=True)
    gevent.sleep(0)


CHANGES: dict[str, Callable[[ListedFrontEnd], None]] = {
    "its address is reused": lambda f: f.tell(Server("new", FIRST.addr, "active", "a", cell=0)),
    "it left, and its place is not told": lambda f: f.tell(Server("first", FIRST.addr, "left")),
    "a whole list lacks it": lambda f: f.tell(INSIDE, OUTSIDE, full=True),
    "it is listed elsewhere": lambda f: f.tell(Server("first", FIRST.addr, "active", "a", cell=0)),
}


@pytest.mark.parametrize("change", CHANGES)
def test_a_keyed_request_stays_where_its_key_is_known_whatever_the_list_tells_meanwhile(
    front_end: ListedFrontEnd, change: str
) -> None:
    """Guards against repeats in another cell after the host of the first attempt was replaced (review/6)."""
    front_end.tell(FIRST, full=True)
    front_end.handle(RequestArrived(1, 0, "f", front_end.now + 2000, slots=2))
    assert front_end.sent == [worker_number("first")]
    front_end.tell(INSIDE, OUTSIDE)
    CHANGES[change](front_end)
    for server in (OUTSIDE, INSIDE):
        front_end.router.record_copy(front_end.router.functions["f"], worker_number(server.id))
    front_end.handle(AttemptEnded(1, worker_number("first"), 0, Outcome.RESET, 500, False))
    front_end.wait()
    assert front_end.sent[1:] == [worker_number("inside")]


@pytest.mark.parametrize("front_end", [DeduplicationScope.ZONE], indirect=True)
@pytest.mark.parametrize("zone", ["c", ""])
def test_a_keyed_request_leaves_no_zone_that_the_settings_lack(front_end: ListedFrontEnd, zone: str) -> None:
    """Guards against repeats in the settings' first zone, or in another unknown one (beside review/6)."""
    unknown = Server("unknown", "127.0.0.1:4", "active", zone)
    front_end.tell(unknown, full=True)
    front_end.handle(RequestArrived(1, 0, "f", front_end.now + 2000, slots=2))
    others = (OUTSIDE, Server("other", "127.0.0.1:5", "active", zone + "d"))
    front_end.tell(*others)
    for server in others:
        front_end.router.record_copy(front_end.router.functions["f"], worker_number(server.id))
    front_end.handle(AttemptEnded(1, worker_number("unknown"), 0, Outcome.RESET, 500, False))
    front_end.wait()
    assert {*front_end.sent} == {worker_number("unknown")}


@pytest.mark.parametrize("change", list(CHANGES)[:3])
def test_a_host_that_is_gone_counts_for_its_own_zone(front_end: ListedFrontEnd, change: str) -> None:
    """Guards against ejections that count for the settings' first zone, where all hosts answer (review/6)."""
    front_end.tell(FIRST, INSIDE, OUTSIDE, full=True)
    CHANGES[change](front_end)
    gone = front_end.router.workers[worker_number("first")]
    assert (gone.entry.zone, gone.entry.cell, gone.active) == (1, 1, False)
