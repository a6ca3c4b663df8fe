"""One invoker on real processes under crowds, loud clients and clients that leave (docs/incidents/55)."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import gevent
import pytest

from .overload import Play

CROWD = 330  # a third of the descriptors
CROWD_S, LOUD_S = 4.0, 8.0
LATE_MS = 100.0  # an attempt may begin so long after its client has left
WAIT_MS = 50.0  # by which other clients may wait longer beside a loud one
FLAT_MB = 1.0  # of growth after the first second that is no trend
CROWDS = ("half_request", "short_lines", "unread_answers", "long_answers", "many_props")

StartPlay = Callable[[int], Play]


@pytest.fixture
def start_play(tmp_path: Path) -> Iterator[StartPlay]:
    plays: list[Play] = []

    def start(memory_mb: int) -> Play:
        plays.append(Play(tmp_path, memory_mb))
        return plays[-1]

    yield start
    for play in plays:
        play.close()


@dataclass(frozen=True, slots=True)
class CrowdPlay:
    """What one play with a crowd showed."""

    memory_mb: int
    peak_mb: float
    exit_code: int | None
    outcomes: frozenset[str]  # of the usual client's calls
    unanswered: int  # connections of the crowd without an answer or a close in time


@pytest.fixture(
    scope="module",
    params=[(kinds, mb) for kinds in (*([kind] for kind in CROWDS), [*CROWDS]) for mb in (32, 64, 192)],
    ids=lambda param: f"{param[0][0] if len(param[0]) == 1 else 'all kinds'}-{param[1]}",
)
def crowd_play(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> CrowdPlay:
    """Play a crowd of one kind, or of all kinds at once, beside a usual client."""
    kinds, memory_mb = request.param
    play = Play(tmp_path_factory.mktemp("crowd"), memory_mb)
    try:
        for seed, kind in enumerate(kinds):
            play.start_crowd(kind, CROWD // len(kinds), CROWD_S, seed)
        usual = gevent.spawn(play.usual.run, CROWD_S)
        unanswered = sum(result.unanswered for result in play.crowd_results())
        usual.join()
        outcomes, exit_code = frozenset(play.usual.outcomes), play.process.poll()
        peak_mb = play.memory_mb() if exit_code is None else float("inf")
        return CrowdPlay(memory_mb, peak_mb, exit_code, outcomes, unanswered)
    finally:
        play.close()


# Guards against a crowd that makes the process pass its memory limit, by one kind of client or by all.
def test_crowd_stays_within_the_memory(crowd_play: CrowdPlay) -> None:
    assert crowd_play.exit_code is None
    assert crowd_play.peak_mb <= crowd_play.memory_mb


# Guards against clients of a crowd that are kept without an answer or a close.
def test_crowd_is_answered_in_time(crowd_play: CrowdPlay) -> None:
    assert crowd_play.unanswered == 0


# Guards against a crowd that costs others their calls.
def test_usual_client_loses_no_call_beside_a_crowd(crowd_play: CrowdPlay) -> None:
    assert crowd_play.outcomes == {"served"}


# Guards against one client at full speed that makes the memory grow without end, or others wait.
@pytest.mark.parametrize("kind", ["unsound_lines", "withdrawn_calls"])
def test_loud_client_neither_fills_the_memory_nor_delays_others(start_play: StartPlay, kind: str) -> None:
    play = start_play(32)
    play.usual.run(LOUD_S / 2)
    alone = play.usual.latency(0.95)
    play.usual.latencies.clear()
    play.start_crowd(kind, 1, LOUD_S)
    usual = gevent.spawn(play.usual.run, LOUD_S)
    gevent.sleep(1.0)
    first = play.memory_mb()
    usual.join()
    assert play.process.poll() is None
    assert play.memory_mb() - first <= FLAT_MB
    assert set(play.usual.outcomes) == {"served"}
    assert play.usual.latency(0.95) - alone <= WAIT_MS


# Guards against requests of a client that has left, read or not, that are sent on afterwards.
@pytest.mark.parametrize("how", ["closes", "resets", "half-closes"])
def test_nothing_begins_for_clients_that_left_while_the_process_stood_still(
    start_play: StartPlay, how: str
) -> None:
    play = start_play(192)
    play.start_crowd(how, 10, 0)
    for _ in range(12):
        gevent.sleep(0.15)
        play.process.send_signal(signal.SIGSTOP)
        gevent.sleep(0.3)
        play.process.send_signal(signal.SIGCONT)
    (result,) = play.crowd_results()
    late = [at - result.left[id] for at, id, _ in play.arrivals() if id in result.left]
    assert [round(ms) for ms in late if ms > LATE_MS] == []
