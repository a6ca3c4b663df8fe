"""Tests that a starting process serves from its known worker list despite faults around it."""

from __future__ import annotations

import os
import resource
import signal
import subprocess
import sys
from contextlib import AbstractContextManager
from pathlib import Path
from socket import AF_INET, AF_UNIX, SOCK_STREAM, create_connection, socket

import pytest

from .scenario import ROOT, TIMEOUT_S, Scene, ending

SOCKETS = 64  # the descriptors that a process of these tests may have open


class ReadinessScene(Scene):
    """A scenario with few descriptors, whose event bus refuses connections until `open_bus`."""

    def send_config(self, *words: str) -> None:
        if not words:
            self.bus_address = self.parties["bus"].address()
            listening = self.parties["bus"].listening
            assert listening is not None
            listening.close()
            self.config["limits"]["sockets"] = SOCKETS
        super().send_config(*words)

    def open_bus(self) -> None:
        host, port = self.bus_address.split(":")
        listening = socket(AF_INET, SOCK_STREAM)
        listening.bind((host, int(port)))
        listening.listen()
        listening.settimeout(TIMEOUT_S)
        self.parties["bus"].listening = listening

    def bind_descriptors(self) -> None:
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))


def readiness_scene(folder: Path, hosts: int = 1) -> AbstractContextManager[ReadinessScene]:
    return ending(ReadinessScene(folder, hosts=hosts))


SERVED = """
    send c9 probe 1
    expect c9 1 healthy
    send c9 call 2 weight-read body=x
    expect h1 request body=x
    send h1 ok n=w body=y
    expect c9 2 result y"""


def test_process_started_without_discovery_serves_from_its_known_worker_list(tmp_path: Path) -> None:
    with readiness_scene(tmp_path) as scene:
        scene.wait("bus-lost")
        scene.play(SERVED)
        scene.open_bus()
        scene.play("""
            expect bus from 1
            send bus leaving h1
            wait list 1 model hosts changed""")


def test_idle_clients_that_fill_the_descriptors_starve_neither_calls_nor_discovery(tmp_path: Path) -> None:
    with readiness_scene(tmp_path) as scene:
        scene.wait("bus-lost")
        scene.bind_descriptors()
        host, port = scene.address.split(":")
        idle = [create_connection((host, int(port)), TIMEOUT_S) for _ in range(2 * SOCKETS)]
        try:
            scene.play(SERVED)
            scene.open_bus()
            scene.play("""
                expect bus from 1
                send bus leaving h1
                wait list 1 model hosts changed""")
        finally:
            for sock in idle:
                sock.close()


@pytest.mark.parametrize("predecessor", ["silent", "gone"])
def test_sigterm_during_the_start_ends_the_process_cleanly(predecessor: str, tmp_path: Path) -> None:
    """The start waits for the predecessor, played by the test; SIGTERM comes after the request to it."""
    with readiness_scene(tmp_path) as scene:
        scene.play("""
            send node TERM
            expect node exit 0""")
        with socket(AF_UNIX, SOCK_STREAM) as before:
            before.bind(str(tmp_path / "harrieryoke-{}-{}.sock".format(*scene.address.split(":"))))
            before.listen()
            before.settimeout(TIMEOUT_S)
            env = os.environ | {"RELAY_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)}
            command = [sys.executable, "-m", "harrieryoke", "serve"]
            process = subprocess.Popen(command, env=env, cwd=ROOT, stderr=subprocess.DEVNULL)
            try:
                asked, _ = before.accept()
                with asked:
                    assert asked.recv(64).startswith(b'{"type":"hello"')
                    process.send_signal(signal.SIGTERM)
                    if predecessor == "gone":
                        asked.close()
                    assert process.wait(TIMEOUT_S) == 0
            finally:
                process.kill()
                process.wait()
