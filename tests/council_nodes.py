"""Real invokers with a council, each in its own process, and observers that poll which duties they act on."""

from __future__ import annotations

import json
import os
import resource
import signal
import subprocess
import sys
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from harrieryoke.council.decide.duties import Session
from harrieryoke.council.decide.lease_manager import preferred_member
from harrieryoke.ops_client import OpsError, ask

from .scenario import ROOT, SETTINGS, free_address, listener, where

TIMEOUT_S = 20.0


def wait_until(condition: Callable[[], object], message: str) -> None:
    by = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < by, f"not in time: {message}"
        time.sleep(0.01)


class Observation(NamedTuple):
    """The answer of an invoker at some time between `begin` and `end`, on this machine's clock."""

    begin: float
    end: float
    name: str
    token: int


class Node:
    """One invoker's files and its process. Its log goes through a pipe: a file size limit then affects its
    disk only.
    """

    def __init__(self, folder: Path, name: str, table: str, ops: str, free: list[str]) -> None:
        self.folder, self.name, self.ops, self.table = folder, name, ops, table
        folder.mkdir()
        self.bus = listener()
        config = {
            "name": name,
            "listen": free.pop(),
            "bus": where(self.bus),
            "settings": SETTINGS,
            "seed": "8c",
        }
        (folder / "config.json").write_text(json.dumps(config))
        self.write(table)
        self.env = os.environ | {"RELAY_CONFIG": str(folder / "config.json")}
        self.lines, self.last_status = list[str](), dict[str, Any]()
        self.process: subprocess.Popen[str] | None = None
        self.observations: dict[str, list[Observation]] = defaultdict(list)  # by duty
        self.stopping = threading.Event()
        self.observer = threading.Thread(target=self.observe)

    def write(self, table: str) -> None:
        text = f'[ops]\nlisten = "{self.ops}"\n{table}'
        (self.folder / "operator.toml").write_text(text)

    def command(self, *arguments: str) -> list[str]:
        return [
            sys.executable,
            "-m",
            "harrieryoke",
            *arguments,
            "--operator",
            str(self.folder / "operator.toml"),
        ]

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            self.command(*arguments), env=self.env, cwd=ROOT, capture_output=True, text=True, check=False
        )

    def start(self) -> None:
        self.process = subprocess.Popen(
            self.command("serve"), env=self.env, cwd=ROOT, text=True, stderr=subprocess.PIPE
        )
        threading.Thread(target=self.read_log, args=(self.process,)).start()

    def read_log(self, process: subprocess.Popen[str]) -> None:
        assert process.stderr is not None
        with process.stderr:
            self.lines += process.stderr

    def observe(self) -> None:
        while not self.stopping.wait(0.01):
            begin = time.monotonic()
            try:
                status = ask(self.ops, "GET", "/council")
            except OpsError:
                self.last_status = {}
                continue
            end = time.monotonic()
            for duty, held in status["duties"].items():
                if held["acting"]:
                    self.observations[duty].append(Observation(begin, end, self.name, held["acting"]))
            self.last_status = status

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def end(self, number: signal.Signals) -> int:
        assert self.process is not None
        self.send(number)
        code = self.process.wait(TIMEOUT_S)
        self.last_status = {}
        return code

    def limit_file_size(self, size: int) -> None:
        """Limits all files that it writes, so that its disk accepts no more."""
        assert self.process is not None
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    def acting_duties(self) -> set[str]:
        return {duty for duty, held in self.last_status.get("duties", {}).items() if held["acting"]}


class Nodes:
    """`table` is the TOML of the [council] table without the keys of a single invoker."""

    def __init__(self, folder: Path, names: str, table: str, duties: list[str]) -> None:
        free = [free_address() for _ in range(3 * len(names))]
        self.duties = duties
        members = "".join(f'"{name}" = "{free.pop()}"\n' for name in names)
        settings = f"[council]\n{table}\nduties = {json.dumps(duties)}\n[council.members]\n{members}"
        self.nodes = {name: Node(folder / name, name, settings, free.pop(), free) for name in names}

    def __iter__(self) -> Iterator[Node]:
        return iter(self.nodes.values())

    def start(self) -> None:
        first, *others = self
        for node in others:
            node.start()
        done = first.run("council", "found")
        assert done.returncode == 0 and "founded" in done.stdout, done.stderr
        first.start()
        for node in self:
            node.observer.start()

    def all_held(self, *without: Node) -> bool:
        """Whether some member acted on each duty at the last observation."""
        seen = [duty for node in self if node not in without for duty in node.acting_duties()]
        return sorted(set(seen)) == sorted(self.duties)

    def leader(self) -> Node | None:
        return next((node for node in self if node.last_status.get("role") == "leader"), None)

    def all_in_place(self) -> bool:
        """Whether all members are present and each duty is with its preferred member."""
        leader = self.leader() if all(node.last_status.get("lease_ms") for node in self) else None
        sessions = {} if leader is None else leader.last_status["sessions"]
        sessions_by_name = {
            name: Session(0, 0, s["weight"], s["cannot"], s["open"]) for name, s in sessions.items()
        }
        return sum(s.open for s in sessions_by_name.values()) == len(self.nodes) and all(
            duty in self.nodes[preferred_member(duty, sessions_by_name) or ""].acting_duties()
            for duty in self.duties
        )

    def stop(self) -> None:
        for node in self:
            node.stopping.set()
            if node.process is not None and node.process.poll() is None:
                node.send(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
            if node.observer.ident is not None:
                node.observer.join()
            node.bus.close()

    def check_observations(self) -> int:
        """Returns the number of observations. No member may act under a token after another acted under a
        newer one; observations that overlap in time are not ordered and prove nothing.
        """
        count = 0
        for duty in self.duties:
            observations = [observation for node in self for observation in node.observations[duty]]
            ended, newest = sorted(observations, key=lambda observation: observation.end), 0
            done, holder = 0, dict[int, str]()
            for observation in sorted(observations):
                while ended[done].end < observation.begin:
                    newest = max(newest, ended[done].token)
                    done += 1
                assert observation.token >= newest, f"{observation} after token {newest}, on {duty}"
                assert (
                    holder.setdefault(observation.token, observation.name) == observation.name
                ), f"two act under {observation.token}"
            count += len(observations)
        return count
