"""Plays the pictures of docs/incidents/58 at several sizes of the memory and prints a row for each.

`python -m tests.pictures PICTURE MEMORY_MB SECONDS` plays one; the names are those of PICTURES.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import gevent

from .overload import VISITS, Peaks, Play, SteadyClient, UsualClient
from .scenario import free_address

CROWD_PARTS = 2  # processes of a crowd
STEADY_CLIENTS = 10
RELOAD_S, RESTART_S = 2.0, 1.0
STOPPED_WITHIN_S = 6.0


@dataclass(frozen=True, slots=True)
class Picture:
    """A kind of crowd, how many clients, and what happens to the invoker meanwhile."""

    kind: str
    clients: int
    happens: str = ""
    steady: int = 0


PICTURES = {
    "slow-1100": Picture("slow_requests", 1100),
    "slow-900": Picture("slow_requests", 900),
    "slow-600": Picture("slow_requests", 600),
    "slow-2048": Picture("slow_requests", 2048),
    "usual-800": Picture("usual_calls", 800),
    "short-330": Picture("short_lines", 330),
    "short-1100": Picture("short_lines", 1100),
    "unread-330": Picture("unread_answers", 330),
    "unread-900": Picture("unread_answers", 900, steady=STEADY_CLIENTS),
    "half-330": Picture("half_request", 330),
    "props-330": Picture("many_props", 330),
    "all-400": Picture(VISITS, 400, steady=STEADY_CLIENTS),
    "all-400-reload": Picture(VISITS, 400, "reload", STEADY_CLIENTS),
    "all-400-kill": Picture(VISITS, 400, "kill"),
    "all-400-stop": Picture(VISITS, 400, "stop"),
    "all-400-upgrade": Picture(VISITS, 400, "upgrade"),
}


@dataclass(slots=True)
class Pair:
    """The play, and the processes that count: two in an upgrade."""

    play: Play
    processes: list[subprocess.Popen[bytes]]

    def start_another(self) -> None:
        """Start an invoker with the same configuration."""
        folder = self.play.folder
        with open(folder / "log", "a") as log:
            environment = os.environ | {"RELAY_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
            environment |= {"RELAY_MANAGEMENT": free_address()}  # in an upgrade each has its own
            command = [sys.executable, "-B", "-m", "harrieryoke"]
            self.play.process = subprocess.Popen(command, env=environment, stderr=log)
        self.processes.append(self.play.process)


def reload(pair: Pair, seconds: float) -> None:
    for _ in range(int(seconds / RELOAD_S)):
        gevent.sleep(RELOAD_S)
        pair.play.process.send_signal(signal.SIGHUP)


def kill(pair: Pair, seconds: float) -> None:
    gevent.sleep(seconds / 2)
    pair.play.process.kill()
    pair.play.process.wait()
    gevent.sleep(RESTART_S)
    pair.start_another()


def stop(pair: Pair, seconds: float) -> None:
    gevent.sleep(seconds / 2)
    pair.play.process.terminate()


def upgrade(pair: Pair, seconds: float) -> None:
    """Have another process take over."""
    gevent.sleep(seconds / 2)
    pair.start_another()


EVENTS: dict[str, Callable[[Pair, float], None]] = {f.__name__: f for f in (reload, kill, stop, upgrade)}


def watch(pair: Pair, total: Peaks) -> None:
    """Add up the peaks of all processes of the pair at one moment."""
    while True:
        sizes = [pair.play.sizes_of(process) for process in pair.processes if process.poll() is None]
        if sizes:
            resident, kernel, descriptors = (sum(column) for column in zip(*sizes, strict=True))
            total.update(resident, kernel, int(descriptors))
        gevent.sleep(0.15)


@dataclass(slots=True)
class PictureResult:
    """What one play showed; `outcomes` are those of the steady clients, `codes` the exit codes."""

    name: str
    memory_mb: int
    peaks: Peaks
    usual: UsualClient
    outcomes: Counter[str]
    unanswered: int  # connections of the crowd without an answer or a close in time
    log: Counter[str]  # lines by kind
    codes: list[int | None]

    def row(self) -> str:
        """Return the row of a table."""
        peaks = self.peaks
        both = f"**{peaks.both:.1f}**" if peaks.both > self.memory_mb else f"{peaks.both:.1f}"
        return (
            f"| {self.name} | {self.memory_mb} | {peaks.resident:.1f} | {peaks.kernel:.1f} | {both} "
            f"| {peaks.descriptors} | {describe(self.usual)} | {describe_outcomes(self.outcomes)} "
            f"| {self.unanswered} | {self.log['calls-dropped']} | {self.codes} |"
        )


def play_picture(name: str, memory_mb: int, seconds: float) -> PictureResult:
    """Play one picture."""
    picture, peaks = PICTURES[name], Peaks()
    with tempfile.TemporaryDirectory() as folder:
        play = Play(Path(folder), memory_mb, upgradable=picture.happens == "upgrade")
        pair = Pair(play, [play.process])
        watching = gevent.spawn(watch, pair, peaks)
        try:
            steady, unanswered = run_clients(pair, picture, seconds)
            if picture.happens == "stop":
                with contextlib.suppress(subprocess.TimeoutExpired):
                    play.process.wait(STOPPED_WITHIN_S)
            codes = [process.poll() for process in pair.processes]
            words = [line.split() for line in play.log().splitlines()]
        finally:
            watching.kill()
            for process in pair.processes:
                process.kill()
            play.close()
    outcomes = Counter(outcome for client in steady for outcome in client.outcomes)
    log = Counter(line[2] for line in words if len(line) > 2)
    return PictureResult(name, memory_mb, peaks, play.usual, outcomes, unanswered, log, codes)


def run_clients(pair: Pair, picture: Picture, seconds: float) -> tuple[list[SteadyClient], int]:
    """Run all clients to their end; return the steady ones, and how many of the crowd got no answer."""
    play = pair.play
    for part in range(CROWD_PARTS):
        play.start_crowd(picture.kind, picture.clients // CROWD_PARTS, seconds, part)
    steady = [SteadyClient(play.usual.address, seed) for seed in range(picture.steady)]
    running = [gevent.spawn(client.run, seconds) for client in steady]
    running.append(gevent.spawn(play.usual.run, seconds))
    if picture.happens:
        running.append(gevent.spawn(EVENTS[picture.happens], pair, seconds))
    unanswered = sum(result.unanswered for result in play.crowd_results())
    gevent.joinall(running)
    return steady, unanswered


def describe(usual: UsualClient) -> str:
    latencies = f"{usual.latency(0.5):.0f}/{usual.latency(0.99):.0f} ms"
    return f"{describe_outcomes(Counter(usual.outcomes))}; {latencies}"


def describe_outcomes(outcomes: Counter[str]) -> str:
    """Return how many calls were served, refused or failed, and lost, and the lost ones by reason."""
    lost = {outcome: n for outcome, n in outcomes.items() if outcome.startswith(("lost", "unanswered"))}
    others = outcomes.total() - outcomes["served"] - sum(lost.values())
    reasons = ", ".join(f"{n} {outcome.removeprefix('lost: ') or 'in time'}" for outcome, n in lost.items())
    return f"{outcomes['served']}/{others}/{sum(lost.values())}" + (f" ({reasons})" if reasons else "")


if __name__ == "__main__":
    print(play_picture(sys.argv[1], int(sys.argv[2]), float(sys.argv[3])).row(), flush=True)
