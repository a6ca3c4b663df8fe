"""Real invokers with a council, each in its own process, and one who looks all the time at what they do."""

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

PATIENCE = 20.0  # seconds until what should come soon is held to have failed


def until(what: Callable[[], object], words: str) -> None:
    by = time.monotonic() + PATIENCE
    while not what():
        assert time.monotonic() < by, f"not in time: {words}"
        time.sleep(0.01)


class Look(NamedTuple):
    """What an invoker answered at some time between `begin` and `end`, on this machine's one clock."""

    begin: float
    end: float
    name: str
    token: int


class Node:
    """One invoker's files and its process. Its log goes through a pipe: what limits files limits its disk."""

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
        self.lines, self.told = list[str](), dict[str, Any]()
        self.process: subprocess.Popen[str] | None = None
        self.looks: dict[str, list[Look]] = defaultdict(list)  # by duty
        self.over = threading.Event()
        self.looker = threading.Thread(target=self.look)

    def write(self, table: str) -> None:
        text = f'[ops]\nlisten = "{self.ops}"\n{table}'
        (self.folder / "operator.toml").write_text(text)

    def command(self, *words: str) -> list[str]:
        return [sys.executable, "-m", "harrieryoke", *words, "--operator", str(self.folder / "operator.toml")]

    def run(self, *words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            self.command(*words), env=self.env, cwd=ROOT, capture_output=True, text=True, check=False
        )

    def start(self) -> None:
        self.process = subprocess.Popen(
            self.command("serve"), env=self.env, cwd=ROOT, text=True, stderr=subprocess.PIPE
        )
        threading.Thread(target=self.hear, args=(self.process,)).start()

    def hear(self, process: subprocess.Popen[str]) -> None:
        assert process.stderr is not None
        with process.stderr:
            self.lines += process.stderr

    def look(self) -> None:
        while not self.over.wait(0.01):
            begin = time.monotonic()
            try:
                told = ask(self.ops, "GET", "/council")
            except OpsError:
                self.told = {}
                continue
            end = time.monotonic()
            for duty, held in told["duties"].items():
                if held["acting"]:
                    self.looks[duty].append(Look(begin, end, self.name, held["acting"]))
            self.told = told

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def end(self, number: signal.Signals) -> int:
        assert self.process is not None
        self.send(number)
        code = self.process.wait(PATIENCE)
        self.told = {}
        return code

    def limit(self, size: int) -> None:
        """Of any file that it writes: its disk takes no more."""
        assert self.process is not None
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    def acts(self) -> set[str]:
        return {duty for duty, held in self.told.get("duties", {}).items() if held["acting"]}


class Nodes:
    """`table` is TOML of [council] without what is an invoker's own."""

    def __init__(self, folder: Path, names: str, table: str, duties: list[str]) -> None:
        free = [free_address() for _ in range(3 * len(names))]
        self.duties = duties
        members = "".join(f'"{name}" = "{free.pop()}"\n' for name in names)
        told = f"[council]\n{table}\nduties = {json.dumps(duties)}\n[council.members]\n{members}"
        self.nodes = {name: Node(folder / name, name, told, free.pop(), free) for name in names}

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
            node.looker.start()

    def held(self, *without: Node) -> bool:
        """Whether somebody acts on each duty, as was seen last."""
        seen = [duty for node in self if node not in without for duty in node.acts()]
        return sorted(set(seen)) == sorted(self.duties)

    def leader(self) -> Node | None:
        return next((node for node in self if node.told.get("role") == "leader"), None)

    def home(self) -> bool:
        """Whether all are there, and each duty is where it belongs."""
        led = self.leader() if all(node.told.get("lease_ms") for node in self) else None
        sessions = {} if led is None else led.told["sessions"]
        able = {name: Session(0, 0, s["weight"], s["cannot"], s["open"]) for name, s in sessions.items()}
        return sum(s.open for s in able.values()) == len(self.nodes) and all(
            duty in self.nodes[preferred_member(duty, able) or ""].acts() for duty in self.duties
        )

    def stop(self) -> None:
        for node in self:
            node.over.set()
            if node.process is not None and node.process.poll() is None:
                node.send(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
            if node.looker.ident is not None:
                node.looker.join()
            node.bus.close()

    def judge(self) -> int:
        """How often somebody was seen to act. Nobody acts under a token after another did under a newer one:
        looks that overlap in time are in no order, and say nothing."""
        count = 0
        for duty in self.duties:
            looks = [look for node in self for look in node.looks[duty]]
            ended, newest = sorted(looks, key=lambda look: look.end), 0
            done, holder = 0, dict[int, str]()
            for look in sorted(looks):
                while ended[done].end < look.begin:
                    newest = max(newest, ended[done].token)
                    done += 1
                assert look.token >= newest, f"{look} after token {newest}, on {duty}"
                assert holder.setdefault(look.token, look.name) == look.name, f"two act under {look.token}"
            count += len(looks)
        return count
