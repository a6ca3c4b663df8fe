"""The council as a running part: its actor, its settings, real disks and links, real processes."""

from __future__ import annotations

import shutil
import signal
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import gevent
import pytest
from msgspec.structs import replace

from harrieryoke.council.actor import CouncilActor, boot_ms
from harrieryoke.council.decide.duties import MAX_BODY_BYTES
from harrieryoke.council.decide.lease import DutyHandover, Fence
from harrieryoke.council.decide.lease_manager import preferred_member
from harrieryoke.council.decide.log import PersistentState, bootstrap_snapshot, replay_records
from harrieryoke.council.decide.messages import JoinRequest, Message, PendingWrite, ReplicaId
from harrieryoke.council.decide.raft import Role
from harrieryoke.council.disk import Disk
from harrieryoke.council.part import CouncilPart
from harrieryoke.council.settings import CouncilError, CouncilSettings
from harrieryoke.council.status import status
from harrieryoke.plugins.bench import Quiet

from .council_nodes import Nodes
from .council_nodes import until as seen
from .scenario import free_address

DUTIES = ["reconcile", "budget:kef", "budget:bon", "calendar:sahel"]
TIMES = {
    "lease_ms": 1200.0,
    "election_ms": 250.0,
    "heartbeat_ms": 50.0,
    "stall_ms": 400.0,
    "silent_ms": 1000.0,
    "settle_ms": 400.0,
    "leave_ms": 1500.0,
}
PATIENCE = 15.0  # seconds until what should come soon is held to have failed


def until(what: Callable[[], object]) -> None:
    by = boot_ms() + 1000 * PATIENCE
    while not what():
        assert boot_ms() < by, "not in time"
        gevent.sleep(0.005)


def settings(names: str = "abc", voters: str = "abc", **changes: object) -> CouncilSettings:
    members = {name: f"127.0.0.1:{7801 + n}" for n, name in enumerate(names)}
    told = CouncilSettings("hives", members, list(voters), DUTIES, **(TIMES | changes))  # type: ignore[arg-type]
    told.check()
    return told


class Memory:
    """A disk that takes a moment, or nothing."""

    def __init__(self, name: str, number: int, first: bool) -> None:
        self.replica = ReplicaId(name, number)
        self.recovered = replay_records([bootstrap_snapshot([self.replica])]) if first else PersistentState()
        self.full, self.waiting = False, list[PendingWrite]()
        self.done: Callable[[int], object] = lambda number: None
        self.failed: Callable[[str], object] = lambda why: None

    def save(self, saves: list[PendingWrite]) -> None:
        self.waiting += saves
        gevent.spawn_later(0.001, self.sync)

    def sync(self) -> None:
        if self.full:
            self.failed("no space left")
            gevent.spawn_later(0.02, self.sync)
        elif self.waiting:
            number, self.waiting = self.waiting[-1].sequence, []
            self.done(number)


class Town:
    """Members whose messages take a moment, and one who looks all the time whether two act on one duty."""

    def __init__(self, names: str, voters: str, **changes: object) -> None:
        told = settings(names, voters, **changes)
        self.disks = {name: Memory(name, n + 1, n == 0) for n, name in enumerate(names)}
        self.actors = {n: CouncilActor(n, told, self.disks[n], Quiet(), ord(n)) for n in names}
        self.fences = {duty: Fence() for duty in DUTIES}
        for name, actor in self.actors.items():
            actor.ways, disk = Paths(self, name), self.disks[name]
            disk.done, disk.failed = actor.disk_done, actor.disk_failed
            actor.start()

    def deliver(self, sender: str, to: str, message: Message | DutyHandover) -> None:
        gevent.spawn_later(0.001, self.actors[to].hear, self.actors[sender].agreement.replica, message)

    def holders(self, duty: str) -> dict[str, int]:
        found = {name: token for name, a in self.actors.items() if (token := a.acting(duty))}
        assert len(found) <= 1, f"{found} act on {duty}"
        assert all(self.fences[duty].admit(token) for token in found.values()), "an old token"
        return found

    def all_held(self) -> bool:
        return all([self.holders(duty) for duty in DUTIES])

    def leader(self) -> CouncilActor:
        """Where two think they lead, the later; where none does, the first."""
        return max(
            self.actors.values(),
            key=lambda a: (a.agreement.is_established_leader(), a.agreement.term, not a.finished),
        )


class Paths:
    def __init__(self, town: Town, me: str) -> None:
        self.town, self.me = town, me

    def send(self, to: ReplicaId | None, message: Message | DutyHandover) -> None:
        for name in self.town.actors.keys() - {self.me}:
            if to is None or to == self.town.disks[name].replica:
                self.town.deliver(self.me, name, message)

    def send_to(self, names: Iterable[str], message: Message | DutyHandover) -> None:
        for name in names:
            self.town.deliver(self.me, name, message)


@pytest.fixture
def town() -> Iterator[Town]:
    made = Town("abcd", "abc")
    until(lambda: made.all_held() and len(made.leader().agreement.configuration.voters) == 3)
    yield made
    for actor in made.actors.values():
        actor.finished = True
        actor.message_arrived.set()


def settled(town: Town) -> dict[str, str]:
    """Who holds what, when all are there and each duty is where it belongs."""
    until(lambda: len(town.leader().duties.sessions) == len(town.actors))
    wanted = {duty: preferred_member(duty, town.leader().duties.sessions) for duty in DUTIES}
    until(lambda: all(list(town.holders(duty)) == [wanted[duty]] for duty in DUTIES))
    return {duty: name for duty, name in wanted.items() if name is not None}


def holder(town: Town, leads: bool) -> tuple[CouncilActor, list[str]]:
    """A voter with duties, which leads or does not."""
    held, led = settled(town), town.leader().agreement
    name = next(n for n in held.values() if n in "abc" and (leads or n != led.replica.name))
    if leads and name != led.replica.name:
        led.transfer_leadership(boot_ms(), town.disks[name].replica)
        until(lambda: town.leader().me == name)
    return town.actors[name], [duty for duty in DUTIES if held[duty] == name]


@pytest.mark.parametrize("leads", [False, True])
def test_a_member_whose_disk_takes_nothing_gives_up_until_it_is_well(town: Town, leads: bool) -> None:
    actor, mine = holder(town, leads)
    name = actor.me
    town.disks[name].full = True
    until(lambda: actor.failing)
    assert not any(actor.acting(duty) for duty in DUTIES)
    until(lambda: town.all_held())
    assert town.leader().me != name and "no space left" in status(actor)["ailing"]
    if not leads:  # its words still reach the leader: the others see why
        until(lambda: "no space left" in town.leader().duties.sessions[name].unavailable.get(mine[0], ""))
    well = boot_ms()
    town.disks[name].full = False
    until(lambda: all(list(town.holders(duty)) == [name] for duty in mine))
    assert boot_ms() - well >= TIMES["settle_ms"]  # not with its first write
    assert not status(actor)["ailing"]


@pytest.mark.parametrize("leads", [False, True])
def test_who_leaves_hands_its_duties_on_while_it_still_acts(town: Town, leads: bool) -> None:
    actor, _ = holder(town, leads)
    longest, last = 0.0, boot_ms()
    actor.leave(TIMES["leave_ms"])
    while not actor.gone.is_set():
        if town.all_held():
            last = boot_ms()
        longest = max(longest, boot_ms() - last)
        gevent.sleep(0.002)
    assert town.all_held() and longest < TIMES["lease_ms"] / 2
    assert actor.agreement.role is not Role.LEADER
    until(lambda: not town.leader().duties.sessions[actor.me].open)


def test_it_stops_in_the_same_step_and_after_a_stall_does_nothing_on_what_was_true(town: Town) -> None:
    held = settled(town)
    actor = town.actors[held["reconcile"]]
    actor.cannot("reconcile", "behind")
    assert not actor.acting("reconcile")
    actor.can("reconcile")
    token = actor.acting("reconcile")
    actor.disk_failed("no space left")
    assert token and not actor.acting("reconcile")
    actor.disk_done(0)
    assert actor.acting("reconcile") == token
    actor.clock = lambda: boot_ms() + TIMES["lease_ms"]  # no turn, no message: only the time that was lost
    assert not actor.acting("reconcile")


def test_who_shall_hold_nothing_says_nothing_and_who_drains_keeps_what_nobody_takes() -> None:
    town = Town("a", "a")
    until(town.all_held)
    actor = town.actors["a"]
    actor.blocking_send(settings("a", "a", weight=0.0))
    until(lambda: actor.duties.sessions["a"].weight == 0)
    assert town.all_held()
    actor.finished = True
    quiet = Town("a", "a", weight=0.0)
    until(lambda: quiet.actors["a"].duties.duties)
    assert quiet.actors["a"].holder.last_sequence == 0
    quiet.actors["a"].finished = True


def test_the_mailbox_is_bounded_and_the_disk_is_heard_all_the_same() -> None:
    actor = CouncilActor("a", settings(mailbox=64), Memory("a", 1, True), Quiet(), 1)
    for _ in range(70):
        actor.hear(ReplicaId("b", 2), JoinRequest())
    actor.agreement.leader = actor.agreement.replica
    assert actor.dropped == 6 and "full" in actor.propose("reconcile", 1, b"x")
    actor.disk_failed("no space left")
    actor.disk_failed("no space left")
    assert len(actor.mailbox) == 65
    while actor.mailbox:
        actor.process_mailbox()
    assert actor.agreement.disk_error == "no space left" and not actor.propose("reconcile", 1, b"x")
    assert "too many" in actor.propose("reconcile", 1, b"x" * (MAX_BODY_BYTES + 1))


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"voters": ["a", "b"]}, "council.voters: must have 1, or 3 to 7"),
        ({"voters": ["a", "b", "x"]}, "council.voters: x"),
        ({"voters": ["a", "a", "b"]}, "council.voters"),
        ({"members": {"a": "here"}}, "council.members.a: "),
        ({"members": {}}, "council.members: "),
        ({"members": {"a": "h:1", "b": "h:1", "c": "h:2"}}, "council.members.b: a has"),
        ({"installation": ""}, "council.installation"),
        ({"listen": "x"}, "council.listen"),
        ({"name": "x"}, "council.name: x"),
        ({"duties": ["a", "a"]}, "council.duties"),
        ({"heartbeat_ms": 100.0}, "council.heartbeat_ms: must be at most 83"),
        ({"lease_ms": 400.0}, "council.election_ms: must be at most 200"),
        ({"drift": 0.5}, "council.drift: must be 0 to 0.1"),
        ({"weight": -1.0}, "council.weight"),
        ({"store": {"sink": 1}}, "council.store: "),
        ({"store": {"folder": "x"}}, "council.store.folder"),
        ({"store": {"sync": "often"}}, "council.store: store.sync"),
    ],
)
def test_a_wrong_key_of_the_table_is_named(changes: dict[str, object], key: str) -> None:
    with pytest.raises(CouncilError, match=key):
        replace(settings(), **changes).check()


def test_what_a_new_table_may_change_at_once() -> None:
    old, new = settings(), settings("abcd", "abd", lease_ms=3000.0, weight=2.0)
    got = old.with_reloadable_keys(new, "a")
    assert (got.voters, got.weight, got.lease_ms) == (["a", "b", "d"], 2.0, 1200.0) and "d" in got.members
    with pytest.raises(CouncilError, match="council.name: c"):
        settings().with_reloadable_keys(settings("abd", "abd"), "c")


# --- real disks and links, in this process ---


class Tally:
    """A duty's machine."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    def apply(self, index: int, token: int, body: bytes) -> bool:
        self.bodies.append(body)
        return True

    def apply_unfenced(self, index: int, body: bytes) -> bool:
        return self.apply(index, 0, body)

    def dump(self) -> bytes:
        return b" ".join(self.bodies)

    def load(self, data: bytes) -> None:
        self.bodies = data.split()


class Parts:
    def __init__(self, folder: Path, names: str) -> None:
        self.addresses = {name: free_address() for name in names}
        self.folder, self.parts, self.tallies = folder, dict[str, CouncilPart](), dict[str, Tally]()

    def told(self, name: str, members: str, voters: str = "abc") -> CouncilSettings:
        table = settings("abc", "abc", folder=str(self.folder / name), compact_every=16)
        table.members = {member: self.addresses[member] for member in members}
        table.voters = list(voters)
        return table

    def start(self, name: str, members: str, voters: str = "abc") -> CouncilPart:
        part = self.parts[name] = CouncilPart(self.told(name, members, voters), name, Quiet(), ord(name))
        tally = self.tallies[name] = Tally()
        part.add_machine("reconcile", tally)
        part.open()
        part.start()
        return part

    def held(self) -> bool:
        found = [[n for n, part in self.parts.items() if part.acting(duty)] for duty in DUTIES]
        assert all(len(names) <= 1 for names in found), found
        return all(found)


@pytest.fixture
def parts(tmp_path: Path) -> Iterator[Parts]:
    made = Parts(tmp_path, "abcd")
    Disk.bootstrap(made.told("a", "abc").store_settings(), "a", 1000)
    for name in "abc":
        made.start(name, "abc")
    until(made.held)
    yield made
    for part in made.parts.values():
        part.actor.leave(0)
        part.stop()


def agree(parts: Parts, name: str, first: int, last: int) -> None:
    """Asks until all are in the log; one that is lost is repeated."""
    tally = parts.tallies[name].bodies
    for n in range(first, last):
        body = b"%d" % n
        while body not in tally:
            parts.parts[name].ask("reconcile", body)
            by = boot_ms() + 500
            while body not in tally and boot_ms() < by:
                gevent.sleep(0.001)


def test_a_configuration_is_checked_without_a_touch_of_the_folder(tmp_path: Path) -> None:
    CouncilPart(settings(folder=str(tmp_path / "a")), "a", Quiet(), 1)
    assert not (tmp_path / "a").exists()
    with pytest.raises(CouncilError, match="council.name: x"):
        CouncilPart(settings(), "x", Quiet(), 1)


def test_a_member_comes_back_with_what_was_agreed_and_a_new_one_gets_it(parts: Parts) -> None:
    assert min(duty.token for duty in parts.parts["a"].actor.duties.duties.values() if duty.holder) > 1000
    agree(parts, "b", 0, 40)
    until(lambda: parts.parts["c"].actor.agreement.snapshot.index > 1016)
    parts.parts.pop("c").stop()
    agree(parts, "b", 40, 60)
    parts.start("c", "abc")
    until(lambda: parts.tallies["c"].bodies == parts.tallies["b"].bodies and parts.held())
    for name in "abc":  # a new voter in the place of one, by a file that is read anew
        parts.parts[name].reload(parts.told(name, "abcd", "abd"))
    new = parts.start("d", "abcd", "abd")
    until(lambda: new.status()["voters"] == ["a", "b", "d"])
    until(lambda: parts.tallies["d"].bodies == parts.tallies["b"].bodies)
    until(lambda: new.status()["sessions"].keys() == set("abcd") and parts.held())
    assert new.actor.agreement.snapshot.index > 1000


# --- real processes ---

TABLE = "\n".join(
    ['installation = "hives"', 'voters = ["a", "b", "c"]', *(f"{k} = {v}" for k, v in TIMES.items())]
)


@pytest.fixture
def nodes(tmp_path: Path) -> Iterator[Nodes]:
    made = Nodes(tmp_path, "abc", TABLE, DUTIES)
    try:
        made.start()
        seen(lambda: made.held() and made.home(), "each duty is where it belongs")
        yield made
        assert made.judge() > 0
        for node in made:
            assert "greenlet-died" not in "".join(node.lines), node.lines
    finally:
        made.stop()


def test_processes_that_stall_die_lose_their_disk_fill_it_and_leave(nodes: Nodes) -> None:
    stalled = next(node for node in nodes if node.acts() and node is not nodes.leader())
    stalled.send(signal.SIGSTOP)
    seen(lambda: nodes.held(stalled), "a stalled one's duties are held by others")
    stalled.send(signal.SIGCONT)
    seen(nodes.home, "it takes them back")

    dead = nodes.leader()
    assert dead is not None
    dead.end(signal.SIGKILL)
    seen(lambda: nodes.leader() and nodes.held(dead), "the others go on without the leader")
    shutil.rmtree(dead.folder / "council-data")
    dead.start()
    seen(lambda: nodes.home() and dead.told.get("voters") == ["a", "b", "c"], "it votes with a new disk")
    assert len({node.told["disk_number"] for node in nodes}) == 3

    full = next(node for node in nodes if node.acts())
    full.limit(16)
    seen(lambda: nodes.held(full), "others hold what it gave up")
    assert "File too large" in full.told["ailing"] and not full.acts()
    full.limit(-1)
    seen(nodes.home, "it takes them back when it is well")

    drained = next(node for node in nodes if node.acts())
    drained.write(drained.table.replace("[council]", "[council]\nweight = 0.0"))
    drained.send(signal.SIGHUP)
    seen(lambda: nodes.held(drained) and not drained.acts(), "a new file drains it")
    assert not any("reload-failed" in line or "restart is needed" in line for line in drained.lines)

    leaving = next(node for node in nodes if node.acts())
    mine = leaving.acts()
    assert leaving.end(signal.SIGTERM) == 0
    lines = "".join(leaving.lines)
    assert all(f"duty-left {duty}: handed on" in lines for duty in mine) and "not-left" not in lines
    seen(lambda: nodes.held(leaving), "others hold what it left")
