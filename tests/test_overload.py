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
MEMORY_MB = (32, 64, 192)
LONG_ANSWERS = "long_answers"
SHORT_ANSWERS = ("half_request", "short_lines", "unread_answers", "many_props")

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


PLAYS: dict[tuple[tuple[str, ...], int], CrowdPlay] = {}  # those made so far: each is made once


def play_crowd(folders: pytest.TempPathFactory, kinds: tuple[str, ...], memory_mb: int) -> CrowdPlay:
    """Play a crowd of these kinds beside a usual client."""
    if (kinds, memory_mb) in PLAYS:
        return PLAYS[kinds, memory_mb]
    play = Play(folders.mktemp("crowd"), memory_mb)
    try:
        for seed, kind in enumerate(kinds):
            play.start_crowd(kind, CROWD // len(kinds), CROWD_S, seed)
        usual = gevent.spawn(play.usual.run, CROWD_S)
        unanswered = sum(result.unanswered for result in play.crowd_results())
        usual.join()
        outcomes, exit_code = frozenset(play.usual.outcomes), play.process.poll()
        peak_mb = play.memory_mb() if exit_code is None else float("inf")
    finally:
        play.close()
    made = PLAYS[kinds, memory_mb] = CrowdPlay(memory_mb, peak_mb, exit_code, outcomes, unanswered)
    return made


def of_sizes(*crowds: tuple[str, ...]) -> pytest.MarkDecorator:
    """Run the test for each crowd at each size of the memory."""
    params = [(kinds, mb) for kinds in crowds for mb in MEMORY_MB]
    ids = [f"{kinds[0] if len(kinds) == 1 else 'all kinds'}-{mb}" for kinds, mb in params]
    return pytest.mark.parametrize(("kinds", "memory_mb"), params, ids=ids)


ALL_KINDS = (LONG_ANSWERS, *SHORT_ANSWERS)
EACH_KIND = [(kind,) for kind in ALL_KINDS]


# Guards against a crowd that makes the process pass its memory limit, by one kind of client or by all.
@of_sizes(*EACH_KIND, ALL_KINDS)
def test_crowd_stays_within_the_memory(
    tmp_path_factory: pytest.TempPathFactory, kinds: tuple[str, ...], memory_mb: int
) -> None:
    play = play_crowd(tmp_path_factory, kinds, memory_mb)
    assert play.exit_code is None
    assert play.peak_mb <= memory_mb


# Guards against clients of a crowd that are kept without an answer or a close.
@of_sizes(*EACH_KIND, ALL_KINDS)
def test_crowd_is_answered_in_time(
    tmp_path_factory: pytest.TempPathFactory, kinds: tuple[str, ...], memory_mb: int
) -> None:
    assert play_crowd(tmp_path_factory, kinds, memory_mb).unanswered == 0


# Guards against a crowd that costs others their calls.
@of_sizes(*[(kind,) for kind in SHORT_ANSWERS])
def test_usual_client_loses_no_call_beside_a_crowd(
    tmp_path_factory: pytest.TempPathFactory, kinds: tuple[str, ...], memory_mb: int
) -> None:
    assert play_crowd(tmp_path_factory, kinds, memory_mb).outcomes == {"served"}


# Guards against calls of others that are refused or lost while a crowd waits for long answers.
def test_usual_client_loses_no_call_beside_a_crowd_with_long_answers(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    for kinds in ((LONG_ANSWERS,), ALL_KINDS):
        for memory_mb in MEMORY_MB:
            assert play_crowd(tmp_path_factory, kinds, memory_mb).outcomes == {"served"}


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
