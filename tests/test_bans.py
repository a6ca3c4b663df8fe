"""The worker list against a plain model: whatever the list says and operators do, no cause is forgotten."""

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
BINDING: list[Task] = [AttemptTask(1, 1e18, 0.0, call=CALL), ProbeTask(1, 1e18, 0.0), OrderTask(1, 1e18, 0.0)]
ASK = OrderTask(1, 1e18, 0.0, copies=0)
IDS = st.sampled_from("abcd")


class Quiet(Log):
    def put(self, now: float, kind: str, text: str, fields: dict[str, object] | None = None) -> None: ...


def opened(heard: list[WorkersChanged], limits: Limits | None = None) -> HostListActor:
    def tell(told: WorkersChanged | WorkerListConfirmed) -> None:
        assert isinstance(told, WorkersChanged), "nobody confirms the list here"
        heard.append(told)

    return HostListActor(SETTINGS, limits or Limits(), Quiet(), tell, lambda e: None, Metrics())


def ban(actor: HostListActor, id: str, on: bool, known: bool = False) -> bool:
    told: AsyncResult = AsyncResult()
    actor.receive(Ban(id, on, told, known))
    done: bool = told.get(block=False)
    return done


class Bans(RuleBasedStateMachine):
    """`words` is what the list last said of each id, and `banned` whom operators left out: no more is needed
    to say what each host is."""

    def __init__(self) -> None:
        super().__init__()
        self.words: dict[str, Server] = {}
        self.banned: set[str] = set()
        self.heard: list[WorkersChanged] = []
        self.seen: dict[int, i.WorkerEntry] = {}  # what the module knows
        self.kept: set[str] = set()  # what the next process would know
        self.actor = opened(self.heard)
        self.actor.on_ban_changed = lambda id, on: self.kept.add(id) if on else self.kept.discard(id)
        self.offset = self.events = 0

    def drain(self, id: str) -> i.WorkerStatus:
        listed = STATUS_BY_STATE[self.words[id].state]
        return i.WorkerStatus.DRAINING if id in self.banned and listed is i.WorkerStatus.UP else listed

    def say(self, server: Server) -> None:
        for id, other in self.words.items():
            if id != server.id and server.state != "left" and other.addr == server.addr:
                self.words[id] = Server(id, other.addr, "left")
        self.words[server.id] = server

    @rule(banned=st.sets(IDS))
    @precondition(lambda self: not self.events)
    def begin(self, banned: set[str]) -> None:
        """Bans of an earlier process, for ids that are not listed yet."""
        self.actor.load_initial(KnownEvents(), banned)
        self.banned, self.kept, self.events = set(banned), set(banned), self.events + 1

    @rule(
        said=st.lists(
            st.tuples(IDS, st.integers(1, 3), st.sampled_from(list(STATUS_BY_STATE)), st.integers(0, 3)),
            max_size=3,
            unique_by=(lambda s: s[0], lambda s: s[1]),
        ),
        full=st.booleans(),
    )
    def listed(self, said: list[tuple[str, int, str, int]], full: bool) -> None:
        """Listed, drained, gone, back, restarted, moved, or at the address of another."""
        servers = [Server(id, f"127.0.0.1:{port}", state, started_ms=at) for id, port, state, at in said]
        if full:
            self.words = {id: Server(id, s.addr, "left") for id, s in self.words.items()}
        for server in servers:
            self.say(server)
        self.offset, self.events = self.offset + 1, self.events + 1
        self.actor.receive(EventReceived(BusEvent(self.offset, Topology(servers, full=full))))

    @rule(id=IDS, on=st.booleans(), elsewhere=st.booleans())
    def switched(self, id: str, on: bool, elsewhere: bool) -> None:
        """By an operator here, or at the other process of an upgrade."""
        known = elsewhere or id in self.words or id in self.banned
        tells = on != (id in self.banned) and id in self.words and self.words[id].state != "left"
        assert ban(self.actor, id, on, elsewhere) == known
        if known:
            (self.banned.add if on else self.banned.discard)(id)
        self.events += tells
        assert not tells or [e.worker for e in self.heard[-1].event.workers] == [number(id)]

    @invariant()
    def the_module_knows_what_the_model_says(self) -> None:
        assert self.actor.bans() == sorted(self.banned) == sorted(self.kept)
        assert len(self.heard) == self.events
        for listed in self.heard[self.events - 1 :]:
            if listed.event.scope is not i.ListScope.CHANGES:
                self.seen = {}
            self.seen |= {e.worker: e for e in listed.event.workers}
        seen = {
            w: (e.status, e.start_stamp) for w, e in self.seen.items() if e.status is not i.WorkerStatus.GONE
        }
        live = [id for id in self.words if self.drain(id) is not i.WorkerStatus.GONE]
        assert seen == {number(id): (self.drain(id), self.words[id].started_ms or None) for id in live}
        figures = self.actor.metrics
        assert (figures.pool_size, figures.banned) == (len(live), len(self.banned.intersection(live)))

    @invariant()
    def the_hosts_take_what_the_model_says(self) -> None:
        assert {id for id, w in self.words.items() if w.state != "left"} == set(self.actor.hosts)
        for id, (standing, _) in self.actor.hosts.items():
            up = self.drain(id) is i.WorkerStatus.UP
            assert [standing.accepts(task) for task in BINDING] == [up] * 3 and standing.accepts(ASK)

    def teardown(self) -> None:
        for id in list(self.actor.hosts):
            self.actor.remove_host(id, immediately=True)
        gevent.sleep(0)


TestBans = Bans.TestCase
TestBans.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)


def test_ids_that_are_gone_are_remembered_up_to_a_bound_and_banned_ones_for_ever() -> None:
    actor = opened([], replace(Limits(), ids_remembered=3))
    for n, id in enumerate("abcdef"):
        for state in ("active", "left"):
            server = Server(id, f"127.0.0.1:{n + 1}", state)
            actor.receive(EventReceived(BusEvent(2 * n, Topology([server]))))
        assert id != "a" or ban(actor, id, True)
    assert [ban(actor, id, False) for id in "abcdef"] == [True, False, False, False, True, True]
    gevent.sleep(0)


def test_a_list_that_has_no_time_is_said_to_be_busy_within_a_second() -> None:
    stuck, full = opened([]), opened([], replace(Limits(), list_mailbox=0))
    for actor in (stuck, full):
        admin = AdminServer(("", 0), Metrics(), bool, actor.try_send, Limits(), Quiet())
        with gevent.Timeout(0.95), pytest.raises(Busy):
            admin.disable("a")
    assert [len(actor.mailbox) for actor in (stuck, full)] == [1, 0]
