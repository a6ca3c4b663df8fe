"""The council as a running part: its actor, its settings, real disks and links, and real processes."""

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
from harrieryoke.plugins.bench import SilentLog

from .council_nodes import Nodes
from .council_nodes import wait_until as wait_for_nodes
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
TIMEOUT_S = 15.0


def until(condition: Callable[[], object]) -> None:
    by = boot_ms() + 1000 * TIMEOUT_S
    while not condition():
        assert boot_ms() < by, "not in time"
        gevent.sleep(0.005)


def settings(names: str = "abc", voters: str = "abc", **changes: object) -> CouncilSettings:
    member_addresses = {name: f"127.0.0.1:{7801 + n}" for n, name in enumerate(names)}
    council_settings = CouncilSettings("hives", member_addresses, list(voters), DUTIES, **(TIMES | changes))  # type: ignore[arg-type]
    council_settings.check()
    return council_settings


class MemoryDisk:
    """A disk that takes a moment, or fails."""

    def __init__(self, name: str, number: int, is_first: bool) -> None:
        self.replica = ReplicaId(name, number)
        self.recovered = (
            replay_records([bootstrap_snapshot([self.replica])]) if is_first else PersistentState()
        )
        self.failing, self.queued = False, list[PendingWrite]()
        self.on_written: Callable[[int], object] = lambda sequence: None
        self.on_failed: Callable[[str], object] = lambda reason: None

    def save(self, writes: list[PendingWrite]) -> None:
        self.queued += writes
        gevent.spawn_later(0.001, self.sync)

    def sync(self) -> None:
        if self.failing:
            self.on_failed("no space left")
            gevent.spawn_later(0.02, self.sync)
        elif self.queued:
            sequence, self.queued = self.queued[-1].sequence, []
            self.on_written(sequence)


class LocalMembers:
    """Members whose messages take a moment; checks that no two members act on one duty."""

    def __init__(self, names: str, voters: str, **changes: object) -> None:
        council_settings = settings(names, voters, **changes)
        self.disks = {name: MemoryDisk(name, n + 1, n == 0) for n, name in enumerate(names)}
        self.actors = {
            n: CouncilActor(n, council_settings, self.disks[n], SilentLog(), ord(n)) for n in names
        }
        self.fences = {duty: Fence() for duty in DUTIES}
        for name, actor in self.actors.items():
            actor.links, disk = LocalLinks(self, name), self.disks[name]
            disk.on_written, disk.on_failed = actor.records_written, actor.disk_failed
            actor.start()

    def deliver(self, sender: str, recipient: str, message: Message | DutyHandover) -> None:
        gevent.spawn_later(0.001, self.actors[recipient].deliver, self.actors[sender].raft.replica, message)

    def holders(self, duty: str) -> dict[str, int]:
        found = {name: token for name, a in self.actors.items() if (token := a.acting(duty))}
        assert len(found) <= 1, f"{found} act on {duty}"
        assert all(self.fences[duty].admit(token) for token in found.values()), "an old token"
        return found

    def all_held(self) -> bool:
        return all([self.holders(duty) for duty in DUTIES])

    def leader(self) -> CouncilActor:
        """If two lead, the later one; if none does, the first."""
        return max(
            self.actors.values(),
            key=lambda a: (a.raft.is_established_leader(), a.raft.term, not a.finished),
        )


class LocalLinks:
    def __init__(self, members: LocalMembers, name: str) -> None:
        self.members, self.name = members, name

    def send(self, recipient: ReplicaId | None, message: Message | DutyHandover) -> None:
        for name in self.members.actors.keys() - {self.name}:
            if recipient is None or recipient == self.members.disks[name].replica:
                self.members.deliver(self.name, name, message)

    def send_to(self, names: Iterable[str], message: Message | DutyHandover) -> None:
        for name in names:
            self.members.deliver(self.name, name, message)


@pytest.fixture
def members() -> Iterator[LocalMembers]:
    made = LocalMembers("abcd", "abc")
    until(lambda: made.all_held() and len(made.leader().raft.configuration.voters) == 3)
    yield made
    for actor in made.actors.values():
        actor.finished = True
        actor.message_arrived.set()


def settled_holders(members: LocalMembers) -> dict[str, str]:
    """Returns the holder of each duty once all members are present and each duty is with its preferred
    member.
    """
    until(lambda: len(members.leader().duties.sessions) == len(members.actors))
    wanted = {duty: preferred_member(duty, members.leader().duties.sessions) for duty in DUTIES}
    until(lambda: all(list(members.holders(duty)) == [wanted[duty]] for duty in DUTIES))
    return {duty: name for duty, name in wanted.items() if name is not None}


def holder_of_duties(members: LocalMembers, leads: bool) -> tuple[CouncilActor, list[str]]:
    """Returns a voter with duties that is the leader, or that is not."""
    held, leader = settled_holders(members), members.leader().raft
    name = next(n for n in held.values() if n in "abc" and (leads or n != leader.replica.name))
    if leads and name != leader.replica.name:
        leader.transfer_leadership(boot_ms(), members.disks[name].replica)
        until(lambda: members.leader().member == name)
    return members.actors[name], [duty for duty in DUTIES if held[duty] == name]


@pytest.mark.parametrize("leads", [False, True])
def test_a_member_with_a_failing_disk_gives_up_its_duties_until_it_recovers(
    members: LocalMembers, leads: bool
) -> None:
    actor, mine = holder_of_duties(members, leads)
    name = actor.member
    members.disks[name].failing = True
    until(lambda: actor.disk_error)
    assert not any(actor.acting(duty) for duty in DUTIES)
    until(lambda: members.all_held())
    assert members.leader().member != name and "no space left" in status(actor)["ailing"]
    if not leads:  # its renewals still reach the leader, so the others see the reason
        until(lambda: "no space left" in members.leader().duties.sessions[name].unavailable.get(mine[0], ""))
    recovered_at = boot_ms()
    members.disks[name].failing = False
    until(lambda: all(list(members.holders(duty)) == [name] for duty in mine))
    assert boot_ms() - recovered_at >= TIMES["settle_ms"]  # not with its first write
    assert not status(actor)["ailing"]


@pytest.mark.parametrize("leads", [False, True])
def test_a_leaving_member_hands_over_its_duties_while_it_still_acts(
    members: LocalMembers, leads: bool
) -> None:
    actor, _ = holder_of_duties(members, leads)
    longest, last = 0.0, boot_ms()
    actor.leave(TIMES["leave_ms"])
    while not actor.has_left.is_set():
        if members.all_held():
            last = boot_ms()
        longest = max(longest, boot_ms() - last)
        gevent.sleep(0.002)
    assert members.all_held() and longest < TIMES["lease_ms"] / 2
    assert actor.raft.role is not Role.LEADER
    until(lambda: not members.leader().duties.sessions[actor.member].open)


def test_a_member_stops_at_once_and_after_a_stall(
    members: LocalMembers,
) -> None:
    held = settled_holders(members)
    actor = members.actors[held["reconcile"]]
    actor.cannot("reconcile", "behind")
    assert not actor.acting("reconcile")
    actor.can("reconcile")
    token = actor.acting("reconcile")
    actor.disk_failed("no space left")
    assert token and not actor.acting("reconcile")
    actor.records_written(0)
    assert actor.acting("reconcile") == token
    actor.clock = lambda: boot_ms() + TIMES["lease_ms"]  # no turn and no message: only time has passed
    assert not actor.acting("reconcile")


def test_zero_weight_sends_no_renewals_and_keeps_duties_without_a_taker() -> None:
    members = LocalMembers("a", "a")
    until(members.all_held)
    actor = members.actors["a"]
    actor.blocking_send(settings("a", "a", weight=0.0))
    until(lambda: actor.duties.sessions["a"].weight == 0)
    assert members.all_held()
    actor.finished = True
    quiet = LocalMembers("a", "a", weight=0.0)
    until(lambda: quiet.actors["a"].duties.duties)
    assert quiet.actors["a"].lease_holder.last_sequence == 0
    quiet.actors["a"].finished = True


def test_the_mailbox_is_bounded_except_for_disk_results() -> None:
    actor = CouncilActor("a", settings(mailbox=64), MemoryDisk("a", 1, True), SilentLog(), 1)
    for _ in range(70):
        actor.deliver(ReplicaId("b", 2), JoinRequest())
    actor.raft.leader = actor.raft.replica
    assert actor.dropped == 6 and "full" in actor.propose("reconcile", 1, b"x")
    actor.disk_failed("no space left")
    actor.disk_failed("no space left")
    assert len(actor.mailbox) == 65
    while actor.mailbox:
        actor.process_mailbox()
    assert actor.raft.disk_error == "no space left" and not actor.propose("reconcile", 1, b"x")
    assert "too large" in actor.propose("reconcile", 1, b"x" * (MAX_BODY_BYTES + 1))


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
def test_an_invalid_key_of_the_table_is_named(changes: dict[str, object], key: str) -> None:
    with pytest.raises(CouncilError, match=key):
        replace(settings(), **changes).check()


def test_the_keys_that_a_reload_changes() -> None:
    old, new = settings(), settings("abcd", "abd", lease_ms=3000.0, weight=2.0)
    got = old.with_reloadable_keys(new, "a")
    assert (got.voters, got.weight, got.lease_ms) == (["a", "b", "d"], 2.0, 1200.0) and "d" in got.members
    with pytest.raises(CouncilError, match="council.name: c"):
        settings().with_reloadable_keys(settings("abd", "abd"), "c")


# --- real disks and links, in this process ---


class RecordedBodies:
    """The state machine of a duty."""

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


class RunningParts:
    def __init__(self, folder: Path, names: str) -> None:
        self.addresses = {name: free_address() for name in names}
        self.folder, self.parts, self.recorded_bodies = (
            folder,
            dict[str, CouncilPart](),
            dict[str, RecordedBodies](),
        )

    def settings(self, name: str, members: str, voters: str = "abc") -> CouncilSettings:
        table = settings("abc", "abc", folder=str(self.folder / name), compact_every=16)
        table.members = {member: self.addresses[member] for member in members}
        table.voters = list(voters)
        return table

    def start(self, name: str, members: str, voters: str = "abc") -> CouncilPart:
        part = self.parts[name] = CouncilPart(
            self.settings(name, members, voters), name, SilentLog(), ord(name)
        )
        recorded = self.recorded_bodies[name] = RecordedBodies()
        part.add_machine("reconcile", recorded)
        part.open()
        part.start()
        return part

    def held(self) -> bool:
        found = [[n for n, part in self.parts.items() if part.acting(duty)] for duty in DUTIES]
        assert all(len(names) <= 1 for names in found), found
        return all(found)


@pytest.fixture
def parts(tmp_path: Path) -> Iterator[RunningParts]:
    made = RunningParts(tmp_path, "abcd")
    Disk.bootstrap(made.settings("a", "abc").store_settings(), "a", 1000)
    for name in "abc":
        made.start(name, "abc")
    until(made.held)
    yield made
    for part in made.parts.values():
        part.actor.leave(0)
        part.stop()


def commit_bodies(parts: RunningParts, name: str, first: int, last: int) -> None:
    """Proposes each body until it is in the log; a lost one is repeated."""
    recorded = parts.recorded_bodies[name].bodies
    for n in range(first, last):
        body = b"%d" % n
        while body not in recorded:
            parts.parts[name].ask("reconcile", body)
            by = boot_ms() + 500
            while body not in recorded and boot_ms() < by:
                gevent.sleep(0.001)


def test_a_configuration_check_does_not_touch_the_folder(tmp_path: Path) -> None:
    CouncilPart(settings(folder=str(tmp_path / "a")), "a", SilentLog(), 1)
    assert not (tmp_path / "a").exists()
    with pytest.raises(CouncilError, match="council.name: x"):
        CouncilPart(settings(), "x", SilentLog(), 1)


def test_a_restarted_and_a_new_member_receive_the_committed_entries(parts: RunningParts) -> None:
    assert min(duty.token for duty in parts.parts["a"].actor.duties.duties.values() if duty.holder) > 1000
    commit_bodies(parts, "b", 0, 40)
    until(lambda: parts.parts["c"].actor.raft.snapshot.index > 1016)
    parts.parts.pop("c").stop()
    commit_bodies(parts, "b", 40, 60)
    parts.start("c", "abc")
    until(lambda: parts.recorded_bodies["c"].bodies == parts.recorded_bodies["b"].bodies and parts.held())
    for name in "abc":  # replaces one voter by a new one through a reloaded file
        parts.parts[name].reload(parts.settings(name, "abcd", "abd"))
    new = parts.start("d", "abcd", "abd")
    until(lambda: new.status()["voters"] == ["a", "b", "d"])
    until(lambda: parts.recorded_bodies["d"].bodies == parts.recorded_bodies["b"].bodies)
    until(lambda: new.status()["sessions"].keys() == set("abcd") and parts.held())
    assert new.actor.raft.snapshot.index > 1000


# --- real processes ---

TABLE = "\n".join(
    ['installation = "hives"', 'voters = ["a", "b", "c"]', *(f"{k} = {v}" for k, v in TIMES.items())]
)


@pytest.fixture
def nodes(tmp_path: Path) -> Iterator[Nodes]:
    made = Nodes(tmp_path, "abc", TABLE, DUTIES)
    try:
        made.start()
        wait_for_nodes(lambda: made.all_held() and made.all_in_place(), "each duty is where it belongs")
        yield made
        assert made.check_observations() > 0
        for node in made:
            assert "greenlet-died" not in "".join(node.lines), node.lines
    finally:
        made.stop()


def test_processes_that_stall_crash_lose_their_disk_fill_it_and_leave(nodes: Nodes) -> None:
    stalled = next(node for node in nodes if node.acting_duties() and node is not nodes.leader())
    stalled.send(signal.SIGSTOP)
    wait_for_nodes(lambda: nodes.all_held(stalled), "the duties of a stalled member are held by others")
    stalled.send(signal.SIGCONT)
    wait_for_nodes(nodes.all_in_place, "it takes them back")

    dead = nodes.leader()
    assert dead is not None
    dead.end(signal.SIGKILL)
    wait_for_nodes(lambda: nodes.leader() and nodes.all_held(dead), "the others go on without the leader")
    shutil.rmtree(dead.folder / "council-data")
    dead.start()
    wait_for_nodes(
        lambda: nodes.all_in_place() and dead.last_status.get("voters") == ["a", "b", "c"],
        "it votes with a new disk",
    )
    assert len({node.last_status["disk_number"] for node in nodes}) == 3

    full = next(node for node in nodes if node.acting_duties())
    full.limit_file_size(16)
    wait_for_nodes(lambda: nodes.all_held(full), "others hold what it gave up")
    assert "File too large" in full.last_status["ailing"] and not full.acting_duties()
    full.limit_file_size(-1)
    wait_for_nodes(nodes.all_in_place, "it takes them back after recovery")

    drained = next(node for node in nodes if node.acting_duties())
    drained.write(drained.table.replace("[council]", "[council]\nweight = 0.0"))
    drained.send(signal.SIGHUP)
    wait_for_nodes(lambda: nodes.all_held(drained) and not drained.acting_duties(), "a new file drains it")
    assert not any("reload-failed" in line or "restart is needed" in line for line in drained.lines)

    leaving = next(node for node in nodes if node.acting_duties())
    mine = leaving.acting_duties()
    assert leaving.end(signal.SIGTERM) == 0
    lines = "".join(leaving.lines)
    assert all(f"duty-left {duty}: handed over" in lines for duty in mine) and "not-left" not in lines
    wait_for_nodes(lambda: nodes.all_held(leaving), "others hold what it left")
