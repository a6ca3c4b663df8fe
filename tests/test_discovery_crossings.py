"""Discovery where events cross: spoilt events, and hosts that change places within one event."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from harrieryoke import interface as i
from harrieryoke.core.metrics import Metrics
from harrieryoke.core.records import Listed
from harrieryoke.limits import Limits
from harrieryoke.log import Log
from harrieryoke.net.hostlist import BusEvent, BusSaid, HostListActor, Known, Topology
from harrieryoke.net.hostlist_model import Server, decode_line, worker_number

from .rig import SETTINGS

UP, DRAINING, GONE = i.Drain.UP, i.Drain.DRAINING, i.Drain.GONE


class Lines(Log):
    """Keeps what is logged, as `kind text`."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def __call__(self, kind: str, text: str = "", **fields: object) -> None:
        self.lines.append(f"{kind} {text}")

    def of(self, kind: str) -> list[str]:
        return [line for line in self.lines if line.split()[0] == kind]


def entry(id: str, port: int, state: str = "active", **other: Any) -> dict[str, Any]:
    return {"id": id, "addr": f"127.0.0.1:{port}", "state": state, **other}


def event(offset: int, *servers: Any, full: bool = False) -> bytes:
    return json.dumps({"offset": offset, "topology": {"full": full, "servers": servers}}).encode() + b"\n"


# --- the list ---


class List:
    """The list's actor, driven by lines of the bus; `module` is what the module knows."""

    def __init__(self) -> None:
        self.log, self.module, self.ports = Lines(), dict[int, i.WorkerEntry](), dict[int, Any]()
        told = self.tell
        self.actor = HostListActor(SETTINGS, Limits(), self.log, told, lambda ended: None, Metrics())
        self.offset = 0

    def tell(self, listed: Listed) -> None:
        workers = [e.worker for e in listed.event.workers]
        assert len(workers) == len(set(workers)), "two words on one host"
        if listed.event.scope is not i.ListScope.CHANGES:
            self.module, self.ports = {}, {}
        self.ports |= listed.ports
        self.module |= {e.worker: e for e in listed.event.workers}
        self.module = {w: e for w, e in self.module.items() if e.drain is not GONE}

    def say(self, *servers: Any, full: bool = False) -> None:
        self.offset += 1
        said = decode_line(event(self.offset, *servers, full=full))
        assert isinstance(said, BusSaid)
        self.actor.receive(said)

    def state(self) -> dict[str, tuple[i.Drain, int]]:
        """Drain and port of each host; the module and the hosts' actors agree on them."""
        hosts = self.actor.hosts
        state = {id: (standing.drain, standing.address[1]) for id, (standing, _) in hosts.items()}
        assert {worker_number(id): drain for id, (drain, _) in state.items()} == {
            worker: e.drain for worker, e in self.module.items()
        }
        for id, (_, actor) in hosts.items():
            assert self.ports[worker_number(id)] is actor and not actor.over
        return state


@pytest.fixture
def listed() -> Iterator[List]:
    """A list of h1 and h2."""
    made = List()
    made.say(entry("h1", 1), entry("h2", 2), full=True)
    yield made
    for id in list(made.actor.hosts):
        made.actor.strike(id, now=True)
    gevent.sleep(0)


BOTH = {"h1": (UP, 1), "h2": (UP, 2)}
SPOILT: dict[str, tuple[str, Any]] = {
    "a label too long": ("addr", "a" * 64 + ".tn:1"),
    "an empty label": ("addr", "a..tn:1"),
    "a name too long": ("addr", "a." * 200 + "tn:1"),
    "a name with a null": ("addr", "a\0:1"),
    "no port": ("addr", "10.0.0.1"),
    "port 0": ("addr", "10.0.0.1:0"),
    "a port too high": ("addr", "10.0.0.1:65536"),
    "a port of 5000 digits": ("addr", "10.0.0.1:" + "1" * 5000),
    "a port in other digits": ("addr", "10.0.0.1:\u0661"),
    "an unknown state": ("state", "asleep" * 1000),
    "a negative weight": ("weight", -1.0),
    "an infinite weight": ("weight", float("inf")),
    "a weight that is no number": ("weight", float("nan")),
    "a negative start": ("started_ms", -1.0),
    "a start at no time": ("started_ms", 1e300),
    "a huge cell": ("cell", 10**4000),
    "a cell of the wrong type": ("cell", "x"),
    "an address of the wrong type": ("addr", None),
}


@pytest.mark.parametrize("full", [False, True])
@pytest.mark.parametrize("case", SPOILT)
def test_a_spoilt_entry_is_named_once_and_its_host_keeps_its_former_state(
    listed: List, case: str, full: bool
) -> None:
    field, value = SPOILT[case]
    spoilt = entry("h1", 1, "leaving") | {field: value}
    if isinstance(value, float):  # what JSON can't say comes from a reader that is less strict
        servers = [Server(**spoilt), Server(**entry("h3", 3))]
        listed.actor.receive(BusSaid(BusEvent(2, Topology(servers, full=full))))
    else:
        listed.say(spoilt, entry("h3", 3), full=full)
    assert listed.state() == {"h1": (UP, 1), "h3": (UP, 3)} | ({} if full else {"h2": (UP, 2)})
    (line,) = listed.log.of("bad-event")
    assert line.startswith("bad-event event 2: model host 'h1': ") and len(line) < 400
    assert f"h1': {field}: " in line or "entry: " in line


@pytest.mark.parametrize("id", ["", "h" * 257, 7, None])
def test_a_whole_list_with_an_entry_that_names_no_host_strikes_none(listed: List, id: Any) -> None:
    listed.say(entry("h3", 3), entry("x", 9) | {"id": id}, full=True)
    assert listed.state() == BOTH | {"h3": (UP, 3)} and len(listed.log.of("bad-event")) == 1


def test_an_unknown_zone_is_named_and_the_host_is_heard_all_the_same(listed: List) -> None:
    """The settings may name it only at the next SIGHUP; a host that drains there has to get nothing new."""
    listed.say(entry("h1", 1, "leaving", zone="nowhere", kind="odd"))
    assert listed.state() == BOTH | {"h1": (DRAINING, 1)}
    (line,) = listed.log.of("bad-event")
    assert "event 2: model host 'h1': zone: 'nowhere'" in line


WHOLE: dict[str, tuple[list[Any], dict[str, tuple[i.Drain, int]]]] = {
    "lacks a host": ([entry("h2", 2)], {"h2": (UP, 2)}),
    "is empty": ([], {}),
    "can't be read in any entry": ([entry("h1", 1, "?"), entry("h2", 99999), 7], BOTH),
    "can't be read in any entry, and each names its host": ([entry("h1", 1, "?")], BOTH),
    "is repeated": ([entry("h1", 1), entry("h2", 2)], BOTH),
    "names a host twice": ([entry("h1", 3, "leaving"), entry("h1", 1), entry("h2", 2)], BOTH),
    "names a host twice, spoilt at last": ([entry("h1", 1), entry("h2", 2), entry("h1", 1, "?")], BOTH),
}


@pytest.mark.parametrize("case", WHOLE)
def test_a_whole_list_says_who_is_there_and_a_spoilt_one_changes_nothing(listed: List, case: str) -> None:
    servers, expected = WHOLE[case]
    before = {id: actor for id, (_, actor) in listed.actor.hosts.items()}
    listed.say(*servers, full=True)
    assert listed.state() == expected
    assert all(listed.actor.hosts[id][1] is before[id] for id in expected)


# one event, in either order of its entries, to a list of h1 at 1 and h2 at 2
TOGETHER: dict[str, tuple[list[Any], dict[str, tuple[i.Drain, int]]]] = {
    "left, its address another's": ([entry("h1", 1, "left"), entry("n", 1)], {"n": (UP, 1), "h2": (UP, 2)}),
    "drains, its address another's": (
        [entry("h1", 1, "leaving"), entry("n", 1)],
        {"n": (UP, 1), "h2": (UP, 2)},
    ),
    "moves to one that left": ([entry("h1", 2), entry("h2", 2, "left")], {"h1": (UP, 2)}),
    "change places": ([entry("h1", 2), entry("h2", 1)], {"h1": (UP, 2), "h2": (UP, 1)}),
    "moves to one that moves": ([entry("h1", 2), entry("h2", 3)], {"h1": (UP, 2), "h2": (UP, 3)}),
}


@pytest.mark.parametrize("turned", [False, True])
@pytest.mark.parametrize("case", TOGETHER)
def test_hosts_that_change_places_in_one_event_do_so_in_either_order(
    listed: List, case: str, turned: bool
) -> None:
    servers, expected = TOGETHER[case]
    before = {id: listed.actor.hosts[id] for id in listed.actor.hosts}
    listed.say(*(servers[::-1] if turned else servers))
    assert listed.state() == expected
    for id, (standing, _) in before.items():
        where = {port: other for other, (_, port) in expected.items()}.get(standing.address[1], id)
        assert standing.replaced or where == id or standing.drain is GONE
    if "n" in expected:
        assert before["h1"][0].replaced


@pytest.mark.parametrize("begins", [False, True])
def test_a_host_gone_and_back_in_one_batch_is_there_and_one_back_and_gone_is_not(begins: bool) -> None:
    made = List()
    steps = [entry("h1", 1), entry("h1", 1, "left"), entry("h1", 1, started_ms=5)]
    steps += [entry("h2", 2, "left"), entry("h2", 2), entry("h2", 2, "left"), entry("h3", 3), entry("h4", 3)]
    servers = [Server(**step) for step in steps]
    if begins:
        made.actor.begin(Known(8, [BusEvent(n, Topology([s])) for n, s in enumerate(servers)]))
    else:
        made.actor.receive(BusSaid(BusEvent(1, Topology(servers))))
    assert made.state() == {"h1": (UP, 1), "h4": (UP, 3)}
    assert made.module[worker_number("h1")].started == 5
    for id in list(made.actor.hosts):
        made.actor.strike(id, now=True)
    gevent.sleep(0)


def test_a_replaced_host_does_not_come_back_where_its_successor_leaves_in_the_same_batch() -> None:
    made = List()
    steps = [entry("h1", 1), entry("h2", 1), entry("h2", 1, "left")]
    batch = [BusEvent(n, Topology([Server(**step)])) for n, step in enumerate(steps)]
    made.actor.begin(Known(2, batch))
    assert made.state() == {}
