"""A fleet of council members: real invokers in their own processes, with a proxy on each link."""

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
from . import fleet_checks as checks
from .collector import EmulatedCollector
from .fleet_proxy import LinkProxy
from .fleet_watch import Observer
from .world import ROOT, InvokerTestbed, free_port

LEASE_MS = 1000.0
DUTIES = [f"lab-{n}" for n in range(6)]
OPERATOR_TEMPLATE = """
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
RECOVERY_TIMEOUT_MS = 25 * LEASE_MS  # by then the fleet must be healthy after the last fault
STOP_TIMEOUT_S = 15.0


@dataclass
class StatusReport:
    """A member's status, with the times of the request and of the answer."""

    begin: float
    end: float
    status: dict[str, Any]


class Member(InvokerTestbed):
    """One invoker with its own hosts and clients.

    Its log goes through a pipe, as the invoker cannot write files while its disk is full.
    """

    def __init__(self, fleet: Fleet, folder: Path, seed: int, rate: float, name: str, operator: str) -> None:
        self.fleet, self.seed, self.should_run = fleet, seed, True
        folder.mkdir(exist_ok=True)
        super().__init__(folder, seed, rate, operator, 3, name=name)
        self.name = name
        self.reports: list[StatusReport] = []

    def launch(self) -> subprocess.Popen[bytes]:
        operator = str(self.folder / "operator.toml")
        process = subprocess.Popen(
            [
                sys.executable,
                "-B",
                "-m",
                "harrieryoke.lab.fleet_watch",
                operator,
                str(self.fleet.observer.path),
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
        with suppress(OSError, ValueError):  # the log is closed at the end of the run
            for line in process.stderr:
                self.log.write(line)
                self.log.flush()
                self.fleet.log_counts.update(line.decode(errors="replace").split(" ")[2:3])
                if b"greenlet-died" in line or b"Traceback" in line:
                    self.fleet.findings.append(f"{boot_ms():.0f} {line.decode()[:1500]}")

    def write_operator_file(self, operator: str) -> None:
        """Write the operator configuration, which the invoker reads at SIGHUP and at its start."""
        (self.folder / "operator.toml").write_text(operator + f'\n[ops]\nlisten = "{self.ops}"\n')

    def write_note(self, text: str) -> None:
        """Add a line to the log of the member."""
        self.log.write(f"--- {boot_ms():.0f} {text}\n".encode())
        self.log.flush()

    # --- faults ---

    def stop_process(self, signal_number: int = signal.SIGKILL) -> None:
        self.write_note(f"signal {signal_number}")
        self.should_run = False
        self.process.send_signal(signal_number)
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.write_note("did not end")
            self.process.kill()
            self.process.wait()
            self.fleet.findings.append(
                f"{self.name} did not end within {STOP_TIMEOUT_S} s of signal {signal_number}"
            )

    def start_process(self) -> None:
        self.write_note("start")
        self.process = self.launch()
        try:
            self.wait_up()
        except RuntimeError as error:
            self.fleet.findings.append(f"{self.name}: {error}")
        self.should_run = True

    def delete_council_folder(self) -> None:
        """Delete the council's files while the process is down."""
        self.write_note("its disk is lost")
        shutil.rmtree(self.folder / "council")

    def limit_file_size(self, size: int) -> None:
        """Limit the size of the files it writes, which emulates a full disk. -1 removes the limit."""
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    # --- status ---

    def poll_status(self) -> None:
        begin = boot_ms()
        status = self.fetch_status("/council")
        if "role" in status:
            self.reports.append(StatusReport(begin, boot_ms(), status))

    def latest_status(self) -> dict[str, Any]:
        """Return the last status, or nothing if it is older than a second."""
        is_recent = self.reports and self.reports[-1].begin > boot_ms() - 1000
        return self.reports[-1].status if is_recent else {}


@dataclass
class Traffic:
    """Bytes and messages sent over all links up to a point in time."""

    at: float
    bytes: int
    messages: int


class Fleet:
    """All members of one run. The first `voters` of `members` vote at the start."""

    def __init__(
        self, folder: Path, seed: int, voters: int, members: int, rate: float, collector: EmulatedCollector
    ) -> None:
        self.folder, self.findings = folder, list[str]()
        self.log_counts: Counter[str] = Counter()  # number of log lines by kind
        self.names = [f"inv-{n + 1}" for n in range(members)]
        self.voters = self.names[:voters]
        self.collector = collector
        self.observer = Observer(folder / "watch")
        self.faults: list[checks.InjectedFault] = []
        hosts = {name: f"127.0.1.{n + 1}" for n, name in enumerate(self.names)}
        self.member_addresses = {name: (hosts[name], free_port()) for name in self.names}
        self.proxies = {
            (a, b): LinkProxy(hosts[a], self.member_addresses[b])
            for a in self.names
            for b in self.names
            if a != b
        }
        self.members: dict[str, Member] = {}
        for n, name in reversed(list(enumerate(self.names))):
            if not n:
                self.found_council(name)  # the other members are already trying to join
            self.members[name] = Member(self, folder / name, seed + n, rate, name, self.operator_file(name))
        self.greenlets = [gevent.spawn(self.poll_member, m) for m in self.members.values()]

    def found_council(self, name: str) -> None:
        folder = self.folder / name
        folder.mkdir()
        (folder / "operator.toml").write_text(self.operator_file(name))
        completed = subprocess.run(
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
        if completed.returncode:
            raise RuntimeError(f"the council could not be founded: {completed.stdout}{completed.stderr}")

    def operator_file(self, name: str) -> str:
        """Return the operator configuration; other members are addressed through their proxies."""
        address = {other: self.proxies[name, other].address() for other in self.names if other != name}
        address[name] = "{}:{}".format(*self.member_addresses[name])
        return OPERATOR_TEMPLATE.format(
            name=name,
            collector=self.collector.address(),
            voters=self.voters,
            duties=[*DUTIES, "reconcile"],
            lease=LEASE_MS,
            members="\n".join(f'"{other}" = "{where}"' for other, where in sorted(address.items())),
        )

    def poll_member(self, member: Member) -> None:
        while True:
            if member.should_run:
                member.poll_status()
            gevent.sleep(0.1)

    # --- health ---

    def leader(self) -> str:
        """Return the leader of the highest term, or an empty string."""
        leaders = [
            (status["term"], name)
            for name, member in self.members.items()
            if (status := member.latest_status()).get("role") == "leader"
        ]
        return max(leaders, default=(0, ""))[1]

    def unhealthy_reason(self) -> str:
        """Return why the fleet is not healthy, or an empty string."""
        now, leader = boot_ms(), self.leader()
        if not leader:
            return "there is no leader"
        voters = self.members[leader].latest_status().get("voters")
        if sorted(voters or []) != sorted(self.voters):
            return f"the voters are {voters}, not {self.voters}"
        unheld = [
            duty
            for duty in DUTIES
            if now - self.observer.holders.get(duty, ("", 0.0))[1] > 2 * checks.RECENT_ACT_MS
        ]
        return f"no member holds {unheld}" if unheld else ""

    def wait_healthy(self) -> bool:
        deadline = boot_ms() + RECOVERY_TIMEOUT_MS
        while reason := self.unhealthy_reason():
            if boot_ms() > deadline:
                self.findings.append(f"{boot_ms():.0f} not healthy without a fault: {reason}")
                return False
            gevent.sleep(0.05)
        return True

    def traffic(self) -> Traffic:
        proxies = self.proxies.values()
        return Traffic(
            boot_ms(),
            sum(proxy.byte_count for proxy in proxies),
            sum(proxy.frame_count() for proxy in proxies),
        )

    def enable_proposals(self, enabled: bool) -> None:
        """Let the agents propose entries from now on, or stop them."""
        proposals_flag = self.observer.path.with_name("go")
        proposals_flag.touch() if enabled else proposals_flag.unlink()

    def close(self) -> list[int]:
        codes = [member.close() for member in self.members.values()]
        for greenlet in self.greenlets:
            greenlet.kill()
        self.observer.stop()
        for proxy in self.proxies.values():
            proxy.stop()
        return codes
