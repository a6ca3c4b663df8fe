"""The worker list against a simple model: bans and list states combine in any order without being lost."""

from __future__ import annotations

from dataclasses import replace

import gevent
import pytest
from gevent.event import AsyncResult
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from harrieryoke import interface as i
from harrieryoke.admin.server import AdminServer
from harrieryoke.core.metrics import Metrics
from harrieryoke.core.records import (
    AttemptTask,
    Call,
    OrderTask,
    ProbeTask,
    Task,
    WorkerListConfirmed,
    WorkersChanged,
)
from harrieryoke.errors import Busy
from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.net.bans import BanChanged
from harrieryoke.net.hostlist import (
    STATUS_BY_STATE,
    Ban,
    BusEvent,
    EventReceived,
    HostListActor,
    KnownEvents,
    Server,
    Topology,
)
from harrieryoke.net.hostlist import worker_number as number

from .rig import SETTINGS

CALL = Call("0" * 16, 0, "f", 1e18)
NEW_WORK: list[Task] = [
    AttemptTask(1, 1e18, 0.0, call=CALL),
    ProbeTask(1, 1e18, 0.0),
    OrderTask(1, 1e18, 0.0),
]
PROBE = OrderTask(1, 1e18, 0.0, copies=0)
IDS = st.sampled_from("abcd")


class NullLog(Log):
    def write_line(
        self, now: float, kind: str, text: str, fields: dict[str, object] | None = None
    ) -> None: ...


def create_list(received: list[WorkersChanged], limits: Limits | None = None) -> HostListActor:
    def receive(message: WorkersChanged | WorkerListConfirmed) -> None:
        assert isinstance(message, WorkersChanged), "nobody confirms the list here"
        received.append(message)

    return HostListActor(SETTINGS, limits or Limits(), NullLog(), receive, lambda e: None, Metrics())


def ban(actor: HostListActor, id: str, banned: bool, from_peer: bool = False) -> bool:
    reply: AsyncResult = AsyncResult()
    actor.receive(Ban(id, banned, reply, from_peer))
    result: bool = reply.get(block=False)
    return result


class Bans(RuleBasedStateMachine):
    """The model: the latest listed entry of each id and the banned ids determine the state of each host."""

    def __init__(self) -> None:
        super().__init__()
        self.listed_servers: dict[str, Server] = {}
        self.banned: set[str] = set()
        self.received: list[WorkersChanged] = []
        self.module_entries: dict[int, i.WorkerEntry] = {}  # the module's view
        self.stored: set[str] = set()  # the bans that the next process would read
        self.actor = create_list(self.received)
        self.actor.on_ban_changed = self.store
        self.offset = self.events = 0

    def store(self, change: BanChanged) -> None:
        """Write a change as the next process would read it."""
        if change.banned:
            self.stored.add(change.id)
        else:
            self.stored.discard(change.id)

    def expected_status(self, id: str) -> i.WorkerStatus:
        listed = STATUS_BY_STATE[self.listed_servers[id].state]
        return i.WorkerStatus.DRAINING if id in self.banned and listed is i.WorkerStatus.UP else listed

    def record_listed(self, server: Server, named: set[str]) -> None:
        others = [other for id, other in self.listed_servers.items() if id not in named]
        if server.state == "leaving" and any(o.state == "active" and o.addr == server.addr for o in others):
            server = Server(server.id, server.addr, "left")  # news of a host that left its address to another
        for id, other in self.listed_servers.items():
            if id != server.id and server.state != "left" and other.addr == server.addr:
                self.listed_servers[id] = Server(id, other.addr, "left")
        self.listed_servers[server.id] = server

    @rule(banned=st.sets(IDS))
    @precondition(lambda self: not self.events)
    def load_initial(self, banned: set[str]) -> None:
        """Bans of an earlier process, for ids that are not listed yet."""
        self.actor.load_initial(KnownEvents(), banned)
        self.banned, self.stored, self.events = set(banned), set(banned), self.events + 1

    @rule(
        entries=st.lists(
            st.tuples(IDS, st.integers(1, 3), st.sampled_from(list(STATUS_BY_STATE)), st.integers(0, 3)),
            max_size=3,
            unique_by=(lambda s: s[0], lambda s: s[1]),
        ),
        full=st.booleans(),
    )
    def list_servers(self, entries: list[tuple[str, int, str, int]], full: bool) -> None:
        """Hosts are listed, drained, gone, back, restarted, moved, or at the address of another."""
        servers = [Server(id, f"127.0.0.1:{port}", state, started_ms=at) for id, port, state, at in entries]
        if full:
            self.listed_servers = {id: Server(id, s.addr, "left") for id, s in self.listed_servers.items()}
        for server in servers:
            self.record_listed(server, {s.id for s in servers})
        self.offset, self.events = self.offset + 1, self.events + 1
        self.actor.receive(EventReceived(BusEvent(self.offset, Topology(servers, full=full))))

    @rule(id=IDS, banned=st.booleans(), at_peer=st.booleans())
    def switch_ban(self, id: str, banned: bool, at_peer: bool) -> None:
        """An operator bans a host here, or at the other process of an upgrade."""
        known = at_peer or id in self.listed_servers or id in self.banned
        is_reported = (
            banned != (id in self.banned)
            and id in self.listed_servers
            and self.listed_servers[id].state != "left"
        )
        assert ban(self.actor, id, banned, at_peer) == known
        if known:
            (self.banned.add if banned else self.banned.discard)(id)
        self.events += is_reported
        assert not is_reported or [e.worker for e in self.received[-1].event.workers] == [number(id)]

    @invariant()
    def module_matches_model(self) -> None:
        assert self.actor.bans() == sorted(self.banned) == sorted(self.stored)
        assert len(self.received) == self.events
        for listed in self.received[self.events - 1 :]:
            if listed.event.scope is not i.ListScope.CHANGES:
                self.module_entries = {}
            self.module_entries |= {e.worker: e for e in listed.event.workers}
        seen = {
            w: (e.status, e.start_stamp)
            for w, e in self.module_entries.items()
            if e.status is not i.WorkerStatus.GONE
        }
        live = [id for id in self.listed_servers if self.expected_status(id) is not i.WorkerStatus.GONE]
        assert seen == {
            number(id): (self.expected_status(id), self.listed_servers[id].started_ms or None) for id in live
        }
        figures = self.actor.metrics
        assert (figures.pool_size, figures.banned) == (len(live), len(self.banned.intersection(live)))

    @invariant()
    def hosts_match_model(self) -> None:
        assert {id for id, w in self.listed_servers.items() if w.state != "left"} == set(self.actor.hosts)
        for id, (status, _) in self.actor.hosts.items():
            up = self.expected_status(id) is i.WorkerStatus.UP
            assert [status.accepts(task) for task in NEW_WORK] == [up] * 3 and status.accepts(PROBE)

    def teardown(self) -> None:
        for id in list(self.actor.hosts):
            self.actor.remove_host(id, immediately=True)
        gevent.sleep(0)


TestBans = Bans.TestCase
TestBans.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)


def test_ids_of_removed_hosts_are_kept_up_to_a_limit_and_banned_ones_without_limit() -> None:
    actor = create_list([], replace(Limits(), ids_remembered=3))
    for n, id in enumerate("abcdef"):
        for state in ("active", "left"):
            server = Server(id, f"127.0.0.1:{n + 1}", state)
            actor.receive(EventReceived(BusEvent(2 * n, Topology([server]))))
        assert id != "a" or ban(actor, id, True)
    assert [ban(actor, id, False) for id in "abcdef"] == [True, False, False, False, True, True]
    gevent.sleep(0)


def test_a_busy_list_is_reported_as_busy_within_a_second() -> None:
    stuck, full = create_list([]), create_list([], replace(Limits(), list_mailbox=0))
    for actor in (stuck, full):
        admin = AdminServer(("", 0), Metrics(), bool, actor.try_send, Limits(), NullLog())
        with gevent.Timeout(0.95), pytest.raises(Busy):
            admin.disable("a")
    assert [len(actor.mailbox) for actor in (stuck, full)] == [1, 0]
