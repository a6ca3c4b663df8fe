"""Bans while several processes of an upgrade run: operators call any of them, and changes cross."""

from __future__ import annotations

import random
from collections import deque
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest
from gevent.event import AsyncResult
from hypothesis import given
from hypothesis import strategies as st

from harrieryoke.limits import Limits
from harrieryoke.net.bans import BanTable
from harrieryoke.net.hostlist import Ban, BusEvent, EventReceived, Server, Topology
from harrieryoke.upgrade.link import Upgrade
from harrieryoke.upgrade.messages import PEER_MESSAGE_DECODER, BanChange, Link, PeerMessageReceived

from .test_bans import create_list
from .test_handover import SilentLog, StubMailbox

IDS = "abc"
OPERATIONS = 40
MOST_DELIVERIES = 1000  # changes that go back and forth without end exceed it


class Wire:
    """One direction of a link: the lines that were sent and have not arrived."""

    def __init__(self) -> None:
        self.lines: deque[bytes] = deque()
        self.sent = 0

    def sendall(self, data: bytes) -> None:
        self.lines.extend(data.splitlines())
        self.sent += 1

    def close(self) -> None: ...


class Process:
    """The list of model hosts and the upgrade of one process, without greenlets."""

    def __init__(self, folder: Path, name: str) -> None:
        stub: Any = StubMailbox()
        self.hosts = create_list([])
        self.upgrade = Upgrade(folder / name, stub, stub, self.hosts, Limits(), SilentLog())
        servers = [Server(id, f"127.0.0.1:{n + 1}", "active") for n, id in enumerate(IDS)]
        self.hosts.receive(EventReceived(BusEvent(1, Topology(servers, full=True))))

    def call(self, id: str, banned: bool) -> None:
        """An operator takes a host out, or puts it back."""
        self.hosts.receive(Ban(id, banned, AsyncResult()))
        self.upgrade.process_mailbox()

    def receive(self, link: Link, line: bytes) -> None:
        self.upgrade.try_send(PeerMessageReceived(link, PEER_MESSAGE_DECODER.decode(line)))
        self.upgrade.process_mailbox()
        self.hosts.process_mailbox()
        self.upgrade.process_mailbox()


class Chain:
    """Processes of which each one is linked to the next: an upgrade during an upgrade."""

    def __init__(self, folder: Path, count: int) -> None:
        self.processes = [Process(folder, f"p{n}") for n in range(count)]
        self.wires: list[tuple[Wire, Process, Link]] = []  # with the receiver, and its end of the link
        for one, other in zip(self.processes, self.processes[1:], strict=False):
            link_of_one, link_of_other = Link(Wire()), Link(Wire())
            one.upgrade.links.append(link_of_one)
            other.upgrade.links.append(link_of_other)
            self.wires.append((link_of_one.sock, other, link_of_other))
            self.wires.append((link_of_other.sock, one, link_of_one))

    def deliver(self, rng: random.Random) -> bool:
        """Deliver the next line of one of the wires; return whether there was any."""
        waiting = [each for each in self.wires if each[0].lines]
        if waiting:
            wire, process, link = rng.choice(waiting)
            process.receive(link, wire.lines.popleft())
        return bool(waiting)

    def deliver_all(self, rng: random.Random) -> None:
        for _ in range(MOST_DELIVERIES):
            if not self.deliver(rng):
                return
        raise AssertionError("the processes tell each other changes without end")

    def close(self) -> None:
        for process in self.processes:
            for id in list(process.hosts.hosts):
                process.hosts.remove_host(id, immediately=True)
        gevent.sleep(0)


@pytest.mark.parametrize("count", [2, 3])
@pytest.mark.parametrize("seed", range(30))
def test_all_processes_end_with_what_the_last_call_for_each_host_said(
    seed: int, count: int, tmp_path: Path
) -> None:
    """Guards against changes that echo between processes, and undo later ones."""
    rng, chain = random.Random(seed), Chain(tmp_path, count)
    said, calls = dict[str, bool](), 0
    for _ in range(OPERATIONS):
        if rng.random() < 0.5:
            id, banned = rng.choice(IDS), rng.random() < 0.5
            rng.choice(chain.processes).call(id, banned)
            said[id], calls = banned, calls + 1
        else:
            chain.deliver(rng)
    chain.deliver_all(rng)
    expected = sorted(id for id, banned in said.items() if banned)
    assert [process.hosts.bans() for process in chain.processes] == [expected] * count
    assert sum(wire.sent for wire, _, _ in chain.wires) <= calls * (count - 1)
    chain.close()


def test_changes_of_an_older_process_hold_and_are_not_sent_back(tmp_path: Path) -> None:
    """Guards against an endless exchange with a process that gives its changes no version."""
    chain = Chain(tmp_path, 2)
    _, process, link = chain.wires[0]
    for on in (True, False, True):
        process.receive(link, msgspec.json.encode(BanChange("a", on)))
    assert process.hosts.bans() == ["a"] and not link.sock.lines
    chain.close()


def test_changes_wait_for_room_in_a_full_mailbox(tmp_path: Path) -> None:
    """Guards against a change that the other process never hears of."""
    chain = Chain(tmp_path, 2)
    process = chain.processes[0]
    while process.upgrade.try_send(None):
        pass
    process.hosts.receive(Ban("a", True, AsyncResult()))
    process.upgrade.process_mailbox()
    chain.deliver_all(random.Random(1))
    assert chain.processes[1].hosts.bans() == ["a"]
    chain.close()


CHANGES = st.lists(st.tuples(st.sampled_from(IDS), st.booleans(), st.integers(1, 9)), max_size=12)


@given(CHANGES, st.randoms(use_true_random=False))
def test_the_order_of_arrival_does_not_matter(
    changes: list[tuple[str, bool, int]], rng: random.Random
) -> None:
    one, other = BanTable(100), BanTable(100)
    shuffled = list(changes)
    rng.shuffle(shuffled)
    for change in changes:
        one.apply(*change)
    for change in shuffled:
        other.apply(*change)
    assert (one.banned, one.versions) == (other.banned, other.versions)


def test_a_change_on_its_way_at_the_handover_does_not_undo_a_later_one() -> None:
    """Guards against a new process that knows the bans and not when they were lifted."""
    table = BanTable(100)
    table.load(["a"], {"a": 5, "b": 7})
    assert not table.apply("b", True, 6) and not table.apply("a", False, 4)
    assert table.apply("b", True, 8) and table.banned == {"a", "b"}


def test_the_versions_that_are_kept_are_bounded_and_bans_are_all_kept() -> None:
    table = BanTable(3)
    for n in range(10):
        table.apply(f"h{n}", True, n + 1)
        table.apply(f"h{n}", n < 5, 2 * n + 20)
    assert table.banned == {f"h{n}" for n in range(5)} and len(table.versions) <= 5 + 1
