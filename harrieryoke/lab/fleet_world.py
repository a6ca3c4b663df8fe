"""Members of a council: real invokers in processes of their own, with a proxy on each link."""

from __future__ import annotations

import os
import resource
import shutil
import signal
import subprocess
import sys
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent

from ..council.actor import boot_ms
from . import fleet_checks as c
from .collector import EmulatedCollector
from .fleet_proxy import Proxy
from .fleet_watch import Watch
from .world import ROOT, World, free_port

LEASE = 1000.0
DUTIES = [f"lab-{n}" for n in range(6)]
OPERATOR = """
[store]
folder = "store"
segment_mb = 0.25
snapshot_every = 500

[ledger]
period_s = 20
grace_s = 2
hold_ms = 100

[ledger.collector]
address = "{collector}"
batch = 50
batch_ms = 100
answer_ms = 1000

[council]
name = "{name}"
installation = "lab"
folder = "council"
voters = {voters}
duties = {duties}
lease_ms = {lease}
election_ms = 300
heartbeat_ms = 60
stall_ms = 500
silent_ms = 2500
settle_ms = 1500
compact_every = 300
store = {{segment_mb = 0.25}}

[council.members]
{members}
"""
WELL_MS = 25 * LEASE  # with nothing broken any more all must be well by then
STOP_S = 15.0


@dataclass
class Told:
    """What a member said of itself, and when it was asked and had answered."""

    begin: float
    end: float
    status: dict[str, Any]


class Member(World):
    """One invoker with its own hosts and clients. Its log goes through a pipe: its disk may be full."""

    def __init__(self, fleet: Fleet, folder: Path, seed: int, rate: float, name: str, operator: str) -> None:
        self.fleet, self.seed, self.wanted_up = fleet, seed, True
        folder.mkdir(exist_ok=True)
        super().__init__(folder, seed, rate, operator, 3, name=name)
        self.name = name
        self.told: list[Told] = []

    def launch(self) -> subprocess.Popen[bytes]:
        operator = str(self.folder / "operator.toml")
        process = subprocess.Popen(
            [
                sys.executable,
                "-B",
                "-m",
                "harrieryoke.lab.fleet_watch",
                operator,
                str(self.fleet.watch.path),
                ",".join(DUTIES),
                str(self.seed),
            ],
            env=os.environ | self.clock.env() | {"RELAY_CONFIG": str(self.folder / "config.json")},
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )
        gevent.spawn(self.read_log, process)
        return process

    def read_log(self, process: subprocess.Popen[bytes]) -> None:
        assert process.stderr is not None
        with suppress(OSError, ValueError):  # the lab closes it at the end
            for line in process.stderr:
                self.log.write(line)
                self.log.flush()
                self.fleet.logged.update(line.decode(errors="replace").split(" ")[2:3])
                if b"greenlet-died" in line or b"Traceback" in line:
                    self.fleet.found.append(f"{boot_ms():.0f} {line.decode()[:1500]}")

    def rewrite(self, operator: str) -> None:
        """Its operator's file, which it reads at SIGHUP or when it starts."""
        (self.folder / "operator.toml").write_text(operator + f'\n[ops]\nlisten = "{self.ops}"\n')

    def note(self, what: str) -> None:
        """Into its log, beside its own lines."""
        self.log.write(f"--- {boot_ms():.0f} {what}\n".encode())
        self.log.flush()

    # --- faults ---

    def down(self, number: int = signal.SIGKILL) -> None:
        self.note(f"signal {number}")
        self.wanted_up = False
        self.process.send_signal(number)
        try:
            self.process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.note("did not end")
            self.process.kill()
            self.process.wait()
            self.fleet.found.append(f"{self.name} did not end within {STOP_S} s of signal {number}")

    def up(self) -> None:
        self.note("start")
        self.process = self.launch()
        try:
            self.wait_up()
        except RuntimeError as error:
            self.fleet.found.append(f"{self.name}: {error}")
        self.wanted_up = True

    def lose_disk(self) -> None:
        """While the process is down."""
        self.note("its disk is lost")
        shutil.rmtree(self.folder / "council")

    def limit(self, size: int) -> None:
        """From now on no file of it grows beyond so many bytes: as a disk that is full. -1: all is well."""
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    # --- what it says ---

    def ask(self) -> None:
        begin = boot_ms()
        status = self.status("/council")
        if "role" in status:
            self.told.append(Told(begin, boot_ms(), status))

    def newest(self) -> dict[str, Any]:
        """Nothing where it has said nothing for a while."""
        fresh = self.told and self.told[-1].begin > boot_ms() - 1000
        return self.told[-1].status if fresh else {}


@dataclass
class Traffic:
    at: float
    bytes: int
    messages: int


class Fleet:
    """All of one play. `voters` of `members` vote at first."""

    def __init__(
        self, folder: Path, seed: int, voters: int, members: int, rate: float, collector: EmulatedCollector
    ) -> None:
        self.folder, self.found = folder, list[str]()
        self.logged: Counter[str] = Counter()  # log lines by kind
        self.names = [f"inv-{n + 1}" for n in range(members)]
        self.voters = self.names[:voters]
        self.collector = collector
        self.watch = Watch(folder / "watch")
        self.faults: list[c.Struck] = []
        hosts = {name: f"127.0.1.{n + 1}" for n, name in enumerate(self.names)}
        self.real = {name: (hosts[name], free_port()) for name in self.names}
        self.proxies = {
            (a, b): Proxy(hosts[a], self.real[b]) for a in self.names for b in self.names if a != b
        }
        self.members: dict[str, Member] = {}
        for n, name in reversed(list(enumerate(self.names))):
            if not n:
                self.found_council(name)  # the others knock by now
            self.members[name] = Member(self, folder / name, seed + n, rate, name, self.operator(name))
        self.greenlets = [gevent.spawn(self.poll, m) for m in self.members.values()]

    def found_council(self, name: str) -> None:
        folder = self.folder / name
        folder.mkdir()
        (folder / "operator.toml").write_text(self.operator(name))
        done = subprocess.run(
            [
                sys.executable,
                "-B",
                "-m",
                "harrieryoke",
                "council",
                "found",
                "--operator",
                str(folder / "operator.toml"),
            ],
            env=os.environ | {"RELAY_CONFIG": str(self.folder / self.names[-1] / "config.json")},
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode:
            raise RuntimeError(f"no council was founded: {done.stdout}{done.stderr}")

    def operator(self, name: str) -> str:
        """Another member's address is that of the proxy on the way to it."""
        address = {other: self.proxies[name, other].address() for other in self.names if other != name}
        address[name] = "{}:{}".format(*self.real[name])
        return OPERATOR.format(
            name=name,
            collector=self.collector.address(),
            voters=self.voters,
            duties=[*DUTIES, "reconcile"],
            lease=LEASE,
            members="\n".join(f'"{other}" = "{where}"' for other, where in sorted(address.items())),
        )

    def poll(self, member: Member) -> None:
        while True:
            if member.wanted_up:
                member.ask()
            gevent.sleep(0.1)

    # --- how it is ---

    def leader(self) -> str:
        """Who leads in the highest term, or nobody."""
        leads = [(t["term"], n) for n, m in self.members.items() if (t := m.newest()).get("role") == "leader"]
        return max(leads, default=(0, ""))[1]

    def unwell(self) -> str:
        """What is not as it should be when nothing is broken, or nothing."""
        now, leader = boot_ms(), self.leader()
        if not leader:
            return "nobody leads"
        voters = self.members[leader].newest().get("voters")
        if sorted(voters or []) != sorted(self.voters):
            return f"{voters} vote and not {self.voters}"
        unheld = [d for d in DUTIES if now - self.watch.holders.get(d, ("", 0.0))[1] > 2 * c.FRESH]
        return f"nobody holds {unheld}" if unheld else ""

    def wait_well(self) -> bool:
        until = boot_ms() + WELL_MS
        while why := self.unwell():
            if boot_ms() > until:
                self.found.append(f"{boot_ms():.0f} not well though nothing is broken: {why}")
                return False
            gevent.sleep(0.05)
        return True

    def traffic(self) -> Traffic:
        all = self.proxies.values()
        return Traffic(boot_ms(), sum(p.bytes for p in all), sum(p.frames() for p in all))

    def agree(self, wanted: bool) -> None:
        """Whether hands have something agreed from now on."""
        go = self.watch.path.with_name("go")
        go.touch() if wanted else go.unlink()

    def close(self) -> list[int]:
        codes = [member.close() for member in self.members.values()]
        for greenlet in self.greenlets:
            greenlet.kill()
        self.watch.stop()
        for proxy in self.proxies.values():
            proxy.stop()
        return codes
