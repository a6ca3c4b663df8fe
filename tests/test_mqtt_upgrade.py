"""Upgrades of an invoker with MQTT triggers: the session at the broker has one owner at a time."""

from __future__ import annotations

import base64
import contextlib
import json
import signal
import socket
import subprocess
import time
from collections import Counter, deque
from collections.abc import Iterator
from pathlib import Path

import pytest

from harrieryoke.net import frames

from .broker import Broker, Publication, until
from .scenario import Scene
from .test_mqtt import HARVEST, TEMPLATE, WEIGHT, AutoHost

WORK_S = 0.15  # a trigger is in the hands of a process for so long
LOST_SESSION = "it may have run"


class WorkingHost(AutoHost):
    """A model host that answers a request after `work_s`, and records what ran."""

    work_s = WORK_S

    def __init__(self, listening: socket.socket, rack: dict[str, float]) -> None:
        super().__init__(listening, rack)
        self.ran: list[bytes] = []
        self.due: deque[tuple[float, socket.socket, frames.Frame]] = deque()

    def frame(self, conn: socket.socket, f: frames.Frame) -> None:
        if f.code == frames.REQUEST and f.fields.get("asset", "") in self.loaded:
            self.ran.append(f.body)
            self.due.append((time.monotonic() + self.work_s, conn, f))
        else:
            super().frame(conn, f)

    def step(self) -> None:
        super().step()
        while self.due and self.due[0][0] <= time.monotonic():
            _, conn, f = self.due.popleft()
            if conn in self.conns:
                super().frame(conn, f)


class HeartbeatBus:
    """An event bus without events, which confirms the list every half second."""

    def __init__(self, listening: socket.socket) -> None:
        self.listening, self.followers, self.next_at = listening, list[socket.socket](), 0.0
        listening.setblocking(False)

    def sockets(self) -> list[socket.socket]:
        return [self.listening]

    def step(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self.followers.append(self.listening.accept()[0])
        if time.monotonic() >= self.next_at:
            self.next_at = time.monotonic() + 0.5
            for follower in list(self.followers):
                try:
                    follower.sendall(b"1\n")
                except OSError:
                    self.followers.remove(follower)


class Gateway:
    """Publishes triggers of both classes at an interval, each with content and a key of its own."""

    def __init__(self, broker: Broker) -> None:
        self.broker, self.published, self.next_at, self.publishing = broker, 0, 0.0, True
        self.interval_s = 0.02

    def sockets(self) -> list[socket.socket]:
        return []

    def step(self) -> None:
        if self.publishing and time.monotonic() >= self.next_at:
            self.next_at = time.monotonic() + self.interval_s
            self.publish(HARVEST if self.published % 2 else WEIGHT)

    def publish(self, topic: str) -> None:
        payload = json.dumps({"reading": f"r{self.published}", "kg": 41}).encode()
        self.broker.queue.append(Publication(topic, payload))
        self.published += 1


class UpgradeScene:
    """An invoker with MQTT triggers, two hosts of a rack each, a broker and a gateway."""

    def __init__(self, folder: Path, version: str) -> None:
        operator = TEMPLATE.replace('version = "5"', f'version = "{version}"').replace(
            "load_ms = 800", 'load_ms = 800\nresponse = "out/{coop}"'
        )
        self.broker = Broker(version)
        self.scene = Scene(folder, 2, operator, self.broker, upgradable=True)
        listeners = [party.listening for party in self.scene.hosts.values()]
        self.hosts = [WorkingHost(listening, {}) for listening in listeners if listening is not None]
        self.gateway = Gateway(self.broker)
        bus = self.scene.parties["bus"].listening
        assert bus is not None
        self.parts = [self.broker, self.gateway, HeartbeatBus(bus), *self.hosts]

    def until(self, done: object) -> None:
        until(done, *self.parts)

    def until_logged(self, words: str, times: int = 1) -> None:
        self.until(lambda: self.scene.log().count(words) >= times)

    def upgrade(self) -> subprocess.Popen[bytes]:
        """Start the next process, wait until it serves, and return the old one."""
        old = self.scene.launch_next()
        self.until_logged("started", len(self.scene.predecessors) + 1)
        return old

    def end_process(self, process: subprocess.Popen[bytes], number: signal.Signals = signal.SIGTERM) -> None:
        process.send_signal(number)
        self.until(lambda: process.poll() is not None)

    def take_more(self, count: int) -> None:
        """Wait until the broker has that many more acknowledgements."""
        wanted = self.broker.acked + count
        self.until(lambda: self.broker.acked >= wanted)

    def finish(self) -> None:
        """Publish no more, and wait until all that was published is acknowledged and answered."""
        self.gateway.publishing = False
        self.until(
            lambda: self.broker.acked >= self.gateway.published
            and len(self.broker.answers) >= self.gateway.published
        )

    def outcomes(self) -> Counter[str]:
        return Counter(json.loads(answer.payload)["outcome"] for answer in self.broker.answers)

    def served(self) -> Counter[bytes]:
        """Count the served outcomes of each payload."""
        replies = [json.loads(answer.payload) for answer in self.broker.answers]
        return Counter(base64.b64decode(reply["body"]) for reply in replies if "body" in reply)

    def ran(self) -> Counter[bytes]:
        """Count the runs of each payload."""
        return Counter(payload for host in self.hosts for payload in host.ran)


@pytest.fixture
def scene(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[UpgradeScene]:
    """Return a scene of the MQTT version that the test names, by default 5."""
    upgrade_scene = UpgradeScene(tmp_path, getattr(request, "param", "5"))
    yield upgrade_scene
    assert "greenlet-died" not in upgrade_scene.scene.end()


@pytest.mark.parametrize("scene", ["5", "3.1.1"], indirect=True)
def test_upgrades_under_load_answer_each_trigger_once_and_run_each_key_once(scene: UpgradeScene) -> None:
    """Guards against two processes that put each other out at the broker and both call what is in hand."""
    scene.take_more(15)
    for _ in range(2):
        old = scene.upgrade()
        scene.take_more(25)
        scene.end_process(old)
        scene.take_more(15)
    scene.finish()
    assert scene.broker.taken_over == 0 and scene.broker.connections == 3
    assert scene.outcomes() == {"served": scene.gateway.published}
    assert set(scene.served().values()) == {1} and set(scene.ran().values()) == {1}


def test_a_trigger_in_hand_is_answered_by_the_old_process_and_not_called_by_the_new_one(
    scene: UpgradeScene,
) -> None:
    """Guards against a new process that connects while the old one still owes an answer."""
    scene.gateway.publishing = False
    scene.gateway.publish(HARVEST)
    for host in scene.hosts:
        host.work_s = 2.0
    scene.until(lambda: scene.ran().total() == 1)
    scene.upgrade()
    scene.gateway.publish(WEIGHT)
    scene.until_logged("broker-released")
    assert len(scene.broker.answers) == 1 and scene.broker.connections == 1
    scene.finish()
    assert scene.outcomes() == {"served": 2} and set(scene.ran().values()) == {1}


def test_a_connection_lost_while_the_session_is_released_repeats_nothing(scene: UpgradeScene) -> None:
    """Guards against an old process that forgets what it holds when its last connection breaks off."""
    scene.gateway.publishing = False
    scene.gateway.publish(HARVEST)
    for host in scene.hosts:
        host.work_s = 1.5
    scene.until(lambda: scene.ran().total() == 1)
    scene.upgrade()
    scene.until_logged("taken-over")
    scene.broker.drop()
    scene.gateway.publish(HARVEST)
    scene.finish()
    assert scene.outcomes() == {"served": 2} and set(scene.ran().values()) == {1}


def test_a_key_that_the_old_process_answered_is_not_called_by_the_new_one(scene: UpgradeScene) -> None:
    """Guards against a gateway's repeat that runs again because an upgrade came between."""
    scene.gateway.publishing = False
    scene.gateway.publish(HARVEST)
    scene.finish()
    scene.end_process(scene.upgrade())
    first = scene.broker.answers[0]
    scene.broker.queue.append(Publication(HARVEST, b'{"reading":"r0","kg":41}'))
    scene.until(lambda: len(scene.broker.answers) == 2)
    assert json.loads(scene.broker.answers[1].payload) == json.loads(first.payload)
    assert scene.ran().total() == 1


def test_an_old_process_that_is_killed_leaves_the_session_to_the_new_one(scene: UpgradeScene) -> None:
    """Guards against a new process that awaits a session for ever, or repeats a key that may have run."""
    scene.gateway.publishing = False
    for topic in (HARVEST, WEIGHT):
        scene.gateway.publish(topic)
    for host in scene.hosts:
        host.work_s = 2.0
    scene.until(lambda: scene.ran().total() == 2)
    old = scene.upgrade()
    assert scene.broker.connections == 1
    scene.end_process(old, signal.SIGKILL)
    scene.finish()
    assert scene.outcomes() == {"served": 1, "failed": 1}
    assert any(LOST_SESSION in answer.payload.decode() for answer in scene.broker.answers)
    assert scene.ran()[b'{"reading": "r0", "kg": 41}'] == 1


@pytest.mark.parametrize("work_s", [WORK_S, 2.0])
def test_an_old_process_serves_triggers_again_if_the_new_one_is_killed(
    scene: UpgradeScene, work_s: float
) -> None:
    """Guards against triggers that nobody takes after the process that had the session has ended."""
    scene.gateway.interval_s = work_s / 8
    for host in scene.hosts:
        host.work_s = work_s  # with 2 s the session is not released yet when the new process ends
    scene.until(lambda: scene.ran().total() >= 4)
    old = scene.upgrade()
    scene.until_logged("taken-over")
    if work_s == WORK_S:
        scene.until(lambda: scene.broker.connections == 2)
    scene.scene.process.kill()
    scene.scene.process.wait()
    scene.scene.process = old
    scene.until_logged("taken-back")
    scene.take_more(10)
    scene.finish()
    outcomes = scene.outcomes()
    assert set(outcomes) <= {"served", "failed"} and outcomes.total() == scene.gateway.published
    assert all(
        LOST_SESSION in answer.payload.decode()
        for answer in scene.broker.answers
        if json.loads(answer.payload)["outcome"] == "failed"
    )
    assert work_s == WORK_S or not outcomes["failed"]
