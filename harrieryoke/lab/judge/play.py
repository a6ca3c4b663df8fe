"""Plays one scenario on real processes over loopback and judges it."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import socket

from ...core.clock import now_ms
from ...function_table import FUNCTION_BYTES
from ...limits import Limits
from ...state import MIN_STALE_TASKS, STALE_SHARE
from ..world import ROOT, SETTINGS, free_port, resident_mb
from .clients import LoudOrder, SteadyOrder
from .faults import plant
from .hosts import Addresses
from .records import ClientRecord
from .scenario import Leaving, Reading, Scenario, Signal

SOCKETS = 1024
START_WITHIN_S = 20.0
WATCH_S = 0.1
RELOAD_S = 2.0
KILL_AFTER_S = 3.7  # after SIGTERM
WARM_UP_S, YARDSTICK_S = 1.0, 2.0
FUNCTIONS_FIGURE = 'invoker_memory_bytes{owner="functions"}'
P99 = 0.99
PART_TIMEOUT_S = 60.0  # beyond the play


@dataclass(slots=True)
class Verdict:
    """What a play showed, and which rules it broke."""

    scenario: Scenario
    alone: ClientRecord = field(default_factory=ClientRecord)  # steady clients before the loud one comes
    kept: ClientRecord = field(default_factory=ClientRecord)
    connecting: ClientRecord = field(default_factory=ClientRecord)
    loud: ClientRecord = field(default_factory=ClientRecord)
    resident_mb: list[float] = field(default_factory=list)
    exit_code: int | None = None
    figures: dict[str, float] = field(default_factory=dict)  # the invoker's, at the end
    log: str = ""

    def broken_rules(self) -> list[str]:
        """Return what the play broke, in words; none if it kept all rules."""
        stops = self.scenario.signal is Signal.STOP
        broken = []
        for name, record in (("steady", self.kept), ("connecting", self.connecting)):
            if record.lost_ages_ms:
                broken.append(f"{name}: {len(record.lost_ages_ms)} calls lost")
            if record.unanswered and not stops:
                broken.append(f"{name}: {record.unanswered} calls without an answer")
            if record.late or record.overdue:
                broken.append(f"{name}: {record.late} answers late, {record.overdue} overdue")
            if record.doubled:
                broken.append(f"{name}: {record.doubled} answers doubled")
        broken += self.broken_by_loud(stops)
        if max(self.resident_mb, default=0.0) > self.scenario.memory_mb:
            broken.append(f"memory: {max(self.resident_mb):.1f} MB of {self.scenario.memory_mb}")
        if self.exit_code not in ((None, 0) if stops else (None,)):
            broken.append(f"the process ended with {self.exit_code}")
        functions, allowed = self.figures.get(FUNCTIONS_FIGURE, 0.0), allowed_function_bytes(self.scenario)
        if functions > allowed:
            broken.append(f"functions: {functions:.0f} bytes of {allowed:.0f}")
        broken += [f"fault: {line}" for line in self.log.splitlines() if " end-fault " in line][:3]
        broken += [f"died: {line}" for line in self.log.splitlines() if " greenlet-died " in line][:3]
        return broken

    def broken_by_loud(self, stops: bool) -> list[str]:
        """Return what the loud clients lost, as far as they stay and read.

        They have more calls open than the protocol allows: a stop need not wait for those that it can not
        read. Several send more than can be answered while the play waits for it, and idle ones give way.
        """
        loud, record = self.scenario.loud, self.loud
        if loud is None or loud.leaving is not Leaving.STAYS or loud.reading is Reading.NEVER:
            return []
        broken = []
        if record.lost_ages_ms and not stops:
            broken.append(f"loud: {len(record.lost_ages_ms)} calls lost")
        if record.doubled:
            broken.append(f"loud: {record.doubled} answers doubled")
        if loud.clients == 1 and not stops:
            if record.ended:
                broken.append(f"loud: {record.ended} connections ended")
            if record.unanswered:
                broken.append(f"loud: {record.unanswered} calls without an answer")
        return broken

    def slowed_ms(self) -> float:
        """Return the steady clients' p99 if it more than doubled beside the loud ones, else 0.

        That breaks no rule here: the yardstick is played before, and the machine may have other work since.
        """
        latency = self.kept.latency(P99)
        return latency if latency > 2 * self.alone.latency(P99) else 0.0

    def describe(self) -> str:
        """Return the figures in one line."""
        resident = self.resident_mb or [0.0]
        quarters = " ".join(f"{resident[int(q * (len(resident) - 1))]:.0f}" for q in (0, 0.25, 0.5, 0.75, 1))
        parts = [f"resident {quarters} (peak {max(resident):.0f}) of {self.scenario.memory_mb} MB"]
        for name, record in (("steady", self.kept), ("connecting", self.connecting), ("loud", self.loud)):
            parts.append(
                f"{name}: {record.served} served, {record.refused} refused, {record.failed} failed, "
                f"{record.late} late, {record.overdue} overdue, {len(record.lost_ages_ms)} lost, "
                f"{record.unanswered} unanswered, "
                f"{record.ended} of {record.connections} ended, p50 {record.latency(0.5):.0f} "
                f"p99 {record.latency(P99):.0f} ms"
            )
        parts.append(f"alone p50 {self.alone.latency(0.5):.0f} p99 {self.alone.latency(P99):.0f} ms")
        ends = {name[24:-1]: int(n) for name, n in self.figures.items() if "_ends{" in name and n}
        parts.append(f"ends {ends}")
        return "; ".join(parts)


def allowed_function_bytes(scenario: Scenario) -> float:
    """Return what may be remembered of functions, with the forgotten ones that tasks still hold."""
    limits = Limits(memory_mb=scenario.memory_mb, sockets=SOCKETS)
    return limits.function_bytes() * (1 + STALE_SHARE) + MIN_STALE_TASKS * FUNCTION_BYTES


class Play:
    """The processes of one play; the invoker gets `environment` beside its own."""

    def __init__(self, scenario: Scenario, folder: Path, environment: Mapping[str, str]) -> None:
        self.scenario, self.folder, self.environment = scenario, folder, environment
        self.verdict = Verdict(scenario)
        self.parts: list[subprocess.Popen[str]] = []
        hosts = self.start_part("hosts")
        assert hosts.stdout is not None
        discovery: Addresses = msgspec.json.decode(hosts.stdout.readline(), type=Addresses)
        self.address = ("127.0.0.1", free_port())
        self.management = ("127.0.0.1", free_port())
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "seed": f"{scenario.seed:x}",
            "limits": {"memory_mb": scenario.memory_mb, "sockets": SOCKETS},
            "settings": SETTINGS | {"extra": SETTINGS["extra"] | {"kind-memory-mb": [160_000]}},
            "bus": discovery.bus,
            "known": discovery.known,
        }
        (folder / "config.json").write_bytes(msgspec.json.encode(config))
        self.process = self.launch(self.management)

    def launch(self, management: tuple[str, int]) -> subprocess.Popen[bytes]:
        """Start an invoker and wait until it serves. Raises RuntimeError if it does not."""
        environment = {
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_MANAGEMENT": f"{management[0]}:{management[1]}",
            "TMPDIR": str(self.folder),
            **self.environment,
        }
        started = self.log().count(" started ")
        with open(self.folder / "log", "a") as log:
            process = subprocess.Popen(
                [sys.executable, "-B", "-m", "harrieryoke"],
                env=os.environ | environment,
                cwd=ROOT,
                stderr=log,
            )
        until = now_ms() + START_WITHIN_S * 1000
        while self.log().count(" started ") == started:
            if process.poll() is not None or now_ms() > until:
                raise RuntimeError(f"the invoker did not start: {self.log()[-2000:]}")
            gevent.sleep(0.02)
        return process

    def log(self) -> str:
        """Return the invoker's log so far."""
        path = self.folder / "log"
        return path.read_text() if path.exists() else ""

    def start_part(self, module: str, *words: str) -> subprocess.Popen[str]:
        """Start a part of the play in a process of its own."""
        part = subprocess.Popen(
            [sys.executable, "-m", f"harrieryoke.lab.judge.{module}", *words],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.parts.append(part)
        return part

    def start_clients(self, part: str, order: object) -> Callable[[], list[ClientRecord]]:
        """Start clients; the returned function waits for their records."""
        process = self.start_part("clients", part, msgspec.json.encode(order).decode())

        def wait() -> list[ClientRecord]:
            timeout = self.scenario.seconds + PART_TIMEOUT_S
            output, _ = gevent.get_hub().threadpool.apply(process.communicate, (None, timeout))
            records: list[ClientRecord] = msgspec.json.decode(
                output.splitlines()[-1], type=list[ClientRecord]
            )
            return records

        return wait

    def run(self) -> Verdict:
        """Play the scenario and return its verdict."""
        scenario, seconds = self.scenario, self.scenario.seconds
        if scenario.warm:
            self.start_clients("steady", SteadyOrder(self.address, scenario.steady, -1, WARM_UP_S))()
        yardstick = SteadyOrder(self.address, scenario.steady, -2, YARDSTICK_S)
        self.verdict.alone = self.start_clients("steady", yardstick)()[0]
        watching = gevent.spawn(self.watch_memory)
        steady = self.start_clients(
            "steady", SteadyOrder(self.address, scenario.steady, scenario.seed, seconds)
        )
        loud = None
        if scenario.loud is not None:
            loud = self.start_clients("loud", LoudOrder(self.address, scenario.loud, scenario.seed, seconds))
        signals = gevent.spawn(SIGNALS[scenario.signal], self)
        self.verdict.kept, self.verdict.connecting = steady()
        if loud is not None:
            (self.verdict.loud,) = loud()
        signals.join()
        watching.kill()
        if scenario.signal is not Signal.STOP:
            self.verdict.figures = self.read_figures()
        self.verdict.exit_code, self.verdict.log = self.process.poll(), self.log()
        return self.verdict

    def read_figures(self) -> dict[str, float]:
        """Return the invoker's figures of its memory and its connections; none if it does not answer."""
        try:
            with socket.create_connection(self.management, 5) as sock:
                sock.sendall(b"show-memory\n")
                answer = sock.makefile().read().splitlines()[:-1]
        except OSError:
            return {}
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in answer)}

    def watch_memory(self) -> None:
        while True:
            if (resident := resident_mb(self.process.pid)) > 0:
                self.verdict.resident_mb.append(resident)
            gevent.sleep(WATCH_S)

    def reload(self) -> None:
        """Send SIGHUP again and again."""
        for _ in range(int(self.scenario.seconds / RELOAD_S)):
            gevent.sleep(RELOAD_S)
            self.process.send_signal(signal.SIGHUP)

    def stop(self) -> None:
        """Send SIGTERM, and SIGKILL at the earliest time that the protocol names."""
        gevent.sleep(self.scenario.seconds / 2)
        self.process.terminate()
        with contextlib.suppress(subprocess.TimeoutExpired):
            gevent.get_hub().threadpool.apply(self.process.wait, (KILL_AFTER_S,))
        if self.process.poll() is None:
            self.process.kill()

    def upgrade(self) -> None:
        """Have another process take over."""
        gevent.sleep(self.scenario.seconds / 2)
        self.management = ("127.0.0.1", free_port())
        old, self.process = self.process, self.launch(self.management)
        self.parts.append(old)  # type: ignore[arg-type]

    def close(self) -> None:
        """End all processes of the play."""
        processes: list[subprocess.Popen[Any]] = [self.process, *self.parts]
        for process in processes:
            process.kill()
            process.wait()


SIGNALS: dict[Signal, Callable[[Play], None]] = {
    Signal.NONE: lambda play: None,
    Signal.RELOAD: Play.reload,
    Signal.STOP: Play.stop,
    Signal.UPGRADE: Play.upgrade,
}


def play(scenario: Scenario, fault: str = "") -> Verdict:
    """Play one scenario in a folder of its own, with a planted fault if one is named."""
    with tempfile.TemporaryDirectory(prefix="harrieryoke-judge-") as folder:
        environment = plant(fault, Path(folder)) if fault else {}
        made = Play(scenario, Path(folder), environment)
        try:
            return made.run()
        finally:
            made.close()
